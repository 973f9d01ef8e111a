"""Admission checks: refuse jobs and profiles that could never be served.

The checks take every known worker as empty, whether it is in service or not.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping

from egretloft._internal.models.jobs import JobSpec
from egretloft._internal.models.outcomes import Reason, Refusal, not_run
from egretloft._internal.models.profiles import Adjacency, Profile
from egretloft._internal.models.topology import Worker
from egretloft._internal.scheduling.cells import Cells
from egretloft._internal.scheduling.dispatch import Dispatcher
from egretloft._internal.scheduling.packing import create_guaranteed_cells, pack_all
from egretloft._internal.scheduling.settings import SchedulerSettings
from egretloft._internal.scheduling.state import State
from egretloft._internal.scheduling.tables import UNITS_PER_ACCELERATOR, JobRow


def check_job(
    spec: JobSpec,
    profile: Profile,
    workers: Iterable[Worker],
    profiles: Iterable[Profile],
) -> Refusal | None:
    """Return why the job could not run even on empty workers, ``None`` if it could.

    ``profiles`` are all profiles, because work that cannot restart must leave room for
    the guarantees of the other profiles.
    """
    if profile.services and spec.service not in profile.services:
        return not_run(
            Reason.UNKNOWN_SERVICE,
            f"service: {spec.service!r} is not in profile {profile.name!r}; "
            f"allowed: {', '.join(profile.services)}",
            "use a service of the profile or another profile",
        )
    limit = profile.limits.max_accelerators
    if limit and spec.accelerators > limit:
        return not_run(
            Reason.LIMIT_EXCEEDED,
            f"tasks x accelerators_per_task: {spec.accelerators}; profile "
            f"{profile.name!r} allows at most {limit}",
            "submit a smaller gang or raise limits.max_accelerators",
        )
    workers = list(workers)
    usable = [
        worker
        for worker in workers
        if worker.region == profile.region and worker.zone in profile.zones
    ]
    refusal = _check_task(spec, profile, usable)
    if refusal is not None:
        return refusal
    room: dict[tuple[str, ...], int] = {}
    for worker in usable:
        cell = _cell_of(worker, spec.adjacency)
        room[cell] = room.get(cell, 0) + tasks_on_empty_worker(spec, worker)
    most = max(room.values())
    if most < spec.tasks:
        return not_run(
            Reason.IMPOSSIBLE,
            f"tasks: {spec.tasks} of {spec.accelerators_per_task} accelerators, "
            f"{spec.cores} cores and {spec.memory_gb} GB with adjacency "
            f"{spec.adjacency.value!r}; one {spec.adjacency.value} of profile "
            f"{profile.name!r} holds at most {most}",
            "submit fewer tasks, smaller tasks or a wider adjacency",
        )
    if spec.restartable:
        return None
    refusal = _check_guarantee(spec, profile, usable)
    if refusal is not None:
        return refusal
    return _check_beside_others(spec, profile, workers, profiles)


def _can_be_bound(
    spec: JobSpec, profiles: Iterable[Profile], workers: Iterable[Worker]
) -> bool:
    """Return whether empty workers hold the job within its profile's guarantee."""
    state = State(SchedulerSettings())
    for worker in workers:
        state.cells.add_worker(worker)
    for profile in profiles:
        state.profiles[profile.name] = profile
        state.guarantees.set_profile(profile)
    state.guarantees.repack()
    return Dispatcher(state).bind_free_cells(JobRow(spec), False) is not None


def _check_beside_others(
    spec: JobSpec,
    profile: Profile,
    workers: Iterable[Worker],
    profiles: Iterable[Profile],
) -> Refusal | None:
    """Refuse work that cannot restart and leaves no room for other guarantees."""
    others = [
        other
        for other in profiles
        if other.name != profile.name and other.region == profile.region
    ]
    region = [worker for worker in workers if worker.region == profile.region]
    if _can_be_bound(spec, [profile, *others], region):
        return None
    return not_run(
        Reason.IMPOSSIBLE,
        "idempotent, checkpointable: both false; such work runs only within the "
        f"guarantee, and {spec.tasks} tasks of {spec.accelerators_per_task} "
        f"accelerators, {spec.cores} cores and {spec.memory_gb} GB with adjacency "
        f"{spec.adjacency.value!r} leave no room for the guarantees of other profiles",
        "make the job idempotent or checkpointable, submit a smaller gang, or use a "
        "wider adjacency",
    )


def _check_guarantee(
    spec: JobSpec, profile: Profile, workers: list[Worker]
) -> Refusal | None:
    """Refuse work that cannot restart and does not fit its profile's guarantee."""
    if _can_be_bound(spec, [profile], workers):
        return None
    shapes = ", ".join(
        f"{shape.count} x {shape.accelerators} ({shape.adjacency.value})"
        for shape in profile.guarantees
    )
    return not_run(
        Reason.IMPOSSIBLE,
        "idempotent, checkpointable: both false; such work runs only within the "
        f"guarantee, and profile {profile.name!r} guarantees {shapes or 'nothing'}; "
        f"this gang has {spec.tasks} tasks of {spec.accelerators_per_task} "
        f"accelerators, {spec.cores} cores and {spec.memory_gb} GB",
        "make the job idempotent or checkpointable, or submit a smaller gang",
    )


def _check_task(
    spec: JobSpec, profile: Profile, workers: list[Worker]
) -> Refusal | None:
    if not workers:
        return not_run(
            Reason.IMPOSSIBLE,
            f"profile: {profile.name!r} has no worker in its zones "
            f"{', '.join(profile.zones)}",
            "use a profile whose zones have workers",
        )
    for name, value, most in (
        (
            "accelerators_per_task",
            spec.accelerators_per_task,
            max(worker.accelerators for worker in workers),
        ),
        ("cores", spec.cores, max(worker.cores for worker in workers)),
        ("memory_gb", spec.memory_gb, max(worker.memory_gb for worker in workers)),
    ):
        if value > most:
            return not_run(
                Reason.IMPOSSIBLE,
                f"{name}: {value}; the largest worker of profile "
                f"{profile.name!r} has {most}",
                f"submit tasks with at most {most}",
            )
    return None


def _cell_of(worker: Worker, adjacency: Adjacency) -> tuple[str, ...]:
    if adjacency is Adjacency.WORKER:
        return (worker.zone, worker.rack, worker.worker_id)
    if adjacency is Adjacency.RACK:
        return (worker.zone, worker.rack)
    return (worker.zone,)


def tasks_on_empty_worker(spec: JobSpec, worker: Worker) -> int:
    """Return how many tasks of the job fit on the worker when it is empty."""
    fit = spec.tasks
    for need, total in (
        (spec.accelerators_per_task, worker.accelerators),
        (spec.cores, worker.cores),
        (spec.memory_gb, worker.memory_gb),
    ):
        if need:
            fit = min(fit, total // need)
    return fit


def check_profiles(
    profiles: Mapping[str, Profile] | Iterable[Profile], workers: Iterable[Worker]
) -> Refusal | None:
    """Return why the guarantees cannot all be met at once, ``None`` if they can."""
    if isinstance(profiles, Mapping):
        profiles = profiles.values()
    by_region: dict[str, list[Profile]] = {}
    for profile in profiles:
        by_region.setdefault(profile.region, []).append(profile)
    workers = list(workers)
    for region, members in by_region.items():
        topology = Cells()
        for worker in workers:
            if worker.region == region:
                topology.add_worker(worker)
        cells = [cell for each in members for cell in create_guaranteed_cells(each)]
        if pack_all(cells, topology):
            continue
        cell = next(each for each in cells if not each.placed)
        total = sum(each.worker.accelerators for each in topology.workers.values())
        wanted = sum(each.size for each in cells) // UNITS_PER_ACCELERATOR
        return not_run(
            Reason.INFEASIBLE_GUARANTEES,
            f"guarantees: {cell.size // UNITS_PER_ACCELERATOR} accelerators with "
            f"adjacency {cell.adjacency.value!r} in zones {', '.join(cell.zones)} of "
            f"profile {cell.profile!r} cannot be packed beside the other guarantees; "
            f"{wanted} accelerators are guaranteed and region {region!r} has {total}",
            "reduce a guaranteed shape, widen its adjacency or add zones",
        )
    return None
