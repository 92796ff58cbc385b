"""Simulated maintenance: the cores of several gateways on one log in memory, with delays, losses and faults.

Each gateway has the real state machine, the real core and the real policy lease; the log, the nodes, the
traffic and the operators are simulated.  An entry is committed only through a leader with a majority, and
reaches each gateway in order after a random delay.  What the nodes see (`Arrival`) and what the log commits
(`Moved`) is recorded; `orderly` reads only that.  Times are in simulated seconds.
"""

from __future__ import annotations

import random
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from typing import Any

from mallowbeam.lab.faults.orderly import (
    Arrival,
    Down,
    DrainChanged,
    Ended,
    Event,
    Moved,
    RequestsActivated,
    StepRead,
)
from mallowbeam.storage_gateway.coordination.maintenance import actions
from mallowbeam.storage_gateway.coordination.maintenance.entries import NodeStatus
from mallowbeam.storage_gateway.coordination.maintenance.gateway_core import MaintenanceCore
from mallowbeam.storage_gateway.coordination.maintenance.state import MaintenanceState
from mallowbeam.storage_gateway.coordination.maintenance.state_machine import MaintenanceStateMachine
from mallowbeam.storage_gateway.coordination.policy import PolicyCore, ProposeHeartbeat
from mallowbeam.storage_gateway.coordination.replicated_log import Committed, Entry, Refusal, ReplicatedLog

TICK = 0.05  # simulated seconds of one step
LEASE_S = 2.0  # of a gateway's policy
HEARTBEAT_S = 0.25  # between the heartbeats that renew it
REQUEST_S = 0.6  # the longest execution of one request at a node
VIEW_UPDATE = 0.2  # probability that discovery updates a gateway's view of a node in one step
ORPHAN_LOSS = 0.5  # probability that an entry is lost with the leader that it was sent to
PUSH_ATTEMPTS = 400
PUSH_INTERVAL_S = 0.5
MACHINE = "maintenance"

TIMES = actions.Timings(lease_s=LEASE_S, warmup_s=1.0, report_s=0.4)


@dataclass
class Node:
    """The true state of a storage node; `started` counts its starts."""

    zone: str
    shard: int
    weight: float = 1.0
    up: bool = True
    started: int = 1


@dataclass
class Item:
    """One entry of the log: a heartbeat, the bytes of a subsystem's entry, or a pushed policy."""

    at: float
    by: str
    heartbeat: int = 0
    incarnation: str = ""
    body: bytes = b""
    policy: Any = None


class Gateway:
    """One simulated gateway: replica, core, policy lease and the requests in flight at nodes."""

    core_type: Callable[..., MaintenanceCore] = MaintenanceCore

    def __init__(self, walk: Walk, name: str) -> None:
        self.walk = walk
        self.name = name
        self.starts = 0
        self.up = False
        self.stopped = False
        self.cut = False

    def boot(self) -> None:
        """Start a new incarnation, which learns all its state from the log."""
        walk = self.walk
        self.starts += 1
        self.life = f"{self.name}.{self.starts}"
        self.up = True
        self.stopped = False
        self.read = 0  # entries of the log applied so far
        self.delivery_delay = 0.0
        self.log = ReplicatedLog([walk.topic()])
        self.core = self.core_type(self.name, self.life, walk.members, walk.now, walk.times)
        self.core.state_machine = walk.topic()
        self.gate = PolicyCore(walk.times.lease_s, HEARTBEAT_S)
        self.drained: set[str] = set()
        self.refuses = False
        self.stepped_down = False
        self.work: list[tuple[float, str]] = []  # end and node of each request in flight
        self.in_hand: list[float] = []
        self.view = {name: node.up for name, node in walk.nodes.items()}

    def do(self, due: Iterable[actions.Action]) -> None:
        """Execute the actions that the core decided on."""
        for action in due:
            match action:
                case actions.Propose(entry):
                    self.walk.propose(self, entry)
                case actions.Drain(out):
                    self.drained.add(out)
                    self.walk.add(DrainChanged(self.walk.now, self.name, out, True))
                case actions.Undrain(back):
                    self.drained.discard(back)
                    self.walk.add(DrainChanged(self.walk.now, self.name, back, False))
                case actions.StepDown(refuse):
                    self.stepped_down = True
                    self.refuses = refuse
                case actions.StepUp():
                    self.stepped_down = False
                    self.refuses = False

    def serves(self) -> bool:
        """Whether it accepts requests now."""
        return self.gate.serves(self.walk.now) and self.core.serves(self.walk.now) and not self.refuses

    def step(self, connected: bool) -> None:
        """Simulate one tick; reads the log only if `connected` to a majority.

        Traffic comes first, as a resumed process may serve before it has read anything.
        """
        now = self.walk.now
        self._serve_traffic()
        self._update_view()
        self._observe()
        self._read_log(connected)
        for action in self.gate.tick(now):
            if isinstance(action, ProposeHeartbeat):
                heartbeat = Item(0.0, self.name, heartbeat=action.number, incarnation=self.life)
                self.walk.submit(self, heartbeat)
        self.do(self.core.tick(now))

    def _serve_traffic(self) -> None:
        """Forget the requests that ended and, while it serves, send new ones to two random nodes."""
        walk = self.walk
        rng = walk.rng
        now = walk.now
        self.work = [(end, node) for end, node in self.work if end > now]
        self.in_hand = [end for end in self.in_hand if end > now]
        if self.serves():
            for to in rng.sample(sorted(walk.nodes), 2):
                if to not in self.drained and self.view[to]:
                    end = now + rng.uniform(0.01, walk.work_s)
                    self.work.append((end, to))
                    self.in_hand.append(end)
                    walk.add(Arrival(now, self.name, to, end))

    def _update_view(self) -> None:
        """Let discovery update what it knows of some nodes."""
        for name, node in self.walk.nodes.items():
            if self.walk.rng.random() < VIEW_UPDATE:  # discovery reaches each gateway at its own time
                self.view[name] = node.up

    def _observe(self) -> None:
        """Hand the core this gateway's view of the nodes and of its own requests."""
        walk = self.walk
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
                self.stepped_down,
                walk.leader,
                walk.zone_of[self.name],
            )
        )

    def _read_log(self, connected: bool) -> None:
        """Apply the committed entries that have reached this gateway."""
        walk = self.walk
        while (
            connected
            and self.read < len(walk.items)
            and walk.items[self.read].at + self.delivery_delay <= walk.now
        ):
            self._apply(walk.items[self.read])
            self.delivery_delay = walk.rng.choice((0.0, 0.0, 0.05, 0.3))

    def _apply(self, item: Item) -> None:
        """Apply the next entry of the log."""
        now = self.walk.now
        self.read += 1
        if item.heartbeat:
            if item.incarnation == self.life:
                self.gate.heartbeat_committed(item.heartbeat, now)
                self.core.caught_up(self.gate.renewed_at)
            return
        before = self.log.states[MACHINE]
        for entry in apply_item(self.log, item):
            self.do(self.core.committed(entry, now))
        for machine, step in changed_steps(before, self.log.states[MACHINE]):
            self.walk.add(StepRead(now, self.name, self.read, machine, step))


def apply_item(log: ReplicatedLog, item: Item) -> list[Committed]:
    """Apply an item to one replica; returns what it committed, nothing for a refused policy."""
    if item.policy is not None:
        outcome = log.push(item.policy)
        return [] if isinstance(outcome, Refusal) else outcome
    entry = log.apply(item.body)
    return [] if entry is None else [entry]


def changed_steps(before: MaintenanceState, after: MaintenanceState) -> list[tuple[str, str]]:
    """The machines that took a step between two states, with their new step."""
    return [
        (name, item.step)
        for name, item in sorted(after.machines.items())
        if (was := before.machines.get(name)) is None or was.version != item.version
    ]


class Walk:
    """One simulation; `topic` makes the state machines and `gateway` the gateways, in tests broken ones."""

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
        work_s: float = REQUEST_S,
    ) -> None:
        self.rng = random.Random(seed)
        self.now = 0.0
        self.loss = loss
        self.times = times
        self.work_s = work_s
        self.members = tuple(f"g{i}" for i in range(gateways))
        self.nodes = {f"n{i}": Node("abc"[i % zones], i // zones) for i in range(nodes)}
        self.zone_of = {name: "xyz"[i % 3] for i, name in enumerate(self.members)}
        self.make_state_machine = topic
        self.history: list[Event] = []
        self.items: list[Item] = []
        self.in_flight: list[tuple[float, Item, str]] = []
        self.reference = ReplicatedLog([self.topic()])
        self.leader: str | None = None
        self.election_due = 0.0
        self.scheduled: list[tuple[float, Callable[[], None]]] = []
        self.works: dict[str, float] = {}  # seconds that operators work at a machine; negative: for ever
        self.refusals: list[Refusal] = []
        self.hooks: list[Callable[[str, str], None]] = []
        self.gateways = {name: gateway(self, name) for name in self.members}
        for each in self.gateways.values():
            each.boot()

    def topic(self) -> MaintenanceStateMachine:
        """Make the state machine of one replica."""
        return self.make_state_machine(self.members)

    def add(self, event: Event) -> None:
        """Record an event."""
        self.history.append(event)

    @property
    def state(self) -> MaintenanceState:
        """The state after all committed entries."""
        state: MaintenanceState = self.reference.states[MACHINE]
        return state

    # --- the log ----------------------------------------------------------------------------------

    def majority(self) -> list[str]:
        """The connected members if they are a majority, else none."""
        linked = [name for name, one in self.gateways.items() if one.up and not one.stopped and not one.cut]
        return linked if len(linked) * 2 > len(self.members) else []

    def submit(self, by: Gateway, item: Item) -> bool:
        """Send an item to the leader; False if it is lost at once."""
        if self.leader is None or by.name not in self.majority() or self.rng.random() < self.loss:
            return False
        self.in_flight.append((self.now + self.rng.choice((0.0, 0.05, 0.15, 0.4)), item, self.leader))
        return True

    def propose(self, by: Gateway, entry: Entry) -> None:
        """Propose an entry for a core."""
        self.submit(by, Item(0.0, by.name, body=by.log.encode(MACHINE, by.name, entry)))

    def push(self, via: str, requests: list[dict[str, Any]], drains: tuple[str, ...] = ()) -> bool:
        """Push a policy through one gateway; False if it reaches no leader."""
        one = self.gateways[via]
        policy = {"drains": list(drains), "maintenance": {"requests": requests}}
        return one.up and not one.stopped and self.submit(one, Item(0.0, "", policy=policy))

    def insist(self, via: str, requests: list[dict[str, Any]]) -> None:
        """Push until the policy is committed or refused; raises AssertionError if it never is."""
        before, refused = self.state.requests, len(self.refusals)
        for _ in range(PUSH_ATTEMPTS):
            self.push(via, requests)
            self.run(PUSH_INTERVAL_S)
            if self.state.requests != before or len(self.refusals) > refused:
                return
        raise AssertionError("a push never took hold")

    def _commit(self) -> None:
        """Commit the items that have reached the leader."""
        due = [entry for entry in self.in_flight if entry[0] <= self.now]
        self.in_flight = [entry for entry in self.in_flight if entry[0] > self.now]
        for _, item, leader in due:
            if leader != self.leader and self.rng.random() < ORPHAN_LOSS:
                continue  # it was lost with its leader
            item.at = self.now
            self.items.append(item)
            if item.heartbeat:
                continue
            before = self.state
            if item.policy is not None:
                outcome = self.reference.push(item.policy)
                if isinstance(outcome, Refusal):
                    self.refusals.append(outcome)
                else:
                    ids = tuple(request["id"] for request in item.policy["maintenance"]["requests"])
                    self.add(RequestsActivated(self.now, ids))
            else:
                self.reference.apply(item.body)
            for machine, step in changed_steps(before, self.state):
                self.add(Moved(self.now, len(self.items), machine, step))
                self._schedule_work(machine, step)
                for hook in self.hooks:
                    hook(machine, step)

    def _elect(self) -> None:
        """Depose a leader that lost its majority, and elect one after a random time-out."""
        majority = self.majority()
        if self.leader is not None and self.leader not in majority:
            self.leader = None
            self.election_due = self.now + self.rng.uniform(0.3, 1.2)
        if self.leader is None and majority and self.now >= self.election_due:
            self.leader = self.rng.choice(majority)

    # --- operators and machines -------------------------------------------------------------------

    def _schedule_work(self, machine: str, step: str) -> None:
        """Schedule the operators' work at a machine that has gone out."""
        if step != "out" or (span := self.works.get(machine, 2.0)) < 0:
            return
        begin = self.now + self.rng.uniform(0.1, 0.5)
        if machine in self.nodes:
            self.scheduled += [
                (begin, lambda: self.fail(machine)),
                (begin + span, lambda: self.mend(machine)),
            ]
        else:
            self.scheduled += [
                (begin, lambda: self.kill(machine)),
                (begin + span, lambda: self.start(machine)),
            ]

    def fail(self, node: str) -> None:
        """Fail a storage node."""
        if self.nodes[node].up:
            self.nodes[node].up = False
            self.add(Down(self.now, node, True))

    def mend(self, node: str) -> None:
        """Recover a storage node."""
        if not self.nodes[node].up:
            self.nodes[node].up = True
            self.nodes[node].started += 1
            self.add(Down(self.now, node, False))

    def kill(self, name: str) -> None:
        """Kill a gateway's process."""
        if self.gateways[name].up:
            self.gateways[name].up = False
            self.add(Down(self.now, name, True))

    def start(self, name: str) -> None:
        """Start a killed gateway again."""
        if not self.gateways[name].up:
            self.gateways[name].boot()
            self.add(Down(self.now, name, False))

    def stop(self, name: str) -> None:
        """Suspend a gateway's process, as SIGSTOP does."""
        self.gateways[name].stopped = True

    def go(self, name: str) -> None:
        """Resume a gateway's process; it may serve before it reads anything."""
        self.gateways[name].stopped = False

    def part(self, some: Iterable[str]) -> None:
        """Partition these gateways from the others; heals the partition if empty."""
        for name, gateway in self.gateways.items():
            gateway.cut = name in set(some)

    def later(self, seconds: float, act: Callable[[], None]) -> None:
        """Schedule a call after `seconds`."""
        self.scheduled.append((self.now + seconds, act))

    def run(self, seconds: float, until: Callable[[], bool] | None = None) -> bool:
        """Simulate `seconds`, or less if `until` holds earlier; returns whether it does (True without it)."""
        end = self.now + seconds
        while self.now < end:
            self.now = round(self.now + TICK, 6)
            for at, act in [plan for plan in self.scheduled if plan[0] <= self.now]:
                self.scheduled.remove((at, act))
                act()
            self._elect()
            self._commit()
            for one in self.rng.sample(list(self.gateways.values()), len(self.gateways)):
                if one.up and not one.stopped:
                    one.step(one.name in self.majority())
            if until is not None and until():
                return True
        return until is None

    def rest(self, seconds: float = 120.0) -> bool:
        """Heal all faults and run until no machine is under way; False after `seconds`."""
        self.part(())
        for name, one in self.gateways.items():
            self.start(name)
            one.stopped = False
        ended = self.run(seconds, lambda: not self.state.active)
        self.run(1.0)
        self.add(Ended(self.now, ended))
        return ended
