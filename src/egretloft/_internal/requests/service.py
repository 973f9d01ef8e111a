"""The request service of an entry instance.

It receives requests from callers, forwards them to the owner of a runner group, and
runs forwarded requests for the groups that this instance owns.
"""

from __future__ import annotations

import asyncio
import random
from collections.abc import Awaitable, Callable, Mapping
from typing import Any

import msgspec
import structlog
from returns.result import Failure, Result

from egretloft._internal.metrics import Metrics
from egretloft._internal.models.outcomes import (
    OutcomeKind,
    Reason,
    Refusal,
    not_run,
)
from egretloft._internal.models.profiles import Profile
from egretloft._internal.models.requests import Answer, ServiceRequest
from egretloft._internal.platform.protocols import (
    Clock,
    ObjectStore,
    RunnerClient,
    TableService,
)
from egretloft._internal.requests.delivery import (
    Delivery,
    create_delivery,
    stale_view,
)
from egretloft._internal.requests.dispatch import (
    GroupLoad,
    RunnerGroup,
    create_runner_group,
    partition_of,
)
from egretloft._internal.requests.interfaces import (
    Ownership,
    PeerNetwork,
    SafeWriter,
    Topology,
    View,
)
from egretloft._internal.requests.key_memory import KeyMemory, create_key_memory
from egretloft._internal.requests.limits import InFlightLimit, create_in_flight_limit
from egretloft._internal.requests.messages import (
    Forward,
    KeyQuery,
    KeyReply,
    Reply,
    decode_forward,
    encode_message,
    refusal_reply,
)
from egretloft._internal.requests.once import (
    NonIdempotentRequests,
    create_non_idempotent_requests,
)
from egretloft._internal.requests.records import create_request_records, record_key
from egretloft._internal.requests.retry_budget import create_retry_budget
from egretloft._internal.requests.routing import (
    HEARTBEAT_FIELD,
    LINK_SECONDS,
    create_router,
    encode_load,
)

log = structlog.get_logger(__name__)

TICK_SECONDS = 0.1
# At a planned stop, requests still queued after this time are refused, so that their
# receivers send them to another owner.
QUEUE_DRAIN_SECONDS = 5.0
# The limit on waiting for requests in flight at a planned stop.
DRAIN_SECONDS = 30.0
DRAIN_POLL_SECONDS = 0.05

CompletedCallback = Callable[[ServiceRequest, Answer], None]
ReleaseCallback = Callable[[], Awaitable[object]]


class RequestService:
    """Receives requests, and dispatches them for the runner groups it owns."""

    def __init__(
        self,
        instance_id: str,
        view: View,
        ownership: Ownership,
        topology: Topology,
        client: RunnerClient,
        clock: Clock,
        metrics: Metrics,
        limit: InFlightLimit,
        memory: KeyMemory,
        on_completed: CompletedCallback | None,
    ) -> None:
        self.instance_id = instance_id
        self.view = view
        self.ownership = ownership
        self.topology = topology
        self.client = client
        self.clock = clock
        self.metrics = metrics
        self.limit = limit
        self.memory = memory
        self.on_completed = on_completed
        # Set by the factory, because both need this object's ``run_forward``.
        self.delivery: Delivery
        self.non_idempotent: NonIdempotentRequests
        self.groups: dict[str, RunnerGroup] = {}
        # Groups of ended epochs that still have requests at runners.
        self.former_groups: list[RunnerGroup] = []
        self.tasks: set[asyncio.Task[Result[Answer, Refusal]]] = set()
        self.draining = False

    async def submit(self, request: ServiceRequest) -> Result[Answer, Refusal]:
        """Run the request and return its answer or a typed refusal.

        If the caller disconnects, an idempotent request is cancelled. A non-idempotent
        one runs on, so that the final state of its record is written.
        """
        task = asyncio.create_task(self._serve(request))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        try:
            return await asyncio.shield(task)
        except asyncio.CancelledError:
            if request.idempotent:
                task.cancel()
            raise

    async def run_forward(self, forward: Forward) -> Reply:
        """Run a forwarded attempt on this instance's runner group."""
        partition = partition_of(forward.service, forward.zone)
        self._ensure_group(forward.service, forward.zone)
        group = self.groups.get(partition)
        if group is None:
            refusal = not_run(
                Reason.DRAINING if self.draining else Reason.NOT_OWNER,
                f"{self.instance_id} does not own {partition}",
            )
            return refusal_reply(forward.attempt_id, refusal)
        reply = await group.submit(forward)
        return msgspec.structs.replace(reply, load=encode_load(group.load()))

    async def handle_forward(
        self, instance_id: str, body: Mapping[str, Any]
    ) -> dict[str, Any]:
        """Answer a peer call of type ``messages.FORWARD_TYPE``."""
        forward = decode_forward(body)
        if isinstance(forward, Failure):
            self.metrics.count("forwards_malformed")
            log.warning(
                "malformed forwarded request refused",
                peer=instance_id,
                error=forward.failure(),
            )
            refusal = not_run(Reason.MALFORMED, forward.failure())
            attempt_id = str(body.get("attempt_id", ""))
            return encode_message(refusal_reply(attempt_id, refusal))
        return encode_message(await self.run_forward(forward.unwrap()))

    async def handle_key_query(
        self, instance_id: str, body: Mapping[str, Any]
    ) -> dict[str, Any]:
        """Answer a peer call of type ``messages.KEY_QUERY_TYPE``."""
        try:
            query = msgspec.convert(body, KeyQuery)
        except msgspec.ValidationError as error:
            log.warning(
                "malformed request key query received",
                peer=instance_id,
                error=str(error),
            )
            return encode_message(KeyReply(unseen=False, sure=False))
        return encode_message(self.non_idempotent.answer_query(query))

    def heartbeat(self) -> dict[str, Any]:
        """Return the load reports of the owned runner groups."""
        return {
            HEARTBEAT_FIELD: {
                partition: encode_load(group.load())
                for partition, group in self.groups.items()
                if group.check_group() is None
            }
        }

    def group_load(self, partition: str) -> GroupLoad | None:
        """Return the load of an owned runner group."""
        group = self.groups.get(partition)
        return group.load() if group is not None else None

    async def tick(self) -> None:
        """Apply changes of ownership and of the roster, and tick the runner groups."""
        self.memory.update_members(self.view.members)
        self.memory.prune()
        for service, zone in runner_groups(self.topology):
            self._ensure_group(service, zone)
        for partition, group in list(self.groups.items()):
            group.tick()
            if self._epoch(partition) != group.epoch:
                del self.groups[partition]
                self.former_groups.append(group)
        for group in self.former_groups:
            group.tick()
        self.former_groups = [group for group in self.former_groups if group.tasks]

    async def drain(
        self, release: ReleaseCallback, limit_seconds: float = DRAIN_SECONDS
    ) -> bool:
        """Stop admission and wait; return whether all requests in flight finished.

        Called after the instance has reported not ready for the grace time.
        ``release`` releases the ownership of the partitions. It is called once the
        groups' queues are empty and every request that was sent shows in the runners'
        own counts, because the next owner learns the load from these counts. After
        ``limit_seconds`` it is called in any case.
        """
        ends_at = self.clock.monotonic() + limit_seconds
        self.draining = True
        groups = list(self.groups.values())
        for group in groups:
            group.close()
        queue_ends_at = min(ends_at, self.clock.monotonic() + QUEUE_DRAIN_SECONDS)
        while not all(group.can_hand_over() for group in groups):
            if self.clock.monotonic() >= queue_ends_at:
                for group in groups:
                    group.refuse_queued()
            if self.clock.monotonic() >= ends_at:
                break
            for group in groups:
                group.tick()
            await asyncio.sleep(DRAIN_POLL_SECONDS)
        await release()
        while self.in_flight():
            if self.clock.monotonic() >= ends_at:
                return False
            await asyncio.sleep(DRAIN_POLL_SECONDS)
        return True

    def in_flight(self) -> int:
        """Return the number of requests and record writes in progress."""
        groups = [*self.groups.values(), *self.former_groups]
        return (
            len(self.tasks)
            + len(self.non_idempotent.final_writes)
            + sum(group.in_progress for group in groups)
        )

    async def _serve(self, request: ServiceRequest) -> Result[Answer, Refusal]:
        started = self.clock.monotonic()
        key = "" if request.idempotent else record_key(request)
        if key:
            self.memory.begin(key)
        maybe_ran = True
        try:
            result, ran = await self._admit(request, started + request.deadline_seconds)
            refusal = result.failure() if isinstance(result, Failure) else None
            maybe_ran = refusal is None or refusal.kind is OutcomeKind.UNKNOWN
        finally:
            if key:
                self.memory.end(key, maybe_ran)
        if refusal is None:
            seconds = self.clock.monotonic() - started
            self.metrics.observe_seconds(
                "request_seconds", seconds, service=request.service
            )
            if ran and self.on_completed is not None:
                self.on_completed(request, result.unwrap())
        return result

    async def _admit(
        self, request: ServiceRequest, deadline: float
    ) -> tuple[Result[Answer, Refusal], bool]:
        """Return the outcome, and whether this submission itself ran the request."""
        profile = self._check_request(request)
        if isinstance(profile, Refusal):
            return await self._refuse(request, profile), False
        if not self.limit.enter(profile, len(self.view.members)):
            refusal = not_run(
                Reason.LIMIT_EXCEEDED,
                "too many requests of the organisation are in flight",
                "wait for answers before sending more",
            )
            return await self._refuse(request, refusal), False
        try:
            if request.idempotent:
                return await self.delivery.deliver(request, deadline, deadline), True
            return await self.non_idempotent.run(request, deadline)
        finally:
            self.limit.leave(profile)

    async def _refuse(
        self, request: ServiceRequest, refusal: Refusal
    ) -> Result[Answer, Refusal]:
        if request.idempotent:
            return Failure(refusal)
        return await self.non_idempotent.refuse(request, refusal)

    def _check_request(self, request: ServiceRequest) -> Profile | Refusal:
        if self.draining:
            return not_run(
                Reason.DRAINING,
                "this instance is stopping",
                "repeat the request at another instance",
            )
        if not self.view.is_fresh():
            return stale_view()
        profile = self.view.profiles.get(request.profile)
        if profile is None:
            return not_run(Reason.UNKNOWN_PROFILE, f"no profile {request.profile}")
        if profile.organisation != request.organisation:
            return not_run(
                Reason.UNKNOWN_ORGANISATION,
                f"profile {request.profile} does not belong to {request.organisation}",
            )
        if request.service not in profile.services:
            return not_run(
                Reason.UNKNOWN_SERVICE,
                f"profile {request.profile} has no service {request.service}",
            )
        return profile

    def _epoch(self, partition: str) -> int | None:
        epoch = self.ownership.holds(partition)
        return epoch.number if epoch is not None else None

    def _ensure_group(self, service: str, zone: str) -> None:
        partition = partition_of(service, zone)
        epoch = self._epoch(partition)
        group = self.groups.get(partition)
        if epoch is None or self.draining:
            return
        if group is not None:
            if group.epoch == epoch:
                return
            # The new group learns from the runners' own counts how many requests the
            # ended epoch has at them.
            group.refuse_queued()
            self.former_groups.append(group)
        self.groups[partition] = create_runner_group(
            service,
            zone,
            epoch,
            ownership=self.ownership,
            view=self.view,
            topology=self.topology,
            client=self.client,
            clock=self.clock,
            metrics=self.metrics,
        )


def runner_groups(topology: Topology) -> set[tuple[str, str]]:
    """Return the service and zone of every runner group in the topology."""
    return {(record.service, record.zone) for record in topology.runners.values()}


def runner_partitions(topology: Topology, region: str) -> set[str]:
    """Return the partitions of a region, for ``Ownership.set_candidates``."""
    return {
        partition_of(record.service, record.zone)
        for record in topology.runners.values()
        if record.region == region
    }


def create_request_service(
    instance_id: str,
    zone: str,
    *,
    view: View,
    ownership: Ownership,
    topology: Topology,
    network: PeerNetwork,
    table: TableService,
    objects: ObjectStore,
    writer: SafeWriter,
    client: RunnerClient,
    clock: Clock,
    metrics: Metrics,
    generator: random.Random,
    link_seconds: float = LINK_SECONDS,
    on_completed: CompletedCallback | None = None,
) -> RequestService:
    """Return the request service of an instance in ``zone``.

    The daemon registers ``handle_forward`` and ``handle_key_query`` with its peer
    network, adds ``heartbeat`` to the heartbeat sources and calls ``tick`` every
    ``TICK_SECONDS``. ``link_seconds`` is the round-trip time between zones.
    ``on_completed`` is called once for each request that this instance completed.
    """
    memory = create_key_memory(clock)
    service = RequestService(
        instance_id,
        view,
        ownership,
        topology,
        client,
        clock,
        metrics,
        create_in_flight_limit(),
        memory,
        on_completed,
    )
    router = create_router(
        instance_id,
        zone,
        view=view,
        ownership=ownership,
        topology=topology,
        network=network,
        own_load=service.group_load,
        generator=generator,
        link_seconds=link_seconds,
    )
    service.delivery = create_delivery(
        instance_id,
        view=view,
        network=network,
        router=router,
        budget=create_retry_budget(clock),
        run_locally=service.run_forward,
        clock=clock,
        metrics=metrics,
        generator=generator,
    )
    service.non_idempotent = create_non_idempotent_requests(
        instance_id,
        view=view,
        network=network,
        records=create_request_records(
            instance_id, table=table, objects=objects, writer=writer, clock=clock
        ),
        delivery=service.delivery,
        memory=memory,
        clock=clock,
        metrics=metrics,
    )
    return service
