"""Observations of a trial under load: by clients, by storage nodes, and from the gateways' pages and logs.

Plain values.  Every `at` is in seconds of the trial's monotonic clock; the time of a gateway's log line is
converted by the difference of the two clocks as the trial began.  `observation_checks` reads nothing else.
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass, field
from typing import TypeVar


@dataclass(frozen=True, slots=True)
class RequestSent:
    """A client sent a request to a gateway; `units` is its cost, `klass` its request class."""

    at: float
    gateway: str
    id: str
    volume: str
    klass: str = "new-write"
    units: float = 1.0
    shard: int = 0


@dataclass(frozen=True, slots=True)
class ResponseReceived:
    """A client's request ended: `status` is 0 without a response; `sent` is false if it was never sent."""

    at: float
    id: str
    status: int
    sent: bool = True


@dataclass(frozen=True, slots=True)
class RequestArrived:
    """A node received a complete request; each retry of a request arrives again."""

    at: float
    node: str
    id: str
    late: float = 0.0  # seconds by which the recorder itself may have been late


@dataclass(frozen=True, slots=True)
class RequestExecuted:
    """A node executed a request."""

    at: float
    node: str
    id: str


@dataclass(frozen=True, slots=True)
class ConnectionChanged:
    """A connection to a node was opened or closed; `gateway` and `tenant` are empty where not known."""

    at: float
    node: str
    opened: bool
    gateway: str = ""
    tenant: str = ""


@dataclass(frozen=True, slots=True)
class StepLogged:
    """A gateway logged that it applied a machine's step."""

    at: float
    gateway: str
    machine: str
    step: str


@dataclass(frozen=True, slots=True)
class PageObserved:
    """A gateway's page: the step of each machine, and the maintenance order so far, at a log index."""

    at: float
    gateway: str
    index: int
    steps: dict[str, str]
    order: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class Disturbance:
    """A fault or an operator's work begins or ends.

    `what` is one of kill, start, stop, go, cut, heal, slow, down, work, done.
    """

    at: float
    what: str
    machines: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class WarmupStarted:
    """A node serves again after it was out, and is warming up until `until`."""

    at: float
    node: str
    until: float


@dataclass(frozen=True, slots=True)
class ConnectionBudget:
    """From now on a node may have at most `count` connections, in all or of one tenant."""

    at: float
    node: str
    count: int
    tenant: str = ""


Event = (
    RequestSent
    | ResponseReceived
    | RequestArrived
    | RequestExecuted
    | ConnectionChanged
    | StepLogged
    | PageObserved
    | Disturbance
    | WarmupStarted
    | ConnectionBudget
)
Kind = TypeVar("Kind")


@dataclass(slots=True)
class Observations:
    """The observations of one trial; several threads may add, and `of` sorts."""

    events: list[Event] = field(default_factory=list)

    def add(self, event: Event) -> None:
        """Append an observation."""
        self.events.append(event)

    def of(self, kind: type[Kind]) -> Iterator[Kind]:
        """The observations of one type, ordered by time."""
        found: list[Event] = [event for event in self.events if isinstance(event, kind)]
        for event in sorted(found, key=lambda event: event.at):
            assert isinstance(event, kind)
            yield event


@dataclass(frozen=True, slots=True)
class Machine:
    """A machine of a trial and its failure domains; `weight` is its share of capacity."""

    name: str
    zone: str = ""
    shard: int = 0
    weight: float = 1.0
    gateway: bool = False


@dataclass(frozen=True, slots=True)
class DrainLimits:
    """The limits of a maintenance request; floors are shares of a group's capacity, 0 to 1."""

    at_once: int = 1
    at_once_zone: int = 1
    zone_floor: float = 0.5
    shard_floor: float = 0.0
