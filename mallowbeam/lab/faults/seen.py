"""What was seen from outside in a trial under load: by clients, by nodes, and on gateways' pages and logs.

Values only, times in seconds by the trial's one steady clock.  A gateway's word counts from the moment that
its log line has; the two clocks are compared once, as a trial begins.  `checks.py` reads nothing but this.
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass, field
from typing import TypeVar


@dataclass(frozen=True, slots=True)
class Asked:
    """A client's request went out to a gateway."""

    at: float
    gateway: str
    id: str
    volume: str
    klass: str = "new-write"
    units: float = 1.0
    shard: int = 0


@dataclass(frozen=True, slots=True)
class Answered:
    """A client was told: `status` 0 where it ended without an answer; `sent` false if it never went out."""

    at: float
    id: str
    status: int
    sent: bool = True


@dataclass(frozen=True, slots=True)
class Arrived:
    """A node has a request whole; a request that is tried again arrives again."""

    at: float
    node: str
    id: str
    late: float = 0.0  # by which the recorder itself may have been late then


@dataclass(frozen=True, slots=True)
class Ran:
    """A node ran a request."""

    at: float
    node: str
    id: str


@dataclass(frozen=True, slots=True)
class Linked:
    """A connection at a node was opened, or was closed; `tenant` and `gateway` where the record tells."""

    at: float
    node: str
    opened: bool
    gateway: str = ""
    tenant: str = ""


@dataclass(frozen=True, slots=True)
class Told:
    """A gateway heard a machine's step, as its log has it."""

    at: float
    gateway: str
    machine: str
    step: str


@dataclass(frozen=True, slots=True)
class Shown:
    """A gateway's page: where machines stand, and the order so far."""

    at: float
    gateway: str
    index: int
    steps: dict[str, str]
    order: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class Laid:
    """A fault of a gateway or a node begins or ends: kill, start, stop, go, cut, heal, slow, work, done."""

    at: float
    what: str
    machines: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class Cold:
    """A node serves again after it was out: cold until `until`."""

    at: float
    node: str
    until: float


@dataclass(frozen=True, slots=True)
class Budget:
    """A node's connections, or a tenant's there, are at most `count` from now on."""

    at: float
    node: str
    count: int
    tenant: str = ""


Event = Asked | Answered | Arrived | Ran | Linked | Told | Shown | Laid | Cold | Budget
Kind = TypeVar("Kind")


@dataclass(slots=True)
class Record:
    """The events of one trial; threads may add, and `of` puts them in order."""

    events: list[Event] = field(default_factory=list)

    def add(self, event: Event) -> None:
        """One more."""
        self.events.append(event)

    def of(self, kind: type[Kind]) -> Iterator[Kind]:
        """Those of a kind, in order of time."""
        found: list[Event] = [event for event in self.events if isinstance(event, kind)]
        for event in sorted(found, key=lambda event: event.at):
            assert isinstance(event, kind)
            yield event


@dataclass(frozen=True, slots=True)
class Place:
    """A machine of a trial, as its operators know it."""

    name: str
    zone: str = ""
    shard: int = 0
    weight: float = 1.0
    gateway: bool = False


@dataclass(frozen=True, slots=True)
class Limits:
    """What the operators asked for."""

    at_once: int = 1
    at_once_zone: int = 1
    zone_floor: float = 0.5
    shard_floor: float = 0.0
