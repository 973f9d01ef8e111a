"""A storm in which targets return under their ids and are cut off soon after.

A call that was meant for the former incarnation of a target may be taken by the new
one, whose clock starts anew: an expiry on the former clock is far ahead there.
"""

from __future__ import annotations

import asyncio

from returns.result import Success

from egretloft._internal import codec
from egretloft._internal.fleet.models import JobSpec, StepSpec
from lib.fleet_builders import SMALL, job_id
from lib.fleet_faults import SUBMIT_TRIES, Storm, StormReport
from standins.fleet.world import TARGET_TABLE

JOBS = 6
TASKS = 3
WORK_SECONDS = (6.0, 14.0)
SERIES = 4
TARGETS_IN_SERIES = (2, 4)
DOWN_SECONDS = (0.05, 0.9)
CUT_AFTER_SECONDS = (0.0, 2.4)
CUT_SECONDS = (4.0, 9.0)
SERIES_PAUSE_SECONDS = (1.0, 4.0)
RESTART_SECONDS = 0.5
LATE_ORDER_SHARE = 0.1
LATE_RENEWAL_SHARE = 0.05


class ReturnStorm(Storm):
    """Plays long tasks and series of restarts that are followed by cuts.

    With ``takes_over`` the leader is killed between the return and the cut. With
    ``orders_late`` some orders are carried out seconds late, also after a restart, and
    with ``renewals_late`` some renewals. Jobs may be idle from a restart to the end of
    the cut, as they are judged in calm only.
    """

    def __init__(
        self,
        seed: int,
        takes_over: bool,
        orders_late: bool,
        renewals_late: bool = False,
    ) -> None:
        super().__init__(seed)
        self.takes_over = takes_over
        self.orders_late = orders_late
        self.renewals_late = renewals_late
        # References to running tasks, as the event loop holds only weak ones.
        self.restarts: set[asyncio.Task[None]] = set()

    async def play(self) -> StormReport:
        """Play the jobs and the series, let all heal, and wait for the jobs."""
        await self.world.start()
        await asyncio.sleep(1.0)
        self.checker.orders_late = self.orders_late or self.renewals_late
        self.set_late_orders()
        watch = asyncio.create_task(self.idle_jobs.watch())
        works = [self.submit_later(number) for number in range(JOBS)]
        await asyncio.gather(self.play_series(), *works)
        await self.settle()
        watch.cancel()
        await asyncio.gather(watch, return_exceptions=True)
        self.report.violations = self.checker.violations
        self.report.accepted = len(self.accepted)
        await self.world.stop()
        return self.report

    def set_late_orders(self) -> None:
        """Let a share of the orders and renewals be late, if the storm has such."""
        for process in self.world.processes.values():
            client = process.targets
            client.late_order_share = LATE_ORDER_SHARE if self.orders_late else 0.0
            client.late_renewal_share = (
                LATE_RENEWAL_SHARE if self.renewals_late else 0.0
            )
            client.late_orders_outlive_crashes = self.orders_late or self.renewals_late

    async def submit_later(self, number: int) -> None:
        """Submit a job of long tasks, until it is accepted."""
        spec = JobSpec("payload", (StepSpec(TASKS, SMALL),))
        seconds = self.generator.uniform(*WORK_SECONDS)
        await asyncio.sleep(self.generator.uniform(0, 8.0))
        for _ in range(SUBMIT_TRIES):
            if self.world.processes:
                accepted = await self.world.submit(job_id(number), spec, seconds)
                if isinstance(accepted, Success):
                    self.accepted.append(job_id(number))
                    return
            await asyncio.sleep(0.7)

    async def play_series(self) -> None:
        """Restart some targets and cut them off soon after, several times."""
        for _ in range(SERIES):
            await asyncio.sleep(self.generator.uniform(*SERIES_PAUSE_SECONDS))
            count = self.generator.randint(*TARGETS_IN_SERIES)
            names = self.generator.sample(sorted(self.world.targets), count)
            down = self.generator.uniform(*DOWN_SECONDS)
            cut_after = self.generator.uniform(*CUT_AFTER_SECONDS)
            cut_seconds = self.generator.uniform(*CUT_SECONDS)
            now = asyncio.get_running_loop().time()
            self.report.faults.append(
                f"{now:.2f} {names} down {down:.2f}, cut {cut_after:.2f} later"
            )
            self.busy_targets.update(names)
            with self.idle_jobs.fault():
                await self.restart_and_cut(names, down, cut_after, cut_seconds)
            self.busy_targets.difference_update(names)

    async def restart_and_cut(
        self, names: list[str], down: float, cut_after: float, cut_seconds: float
    ) -> None:
        """Restart targets, and cut them off a while after they are back."""
        for name in names:
            self.world.targets[name].crash_for(down)
        await asyncio.sleep(down)
        self.register(names)
        await self.pass_time(cut_after)
        for name in names:
            self.world.targets[name].cut = True
        await asyncio.sleep(cut_seconds)
        for name in names:
            self.world.targets[name].cut = False

    def register(self, names: list[str]) -> None:
        """Let some targets register as soon as they are back, the others later."""
        for name in names:
            if self.generator.random() < 0.5:
                report = self.world.targets[name].report()
                self.world.store.put(TARGET_TABLE, name, codec.encode(report))

    async def pass_time(self, seconds: float) -> None:
        """Wait; the leader may be killed meanwhile, and is started again later."""
        leading = self.world.leader_name()
        if not self.takes_over or leading is None:
            await asyncio.sleep(seconds)
            return
        kill_after = self.generator.uniform(0, seconds)
        await asyncio.sleep(kill_after)
        self.restarts.add(asyncio.create_task(self.restart(leading)))
        await asyncio.sleep(seconds - kill_after)

    async def restart(self, name: str) -> None:
        """Kill an instance and start it again."""
        with self.idle_jobs.fault():
            await self.world.kill(name)
            await asyncio.sleep(RESTART_SECONDS)
            await self.world.start_instance(name)
            self.set_late_orders()


async def play_return_storm(
    seed: int, takes_over: bool, orders_late: bool, renewals_late: bool = False
) -> StormReport:
    """Play the storm of a seed."""
    return await ReturnStorm(seed, takes_over, orders_late, renewals_late).play()
