"""Receivers: routing, retries, limits and matching of answers."""

from __future__ import annotations

import asyncio

import pytest
from returns.result import Failure, Result, Success

from egretloft._internal.models.outcomes import OutcomeKind, Reason, Refusal
from egretloft._internal.models.profiles import Limits
from egretloft._internal.models.requests import Answer
from lib.request_world import World
from lib.virtual_time import run_virtual


def refusal_of(result: Result[Answer, Refusal]) -> Refusal:
    assert isinstance(result, Failure), result
    return result.failure()


@pytest.mark.parametrize("fault", ["lost_request", "lost_reply", "not_sent"])
def test_lost_forward_is_retried_elsewhere(fault: str) -> None:
    """Guards against an idempotent request failing because of one peer connection.

    The first forward cannot be sent, or it or its reply is lost.
    """

    async def main() -> None:
        world = World(("zone-1", "zone-2"), instances=2)
        await world.start()
        world.owners["runners/service-1/zone-1"] = ("entry-1", 2)
        await asyncio.sleep(0.5)
        network = world[0].network
        network.fault, network.fault_calls = fault, 1
        assert isinstance(await world.submit(0), Success)
        assert network.forwards == 2

    run_virtual(main())


def test_answer_with_another_id_is_not_given_to_the_caller() -> None:
    """Guards against a caller getting the answer to another request.

    The reply to a forward carries the id of another attempt.
    """

    async def main() -> None:
        world = World(instances=2)
        await world.start()
        network = world[1].network
        network.fault, network.fault_calls = "wrong_id", 9
        refusal = refusal_of(await world.submit(1))
        assert refusal.kind is OutcomeKind.UNKNOWN
        assert network.forwards == 3
        network.fault_calls = 0
        answers = await asyncio.gather(
            *(world.submit(1, payload=f"p{number}") for number in range(30))
        )
        for number, answer in enumerate(answers):
            assert answer.unwrap().payload == f"answer to p{number}".encode()

    run_virtual(main())


def test_late_answer_is_unknown_at_the_deadline() -> None:
    """Guards against ``not_run`` for a request that ran.

    The owner's reply does not arrive before the deadline.
    """

    async def main() -> None:
        world = World(instances=2)
        await world.start()
        network = world[1].network
        network.fault, network.fault_calls = "late_reply", 1
        started = world.clock.monotonic()
        refusal = refusal_of(await world.submit(1, deadline=1.0))
        assert refusal.kind is OutcomeKind.UNKNOWN
        assert refusal.reason is Reason.DEADLINE_PASSED
        assert world.clock.monotonic() - started < 1.5

    run_virtual(main())


def test_refusal_after_a_possible_run_is_unknown() -> None:
    """Guards against ``not_run`` for a request that may have run.

    The first attempt breaks while it runs, and the runner refuses the retries.
    """

    async def main() -> None:
        world = World(runners_per_zone=1)
        runner = next(iter(world.runners.values()))
        await world.start()
        runner.mode = "break_off"
        task = asyncio.create_task(world.submit(0))
        await asyncio.sleep(0.05)
        runner.mode = "refuse"
        refusal = refusal_of(await task)
        assert world.total_runs().total() == 1
        assert refusal.kind is OutcomeKind.UNKNOWN

    run_virtual(main())


def test_retry_budget_holds_against_dead_runners() -> None:
    """Guards against a retry storm of 3 attempts for each of 4,000 requests.

    All runners break off their requests, so every attempt fails.
    """

    async def main() -> None:
        world = World(instances=2, runners_per_zone=3)
        await world.start()
        for runner in world.runners.values():
            runner.mode = "break_off"
        before = world[1].network.forwards
        tasks = []
        for _ in range(4000):
            tasks.append(asyncio.create_task(world.submit(1, deadline=2)))
            await asyncio.sleep(0.01)
        results = await asyncio.gather(*tasks)
        assert not any(isinstance(result, Success) for result in results)
        forwards = world[1].network.forwards - before
        # 10% of 4,000 requests, and the full bucket.
        assert forwards <= 4000 * 1.1 + 31

    run_virtual(main())


def test_owner_lost_is_waited_for() -> None:
    """Guards against refusing requests during a takeover.

    The owner freezes, and a new owner follows it only after 3.5 s.
    """

    async def main() -> None:
        world = World(instances=3)
        await world.start()
        world[0].frozen = True
        task = asyncio.create_task(world.submit(1))
        await asyncio.sleep(3.5)
        world.owners["runners/service-1/zone-1"] = ("entry-2", 2)
        assert isinstance(await task, Success)
        world.owners.clear()
        started = world.clock.monotonic()
        refusal = refusal_of(await world.submit(1, deadline=60))
        assert refusal.kind is OutcomeKind.NOT_RUN
        assert world.clock.monotonic() - started < 7

    run_virtual(main())


def test_routing_keeps_to_the_profile_and_to_zones_in_service() -> None:
    """Guards against work in a zone that is out of service or not in the profile.

    A zone is taken out, and another is removed from the profile, while both have
    runners.
    """

    async def main() -> None:
        world = World(("zone-1", "zone-2", "zone-3"), instances=3)
        profile = world.profiles["org-a"]
        await world.start()
        world.zones_out.add("zone-1")
        world.profiles["org-a"] = type(profile)(
            profile.name,
            profile.organisation,
            profile.region,
            ("zone-1", "zone-2"),
            services=profile.services,
        )
        for index in range(3):
            answer = (await world.submit(index)).unwrap()
            assert answer.zone == "zone-2"
        world.zones_out.add("zone-2")
        refusal = refusal_of(await world.submit(0))
        assert (refusal.kind, refusal.reason) == (OutcomeKind.NOT_RUN, Reason.NO_TARGET)

    run_virtual(main())


def test_limit_is_split_among_live_instances() -> None:
    """Guards against an organisation exceeding its limit.

    That happens if each of the 4 instances admits the whole limit.
    """

    async def main() -> None:
        world = World(instances=4, limits=Limits(max_requests_in_flight=10))
        await world.start()
        results = await asyncio.gather(*(world.submit(1) for _ in range(5)))
        completed = [result for result in results if isinstance(result, Success)]
        assert len(completed) == 2
        refusal = refusal_of(next(r for r in results if isinstance(r, Failure)))
        assert refusal.reason is Reason.LIMIT_EXCEEDED
        assert isinstance(await world.submit(1), Success)

    run_virtual(main())


def test_stale_receiver_and_unknown_names_are_refused_not_run() -> None:
    """Guards against running a request without a valid profile.

    The profile does not exist, or the instance's view is too old to act on.
    """

    async def main() -> None:
        world = World()
        await world.start()
        unknown = refusal_of(await world.submit(organisation="org-x"))
        assert unknown.reason is Reason.UNKNOWN_PROFILE
        world[0].view.fresh = False
        stale = refusal_of(await world.submit())
        assert (stale.kind, stale.reason) == (OutcomeKind.NOT_RUN, Reason.STALE_VIEW)
        assert not world.total_runs()

    run_virtual(main())


def test_malformed_peer_messages_are_refused() -> None:
    """Guards against an exception in a handler.

    A peer sends a body that lacks fields or has fields of the wrong type.
    """

    async def main() -> None:
        world = World()
        await world.start()
        service = world[0].service
        for body in ({}, {"attempt_id": 5}, {"attempt_id": "a", "payload": "text"}):
            reply = await service.handle_forward("entry-9", body)
            assert (reply["outcome"], reply["reason"]) == ("not_run", "malformed")
        reply = await service.handle_key_query("entry-9", {"key": 1})
        assert reply == {"unseen": False, "sure": False}

    run_virtual(main())


def test_caller_that_goes_away_leaves_nothing_queued() -> None:
    """Guards against running requests whose caller has disconnected.

    The caller disconnects while its request is queued.
    """

    async def main() -> None:
        world = World(run_seconds=lambda: 1.0)
        await world.start()
        busy = [asyncio.create_task(world.submit()) for _ in range(8)]
        await asyncio.sleep(0.1)
        gone = asyncio.create_task(world.submit(payload="gone"))
        await asyncio.sleep(0.1)
        gone.cancel()
        await asyncio.gather(*busy)
        await asyncio.sleep(1)
        assert b"gone" not in world.total_runs()
        assert world[0].service.in_flight() == 0

    run_virtual(main())
