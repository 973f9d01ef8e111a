"""Library interface: the coordination components, for use without the daemon.

The names in ``__all__`` are the public interface; docs/library.md has examples.
"""

from egretloft._internal.coordination.assembly import (
    BEAT_PERIOD_SECONDS,
    REFRESH_PERIOD_SECONDS,
    TICK_PERIOD_SECONDS,
    Coordination,
    create_coordination,
)
from egretloft._internal.coordination.ownership import Epoch, Ownership
from egretloft._internal.coordination.view import View
from egretloft._internal.coordination.writer import SafeWriter, create_safe_writer
from egretloft._internal.metrics import Metrics, create_metrics
from egretloft._internal.models.members import Member
from egretloft._internal.models.outcomes import OutcomeKind, Reason, Refusal
from egretloft._internal.models.profiles import Limits, Profile
from egretloft._internal.peers.network import PeerNetwork, create_peer_network
from egretloft._internal.platform.protocols import (
    Check,
    Clock,
    StoreFailure,
    StoreFailureKind,
    TableService,
    Transaction,
    Write,
)
from egretloft._internal.platform.system_clock import create_system_clock
from egretloft._internal.requests.limits import InFlightLimit, create_in_flight_limit
from egretloft._internal.requests.retry_budget import RetryBudget, create_retry_budget

__all__ = [
    "BEAT_PERIOD_SECONDS",
    "REFRESH_PERIOD_SECONDS",
    "TICK_PERIOD_SECONDS",
    "Check",
    "Clock",
    "Coordination",
    "Epoch",
    "InFlightLimit",
    "Limits",
    "Member",
    "Metrics",
    "OutcomeKind",
    "Ownership",
    "PeerNetwork",
    "Profile",
    "Reason",
    "Refusal",
    "RetryBudget",
    "SafeWriter",
    "StoreFailure",
    "StoreFailureKind",
    "TableService",
    "Transaction",
    "View",
    "Write",
    "create_coordination",
    "create_in_flight_limit",
    "create_metrics",
    "create_peer_network",
    "create_retry_budget",
    "create_safe_writer",
    "create_system_clock",
]
