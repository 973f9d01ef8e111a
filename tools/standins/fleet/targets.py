"""Emulated targets that run tasks under leases, with injected faults."""

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
    Renewal,
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

ONE_WAY_DELAY_SECONDS = 0.004
STOP_DELAY_SECONDS = 0.3
MAX_LISTED_ENDS = 500
GANG_TIMEOUT_SECONDS = 3.0
MAX_LEASE_SECONDS = 6.0
# Slowdown of a gang that asked for a single rack but was placed on several.
CROSS_RACK_SLOWDOWN = 3.0
LATE_ORDER_DELAY_SECONDS = (2.0, 12.0)
# A task that crashes its target does so this long after its start; the target is back
# after some seconds.
CRASH_DELAY_SECONDS = 0.1
CRASHED_SECONDS = 3.0
# A room that has shrunk counts after the time in which an instance may be out of touch,
# and one period of registration.
SHRINK_NOTICE_SECONDS = 4.5


@dataclass(slots=True)
class UnacknowledgedEnd:
    """An end that the scheduler has not acknowledged yet.

    ``lease_expired`` tells whether the target's lease expired after the run ended.
    """

    end: RunEnd
    lease_expired: bool = False


class EmulatedTarget:
    """One target, with its runs, its lease and its faults.

    Faults: ``cut`` and ``silent`` let calls time out, and while ``cut`` the target does
    not register either. While it is paused, calls wait and it does not register. With
    ``fails_all`` every run fails, and with ``stalls_all`` no run makes progress. With
    ``loses_starts`` no start arrives, while all other calls are answered, and with
    ``loses_stops`` no stop; starts are answered ``start_answer_delay_seconds`` late.

    It lists the first ``max_listed_ends`` of the ends that are not acknowledged.
    """

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
        # Until ``shrinks_at``, starts are still judged by ``room_before``.
        self.room_before = room
        self.shrinks_at = 0.0
        self.checker = checker
        self.gangs = gangs
        self.all_targets = all_targets
        self.clock_offset_ms = clock_offset_ms
        self.clock_rate = 0.98
        self.max_lease_seconds = MAX_LEASE_SECONDS
        self.incarnation_ms = 1
        # The label that tells targets apart; a restart may change it.
        self.kind = "a"
        self.reset_state()
        self.cut = False
        self.silent = False
        # Whether it has crashed and is not back.
        self.down = False
        self.resumed = asyncio.Event()
        self.resumed.set()
        self.fails_all = False
        self.stalls_all = False
        self.loses_starts = False
        self.loses_stops = False
        self.start_answer_delay_seconds = 0.0
        self.max_listed_ends = MAX_LISTED_ENDS
        self.draining = False
        self.leaves_at: float | None = None
        self.removed = False
        # A cold target runs this many times slower until a while after its restart.
        self.cold_slowness = 1.0
        self.cold_until = 0.0

    def reset_state(self) -> None:
        """Reset all state that a crash loses."""
        self.runs: dict[RunKey, RunTruth] = {}
        self.ends: list[UnacknowledgedEnd] = []
        self.next_number = 1
        self.fence = 0
        self.lease_ms = 0.0
        self.ended_attempts: dict[TaskKey, int] = {}
        self.new_end = asyncio.Event()
        self.lease_timer: asyncio.TimerHandle | None = None

    def now(self) -> float:
        """Return virtual time."""
        return asyncio.get_running_loop().time()

    def time_ms(self) -> int:
        """Return the target's own clock, which has an offset and runs slow."""
        return int(self.clock_offset_ms + self.now() * 1000 * self.clock_rate)

    def labels(self) -> frozenset[str]:
        """Return the labels by which steps choose targets."""
        return frozenset({self.kind, self.rack})

    def report(self) -> TargetReport:
        """Return the report with which the target registers."""
        return TargetReport(
            self.target_id,
            f"address-{self.target_id}",
            self.service,
            self.zone,
            self.rack,
            self.labels(),
            self.room,
            self.draining,
            self.incarnation_ms,
            None if self.leaves_at is None else max(0.0, self.leaves_at - self.now()),
        )

    def crash(self) -> None:
        """Lose all runs and ends, and return as a new incarnation with a new clock."""
        for run in list(self.runs.values()):
            self.checker.on_end(run, EndKind.STOPPED)
            self.break_gang(run)
        self.incarnation_ms += 1000
        self.clock_offset_ms = -self.now() * 1000 * self.clock_rate
        self.reset_state()

    def crash_for(self, seconds: float) -> None:
        """Crash, and return as a new incarnation after ``seconds``."""
        self.crash()
        self.cut = self.down = True
        asyncio.get_running_loop().call_later(seconds, self.come_back)

    def come_back(self) -> None:
        """Answer and register again."""
        self.cut = self.down = False

    def crash_by(self, run: RunTruth) -> None:
        """Crash because of a run, if it has not ended."""
        if run.key in self.runs:
            self.checker.crashes[run.key.task] += 1
            self.crash_for(CRASHED_SECONDS)

    def pause(self) -> None:
        """Answer no call and do not register until ``resumed`` is set.

        Calls that arrive meanwhile are handled afterwards, and leases expire. What the
        runs do meanwhile is known outside only afterwards, so they go on.
        """
        self.resumed.clear()

    def is_paused(self) -> bool:
        """Return whether the target is paused."""
        return not self.resumed.is_set()

    def resize(self, room: Resources) -> None:
        """Change the room; starts are judged by a smaller one only after a while."""
        self.room_before = self.limit()
        self.shrinks_at = self.now() + SHRINK_NOTICE_SECONDS
        self.room = room

    def limit(self) -> Resources:
        """Return the room that starts must not exceed."""
        if self.now() >= self.shrinks_at:
            return self.room
        return Resources(
            max(self.room.cpu, self.room_before.cpu),
            max(self.room.memory_mb, self.room_before.memory_mb),
            max(self.room.gpus, self.room_before.gpus),
        )

    def stall(self, seconds: float) -> None:
        """Let the runs at work stand still for ``seconds``, after which they go on."""
        loop = asyncio.get_running_loop()
        for run in self.runs.values():
            if run.working_since is None:
                continue
            run.stalled_from = self.now()
            run.stalled_until = self.now() + seconds
            for handle in run.handles:
                handle.cancel()
            left = run.working_since + run.work_left - self.now()
            timer = loop.call_later(left + seconds, self.end, run, EndKind.DONE)
            run.handles = [timer]

    def return_cold(self, slowness: float, seconds: float) -> None:
        """Restart; for ``seconds``, new runs take ``slowness`` times as long."""
        self.crash()
        self.cold_slowness = slowness
        self.cold_until = self.now() + seconds

    # Leases.

    def extend(self, expires_ms: float) -> None:
        """Extend the lease up to the longest allowed term; never shorten it."""
        latest = self.time_ms() + self.max_lease_seconds * 1000
        self.lease_ms = max(self.lease_ms, min(expires_ms, latest))
        if self.lease_timer is not None:
            self.lease_timer.cancel()
        left = max(0.0, self.lease_ms - self.time_ms()) / 1000 / self.clock_rate
        self.lease_timer = asyncio.get_running_loop().call_later(left, self.check_lease)

    def check_lease(self) -> None:
        """End all runs if the lease has expired; otherwise set the timer again."""
        if self.time_ms() + 1 < self.lease_ms:
            self.extend(self.lease_ms)
            return
        for item in self.ends:
            item.lease_expired = True
        for run in list(self.runs.values()):
            self.end(run, EndKind.LEASE_EXPIRED)

    # Runs.

    def used(self) -> Resources:
        """Return the resources that the active runs use."""
        room = Resources()
        for run in self.runs.values():
            room = room.plus(run.room)
        return room

    def start(self, order: StartOrder) -> Result[int, TargetFailure]:
        """Start a run, or refuse it; a repeated start has no further effect.

        Refused are a start of an older epoch (fenced), one that arrives after its
        expiry, and one whose attempt, or a later one, has ended or was stopped.
        """
        if order.fencing_token < self.fence:
            return self.refuse(StartRefusal.FENCED)
        self.fence = order.fencing_token
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
        if not self.limit().holds(self.used()):
            self.checker.report("LIMIT", self.target_id, self.now())
        if spec is not None and spec.label and spec.label not in self.labels():
            self.checker.report("ROUTE", f"{order.run} on {self.target_id}", self.now())
        if truth is not None and spec is not None:
            run.work_left = truth.work_seconds
            if order.run.task.index in truth.crashing_tasks:
                loop = asyncio.get_running_loop()
                loop.call_later(CRASH_DELAY_SECONDS, self.crash_by, run)
            if spec.gang:
                self.join_gang(run, spec)
            else:
                self.work(run)
        return Success(self.time_ms())

    def refuse(self, refusal: StartRefusal) -> Failure[TargetFailure]:
        """Return the failure of a refused call."""
        return Failure(
            TargetFailure(
                TargetFailureKind.REFUSED, refusal.value, refusal, self.time_ms()
            )
        )

    def join_gang(self, run: RunTruth, spec: StepSpec) -> None:
        """Add a member to its gang; the last one to join starts the work of all.

        A gang that asked for a single rack works more slowly on several.
        """
        key = (run.key.task.step, run.key.attempt)
        members = self.gangs.setdefault(key, [])
        members.append(run)
        if len(members) == spec.tasks:
            racks = {self.all_targets[member.target_id].rack for member in members}
            for member in members:
                if spec.same_rack and len(racks) > 1:
                    member.work_left *= CROSS_RACK_SLOWDOWN
                self.all_targets[member.target_id].work(member)
            return
        loop = asyncio.get_running_loop()
        run.handles.append(
            loop.call_later(GANG_TIMEOUT_SECONDS, self.end_incomplete_gang, run)
        )

    def end_incomplete_gang(self, run: RunTruth) -> None:
        """End a member whose gang was not complete in time."""
        if run.key in self.runs and run.working_since is None:
            self.checker.report("GANG", f"{run.key} ended alone", self.now())
            self.end(run, EndKind.GANG_INCOMPLETE)

    def work(self, run: RunTruth) -> None:
        """Start the work of a run and set the timer for its end."""
        run.working_since = self.now()
        if self.now() < self.cold_until:
            run.work_left *= self.cold_slowness
        if self.stalls_all:
            return
        truth = self.checker.jobs[run.key.task.step.job_id]
        failed = self.checker.failures.get(run.key.task, 0)
        fails = self.fails_all or failed < truth.failing_attempts
        kind = EndKind.FAILED if fails else EndKind.DONE
        seconds = 0.2 if self.fails_all else run.work_left
        loop = asyncio.get_running_loop()
        run.handles.append(loop.call_later(seconds, self.end, run, kind))

    def end(self, run: RunTruth, kind: EndKind) -> None:
        """End a run and keep the end until it is acknowledged."""
        if self.runs.get(run.key) is not run:
            return
        del self.runs[run.key]
        task = run.key.task
        self.ended_attempts[task] = max(
            run.key.attempt, self.ended_attempts.get(task, 0)
        )
        self.checker.on_end(run, kind)
        self.ends.append(
            UnacknowledgedEnd(RunEnd(self.next_number, run.key, kind, run.checkpoint))
        )
        self.next_number += 1
        self.new_end.set()
        self.break_gang(run, kind)

    def break_gang(self, run: RunTruth, kind: EndKind = EndKind.GANG_BROKEN) -> None:
        """End the other members: as done if this one is done, else as broken."""
        members = self.gangs.pop((run.key.task.step, run.key.attempt), [])
        other_kind = EndKind.DONE if kind is EndKind.DONE else EndKind.GANG_BROKEN
        for member in members:
            if member is not run:
                self.all_targets[member.target_id].end(member, other_kind)

    def stop(self, key: RunKey, epoch: int) -> Result[int, TargetFailure]:
        """Stop a run; a start of the same attempt that arrives later is refused."""
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
            loop.call_later(STOP_DELAY_SECONDS, self.end, run, EndKind.STOPPED)
        return Success(self.time_ms())

    def renew(
        self, epoch: int, last_recorded_end: int, expires_ms: int | None
    ) -> Failure[TargetFailure] | None:
        """Extend the lease and drop acknowledged ends; return the refusal, if any.

        Ends up to the number ``last_recorded_end`` are acknowledged.
        """
        if epoch < self.fence:
            return self.refuse(StartRefusal.FENCED)
        self.fence = epoch
        if expires_ms is not None:
            self.extend(expires_ms)
        for item in self.ends:
            if item.end.number <= last_recorded_end:
                self.checker.on_acknowledged(item.end, item.lease_expired, self.now())
        self.ends = [item for item in self.ends if item.end.number > last_recorded_end]
        return None

    def renewal_answer(self) -> RenewalAnswer:
        """Return the active runs and the ends that are not acknowledged."""
        now = self.now()
        active = tuple(
            ActiveRun(
                run.key, run.checkpoint, progress_percent(run, now, self.stalls_all)
            )
            for run in self.runs.values()
        )
        ends = tuple(item.end for item in self.ends[: self.max_listed_ends])
        return RenewalAnswer(
            self.time_ms(),
            self.incarnation_ms,
            active,
            ends,
            lists_all_ends=len(ends) < self.max_listed_ends,
        )


def progress_percent(run: RunTruth, now: float, stalled: bool) -> int:
    """Return the progress of a run in percent, at most 99 before its end."""
    if run.working_since is None or stalled or not run.work_left:
        return 0
    worked = now - run.working_since
    if now >= run.stalled_until:
        worked -= run.stalled_until - run.stalled_from
    else:
        worked = run.stalled_from - run.working_since
    return min(99, int(100 * worked / run.work_left))


async def return_at_once() -> None:
    """Return at once, for a client that is never frozen."""


def never_separated(target_id: str) -> bool:
    """Return whether a client that is never cut off is cut off from a target."""
    return False


@dataclass(slots=True)
class TargetsClient:
    """Target client of one instance.

    ``wait_until_thawed`` blocks while the instance is frozen. Calls to a target of
    ``cut_from``, or one for which ``is_separated`` holds, get no answer. Calls to a
    target of ``unheard`` are carried out, and their answers are lost.

    ``late_order_share`` is the share of starts and stops that get no answer and are
    carried out seconds later, ``lost_answer_share`` that of starts that are carried out
    at once and whose answer is lost. ``late_renewal_share`` is that of renewals with an
    expiry that are late. With ``late_orders_outlive_crashes``, a target that has
    restarted meanwhile carries out late calls too.
    """

    targets: dict[str, EmulatedTarget]
    generator: random.Random
    wait_until_thawed: Callable[[], Awaitable[None]] = return_at_once
    late_order_share: float = 0.0
    late_renewal_share: float = 0.0
    late_orders_outlive_crashes: bool = False
    lost_answer_share: float = 0.0
    cut_from: set[str] = field(default_factory=set)
    unheard: set[str] = field(default_factory=set)
    is_separated: Callable[[str], bool] = never_separated
    max_lease_seconds: float = MAX_LEASE_SECONDS
    late_orders: set[asyncio.Task[None]] = field(default_factory=set)

    async def reach(
        self, report: TargetReport, timeout_seconds: float
    ) -> EmulatedTarget | None:
        """Wait for a call to arrive; return the target, or ``None`` after a timeout."""
        await self.wait_until_thawed()
        target = self.targets.get(report.target_id)
        if target is None or not self.answers(target):
            await asyncio.sleep(timeout_seconds)
            return None
        await asyncio.sleep(ONE_WAY_DELAY_SECONDS)
        return target

    def answers(self, target: EmulatedTarget) -> bool:
        """Return whether a target is up and not cut off from the instance."""
        name = target.target_id
        separated = name in self.cut_from or self.is_separated(name)
        return not (target.cut or target.silent or separated)

    def is_late(self) -> bool:
        """Return whether this order gets no answer and is carried out late."""
        return (
            bool(self.late_order_share)
            and self.generator.random() < self.late_order_share
        )

    def is_late_renewal(self) -> bool:
        """Return whether this renewal gets no answer and is carried out late."""
        return (
            bool(self.late_renewal_share)
            and self.generator.random() < self.late_renewal_share
        )

    async def carry_out_late(
        self, target: EmulatedTarget, action: Callable[[], object]
    ) -> None:
        """Carry out an order after a random delay.

        One to a target that crashes first is lost, unless it is to outlive that and the
        target is back.
        """
        incarnation_ms = target.incarnation_ms
        await asyncio.sleep(self.generator.uniform(*LATE_ORDER_DELAY_SECONDS))
        is_same = target.incarnation_ms == incarnation_ms
        if target.down:
            return
        if is_same or self.late_orders_outlive_crashes:
            action()

    def postpone(self, target: EmulatedTarget, action: Callable[[], object]) -> None:
        """Start a background task that carries out an order late."""
        task = asyncio.create_task(self.carry_out_late(target, action))
        self.late_orders.add(task)
        task.add_done_callback(self.late_orders.discard)

    async def start(
        self, target: TargetReport, order: StartOrder, timeout_seconds: float
    ) -> Result[int, TargetFailure]:
        """Start a run on the target."""
        reached = await self.reach(target, timeout_seconds)
        if reached is None:
            return no_answer()
        if reached.incarnation_ms != order.incarnation_ms:
            return reached.refuse(StartRefusal.RESTARTED)
        if reached.loses_starts:
            await asyncio.sleep(timeout_seconds)
            return no_answer()
        if self.is_late():
            self.postpone(reached, lambda: reached.start(order))
            await asyncio.sleep(timeout_seconds)
            return no_answer()
        result = reached.start(order)
        is_lost = target.target_id in self.unheard
        if self.lost_answer_share:
            is_lost |= self.generator.random() < self.lost_answer_share
        if is_lost:
            await asyncio.sleep(timeout_seconds)
            return no_answer()
        delay_seconds = ONE_WAY_DELAY_SECONDS + reached.start_answer_delay_seconds
        await asyncio.sleep(min(delay_seconds, timeout_seconds))
        if delay_seconds >= timeout_seconds:
            return no_answer()
        await self.wait_until_thawed()
        return result

    async def stop(
        self, target: TargetReport, run: RunKey, epoch: int, timeout_seconds: float
    ) -> Result[int, TargetFailure]:
        """Stop a run on the target."""
        reached = await self.reach(target, timeout_seconds)
        if reached is None:
            return no_answer()
        if reached.loses_stops:
            await asyncio.sleep(timeout_seconds)
            return no_answer()
        if self.is_late():
            self.postpone(reached, lambda: reached.stop(run, epoch))
            await asyncio.sleep(timeout_seconds)
            return no_answer()
        result = reached.stop(run, epoch)
        if target.target_id in self.unheard:
            await asyncio.sleep(timeout_seconds)
            return no_answer()
        await asyncio.sleep(ONE_WAY_DELAY_SECONDS)
        await self.wait_until_thawed()
        return result

    async def renew(
        self,
        target: TargetReport,
        renewal: Renewal,
        wait_seconds: float,
        timeout_seconds: float,
    ) -> Result[RenewalAnswer, TargetFailure]:
        """Renew the lease; wait up to ``wait_seconds`` if there is no end to report.

        Returns the active runs and the ends that are not acknowledged.
        """
        reached = await self.reach(target, timeout_seconds)
        if reached is None:
            return no_answer()
        if reached.incarnation_ms != renewal.incarnation_ms:
            renewal = Renewal(renewal.fencing_token, reached.incarnation_ms)
        if renewal.expires_at_ms is not None and self.is_late_renewal():
            self.postpone(reached, lambda: renew_late(reached, renewal))
            await asyncio.sleep(timeout_seconds)
            return no_answer()
        refusal = reached.renew(
            renewal.fencing_token, renewal.last_recorded_end, renewal.expires_at_ms
        )
        if target.target_id in self.unheard:
            await asyncio.sleep(timeout_seconds)
            return no_answer()
        if refusal is not None:
            return refusal
        if wait_seconds and not reached.ends:
            reached.new_end.clear()
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(reached.new_end.wait(), wait_seconds)
        if not self.answers(reached):
            return no_answer()
        answer = reached.renewal_answer()
        await asyncio.sleep(ONE_WAY_DELAY_SECONDS)
        await self.wait_until_thawed()
        return Success(answer)


def renew_late(target: EmulatedTarget, renewal: Renewal) -> None:
    """Let a target carry out a renewal, whichever incarnation it was meant for."""
    target.renew(
        renewal.fencing_token, renewal.last_recorded_end, renewal.expires_at_ms
    )


def no_answer() -> Failure[TargetFailure]:
    """Return the failure of a call whose outcome is unknown."""
    return Failure(TargetFailure(TargetFailureKind.UNKNOWN, "no answer"))
