"""Targets that return under their ids and are cut off soon after: no promise is broken.

``EGRETLOFT_FAULT_SEEDS=FIRST-LAST`` plays other seeds.
"""

from __future__ import annotations

import pytest

from lib.fleet_faults import failure_text
from lib.return_storm import play_return_storm
from lib.virtual_time import run_virtual
from unit.fleet.test_random_faults import chosen_seeds

# Seeds in which a task ran twice: starts for a former incarnation reached the new one
# before a takeover (17, 18), or seconds late (4, 6, 14, 21, 25, 40, 41, 54).
FAILED_SEEDS = (14, 17, 18, 21, 25, 40, 41, 54)
# Seeds in which a late renewal for the former incarnation let a task run twice (117
# with a takeover), as 4 did.
LATE_RENEWAL_SEEDS = (16, 26, 86, 117, 176)


@pytest.mark.parametrize("orders_late", [False, True])
@pytest.mark.parametrize("takes_over", [False, True])
@pytest.mark.parametrize("seed", [*chosen_seeds(), *FAILED_SEEDS])
def test_targets_that_return_and_are_cut_off_run_nothing_twice(
    seed: int, takes_over: bool, orders_late: bool
) -> None:
    report = run_virtual(play_return_storm(seed, takes_over, orders_late))
    assert not report.violations, failure_text(report)
    assert not report.unfinished, failure_text(report)
    assert report.accepted


@pytest.mark.parametrize("takes_over", [False, True])
@pytest.mark.parametrize("seed", [*chosen_seeds(), *LATE_RENEWAL_SEEDS])
def test_late_renewals_of_targets_that_return_let_nothing_run_twice(
    seed: int, takes_over: bool
) -> None:
    """Guards against leases, and forgotten ends, by calls for a former incarnation."""
    report = run_virtual(play_return_storm(seed, takes_over, False, renewals_late=True))
    assert not report.violations, failure_text(report)
    assert not report.unfinished, failure_text(report)
    assert report.accepted
