"""Polls nodes and sends the bookings that fit into window and cycle."""

from __future__ import annotations

from mallowbeam.scheduling.slots import slots_per_cycle
from mallowbeam.storage_gateway.scheduler.attempts import AttemptTracker
from mallowbeam.storage_gateway.scheduler.model import Node, Request
from mallowbeam.storage_gateway.scheduler.node_health import NodeHealth
from mallowbeam.storage_gateway.scheduler.queue_layout import QueueLayout
from mallowbeam.storage_gateway.scheduler.sending import Sender
from mallowbeam.storage_gateway.scheduler.state import CLOCK_SLACK_S, SchedulerState

POLL_FRACTION = 0.1  # of a cycle: interval between polls of a busy node
MAX_SILENT_CYCLES = 1.5  # by which an answer may be overdue before its node is suspect
EXTRA_SLOTS = 4  # a cycle has at least as many slots as the largest request has units, and these
RUN_REQUESTS = 2  # requests of the largest size that may exceed the window after one for the same data


class Dispatcher:
    """Polls nodes, and sends the requests that are due."""

    def __init__(
        self,
        state: SchedulerState,
        health: NodeHealth,
        layout: QueueLayout,
        sender: Sender,
        tracker: AttemptTracker,
    ) -> None:
        self._state = state
        self._health = health
        self._layout = layout
        self._sender = sender
        self._tracker = tracker
        self._min_slots = state.settings.max_units + EXTRA_SLOTS
        self._run_units = RUN_REQUESTS * state.settings.max_units

    def poll(self, node: Node) -> None:
        """Send the requests due at a node, end those without a slot, and poll again while it has work."""
        state = self._state
        if node.open and node.overdue_time() > MAX_SILENT_CYCLES * state.cycle:
            self._health.mark_suspect(node)
        if state.settings.may_cancel:
            self._tracker.cancel_stuck(node)
        node.drop_finished()
        if node.queue:
            order, rejected = self._layout.arrange(node)
            self._send_due(node, order)
            self._tracker.end_unsent(rejected)
            node.queue = [entry for entry in node.queue if not entry[2].done and not entry[2].in_flight]
        if node.queue or node.in_flight:
            self._poll_again(node)

    def _poll_again(self, node: Node) -> None:
        """Schedule the next poll; a node has one pending timer, however often it is polled."""
        state = self._state
        if node.poll_at <= state.now + CLOCK_SLACK_S:
            node.poll_at = state.now + POLL_FRACTION * state.cycle
            state.schedule(node.poll_at, node)

    def _send_due(self, node: Node, order: list[Request]) -> None:
        """Send requests from the front of the order until the node has no capacity left."""
        now = self._state.now
        if now - node.cycle_started_at >= self._state.cycle:
            node.cycle_started_at = now
            node.cycle_units = 0
        slots = slots_per_cycle(self._state.cycle, node.slot_time(), self._min_slots)
        if node.suspect:
            self._send_trial(node, order)
            return
        if now < node.paused_until:
            return
        price = self._layout.price(node)
        for request in self._grouped_by_data(node, order):
            if self._is_outpriced(request, node, price):
                continue
            if not self._has_capacity(request, node, slots):
                break
            self._sender.send(request, node)

    def _send_trial(self, node: Node, order: list[Request]) -> None:
        """Send one request a cycle to a suspect node, to see whether it answers."""
        if order and self._state.now >= node.paused_until and self._sender.send(order[0], node):
            node.paused_until = self._state.now + self._state.cycle

    @staticmethod
    def _grouped_by_data(node: Node, order: list[Request]) -> list[Request]:
        """The order with requests for the same data grouped, those for the data sent last first."""
        positions: dict[str, int] = {}
        for position, request in enumerate(order):
            positions.setdefault(request.data_key, position)
        positions[node.last_data_key] = -1
        return sorted(order, key=lambda request: positions[request.data_key])

    def _is_outpriced(self, request: Request, node: Node, price: float) -> bool:
        """Whether a request must wait because its units are worth less than the price.

        At an idle node a request is sent at its last chance to meet its target: capacity kept free for more
        valuable units would otherwise go unused.
        """
        unit_value = request.unit_value
        if request.late:
            unit_value *= request.request_class.late_value
        if unit_value >= price:
            return False
        if node.units_in_flight or request.late:
            return True
        state = self._state
        next_poll = 2 * POLL_FRACTION * state.cycle
        is_last_chance = state.now + node.expected_latency(request.units) + next_poll > request.target_at
        return not is_last_chance

    def _has_capacity(self, request: Request, node: Node, slots: int) -> bool:
        """Whether window and cycle have capacity; requests for the data sent last need no slot."""
        continues_run = request.data_key == node.last_data_key
        capacity = node.window + (self._run_units if continues_run else 0)
        if node.units_in_flight + request.units > capacity:
            if node.units_in_flight:
                return False
            # A request larger than the window is sent alone, at the rate that the window allows.
            pace = request.units / node.window * node.smoothed_latency
            if self._state.now - node.last_sent_at < pace:
                return False
        return continues_run or not node.cycle_units or node.cycle_units + request.units <= slots
