"""Settings, events and actions: the whole interface between a host and the scheduler.

A *host* is the program around the scheduler (`gateway_host`, `simulator_host`).  It feeds events into
`Scheduler.step` and carries out the actions that are returned.  One host is one gateway instance.

Units: every time and duration is in seconds; request sizes are in *units of work*, as the client declares
them (design page, "The unit of work").  A setting of `None` means that this deployment does not have the rule
or feature.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum


class Idempotency(Enum):
    """The effect of running a request a second time; the values are those of the settings."""

    SAFE = "safe"  # none: it may be run any number of times
    KEYED = "keyed"  # nodes drop duplicates by the request's key, within a window and a scope
    UNSAFE = "unsafe"  # it would take effect twice


class DeduplicationScope(Enum):
    """Which nodes recognise a duplicate of a keyed request."""

    ALL = "all"
    ZONE = "zone"
    SHARD = "shard"


class Outcome(Enum):
    """How an attempt ended."""

    OK = "ok"
    ERROR = "error"
    REJECTED = "rejected"
    MISDIRECTED = "astray"  # rejected before it ran, by a node that never accepts it
    TIMEOUT = "timeout"
    NO_CONNECTION = "no connection"
    RESET = "reset"
    CANCELLED = "cancelled"
    NOT_SENT = "not sent"


class DiscoveryUpdateKind(Enum):
    """How to interpret the entries of a `DiscoveryUpdate`."""

    DELTA = "changes"
    FULL = "full"
    CACHED = "cached"
    FAILED = "failed"
    TIMED_OUT = "silent"  # gateway only: a call to discovery was neither answered nor closed


class NodeState(Enum):
    """The state of a node as discovery lists it."""

    READY = "ready"
    DRAINING = "draining"
    REMOVED = "gone"


@dataclass(slots=True, frozen=True)
class RequestClass:
    """A class of requests with the same targets, value and retry rules."""

    name: str
    value: float = 1.0  # of one unit that is answered within `latency_target`
    latency_target: float = 1.0  # seconds from the first attempt of the client
    deadline: float = 1.0  # seconds after which an answer is worthless
    late_value: float = 0.0  # fraction of `value` that an answer between target and deadline earns
    idempotency: Idempotency = Idempotency.UNSAFE
    dedup_scope: DeduplicationScope = DeduplicationScope.ALL
    dedup_window: float = 0.0  # seconds for which nodes recognise a duplicate of a keyed request
    streamed: bool = False
    ordered: bool = False  # requests of one key must run one after the other, in the order of arrival
    writes: bool | None = None  # None where the settings do not say


@dataclass(slots=True, frozen=True)
class Plan:
    """Entitlements of a volume on this plan; rates apply over all hosts and nodes together.

    The field names are a stored format: a process hands its plans to its successor as `asdict(plan)`.
    """

    name: str
    rate: float = 0.0  # nominal use, units per second
    reserve: float = 0.0  # guaranteed, units per second
    weight: float = 1.0  # fair-share weight beyond the reserve
    price: float = 1.0  # factor on the value of each unit
    limit: float = 0.0  # rate limit, units per second; 0: none
    limit_burst: float = 0.0  # size of the limit's token bucket, units
    limit_slack: float = 0.0  # units by which the bucket may be overdrawn


@dataclass(slots=True, frozen=True)
class Settings:
    """A host's settings, fixed at its start."""

    seed: int = 0
    host_index: int = 0
    hosts: int = 1
    zone: str = ""
    tick: float = 0.001  # resolution of the host's clock
    classes: dict[str, RequestClass] = field(default_factory=dict)
    plans: dict[str, Plan] = field(default_factory=dict)
    typical_units: float = 1.0
    max_units: int = 1
    shards: int = 1
    share_value: float = 1.0  # factor on the value of a unit beyond the reserve, within the fair share
    spare_value: float = 1.0  # the same for a unit beyond the fair share
    meter_period: float = 0.0
    reports_remote_units: bool = False
    may_cancel: bool = False
    may_check_health: bool = False
    may_duplicate: bool = False
    max_attempts: int | None = None
    retry_after: bool = False  # whether a rejection may carry a Retry-After
    max_retry_after: float = 0.0
    discovery_on_request: bool = False  # the host watches discovery itself; else lists are pushed to it
    max_list_age: float | None = None  # age of its list at which a host without a watch counts as informed
    drain_grace: float | None = None
    slow_start_units: float | None = None  # units per `overload_window` that a node sustains at its start
    slow_start_capacity: float = 1.0  # fraction of full capacity at start
    slow_start_time: float | None = None  # seconds until a started node has full capacity
    overload_multiple: float | None = None  # load over capacity at which a warming node collapses
    overload_window: float | None = None  # seconds over which that load is measured
    order_settle_time: float = 0.0  # pause of an ordered key after an attempt that may still be running
    retry_budget_floor: float | None = None  # retries per `retry_budget_window` that are always allowed
    retry_budget_ratio: float = 0.0  # further retries per request received in that window
    retry_budget_window: float = 0.0
    # When a request's units are charged to its volume's limit.  False (the simulator's rule): when its first
    # attempt is sent.  True (PROTOCOL, on sockets): when its last byte first reaches a node, so that an
    # attempt whose connection was never established is not charged.
    limit_at_arrival: bool = False


# --- events -----------------------------------------------------------------------------------


@dataclass(slots=True)
class RequestArrived:
    """A client's request."""

    request: str
    request_class: str
    expires_in: float  # seconds until its deadline
    shard: int | None = None  # None: a new object, which may go to any node
    units: int = 1
    volume: str = ""
    plan: str = ""
    volume_hosts: int | None = None  # number of hosts that receive the volume's requests
    key: str | None = None  # of its data: for ordering, deduplication and affinity
    is_retry: bool = False
    is_write: bool = False


@dataclass(slots=True)
class NodeEntry:
    """One node as discovery lists it."""

    node: str
    state: NodeState = NodeState.READY
    shard: int = 0
    zone: str = ""
    started_at: float | None = None  # time of its last start; None: long ago
    machine: str = ""
    weight: float = 1.0


@dataclass(slots=True)
class DiscoveryUpdate:
    """A list from discovery, or the failure to get one."""

    kind: DiscoveryUpdateKind
    version: int = 0
    entries: list[NodeEntry] = field(default_factory=list)


@dataclass(slots=True)
class OperatorOverride:
    """An operator disabled a node, or enabled it again."""

    node: str
    disabled: bool
    disabled_at: float | None = None  # time; None: now


@dataclass(slots=True)
class SiblingSend:
    """Another process of this host sent `units` to a node and charged `charged_units` to the volume's limit.

    In a hand-over between processes it also transfers state: `limit_level`, or the load of a node that is
    warming up; then nothing need have been sent.
    """

    volume: str
    plan: str
    host_count: int
    node: str = ""
    units: int = 0
    charged_units: int = 0
    limit_level: float | None = None  # level of the limit's token bucket, units


@dataclass(slots=True)
class PlanChanged:
    """A plan takes effect for all volumes on it, for one volume, or for one volume's requests to one shard.

    The plan of a single volume or shard is an *allotment*.  It is revoked by an event that repeats the
    general plan without a `limit_share`.
    """

    plan: Plan
    volume: str = ""  # empty: all volumes on the plan of this name, later ones included
    shard: int | None = None  # with a volume: only its requests for this shard, which are metered separately
    limit_share: float | None = None  # this host's share of limit, burst and slack, 0 to 1; None: equal


@dataclass(slots=True)
class AttemptEnded:
    """An attempt ended; reported once for each attempt."""

    request: str
    attempt: int
    node: str
    outcome: Outcome
    latency: float
    finished: bool  # the client has its answer
    usage_ratio: float | None = None  # the volume's recent use over its plan's rate; None: not reported
    remote_units: int = 0  # units that the shard served the volume through other hosts since its last answer
    load: dict[str, float] | None = None


@dataclass(slots=True)
class StreamStarted:
    """A streamed answer has begun: the request counts as answered, its attempt is still in flight."""

    request: str
    attempt: int
    node: str
    latency: float


@dataclass(slots=True)
class UploadProgress:
    """A large body is being forwarded: it cannot be sent again, and its node has no work yet."""

    request: str
    attempt: int
    time_left: float | None = None  # with the last byte: seconds from then to the deadline


@dataclass(slots=True)
class ClientDisconnected:
    """The client no longer waits: no answer must be sent."""

    request: str


@dataclass(slots=True)
class TimerFired:
    """A timer set by `SetTimer` is due."""

    token: int


@dataclass(slots=True)
class HealthCheckEnded:
    """The outcome of a health check."""

    node: str
    latency: float
    outcome: Outcome
    load: dict[str, float] | None = None


@dataclass(slots=True)
class PeerMessage:
    """Bytes from another host."""

    sender: int
    payload: bytes


Event = (
    RequestArrived
    | DiscoveryUpdate
    | OperatorOverride
    | SiblingSend
    | PlanChanged
    | AttemptEnded
    | StreamStarted
    | UploadProgress
    | ClientDisconnected
    | TimerFired
    | HealthCheckEnded
    | PeerMessage
)


# --- actions ----------------------------------------------------------------------------------


@dataclass(slots=True)
class Send:
    """Start an attempt of a request at a node."""

    request: str
    node: str
    timeout: float | None = None


@dataclass(slots=True)
class Cancel:
    """Cancel one attempt."""

    request: str
    attempt: int


@dataclass(slots=True)
class Reject:
    """Final answer: the request was not run, and a retry by the client is harmless."""

    request: str
    retry_after: float | None = None


@dataclass(slots=True)
class Fail:
    """Final answer: the request failed, and may have taken effect."""

    request: str


@dataclass(slots=True)
class SetTimer:
    """Request a `TimerFired` at or after a time."""

    at: float
    token: int


@dataclass(slots=True)
class WatchNodes:
    """Start a watch on discovery's list of nodes, or stop it."""

    active: bool = True


@dataclass(slots=True)
class FetchNodes:
    """Fetch the full list from discovery once."""


@dataclass(slots=True)
class HealthCheck:
    """Check the health of a node."""

    node: str


@dataclass(slots=True)
class CloseIdleConnections:
    """Close this host's idle connections to a node."""

    node: str


@dataclass(slots=True)
class LogLine:
    """A line for the host's log."""

    text: str


Action = (
    Send
    | Cancel
    | Reject
    | Fail
    | SetTimer
    | WatchNodes
    | FetchNodes
    | HealthCheck
    | CloseIdleConnections
    | LogLine
)
