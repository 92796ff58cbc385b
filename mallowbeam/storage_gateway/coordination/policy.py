"""Which policy a gateway may serve under: the core, without I/O.

The fleet's log (`coordination/raft_node.py`) holds the changes in one order; a change is committed once a
majority has it. This core is told what the log says and decides what takes hold here, and whether this
gateway may serve.

What it rests on is one fact: a mark of this gateway's own, put into the log at time t and seen to come out of
it, proves that everything committed before t has come out too. So `renewed_at` is the time at which the
newest proven mark was *put in*, on this gateway's own steady clock; no clock is compared with another's.

    LEARNING  since the start no mark has come back: nothing is known to be the newest; it does not serve
    CURRENT   the newest mark that came back is younger than the lease
    STALE     it is older: the last committed policy stays in force, and the gateway says so (`when_stale`
              decides whether it also refuses what comes)

A change is never half applied: `Apply` carries the whole of it, and only what the log has committed gets
here.
"""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass, field
from enum import Enum

from mallowbeam.errors import MallowbeamError

MOST_MARKS = 64  # marks on their way that are remembered; older ones count as lost


class Phase(Enum):
    """How sure this gateway is of its policy."""

    LEARNING = "learning"
    CURRENT = "current"
    STALE = "stale"


@dataclass(frozen=True, slots=True)
class Change:
    """A committed policy: its version (0 is the empty one before any change) and its text, canonical JSON."""

    version: int = 0
    body: str = "{}"


@dataclass(frozen=True, slots=True)
class Apply:
    """Let this policy take hold, whole; `before` is what it replaces."""

    change: Change
    before: Change


@dataclass(frozen=True, slots=True)
class Mark:
    """Put a mark of this number into the log."""

    number: int


@dataclass(frozen=True, slots=True)
class Entered:
    """The phase has changed."""

    phase: Phase


Action = Apply | Mark | Entered


class OutOfOrder(MallowbeamError):
    """The log told a version that does not follow: it is not the log of this fleet."""

    error_name = "OutOfOrder"
    remedy = "move the folder away and start the gateway again: it learns from the others"


@dataclass(slots=True)
class PolicyCore:
    """One gateway's view of the fleet's policy.

    `lease` and `beat` are seconds: how old the proof may be under which it serves; how often marks go out.
    """

    lease: float
    beat: float
    refuses_stale: bool = True
    phase: Phase = Phase.LEARNING
    change: Change = field(default_factory=Change)  # in force here
    newest: Change = field(default_factory=Change)  # committed, as far as the log has told
    renewed_at: float = float("-inf")
    last: int = 0
    marks: OrderedDict[int, float] = field(default_factory=OrderedDict)
    due: float = float("-inf")

    def serves(self, now: float) -> bool:
        """Whether requests may be taken; by the clock, as a process that stood still has missed its ticks."""
        if self.phase is Phase.LEARNING:
            return False
        return now <= self.renewed_at + self.lease or not self.refuses_stale

    def tick(self, now: float) -> list[Action]:
        """Time has passed: a mark may be due, the lease may be over."""
        actions: list[Action] = []
        if now >= self.due:
            self.last, self.due = self.last + 1, now + self.beat
            self.marks[self.last] = now
            while len(self.marks) > MOST_MARKS:
                self.marks.popitem(last=False)
            actions.append(Mark(self.last))
        if self.phase is Phase.CURRENT and now > self.renewed_at + self.lease:
            self._enter(Phase.STALE, actions)
        return actions

    def committed(self, change: Change) -> list[Action]:
        """The log's newest change; after a restart or from a snapshot versions may be passed over."""
        if change.version < self.newest.version:
            raise OutOfOrder(f"version {change.version} after {self.newest.version}")
        if change.version == self.newest.version:
            if change != self.newest:
                raise OutOfOrder(f"two policies of version {change.version}")
            return []
        self.newest = change
        # Until a mark has come back a newer one may be on its way: what is old is not let in first.
        return [] if self.phase is Phase.LEARNING else self._apply()

    def marked(self, number: int, now: float) -> list[Action]:
        """A mark of this gateway's own came out of the log: all that was committed before it is here."""
        if (proposed_at := self.marks.pop(number, None)) is None:
            return []  # of an earlier life, or given up
        while self.marks and next(iter(self.marks)) < number:
            self.marks.popitem(last=False)  # overtaken: it proves less
        self.renewed_at = max(self.renewed_at, proposed_at)
        actions: list[Action] = []
        if now <= self.renewed_at + self.lease and self.phase is not Phase.CURRENT:
            actions += self._apply()
            self._enter(Phase.CURRENT, actions)
        return actions

    def _apply(self) -> list[Action]:
        if self.change == self.newest:
            return []
        before, self.change = self.change, self.newest
        return [Apply(self.change, before)]

    def _enter(self, phase: Phase, actions: list[Action]) -> None:
        self.phase = phase
        actions.append(Entered(phase))
