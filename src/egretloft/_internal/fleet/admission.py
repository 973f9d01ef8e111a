"""Checks calls against the operators' configuration.

Operators rely on a change being in force everywhere within a bound. An instance that
cannot read their table does not know whether its configuration is still the newest
one, so it answers by it only for as long as the bound allows. After that it refuses
all calls; another instance may serve the caller's next one.
"""

from __future__ import annotations

from collections.abc import Callable

from returns.result import Failure, Result, Success

from egretloft._internal.fleet.constants import CLOCK_MARGIN_SECONDS
from egretloft._internal.fleet.intake import (
    Caller,
    IntakeRefusal,
    IntakeRefusalKind,
)
from egretloft._internal.fleet.models import Configuration, Organisation
from egretloft._internal.fleet.retry_after import retry_after_seconds


class Admission:
    """Admits calls by a configuration that is known to be recent enough.

    ``age_seconds`` returns how long ago the configuration was last known to be the
    newest one, ``outage_seconds`` for how long the store has not been reached, or
    ``None`` if it is.
    """

    def __init__(
        self,
        configuration: Callable[[], Configuration | None],
        age_seconds: Callable[[], float],
        outage_seconds: Callable[[], float | None],
        in_force_seconds: float,
    ) -> None:
        self.configuration = configuration
        self.age_seconds = age_seconds
        self.outage_seconds = outage_seconds
        self.max_age_seconds = in_force_seconds - CLOCK_MARGIN_SECONDS

    def admit(self, host: str, path: str, key: str) -> Result[Caller, IntakeRefusal]:
        """Find the queue and the organisation of a call."""
        configuration = self.configuration()
        if configuration is None:
            return self.refuse_for_now(
                IntakeRefusalKind.NO_CONFIGURATION,
                "this instance has not read a configuration yet",
            )
        age = self.age_seconds()
        if age > self.max_age_seconds:
            return self.refuse_for_now(
                IntakeRefusalKind.OUTDATED_CONFIGURATION,
                f"changes of the configuration cannot be read since {age:.1f} s",
            )
        return find_caller(configuration, host, path, key)

    def refuse_for_now(
        self, kind: IntakeRefusalKind, message: str
    ) -> Failure[IntakeRefusal]:
        """Return a refusal of a call that may succeed later."""
        retry_after = retry_after_seconds(self.outage_seconds())
        return Failure(IntakeRefusal(kind, message, retry_after))


def find_caller(
    configuration: Configuration, host: str, path: str, key: str
) -> Result[Caller, IntakeRefusal]:
    """Find the queue and the organisation of a call in a configuration."""
    queue = configuration.find_queue(host, path)
    if queue is None:
        return Failure(
            IntakeRefusal(
                IntakeRefusalKind.UNKNOWN_QUEUE,
                f"no queue is configured for host {host!r} and path {path!r}",
            )
        )
    organisation: Organisation | None = configuration.organisation_of_key(key)
    if organisation is None and not queue.public:
        return Failure(IntakeRefusal(IntakeRefusalKind.UNKNOWN_KEY, "unknown API key"))
    name = organisation.name if organisation else ""
    return Success(Caller(queue, name, configuration.version))


def create_admission(
    configuration: Callable[[], Configuration | None],
    age_seconds: Callable[[], float],
    outage_seconds: Callable[[], float | None],
    in_force_seconds: float,
) -> Admission:
    """Return an admission for changes that are in force after ``in_force_seconds``."""
    return Admission(configuration, age_seconds, outage_seconds, in_force_seconds)
