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

READY, ENDED = 0, 2  # values of `messages.InstanceState`
# The largest prefill, in units, of the engine priorities 0 to 8; larger ones get 9.
ENGINE_PRIORITY_MAX_UNITS = (0, 1, 2, 3, 4, 6, 8, 12, 16)
MIDDLE_ENGINE_PRIORITY = 4


class BackendEntry(Protocol):
    """A service of the operator's configuration."""

    @property
    def name(self) -> str:
        """Name of the service."""

    @property
    def engine(self) -> Engine | None:
        """Parameters of its model server; None for a service that is no model server."""


@dataclass(slots=True)
class _Booking:
    """A request that was admitted and has not ended."""

    request: PlanRequest
    candidate: Candidate
    units: int
    tokens_ahead: int = 0
    sent_at: float | None = None
    transferred_at: float | None = None
    prefill_finished: bool = False
    first_token_received: bool = False


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
    """Decides for each request of one gateway; owns its bookings and its view of all instances."""

    def __init__(self, settings: PlannerSettings, gateway: str = "") -> None:
        """The gateway's name salts the choices that should differ among gateways."""
        self.settings = settings
        self.tracker = InstanceTracker(settings.pairing, settings.slot_time, settings.cycle_s)
        self.pairing = Pairing(settings.pairing, self.tracker, gateway)
        self.guard = OverloadGuard(settings, gateway)
        self.bookings: dict[int, _Booking] = {}
        self._last_booking = 0

    # ---------------------------------------------------------------- requests

    def plan(self, request: PlanRequest, now: float) -> Plan | Rejection:
        """Admit a request, with its instances and its cycle, or reject it."""
        prompt = self._prompt(request)
        if request.engine is not None:
            needed_tokens = request.prompt_tokens + request.answer_tokens
            if 0 < request.engine.kv_capacity < needed_tokens:
                return self._rejection(request, request.time_left_s, RejectionReason.TOO_LARGE)
            candidates = self.pairing.candidates(prompt, now)
        else:
            candidates = self.pairing.unstaged_candidates(prompt, now)
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
        entry.tokens_ahead = self._tokens_in_flight(prefiller)
        prefiller.timer.sent(booking, entry.units, now)

    def prefill_done(self, booking: int, now: float) -> None:
        """The separate prefill is done; the request goes on to the decode instance."""
        if not (entry := self.bookings.get(booking)) or entry.prefill_finished or not entry.candidate.split:
            return
        self._end_prefill(booking, entry, now, measured=True)
        entry.transferred_at = now

    def hand_over_failed(self, booking: int, now: float) -> None:
        """The KV cache could not be transferred: the decode instance prefills the prompt itself."""
        if not (entry := self.bookings.get(booking)) or entry.transferred_at is None:
            return
        entry.transferred_at = None
        entry.candidate.prefiller.transfer_failures.add(1.0, now)

    def first_token(self, booking: int, now: float) -> None:
        """The first token was received (for a service without an engine: the head of the answer)."""
        if not (entry := self.bookings.get(booking)) or entry.first_token_received:
            return
        entry.first_token_received = True
        candidate = entry.candidate
        if not entry.prefill_finished:  # a separate prefill was planned but did not happen
            self._end_prefill(booking, entry, now, measured=not candidate.split)
        if candidate.split and entry.transferred_at is not None:
            candidate.decoder.learn_join(
                candidate.prefiller, now - entry.transferred_at, candidate.transfer_s, now
            )
        if entry.request.prompt_segments:
            self._record_cached(entry, candidate.decoder)

    def finished(self, booking: int, outcome: Outcome, now: float) -> None:
        """The request ended: release its slots and its memory."""
        if not (entry := self.bookings.pop(booking, None)):
            return
        candidate = entry.candidate
        if not entry.prefill_finished:
            self._end_prefill(
                booking, entry, now, measured=outcome is Outcome.COMPLETED and not candidate.split
            )
        self._release_slots(entry)
        if outcome is not Outcome.REJECTED:
            return
        if entry.transferred_at is not None:  # its KV cache could not be transferred
            candidate.prefiller.transfer_failures.add(1.0, now)
            return
        instance = candidate.decoder if entry.prefill_finished else candidate.prefiller
        instance.rejected_until = now + self.settings.pairing.rejected_s

    # ---------------------------------------------------------------- fleet state

    def instances_changed(
        self, instances: Iterable[InstanceEntry], now: float, complete: bool = False
    ) -> None:
        """Instances were added, changed or removed; with `complete`, all others are removed."""
        named = set()
        for entry in instances:
            named.add(entry.id)
            if entry.state == ENDED:
                self.tracker.remove(entry.id)
            else:
                self.tracker.update(entry, entry.state == READY)
        if complete:
            for removed_id in [known for known in self.tracker.instances if known not in named]:
                self.tracker.remove(removed_id)

    def configuration_changed(self, backends: Iterable[BackendEntry], now: float) -> None:
        """Apply the configured services; `backends` names all of them."""
        configured = list(backends)
        self.pairing.load.keep_only({backend.name for backend in configured})
        for backend in configured:
            if backend.engine is not None:
                self.tracker.set_capacity(backend.name, backend.engine.kv_capacity)

    def gateways_changed(self, count: int) -> None:
        """Set the number of gateways that send to the same instances, including this one."""
        self.pairing.load.gateways = max(1, count)

    def ejected(self, instance_ids: Iterable[str]) -> None:
        """Replace the set of ejected instances."""
        self.tracker.ejected = frozenset(instance_ids)

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
            request.kv_cache_source,
        )

    def units(self, uncached_tokens: int) -> int:
        """Slots for a prompt with so many uncached tokens."""
        return min(self.settings.most_units, max(1, ceil(uncached_tokens / self.settings.tokens_per_unit)))

    def _choose(self, request: PlanRequest, candidates: list[Candidate], now: float) -> Plan | Rejection:
        """Book the candidate of least loss, where a later start of its cycle adds to the loss."""
        needed_tokens = request.prompt_tokens + request.answer_tokens
        open_candidates = [
            candidate
            for candidate in candidates
            if candidate.decoder.has_capacity(needed_tokens) or candidate.decoder.idle
        ]
        limit_s, earliest_finish_s = self._first_token_limit_s(request), float("inf")
        best: _Offer | None = None
        for candidate in open_candidates:
            offer = self._offer(request, candidate, now)
            if offer is None or (best is not None and offer.loss >= best.loss):
                continue
            if (
                offer.finish_s <= limit_s
                or request.resumed
                or not self._may_reject_by_estimate(candidate.prefiller, now)
            ):
                best = offer
            else:
                earliest_finish_s = min(earliest_finish_s, offer.finish_s)
            if best is not None and best.start_in_s <= 0.0:
                break  # candidates are sorted by loss: the next ones are worse
        if best is not None:
            return self._book(request, best, len(candidates), now)
        overshoot_s = earliest_finish_s - limit_s if earliest_finish_s < float("inf") else request.time_left_s
        return self._rejection(
            request, overshoot_s, RejectionReason.NO_CYCLE if open_candidates else RejectionReason.NO_CAPACITY
        )

    def _offer(self, request: PlanRequest, candidate: Candidate, now: float) -> _Offer | None:
        """Return a candidate with its placement in its prefill instance's cycles; None without capacity."""
        units = self.units(candidate.uncached_tokens)
        placement = self._placement(request, candidate.prefiller, units, now)
        if placement is None:
            return None
        start_in = max(0.0, placement.starts_at - now)
        expected = max(candidate.first_token_s, start_in + candidate.first_token_s - candidate.wait_s)
        start_delay_loss = start_in / max(request.target_latency_s, 1e-3) * self.settings.delay_loss
        return _Offer(
            candidate,
            units,
            placement,
            start_in,
            expected,
            max(expected, placement.ends_at - now),
            candidate.loss + start_delay_loss,
        )

    def _placement(
        self, request: PlanRequest, instance: TrackedInstance, units: int, now: float
    ) -> Placement | None:
        """Return the placement of units in the instance's cycles; an idle instance starts them at once."""
        instance.cycles.set_slot_time(instance.timer.slot_s(request.target_latency_s, now))
        return instance.cycles.place_now(units, now) if instance.idle else instance.cycles.place(units, now)

    def _may_reject_by_estimate(self, instance: TrackedInstance, now: float) -> bool:
        """Whether the instance's estimate may reject: it is not idle, and queueing is measured or certain."""
        if instance.idle:
            return False
        return (
            instance.measured_wait_s(now) >= self.settings.measured_wait_s
            or instance.timer.units_in_flight >= self.settings.measured_units
        )

    def _first_token_limit_s(self, request: PlanRequest) -> float:
        """Return the seconds within which the first token must arrive to be useful."""
        settings = self.settings
        if request.engine is None:
            return request.time_left_s
        answer_s = request.answer_tokens * settings.answer_fraction * settings.answer_token_s
        first_token_timeout_s = max(
            settings.first_token_timeout_s, settings.first_token_timeout_targets * request.target_latency_s
        )
        return min(request.time_left_s - answer_s, first_token_timeout_s)

    def _book(self, request: PlanRequest, offer: _Offer, candidates: int, now: float) -> Plan:
        self._last_booking += 1
        booking, candidate = self._last_booking, offer.candidate
        candidate.prefiller.cycles.book(booking, offer.placement)
        candidate.prefiller.prefill_started(booking, candidate.uncached_tokens)
        entry = _Booking(request, candidate, offer.units)
        self.bookings[booking] = entry
        self._occupy_slots(entry, now)
        if request.prompt_segments:
            self._record_cached(entry, candidate.prefiller)
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
        """Return the engine priority: short prefills first; some long ones in the middle, so none starve."""
        steps = bisect_left(ENGINE_PRIORITY_MAX_UNITS, units)
        if units >= self.settings.long_units:
            draw = stable_hash("long " + request.request_id) / MASK
            return MIDDLE_ENGINE_PRIORITY if draw < self.settings.long_fraction else steps
        return steps

    def _rejection(self, request: PlanRequest, overshoot_s: float, reason: RejectionReason) -> Rejection:
        """Reject with a retry after `overshoot_s` seconds, with jitter by a hash of the request id."""
        settings = self.settings
        jitter = 0.75 + 0.5 * stable_hash(request.request_id) / MASK
        max_retry_after_s = max(
            settings.least_retry_after_s, settings.retry_after_fraction * request.time_left_s
        )
        return Rejection(
            min(max_retry_after_s, max(settings.least_retry_after_s, overshoot_s) * jitter), reason
        )

    # ---------------------------------------------------------------- bookings

    def _end_prefill(self, booking: int, entry: _Booking, now: float, measured: bool) -> None:
        """Record that the prefill ended, or will not happen at this instance."""
        entry.prefill_finished = True
        prefiller = entry.candidate.prefiller
        prefiller.prefill_ended(booking)
        if entry.sent_at is None:
            prefiller.cycles.release(booking)  # never sent: its slots can be booked again
            return
        prefiller.cycles.forget(booking)
        latency = prefiller.timer.done(booking, now, measured)
        if latency is not None and entry.request.engine is not None and entry.candidate.uncached_tokens:
            self._learn_prefill(entry, latency, measured, now)
        if entry.candidate.split:
            prefiller.release_slot(entry.request.prompt_tokens)

    def _learn_prefill(self, entry: _Booking, latency_s: float, measured: bool, now: float) -> None:
        """Learn from a prefill that took `latency_s` seconds, or was abandoned after them."""
        candidate, model = entry.candidate, entry.candidate.prefiller.model
        if measured:
            wait_s = model.learn(
                candidate.known_misses,
                candidate.unseen_tokens,
                entry.tokens_ahead,
                latency_s,
                self.pairing.cached_fraction,
                now,
            )
        else:
            wait_s = model.learn_abandoned(candidate.uncached_tokens, latency_s, now)
        self.guard.record_wait(entry.request.backend, candidate.uncached_tokens, wait_s, now)

    def _occupy_slots(self, entry: _Booking, now: float) -> None:
        candidate, request = entry.candidate, entry.request
        candidate.decoder.occupy_slot(request.prompt_tokens + request.answer_tokens)
        self.pairing.load.stage(request.backend, candidate.decoder.stage, now).arrived(now)
        if candidate.split:
            candidate.prefiller.occupy_slot(request.prompt_tokens)

    def _release_slots(self, entry: _Booking) -> None:
        candidate = entry.candidate
        needed_tokens = entry.request.prompt_tokens + entry.request.answer_tokens
        candidate.decoder.release_slot(needed_tokens)
        if candidate.split and entry.sent_at is None:
            candidate.prefiller.release_slot(entry.request.prompt_tokens)

    @staticmethod
    def _tokens_in_flight(instance: TrackedInstance) -> int:
        return sum(instance.pending_prefills.get(booking, 0) for booking in instance.timer.in_flight)

    def _record_cached(self, entry: _Booking, instance: TrackedInstance) -> None:
        segments = entry.request.prompt_segments
        fraction = self.settings.pairing.own_segment_fraction * instance.prefix_cache.capacity
        max_charges = max(1, int(fraction / max(1, segments[-1].tokens)))
        instance.prefix_cache.record_use(segments, min(self.pairing.load.gateways, max_charges))
        self.pairing.remember(segments[-1].id, instance.id)
