"""Requests, their attempts, and the storage nodes as one host sees them.

A node has a queue, units in flight, a measured latency and a price of a unit.  Slot time is the paper's: the
node's smoothed latency over the units in flight there (`mallowbeam.scheduling`).
"""

from __future__ import annotations

from enum import IntEnum
from itertools import islice
from math import exp
from typing import NamedTuple

from mallowbeam.scheduling.slots import MAX_SLOTS, FadingMean, blend, slot_time
from mallowbeam.storage_gateway.scheduler.host_context import LATENCY_MEMORY, HostContext
from mallowbeam.storage_gateway.scheduler.interface import NodeEntry, RequestArrived, RequestClass
from mallowbeam.storage_gateway.scheduler.volumes import VALUE_MEMORY, Volume

LONG_AGO = -1e9

PRIOR_WEIGHT = 0.5  # answers that the latency of all nodes counts as, at each node
MAX_DEVIATION = 3.0  # a sample counts as at most this many times the mean: one pause can't poison it
MIN_SIZE_FRACTION = 0.2  # of a latency that is left when the cost of a request's size is taken off
RECENT_WEIGHT = 0.1  # weight of its samples with which a node still counts in the survey

TARGET_FRACTION = 0.35  # of the cycle: the latency steered to; the rest is for waiting here, still movable
WINDOW_GROWTH = 0.7  # units that a round trip under the target adds to the window
WINDOW_SHRINK = 0.3  # fraction of its units that an answer at twice the target takes off the window
BUSY_FRACTION = 0.7  # of the window that must be in use for it to grow
PRICE_STEP = 0.5  # how far one request without a slot moves a node's price towards its value


class Tier(IntEnum):
    """Which part of its volume's entitlement a request's units count to; the first is worth the most."""

    RESERVED = 0
    FAIR_SHARE = 1
    SPARE = 2


class PossibleRun(NamedTuple):
    """An attempt that may have run: where, and when it was sent."""

    zone: str
    shard: int
    sent_at: float


class Request:
    """A request that this host has accepted; it owns the request's attempts."""

    __slots__ = (
        "attempt_count",
        "budgeted",
        "charged",
        "data_key",
        "deadline",
        "done",
        "id",
        "in_flight",
        "late",
        "order_key",
        "outbid",
        "possible_runs",
        "request_class",
        "sequence",
        "shard",
        "target_at",
        "tier",
        "unit_value",
        "units",
        "volume",
    )

    def __init__(
        self, event: RequestArrived, request_class: RequestClass, volume: Volume, sequence: int
    ) -> None:
        self.id = event.request
        self.request_class = request_class
        self.volume = volume
        self.units = max(1, event.units)
        self.shard = event.shard
        self.sequence = sequence  # order of arrival at this host
        self.order_key = event.key if request_class.ordered else None
        self.data_key = event.key or event.request  # what it reads or writes, for placement and affinity
        self.deadline = self.target_at = 0.0  # times: see `set_times`
        self.unit_value = 0.0  # of one of its units, as its node's queue was last valued
        self.tier = Tier.SPARE
        self.attempt_count = 0
        self.in_flight: dict[int, Attempt] = {}  # by number
        self.possible_runs: list[PossibleRun] = []
        self.done = False  # it has its final answer, or needs none
        self.late = False  # it was laid out past its latency target
        self.budgeted = False  # its units count as pending at its volume
        self.outbid = False  # it lost its slot to others once, and has raised its node's price
        self.charged = False  # its units have left its volume's limit

    def set_times(self, now: float, expires_in: float, elapsed: float) -> None:
        """Fix deadline and latency target; `elapsed` seconds of the target passed before this attempt."""
        self.deadline = now + expires_in
        self.target_at = min(now + self.request_class.latency_target - elapsed, self.deadline)


class SlowStartSend:
    """Units that were sent to a node while it warmed up."""

    __slots__ = ("sent_at", "units")

    def __init__(self, sent_at: float, units: int) -> None:
        self.sent_at = sent_at
        self.units = units


class Attempt:
    """One attempt in flight."""

    __slots__ = (
        "expires_at",
        "node",
        "node_started_at",
        "number",
        "request",
        "sent_at",
        "slow_start_send",
        "stuck",
        "uploading_units",
    )

    def __init__(self, request: Request, number: int, node: Node, now: float, uploading_units: int) -> None:
        self.request = request
        self.number = number  # from 0, as the wire counts
        self.node = node
        self.sent_at = now
        self.expires_at = now  # the host waits until then
        self.stuck = False  # later attempts have passed it, and it was cancelled for that
        self.uploading_units = uploading_units  # charged to the limit, and perhaps not yet at any node
        self.node_started_at = node.slow_start_from  # a restart in between makes it void
        self.slow_start_send = SlowStartSend(now, request.units)


class FairShare:
    """What a volume may use of a node's capacity by weight: a token bucket, in units."""

    __slots__ = ("level", "refilled_at")

    def __init__(self, level: float, now: float) -> None:
        self.level = level
        self.refilled_at = now

    def refill(self, now: float, rate: float, cap: float) -> None:
        """Let it fill up to now."""
        self.level = min(cap, self.level + rate * (now - self.refilled_at))
        self.refilled_at = now


class Node:
    """A storage node.  It owns the bookings for it, its attempts in flight and what was measured of it."""

    __slots__ = (
        "_host",
        "answered_up_to",
        "connection_faults",
        "cycle_started_at",
        "cycle_units",
        "error_rate",
        "failing",
        "fair_shares",
        "id",
        "in_flight",
        "last_answer_at",
        "last_data_key",
        "last_sent_at",
        "latency",
        "poll_at",
        "mean_units_in_flight",
        "open",
        "paused_until",
        "price",
        "price_at",
        "queue",
        "shard",
        "slow_start_from",
        "slow_start_sends",
        "slow_start_until",
        "smoothed_latency",
        "started_at",
        "state",
        "suspect",
        "total_weight",
        "total_weight_at",
        "units_in_flight",
        "window",
        "zone",
    )

    def __init__(self, entry: NodeEntry, host: HostContext) -> None:
        self._host = host
        self.id = entry.node
        self.shard = entry.shard
        self.zone = entry.zone
        self.started_at = entry.started_at
        self.state = entry.state  # as listed
        self.open = False  # whether new work may go there
        self.queue: list[tuple[float, int, Request]] = []  # bookings that are not sent, by latency target
        self.in_flight: dict[tuple[str, int], Attempt] = {}  # in the order sent
        self.units_in_flight = 0
        self.mean_units_in_flight = host.settings.typical_units  # smoothed over what was sent
        self.window = float(host.settings.max_units)  # units that may be in flight
        self.latency = FadingMean(LATENCY_MEMORY)  # of a typical request, from recent answers
        self.latency.mean = host.baseline.prior
        self.latency.at = host.now
        self.smoothed_latency = host.baseline.prior  # the same, drawn towards the baseline's prior
        self.cycle_started_at = host.now
        self.cycle_units = 0  # sent in this cycle
        self.paused_until = host.now  # nothing is sent before
        self.last_answer_at = host.now
        self.last_sent_at = LONG_AGO
        self.last_data_key = ""  # of what was sent there last
        self.answered_up_to = LONG_AGO  # when the latest sent of its answered attempts was sent
        self.poll_at = LONG_AGO  # when its pending timer is due
        self.suspect = False  # silent, or not reachable: it gets a trickle
        self.connection_faults = 0  # since its last answer
        self.error_rate = 0.0  # of its recent answers
        self.failing = False  # too many of them were errors
        self.slow_start_from = LONG_AGO  # its last start, as listed or presumed
        self.slow_start_until = LONG_AGO
        self.slow_start_sends: list[SlowStartSend] = []
        self.fair_shares: dict[Volume, FairShare] = {}
        self.total_weight = 0.0  # of the volumes that share it
        self.total_weight_at = LONG_AGO
        self.price = 0.0  # of a unit
        self.price_at = host.now

    # --- latency -----------------------------------------------------------------------------

    def refresh(self) -> None:
        """Let answers fade with time, so that few a second weigh as they should: recent, or not at all."""
        now = self._host.now
        latency = self.latency
        if now > latency.at:
            latency.fade(now)
            self.smoothed_latency = blend(
                latency.weight, latency.mean, PRIOR_WEIGHT, self._host.baseline.prior
            )

    def has_recent_answers(self) -> bool:
        """Whether its latency says something of the present."""
        latency = self.latency
        age = latency.at - self._host.now
        return not self.suspect and latency.weight * exp(age / LATENCY_MEMORY) > RECENT_WEIGHT

    def learn(self, units: int, latency: float, at_least: bool) -> None:
        """Take in the latency in seconds of an answer (`at_least`: it had not come by then), and steer by it.

        The window of units in flight is moved so that answers take `TARGET_FRACTION` of a cycle.
        """
        self.refresh()
        baseline = self._host.baseline
        size_cost = baseline.slope * (units - baseline.typical_units)
        typical = max(latency - size_cost, MIN_SIZE_FRACTION * latency)
        if at_least and typical <= self.smoothed_latency:
            typical = self.smoothed_latency
        else:
            self.latency.add(min(typical, MAX_DEVIATION * self.smoothed_latency), self._host.now)
            self.smoothed_latency = blend(
                self.latency.weight, self.latency.mean, PRIOR_WEIGHT, baseline.prior
            )
        target = baseline.floor + TARGET_FRACTION * max(0.0, baseline.cycle - baseline.floor)
        excess = typical / target - 1.0
        if excess > 0:
            self.window = max(1.0, self.window - WINDOW_SHRINK * units * min(1.0, excess))
        elif self.queue or self.units_in_flight + units > BUSY_FRACTION * self.window:
            self.window = min(float(MAX_SLOTS), self.window + WINDOW_GROWTH * units / self.window)

    def overdue_time(self) -> float:
        """Seconds that two attempts are overdue; one alone, which may be costly, gets a cycle more."""
        oldest = tuple(islice(self.in_flight.values(), 2))
        if not oldest:
            return 0.0
        last = oldest[-1]
        host = self._host
        due = last.sent_at + host.baseline.slope * last.request.units
        if len(oldest) == 1:
            due += host.cycle
        return max(0.0, host.now - max(self.last_answer_at, due))

    def base_latency(self) -> float:
        """Expected latency, without the cost of its units, of a request sent now."""
        self.refresh()
        baseline = self._host.baseline
        return max(self.smoothed_latency - baseline.slope * baseline.typical_units, self.overdue_time())

    def expected_latency(self, units: int) -> float:
        """Expected latency of a request of this size sent now."""
        return self.base_latency() + self._host.baseline.slope * units

    def slot_time(self) -> float:
        """Seconds per unit, by measurement."""
        return slot_time(self.smoothed_latency, self.mean_units_in_flight, self.units_in_flight)

    # --- price -------------------------------------------------------------------------------

    def bid(self, unit_value: float = 0.0) -> float:
        """The price of a unit, raised by one that found no slot, and forgotten within seconds."""
        now = self._host.now
        self.price *= exp((self.price_at - now) / VALUE_MEMORY)
        self.price_at = now
        self.price += PRICE_STEP * max(0.0, unit_value - self.price)
        return self.price

    # --- counting ----------------------------------------------------------------------------

    def drop_finished(self) -> None:
        """Take requests that are over off the queue."""
        self.queue = [entry for entry in self.queue if not entry[2].done]

    def remove_attempt(self, attempt: Attempt) -> bool:
        """Take an attempt off the work in flight; False where it was not, or not any more, part of it."""
        was_working = self.in_flight.pop((attempt.request.id, attempt.number), None) is not None
        if was_working:
            self.units_in_flight -= attempt.request.units
        return was_working

    def count_slow_start_send(self, now: float, units: int) -> SlowStartSend:
        """Count units that are sent while the node warms up."""
        send = SlowStartSend(now, units)
        self.slow_start_sends.append(send)
        return send
