"""Group commits of the leader's changes to the store."""

from __future__ import annotations

import random
from typing import Any, cast

from hypothesis import given
from hypothesis import strategies as st

from egretloft._internal.fleet.constants import ENTRIES_PER_TRANSACTION, TABLE_TARGETS
from egretloft._internal.fleet.election import Election, Term
from egretloft._internal.fleet.recorder import Recorder, create_recorder
from egretloft._internal.fleet.records import progress_key
from egretloft._internal.fleet.tables import FleetTables
from egretloft._internal.metrics import create_metrics
from lib.fleet_builders import (
    add_job,
    build_tables,
    build_target,
    job_id,
    single_step,
)
from lib.virtual_time import run_virtual
from standins.fleet.store import EmulatedStore, StoreClient

COUNTS = st.integers(0, 130)


class CurrentTerm:
    """An election whose term does not end."""

    def __init__(self, version: int) -> None:
        self.term = Term(1, version)

    def is_confirmed(self) -> bool:
        return True

    def may_have_former(self) -> bool:
        return False


def build_recorder(
    store: EmulatedStore, tables: FleetTables, leader_version: int
) -> Recorder:
    """Return the recorder of a leader with a row of this version."""
    election = cast(Election, cast(Any, CurrentTerm(leader_version)))
    return create_recorder(StoreClient(store), election, tables, create_metrics())


def play(jobs: int, targets: int, gone: int, removed: int) -> None:
    """Flush this many changes of each kind, which all came at the same time."""

    async def main() -> None:
        store = EmulatedStore(random.Random(1))
        tables = build_tables(*(build_target(number) for number in range(targets)))
        recorder = build_recorder(store, tables, leader_version=0)
        for target in tables.targets.values():
            target.recorded = False
        for number in range(jobs):
            recorder.mark_dirty(add_job(tables, number, single_step(1)))
        for number in range(gone):
            recorder.target_versions[f"gone-{number}"] = 0
            recorder.forget_target(f"gone-{number}")
        for number in range(removed):
            recorder.forget_progress(job_id(1_000 + number))
        assert await recorder.flush()
        assert all(target.recorded for target in tables.targets.values())
        rows = store.rows
        assert all(progress_key(job_id(number)) in rows for number in range(jobs))
        assert sum(key.table == TABLE_TARGETS for key in rows) == targets
        assert not recorder.gone_targets
        assert not recorder.old_progress

    run_virtual(main())


def test_many_jobs_and_targets_that_change_at_once_are_recorded() -> None:
    """Guards against a transaction that the store refuses for its number of entries.

    It would be repeated as it is, and nothing would be recorded any more.
    """
    play(jobs=60, targets=60, gone=0, removed=0)


@given(COUNTS, COUNTS, COUNTS, COUNTS)
def test_any_number_of_changes_of_each_kind_is_recorded(
    jobs: int, targets: int, gone: int, removed: int
) -> None:
    play(jobs, targets, gone, removed)


def test_a_batch_uses_all_entries_of_a_transaction() -> None:
    tables = build_tables()
    recorder = build_recorder(EmulatedStore(random.Random(1)), tables, 0)
    for number in range(100):
        recorder.mark_dirty(add_job(tables, number, single_step(1)))
    batch = recorder.next_batch()
    # One entry is left: a job takes two, and the leader row one.
    assert batch.free_entries() == 1
    assert len(batch.jobs) == (ENTRIES_PER_TRANSACTION - 1) // 2
