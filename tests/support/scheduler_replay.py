"""Runs of the scheduler: drawn by seed, stored, and replayed to a text of all actions.

`PYTHONPATH=. python tests/support/scheduler_replay.py` writes the small run that test_replayed_actions.py
replays.  `compare_with_release.py` replays many runs through another version of the project.
"""

from __future__ import annotations

import hashlib
import random
import zlib
from collections.abc import Callable
from dataclasses import dataclass, replace
from pathlib import Path

import msgspec
from recorded_names import from_recorded, to_recorded
from scheduler_rig import make_settings

from mallowbeam.storage_gateway.scheduler import Scheduler
from mallowbeam.storage_gateway.scheduler.interface import (
    Action,
    AttemptEnded,
    Cancel,
    ClientDisconnected,
    DeduplicationScope,
    DiscoveryUpdate,
    DiscoveryUpdateKind,
    Event,
    NodeEntry,
    NodeState,
    OperatorOverride,
    Outcome,
    Plan,
    PlanChanged,
    RequestArrived,
    Send,
    SetTimer,
    Settings,
    SiblingSend,
    StreamStarted,
    TimerFired,
    UploadProgress,
)

FILE = Path(__file__).with_name("scheduler.trace")
SLOW_START = {
    "slow_start_units": 24.0,
    "slow_start_capacity": 0.2,
    "slow_start_time": 10.0,
    "overload_multiple": 2.0,
    "overload_window": 2.0,
}
RETRY_BUDGET = {"retry_budget_floor": 3.0, "retry_budget_ratio": 0.1, "retry_budget_window": 5.0}
OUTCOMES = [Outcome.OK] * 60 + list(Outcome)
ZONES = "abc"


@dataclass(slots=True)
class BeginCheck:
    """The host asks whether an attempt may send its first byte; not an event of the interface."""

    request: str
    attempt: int


Step = tuple[float, list[Event | BeginCheck]]  # time in seconds, and its events
Run = tuple[Settings, list[Step]]


def draw_settings(draw: random.Random) -> Settings:
    """Settings with rules switched on and off by the seed."""
    settings = make_settings(
        seed=draw.getrandbits(32),
        hosts=draw.choice((1, 3, 40)),
        may_cancel=draw.random() < 0.7,
        limit_at_arrival=draw.random() < 0.5,
        max_attempts=draw.choice((None, 2, 4)),
        order_settle_time=draw.choice((0.0, 0.2)),
        retry_after=draw.random() < 0.5,
        discovery_on_request=draw.random() < 0.5,
        max_list_age=draw.choice((None, 1.0)),
        **(SLOW_START if draw.random() < 0.6 else {}),
        **(RETRY_BUDGET if draw.random() < 0.5 else {}),
    )
    keyed = replace(settings.classes["keyed"], dedup_scope=draw.choice(list(DeduplicationScope)))
    return replace(settings, classes=settings.classes | {"keyed": keyed})


class Recorder:
    """Draws one host's run: the events of each step follow from the scheduler's earlier actions."""

    def __init__(self, seed: int) -> None:
        self.draw = random.Random(seed)
        self.settings = draw_settings(self.draw)
        self.now = 100.0
        self.scheduler = Scheduler(self.settings, self.now)
        self.timer: float | None = None
        self.pace = self.draw.choice((1, 1, 4, 15))
        self.gap = self.draw.choice((0.02, 0.05, 0.1, 0.2))  # seconds between events, times pace
        self.latency = self.draw.choice((0.02, 0.04, 0.1))
        self.requests = 0
        self.attempts: dict[str, int] = {}  # the last attempt's number, by request
        self.in_flight: dict[tuple[str, int], tuple[str, float]] = {}  # node, and end time
        self.starts: dict[str, float | None] = {}
        # Event sources with their weights out of 1000; otherwise requests arrive.
        self.event_sources: list[tuple[int, Callable[[], list[Event | BeginCheck]]]] = [
            (40, self.attempt_progress),
            (10, self.begin_check),
            (10, self.discovery_update),
            (5, self.operator_override),
            (5, self.sibling_send),
            (3, self.plan_change),
        ]

    def record(self, steps: int) -> Run:
        """Record a number of steps, beginning with the first list."""
        nodes = self.draw.randint(3, 10)
        kind = self.draw.choice((DiscoveryUpdateKind.CACHED, DiscoveryUpdateKind.FULL))
        entries = [NodeEntry(f"n{i}", shard=i % 5, zone=ZONES[i % 3]) for i in range(nodes)]
        events: list[Event | BeginCheck] = [DiscoveryUpdate(kind, 1, entries)]
        run: list[Step] = []
        for _ in range(steps):
            run.append((self.now, events))
            for action in step(self.scheduler, self.now, events)[0]:
                self.record_action(action)
            events = self.next_events()
        return self.settings, run

    def record_action(self, action: Action) -> None:
        """Record an action of the scheduler, so that later events follow from it."""
        if isinstance(action, SetTimer):
            due = self.timer is None or self.timer <= self.now
            self.timer = action.at if due else min(self.timer, action.at)
        elif isinstance(action, Send):
            number = self.attempts[action.request] = self.attempts.get(action.request, -1) + 1
            ends_at = self.now + self.latency * self.draw.choice((0.5, 1, 1, 1, 2, 8))
            self.in_flight[action.request, number] = (action.node, ends_at)
        elif isinstance(action, Cancel) and (action.request, action.attempt) in self.in_flight:
            node, _ = self.in_flight[action.request, action.attempt]
            self.in_flight[action.request, action.attempt] = (node, self.now)

    def next_events(self) -> list[Event | BeginCheck]:
        """Advance the clock to the next step, and draw its events."""
        if self.draw.random() < 0.01:
            self.gap = self.draw.choice((0.002, 0.01, 0.03, 0.05, 0.1, 0.3))
            self.latency = self.draw.choice((0.02, 0.04, 0.3))
        self.now += self.draw.expovariate(1 / self.gap / self.pace)
        if self.timer is not None and self.timer <= self.now:
            self.now, self.timer = self.timer, None
            return [TimerFired(0)]
        events = self.ended_attempts()
        chosen = self.draw.randrange(1000)
        for weight, event_source in self.event_sources:
            if chosen < weight:
                return events + event_source()
            chosen -= weight
        return events + [self.request() for _ in range(self.draw.choice((1, 1, 1, 1, 8)))]

    def ended_attempts(self) -> list[Event | BeginCheck]:
        """The attempts that end now, each with a drawn outcome."""
        events: list[Event | BeginCheck] = []
        for (request, number), (node, ends_at) in sorted(self.in_flight.items()):
            if ends_at <= self.now:
                del self.in_flight[request, number]
                outcome = self.draw.choice(OUTCOMES)
                finished = self.draw.random() < (outcome is Outcome.OK)
                remote = self.draw.choice((0, 0, 0, 3))
                events.append(
                    AttemptEnded(request, number, node, outcome, 0.05, finished, remote_units=remote)
                )
        return events

    def attempt_progress(self) -> list[Event | BeginCheck]:
        """A stream starts, a large body is forwarded, or the client disconnects."""
        if not self.in_flight:
            return [self.request()]
        (request, number), (node, _) = self.draw.choice(sorted(self.in_flight.items()))
        return [
            self.draw.choice(
                (
                    StreamStarted(request, number, node, 0.04),
                    UploadProgress(request, number),
                    UploadProgress(request, number, 0.8),
                    ClientDisconnected(request),
                )
            )
        ]

    def begin_check(self) -> list[Event | BeginCheck]:
        """The connection of an attempt is established."""
        if not self.in_flight:
            return []
        return [BeginCheck(*self.draw.choice(sorted(self.in_flight)))]

    def discovery_update(self) -> list[Event | BeginCheck]:
        """A list of one node or of all, or a failure."""
        name = f"n{self.draw.randrange(9)}"
        self.starts[name] = self.draw.choice((self.starts.get(name), self.now, None))
        kind = self.draw.choice((DiscoveryUpdateKind.DELTA,) * 3 + tuple(DiscoveryUpdateKind))
        states = (NodeState.READY,) * 9 + tuple(NodeState)
        entries = [
            NodeEntry(f"n{i}", self.draw.choice(states), i % 5, ZONES[i % 3], self.starts.get(f"n{i}"))
            for i in range(10)
            if f"n{i}" == name or kind is not DiscoveryUpdateKind.DELTA
        ]
        return [DiscoveryUpdate(kind, 2, entries)]

    def operator_override(self) -> list[Event | BeginCheck]:
        """An operator disables a node, or enables it again."""
        disabled_at = self.draw.choice((None, self.now - 1.0))
        return [OperatorOverride(f"n{self.draw.randrange(9)}", self.draw.random() < 0.2, disabled_at)]

    def sibling_send(self) -> list[Event | BeginCheck]:
        """Another process of the host sent units, or hands over a level."""
        volume, plan = f"v{self.draw.randrange(6)}", self.draw.choice(("gold", "basic"))
        level = self.draw.choice((None, 5.0))
        return [SiblingSend(volume, plan, 2, f"n{self.draw.randrange(9)}", 3, 2, level)]

    def plan_change(self) -> list[Event | BeginCheck]:
        """A plan for all volumes, or an allotment that is made or revoked."""
        plan = self.settings.plans[self.draw.choice(("gold", "basic", "silver"))]
        changed = replace(
            plan,
            reserve=self.draw.choice((0.0, 5.0, plan.reserve)),
            limit=self.draw.choice((0.0, 0.0, 40.0, 400.0)),
            limit_burst=self.draw.choice((16.0, 64.0, 200.0)),
            limit_slack=self.draw.choice((0.0, 8.0)),
            price=self.draw.choice((0.5, 1.0, 3.0)),
        )
        volume = self.draw.choice(("", f"v{self.draw.randrange(6)}"))
        shard = self.draw.choice((None, None, self.draw.randrange(5))) if volume else None
        share = self.draw.choice((None, None, 0.0, 0.1, 0.5, 1.0))
        kept: Plan = self.draw.choice((changed, changed, plan))
        return [PlanChanged(kept, volume, shard, share)]

    def request(self) -> RequestArrived:
        """A request of a drawn class, size, volume and key."""
        self.requests += 1
        request_class = self.draw.choice(("read", "read", "log", "keyed", "ordered", "unknown"))
        ordered_key = f"k{self.draw.randrange(3)}"
        key = ordered_key if request_class == "ordered" else f"{self.draw.randrange(400):016x}"
        return RequestArrived(
            f"r{self.requests}",
            request_class,
            self.draw.choice((0.5, 1.2, 3.0, 60.0)),
            self.draw.choice((None, 0, 1, 2, 3, 4)),
            self.draw.randint(1, 8),
            f"v{self.draw.randrange(6)}",
            self.draw.choice(("gold", "gold", "silver", "basic", "none")),
            self.draw.choice((None, 1, 2)),
            self.draw.choice((key, key, key, None)),
        )


def record(seed: int, steps: int) -> Run:
    """Record the run of a seed."""
    return Recorder(seed).record(steps)


def step(
    scheduler: Scheduler, now: float, events: list[Event | BeginCheck]
) -> tuple[list[Action], list[bool]]:
    """The actions of one step, and the answers to its begin checks, which are made before its events."""
    checks = [event for event in events if isinstance(event, BeginCheck)]
    begins = [scheduler.may_begin(now, check.request, check.attempt) for check in checks]
    actions = scheduler.step(now, [replace(event) for event in events if not isinstance(event, BeginCheck)])
    return actions, begins


def replay(run: Run, digits: int | None = None) -> bytes:
    """All actions of a run as one text; `digits` rounds floats, for the same text with any libm version."""
    settings, steps = run
    scheduler, text = Scheduler(settings, steps[0][0]), []
    for now, events in steps:
        actions, begins = step(scheduler, now, events)
        text += [f"may begin: {begins}"] * bool(begins)
        text += [format_action(action, digits) for action in actions]
    return "\n".join(text).encode()


def format_action(action: Action, digits: int | None) -> str:
    """An action in the notation of recordings."""
    kind, fields = to_recorded(action)
    figures = [
        f"{value:.{digits}f}" if digits and isinstance(value, float) else repr(value)
        for value in fields.values()
    ]
    return f"{kind}({', '.join(figures)})"


def packed_steps(run: Run) -> list[list[object]]:
    """The steps as plain values with the recorded names."""
    return [
        [
            now,
            [
                ("BeginCheck", [event.request, event.attempt])
                if isinstance(event, BeginCheck)
                else to_recorded(event)
                for event in events
            ],
        ]
        for now, events in run[1]
    ]


def store(run: Run) -> bytes:
    """Pack a run with the digest of its actions."""
    return zlib.compress(
        msgspec.msgpack.encode(
            {
                "settings": to_recorded(run[0])[1],
                "digest": hashlib.sha256(replay(run, digits=4)).hexdigest(),
                "steps": packed_steps(run),
            }
        ),
        9,
    )


def load(packed: bytes) -> tuple[Run, str]:
    """Unpack a run and its digest; the inverse of `store`."""
    found = msgspec.msgpack.decode(zlib.decompress(packed))
    steps = [
        (
            now,
            [
                BeginCheck(*fields) if kind == "BeginCheck" else from_recorded(kind, fields)
                for kind, fields in events
            ],
        )
        for now, events in found["steps"]
    ]
    return (from_recorded("Settings", found["settings"]), steps), found["digest"]


if __name__ == "__main__":
    FILE.write_bytes(store(record(11, 400)))
