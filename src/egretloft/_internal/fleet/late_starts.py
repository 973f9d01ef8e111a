"""Copies of start orders that a target may still carry out, or may have just done.

A call without an answer may be carried out seconds later. A copy that the target gets
after it has restarted carries an expiry of the former clock, which says nothing on the
new one: the target may start the run, and may extend the lease of all its runs.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field

from egretloft._internal.fleet.constants import MAX_CALL_DELAY_SECONDS
from egretloft._internal.fleet.models import RunKey

# Nothing has been sent before.
NEVER = float("-inf")


@dataclass(slots=True, frozen=True)
class SentStart:
    """A start order that was sent to one incarnation of a target."""

    target_id: str
    incarnation_ms: int
    run: RunKey


@dataclass(slots=True)
class LateStarts:
    """The start orders of a term, and until when copies of them may arrive.

    ``arrive_until`` is in seconds of the boot-time clock. An order is kept for as long
    as a lease that its last copy may have brought can last. ``inherited`` are those of
    former leaders, with whether their targets had answered since.
    """

    longest_lease_seconds: float
    arrive_until: dict[SentStart, float] = field(default_factory=dict)
    inherited: dict[SentStart, bool] = field(default_factory=dict)

    def note_sent(self, start: SentStart, timeout_at: float) -> float:
        """Note that a copy is sent; return until when earlier ones may arrive.

        ``timeout_at`` is when the sender stops waiting for the answer.
        """
        former = self.arrive_until.get(start, NEVER)
        self.arrive_until[start] = max(former, timeout_at + MAX_CALL_DELAY_SECONDS)
        return former

    def inherit(self, start: SentStart, arrives_until: float, outlived: bool) -> None:
        """Note a start order of a former leader.

        ``outlived`` tells whether its target has answered other calls since.
        """
        self.arrive_until[start] = arrives_until
        self.inherited[start] = outlived

    def jobs_in_doubt(
        self, is_unheard: Callable[[SentStart, bool], bool], now: float
    ) -> frozenset[str]:
        """Return the jobs of which a target may run an inherited start unnoticed.

        ``is_unheard`` tells that of a start, and of whether its target had outlived it.
        """
        return frozenset(
            start.run.task.step.job_id
            for start, outlived in self.inherited.items()
            if self.may_run(start, now) and is_unheard(start, outlived)
        )

    def note_answered(self, start: SentStart, now: float, former: float) -> None:
        """Note that the copy was answered; ``former`` holds for the earlier ones."""
        self.arrive_until[start] = max(now, former)

    def before_restart(
        self, target_id: str, incarnation_ms: int, alive_at: float
    ) -> list[SentStart]:
        """Return the orders that a new incarnation of a target may have carried out.

        They were sent to other incarnations. The last one still answered at
        ``alive_at``, so it carried out itself what was answered before.
        """
        return [
            start
            for start, until in self.arrive_until.items()
            if start.target_id == target_id
            and start.incarnation_ms != incarnation_ms
            and until >= alive_at
        ]

    def may_arrive(self, start: SentStart, now: float) -> bool:
        """Return whether a copy of the order may still arrive."""
        return self.arrive_until[start] > now

    def may_run(self, start: SentStart, now: float) -> bool:
        """Return whether a copy may arrive, or run under a lease that it has brought.

        It is not so for a start that is not known any more.
        """
        until = self.arrive_until.get(start, NEVER)
        return until + self.longest_lease_seconds > now

    def forget_old(self, now: float) -> None:
        """Forget the orders of which no lease can last any more."""
        oldest = now - self.longest_lease_seconds
        for start, until in list(self.arrive_until.items()):
            if until < oldest:
                del self.arrive_until[start]
                self.inherited.pop(start, None)
