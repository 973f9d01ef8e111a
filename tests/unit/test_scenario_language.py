"""Tests of the scenario files, of their parser and of the checks that they use."""

import math
from pathlib import Path

import lark
import pytest

from lib.deployment import GangTask, partial_seconds
from lib.scenario_parser import PARSER, parse_scenario
from lib.scenario_runner import STEPS

SCENARIOS = sorted(Path(__file__).parents[1].glob("scenarios/*.scenario"))


@pytest.mark.parametrize("path", SCENARIOS, ids=lambda path: path.stem)
def test_scenario_can_be_carried_out(path):
    """Guards against a file that fails only late in a long run.

    A statement without a step function fails when it is reached.
    """
    scenario = parse_scenario(path.read_text())
    assert scenario.limit_seconds is not None
    assert scenario.limit_seconds <= 110
    assert {step.name for step in scenario.steps} <= STEPS.keys()
    assert any(step.name.startswith("expect") for step in scenario.steps)


def test_statements_with_options():
    """Guards against options that are taken for values, or lost.

    The parser tells them apart by the names in ``OPTIONS``.
    """
    scenario = parse_scenario(
        """
        # a comment
        seed 7
        within 60 seconds

        send 5 non-idempotent requests at 2.5 per second to e1 as a in background
        repeat unknown of a to e2   # another comment
        freeze owner of runners/salon-desk/kurume as victim
        expect at least 3 completed of a
        """
    )
    assert (scenario.seed, scenario.limit_seconds) == (7, 60)
    send, repeat, freeze, expect = scenario.steps
    assert send.values == (5, "non-idempotent")
    assert send.options == {
        "rate": 2.5,
        "at": "e1",
        "as_name": "a",
        "in_background": True,
    }
    assert type(send.options["at"]) is str
    assert (repeat.values, repeat.options) == (("unknown", "a"), {"at": "e2"})
    assert freeze.values == ("freeze", ("owner", "runners/salon-desk/kurume"))
    assert expect.values == ("at least", 3, "completed", "a")


@pytest.mark.parametrize("text", ["send many requests", "wait", "start instances a b"])
def test_malformed_statements_are_refused(text):
    """Guards against malformed statements that are silently left out.

    These have a wrong value, no value or no separator.
    """
    with pytest.raises(lark.UnexpectedInput):
        parse_scenario(text)


def task(index: int, state: str, *intervals: tuple[float, float]) -> GangTask:
    return GangTask(index, state, intervals, intervals[-1][1] if intervals else 0)


@pytest.mark.parametrize(
    ("tasks", "seconds"),
    [
        ([task(0, "finished", (0, 5)), task(1, "finished", (0, 5))], 0),
        ([task(0, "finished", (0, 5)), task(1, "finished", (0, 3))], 0),
        ([task(0, "stopped", (0, 5)), task(1, "failed", (0, 3))], 2),
        ([task(0, "stopped", (0, 5)), task(1, "stopped", (1, 5))], 1),
        ([task(0, "finished", (0, 5))], math.inf),
        ([task(0, "finished", (0, 5)), task(1, "lapsed")], math.inf),
        ([task(0, "running", (0, 5)), task(1, "throttled")], 5),
        ([task(0, "lapsed"), task(1, "stopped")], 0),
    ],
)
def test_partial_work_is_measured(tasks, seconds):
    """Guards against a check that overlooks a gang that ran in part.

    A member may end early, start late or never work.
    """
    assert partial_seconds(tasks, 2) == seconds


def test_every_expectation_has_a_step():
    """Guards against an expectation of the grammar that nothing checks.

    Its function may be missing or not registered as a step.
    """
    names = {
        str(rule.alias or rule.origin.name)
        for rule in PARSER.rules
        if str(rule.alias or rule.origin.name).startswith("expect_")
    }
    assert names
    assert names <= STEPS.keys()
