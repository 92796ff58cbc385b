"""Measures the load that this gateway's requests put on each stage of a service.  No I/O.

`MeasuredPlanner` wraps the planner and observes the steps of each booking; `DemandMeter` aggregates them into
one `StageDemand` for each service with model servers, over the time since the last report.  Times are in
seconds of the monotonic clock.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass
from enum import Enum

from mallowbeam.router.admission.messages import Outcome, Plan, PlanRequest, Rejection, RejectionReason
from mallowbeam.router.configuration.model import Backend
from mallowbeam.router.data_plane.planner_interface import Planner
from mallowbeam.router.rpc.messages_pb2 import Instance, StageDemand

MIN_PERIOD_S = 0.1  # a shorter period yields no sample
# Uncached prompts up to this size cost less to prefill at the decode instance than to transfer.
MAX_DIRECT_TOKENS = 1024
UNCACHED_FRACTION_WEIGHT = 0.05  # weight of one request in the moving average of the uncached prompt fraction


class Gauge:
    """A count that changes over time, and its time-weighted mean since the last sample."""

    __slots__ = ("value", "_integral", "_updated_at")

    def __init__(self, now: float) -> None:
        self.value = 0
        self._integral = 0.0
        self._updated_at = now

    def add(self, change: int, now: float) -> None:
        """Change the count."""
        self._advance(now)
        self.value = max(0, self.value + change)

    def mean(self, period_s: float, now: float) -> float:
        """Return the mean over the period that ends now, and start a new period."""
        self._advance(now)
        area, self._integral = self._integral, 0.0
        return area / period_s

    def _advance(self, now: float) -> None:
        self._integral += self.value * max(0.0, now - self._updated_at)
        self._updated_at = now


class TokenKind(Enum):
    """The kinds of token counts; the values are fields of `StageDemand`."""

    READ = "read_tokens"
    DONE = "done_tokens"
    SPILLED = "spilled_tokens"
    DIRECT = "direct_tokens"
    GENERATED = "generated"
    FIRST = "first_tokens"


class _ServiceDemand:
    """The demand counters of one service."""

    __slots__ = ("reading", "decoding", "tokens", "uncached_fraction")

    def __init__(self, now: float) -> None:
        self.reading = Gauge(now)
        self.decoding = Gauge(now)
        self.tokens: Counter[TokenKind] = Counter()
        self.uncached_fraction = 1.0  # moving average over the prompts of accepted requests

    def sample(self, backend: str, period_s: float, now: float) -> StageDemand:
        """Return the means over the period that ends now, and start a new period."""
        demand = StageDemand(
            backend=backend,
            reading=self.reading.mean(period_s, now),
            decoding=self.decoding.mean(period_s, now),
        )
        for kind, count in self.tokens.items():
            setattr(demand, kind.value, count / period_s)
        self.tokens.clear()
        return demand


class DemandMeter:
    """Measures the demand of each service since the last sample."""

    def __init__(self) -> None:
        self._services: dict[str, _ServiceDemand] = {}
        self._sampled_at: float | None = None

    def planned(self, request: PlanRequest, plan: Plan, now: float) -> None:
        """Count an accepted request's prompt for a prefill instance or, if spilled, a decode instance."""
        service = self._service(request.backend, now)
        if plan.prefill_instance is not None:
            service.tokens[TokenKind.READ] += plan.uncached_tokens
        else:
            kind = TokenKind.DIRECT if plan.uncached_tokens <= MAX_DIRECT_TOKENS else TokenKind.SPILLED
            service.tokens[kind] += plan.uncached_tokens
        if request.prompt_tokens:
            uncached = min(1.0, plan.uncached_tokens / request.prompt_tokens)
            service.uncached_fraction += (uncached - service.uncached_fraction) * UNCACHED_FRACTION_WEIGHT

    def rejected(self, request: PlanRequest, now: float) -> None:
        """A request was rejected for lack of prefill capacity."""
        service = self._service(request.backend, now)
        service.tokens[TokenKind.SPILLED] += int(request.prompt_tokens * service.uncached_fraction)

    def reading(self, backend: str, change: int, now: float) -> None:
        """Count prefill calls that started or ended."""
        self._service(backend, now).reading.add(change, now)

    def decoding(self, backend: str, change: int, now: float) -> None:
        """Count requests that started or stopped receiving tokens."""
        self._service(backend, now).decoding.add(change, now)

    def count(self, backend: str, kind: TokenKind, tokens: int, now: float) -> None:
        """Count processed or received tokens."""
        self._service(backend, now).tokens[kind] += tokens

    def keep_only(self, backends: frozenset[str]) -> None:
        """Drop services that are no longer configured; their requests in flight are no longer counted."""
        for backend in [known for known in self._services if known not in backends]:
            del self._services[backend]

    def sample(self, now: float) -> list[StageDemand]:
        """Return the demand of each service since the last sample.

        The list is empty if the last sample was less than `MIN_PERIOD_S` ago.
        """
        since = self._sampled_at
        if since is None or now - since < MIN_PERIOD_S:
            return []
        self._sampled_at = now
        return [service.sample(backend, now - since, now) for backend, service in self._services.items()]

    def _service(self, backend: str, now: float) -> _ServiceDemand:
        service = self._services.get(backend)
        if service is None:
            if self._sampled_at is None:
                self._sampled_at = now
            service = self._services[backend] = _ServiceDemand(now)
        return service


@dataclass(slots=True)
class _Booking:
    """An accepted request that has not ended."""

    backend: str
    prefilled_separately: bool
    uncached_tokens: int
    reading: bool = False
    decoding: bool = False


class MeasuredPlanner:
    """A planner wrapper that measures the bookings of services with model servers; it decides nothing."""

    def __init__(self, planner: Planner, meter: DemandMeter) -> None:
        self._planner = planner
        self._meter = meter
        self._bookings: dict[int, _Booking] = {}

    def plan(self, request: PlanRequest, now: float) -> Plan | Rejection:
        """Return the wrapped planner's decision."""
        decision = self._planner.plan(request, now)
        if request.engine is None:
            return decision
        if isinstance(decision, Plan):
            self._bookings[decision.booking] = _Booking(
                request.backend, decision.prefill_instance is not None, decision.uncached_tokens
            )
            self._meter.planned(request, decision, now)
        elif decision.reason is RejectionReason.NO_CYCLE:
            self._meter.rejected(request, now)
        return decision

    def begun(self, booking: int, now: float) -> None:
        """The request is about to be sent to its first instance."""
        self._planner.begun(booking, now)
        if (entry := self._bookings.get(booking)) and entry.prefilled_separately and not entry.reading:
            entry.reading = True
            self._meter.reading(entry.backend, 1, now)

    def prefill_done(self, booking: int, now: float) -> None:
        """The prefill instance has processed the prompt."""
        self._planner.prefill_done(booking, now)
        if (entry := self._bookings.get(booking)) and entry.reading:
            self._end_prefill(entry, now)
            self._meter.count(entry.backend, TokenKind.DONE, entry.uncached_tokens, now)

    def hand_over_failed(self, booking: int, now: float) -> None:
        """The KV cache transfer failed; the decode instance prefills the prompt itself."""
        self._planner.hand_over_failed(booking, now)
        if entry := self._bookings.get(booking):
            self._meter.count(entry.backend, TokenKind.SPILLED, entry.uncached_tokens, now)

    def first_token(self, booking: int, now: float) -> None:
        """The first bytes of the answer arrived."""
        self._planner.first_token(booking, now)
        if (entry := self._bookings.get(booking)) and not entry.decoding:
            self._end_prefill(entry, now)
            entry.decoding = True
            self._meter.decoding(entry.backend, 1, now)

    def finished(self, booking: int, outcome: Outcome, now: float) -> None:
        """The booking has ended."""
        self._planner.finished(booking, outcome, now)
        if (entry := self._bookings.pop(booking, None)) is None:
            return
        self._end_prefill(entry, now)
        if entry.decoding:
            self._meter.decoding(entry.backend, -1, now)

    def instances_changed(self, instances: Iterable[Instance], now: float) -> None:
        """Pass on the instances that were added, changed or ended; all others are unchanged."""
        self._planner.instances_changed(instances, now)

    def configuration_changed(self, backends: Iterable[Backend], now: float) -> None:
        """Pass on the services of the configuration in force and drop the demand of others."""
        known = list(backends)
        self._meter.keep_only(frozenset(backend.name for backend in known))
        self._planner.configuration_changed(known, now)

    def gateways_changed(self, count: int) -> None:
        """Pass on the number of gateways that share the instances."""
        self._planner.gateways_changed(count)

    def _end_prefill(self, entry: _Booking, now: float) -> None:
        if entry.reading:
            entry.reading = False
            self._meter.reading(entry.backend, -1, now)
