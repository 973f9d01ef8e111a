"""Callers of entry instances: requests, jobs and what they were told."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field
from typing import Any

import aiohttp
import msgspec
import xxhash

# Outcomes besides those of the API: the connection was refused, or it ended or timed
# out without an answer.
UNREACHABLE = "unreachable"
LOST = "lost"
# How much longer than the deadline of its request a caller waits.
PATIENCE_SECONDS = 3.0


@dataclass(slots=True, frozen=True)
class Reply:
    """An answer of the API, or status 0 and an outcome for none."""

    status: int
    body: dict[str, Any]
    instance_id: str

    @property
    def outcome(self) -> str:
        """``completed``, ``not_run``, ``unknown``, ``unreachable`` or ``lost``."""
        return str(self.body.get("outcome", "malformed"))

    @property
    def reason(self) -> str:
        """Reason of a refusal."""
        return str(self.body.get("reason", ""))


@dataclass(slots=True)
class SentRequest:
    """A service request and all replies to it, in order."""

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
        """Digest under which runners record the payload."""
        return xxhash.xxh64_hexdigest(self.payload.encode())

    @property
    def outcome(self) -> str:
        """Outcome of the last reply; ``pending`` before the first."""
        return self.replies[-1].outcome if self.replies else "pending"

    def body(self) -> dict[str, object]:
        """Return the body of the API call."""
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
        """Take over what the API says about the job."""
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
    """Call the API; failures are outcomes of the reply."""
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
