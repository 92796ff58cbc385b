"""What this gateway's requests ask of each stage of a service, measured over about a second.  A pure core.

`MeasuredPlanner` stands in front of the planner and sees each booking's steps; `DemandMeter` adds them up and
gives one `StageDemand` for each service with model servers.  Times are seconds of the monotonic clock.
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

LEAST_PERIOD_S = 0.1  # a shorter one gives no sample
DIRECT_TOKENS = 1024  # to be read at most, where reading apart saves less than way and move cost
UNREAD_MEMORY = 0.05  # weight of one request in the share of its prompt that has to be read


class Gauge:
    """A count over time, and its mean since the last sample."""

    __slots__ = ("value", "_area", "_at")

    def __init__(self, now: float) -> None:
        self.value = 0
        self._area = 0.0
        self._at = now

    def add(self, change: int, now: float) -> None:
        """Change the count."""
        self._advance(now)
        self.value = max(0, self.value + change)

    def mean(self, period_s: float, now: float) -> float:
        """The mean over the period that ends now; a new one begins."""
        self._advance(now)
        area, self._area = self._area, 0.0
        return area / period_s

    def _advance(self, now: float) -> None:
        self._area += self.value * max(0.0, now - self._at)
        self._at = now


class Tokens(Enum):
    """What tokens are counted for; the values are fields of `StageDemand`."""

    READ = "read_tokens"
    DONE = "done_tokens"
    SPILLED = "spilled_tokens"
    DIRECT = "direct_tokens"
    GENERATED = "generated"
    FIRST = "first_tokens"


class _Service:
    """The counts of one service."""

    __slots__ = ("reading", "decoding", "tokens", "unread_fraction")

    def __init__(self, now: float) -> None:
        self.reading = Gauge(now)
        self.decoding = Gauge(now)
        self.tokens: Counter[Tokens] = Counter()
        self.unread_fraction = 1.0  # of prompts, by the requests that were taken

    def sample(self, backend: str, period_s: float, now: float) -> StageDemand:
        """The means over the period that ends now; a new one begins."""
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
    """Demand by service, since the last sample."""

    def __init__(self) -> None:
        self._services: dict[str, _Service] = {}
        self._sampled_at: float | None = None

    def planned(self, request: PlanRequest, plan: Plan, now: float) -> None:
        """A request was taken: its prompt is read at a prefill instance, or spills to a decode instance."""
        service = self._service(request.backend, now)
        if plan.prefill_instance is not None:
            service.tokens[Tokens.READ] += plan.uncached_tokens
        else:
            kind = Tokens.DIRECT if plan.uncached_tokens <= DIRECT_TOKENS else Tokens.SPILLED
            service.tokens[kind] += plan.uncached_tokens
        if request.prompt_tokens:
            uncached = min(1.0, plan.uncached_tokens / request.prompt_tokens)
            service.unread_fraction += (uncached - service.unread_fraction) * UNREAD_MEMORY

    def rejected(self, request: PlanRequest, now: float) -> None:
        """A request was refused for want of reading pace."""
        service = self._service(request.backend, now)
        service.tokens[Tokens.SPILLED] += int(request.prompt_tokens * service.unread_fraction)

    def reading(self, backend: str, change: int, now: float) -> None:
        """Calls to prefill instances began or ended."""
        self._service(backend, now).reading.add(change, now)

    def decoding(self, backend: str, change: int, now: float) -> None:
        """Requests began or ceased to receive tokens."""
        self._service(backend, now).decoding.add(change, now)

    def count(self, backend: str, kind: Tokens, tokens: int, now: float) -> None:
        """Tokens were read, or received."""
        self._service(backend, now).tokens[kind] += tokens

    def keep_only(self, backends: frozenset[str]) -> None:
        """Forget services that are no longer configured; what is still under way there counts no more."""
        for backend in [known for known in self._services if known not in backends]:
            del self._services[backend]

    def sample(self, now: float) -> list[StageDemand]:
        """The demand since the last sample, by service; empty where that was only just now."""
        since = self._sampled_at
        if since is None or now - since < LEAST_PERIOD_S:
            return []
        self._sampled_at = now
        return [service.sample(backend, now - since, now) for backend, service in self._services.items()]

    def _service(self, backend: str, now: float) -> _Service:
        service = self._services.get(backend)
        if service is None:
            if self._sampled_at is None:
                self._sampled_at = now
            service = self._services[backend] = _Service(now)
        return service


@dataclass(slots=True)
class _Booking:
    """A request that was taken and has not ended."""

    backend: str
    split: bool
    uncached_tokens: int
    reading: bool = False
    decoding: bool = False


class MeasuredPlanner:
    """A planner whose bookings of services with model servers are measured; it decides nothing itself."""

    def __init__(self, planner: Planner, meter: DemandMeter) -> None:
        self._planner = planner
        self._meter = meter
        self._bookings: dict[int, _Booking] = {}

    def plan(self, request: PlanRequest, now: float) -> Plan | Rejection:
        """As the planner decides."""
        planned = self._planner.plan(request, now)
        if request.engine is None:
            return planned
        if isinstance(planned, Plan):
            self._bookings[planned.booking] = _Booking(
                request.backend, planned.prefill_instance is not None, planned.uncached_tokens
            )
            self._meter.planned(request, planned, now)
        elif planned.reason is RejectionReason.NO_CYCLE:
            self._meter.rejected(request, now)
        return planned

    def begun(self, booking: int, now: float) -> None:
        """The request leaves for its first instance."""
        self._planner.begun(booking, now)
        if (entry := self._bookings.get(booking)) and entry.split and not entry.reading:
            entry.reading = True
            self._meter.reading(entry.backend, 1, now)

    def prefill_done(self, booking: int, now: float) -> None:
        """The prompt was read."""
        self._planner.prefill_done(booking, now)
        if (entry := self._bookings.get(booking)) and entry.reading:
            self._reading_ended(entry, now)
            self._meter.count(entry.backend, Tokens.DONE, entry.uncached_tokens, now)

    def hand_over_failed(self, booking: int, now: float) -> None:
        """The decode instance reads the prompt itself."""
        self._planner.hand_over_failed(booking, now)
        if entry := self._bookings.get(booking):
            self._meter.count(entry.backend, Tokens.SPILLED, entry.uncached_tokens, now)

    def first_token(self, booking: int, now: float) -> None:
        """The answer's first bytes came."""
        self._planner.first_token(booking, now)
        if (entry := self._bookings.get(booking)) and not entry.decoding:
            self._reading_ended(entry, now)
            entry.decoding = True
            self._meter.decoding(entry.backend, 1, now)

    def finished(self, booking: int, outcome: Outcome, now: float) -> None:
        """The booking is over."""
        self._planner.finished(booking, outcome, now)
        if (entry := self._bookings.pop(booking, None)) is None:
            return
        self._reading_ended(entry, now)
        if entry.decoding:
            self._meter.decoding(entry.backend, -1, now)

    def instances_changed(self, instances: Iterable[Instance], now: float) -> None:
        """Instances came, changed or ended; the others are as before."""
        self._planner.instances_changed(instances, now)

    def configuration_changed(self, backends: Iterable[Backend], now: float) -> None:
        """The services of the configuration in force."""
        known = list(backends)
        self._meter.keep_only(frozenset(backend.name for backend in known))
        self._planner.configuration_changed(known, now)

    def gateways_changed(self, count: int) -> None:
        """How many gateways share the instances."""
        self._planner.gateways_changed(count)

    def _reading_ended(self, entry: _Booking, now: float) -> None:
        if entry.reading:
            entry.reading = False
            self._meter.reading(entry.backend, -1, now)
