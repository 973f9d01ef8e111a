"""Executions of one runner stand-in, without I/O. Times are Unix seconds."""

from __future__ import annotations

from dataclasses import dataclass, field

import xxhash


@dataclass(slots=True)
class RunnerState:
    """A runner that executes every request, and records when it is overloaded."""

    runner_id: str
    zone: str
    service: str
    slots: int
    max_connections: int
    in_use: int = 0
    max_in_use: int = 0
    overloads: int = 0
    refused_connections: int = 0
    # Times of every start of a request id, its ends and the digest of its payload.
    starts: dict[str, list[float]] = field(default_factory=dict)
    ends: dict[str, list[float]] = field(default_factory=dict)
    payload_digests: dict[str, str] = field(default_factory=dict)
    refused_starts: list[dict[str, object]] = field(default_factory=list)

    def begin(self, request_id: str, payload: bytes, now: float) -> None:
        """Record the start of an execution."""
        self.in_use += 1
        self.max_in_use = max(self.max_in_use, self.in_use)
        self.overloads += self.in_use > self.slots
        self.starts.setdefault(request_id, []).append(now)
        self.payload_digests[request_id] = xxhash.xxh64_hexdigest(payload)

    def end(self, request_id: str, now: float) -> None:
        """Record the end of an execution."""
        self.in_use -= 1
        self.ends.setdefault(request_id, []).append(now)

    def refuse(self, request_id: str, now: float, start_before: float) -> None:
        """Record a start that came too late."""
        self.refused_starts.append(
            {"request_id": request_id, "at": now, "start_before": start_before}
        )

    def facts(self) -> dict[str, object]:
        """Return what was recorded for tests, as plain data."""
        return {
            "runner_id": self.runner_id,
            "zone": self.zone,
            "service": self.service,
            "slots": self.slots,
            "connection_limit": self.max_connections,
            "in_use": self.in_use,
            "max_in_use": self.max_in_use,
            "overloads": self.overloads,
            "refused_connections": self.refused_connections,
            "starts": self.starts,
            "ends": self.ends,
            "duplicates": [key for key, times in self.starts.items() if len(times) > 1],
            "payload_digests": self.payload_digests,
            "refused_starts": self.refused_starts,
        }
