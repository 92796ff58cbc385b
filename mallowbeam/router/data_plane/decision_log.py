"""Logs one line for each planned request: the planner's expectations and the measured times.

Off unless the settings file has `decision_log = true`, because a line per request costs CPU time.
`DecisionLog` wraps a planner, observes the steps of each booking and makes no decisions itself.  Times are in
seconds of the monotonic clock; a step that was not reached is logged as `-`.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass

from mallowbeam.router.admission.messages import Outcome, Plan, PlanRequest, Rejection
from mallowbeam.router.configuration.model import Backend
from mallowbeam.router.data_plane.planner_interface import Planner
from mallowbeam.router.rpc.messages_pb2 import Instance

WriteLine = Callable[[str], None]


@dataclass(slots=True)
class _Booking:
    """An accepted request that has not ended."""

    request: PlanRequest
    plan: Plan
    planned_at: float
    started_at: float | None = None
    prefilled_at: float | None = None
    first_token_at: float | None = None


class DecisionLog:
    """A planner wrapper that logs decisions together with their outcomes."""

    def __init__(self, planner: Planner, write: WriteLine) -> None:
        self._planner = planner
        self._write = write
        self._bookings: dict[int, _Booking] = {}

    def plan(self, request: PlanRequest, now: float) -> Plan | Rejection:
        """Return the wrapped planner's decision."""
        decision = self._planner.plan(request, now)
        if isinstance(decision, Plan):
            self._bookings[decision.booking] = _Booking(request, decision, now)
        else:
            self._write(f"refused {_request_fields(request)} reason={decision.reason.value}")
        return decision

    def begun(self, booking: int, now: float) -> None:
        """The request is about to be sent to its first instance."""
        self._planner.begun(booking, now)
        if entry := self._bookings.get(booking):
            entry.started_at = now

    def prefill_done(self, booking: int, now: float) -> None:
        """The prefill instance has processed the prompt."""
        self._planner.prefill_done(booking, now)
        if entry := self._bookings.get(booking):
            entry.prefilled_at = now

    def hand_over_failed(self, booking: int, now: float) -> None:
        """The KV cache transfer failed; the decode instance prefills the prompt itself."""
        self._planner.hand_over_failed(booking, now)

    def first_token(self, booking: int, now: float) -> None:
        """The first bytes of the answer arrived."""
        self._planner.first_token(booking, now)
        if entry := self._bookings.get(booking):
            entry.first_token_at = now

    def finished(self, booking: int, outcome: Outcome, now: float) -> None:
        """The booking has ended."""
        self._planner.finished(booking, outcome, now)
        if entry := self._bookings.pop(booking, None):
            self._write(_format_line(entry, outcome, now))

    def instances_changed(self, instances: Iterable[Instance], now: float) -> None:
        """Pass on the instances that were added, changed or ended; all others are unchanged."""
        self._planner.instances_changed(instances, now)

    def configuration_changed(self, backends: Iterable[Backend], now: float) -> None:
        """Pass on the services of the configuration in force."""
        self._planner.configuration_changed(backends, now)

    def gateways_changed(self, count: int) -> None:
        """Pass on the number of gateways that share the instances."""
        self._planner.gateways_changed(count)


def _request_fields(request: PlanRequest) -> str:
    return (
        f"service={request.backend} prompt={request.prompt_tokens} answer={request.answer_tokens} "
        f"priority={request.priority} target={request.target_latency_s:.3f} left={request.time_left_s:.2f}"
    )


def _format_line(entry: _Booking, outcome: Outcome, now: float) -> str:
    plan, expected = entry.plan, entry.plan.expected
    return (
        f"{outcome.value} {_request_fields(entry.request)} "
        f"reader={plan.prefill_instance or '-'} decoder={plan.decode_instance} ways={plan.candidates} "
        f"held={plan.start_in_s:.3f} units={plan.units} unread={plan.uncached_tokens} "
        f"loss={expected.loss:.3f} "
        f"expected: wait={expected.wait_s:.3f} read={expected.prefill_s:.3f} move={expected.transfer_s:.3f} "
        f"join={expected.join_s:.3f} first={plan.expected_first_token_s:.3f} "
        f"seen: read={_elapsed(entry.started_at, entry.prefilled_at)} "
        f"first={_elapsed(entry.planned_at, entry.first_token_at)} "
        f"all={now - entry.planned_at:.3f}"
    )


def _elapsed(start: float | None, end: float | None) -> str:
    if start is None or end is None:
        return "-"
    return f"{end - start:.3f}"
