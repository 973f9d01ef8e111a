"""Runner groups: slots, start window, health and queue under failures."""

from __future__ import annotations

import asyncio
import random

import pytest
from returns.result import Failure, Result, Success

from egretloft._internal.models.outcomes import OutcomeKind, Reason, Refusal
from egretloft._internal.models.requests import Answer
from egretloft._internal.requests.dispatch import MAX_START_DELAY_SECONDS
from lib.builders import build_profile
from lib.request_world import SERVICE, Runner, World
from lib.virtual_time import run_virtual

GROUP = f"runners/{SERVICE}/zone-1"


def refusal_of(result: Result[Answer, Refusal]) -> Refusal:
    assert isinstance(result, Failure), result
    return result.failure()


def first_runner(world: World) -> Runner:
    return next(iter(world.runners.values()))


async def submit_many(world: World, count: int, deadline: float = 5.0) -> list:
    receivers = len(world.instances)
    return await asyncio.gather(
        *(world.submit(n % receivers, deadline=deadline) for n in range(count))
    )


def test_owner_frozen_between_check_and_send_starts_nothing() -> None:
    """Guards against work that starts after the owner's checks have become stale.

    The owner freezes for 1 s after its checks and before the request is sent.
    """

    async def main() -> None:
        world = World()
        await world.start()
        world[0].client.freeze_seconds = 1.0
        result = await world.submit(0)
        assert refusal_of(result).kind is OutcomeKind.NOT_RUN
        assert first_runner(world).arrivals > 0
        assert not world.total_runs()

    run_virtual(main())


@pytest.mark.parametrize("event", ["zone_out", "leaving", "stale", "lost"])
def test_nothing_is_sent_after_the_owner_may_no_longer_send(event: str) -> None:
    """Guards against queued work that is sent when it may no longer be sent.

    The event happens while the work is queued, after the checks at its admission.
    """

    async def main() -> None:
        world = World(instances=2, run_seconds=lambda: 1.0)
        await world.start()
        sent = [asyncio.create_task(world.submit(1)) for _ in range(8)]
        await asyncio.sleep(0.1)
        queued = [asyncio.create_task(world.submit(1)) for _ in range(8)]
        await asyncio.sleep(0.4)
        assert world.total_runs().total() == 8
        if event == "zone_out":
            world.zones_out.add("zone-1")
        elif event == "leaving":
            world.topology.leaving.add("zone-1-runner-0")
        elif event == "stale":
            world[0].view.fresh = False
        else:
            world.owners[GROUP] = ("nobody", 2)
        assert all(result.unwrap() for result in await asyncio.gather(*sent))
        for result in await asyncio.gather(*queued):
            assert refusal_of(result).kind is OutcomeKind.NOT_RUN
        assert world.total_runs().total() == 8

    run_virtual(main())


def test_runner_that_began_to_leave_is_not_used() -> None:
    """Guards against a request sent to a runner that is leaving.

    The instance list changes between two ticks of the owner.
    """

    async def main() -> None:
        world = World(runners_per_zone=2)
        await world.start()
        # Half-way between two ticks.
        await asyncio.sleep(0.05)
        world.topology.leaving.add("zone-1-runner-0")
        results = await submit_many(world, 20)
        assert all(isinstance(result, Success) for result in results)
        assert first_runner(world).arrivals == 0

    run_virtual(main())


def test_slots_hold_with_nine_receivers() -> None:
    """Guards against more than 8 requests on a runner of 8 slots.

    That happens if each of the receivers counts only its own requests.
    """

    async def main() -> None:
        world = World(instances=9, runners_per_zone=2)
        await world.start()
        results = await submit_many(world, 70)
        assert all(isinstance(result, Success) for result in results)
        assert [runner.most_in_use for runner in world.runners.values()] == [8, 8]

    run_virtual(main())


def test_slots_hold_across_a_change_of_owner() -> None:
    """Guards against more than 8 requests on a runner of 8 slots.

    That happens if a new owner does not count the former owner's running requests.
    """

    async def main() -> None:
        world = World(instances=2, runners_per_zone=2, run_seconds=lambda: 4.0)
        await world.start()
        sent = [asyncio.create_task(world.submit(0, deadline=20)) for _ in range(12)]
        await asyncio.sleep(2)
        world.owners[GROUP] = ("entry-1", 2)
        results = await submit_many(world, 20, deadline=20)
        assert all(isinstance(result, Success) for result in results)
        await asyncio.gather(*sent)
        assert max(runner.most_in_use for runner in world.runners.values()) == 8

    run_virtual(main())


def test_slots_of_unknown_outcomes_stay_taken_until_the_runner_is_free() -> None:
    """Guards against more than 8 requests on a runner of 8 slots.

    Requests expire after 0.5 s at the owner, but keep running for 3 s at the runner.
    """

    async def main() -> None:
        world = World(run_seconds=lambda: 3.0)
        await world.start()
        for _ in range(6):
            await submit_many(world, 8, deadline=0.5)
        assert first_runner(world).most_in_use == 8
        await asyncio.sleep(5)
        assert isinstance(await world.submit(0), Success)

    run_virtual(main())


def test_forward_that_arrives_twice_runs_once() -> None:
    """Guards against a second run, and against ``not_run`` for a request that ran.

    The same forward arrives again during the run, right after it, and much later.
    """

    async def main() -> None:
        world = World(instances=2)
        await world.start()
        service = world[0].service
        bodies: list[dict] = []
        original = service.handle_forward

        async def record(peer: str, body: dict) -> dict:
            bodies.append(body)
            return await original(peer, body)

        service.handle_forward = record  # type: ignore[method-assign]
        submit = asyncio.create_task(world.submit(1, idempotent=False))
        await asyncio.sleep(0.05)
        during = await original("entry-1", bodies[0])
        answer = await submit
        after = await original("entry-1", bodies[0])
        await asyncio.sleep(10)
        late = await original("entry-1", bodies[0])
        assert isinstance(answer, Success)
        assert [during["outcome"], after["outcome"]] == ["unknown", "unknown"]
        assert late["outcome"] == "not_run"
        assert world.total_runs().total() == 1

    run_virtual(main())


@pytest.mark.parametrize("mode", ["fail", "hang", "refuse", "dead"])
def test_bad_runner_does_not_attract_load_and_returns_slowly(mode: str) -> None:
    """Guards against a bad runner getting the most requests.

    A runner that fails at once has the most free slots, so it looks least loaded.
    """

    async def main() -> None:
        world = World(runners_per_zone=4)
        await world.start()
        bad = first_runner(world)
        await submit_many(world, 40)
        bad.mode, bad.arrivals = mode, 0
        completed = 0
        for _ in range(50):
            results = await submit_many(world, 16, deadline=1.0)
            completed += sum(isinstance(result, Success) for result in results)
        assert completed >= 0.95 * 800
        # An even share would be 200 requests.
        assert bad.arrivals <= 20
        # A restart ends the requests that hang.
        bad.mode, bad.arrivals, bad.in_use = "ok", 0, 0
        await asyncio.sleep(61)
        await submit_many(world, 32)
        assert bad.most_in_use <= 8
        assert 0 < bad.arrivals < 8

    run_virtual(main())


def test_requests_that_fail_everywhere_do_not_block_the_runners() -> None:
    """Guards against one organisation's bad requests taking runners from others.

    The requests fail on every runner, as if all the runners were bad.
    """

    async def main() -> None:
        world = World(runners_per_zone=4)
        world.profiles["org-b"] = build_profile("org-b")
        await world.start()
        await submit_many(world, 32)
        execute = Runner.execute
        for runner in world.runners.values():

            async def run(request, runner=runner):  # type: ignore[no-untyped-def]
                poison = request.payload == b"poison"
                runner.mode = "fail" if poison else "ok"
                return await execute(runner, request)

            runner.execute = run  # type: ignore[method-assign]
        for _ in range(20):
            await asyncio.gather(
                *(world.submit(organisation="org-b", payload="poison") for _ in "12")
            )
        group = world[0].service.groups[GROUP]
        assert [runner.allowed for runner in group.runners.values()] == [8.0] * 4
        results = await submit_many(world, 32)
        assert all(isinstance(result, Success) for result in results)

    run_virtual(main())


def test_overload_is_refused_and_goodput_holds() -> None:
    """Guards against an unbounded queue and against work on expired requests.

    Requests arrive for 10 s at three times the rate that the runners can serve.
    """

    async def main() -> None:
        world = World(instances=3, runners_per_zone=2)
        await world.start()
        generator = random.Random(5)
        tasks = []
        longest = 0
        # 160 requests a second can be served; 480 a second arrive for 10 s.
        for number in range(4800):
            await asyncio.sleep(generator.expovariate(480))
            submit = world.submit(number % 3, deadline=1.0)
            tasks.append(asyncio.create_task(submit))
            load = world[0].service.group_load(GROUP)
            assert load is not None
            longest = max(longest, load.queued)
        results = await asyncio.gather(*tasks)
        completed = sum(isinstance(result, Success) for result in results)
        assert completed >= 0.97 * 1600
        refusals = [refusal_of(r) for r in results if isinstance(r, Failure)]
        # The refused requests did not reach a runner, so only those that expired while
        # they ran may have an unknown outcome.
        assert {refusal.reason for refusal in refusals} <= {
            Reason.QUEUE_FULL,
            Reason.RETRY_BUDGET_SPENT,
            Reason.DEADLINE_PASSED,
        }
        unknown = sum(refusal.kind is OutcomeKind.UNKNOWN for refusal in refusals)
        assert unknown <= 0.01 * len(results)
        assert longest <= 64
        assert world.total_runs().total() <= completed + unknown

    run_virtual(main())


def test_organisations_share_an_overloaded_group() -> None:
    """Guards against one organisation's burst shutting the others out.

    300 requests of one organisation fill the queue before the other's arrive.
    """

    async def main() -> None:
        world = World()
        world.profiles["org-b"] = build_profile("org-b")
        await world.start()
        flood = [asyncio.create_task(world.submit(deadline=3)) for _ in range(300)]
        await asyncio.sleep(0.01)
        started = world.clock.monotonic()
        results = await asyncio.gather(
            *(world.submit(organisation="org-b") for _ in range(16))
        )
        assert all(isinstance(result, Success) for result in results)
        # 16 requests at half of the 8 slots, after those already running.
        assert world.clock.monotonic() - started < 0.6
        await asyncio.gather(*flood)

    run_virtual(main())


def test_planned_stop_cuts_off_no_request() -> None:
    """Guards against requests lost, cut off, run twice or run beyond the slots.

    The owner drains and hands over while requests are queued and running.
    """

    async def main() -> None:
        world = World(instances=3, runners_per_zone=2, run_seconds=lambda: 0.5)
        await world.start()
        released_at = stopped_at = 0.0

        async def release() -> None:
            nonlocal released_at
            released_at = world.clock.monotonic()
            world.owners[GROUP] = ("entry-1", 2)

        submits = []
        drain: asyncio.Task[bool] | None = None
        for number in range(120):
            # Callers stop using the stopping instance when its readiness ends.
            receiver = 1 + number % 2 if number > 40 else number % 3
            submit = world.submit(receiver, idempotent=number % 4 > 0)
            submits.append(asyncio.create_task(submit))
            await asyncio.sleep(0.04)
            if number == 60:
                stopped_at = world.clock.monotonic()
                drain = asyncio.create_task(world[0].service.drain(release))
        assert drain is not None
        assert await drain
        results = await asyncio.gather(*submits)
        refused = [refusal_of(r) for r in results if isinstance(r, Failure)]
        assert refused == []
        assert world.total_runs().total() == 120
        assert max(runner.most_in_use for runner in world.runners.values()) <= 8
        # With admission closed, the queue and the start window end even under load.
        assert 0 < released_at - stopped_at < 3.0
        stopped = await world.submit(0)
        assert refusal_of(stopped).reason is Reason.DRAINING

    run_virtual(main())


def test_drain_keeps_ownership_while_a_start_window_is_open() -> None:
    """Guards against more requests on a runner than it has slots.

    A new owner could read the runner's load before the former owner's last request
    has started there.
    """

    async def main() -> None:
        world = World(run_seconds=lambda: 0.05)
        await world.start()
        await world.submit(0)
        sent_at = world.clock.monotonic()
        released: list[float] = []

        async def release() -> None:
            released.append(world.clock.monotonic())

        assert await world[0].service.drain(release)
        assert released[0] - sent_at >= MAX_START_DELAY_SECONDS - 0.1

    run_virtual(main())


@pytest.mark.parametrize(
    ("deadlines", "broken"), [((0.25, 0.5, 3.0), 0.0), ((5,), 0.02)]
)
def test_unknown_outcomes_do_not_use_up_the_capacity(
    deadlines: tuple[float, ...], broken: float
) -> None:
    """Guards against slots that stay taken after deadlines or broken connections.

    When slots were freed only by the status of a busy runner, half of the requests
    failed.
    """

    async def main() -> None:
        world = World(instances=2, runners_per_zone=2)
        generator = random.Random(3)
        for runner in world.runners.values():
            runner.run_seconds_of = lambda payload: float(payload.split()[0])
            runner.breaks_off = lambda: generator.random() < broken
        await world.start()

        async def send(number: int, at: float, deadline: float, run: float) -> bool:
            await asyncio.sleep(at)
            payload = f"{run} {number}"
            result = await world.submit(number % 2, payload=payload, deadline=deadline)
            return isinstance(result, Success)

        at = 0.0
        sends = []
        # 144 requests a second; the runners serve 160.
        for number in range(3000):
            at += generator.expovariate(144)
            run = 0.1 * generator.lognormvariate(-0.32, 0.8)
            sends.append(send(number, at, generator.choice(deadlines), run))
        assert sum(await asyncio.gather(*sends)) >= 0.97 * 3000
        assert max(runner.most_in_use for runner in world.runners.values()) == 8

    run_virtual(main())
