"""Refusals: why an operation did not complete, and whether it may have run."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum


class OutcomeKind(StrEnum):
    """What a caller may conclude from a refusal."""

    NOT_RUN = "not_run"
    UNKNOWN = "unknown"


class Reason(StrEnum):
    """Why a request, a job or an operation was refused or ended."""

    # Invalid or unknown input
    MALFORMED = "malformed"
    TOO_LARGE = "too_large"
    UNKNOWN_ORGANISATION = "unknown_organisation"
    UNKNOWN_PROFILE = "unknown_profile"
    UNKNOWN_SERVICE = "unknown_service"
    UNKNOWN_ZONE = "unknown_zone"
    UNKNOWN_JOB = "unknown_job"
    INVALID_SHAPE = "invalid_shape"
    KEY_REUSED = "key_reused"
    # Limits, scheduling decisions and ends of jobs
    IMPOSSIBLE = "impossible"
    INFEASIBLE_GUARANTEES = "infeasible_guarantees"
    LIMIT_EXCEEDED = "limit_exceeded"
    QUEUE_FULL = "queue_full"
    NO_TARGET = "no_target"
    FAILED_REPEATEDLY = "failed_repeatedly"
    FAILED = "failed"
    CANCELLED = "cancelled"
    # Deadlines
    DEADLINE_PASSED = "deadline_passed"
    DEADLINE_BEFORE_START = "deadline_before_start"
    # State of the system and failures
    STALE_VIEW = "stale_view"
    STORE_UNAVAILABLE = "store_unavailable"
    CONFLICT = "conflict"
    NOT_OWNER = "not_owner"
    NOT_MEMBER = "not_member"
    PEER_UNREACHABLE = "peer_unreachable"
    PEER_OVERLOADED = "peer_overloaded"
    TARGET_UNREACHABLE = "target_unreachable"
    TARGET_REFUSED = "target_refused"
    TARGET_LOST = "target_lost"
    IN_PROGRESS = "in_progress"
    DRAINING = "draining"
    RETRY_BUDGET_SPENT = "retry_budget_spent"
    MONTH_OPEN = "month_open"
    MONTH_CLOSED = "month_closed"


@dataclass(slots=True, frozen=True)
class Refusal:
    """An operation that did not complete.

    ``kind`` is ``NOT_RUN`` only when it is certain that nothing ran. ``message``
    says what happened, ``hint`` what the caller can do next.
    """

    kind: OutcomeKind
    reason: Reason
    message: str
    hint: str = ""


def not_run(reason: Reason, message: str, hint: str = "") -> Refusal:
    """Return the refusal of an operation that certainly did not run."""
    return Refusal(OutcomeKind.NOT_RUN, reason, message, hint)


def outcome_unknown(reason: Reason, message: str, hint: str = "") -> Refusal:
    """Return the refusal of an operation that may have run."""
    return Refusal(OutcomeKind.UNKNOWN, reason, message, hint)
