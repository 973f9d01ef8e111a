"""Retry budget, queue, runner health, key memory and routing, each on its own."""

from __future__ import annotations

import asyncio
from fractions import Fraction

import msgspec
from hypothesis import given
from hypothesis import strategies as st
from returns.result import Failure

from egretloft._internal.requests.admission import (
    QUEUE_LIMIT,
    RunTimes,
    Work,
    create_fair_queue,
)
from egretloft._internal.requests.dispatch import GroupLoad
from egretloft._internal.requests.key_memory import (
    KEY_RETENTION_SECONDS,
    create_key_memory,
)
from egretloft._internal.requests.messages import Forward
from egretloft._internal.requests.retry_budget import CAPACITY, create_retry_budget
from egretloft._internal.requests.routing import decode_load, encode_load
from egretloft._internal.requests.runner_health import (
    HealthTracker,
    choose_runner,
    create_runner_state,
)
from lib.builders import build_profile
from lib.fakes import ManualClock
from lib.request_world import SERVICE, Member, World
from lib.virtual_time import run_virtual


def build_work(organisation: str, deadline: float = 100.0) -> Work:
    forward = Forward(
        attempt_id="a",
        organisation=organisation,
        profile=organisation,
        service=SERVICE,
        zone="zone-1",
        idempotent=True,
        payload=b"",
        remaining_seconds=1.0,
        start_seconds=1.0,
        deadline_at=1.0,
        start_by=1.0,
        attempts_left=1,
    )
    future = asyncio.Future(loop=asyncio.new_event_loop())
    future.get_loop().close()
    return Work(forward, deadline, deadline, future)


@given(st.lists(st.integers(0, 128), max_size=60), st.integers(0, 50))
def test_budget_never_exceeds_its_rate(pauses: list[int], requests: int) -> None:
    """Guards against more retries than 10% of the requests and 3 a second.

    The budget starts with 3 retries. Requests and retries come in bursts with pauses of
    any length between them.
    """
    clock = ManualClock()
    budget = create_retry_budget(clock)
    spent = 0
    earned = elapsed = Fraction(0)
    for pause in pauses:
        clock.advance(pause / 64)
        elapsed += Fraction(pause, 64)
        for _ in range(requests):
            budget.count_request()
            earned += Fraction(1, 10)
        while budget.spend():
            spent += 1
        assert budget.tokens <= CAPACITY
    assert spent <= 3 + 3 * elapsed + earned
    if not requests:
        assert spent <= 3 + 3 * elapsed


def test_budget_rates_do_not_add_up() -> None:
    """Guards against granting 3 retries a second on top of the 10%.

    At 1,000 requests a second the 10% alone are more than the minimum.
    """
    clock = ManualClock()
    budget = create_retry_budget(clock)
    spent = 0
    for _ in range(100_000):
        clock.advance(0.001)
        budget.count_request()
        spent += budget.spend()
    assert 10_000 <= spent <= 10_010


def test_queue_is_bounded_and_fair_when_full() -> None:
    """Guards against a full queue that shuts out an organisation.

    Another organisation has filled the queue before its first request arrives.
    """
    queue = create_fair_queue(RunTimes())
    for _ in range(QUEUE_LIMIT):
        assert queue.add(build_work("org-a")) is None
    for _ in range(QUEUE_LIMIT // 2):
        dropped = queue.add(build_work("org-b"))
        assert dropped is not None
        assert dropped.forward.organisation == "org-a"
    dropped = queue.add(build_work("org-b"))
    assert dropped is not None
    assert dropped.forward.organisation == "org-b"
    assert queue.size == QUEUE_LIMIT


def test_queue_shares_run_time_not_requests() -> None:
    """Guards against an organisation of long requests taking most of the slots.

    That happens if the queue alternates between organisations by request.
    """
    run_times = RunTimes()
    for _ in range(200):
        run_times.record("org-a", 0.4)
        run_times.record("org-b", 0.1)
    queue = create_fair_queue(run_times)
    for _ in range(30):
        queue.add(build_work("org-a"))
        queue.add(build_work("org-b"))
    served = [queue.take(0.0) for _ in range(25)]
    names = [work.forward.organisation for work in served if work is not None]
    assert 4 <= names.count("org-a") <= 6


def test_urgent_work_overtakes_but_too_late_work_does_not() -> None:
    """Guards against slots spent on requests that cannot meet their deadline.

    That happens if the request with the earliest deadline is always taken first.
    """
    queue = create_fair_queue(RunTimes(group=0.1))
    first, urgent = build_work("org-a"), build_work("org-a", deadline=0.2)
    too_late = build_work("org-a", deadline=0.05)
    for work in (first, too_late, urgent):
        queue.add(work)
    assert [queue.take(0.0) for _ in range(3)] == [urgent, first, too_late]


def test_failing_runner_is_blocked_for_longer_each_time() -> None:
    """Guards against a runner that keeps failing being tried every second.

    That happens if each block is as short as the first.
    """

    async def main() -> None:
        world = World(runners_per_zone=4)
        runners = [create_runner_state(item.record) for item in world.runners.values()]
        bad = runners[0]
        for runner in runners:
            runner.load_known = True
        health = HealthTracker()
        health.record_success(runners[1], "org-a", 0.0)
        now = 1.0
        blocks = []
        for _ in range(9):
            while bad.free(now):
                health.record_failure(bad, runners, "org-a", True, now)
            blocks.append(bad.blocked_until - now)
            now = bad.blocked_until
            health.record_success(runners[1], "org-a", now)
        assert blocks == [1, 2, 4, 8, 16, 32, 60, 60, 60]
        assert choose_runner(runners, now) is not bad
        health.record_success(bad, "org-a", now)
        assert bad.free(now) == 1

    run_virtual(main())


def roster(**incarnations: str) -> dict[str, Member]:
    """Return a roster with the incarnation of each member."""
    return {name: Member(name, value) for name, value in incarnations.items()}


def test_key_memory_is_incomplete_after_a_loss() -> None:
    """Guards against ``not_run`` for a key that may have run.

    A member that had received keys leaves, or is restarted under its id, and its keys
    are lost with it.
    """
    clock = ManualClock()
    memory = create_key_memory(clock)
    memory.update_members(roster(a="1", b="1"))
    memory.begin("k")
    assert memory.was_seen("k")
    assert not memory.was_seen("k", own_submissions=1)
    memory.end("k", maybe_ran=True)
    assert memory.was_seen("k", own_submissions=1)
    memory.begin("l")
    memory.end("l", maybe_ran=False)
    assert not memory.was_seen("l")
    assert memory.is_complete()
    memory.update_members(roster(a="1"))
    assert not memory.is_complete()
    clock.advance(KEY_RETENTION_SECONDS)
    assert memory.is_complete()
    memory.update_members(roster(a="2"))
    assert not memory.is_complete()
    clock.advance(KEY_RETENTION_SECONDS)
    memory.prune()
    assert memory.is_complete()
    assert not memory.was_seen("k")


@given(st.lists(st.floats() | st.integers(), min_size=4, max_size=4) | st.text())
def test_any_load_report_is_read_or_ignored(report: object) -> None:
    """Guards against an exception in routing.

    A peer's heartbeat carries a malformed load report.
    """
    load = decode_load(report)
    assert load is None or load.run_seconds > 0
    assert decode_load(encode_load(GroupLoad(1, 2, 3, 0.5))) == GroupLoad(1, 2, 3, 0.5)


def test_far_group_is_chosen_only_if_the_queue_costs_more_than_the_link() -> None:
    """Guards against paying for a link that does not shorten the wait.

    That happens if queues are compared without the link, or without the forwards sent
    since the last report.
    """

    async def main() -> None:
        world = World(("zone-1", "zone-2"), instances=2)
        await world.start()
        router = world[0].service.delivery.router
        profile = world.profiles["org-a"]
        own = GroupLoad(free=0, queued=0, slots=8, run_seconds=0.01)

        def chosen() -> str:
            return router.choose(SERVICE, profile).unwrap().zone

        router.own_load = lambda partition: own
        assert chosen() == "zone-1"
        own = GroupLoad(free=0, queued=30, slots=8, run_seconds=0.01)
        assert chosen() == "zone-2"
        # Forwards sent since the far owner's report count as queued there.
        for _ in range(60):
            router.count_sent(router.choose(SERVICE, profile).unwrap())
        assert chosen() == "zone-1"
        world.zones_out.add("zone-1")
        assert chosen() == "zone-2"
        profile = build_profile(zones=("zone-1",))
        assert isinstance(router.choose(SERVICE, profile), Failure)
        world.zones_out.clear()
        own = GroupLoad(free=0, queued=9999, slots=8, run_seconds=0.01)
        assert chosen() == "zone-1"

    run_virtual(main())


def test_owner_refuses_a_zone_that_is_not_the_profiles() -> None:
    """Guards against work in a zone that the profile no longer contains.

    A receiver with an older copy of the profile forwards the request to that zone.
    """

    async def main() -> None:
        world = World(("zone-1", "zone-2"), instances=2)
        await world.start()
        world.profiles["org-a"] = build_profile(zones=("zone-2",))
        forward = msgspec.structs.replace(
            build_work("org-a").forward, deadline_at=1e12, start_by=1e12
        )
        reply = await world[0].service.run_forward(forward)
        assert (reply.outcome, reply.reason) == ("not_run", "no_target")
        assert not world.total_runs()

    run_virtual(main())
