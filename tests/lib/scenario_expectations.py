"""Expectations of the test language, checked against the facts of the stand-ins."""

from __future__ import annotations

import asyncio
import time
from collections import Counter, defaultdict
from collections.abc import AsyncIterator

import msgspec

from lib.callers import LOST, UNREACHABLE, SentRequest
from lib.deployment import GangTask, partial_seconds
from lib.scenario_parser import Step
from lib.scenario_steps import refresh_jobs, step
from lib.scenario_world import POLL_SECONDS, Exclusion, ScenarioError, World

EXIT_TIMEOUT_SECONDS = 40.0
CERTAINLY_NOT_RUN = frozenset({"not_run", UNREACHABLE})


def require(condition: bool, message: object) -> None:
    """Raise unless the condition holds."""
    if not condition:
        raise ScenarioError(str(message))


async def runs_by_payload(world: World) -> Counter[str]:
    """Return how often runners started each payload, by its digest."""
    runs: Counter[str] = Counter()
    for facts in (await world.started.facts("runners")).values():
        for request_id, times in facts["starts"].items():
            runs[facts["payload_digests"][request_id]] += len(times)
    return runs


def all_requests(world: World) -> list[SentRequest]:
    """Return the requests of all batches; raise if there are none."""
    requests = [item for batch in world.batches.values() for item in batch]
    require(bool(requests), "the scenario sent no requests")
    return requests


@step("expect_once")
async def expect_no_second_run(world: World, item: Step) -> None:
    runs = await runs_by_payload(world)
    for request in all_requests(world):
        count = runs[request.payload_digest]
        if not request.idempotent:
            require(count <= 1, f"{request.echo} ran {count} times: {request}")
        if any(reply.outcome == "completed" for reply in request.replies):
            require(count >= 1, f"{request.echo} completed but never ran")


@step("expect_not_run")
async def expect_refused_did_not_run(world: World, item: Step) -> None:
    runs = await runs_by_payload(world)
    for request in all_requests(world):
        if {reply.outcome for reply in request.replies} <= CERTAINLY_NOT_RUN:
            require(
                runs[request.payload_digest] == 0,
                f"{request.echo} ran, but its caller was told not_run: {request}",
            )


@step("expect_no_cut")
async def expect_no_request_cut_off(world: World, item: Step) -> None:
    name = world.entry(item.values[0]).instance_id
    replies = [
        (request.echo, reply.outcome)
        for request in all_requests(world)
        for reply in request.replies
        if reply.instance_id == name
    ]
    require(bool(replies), f"{name} received no request")
    cut = [found for found in replies if found[1] in (LOST, UNREACHABLE)]
    require(not cut, f"{name} cut off {cut}")


@step("expect_answers")
async def expect_own_answers(world: World, item: Step) -> None:
    checked = 0
    for batch in world.batches.values():
        for request in batch:
            answers = [
                reply.body for reply in request.replies if reply.outcome == "completed"
            ]
            for body in answers:
                content = msgspec.json.decode(body["answer"])
                require(content["echo"] == request.echo, f"{request}: wrong echo")
            if not request.idempotent:
                texts = {body["answer"] for body in answers}
                require(len(texts) <= 1, f"{request}: answers differ")
            outcomes = [reply.outcome for reply in request.replies]
            require("malformed" not in outcomes, f"{request}: malformed answer")
            checked += len(answers)
    for name in world.jobs:
        for job in await refresh_jobs(world, name):
            if job.state == "completed":
                tasks = range(job.body["tasks"])
                expected = [f"{job.job_id}/{index}" for index in tasks]
                require(job.results == expected, f"{job}: wrong results")
                checked += 1
    require(checked > 0, "nothing was completed, so no answer was checked")


async def partial_gangs(
    world: World,
) -> AsyncIterator[tuple[str, int, float, list[GangTask]]]:
    """Yield job, attempt, seconds of partial work and tasks of every gang."""
    sizes = {
        job.job_id: job.body["tasks"] for jobs in world.jobs.values() for job in jobs
    }
    gangs: dict[tuple[str, int], list[GangTask]] = defaultdict(list)
    for facts in (await world.started.facts("workers")).values():
        for task in facts["tasks"]:
            gangs[task["job_id"], task["attempt"]].append(
                GangTask(
                    task_index=task["task_index"],
                    state=task["state"],
                    intervals=tuple((a, b) for a, b in task["intervals"]),
                    ended_at=task["ended_at"],
                )
            )
    for (job_id, attempt), tasks in gangs.items():
        require(job_id in sizes, f"unknown job {job_id} was started")
        yield job_id, attempt, partial_seconds(tasks, sizes[job_id]), tasks


@step("expect_whole")
async def expect_whole_gangs(world: World, item: Step) -> None:
    found = 0
    async for job_id, attempt, seconds, tasks in partial_gangs(world):
        found += 1
        require(
            seconds <= item.values[0],
            f"part of {job_id} attempt {attempt} worked alone for {seconds} s: {tasks}",
        )
    require(found > 0, "no gang was started")


async def starts(world: World) -> list[tuple[float, str, str, str]]:
    """Return (time, zone, target, id) of all starts of tasks and requests."""
    found: list[tuple[float, str, str, str]] = []
    for facts in (await world.started.facts("runners")).values():
        for request_id, times in facts["starts"].items():
            found += [(at, facts["zone"], facts["id"], request_id) for at in times]
    for facts in (await world.started.facts("workers")).values():
        for event in [*facts["starts"], *facts["releases"]]:
            found.append((event["at"], facts["zone"], facts["id"], event["task_id"]))
    return found


def in_exclusion(at: float, exclusions: list[Exclusion], seconds: float) -> bool:
    """Return whether ``at`` is in an exclusion, but not in its first ``seconds``."""
    return any(item.since + seconds < at < item.until for item in exclusions)


@step("expect_zone_idle")
async def expect_no_start_in_zone(world: World, item: Step) -> None:
    zone, seconds = item.values
    require(bool(world.zones_out[zone]), f"{zone} was never taken out")
    late = [
        found
        for found in await starts(world)
        if found[1] == zone and in_exclusion(found[0], world.zones_out[zone], seconds)
    ]
    require(not late, f"starts in {zone}, out since {world.zones_out[zone]}: {late}")


@step("expect_target_idle")
async def expect_no_start_on_target(world: World, item: Step) -> None:
    target, seconds = item.values
    require(bool(world.leaving[target]), f"{target} was never marked as leaving")
    late = [
        found
        for found in await starts(world)
        if found[2] == target and in_exclusion(found[0], world.leaving[target], seconds)
    ]
    require(not late, f"starts on {target}, leaving: {world.leaving[target]}: {late}")


@step("expect_limits")
async def expect_runner_limits_kept(world: World, item: Step) -> None:
    for facts in (await world.started.facts("runners")).values():
        name = facts["id"]
        require(facts["overloads"] == 0, f"{name}: {facts['max_in_use']} in use")
        require(
            facts["max_connections"] <= facts["connection_limit"]
            and facts["refused_connections"] == 0,
            f"{name}: {facts['max_connections']} connections",
        )
    for facts in (await world.started.facts("workers")).values():
        require(not facts["overloads"], f"{facts['id']}: {facts['overloads']}")


@step("expect_jobs")
async def expect_jobs_in_state(world: World, item: Step) -> None:
    name, states = item.values
    jobs = await refresh_jobs(world, name)
    found = [(job.job_id, job.state, job.reason) for job in jobs]
    require(all(job.state in states for job in jobs), f"{name}: {found}")


@step("expect_outcomes")
async def expect_outcome_count(world: World, item: Step) -> None:
    *bound, number, outcome, name = item.values
    batch = world.batches[name]
    found = Counter(request.outcome for request in batch)
    found += Counter(
        request.replies[-1].reason
        for request in batch
        if request.replies and request.replies[-1].reason
    )
    count = found[outcome]
    holds = {
        (): count == number,
        ("at least",): count >= number,
        ("at most",): count <= number,
    }[tuple(bound)]
    require(holds, f"{name}: {dict(found)}")


@step("expect_exit")
async def expect_exit_code(world: World, item: Step) -> None:
    code, name = item.values
    process = world.entry(name).process
    found = await process.wait(EXIT_TIMEOUT_SECONDS)
    require(found == code, f"{name} ended with {found}\n{process.last_log_lines()}")


@step("expect_configuration")
async def expect_equal_configuration(world: World, item: Step) -> None:
    deadline = time.monotonic() + item.options["limit"]
    while True:
        versions = {}
        for entry in world.usable_entries():
            reply = await world.api(
                "GET", "/v1/status", None, entry.instance_id, timeout_seconds=1
            )
            versions[entry.instance_id] = reply.body.get("configuration_version")
        known = set(versions.values())
        if len(known) == 1 and (known.pop() or 0) >= world.accepted_version:
            return
        require(
            time.monotonic() < deadline,
            f"accepted {world.accepted_version}, in force {versions}",
        )
        await asyncio.sleep(POLL_SECONDS)


@step("expect_no_reversal")
async def expect_versions_never_fall(world: World, item: Step) -> None:
    require(bool(world.samples), "no configuration version was observed")
    highest: dict[str, int] = {}
    for sample in world.samples:
        before = highest.get(sample.instance_id, 0)
        require(sample.version >= before, f"{sample} after version {before}")
        highest[sample.instance_id] = sample.version
