"""Random settings: instances run on drawn settings, and the rules are checked from outside."""

from __future__ import annotations

import random
from heapq import heappop, heappush

import pytest
from scheduler_rig import SLOW_START_SETTINGS, LimitBucket, Rig, make_settings, of

from mallowbeam.storage_gateway.scheduler import Scheduler
from mallowbeam.storage_gateway.scheduler.interface import (
    AttemptEnded,
    Cancel,
    ClientDisconnected,
    DeduplicationScope,
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
from mallowbeam.storage_gateway.scheduler.state import SchedulerState

MAY_RUN = (Outcome.OK, Outcome.ERROR, Outcome.TIMEOUT, Outcome.RESET, Outcome.CANCELLED)
SLACK = 0.008  # seconds past the deadline in which an answer still counts


def draw_settings(draw: random.Random) -> Settings:
    """Random settings: short and long times, optional rules, tight limits, unusual sizes."""
    top, hosts = draw.choice((1, 1, 2, 8, 40)), draw.choice((1, 1, 3, 200))
    classes, plans = {}, {}
    for name in "abc"[: draw.choice((1, 1, 2, 3))]:
        deadline = draw.choice((0.2, 0.2, 1.0, 8.0))
        classes[name] = RequestClass(
            name,
            draw.uniform(0.1, 5.0),
            deadline * draw.choice((0.25, 0.5, 1.0)),
            deadline,
            draw.choice((0.0, 0.2)),
            draw.choice(list(Idempotency)),
            draw.choice(list(DeduplicationScope)),
            draw.choice((0.0, 0.3, 2.0)),
            ordered=draw.random() < 0.2,
        )
    for name in draw.choice(((), ("p",), ("p", "q"))):
        limit = draw.choice((0.0, 2.0, 40.0))
        burst, slack = top * draw.choice((0.5, 1.0, 2.0 * hosts)), draw.choice((0.0, 0.5 * top, 8.0))
        plans[name] = Plan(
            name,
            5.0,
            draw.choice((0.0, 20.0)),
            draw.choice((0.5, 2.0)),
            1.0,
            limit,
            *((burst, slack) if limit else ()),
        )
    cold = {
        "slow_start_units": draw.choice((1.0, 24.0)),
        "slow_start_capacity": draw.choice((0.1, 0.5)),
        "slow_start_time": draw.choice((0.0, 0.5, 10.0)),
        "overload_multiple": draw.choice((1.5, 4.0)),
        "overload_window": draw.choice((0.3, 3.0)),
    }
    budget = {
        "retry_budget_floor": 2.0,
        "retry_budget_ratio": 0.1,
        "retry_budget_window": draw.choice((0.3, 5.0)),
    }
    return make_settings(
        seed=draw.getrandbits(32),
        hosts=hosts,
        zone="",
        tick=draw.choice((0.0, 0.002)),
        classes=classes,
        plans=plans,
        typical_units=(1 + top) / 2,
        max_units=top,
        may_cancel=draw.random() < 0.5,
        max_attempts=draw.choice((None, 1, 4)),
        retry_after=draw.random() < 0.5,
        max_retry_after=draw.choice((0.0, 0.1, 2.0)),
        drain_grace=draw.choice((0.0, 0.25, None)),
        discovery_on_request=draw.random() < 0.5,
        max_list_age=draw.choice((None, 0.3)),
        order_settle_time=draw.choice((0.0, 0.3)),
        limit_at_arrival=draw.random() < 0.5,
        **(cold if draw.random() < 0.6 else {}),
        **(budget if draw.random() < 0.3 else {}),
    )


class Service:
    """One instance on drawn settings, with its clients and nodes; checks the rules."""

    def __init__(self, seed: int) -> None:
        draw = self.draw = random.Random(seed)
        self.settings, self.now, self.sequence = draw_settings(draw), 100.0, 0
        self.host = Scheduler(self.settings, self.now)
        self.nodes = {f"n{i}": (i % 3, "ab"[i % 2] if draw.random() < 0.8 else "") for i in range(4)}
        self.closed: set[str] = set()
        self.events: list = []
        self.requests: dict[str, RequestArrived] = {}
        self.deadlines: dict[str, float] = {}
        self.final_answers: dict[str, str] = {}
        self.attempt_numbers: dict[str, int] = {}
        self.in_flight: dict[tuple[str, int], str] = {}
        self.sent_at: dict[tuple[str, int], float] = {}
        self.ran: dict[str, list[tuple[str, float]]] = {}
        self.buckets: dict[str, LimitBucket] = {}
        self.charged: set[str] = set()
        self.served, self.fault_rate = 0, draw.choice((0.0, 0.1, 0.5))
        self.latency = draw.choice((0.005, 0.05, 0.5))
        self.step(DiscoveryUpdate(DiscoveryUpdateKind.CACHED, 1, [self.entry(name) for name in self.nodes]))

    def entry(self, name: str, state: NodeState = NodeState.READY, since: float | None = None) -> NodeEntry:
        return NodeEntry(name, state, self.nodes[name][0], self.nodes[name][1], since)

    def at(self, when: float, what) -> None:
        self.sequence += 1
        heappush(self.events, (when, self.sequence, what))

    def step(self, event: Event) -> None:
        for action in self.host.step(self.now, [event]):
            if isinstance(action, SetTimer):
                self.at(action.at, lambda: self.step(TimerFired(0)))
            elif isinstance(action, Send):
                self.sent(action)
            elif isinstance(action, Cancel) and (action.request, action.attempt) in self.in_flight:
                assert self.settings.may_cancel
                self.at(self.now, lambda a=action: self.ended(a.request, a.attempt, Outcome.CANCELLED))
            elif isinstance(action, Reject | Fail):
                self.check_final_answer(action)

    def check_final_answer(self, action: Reject | Fail) -> None:
        name = action.request
        assert name not in self.final_answers, "two final answers"
        assert self.now <= self.deadlines[name] + SLACK, "answered too late"
        self.final_answers[name] = type(action).__name__
        if isinstance(action, Reject):
            assert (action.retry_after is None) is not self.settings.retry_after
            assert 0 <= (action.retry_after or 0.0) <= self.settings.max_retry_after
            cls = self.settings.classes[self.requests[name].request_class]
            may_have_run = name in self.ran or any(known == name for known, _ in self.in_flight)
            assert (
                not may_have_run
                or cls.idempotency is Idempotency.SAFE
                or cls.idempotency is Idempotency.KEYED
                and cls.dedup_scope is DeduplicationScope.ALL
            ), "a rejection of a request that may have run"

    def sent(self, send: Send) -> None:
        name, request = send.request, self.requests[send.request]
        number = self.attempt_numbers[name] = self.attempt_numbers.get(name, -1) + 1
        cls, node = self.settings.classes[request.request_class], self.nodes[send.node]
        assert name not in self.final_answers and send.node not in self.closed, "over, or a closed node"
        assert self.now < self.deadlines[name] and 0 < send.timeout <= self.deadlines[name] - self.now + 1e-9
        assert number < (self.settings.max_attempts or 1e9) and all(
            known != name for known, _ in self.in_flight
        )
        assert request.shard in (None, node[0])
        if name in self.ran:
            assert cls.idempotency is not Idempotency.UNSAFE, "an unsafe request again"
            if cls.idempotency is Idempotency.KEYED:
                first, began = self.ran[name][0]
                assert self.now <= began + cls.dedup_window, "a keyed request past its window"
                group = {"all": slice(0), "zone": slice(1, 2), "shard": slice(1)}[cls.dedup_scope.value]
                assert self.nodes[first][group] == node[group], "a keyed request outside its group"
        self.in_flight[name, number], self.sent_at[name, number] = send.node, self.now
        outcome = Outcome.OK if self.draw.random() >= self.fault_rate else self.draw.choice(list(Outcome))
        after = self.draw.expovariate(1 / self.latency)
        if after > send.timeout:
            after, outcome = send.timeout, Outcome.TIMEOUT
        unsent = outcome in (Outcome.NOT_SENT, Outcome.NO_CONNECTION)
        if self.settings.limit_at_arrival and not unsent:
            self.charge(name)  # its last byte arrives at once
        elif not self.settings.limit_at_arrival and outcome is not Outcome.NOT_SENT:
            self.charge(name)
        self.at(self.now + after, lambda: self.ended(name, number, outcome))

    def charge(self, name: str) -> None:
        """Charge this host's share of the volume's bucket, as the platform does."""
        request = self.requests[name]
        plan = self.settings.plans.get(request.plan)
        if plan is None or plan.limit <= 0 or name in self.charged:
            return
        self.charged.add(name)
        host_share = Plan(
            "",
            limit=plan.limit / request.volume_hosts,
            limit_burst=plan.limit_burst / request.volume_hosts,
        )
        bucket = self.buckets.setdefault(request.volume, LimitBucket(host_share, 100.0))
        bucket.take(self.now, request.units)
        assert bucket.level >= -plan.limit_slack / request.volume_hosts - 1e-3, "past its limit"

    def ended(self, name: str, number: int, outcome: Outcome) -> None:
        if (node := self.in_flight.pop((name, number), None)) is None:
            return
        if outcome in MAY_RUN:
            self.ran.setdefault(name, []).append((node, self.sent_at[name, number]))
        if outcome is Outcome.OK and name not in self.final_answers:
            self.final_answers[name] = "OK"
            self.served += 1
        self.step(
            AttemptEnded(
                name, number, node, outcome, self.now - self.sent_at[name, number], name in self.final_answers
            )
        )

    def arrive(self) -> None:
        draw, s = self.draw, self.settings
        self.sequence += 1
        name, cls = f"r{self.sequence}", draw.choice(list(s.classes.values()))
        plan = draw.choice([*s.plans, "none"])
        expires_in = cls.deadline * draw.choice((1.0, 1.0, 0.3, 0.001))
        self.requests[name] = request = RequestArrived(
            name,
            cls.name,
            expires_in,
            draw.choice((None, 0, 1, 2)),
            draw.randint(1, s.max_units),
            f"{plan}{draw.randrange(2)}",
            plan,
            s.hosts if s.hosts < 200 else 2,
            draw.choice((f"k{draw.randrange(5)}", f"{self.sequence:016x}", None)),
        )
        self.deadlines[name] = self.now + expires_in
        self.step(request)
        if draw.random() < 0.05:
            self.at(self.now + draw.random() * expires_in, lambda: self.disconnect(name))

    def disconnect(self, name: str) -> None:
        if name not in self.final_answers:
            self.final_answers[name] = "gone"
        self.step(ClientDisconnected(name))

    def update_list(self) -> None:
        draw, name = self.draw, self.draw.choice(list(self.nodes))
        if draw.random() < 0.2:
            return self.step(
                DiscoveryUpdate(draw.choice((DiscoveryUpdateKind.FAILED, DiscoveryUpdateKind.TIMED_OUT)))
            )
        state = draw.choice((NodeState.READY, NodeState.READY, *NodeState))
        (self.closed.discard if state is NodeState.READY else self.closed.add)(name)
        self.step(
            DiscoveryUpdate(
                DiscoveryUpdateKind.DELTA, 2, [self.entry(name, state, draw.choice((None, self.now)))]
            )
        )
        return None

    def play(self, requests: int) -> None:
        """Run to the end; every request must then have its final answer."""
        draw, when = self.draw, self.now
        pace = draw.choice((0.002, 0.02, 0.1))
        for _ in range(requests):
            when += draw.expovariate(1 / pace)
            self.at(when, self.arrive)
            if draw.random() < 0.03:
                self.at(when, self.update_list)
        self.at(when + 60.0, lambda: None)
        while self.events and self.events[0][0] <= when + 60.0:
            self.now, _, what = heappop(self.events)
            what()
        assert set(self.final_answers) == set(self.requests), "a request without its final answer"


@pytest.mark.parametrize("seed", range(60))
def test_any_customers_settings(seed):
    service = Service(seed)
    service.play(150)
    host = service.host
    assert not host.state.requests and not host.key_order.queues and not service.in_flight
    for node in host.state.nodes.values():
        assert not node.in_flight and not node.units_in_flight and not node.queue
    for volume in host.volumes.by_key.values():
        assert not volume.pending_units and not volume.uploading_units


def test_a_request_larger_than_the_limit_reserves_nothing_from_others():
    """Half of the bucket was kept for a more valuable request that is larger than the bucket."""
    plan = Plan("p", limit=1.0, limit_burst=8.0)
    rig = Rig(plans={"p": plan})
    rig.wait(60.0)  # the bucket is full
    assert of(rig.step(rig.request("read", units=9, plan="p")), Reject)
    sent = sum(len(of(rig.step(rig.request("log", units=1, plan="p")), Send)) for _ in range(8))
    assert sent == 7  # one less than the bucket holds, for rounding


@pytest.mark.parametrize("slow_start_time", [0.0, None])
def test_without_slow_start_no_node_is_treated_as_warming_up(slow_start_time):
    """Without a slow-start time, lost connections marked a node as warming up, or raised an error."""
    rig = Rig(
        **SLOW_START_SETTINGS | {"slow_start_time": slow_start_time, "slow_start_units": 1.0, "hosts": 200}
    )
    for _ in range(2):
        rig.step(rig.ended(of(rig.step(rig.request(units=1)), Send)[0], Outcome.NO_CONNECTION))
    assert rig.host.state.nodes["n0"].suspect  # so it gets trial requests
    assert of(rig.step(rig.request(plan="silver", units=8), after=0.3), Send)


@pytest.mark.parametrize("units", [1, 20, 200])
def test_a_service_whose_requests_count_many_units_is_used(units):
    """The initial latency estimate must not grow with the unit: 20 units seemed to exceed the deadline."""
    cls = RequestClass("only", latency_target=1.0, deadline=1.0)
    rig = Rig(classes={"only": cls}, typical_units=units, max_units=2 * units)
    assert of(rig.step(rig.request("only", units=2 * units)), Send)


def test_a_timer_a_microsecond_early_does_not_spin(monkeypatch):
    """A key's pause that ended within the clock's rounding set a timer that was due at once, endlessly."""
    rig = Rig(order_settle_time=0.3)
    first = of(rig.step(rig.request("ordered", key="k")), Send)[0]
    rig.step(rig.ended(first, Outcome.TIMEOUT), rig.request("ordered", key="k"))
    seen = []
    schedule, advance = SchedulerState.schedule, rig.host.key_order.advance
    monkeypatch.setattr(
        SchedulerState,
        "schedule",
        lambda state, *what: schedule(state, *what) if len(seen) < 100 else pytest.fail("spins"),
    )
    monkeypatch.setattr(rig.host.key_order, "advance", lambda key: (seen.append(key), advance(key)))
    rig.wait(0.3 - 1e-6)
    rig.timer = None  # it fires now, rounded down
    rig.step(TimerFired(0))
    assert of(rig.wait(0.2), Send)


def test_idle_keys_and_retry_budgets_keep_no_state():
    """Each key's pause, and the time of each request, stayed in memory for ever."""
    rig = Rig(order_settle_time=0.3, retry_budget_floor=2.0, retry_budget_window=1.0)
    for _ in range(20):
        for send in of(rig.step(rig.request("ordered")), Send):
            rig.step(rig.ended(send, Outcome.TIMEOUT))
    rig.step(after=5.0)
    assert not rig.host.key_order.paused_until and not rig.host.retries.requests_at
