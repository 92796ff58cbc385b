"""Settings, events and actions: everything that passes between a host and the scheduler.

A *host* is the program around the scheduler (`gateway_host`, `simulator_host`).  It feeds events into
`Scheduler.step` and carries out the actions that are returned.  One host is one gateway instance.

Units: every time and duration is in seconds; sizes of requests are in *units of work*, as the client declares
them (design page, "The unit of work").  `None` for a setting means that the rule or feature does not exist in
this deployment.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum


class Idempotency(Enum):
    """What running a request a second time would do; the values are the settings' words."""

    SAFE = "safe"  # no effect: it may be run any number of times
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
    MISDIRECTED = "astray"  # rejected before it ran, by a node that will not accept it later either
    TIMEOUT = "timeout"
    NO_CONNECTION = "no connection"
    RESET = "reset"
    CANCELLED = "cancelled"
    NOT_SENT = "not sent"


class DiscoveryUpdateKind(Enum):
    """How the entries of a `DiscoveryUpdate` are to be read."""

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
    late_value: float = 0.0  # fraction of `value` that is left between the target and the deadline
    idempotency: Idempotency = Idempotency.UNSAFE
    dedup_scope: DeduplicationScope = DeduplicationScope.ALL
    dedup_window: float = 0.0  # seconds for which nodes recognise a duplicate of a keyed request
    streamed: bool = False
    ordered: bool = False  # requests of one key must run one after the other, in the order of arrival
    writes: bool | None = None  # None where the settings do not say


@dataclass(slots=True, frozen=True)
class Plan:
    """What a volume on this plan is entitled to; rates hold over all hosts and nodes.

    The field names are a stored format: a process hands its plans to its successor as `asdict(plan)`.
    """

    name: str
    rate: float = 0.0  # nominal use, units a second
    reserve: float = 0.0  # guaranteed, units a second
    weight: float = 1.0  # fair-share weight beyond the reserve
    price: float = 1.0  # factor on the value of each unit
    limit: float = 0.0  # rate limit, units a second; 0: none
    limit_burst: float = 0.0  # size of the limit's token bucket, units
    limit_slack: float = 0.0  # units by which the bucket may be overdrawn


@dataclass(slots=True, frozen=True)
class Settings:
    """Everything that a host is given when it starts."""

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
    max_list_age: float | None = None  # age of the list by which a host without a watch counts as informed
    drain_grace: float | None = None
    slow_start_units: float | None = None  # units per `overload_window` that a node bears as it starts
    slow_start_capacity: float = 1.0  # fraction of full capacity at start
    slow_start_time: float | None = None  # until a started node has full capacity
    overload_multiple: float | None = None  # load over capacity at which a warming node collapses
    overload_window: float | None = None  # over which that load is measured
    order_settle_time: float = 0.0  # rest of an ordered key after an attempt that may still be running
    retry_budget_floor: float | None = None  # retries per `retry_budget_window` that are always allowed
    retry_budget_ratio: float = 0.0  # further retries per request received in that window
    retry_budget_window: float = 0.0
    # When a request's units are charged to its volume's limit: at its first attempt that was sent (the
    # simulator's rule, False), or when its last byte first reaches a node (PROTOCOL, on sockets, True), so
    # that an attempt whose connection never came up is charged nothing.
    limit_at_arrival: bool = False


# --- events -----------------------------------------------------------------------------------


@dataclass(slots=True)
class RequestArrived:
    """A client's request."""

    request: str
    request_class: str
    expires_in: float  # seconds until its deadline
    shard: int | None = None  # None: a new object, which any node may store
    units: int = 1
    volume: str = ""
    plan: str = ""
    volume_hosts: int | None = None  # hosts through which the volume's requests come
    key: str | None = None  # of its data: ordering, deduplication and affinity follow it
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
    """An operator disables a node, or enables it again."""

    node: str
    disabled: bool
    disabled_at: float | None = None  # where that was not just now


@dataclass(slots=True)
class SiblingSend:
    """Another process of this host sent `units` to a node and charged `charged_units` to the volume's limit.

    During a hand-over nothing need have been sent: then it transfers `limit_level`, or the load of a warming
    node.
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
    """A plan takes effect: for all volumes on it, for one volume, or for one volume's work at one shard.

    An allotment of a volume is revoked by the plan's own figures without a `limit_share`.
    """

    plan: Plan
    volume: str = ""  # empty: all volumes on the plan of this name, and those to come
    shard: int | None = None  # with a volume: only its requests for this shard, metered separately
    limit_share: float | None = None  # this host's share of limit and slack, 0 to 1; None: an equal share


@dataclass(slots=True)
class AttemptEnded:
    """The single outcome of an attempt."""

    request: str
    attempt: int
    node: str
    outcome: Outcome
    latency: float
    finished: bool  # the client has its answer
    usage_ratio: float | None = None  # the volume's recent use over its plan's rate; None: not reported
    remote_units: int = 0  # units that the shard served the volume through other hosts since the last answer
    load: dict[str, float] | None = None


@dataclass(slots=True)
class StreamStarted:
    """A streamed answer has begun; what is left of its attempt belongs to the client."""

    request: str
    attempt: int
    node: str
    latency: float


@dataclass(slots=True)
class UploadProgress:
    """A large body is being forwarded: it can't be sent again, and its node has no work yet."""

    request: str
    attempt: int
    time_left: float | None = None  # set with the last byte: seconds that the request has from then on


@dataclass(slots=True)
class ClientDisconnected:
    """The client no longer waits: no answer is to be sent."""

    request: str


@dataclass(slots=True)
class TimerFired:
    """A timer that was set earlier is due."""

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
    """Stop waiting for one attempt."""

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
    """Ask for a `TimerFired` at or after a time."""

    at: float
    token: int


@dataclass(slots=True)
class WatchNodes:
    """Start a watch on discovery's list of nodes, or stop it."""

    active: bool = True


@dataclass(slots=True)
class FetchNodes:
    """Ask discovery once for the full list."""


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
