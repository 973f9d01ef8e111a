"""What has become of a target that failed just after a suspected start."""

from __future__ import annotations

from collections.abc import Callable, Set
from dataclasses import dataclass
from enum import StrEnum

from egretloft._internal.fleet.crash_suspects import has_restarted, may_have_crashed
from egretloft._internal.fleet.records import RunPlace
from egretloft._internal.fleet.tables import FleetTables, JobRow, TargetRow, TaskRow

# Events that are noticed within this time of each other may have one cause: a call to a
# target that does not answer takes up to 1.6 s to fail.
SIMULTANEOUS_SECONDS = 2.0
# More targets than this do not fail at once through tasks of their own, and neither
# does a larger share of all targets.
MAX_UNRELATED_FAILURES = 1
MAX_UNRELATED_SHARE = 0.05
# A target that has registered so often since it failed is up: a single row may have
# been written before.
MIN_REPORTS = 2


class TargetFate(StrEnum):
    """What is known of a target since it failed."""

    # Silent, or not listed: cut off, paused or crashed.
    UNKNOWN = "unknown"
    # It has answered or registered again in the same incarnation.
    SURVIVED = "survived"
    # Another incarnation is there, or another target has its address.
    CRASHED = "crashed"


@dataclass(slots=True, eq=False)
class Suspicion:
    """A start at which a target failed, until the fate of the target is known.

    ``failed_at`` is when the failure was noticed, ``noted_at`` when the run was lost,
    in seconds on the local boot-time clock; both are the begin of the term for a start
    of an earlier leader, which is ``inherited``. ``known_at`` is when the target
    was first known to have crashed.
    """

    job: JobRow
    task: TaskRow
    attempt: int
    place: RunPlace
    failed_at: float
    noted_at: float
    trial: bool
    inherited: bool = False
    known_at: float | None = None

    def is_open(self) -> bool:
        """Return whether the attempt is still suspected."""
        if self.job.is_final() or self.task.done:
            return False
        return self.attempt in self.task.unresolved


def fate_of_target(tables: FleetTables, suspicion: Suspicion) -> TargetFate:
    """Return what is known of the target on which a suspected run started.

    That it is not listed proves nothing, as entries expire in an outage of the store
    and while a target is cut off.
    """
    place = suspicion.place
    target = tables.targets.get(place.target_id)
    if target is not None:
        if is_other_incarnation(target, place):
            return TargetFate.CRASHED
        if has_been_heard_since(target, suspicion):
            return TargetFate.SURVIVED
        if target.replaced:
            return TargetFate.CRASHED
        if target.listed:
            return TargetFate.UNKNOWN
    if any(has_taken_address(other, place) for other in tables.targets.values()):
        return TargetFate.CRASHED
    return TargetFate.UNKNOWN


def is_other_incarnation(target: TargetRow, place: RunPlace) -> bool:
    """Return whether the target has answered, or registered, as another incarnation.

    A row of the list may be an old one, an answer is not.
    """
    if target.incarnation_ms and target.incarnation_ms != place.incarnation_ms:
        return True
    return target.report.incarnation_ms > place.incarnation_ms


def has_been_heard_since(target: TargetRow, suspicion: Suspicion) -> bool:
    """Return whether a target has answered or registered since the start was lost.

    A trial of an earlier leader that is still active has not survived its start yet.
    """
    run = suspicion.task.run
    if run is not None and run.key.attempt == suspicion.attempt:
        return False
    if target.reports_since_failure >= MIN_REPORTS and not target.replaced:
        return True
    return target.reachable and target.last_answer > suspicion.failed_at


def has_taken_address(target: TargetRow, place: RunPlace) -> bool:
    """Return whether another target runs at the address of a lost one."""
    report = target.report
    return (
        report.target_id != place.target_id
        and report.address == place.address
        and report.incarnation_ms > place.incarnation_ms
        and target.listed
    )


def is_leaving(tables: FleetTables, suspicion: Suspicion) -> bool:
    """Return whether the target has said that it leaves.

    A used target that the platform does not list has said nothing.
    """
    target = tables.targets.get(suspicion.place.target_id)
    if target is None or not target.report.incarnation_ms:
        return False
    return target.report.draining


def has_known_other_cause(
    tables: FleetTables, suspicion: Suspicion, suspected_ids: Set[str]
) -> bool:
    """Return whether other targets are known to have crashed with that of a start."""
    return has_unrelated_failures(tables, suspicion, suspected_ids, has_restarted)


def has_other_cause(
    tables: FleetTables, suspicion: Suspicion, suspected_ids: Set[str]
) -> bool:
    """Return whether other targets may have crashed with that of a suspected start.

    A few of them may have been crashed by tasks that had just started there, among them
    those of other suspicions, on ``suspected_ids``.
    """
    return has_unrelated_failures(tables, suspicion, suspected_ids, may_have_crashed)


def has_unrelated_failures(
    tables: FleetTables,
    suspicion: Suspicion,
    suspected_ids: Set[str],
    is_crash: Callable[[TargetRow], bool],
) -> bool:
    """Return whether too many other targets failed, or restarted, at the same time."""
    others = [
        other
        for other in tables.targets.values()
        if other.report.target_id != suspicion.place.target_id
    ]
    failed = [
        other
        for other in others
        if is_simultaneous(other.failed_at, suspicion.failed_at) and is_crash(other)
    ]
    target = tables.targets.get(suspicion.place.target_id)
    restarted = [
        other
        for other in others
        if target and is_simultaneous(other.restarted_at, target.restarted_at)
    ]
    if any(
        not other.failure_explained and other.report.target_id not in suspected_ids
        for other in [*failed, *restarted]
    ):
        return True
    share = int(MAX_UNRELATED_SHARE * len(tables.targets))
    return len(failed) > max(MAX_UNRELATED_FAILURES, share)


def is_simultaneous(at: float, other_at: float) -> bool:
    """Return whether two events that have happened may have one cause."""
    return abs(at - other_at) <= SIMULTANEOUS_SECONDS
