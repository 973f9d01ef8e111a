"""HTTP responses for refusals."""

from __future__ import annotations

import json

import pytest

from egretloft._internal.http.responses import refusal_response
from egretloft._internal.metrics import create_metrics
from egretloft._internal.models.outcomes import Reason, not_run, outcome_unknown


@pytest.mark.parametrize("reason", Reason)
def test_unknown_outcomes_never_invite_a_retry(reason: Reason) -> None:
    """Guards against a proxy retrying a request that may have run.

    Proxies retry a 503 and responses with ``Retry-After``.
    """
    response = refusal_response(outcome_unknown(reason, "m"), create_metrics())
    assert response.status in {502, 504}
    assert "Retry-After" not in response.headers


def test_refusal_is_complete_and_counted() -> None:
    """Guards against refusals without a reason or hint, or not counted."""
    metrics = create_metrics()
    refusal = not_run(Reason.STALE_VIEW, "no view", "repeat")
    response = refusal_response(refusal, metrics)
    assert response.status == 503
    assert response.headers["Retry-After"] == "1"
    assert json.loads(response.text or "") == {
        "outcome": "not_run",
        "reason": "stale_view",
        "message": "no view",
        "hint": "repeat",
    }
    assert metrics.counter("refusals", reason="stale_view") == 1
