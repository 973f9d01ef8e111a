"""Fencing tokens, by which a target refuses outdated calls.

A target refuses each call whose token is lower than the highest one that it has seen. A
token rises with the leader's epoch and, within a term, with each restart of a target
that the leader hears of. Once a new incarnation has answered a call with its token, it
refuses late copies of whatever was sent to its former incarnations.
"""

from __future__ import annotations

# A token is the epoch shifted by this many bits plus a count of restarts, so the tokens
# of a term are above those of all earlier terms.
RESTARTS_PER_TERM_BITS = 20
MAX_RESTARTS = (1 << RESTARTS_PER_TERM_BITS) - 1


def fencing_token(epoch: int, restarts: int) -> int:
    """Return the token after ``restarts`` of a term; the last one is never exceeded."""
    return (epoch << RESTARTS_PER_TERM_BITS) + min(restarts, MAX_RESTARTS)
