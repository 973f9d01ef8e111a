"""Steps of the test language that act; ``scenario_expectations`` has the checks."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Awaitable, Callable

import msgspec

from egretloft._internal.models.topology import InstanceState
from lib.callers import SentJob, SentRequest
from lib.deployment import DEPLOYMENTS, Entry, Platform
from lib.scenario_parser import Step
from lib.scenario_world import POLL_SECONDS, Exclusion, ScenarioError, World

StepFunction = Callable[[World, Step], Awaitable[None]]
STEPS: dict[str, StepFunction] = {}

DEFAULT_DEADLINE_SECONDS = 10.0
OWNER_TIMEOUT_SECONDS = 15.0
# A load balancer keeps sending requests to a draining instance for this long, until it
# notices that the instance is leaving.
BALANCER_DELAY_SECONDS = 0.5
DRAIN_TIMEOUT_SECONDS = 40.0


def step(name: str) -> Callable[[StepFunction], StepFunction]:
    """Register the function that carries out a statement of the grammar."""

    def register(function: StepFunction) -> StepFunction:
        STEPS[name] = function
        return function

    return register


@step("platform")
async def start_platform(world: World, item: Step) -> None:
    deployment = DEPLOYMENTS[item.values[0]]
    world.platform = Platform(deployment, world.directory, world.session)
    world.lag_seconds = item.options.get("with_lag", 1.0)
    await world.platform.start(
        item.options.get("with_workers", 0),
        item.options.get("with_runners", 0),
        world.lag_seconds,
    )


@step("instances")
async def start_instances(world: World, item: Step) -> None:
    ids, zones = item.values
    for index, instance_id in enumerate(ids):
        await world.started.start_entry(instance_id, zones[index % len(zones)])
    entries = [world.started.entries[instance_id] for instance_id in ids]
    await asyncio.gather(*(world.started.wait_until_ready(item) for item in entries))
    if "versions" not in world.background:
        world.run_in_background("versions", world.monitor_versions())


@step("profile")
async def put_profile(world: World, item: Step) -> None:
    name, organisation, zones = item.values
    at = item.options.get("at")
    current = await world.api_with_retries("GET", "/v1/profiles", None, at)
    body = {
        "organisation": organisation,
        "region": world.started.deployment.region,
        "zones": list(zones),
        "guarantees": item.options.get("shapes", []),
        "limits": {},
        "services": [world.started.deployment.service],
        "expected_version": current.body.get("version", 0),
    }
    deadline = time.monotonic() + OWNER_TIMEOUT_SECONDS
    while True:
        reply = await world.api("PUT", f"/v1/profiles/{name}", body, at)
        if reply.status == 200 or "refused" in item.options:
            break
        if time.monotonic() > deadline:
            raise ScenarioError(f"profile {name}: {reply}")
        await asyncio.sleep(POLL_SECONDS)
        current = await world.api_with_retries("GET", "/v1/profiles", None, at)
        body["expected_version"] = current.body.get("version", 0)
    expected = item.options.get("refused")
    if expected is not None and reply.reason != expected:
        raise ScenarioError(f"profile {name}: expected {expected}, got {reply}")
    if expected is None:
        world.profiles[name] = organisation
        accept_version(world, reply.body["version"])


def accept_version(world: World, version: int) -> None:
    """Remember the newest configuration version that was accepted."""
    world.accepted_version = max(world.accepted_version, version)


def profile_of(world: World, item: Step) -> tuple[str, str]:
    """Return the profile that a statement names, or the first, and its organisation."""
    name = item.options.get("under") or next(iter(world.profiles), None)
    if name not in world.profiles:
        raise ScenarioError(f"no profile {name}")
    # Tokens of the parser are strings that the JSON encoder does not accept.
    return str(name), str(world.profiles[name])


@step("send")
async def send_requests(world: World, item: Step) -> None:
    count, kind = item.values
    profile, organisation = profile_of(world, item)
    name = item.options.get("as_name", f"line-{item.line}")
    batch: list[SentRequest] = []
    for number in range(count):
        echo = f"{name}/{number}"
        payload = {"work_ms": item.options.get("working", 0), "echo": echo}
        batch.append(
            SentRequest(
                key=world.next_key(),
                organisation=organisation,
                profile=profile,
                idempotent=kind == "idempotent",
                payload=msgspec.json.encode(payload).decode(),
                echo=echo,
                deadline_seconds=item.options.get("deadline", DEFAULT_DEADLINE_SECONDS),
            )
        )
    world.batches[str(name)] = batch
    sending = send_batch(world, batch, item.options.get("rate"), item.options.get("at"))
    world.run_in_background(f"requests {name}", sending)
    if "in_background" not in item.options:
        await world.background[f"requests {name}"]


async def send_batch(
    world: World, batch: list[SentRequest], rate: float | None, at: str | None
) -> None:
    """Send requests at random times with a mean rate per second, or all at once."""
    async with asyncio.TaskGroup() as group:
        for request in batch:
            group.create_task(world.send(request, at))
            if rate:
                await asyncio.sleep(world.generator.expovariate(rate))


@step("repeat")
async def repeat_requests(world: World, item: Step) -> None:
    *outcomes, name = item.values
    batch = [
        request
        for request in world.batches[name]
        if not outcomes or request.outcome in outcomes
    ]
    await send_batch(world, batch, None, item.options.get("at"))


@step("wait_batch")
async def wait_for_requests(world: World, item: Step) -> None:
    task = world.background[f"requests {item.values[0]}"]
    async with asyncio.timeout(item.options["limit"]):
        await asyncio.shield(task)


@step("submit")
async def submit_jobs(world: World, item: Step) -> None:
    count, tasks, accelerators, adjacency, command = item.values
    profile, organisation = profile_of(world, item)
    repeatable = "unrepeatable" not in item.options
    jobs = [
        SentJob(
            {
                "organisation": organisation,
                "profile": profile,
                "service": world.started.deployment.service,
                "idempotency_key": world.next_key(),
                "tasks": tasks,
                "accelerators_per_task": accelerators,
                "cores": 1,
                "memory_gb": 1,
                "adjacency": adjacency,
                "declared_seconds": 10,
                "command": command,
                "idempotent": repeatable,
                "checkpointable": "checkpointable" in item.options,
                "priority": "urgent" if "urgent" in item.options else "normal",
                "start_deadline_seconds": 0,
            }
        )
        for _ in range(count)
    ]
    world.jobs[item.options.get("as_name", f"line-{item.line}")] = jobs
    await asyncio.gather(
        *(submit_job(world, job, item.options.get("at")) for job in jobs)
    )


async def submit_job(world: World, job: SentJob, at: str | None) -> None:
    """Submit one job; retry with the same key while the outcome is transient."""
    reply = await world.api_with_retries("POST", "/v1/jobs", job.body, at)
    if reply.status in (200, 202):
        job.update(reply.body)
    else:
        job.reason = reply.reason


async def refresh_jobs(world: World, name: str) -> list[SentJob]:
    """Query the states of a group of jobs; a failed query keeps the last state."""
    jobs = world.jobs[name]

    async def refresh(job: SentJob) -> None:
        if job.job_id:
            reply = await world.api("GET", f"/v1/jobs/{job.job_id}")
            if reply.status == 200:
                job.update(reply.body)

    await asyncio.gather(*(refresh(job) for job in jobs))
    return jobs


@step("wait_jobs")
async def wait_for_jobs(world: World, item: Step) -> None:
    name, states = item.values
    deadline = time.monotonic() + item.options["limit"]
    while True:
        jobs = await refresh_jobs(world, name)
        if all(job.state in states for job in jobs):
            return
        if time.monotonic() > deadline:
            found = [(job.job_id, job.state, job.reason) for job in jobs]
            raise ScenarioError(f"jobs {name}: expected {states}, found {found}")
        await asyncio.sleep(POLL_SECONDS)


@step("cancel")
async def cancel_jobs(world: World, item: Step) -> None:
    ids = [job.job_id for job in world.jobs[item.values[0]] if job.job_id]
    reply = await world.api_with_retries(
        "POST", "/v1/jobs/cancel", {"job_ids": ids}, item.options.get("at")
    )
    if reply.status not in (200, 202):
        raise ScenarioError(f"cancel: {reply}")


async def resolve(world: World, item: Step, reference: tuple[str, str]) -> Entry:
    """Return the instance of that name, or the owner of that partition."""
    kind, value = reference
    if kind == "name":
        entry = world.entry(value)
    else:
        entry = await world.wait_for_owner(value, None, OWNER_TIMEOUT_SECONDS)
    if "as_name" in item.options:
        world.bound_names[item.options["as_name"]] = entry.instance_id
    return entry


@step("on_instance")
async def act_on_instance(world: World, item: Step) -> None:
    action, reference = item.values
    entry = await resolve(world, item, reference)
    match action:
        case "kill":
            entry.process.kill()
            await world.started.unlist(entry.instance_id)
        case "freeze":
            entry.process.freeze()
        case "continue":
            entry.process.resume()
        case "restart":
            await world.started.restart_entry(entry)
            await world.started.wait_until_ready(entry)


@step("drain")
async def drain_instance(world: World, item: Step) -> None:
    entry = await resolve(world, item, item.values[0])
    await world.started.list_entry(entry, InstanceState.LEAVING)
    entry.process.terminate()

    async def finish() -> None:
        await asyncio.sleep(BALANCER_DELAY_SECONDS)
        entry.draining = True
        await entry.process.wait(DRAIN_TIMEOUT_SECONDS)
        await world.started.unlist(entry.instance_id)

    name = f"drain {entry.instance_id}"
    world.run_in_background(name, finish())
    if "in_background" not in item.options:
        await world.background[name]


@step("list_state")
async def mark_target(world: World, item: Step) -> None:
    target, state = item.values
    await world.started.set_target_state(target, InstanceState(state))
    if state == "leaving":
        world.leaving[target].append(Exclusion(time.time() + world.lag_seconds))
    elif world.leaving[target]:
        world.leaving[target][-1].until = time.time()


async def change_zone(world: World, zone: str, action: str, at: str | None) -> None:
    """Change a zone; each attempt is based on the version current at that time."""
    deadline = time.monotonic() + OWNER_TIMEOUT_SECONDS
    while True:
        current = await world.api_with_retries("GET", "/v1/zones", None, at)
        body = {"expected_version": current.body.get("version", 0)}
        reply = await world.api("POST", f"/v1/zones/{zone}/{action}", body, at)
        if reply.status == 200:
            accept_version(world, reply.body["version"])
            return
        if time.monotonic() > deadline:
            raise ScenarioError(f"{action} {zone}: {reply}")
        await asyncio.sleep(POLL_SECONDS)


@step("zone_out")
async def take_zone_out(world: World, item: Step) -> None:
    zone = item.values[0]
    await change_zone(world, zone, "take-out", item.options.get("at"))
    world.zones_out[zone].append(Exclusion(time.time()))


@step("zone_back")
async def bring_zone_back(world: World, item: Step) -> None:
    zone = item.values[0]
    if world.zones_out[zone]:
        world.zones_out[zone][-1].until = time.time()
    await change_zone(world, zone, "bring-back", item.options.get("at"))


@step("control")
async def set_faults(world: World, item: Step) -> None:
    target, *settings = item.values
    changes: dict[str, object] = {}
    for name, value in settings:
        if name == "operations":
            changes[name] = [value]
            continue
        try:
            changes[name] = msgspec.json.decode(value)
        except msgspec.DecodeError:
            changes[name] = value
    await world.started.control(target, changes)


@step("heal")
async def heal_target(world: World, item: Step) -> None:
    await world.started.control(item.values[0], {"reset": True})


@step("pause")
async def pause(world: World, item: Step) -> None:
    await asyncio.sleep(item.values[0])


@step("wait_owner")
async def wait_for_owner(world: World, item: Step) -> None:
    await world.wait_for_owner(
        item.values[0], item.options.get("not_name"), item.options["limit"]
    )
