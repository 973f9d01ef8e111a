"""Runs non-idempotent requests at most once for each idempotency key.

The receiver claims the key in the table, forwards the request and stores the answer,
which a repeat of the key then gets.
"""

from __future__ import annotations

import asyncio
from collections.abc import Coroutine
from typing import Any

import msgspec
import structlog
from returns.result import Failure, Result, Success

from egretloft._internal.metrics import Metrics
from egretloft._internal.models.outcomes import (
    OutcomeKind,
    Reason,
    Refusal,
    not_run,
    outcome_unknown,
)
from egretloft._internal.models.requests import (
    Answer,
    RecordState,
    RequestRecord,
    ServiceRequest,
)
from egretloft._internal.platform.protocols import Clock
from egretloft._internal.requests.delivery import (
    OWNER_WAIT_SECONDS,
    REROUTE_REASONS,
    Delivery,
)
from egretloft._internal.requests.interfaces import PeerNetwork, View
from egretloft._internal.requests.key_memory import KeyMemory
from egretloft._internal.requests.messages import (
    KEY_QUERY_TYPE,
    KeyQuery,
    KeyReply,
    encode_message,
)
from egretloft._internal.requests.records import (
    Claim,
    ClaimFailureKind,
    RequestRecords,
    body_digest,
    record_key,
    store_unavailable,
)

log = structlog.get_logger(__name__)

# The limit on the time from the claim of the key until the request is sent to a runner.
# A takeover of a runner group can last longer, so the key is then claimed again.
CLAIM_TO_START_SECONDS = 2.0
# With less time left than this, a claim is not repeated, as it could not wait for an
# owner.
MIN_OWNER_WAIT_SECONDS = 0.2
# The longest that a caller's answer is held back until its record is written.
STORE_WAIT_SECONDS = 1.0
QUERY_TIMEOUT_SECONDS = 0.5
# A check reads the table and asks every member, so a flood of refusals must not start
# one each. Refusals beyond this number of checks are answered ``unknown`` unchecked.
MAX_REFUSAL_CHECKS = 32
FIRST_POLL_PAUSE_SECONDS = 0.05
LONGEST_POLL_PAUSE_SECONDS = 0.5


class NonIdempotentRequests:
    """Runs a request at most once for each key, also when instances or stores fail."""

    def __init__(
        self,
        instance_id: str,
        view: View,
        network: PeerNetwork,
        records: RequestRecords,
        delivery: Delivery,
        memory: KeyMemory,
        clock: Clock,
        metrics: Metrics,
    ) -> None:
        self.instance_id = instance_id
        self.view = view
        self.network = network
        self.records = records
        self.delivery = delivery
        self.memory = memory
        self.clock = clock
        self.metrics = metrics
        # Request ids of this instance's submissions whose row may still change.
        self.open_claims: set[str] = set()
        self.refusal_checks = 0
        # The write that ends a claim (answer, release or unknown), by request id.
        self.final_writes: dict[str, asyncio.Task[bool]] = {}

    async def run(
        self, request: ServiceRequest, deadline: float
    ) -> tuple[Result[Answer, Refusal], bool]:
        """Return the outcome, and whether this submission itself ran the request."""
        self.open_claims.add(request.request_id)
        result = await self._claim_and_run(request, deadline)
        if request.request_id not in self.final_writes:
            self.open_claims.discard(request.request_id)
        return result

    async def _claim_and_run(
        self, request: ServiceRequest, deadline: float
    ) -> tuple[Result[Answer, Refusal], bool]:
        owner_wait_ends = self.clock.monotonic() + OWNER_WAIT_SECONDS
        while True:
            remaining = deadline - self.clock.monotonic()
            if remaining <= 0:
                refusal = not_run(Reason.DEADLINE_PASSED, "the deadline has passed")
                return await self.refuse(request, refusal), False
            claimed = await self.records.claim(request, remaining)
            if isinstance(claimed, Failure):
                failure = claimed.failure()
                if failure.kind is ClaimFailureKind.RELEASED:
                    await asyncio.sleep(FIRST_POLL_PAUSE_SECONDS)
                    continue
                if failure.kind is ClaimFailureKind.NOT_WRITTEN:
                    refusal = not_run(Reason.STORE_UNAVAILABLE, failure.message)
                    return await self.refuse(request, refusal), False
                if failure.kind is ClaimFailureKind.UNKNOWN:
                    self._start_final_write(request, self.records.abandon(request))
                return Failure(store_unavailable(failure.message)), False
            holder = claimed.unwrap()
            if isinstance(holder, Claim):
                self.open_claims.add(request.request_id)
                outcome, released = await self._run_claimed(request, holder, deadline)
                latest = min(deadline, owner_wait_ends) - MIN_OWNER_WAIT_SECONDS
                may_wait = released and self.clock.monotonic() < latest
                if may_wait and lacks_owner(outcome):
                    self.metrics.count("request_reclaims")
                    continue
                return outcome, True
            result = await self._await_first_request(request, holder, deadline)
            if result is not None:
                return result, False

    async def refuse(
        self, request: ServiceRequest, refusal: Refusal
    ) -> Result[Answer, Refusal]:
        """Return the outcome of a submission that is refused without a claim.

        An earlier submission of the same key may have run. The refusal stays
        ``not_run`` only if that is ruled out; otherwise it becomes ``unknown``. If the
        key has a stored answer, that answer is returned.
        """
        unknown = outcome_unknown(
            refusal.reason,
            f"{refusal.message}; the key may have been used before",
            "repeat the request with the same key",
        )
        if self.refusal_checks >= MAX_REFUSAL_CHECKS:
            return Failure(unknown)
        self.refusal_checks += 1
        try:
            return await self._check_refusal(request, refusal, unknown)
        finally:
            self.refusal_checks -= 1

    async def _check_refusal(
        self, request: ServiceRequest, refusal: Refusal, unknown: Refusal
    ) -> Result[Answer, Refusal]:
        key = record_key(request)
        found = await self.records.read(key)
        if isinstance(found, Success):
            row = found.unwrap()
            if row is not None:
                record = row[0]
                if record.body_digest != body_digest(request):
                    return Failure(key_reused())
                if record.state is RecordState.ANSWERED:
                    return await self.records.load_answer(record)
                return Failure(unknown)
            # A claim that another instance is still writing is not in the table yet;
            # only that instance knows the key.
            if await self._is_unseen(key, require_complete=False):
                return Failure(refusal)
        elif await self._is_unseen(key, require_complete=True):
            return Failure(refusal)
        return Failure(unknown)

    def answer_query(self, query: KeyQuery) -> KeyReply:
        """Answer another instance's query whether this one has received a key."""
        return KeyReply(not self.memory.was_seen(query.key), self.memory.is_complete())

    async def _is_unseen(self, key: str, require_complete: bool) -> bool:
        """Ask all members whether any has received the key.

        ``require_complete`` also requires that no member can have lost keys, for
        example those that a member received before it left the roster.
        """
        own = KeyReply(not self.memory.was_seen(key, 1), self.memory.is_complete())
        others = [name for name in self.view.members if name != self.instance_id]
        query = encode_message(KeyQuery(key))
        results = await asyncio.gather(
            *(
                self.network.call(name, KEY_QUERY_TYPE, query, QUERY_TIMEOUT_SECONDS)
                for name in others
            )
        )
        replies = [own]
        for result in results:
            if isinstance(result, Failure):
                return False
            try:
                replies.append(msgspec.convert(result.unwrap(), KeyReply))
            except msgspec.ValidationError:
                return False
        return all(
            reply.unseen and (reply.sure or not require_complete) for reply in replies
        )

    async def _run_claimed(
        self, request: ServiceRequest, claim: Claim, deadline: float
    ) -> tuple[Result[Answer, Refusal], bool]:
        """Return the outcome, and whether the key was released without a run."""
        start_by = min(deadline, self.clock.monotonic() + CLAIM_TO_START_SECONDS)
        result = await self.delivery.deliver(request, deadline, start_by)
        if isinstance(result, Success):
            final_write = self.records.store_answer(claim, result.unwrap())
        elif is_not_run(result.failure()):
            final_write = self.records.release(claim)
        else:
            final_write = self.records.mark_unknown(claim)
        task = self._start_final_write(request, final_write)
        remaining = deadline - self.clock.monotonic()
        await asyncio.wait({task}, timeout=max(0, min(remaining, STORE_WAIT_SECONDS)))
        released = isinstance(result, Failure) and is_not_run(result.failure())
        return result, released and task.done() and is_written(task)

    async def _await_first_request(
        self, request: ServiceRequest, record: RequestRecord, deadline: float
    ) -> Result[Answer, Refusal] | None:
        """Wait for the first request with the key and return its outcome.

        Returns ``None`` if the key was released, so that it may be claimed again.
        """
        key = record_key(request)
        if record.body_digest != body_digest(request):
            return Failure(key_reused())
        self.metrics.count("request_repeats")
        pause = FIRST_POLL_PAUSE_SECONDS
        refusal = outcome_unknown(
            Reason.IN_PROGRESS, "the first request with this key has no answer yet"
        )
        while True:
            if record.state is RecordState.ANSWERED:
                return await self.records.load_answer(record)
            if record.state is RecordState.UNKNOWN or not self._may_complete(
                key, record
            ):
                return Failure(
                    outcome_unknown(
                        Reason.TARGET_LOST,
                        "the outcome of the first request with this key is unknown",
                    )
                )
            remaining = deadline - self.clock.monotonic()
            if remaining <= 0:
                return Failure(refusal)
            await asyncio.sleep(min(pause, remaining))
            pause = min(2 * pause, LONGEST_POLL_PAUSE_SECONDS)
            found = await self.records.read(key)
            if isinstance(found, Failure):
                refusal = store_unavailable(found.failure())
                continue
            row = found.unwrap()
            if row is None:
                return None
            record = row[0]

    def _may_complete(self, key: str, record: RequestRecord) -> bool:
        if record.instance_id == self.instance_id:
            return record.request_id in self.open_claims
        return record.instance_id in self.view.members

    def _start_final_write(
        self, request: ServiceRequest, write: Coroutine[Any, Any, bool]
    ) -> asyncio.Task[bool]:
        request_id = request.request_id

        def finish(task: asyncio.Task[bool]) -> None:
            self.final_writes.pop(request_id, None)
            self.open_claims.discard(request_id)
            if not is_written(task):
                self.metrics.count("request_records_not_settled")
                log.warning(
                    "final state of the request record not written",
                    request_id=request_id,
                )

        task = asyncio.create_task(write)
        self.final_writes[request_id] = task
        task.add_done_callback(finish)
        return task


def is_not_run(refusal: Refusal) -> bool:
    """Return whether the request certainly did not run."""
    return refusal.kind is OutcomeKind.NOT_RUN


def lacks_owner(result: Result[Answer, Refusal]) -> bool:
    """Return whether the request was refused because its group changes its owner."""
    return isinstance(result, Failure) and result.failure().reason in REROUTE_REASONS


def is_written(task: asyncio.Task[bool]) -> bool:
    """Return whether a finished write is confirmed by the store."""
    return not task.cancelled() and task.exception() is None and task.result()


def key_reused() -> Refusal:
    """Return the refusal of a key that belongs to another request."""
    return not_run(
        Reason.KEY_REUSED,
        "the key was used for a request with another body",
        "use a new key for a new request",
    )


def create_non_idempotent_requests(
    instance_id: str,
    *,
    view: View,
    network: PeerNetwork,
    records: RequestRecords,
    delivery: Delivery,
    memory: KeyMemory,
    clock: Clock,
    metrics: Metrics,
) -> NonIdempotentRequests:
    """Return the handler of non-idempotent requests."""
    return NonIdempotentRequests(
        instance_id, view, network, records, delivery, memory, clock, metrics
    )
