"""Small builders shared by the tests of the decision module, which is driven through its interface only."""

from __future__ import annotations

from mallowbeam.storage_gateway.scheduler import Scheduler
from mallowbeam.storage_gateway.scheduler import interface as io

CLASSES = [
    io.RequestClass("read", worth=3, aim=0.25, deadline=1.2, late_worth=0.2, repeat=io.Repeat.SAFE),
    io.RequestClass("log", worth=2, aim=0.4, deadline=3.0, late_worth=0.1, repeat=io.Repeat.UNSAFE),
    io.RequestClass(
        "keyed",
        worth=2,
        aim=0.4,
        deadline=3.0,
        repeat=io.Repeat.KEYED,
        scope=io.Scope.ZONE,
        repeat_window=1.0,
    ),
    io.RequestClass("ordered", worth=2, aim=0.4, deadline=3.0, repeat=io.Repeat.SAFE, ordered=True),
]
PLANS = [
    io.Plan("gold", rate=10, reserve=10, weight=2, price=1.5),
    io.Plan("silver", price=0.5),
    io.Plan("basic", rate=2, reserve=0, weight=1, price=0.7, limit=20, limit_burst=32, limit_slack=8),
]

COLD = {
    "cold_units": 24.0,
    "cold_start": 0.2,
    "cold_time": 10.0,
    "fall_multiple": 2.0,
    "fall_window": 2.0,
    "hosts": 112,
}


def make_settings(**changes) -> io.Settings:
    """Settings of a small deployment; keyword arguments replace single ones."""
    base = {
        "seed": 7,
        "hosts": 1,
        "zone": "a",
        "tick": 0.002,
        "classes": {c.name: c for c in CLASSES},
        "plans": {p.name: p for p in PLANS},
        "usual_units": 2.0,
        "units_top": 8,
        "share_worth": 0.3,
        "spare_worth": 0.05,
        "may_cancel": True,
        "max_attempts": 4,
        "retry_after": True,
        "max_retry_after": 1.0,
        "drain_grace": 0.25,
    }
    return io.Settings(**(base | changes))


class Rig:
    """One scheduler, its clock, and what it did."""

    def __init__(self, nodes: int = 1, now: float = 100.0, **changes) -> None:
        self.now = now
        self.settings = make_settings(**changes)
        self.host = Scheduler(self.settings, now)
        self.count = 0
        self.timer: float | None = None
        entries = [io.NodeEntry(f"n{i}", shard=i, zone="ab"[i % 2]) for i in range(nodes)]
        self.first = self.step(io.NodesListed(io.ListKind.CACHED, 1, entries))

    def step(self, *events: io.Event, after: float = 0.0) -> list[io.Action]:
        """Advance the clock, hand over the events, and return the actions but for timers."""
        self.now += after
        actions = self.host.step(self.now, list(events))
        timers = [a.at for a in actions if isinstance(a, io.SetTimer)]
        if timers:
            self.timer = (
                min(timers) if self.timer is None or self.timer <= self.now else min(self.timer, *timers)
            )
        return [a for a in actions if not isinstance(a, io.SetTimer)]

    def wait(self, seconds: float) -> list[io.Action]:
        """Let time pass, firing the timers that fall due."""
        end, seen = self.now + seconds, []
        while self.timer is not None and self.timer <= end:
            self.now, self.timer = max(self.now, self.timer), None
            seen += self.step(io.TimerFired(0))
        self.now = end
        return seen

    def request(self, cls: str = "read", **fields) -> io.RequestArrived:
        """A request with an id of its own."""
        self.count += 1
        values = {
            "request": f"r{self.count}",
            "cls": cls,
            "shard": 0,
            "units": 2,
            "volume": "v",
            "plan": "gold",
            "hosts_of_volume": 1,
            "key": f"{self.count:016x}",
            "expires_in": self.settings.classes[cls].deadline,
        }
        return io.RequestArrived(**(values | fields))

    def ended(
        self, send: io.Send, outcome: io.Outcome = io.Outcome.OK, attempt: int = 0, latency: float = 0.05
    ) -> io.AttemptEnded:
        """The outcome of an attempt, as the host reports it."""
        return io.AttemptEnded(
            send.request, attempt, send.node, outcome, latency, finished=outcome is io.Outcome.OK
        )


class Store:
    """A volume's one store as the platform keeps it: it takes a request's units when a node first has it."""

    def __init__(self, plan: io.Plan, now: float) -> None:
        self.plan, self.level, self.at, self.least = plan, plan.limit_burst, now, plan.limit_burst

    def take(self, now: float, units: int) -> None:
        self.level = min(self.plan.limit_burst, self.level + (now - self.at) * self.plan.limit) - units
        self.at, self.least = now, min(self.least, self.level)

    def change(self, now: float, plan: io.Plan) -> None:
        """The platform puts the volume on another plan: nothing is filled up by that."""
        self.take(now, 0)
        self.plan, self.level = plan, min(self.level, plan.limit_burst)


def of(actions: list[io.Action], kind: type) -> list:
    """The actions of one kind."""
    return [a for a in actions if isinstance(a, kind)]


def fill(rig: Rig, **fields) -> list[io.Send]:
    """Requests until the node's room is taken; returns what went out."""
    return of(rig.step(*[rig.request(**fields) for _ in range(12)]), io.Send)
