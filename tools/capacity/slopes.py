"""Measurements of growing sizes; each function yields (size, sample) points."""

from __future__ import annotations

import asyncio
import itertools
from collections.abc import AsyncIterator
from dataclasses import dataclass, field
from typing import Any

from capacity.sampling import Sample, take_sample
from lib.callers import Reply, call
from lib.deployment import Platform

LONG_COMMAND = "work 100000"
CONCURRENT_CALLS = 32
CALL_TIMEOUT_SECONDS = 10.0
START_TIMEOUT_SECONDS = 60.0

Points = AsyncIterator[tuple[float, Sample]]


@dataclass(slots=True)
class Site:
    """A running platform, with the operations that the measurements need."""

    platform: Platform
    call_slots: asyncio.Semaphore = field(
        default_factory=lambda: asyncio.Semaphore(CONCURRENT_CALLS)
    )
    keys: itertools.count[int] = field(default_factory=itertools.count)

    async def start_entries(self, number: int) -> None:
        """Start entry instances until there are ``number``, in alternating zones."""
        zones = self.platform.deployment.zones
        entries = self.platform.entries
        for index in range(len(entries), number):
            await self.platform.start_entry(f"e{index}", zones[index % len(zones)])
        for entry in entries.values():
            await self.platform.wait_until_ready(entry)

    async def call(self, method: str, path: str, body: object = None) -> Reply:
        """Call the first entry instance."""
        entry = next(iter(self.platform.entries.values()))
        url = f"http://{entry.address}{path}"
        async with self.call_slots:
            return await call(
                self.platform.session,
                entry.instance_id,
                method,
                url,
                body,
                CALL_TIMEOUT_SECONDS,
            )

    async def put_profile(self, name: str) -> None:
        """Put a profile without guarantees; retry until it is accepted."""
        deployment = self.platform.deployment
        while True:
            current = await self.call("GET", "/v1/profiles")
            body = {
                "organisation": name,
                "region": deployment.region,
                "zones": list(deployment.zones),
                "guarantees": [],
                "limits": {"max_queued_jobs": 100_000},
                "services": [deployment.service],
                "expected_version": current.body.get("version", 0),
            }
            reply = await self.call("PUT", f"/v1/profiles/{name}", body)
            if reply.status == 200:
                return
            await asyncio.sleep(0.1)

    async def submit(
        self, count: int, tasks: int, accelerators: int, adjacency: str, profile: str
    ) -> None:
        """Submit jobs that run for longer than the measurement."""

        async def submit_one() -> None:
            body: dict[str, Any] = {
                "organisation": profile,
                "profile": profile,
                "service": self.platform.deployment.service,
                "idempotency_key": f"capacity-{next(self.keys)}",
                "tasks": tasks,
                "accelerators_per_task": accelerators,
                "cores": 1,
                "memory_gb": 1,
                "adjacency": adjacency,
                "declared_seconds": 100_000,
                "command": LONG_COMMAND,
                "idempotent": True,
                "checkpointable": True,
                "priority": "normal",
                "start_deadline_seconds": 0,
            }
            while (reply := await self.call("POST", "/v1/jobs", body)).status != 202:
                if 400 <= reply.status < 500:
                    raise AssertionError(reply)
                await asyncio.sleep(0.1)

        await asyncio.gather(*(submit_one() for _ in range(count)))

    async def wait_for_tasks(self, number: int) -> None:
        """Wait until the workers run ``number`` tasks.

        Raises ``TimeoutError`` after ``START_TIMEOUT_SECONDS``.
        """
        async with asyncio.timeout(START_TIMEOUT_SECONDS):
            while await self.running_tasks() < number:
                await asyncio.sleep(0.5)

    async def running_tasks(self) -> int:
        """Return the number of running tasks on all workers."""
        facts = await self.platform.facts("workers")
        return sum(
            task["state"] == "running"
            for worker in facts.values()
            for task in worker["tasks"]
        )


async def fill_workers(site: Site, number: int) -> Points:
    """Measure one task on each of ``number`` workers."""
    await site.start_entries(1)
    await site.put_profile("org")
    await site.submit(number // 6, 6, 8, "zone", "org")
    await site.wait_for_tasks(number)
    yield float(number), await take_sample(site.platform)


async def grow_tasks(site: Site, workers: int) -> Points:
    """Measure a growing number of tasks on ``workers``, one accelerator each."""
    await site.start_entries(1)
    await site.put_profile("org")
    running = 0
    for share in (1, 2, 4, 8):
        target = workers * share
        await site.submit((target - running) // 8, 8, 1, "rack", "org")
        await site.wait_for_tasks(target)
        running = target
        yield float(running), await take_sample(site.platform)


async def grow_queue(site: Site, workers: int) -> Points:
    """Measure a growing queue of jobs, while all accelerators are in use."""
    await site.start_entries(1)
    await site.put_profile("org")
    await site.submit(workers, 1, 8, "worker", "org")
    await site.wait_for_tasks(workers)
    queued = 0
    for target in (0, 200, 500, 1000):
        await site.submit(target - queued, 2, 4, "worker", "org")
        queued = target
        yield float(queued), await take_sample(site.platform)


async def grow_profiles(site: Site) -> Points:
    """Measure a growing number of organisations with one profile each."""
    await site.start_entries(1)
    count = 0
    for target in (4, 16, 40, 67):
        for index in range(count, target):
            await site.put_profile(f"org-{index}")
        count = target
        yield float(count), await take_sample(site.platform)


async def grow_entries(site: Site) -> Points:
    """Measure a growing number of entry instances."""
    for number in (1, 3, 6, 9):
        await site.start_entries(number)
        yield float(number), await take_sample(site.platform)


async def grow_changes(site: Site) -> Points:
    """Measure a growing rate of configuration changes, with three entry instances."""
    await site.start_entries(3)
    await site.put_profile("org")
    for rate in (0.0, 1.0, 2.0, 4.0):
        changes = asyncio.create_task(change_profiles(site, rate))
        try:
            yield rate, await take_sample(site.platform)
        finally:
            changes.cancel()
            await asyncio.gather(changes, return_exceptions=True)


async def change_profiles(site: Site, rate: float) -> None:
    """Write one profile ``rate`` times a second until cancelled."""
    while rate > 0:
        await asyncio.gather(site.put_profile("org"), asyncio.sleep(1 / rate))
