"""Helpers for tests of the scheduler, which they drive through its interface only."""

from __future__ import annotations

from mallowbeam.storage_gateway.scheduler import Scheduler
from mallowbeam.storage_gateway.scheduler.interface import (
    Action,
    AttemptEnded,
    DeduplicationScope,
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

CLASSES = [
    RequestClass(
        "read", value=3, latency_target=0.25, deadline=1.2, late_value=0.2, idempotency=Idempotency.SAFE
    ),
    RequestClass(
        "log", value=2, latency_target=0.4, deadline=3.0, late_value=0.1, idempotency=Idempotency.UNSAFE
    ),
    RequestClass(
        "keyed",
        value=2,
        latency_target=0.4,
        deadline=3.0,
        idempotency=Idempotency.KEYED,
        dedup_scope=DeduplicationScope.ZONE,
        dedup_window=1.0,
    ),
    RequestClass(
        "ordered", value=2, latency_target=0.4, deadline=3.0, idempotency=Idempotency.SAFE, ordered=True
    ),
]
PLANS = [
    Plan("gold", rate=10, reserve=10, weight=2, price=1.5),
    Plan("silver", price=0.5),
    Plan("basic", rate=2, reserve=0, weight=1, price=0.7, limit=20, limit_burst=32, limit_slack=8),
]

SLOW_START_SETTINGS = {
    "slow_start_units": 24.0,
    "slow_start_capacity": 0.2,
    "slow_start_time": 10.0,
    "overload_multiple": 2.0,
    "overload_window": 2.0,
    "hosts": 112,
}


def make_settings(**changes) -> Settings:
    """Settings of a small deployment; keyword arguments replace fields."""
    base = {
        "seed": 7,
        "hosts": 1,
        "zone": "a",
        "tick": 0.002,
        "classes": {c.name: c for c in CLASSES},
        "plans": {p.name: p for p in PLANS},
        "typical_units": 2.0,
        "max_units": 8,
        "share_value": 0.3,
        "spare_value": 0.05,
        "may_cancel": True,
        "max_attempts": 4,
        "retry_after": True,
        "max_retry_after": 1.0,
        "drain_grace": 0.25,
    }
    return Settings(**(base | changes))


class Rig:
    """One scheduler with its clock and its pending timer."""

    def __init__(self, nodes: int = 1, now: float = 100.0, **changes) -> None:
        self.now = now
        self.settings = make_settings(**changes)
        self.host = Scheduler(self.settings, now)
        self.request_count = 0
        self.timer: float | None = None
        entries = [NodeEntry(f"n{i}", shard=i, zone="ab"[i % 2]) for i in range(nodes)]
        self.initial_actions = self.step(DiscoveryUpdate(DiscoveryUpdateKind.CACHED, 1, entries))

    def step(self, *events: Event, after: float = 0.0) -> list[Action]:
        """Advance the clock, pass the events, and return the actions other than timers."""
        self.now += after
        actions = self.host.step(self.now, list(events))
        timers = [a.at for a in actions if isinstance(a, SetTimer)]
        if timers:
            self.timer = (
                min(timers) if self.timer is None or self.timer <= self.now else min(self.timer, *timers)
            )
        return [a for a in actions if not isinstance(a, SetTimer)]

    def wait(self, seconds: float) -> list[Action]:
        """Advance the clock, firing the timers that become due."""
        end, actions = self.now + seconds, []
        while self.timer is not None and self.timer <= end:
            self.now, self.timer = max(self.now, self.timer), None
            actions += self.step(TimerFired(0))
        self.now = end
        return actions

    def request(self, request_class: str = "read", **fields) -> RequestArrived:
        """A request with a new id."""
        self.request_count += 1
        values = {
            "request": f"r{self.request_count}",
            "request_class": request_class,
            "shard": 0,
            "units": 2,
            "volume": "v",
            "plan": "gold",
            "volume_hosts": 1,
            "key": f"{self.request_count:016x}",
            "expires_in": self.settings.classes[request_class].deadline,
        }
        return RequestArrived(**(values | fields))

    def ended(
        self, send: Send, outcome: Outcome = Outcome.OK, attempt: int = 0, latency: float = 0.05
    ) -> AttemptEnded:
        """The outcome of an attempt, as the host reports it."""
        return AttemptEnded(
            send.request, attempt, send.node, outcome, latency, finished=outcome is Outcome.OK
        )


class LimitBucket:
    """A volume's limit bucket at the platform: charged when a node first gets a request."""

    def __init__(self, plan: Plan, now: float) -> None:
        self.plan, self.level, self.at, self.lowest_level = plan, plan.limit_burst, now, plan.limit_burst

    def take(self, now: float, units: int) -> None:
        self.level = min(self.plan.limit_burst, self.level + (now - self.at) * self.plan.limit) - units
        self.at, self.lowest_level = now, min(self.lowest_level, self.level)

    def change(self, now: float, plan: Plan) -> None:
        """Put the volume on another plan; this does not refill the bucket."""
        self.take(now, 0)
        self.plan, self.level = plan, min(self.level, plan.limit_burst)


def of(actions: list[Action], kind: type) -> list:
    """The actions of one kind."""
    return [a for a in actions if isinstance(a, kind)]


def fill(rig: Rig, **fields) -> list[Send]:
    """Fill the node's window with requests; returns the attempts sent."""
    return of(rig.step(*[rig.request(**fields) for _ in range(12)]), Send)
