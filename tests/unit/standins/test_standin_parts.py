import math

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st
from returns.result import Failure, Success

from egretloft._internal.models.topology import InstanceState
from lib.serving import build_record
from standins.faults import FaultState
from standins.instances_state import InstancesState
from standins.layout import place_targets
from standins.runner_state import RunnerState
from standins.task_command import TaskCommand, parse_command


@pytest.mark.parametrize(
    ("text", "command"),
    [
        ("work 2.5", TaskCommand(2.5, False)),
        ("work 2.5 done", TaskCommand(2.5, False, "done")),
        ("sleep 1", TaskCommand(1, False)),
        ("fail", TaskCommand(0, True)),
        ("fail 3", TaskCommand(3, True)),
        ("fail-on w1,w2 3", TaskCommand(3, True)),
        ("fail-on w3 3", TaskCommand(3, False)),
    ],
)
def test_task_commands(text, command):
    """Guards against a command that does not do what its module documents.

    Optional parts, the seconds and the result, may be taken for one another.
    """
    assert parse_command(text, "w1") == Success(command)


@given(st.text())
def test_any_command_is_a_value(text):
    """Guards against an exception, or endless work, from a malformed command.

    Numbers of seconds such as ``nan``, ``inf`` and ``-1`` are valid floats.
    """
    match parse_command(text, "w1"):
        case Success(command):
            assert 0 <= command.seconds < math.inf
        case Failure(message):
            assert message


def test_list_shows_changes_after_its_lag():
    """Guards against tests that rely on a list without lag.

    Every kind of change, a removal too, must stay invisible until the lag has passed.
    """
    state = InstancesState(lag_seconds=2)
    state.put([build_record("w")], 10)
    assert state.visible(11.9) == ()
    assert state.visible(12)[0].state is InstanceState.LIVE
    assert state.set_state("w", InstanceState.LEAVING, 20)
    assert state.visible(21)[0].state is InstanceState.LIVE
    assert state.visible(22)[0].state is InstanceState.LEAVING
    assert state.remove("w", 30)
    assert not state.remove("w", 30)
    assert len(state.visible(31)) == 1
    assert state.visible(32) == ()


def test_unknown_and_malformed_faults_are_refused():
    """Guards against a scenario whose misspelt fault has no effect.

    Such a scenario would pass without testing the fault.
    """
    state = FaultState()
    for changes in ({"slow": 1}, {"slow_seconds": "x"}, {"down": "maybe"}):
        with pytest.raises(msgspec.ValidationError):
            state.update(changes)
    state.update({"slow_seconds": 1})
    state.update({"lose_answers": 2})
    assert state.faults.slow_seconds == 1
    assert [state.faults.count_down_if_applies("lose_answers") for _ in range(3)] == [
        True,
        True,
        False,
    ]
    state.update({"lose_answers": -1})
    assert all(state.faults.count_down_if_applies("lose_answers") for _ in range(3))


def test_runner_records_overload_and_duplicates():
    """Guards against overloads and second runs that tests do not see.

    The runner executes every request, so tests rely on what it records.
    """
    state = RunnerState("r", "zone-1", "service-1", slots=1, max_connections=4)
    state.begin("a", b"x", 0)
    assert state.overloads == 0
    state.begin("a", b"x", 1)
    state.end("a", 2)
    state.end("a", 2)
    facts = state.facts()
    assert (facts["overloads"], facts["max_in_use"], facts["in_use"]) == (1, 2, 0)
    assert facts["duplicates"] == ["a"]
    assert facts["starts"] == {"a": [0, 1]}


@given(st.integers(1, 60), st.integers(1, 5), st.integers(1, 10))
def test_targets_are_spread_over_zones(count, zones, per_rack):
    """Guards against repeated ids, uneven zones and overfull racks.

    The count need not be a multiple of the zones or of the rack size.
    """
    names = [f"zone-{index}" for index in range(zones)]
    places = place_targets(count, names, per_rack=per_rack)
    assert len({place.target_id for place in places}) == count
    sizes = [sum(place.zone == name for place in places) for name in names]
    assert max(sizes) - min(sizes) <= 1
    racks = [place.rack for place in places]
    assert max(racks.count(rack) for rack in racks) <= per_rack
