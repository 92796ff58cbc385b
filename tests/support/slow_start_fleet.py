"""Simulates a fleet of schedulers with warming nodes on drawn settings, and counts load as the platform does.

`PYTHONPATH=. python tests/support/slow_start_fleet.py SECONDS [SEED]` simulates draws for SECONDS and prints
how many nodes collapsed.
"""

from __future__ import annotations

import random
import sys
import time
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from heapq import heappop, heappush

from mallowbeam.storage_gateway.scheduler import Scheduler
from mallowbeam.storage_gateway.scheduler.interface import (
    AttemptEnded,
    DiscoveryUpdate,
    DiscoveryUpdateKind,
    Event,
    Idempotency,
    NodeEntry,
    Outcome,
    Plan,
    RequestArrived,
    RequestClass,
    Send,
    SetTimer,
    Settings,
    TimerFired,
)

HOSTS = (1, 2, 5, 12, 20, 30, 40, 112, 200)
FAULTS = (
    Outcome.REJECTED,
    Outcome.RESET,
    Outcome.ERROR,
    Outcome.NO_CONNECTION,
    Outcome.TIMEOUT,
)


@dataclass
class WarmingNode:
    """A node that has started, with the load on it as the platform counts it."""

    settings: Settings
    started_at: float
    arrivals: deque[tuple[float, int, bool]] = field(default_factory=deque)
    units: int = 0
    informed_units: int = 0  # those units from hosts that knew of its start
    worst_load: float = 0.0  # highest load in any window, as a fraction of its budget with the slack
    total_units: int = 0
    last_arrival_at: float = 0.0  # time of its last arrival
    overloaded: bool = False
    collapsed: bool = False  # collapsed with over two thirds of the load from hosts that knew of its start

    def budget(self, now: float) -> float:
        """Requests of mean size that the settings allow in the window that ends now."""
        s = self.settings
        age = max(0.0, now - self.started_at - s.overload_window / 2)
        ramp = min(
            1.0, s.slow_start_capacity + (1.0 - s.slow_start_capacity) * age / max(s.slow_start_time, 1e-9)
        )
        return s.slow_start_units * ramp / s.slow_start_capacity / s.typical_units

    def utilization(self) -> float:
        """Units received while warming up, as a fraction of the capacity over the simulated time."""
        s = self.settings
        full = s.slow_start_units / (s.overload_multiple * s.slow_start_capacity * s.overload_window)
        duration = min(self.last_arrival_at - self.started_at, s.slow_start_time)
        return (
            self.total_units
            / full
            / duration
            / (s.slow_start_capacity + (1 - s.slow_start_capacity) * duration / s.slow_start_time / 2)
        )

    def add_arrival(self, now: float, units: int, informed: bool) -> None:
        """Count units that arrive, whatever the outcome of their request."""
        if self.overloaded or now >= self.started_at + self.settings.slow_start_time:
            return
        self.arrivals.append((now, units, informed))
        self.units, self.informed_units, self.total_units = (
            self.units + units,
            self.informed_units + units * informed,
            self.total_units + units,
        )
        self.last_arrival_at = now
        while self.arrivals[0][0] <= now - self.settings.overload_window:
            _, gone, was_informed = self.arrivals.popleft()
            self.units, self.informed_units = self.units - gone, self.informed_units - gone * was_informed
        budget = self.budget(now)
        load = self.units / self.settings.typical_units / (budget + 2 * budget**0.5 + 2)
        self.overloaded = load > 1
        if 3 * self.informed_units > 2 * self.units:
            self.worst_load, self.collapsed = max(self.worst_load, load), self.overloaded


class Fleet:
    """Hosts, nodes, and volumes with their hosts, all drawn from one seed.

    Keyword arguments replace drawn values: settings, or other names in `drawn`.
    """

    def __init__(self, seed: int, scheduler_class: Callable = Scheduler, **overrides) -> None:
        draw = self.draw = random.Random(seed)
        self.scheduler_class, self.now, self.sequence = scheduler_class, 1000.0, 0
        drawn = {
            "slow_start_units": draw.choice((4.0, 14.0, 24.0, 76.0, 76.0, 200.0)),
            "slow_start_capacity": draw.uniform(0.1, 0.5),
            "slow_start_time": draw.choice((1.0, 4.0, 10.0, 17.0)),
            "overload_multiple": draw.uniform(2.0, 5.0),
            "overload_window": draw.choice((0.5, 2.0, 3.0, 6.0)),
            "hosts": draw.choice(HOSTS),
            "max_units": draw.choice((1, 2, 4, 8, 8, 20)),
            "shards": draw.choice((1, 3, 6)),
            "max_attempts": draw.choice((None, 2, 4)),
            "demand": draw.choice(
                (0.3, 1.0, 2.0, 4.0, 8.0)
            ),  # in multiples of a node's capacity by the settings
            "reserved": draw.choice((0.0, 0.3, 0.8)),  # of a node's capacity: within reserves
            "fault_rate": draw.choice((0.0, 0.0, 0.1, 0.4)),  # fraction of attempts that fail
            "late_connection_rate": draw.choice((0.0, 0.0, 0.3)),  # established 1.5 s late
            "burst_factor": draw.choice(
                (1.0, 1.0, 1.5, 2.5)
            ),  # on the traffic for 3 s, from the start or 2 s later
            "any_host": draw.random() < 0.5,  # volumes use all hosts; some hosts get several times the mean
            "late_updates": draw.random() < 0.5,
            "host_restarts": draw.random() < 0.3,
            "second_start": draw.random() < 0.2,
            "hot_volume": draw.random() < 0.3,  # half of the requests use one volume, through its few hosts
            "key_count": draw.choice((60, 10**9, 10**9)),
            "only_host": None,
            "duration_s": 12.0,
            "lead_time_s": draw.choice((0.2, 3.0)),
        } | overrides  # `lead_time_s`: seconds of traffic before the first start
        settings = {name: drawn.pop(name) for name in list(drawn) if hasattr(Settings, name)}
        self.__dict__ |= drawn
        top, hosts = settings["max_units"], settings["hosts"]
        self.sizes = [max(1, round(top * draw.random() ** 2)) for _ in range(400)]
        usual = sum(self.sizes) / len(self.sizes)
        s = settings
        full = s["slow_start_units"] / (
            s["overload_multiple"] * s["slow_start_capacity"] * s["overload_window"]
        )
        if full / usual * self.demand * s["shards"] > 600:  # keep a run short
            s["shards"] = 1
        count = s["shards"]
        self.volumes = [
            (
                f"v{n}",
                [draw.randrange(hosts) for _ in range(draw.randint(1, 4))],
                [draw.randrange(count) for _ in range(draw.randint(1, 4))],
                draw.choice(("gold", "silver", "silver")),
                draw.choice((0.3, 1.0, 1.0, 1.0, 3.0)),
            )
            for n in range(draw.randint(4, 10) * count)
        ]
        reserve = self.reserved * full * count / len(self.volumes)
        plans = {"gold": Plan("gold", reserve=reserve, weight=2, price=1.5), "silver": Plan("silver")}
        classes = [
            RequestClass("read", 3, 0.3, 1.2, 0.2, Idempotency.SAFE),
            RequestClass("log", 2, 0.4, 2.0, 0.1, Idempotency.UNSAFE),
        ]
        self.settings = Settings(
            tick=0.002,
            classes={c.name: c for c in classes},
            plans=plans,
            typical_units=usual,
            share_value=0.3,
            spare_value=0.05,
            may_cancel=True,
            retry_after=True,
            max_retry_after=1.0,
            drain_grace=0.25,
            limit_at_arrival=True,
            **settings,
        )
        self.rate = full * self.demand * count / usual
        self.node_names = [f"n{n}" for n in range(count)]
        self.starts: dict[str, float] = {}
        self.warming_nodes: dict[str, WarmingNode] = {}
        self.all_warming_nodes: list[WarmingNode] = []
        self.events: list[tuple[float, int, Callable]] = []
        self.instances = [self._host(n) for n in range(hosts)]
        self.incarnations = [0] * hosts
        self.attempt_numbers: dict[tuple[int, str], int] = {}
        self.units: dict[str, int] = {}
        self.informed_of: list[dict[str, float]] = [{} for _ in range(hosts)]
        self.weights = [draw.choice((0.3, 1.0, 1.0, 4.0)) for _ in range(hosts)]

    def _host(self, number: int) -> Scheduler:
        host = self.scheduler_class(self.settings, self.now)
        host.step(
            self.now,
            [
                DiscoveryUpdate(
                    DiscoveryUpdateKind.CACHED,
                    1,
                    [
                        NodeEntry(name, shard=n, started_at=self.starts.get(name))
                        for n, name in enumerate(self.node_names)
                    ],
                )
            ],
        )
        return host

    def schedule(self, when: float, callback: Callable) -> None:
        """Schedule a callback."""
        self.sequence += 1
        heappush(self.events, (when, self.sequence, callback))

    def step(self, number: int, event: Event) -> None:
        """Pass one event to one host, and carry out its actions."""
        for action in self.instances[number].step(self.now, [event]):
            if isinstance(action, SetTimer):
                self.schedule(
                    action.at,
                    lambda incarnation=self.incarnations[number]: incarnation == self.incarnations[number]
                    and self.step(number, TimerFired(0)),
                )
            elif isinstance(action, Send):
                self.start_attempt(number, action)

    def start_attempt(self, number: int, send: Send) -> None:
        """Begin an attempt now, or after 1.5 s if its connection is late; its outcome follows."""
        draw, incarnation = self.draw, self.incarnations[number]
        attempt = self.attempt_numbers[number, send.request] = (
            self.attempt_numbers.get((number, send.request), -1) + 1
        )
        delay = 1.5 if draw.random() < self.late_connection_rate else 0.0
        outcome = draw.choice(FAULTS) if draw.random() < self.fault_rate else Outcome.OK
        units, sent_at = self.units[send.request], self.now

        def ended() -> None:
            if incarnation == self.incarnations[number]:
                self.step(
                    number,
                    AttemptEnded(
                        send.request, attempt, send.node, outcome, self.now - sent_at, outcome is Outcome.OK
                    ),
                )

        def connect() -> None:
            nonlocal outcome
            if incarnation != self.incarnations[number]:
                return
            if not self.instances[number].may_begin(self.now, send.request, attempt):
                outcome = Outcome.NOT_SENT
            elif outcome is not Outcome.NO_CONNECTION and (warming_node := self.warming_nodes.get(send.node)):
                warming_node.add_arrival(
                    self.now, units, self.informed_of[number].get(send.node) == warming_node.started_at
                )
            self.schedule(self.now + draw.uniform(0.02, 0.3), ended)

        if delay:
            self.schedule(self.now + delay, connect)
        else:
            connect()

    def arrive(self) -> None:
        """Send a client's request to a host of its volume, and schedule the next one."""
        draw, hosts = self.draw, self.settings.hosts
        hot = self.hot_volume and draw.random() < 0.5
        name, through, shards, plan, _ = (
            self.volumes[0] if hot else draw.choices(self.volumes, self.volume_weights)[0]
        )
        # A volume's first host gets most of its requests; the others share the rest.
        number, of = through[0] if draw.random() < 0.6 else draw.choice(through), len(set(through))
        if self.any_host:
            number, of = draw.choices(range(hosts), self.weights)[0], hosts
        number = number if self.only_host is None else self.only_host
        self.sequence += 1
        request = f"r{self.sequence}"
        self.units[request] = draw.choice(self.sizes)
        self.step(
            number,
            RequestArrived(
                request,
                draw.choice(("read", "read", "log")),
                draw.choice((0.5, 1.2)),
                draw.choice(shards),
                self.units[request],
                name,
                plan,
                of,
                f"{draw.randrange(self.key_count):016x}",
            ),
        )
        surge = self.burst_factor if self.burst_at <= self.now < self.burst_at + 3.0 else 1.0
        self.schedule(self.now + draw.expovariate(self.rate * surge), self.arrive)

    def start(self, name: str) -> None:
        """Start a node; each host learns of it at once, or up to 5 s late."""
        since = self.starts[name] = self.now
        self.warming_nodes[name] = warming_node = WarmingNode(self.settings, since)
        self.all_warming_nodes.append(warming_node)
        for number in range(self.settings.hosts):
            late = self.draw.choice((0.0, 0.0, 0.0, 1.0, 5.0)) if self.late_updates else 0.0
            self.schedule(self.now + late, lambda number=number: self.inform(number, name, since))

    def inform(self, number: int, name: str, since: float) -> None:
        """Inform a host of a start, unless the node has started again."""
        if self.starts[name] == since and self.informed_of[number].get(name) != since:
            self.informed_of[number][name] = since
            self.step(
                number,
                DiscoveryUpdate(
                    DiscoveryUpdateKind.DELTA,
                    2,
                    [NodeEntry(name, shard=self.node_names.index(name), started_at=since)],
                ),
            )

    def restart(self, number: int) -> None:
        """Restart a host without its state; its new list has the start times of all nodes."""
        self.incarnations[number] += 1
        self.informed_of[number] = dict(self.starts)
        self.instances[number] = self._host(number)

    def run(self) -> list[WarmingNode]:
        """Run the simulation; returns the nodes that started."""
        draw, begin = self.draw, self.now + self.lead_time_s
        self.volume_weights = [volume[4] for volume in self.volumes]
        self.burst_at = begin + draw.choice((0.0, 2.0))
        self.schedule(self.now, self.arrive)
        for name in draw.sample(self.node_names, draw.randint(1, len(self.node_names))):
            self.schedule(begin + draw.choice((0.0, 0.0, 1.0)), lambda name=name: self.start(name))
        if self.second_start:
            self.schedule(begin + self.settings.overload_window / 2, lambda: self.start(self.node_names[0]))
        for number in range(self.settings.hosts if self.host_restarts else 0):
            if draw.random() < 0.7:
                self.schedule(begin + draw.uniform(0.3, 4.0), lambda number=number: self.restart(number))
        while self.events[0][0] < begin + self.duration_s:
            self.now, _, callback = heappop(self.events)
            callback()
        return self.all_warming_nodes


def main(seconds: float, seed: int = 0) -> None:
    """See the module's docstring."""
    until, draws, bad, warming_count, worst, used = time.monotonic() + seconds, 0, [], 0, [], []
    while time.monotonic() < until:
        fleet = Fleet(seed + draws)
        nodes = fleet.run()
        warming_count += len(nodes)
        worst.append((max((warming_node.worst_load for warming_node in nodes), default=0.0), seed + draws))
        used += [
            warming_node.utilization()
            for warming_node in nodes
            if fleet.demand >= 1 and warming_node.last_arrival_at - warming_node.started_at > 2.0
        ]
        if any(warming_node.collapsed for warming_node in nodes):
            bad.append(seed + draws)
        draws += 1
    print(f"{draws} draws, {warming_count} warming nodes; collapses in {len(bad)} draws: {bad[:40]}")
    used.sort()
    print(
        "utilization of warming nodes, deciles and mean:",
        [round(used[len(used) * part // 10], 2) for part in range(10)],
        round(sum(used) / len(used), 2),
    )
    print("worst:", [(round(part, 2), at) for part, at in sorted(worst, reverse=True)[:12]])


if __name__ == "__main__":
    main(float(sys.argv[1]), *map(int, sys.argv[2:]))
