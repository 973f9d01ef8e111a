"""Targets of whose lists a row arrives unreadable."""

from __future__ import annotations

from dataclasses import dataclass, replace
from typing import Any

from returns.result import Result

from egretloft._internal.fleet.interfaces import Targets
from egretloft._internal.fleet.models import RenewalAnswer, TargetFailure
from lib.forwarding_targets import ForwardingTargets


@dataclass(slots=True)
class Garbler:
    """Tells which rows of the targets' lists arrive unreadable."""

    hides_runs: bool = False
    hides_ends: bool = False


class GarbledTargets(ForwardingTargets):
    """Targets of whose answers some rows cannot be decoded."""

    def __init__(self, targets: Targets, garbler: Garbler) -> None:
        super().__init__(targets)
        self.garbler = garbler

    async def renew(self, *call: Any) -> Result[RenewalAnswer, TargetFailure]:
        result = await super().renew(*call)
        return result.map(self.garble)

    def garble(self, answer: RenewalAnswer) -> RenewalAnswer:
        """Make the first row of a list unreadable."""
        if self.garbler.hides_runs and answer.active:
            return replace(answer, active=answer.active[1:], unreadable=1)
        if self.garbler.hides_ends and answer.ends:
            return replace(answer, ends=answer.ends[1:], unreadable=1)
        return answer
