"""Starts attempts: every rule on sending is checked here."""

from __future__ import annotations

from mallowbeam.storage_gateway.scheduler.interface import Send
from mallowbeam.storage_gateway.scheduler.key_order import KeyOrder
from mallowbeam.storage_gateway.scheduler.model import Attempt, Node, Request, Tier
from mallowbeam.storage_gateway.scheduler.retry_policy import RetryPolicy
from mallowbeam.storage_gateway.scheduler.slow_start import SlowStart
from mallowbeam.storage_gateway.scheduler.state import SchedulerState

IN_FLIGHT_SMOOTHING = 0.1  # weight of one attempt in a node's mean units in flight


class Sender:
    """Starts attempts; it owns no state of its own."""

    def __init__(
        self, state: SchedulerState, retries: RetryPolicy, slow_start: SlowStart, key_order: KeyOrder
    ) -> None:
        self._state = state
        self._retries = retries
        self._slow_start = slow_start
        self._key_order = key_order

    def send(self, request: Request, node: Node) -> bool:
        """Start an attempt if every rule allows it; False where one does not."""
        if not self._may_send(request, node):
            return False
        now = self._state.now
        volume = request.volume
        if not request.charged:
            if volume.limit_wait(now, request.units) > 0:
                return False
            volume.limit_level -= request.units
            volume.pending_units -= request.units
        if request.attempt_count:
            self._retries.count_retry()
        else:
            self._charge_tier(request, node)
        # The limit counts an attempt's units at the last byte: until then they lower the bucket's maximum,
        # and they are refunded if the attempt is not sent.
        is_uploading = self._state.settings.limit_at_arrival and not request.charged
        self._start(request, node, request.units if is_uploading else 0)
        return True

    def may_begin(self, request_id: str, number: int) -> bool:
        """Repeat the checks when an attempt's connection is up; True if it may send its first byte."""
        request = self._state.requests.get(request_id)
        attempt = request.in_flight.get(number) if request else None
        if request is None or attempt is None:
            return False
        node = attempt.node
        if (
            self._state.now >= attempt.expires_at
            or self._retries.is_forbidden(request, node)
            or attempt.node_started_at != node.slow_start_from
        ):
            return False
        self._slow_start.count_begin(attempt)
        return True

    def _may_send(self, request: Request, node: Node) -> bool:
        """Check every rule but the limit, cheapest first."""
        if self._retries.is_forbidden(request, node) or request.in_flight:
            return False
        if request.shard not in (None, node.shard) or request.attempt_count >= self._state.max_attempts:
            return False
        if not self._key_order.is_next(request) or self._slow_start.is_over_budget(node, request):
            return False
        return not request.attempt_count or self._retries.has_budget_left()

    @staticmethod
    def _charge_tier(request: Request, node: Node) -> None:
        """Deduct a first attempt's units from the reserve or fair share that they count against."""
        volume = request.volume
        if request.tier is Tier.RESERVED:
            volume.reserve_level -= request.units
        elif request.tier is Tier.FAIR_SHARE and volume in node.fair_shares:
            node.fair_shares[volume].level -= request.units

    def _start(self, request: Request, node: Node, uploading_units: int) -> None:
        now = self._state.now
        number = request.attempt_count
        attempt = Attempt(request, number, node, now, uploading_units)
        request.charged = True
        request.volume.uploading_units += uploading_units
        request.in_flight[number] = node.in_flight[(request.id, number)] = attempt
        request.attempt_count += 1
        node.units_in_flight += request.units
        node.cycle_units += request.units
        node.last_sent_at = now
        node.last_data_key = request.data_key
        if now < node.slow_start_until:
            node.slow_start_sends.append(attempt.slow_start_send)
        node.mean_units_in_flight += IN_FLIGHT_SMOOTHING * (node.units_in_flight - node.mean_units_in_flight)
        # An attempt ends at its target, so that late work does not add to the node's queue.  The cost: an
        # answer that would come later is lost.
        attempt.expires_at = request.target_at if now < request.target_at else request.deadline
        self._state.actions.append(Send(request.id, node.id, attempt.expires_at - now))
