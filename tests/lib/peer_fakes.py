"""An in-memory peer network with latency and links that can be cut."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable, Collection
from dataclasses import dataclass, field
from typing import Any

from returns.result import Failure, Success

from egretloft._internal.models.members import Member
from egretloft._internal.models.outcomes import Reason
from egretloft._internal.peers.network import (
    SILENCE_SECONDS,
    TICK_SECONDS,
    TICKS_PER_HEARTBEAT,
)
from egretloft._internal.peers.protocols import (
    CallResult,
    DatedHeartbeat,
    Handler,
    HeartbeatSource,
    PeerFailure,
    PeerFailureKind,
)
from standins.fleet.store import TIME_RESOLUTION_SECONDS

HEARTBEAT_SECONDS = TICK_SECONDS * TICKS_PER_HEARTBEAT


async def no_delay() -> None:
    """Return without a delay."""


def never_separated(one: str, other: str) -> bool:
    """Return whether two instances are in zones that are cut off from each other."""
    return False


@dataclass(slots=True)
class PeerHub:
    """All fake networks by address; cut links lose calls, answers and heartbeats."""

    networks: dict[str, FakePeers] = field(default_factory=dict)
    cut: set[frozenset[str]] = field(default_factory=set)
    latency: Callable[[], Awaitable[None]] = no_delay
    separates: Callable[[str, str], bool] = never_separated
    tasks: set[asyncio.Task[None]] = field(default_factory=set)

    def connected(self, one: str, other: str) -> bool:
        if self.separates(one, other) or frozenset({one, other}) in self.cut:
            return False
        return other in self.networks


@dataclass(slots=True)
class FakePeers:
    """The network of one process.

    ``wait_until_thawed`` blocks its calls while it is frozen. Dated heartbeats are
    those that have arrived, once ``start_heartbeats`` was called; what peers know of
    each other otherwise is up to date.
    """

    hub: PeerHub
    instance_id: str
    address: str
    wait_until_thawed: Callable[[], Awaitable[None]] = no_delay
    heartbeat_sources: list[HeartbeatSource] = field(default_factory=list)
    handlers: dict[str, Handler] = field(default_factory=dict)
    addresses: dict[str, str] = field(default_factory=dict)
    received: dict[str, tuple[dict[str, Any], float]] = field(default_factory=dict)
    heartbeat_task: asyncio.Task[None] | None = None

    def close(self) -> None:
        if self.heartbeat_task is not None:
            self.heartbeat_task.cancel()
        if self.hub.networks.get(self.address) is self:
            del self.hub.networks[self.address]
            for network in self.hub.networks.values():
                network.received.pop(self.instance_id, None)

    def start_heartbeats(self) -> None:
        """Send a heartbeat to all connected peers periodically, until closed."""
        self.heartbeat_task = asyncio.create_task(self.send_heartbeats())

    async def send_heartbeats(self) -> None:
        while True:
            await self.wait_until_thawed()
            body = self.heartbeat_body()
            for network in self.connected_networks():
                task = asyncio.create_task(network.receive(self.instance_id, body))
                self.hub.tasks.add(task)
                task.add_done_callback(self.hub.tasks.discard)
            await asyncio.sleep(HEARTBEAT_SECONDS)

    async def receive(self, sender: str, body: dict[str, Any]) -> None:
        """Take a heartbeat; a frozen process reads it when it goes on."""
        await self.hub.latency()
        await self.wait_until_thawed()
        self.received[sender] = (body, asyncio.get_running_loop().time())

    def connected_networks(self) -> list[FakePeers]:
        """Return the peers that this one is connected to, whoever dialled."""
        return [
            network
            for network in self.hub.networks.values()
            if network is not self
            and (
                network.is_alive(self.instance_id) or self.is_alive(network.instance_id)
            )
        ]

    def register(self, call_type: str, handler: Handler) -> None:
        self.handlers[call_type] = handler

    def set_members(self, members: Collection[Member]) -> None:
        self.addresses = {m.instance_id: m.peer_address for m in members}

    def is_alive(self, instance_id: str) -> bool:
        address = self.addresses.get(instance_id, "")
        return self.hub.connected(self.address, address)

    def alive_ids(self) -> set[str]:
        return {
            network.instance_id
            for network in self.hub.networks.values()
            if network.is_alive(self.instance_id) or self.is_alive(network.instance_id)
        }

    def last_heartbeat(self, instance_id: str) -> dict[str, Any]:
        if not self.is_alive(instance_id):
            return {}
        return self.hub.networks[self.addresses[instance_id]].heartbeat_body()

    def inbound_heartbeats(self) -> list[dict[str, Any]]:
        return [
            network.heartbeat_body()
            for network in self.hub.networks.values()
            if network.is_alive(self.instance_id)
        ]

    def dated_heartbeats(self) -> list[DatedHeartbeat]:
        if self.heartbeat_task is not None:
            now = asyncio.get_running_loop().time()
            return [
                DatedHeartbeat(sender, body, now - at)
                for sender, (body, at) in self.received.items()
                if now - at <= SILENCE_SECONDS
            ]
        alive = self.alive_ids() - {self.instance_id}
        return [
            DatedHeartbeat(network.instance_id, network.heartbeat_body(), 0.0)
            for network in self.hub.networks.values()
            if network.instance_id in alive
        ]

    def heartbeat_body(self) -> dict[str, Any]:
        body: dict[str, Any] = {}
        for source in self.heartbeat_sources:
            body.update(source())
        return body

    async def call(
        self,
        instance_id: str,
        call_type: str,
        body: dict[str, Any],
        timeout_seconds: float,
    ) -> CallResult:
        await self.wait_until_thawed()
        if not self.is_alive(instance_id):
            return Failure(
                PeerFailure(
                    PeerFailureKind.NOT_SENT, Reason.PEER_UNREACHABLE, "no connection"
                )
            )
        answer: asyncio.Future[dict[str, Any]] = asyncio.Future()
        # A separate task, because the peer goes on after the caller's timeout.
        task = asyncio.create_task(
            self.deliver(self.addresses[instance_id], call_type, body, answer)
        )
        self.hub.tasks.add(task)
        task.add_done_callback(self.hub.tasks.discard)
        try:
            async with asyncio.timeout(max(timeout_seconds, TIME_RESOLUTION_SECONDS)):
                await self.wait_for_answer(instance_id, answer)
        except TimeoutError:
            pass
        finally:
            await self.wait_until_thawed()
        if answer.done():
            return Success(answer.result())
        return Failure(
            PeerFailure(PeerFailureKind.UNKNOWN, Reason.PEER_UNREACHABLE, "no answer")
        )

    async def wait_for_answer(
        self, instance_id: str, answer: asyncio.Future[dict[str, Any]]
    ) -> None:
        """Return when the call is answered, or when its peer has become silent."""
        while not answer.done():
            await asyncio.wait({answer}, timeout=SILENCE_SECONDS)
            if not answer.done() and await self.is_silent(instance_id):
                return

    async def is_silent(self, instance_id: str) -> bool:
        """Return whether the peer is cut off or stays frozen for a while."""
        if not self.is_alive(instance_id):
            return True
        peer = self.hub.networks[self.addresses[instance_id]]
        try:
            async with asyncio.timeout(SILENCE_SECONDS):
                await peer.wait_until_thawed()
        except TimeoutError:
            return True
        return False

    async def deliver(
        self,
        address: str,
        call_type: str,
        body: dict[str, Any],
        answer: asyncio.Future[dict[str, Any]],
    ) -> None:
        await self.hub.latency()
        peer = self.hub.networks.get(address)
        if peer is None or not self.hub.connected(self.address, address):
            return
        await peer.wait_until_thawed()
        result = await peer.handlers[call_type](self.instance_id, body)
        await peer.wait_until_thawed()
        await self.hub.latency()
        if self.hub.connected(self.address, address) and not answer.done():
            answer.set_result(result)


def create_fake_peers(
    hub: PeerHub,
    member: Member,
    wait_until_thawed: Callable[[], Awaitable[None]] = no_delay,
) -> FakePeers:
    """Return the network of ``member``, reachable through ``hub``."""
    network = FakePeers(hub, member.instance_id, member.peer_address, wait_until_thawed)
    hub.networks[member.peer_address] = network
    return network
