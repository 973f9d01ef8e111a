"""What the parts of a leader's term ask of the leader."""

from __future__ import annotations

from typing import Protocol

from egretloft._internal.fleet.late_starts import LateStarts
from egretloft._internal.fleet.tables import JobRow, RunRow, TargetRow


class TermOwner(Protocol):
    """The leader, as seen by sessions and orders."""

    epoch: int
    recovering: bool
    # Whether targets without runs are asked, too, so that the leader may go on without
    # the store.
    collects_votes: bool
    late_starts: LateStarts

    @property
    def awaits_fences(self) -> bool:
        """Whether a former leader may still act.

        No lease is renewed, no run started and no end acknowledged until then.
        """

    def is_confirmed(self) -> bool:
        """Return whether the leader's last heartbeat still excludes a takeover."""

    def may_issue_orders(self) -> bool:
        """Return whether the leader may send orders and renew leases."""

    def may_start_runs(self) -> bool:
        """Return whether it also knows what operators ask for, and may start runs."""

    def is_evacuated(self, zone: str) -> bool:
        """Return whether operators have taken an availability zone out of service."""

    def on_job_changed(self, job: JobRow) -> None:
        """Schedule a write of the job's progress and wake the scheduling loop."""

    def wake_scheduler(self) -> None:
        """Start the next tick without waiting for the tick period."""

    def stop_run(self, run: RunRow, why: str) -> None:
        """Stop a run; its resources stay in use until it has certainly ended."""

    def on_run_done(self, run: RunRow) -> None:
        """Record the run time of a finished run.

        Called before the task is marked as done.
        """

    def on_crash_suspected(self, run: RunRow) -> None:
        """Note that the target of a run may have crashed because of its start."""

    def on_run_confirmed(self, run: RunRow) -> None:
        """Note that a target has listed a run for the first time."""

    def on_target_idle(self, target: TargetRow) -> None:
        """Note that an unreachable target certainly runs nothing."""

    def on_target_regained(self, target: TargetRow) -> None:
        """Note that a target can be reached again."""

    def on_target_changed(self, target: TargetRow) -> None:
        """Wake the session of a target that restarted or moved."""

    def on_fenced(self) -> None:
        """End the term because a target has seen a newer epoch."""

    async def wait_for_flush(self) -> None:
        """Wait until pending changes have been written to the store once more."""

    def extend_timeout(self, timeout_seconds: float) -> float:
        """Return the timeout of a call, extended if the event loop is late."""
