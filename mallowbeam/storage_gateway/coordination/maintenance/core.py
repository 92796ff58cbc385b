"""One gateway's part in maintenance: the core, without I/O; `now` is this gateway's steady clock.

What its gateway does follows from the state alone, whatever entries were missed: nothing new goes to a
machine whose step is in `DRAINED`; one that warms is given this gateway's share of the cold bound.  What it
proposes is what `Maintenance.due` lists, and what only a clock can say: `TimeUp`, `Gone`.  The member that
leads proposes at once, the others one after the other by their rank, so that a leader lost between any two
steps delays the next one and no more.  A proposal may be lost: it is made again until the state has moved.

`Gone` rests on leases.  While machines are on their way a gateway serves no longer than `lease` after it put
in its newest report that came back (`serves`, asked by the clock at each request, so that a process that
stood still refuses before it has heard anything).  If this one heard the other's last report at t, and has
since seen come back what itself put in after t + lease (longer by `drift`), then no further report of the
other's was committed meanwhile, and its lease has run out.
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field

import msgspec

from mallowbeam.storage_gateway.coordination.maintenance import state as s
from mallowbeam.storage_gateway.coordination.maintenance.machine import Maintenance
from mallowbeam.storage_gateway.coordination.maintenance.state import (
    AWAY,
    DRAINED,
    Item,
    Maintained,
    NodeFacts,
)
from mallowbeam.storage_gateway.coordination.replicated_log import Committed, Entry

MOST_SENT = 64  # own reports on their way that are remembered; older ones count as lost


@dataclass(frozen=True, slots=True)
class Times:
    """All in seconds; `lease` is that of the policy, the same on all gateways."""

    lease: float = 2.0
    drift: float = 1.1  # by how much clocks may differ in pace, as a factor
    grace: float = 0.25  # after which a drain that was told holds here
    report: float = 0.5  # between reports while machines are on their way
    idle: float = 30.0  # the same while none are
    soon: float = 0.1  # between reports where there is news
    again: float = 1.0  # after which a proposal counts as lost
    look: float = 0.2  # between looks at the order while only reports come in
    rank: float = 0.5  # by which each member waits for the one before it
    warm: float = 5.0  # for which a machine that is back is cold


@dataclass(frozen=True, slots=True)
class Local:
    """What the gateway sees now."""

    nodes: Mapping[str, NodeFacts] = field(default_factory=dict)
    in_hand: int = 0  # requests that it has taken and not answered
    gave_up: bool = False  # it uses none of what it was allotted
    leader: str | None = None
    zone: str = ""


@dataclass(frozen=True, slots=True)
class Propose:
    """Put this entry into the log; it may be lost."""

    entry: Entry


@dataclass(frozen=True, slots=True)
class Drain:
    """Send nothing new to this node."""

    node: str


@dataclass(frozen=True, slots=True)
class Undrain:
    """Let this node serve again."""

    node: str


@dataclass(frozen=True, slots=True)
class Warm:
    """This node is cold: this gateway's share (0 to 1) of the bound for cold nodes."""

    node: str
    share: float


@dataclass(frozen=True, slots=True)
class StepDown:
    """This gateway goes out: give up what it is allotted, and once `refuse` take no requests either."""

    refuse: bool


@dataclass(frozen=True, slots=True)
class StepUp:
    """This gateway serves again."""


@dataclass(frozen=True, slots=True)
class Note:
    """A line for the log."""

    text: str


Action = Propose | Drain | Undrain | Warm | StepDown | StepUp | Note


class MaintenanceCore:
    """One gateway's view of the order, and what it has to do."""

    def __init__(
        self, name: str, life: str, members: Sequence[str], now: float, times: Times | None = None
    ) -> None:
        self.name, self.life, self.times = name, life, times or Times()
        self.machine = Maintenance(members)
        self.state, self.heard, self.local = Maintained(), 0, Local()
        self.drained: dict[str, float] = {}  # by machine: when that was done here
        self.warming: dict[str, float] = {}
        self.stepped: tuple[bool, float] | None = None  # whether it refuses too, and since when
        self.confirmed = 0  # the newest own report that came back
        self.number, self.sent = 0, dict[int, float]()  # own reports on their way, and when put in
        self.lease_renewed = float("-inf")  # when the newest that came back was put in
        self.known = self.base = float("-inf")  # the newest mark's put-in, and that before it was asked
        self.last: dict[str, float] = {name: now for name in members}  # when each was last heard of
        self.timed: dict[tuple[str, int], float] = {}  # by machine and `began`: when that was heard
        self.wanted: dict[bytes, list[float]] = {}  # by entry: wanted since, proposed last
        self.said_back: set[str] = set()
        self.reported, self.was = float("-inf"), s.Report("", 0, 0, "", {})
        self.looked: tuple[Maintained, float, list[Entry]] | None = None  # which state, when, what is due

    # --- what comes in ----------------------------------------------------------------------------

    def reports(self, local: Local) -> None:
        """The gateway's own view has changed."""
        self.local = local

    def mark(self, proposed_at: float) -> None:
        """A mark of this gateway's own came back: all committed before it was put in is known here."""
        self.known = max(self.known, proposed_at)

    def back(self, machine: str) -> None:
        """An operator said here that the work at a machine is done; proposed until the log has it."""
        self.said_back.add(machine)

    def serves(self, now: float) -> bool:
        """Whether the others can still count on this gateway's word; by the clock."""
        return not self.state.active or now <= max(self.lease_renewed, self.base) + self.times.lease

    def committed(self, told: Committed, now: float) -> list[Action]:
        """The log's next entry for this topic."""
        before, self.state, self.heard = self.state, told.state, max(told.index, self.heard)
        if isinstance(told.entry, s.Report) and told.by in self.last:
            self.last[told.by] = now
        if isinstance(told.entry, s.Report) and (told.by, told.entry.life) == (self.name, self.life):
            self.confirmed = max(self.confirmed, told.entry.number)
            proposed_at = self.sent.pop(told.entry.number, None)
            if proposed_at is not None:
                self.lease_renewed = max(self.lease_renewed, proposed_at)
        if self.state.active and not before.active:
            # Guards `Gone`: while nothing was asked for the others had little to say.  Here the lease counts
            # from a mark that is surely older than what was asked, so from before any member heard of it.
            self.last, self.base = {name: now for name in self.last}, self.known
        return self._follow(before, now)

    def tick(self, now: float) -> list[Action]:
        """Time has passed: a report may be due, a step, or a machine's time may be up."""
        actions: list[Action] = []
        self._report(now, actions)
        if self.state.active:
            self._propose(now, actions)
        elif self.wanted:
            self.wanted.clear()
        return actions

    def may_send(self, machine: str) -> bool:
        """Whether the order lets new work go there."""
        item = self.state.items.get(machine)
        return item is None or item.step not in DRAINED

    # --- what the gateway does --------------------------------------------------------------------

    def _follow(self, before: Maintained, now: float) -> list[Action]:
        actions: list[Action] = []
        items = self.state.items
        for name, item in items.items():
            if item.step == "warming" and not item.gateway and name not in self.warming:
                actions.append(Warm(name, item.warm.get(self.name, 0.0)))  # known before it serves again
        for name in [name for name in self.drained if name not in items or items[name].step not in DRAINED]:
            del self.drained[name]
            actions.append(Undrain(name))
        for name, item in items.items():
            if item.step in DRAINED and not item.gateway and name not in self.drained:
                self.drained[name] = now
                actions.append(Drain(name))
            if item.step == "warming":
                self.warming.setdefault(name, now)
            if item.step in AWAY and (name, item.began) not in self.timed:
                self.timed[name, item.began] = now
            was = before.items.get(name)
            if was is None or was.turn != item.turn:
                actions.append(Note(f"{name} {item.step}: {item.why}"))
        self.warming = {
            name: at for name, at in self.warming.items() if name in items and items[name].step == "warming"
        }
        self.timed = {
            key: at
            for key, at in self.timed.items()
            if key[0] in items and items[key[0]].step in AWAY and items[key[0]].began == key[1]
        }
        self._step(items.get(self.name), now, actions)
        return actions

    def _step(self, item: Item | None, now: float, actions: list[Action]) -> None:
        """Its own turn: first the allotments, then the requests."""
        step = item.step if item is not None else ""
        out = step in DRAINED and step != "back"
        if step == "agreed" or out:
            if self.stepped is None or self.stepped[0] != out:
                self.stepped = (out, now)
                actions.append(StepDown(out))
        elif self.stepped is not None:
            self.stepped = None
            actions.append(StepUp())

    # --- what it says -----------------------------------------------------------------------------

    def _empty(self, now: float) -> list[str]:
        """The machines where it has sent nothing for a while, and has nothing out."""
        said = []
        for name, item in sorted(self.state.items.items()):
            if item.step not in ("draining", "empty"):
                continue
            if name == self.name:
                quiet = (
                    self.stepped is not None
                    and self.stepped[0]
                    and (now >= self.stepped[1] + self.times.grace)
                    and self.local.in_hand == 0
                )
            elif item.gateway:
                quiet = True  # gateways send nothing to one another
            else:
                facts = self.local.nodes.get(name)
                quiet = now >= self.drained.get(name, now) + self.times.grace and (
                    facts is None or facts.work == 0
                )
            if quiet:
                said.append(name)
        return said

    def _report(self, now: float, actions: list[Action]) -> None:
        warm = sorted(name for name, at in self.warming.items() if now >= at + self.times.warm)
        nodes = dict(sorted(self.local.nodes.items())[: s.MOST_NODES])
        if not self.state.active:  # nobody asks for what changes at each moment
            nodes = {name: msgspec.structs.replace(facts, work=0, load=0.0) for name, facts in nodes.items()}
        news = s.Report(self.life, 0, 0, self.local.zone, nodes, self._empty(now), warm, self.local.gave_up)
        calm = {name: msgspec.structs.replace(facts, work=0, load=0.0) for name, facts in nodes.items()}
        key = msgspec.structs.replace(news, nodes=calm)
        period = (
            self.times.report
            if self.state.active
            else (self.times.idle if self.confirmed == self.number else self.times.again)
        )
        if now < self.reported + (period if key == self.was else self.times.soon):
            return
        self.number, self.reported, self.was = self.number + 1, now, key
        self.sent[self.number] = now
        while len(self.sent) > MOST_SENT:
            del self.sent[next(iter(self.sent))]
        actions.append(Propose(msgspec.structs.replace(news, number=self.number, heard=self.heard)))

    # --- what it proposes -------------------------------------------------------------------------

    def _due(self, now: float) -> list[Entry]:
        state, looked = self.state, self.looked
        if (
            looked is None
            or looked[0] is not state
            and (
                looked[0].items is not state.items
                or looked[0].gone != state.gone
                or now >= looked[1] + self.times.look
            )
        ):
            looked = self.looked = (state, now, self.machine.due(state))
        found = list(looked[2])
        items = self.state.items
        self.said_back = {
            name for name in self.said_back if name in items and items[name].step in ("out", "lost")
        }
        found += [s.Back(name) for name in sorted(self.said_back)]
        span = self.times.lease * self.times.drift
        for name, at in self.last.items():
            # Guards a member that is only slow: it counts as gone by what this one has proven to have heard.
            if name != self.name and name not in self.state.gone and self.lease_renewed > at + span:
                report = self.state.reports.get(name)
                found.append(s.Gone(name, report.life, report.number) if report else s.Gone(name, "", 0))
        for (name, began), at in self.timed.items():
            times = [
                self.state.requests[id].time_s
                for id in self.state.items[name].asked
                if id in self.state.requests
            ]
            if times and now >= at + min(times):
                found.append(s.TimeUp(name, began))
        return found

    def _rank(self) -> int:
        """This member's place among those who propose: the leader first."""
        members = self.machine.members
        leader = members.index(self.local.leader) if self.local.leader in members else 0
        return (members.index(self.name) - leader) % len(members)

    def _propose(self, now: float, actions: list[Action]) -> None:
        due = {msgspec.msgpack.encode(entry): entry for entry in self._due(now)}
        self.wanted = {key: self.wanted.get(key, [now, float("-inf")]) for key in due}
        for key, times in self.wanted.items():
            if now >= times[0] + self._rank() * self.times.rank and now >= times[1] + self.times.again:
                times[1] = now
                actions.append(Propose(due[key]))
