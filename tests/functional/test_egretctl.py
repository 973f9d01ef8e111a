"""Tests of ``egretctl`` against an entry instance and stand-ins."""

from __future__ import annotations

import asyncio
import sys
import time
from collections.abc import AsyncIterator
from pathlib import Path
from typing import Any

import aiohttp
import msgspec
import pytest

from lib.deployment import DEPLOYMENTS, Platform
from lib.processes import environment

PROFILE = ("--organisation", "vineyard", "--region", "is-sudvestur", "--zone", "rvk-a")


# Tries of 0.5 s each; instances repack guarantees at most every 5 s.
DEGRADED_TRIES = 15
# An instance joins the roster and reads its view well before this time, so that after
# it only the missing list keeps the instance from being ready.
WITHOUT_LIST_SECONDS = 4.0


class Tool:
    """Runs ``egretctl`` as an operator would."""

    def __init__(self, server: str) -> None:
        self.server = server

    async def run(self, *arguments: str) -> tuple[int, str, str]:
        """Return exit code, output and error output."""
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            *("-m", "egretloft.cli.ctl", "--server", self.server),
            *arguments,
            stdout=asyncio.subprocess.PIPE,
            stderr=asyncio.subprocess.PIPE,
            env=environment(),
        )
        output, error = await process.communicate()
        return process.returncode or 0, output.decode(), error.decode()


@pytest.fixture
async def tool(tmp_path: Path) -> AsyncIterator[Tool]:
    async with aiohttp.ClientSession() as session:
        platform = Platform(DEPLOYMENTS["software-house"], tmp_path, session)
        try:
            await platform.start(6, 3, 0.5)
            await platform.start_entry("e1", "rvk-a")
            await platform.wait_until_ready(platform.entries["e1"])
            await platform.wait_until_targets_known(platform.entries["e1"])
            yield Tool(platform.entries["e1"].address)
        finally:
            platform.stop()


async def test_instance_is_ready_only_with_a_list_of_targets(tmp_path: Path) -> None:
    """Guards against callers who are sent to an instance that knows no target yet.

    The instance list may be unreadable when an instance starts.
    """
    async with aiohttp.ClientSession() as session:
        platform = Platform(DEPLOYMENTS["software-house"], tmp_path, session)
        try:
            await platform.start(1, 1, 0.0)
            await platform.control("instances", {"down": "refuse"})
            await platform.start_entry("e1", "rvk-a")
            entry = platform.entries["e1"]
            url = f"http://{entry.address}/readyz"
            await asyncio.sleep(WITHOUT_LIST_SECONDS)
            async with session.get(url) as answer:
                assert answer.status == 503
            await platform.control("instances", {"down": "no"})
            await platform.wait_until_ready(entry)
        finally:
            platform.stop()


async def test_profile_job_zone_and_account(tool: Tool) -> None:
    """Guards against a command whose body or path the daemon does not accept.

    The tool builds both by itself, apart from the daemon's code.
    """
    code, _, error = await tool.run(
        *("profile", "add", "cellar", *PROFILE),
        *("--guarantee", "1x16@rack", "--service", "kvotabok"),
    )
    assert code == 0, error

    code, _, error = await tool.run(
        *("profile", "add", "too-large", *PROFILE, "--guarantee", "9x64@rack")
    )
    assert code == 1
    assert "infeasible_guarantees" in error

    code, output, error = await tool.run(
        *("--output", "json", "request", "kvotabok", "tally"),
        *("--organisation", "vineyard", "--profile", "cellar"),
    )
    assert code == 0, error
    assert msgspec.json.decode(output)["outcome"] == "completed"

    code, output, error = await tool.run(
        *("--output", "json", "job", "submit", "--organisation", "vineyard"),
        *("--profile", "cellar", "--service", "kvotabok", "--tasks", "2"),
        *("--accelerators-per-task", "8", "--command", "work 0.5"),
        *("--checkpointable", "--wait"),
    )
    assert code == 0, error
    job = msgspec.json.decode(output)
    assert job["state"] == "completed"

    code, output, _ = await tool.run("zone", "take-out", "rvk-a")
    assert code == 0
    code, output, _ = await tool.run("--output", "json", "zone", "list")
    states = {
        row["zone"]: row["in_service"] for row in msgspec.json.decode(output)["zones"]
    }
    assert states["rvk-a"] is False

    status = await wait_for_degraded_guarantee(tool)
    assert status["configuration_version"] == 2
    assert status["guarantees"] == [{"profile": "cellar", "accelerators_missing": 16}]

    month = job_month()
    code, output, error = await tool.run("account", month)
    assert code == 0, error
    assert job["job_id"] in output
    code, _, error = await tool.run("account", month, "--close")
    assert code == 1
    assert "month_open" in error

    code, _, error = await tool.run("job", "status", "job-of-nobody")
    assert code == 1
    assert "unknown_job" in error


async def wait_for_degraded_guarantee(tool: Tool) -> dict[str, Any]:
    """Return the status once it shows a degraded guarantee."""
    for _ in range(DEGRADED_TRIES):
        code, output, error = await tool.run("--output", "json", "status")
        assert code == 0, error
        status: dict[str, Any] = msgspec.json.decode(output)
        if status["guarantees"]:
            break
        await asyncio.sleep(0.5)
    return status


def job_month() -> str:
    """Return the current month in the deployment's time zone, which is UTC."""
    return time.strftime("%Y-%m", time.gmtime())


async def test_unreachable_instance_has_its_own_exit_code() -> None:
    """Guards against a refused connection that looks like a refused call.

    Both are failures, but the exit code of a refused call is 1.
    """
    code, _, error = await Tool("127.0.0.1:1").run("status")
    assert code == 4
    assert "EGRETCTL_SERVER" in error
