"""Requests, their attempts, and the storage nodes as one host sees them.

A node has a queue, units in flight, a measured latency and a price per unit.  Slot time is the paper's: the
node's smoothed latency over the units in flight there (`mallowbeam.scheduling`).
"""

from __future__ import annotations

from enum import IntEnum
from itertools import islice
from math import exp
from typing import NamedTuple

from mallowbeam.scheduling.slots import MAX_SLOTS, FadingMean, blend, slot_time
from mallowbeam.storage_gateway.scheduler.host_context import LATENCY_MEMORY_S, HostContext
from mallowbeam.storage_gateway.scheduler.interface import NodeEntry, RequestArrived, RequestClass
from mallowbeam.storage_gateway.scheduler.volumes import VALUE_MEMORY_S, Volume

LONG_AGO = -1e9

PRIOR_WEIGHT = 0.5  # weight of the latency over all nodes at each node, in answers
MAX_DEVIATION = 3.0  # cap of a sample, in multiples of the mean, so that one pause cannot dominate it
MIN_SIZE_FRACTION = 0.2  # of a latency: the least that remains after subtracting the cost of the size
RECENT_WEIGHT = 0.1  # minimum weight of a node's samples to count in the latency over all nodes

TARGET_FRACTION = 0.35  # of the cycle: target latency; the rest is for waiting here, where requests can move
WINDOW_GROWTH = 0.7  # units added to the window by a round trip under the target
WINDOW_SHRINK = 0.3  # fraction of an answer's units subtracted from the window if it took twice the target
BUSY_FRACTION = 0.7  # of the window that must be in use for it to grow
PRICE_STEP = 0.5  # fraction by which a request without a slot moves the node's price towards its value


class Tier(IntEnum):
    """The part of its volume's entitlement that a request counts against; the first is worth the most."""

    RESERVED = 0
    FAIR_SHARE = 1
    SPARE = 2


class PossibleRun(NamedTuple):
    """An attempt that may have run: zone and shard of its node, and when it was sent."""

    zone: str
    shard: int
    sent_at: float


class Request:
    """A request that this host has accepted; it owns the request's attempts."""

    __slots__ = (
        "attempt_count",
        "counted_pending",
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
        self.data_key = event.key or event.request  # identifies the data, for placement and affinity
        self.deadline = self.target_at = 0.0  # times: see `set_times`
        self.unit_value = 0.0  # of one unit, set whenever its node's queue is valued
        self.tier = Tier.SPARE
        self.attempt_count = 0
        self.in_flight: dict[int, Attempt] = {}  # by number
        self.possible_runs: list[PossibleRun] = []
        self.done = False  # it has its final answer, or needs none any more
        self.late = False  # it cannot meet its latency target by the last layout of the queue
        self.counted_pending = False  # its units count as pending at its volume
        self.outbid = False  # it lost its slot to others, and has raised its node's price once
        self.charged = False  # its units have been charged to its volume's limit

    def set_times(self, now: float, expires_in: float, elapsed: float) -> None:
        """Set deadline and latency target; `elapsed` seconds of the target passed before this attempt."""
        self.deadline = now + expires_in
        self.target_at = min(now + self.request_class.latency_target - elapsed, self.deadline)


class SlowStartSend:
    """Units that were sent to a node while it was warming up."""

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
        self.number = number  # from 0, as in the protocol
        self.node = node
        self.sent_at = now
        self.expires_at = now  # the host stops waiting then
        self.stuck = False  # cancelled because later attempts overtook it
        self.uploading_units = uploading_units  # charged to the limit, but possibly not yet at a node
        # An attempt is void if its node restarts before it begins.
        self.node_started_at = node.slow_start_from
        self.slow_start_send = SlowStartSend(now, request.units)


class FairShare:
    """A volume's share of a node's capacity by weight: a token bucket, in units."""

    __slots__ = ("level", "refilled_at")

    def __init__(self, level: float, now: float) -> None:
        self.level = level
        self.refilled_at = now

    def refill(self, now: float, rate: float, cap: float) -> None:
        """Add the tokens accrued up to now."""
        self.level = min(cap, self.level + rate * (now - self.refilled_at))
        self.refilled_at = now


class Node:
    """A storage node.  It owns its bookings, its attempts in flight and its measurements."""

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
        self.state = entry.state  # as discovery lists it
        self.open = False  # whether new work may go there
        # Unsent bookings: latency target, sequence, request; sorted.
        self.queue: list[tuple[float, int, Request]] = []
        # By request and attempt number, in the order sent.
        self.in_flight: dict[tuple[str, int], Attempt] = {}
        self.units_in_flight = 0
        self.mean_units_in_flight = host.settings.typical_units  # smoothed over the attempts sent
        self.window = float(host.settings.max_units)  # maximum of units in flight
        self.latency = FadingMean(LATENCY_MEMORY_S)  # of a typical request, from recent answers
        self.latency.mean = host.baseline.prior
        self.latency.updated_at = host.now
        self.smoothed_latency = host.baseline.prior  # the same, blended with the baseline's prior
        self.cycle_started_at = host.now
        self.cycle_units = 0  # sent in this cycle
        self.paused_until = host.now  # nothing is sent before this time
        self.last_answer_at = host.now
        self.last_sent_at = LONG_AGO
        self.last_data_key = ""  # of the request sent there last
        self.answered_up_to = LONG_AGO  # send time of the latest-sent attempt that was answered
        self.poll_at = LONG_AGO  # time of its pending poll
        self.suspect = False  # silent or unreachable: it gets one trial request a cycle
        self.connection_faults = 0  # weighted count since its last answer
        self.error_rate = 0.0  # of its recent answers
        self.failing = False  # too many of them were errors
        self.slow_start_from = LONG_AGO  # its last start, as listed or assumed
        self.slow_start_until = LONG_AGO
        self.slow_start_sends: list[SlowStartSend] = []
        self.fair_shares: dict[Volume, FairShare] = {}
        self.total_weight = 0.0  # of the volumes in `fair_shares`
        self.total_weight_at = LONG_AGO
        self.price = 0.0  # of a unit
        self.price_at = host.now

    # --- latency -----------------------------------------------------------------------------

    def refresh(self) -> None:
        """Decay the weight of past answers, so that old ones lose influence even where answers are rare."""
        now = self._host.now
        latency = self.latency
        if now > latency.updated_at:
            latency.fade(now)
            self.smoothed_latency = blend(
                latency.weight, latency.mean, PRIOR_WEIGHT, self._host.baseline.prior
            )

    def has_recent_answers(self) -> bool:
        """Whether its latency rests on recent answers."""
        latency = self.latency
        age = latency.updated_at - self._host.now
        return not self.suspect and latency.weight * exp(age / LATENCY_MEMORY_S) > RECENT_WEIGHT

    def learn(self, units: int, latency: float, at_least: bool) -> None:
        """Add a latency sample in seconds (`at_least`: a lower bound, without an answer); adjust the window.

        The window of units in flight is steered so that answers take `TARGET_FRACTION` of a cycle.
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
        """Seconds by which the second-oldest attempt is overdue.

        A single attempt, which may be a costly one, gets one cycle more.
        """
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

    def update_price(self, unit_value: float = 0.0) -> float:
        """The decayed price of a unit, after raising it towards `unit_value` of a request without a slot."""
        now = self._host.now
        self.price *= exp((self.price_at - now) / VALUE_MEMORY_S)
        self.price_at = now
        self.price += PRICE_STEP * max(0.0, unit_value - self.price)
        return self.price

    # --- counting ----------------------------------------------------------------------------

    def drop_finished(self) -> None:
        """Remove finished requests from the queue."""
        self.queue = [entry for entry in self.queue if not entry[2].done]

    def remove_attempt(self, attempt: Attempt) -> bool:
        """Remove an attempt from the work in flight; False if it was not, or no longer, part of it."""
        was_working = self.in_flight.pop((attempt.request.id, attempt.number), None) is not None
        if was_working:
            self.units_in_flight -= attempt.request.units
        return was_working

    def count_slow_start_send(self, now: float, units: int) -> SlowStartSend:
        """Record units that are sent while the node is warming up."""
        send = SlowStartSend(now, units)
        self.slow_start_sends.append(send)
        return send
