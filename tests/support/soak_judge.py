"""Judges what clients and instances of a soak saw by the operators' rules.

A gateway is in touch `CONTACT_S` after the last disturbance of itself, of the members, or of the machine that
plays the soak: what was late because that machine was busy says nothing. Times are in seconds of the
monotonic clock.
"""

from __future__ import annotations

import time
from collections import Counter, defaultdict
from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass, field
from math import inf

CONTACT_S = 3.0
CONFIG_S = 2.0
DRAIN_S = 2.0
ROLLBACK_SLACK_S = 0.25
SLOWED_ROLLBACK_SLACK_S = 8 * ROLLBACK_SLACK_S
LOSS_SLACK_S = 0.2
GRACE_S = 8.0
CORE, MACHINE = "the members", "the machine of the soak"


@dataclass(slots=True)
class Interval:
    """A disturbance; one without an end lasts."""

    since: float
    until: float = inf


class Disturbances:
    """When each process was disturbed."""

    def __init__(self) -> None:
        self._intervals: defaultdict[str, list[Interval]] = defaultdict(list)

    def begin(self, name: str, at: float) -> Interval:
        """Record a disturbance; it lasts until its end is set."""
        interval = Interval(at)
        self._intervals[name].append(interval)
        return interval

    @contextmanager
    def during(self, name: str) -> Iterator[None]:
        """Record a disturbance that lasts as long as the block."""
        interval = self.begin(name, time.monotonic())
        yield
        interval.until = time.monotonic()

    def any(self, name: str, since: float, until: float) -> bool:
        """Whether a process was disturbed in a span of time."""
        return any(one.since <= until and one.until >= since for one in self._intervals[name])

    def in_touch(self, gateway: str, since: float, until: float) -> bool:
        """Whether a gateway was in touch throughout a span of time."""
        names = (gateway, planned_stop(gateway), CORE, MACHINE)
        return not any(self.any(name, since - CONTACT_S, until) for name in names)


def planned_stop(gateway: str) -> str:
    """The name under which SIGTERM at a gateway is recorded: it excuses no lost request."""
    return f"{gateway}, planned stop"


@dataclass(frozen=True, slots=True)
class Exchange:
    """A request that got an answer."""

    gateway: str
    life: int  # of the gateway's process
    path: str
    sent_at: float
    answered_at: float
    status: int
    service: str  # that answered; empty for the gateway itself


@dataclass(frozen=True, slots=True)
class BrokenOff:
    """A request whose connection ended before its answer was whole."""

    gateway: str
    path: str
    sent_at: float
    ended_at: float
    reached_instance: bool
    answer_bytes: int  # that came before the end


@dataclass
class Configurations:
    """What the operator has sent, and what was acknowledged."""

    sent: int = 0  # the newest revision
    acknowledged_at: dict[int, float] = field(default_factory=dict)

    def in_force_since(self, at: float) -> int:
        """The newest revision that must be in force at a time; 0 if there is none."""
        return max((one for one, acked in self.acknowledged_at.items() if acked + CONFIG_S < at), default=0)


SERVICES = ("first", "second")


def service_of(revision: int) -> str:
    """The service that a revision moves the route to."""
    return SERVICES[revision % len(SERVICES)]


class Judge:
    """Collects the violations of the rules, and counts what was judged."""

    def __init__(self, disturbances: Disturbances, configurations: Configurations) -> None:
        self.violations: list[str] = []
        self.judged: Counter[str] = Counter()
        self._disturbances = disturbances
        self._configurations = configurations
        self._shown: defaultdict[tuple[str, int], list[tuple[float, int]]] = defaultdict(list)
        self._stopped_at: dict[str, float] = {}

    def stop_sent(self, gateway: str, at: float) -> None:
        """Record SIGTERM at a gateway."""
        self._stopped_at[gateway] = at

    # ------------------------------------------------------------ CONFIG

    def answered(self, exchange: Exchange) -> None:
        """Judge the configuration by which a request was handled."""
        self.judged["answers"] += 1
        self._judge_rollback(exchange)
        floor = self._configurations.in_force_since(exchange.sent_at)
        in_touch = self._disturbances.in_touch(exchange.gateway, exchange.sent_at, exchange.answered_at)
        if not in_touch or not floor:
            return
        self.judged["CONFIG"] += 1
        allowed = range(floor, self._configurations.sent + 1)
        revision = _revision_of(exchange.path)
        if revision is None:
            self._judge_service(exchange, {service_of(one) for one in allowed})
        elif exchange.status == 404 and allowed == range(revision, revision + 1):
            self._report("CONFIG", exchange, f"404 though revision {revision} is in force")
        elif exchange.status == 200 and revision not in allowed:
            self._report("CONFIG", exchange, f"a dropped route, {floor} was acknowledged")

    def _judge_service(self, exchange: Exchange, allowed: set[str]) -> None:
        if exchange.status == 404:
            self._report("DENIED", exchange, "404 on a route of all revisions")
        elif exchange.path.startswith("/moving/") and exchange.service and exchange.service not in allowed:
            self._report("CONFIG", exchange, f"run by {exchange.service}, allowed is {sorted(allowed)}")

    def _judge_rollback(self, exchange: Exchange) -> None:
        revision = _revision_of(exchange.path)
        if revision is None or exchange.status != 200:
            return
        shown = self._shown[exchange.gateway, exchange.life]
        busy = self._disturbances.any(MACHINE, exchange.sent_at - CONTACT_S, exchange.answered_at)
        slack_s = SLOWED_ROLLBACK_SLACK_S if busy else ROLLBACK_SLACK_S
        newest = max((one for at, one in shown if at + slack_s < exchange.sent_at), default=0)
        if newest > revision:
            self._report("CONFIG", exchange, f"it went back, revision {newest} was shown before")
        shown.append((exchange.answered_at, revision))

    # ------------------------------------------------------------ LOST, DRAIN, TWICE

    def broken_off(self, lost: BrokenOff) -> None:
        """Judge a request without a whole answer: only its gateway's own trouble excuses it."""
        self.judged["broken off"] += 1
        since = lost.sent_at - CONTACT_S
        names = (lost.gateway, MACHINE)
        if any(self._disturbances.any(name, since, lost.ended_at) for name in names):
            return
        if lost.ended_at > self._stopped_at.get(lost.gateway, inf) + GRACE_S:
            return
        waited_s = lost.ended_at - lost.sent_at
        if lost.reached_instance or lost.answer_bytes or waited_s > LOSS_SLACK_S:
            self.violations.append(f"LOST: {lost} after {waited_s:.3f} s")

    def arrived(self, gateway: str, instance: str, drained_at: float, sent_at: float, at: float) -> None:
        """Judge a request that reached an instance whose leaving was acknowledged at `drained_at`."""
        if at <= drained_at + DRAIN_S or not self._disturbances.in_touch(gateway, sent_at, at):
            return
        after_s = at - drained_at
        self.violations.append(
            f"DRAIN: {gateway} sent to {instance} {after_s:.3f} s after the acknowledgement"
        )

    def runs(self, counts: Counter[str]) -> None:
        """Judge how often each unsafe request ran, by its id."""
        self.judged["unsafe requests run"] = len(counts)
        self.violations += [
            f"TWICE: {request} ran {count} times" for request, count in counts.items() if count > 1
        ]

    def _report(self, rule: str, exchange: Exchange, what: str) -> None:
        self.violations.append(f"{rule}: {exchange}: {what}")


def _revision_of(path: str) -> int | None:
    """The revision whose own route a path asks for; None for other paths."""
    name = path.split("/")[1]
    return int(name.removeprefix("rev-")) if name.startswith("rev-") else None
