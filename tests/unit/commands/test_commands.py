"""``egretctl``: its calls, output and exit codes."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import pytest
from click.testing import CliRunner, Result
from returns.result import Failure, Success
from syrupy.assertion import SnapshotAssertion

from egretloft._internal.client import ClientFailure
from egretloft.cli import ctl

PROFILE = {
    "name": "org-a",
    "organisation": "org-a",
    "region": "region-1",
    "zones": ["zone-1"],
    "guarantees": [{"count": 1, "accelerators": 8, "adjacency": "worker"}],
    "limits": {"max_accelerators": 0},
    "services": ["service-1"],
}

Invoke = Callable[..., Result]


class FakeClient:
    """Client that records its calls and returns prepared answers.

    An answer that is a list gives its items to repeated calls; the last one stays.
    """

    def __init__(self) -> None:
        self.answers: dict[tuple[str, str], Any] = {}
        self.calls: list[tuple[str, str, Any, Any]] = []

    def call(self, method: str, path: str, body: Any = None, params: Any = None) -> Any:
        self.calls.append((method, path, body, params))
        answer = self.answers[method, path]
        if isinstance(answer, list):
            answer = answer.pop(0) if len(answer) > 1 else answer[0]
        return Failure(answer) if isinstance(answer, ClientFailure) else Success(answer)


@pytest.fixture
def client(monkeypatch: pytest.MonkeyPatch) -> FakeClient:
    fake = FakeClient()
    monkeypatch.setattr(ctl, "create_client", lambda servers, timeout: fake)
    return fake


def invoke(*arguments: str) -> Result:
    return CliRunner().invoke(ctl.main, list(arguments))


def test_help_names_commands_and_exit_codes(snapshot: SnapshotAssertion) -> None:
    """Guards against an unnoticed change of the commands, options or exit codes."""
    assert invoke("--help").output == snapshot


def test_profile_change_keeps_other_fields(client: FakeClient) -> None:
    """Guards against a change of one field that sends the others empty."""
    client.answers["GET", "/v1/profiles/org-a"] = {"version": 7, "profile": PROFILE}
    client.answers["PUT", "/v1/profiles/org-a"] = {"version": 8}
    result = invoke("profile", "change", "org-a", "--guarantee", "2x16@rack")
    assert result.exit_code == 0, result.output
    body = client.calls[-1][2]
    assert body["expected_version"] == 7
    assert body["zones"] == ["zone-1"]
    shape = {"count": 2, "accelerators": 16, "adjacency": "rack"}
    assert list(body["guarantees"]) == [shape]


@pytest.mark.parametrize("value", ["2x16", "x16@rack", "2x16@moon", "-1x2@rack", ""])
def test_malformed_guarantee_is_refused(client: FakeClient, value: str) -> None:
    """Guards against a malformed shape that is only refused by the daemon."""
    result = invoke("profile", "change", "org-a", f"--guarantee={value}")
    assert result.exit_code == 2
    assert "COUNTxACCELERATORS@ADJACENCY" in result.output
    assert client.calls == []


@pytest.mark.parametrize(
    ("outcome", "code"), [("not_run", 1), ("unknown", 3), ("unreachable", 4)]
)
def test_exit_code_tells_not_run_from_unknown(
    client: FakeClient, outcome: str, code: int
) -> None:
    """Guards against an exit code that hides that a change may have been made.

    A script that takes an unknown outcome for a refusal repeats the change.
    """
    client.answers["GET", "/v1/zones"] = {"version": 3, "zones": []}
    client.answers["POST", "/v1/zones/kurume/take-out"] = ClientFailure(
        outcome, "store_unavailable", "no answer", "list the zones"
    )
    result = invoke("zone", "take-out", "kurume")
    assert result.exit_code == code
    assert f"{outcome} (store_unavailable): no answer" in result.output
    assert "hint: list the zones" in result.output


def test_wait_exits_with_the_outcome_of_the_job(
    client: FakeClient, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against exit code 0 when the awaited job failed."""
    monkeypatch.setattr("egretloft.commands.job.POLL_SECONDS", 0)
    client.answers["GET", "/v1/jobs/j1"] = [
        {"job_id": "j1", "state": "running"},
        {"job_id": "j1", "state": "failed"},
    ]
    assert invoke("job", "wait", "j1").exit_code == 6


def test_json_output_is_the_answer(client: FakeClient) -> None:
    """Guards against table text in the JSON output that scripts read."""
    client.answers["GET", "/v1/zones"] = {"zones": [], "version": 3}
    result = invoke("--output", "json", "zone", "list")
    assert result.output == '{\n  "zones": [],\n  "version": 3\n}\n'


def test_server_must_be_an_ip_and_port() -> None:
    """Guards against a malformed address that is noticed only at a timeout."""
    result = invoke("--server", "localhost:80", "status")
    assert result.exit_code == 2
    assert "IP:PORT" in result.output


@pytest.mark.parametrize("shell", ["bash", "zsh", "fish"])
def test_completion_script(shell: str) -> None:
    """Guards against a completion script without the program's name."""
    result = invoke("completion", shell)
    assert result.exit_code == 0
    assert "_EGRETCTL_COMPLETE" in result.output


CONFLICT = ClientFailure("not_run", "conflict", "the version is 4")


def zones(version: int, in_service: bool) -> dict[str, Any]:
    return {
        "version": version,
        "zones": [{"zone": "kurume", "in_service": in_service}],
    }


def test_zone_change_is_retried_after_other_changes(client: FakeClient) -> None:
    """Guards against a refused zone change after a profile changed in between."""
    client.answers["GET", "/v1/zones"] = [zones(3, True), zones(4, True)]
    client.answers["POST", "/v1/zones/kurume/take-out"] = [CONFLICT, {"version": 5}]
    result = invoke("zone", "take-out", "kurume")
    assert result.exit_code == 0, result.output
    assert client.calls[-1][2] == {"expected_version": 4}


def test_zone_change_reports_a_conflicting_zone_change(client: FakeClient) -> None:
    """Guards against a retry that reverts another operator's change of the zone."""
    client.answers["GET", "/v1/zones"] = [zones(3, False), zones(4, True)]
    client.answers["POST", "/v1/zones/kurume/bring-back"] = CONFLICT
    result = invoke("zone", "bring-back", "kurume")
    assert result.exit_code == 1
    assert "conflict" in result.output
    assert len([call for call in client.calls if call[0] == "POST"]) == 1
