"""A client of the targets that counts its calls."""

from __future__ import annotations

from collections import Counter
from typing import Any

from returns.result import Result

from egretloft._internal.fleet.interfaces import Targets
from egretloft._internal.fleet.models import (
    RenewalAnswer,
    TargetFailure,
    TargetReport,
)
from lib.forwarding_targets import ForwardingTargets


class CountingTargets(ForwardingTargets):
    """Targets that count the renewals by their ids."""

    def __init__(self, targets: Targets) -> None:
        super().__init__(targets)
        self.renewals: Counter[str] = Counter()

    async def renew(
        self, target: TargetReport, *call: Any
    ) -> Result[RenewalAnswer, TargetFailure]:
        self.renewals[target.target_id] += 1
        return await super().renew(target, *call)
