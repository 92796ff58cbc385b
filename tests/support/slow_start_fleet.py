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
class Cold:
    """A node that has started, with the load on it as the platform counts it."""

    settings: Settings
    since: float
    came: deque[tuple[float, int, bool]] = field(default_factory=deque)
    units: int = 0
    told: int = 0  # those units from hosts that knew of its start
    worst: float = 0.0  # highest load in any window, as a fraction of its budget with the slack
    total: int = 0
    last: float = 0.0  # time of its last arrival
    down: bool = False
    fell: bool = False  # collapsed with over two thirds of the load from hosts that knew of its start

    def bears(self, now: float) -> float:
        """Requests of mean size that the settings allow in the window that ends now."""
        s = self.settings
        age = max(0.0, now - self.since - s.overload_window / 2)
        ramp = min(
            1.0, s.slow_start_capacity + (1.0 - s.slow_start_capacity) * age / max(s.slow_start_time, 1e-9)
        )
        return s.slow_start_units * ramp / s.slow_start_capacity / s.typical_units

    def used(self) -> float:
        """Units received while warming up, as a fraction of the capacity over the simulated time."""
        s = self.settings
        full = s.slow_start_units / (s.overload_multiple * s.slow_start_capacity * s.overload_window)
        lasts = min(self.last - self.since, s.slow_start_time)
        return (
            self.total
            / full
            / lasts
            / (s.slow_start_capacity + (1 - s.slow_start_capacity) * lasts / s.slow_start_time / 2)
        )

    def come(self, now: float, units: int, told: bool) -> None:
        """Count units that arrive, whatever the outcome of their request."""
        if self.down or now >= self.since + self.settings.slow_start_time:
            return
        self.came.append((now, units, told))
        self.units, self.told, self.total = self.units + units, self.told + units * told, self.total + units
        self.last = now
        while self.came[0][0] <= now - self.settings.overload_window:
            _, gone, was_told = self.came.popleft()
            self.units, self.told = self.units - gone, self.told - gone * was_told
        n = self.bears(now)
        part = self.units / self.settings.typical_units / (n + 2 * n**0.5 + 2)
        self.down = part > 1
        if 3 * self.told > 2 * self.units:
            self.worst, self.fell = max(self.worst, part), self.down


class Fleet:
    """Hosts, nodes, and volumes with their hosts, all drawn from one seed.

    Keyword arguments replace drawn values: settings, or other names in `drawn`.
    """

    def __init__(self, seed: int, module: Callable = Scheduler, **given) -> None:
        draw = self.draw = random.Random(seed)
        self.module, self.now, self.seq = module, 1000.0, 0
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
            "faulty": draw.choice((0.0, 0.0, 0.1, 0.4)),  # fraction of attempts that fail
            "late": draw.choice((0.0, 0.0, 0.3)),  # fraction of connections that are established 1.5 s late
            "burst": draw.choice(
                (1.0, 1.0, 1.5, 2.5)
            ),  # factor on the traffic for 3 s, from the start or 2 s later
            "spread": draw.random() < 0.5,  # volumes use all hosts; some hosts get several times the mean
            "told_late": draw.random() < 0.5,
            "restarts": draw.random() < 0.3,
            "again": draw.random() < 0.2,
            "hot": draw.random() < 0.3,  # half of the requests use one volume, through its few hosts
            "keys": draw.choice((60, 10**9, 10**9)),
            "only": None,
            "lasts": 12.0,
            "known": draw.choice((0.2, 3.0)),
        } | given  # `known`: seconds of traffic before the first start
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
        self.colds: dict[str, Cold] = {}
        self.all_colds: list[Cold] = []
        self.events: list[tuple[float, int, Callable]] = []
        self.instances = [self._host(n) for n in range(hosts)]
        self.lives = [0] * hosts
        self.tries: dict[tuple[int, str], int] = {}
        self.units: dict[str, int] = {}
        self.told: list[dict[str, float]] = [{} for _ in range(hosts)]
        self.weights = [draw.choice((0.3, 1.0, 1.0, 4.0)) for _ in range(hosts)]

    def _host(self, number: int) -> Scheduler:
        host = self.module(self.settings, self.now)
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

    def at(self, when: float, what: Callable) -> None:
        """Schedule a callback."""
        self.seq += 1
        heappush(self.events, (when, self.seq, what))

    def step(self, number: int, event: Event) -> None:
        """Pass one event to one host, and carry out its actions."""
        for action in self.instances[number].step(self.now, [event]):
            if isinstance(action, SetTimer):
                self.at(
                    action.at,
                    lambda life=self.lives[number]: life == self.lives[number]
                    and self.step(number, TimerFired(0)),
                )
            elif isinstance(action, Send):
                self.sent(number, action)

    def sent(self, number: int, send: Send) -> None:
        """Begin an attempt now, or after 1.5 s if its connection is late; its outcome follows."""
        draw, life = self.draw, self.lives[number]
        attempt = self.tries[number, send.request] = self.tries.get((number, send.request), -1) + 1
        delay = 1.5 if draw.random() < self.late else 0.0
        outcome = draw.choice(FAULTS) if draw.random() < self.faulty else Outcome.OK
        units, begun = self.units[send.request], self.now

        def ended() -> None:
            if life == self.lives[number]:
                self.step(
                    number,
                    AttemptEnded(
                        send.request, attempt, send.node, outcome, self.now - begun, outcome is Outcome.OK
                    ),
                )

        def comes() -> None:
            nonlocal outcome
            if life != self.lives[number]:
                return
            if not self.instances[number].may_begin(self.now, send.request, attempt):
                outcome = Outcome.NOT_SENT
            elif outcome is not Outcome.NO_CONNECTION and (cold := self.colds.get(send.node)):
                cold.come(self.now, units, self.told[number].get(send.node) == cold.since)
            self.at(self.now + draw.uniform(0.02, 0.3), ended)

        if delay:
            self.at(self.now + delay, comes)
        else:
            comes()

    def arrive(self) -> None:
        """Send a client's request to a host of its volume, and schedule the next one."""
        draw, hosts = self.draw, self.settings.hosts
        hot = self.hot and draw.random() < 0.5
        name, through, shards, plan, _ = self.volumes[0] if hot else draw.choices(self.volumes, self.heats)[0]
        # A volume's first host gets most of its requests; the others share the rest.
        number, of = through[0] if draw.random() < 0.6 else draw.choice(through), len(set(through))
        if self.spread:
            number, of = draw.choices(range(hosts), self.weights)[0], hosts
        number = number if self.only is None else self.only
        self.seq += 1
        request = f"r{self.seq}"
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
                f"{draw.randrange(self.keys):016x}",
            ),
        )
        surge = self.burst if self.burst_at <= self.now < self.burst_at + 3.0 else 1.0
        self.at(self.now + draw.expovariate(self.rate * surge), self.arrive)

    def start(self, name: str) -> None:
        """Start a node; each host learns of it at once, or up to 5 s late."""
        since = self.starts[name] = self.now
        self.colds[name] = cold = Cold(self.settings, since)
        self.all_colds.append(cold)
        for number in range(self.settings.hosts):
            late = self.draw.choice((0.0, 0.0, 0.0, 1.0, 5.0)) if self.told_late else 0.0
            self.at(self.now + late, lambda number=number: self.tell(number, name, since))

    def tell(self, number: int, name: str, since: float) -> None:
        """Inform a host of a start, unless the node has started again."""
        if self.starts[name] == since and self.told[number].get(name) != since:
            self.told[number][name] = since
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
        self.lives[number] += 1
        self.told[number] = dict(self.starts)
        self.instances[number] = self._host(number)

    def play(self) -> list[Cold]:
        """Run the simulation; returns the nodes that started."""
        draw, begin = self.draw, self.now + self.known
        self.heats = [volume[4] for volume in self.volumes]
        self.burst_at = begin + draw.choice((0.0, 2.0))
        self.at(self.now, self.arrive)
        for name in draw.sample(self.node_names, draw.randint(1, len(self.node_names))):
            self.at(begin + draw.choice((0.0, 0.0, 1.0)), lambda name=name: self.start(name))
        if self.again:
            self.at(begin + self.settings.overload_window / 2, lambda: self.start(self.node_names[0]))
        for number in range(self.settings.hosts if self.restarts else 0):
            if draw.random() < 0.7:
                self.at(begin + draw.uniform(0.3, 4.0), lambda number=number: self.restart(number))
        while self.events[0][0] < begin + self.lasts:
            self.now, _, what = heappop(self.events)
            what()
        return self.all_colds


def main(seconds: float, seed: int = 0) -> None:
    """See the module's docstring."""
    until, draws, bad, colds, worst, used = time.monotonic() + seconds, 0, [], 0, [], []
    while time.monotonic() < until:
        fleet = Fleet(seed + draws)
        nodes = fleet.play()
        colds += len(nodes)
        worst.append((max((cold.worst for cold in nodes), default=0.0), seed + draws))
        used += [cold.used() for cold in nodes if fleet.demand >= 1 and cold.last - cold.since > 2.0]
        if any(cold.fell for cold in nodes):
            bad.append(seed + draws)
        draws += 1
    print(f"{draws} draws, {colds} cold nodes; falls in {len(bad)} draws: {bad[:40]}")
    used.sort()
    print(
        "units, of those that a node could have done while cold:",
        [round(used[len(used) * part // 10], 2) for part in range(10)],
        round(sum(used) / len(used), 2),
    )
    print("worst:", [(round(part, 2), at) for part, at in sorted(worst, reverse=True)[:12]])


if __name__ == "__main__":
    main(float(sys.argv[1]), *map(int, sys.argv[2:]))
