"""Many scheduler instances keep the rules in both kinds of deployment.

`example/config.json` resembles the first deployment (one host, probes, Retry-After, four attempts);
`example/records.json` the second (four hosts, pushed lists, no Retry-After, three attempts, a limited plan
whose volumes are used through several hosts).  A checker follows a simulated run and names each broken rule.
"""

from __future__ import annotations

import random
from collections import deque
from dataclasses import replace
from heapq import heappop, heappush
from itertools import count

import pytest
from scenario import EXAMPLE
from scheduler_rig import LimitBucket

from mallowbeam.storage_gateway.scheduler import Scheduler
from mallowbeam.storage_gateway.scheduler.attempts import MAY_STILL_RUN
from mallowbeam.storage_gateway.scheduler.interface import (
    AttemptEnded,
    DiscoveryUpdate,
    DiscoveryUpdateKind,
    Event,
    Fail,
    Idempotency,
    NodeEntry,
    NodeState,
    Outcome,
    Plan,
    Reject,
    RequestArrived,
    RequestClass,
    Send,
    SetTimer,
    Settings,
    TimerFired,
)
from mallowbeam.storage_gateway.server.config import read_config

TYPICAL_CAPACITY_FACTOR = 1.3  # a typical node sustains this many times the guaranteed units while warming up
MAY_HAVE_RUN = (*MAY_STILL_RUN, Outcome.ERROR)


def example_settings(name: str) -> Settings:
    """The settings of an example configuration, as the gateway reads them."""
    return read_config({"BALANCER_CONFIG": str(EXAMPLE / name)}).settings


class Checker:
    """Checks the rules over a run: each request's attempts, their nodes and times, and its final answer."""

    def __init__(self, settings: Settings) -> None:
        self.settings, self.broken = settings, []
        self.answers: dict[str, int] = {}
        self.in_flight: dict[str, int] = {}  # attempts in flight, by request
        self.sends: dict[str, list[tuple[float, str]]] = {}
        self.ran: dict[str, bool] = {}  # whether an attempt may have run
        self.draining: dict[tuple[int, str], float] = {}  # when each host learned that a node drains
        self.buckets: dict[str, LimitBucket] = {}
        self.counted: set[str] = set()
        # By node: its start, and its recent units.
        self.started: dict[str, tuple[float, deque[tuple[float, int]]]] = {}

    def arrived(self, event: RequestArrived) -> None:
        self.answers[event.request], self.in_flight[event.request], self.sends[event.request] = 0, 0, []

    def drains(self, host: int, node: str, now: float) -> None:
        self.draining.setdefault((host, node), now)

    def sent(self, now: float, cls: RequestClass, request: str, node: str, host: int = 0) -> None:
        if self.in_flight[request]:
            self.broken.append(f"{request}: a second attempt while one is out")
        if self.answers[request]:
            self.broken.append(f"{request}: sent after its final answer")
        if now > self.draining.get((host, node), now) + self.settings.drain_grace:
            self.broken.append(f"{request}: new work for {node} after it was told to drain")
        if len(self.sends[request]) >= (self.settings.max_attempts or 99):
            self.broken.append(f"{request}: more attempts than allowed")
        if self.ran.get(request) and cls.idempotency is Idempotency.UNSAFE:
            self.broken.append(f"{request}: an unsafe request repeated after it may have run")
        if (
            self.ran.get(request)
            and cls.idempotency is Idempotency.KEYED
            and (now - self.sends[request][0][0] > cls.dedup_window or self.sends[request][0][1] != node)
        ):
            self.broken.append(f"{request}: a keyed repeat outside its node's window")
        self.in_flight[request] += 1
        self.sends[request].append((now, node))

    def reached(self, now: float, plan: Plan, volume: str, request: str, units: int) -> None:
        """Charge the platform's bucket of a volume at the first attempt that reached a node."""
        if not plan.limit or request in self.counted:
            return
        self.counted.add(request)
        bucket = self.buckets.setdefault(volume, LimitBucket(plan, now))
        bucket.take(now, units)
        if bucket.level < -max(plan.limit_slack, 0.1 * plan.limit_burst, self.settings.max_units):
            self.broken.append(f"{volume}: over its limit by {-bucket.level:.1f} units")

    def starts(self, node: str, now: float) -> None:
        self.started[node] = (now, deque())

    def worked(self, now: float, node: str, units: int) -> None:
        """Check all hosts' units at a node that is warming up against its current capacity."""
        s = self.settings
        if node not in self.started or not 0 <= now - self.started[node][0] < s.slow_start_time:
            return
        since, recent_units = self.started[node]
        recent_units.append((now, units))
        while recent_units[0][0] <= now - s.overload_window:
            recent_units.popleft()
        capacity = s.slow_start_capacity + (1.0 - s.slow_start_capacity) * (now - since) / s.slow_start_time
        if (
            sent := sum(n for _, n in recent_units)
        ) > TYPICAL_CAPACITY_FACTOR * s.slow_start_units * capacity / s.slow_start_capacity:
            self.broken.append(f"{node}: pushed over cold by {sent} units")

    def ended(self, request: str, outcome: Outcome) -> None:
        self.in_flight[request] -= 1
        self.ran[request] = self.ran.get(request, False) or outcome in MAY_HAVE_RUN
        if outcome is Outcome.OK:
            self.answered(request)

    def answered(self, request: str) -> None:
        self.answers[request] += 1
        if self.answers[request] > 1:
            self.broken.append(f"{request}: a second final answer")

    def close(self) -> list[str]:
        return self.broken + [f"{r}: no final answer" for r, n in self.answers.items() if n == 0]


def simulate(settings: Settings, seed: int, checker: Checker, hosts: int = 4, nodes: int = 10) -> int:
    """Simulate 20 s with `hosts` instances; returns the number of requests.

    One node drains at 5 s.  Another is removed at 7 s and returns, warming up, at 8 s, with twice the
    traffic.
    """
    draw = random.Random(seed)
    entries = [NodeEntry(f"n{i}", shard=i, zone=str(i % 3)) for i in range(nodes)]
    rigs = [Scheduler(replace(settings, hosts=hosts, host_index=n, seed=seed + n), 0.0) for n in range(hosts)]
    due: list[tuple[float, int, int, object]] = []
    order = count()
    timers: list[float | None] = [None] * hosts
    plans, classes = list(settings.plans.values()), list(settings.classes.values())
    volumes = {
        f"v{v}": (draw.choice(plans), draw.sample(range(hosts), draw.randint(1, min(3, hosts))))
        for v in range(12)
    }
    for n in range(hosts):
        heappush(due, (0.0, next(order), n, DiscoveryUpdate(DiscoveryUpdateKind.FULL, 1, entries)))
        draining = [replace(entries[3], state=NodeState.DRAINING)]
        gone = [replace(entries[6], state=NodeState.REMOVED)]
        back = [replace(entries[6], started_at=8.0)]
        for at, changed in ((5.0, draining), (7.0, gone), (8.0, back)):
            heappush(
                due,
                (
                    at + 0.9 * draw.random(),
                    next(order),
                    n,
                    DiscoveryUpdate(DiscoveryUpdateKind.DELTA, int(at), changed),
                ),
            )
    checker.starts("n6", 8.0)
    for second in range(20):
        for name, (_, through) in volumes.items():
            for _ in range(draw.choice((0, 2, 5, 20))):
                heappush(due, (0.1 + second + draw.random(), next(order), draw.choice(through), name))
    requests: dict[str, RequestArrived] = {}
    while due:
        now, _, n, entry = heappop(due)
        if entry == "timer":
            if timers[n] is None or timers[n] > now:
                continue
            timers[n], event = None, TimerFired(0)
        elif isinstance(entry, tuple):
            event = entry[1]
            checker.ended(event.request, event.outcome)
        elif isinstance(entry, Event):
            event = entry
            if isinstance(event, DiscoveryUpdate) and event.entries[0].state is NodeState.DRAINING:
                checker.drains(n, event.entries[0].node, now)
        else:
            plan, through = volumes[str(entry)]
            cls = draw.choice(classes)
            event = RequestArrived(
                request=f"q{next(order)}",
                request_class=cls.name,
                shard=draw.choice((*range(nodes), *[6] * 1)),
                units=draw.randint(1, 8),
                volume=str(entry),
                plan=plan.name,
                volume_hosts=len(through),
                key=f"{draw.getrandbits(64):016x}",
                expires_in=cls.deadline,
            )
            requests[event.request] = event
            checker.arrived(event)
        for action in rigs[n].step(now, [event]):
            if isinstance(action, SetTimer):
                timers[n] = action.at if timers[n] is None or timers[n] <= now else min(timers[n], action.at)
            elif isinstance(action, Reject | Fail):
                checker.answered(action.request)
            elif isinstance(action, Send):
                request = requests[action.request]
                cls = settings.classes[request.request_class]
                checker.sent(now, cls, action.request, action.node, n)
                number = len(checker.sends[action.request]) - 1
                outcome, after = draw.choices(
                    [
                        (Outcome.OK, 0.05),
                        (Outcome.TIMEOUT, 0.4),
                        (Outcome.RESET, 0.02),
                        (Outcome.NO_CONNECTION, 0.25),
                        (Outcome.ERROR, 0.03),
                    ],
                    weights=(84, 5, 4, 4, 3),
                )[0]
                if outcome is not Outcome.NO_CONNECTION:
                    checker.worked(now, action.node, request.units)
                    checker.reached(
                        now, settings.plans[request.plan], request.volume, request.request, request.units
                    )
                ended = AttemptEnded(
                    action.request, number, action.node, outcome, after, finished=outcome is Outcome.OK
                )
                heappush(due, (now + after, next(order), n, ("end", ended)))
        if timers[n] is not None:
            heappush(due, (timers[n], next(order), n, "timer"))
    return len(requests)


@pytest.mark.parametrize("name", ["config.json", "records.json"])
@pytest.mark.parametrize("seed", [1, 2])
def test_each_deployment_keeps_the_rules_across_its_hosts(name, seed):
    settings = example_settings(name)
    checker = Checker(settings)
    taken = simulate(settings, seed, checker)
    assert taken > 1000
    assert checker.close() == []
    assert (
        len(checker.counted) > 100
    ), "enough requests of a limited plan reached a node to exercise the limit"


def test_the_checker_names_each_broken_rule():
    """The checker can fail: it reports a run that breaks each rule once."""
    settings = example_settings("records.json")
    fetch, store = settings.classes["fetch"], settings.classes["store"]
    checker = Checker(settings)
    for request in ("a", "b", "c", "d", "e"):
        checker.arrived(RequestArrived(request, "fetch", expires_in=2.0))
    checker.sent(0.0, fetch, "a", "n0")
    checker.sent(0.0, fetch, "a", "n0")  # two at a time
    checker.drains(0, "n1", 1.0)
    checker.sent(1.3, fetch, "b", "n1")  # after the drain grace period
    checker.sent(0.0, store, "c", "n2")
    checker.ended("c", Outcome.TIMEOUT)
    checker.sent(3.5, store, "c", "n2")  # a keyed repeat after its window
    checker.answered("d")
    checker.answered("d")  # twice
    plain = settings.plans["plain"]
    for i in range(40):
        checker.reached(0.0, plain, "v", f"x{i}", 8)  # all at once, far over the limit
    checker.starts("n3", 0.0)
    for i in range(20):
        checker.worked(0.1 * i, "n3", 8)  # 160 units where about 80 overload it
    reported = [line.split(": ")[1] for line in checker.close()]
    assert reported[:4] == [
        "a second attempt while one is out",
        "new work for n1 after it was told to drain",
        "a keyed repeat outside its node's window",
        "a second final answer",
    ]
    assert "pushed over cold" in " ".join(reported)
    assert "over its limit" in reported[4] and reported.count("no final answer") == 4
