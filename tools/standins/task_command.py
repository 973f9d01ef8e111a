"""Commands that tasks of the worker stand-in carry out.

- ``work SECONDS [RESULT]``: work, then finish with the result.
- ``fail [SECONDS]``: work, then fail.
- ``fail-on WORKER[,WORKER...] [SECONDS]``: like ``fail`` on these workers and like
  ``work`` on others.

``sleep`` is the same as ``work``.
"""

from __future__ import annotations

import math
from dataclasses import dataclass

from returns.result import Failure, Result, Success


@dataclass(slots=True, frozen=True)
class TaskCommand:
    """Seconds of unthrottled work and how the task then ends."""

    seconds: float
    fails: bool
    result: str = ""


def parse_command(text: str, worker_id: str) -> Result[TaskCommand, str]:
    """Return what the command means on the worker, or why it is malformed."""
    match text.split():
        case ["work" | "sleep", seconds, *result] if len(result) <= 1:
            return _seconds(seconds).map(
                lambda value: TaskCommand(value, False, "".join(result))
            )
        case ["fail", *rest] if len(rest) <= 1:
            return _seconds(*rest).map(lambda value: TaskCommand(value, True))
        case ["fail-on", workers, *rest] if len(rest) <= 1:
            fails = worker_id in workers.split(",")
            return _seconds(*rest).map(lambda value: TaskCommand(value, fails))
    return Failure(f"unknown task command: {text[:100]!r}")


def _seconds(text: str = "0") -> Result[float, str]:
    try:
        value = float(text)
    except ValueError:
        return Failure(f"not a number of seconds: {text[:100]!r}")
    if not math.isfinite(value) or value < 0:
        return Failure(f"not a number of seconds: {text[:100]!r}")
    return Success(value)
