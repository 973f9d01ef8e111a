"""Decoding of the platform's rows and of submitted jobs into the scheduler's types."""

from __future__ import annotations

import ipaddress
import re

import msgspec
from returns.result import Failure, Result, Success

from egretloft._internal.codec import UNREADABLE
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
TARGET_STATES = frozenset({"ready", "draining"})
# A target's labels start with its kind and its rack.
MIN_LABELS = 2

# A job's tasks and their progress have to fit into the leader's memory and into one
# row of the store.
MAX_JOB_TASKS = 10_000
MILLISECONDS = 1000.0
PORT = re.compile(r"[1-9][0-9]{0,4}")
MAX_PORT = 65_535
# Characters of an unreadable value that a message shows.
MAX_SHOWN = 80

config_decoder = msgspec.json.Decoder(WireConfig, strict=False)
server_decoder = msgspec.json.Decoder(WireServer)
job_decoder = msgspec.json.Decoder(WireJob)


class PlatformRowDecoder:
    """Decodes the rows that operators and targets write."""

    def operator_table(self) -> str:
        """Return the name of the table that operators write."""
        return OPERATOR_TABLE

    def target_table(self) -> str:
        """Return the name of the table in which targets register."""
        return SERVER_TABLE

    def configuration(self, row: StoredRow) -> Result[Configuration, str] | None:
        """Return the configuration, or ``None`` if the row holds something else."""
        if row.key.key != CONFIG_KEY:
            return None
        try:
            wire = config_decoder.decode(row.value or b"")
        except UNREADABLE as error:
            return Failure(str(error))
        return Success(configuration_from_wire(wire))

    def evacuated_zone(self, row: StoredRow) -> str | None:
        """Return the zone that the row asks to evacuate, ``None`` for other rows."""
        if not row.key.key.startswith(EVACUATE_PREFIX):
            return None
        return row.key.key.removeprefix(EVACUATE_PREFIX)

    def target(self, row: StoredRow) -> Result[TargetReport, str]:
        """Return a target's report about itself, or why the row is malformed."""
        try:
            wire = server_decoder.decode(row.value or b"")
        except UNREADABLE as error:
            return Failure(str(error))
        if wire.state not in TARGET_STATES:
            return Failure(f"unknown state {wire.state!r}")
        if len(wire.labels) < MIN_LABELS:
            return Failure("labels missing")
        if not is_callable_address(wire.address):
            return Failure(f"no IP address and port: {wire.address[:MAX_SHOWN]!r}")
        return Success(
            TargetReport(
                target_id=row.key.key,
                address=wire.address,
                service=wire.backend,
                zone=wire.zone,
                rack=wire.labels[1],
                labels=frozenset(wire.labels),
                room=resources_from_wire(wire.free_resources),
                draining=wire.state == "draining",
                incarnation_ms=wire.born,
                remaining_seconds=seconds_from_ms(wire.remaining_ms),
            )
        )


def is_callable_address(address: str) -> bool:
    """Return whether the text is an IP address and a port, and nothing else."""
    host, separator, port = address.rpartition(":")
    if not separator or not PORT.fullmatch(port) or int(port) > MAX_PORT:
        return False
    try:
        if host.startswith("[") and host.endswith("]"):
            ipaddress.IPv6Address(host[1:-1])
        else:
            ipaddress.IPv4Address(host)
    except ValueError:
        return False
    return True


def seconds_from_ms(milliseconds: float | None) -> float | None:
    """Return a duration in seconds, or ``None`` if it is not given."""
    return None if milliseconds is None else milliseconds / MILLISECONDS


def resources_from_wire(wire: WireRoom) -> Resources:
    """Return the resources in a platform message."""
    return Resources(wire.cpu, wire.mem_mb, wire.gpus)


def configuration_from_wire(wire: WireConfig) -> Configuration:
    """Return the configuration in the platform's config row."""
    return Configuration(
        version=wire.version,
        queues=tuple(queue_from_route(route) for route in wire.routes),
        organisations=tuple(
            Organisation(
                tenant.name, frozenset(tenant.api_keys), tenant.guaranteed.gpus
            )
            for tenant in wire.tenants
        ),
        max_body_bytes=wire.limits.max_body_bytes,
    )


def queue_from_route(route: WireRoute) -> Queue:
    """Return the queue that the platform's config describes as a route."""
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


def decode_job(body: bytes) -> Result[JobSpec, str]:
    """Return the job in the body of a submission, or why it is malformed."""
    try:
        wire = job_decoder.decode(body)
    except UNREADABLE as error:
        return Failure(str(error))
    if not wire.phases:
        return Failure("a job needs at least one step")
    for number, step in enumerate(wire.phases):
        if step.replicas < 1:
            return Failure(f"step {number} has no tasks")
        if any(not 0 <= earlier < number for earlier in step.after):
            return Failure(
                f"step {number} depends on a step that is not listed before it"
            )
    tasks = max(1, wire.times) * sum(step.replicas for step in wire.phases)
    if tasks > MAX_JOB_TASKS:
        return Failure(
            f"the job has {tasks} tasks; at most {MAX_JOB_TASKS} are allowed"
        )
    steps = tuple(step_from_wire(step, wire.long_running) for step in wire.phases)
    return Success(
        JobSpec(
            payload=wire.spec,
            steps=steps,
            occurrences=wire.times,
            start_at_ms=int(wire.start_at_ms),
            interval_ms=int(wire.interval_ms),
        )
    )


def step_from_wire(wire: WireStep, job_long_running: bool) -> StepSpec:
    """Return a step of a job; it is long-running if the job or the step says so."""
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
        lasting=wire.long_running or job_long_running,
        image=wire.image,
        tail_target_ms=int(wire.target_ms),
        best_effort_cpu=bool(wire.utilization),
        max_unavailable=wire.max_unavailable,
    )


def create_platform_row_decoder() -> PlatformRowDecoder:
    """Return the decoder."""
    return PlatformRowDecoder()
