"""Targets that run tasks under leases, with the faults that targets have."""

from __future__ import annotations

import asyncio
import contextlib
import random
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field

from returns.result import Failure, Result, Success

from egretloft._internal.fleet.models import (
    ActiveRun,
    EndKind,
    RenewalAnswer,
    Resources,
    RunEnd,
    RunKey,
    StartOrder,
    StartRefusal,
    StepKey,
    StepSpec,
    TargetFailure,
    TargetFailureKind,
    TargetReport,
    TaskKey,
)
from standins.fleet.checker import Checker, RunTruth

WAY_SECONDS = 0.004
STOP_SECONDS = 0.3
GANG_SECONDS = 3.0
HOLD_MAX_SECONDS = 6.0
# A gang that wants one rack takes this many times as long on several.
REMOTE_FACTOR = 3.0
LATE_ORDER_SECONDS = (2.0, 12.0)


@dataclass(slots=True)
class Listed:
    """An end that the target has not forgotten; ``lapsed`` after its lease ended."""

    end: RunEnd
    lapsed: bool = False


class EmulatedTarget:
    """One target in one life."""

    def __init__(
        self,
        target_id: str,
        service: str,
        zone: str,
        rack: str,
        room: Resources,
        checker: Checker,
        gangs: dict[tuple[StepKey, int], list[RunTruth]],
        all_targets: dict[str, EmulatedTarget],
        clock_offset_ms: float,
    ) -> None:
        self.target_id = target_id
        self.service = service
        self.zone = zone
        self.rack = rack
        self.room = room
        self.checker = checker
        self.gangs = gangs
        self.all_targets = all_targets
        self.clock_offset_ms = clock_offset_ms
        self.clock_rate = 0.98
        self.incarnation_ms = 1
        self.begin_life()
        self.cut = False
        self.silent = False
        self.fails_all = False
        self.stalls_all = False
        self.draining = False
        self.removed = False

    def begin_life(self) -> None:
        """Forget everything, as after a crash."""
        self.runs: dict[RunKey, RunTruth] = {}
        self.ends: list[Listed] = []
        self.next_number = 1
        self.fence = 0
        self.lease_ms = 0.0
        self.ended_attempts: dict[TaskKey, int] = {}
        self.news = asyncio.Event()
        self.lease_timer: asyncio.TimerHandle | None = None

    def now(self) -> float:
        """Return virtual time."""
        return asyncio.get_running_loop().time()

    def time_ms(self) -> int:
        """Return the target's own clock."""
        return int(self.clock_offset_ms + self.now() * 1000 * self.clock_rate)

    def report(self) -> TargetReport:
        """Return what the target says of itself."""
        return TargetReport(
            self.target_id,
            f"address-{self.target_id}",
            self.service,
            self.zone,
            self.rack,
            frozenset({"a", self.rack}),
            self.room,
            self.draining,
            self.incarnation_ms,
        )

    def crash(self) -> None:
        """End all runs without a trace."""
        for run in list(self.runs.values()):
            self.checker.on_end(run, EndKind.STOPPED)
            self.break_gang(run)
        self.incarnation_ms += 1000
        self.begin_life()

    # Leases.

    def extend(self, expires_ms: float) -> None:
        """Extend the lease; it never becomes shorter."""
        latest = self.time_ms() + HOLD_MAX_SECONDS * 1000
        self.lease_ms = max(self.lease_ms, min(expires_ms, latest))
        if self.lease_timer is not None:
            self.lease_timer.cancel()
        left = max(0.0, self.lease_ms - self.time_ms()) / 1000 / self.clock_rate
        self.lease_timer = asyncio.get_running_loop().call_later(left, self.lapse)

    def lapse(self) -> None:
        """End everything when the lease is over."""
        if self.time_ms() + 1 < self.lease_ms:
            self.extend(self.lease_ms)
            return
        for listed in self.ends:
            listed.lapsed = True
        for run in list(self.runs.values()):
            self.end(run, EndKind.LEASE_EXPIRED)

    # Runs.

    def used(self) -> Resources:
        """Return the room that is taken."""
        room = Resources()
        for run in self.runs.values():
            room = room.plus(run.room)
        return room

    def start(self, order: StartOrder) -> Result[int, TargetFailure]:
        """Start a run as the protocol says."""
        if order.epoch < self.fence:
            return self.refuse(StartRefusal.FENCED)
        self.fence = order.epoch
        if order.expires_at_ms < self.time_ms():
            return self.refuse(StartRefusal.LATE)
        self.extend(order.expires_at_ms)
        if order.run in self.runs:
            return Success(self.time_ms())
        if order.run.attempt <= self.ended_attempts.get(order.run.task, 0):
            return self.refuse(StartRefusal.SUPERSEDED)
        truth = self.checker.jobs.get(order.run.task.step.job_id)
        spec = truth.spec.steps[order.run.task.step.step] if truth else None
        room = spec.room if spec else Resources()
        run = RunTruth(order.run, self.target_id, room, order.checkpoint, self.now())
        self.checker.on_start(run, order.payload, self.now())
        self.runs[order.run] = run
        if not self.room.holds(self.used()):
            self.checker.report("LIMIT", self.target_id, self.now())
        if truth is not None and spec is not None:
            run.work_left = truth.work_seconds
            if spec.gang:
                self.join_gang(run, spec)
            else:
                self.work(run)
        return Success(self.time_ms())

    def refuse(self, refusal: StartRefusal) -> Failure[TargetFailure]:
        """Return a refusal."""
        return Failure(
            TargetFailure(
                TargetFailureKind.REFUSED, refusal.value, refusal, self.time_ms()
            )
        )

    def join_gang(self, run: RunTruth, spec: StepSpec) -> None:
        """Wait for the other members; all begin together.

        A gang that wants one rack is slower on several.
        """
        key = (run.key.task.step, run.key.attempt)
        members = self.gangs.setdefault(key, [])
        members.append(run)
        if len(members) == spec.tasks:
            racks = {self.all_targets[member.target_id].rack for member in members}
            for member in members:
                if spec.same_rack and len(racks) > 1:
                    member.work_left *= REMOTE_FACTOR
                self.all_targets[member.target_id].work(member)
            return
        loop = asyncio.get_running_loop()
        run.handles.append(loop.call_later(GANG_SECONDS, self.alone, run))

    def alone(self, run: RunTruth) -> None:
        """End a member whose gang did not come together."""
        if run.key in self.runs and run.working_since is None:
            self.checker.report("GANG", f"{run.key} ended alone", self.now())
            self.end(run, EndKind.GANG_INCOMPLETE)

    def work(self, run: RunTruth) -> None:
        """Let a run work until its end."""
        run.working_since = self.now()
        if self.stalls_all:
            return
        truth = self.checker.jobs[run.key.task.step.job_id]
        failed = self.checker.noted_failures.get(run.key.task, 0)
        fails = self.fails_all or failed < truth.failing_attempts
        kind = EndKind.FAILED if fails else EndKind.DONE
        seconds = 0.2 if self.fails_all else run.work_left
        loop = asyncio.get_running_loop()
        run.handles.append(loop.call_later(seconds, self.end, run, kind))

    def end(self, run: RunTruth, kind: EndKind) -> None:
        """End a run and list it."""
        if self.runs.pop(run.key, None) is None:
            return
        task = run.key.task
        self.ended_attempts[task] = max(
            run.key.attempt, self.ended_attempts.get(task, 0)
        )
        self.checker.on_end(run, kind)
        self.ends.append(
            Listed(RunEnd(self.next_number, run.key, kind, run.checkpoint))
        )
        self.next_number += 1
        self.news.set()
        self.break_gang(run, kind)

    def break_gang(self, run: RunTruth, kind: EndKind = EndKind.GANG_BROKEN) -> None:
        """End the other members of a gang: done with it, or broken."""
        members = self.gangs.pop((run.key.task.step, run.key.attempt), [])
        other_kind = EndKind.DONE if kind is EndKind.DONE else EndKind.GANG_BROKEN
        for member in members:
            if member is not run:
                self.all_targets[member.target_id].end(member, other_kind)

    def stop(self, key: RunKey, epoch: int) -> Result[int, TargetFailure]:
        """Stop a run; a start that comes later is refused."""
        if epoch < self.fence:
            return self.refuse(StartRefusal.FENCED)
        self.fence = epoch
        run = self.runs.get(key)
        if run is None:
            previous = self.ended_attempts.get(key.task, 0)
            self.ended_attempts[key.task] = max(previous, key.attempt)
        elif not run.stopping:
            run.stopping = True
            loop = asyncio.get_running_loop()
            loop.call_later(STOP_SECONDS, self.end, run, EndKind.STOPPED)
        return Success(self.time_ms())

    def renew(
        self, epoch: int, last_recorded_end: int, expires_ms: int | None
    ) -> Failure[TargetFailure] | None:
        """Extend the lease and forget noted ends; return a refusal or ``None``."""
        if epoch < self.fence:
            return self.refuse(StartRefusal.FENCED)
        self.fence = epoch
        if expires_ms is not None:
            self.extend(expires_ms)
        for listed in self.ends:
            if listed.end.number <= last_recorded_end:
                task = listed.end.run.task
                self.checker.on_noted(task, listed.end.kind, listed.lapsed)
        self.ends = [
            listed for listed in self.ends if listed.end.number > last_recorded_end
        ]
        return None

    def lists(self) -> RenewalAnswer:
        """Return both lists."""
        now = self.now()
        active = tuple(
            ActiveRun(run.key, run.checkpoint, percent_of(run, now, self.stalls_all))
            for run in self.runs.values()
        )
        ends = tuple(listed.end for listed in self.ends)
        return RenewalAnswer(self.time_ms(), self.incarnation_ms, active, ends)


def percent_of(run: RunTruth, now: float, stalled: bool) -> int:
    """Return how far a run is."""
    if run.working_since is None or stalled or not run.work_left:
        return 0
    return min(99, int(100 * (now - run.working_since) / run.work_left))


async def at_once() -> None:
    """Hold nothing up."""


@dataclass(slots=True)
class TargetsClient:
    """One instance's way to the targets; ``gate`` holds it up while it is frozen."""

    targets: dict[str, EmulatedTarget]
    generator: random.Random
    gate: Callable[[], Awaitable[None]] = at_once
    late_share: float = 0.0
    cut_from: set[str] = field(default_factory=set)
    late_orders: set[asyncio.Task[None]] = field(default_factory=set)

    async def reach(
        self, report: TargetReport, timeout_seconds: float
    ) -> EmulatedTarget | None:
        """Spend the way; return the target, or ``None`` after the time is over."""
        await self.gate()
        target = self.targets.get(report.target_id)
        unreachable = target is None or target.cut or report.target_id in self.cut_from
        if unreachable or (target is not None and target.silent):
            await asyncio.sleep(timeout_seconds)
            return None
        await asyncio.sleep(WAY_SECONDS)
        return target

    def is_late(self) -> bool:
        """Return whether this order gets no answer and is carried out late."""
        return bool(self.late_share) and self.generator.random() < self.late_share

    async def later(self, action: Callable[[], object]) -> None:
        """Carry an order out seconds later."""
        await asyncio.sleep(self.generator.uniform(*LATE_ORDER_SECONDS))
        action()

    def postpone(self, action: Callable[[], object]) -> None:
        """Have an order carried out late."""
        task = asyncio.create_task(self.later(action))
        self.late_orders.add(task)
        task.add_done_callback(self.late_orders.discard)

    async def start(
        self, target: TargetReport, order: StartOrder, timeout_seconds: float
    ) -> Result[int, TargetFailure]:
        """Order a start."""
        reached = await self.reach(target, timeout_seconds)
        if reached is None:
            return no_answer()
        if self.is_late():
            self.postpone(lambda: reached.start(order))
            await asyncio.sleep(timeout_seconds)
            return no_answer()
        result = reached.start(order)
        await asyncio.sleep(WAY_SECONDS)
        await self.gate()
        return result

    async def stop(
        self, target: TargetReport, run: RunKey, epoch: int, timeout_seconds: float
    ) -> Result[int, TargetFailure]:
        """Order a stop."""
        reached = await self.reach(target, timeout_seconds)
        if reached is None:
            return no_answer()
        if self.is_late():
            self.postpone(lambda: reached.stop(run, epoch))
            await asyncio.sleep(timeout_seconds)
            return no_answer()
        result = reached.stop(run, epoch)
        await asyncio.sleep(WAY_SECONDS)
        await self.gate()
        return result

    async def renew(
        self,
        target: TargetReport,
        epoch: int,
        last_recorded_end: int,
        expires_at_ms: int | None,
        wait_seconds: float,
        timeout_seconds: float,
    ) -> Result[RenewalAnswer, TargetFailure]:
        """Renew the lease and look."""
        reached = await self.reach(target, timeout_seconds)
        if reached is None:
            return no_answer()
        refusal = reached.renew(epoch, last_recorded_end, expires_at_ms)
        if refusal is not None:
            return refusal
        if wait_seconds and not reached.ends:
            reached.news.clear()
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(reached.news.wait(), wait_seconds)
        if reached.cut or reached.silent or reached.target_id in self.cut_from:
            return no_answer()
        answer = reached.lists()
        await asyncio.sleep(WAY_SECONDS)
        await self.gate()
        return Success(answer)


def no_answer() -> Failure[TargetFailure]:
    """Return the failure of an order that may have been carried out."""
    return Failure(TargetFailure(TargetFailureKind.UNKNOWN, "no answer"))
