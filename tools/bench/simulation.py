"""Discrete-event simulation of gangs under one policy, in steps of one second."""

from __future__ import annotations

import heapq
import itertools
import random
import time
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from typing import Protocol

from bench.entitlement import is_entitled
from bench.measures import Measures
from bench.workload import Arrival, Workload
from egretloft._internal.models.jobs import JobSpec, JobState, Placement
from egretloft._internal.models.profiles import Profile
from egretloft._internal.models.topology import Worker
from egretloft._internal.scheduling import events
from egretloft._internal.scheduling.decisions import (
    Decision,
    EndJob,
    StartGang,
    StopGang,
    StopReason,
)
from egretloft._internal.scheduling.feasibility import check_job

STEP_SECONDS = 1.0
SAMPLE_SECONDS = 10.0
START_SECONDS = (0.3, 1.5)
STOP_SECONDS = (1.0, 3.0)
# Overhead of a restart, from a checkpoint or from scratch, before useful work resumes.
RESTART_SECONDS = 5.0
# A gang within its guarantee must run within this time: a reclaim and a start.
GUARANTEE_SECONDS = 10.0
# No run needs longer after the last arrival; jobs left then count as unfinished.
DRAIN_SECONDS = 6 * 3600.0


class Policy(Protocol):
    """A scheduling policy, such as ``_internal.scheduling.scheduler``."""

    def apply(self, event: events.Event) -> None:
        """Apply an event to the state of the policy."""

    def tick(self, now: float) -> list[Decision]:
        """Return the decisions at ``now``."""


@dataclass(slots=True)
class Gang:
    """A job in the simulation; ``saved_seconds`` is run time kept by checkpoints."""

    arrival: Arrival
    saved_seconds: float = 0.0
    attempt: int = 0
    placement: Placement = ()
    running_since: float | None = None
    first_start: float | None = None
    stopping: bool = False
    was_stopped: bool = False
    cancelled: bool = False
    ended: bool = False
    entitled: bool = False
    caused_stops: bool = False

    @property
    def spec(self) -> JobSpec:
        """The job as the policy sees it."""
        return self.arrival.spec


@dataclass(slots=True)
class Simulation:
    """One policy on one workload."""

    workload: Workload
    policy: Policy
    seed: int
    measures: Measures = field(init=False)
    now: float = 0.0
    gangs: dict[str, Gang] = field(default_factory=dict)
    live: dict[str, dict[str, Gang]] = field(default_factory=dict)
    waiting: dict[str, Gang] = field(default_factory=dict)
    running: dict[str, Gang] = field(default_factory=dict)
    zones_out: set[str] = field(default_factory=set)
    event_queue: list[tuple[float, int, Callable[[], None]]] = field(
        default_factory=list
    )
    generator: random.Random = field(init=False)
    event_numbers: Iterator[int] = field(default_factory=itertools.count)
    workers: dict[str, Worker] = field(init=False)
    profiles: dict[str, Profile] = field(init=False)

    def __post_init__(self) -> None:
        self.generator = random.Random(self.seed)
        self.workers = {worker.worker_id: worker for worker in self.workload.workers}
        self.profiles = {each.name: each for each in self.workload.profiles}
        self.measures = Measures(self.workload.large_accelerators)

    def schedule(self, when: float, action: Callable[[], None]) -> None:
        """Schedule an action at a simulated time."""
        heapq.heappush(self.event_queue, (when, next(self.event_numbers), action))

    def run(self) -> Measures:
        """Simulate until all jobs have ended."""
        for worker in self.workload.workers:
            self.policy.apply(events.WorkerAvailable(worker))
        for profile in self.workload.profiles:
            self.policy.apply(events.ProfileChanged(profile))
        for arrival in self.workload.arrivals:
            self.schedule(
                arrival.spec.submitted_at, lambda arrival=arrival: self._submit(arrival)
            )
        for when, job_id in self.workload.cancellations:
            self.schedule(when, lambda job_id=job_id: self._cancel(job_id))
        for outage in self.workload.outages:
            self.schedule(
                outage.start, lambda zone=outage.zone: self._set_zone(zone, False)
            )
            self.schedule(
                outage.end, lambda zone=outage.zone: self._set_zone(zone, True)
            )
        last = self.workload.arrivals[-1].spec.submitted_at
        next_sample = 0.0
        next_event = 0.0
        while self.now < last + DRAIN_SECONDS:
            while self.event_queue and self.event_queue[0][0] <= self.now:
                heapq.heappop(self.event_queue)[2]()
            started = time.perf_counter()
            decisions = self.policy.tick(self.now)
            self.measures.record_tick(time.perf_counter() - started)
            for decision in decisions:
                self._execute(decision)
            if self.now >= next_sample:
                self._take_samples(last)
                next_sample = self.now + SAMPLE_SECONDS
            if not self.live_count and self.now > last:
                break
            next_event = min(
                next_sample, self.event_queue[0][0] if self.event_queue else next_sample
            )
            steps = max(1, -int(-(next_event - self.now) // STEP_SECONDS))
            self.now += STEP_SECONDS * (1 if self.waiting else steps)
        self.measures.unfinished = self.live_count
        self.measures.finished_at = self.now
        return self.measures

    @property
    def live_count(self) -> int:
        """Number of jobs that have not ended."""
        return sum(len(gangs) for gangs in self.live.values())

    # Arrivals, cancellations and zone outages

    def _submit(self, arrival: Arrival) -> None:
        spec = arrival.spec
        profile = self.profiles[spec.profile]
        # Jobs that can never run are refused here, so all policies see the same jobs.
        if check_job(spec, profile, self.workers.values(), ()) is not None:
            self.measures.refused += 1
            return
        gang = Gang(arrival)
        others = self.live.setdefault(spec.profile, {})
        gang.entitled = is_entitled(
            spec, profile, [each.spec for each in others.values()]
        )
        self.gangs[spec.job_id] = gang
        others[spec.job_id] = gang
        self.waiting[spec.job_id] = gang
        self.policy.apply(events.JobQueued(spec))

    def _cancel(self, job_id: str) -> None:
        gang = self.gangs.get(job_id)
        if gang is None or gang.ended:
            return
        gang.cancelled = True
        self.policy.apply(events.JobCancelled(job_id))

    def _set_zone(self, zone: str, in_service: bool) -> None:
        (self.zones_out.discard if in_service else self.zones_out.add)(zone)
        self.policy.apply(events.ZoneChanged(zone, in_service))

    # Decisions

    def _execute(self, decision: Decision) -> None:
        if isinstance(decision, StartGang):
            self._start(decision)
        elif isinstance(decision, StopGang):
            self._stop(decision)
        elif isinstance(decision, EndJob):
            self._end_job(decision)

    def _start(self, decision: StartGang) -> None:
        gang = self.gangs[decision.job_id]
        assert not gang.ended
        assert not gang.placement
        gang.attempt += 1
        gang.placement = decision.placement
        gang.stopping = False
        del self.waiting[decision.job_id]
        self.running[decision.job_id] = gang
        delay = self.generator.uniform(*START_SECONDS)
        attempt = gang.attempt
        self.schedule(self.now + delay, lambda: self._handle_started(gang, attempt))

    def _handle_started(self, gang: Gang, attempt: int) -> None:
        if gang.attempt != attempt or not gang.placement or gang.stopping:
            return
        spec = gang.spec
        gang.running_since = self.now
        if gang.first_start is None:
            gang.first_start = self.now
            wait = self.now - spec.submitted_at
            self.measures.record_start(spec, wait)
            if gang.entitled:
                self.measures.record_guaranteed_start(
                    wait, wait <= GUARANTEE_SECONDS, gang.caused_stops, self.zones_out
                )
        self.policy.apply(events.GangStarted(spec.job_id, self.now))
        if gang.arrival.bad:
            task = self.generator.choice(gang.placement)
            self._schedule_failure(
                gang, attempt, self.now + gang.arrival.fails_after, task.worker_id
            )
            return
        for bad in self.workload.bad_workers:
            for task in gang.placement:
                if task.worker_id == bad.worker_id and bad.start <= self.now < bad.end:
                    delay = self.generator.uniform(3, 20)
                    self._schedule_failure(
                        gang, attempt, self.now + delay, bad.worker_id
                    )
                    return
        remaining = gang.arrival.run_seconds - gang.saved_seconds
        if gang.was_stopped:
            remaining += RESTART_SECONDS
        self.schedule(self.now + remaining, lambda: self._complete(gang, attempt))

    def _schedule_failure(
        self, gang: Gang, attempt: int, when: float, worker_id: str
    ) -> None:
        def fail() -> None:
            if gang.attempt != attempt or not gang.placement or gang.stopping:
                return
            self._record_waste(gang, gang.saved_seconds)
            self._release(gang)
            if not gang.spec.restartable:
                self._finish(gang)
                self.measures.failed += 1
            else:
                self.waiting[gang.spec.job_id] = gang
            self.policy.apply(
                events.GangEnded(
                    gang.spec.job_id, self.now, JobState.FAILED, (worker_id,)
                )
            )

        self.schedule(when, fail)

    def _complete(self, gang: Gang, attempt: int) -> None:
        if gang.attempt != attempt or not gang.placement or gang.stopping:
            return
        self.measures.record_useful_work(
            gang.spec, gang.arrival.run_seconds - gang.saved_seconds
        )
        if self.zones_out:
            self.measures.completed_while_zone_out += 1
        self._release(gang)
        self._finish(gang)
        if not gang.cancelled:
            self.measures.record_completion(
                gang.spec, self.now - gang.spec.submitted_at
            )
        self.policy.apply(
            events.GangEnded(gang.spec.job_id, self.now, JobState.COMPLETED)
        )

    def _stop(self, decision: StopGang) -> None:
        gang = self.gangs[decision.job_id]
        assert gang.placement
        assert not gang.stopping
        gang.stopping = True
        self.measures.stops += 1
        if decision.reason in (
            StopReason.RECLAIM,
            StopReason.URGENT,
            StopReason.MAKE_ROOM,
        ):
            self.measures.preemptions += 1
            if decision.for_job_id in self.gangs:
                self.gangs[decision.for_job_id].caused_stops = True
        ran = 0.0 if gang.running_since is None else self.now - gang.running_since
        attempt = gang.attempt

        def stopped() -> None:
            if gang.attempt != attempt or not gang.placement:
                return
            checkpoint = ""
            kept = max(0.0, ran - (RESTART_SECONDS if gang.was_stopped else 0.0))
            if gang.spec.checkpointable and kept > 0:
                gang.saved_seconds += kept
                self.measures.record_useful_work(gang.spec, kept)
                checkpoint = "checkpoint"
                self._record_waste(gang, RESTART_SECONDS, preempted=True)
            else:
                self._record_waste(gang, ran + RESTART_SECONDS, preempted=True)
            gang.was_stopped = gang.was_stopped or ran > 0
            self._release(gang)
            if gang.cancelled:
                self._finish(gang)
            else:
                self.waiting[gang.spec.job_id] = gang
            self.policy.apply(
                events.GangStopped(gang.spec.job_id, self.now, checkpoint)
            )

        self.schedule(self.now + self.generator.uniform(*STOP_SECONDS), stopped)

    def _end_job(self, decision: EndJob) -> None:
        gang = self.gangs[decision.job_id]
        if not gang.cancelled:
            self.measures.ended_for_failures += 1
            if not gang.arrival.bad:
                self.measures.good_jobs_ended += 1
        if not gang.placement:
            self._finish(gang)
            return
        if gang.stopping:
            gang.cancelled = True
            return
        gang.stopping = True
        attempt = gang.attempt

        def ended() -> None:
            if gang.attempt != attempt or not gang.placement:
                return
            self._release(gang)
            self._finish(gang)
            self.policy.apply(
                events.GangEnded(gang.spec.job_id, self.now, JobState.CANCELLED)
            )

        self.schedule(self.now + self.generator.uniform(*STOP_SECONDS), ended)

    def _record_waste(
        self, gang: Gang, seconds: float, *, preempted: bool = False
    ) -> None:
        amount = max(0.0, seconds) * gang.spec.accelerators
        if preempted:
            self.measures.wasted_by_preemption += amount

    def _release(self, gang: Gang) -> None:
        gang.placement = ()
        gang.running_since = None
        gang.stopping = False
        del self.running[gang.spec.job_id]

    def _finish(self, gang: Gang) -> None:
        gang.ended = True
        self.waiting.pop(gang.spec.job_id, None)
        del self.live[gang.spec.profile][gang.spec.job_id]

    # Sampling

    def _take_samples(self, last_arrival: float) -> None:
        free: dict[str, list[int]] = {}
        for worker_id, worker in self.workers.items():
            if worker.zone not in self.zones_out:
                free[worker_id] = [worker.accelerators, worker.cores, worker.memory_gb]
        held = 0
        for gang in self.running.values():
            if gang.running_since is not None and not gang.stopping:
                held += gang.spec.accelerators
            for task in gang.placement:
                room = free.get(task.worker_id)
                if room is not None:
                    room[0] -= len(task.accelerators)
                    room[1] -= gang.spec.cores
                    room[2] -= gang.spec.memory_gb
        total_free = sum(room[0] for room in free.values())
        if self.now <= last_arrival:
            capacity = sum(
                worker.accelerators
                for worker in self.workers.values()
                if worker.zone not in self.zones_out
            )
            self.measures.record_use(held, capacity, bool(self.zones_out))
        if not self.waiting or not total_free:
            return
        largest = max(
            self.waiting.values(),
            key=lambda gang: (gang.spec.accelerators, -gang.spec.submitted_at),
        ).spec
        if not largest.accelerators_per_task:
            return
        usable: dict[tuple[str, ...], int] = {}
        for worker_id, room in free.items():
            worker = self.workers[worker_id]
            if worker.zone not in self.profiles[largest.profile].zones:
                continue
            fit = min(
                room[0] // largest.accelerators_per_task,
                room[1] // largest.cores,
                room[2] // largest.memory_gb,
            )
            key = {
                "worker": (worker.zone, worker_id),
                "rack": (worker.zone, worker.rack),
                "zone": (worker.zone,),
            }[largest.adjacency.value]
            usable[key] = usable.get(key, 0) + fit * largest.accelerators_per_task
        best = min(total_free, max(usable.values(), default=0))
        self.measures.record_fragmentation(1.0 - best / total_free)
