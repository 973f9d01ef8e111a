import time

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st
from returns.result import Success

from egretloft._internal.platform.http_call import HttpResponse, create_http_session
from egretloft._internal.platform.http_target_call import classify_failure
from egretloft._internal.platform.http_worker_client import create_http_worker_client
from egretloft._internal.platform.protocols import (
    CallFailureKind,
    Renewal,
    TaskState,
)
from lib.serving import build_task_start, serving
from standins.worker import WorkerTarget
from standins.worker_state import WorkerState


def worker_target() -> WorkerTarget:
    return WorkerTarget(WorkerState("worker-1", "zone-1", 8, 8, 8), "127.0.0.1", 0)


async def test_task_lifecycle():
    """Guards against fields that are lost in encoding or decoding."""
    target = worker_target()
    async with serving(target) as session:
        client = create_http_worker_client(session)
        address = target.address
        now = time.time()
        start = build_task_start(now=now, command="work 0 done")
        assert (await client.start(address, start)).unwrap().state == "throttled"
        renewals = [Renewal("task-1", now + 15, False), Renewal("other", 0, False)]
        reports = (await client.renew(address, renewals)).unwrap()
        assert [report.state for report in reports] == [
            TaskState.FINISHED,
            TaskState.UNKNOWN,
        ]
        assert reports[0].result == "done"
        assert (await client.list_tasks(address)).unwrap() == reports[:1]
        assert (await client.stop(address, "task-1")).unwrap().state == "finished"
        usage = (await client.usage(address, 0)).unwrap()
        assert [record.task_id for record in usage] == ["task-1"]
        assert (await client.usage(address, 1)).unwrap() == ()


async def test_checkpoint_of_a_running_task():
    """Guards against a lost or wrong checkpoint name, which would lose progress."""
    target = worker_target()
    async with serving(target) as session:
        client = create_http_worker_client(session)
        start = build_task_start(now=time.time(), throttled=False)
        await client.start(target.address, start)
        name = (await client.checkpoint(target.address, "task-1")).unwrap()
        assert name.startswith("checkpoint-task-1-")
        failure = (await client.checkpoint(target.address, "other")).failure()
        assert failure.kind is CallFailureKind.REFUSED


@pytest.mark.parametrize(
    ("faults", "kind", "started"),
    [
        ({"down": "refuse"}, CallFailureKind.REFUSED, False),
        ({"down": "reset"}, CallFailureKind.UNKNOWN, False),
        ({"lose_answers": 1}, CallFailureKind.UNKNOWN, True),
        ({"slow_answer_seconds": 5.0}, CallFailureKind.UNKNOWN, True),
        ({"late_start_seconds": 5.0}, CallFailureKind.UNKNOWN, False),
    ],
)
async def test_failures_are_classified(faults, kind, started):
    """Guards against reporting "refused" when only the answer to a start was lost."""
    target = worker_target()
    async with serving(target) as session:
        client = create_http_worker_client(session, 0.3)
        target.control(faults)
        start = build_task_start(now=time.time())
        assert (await client.start(target.address, start)).failure().kind is kind
        assert bool(target.state.tasks) is started


async def test_start_on_unreachable_worker_is_not_sent():
    """Guards against waiting for the lease of a task whose start was never sent."""
    target = worker_target()
    async with serving(target):
        pass
    async with create_http_session() as session:
        client = create_http_worker_client(session)
        start = build_task_start(now=time.time())
        failure = (await client.start(target.address, start)).failure()
        assert failure.kind is CallFailureKind.NOT_SENT


async def test_late_start_is_refused():
    """Guards against a start that arrives after ``start_before``."""
    target = worker_target()
    async with serving(target) as session:
        client = create_http_worker_client(session)
        start = build_task_start(now=time.time(), start_seconds=-0.1)
        failure = (await client.start(target.address, start)).failure()
        assert failure.kind is CallFailureKind.REFUSED


@given(st.integers(200, 599), st.binary() | st.text().map(msgspec.json.encode))
def test_unclear_answer_is_no_refusal(status, body):
    """Guards against a refusal concluded from a status code or a malformed body."""
    failure = classify_failure(Success(HttpResponse(status, {}, body))).failure()
    assert failure.kind is CallFailureKind.UNKNOWN
