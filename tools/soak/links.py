"""Directed links from each instance to the store, the other instances and targets."""

from __future__ import annotations

import re
from collections.abc import Callable, Iterable
from dataclasses import dataclass

from egretloft._internal.fleet.constants import (
    INSTANCE_PREFIX,
    TABLE_CONTROL,
    TABLE_TARGETS,
)
from egretloft._internal.fleet.interfaces import RowKey
from soak.programs import Program
from soak.proxy import LinkMode, Proxy
from standins.fleet.http import HttpPlatform, View

STORE = "store"
TABLE_SERVERS = "servers"
ADDRESS = re.compile(rb"127\.0\.0\.1:\d{5}")


class Link(Proxy):
    """The connections that one instance opens to one destination.

    The zone of the store is empty. Cuts may overlap, so they are counted.
    """

    def __init__(self, source: Program, name: str, zone: str, address: str) -> None:
        host, port = address.split(":")
        super().__init__(host, int(port))
        self.source = source
        self.name = name
        self.zone = zone
        self.request_cuts = 0
        self.answer_cuts = 0

    def change(self, requests: int, answers: int) -> None:
        """Add to the numbers of cuts in each direction."""
        self.request_cuts += requests
        self.answer_cuts += answers
        if self.request_cuts and self.answer_cuts:
            self.mode = LinkMode.SILENT
        elif self.request_cuts:
            self.mode = LinkMode.ANSWERS_ONLY
        elif self.answer_cuts:
            self.mode = LinkMode.ONE_WAY
        else:
            self.mode = LinkMode.PASSES

    def leaves(self, zone: str) -> bool:
        """Return whether exactly one end is in a zone."""
        return (self.source.zone == zone) != (self.zone == zone)


@dataclass(slots=True, frozen=True)
class Cut:
    """Links that drop requests, answers or both; ``zone`` is the zone cut off."""

    links: tuple[Link, ...]
    requests: bool
    answers: bool
    zone: str

    def begin(self) -> None:
        """Let the links drop these directions."""
        for link in self.links:
            link.change(int(self.requests), int(self.answers))

    def end(self) -> None:
        """Undo ``begin``."""
        for link in self.links:
            link.change(-int(self.requests), -int(self.answers))


class Links:
    """All links of some instances.

    Each instance has a listener of the store of its own, which gives it the addresses
    of its own links in place of those of targets and other instances. An instance that
    reads the store through another one learns the addresses of the other's links until
    it reads the rows again.
    """

    def __init__(self, platform: HttpPlatform) -> None:
        self.platform = platform
        self.all: list[Link] = []

    async def open(self, programs: list[Program]) -> None:
        """Open the links between all instances, and to the store and all targets."""
        for program in programs:
            addresses: dict[str, bytes] = {}
            for other in programs:
                if other is not program:
                    address = f"127.0.0.1:{other.peer_port}"
                    link = await self.add(program, other.name, other.zone, address)
                    addresses[other.name] = link.address.encode()
            for name, address in self.platform.target_addresses.items():
                zone = self.platform.targets[name].zone
                link = await self.add(program, name, zone, address)
                addresses[name] = link.address.encode()
            store = await self.platform.open_store(view_of(addresses))
            program.store_address = (await self.add(program, STORE, "", store)).address

    async def add(self, source: Program, name: str, zone: str, address: str) -> Link:
        """Open one link."""
        link = Link(source, name, zone, address)
        await link.start()
        self.all.append(link)
        return link

    def select(self, condition: Callable[[Link], bool]) -> tuple[Link, ...]:
        """Return the links that meet a condition."""
        return tuple(link for link in self.all if condition(link))

    def of_zone(self, zone: str) -> tuple[Link, ...]:
        """Return the links that lead into a zone or out of it."""
        return self.select(lambda link: link.leaves(zone))

    def of_instance(self, name: str) -> tuple[Link, ...]:
        """Return all links of an instance, those of its peers to it included."""
        return self.select(lambda link: name in (link.source.name, link.name))

    def between_instances(self, name: str, others: Iterable[str]) -> tuple[Link, ...]:
        """Return the links between an instance and others, in both directions."""
        ends = frozenset(others)
        return self.select(
            lambda link: (
                (link.source.name == name and link.name in ends)
                or (link.name == name and link.source.name in ends)
            )
        )

    def to_store(self, name: str) -> tuple[Link, ...]:
        """Return the link of an instance to the store."""
        return self.select(lambda link: link.source.name == name and link.name == STORE)

    def to_targets(self, name: str, zone: str) -> tuple[Link, ...]:
        """Return the links of an instance to the targets of a zone."""
        targets = self.platform.targets
        return self.select(
            lambda link: (
                link.source.name == name and link.name in targets and link.zone == zone
            )
        )


def view_of(addresses: dict[str, bytes]) -> View:
    """Return a view with ``addresses`` by name for targets and other instances.

    An address is replaced by one of the same length, so encoded values stay valid. It
    may be that of another instance's link: a leader writes down the targets it uses.
    """

    def view(key: RowKey, value: bytes) -> bytes:
        name = key.key
        if key.table == TABLE_CONTROL and name.startswith(INSTANCE_PREFIX):
            name = name.removeprefix(INSTANCE_PREFIX)
        elif key.table not in (TABLE_SERVERS, TABLE_TARGETS):
            return value
        address = addresses.get(name)
        return value if address is None else ADDRESS.sub(address, value)

    return view
