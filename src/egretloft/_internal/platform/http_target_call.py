"""Classification of failed calls to workers and runners."""

from __future__ import annotations

import msgspec
from returns.result import Failure, Result

from egretloft._internal.platform.http_call import HttpFailure, HttpResponse
from egretloft._internal.platform.protocols import CallFailure, CallFailureKind


class TargetError(msgspec.Struct):
    """Body of an answer that is not 200; ``error`` is ``refused`` or ``failed``."""

    error: str
    message: str = ""


def classify_failure(
    result: Result[HttpResponse, HttpFailure],
) -> Failure[CallFailure]:
    """Return what is known after an exchange that did not give a 200 answer.

    Only an answer whose body says ``refused`` is taken as a refusal. Status codes
    alone do not tell whether the target acted.
    """
    match result:
        case Failure(failure) if not failure.sent:
            return Failure(CallFailure(CallFailureKind.NOT_SENT, failure.message))
        case Failure(failure):
            return Failure(CallFailure(CallFailureKind.UNKNOWN, failure.message))
    answer = result.unwrap()
    try:
        error = msgspec.json.decode(answer.body, type=TargetError)
    except (msgspec.DecodeError, RecursionError):
        return unknown_outcome(f"status {answer.status} without a readable body")
    if answer.status >= 400 and error.error == "refused":
        return Failure(CallFailure(CallFailureKind.REFUSED, error.message))
    return unknown_outcome(f"status {answer.status}: {error.message}")


def unknown_outcome(message: str) -> Failure[CallFailure]:
    """Return a failure of a call that may have had an effect."""
    return Failure(CallFailure(CallFailureKind.UNKNOWN, message))
