"""The planner of one gateway: pairing names the nodes, admission books units there or refuses.

A request takes a slot per unit, in the earliest cycle with room at the node that reads its prompt.  It is
refused at once where no cycle finishes it before its deadline.  Nodes that are idle, as far as this gateway
knows, take it at once.  Nothing here does I/O or reads a clock: `now` is seconds of the steady clock.
"""

from __future__ import annotations

from bisect import bisect_left
from collections.abc import Iterable
from dataclasses import dataclass
from math import ceil
from typing import Protocol

from mallowbeam.router.admission.guard import OverloadGuard
from mallowbeam.router.admission.messages import (
    Expectation,
    Outcome,
    Plan,
    PlanRequest,
    Refusal,
    RefusalReason,
)
from mallowbeam.router.admission.settings import PlannerSettings
from mallowbeam.router.pairing.hashing import MASK, stable_hash
from mallowbeam.router.pairing.instances import Engine, InstanceBook, InstanceEntry, InstanceTable
from mallowbeam.router.pairing.prompt import Prompt
from mallowbeam.router.pairing.ways import Pairing, Way
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
    """A request that was taken and has not ended."""

    request: PlanRequest
    way: Way
    units: int
    ahead: int = 0
    sent_at: float | None = None
    handed_at: float | None = None
    read: bool = False
    first: bool = False


@dataclass(frozen=True, slots=True)
class _Offer:
    """A way with its booking, which is not taken yet."""

    way: Way
    units: int
    placement: Placement
    start_in_s: float
    expected_s: float
    """Until the first token."""
    finish_s: float
    """Until the first token or the end of the last cycle's slots, whichever is later."""
    loss: float


class Planner:
    """Decides for each request of one gateway; owner of its books on all instances."""

    def __init__(self, settings: PlannerSettings, gateway: str = "") -> None:
        """The gateway's name salts the choices that should differ among gateways."""
        self.settings = settings
        self.table = InstanceTable(settings.pairing, settings.slot_time, settings.cycle_s)
        self.pairing = Pairing(settings.pairing, self.table, gateway)
        self.guard = OverloadGuard(settings, gateway)
        self.bookings: dict[int, _Booking] = {}
        self._last = 0

    # ---------------------------------------------------------------- requests

    def plan(self, request: PlanRequest, now: float) -> Plan | Refusal:
        """Take a request, with its instances and its cycle, or refuse it."""
        prompt = self._prompt(request)
        if request.engine is not None:
            need = request.prompt_tokens + request.answer_tokens
            if 0 < request.engine.kv_capacity < need:
                return self._refusal(request, request.time_left_s, RefusalReason.TOO_LARGE)
            ways = self.pairing.ways(prompt, now)
        else:
            ways = self.pairing.plain_ways(prompt, now)
        if not ways:
            return self._refusal(request, 1.0, RefusalReason.NO_INSTANCE)
        if request.engine is not None and self.guard.refuses(request, ways[0].reader, now):
            return self._refusal(request, self.settings.guard_retry_s, RefusalReason.OVERLOAD)
        return self._choose(request, ways, now)

    def begun(self, booking: int, now: float) -> None:
        """The request was sent to the node that reads it."""
        if not (entry := self.bookings.get(booking)) or entry.sent_at is not None:
            return
        reader = entry.way.reader
        entry.sent_at = now
        entry.ahead = self._tokens_out(reader)
        reader.timer.sent(booking, entry.units, now)

    def prefill_done(self, booking: int, now: float) -> None:
        """The prefill instance has read the prompt, and the request goes on to the decode instance."""
        if not (entry := self.bookings.get(booking)) or entry.read or not entry.way.split:
            return
        self._read_ended(booking, entry, now, measured=True)
        entry.handed_at = now

    def hand_over_failed(self, booking: int, now: float) -> None:
        """The memory of what was read could not be had: the decode instance reads the prompt itself."""
        if not (entry := self.bookings.get(booking)) or entry.handed_at is None:
            return
        entry.handed_at = None
        entry.way.reader.failures.add(1.0, now)

    def first_token(self, booking: int, now: float) -> None:
        """The first token came (for a plain service: the head of the answer)."""
        if not (entry := self.bookings.get(booking)) or entry.first:
            return
        entry.first = True
        way = entry.way
        if not entry.read:  # where it was to be read apart, that did not come about
            self._read_ended(booking, entry, now, measured=not way.split)
        if way.split and entry.handed_at is not None:
            way.decoder.learn_join(way.reader, now - entry.handed_at, way.move_s, now)
        if entry.request.prompt_parts:
            self._keep(entry, way.decoder)

    def finished(self, booking: int, outcome: Outcome, now: float) -> None:
        """The request ended; its places and the slots it did not use are free again."""
        if not (entry := self.bookings.pop(booking, None)):
            return
        way = entry.way
        if not entry.read:
            self._read_ended(booking, entry, now, measured=outcome is Outcome.COMPLETED and not way.split)
        self._free_places(entry)
        if outcome is not Outcome.REJECTED:
            return
        if entry.handed_at is not None:  # its memory could not be had
            way.reader.failures.add(1.0, now)
            return
        node = way.decoder if entry.read else way.reader
        node.rejected_until = now + self.settings.pairing.rejected_s

    # ---------------------------------------------------------------- what is known of the system

    def instances_changed(self, instances: Iterable[InstanceEntry], now: float, whole: bool = False) -> None:
        """Instances came, changed or went; with `whole`, those not named are gone."""
        named = set()
        for entry in instances:
            named.add(entry.id)
            if entry.state == ENDED:
                self.table.remove(entry.id)
            else:
                self.table.update(entry, entry.state == READY)
        if whole:
            for gone in [known for known in self.table.books if known not in named]:
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
        """The instances that health has taken out, all of them; the others are in."""
        self.table.ejected = frozenset(instance_ids)

    # ---------------------------------------------------------------- choice and booking

    @staticmethod
    def _prompt(request: PlanRequest) -> Prompt:
        return Prompt(
            request.request_id,
            request.backend,
            request.engine,
            request.prompt_parts,
            request.prompt_tokens,
            request.answer_tokens,
            request.target_latency_s,
            request.zone,
            request.excluded,
            request.read_at,
        )

    def units(self, read_tokens: int) -> int:
        """Slots for a prompt with so many tokens to be read."""
        return min(self.settings.most_units, max(1, ceil(read_tokens / self.settings.tokens_per_unit)))

    def _choose(self, request: PlanRequest, ways: list[Way], now: float) -> Plan | Refusal:
        """Book the way of least loss; one whose cycle begins sooner may lose less than one held back."""
        need = request.prompt_tokens + request.answer_tokens
        open_ways = [way for way in ways if way.decoder.has_room(need) or way.decoder.idle]
        limit, soonest = self._limit(request), float("inf")
        best: _Offer | None = None
        for way in open_ways:
            offer = self._offer(request, way, now)
            if offer is None or (best is not None and offer.loss >= best.loss):
                continue
            if offer.finish_s <= limit or request.resumed or not self._believed(way.reader, now):
                best = offer
            else:
                soonest = min(soonest, offer.finish_s)
            if best is not None and best.start_in_s <= 0.0:
                break  # those that follow lose more
        if best is not None:
            return self._take(request, best, len(ways), now)
        over = soonest - limit if soonest < float("inf") else request.time_left_s
        return self._refusal(request, over, RefusalReason.NO_CYCLE if open_ways else RefusalReason.NO_ROOM)

    def _offer(self, request: PlanRequest, way: Way, now: float) -> _Offer | None:
        """A way with its place in the reader's cycles, if they have one."""
        units = self.units(way.read_tokens)
        placement = self._place(request, way.reader, units, now)
        if placement is None:
            return None
        start_in = max(0.0, placement.starts_at - now)
        expected = max(way.first_token_s, start_in + way.first_token_s - way.wait_s)
        held = start_in / max(request.target_latency_s, 1e-3) * self.settings.held_loss
        return _Offer(
            way, units, placement, start_in, expected, max(expected, placement.ends_at - now), way.loss + held
        )

    def _place(self, request: PlanRequest, node: InstanceBook, units: int, now: float) -> Placement | None:
        """Where in the node's cycles the units go; an idle node takes them at once, whatever it held."""
        node.cycles.measure(node.timer.slot_s(request.target_latency_s, now))
        return node.cycles.place_now(units, now) if node.idle else node.cycles.place(units, now)

    def _believed(self, node: InstanceBook, now: float) -> bool:
        """Whether a node's estimate may refuse: work of ours is there, and waiting was seen or is sure."""
        if node.idle:
            return False
        return (
            node.measured_wait_s(now) >= self.settings.measured_wait_s
            or node.timer.units_out >= self.settings.measured_units
        )

    def _limit(self, request: PlanRequest) -> float:
        """Seconds within which the first token must come to be of use."""
        settings = self.settings
        if request.engine is None:
            return request.time_left_s
        answer = request.answer_tokens * settings.answer_share * settings.answer_token_s
        silence = max(settings.silence_s, settings.silence_targets * request.target_latency_s)
        return min(request.time_left_s - answer, silence)

    def _take(self, request: PlanRequest, offer: _Offer, ways: int, now: float) -> Plan:
        self._last += 1
        booking, way = self._last, offer.way
        way.reader.cycles.book(booking, offer.placement)
        way.reader.read_started(booking, way.read_tokens)
        entry = _Booking(request, way, offer.units)
        self.bookings[booking] = entry
        self._take_places(entry, now)
        if request.prompt_parts:
            self._keep(entry, way.reader)
        prefill = way.reader.id if way.split else None
        return Plan(
            booking,
            prefill,
            way.decoder.id,
            offer.start_in_s,
            offer.units,
            offer.expected_s,
            engine_priority=self._engine_priority(request, offer.units),
            read_tokens=way.read_tokens,
            ways=ways,
            expected=Expectation(way.wait_s, way.read_s, way.move_s, way.join_s, offer.loss),
        )

    def _engine_priority(self, request: PlanRequest, units: int) -> int:
        """Short readings before long ones; some long ones among the middle, lest all of them starve."""
        steps = bisect_left(PRIORITY_STEPS, units)
        if units >= self.settings.long_units:
            drawn = stable_hash("long " + request.request_id) / MASK
            return MIDDLE_PRIORITY if drawn < self.settings.long_share else steps
        return steps

    def _refusal(self, request: PlanRequest, over_s: float, reason: RefusalReason) -> Refusal:
        """Come back when the overshoot has passed, spread by the request's id over half of that."""
        settings = self.settings
        spread = 0.75 + 0.5 * stable_hash(request.request_id) / MASK
        most = max(settings.least_retry_after_s, settings.retry_after_share * request.time_left_s)
        return Refusal(min(most, max(settings.least_retry_after_s, over_s) * spread), reason)

    # ---------------------------------------------------------------- books

    def _read_ended(self, booking: int, entry: _Booking, now: float, measured: bool) -> None:
        """The prompt was read, or will not be here."""
        entry.read = True
        reader = entry.way.reader
        reader.read_ended(booking)
        if entry.sent_at is None:
            reader.cycles.release(booking)  # never sent: its slots are a hole for others
            return
        reader.cycles.forget(booking)
        latency = reader.timer.done(booking, now, measured)
        if latency is not None and entry.request.engine is not None and entry.way.read_tokens:
            self._learn_read(entry, latency, measured, now)
        if entry.way.split:
            reader.leave_place(entry.request.prompt_tokens)

    def _learn_read(self, entry: _Booking, latency_s: float, measured: bool, now: float) -> None:
        """A prompt was read in this time, or it was given up after it."""
        way, model = entry.way, entry.way.reader.model
        if measured:
            waited = model.learn(way.known, way.unseen, entry.ahead, latency_s, self.pairing.kept, now)
        else:
            waited = model.learn_unread(way.read_tokens, latency_s, now)
        self.guard.waited(entry.request.backend, way.read_tokens, waited, now)

    def _take_places(self, entry: _Booking, now: float) -> None:
        way, request = entry.way, entry.request
        way.decoder.take_place(request.prompt_tokens + request.answer_tokens)
        self.pairing.load.stage(request.backend, way.decoder.stage, now).arrived(now)
        if way.split:
            way.reader.take_place(request.prompt_tokens)

    def _free_places(self, entry: _Booking) -> None:
        way = entry.way
        need = entry.request.prompt_tokens + entry.request.answer_tokens
        way.decoder.leave_place(need)
        if way.split and entry.sent_at is None:
            way.reader.leave_place(entry.request.prompt_tokens)

    @staticmethod
    def _tokens_out(node: InstanceBook) -> int:
        return sum(node.reading.get(booking, 0) for booking in node.timer.out)

    def _keep(self, entry: _Booking, node: InstanceBook) -> None:
        parts = entry.request.prompt_parts
        share = self.settings.pairing.own_part_share * node.kept.capacity
        most = max(1, int(share / max(1, parts[-1].tokens)))
        node.kept.used(parts, min(self.pairing.load.gateways, most))
        self.pairing.remember(parts[-1].id, node.id)
