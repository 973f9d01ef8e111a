"""The quorum of targets that a leader needs to go on without the store."""

from __future__ import annotations

import asyncio
import random
from dataclasses import dataclass, field
from typing import Any, cast

import pytest
from hypothesis import given
from hypothesis import strategies as st

from egretloft._internal.fleet.constants import LEASE_SECONDS
from egretloft._internal.fleet.election import Election
from egretloft._internal.fleet.recorder import Recorder, create_recorder
from egretloft._internal.fleet.records import HeartbeatRecord
from egretloft._internal.fleet.tables import FleetTables
from egretloft._internal.fleet.target_quorum import (
    ANSWER_VALID_SECONDS,
    create_target_quorum,
    former_leader_seconds,
    is_half,
)
from egretloft._internal.metrics import create_metrics
from lib.fleet_builders import StubClock, build_election, build_tables, build_target
from lib.virtual_time import run_virtual
from standins.fleet.store import EmulatedStore, StoreClient

NOW = 100.0


@dataclass(slots=True)
class StubElection:
    """What a recorder asks of the election, as a test sets it."""

    confirmed: bool = True
    former: bool = False
    term: object = field(default_factory=object)

    def is_confirmed(self) -> bool:
        return self.confirmed

    def may_have_former(self) -> bool:
        return self.former


def build_recorder(tables: FleetTables, election: StubElection) -> Recorder:
    store = StoreClient(EmulatedStore(random.Random(1)))
    return create_recorder(
        store, cast(Election, cast(Any, election)), tables, create_metrics()
    )


def holds(answered: int, targets: int, age_seconds: float = 0.1) -> bool:
    """Return whether there is a quorum if so many targets answered so long ago."""
    tables = build_tables(*(build_target(number) for number in range(targets)))
    recorder = build_recorder(tables, StubElection())
    for number, (target_id, target) in enumerate(tables.targets.items()):
        recorder.target_versions[target_id] = 1
        if number < answered:
            target.vote_sent_at = NOW - age_seconds
    return create_target_quorum(tables, recorder).holds(NOW)


@pytest.mark.parametrize(
    ("answered", "targets", "expected"),
    [
        (0, 0, False),
        (1, 1, True),
        (1, 2, False),
        (2, 3, True),
        (2, 4, False),
        (3, 4, True),
    ],
)
def test_more_than_half_of_the_targets_are_needed(
    answered: int, targets: int, expected: bool
) -> None:
    assert holds(answered, targets) is expected


def test_answers_count_for_a_bounded_time_after_their_calls() -> None:
    """Guards against a leader that goes on by answers from before a takeover."""
    assert holds(3, 4, ANSWER_VALID_SECONDS - 0.1)
    assert not holds(3, 4, ANSWER_VALID_SECONDS)


def test_successor_waits_longer_than_an_answer_counts() -> None:
    assert former_leader_seconds() > ANSWER_VALID_SECONDS


def test_work_under_lease_is_not_given_up_for_a_late_answer() -> None:
    """Guards against a quorum that is lost sooner than the leases are."""
    assert ANSWER_VALID_SECONDS <= LEASE_SECONDS
    assert ANSWER_VALID_SECONDS > LEASE_SECONDS / 2


@given(st.integers(1, 1000), st.data())
def test_a_majority_and_a_half_share_a_target(
    targets: int, data: st.DataObject
) -> None:
    answered = data.draw(st.integers(0, targets))
    if is_half(answered, targets):
        assert answered + targets // 2 + 1 > targets


def test_row_that_may_have_been_written_counts_as_silent() -> None:
    """Guards against a majority of the rows that the leader is certain of only."""
    tables = build_tables(*(build_target(number) for number in range(3)))
    recorder = build_recorder(tables, StubElection())
    first, second, third = tables.targets
    for target_id in (first, second):
        recorder.target_versions[target_id] = 1
        tables.targets[target_id].vote_sent_at = NOW - 0.1
    tables.targets[third].vote_sent_at = NOW - 0.1
    recorder.unconfirmed_targets.add(third)
    quorum = create_target_quorum(tables, recorder)
    assert quorum.holds(NOW)
    recorder.gone_targets.add(second)
    assert not create_target_quorum(tables, recorder).holds(NOW)


def test_row_without_an_answer_stays_uncertain_until_it_is_written_again() -> None:
    async def main() -> None:
        tables = build_tables(build_target(1))
        (target,) = tables.targets.values()
        target.recorded = False
        store = EmulatedStore(random.Random(1))
        client = StoreClient(store)
        election = build_election(client, StubClock(), lambda: 0.0)
        await election.campaign()
        recorder = create_recorder(client, election, tables, create_metrics())
        store.lost_answer_share = 1.0
        assert not await recorder.flush()
        assert recorder.uncertain_targets() == {target.report.target_id}
        assert recorder.stored_targets() == []
        store.lost_answer_share = 0.0
        while not await recorder.flush():
            await asyncio.sleep(0.1)
        assert recorder.uncertain_targets() == set()
        assert recorder.stored_targets() == [target.report.target_id]

    run_virtual(main())


@pytest.mark.parametrize(
    "election", [StubElection(confirmed=False), StubElection(former=True)]
)
def test_rows_of_targets_do_not_change_while_another_leader_may_count_them(
    election: StubElection,
) -> None:
    """Guards against a former leader and its successor that count other targets."""
    tables = build_tables(build_target(1), build_target(2))
    recorder = build_recorder(tables, election)
    new, gone = tables.targets.values()
    new.recorded = False
    recorder.target_versions[gone.report.target_id] = 1
    recorder.forget_target(gone.report.target_id)
    assert recorder.next_batch().is_empty()
    election.confirmed, election.former = True, False
    batch = recorder.next_batch()
    assert batch.targets == [new]
    assert batch.removals == [gone.report.target_id]


@pytest.mark.parametrize("needs_targets", [False, True])
def test_successors_tell_whether_a_former_leader_needs_targets(
    needs_targets: bool,
) -> None:
    """Guards against a quorum that a leader of an earlier release does not respect."""

    async def main() -> None:
        client = StoreClient(EmulatedStore(random.Random(1)))
        election = build_election(client, StubClock())
        election.heartbeat = HeartbeatRecord(
            1, 1, members_version=0, needs_targets=needs_targets
        )
        await election.campaign()
        assert election.term is not None
        assert not election.term.known_to_former
        assert election.term.former_needs_targets is needs_targets
        assert election.heartbeat.needs_targets is needs_targets
        await election.send_heartbeat(released=False)
        assert election.heartbeat.needs_targets is needs_targets
        election.on_former_leader_fenced()
        await election.send_heartbeat(released=False)
        assert election.heartbeat.needs_targets

    run_virtual(main())
