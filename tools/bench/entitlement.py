"""Whether a new gang lies within its organisation's guarantee, whatever the policy."""

from __future__ import annotations

from collections.abc import Sequence

from egretloft._internal.models.jobs import JobSpec
from egretloft._internal.models.profiles import Adjacency, Profile

SPREAD = {Adjacency.WORKER: 0, Adjacency.RACK: 1, Adjacency.ZONE: 2}


def is_entitled(spec: JobSpec, profile: Profile, live: Sequence[JobSpec]) -> bool:
    """Return whether the gang and all live gangs fit into the guaranteed cells.

    All live gangs of the profile count, running or waiting, the largest first; each
    takes part of the tightest cell that holds it. Gangs that fit in no cell count
    against the largest cells, so entitlement is never assumed too generously.
    """
    cells = [
        [shape.accelerators, SPREAD[shape.adjacency]]
        for shape in profile.guarantees
        for _ in range(shape.count)
    ]
    if not cells or not spec.accelerators:
        return False
    # Cores and memory beyond the share of the accelerators are no part of a guarantee.
    for gang in sorted(live, key=lambda each: -each.accelerators):
        _take(cells, gang.accelerators, 0, strict=False)
    return _take(cells, spec.accelerators, SPREAD[spec.adjacency], strict=True)


def _take(cells: list[list[int]], units: int, spread: int, *, strict: bool) -> bool:
    fitting = [
        cell for cell in cells if cell[0] >= units and (not strict or cell[1] <= spread)
    ]
    if fitting:
        min(fitting, key=lambda cell: cell[0])[0] -= units
        return True
    if strict:
        return False
    for cell in sorted(cells, key=lambda cell: -cell[0]):
        taken = min(cell[0], units)
        cell[0] -= taken
        units -= taken
    return False
