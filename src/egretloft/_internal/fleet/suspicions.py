"""What has become of a target that failed just after a suspected start."""

from __future__ import annotations

from collections.abc import Iterable, Set
from dataclasses import dataclass
from enum import StrEnum

from egretloft._internal.fleet.crash_suspects import may_have_crashed
from egretloft._internal.fleet.records import RunPlace
from egretloft._internal.fleet.tables import FleetTables, JobRow, TargetRow, TaskRow

# Failures that are noticed within this time of each other may have one cause: a call
# to a target that does not answer takes up to 1.6 s to fail.
SIMULTANEOUS_SECONDS = 2.0
# More targets than this do not fail at once through tasks of their own, and neither
# does a larger share of all targets.
MAX_UNRELATED_FAILURES = 1
MAX_UNRELATED_SHARE = 0.05


class TargetFate(StrEnum):
    """What is known of a target since it failed."""

    # Silent, or not listed: cut off, paused or crashed.
    UNKNOWN = "unknown"
    # It has answered again in the same incarnation.
    SURVIVED = "survived"
    # A later incarnation is there, or another one has its address.
    CRASHED = "crashed"


@dataclass(slots=True, eq=False)
class Suspicion:
    """A start at which a target failed, until the fate of the target is known.

    ``failed_at`` is when the failure was noticed, ``noted_at`` when the run was lost,
    in seconds on the local boot-time clock; both are the begin of the term for a start
    of an earlier leader, which is ``inherited``. ``steady`` tells whether the target
    had been up for a while, ``leaving`` whether it had said that it leaves.
    ``has_other_cause`` tells whether other targets failed with it; it is ``None`` until
    their failures have been noticed.
    """

    job: JobRow
    task: TaskRow
    attempt: int
    place: RunPlace
    failed_at: float
    noted_at: float
    trial: bool
    steady: bool = True
    leaving: bool = False
    inherited: bool = False
    has_other_cause: bool | None = None

    def is_open(self) -> bool:
        """Return whether the attempt is still suspected."""
        return not self.job.is_final() and self.attempt in self.task.unresolved


def fate_of_target(tables: FleetTables, suspicion: Suspicion) -> TargetFate:
    """Return what is known of the target on which a suspected run started.

    That it is not listed proves nothing, as entries expire in an outage of the store
    and while a target is cut off.
    """
    place = suspicion.place
    target = tables.targets.get(place.target_id)
    if target is not None:
        if target.replaced:
            return TargetFate.CRASHED
        born = max(target.incarnation_ms, target.report.incarnation_ms)
        if born > place.incarnation_ms:
            return TargetFate.CRASHED
        if has_answered_since(target, suspicion):
            return TargetFate.SURVIVED
    if any(has_taken_address(other, place) for other in tables.targets.values()):
        return TargetFate.CRASHED
    return TargetFate.UNKNOWN


def has_answered_since(target: TargetRow, suspicion: Suspicion) -> bool:
    """Return whether a target has answered since the start was lost.

    A trial of an earlier leader that is still active has not survived its start yet.
    """
    if not target.reachable or target.last_answer <= suspicion.failed_at:
        return False
    run = suspicion.task.run
    return run is None or run.key.attempt != suspicion.attempt


def has_taken_address(target: TargetRow, place: RunPlace) -> bool:
    """Return whether another target runs at the address of a lost one."""
    report = target.report
    return (
        report.target_id != place.target_id
        and report.address == place.address
        and report.incarnation_ms > place.incarnation_ms
        and target.listed
    )


def has_other_cause(
    tables: FleetTables, suspicion: Suspicion, suspected_ids: Set[str]
) -> bool:
    """Return whether other targets failed with that of a suspected start.

    A few of them may have been crashed by tasks that had just started there, among them
    those of other suspicions, on ``suspected_ids``.
    """
    failed = simultaneous_failures(tables.targets.values(), suspicion)
    if any(
        not target.failure_explained and target.report.target_id not in suspected_ids
        for target in failed
    ):
        return True
    share = int(MAX_UNRELATED_SHARE * len(tables.targets))
    return len(failed) > max(MAX_UNRELATED_FAILURES, share)


def simultaneous_failures(
    targets: Iterable[TargetRow], suspicion: Suspicion
) -> list[TargetRow]:
    """Return the other targets that may have crashed at the same time."""
    return [
        target
        for target in targets
        if target.report.target_id != suspicion.place.target_id
        and abs(target.failed_at - suspicion.failed_at) <= SIMULTANEOUS_SECONDS
        and may_have_crashed(target)
    ]
