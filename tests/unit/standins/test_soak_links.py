"""Links of the soak: what they cut, and which addresses an instance is given."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
from pathlib import Path

import pytest

from egretloft._internal.fleet.interfaces import RowKey
from soak.links import Cut, Link, view_of
from soak.programs import Program
from soak.proxy import LinkMode

OWN_LINK = b"127.0.0.1:23456"


async def echo(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    while data := await reader.read(100):
        writer.write(data)
    writer.close()


@pytest.fixture
async def link(tmp_path: Path) -> AsyncIterator[Link]:
    server = await asyncio.start_server(echo, "127.0.0.1", 0)
    host, port = server.sockets[0].getsockname()
    source = Program("instance-0", "zone-a", tmp_path, "")
    opened = Link(source, "i-1", "zone-b", f"{host}:{port}")
    await opened.start()
    yield opened
    await opened.stop()
    server.close()


async def echoed(reader: asyncio.StreamReader) -> bytes | None:
    """Return what arrives within 0.2 s, ``b""`` for an end, ``None`` for silence."""
    try:
        async with asyncio.timeout(0.2):
            return await reader.read(100)
    except TimeoutError:
        return None


async def connect(
    link: Link,
) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
    host, port = link.address.split(":")
    return await asyncio.open_connection(host, int(port))


async def test_connection_over_a_cut_link_stays_silent(link: Link) -> None:
    reader, writer = await connect(link)
    writer.write(b"one")
    assert await echoed(reader) == b"one"
    cut = Cut((link,), True, True, "")
    cut.begin()
    writer.write(b"two")
    assert await echoed(reader) is None
    cut.end()
    writer.write(b"three")
    assert await echoed(reader) is None
    writer.close()


async def test_connection_that_is_opened_over_a_cut_link_is_held(link: Link) -> None:
    Cut((link,), True, True, "").begin()
    link.port = 1  # Nobody listens there: a refusal would tell.
    reader, writer = await connect(link)
    writer.write(b"one")
    assert await echoed(reader) is None
    writer.close()


async def test_connection_opened_after_a_cut_works(link: Link) -> None:
    cut = Cut((link,), True, True, "")
    cut.begin()
    cut.end()
    reader, writer = await connect(link)
    writer.write(b"one")
    assert await echoed(reader) == b"one"
    writer.close()


async def test_cuts_that_overlap_last_until_each_has_ended(link: Link) -> None:
    requests = Cut((link,), True, False, "")
    answers = Cut((link,), False, True, "")
    both = Cut((link,), True, True, "zone-b")
    modes = []
    for change in (requests.begin, both.begin, both.end, answers.begin, requests.end):
        change()
        modes.append(link.mode)
    answers.end()
    assert modes == [
        LinkMode.ANSWERS_ONLY,
        LinkMode.SILENT,
        LinkMode.ANSWERS_ONLY,
        LinkMode.SILENT,
        LinkMode.ONE_WAY,
    ]
    assert link.mode is LinkMode.PASSES


async def test_link_leaves_a_zone_at_one_end_only(link: Link) -> None:
    assert [link.leaves(f"zone-{name}") for name in "abc"] == [True, True, False]


@pytest.mark.parametrize(
    ("table", "key", "replaced"),
    [
        ("servers", "i-1", True),
        ("targets", "i-1", True),
        ("control", "instance/instance-1", True),
        ("control", "instance/instance-0", False),
        ("servers", "i-2", False),
        ("jobs", "i-1", False),
    ],
)
def test_instance_is_given_the_addresses_of_its_own_links(
    table: str, key: str, replaced: bool
) -> None:
    view = view_of({"i-1": OWN_LINK, "instance-1": OWN_LINK})
    value = b"\xaf127.0.0.1:34567\x01"
    expected = b"\xaf" + OWN_LINK + b"\x01" if replaced else value
    assert view(RowKey(table, "", key), value) == expected
