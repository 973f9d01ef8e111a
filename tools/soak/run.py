"""One seeded soak run: load under faults, after which every accepted job must end."""

from __future__ import annotations

import asyncio
import contextlib
import random
import signal
from collections.abc import Awaitable, Callable, Coroutine
from dataclasses import dataclass, field
from pathlib import Path

import aiohttp
import msgspec

from egretloft._internal.fleet.models import (
    TERMINAL_STATES,
    JobSpec,
    JobState,
    Resources,
)
from egretloft.platform.decoding import decode_job
from egretloft.platform.wire import (
    WireConfig,
    WireGuarantee,
    WireJob,
    WireRoute,
    WireStep,
    WireTenant,
)
from soak.programs import Program
from soak.proxy import LinkMode, Proxy
from standins.fleet.checker import Checker, JobTruth
from standins.fleet.http import HttpPlatform
from standins.fleet.store import EmulatedStore, StoreMode
from standins.fleet.targets import EmulatedTarget

KEY = "soak-key"
HOST = "soak.example"
SERVICE = "service"
# All accepted jobs must end within this time after the last fault.
FINISH_TIMEOUT_SECONDS = 40.0
# The state of one accepted job is asked for this often during the run.
POLL_INTERVAL_SECONDS = 0.1
QUEUE_ATTEMPTS = 4


@dataclass(slots=True)
class SoakReport:
    """Counts, faults and violations of one soak run."""

    seed: int
    accepted: int = 0
    refused: int = 0
    unknown: int = 0
    complete: int = 0
    failed: int = 0
    cancelled: int = 0
    excused: int = 0
    faults: list[str] = field(default_factory=list)
    violations: list[str] = field(default_factory=list)

    def line(self) -> str:
        """Return a summary in one line."""
        verdict = "FAILED" if self.violations else "passed"
        return (
            f"seed {self.seed}: {verdict}; accepted {self.accepted}, complete "
            f"{self.complete}, failed {self.failed}, cancelled {self.cancelled}, "
            f"refused {self.refused}, unknown {self.unknown}, excused {self.excused}, "
            f"faults {len(self.faults)}"
        )


class Soak:
    """An emulated platform, instances with proxies to its store, load and faults."""

    zones: tuple[str, ...] = ("zone-a", "zone-b")
    job_interval_seconds = 0.25
    fault_interval_seconds = (0.4, 1.8)

    def __init__(
        self, seed: int, seconds: float, directory: Path, instances: int, targets: int
    ) -> None:
        self.generator = random.Random(seed)
        # Polls draw from a generator of their own and do not change the faults.
        self.poll_generator = random.Random(seed)
        self.seconds = seconds
        self.directory = directory
        self.report = SoakReport(seed)
        self.checker = Checker()
        self.store = EmulatedStore(self.generator)
        self.targets: dict[str, EmulatedTarget] = {}
        for number in range(targets):
            name = f"i-{number:08x}"
            self.targets[name] = EmulatedTarget(
                name,
                SERVICE,
                self.zones[number % len(self.zones)],
                f"r-{number // 4}",
                Resources(64_000, 262_144, 8),
                self.checker,
                {},
                self.targets,
                self.generator.uniform(0, 1e6),
            )
        shared = next(iter(self.targets.values())).gangs
        for target in self.targets.values():
            target.gangs = shared
        self.platform = HttpPlatform(self.store, self.targets, self.generator)
        self.instances = instances
        self.programs: list[Program] = []
        self.proxies: list[Proxy] = []
        self.accepted: dict[str, JobTruth] = {}
        self.ended: set[str] = set()
        self.sent = 0

    async def run(self) -> SoakReport:
        """Run the soak and return its report."""
        await self.platform.start()
        self.put_configuration(1)
        try:
            await self.start_programs()
            async with aiohttp.ClientSession() as session:
                for program in self.programs:
                    if not await program.wait_ready(session):
                        self.record_violation(f"{program.name} did not become ready")
                        return self.report
                await self.run_load(session)
        finally:
            for program in self.programs:
                await program.end_process(signal.SIGKILL)
            for proxy in self.proxies:
                await proxy.stop()
            await self.platform.stop()
        self.report.violations.extend(self.checker.violations)
        return self.report

    def new_program(self, number: int, store_address: str = "") -> Program:
        """Return an instance whose process has not been started."""
        zone = self.zones[number % len(self.zones)]
        return Program(f"instance-{number}", zone, self.directory, store_address)

    async def start_programs(self) -> None:
        """Start all instances, each with a proxy to the store."""
        host, port = self.platform.store_address.split(":")
        for number in range(self.instances):
            proxy = Proxy(host, int(port))
            await proxy.start()
            self.proxies.append(proxy)
            program = self.new_program(number, proxy.address)
            self.programs.append(program)
            await program.start()

    def work_seconds(self) -> float:
        """Return how long the tasks of a new job work."""
        return self.generator.uniform(0.2, 2.0)

    def record_violation(self, what: str) -> None:
        """Add a violation to the report."""
        self.report.violations.append(what)

    def put_configuration(self, version: int) -> None:
        """Write a configuration with three queues to the store."""
        routes = [
            WireRoute(
                f"queue-{p}",
                HOST,
                f"/queue-{p}/",
                SERVICE,
                p,
                QUEUE_ATTEMPTS,
                3.0,
                1000,
            )
            for p in range(3)
        ]
        config = WireConfig(
            version,
            routes,
            [WireTenant("kennel", [KEY], WireGuarantee(16))],
        )
        self.store.put("op", "config", msgspec.json.encode(config))

    async def run_load(self, session: aiohttp.ClientSession) -> None:
        """Send load and inject faults, then end all faults and check the jobs."""
        background = [asyncio.create_task(work) for work in self.background(session)]
        loop = asyncio.get_running_loop()
        until = loop.time() + self.seconds
        while loop.time() < until:
            await asyncio.sleep(self.generator.uniform(*self.fault_interval_seconds))
            await self.inject()
        await self.end_faults()
        for task in background:
            task.cancel()
        await asyncio.gather(*background, return_exceptions=True)
        await self.finish(session)

    def background(
        self, session: aiohttp.ClientSession
    ) -> list[Coroutine[object, object, None]]:
        """Return what goes on beside the faults until they end."""
        return [self.send_load(session), self.poll_states(session)]

    # Load.

    async def send_load(self, session: aiohttp.ClientSession) -> None:
        """Submit jobs to random instances until cancelled, and cancel some jobs."""
        pending: set[asyncio.Task[None]] = set()
        while True:
            task = asyncio.create_task(self.send_job(session))
            pending.add(task)
            task.add_done_callback(pending.discard)
            await asyncio.sleep(self.job_interval_seconds)

    async def poll_states(self, session: aiohttp.ClientSession) -> None:
        """Check the states that random jobs are shown in until cancelled."""
        pending: set[asyncio.Task[JobState | int | None]] = set()
        while True:
            await asyncio.sleep(POLL_INTERVAL_SECONDS)
            open_jobs = [job_id for job_id in self.accepted if job_id not in self.ended]
            if not open_jobs:
                continue
            job_id = self.poll_generator.choice(open_jobs)
            program = self.poll_generator.choice(self.programs)
            task = asyncio.create_task(self.check_state(session, job_id, program))
            pending.add(task)
            task.add_done_callback(pending.discard)

    async def send_job(self, session: aiohttp.ClientSession) -> None:
        """Submit one job, and retry up to five times while its outcome is unknown."""
        self.sent += 1
        job_id = f"{self.report.seed & 0xFFFF:04x}{self.sent:012x}"
        queue = self.generator.randrange(3)
        body = self.random_job()
        truth = self.new_truth(decode_job(body).unwrap())
        self.checker.jobs[job_id] = truth
        path = f"/queue-{queue}/{job_id}"
        maybe_accepted = False
        for _ in range(6):
            status = await self.call(session, "POST", path, body)
            if status == 200:
                self.accepted[job_id] = truth
                self.report.accepted += 1
                if self.generator.random() < 0.1:
                    await self.cancel(session, path, truth)
                return
            if status in (429, 503) and not maybe_accepted:
                truth.refused = True
                self.report.refused += 1
                return
            maybe_accepted = True
            await asyncio.sleep(0.2)
        self.report.unknown += 1

    def new_truth(self, spec: JobSpec) -> JobTruth:
        """Return what really happens to the tasks of a new job."""
        return JobTruth(spec, self.work_seconds(), QUEUE_ATTEMPTS)

    def random_job(self) -> bytes:
        """Return the request body of a random job."""
        gang = self.generator.random() < 0.4
        gpus = self.generator.choice((1, 1, 2, 8 if gang else 1))
        step = WireStep(
            replicas=self.generator.randint(1, 3 if gang else 6),
            cpu=4000,
            mem_mb=8000,
            gpus=gpus,
            estimate_ms=1000,
            coscheduled=gang,
        )
        return msgspec.json.encode(WireJob("payload", [step]))

    async def cancel(
        self, session: aiohttp.ClientSession, path: str, truth: JobTruth
    ) -> None:
        """Cancel a job; it counts as cancelled when an instance acknowledges it."""
        truth.cancel_sent = True
        if await self.call(session, "DELETE", path, b"") == 200:
            truth.cancelled_at = asyncio.get_running_loop().time()
            self.report.cancelled += 1

    async def call(
        self, session: aiohttp.ClientSession, method: str, path: str, body: bytes
    ) -> int | None:
        """Call a random instance; return the status, or ``None`` without an answer."""
        program = self.generator.choice(self.programs)
        headers = {
            "Host": HOST,
            "Authorization": f"Bearer {KEY}",
            "Deadline-Ms": "3000",
        }
        url = f"http://127.0.0.1:{program.http_port}{path}"
        with contextlib.suppress(aiohttp.ClientError, TimeoutError):
            async with session.request(
                method,
                url,
                data=body,
                headers=headers,
                timeout=aiohttp.ClientTimeout(3.2),
            ) as response:
                await response.read()
                return response.status
        return None

    # Faults.

    async def inject(self) -> None:
        """Inject one random fault; most end on a timer, so faults may overlap."""
        name = await self.generator.choice(self.fault_kinds())()
        self.report.faults.append(name)

    def fault_kinds(self) -> list[Callable[[], Awaitable[str]]]:
        """Return the kinds of faults, of which each is equally likely."""
        return [
            self.kill,
            self.pause,
            self.terminate,
            self.fail_store,
            self.drop_traffic,
            self.fail_target,
            self.reset_connections,
            self.lose_answers,
            self.silence_connections,
        ]

    def victim(self) -> Program:
        """Return the instance that a fault hits."""
        return self.generator.choice(self.programs)

    def call_after(self, seconds: float, action: Callable[[], object]) -> None:
        """Call an action after some seconds."""
        asyncio.get_running_loop().call_later(seconds, action)

    async def kill(self) -> str:
        """Kill a process with SIGKILL and restart it."""
        program = self.victim()
        await program.end_process(signal.SIGKILL)
        await asyncio.sleep(self.generator.uniform(0.1, 1.0))
        await program.start()
        return f"kill {program.name}"

    async def pause(self) -> str:
        """Suspend a process for some seconds."""
        program = self.victim()
        program.send_signal(signal.SIGSTOP)
        seconds = self.generator.uniform(0.5, 5.0)
        self.call_after(seconds, lambda: program.send_signal(signal.SIGCONT))
        return f"pause {program.name}"

    async def terminate(self) -> str:
        """Stop a process gracefully, check its exit code and restart it.

        A suspended process is resumed first, so that it can handle the signal.
        """
        program = self.victim()
        program.send_signal(signal.SIGCONT)
        await program.end_process(signal.SIGTERM)
        # Before the process serves its addresses, SIGTERM may end it directly.
        if program.exit_codes[-1] != 0 and program.has_served():
            self.record_violation(f"{program.name} ended with {program.exit_codes[-1]}")
        await program.start()
        return f"terminate {program.name}"

    async def fail_store(self) -> str:
        """Let the store refuse or ignore all calls for some seconds."""
        self.store.mode = self.generator.choice((StoreMode.REFUSES, StoreMode.SILENT))
        seconds = self.generator.uniform(0.5, 4.0)
        self.call_after(seconds, lambda: setattr(self.store, "mode", StoreMode.WORKS))
        return f"store {self.store.mode}"

    async def lose_answers(self) -> str:
        """Let the store lose answers for two seconds, and maybe apply writes late."""
        self.store.lost_answer_share = 0.3
        self.store.delays_lost_commits = self.generator.random() < 0.5
        self.call_after(2.0, lambda: setattr(self.store, "lost_answer_share", 0.0))
        return "store loses answers"

    async def drop_traffic(self) -> str:
        """Drop the traffic between an instance and the store, both ways or one way."""
        proxy = self.generator.choice(self.proxies)
        proxy.mode = self.generator.choice((LinkMode.SILENT, LinkMode.ONE_WAY))
        seconds = self.generator.uniform(0.5, 5.0)
        self.call_after(seconds, lambda: setattr(proxy, "mode", LinkMode.PASSES))
        return f"link {proxy.mode}"

    async def reset_connections(self) -> str:
        """Abort the connections of an instance to the store."""
        self.generator.choice(self.proxies).reset_connections()
        return "links reset"

    async def silence_connections(self) -> str:
        """Silence the open connections of an instance to the store permanently."""
        self.generator.choice(self.proxies).silence_connections()
        return "links silenced"

    async def fail_target(self) -> str:
        """Crash a target, or disconnect it while its tasks keep running."""
        target = self.generator.choice(list(self.targets.values()))
        if self.generator.random() < 0.5:
            target.crash()
            return f"crash {target.target_id}"
        target.cut = True
        seconds = self.generator.uniform(0.5, 6.0)
        self.call_after(seconds, lambda: setattr(target, "cut", False))
        return f"cut {target.target_id}"

    async def end_faults(self) -> None:
        """End all faults that have not ended yet."""
        self.store.mode = StoreMode.WORKS
        self.store.lost_answer_share = 0.0
        for proxy in self.proxies:
            proxy.mode = LinkMode.PASSES
        for target in self.targets.values():
            target.cut = False
        for program in self.programs:
            program.send_signal(signal.SIGCONT)

    def finish_seconds(self) -> float:
        """Return how long after the last fault all accepted jobs must have ended."""
        return FINISH_TIMEOUT_SECONDS

    async def finish(self, session: aiohttp.ClientSession) -> None:
        """Wait until every accepted job has ended, and check its final state."""
        loop = asyncio.get_running_loop()
        until = loop.time() + self.finish_seconds()
        open_jobs = dict(self.accepted)
        while open_jobs and loop.time() < until:
            for job_id in list(open_jobs):
                if await self.is_final(session, job_id):
                    del open_jobs[job_id]
            await asyncio.sleep(0.3)
        for job_id in open_jobs:
            self.record_violation(f"LOST: job {job_id} has not ended")

    async def is_final(self, session: aiohttp.ClientSession, job_id: str) -> bool:
        """Return whether a job has ended; record a violation for a wrong state."""
        program = self.generator.choice(self.programs)
        answer = await self.check_state(session, job_id, program)
        if answer == 410:
            self.record_violation(f"LOST: job {job_id} is not known")
            return True
        if answer is JobState.COMPLETE:
            self.report.complete += 1
        elif answer is JobState.FAILED:
            self.report.failed += 1
        return answer in TERMINAL_STATES

    async def check_state(
        self, session: aiohttp.ClientSession, job_id: str, program: Program
    ) -> JobState | int | None:
        """Ask an instance for a job and check the state that it shows.

        Return the state, the status of an answer without one, or ``None`` without an
        answer.
        """
        url = f"http://127.0.0.1:{program.http_port}/queue-0/{job_id}"
        headers = {"Host": HOST, "Authorization": f"Bearer {KEY}"}
        try:
            async with session.get(
                url, headers=headers, timeout=aiohttp.ClientTimeout(2)
            ) as response:
                if response.status != 200:
                    return response.status
                body = msgspec.json.decode(await response.read())
        except (aiohttp.ClientError, TimeoutError):
            return None
        state = JobState(body["state"])
        self.checker.on_shown(job_id, state, asyncio.get_running_loop().time())
        if state in TERMINAL_STATES:
            self.ended.add(job_id)
        return state
