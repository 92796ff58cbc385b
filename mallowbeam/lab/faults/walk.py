"""Maintenance in simulated time: gateways' cores on one log in memory, with delays, losses and faults.

Each gateway has the real machine, the real core and the real gate of `policy.py`; the log, the nodes, the
traffic and the operators are played here.  An entry is committed only by way of a leader with a majority, and
reaches each gateway in order, late by a random time.  What nodes see (`Arrival`) and what the log commits
(`Moved`) is recorded; `orderly.py` reads that alone.
"""

from __future__ import annotations

import random
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from typing import Any

from mallowbeam.lab.faults.orderly import Arrival, Asked, Down, Ended, Event, Moved, Read, Told
from mallowbeam.storage_gateway.coordination.maintenance import actions
from mallowbeam.storage_gateway.coordination.maintenance.entries import NodeStatus
from mallowbeam.storage_gateway.coordination.maintenance.gateway_core import MaintenanceCore
from mallowbeam.storage_gateway.coordination.maintenance.state import MaintenanceState
from mallowbeam.storage_gateway.coordination.maintenance.state_machine import MaintenanceStateMachine
from mallowbeam.storage_gateway.coordination.policy import PolicyCore, ProposeHeartbeat
from mallowbeam.storage_gateway.coordination.replicated_log import Committed, Entry, Refusal, ReplicatedLog

TICK = 0.05  # simulated seconds of one step
LEASE, BEAT = 2.0, 0.25  # of the gate
WORK_S = 0.6  # the longest that one request is at a node
MACHINE = "maintenance"

TIMES = actions.Timings(lease_s=LEASE, warmup_s=1.0, report_s=0.4)


@dataclass
class Node:
    """A storage node as it is."""

    zone: str
    shard: int
    weight: float = 1.0
    up: bool = True
    started: int = 1


@dataclass
class Item:
    """One place of the log: a mark, an entry's bytes or a pushed policy."""

    at: float
    by: str
    mark: int = 0
    life: str = ""
    body: bytes = b""
    policy: Any = None


class Gateway:
    """One gateway: replica, core, gate and the work that it has out."""

    core_type: Callable[..., MaintenanceCore] = MaintenanceCore

    def __init__(self, walk: Walk, name: str) -> None:
        self.walk, self.name = walk, name
        self.lives = 0
        self.up, self.stopped, self.cut = False, False, False

    def boot(self) -> None:
        """A new life: all that it knows it reads from the log."""
        walk = self.walk
        self.lives += 1
        self.life = f"{self.name}.{self.lives}"
        self.up, self.stopped, self.read, self.lag = True, False, 0, 0.0
        self.log = ReplicatedLog([walk.topic()])
        self.core = self.core_type(self.name, self.life, walk.members, walk.now, walk.times)
        self.core.state_machine = walk.topic()
        self.gate = PolicyCore(walk.times.lease_s, BEAT)
        self.drained: set[str] = set()
        self.refuses = self.given = False
        self.work: list[tuple[float, str]] = []  # until when, at which node
        self.in_hand: list[float] = []
        self.view = {name: node.up for name, node in walk.nodes.items()}

    def do(self, due: Iterable[actions.Action]) -> None:
        """What the core says."""
        for action in due:
            match action:
                case actions.Propose(entry):
                    self.walk.propose(self, entry)
                case actions.Drain(out):
                    self.drained.add(out)
                    self.walk.add(Told(self.walk.now, self.name, out, True))
                case actions.Undrain(back):
                    self.drained.discard(back)
                    self.walk.add(Told(self.walk.now, self.name, back, False))
                case actions.StepDown(refuse):
                    self.given, self.refuses = True, refuse
                case actions.StepUp():
                    self.given = self.refuses = False

    def serves(self) -> bool:
        """Whether it takes requests now."""
        return self.gate.serves(self.walk.now) and self.core.serves(self.walk.now) and not self.refuses

    def step(self, hears: bool) -> None:
        """One step of simulated time; traffic first, as a process that wakes may serve before it hears."""
        walk, rng, now = self.walk, self.walk.rng, self.walk.now
        self.work = [(end, node) for end, node in self.work if end > now]
        self.in_hand = [end for end in self.in_hand if end > now]
        if self.serves():
            for to in rng.sample(sorted(walk.nodes), 2):
                if to not in self.drained and self.view[to]:
                    end = now + rng.uniform(0.01, walk.work_s)
                    self.work.append((end, to))
                    self.in_hand.append(end)
                    walk.add(Arrival(now, self.name, to, end))
        for name, node in walk.nodes.items():
            if rng.random() < 0.2:  # discovery tells each gateway when it likes
                self.view[name] = node.up
        counts = dict.fromkeys(walk.nodes, 0)
        for _, name in self.work:
            counts[name] += 1
        self.core.observe(
            actions.LocalView(
                {
                    name: NodeStatus(
                        node.zone,
                        node.shard,
                        node.weight,
                        self.view[name],
                        counts[name],
                        0.1 * counts[name],
                        False,
                        node.started if self.view[name] else 0,
                    )
                    for name, node in walk.nodes.items()
                },
                len(self.in_hand),
                self.given,
                walk.leader,
                walk.zone_of[self.name],
            )
        )
        while hears and self.read < len(walk.items) and walk.items[self.read].at + self.lag <= now:
            self.hear(walk.items[self.read])
            self.lag = rng.choice((0.0, 0.0, 0.05, 0.3))
        for action in self.gate.tick(now):
            if isinstance(action, ProposeHeartbeat):
                walk.submit(self, Item(0.0, self.name, mark=action.number, life=self.life))
        self.do(self.core.tick(now))

    def hear(self, item: Item) -> None:
        """The log's next place."""
        now = self.walk.now
        self.read += 1
        if item.mark:
            if item.life == self.life:
                self.gate.heartbeat_committed(item.mark, now)
                self.core.caught_up(self.gate.renewed_at)
            return
        before = self.log.states[MACHINE]
        for told in take(self.log, item):
            self.do(self.core.committed(told, now))
        for machine, step in changed(before, self.log.states[MACHINE]):
            self.walk.add(Read(now, self.name, self.read, machine, step))


def take(log: ReplicatedLog, item: Item) -> list[Committed]:
    """One place of the log on one replica."""
    if item.policy is not None:
        told = log.push(item.policy)
        return [] if isinstance(told, Refusal) else told
    entry = log.apply(item.body)
    return [] if entry is None else [entry]


def changed(before: MaintenanceState, after: MaintenanceState) -> list[tuple[str, str]]:
    """The machines that took a step."""
    return [
        (name, item.step)
        for name, item in sorted(after.machines.items())
        if (was := before.machines.get(name)) is None or was.version != item.version
    ]


class Walk:
    """One run.  `topic` makes each replica's machine, a test makes a broken one."""

    def __init__(
        self,
        seed: int,
        gateways: int = 5,
        nodes: int = 6,
        zones: int = 3,
        loss: float = 0.05,
        topic: Callable[[tuple[str, ...]], MaintenanceStateMachine] = MaintenanceStateMachine,
        gateway: type[Gateway] = Gateway,
        times: actions.Timings = TIMES,
        work_s: float = WORK_S,
    ) -> None:
        self.rng, self.now, self.loss, self.times = random.Random(seed), 0.0, loss, times
        self.work_s = work_s
        self.members = tuple(f"g{i}" for i in range(gateways))
        self.nodes = {f"n{i}": Node("abc"[i % zones], i // zones) for i in range(nodes)}
        self.zone_of = {name: "xyz"[i % 3] for i, name in enumerate(self.members)}
        self.maker = topic
        self.history: list[Event] = []
        self.items: list[Item] = []
        self.on_way: list[tuple[float, Item, str]] = []
        self.reference = ReplicatedLog([self.topic()])
        self.leader: str | None = None
        self.elected = 0.0
        self.plans: list[tuple[float, Callable[[], None]]] = []
        self.works: dict[str, float] = {}  # how long an operator takes at a machine
        self.refusals: list[Refusal] = []
        self.hooks: list[Callable[[str, str], None]] = []
        self.gateways = {name: gateway(self, name) for name in self.members}
        for one in self.gateways.values():
            one.boot()

    def topic(self) -> MaintenanceStateMachine:
        """A replica's machine."""
        return self.maker(self.members)

    def add(self, event: Event) -> None:
        """Record."""
        self.history.append(event)

    @property
    def state(self) -> MaintenanceState:
        """What the log has committed."""
        state: MaintenanceState = self.reference.states[MACHINE]
        return state

    # --- the log ----------------------------------------------------------------------------------

    def side(self) -> list[str]:
        """The members that together have a majority, if any have."""
        linked = [name for name, one in self.gateways.items() if one.up and not one.stopped and not one.cut]
        return linked if len(linked) * 2 > len(self.members) else []

    def submit(self, by: Gateway, item: Item) -> bool:
        """On its way to the leader; False where it is lost at once."""
        if self.leader is None or by.name not in self.side() or self.rng.random() < self.loss:
            return False
        self.on_way.append((self.now + self.rng.choice((0.0, 0.05, 0.15, 0.4)), item, self.leader))
        return True

    def propose(self, by: Gateway, entry: Entry) -> None:
        """A core's proposal."""
        self.submit(by, Item(0.0, by.name, body=by.log.encode(MACHINE, by.name, entry)))

    def push(self, via: str, requests: list[dict[str, Any]], drains: tuple[str, ...] = ()) -> bool:
        """An operator pushes a policy at one gateway; False where it finds no leader."""
        one = self.gateways[via]
        policy = {"drains": list(drains), "maintenance": {"requests": requests}}
        return one.up and not one.stopped and self.submit(one, Item(0.0, "", policy=policy))

    def insist(self, via: str, requests: list[dict[str, Any]]) -> None:
        """Push until it is committed or refused."""
        before, refused = self.state.requests, len(self.refusals)
        for _ in range(400):
            self.push(via, requests)
            self.run(0.5)
            if self.state.requests != before or len(self.refusals) > refused:
                return
        raise AssertionError("a push never took hold")

    def _commit(self) -> None:
        due = [one for one in self.on_way if one[0] <= self.now]
        self.on_way = [one for one in self.on_way if one[0] > self.now]
        for _, item, leader in due:
            if leader != self.leader and self.rng.random() < 0.5:
                continue  # its leader is gone: it was lost with it, or was not
            item.at = self.now
            self.items.append(item)
            if item.mark:
                continue
            before = self.state
            if item.policy is not None:
                told = self.reference.push(item.policy)
                if isinstance(told, Refusal):
                    self.refusals.append(told)
                else:
                    ids = tuple(request["id"] for request in item.policy["maintenance"]["requests"])
                    self.add(Asked(self.now, ids))
            else:
                self.reference.apply(item.body)
            for machine, step in changed(before, self.state):
                self.add(Moved(self.now, len(self.items), machine, step))
                self._worked_on(machine, step)
                for hook in self.hooks:
                    hook(machine, step)

    def _lead(self) -> None:
        side = self.side()
        if self.leader is not None and self.leader not in side:
            self.leader, self.elected = None, self.now + self.rng.uniform(0.3, 1.2)
        if self.leader is None and side and self.now >= self.elected:
            self.leader = self.rng.choice(side)

    # --- operators and machines -------------------------------------------------------------------

    def _worked_on(self, machine: str, step: str) -> None:
        """What operators do once a machine is out."""
        if step != "out" or (span := self.works.get(machine, 2.0)) < 0:
            return
        begin = self.now + self.rng.uniform(0.1, 0.5)
        if machine in self.nodes:
            self.plans += [(begin, lambda: self.fail(machine)), (begin + span, lambda: self.mend(machine))]
        else:
            self.plans += [(begin, lambda: self.kill(machine)), (begin + span, lambda: self.start(machine))]

    def fail(self, node: str) -> None:
        """A storage node is down."""
        if self.nodes[node].up:
            self.nodes[node].up = False
            self.add(Down(self.now, node, True))

    def mend(self, node: str) -> None:
        """It is up again."""
        if not self.nodes[node].up:
            self.nodes[node].up = True
            self.nodes[node].started += 1
            self.add(Down(self.now, node, False))

    def kill(self, name: str) -> None:
        """A gateway's process is gone."""
        if self.gateways[name].up:
            self.gateways[name].up = False
            self.add(Down(self.now, name, True))

    def start(self, name: str) -> None:
        """It starts again."""
        if not self.gateways[name].up:
            self.gateways[name].boot()
            self.add(Down(self.now, name, False))

    def stop(self, name: str) -> None:
        """SIGSTOP."""
        self.gateways[name].stopped = True

    def go(self, name: str) -> None:
        """SIGCONT: it may serve before it hears anything."""
        self.gateways[name].stopped = False

    def part(self, some: Iterable[str]) -> None:
        """Cut these off from the others, none where empty."""
        for name, one in self.gateways.items():
            one.cut = name in set(some)

    def later(self, seconds: float, act: Callable[[], None]) -> None:
        """Do it in a while."""
        self.plans.append((self.now + seconds, act))

    def run(self, seconds: float, until: Callable[[], bool] | None = None) -> bool:
        """Let time pass, until something holds; True if it does."""
        end = self.now + seconds
        while self.now < end:
            self.now = round(self.now + TICK, 6)
            for at, act in [plan for plan in self.plans if plan[0] <= self.now]:
                self.plans.remove((at, act))
                act()
            self._lead()
            self._commit()
            for one in self.rng.sample(list(self.gateways.values()), len(self.gateways)):
                if one.up and not one.stopped:
                    one.step(one.name in self.side())
            if until is not None and until():
                return True
        return until is None

    def rest(self, seconds: float = 120.0) -> bool:
        """All healed, and as long as it takes: whether nothing is on its way any more."""
        self.part(())
        for name, one in self.gateways.items():
            self.start(name)
            one.stopped = False
        ended = self.run(seconds, lambda: not self.state.active)
        self.run(1.0)
        self.add(Ended(self.now, ended))
        return ended
