"""State of a running scenario, and calls that its steps share."""

from __future__ import annotations

import asyncio
import random
import time
from collections import defaultdict
from collections.abc import Coroutine
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import aiohttp

from lib.callers import REPLY_GRACE_SECONDS, Reply, SentJob, SentRequest, call
from lib.deployment import Entry, Platform

POLL_SECONDS = 0.1
MONITOR_PERIOD_SECONDS = 0.25
# How long a step retries a call that was refused for a transient reason, such as an
# instance that has not joined yet or a conflict with another operator's change.
RETRY_TIMEOUT_SECONDS = 20.0
TRANSIENT_REASONS = frozenset(
    {"stale_view", "store_unavailable", "not_member", "not_owner", "conflict"}
)
TRANSIENT_OUTCOMES = frozenset({"unreachable", "lost", "unknown"})


class ScenarioError(AssertionError):
    """An expectation of a scenario does not hold."""


@dataclass(slots=True)
class Exclusion:
    """A period of Unix time during which a zone or target should get no new work."""

    since: float
    until: float = float("inf")


@dataclass(slots=True, frozen=True)
class VersionSample:
    """Configuration version that an instance with a fresh view reported."""

    instance_id: str
    at: float
    version: int


@dataclass(slots=True)
class World:
    """State that the steps of one scenario share."""

    directory: Path
    session: aiohttp.ClientSession
    generator: random.Random
    platform: Platform | None = None
    lag_seconds: float = 0.0
    # Organisation of each profile, in the order in which they were put.
    profiles: dict[str, str] = field(default_factory=dict)
    batches: dict[str, list[SentRequest]] = field(default_factory=dict)
    jobs: dict[str, list[SentJob]] = field(default_factory=dict)
    bound_names: dict[str, str] = field(default_factory=dict)
    zones_out: dict[str, list[Exclusion]] = field(
        default_factory=lambda: defaultdict(list)
    )
    leaving: dict[str, list[Exclusion]] = field(
        default_factory=lambda: defaultdict(list)
    )
    accepted_version: int = 0
    samples: list[VersionSample] = field(default_factory=list)
    background: dict[str, asyncio.Task[None]] = field(default_factory=dict)
    keys: int = 0

    @property
    def started(self) -> Platform:
        """The platform; raise if the scenario has not started one."""
        if self.platform is None:
            raise ScenarioError("the scenario starts no platform")
        return self.platform

    def next_key(self) -> str:
        """Return an idempotency key that is new in this scenario."""
        self.keys += 1
        return f"key-{self.keys}"

    def run_in_background(
        self, name: str, coroutine: Coroutine[Any, Any, None]
    ) -> None:
        """Run a coroutine beside the steps; its failure ends the scenario."""
        self.background[name] = asyncio.create_task(coroutine, name=name)

    def check_background(self) -> None:
        """Raise the failure of a background task that has failed."""
        for task in self.background.values():
            if task.done() and not task.cancelled():
                task.result()

    def entry(self, name: str) -> Entry:
        """Return the entry instance of that id, or bound to that name."""
        name = self.bound_names.get(name, name)
        if name not in self.started.entries:
            raise ScenarioError(f"no instance {name}")
        return self.started.entries[name]

    def usable_entries(self) -> list[Entry]:
        """Return the instances to which a load balancer would send requests."""
        return [entry for entry in self.started.entries.values() if entry.usable]

    def choose_entry(self, name: str | None) -> Entry:
        """Return the named instance, or a random usable one."""
        if name is not None:
            return self.entry(name)
        usable = self.usable_entries()
        if not usable:
            raise ScenarioError("no instance is usable")
        return self.generator.choice(usable)

    async def api(
        self,
        method: str,
        path: str,
        body: object = None,
        at: str | None = None,
        timeout_seconds: float = 5.0,
    ) -> Reply:
        """Call the API once."""
        entry = self.choose_entry(at)
        url = f"http://{entry.address}{path}"
        return await call(
            self.session, entry.instance_id, method, url, body, timeout_seconds
        )

    async def api_with_retries(
        self, method: str, path: str, body: object, at: str | None = None
    ) -> Reply:
        """Call the API, and retry while the outcome is transient.

        Only for calls that are safe to repeat: those that are idempotent or carry an
        idempotency key.
        """
        deadline = time.monotonic() + RETRY_TIMEOUT_SECONDS
        while True:
            reply = await self.api(method, path, body, at)
            transient = (
                reply.outcome in TRANSIENT_OUTCOMES or reply.reason in TRANSIENT_REASONS
            )
            if not transient or time.monotonic() > deadline:
                return reply
            await asyncio.sleep(POLL_SECONDS)

    async def send(self, request: SentRequest, at: str | None) -> None:
        """Send a service request and record the reply."""
        service = self.started.deployment.service
        reply = await self.api(
            "POST",
            f"/v1/services/{service}/requests",
            request.body(),
            at,
            request.deadline_seconds + REPLY_GRACE_SECONDS,
        )
        request.replies.append(reply)

    async def owner(self, partition: str) -> str | None:
        """Return the owner of the partition according to the table, or ``None``."""
        key = f"control/owner/{partition}"
        row = (await self.started.rows(key)).get(key)
        if row is None or row.get("released"):
            return None
        owner = row["owner"]
        return owner["instance_id"] if isinstance(owner, dict) else str(owner)

    async def wait_for_owner(
        self, partition: str, other_than: str | None, seconds: float
    ) -> Entry:
        """Return the owner of a partition once it is one of the usable instances."""
        deadline = time.monotonic() + seconds
        excluded = self.entry(other_than).instance_id if other_than else None
        while True:
            owner = await self.owner(partition)
            entry = self.started.entries.get(owner or "")
            if entry is not None and entry.usable and owner != excluded:
                return entry
            if time.monotonic() > deadline:
                raise ScenarioError(
                    f"{partition} is held by {owner} after {seconds} s"
                    + (f", excluded: {excluded}" if excluded else "")
                )
            await asyncio.sleep(POLL_SECONDS)

    async def monitor_versions(self) -> None:
        """Record versions from instances with a fresh view, until cancelled."""
        while True:
            for entry in self.usable_entries():
                url = f"http://{entry.address}/v1/status"
                reply = await call(
                    self.session, entry.instance_id, "GET", url, timeout_seconds=1
                )
                if reply.status == 200 and reply.body["view_fresh"]:
                    self.samples.append(
                        VersionSample(
                            entry.instance_id,
                            time.monotonic(),
                            reply.body["configuration_version"],
                        )
                    )
            await asyncio.sleep(MONITOR_PERIOD_SECONDS)

    async def close(self) -> None:
        """End background tasks and all processes."""
        for task in self.background.values():
            task.cancel()
        await asyncio.gather(*self.background.values(), return_exceptions=True)
        if self.platform is not None:
            self.platform.stop()
