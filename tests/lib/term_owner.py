"""A leader's interface to sessions and orders, without a leader."""

from __future__ import annotations

import asyncio

from egretloft._internal.fleet.late_starts import LateStarts
from egretloft._internal.fleet.tables import JobRow, RunRow, TargetRow


class FakeTermOwner:
    """A leader that may issue orders while it is ``confirmed``, and records nothing."""

    epoch = 1
    recovering = False
    awaits_fences = False
    collects_votes = False

    def __init__(self, confirmed: bool) -> None:
        self.confirmed = confirmed
        self.late_starts = LateStarts(longest_lease_seconds=6.0)

    def is_confirmed(self) -> bool:
        return self.confirmed

    def may_issue_orders(self) -> bool:
        return self.confirmed

    def may_start_runs(self) -> bool:
        return self.confirmed

    def is_evacuated(self, zone: str) -> bool:
        return False

    def on_job_changed(self, job: JobRow) -> None:
        """Do nothing."""

    def wake_scheduler(self) -> None:
        """Do nothing."""

    def stop_run(self, run: RunRow, why: str) -> None:
        """Do nothing."""

    def on_run_done(self, run: RunRow) -> None:
        """Do nothing."""

    def on_crash_suspected(self, run: RunRow) -> None:
        """Do nothing."""

    def on_run_confirmed(self, run: RunRow) -> None:
        """Do nothing."""

    def on_target_idle(self, target: TargetRow) -> None:
        """Do nothing."""

    def on_target_regained(self, target: TargetRow) -> None:
        """Do nothing."""

    def on_target_changed(self, target: TargetRow) -> None:
        """Do nothing."""

    def on_fenced(self) -> None:
        """Do nothing."""

    def extend_timeout(self, timeout_seconds: float) -> float:
        return timeout_seconds

    async def wait_for_flush(self) -> None:
        """Wait for ever, as nothing is written."""
        await asyncio.Event().wait()
