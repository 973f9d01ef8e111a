"""Rows of operators and runners, decoded into the product's terms."""

from __future__ import annotations

import msgspec
from returns.result import Failure, Result, Success

from egretloft._internal.fleet.interfaces import StoredRow
from egretloft._internal.fleet.models import (
    Configuration,
    JobSpec,
    Organisation,
    Queue,
    Resources,
    StepSpec,
    TargetReport,
)
from egretloft.platform.wire import (
    WireConfig,
    WireJob,
    WireRoom,
    WireRoute,
    WireServer,
    WireStep,
)

OPERATOR_TABLE = "op"
SERVER_TABLE = "servers"
CONFIG_KEY = "config"
EVACUATE_PREFIX = "evacuate/"
STATES = frozenset({"ready", "draining"})
# A runner's labels are its kind and its rack.
LABELS = 2

config_decoder = msgspec.json.Decoder(WireConfig, strict=False)
server_decoder = msgspec.json.Decoder(WireServer)
job_decoder = msgspec.json.Decoder(WireJob)


class PlatformRowDecoder:
    """Decoder of the platform's rows."""

    def operator_table(self) -> str:
        """Return the table that operators write."""
        return OPERATOR_TABLE

    def target_table(self) -> str:
        """Return the table in which targets register."""
        return SERVER_TABLE

    def configuration(self, row: StoredRow) -> Result[Configuration, str] | None:
        """Return the configuration, or ``None`` if the row holds something else."""
        if row.key.key != CONFIG_KEY:
            return None
        try:
            wire = config_decoder.decode(row.value or b"")
        except msgspec.MsgspecError as error:
            return Failure(str(error))
        return Success(configuration_of(wire))

    def evacuated_zone(self, row: StoredRow) -> str | None:
        """Return the zone whose evacuation the row asks for."""
        if not row.key.key.startswith(EVACUATE_PREFIX):
            return None
        return row.key.key.removeprefix(EVACUATE_PREFIX)

    def target(self, row: StoredRow) -> Result[TargetReport, str]:
        """Return what a target says of itself."""
        try:
            wire = server_decoder.decode(row.value or b"")
        except msgspec.MsgspecError as error:
            return Failure(str(error))
        if wire.state not in STATES:
            return Failure(f"state {wire.state!r} is not known")
        if len(wire.labels) < LABELS or ":" not in wire.address:
            return Failure("labels or address missing")
        return Success(
            TargetReport(
                target_id=row.key.key,
                address=wire.address,
                service=wire.backend,
                zone=wire.zone,
                rack=wire.labels[1],
                labels=frozenset(wire.labels),
                room=room_of(wire.free_resources),
                draining=wire.state == "draining",
                incarnation_ms=wire.born,
            )
        )


def room_of(wire: WireRoom) -> Resources:
    """Return a room."""
    return Resources(wire.cpu, wire.mem_mb, wire.gpus)


def configuration_of(wire: WireConfig) -> Configuration:
    """Return a config in the product's terms."""
    return Configuration(
        version=wire.version,
        queues=tuple(queue_of(route) for route in wire.routes),
        organisations=tuple(
            Organisation(
                tenant.name, frozenset(tenant.api_keys), tenant.guaranteed.gpus
            )
            for tenant in wire.tenants
        ),
        max_body_bytes=wire.limits.max_body_bytes,
    )


def queue_of(route: WireRoute) -> Queue:
    """Return a route as a queue."""
    return Queue(
        name=route.name,
        host=route.host,
        path_prefix=route.path_prefix,
        service=route.backend,
        priority=route.priority,
        attempts=max(1, route.attempts),
        slack_factor=route.slack_factor,
        latency_target_ms=int(route.target_latency_ms),
        public=route.public,
        requires_ticket=route.hint is not None,
    )


def job_of(body: bytes) -> Result[JobSpec, str]:
    """Return the job in a submission's body, or why it is malformed."""
    try:
        wire = job_decoder.decode(body)
    except msgspec.MsgspecError as error:
        return Failure(str(error))
    if not wire.phases:
        return Failure("a job needs a step")
    for number, step in enumerate(wire.phases):
        if step.replicas < 1:
            return Failure(f"step {number} has no tasks")
        if any(not 0 <= earlier < number for earlier in step.after):
            return Failure(f"step {number} comes after a step that is not earlier")
    steps = tuple(step_of(step, wire.long_running) for step in wire.phases)
    return Success(
        JobSpec(
            payload=wire.spec,
            steps=steps,
            occurrences=wire.times,
            start_at_ms=int(wire.start_at_ms),
            interval_ms=int(wire.interval_ms),
        )
    )


def step_of(wire: WireStep, lasting: bool) -> StepSpec:
    """Return a step in the product's terms."""
    return StepSpec(
        tasks=wire.replicas,
        room=Resources(wire.cpu, wire.mem_mb, wire.gpus),
        estimate_ms=int(wire.estimate_ms),
        after=tuple(wire.after),
        checkpoints=wire.checkpointing,
        gang=wire.coscheduled,
        same_rack=wire.same_rack,
        label=wire.node_selector,
        data_rack=wire.affinity,
        max_per_target=wire.anti_affinity,
        speculative=wire.speculative,
        lasting=wire.long_running or lasting,
        image=wire.image,
        tail_target_ms=int(wire.target_ms),
        best_effort_cpu=bool(wire.utilization),
        max_unavailable=wire.max_unavailable,
    )


def create_platform_row_decoder() -> PlatformRowDecoder:
    """Return the decoder."""
    return PlatformRowDecoder()
