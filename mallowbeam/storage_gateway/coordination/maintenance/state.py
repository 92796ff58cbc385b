"""What the fleet has agreed of maintenance: requests, what each gateway has said, and each machine's step.

Values only.  A machine (a storage node or a gateway) goes through these steps, each one entry of the log:

    proposed -> agreed -> draining -> empty -> out -> back -> warming -> done
        ^---------+----------+---------+        |
         called back: it no longer fits         +--> lost (time is up; it still counts as not there)

`failed` (time was up before it was out, or while it warmed) and `aborted` (its request was taken back) end
it in service.  `turn` counts a machine's steps, so that an entry meant for an earlier one is a duplicate.
"""

from __future__ import annotations

from typing import Annotated, Literal

import msgspec
from msgspec import Meta

from mallowbeam.storage_gateway.coordination.replicated_log import Entry

MOST_REQUESTS = 64  # in one policy; more are refused
MOST_MACHINES = 1024  # in one request; more are refused
MOST_NODES = 600  # of one report, by what an entry may hold; the rest is left out of the order
MOST_ORDER = 1024  # past decisions kept to be shown; the oldest are forgotten

Step = Literal[
    "proposed", "agreed", "draining", "empty", "out", "back", "warming", "done", "failed", "aborted", "lost"
]
AWAY = frozenset({"agreed", "draining", "empty", "out", "back", "warming"})  # under way: counted as not there
DRAINED = frozenset({"draining", "empty", "out", "back", "lost"})  # nothing new is sent there
OVER = frozenset({"done", "failed", "aborted"})
RECALLED = frozenset({"agreed", "draining", "empty"})  # not begun yet: it can still be called back
Share = Annotated[float, Meta(ge=0.0, le=1.0)]
Count = Annotated[int, Meta(ge=1, le=MOST_MACHINES)]
Name = Annotated[str, Meta(min_length=1, max_length=128)]


class Request(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A set of machines to be taken out, and what must hold meanwhile."""

    id: Name
    machines: Annotated[tuple[Name, ...], Meta(min_length=1, max_length=MOST_MACHINES)]
    at_once: Count = 1  # machines not there at once, in all
    at_once_zone: Count = 1  # the same in one zone
    zone_floor: Share = 0.5  # share of a zone's weight that stays
    shard_floor: Share = 0.0  # share of a shard's weight that stays
    sole_data: bool = False  # may take out a node whose data nobody else serves
    repeats: Literal["", "all", "zone", "shard"] = ""  # nodes that share repeats are not out together
    time_s: Annotated[float, Meta(gt=0.0, le=604800.0)] = 3600.0  # for one machine, agreed to done
    on_time_up: Literal["go on", "stop"] = "stop"


class Section(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The policy's section `maintenance`."""

    requests: Annotated[tuple[Request, ...], Meta(max_length=MOST_REQUESTS)] = ()


class NodeFacts(msgspec.Struct, frozen=True, array_like=True):
    """A storage node as one gateway sees it."""

    zone: str = ""
    shard: int = 0
    weight: float = 1.0
    up: bool = True
    work: int = 0  # attempts out there
    load: float = 0.0  # share of its time at work
    sole: bool = False  # this gateway knows of data that nobody else serves
    started: int = 0  # which start of it discovery tells of, 0 for not told


# --- entries ------------------------------------------------------------------------------------


class Report(Entry, frozen=True, tag="Report"):
    """What one gateway sees, and what it has done; `heard` is how far it has followed the log."""

    life: str
    number: int
    heard: int
    zone: str
    nodes: dict[str, NodeFacts]
    empty: list[str] = []  # it has sent nothing there since told, and has nothing out
    warm: list[str] = []  # warm enough there, by its own clock
    gave_up: bool = False  # it uses none of what it was allotted


class Gone(Entry, frozen=True, tag="Gone"):
    """A gateway's lease has surely run out, counted from its report `number` of `life`."""

    gateway: str
    life: str
    number: int


class Next(Entry, frozen=True, tag="Next"):
    """Choose the next machine now; `turn` counts choices, so that two who ask get one."""

    turn: int


class Move(Entry, frozen=True, tag="Move"):
    """One machine's next step, from its step `turn`."""

    machine: str
    to: Step
    turn: int


class TimeUp(Entry, frozen=True, tag="TimeUp"):
    """A machine has had its time, by the clock of the member that says so; `began` names which time."""

    machine: str
    began: int


class Back(Entry, frozen=True, tag="Back"):
    """An operator says that the work at a machine is done."""

    machine: str


Entries = Report | Gone | Next | Move | TimeUp | Back


# --- state --------------------------------------------------------------------------------------


class Item(msgspec.Struct, frozen=True):
    """One machine on its way."""

    machine: str
    gateway: bool
    asked: tuple[str, ...]  # by which requests
    step: Step = "proposed"
    turn: int = 0
    at: int = 0  # the entry that made this step
    began: int = 0  # the entry that agreed on it
    drained: int = 0  # the entry that began to drain it
    why: str = ""
    started: int = 0  # the node's start, as it went out
    life: str = ""  # the gateway's life, as it went out
    seen_down: bool = False  # down since it went out
    dropped: bool = False  # its request is taken back: it only comes back
    warm: dict[str, float] = {}  # each gateway's share of the cold bound


class Turn(msgspec.Struct, frozen=True):
    """A decision of the order, to be shown."""

    index: int
    machine: str
    step: str
    why: str


class Maintained(msgspec.Struct, frozen=True):
    """All that is agreed."""

    requests: dict[str, Request] = {}
    items: dict[str, Item] = {}
    reports: dict[str, Report] = {}
    gone: frozenset[str] = frozenset()
    stopped: dict[str, str] = {}  # requests that go no further, and why
    drains: frozenset[str] = frozenset()  # nodes that the policy itself drains: not there
    order: tuple[Turn, ...] = ()
    turn: int = 0

    @property
    def active(self) -> bool:
        """Whether any machine is still on its way; one whose request is stopped waits for the operators."""
        return any(
            item.step not in OVER and not (item.step == "proposed" and self.halted(item))
            for item in self.items.values()
        )

    def halted(self, item: Item) -> bool:
        """Whether a request that asked for it goes no further."""
        return any(id in self.stopped for id in item.asked)
