"""The interface between the gateway and its planner, which chooses the instances and start time of a request.

`admission.planner.Planner` implements admission and pairing.  This module defines the interface and a simple
planner that only balances load, for tests of the other parts.
"""

from __future__ import annotations

from collections.abc import Iterable
from typing import Protocol

from mallowbeam.router.admission.messages import Outcome, Plan, PlanRequest, Rejection, RejectionReason
from mallowbeam.router.configuration.model import Backend
from mallowbeam.router.rpc.messages_pb2 import ENDED, READY, Instance

LIGHT_LOAD_FRACTION = 0.5  # of an instance's slots; lower loads rank equally
RETRY_AFTER_S = 0.3  # with a rejection because no instance is available


class Planner(Protocol):
    """Decides on admission and pairing."""

    def plan(self, request: PlanRequest, now: float) -> Plan | Rejection:
        """Choose the instances for a request, or reject it."""

    def begun(self, booking: int, now: float) -> None:
        """The request is about to be sent to its first instance."""

    def prefill_done(self, booking: int, now: float) -> None:
        """The prefill instance has processed the prompt."""

    def hand_over_failed(self, booking: int, now: float) -> None:
        """The decode instance could not fetch the offered KV cache and prefills the prompt itself."""

    def first_token(self, booking: int, now: float) -> None:
        """The first bytes of the answer arrived."""

    def finished(self, booking: int, outcome: Outcome, now: float) -> None:
        """The booking has ended."""

    def instances_changed(self, instances: Iterable[Instance], now: float) -> None:
        """Apply instances that were added, changed or ended; all others are unchanged."""

    def configuration_changed(self, backends: Iterable[Backend], now: float) -> None:
        """Apply the services of the configuration in force."""

    def gateways_changed(self, count: int) -> None:
        """Set the number of gateways that share the instances."""


class LeastLoadedPlanner:
    """Sends each request to the ready instance with the fewest bookings per slot, own zone preferred."""

    def __init__(self) -> None:
        self._ready: dict[str, dict[str, Instance]] = {}  # by service and id
        self._bookings: dict[int, str] = {}  # booking -> instance
        self._load: dict[str, int] = {}
        self._last_booking = 0

    def plan(self, request: PlanRequest, now: float) -> Plan | Rejection:
        """Choose the least loaded instance; reject the request if there is none."""
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
        self._last_booking += 1
        self._bookings[self._last_booking] = best.id
        self._load[best.id] = self._load.get(best.id, 0) + 1
        return Plan(
            booking=self._last_booking,
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
        """Release the booking's slot."""
        instance = self._bookings.pop(booking, None)
        if instance is None:
            return
        self._load[instance] -= 1
        if not self._load[instance]:
            del self._load[instance]

    def instances_changed(self, instances: Iterable[Instance], now: float) -> None:
        """Keep the ready instances, except those of the prefill stage."""
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
        return load >= 1.0, 0.0 if load < LIGHT_LOAD_FRACTION else load, instance.zone != zone, instance.id
