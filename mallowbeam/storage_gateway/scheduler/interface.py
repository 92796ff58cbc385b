"""The types through which a host talks to the decision module: settings, events and actions.

All times are seconds.  `None` for a setting means that the rule or feature does not exist here.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum


class Repeat(Enum):
    """What running a request twice would do."""

    SAFE = "safe"
    KEYED = "keyed"
    UNSAFE = "unsafe"


class Scope(Enum):
    """Which nodes drop the repeats of a keyed request."""

    ALL = "all"
    ZONE = "zone"
    SHARD = "shard"


class Outcome(Enum):
    """How an attempt ended."""

    OK = "ok"
    ERROR = "error"
    REJECTED = "rejected"
    ASTRAY = "astray"  # turned away unrun, by a node that will not take it later
    TIMEOUT = "timeout"
    NO_CONNECTION = "no connection"
    RESET = "reset"
    CANCELLED = "cancelled"
    NOT_SENT = "not sent"


class ListKind(Enum):
    """How a word from discovery is to be read."""

    CHANGES = "changes"
    FULL = "full"
    CACHED = "cached"
    FAILED = "failed"
    SILENT = "silent"  # on sockets: a call was neither answered nor ended


class NodeState(Enum):
    """What discovery says of a node."""

    READY = "ready"
    DRAINING = "draining"
    GONE = "gone"


@dataclass(slots=True, frozen=True)
class RequestClass:
    """One class of requests."""

    name: str
    worth: float = 1.0
    aim: float = 1.0
    deadline: float = 1.0
    late_worth: float = 0.0
    repeat: Repeat = Repeat.UNSAFE
    scope: Scope = Scope.ALL
    repeat_window: float = 0.0
    streamed: bool = False
    ordered: bool = False
    writes: bool | None = None  # None where the settings don't tell


@dataclass(slots=True, frozen=True)
class Plan:
    """What one volume on this plan is owed; figures hold over all hosts and nodes."""

    name: str
    rate: float = 0.0
    reserve: float = 0.0
    weight: float = 1.0
    price: float = 1.0
    limit: float = 0.0
    limit_burst: float = 0.0
    limit_slack: float = 0.0


@dataclass(slots=True, frozen=True)
class Settings:
    """Everything a host is told at its start."""

    seed: int = 0
    host_index: int = 0
    hosts: int = 1
    zone: str = ""
    tick: float = 0.001
    classes: dict[str, RequestClass] = field(default_factory=dict)
    plans: dict[str, Plan] = field(default_factory=dict)
    usual_units: float = 1.0
    units_top: int = 1
    shards: int = 1
    share_worth: float = 1.0
    spare_worth: float = 1.0
    meter_period: float = 0.0
    tells_elsewhere: bool = False
    may_cancel: bool = False
    may_probe: bool = False
    may_duplicate: bool = False
    max_attempts: int | None = None
    retry_after: bool = False
    max_retry_after: float = 0.0
    discovery_on_request: bool = False
    ask_every: float | None = None
    drain_grace: float | None = None
    cold_units: float | None = None
    cold_start: float = 1.0
    cold_time: float | None = None
    fall_multiple: float | None = None
    fall_window: float | None = None
    order_settle: float = 0.0
    budget_floor: float | None = None
    budget_share: float = 0.0
    budget_window: float = 0.0
    # Where a request's units leave its volume's limit: at its first attempt that is not N (the simulator's
    # rule), or when its last byte first reaches a node (PROTOCOL, on sockets), so that an attempt whose
    # connection never came up takes nothing.
    limit_at_arrival: bool = False


# --- events -----------------------------------------------------------------------------------


@dataclass(slots=True)
class RequestArrived:
    """A client's request; `shard` is None for a new object that any node may take."""

    request: str
    cls: str
    expires_in: float
    shard: int | None = None
    units: int = 1
    volume: str = ""
    plan: str = ""
    hosts_of_volume: int | None = None
    key: str | None = None
    is_retry: bool = False
    is_write: bool = False


@dataclass(slots=True)
class NodeEntry:
    """One node as discovery lists it; `since` is when it last started, None for long ago."""

    node: str
    state: NodeState = NodeState.READY
    shard: int = 0
    zone: str = ""
    since: float | None = None
    machine: str = ""
    weight: float = 1.0


@dataclass(slots=True)
class NodesListed:
    """Word from discovery."""

    kind: ListKind
    version: int = 0
    entries: list[NodeEntry] = field(default_factory=list)


@dataclass(slots=True)
class ByHand:
    """An operator takes a node out, or lets it serve again."""

    node: str
    out: bool
    since: float | None = None  # when that was said, where it was not just now


@dataclass(slots=True)
class SentBeside:
    """Another process of this same host has sent `units` to a node, `drawn` of them from the volume's limit.

    `level` is the level of that limit's store, where it is handed over; nothing need be sent with it.
    """

    volume: str
    plan: str
    hosts: int
    node: str = ""
    units: int = 0
    drawn: int = 0
    level: float | None = None


@dataclass(slots=True)
class PlanChanged:
    """From now on this plan holds: for all volumes on it, for one, or for what one has at one shard.

    `part` is this host's part of the plan's limit and slack (None: one of the volume's hosts, as before).  An
    allotment of a volume that has its plan's own figures and no part is taken back by that.
    """

    plan: Plan
    volume: str = ""  # empty: all on the plan of this name, and those to come
    shard: int | None = None  # with a volume: its requests for this shard, counted apart
    part: float | None = None


@dataclass(slots=True)
class AttemptEnded:
    """The single outcome of an attempt.

    `used` is the volume's recent use as a fraction of its plan's rate, None where not told;
    `elsewhere` counts units this shard served it through other hosts since the last answer.
    """

    request: str
    attempt: int
    node: str
    outcome: Outcome
    latency: float
    finished: bool
    used: float | None = None
    elsewhere: int = 0
    load: dict[str, float] | None = None


@dataclass(slots=True)
class StreamStarted:
    """A streamed answer has begun; its attempt now belongs to the client."""

    request: str
    attempt: int
    node: str
    latency: float


@dataclass(slots=True)
class Upload:
    """A large body begins to pass through: it can't be sent again, and its node has nothing to do yet.

    `left` comes with its last byte: from then on the request has so many seconds.
    """

    request: str
    attempt: int
    left: float | None = None


@dataclass(slots=True)
class ClientGone:
    """The client waits no longer; no answer is owed."""

    request: str


@dataclass(slots=True)
class TimerFired:
    """A timer set earlier is due."""

    token: int


@dataclass(slots=True)
class ProbeEnded:
    """The outcome of a probe."""

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
    | NodesListed
    | ByHand
    | SentBeside
    | PlanChanged
    | AttemptEnded
    | StreamStarted
    | Upload
    | ClientGone
    | TimerFired
    | ProbeEnded
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
class Refuse:
    """Final answer: not run, trying again is harmless."""

    request: str
    retry_after: float | None = None


@dataclass(slots=True)
class Fail:
    """Final answer: failed, nothing promised of its effect."""

    request: str


@dataclass(slots=True)
class SetTimer:
    """Ask for a `TimerFired` at or after a time."""

    at: float
    token: int


@dataclass(slots=True)
class Watch:
    """Ask discovery for changes from now on, or to stop them."""

    active: bool = True


@dataclass(slots=True)
class FetchNodes:
    """Ask discovery once for the full list."""


@dataclass(slots=True)
class Probe:
    """Examine a node."""

    node: str


@dataclass(slots=True)
class CloseIdle:
    """Shut this host's idle connections to a node."""

    node: str


@dataclass(slots=True)
class Note:
    """A line for the host's log."""

    text: str


Action = Send | Cancel | Refuse | Fail | SetTimer | Watch | FetchNodes | Probe | CloseIdle | Note
