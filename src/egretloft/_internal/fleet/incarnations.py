"""Restarts of a target, and calls for its former incarnations that it may carry out.

A call without an answer may be carried out seconds later, also by an incarnation that
it was not meant for. An expiry on the clock of a former incarnation may be far ahead on
the new one, so the target may take the longest lease by it.
"""

from __future__ import annotations

import math
from collections.abc import Callable

import structlog

from egretloft._internal.fleet.clocks import MILLISECONDS
from egretloft._internal.fleet.constants import (
    LEASE_SECONDS,
    MAX_CALL_DELAY_SECONDS,
    RENEWAL_TIMEOUT_SECONDS,
    START_EXPIRY_SECONDS,
)
from egretloft._internal.fleet.crash_suspects import note_failure, note_return
from egretloft._internal.fleet.interfaces import FleetClock
from egretloft._internal.fleet.late_starts import SentStart
from egretloft._internal.fleet.lifecycle import add_late_start
from egretloft._internal.fleet.models import RenewalAnswer
from egretloft._internal.fleet.tables import (
    FleetTables,
    RunPhase,
    RunRow,
    TargetRow,
)
from egretloft._internal.fleet.term_owner import TermOwner

log = structlog.get_logger(__name__)

LEASE_MS = LEASE_SECONDS * MILLISECONDS
START_EXPIRY_MS = START_EXPIRY_SECONDS * MILLISECONDS
# The time of day of two machines may differ by this much.
MAX_CLOCK_SKEW_SECONDS = 8.0


class Incarnations:
    """Follows the incarnations of one target.

    ``lose_run`` removes a run that the target has lost by its restart.
    """

    def __init__(
        self,
        owner: TermOwner,
        tables: FleetTables,
        target: TargetRow,
        clock: FleetClock,
        longest_lease_seconds: float,
        lose_run: Callable[[RunRow, str], None],
    ) -> None:
        self.owner = owner
        self.tables = tables
        self.target = target
        self.clock = clock
        self.longest_lease_seconds = longest_lease_seconds
        self.lose_run = lose_run

    def on_new(self, answer: RenewalAnswer) -> None:
        """Reset what is known of a target that restarted: clock, lease and end numbers.

        Its runs are removed, except those that it lists and starts of which a copy may
        still arrive, also if they were given up or have ended since. The expiry of a
        copy that was sent before says nothing on the new clock, and neither does that
        of a late renewal. The target refuses them once it has seen a higher token.
        """
        target = self.target
        now = self.clock.boottime()
        # A former leader may have renewed the lease until now.
        target.lease_ends_ms = answer.target_time_ms + LEASE_MS
        late_until = self.late_calls_until(answer, now)
        if target.incarnation_ms:
            if not target.failed_renewals:
                note_failure(target, now)
            note_return(target, now)
            target.restarted_at = now
            target.former_answer = target.last_answer
            self.tables.note_restart(target)
            target.refuses_late_calls = False
            log.info(
                "target restarted",
                target=target.report.target_id,
                born=answer.incarnation_ms,
                token=target.fencing_token(self.owner.epoch),
                late_calls_for=round(max(0.0, late_until - now), 2),
            )
        target.late_calls_until = max(target.late_calls_until, late_until)
        target.incarnation_ms = answer.incarnation_ms
        target.clock = None
        target.last_recorded_end = target.last_applied_end = (
            target.last_acknowledged_end
        ) = 0
        self.keep_late_starts(answer, now)
        if target.refuses_late_calls:
            # It has answered the first call of a new leader, whose epoch is higher.
            self.on_late_calls_refused(answer)

    def late_calls_until(self, answer: RenewalAnswer, now: float) -> float:
        """Return until when a new incarnation may get calls for former ones.

        These are what was without an answer when the former one gave its last answer,
        and copies of what runs already. It is minus infinity if there are none.
        """
        target = self.target
        starts = self.starts_before_restart(answer)
        until = [self.owner.late_starts.arrive_until[start] for start in starts]
        if target.unanswered_until >= self.alive_at():
            until.append(target.unanswered_until)
        is_known = bool(target.incarnation_ms)
        if answer.active if is_known else self.is_young(answer):
            until.append(now)
        return max(until, default=-math.inf)

    def is_young(self, answer: RenewalAnswer) -> bool:
        """Return whether a lease that a former leader's late call brought may last.

        Such a call was sent before the target's start. What was without an answer then
        is not known.
        """
        if not self.target.used_before:
            return False
        age = self.clock.wall() - answer.incarnation_ms / MILLISECONDS
        longest = MAX_CALL_DELAY_SECONDS + self.longest_lease_seconds
        return age < longest + RENEWAL_TIMEOUT_SECONDS + MAX_CLOCK_SKEW_SECONDS

    def on_late_calls_refused(self, answer: RenewalAnswer) -> None:
        """Note that the target has answered a call with its present token.

        It refuses from now on what was sent to former incarnations. What it carried out
        before may have brought the longest lease.
        """
        target = self.target
        target.refuses_late_calls = True
        if target.late_calls_until == -math.inf:
            return
        target.late_calls_until = -math.inf
        longest_ms = self.longest_lease_seconds * MILLISECONDS
        target.lease_ends_ms = max(
            target.lease_ends_ms, answer.target_time_ms + longest_ms
        )

    def alive_at(self) -> float:
        """Return when the incarnation that answered last was certainly alive."""
        return self.target.last_answer - RENEWAL_TIMEOUT_SECONDS

    def starts_before_restart(self, answer: RenewalAnswer) -> list[SentStart]:
        """Return the start orders that the new incarnation may have carried out."""
        return self.owner.late_starts.before_restart(
            self.target.report.target_id, answer.incarnation_ms, self.alive_at()
        )

    def keep_late_starts(self, answer: RenewalAnswer, now: float) -> None:
        """Keep, or add, the starts that a new incarnation may carry out or runs."""
        target = self.target
        listed_runs = {active.run for active in answer.active}
        start_expires_ms = answer.target_time_ms + START_EXPIRY_MS
        late_starts = self.owner.late_starts
        late = [
            start.run
            for start in self.starts_before_restart(answer)
            if late_starts.may_arrive(start, now)
        ]
        for run in list(target.runs.values()):
            if run.key in listed_runs or run.incarnation_ms == answer.incarnation_ms:
                run.order_expires_ms = start_expires_ms
            elif run.confirmed:
                self.lose_run(run, "target restarted")
            elif run.order_expires_ms:
                self.keep_unconfirmed_start(run, answer)
        for key in late:
            if key in listed_runs or key in target.runs:
                continue
            run = add_late_start(self.tables, target, key, now)
            self.keep_unconfirmed_start(run, answer)

    def keep_unconfirmed_start(self, run: RunRow, answer: RenewalAnswer) -> None:
        """Keep a start of which a copy was sent to the former incarnation.

        A stop that the former incarnation confirmed does not hold for the new one.
        """
        is_stopped = run.phase is RunPhase.STOPPING and run.stop_confirmed_at
        run.sent_before_restart = True
        run.stop_confirmed_at = 0.0
        # While the target is unreachable, the order counts as sent just now.
        run.order_expires_ms = answer.target_time_ms + START_EXPIRY_MS
        if is_stopped:
            self.owner.stop_run(run, "target restarted")
