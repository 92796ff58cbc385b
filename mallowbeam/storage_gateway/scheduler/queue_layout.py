"""Orders a node's queue, by value where not all of it can meet its latency targets.

Units within their volume's reserve are worth most, then those within its fair share by weight, then spare
ones.  Where a node lacks the time for all, the least valuable requests lose their slots (design page, "every
read is worth the same").
"""

from __future__ import annotations

from heapq import heappop, heappush
from typing import NamedTuple

from mallowbeam.storage_gateway.scheduler.interface import Idempotency
from mallowbeam.storage_gateway.scheduler.model import FairShare, Node, Request, Tier
from mallowbeam.storage_gateway.scheduler.slow_start import SlowStart
from mallowbeam.storage_gateway.scheduler.state import NEVER, SchedulerState
from mallowbeam.storage_gateway.scheduler.volume_table import VolumeTable
from mallowbeam.storage_gateway.scheduler.volumes import Volume

ACTIVE_TIME_S = 2.0  # seconds after its last request for which a volume takes part in sharing a node
SHARED_CAPACITY_FRACTION = 0.9  # of a node's capacity is shared by weight (the platform's rule)
CONGESTION_VALUE = 0.3  # of the highest unit value: the price where waiting takes up the whole target


class Pace(NamedTuple):
    """The rate at which a node accepts units."""

    slot_time: float  # seconds per unit
    free_units: float  # that can be sent now


class QueueLayout:
    """Values and orders the queues of nodes."""

    def __init__(self, state: SchedulerState, volumes: VolumeTable, slow_start: SlowStart) -> None:
        self._state = state
        self._volumes = volumes
        self._slow_start = slow_start
        settings = state.settings
        self._max_units = float(settings.max_units)
        self._tier_values = (1.0, settings.share_value, settings.spare_value)

    def arrange(self, node: Node) -> tuple[list[Request], list[Request]]:
        """The requests of a node's queue to send, on-time ones before late ones; and those without a slot."""
        self._set_values(node)
        rejected: list[Request] = []
        queue: list[Request] = []
        for _, _, request in node.queue:
            (rejected if self._slow_start.is_over_budget(node, request) else queue).append(request)
        # Read once, before latencies decay, so that the whole layout uses one slot time.
        pace = Pace(node.slot_time(), node.window - node.units_in_flight)
        units = self._mark_late(node, queue, pace)
        order = [request for request in queue if not request.late]
        price = self.price(node)
        late = [request for request in queue if request.late]
        served, unserved = self._split_late(node, late, units, price, pace)
        order += served
        rejected += unserved
        # One is sent as a trial: prefer requests that are safe to repeat, then small ones.
        if node.suspect and not order:
            order = sorted(
                rejected,
                key=lambda request: (
                    request.request_class.idempotency is Idempotency.UNSAFE,
                    request.units,
                    request.sequence,
                ),
            )
        return order, rejected

    def price(self, node: Node) -> float:
        """The minimum value of a unit to be sent to a node now.

        Requests without a slot raise it, and so does latency above the lowest measured, which shows load from
        other hosts.
        """
        state = self._state
        node.refresh()
        floor = state.baseline.floor
        waiting = max(node.smoothed_latency, node.overdue_time()) - floor
        congestion = min(1.0, max(0.0, waiting) / max(state.cycle - floor, state.cycle / 4))
        return max(node.update_price(), CONGESTION_VALUE * self._volumes.max_unit_value * congestion**2)

    def _set_values(self, node: Node) -> None:
        """Set tier and value of all requests of a node's queue."""
        now = self._state.now
        if now - node.total_weight_at > ACTIVE_TIME_S / 4:
            node.fair_shares = {
                volume: share
                for volume, share in node.fair_shares.items()
                if now - share.refilled_at <= ACTIVE_TIME_S
            }
            node.total_weight_at = now
            node.total_weight = sum(volume.plan.weight for volume in node.fair_shares)
        capacity = SHARED_CAPACITY_FRACTION * node.window / max(node.smoothed_latency, 1e-3)
        capacity_by_weight = capacity / max(node.total_weight, 1e-9)
        # Assigned from scratch each time, so that the most valuable classes get reserve and fair share first.
        levels_of: dict[Volume, list[float]] = {}
        requests = sorted((entry[2] for entry in node.queue), key=_negative_class_value)
        for request in requests:
            volume = request.volume
            levels = levels_of.get(volume)
            if levels is None:
                levels = levels_of[volume] = self._levels(node, volume, capacity_by_weight)
            half = request.units / 2
            if levels[0] >= half:
                tier = Tier.RESERVED
            elif levels[1] >= half:
                tier = Tier.FAIR_SHARE
            else:
                tier = Tier.SPARE
            levels[tier] -= request.units
            request.tier = tier
            request.unit_value = request.request_class.value * volume.plan.price * self._tier_values[tier]

    def _levels(self, node: Node, volume: Volume, capacity_by_weight: float) -> list[float]:
        """The units that a volume may use at a node now, by tier."""
        now = self._state.now
        volume.refill(now)
        rate = capacity_by_weight * volume.plan.weight
        share = node.fair_shares.get(volume)
        if share is None:
            share = node.fair_shares[volume] = FairShare(self._max_units, now)
        share.refill(now, rate, max(rate, self._max_units))
        return [volume.reserve_level, share.level, NEVER]

    def _mark_late(self, node: Node, queue: list[Request], pace: Pace) -> int:
        """Mark requests that cannot meet their target as late, the least valuable ones first.

        Returns the units that meet their targets.  `queue` is in the order of targets: while a request would
        miss its target, the least valuable of those up to it is marked late.
        """
        now = self._state.now
        slot_time, free_units = pace
        base = node.base_latency()
        slope = self._state.baseline.slope
        on_time: list[tuple[float, int, Request]] = []  # a heap, the least valuable first
        units = 0
        for request in queue:
            request.late = False
            latency = base + slope * request.units
            heappush(on_time, (request.unit_value, -request.sequence, request))
            units += request.units
            while on_time and now + max(0.0, units - free_units) * slot_time + latency > request.target_at:
                displaced = heappop(on_time)[2]
                displaced.late = True
                units -= displaced.units
                # Only where others took its slot, not where it is too large to be in time.
                if now + latency < displaced.target_at and not displaced.outbid:
                    displaced.outbid = True
                    node.update_price(displaced.unit_value)
                if displaced is request:
                    break
        return units

    def _split_late(
        self, node: Node, late: list[Request], units: int, price: float, pace: Pace
    ) -> tuple[list[Request], list[Request]]:
        """Late requests worth the price that meet their deadline after `units`, by value; and the others."""
        now = self._state.now
        slot_time, free_units = pace
        served: list[Request] = []
        rejected: list[Request] = []
        for request in sorted(late, key=_late_order):
            wait = max(0.0, units + request.units - free_units) * slot_time
            ends_at = now + wait + node.expected_latency(request.units)
            late_value = request.unit_value * request.request_class.late_value
            if ends_at > request.deadline or node.suspect or late_value < price:
                rejected.append(request)
            else:
                units += request.units
                served.append(request)
        return served, rejected


def _negative_class_value(request: Request) -> float:
    return -request.request_class.value


def _late_order(request: Request) -> tuple[float, int]:
    return (-request.unit_value * request.request_class.late_value, request.sequence)
