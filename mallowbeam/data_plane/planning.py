"""What the gateway asks its planner: which instances serve a request, and when.

The planner decides on admission and pairing; this module states its interface, and has a simple planner that
only balances load, for services without an engine and for tests.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from enum import Enum
from typing import Protocol

from mallowbeam.configuration.model import Configuration, Engine
from mallowbeam.rpc.messages_pb2 import READY, Instance

RETRY_AFTER_S = 0.3         # with a refusal, where no instance could be named


@dataclass(frozen=True, slots=True)
class PromptPart:
    """One part of a prompt."""

    id: str
    tokens: int


@dataclass(frozen=True, slots=True)
class PlanRequest:
    """What a plan depends on; times in seconds."""

    backend: str
    engine: Engine | None                      # None: a service without prefill and decode
    prompt_parts: tuple[PromptPart, ...]
    prompt_tokens: int
    answer_tokens: int
    priority: int
    target_latency_s: float
    time_left_s: float
    zone: str
    excluded: frozenset[str] = frozenset()     # ids of instances that are not to be used


@dataclass(frozen=True, slots=True)
class Plan:
    """Where a request goes; its booking is held until `Planner.finished`."""

    booking: int
    decode_instance: str
    prefill_instance: str | None = None
    start_in_s: float = 0.0
    units: float = 1.0


@dataclass(frozen=True, slots=True)
class Refusal:
    """The request is not taken."""

    retry_after_s: float
    reason: str


class BookingEnd(Enum):
    """How a booking ended."""

    SERVED = "served"
    REJECTED = "rejected"                      # the instance did not run it
    FAILED = "failed"                          # it may have run
    CANCELLED = "cancelled"                    # the client left, or the plan was dropped


class Planner(Protocol):
    """Admission and pairing."""

    def plan(self, request: PlanRequest, now: float) -> Plan | Refusal:
        """Name the instances for a request, or refuse it."""

    def begun(self, booking: int, now: float) -> None:
        """The request leaves for its first instance."""

    def prefill_done(self, booking: int, now: float) -> None:
        """The prompt was read."""

    def first_token(self, booking: int, now: float) -> None:
        """The answer's first bytes came."""

    def finished(self, booking: int, end: BookingEnd, now: float) -> None:
        """The booking is over."""

    def instances_changed(self, instances: Mapping[str, Instance], configuration: Configuration,
                          now: float) -> None:
        """The table of instances or the configuration is another one."""

    def gateways(self, count: int) -> None:
        """How many gateways share the instances."""


class LeastLoadedPlanner:
    """Sends each request to the ready instance with the fewest bookings for its slots, its own zone first."""

    def __init__(self) -> None:
        self._by_backend: dict[str, list[Instance]] = {}
        self._bookings: dict[int, str] = {}    # booking -> instance
        self._load: dict[str, int] = {}
        self._next = 0

    def plan(self, request: PlanRequest, now: float) -> Plan | Refusal:
        """The least loaded instance; refused where there is none."""
        best = min((instance for instance in self._by_backend.get(request.backend, ())
                    if instance.id not in request.excluded),
                   key=lambda instance: self._rank(instance, request.zone), default=None)
        if best is None:
            return Refusal(RETRY_AFTER_S, "no instance")
        self._next += 1
        self._bookings[self._next] = best.id
        self._load[best.id] = self._load.get(best.id, 0) + 1
        return Plan(booking=self._next, decode_instance=best.id)

    def begun(self, booking: int, now: float) -> None:
        """Not used by this planner."""

    def prefill_done(self, booking: int, now: float) -> None:
        """Not used by this planner."""

    def first_token(self, booking: int, now: float) -> None:
        """Not used by this planner."""

    def finished(self, booking: int, end: BookingEnd, now: float) -> None:
        """Free the booking's place."""
        instance = self._bookings.pop(booking, None)
        if instance is None:
            return
        self._load[instance] -= 1
        if not self._load[instance]:
            del self._load[instance]

    def instances_changed(self, instances: Mapping[str, Instance], configuration: Configuration,
                          now: float) -> None:
        """Arrange the ready instances by service; those that only read prompts are left out."""
        self._by_backend = group_ready(instances.values())

    def gateways(self, count: int) -> None:
        """Not used by this planner."""

    def _rank(self, instance: Instance, zone: str) -> tuple[bool, float, bool, str]:
        load = self._load.get(instance.id, 0) / max(1, instance.slots)
        return load >= 1.0, 0.0 if load < 0.5 else load, instance.zone != zone, instance.id


def group_ready(instances: Iterable[Instance]) -> dict[str, list[Instance]]:
    """The instances that take whole requests, by service."""
    grouped: dict[str, list[Instance]] = {}
    for instance in instances:
        if instance.state == READY and instance.stage != "prefill":
            grouped.setdefault(instance.backend, []).append(instance)
    return grouped
