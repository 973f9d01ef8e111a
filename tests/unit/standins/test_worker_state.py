import pytest
from hypothesis import given
from hypothesis import strategies as st
from returns.result import Failure

from egretloft._internal.platform.protocols import Renewal, TaskState
from lib.serving import build_task_start
from standins.worker_state import WorkerState, checkpoint_progress


@pytest.fixture
def worker() -> WorkerState:
    return WorkerState("worker-1", "zone-1", 8, 8, 8, usage_lag_seconds=1.0)


def state_of(worker: WorkerState, now: float, task_id: str = "task-1") -> TaskState:
    worker.end_due_tasks(now)
    return worker.report_of(task_id).state


def test_throttled_task_does_no_work(worker):
    """Guards against gang members that work before the gang is complete.

    Members start throttled, and a renewal releases them.
    """
    worker.start(build_task_start(now=0, command="work 1"), 0)
    assert state_of(worker, 5) is TaskState.THROTTLED
    worker.renew(Renewal("task-1", 20, False), 5)
    assert state_of(worker, 5.9) is TaskState.RUNNING
    assert state_of(worker, 6.0) is TaskState.FINISHED
    assert worker.report_of("task-1").started_at == 5


def test_lease_end_is_final(worker):
    """Guards against a renewal that revives a task.

    It may arrive after the lease has expired.
    """
    worker.start(build_task_start(now=0, lease_seconds=6), 0)
    assert state_of(worker, 6) is TaskState.LEASE_EXPIRED
    assert (
        worker.renew(Renewal("task-1", 100, False), 6.1).state
        is TaskState.LEASE_EXPIRED
    )


def test_lease_only_moves_forward(worker):
    """Guards against a delayed renewal that shortens a lease.

    It arrives after a newer one with a later end of the lease.
    """
    worker.start(build_task_start(now=0), 0)
    worker.renew(Renewal("task-1", 20, True), 1)
    worker.renew(Renewal("task-1", 10, True), 2)
    assert state_of(worker, 19) is TaskState.THROTTLED


def test_stopped_task_cannot_start(worker):
    """Guards against a task that runs although it was stopped.

    Its start may be delayed and arrive after the stop.
    """
    assert worker.stop("task-1", 0).state is TaskState.STOPPED
    report = worker.start(build_task_start(now=0), 0).unwrap()
    assert report.state is TaskState.STOPPED
    assert worker.starts == []
    assert len(worker.duplicate_starts) == 1


def test_task_id_starts_once(worker):
    """Guards against a repeated start that does the work twice.

    Callers repeat a start whose answer they did not get.
    """
    start = build_task_start(now=0, command="work 1", throttled=False)
    worker.start(start, 0)
    assert worker.start(start, 1.5).unwrap().state is TaskState.FINISHED
    assert len(worker.starts) == 1


@pytest.mark.parametrize(
    ("changes", "at"),
    [({}, 2.01), ({"lease_seconds": 1}, 1), ({"command": "dance"}, 0)],
)
def test_refused_start_leaves_nothing(worker, changes, at):
    """Guards against a refused start that holds accelerators.

    It may be late, have an expired lease or have a malformed command.
    """
    assert isinstance(worker.start(build_task_start(now=0, **changes), at), Failure)
    assert worker.tasks == {}
    assert len(worker.refused_starts) == 1


def test_checkpoint_preserves_progress(worker):
    """Guards against work that is lost when a gang is stopped and restarted.

    The new task has to continue from the progress in the checkpoint's name.
    """
    start = build_task_start(now=0, command="work 5", throttled=False)
    worker.start(start, 0)
    name = worker.checkpoint("task-1", 2).unwrap()
    worker.stop("task-1", 2)
    again = build_task_start(
        "task-2", now=2, command="work 5", throttled=False, checkpoint=name
    )
    worker.start(again, 2)
    assert state_of(worker, 4.9, "task-2") is TaskState.RUNNING
    assert state_of(worker, 5.0, "task-2") is TaskState.FINISHED


@given(st.text())
def test_any_checkpoint_name_is_read(name):
    """Guards against an exception from a checkpoint name of another origin.

    The name is part of the start and may be any text.
    """
    assert checkpoint_progress(name) >= 0


def test_overload_is_recorded(worker):
    """Guards against scheduling errors that tests do not see.

    The worker starts tasks that exceed its resources, so it has to record each.
    """
    worker.start(build_task_start("a", now=0, accelerators=(0, 1)), 0)
    assert worker.overloads == []
    worker.start(build_task_start("b", now=0, accelerators=(1,)), 0)
    worker.start(build_task_start("c", now=0, accelerators=(8,)), 0)
    worker.start(build_task_start("d", now=0, accelerators=(7,), cores=6), 0)
    assert [item["task_id"] for item in worker.overloads] == ["b", "c", "d"]
    assert worker.overloads[0]["accelerators_doubly_used"] == {"a": [1]}
    assert worker.overloads[2]["cores"] == 9


def test_ended_task_frees_its_accelerators(worker):
    """Guards against overloads that are reported but did not happen.

    The end of a task is computed late, when the next task starts.
    """
    worker.start(build_task_start("a", now=0, command="work 1", throttled=False), 0)
    worker.start(build_task_start("b", now=1), 1.5)
    assert worker.overloads == []


def test_usage_appears_after_its_lag(worker):
    """Guards against accounts that rely on immediate usage reports.

    A task that was never released has no usage.
    """
    worker.start(build_task_start(now=10, command="work 1", throttled=False), 10)
    worker.start(build_task_start("never released", now=10, accelerators=(1,)), 10)
    assert worker.usage_after(0, 11.9) == ()
    (record,) = worker.usage_after(0, 20.0)
    assert (record.task_id, record.started_at, record.ended_at) == ("task-1", 10, 11)


def test_crashed_worker_loses_its_tasks_but_keeps_recorded_facts(worker):
    """Guards against checks that miss what ran before a crash.

    The worker loses its tasks in the crash, but has to keep them for the tests.
    """
    worker.start(build_task_start(now=0, command="work 9", throttled=False), 0)
    worker.crash(2)
    assert worker.reports(3) == ()
    (task,) = worker.facts(3)["tasks"]
    assert task["intervals"] == [(0, 2)]


def test_worker_that_fails_everything(worker):
    """Guards against a faulty worker that fails only after the declared time.

    A long task has to fail early too.
    """
    start = build_task_start(now=0, command="work 3600", throttled=False)
    worker.start(start, 0, fails=True)
    assert state_of(worker, 1) is TaskState.FAILED
    assert worker.report_of("task-1").exit_code == 1


@given(
    st.lists(
        st.tuples(
            st.sampled_from(["start", "renew", "release", "stop", "look"]),
            st.sampled_from(["a", "b"]),
            st.floats(0, 3),
        ),
        max_size=20,
    )
)
def test_tasks_never_work_outside_their_lease(steps):
    """Guards against stand-in errors that would hide errors of the scheduler.

    Starts, renewals, releases and stops may come in any order.
    """
    worker = WorkerState("worker-1", "zone-1", 8, 8, 8)
    now = 1.0
    for action, task_id, seconds in steps:
        now += seconds
        if action == "start":
            worker.start(build_task_start(task_id, now=now, command="work 2"), now)
        elif action == "stop":
            worker.stop(task_id, now)
        elif action != "look":
            worker.renew(Renewal(task_id, now + 1, action == "renew"), now)
        worker.end_due_tasks(now)
    for task in worker.facts(now)["tasks"]:
        worked = sum(end - begin for begin, end in task["intervals"])
        assert worked <= 2 + 1e-6
        assert all(end <= task["lease_until"] + 1e-6 for _, end in task["intervals"])
    assert len({item["task_id"] for item in worker.starts}) == len(worker.starts)
