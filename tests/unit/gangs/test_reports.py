"""Gang owner reports as read by other instances."""

from __future__ import annotations

from types import SimpleNamespace
from typing import Any

from egretloft._internal.gangs.reports import create_gang_reports


class FakeOwner:
    """A gang owner with or without a session."""

    def __init__(self, session: object) -> None:
        self.session = session

    def queued_jobs(self) -> dict[str, int]:
        return {"org-a": 3}

    def degraded_guarantees(self) -> dict[str, int]:
        return {"org-b": 16}


def build_reports(
    owner: str | None, heartbeats: dict[str, Any], session: object
) -> Any:
    ownership = SimpleNamespace(
        owner_of=lambda partition: SimpleNamespace(instance_id=owner) if owner else None
    )
    network = SimpleNamespace(last_heartbeat=lambda name: heartbeats.get(name, {}))
    return create_gang_reports("region-1", FakeOwner(session), ownership, network)


def test_other_instances_read_the_owners_report() -> None:
    """Guards against a limit of queued jobs that is enforced only at the owner.

    Jobs are submitted at any instance, but only the owner counts the queued jobs.
    """
    report = build_reports(None, {}, object()).heartbeat()
    reader = build_reports("i1", {"i1": report}, None)
    assert reader.queued_jobs("org-a") == 3
    assert reader.queued_jobs("org-b") == 0
    assert reader.degraded_guarantees() == [
        {"profile": "org-b", "accelerators_missing": 16}
    ]


def test_nothing_is_reported_without_an_owner() -> None:
    """Guards against stale counts and errors while there is no usable report.

    There is no owner, or its heartbeat has not arrived or is malformed.
    """
    assert build_reports(None, {}, None).heartbeat() == {}
    for reports in (
        build_reports(None, {}, None),
        build_reports("i1", {}, None),
        build_reports("i1", {"i1": {"queued_jobs": "no dict"}}, None),
    ):
        assert reports.queued_jobs("org-a") == 0
        assert reports.degraded_guarantees() == []
