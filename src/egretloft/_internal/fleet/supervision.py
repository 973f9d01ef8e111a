"""Keeps periodic work going when one row or one call fails unexpectedly."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable, Iterable

import structlog

from egretloft._internal.fleet.interfaces import StoredRow
from egretloft._internal.metrics import Metrics

log = structlog.get_logger(__name__)

# Pause before failed work begins again, so that a lasting fault does not take the
# processor.
RESTART_SECONDS = 0.2


async def keep_running(
    name: str, work: Callable[[], Awaitable[None]], metrics: Metrics
) -> None:
    """Run ``work`` until it returns; begin it again after an unexpected exception.

    Without this, a fault that passes would end the work for the life of the process.
    """
    while True:
        try:
            await work()
        except Exception:
            metrics.count("task_errors", task=name)
            log.exception("background task failed, starting it again", task=name)
            await asyncio.sleep(RESTART_SECONDS)
        else:
            return


def apply_each(
    rows: Iterable[StoredRow], apply: Callable[[StoredRow], None], metrics: Metrics
) -> None:
    """Apply rows one by one; one that fails unexpectedly is logged and passed over."""
    for row in rows:
        try:
            apply(row)
        except Exception:
            metrics.count("row_errors", table=row.key.table)
            log.exception(
                "row cannot be applied",
                table=row.key.table,
                key=row.key.key,
                version=row.version,
            )
