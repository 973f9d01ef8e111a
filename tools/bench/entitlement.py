"""Checks whether a new gang is within its organisation's guarantee.

The check is the same for all policies.
"""

from __future__ import annotations

from collections.abc import Sequence

from egretloft._internal.models.jobs import JobSpec
from egretloft._internal.models.profiles import Adjacency, Profile

ADJACENCY_RANK = {Adjacency.WORKER: 0, Adjacency.RACK: 1, Adjacency.ZONE: 2}


def is_entitled(spec: JobSpec, profile: Profile, live: Sequence[JobSpec]) -> bool:
    """Return whether the gang fits into the guaranteed cells beside all live gangs.

    All live gangs of the profile count, running or waiting, the largest first. Each is
    allocated in the smallest cell that still holds it; a gang that fits in no cell is
    deducted from the largest cells, so that entitlement is never overestimated.
    """
    cells = [
        [shape.accelerators, ADJACENCY_RANK[shape.adjacency]]
        for shape in profile.guarantees
        for _ in range(shape.count)
    ]
    if not cells or not spec.accelerators:
        return False
    # Cores and memory in excess of the accelerators' share are not part of a guarantee,
    # so only accelerators are compared.
    for gang in sorted(live, key=lambda each: -each.accelerators):
        _allocate(cells, gang.accelerators, 0, strict=False)
    return _allocate(
        cells, spec.accelerators, ADJACENCY_RANK[spec.adjacency], strict=True
    )


def _allocate(
    cells: list[list[int]], accelerators_left: int, max_rank: int, *, strict: bool
) -> bool:
    fitting_cells = [
        cell
        for cell in cells
        if cell[0] >= accelerators_left and (not strict or cell[1] <= max_rank)
    ]
    if fitting_cells:
        min(fitting_cells, key=lambda cell: cell[0])[0] -= accelerators_left
        return True
    if strict:
        return False
    for cell in sorted(cells, key=lambda cell: -cell[0]):
        taken = min(cell[0], accelerators_left)
        cell[0] -= taken
        accelerators_left -= taken
    return False
