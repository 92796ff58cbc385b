"""Several gateways' shares on one log in memory: late words, cuts, kills, stops, restarts; and a checker.

True time moves in steps.  A member's own clock runs at its own rate from its own start.  What a member puts
in is committed a moment later if it is then on the side of the majority, and told to each member later still,
in order, unless that one is cut off, stopped or dead.  Each gateway serves what its core last allotted, which
is what the checker adds up: by node, zone and limit, at each step, over all that run.
"""

from __future__ import annotations

import random
from collections.abc import Mapping
from dataclasses import dataclass, field

from mallowbeam.storage_gateway.coordination.replicated_log import Committed, Entry, ReplicatedLog
from mallowbeam.storage_gateway.coordination.shares.gateway_core import (
    Action,
    Allot,
    Propose,
    SharesCore,
    SharesTiming,
)
from mallowbeam.storage_gateway.coordination.shares.state_machine import (
    SharesPolicy,
    SharesState,
    SharesStateMachine,
)

STEP = 0.1  # seconds of true time
Demands = dict[tuple[str, str, str], float]  # gateway, tenant, node: units a second


@dataclass(frozen=True, slots=True)
class Push:
    """A policy as far as shares go."""

    shares: SharesPolicy


@dataclass(frozen=True, slots=True)
class Mark:
    """A member's mark and when it was put in, on its own clock."""

    name: str
    life: int
    proposed_at: float


@dataclass(slots=True)
class Member:
    """One gateway: its log, its core and what it serves."""

    name: str
    rate: float
    log: ReplicatedLog
    core: SharesCore
    life: int = 0
    at: int = 0  # entries told so far
    alive: bool = True
    stopped: bool = False
    woke: bool = False
    serves: dict[tuple[str, str], float] = field(default_factory=dict)


class Fleet:
    """All of it; `seed` makes delays, clocks and losses."""

    def __init__(
        self,
        setup: SharesPolicy,
        gateways: int = 5,
        seed: int = 1,
        loss: float = 0.0,
        times: SharesTiming | None = None,
        core: type[SharesCore] = SharesCore,
    ) -> None:
        self.rng, self.loss, self.times, self.now = random.Random(seed), loss, times or SharesTiming(), 0.0
        self.names = [f"g{at}" for at in range(gateways)]
        self.kind = core
        self.entries: list[tuple[float, bytes | Push | Mark]] = []
        self.sent: list[tuple[float, str, bytes | Mark]] = []
        self.side = dict.fromkeys(self.names, 0)
        self.leader = self.names[0]
        self.demand: Demands = {}
        self.bounds: dict[str, list[tuple[float, float]]] = {}  # by resource: since when, how much
        self.worst = 0.0  # the highest part of a bound that was in use
        self.worth, self.pushed = 0.0, False
        self.members = {name: self._member(name, 0) for name in self.names}
        self.push(setup)

    def _member(self, name: str, life: int) -> Member:
        log, rate = ReplicatedLog([SharesStateMachine(tuple(self.names))]), self.rng.uniform(1.0, 1.001)
        core = self.kind(name, self.names, log.states["shares"], self.now * rate, self.times)
        return Member(name, rate, log, core, life)

    # --- what befalls it --------------------------------------------------------------------------

    def push(self, setup: SharesPolicy) -> None:
        """A policy is committed, if there is a majority; its bounds count from the close that follows."""
        if any(map(self.connected, self.names)):
            self.entries.append((self.now, Push(setup)))
            self.setup, self.pushed = setup, True

    def _bounds(self, setup: SharesPolicy) -> None:
        self.pushed = False
        for name, node in setup.nodes.items():
            self.bound(f"n:{name}", node.capacity / 1000)
        for zone, most in setup.zones.items():
            self.bound(f"z:{zone}", most / 1000)
        for name, share in setup.tenants.items():
            if share.limit is not None:
                self.bound(f"t:{name}", share.limit / 1000)

    def bound(self, resource: str, most: float) -> None:
        """From now on this much; what was allowed before stays so for a lease."""
        told = self.bounds.setdefault(resource, [])
        if not told or told[-1][1] != most:
            told.append((self.now, most))

    def node(self, node: str, gone: bool) -> None:
        """Discovery tells all gateways of a node."""
        self.bound(f"n:{node}", 0.0 if gone else self.setup.nodes[node].capacity / 1000)
        for member in self.members.values():
            if member.alive:
                self._do(member, member.core.node_changed(node, gone, self.now * member.rate))

    def kill(self, name: str) -> None:
        """It is no more."""
        self.members[name].alive = False

    def start(self, name: str) -> None:
        """A new life; its log is read anew."""
        life = self.members[name].life + 1
        self.members[name] = self._member(name, life)

    def stop(self, name: str, stopped: bool = True) -> None:
        """It stands still, or goes on."""
        member = self.members[name]
        member.stopped, member.woke = stopped, not stopped

    def cut(self, *sides: str) -> None:
        """Parts that hear nothing of one another, each as the digits of its members; none: healed."""
        self.side = dict.fromkeys(self.names, 0)
        for at, side in enumerate(sides):
            for digit in side:
                self.side[f"g{digit}"] = at + 1

    # --- time ---------------------------------------------------------------------------------------

    def connected(self, name: str) -> bool:
        """Whether it is on the side of the majority, and runs."""
        member = self.members[name]
        same = sum(
            self.side[other] == self.side[name]
            and self.members[other].alive
            and not self.members[other].stopped
            for other in self.names
        )
        return member.alive and not member.stopped and same * 2 > len(self.names)

    def run(self, seconds: float) -> Fleet:
        """Let time pass."""
        for _ in range(round(seconds / STEP)):
            self.now = round(self.now + STEP, 6)
            self._step()
        return self

    def _step(self) -> None:
        for at, by, body in [sent for sent in self.sent if sent[0] <= self.now]:
            self.sent.remove((at, by, body))
            if self.connected(by) and self.rng.random() >= self.loss:
                self.entries.append((self.now, body))
        if not self.connected(self.leader):
            self.leader = next((name for name in self.names if self.connected(name)), self.leader)
        order = list(self.members.values())
        self.rng.shuffle(order)
        for member in order:
            if member.alive and not member.stopped:
                self._turn(member, self.now * member.rate)
        self._check()

    def _turn(self, member: Member, now: float) -> None:
        core = member.core
        for (gateway, tenant, node), rate in self.demand.items():
            if gateway == member.name:
                self._do(member, core.observed(tenant, node, rate * STEP, now))
        if member.woke:
            member.woke = False
            return  # the first moment awake: requests come before words and ticks
        core.is_leader = member.name == self.leader
        while self.connected(member.name) and member.at < len(self.entries):
            since, entry = self.entries[member.at]
            if self.now < since + self.rng.choice((0.0, 0.0, 0.1, 0.3)):
                break
            member.at += 1
            if isinstance(entry, Mark):
                if (entry.name, entry.life) == (member.name, member.life):
                    self._do(member, core.lease_renewed(entry.proposed_at, now))
                continue
            told = member.log.push(entry) if isinstance(entry, Push) else [member.log.apply(entry)]
            for one in told if isinstance(told, list) else ():
                if isinstance(one, Committed):
                    self._do(member, core.committed(one, now))
        self._do(member, core.tick(now))
        if self.rng.random() < 0.3:
            self.sent.append((self.now + STEP, member.name, Mark(member.name, member.life, now)))

    def _do(self, member: Member, actions: list[Action]) -> None:
        for action in actions:
            match action:
                case Allot(tenant, node, rate):
                    member.serves[tenant, node] = rate
                case Propose(entry):
                    self._put(member, entry)

    def _put(self, member: Member, entry: Entry) -> None:
        later = self.now + self.rng.choice((0.0, 0.1, 0.1, 0.2))
        self.sent.append((later, member.name, member.log.encode("shares", member.name, entry)))

    # --- the checker --------------------------------------------------------------------------------

    def allowed(self, resource: str) -> float:
        """The most that was in force within the last lease, on the slowest clock, and what is on its way."""
        back, most = self.now - self.times.lease * (1 + self.times.drift) - 2 * self.times.epoch, 0.0
        told = self.bounds[resource]
        for (_, amount), until in zip(told, [*(at for at, _ in told[1:]), self.now], strict=True):
            if until >= back:
                most = max(most, amount)
        return max(most, self.state.floors.get(resource, 0) * len(self.names) / 1000)

    @property
    def state(self) -> SharesState:
        """The newest state that anybody knows."""
        newest = max(self.members.values(), key=lambda member: member.log.index)
        state: SharesState = newest.log.states["shares"]
        return state

    def used(self) -> dict[str, float]:
        """What may be sent in all now, by resource."""
        told: dict[str, float] = {}
        for member in self.members.values():
            if not member.alive or member.stopped:
                continue
            for (tenant, node), rate in member.serves.items():
                zone = self.setup.nodes[node].zone
                for resource in (f"n:{node}", f"z:{zone}", f"t:{tenant}"):
                    told[resource] = told.get(resource, 0.0) + rate
        return told

    def _check(self) -> None:
        if self.pushed and (state := self.state).policy == self.setup and state.recompute < 2:
            self._bounds(self.setup)
        for resource, used in self.used().items():
            if resource in self.bounds:
                allowed = self.allowed(resource)
                assert used <= allowed + 1e-6, f"{self.now}: {resource} has {used} out, {allowed} allowed"
                if allowed:
                    self.worst = max(self.worst, used / allowed)
        self.worth += STEP * sum(self.served().values())

    def served(self) -> dict[tuple[str, str], float]:
        """Units a second that are asked for and may be sent now, by tenant and node."""
        told: dict[tuple[str, str], float] = {}
        for (name, tenant, node), asked in self.demand.items():
            member = self.members[name]
            if member.alive and not member.stopped:
                told[tenant, node] = told.get((tenant, node), 0.0) + min(
                    asked, member.serves.get((tenant, node), 0.0)
                )
        return told


def totals(demand: Mapping[tuple[str, str, str], float]) -> dict[tuple[str, str], float]:
    """Demand by tenant and node."""
    told: dict[tuple[str, str], float] = {}
    for (_, tenant, node), asked in demand.items():
        told[tenant, node] = told.get((tenant, node), 0.0) + asked
    return told
