"""Tasks that may have crashed the targets on which they started.

A task that crashes every target which starts it must not take down one after the other.
That a target falls silent just after a start raises a suspicion, and no more: the
target may be cut off, paused, or without power like its rack. A suspect is started
alone on a steady target, as a trial, while some targets nearby are watched. A run that
survives its start clears its task, and a target that is heard from again in the same
incarnation withdraws the suspicion. Only known crashes are held against the task, those
that may have another cause at less weight; after several of them it is given up.

Answers crashes and cuts of single targets, racks and zones while jobs start all the
time.
"""

from __future__ import annotations

from egretloft._internal.fleet.tables import (
    FleetTables,
    RunRow,
    StepRow,
    TargetRow,
    TaskRow,
)

# A run that its target still knew this long after the start has survived it. Targets
# are heard from about once a second.
SURVIVAL_SECONDS = 1.5
# Weights of a crash without another explanation, and of one that may have one.
CRASH_WEIGHT = 2
INCONCLUSIVE_WEIGHT = 1
# A task is given up at this weight, if so many of its crashes have no other cause.
GIVE_UP_WEIGHT = 5
MIN_CONCLUSIVE_CRASHES = 2
# A task waits while so many targets have been silent since a start of it: it may have
# taken all of them down.
MAX_SILENT_TARGETS = 4
# A target that came back less than this ago may be about to fail again by itself.
STEADY_SECONDS = 2.5
# After a trial, a suspect waits this long for another target that it has to itself. At
# first it does not wait, as most suspects did not cause the crash.
ALONE_PATIENCE_SECONDS = 2.0


def is_suspect_of_crash(target: TargetRow, run: RunRow) -> bool:
    """Return whether the run had just started when its target was last heard from.

    When an adopted run started is not known.
    """
    if run.adopted or run.task is None:
        return False
    last_answer = target.last_answer
    if run.incarnation_ms != target.incarnation_ms:
        last_answer = target.former_answer
    return last_answer - run.started_at <= SURVIVAL_SECONDS


def note_failure(target: TargetRow, now: float) -> None:
    """Note that a target cannot be reached any more, or has restarted.

    The failure is explained if a run may have crashed the target.
    """
    target.failed_at = now
    target.failed_incarnation_ms = target.incarnation_ms
    target.reports_since_failure = 0
    target.failure_explained = any(
        is_suspect_of_crash(target, run) for run in target.runs.values()
    )


def note_return(target: TargetRow, now: float) -> None:
    """Note that a target has restarted, or can be reached again.

    One that is watched stays so until it is steady: nobody else asks an idle target.
    """
    target.returned_at = now
    if target.watched_until > now:
        target.watched_until = max(target.watched_until, now + STEADY_SECONDS)


def has_restarted(target: TargetRow) -> bool:
    """Return whether the target is known to have crashed when it last failed."""
    failed_incarnation_ms = target.failed_incarnation_ms
    return 0 < failed_incarnation_ms != target.incarnation_ms


def may_have_crashed(target: TargetRow) -> bool:
    """Return whether the target may have crashed when it last failed.

    One that has answered since in the same incarnation has not.
    """
    return not target.reachable or has_restarted(target)


def is_given_up(task: TaskRow) -> bool:
    """Return whether the task has crashed too many targets."""
    if task.done or len(task.crashed) < MIN_CONCLUSIVE_CRASHES:
        return False
    weight = CRASH_WEIGHT * len(task.crashed)
    weight += INCONCLUSIVE_WEIGHT * len(task.inconclusive)
    return weight >= GIVE_UP_WEIGHT


def has_silenced_targets(task: TaskRow) -> bool:
    """Return whether the task may have taken down too many targets to go on now."""
    return len(task.unresolved) >= MAX_SILENT_TARGETS


def has_survived(run: RunRow, now: float) -> bool:
    """Return whether the run, which its target lists now, has survived its start."""
    return now - run.started_at > SURVIVAL_SECONDS


def suspects(step: StepRow) -> list[TaskRow]:
    """Return the waiting tasks that are suspected; all of a gang if any of them is."""
    if not step.suspected:
        return []
    waiting = step.waiting()
    found = [task for task in waiting if task.is_suspected()]
    return waiting if found and step.spec.gang else found


def targets_on_trial(tables: FleetTables) -> set[str]:
    """Return the targets that run a suspect which has not survived its start yet."""
    return {run.target_id for run in tables.trials.values()}


def is_settled(target: TargetRow, now: float) -> bool:
    """Return whether the target has not restarted lately; a cut does not matter."""
    return now - target.restarted_at >= STEADY_SECONDS


def is_steady(target: TargetRow, now: float) -> bool:
    """Return whether the target has not restarted or come back lately."""
    return now - target.returned_at >= STEADY_SECONDS
