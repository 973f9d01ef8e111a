"""Wait of a new leader until a former one that does not know it has certainly stopped.

Such a former leader may go on without the store, by the pledges of others. It is fenced
once all targets that it may use have seen the new epoch, or at least half of them have
and the answers by which it goes on are too old (see ``target_quorum``).
"""

from __future__ import annotations

import math

import structlog

from egretloft._internal.fleet.election import Term
from egretloft._internal.fleet.tables import FleetTables
from egretloft._internal.fleet.target_quorum import former_leader_seconds, is_half

log = structlog.get_logger(__name__)

# Longest wait for a former leader of an earlier release, which may go on whatever the
# targets answer.
MAX_WAIT_SECONDS = 60.0
# While the wait lasts, the targets that have not answered are logged this often.
REPORT_SECONDS = 5.0
# A log line names at most this many targets.
LISTED_TARGETS = 4


class FormerLeader:
    """Whether a former leader may act beside the one of ``term``.

    ``targets`` are those of which the store held rows when the term began.
    """

    def __init__(self, term: Term, tables: FleetTables, now: float) -> None:
        self.epoch = term.epoch
        self.may_act = not term.known_to_former
        self.needs_targets = term.former_needs_targets
        self.tables = tables
        self.targets: frozenset[str] = frozenset()
        self.answered: set[str] = set()
        self.half_answered_at = math.inf
        self.deadline = now + MAX_WAIT_SECONDS
        self.reported_at = -math.inf

    def review(self, now: float) -> bool:
        """Return whether it has just become certain that it does not act any more."""
        if not self.may_act:
            return False
        silent = self.silent_targets()
        if silent and not self.has_lost_quorum(now):
            self.report(silent, now)
            return False
        self.may_act = False
        log.info(
            "former leader fenced",
            epoch=self.epoch,
            answered=len(self.answered),
            targets=len(self.targets),
            silent=silent[:LISTED_TARGETS],
        )
        return True

    def silent_targets(self) -> list[str]:
        """Return the targets that may not know the new epoch.

        One that has restarted since may have forgotten it. One that is not in the
        tables any more has answered, unless its row cannot be read.
        """
        silent = []
        for target_id in sorted(self.targets):
            target = self.tables.targets.get(target_id)
            if target is not None and target.has_answered:
                self.answered.add(target_id)
            elif target is not None or target_id not in self.answered:
                silent.append(target_id)
        return silent

    def has_lost_quorum(self, now: float) -> bool:
        """Return whether too few targets are left for the former leader to go on."""
        if not self.needs_targets:
            return now >= self.deadline
        if is_half(len(self.answered), len(self.targets)):
            self.half_answered_at = min(self.half_answered_at, now)
        return now >= self.half_answered_at + former_leader_seconds()

    def report(self, silent: list[str], now: float) -> None:
        """Log from time to time which targets have not answered."""
        if now - self.reported_at < REPORT_SECONDS:
            return
        self.reported_at = now
        log.warning(
            "waiting until the former leader is fenced",
            epoch=self.epoch,
            answered=len(self.answered),
            targets=len(self.targets),
            silent=silent[:LISTED_TARGETS],
        )


def create_former_leader(term: Term, tables: FleetTables, now: float) -> FormerLeader:
    """Return the former leader of a term that begins ``now``, without targets yet."""
    return FormerLeader(term, tables, now)
