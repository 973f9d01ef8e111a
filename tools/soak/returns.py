"""Soak runs in which targets return under their ids and are cut off soon after."""

from __future__ import annotations

import asyncio
import signal
from collections.abc import Awaitable, Callable
from pathlib import Path

from soak.cuts import ConstantFaultSoak
from soak.programs import Program
from standins.fleet.targets import EmulatedTarget

# A target is down for so long, and is cut off so long after it is back.
DOWN_SECONDS = (0.05, 0.9)
CUT_AFTER_SECONDS = (0.0, 2.4)
# What the targets grant at most, much longer than the lease of a renewal (3.5 s).
LONGEST_LEASE_SECONDS = 10.0
# From a little over a lease (3.5 s) to about the longest one.
RETURN_CUT_SECONDS = (4.0, 9.0)
TARGETS_AT_ONCE = (2, 4)
# How often the leader is killed between the return and the cut.
TAKEOVER_SHARE = 0.7
LATE_ORDER_SHARE = 0.1
# How often calls that arrive while a target is down reach its next incarnation.
LISTENING_SHARE = 0.7
# The work of most tasks outlasts the wait for a lease that has expired.
LONG_WORK_SECONDS = (8.0, 14.0)
LONG_WORK_SHARE = 0.8


class ReturnSoak(ConstantFaultSoak):
    """A soak in which some targets at once restart and are cut off soon after.

    Takeovers come between the two. With ``orders_late`` some orders get no answer and
    are carried out seconds later, also by a target that has restarted meanwhile.
    """

    orders_late = False
    job_interval_seconds = 0.6
    fault_interval_seconds = (1.0, 4.0)
    long_work_seconds = LONG_WORK_SECONDS
    long_work_share = LONG_WORK_SHARE

    def __init__(
        self, seed: int, seconds: float, directory: Path, instances: int, targets: int
    ) -> None:
        super().__init__(seed, seconds, directory, instances, targets)
        self.platform.late_orders_outlive_crashes = True
        for target in self.targets.values():
            target.max_lease_seconds = LONGEST_LEASE_SECONDS
        self.returning: set[str] = set()
        self.returns: set[asyncio.Task[None]] = set()

    def new_program(self, number: int, store_address: str = "") -> Program:
        """Return an instance that knows the longest lease of the targets."""
        program = super().new_program(number, store_address)
        longest_ms = int(LONGEST_LEASE_SECONDS * 1000)
        program.more_settings = f"parameters.hold_max_ms={longest_ms}\n"
        return program

    def finish_seconds(self) -> float:
        """Return how long after the last fault all accepted jobs must have ended.

        The tasks are long and the targets full, so that the work that is open then has
        to be done one job after the other.
        """
        open_jobs = [
            truth
            for job_id, truth in self.accepted.items()
            if job_id not in self.ended and not truth.cancel_sent
        ]
        gpu_seconds = sum(
            step.tasks * step.room.gpus * truth.work_seconds
            for truth in open_jobs
            for step in truth.spec.steps
        )
        gpus = sum(target.room.gpus for target in self.targets.values())
        return super().finish_seconds() + gpu_seconds / gpus

    def fault_kinds(self) -> list[Callable[[], Awaitable[str]]]:
        """Return the kinds of faults; most are targets that return."""
        return [
            *[self.return_targets] * 12,
            self.cut_from_targets,
            self.cut_zone_of_leader,
            self.kill,
            self.pause,
            self.terminate,
            self.fail_store,
            self.reset_connections,
        ]

    def victim(self) -> Program:
        """Return the leader, if there is one."""
        return self.leader() or super().victim()

    async def return_targets(self) -> str:
        """Let some targets restart and be cut off a while after they are back."""
        self.set_late_orders()
        free = sorted(set(self.targets) - self.returning)
        count = min(len(free), self.generator.randint(*TARGETS_AT_ONCE))
        names = self.generator.sample(free, count)
        down = self.generator.uniform(*DOWN_SECONDS)
        cut_after = self.generator.uniform(*CUT_AFTER_SECONDS)
        cut_seconds = self.generator.uniform(*RETURN_CUT_SECONDS)
        for name in names:
            work = self.restart_and_cut(
                self.targets[name], down, cut_after, cut_seconds
            )
            task = asyncio.create_task(work)
            self.returns.add(task)
            task.add_done_callback(self.returns.discard)
        if self.generator.random() < TAKEOVER_SHARE:
            await asyncio.sleep(down + self.generator.uniform(0, cut_after))
            await self.kill_leader()
        return f"{names} down for {down:.2f} s, cut {cut_after:.2f} s after"

    async def restart_and_cut(
        self,
        target: EmulatedTarget,
        down: float,
        cut_after: float,
        cut_seconds: float,
    ) -> None:
        """Restart a target, and cut it off a while after it is back."""
        self.returning.add(target.target_id)
        listens = self.generator.random() < LISTENING_SHARE
        await self.platform.restart_target(target, down, listens)
        self.set_late_orders()
        await asyncio.sleep(cut_after)
        target.cut = True
        await asyncio.sleep(cut_seconds)
        target.cut = False
        self.returning.discard(target.target_id)

    def set_late_orders(self) -> None:
        """Let a share of the orders to all targets be late, if this soak has such."""
        share = LATE_ORDER_SHARE if self.orders_late else 0.0
        for server in self.platform.target_servers.values():
            server.client.late_order_share = share

    async def kill_leader(self) -> None:
        """Kill the leader, and start it again shortly after."""
        program = self.victim()
        await program.end_process(signal.SIGKILL)
        self.note(f"kill {program.name} between a return and a cut")
        await asyncio.sleep(0.5)
        await program.start()

    async def end_faults(self) -> None:
        """End all faults that have not ended yet."""
        self.orders_late = False
        self.set_late_orders()
        await asyncio.gather(*self.returns)
        await super().end_faults()


class LateReturnSoak(ReturnSoak):
    """A soak of targets that return, in which some orders are carried out late."""

    orders_late = True
