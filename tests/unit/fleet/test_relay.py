"""Reads that an instance without a path to the store makes through a peer."""

from __future__ import annotations

import asyncio
import random
import zlib
from collections.abc import AsyncIterator
from dataclasses import dataclass, field

import pytest
from returns.result import Failure, Result, Success

from egretloft._internal.fleet.interfaces import (
    RowKey,
    RowPage,
    RowTransaction,
    StoredRow,
    StoreFailure,
    StoreFailureKind,
)
from egretloft._internal.fleet.store_access import (
    MAX_ANSWER_BYTES,
    StoreAccess,
    create_store_access,
    decode_answer,
)
from egretloft._internal.metrics import create_metrics
from egretloft._internal.models.members import Member
from egretloft._internal.peers.frames import MAX_FRAME_BYTES
from egretloft._internal.peers.network import PeerNetwork, create_peer_network
from egretloft._internal.platform.system_clock import create_system_clock
from lib.wire_builders import wire_configuration

CONFIG_KEY = RowKey("op", "", "config")
# More than fits into a frame of the peers' protocol.
ROUTES = 7_000
# A call without a large answer takes no longer than this.
CALL_SECONDS = 1.0


@dataclass(slots=True)
class FakeStore:
    """Answers with ``value`` after ``seconds``, or refuses every call."""

    value: bytes | None = None
    seconds: float = 0.0
    calls: list[str] = field(default_factory=list)

    async def commit(
        self, transaction: RowTransaction, timeout_seconds: float
    ) -> Result[int, StoreFailure]:
        return Failure(StoreFailure(StoreFailureKind.REFUSED, "refused"))

    async def read(
        self,
        table: str,
        part: str,
        timeout_seconds: float,
        from_key: str = "",
        to_key: str = "",
    ) -> Result[RowPage, StoreFailure]:
        return await self.answer()

    async def feed(
        self, table: str, after_version: int, wait_seconds: float
    ) -> Result[RowPage, StoreFailure]:
        return await self.answer()

    async def answer(self) -> Result[RowPage, StoreFailure]:
        if self.value is None:
            return Failure(StoreFailure(StoreFailureKind.REFUSED, "refused"))
        await asyncio.sleep(self.seconds)
        return Success(RowPage((StoredRow(CONFIG_KEY, self.value, 5),), 5))


@dataclass(slots=True)
class Side:
    """An instance's store access and its network."""

    store: FakeStore
    network: PeerNetwork
    access: StoreAccess


async def start_side(name: str, peer: str, store: FakeStore) -> Side:
    clock, metrics = create_system_clock(), create_metrics()
    network = create_peer_network(
        name, "127.0.0.1", 0, clock, metrics, random.Random(1)
    )
    await network.start()
    access = create_store_access(store, network, lambda: [peer], clock, metrics)
    return Side(store, network, access)


@pytest.fixture
async def sides() -> AsyncIterator[tuple[Side, Side]]:
    """Return an instance that the store refuses, and a peer that it serves."""
    serving = await start_side(
        "serving", "cut-off", FakeStore(wire_configuration(2, ROUTES))
    )
    cut_off = await start_side("cut-off", "serving", FakeStore())
    address = f"127.0.0.1:{serving.network.port}"
    member = Member("serving", "i", "", address, "region-1", "zone-1")
    await serving.access.read("op", "", CALL_SECONDS)
    cut_off.network.set_members([member])
    async with asyncio.timeout(5.0):
        while not cut_off.access.relay_peers():
            await asyncio.sleep(0.02)
    yield cut_off, serving
    await cut_off.network.stop()
    await serving.network.stop()


async def test_page_that_exceeds_a_frame_is_relayed(
    sides: tuple[Side, Side],
) -> None:
    """Guards against an instance that its peers cannot tell of a large change."""
    cut_off, serving = sides
    assert serving.store.value is not None
    assert len(serving.store.value) > MAX_FRAME_BYTES
    for page in (
        await cut_off.access.feed("op", 4, 1.0),
        await cut_off.access.read("op", "", CALL_SECONDS),
    ):
        assert page.unwrap().rows[0].value == serving.store.value


async def test_page_that_a_peer_receives_slowly_is_relayed(
    sides: tuple[Side, Side],
) -> None:
    """Guards against relayed reads that end while the peer receives the page."""
    cut_off, serving = sides
    serving.store.seconds = 2.5
    page = await cut_off.access.read("op", "", CALL_SECONDS)
    assert page.unwrap().rows[0].value == serving.store.value


async def test_relayed_read_ends_when_the_peer_dies(
    sides: tuple[Side, Side],
) -> None:
    """Guards against a long wait for an answer that cannot come any more."""
    cut_off, serving = sides
    serving.store.seconds = 60.0
    call = asyncio.create_task(cut_off.access.read("op", "", CALL_SECONDS))
    await asyncio.sleep(0.2)
    await serving.network.stop()
    async with asyncio.timeout(2.0):
        assert isinstance(await call, Failure)


@pytest.mark.parametrize(
    "body",
    [
        {},
        {"answer": b"\xc1"},
        {"answer": "text"},
        {"compressed_answer": b"not compressed"},
        {"compressed_answer": 7},
    ],
)
def test_unreadable_answer_of_a_peer_has_an_unknown_outcome(
    body: dict[str, object],
) -> None:
    failure = decode_answer(body).failure
    assert failure is not None
    assert failure.kind is StoreFailureKind.UNKNOWN


def test_answer_that_grows_beyond_the_limit_is_refused() -> None:
    """Guards against a small message that fills the memory when decompressed."""
    body = {"compressed_answer": zlib.compress(bytes(MAX_ANSWER_BYTES + 1))}
    assert decode_answer(body).failure is not None
