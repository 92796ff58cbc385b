"""What the gateway asks its planner: which instances serve a request, and when.

The planner (`admission.planner.Planner`) decides on admission and pairing.  This module states what the
gateway needs of one, and has a simple one that only balances load, for tests of all the rest.
"""

from __future__ import annotations

from collections.abc import Iterable
from typing import Protocol

from mallowbeam.router.admission.messages import Outcome, Plan, PlanRequest, Rejection, RejectionReason
from mallowbeam.router.configuration.model import Backend
from mallowbeam.router.rpc.messages_pb2 import ENDED, READY, Instance

LIGHT_LOAD = 0.5  # of an instance's slots, below which load does not matter
RETRY_AFTER_S = 0.3  # with a refusal, where no instance could be named


class Planner(Protocol):
    """Admission and pairing."""

    def plan(self, request: PlanRequest, now: float) -> Plan | Rejection:
        """Name the instances for a request, or refuse it."""

    def begun(self, booking: int, now: float) -> None:
        """The request leaves for its first instance."""

    def prefill_done(self, booking: int, now: float) -> None:
        """The prompt was read."""

    def hand_over_failed(self, booking: int, now: float) -> None:
        """The instance that was offered a prompt's memory did not get it, and reads the prompt itself."""

    def first_token(self, booking: int, now: float) -> None:
        """The answer's first bytes came."""

    def finished(self, booking: int, outcome: Outcome, now: float) -> None:
        """The booking is over."""

    def instances_changed(self, instances: Iterable[Instance], now: float) -> None:
        """Instances came, changed or ended; the others are as before."""

    def configuration_changed(self, backends: Iterable[Backend], now: float) -> None:
        """The services of the configuration in force."""

    def gateways_changed(self, count: int) -> None:
        """How many gateways share the instances."""


class LeastLoadedPlanner:
    """Sends each request to the ready instance with the fewest bookings for its slots, its own zone first."""

    def __init__(self) -> None:
        self._ready: dict[str, dict[str, Instance]] = {}  # by service and id
        self._bookings: dict[int, str] = {}  # booking -> instance
        self._load: dict[str, int] = {}
        self._next = 0

    def plan(self, request: PlanRequest, now: float) -> Plan | Rejection:
        """The least loaded instance; refused where there is none."""
        best = min(
            (
                instance
                for instance in self._ready.get(request.backend, {}).values()
                if instance.id not in request.excluded
            ),
            key=lambda instance: self._rank(instance, request.zone),
            default=None,
        )
        if best is None:
            return Rejection(RETRY_AFTER_S, RejectionReason.NO_INSTANCE)
        self._next += 1
        self._bookings[self._next] = best.id
        self._load[best.id] = self._load.get(best.id, 0) + 1
        return Plan(
            booking=self._next,
            prefill_instance=None,
            decode_instance=best.id,
            start_in_s=0.0,
            units=1,
            expected_first_token_s=0.0,
        )

    def begun(self, booking: int, now: float) -> None:
        """Not used by this planner."""

    def prefill_done(self, booking: int, now: float) -> None:
        """Not used by this planner."""

    def hand_over_failed(self, booking: int, now: float) -> None:
        """Not used by this planner."""

    def first_token(self, booking: int, now: float) -> None:
        """Not used by this planner."""

    def finished(self, booking: int, outcome: Outcome, now: float) -> None:
        """Free the booking's place."""
        instance = self._bookings.pop(booking, None)
        if instance is None:
            return
        self._load[instance] -= 1
        if not self._load[instance]:
            del self._load[instance]

    def instances_changed(self, instances: Iterable[Instance], now: float) -> None:
        """Keep the ready instances; those that only read prompts are left out."""
        for instance in instances:
            if instance.state == ENDED:
                for members in self._ready.values():
                    members.pop(instance.id, None)
                continue
            members = self._ready.setdefault(instance.backend, {})
            if instance.state == READY and instance.stage != "prefill":
                members[instance.id] = instance
            else:
                members.pop(instance.id, None)

    def configuration_changed(self, backends: Iterable[Backend], now: float) -> None:
        """Not used by this planner."""

    def gateways_changed(self, count: int) -> None:
        """Not used by this planner."""

    def _rank(self, instance: Instance, zone: str) -> tuple[bool, float, bool, str]:
        load = self._load.get(instance.id, 0) / max(1, instance.slots)
        return load >= 1.0, 0.0 if load < LIGHT_LOAD else load, instance.zone != zone, instance.id
