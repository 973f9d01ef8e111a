"""When callers should return whose calls the store cannot serve now.

Callers retry a few times only, so they have to be spread over the likely length of the
outage. Of an outage that has lasted for some seconds, about as many are still to come.
A caller with a near deadline is told a time before it.
"""

from __future__ import annotations

import math

# For a single refusal of a store that serves other calls.
SHORT_RETRY_SECONDS = 1
# Shortest and longest times while the store is not reached at all.
MIN_OUTAGE_RETRY_SECONDS = 2
MAX_OUTAGE_RETRY_SECONDS = 5
# Callers return after this share of the time that the outage has lasted.
OUTAGE_SHARE = 0.5
# Callers are not told more than this share of the time that is left to them.
PATIENCE_SHARE = 0.4


def retry_after_seconds(
    outage_seconds: float | None, patience_seconds: float = math.inf
) -> int:
    """Return the seconds after which a caller should return.

    ``outage_seconds`` is how long the store has not been reached, ``None`` if it is.
    ``patience_seconds`` is the time that is left until the caller's deadline.
    """
    if outage_seconds is None:
        return SHORT_RETRY_SECONDS
    seconds = max(MIN_OUTAGE_RETRY_SECONDS, math.ceil(outage_seconds * OUTAGE_SHARE))
    latest = min(float(MAX_OUTAGE_RETRY_SECONDS), patience_seconds * PATIENCE_SHARE)
    return max(SHORT_RETRY_SECONDS, math.floor(min(float(seconds), latest)))
