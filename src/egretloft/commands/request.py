"""``egretctl request``: send one request to a service."""

from __future__ import annotations

import uuid

import click

from egretloft.commands.base import Context, pass_context


@click.command()
@click.argument("service")
@click.argument("payload")
@click.option("--organisation", required=True)
@click.option("--profile", required=True)
@click.option("--deadline-ms", type=click.IntRange(1, 600_000), default=10_000)
@click.option("--idempotent/--non-idempotent", default=False)
@click.option(
    "--idempotency-key",
    help="Key for safe retries: a repeat with the same key returns the first outcome. "
    "Default: a random key.",
)
@pass_context
def request(
    context: Context,
    service: str,
    payload: str,
    organisation: str,
    profile: str,
    deadline_ms: int,
    idempotent: bool,
    idempotency_key: str | None,
) -> None:
    """Send PAYLOAD to SERVICE and print the answer."""
    body = {
        "organisation": organisation,
        "profile": profile,
        "deadline_ms": deadline_ms,
        "idempotency_key": idempotency_key or uuid.uuid4().hex,
        "idempotent": idempotent,
        "payload": payload,
    }
    answer = context.call("POST", f"/v1/services/{service}/requests", body)
    context.show(answer, [answer], ("request_id", "runner", "zone", "answer"))
