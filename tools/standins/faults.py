"""Faults that tests switch on in a stand-in."""

from __future__ import annotations

import random
from dataclasses import dataclass, field
from enum import StrEnum

import msgspec


class Down(StrEnum):
    """How a stand-in that is down treats requests."""

    NO = "no"
    REFUSE = "refuse"  # answers that nothing was applied
    RESET = "reset"  # closes the connection before any effect


class Faults(msgspec.Struct, forbid_unknown_fields=True):
    """Faults of one target; the defaults are a healthy target.

    A counted fault applies to that many calls; -1 means to all calls.
    """

    down: Down = Down.NO
    # Delay before the effect, its maximum random addition, and delay before the answer.
    slow_seconds: float = 0.0
    slow_jitter_seconds: float = 0.0
    slow_answer_seconds: float = 0.0
    # The effect takes place, then the connection is closed without an answer.
    lose_answers: int = 0
    # The connection is closed without any effect.
    lose_requests: int = 0
    # Requests wait, and take effect when the freeze ends.
    frozen: bool = False
    # Further delay before the start of a task or of an execution.
    late_start_seconds: float = 0.0
    # Every task or execution ends as failed.
    fail_tasks: bool = False
    # Answers are those of another request, with its id (runners only).
    swap_answers: int = 0
    # Faults apply only to these operations (last part of the path); empty for all.
    operations: list[str] = []

    def applies_to(self, operation: str) -> bool:
        """Return whether the faults apply to the operation."""
        return not self.operations or operation in self.operations

    def count_down_if_applies(self, name: str) -> bool:
        """Count down a counted fault and return whether it applies to this call.

        A negative count is not counted down: the fault applies to every call.
        """
        calls: int = getattr(self, name)
        if calls > 0:
            setattr(self, name, calls - 1)
        return calls != 0


@dataclass(slots=True)
class FaultState:
    """Current faults of one target, and the random generator of its delays."""

    faults: Faults = field(default_factory=Faults)
    generator: random.Random = field(default_factory=random.Random)

    def delay_seconds(self) -> float:
        """Return the delay before the effect of one call."""
        jitter = self.faults.slow_jitter_seconds * self.generator.random()
        return self.faults.slow_seconds + jitter

    def update(self, changes: dict[str, object]) -> None:
        """Set the named faults; raise ``msgspec.ValidationError`` if malformed."""
        merged = msgspec.to_builtins(self.faults) | changes
        self.faults = msgspec.convert(merged, Faults)

    def reset(self) -> None:
        """Clear all faults."""
        self.faults = Faults()
