"""The lease under which a gateway may serve with the fleet's policy; without I/O.

The fleet's log (`raft_node.py`) holds the policy's versions in one order; a version is committed once a
majority has it.  This core receives committed versions and heartbeats and decides which version is in force
here, and whether this gateway may serve.

The lease rests on one fact: a heartbeat of this gateway's own, proposed to the log at time t and seen
committed, proves that everything committed before t has been seen too.  So the lease runs from `renewed_at`,
the time at which the newest committed heartbeat was *proposed*, on this gateway's own monotonic clock; no
clock is compared with another's.

    LEARNING  no heartbeat of this incarnation was committed: no version is known to be the newest
    CURRENT   the newest committed heartbeat was proposed less than a lease ago
    STALE     it is older: the last committed policy stays in force, and the gateway says so (the setting
              `when_stale` decides whether it also rejects requests)

A version is in force as a whole or not at all, and only committed versions get here.
"""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass, field
from enum import Enum

from mallowbeam.errors import MallowbeamError

MAX_PENDING_HEARTBEATS = 64  # older ones count as lost
NEVER = float("-inf")


class Phase(Enum):
    """Whether this gateway knows the newest committed policy."""

    LEARNING = "learning"
    CURRENT = "current"
    STALE = "stale"


@dataclass(frozen=True, slots=True)
class PolicyVersion:
    """A committed policy: its version (0 is the empty one before any push) and its text, canonical JSON."""

    version: int = 0
    body: str = "{}"


@dataclass(frozen=True, slots=True)
class ApplyPolicy:
    """Apply this version as a whole; `before` is the one that it replaces."""

    change: PolicyVersion
    before: PolicyVersion


@dataclass(frozen=True, slots=True)
class ProposeHeartbeat:
    """Propose a heartbeat of this number."""

    number: int


@dataclass(frozen=True, slots=True)
class PhaseChanged:
    """The phase is now this one."""

    phase: Phase


Action = ApplyPolicy | ProposeHeartbeat | PhaseChanged


class VersionOrderError(MallowbeamError):
    """A version is out of order: this is not the log of this fleet."""

    error_name = "OutOfOrder"
    remedy = "move the folder away and start the gateway again: it learns from the others"


@dataclass(slots=True)
class PolicyCore:
    """One gateway's view of the policy; times are seconds on its monotonic clock.

    It may serve until `lease` seconds after the proposal of the newest committed heartbeat; it proposes one
    every `heartbeat_interval` seconds.
    """

    lease: float
    heartbeat_interval: float
    rejects_when_stale: bool = True
    phase: Phase = Phase.LEARNING
    in_force: PolicyVersion = field(default_factory=PolicyVersion)
    newest: PolicyVersion = field(default_factory=PolicyVersion)  # committed, as far as is known here
    renewed_at: float = NEVER
    last_heartbeat: int = 0  # number
    pending_heartbeats: OrderedDict[int, float] = field(default_factory=OrderedDict)  # when proposed
    heartbeat_due_at: float = NEVER

    def serves(self, now: float) -> bool:
        """Whether requests may be accepted; by the clock, as a stopped process has missed its ticks."""
        if self.phase is Phase.LEARNING:
            return False
        return now <= self.renewed_at + self.lease or not self.rejects_when_stale

    def tick(self, now: float) -> list[Action]:
        """Propose a heartbeat if one is due, and become stale if the lease has expired."""
        actions: list[Action] = []
        if now >= self.heartbeat_due_at:
            self.last_heartbeat += 1
            self.heartbeat_due_at = now + self.heartbeat_interval
            self.pending_heartbeats[self.last_heartbeat] = now
            while len(self.pending_heartbeats) > MAX_PENDING_HEARTBEATS:
                self.pending_heartbeats.popitem(last=False)
            actions.append(ProposeHeartbeat(self.last_heartbeat))
        if self.phase is Phase.CURRENT and now > self.renewed_at + self.lease:
            self._enter(Phase.STALE, actions)
        return actions

    def committed(self, change: PolicyVersion) -> list[Action]:
        """Handle a newly committed version; a restart or a snapshot may skip versions.

        Raises `VersionOrderError`.
        """
        if change.version < self.newest.version:
            raise VersionOrderError(f"version {change.version} after {self.newest.version}")
        if change.version == self.newest.version:
            if change != self.newest:
                raise VersionOrderError(f"two policies of version {change.version}")
            return []
        self.newest = change
        # Until a heartbeat is committed, a newer version may follow: this one does not take effect.
        return [] if self.phase is Phase.LEARNING else self._apply()

    def heartbeat_committed(self, number: int, now: float) -> list[Action]:
        """Renew the lease: everything committed before this heartbeat's proposal is known here."""
        if (proposed_at := self.pending_heartbeats.pop(number, None)) is None:
            return []  # of an earlier incarnation, or dropped as lost
        while self.pending_heartbeats and next(iter(self.pending_heartbeats)) < number:
            self.pending_heartbeats.popitem(last=False)  # proposed earlier: it can't extend the lease
        self.renewed_at = max(self.renewed_at, proposed_at)
        actions: list[Action] = []
        if now <= self.renewed_at + self.lease and self.phase is not Phase.CURRENT:
            actions += self._apply()
            self._enter(Phase.CURRENT, actions)
        return actions

    def _apply(self) -> list[Action]:
        if self.in_force == self.newest:
            return []
        before = self.in_force
        self.in_force = self.newest
        return [ApplyPolicy(self.in_force, before)]

    def _enter(self, phase: Phase, actions: list[Action]) -> None:
        self.phase = phase
        actions.append(PhaseChanged(phase))
