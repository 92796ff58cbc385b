"""The planner of one gateway: pairing proposes instances, admission books units there or rejects.

A request occupies one slot per unit, in the earliest cycle with capacity at the instance that prefills its
prompt.  It is rejected at once where no cycle completes it before its deadline.  Instances that are idle, as
far as this gateway knows, start it at once.  Nothing here does I/O or reads a clock: `now` is in seconds of
the monotonic clock.
"""

from __future__ import annotations

from bisect import bisect_left
from collections.abc import Iterable
from dataclasses import dataclass
from math import ceil
from typing import Protocol

from mallowbeam.router.admission.messages import (
    Expectation,
    Outcome,
    Plan,
    PlanRequest,
    Rejection,
    RejectionReason,
)
from mallowbeam.router.admission.overload_guard import OverloadGuard
from mallowbeam.router.admission.settings import PlannerSettings
from mallowbeam.router.pairing.candidates import Candidate, Pairing
from mallowbeam.router.pairing.hashing import MASK, stable_hash
from mallowbeam.router.pairing.instances import Engine, InstanceEntry, InstanceTracker, TrackedInstance
from mallowbeam.router.pairing.prompt import Prompt
from mallowbeam.scheduling.cycles import Placement

READY, ENDED = 0, 2  # of `messages.InstanceState`
PRIORITY_STEPS = (0, 1, 2, 3, 4, 6, 8, 12, 16)  # the most units of each engine priority; the rest have 9
MIDDLE_PRIORITY = 4


class BackendEntry(Protocol):
    """A service as the operator's configuration names it."""

    @property
    def name(self) -> str:
        """Its name."""

    @property
    def engine(self) -> Engine | None:
        """Its model server's figures, if it is one."""


@dataclass(slots=True)
class _Booking:
    """A request that was admitted and has not ended."""

    request: PlanRequest
    candidate: Candidate
    units: int
    ahead: int = 0
    sent_at: float | None = None
    transferred_at: float | None = None
    read: bool = False
    first: bool = False


@dataclass(frozen=True, slots=True)
class _Offer:
    """A candidate with a placement that is not booked yet."""

    candidate: Candidate
    units: int
    placement: Placement
    start_in_s: float
    expected_s: float
    """Until the first token."""
    finish_s: float
    """Until the first token or the end of the last cycle's slots, whichever is later."""
    loss: float


class Planner:
    """Decides for each request of one gateway; owns its bookings and what it tracks of all instances."""

    def __init__(self, settings: PlannerSettings, gateway: str = "") -> None:
        """The gateway's name salts the choices that should differ among gateways."""
        self.settings = settings
        self.table = InstanceTracker(settings.pairing, settings.slot_time, settings.cycle_s)
        self.pairing = Pairing(settings.pairing, self.table, gateway)
        self.guard = OverloadGuard(settings, gateway)
        self.bookings: dict[int, _Booking] = {}
        self._last = 0

    # ---------------------------------------------------------------- requests

    def plan(self, request: PlanRequest, now: float) -> Plan | Rejection:
        """Admit a request, with its instances and its cycle, or reject it."""
        prompt = self._prompt(request)
        if request.engine is not None:
            need = request.prompt_tokens + request.answer_tokens
            if 0 < request.engine.kv_capacity < need:
                return self._rejection(request, request.time_left_s, RejectionReason.TOO_LARGE)
            candidates = self.pairing.candidates(prompt, now)
        else:
            candidates = self.pairing.plain_candidates(prompt, now)
        if not candidates:
            return self._rejection(request, 1.0, RejectionReason.NO_INSTANCE)
        if request.engine is not None and self.guard.rejects(request, candidates[0].prefiller, now):
            return self._rejection(request, self.settings.guard_retry_s, RejectionReason.OVERLOAD)
        return self._choose(request, candidates, now)

    def begun(self, booking: int, now: float) -> None:
        """The request was sent to the instance that prefills it."""
        if not (entry := self.bookings.get(booking)) or entry.sent_at is not None:
            return
        prefiller = entry.candidate.prefiller
        entry.sent_at = now
        entry.ahead = self._tokens_out(prefiller)
        prefiller.timer.sent(booking, entry.units, now)

    def prefill_done(self, booking: int, now: float) -> None:
        """The separate prefill is done; the request goes on to the decode instance."""
        if not (entry := self.bookings.get(booking)) or entry.read or not entry.candidate.split:
            return
        self._read_ended(booking, entry, now, measured=True)
        entry.transferred_at = now

    def hand_over_failed(self, booking: int, now: float) -> None:
        """The KV cache could not be transferred: the decode instance prefills the prompt itself."""
        if not (entry := self.bookings.get(booking)) or entry.transferred_at is None:
            return
        entry.transferred_at = None
        entry.candidate.prefiller.failures.add(1.0, now)

    def first_token(self, booking: int, now: float) -> None:
        """The first token came (for a plain service: the head of the answer)."""
        if not (entry := self.bookings.get(booking)) or entry.first:
            return
        entry.first = True
        candidate = entry.candidate
        if not entry.read:  # a separate prefill was planned and did not happen
            self._read_ended(booking, entry, now, measured=not candidate.split)
        if candidate.split and entry.transferred_at is not None:
            candidate.decoder.learn_join(
                candidate.prefiller, now - entry.transferred_at, candidate.transfer_s, now
            )
        if entry.request.prompt_segments:
            self._keep(entry, candidate.decoder)

    def finished(self, booking: int, outcome: Outcome, now: float) -> None:
        """The request ended: release its slots and its memory."""
        if not (entry := self.bookings.pop(booking, None)):
            return
        candidate = entry.candidate
        if not entry.read:
            self._read_ended(
                booking, entry, now, measured=outcome is Outcome.COMPLETED and not candidate.split
            )
        self._free_places(entry)
        if outcome is not Outcome.REJECTED:
            return
        if entry.transferred_at is not None:  # its KV cache could not be transferred
            candidate.prefiller.failures.add(1.0, now)
            return
        instance = candidate.decoder if entry.read else candidate.prefiller
        instance.rejected_until = now + self.settings.pairing.rejected_s

    # ---------------------------------------------------------------- fleet state

    def instances_changed(
        self, instances: Iterable[InstanceEntry], now: float, complete: bool = False
    ) -> None:
        """Instances were added, changed or removed; with `complete`, those not named are gone."""
        named = set()
        for entry in instances:
            named.add(entry.id)
            if entry.state == ENDED:
                self.table.remove(entry.id)
            else:
                self.table.update(entry, entry.state == READY)
        if complete:
            for gone in [known for known in self.table.instances if known not in named]:
                self.table.remove(gone)

    def configuration_changed(self, backends: Iterable[BackendEntry], now: float) -> None:
        """The operator's services, with their engines' figures; all that are configured."""
        known = list(backends)
        self.pairing.load.keep_only({backend.name for backend in known})
        for backend in known:
            if backend.engine is not None:
                self.table.set_capacity(backend.name, backend.engine.kv_capacity)

    def gateways_changed(self, count: int) -> None:
        """How many gateways send to the same instances, this one included."""
        self.pairing.load.gateways = max(1, count)

    def ejected(self, instance_ids: Iterable[str]) -> None:
        """Replace the set of ejected instances."""
        self.table.ejected = frozenset(instance_ids)

    # ---------------------------------------------------------------- choice and booking

    @staticmethod
    def _prompt(request: PlanRequest) -> Prompt:
        return Prompt(
            request.request_id,
            request.backend,
            request.engine,
            request.prompt_segments,
            request.prompt_tokens,
            request.answer_tokens,
            request.target_latency_s,
            request.zone,
            request.excluded,
            request.read_at,
        )

    def units(self, uncached_tokens: int) -> int:
        """Slots for a prompt with so many uncached tokens."""
        return min(self.settings.most_units, max(1, ceil(uncached_tokens / self.settings.tokens_per_unit)))

    def _choose(self, request: PlanRequest, candidates: list[Candidate], now: float) -> Plan | Rejection:
        """Book the candidate of least loss; a delayed one may lose to one whose cycle begins sooner."""
        need = request.prompt_tokens + request.answer_tokens
        open_candidates = [
            candidate
            for candidate in candidates
            if candidate.decoder.has_capacity(need) or candidate.decoder.idle
        ]
        limit, soonest = self._limit(request), float("inf")
        best: _Offer | None = None
        for candidate in open_candidates:
            offer = self._offer(request, candidate, now)
            if offer is None or (best is not None and offer.loss >= best.loss):
                continue
            if offer.finish_s <= limit or request.resumed or not self._believed(candidate.prefiller, now):
                best = offer
            else:
                soonest = min(soonest, offer.finish_s)
            if best is not None and best.start_in_s <= 0.0:
                break  # candidates are sorted: those that follow lose more
        if best is not None:
            return self._take(request, best, len(candidates), now)
        over = soonest - limit if soonest < float("inf") else request.time_left_s
        return self._rejection(
            request, over, RejectionReason.NO_CYCLE if open_candidates else RejectionReason.NO_CAPACITY
        )

    def _offer(self, request: PlanRequest, candidate: Candidate, now: float) -> _Offer | None:
        """A candidate with its placement in the cycles of its prefill instance, if they have capacity."""
        units = self.units(candidate.uncached_tokens)
        placement = self._placement(request, candidate.prefiller, units, now)
        if placement is None:
            return None
        start_in = max(0.0, placement.starts_at - now)
        expected = max(candidate.first_token_s, start_in + candidate.first_token_s - candidate.wait_s)
        delay_loss = start_in / max(request.target_latency_s, 1e-3) * self.settings.delay_loss
        return _Offer(
            candidate,
            units,
            placement,
            start_in,
            expected,
            max(expected, placement.ends_at - now),
            candidate.loss + delay_loss,
        )

    def _placement(
        self, request: PlanRequest, instance: TrackedInstance, units: int, now: float
    ) -> Placement | None:
        """The placement of the units in the instance's cycles; an idle instance starts them at once."""
        instance.cycles.set_slot_time(instance.timer.slot_s(request.target_latency_s, now))
        return instance.cycles.place_now(units, now) if instance.idle else instance.cycles.place(units, now)

    def _believed(self, instance: TrackedInstance, now: float) -> bool:
        """Whether an estimate may reject: own work is there, and queueing was measured or is certain."""
        if instance.idle:
            return False
        return (
            instance.measured_wait_s(now) >= self.settings.measured_wait_s
            or instance.timer.units_in_flight >= self.settings.measured_units
        )

    def _limit(self, request: PlanRequest) -> float:
        """Seconds within which the first token must arrive to be of use."""
        settings = self.settings
        if request.engine is None:
            return request.time_left_s
        answer = request.answer_tokens * settings.answer_fraction * settings.answer_token_s
        first_token_timeout = max(
            settings.first_token_timeout_s, settings.first_token_timeout_targets * request.target_latency_s
        )
        return min(request.time_left_s - answer, first_token_timeout)

    def _take(self, request: PlanRequest, offer: _Offer, candidates: int, now: float) -> Plan:
        self._last += 1
        booking, candidate = self._last, offer.candidate
        candidate.prefiller.cycles.book(booking, offer.placement)
        candidate.prefiller.prefill_started(booking, candidate.uncached_tokens)
        entry = _Booking(request, candidate, offer.units)
        self.bookings[booking] = entry
        self._take_places(entry, now)
        if request.prompt_segments:
            self._keep(entry, candidate.prefiller)
        prefill = candidate.prefiller.id if candidate.split else None
        return Plan(
            booking,
            prefill,
            candidate.decoder.id,
            offer.start_in_s,
            offer.units,
            offer.expected_s,
            engine_priority=self._engine_priority(request, offer.units),
            uncached_tokens=candidate.uncached_tokens,
            candidates=candidates,
            expected=Expectation(
                candidate.wait_s, candidate.prefill_s, candidate.transfer_s, candidate.join_s, offer.loss
            ),
        )

    def _engine_priority(self, request: PlanRequest, units: int) -> int:
        """Short prefills before long ones; some long ones get a middle priority, so that none starve."""
        steps = bisect_left(PRIORITY_STEPS, units)
        if units >= self.settings.long_units:
            drawn = stable_hash("long " + request.request_id) / MASK
            return MIDDLE_PRIORITY if drawn < self.settings.long_fraction else steps
        return steps

    def _rejection(self, request: PlanRequest, over_s: float, reason: RejectionReason) -> Rejection:
        """Retry once the overshoot has passed, spread by a hash of the request id."""
        settings = self.settings
        spread = 0.75 + 0.5 * stable_hash(request.request_id) / MASK
        most = max(settings.least_retry_after_s, settings.retry_after_fraction * request.time_left_s)
        return Rejection(min(most, max(settings.least_retry_after_s, over_s) * spread), reason)

    # ---------------------------------------------------------------- bookings

    def _read_ended(self, booking: int, entry: _Booking, now: float, measured: bool) -> None:
        """The prefill ended, or will not happen at this instance."""
        entry.read = True
        prefiller = entry.candidate.prefiller
        prefiller.prefill_ended(booking)
        if entry.sent_at is None:
            prefiller.cycles.release(booking)  # never sent: its slots can be booked again
            return
        prefiller.cycles.forget(booking)
        latency = prefiller.timer.done(booking, now, measured)
        if latency is not None and entry.request.engine is not None and entry.candidate.uncached_tokens:
            self._learn_read(entry, latency, measured, now)
        if entry.candidate.split:
            prefiller.release_slot(entry.request.prompt_tokens)

    def _learn_read(self, entry: _Booking, latency_s: float, measured: bool, now: float) -> None:
        """Learn from a prefill that took this long, or was abandoned after it."""
        candidate, model = entry.candidate, entry.candidate.prefiller.model
        if measured:
            waited = model.learn(
                candidate.known, candidate.unseen, entry.ahead, latency_s, self.pairing.cached_fraction, now
            )
        else:
            waited = model.learn_unread(candidate.uncached_tokens, latency_s, now)
        self.guard.waited(entry.request.backend, candidate.uncached_tokens, waited, now)

    def _take_places(self, entry: _Booking, now: float) -> None:
        candidate, request = entry.candidate, entry.request
        candidate.decoder.occupy_slot(request.prompt_tokens + request.answer_tokens)
        self.pairing.load.stage(request.backend, candidate.decoder.stage, now).arrived(now)
        if candidate.split:
            candidate.prefiller.occupy_slot(request.prompt_tokens)

    def _free_places(self, entry: _Booking) -> None:
        candidate = entry.candidate
        need = entry.request.prompt_tokens + entry.request.answer_tokens
        candidate.decoder.release_slot(need)
        if candidate.split and entry.sent_at is None:
            candidate.prefiller.release_slot(entry.request.prompt_tokens)

    @staticmethod
    def _tokens_out(instance: TrackedInstance) -> int:
        return sum(instance.pending_prefills.get(booking, 0) for booking in instance.timer.in_flight)

    def _keep(self, entry: _Booking, instance: TrackedInstance) -> None:
        segments = entry.request.prompt_segments
        fraction = self.settings.pairing.own_segment_fraction * instance.prefix_cache.capacity
        most = max(1, int(fraction / max(1, segments[-1].tokens)))
        instance.prefix_cache.record_use(segments, min(self.pairing.load.gateways, most))
        self.pairing.remember(segments[-1].id, instance.id)
