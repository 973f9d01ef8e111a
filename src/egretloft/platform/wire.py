"""Messages of the platform, as ``msgspec`` structs with the platform's names.

A row's ``schema_version`` is the version of its last write, not that of a schema.
"""

from __future__ import annotations

from typing import Annotated, Any

import msgspec

# Larger whole numbers are not exact in every JSON implementation.
MAX_COUNT = 1 << 53

Count = Annotated[int, msgspec.Meta(ge=0, le=MAX_COUNT)]
Milliseconds = Annotated[float, msgspec.Meta(ge=0, le=MAX_COUNT)]
Factor = Annotated[float, msgspec.Meta(ge=0, le=MAX_COUNT)]


class WireRow(msgspec.Struct):
    """A row of the store; ``value`` is base64, ``deleted`` marks a removed row."""

    table_name: str
    part: str
    key: str
    value: str = ""
    schema_version: int = 0
    deleted: bool = False


class WireRows(msgspec.Struct):
    """Answer to a read, a feed or a transaction; after a conflict, the current rows."""

    rows: list[WireRow] = []
    schema_version: int = 0
    has_more: bool = False


class WireExpectation(msgspec.Struct):
    """The version that a row must have; 0 means that the row must be absent."""

    table_name: str
    part: str
    key: str
    schema_version: int


class WireWrite(msgspec.Struct):
    """A row to write."""

    table_name: str
    part: str
    key: str
    value: str


class WireRemove(msgspec.Struct):
    """A row to remove."""

    table_name: str
    part: str
    key: str


class WireTransaction(msgspec.Struct):
    """Body of a call of ``/rows-tx``; ``expected_revision`` lists its conditions."""

    expected_revision: list[WireExpectation]
    write: list[WireWrite]
    remove: list[WireRemove]


class WireRoom(msgspec.Struct):
    """Resources; ``cpu`` is in thousandths of a core."""

    cpu: Count = 0
    mem_mb: Count = 0
    gpus: Count = 0


class WireServer(msgspec.Struct):
    """An entry of the table ``servers``: a runner's report about itself.

    ``backend`` is its service, ``labels`` starts with its kind and its rack, and
    ``born`` tells its incarnations apart; ``remaining_ms`` is how long a draining one
    stays at least. ``free_resources`` is read as its whole capacity: what runs take is
    not subtracted from it.
    """

    backend: str
    address: str
    zone: str
    state: str
    free_resources: WireRoom
    labels: list[str]
    born: Count = 0
    remaining_ms: Milliseconds | None = None


class WireRoute(msgspec.Struct):
    """A queue in the config; with a ``hint``, its starts need a ticket."""

    name: str
    host: str
    path_prefix: str
    backend: str = ""
    priority: int = 0
    attempts: int = 1
    slack_factor: Factor = 1.0
    target_latency_ms: Milliseconds = 0
    timeout_ms: Milliseconds = 0
    public: bool = False
    hint: dict[str, float] | None = None


class WireGuarantee(msgspec.Struct):
    """Resources that are guaranteed to a tenant."""

    gpus: Count = 0


class WireTenant(msgspec.Struct):
    """A tenant in the config: an organisation with its keys and its guarantee."""

    name: str
    api_keys: list[str] = []
    guaranteed: WireGuarantee = msgspec.field(default_factory=WireGuarantee)


class WireLimits(msgspec.Struct):
    """Limits of clients' calls in the config."""

    max_body_bytes: int = 262_144


class WireConfig(msgspec.Struct):
    """The row ``op/config``."""

    version: int
    routes: list[WireRoute] = []
    tenants: list[WireTenant] = []
    limits: WireLimits = msgspec.field(default_factory=WireLimits)


class WireStep(msgspec.Struct):
    """A step of a job; ``replicas`` is its number of tasks, ``affinity`` a rack."""

    replicas: Count = 1
    cpu: Count = 0
    mem_mb: Count = 0
    gpus: Count = 0
    estimate_ms: Milliseconds = 0
    after: list[int] = []
    checkpointing: bool = False
    coscheduled: bool = False
    same_rack: bool = False
    node_selector: str = ""
    affinity: str = ""
    anti_affinity: Count = 0
    speculative: bool = False
    long_running: bool = False
    image: str = ""
    target_ms: Milliseconds = 0
    utilization: bool | float = False
    max_unavailable: Count = 0


class WireJob(msgspec.Struct):
    """Body of a submission; ``phases`` are the steps, ``times`` the occurrences."""

    spec: str = ""
    phases: list[WireStep] = []
    times: Count = 0
    start_at_ms: Milliseconds = 0
    interval_ms: Milliseconds = 0
    long_running: bool = False


class WireStart(msgspec.Struct, omit_defaults=True):
    """Body of a call of ``/run-start``; ``token`` is the run's ticket."""

    task_id: str
    attempt: int
    spec: str
    expires_at_ms: int
    fencing_token: int
    checkpoint: str = ""
    token: str = ""


class WireStop(msgspec.Struct):
    """Body of a call of ``/run-stop``."""

    task_id: str
    attempt: int
    fencing_token: int


class WireHold(msgspec.Struct, omit_defaults=True):
    """Body of a call of ``/hold``, which renews the lease of all runs of a runner.

    ``last_seen`` is the number of the last end that is recorded.
    """

    fencing_token: int
    last_seen: int = msgspec.field(default=-1)
    expires_at_ms: int = 0
    wait_ms: int = 0


class WireHoldAnswer(msgspec.Struct):
    """Active and ended runs of a runner; columns are told apart by position.

    The rows are checked one by one, so that an unreadable one costs only itself.
    """

    server_time_ms: Milliseconds
    born: Count = 0
    active: list[Any] = []
    finished: list[Any] = []


class WireRunnerAnswer(msgspec.Struct):
    """Answer to a start or a stop; ``reason`` says why it was refused."""

    server_time_ms: Milliseconds = 0
    reason: str = ""
