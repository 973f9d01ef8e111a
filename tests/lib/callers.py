"""HTTP calls to entry instances, and records of sent requests and jobs."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field
from typing import Any

import aiohttp
import msgspec
import xxhash

# Outcomes in addition to those of the API: the connection could not be made, or it
# closed or timed out without a complete answer.
UNREACHABLE = "unreachable"
LOST = "lost"
# Time that a caller waits for the answer after the deadline of its request.
REPLY_GRACE_SECONDS = 3.0


@dataclass(slots=True, frozen=True)
class Reply:
    """An answer of the API; without one, ``status`` is 0 and the body says why."""

    status: int
    body: dict[str, Any]
    instance_id: str

    @property
    def outcome(self) -> str:
        """Outcome in the body, ``unreachable``, ``lost`` or ``malformed``.

        The API answers with ``completed``, ``not_run`` or ``unknown``.
        """
        return str(self.body.get("outcome", "malformed"))

    @property
    def reason(self) -> str:
        """Reason of a refusal, empty if there is none."""
        return str(self.body.get("reason", ""))


@dataclass(slots=True)
class SentRequest:
    """A service request and all replies to it, oldest first."""

    key: str
    organisation: str
    profile: str
    idempotent: bool
    payload: str
    echo: str
    deadline_seconds: float
    replies: list[Reply] = field(default_factory=list)

    @property
    def payload_digest(self) -> str:
        """Digest by which runners identify the payload in their records."""
        return xxhash.xxh64_hexdigest(self.payload.encode())

    @property
    def outcome(self) -> str:
        """Outcome of the last reply; ``pending`` before the first."""
        return self.replies[-1].outcome if self.replies else "pending"

    def body(self) -> dict[str, object]:
        """Return the JSON body of the API call."""
        return {
            "organisation": self.organisation,
            "profile": self.profile,
            "deadline_ms": int(self.deadline_seconds * 1000),
            "idempotency_key": self.key,
            "idempotent": self.idempotent,
            "payload": self.payload,
        }


@dataclass(slots=True)
class SentJob:
    """A submitted job and its last known state."""

    body: dict[str, Any]
    job_id: str = ""
    state: str = "refused"
    reason: str = ""
    results: list[str] = field(default_factory=list)

    def update(self, answer: dict[str, Any]) -> None:
        """Store the state of the job from an answer of the API."""
        self.job_id = answer["job_id"]
        self.state = answer["state"]
        self.reason = answer.get("reason", "")
        self.results = list(answer.get("results", ()))


async def call(
    session: aiohttp.ClientSession,
    instance_id: str,
    method: str,
    url: str,
    body: object = None,
    timeout_seconds: float = 5.0,
) -> Reply:
    """Call the API; a failed call is reported as the outcome of the reply."""
    try:
        async with session.request(
            method,
            url,
            data=None if body is None else msgspec.json.encode(body),
            headers={"Content-Type": "application/json"},
            timeout=aiohttp.ClientTimeout(total=timeout_seconds),
        ) as answer:
            content = await answer.read()
    except aiohttp.ClientConnectorError:
        return Reply(0, {"outcome": UNREACHABLE}, instance_id)
    except (aiohttp.ClientError, TimeoutError, asyncio.IncompleteReadError):
        return Reply(0, {"outcome": LOST}, instance_id)
    try:
        decoded = msgspec.json.decode(content, type=dict[str, Any])
    except msgspec.DecodeError:
        decoded = {"outcome": "malformed", "message": repr(content[:200])}
    return Reply(answer.status, decoded, instance_id)
