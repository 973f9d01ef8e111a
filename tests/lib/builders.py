"""Builds test data with defaults for all values."""

from __future__ import annotations

from egretloft._internal.models.jobs import JobSpec, Priority
from egretloft._internal.models.profiles import (
    Adjacency,
    GuaranteedShape,
    Limits,
    Profile,
)
from egretloft._internal.models.topology import Worker


def build_job(
    job_id: str = "job-1",
    *,
    organisation: str = "org-a",
    tasks: int = 1,
    accelerators_per_task: int = 1,
    adjacency: Adjacency = Adjacency.WORKER,
    idempotent: bool = True,
    checkpointable: bool = True,
    priority: Priority = Priority.NORMAL,
    declared_seconds: float = 60.0,
    cores: int = 1,
    memory_gb: int = 1,
    submitted_at: float = 0.0,
) -> JobSpec:
    """Return a job whose profile is named after its organisation."""
    return JobSpec(
        job_id=job_id,
        organisation=organisation,
        profile=organisation,
        region="region-1",
        service="service-1",
        tasks=tasks,
        accelerators_per_task=accelerators_per_task,
        cores=cores,
        memory_gb=memory_gb,
        adjacency=adjacency,
        declared_seconds=declared_seconds,
        command="sleep 1",
        idempotent=idempotent,
        checkpointable=checkpointable,
        priority=priority,
        submitted_at=submitted_at,
    )


def build_profile(
    organisation: str = "org-a",
    *,
    zones: tuple[str, ...] = ("zone-1",),
    guarantees: tuple[GuaranteedShape, ...] = (),
    limits: Limits | None = None,
    services: tuple[str, ...] = ("service-1",),
) -> Profile:
    """Return a profile named after its organisation."""
    return Profile(
        name=organisation,
        organisation=organisation,
        region="region-1",
        zones=zones,
        guarantees=guarantees,
        limits=limits or Limits(),
        services=services,
    )


def build_workers(
    zones: tuple[str, ...] = ("zone-1",),
    racks_per_zone: int = 1,
    workers_per_rack: int = 6,
    accelerators: int = 8,
    cores: int = 64,
    memory_gb: int = 256,
) -> list[Worker]:
    """Return identical workers in racks of equal size.

    Worker ids are ``<zone>-r<rack>-w<worker>``.
    """
    return [
        Worker(
            worker_id=f"{zone}-r{rack}-w{index}",
            region="region-1",
            zone=zone,
            rack=f"{zone}-r{rack}",
            cores=cores,
            memory_gb=memory_gb,
            accelerators=accelerators,
        )
        for zone in zones
        for rack in range(racks_per_zone)
        for index in range(workers_per_rack)
    ]
