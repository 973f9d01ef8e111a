"""In-memory workers that implement leases, start windows and throttling."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable, Sequence
from dataclasses import dataclass, field, replace

from returns.result import Failure, Result, Success

from egretloft._internal.models.topology import Worker
from egretloft._internal.platform.protocols import (
    CallFailure,
    CallFailureKind,
    Renewal,
    TaskReport,
    TaskStart,
    TaskState,
    UsageRecord,
)
from lib.simulated_time import SimulatedTime

ACTIVE_STATES = {TaskState.THROTTLED, TaskState.RUNNING}
CALL_TIMEOUT_SECONDS = 2.0


@dataclass(slots=True)
class FakeTask:
    start: TaskStart
    report: TaskReport


@dataclass(slots=True)
class FakeWorker:
    """One worker; each task works for ``run_seconds`` after its release."""

    worker_id: str
    time: SimulatedTime
    run_seconds: float = 1e9
    exit_code: int = 0
    result: str = "ok"
    refuse_starts: bool = False
    start_delay: float = 0.0
    lose_answers: int = 0
    unreachable: bool = False
    tasks: dict[str, FakeTask] = field(default_factory=dict)
    checkpoints: int = 0
    # By task id: when the work began and ended, for each ended task that has worked.
    work_periods: dict[str, tuple[float, float]] = field(default_factory=dict)
    refused_start_count: int = 0

    def crash(self) -> None:
        self.observe()
        for task in self.tasks.values():
            if task.report.state in ACTIVE_STATES:
                self._end(task, TaskState.STOPPED, self.time.clock.wall())
        self.unreachable = True

    def observe(self) -> None:
        """End the tasks whose work is done or whose lease has expired."""
        now = self.time.clock.wall()
        for task in self.tasks.values():
            report = task.report
            if report.state not in ACTIVE_STATES:
                continue
            done_at = (
                report.started_at + self.run_seconds
                if report.state is TaskState.RUNNING
                else float("inf")
            )
            if min(done_at, report.lease_until) > now:
                continue
            if done_at <= report.lease_until:
                state = TaskState.FAILED if self.exit_code else TaskState.FINISHED
                self._end(task, state, done_at)
            else:
                self._end(task, TaskState.LEASE_EXPIRED, report.lease_until)

    def working(self) -> set[str]:
        self.observe()
        return {
            task_id
            for task_id, task in self.tasks.items()
            if task.report.state is TaskState.RUNNING
        }

    def start(self, start: TaskStart) -> Result[TaskReport, CallFailure]:
        self.observe()
        known = self.tasks.get(start.task_id)
        if known is not None:
            return Success(known.report)
        if self.time.clock.wall() > start.start_before or self.refuse_starts:
            self.refused_start_count += 1
            return Failure(CallFailure(CallFailureKind.REFUSED, "refused"))
        state = TaskState.THROTTLED if start.throttled else TaskState.RUNNING
        report = TaskReport(
            start.task_id,
            state,
            start.job_id,
            start.attempt,
            start.task_index,
            start.accelerators,
            start.lease_until,
        )
        self.tasks[start.task_id] = FakeTask(start, report)
        return Success(report)

    def renew(self, renewals: Sequence[Renewal]) -> tuple[TaskReport, ...]:
        self.observe()
        return tuple(self._renew(renewal) for renewal in renewals)

    def stop(self, task_id: str) -> TaskReport:
        self.observe()
        task = self.tasks.get(task_id)
        if task is None:
            report = TaskReport(task_id, TaskState.STOPPED)
            start = TaskStart(task_id, "", 0, 0, (), 0, 0, "", 0.0, 0.0, True)
            self.tasks[task_id] = FakeTask(start, report)
            return report
        if task.report.state in ACTIVE_STATES:
            self._end(task, TaskState.STOPPED, self.time.clock.wall())
        return task.report

    def checkpoint(self, task_id: str) -> Result[str, CallFailure]:
        self.observe()
        task = self.tasks.get(task_id)
        if task is None or task.report.state is not TaskState.RUNNING:
            return Failure(CallFailure(CallFailureKind.REFUSED, "not running"))
        self.checkpoints += 1
        return Success(f"checkpoint-{task_id}-{self.checkpoints}")

    def _renew(self, renewal: Renewal) -> TaskReport:
        task = self.tasks.get(renewal.task_id)
        if task is None:
            return TaskReport(renewal.task_id, TaskState.UNKNOWN)
        report = task.report
        if report.state in ACTIVE_STATES:
            report = replace(
                report, lease_until=max(report.lease_until, renewal.lease_until)
            )
            if report.state is TaskState.THROTTLED and not renewal.throttled:
                now = self.time.clock.wall()
                report = replace(report, state=TaskState.RUNNING, started_at=now)
            task.report = report
        return report

    def _end(self, task: FakeTask, state: TaskState, at: float) -> None:
        if task.report.started_at:
            self.work_periods[task.report.task_id] = (task.report.started_at, at)
        task.report = replace(
            task.report,
            state=state,
            ended_at=at,
            exit_code=self.exit_code if state is TaskState.FAILED else 0,
            result=self.result if state is TaskState.FINISHED else "",
        )


@dataclass(slots=True)
class FakeWorkers:
    """All workers of a test, and a record of which gang members worked when."""

    time: SimulatedTime
    workers: dict[str, FakeWorker] = field(default_factory=dict)
    # By (job id, attempt): since when some, but not all, members of the gang work.
    partial_since: dict[tuple[str, int], float] = field(default_factory=dict)
    longest_partial: dict[tuple[str, int], float] = field(default_factory=dict)
    worked: dict[str, set[int]] = field(default_factory=dict)
    simultaneous_attempts: int = 0
    # Number of observations of an accelerator that was used by two tasks.
    shared_accelerators: int = 0

    @classmethod
    def create(cls, time: SimulatedTime, workers: list[Worker]) -> FakeWorkers:
        fakes = {w.worker_id: FakeWorker(w.worker_id, time) for w in workers}
        return cls(time, fakes)

    async def observe(self) -> None:
        """Record which incomplete gangs are working; to be called at each step."""
        now = self.time.clock.wall()
        working: dict[tuple[str, int], int] = {}
        for worker in self.workers.values():
            taken: list[int] = []
            for task_id in worker.working():
                start = worker.tasks[task_id].start
                taken.extend(start.accelerators)
                key = start.job_id, start.attempt
                working[key] = working.get(key, 0) + 1
            self.shared_accelerators += len(taken) - len(set(taken))
        jobs = [job_id for job_id, _ in working]
        self.simultaneous_attempts += len(jobs) - len(set(jobs))
        for key, count in working.items():
            self.worked.setdefault(key[0], set()).add(key[1])
            if count == self._not_finished(key):
                self.partial_since.pop(key, None)
                continue
            since = self.partial_since.setdefault(key, now)
            longest = max(self.longest_partial.get(key, 0.0), now - since)
            self.longest_partial[key] = longest
        for key in [key for key in self.partial_since if key not in working]:
            del self.partial_since[key]

    def _not_finished(self, key: tuple[str, int]) -> int:
        reports = [
            task.report
            for worker in self.workers.values()
            for task in worker.tasks.values()
            if (task.start.job_id, task.start.attempt) == key
        ]
        finished = sum(report.state is TaskState.FINISHED for report in reports)
        return len(reports) - finished


@dataclass(slots=True)
class FakeWorkerClient:
    """A ``WorkerClient`` of one instance; calls block until ``running`` is set."""

    fakes: FakeWorkers
    running: asyncio.Event | None = None
    sent_starts: int = 0
    late_starts: list[asyncio.Task[None]] = field(default_factory=list)
    # Called before each start is sent, with the number of starts sent so far.
    before_start: Callable[[int], Awaitable[None]] | None = None

    async def start(
        self, address: str, start: TaskStart
    ) -> Result[TaskReport, CallFailure]:
        worker = self.fakes.workers[address]
        if self.before_start is not None:
            await self.before_start(self.sent_starts)
        self.sent_starts += 1
        if worker.start_delay:
            # The call times out first, but the start still arrives at the worker.
            late = asyncio.create_task(self._start_late(worker, start))
            self.late_starts.append(late)
            return await self._no_answer()
        return await self._call(address, lambda w: w.start(start))

    async def renew(
        self, address: str, renewals: Sequence[Renewal]
    ) -> Result[tuple[TaskReport, ...], CallFailure]:
        return await self._call(address, lambda w: Success(w.renew(renewals)))

    async def checkpoint(self, address: str, task_id: str) -> Result[str, CallFailure]:
        return await self._call(address, lambda w: w.checkpoint(task_id))

    async def stop(self, address: str, task_id: str) -> Result[TaskReport, CallFailure]:
        return await self._call(address, lambda w: Success(w.stop(task_id)))

    async def list_tasks(
        self, address: str
    ) -> Result[tuple[TaskReport, ...], CallFailure]:
        def listed(worker: FakeWorker) -> Success[tuple[TaskReport, ...]]:
            worker.observe()
            return Success(tuple(task.report for task in worker.tasks.values()))

        return await self._call(address, listed)

    async def usage(
        self, address: str, after: int
    ) -> Result[tuple[UsageRecord, ...], CallFailure]:
        return Success(())

    async def _start_late(self, worker: FakeWorker, start: TaskStart) -> None:
        await self.fakes.time.sleep(worker.start_delay)
        worker.start(start)

    async def _call(self, address, action):  # type: ignore[no-untyped-def]
        if self.running is not None:
            await self.running.wait()
        worker = self.fakes.workers.get(address)
        if worker is None or worker.unreachable:
            return await self._no_answer()
        answer = action(worker)
        if self.running is not None:
            await self.running.wait()
        if worker.lose_answers > 0:
            worker.lose_answers -= 1
            return await self._no_answer()
        return answer

    async def _no_answer(self) -> Failure[CallFailure]:
        await self.fakes.time.sleep(CALL_TIMEOUT_SECONDS)
        return Failure(CallFailure(CallFailureKind.UNKNOWN, "timeout"))
