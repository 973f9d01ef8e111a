"""Non-idempotent requests run at most once and get a true outcome in each failure."""

from __future__ import annotations

import asyncio

import pytest
from returns.result import Failure

from egretloft._internal.models.outcomes import OutcomeKind, Reason, Refusal
from egretloft._internal.models.requests import Answer
from lib.fakes import Fault
from lib.request_world import World
from lib.virtual_time import run_virtual


def outcome(result: object) -> tuple[OutcomeKind, Reason]:
    assert isinstance(result, Failure), result
    refusal: Refusal = result.failure()
    return refusal.kind, refusal.reason


# An owner that is killed is replaced within this time.
TAKEOVER_SECONDS = 3.5
UNKNOWN_STORE = OutcomeKind.UNKNOWN, Reason.STORE_UNAVAILABLE


def test_repeat_gets_first_answer_at_another_instance() -> None:
    """Guards against a second run when the repeat reaches another instance.

    The first answer is read from the row, or from the object store if it is large.
    """

    async def main(size: int) -> None:
        world = World(instances=2)
        runner = next(iter(world.runners.values()))
        runner.answer = lambda payload: payload + b"x" * size
        await world.start()
        first = await world.submit(0, key="k", idempotent=False, payload="p")
        second = await world.submit(1, key="k", idempotent=False, payload="p")
        assert isinstance(first.unwrap(), Answer)
        assert first == second
        assert len(first.unwrap().payload) == size + 1
        assert world.total_runs() == {b"p": 1}
        assert len(world.objects.objects) == (size > 65536)

    run_virtual(main(10))
    run_virtual(main(70_000))


def test_repeat_during_first_waits_for_its_answer() -> None:
    """Guards against a second run, and against a repeat that never gets the answer.

    The repeats arrive, at the same and another instance, while the first still runs.
    """

    async def main() -> None:
        world = World(instances=2, run_seconds=lambda: 1.0)
        await world.start()
        submit = world.submit
        results = await asyncio.gather(
            submit(0, key="k", idempotent=False, payload="p"),
            submit(0, key="k", idempotent=False, payload="p"),
            submit(1, key="k", idempotent=False, payload="p"),
            submit(1, key="k", idempotent=False, payload="p", deadline=0.5),
        )
        assert len({result.unwrap() for result in results[:3]}) == 1
        assert outcome(results[3]) == (OutcomeKind.UNKNOWN, Reason.IN_PROGRESS)
        assert world.total_runs() == {b"p": 1}

    run_virtual(main())


def test_key_with_another_body_is_refused() -> None:
    """Guards against a caller getting the answer to another request.

    That happens if a key is reused for another body and only the key is compared.
    """

    async def main() -> None:
        world = World(instances=2)
        await world.start()
        await world.submit(0, key="k", idempotent=False, payload="p")
        result = await world.submit(1, key="k", idempotent=False, payload="q")
        assert outcome(result) == (OutcomeKind.NOT_RUN, Reason.KEY_REUSED)
        assert b"q" not in world.total_runs()

    run_virtual(main())


def test_new_request_while_store_is_down_is_not_run() -> None:
    """Guards against a run without a claim, which a repeat could not detect.

    The table is down when the request arrives. Idempotent requests need no claim.
    """

    async def main() -> None:
        world = World(instances=3)
        await world.start()
        for instance in world.instances.values():
            instance.table.fault = Fault.DOWN
        result = await world.submit(0, idempotent=False)
        assert outcome(result) == (OutcomeKind.NOT_RUN, Reason.STORE_UNAVAILABLE)
        assert not world.total_runs()
        served = await world.submit(0)
        assert isinstance(served.unwrap(), Answer)

    run_virtual(main())


@pytest.mark.parametrize("receiver", [0, 1, 2])
def test_repeat_while_store_is_down_is_unknown(receiver: int) -> None:
    """Guards against ``not_run`` for a key that ran.

    With the table down, only the first receiver knows that the key was used.
    """

    async def main() -> None:
        world = World(instances=3)
        await world.start()
        await world.submit(0, key="k", idempotent=False, payload="p")
        for instance in world.instances.values():
            instance.table.fault = Fault.DOWN
        result = await world.submit(receiver, key="k", idempotent=False, payload="p")
        assert outcome(result) == UNKNOWN_STORE

    run_virtual(main())


def test_repeat_is_unknown_while_store_is_down_after_first_receiver_died() -> None:
    """Guards against ``not_run`` for a key that ran.

    With the table down, only the first receiver knew the key, and it has died.
    """

    async def main() -> None:
        world = World(instances=3)
        await world.start()
        await world.submit(2, key="k", idempotent=False, payload="p")
        del world.instances["entry-2"]
        await asyncio.sleep(0.2)
        for instance in world.instances.values():
            instance.table.fault = Fault.DOWN
        result = await world.submit(1, key="k", idempotent=False, payload="p")
        assert outcome(result) == UNKNOWN_STORE

    run_virtual(main())


@pytest.mark.parametrize("receiver", [0, 1])
def test_repeat_is_unknown_while_store_is_down_after_first_receiver_restarted(
    receiver: int,
) -> None:
    """Guards against ``not_run`` for a key that ran.

    A new process has the id of the one that knew the key.
    """

    async def main() -> None:
        world = World(instances=2)
        await world.start()
        await world.submit(1, key="k", idempotent=False, payload="p")
        await world.restart(1)
        for instance in world.instances.values():
            instance.table.fault = Fault.DOWN
        result = await world.submit(receiver, key="k", idempotent=False, payload="p")
        assert outcome(result) == UNKNOWN_STORE
        assert world.total_runs() == {b"p": 1}

    run_virtual(main())


@pytest.mark.parametrize("reason", ["draining", "stale_view", "limit_exceeded"])
def test_early_refusal_of_repeat_is_not_called_not_run(reason: str) -> None:
    """Guards against ``not_run`` for a key that is running or has run.

    A refusal before the claim (draining, stale view, limit) has not read the record.
    """

    async def main() -> None:
        world = World(instances=2, run_seconds=lambda: 1.0)
        await world.start()
        first = asyncio.create_task(
            world.submit(0, key="k", idempotent=False, payload="p")
        )
        await asyncio.sleep(0.2)
        service = world[1].service
        if reason == "draining":
            service.draining = True
        elif reason == "stale_view":
            world[1].view.fresh = False
        else:
            service.limit.enter = lambda profile, live: False  # type: ignore[method-assign]
        during = await world.submit(1, key="k", idempotent=False, payload="p")
        assert outcome(during) == (OutcomeKind.UNKNOWN, Reason(reason))
        new = await world.submit(1, idempotent=False)
        assert outcome(new) == (OutcomeKind.NOT_RUN, Reason(reason))
        answer = await first
        after = await world.submit(1, key="k", idempotent=False, payload="p")
        assert after == answer

    run_virtual(main())


def test_lost_claim_answer_still_runs_once() -> None:
    """Guards against an instance taking its own claim for that of another.

    The claim is written but its answer is lost, so the retry finds the key in use.
    """

    async def main() -> None:
        world = World()
        await world.start()
        world[0].table.fault, world[0].table.fault_calls = Fault.LOST_ANSWER, 1
        result = await world.submit(0, key="k", idempotent=False, payload="p")
        assert isinstance(result.unwrap(), Answer)
        assert world.total_runs() == {b"p": 1}

    run_virtual(main())


def test_claim_of_unknown_outcome_is_unknown_and_freed_later() -> None:
    """Guards against a key that stays blocked by a claim that was never forwarded.

    The table applies the claim, but all its answers are lost, so the receiver gives up.
    """

    async def main() -> None:
        world = World()
        await world.start()
        world[0].table.fault = Fault.LOST_ANSWER
        result = await world.submit(0, key="k", idempotent=False, payload="p")
        assert outcome(result) == UNKNOWN_STORE
        world[0].table.fault = Fault.NONE
        await asyncio.sleep(3)
        assert not world.total_runs()
        again = await world.submit(0, key="k", idempotent=False, payload="p")
        assert isinstance(again.unwrap(), Answer)

    run_virtual(main())


def test_answer_survives_store_outage_at_answer() -> None:
    """Guards against losing an answer, for the caller and for repeats.

    The table goes down while the request runs, so the answer cannot be stored at once.
    """

    async def main() -> None:
        world = World(instances=2, run_seconds=lambda: 0.5)
        await world.start()
        task = asyncio.create_task(
            world.submit(0, key="k", idempotent=False, payload="p")
        )
        await asyncio.sleep(0.2)
        world[0].table.fault = Fault.DOWN
        answer = await task
        assert isinstance(answer.unwrap(), Answer)
        waiting = asyncio.create_task(
            world.submit(1, key="k", idempotent=False, payload="p", deadline=20)
        )
        await asyncio.sleep(3)
        world[0].table.fault = Fault.NONE
        assert await waiting == answer
        assert world.total_runs() == {b"p": 1}

    run_virtual(main())


@pytest.mark.parametrize("fault", ["lost_request", "lost_reply", "wrong_id"])
def test_forward_of_unknown_outcome_is_never_repeated(fault: str) -> None:
    """Guards against a second run.

    The forward or its reply is lost, or the reply carries another id, so the receiver
    cannot know whether the request ran.
    """

    async def main() -> None:
        world = World(instances=2)
        await world.start()
        world[1].network.fault, world[1].network.fault_calls = fault, 1
        result = await world.submit(1, key="k", idempotent=False, payload="p")
        assert outcome(result)[0] is OutcomeKind.UNKNOWN
        started = world.clock.monotonic()
        again = await world.submit(0, key="k", idempotent=False, payload="p")
        assert outcome(again) == (OutcomeKind.UNKNOWN, Reason.TARGET_LOST)
        assert world.clock.monotonic() - started < 0.5
        assert world.total_runs()[b"p"] <= 1

    run_virtual(main())


def test_broken_connection_is_unknown_and_refused_start_frees_the_key() -> None:
    """Guards against a second run, and against a key that stays claimed without a run.

    The first request starts and its connection breaks; the runner refuses the second.
    """

    async def main() -> None:
        world = World()
        runner = next(iter(world.runners.values()))
        await world.start()
        runner.mode = "break_off"
        broken = await world.submit(0, key="k", idempotent=False, payload="p")
        assert outcome(broken) == (OutcomeKind.UNKNOWN, Reason.TARGET_LOST)
        runner.mode = "refuse"
        refused = await world.submit(0, key="l", idempotent=False, payload="q")
        assert outcome(refused)[0] is OutcomeKind.NOT_RUN
        runner.mode = "ok"
        await asyncio.sleep(2)
        again = await world.submit(0, key="l", idempotent=False, payload="q")
        assert isinstance(again.unwrap(), Answer)
        assert world.total_runs() == {b"p": 1, b"q": 1}

    run_virtual(main())


def test_claim_of_dead_receiver_is_unknown_at_once() -> None:
    """Guards against a second run, or a repeat that waits for its whole deadline.

    The receiver that holds the claim dies, so nobody will write the outcome.
    """

    async def main() -> None:
        world = World(instances=3, run_seconds=lambda: 30.0)
        await world.start()
        task = asyncio.create_task(
            world.submit(2, key="k", idempotent=False, payload="p", deadline=60)
        )
        await asyncio.sleep(0.2)
        del world.instances["entry-2"]
        result = await world.submit(1, key="k", idempotent=False, payload="p")
        assert outcome(result) == (OutcomeKind.UNKNOWN, Reason.TARGET_LOST)
        task.cancel()

    run_virtual(main())


def test_start_limit_holds_in_a_queue() -> None:
    """Guards against a non-idempotent request sent later than 2 s after its claim.

    All slots are taken, so the request would wait in the queue until its deadline.
    """

    async def main() -> None:
        world = World(run_seconds=lambda: 10.0)
        await world.start()
        busy = [asyncio.create_task(world.submit(0, deadline=20)) for _ in range(8)]
        await asyncio.sleep(0.1)
        started = world.clock.monotonic()
        result = await world.submit(0, key="k", idempotent=False, deadline=30)
        assert outcome(result) == (OutcomeKind.NOT_RUN, Reason.DEADLINE_BEFORE_START)
        assert world.clock.monotonic() - started < 2.1
        await asyncio.gather(*busy)

    run_virtual(main())


def test_refusal_during_a_slow_claim_elsewhere_is_unknown() -> None:
    """Guards against ``not_run`` for a key that runs later.

    Another instance is still writing the claim, so the table does not show it yet.
    """

    async def main() -> None:
        world = World(instances=2)
        await world.start()
        world[0].table.fault, world[0].table.fault_calls = Fault.LOST_REQUEST, 20
        first = asyncio.create_task(
            world.submit(0, key="k", idempotent=False, payload="p")
        )
        await asyncio.sleep(0.2)
        assert not any(key.startswith("request/") for key in world.table.state.rows)
        world[1].service.draining = True
        repeat = await world.submit(1, key="k", idempotent=False, payload="p")
        assert outcome(repeat) == (OutcomeKind.UNKNOWN, Reason.DRAINING)
        assert isinstance((await first).unwrap(), Answer)

    run_virtual(main())


def test_request_waits_for_a_new_owner_longer_than_a_claim_may_wait() -> None:
    """Guards against a refusal while a takeover is still in time for the caller.

    The only owner is lost for longer than a claimed request may wait for its start.
    """

    async def main() -> None:
        world = World(instances=3)
        await world.start()
        (partition,) = world.owners
        await world.submit(1, key="first", idempotent=False, payload="p")
        world.owners[partition] = ("", 1)
        waiting = [
            asyncio.create_task(
                world.submit(n % 3, key=f"k{n}", idempotent=False, payload=f"q{n}")
            )
            for n in range(6)
        ]
        repeat = asyncio.create_task(
            world.submit(2, key="k0", idempotent=False, payload="q0")
        )
        await asyncio.sleep(TAKEOVER_SECONDS)
        world.owners[partition] = ("entry-1", 2)
        results = await asyncio.gather(*waiting, repeat)
        assert all(isinstance(result.unwrap(), Answer) for result in results)
        assert set(world.total_runs().values()) == {1}

    run_virtual(main())


def test_request_without_an_owner_is_refused_truly_before_its_deadline() -> None:
    """Guards against claims without end, and a key that a repeat could not use.

    No instance ever takes over; afterwards the key is free for the caller's repeat.
    """

    async def main() -> None:
        world = World(instances=2)
        await world.start()
        (partition,) = world.owners
        world.owners[partition] = ("", 1)
        result = await world.submit(0, key="k", idempotent=False, payload="p")
        assert outcome(result) == (OutcomeKind.NOT_RUN, Reason.NOT_OWNER)
        world.owners[partition] = ("entry-1", 2)
        await asyncio.sleep(0.5)
        repeat = await world.submit(1, key="k", idempotent=False, payload="p")
        assert isinstance(repeat.unwrap(), Answer)
        assert world.total_runs() == {b"p": 1}

    run_virtual(main())
