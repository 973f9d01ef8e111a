"""Messages of the platform, as ``msgspec`` structs with the platform's names."""

from __future__ import annotations

import msgspec


class WireRow(msgspec.Struct):
    """A row of the store; ``value`` is base64, ``deleted`` marks a removed row."""

    table_name: str
    part: str
    key: str
    value: str = ""
    schema_version: int = 0
    deleted: bool = False


class WireRows(msgspec.Struct):
    """Answer to a read, a feed, or a transaction that met a conflict."""

    rows: list[WireRow] = []
    schema_version: int = 0
    has_more: bool = False


class WireExpectation(msgspec.Struct):
    """A version that a row must have; 0 means that the row is absent."""

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
    """A call of ``/rows-tx``."""

    expected_revision: list[WireExpectation]
    write: list[WireWrite]
    remove: list[WireRemove]


class WireRoom(msgspec.Struct):
    """Room of a runner; ``cpu`` is in thousandths of a core."""

    cpu: int = 0
    mem_mb: int = 0
    gpus: int = 0


class WireServer(msgspec.Struct):
    """An entry of the table ``servers``: a runner's report about itself.

    ``backend`` is its service, ``labels`` its kind and its rack.
    """

    backend: str
    address: str
    zone: str
    state: str
    free_resources: WireRoom
    labels: list[str]
    born: int = 0


class WireRoute(msgspec.Struct):
    """A queue in the config."""

    name: str
    host: str
    path_prefix: str
    backend: str = ""
    priority: int = 0
    attempts: int = 1
    slack_factor: float = 1.0
    target_latency_ms: float = 0
    timeout_ms: float = 0
    public: bool = False
    hint: dict[str, float] | None = None


class WireGuarantee(msgspec.Struct):
    """What belongs to a tenant at all times."""

    gpus: int = 0


class WireTenant(msgspec.Struct):
    """A tenant in the config."""

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
    """A step of a job; ``replicas`` is its number of tasks."""

    replicas: int = 1
    cpu: int = 0
    mem_mb: int = 0
    gpus: int = 0
    estimate_ms: float = 0
    after: list[int] = []
    checkpointing: bool = False
    coscheduled: bool = False
    same_rack: bool = False
    node_selector: str = ""
    affinity: str = ""
    anti_affinity: int = 0
    speculative: bool = False
    long_running: bool = False
    image: str = ""
    target_ms: float = 0
    utilization: bool | float = False
    max_unavailable: int = 0


class WireJob(msgspec.Struct):
    """The body of a job's submission."""

    spec: str = ""
    phases: list[WireStep] = []
    times: int = 0
    start_at_ms: float = 0
    interval_ms: float = 0
    long_running: bool = False


class WireStart(msgspec.Struct, omit_defaults=True):
    """A call of ``/run-start``."""

    task_id: str
    attempt: int
    spec: str
    expires_at_ms: int
    fencing_token: int
    checkpoint: str = ""
    token: str = ""


class WireStop(msgspec.Struct):
    """A call of ``/run-stop``."""

    task_id: str
    attempt: int
    fencing_token: int


class WireHold(msgspec.Struct, omit_defaults=True):
    """A call of ``/hold``."""

    fencing_token: int
    last_seen: int = msgspec.field(default=-1)
    expires_at_ms: int = 0
    wait_ms: int = 0


class WireHoldAnswer(msgspec.Struct):
    """Both lists of a runner; rows are positional."""

    server_time_ms: float
    born: int = 0
    active: list[list[str | int | float]] = []
    finished: list[list[str | int | float]] = []


class WireRunnerAnswer(msgspec.Struct):
    """Answer to an order; ``reason`` tells why it was refused."""

    server_time_ms: float = 0
    reason: str = ""
