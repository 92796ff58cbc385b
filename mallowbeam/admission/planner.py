"""The planner of one gateway: pairing names the nodes, admission books units there or refuses.

A request takes a slot per unit, in the earliest cycle with room at the node that reads its prompt.  It is
refused at once where no cycle finishes it before its deadline.  Nodes that are idle, as far as this gateway
knows, take it at once.  Nothing here does I/O or reads a clock: `now` is seconds of the steady clock.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from math import ceil
from typing import Protocol

from mallowbeam.admission.messages import Outcome, Plan, PlanRequest, Refusal, RefusalReason
from mallowbeam.admission.settings import PlannerSettings
from mallowbeam.pairing.hashing import MASK, stable_hash
from mallowbeam.pairing.instances import Engine, InstanceBook, InstanceEntry, InstanceTable
from mallowbeam.pairing.ways import Pairing, Prompt, Way
from mallowbeam.scheduling.cycles import Placement

READY, ENDED = 0, 2   # of `messages.InstanceState`


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


class Planner:
    """Decides for each request of one gateway; owner of its books on all instances."""

    def __init__(self, settings: PlannerSettings, gateway: str = "") -> None:
        """The gateway's name salts the choices that should differ among gateways."""
        self.settings = settings
        self.table = InstanceTable(settings.pairing, settings.slot_time, settings.cycle_s)
        self.pairing = Pairing(settings.pairing, self.table, gateway)
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

    def first_token(self, booking: int, now: float) -> None:
        """The first token came (for a plain service: the head of the answer)."""
        if not (entry := self.bookings.get(booking)) or entry.first:
            return
        entry.first = True
        if not entry.read:
            self._read_ended(booking, entry, now, measured=True)
        way = entry.way
        if way.split and entry.handed_at is not None:
            way.decoder.learn_join(now - entry.handed_at, way.move_s, now)
        if entry.request.prompt_parts:
            self._keep(entry, way.decoder)

    def finished(self, booking: int, outcome: Outcome, now: float) -> None:
        """The request ended; its places and the slots it did not use are free again."""
        if not (entry := self.bookings.pop(booking, None)):
            return
        way = entry.way
        if not entry.read:
            self._read_ended(booking, entry, now, measured=outcome is Outcome.COMPLETED)
        self._free_places(entry)
        if outcome is Outcome.REJECTED:
            node = way.reader if entry.handed_at is None else way.decoder
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
        """The operator's services, with their engines' figures."""
        for backend in backends:
            if backend.engine is not None:
                self.table.set_capacity(backend.name, backend.engine.kv_capacity)

    def gateways_changed(self, count: int) -> None:
        """How many gateways send to the same instances, this one included."""
        self.pairing.gateways = max(1, count)

    def ejected(self, instance_ids: Iterable[str]) -> None:
        """The instances that health has taken out, all of them; the others are in."""
        self.table.ejected = frozenset(instance_ids)

    # ---------------------------------------------------------------- choice and booking

    @staticmethod
    def _prompt(request: PlanRequest) -> Prompt:
        return Prompt(request.request_id, request.backend, request.engine, request.prompt_parts,
                      request.prompt_tokens, request.answer_tokens, request.target_latency_s, request.zone,
                      request.excluded)

    def units(self, read_tokens: int) -> int:
        """Slots for a prompt with so many tokens to be read."""
        return min(self.settings.most_units, max(1, ceil(read_tokens / self.settings.tokens_per_unit)))

    def _choose(self, request: PlanRequest, ways: list[Way], now: float) -> Plan | Refusal:
        limit = self._limit(request)
        need = request.prompt_tokens + request.answer_tokens
        soonest = float("inf")
        room = False
        for way in ways:
            units = self.units(way.read_tokens)
            if not way.decoder.has_room(need) and not way.decoder.idle:
                continue
            room = True
            placement = self._place(request, way.reader, units, now)
            if placement is None:
                continue
            start_in = placement.starts_at - now
            expected = max(way.first_token_s, start_in + way.first_token_s - way.wait_s)
            finish = max(expected, placement.ends_at - now)
            if finish <= limit or request.resumed or not self._believed(way.reader, units, now):
                return self._take(request, way, units, placement, now, expected)
            soonest = min(soonest, finish)
        over = soonest - limit if soonest < float("inf") else request.time_left_s
        return self._refusal(request, over, RefusalReason.NO_CYCLE if room else RefusalReason.NO_ROOM)

    def _place(self, request: PlanRequest, node: InstanceBook, units: int, now: float) -> Placement | None:
        slot_s = node.timer.slot_s(request.target_latency_s, now)
        node.cycles.slots_per_cycle(slot_s)
        placement = node.cycles.place(units, now)
        if node.idle:                           # bookings at once, whatever its cycle held
            current = node.cycles.first
            return Placement(((current, units),), now, now + units * slot_s)
        return placement

    def _believed(self, node: InstanceBook, units: int, now: float) -> bool:
        """Whether a node's estimate may refuse: work of ours is there, and waiting was seen or is sure."""
        if node.idle:
            return False
        return (node.measured_wait_s(now) >= self.settings.measured_wait_s
                or node.timer.units_out >= self.settings.measured_units)

    def _limit(self, request: PlanRequest) -> float:
        """Seconds within which the first token must come to be of use."""
        settings = self.settings
        if request.engine is None:
            return request.time_left_s
        answer = request.answer_tokens * settings.answer_share * settings.answer_token_s
        silence = max(settings.silence_s, settings.silence_targets * request.target_latency_s)
        return min(request.time_left_s - answer, silence)

    def _take(self, request: PlanRequest, way: Way, units: int, placement: Placement, now: float,
              expected: float) -> Plan:
        self._last += 1
        booking = self._last
        way.reader.cycles.book(booking, placement)
        way.reader.read_started(booking, way.read_tokens)
        entry = _Booking(request, way, units)
        self.bookings[booking] = entry
        need = request.prompt_tokens + request.answer_tokens
        way.decoder.take_place(need)
        if way.split:
            way.reader.take_place(request.prompt_tokens)
        if request.prompt_parts:
            self._keep(entry, way.reader)
        prefill = way.reader.id if way.split else None
        return Plan(booking, prefill, way.decoder.id, max(0.0, placement.starts_at - now), units, expected,
                    way.read_tokens)

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
        tokens = reader.read_ended(booking)
        if entry.sent_at is None:
            reader.cycles.release(booking)      # never sent: its slots are a hole for others
            return
        reader.cycles.forget(booking)
        latency = reader.timer.done(booking, now, measured)
        if measured and latency is not None and entry.request.engine is not None:
            reader.learn_read(tokens, entry.ahead, latency, now)
        if entry.way.split:
            reader.leave_place(entry.request.prompt_tokens)

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
        node.kept.used(parts, min(self.pairing.gateways, most))
        self.pairing.remember(parts[-1].id, node.id)
