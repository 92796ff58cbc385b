"""Books requests: chooses the node, and the position in its queue.

The paper books a read into a numbered cycle of its node, as `mallowbeam.scheduling.cycles.CycleBook` does for
the router fleet.  Here a booking gets no cycle before it is sent: the queue is reordered at every poll,
because values, prices and windows change within a cycle and bookings in later cycles would rest on outdated
measurements.  Only the units sent in the current cycle are counted (`Node.cycle_units`); later cycles hold no
bookings to release or fill.  The two modules therefore store different state and share the rest: the size of
a cycle (`slots_per_cycle`), slot time, and the smoothing of latencies (`mallowbeam.scheduling.slots`).
"""

from __future__ import annotations

from bisect import insort
from collections.abc import Callable
from zlib import crc32

from mallowbeam.storage_gateway.scheduler.model import Node, Request
from mallowbeam.storage_gateway.scheduler.request_endings import RequestEndings
from mallowbeam.storage_gateway.scheduler.retry_policy import RetryPolicy
from mallowbeam.storage_gateway.scheduler.slow_start import SlowStart
from mallowbeam.storage_gateway.scheduler.state import SchedulerState

ALTERNATIVES = 6  # hashed alternatives for a new object; several, so that load does not all move to one node
FIRST_CHOICE_FACTOR = 1.25  # factor by which an alternative must finish earlier to be chosen
PROBE_STRIDES = 7  # number of different probe strides over the nodes
UNAVAILABLE_PENALTY_S = 60.0  # seconds added to the estimate of a node that is suspect or warms up
FAILING_PENALTY_CYCLES = 10  # cycles added to the estimate of a failing node


class CycleBooking:
    """Books requests at nodes; it owns no state of its own."""

    def __init__(
        self,
        state: SchedulerState,
        retries: RetryPolicy,
        slow_start: SlowStart,
        endings: RequestEndings,
    ) -> None:
        self._state = state
        self.retries = retries
        self._slow_start = slow_start
        self._endings = endings

    def book(self, request: Request) -> None:
        """Queue a request at the node that is to serve it; reject it without a node or over the limit."""
        if request.done or request.in_flight:
            return
        node = self._choose_node(request)
        if node is None:
            self._endings.end(request)
            return
        if not request.counted_pending:
            volume = request.volume
            unit_value = request.request_class.value * volume.plan.price
            wait = volume.limit_wait(self._state.now, request.units + volume.pending_units, unit_value)
            if wait > 0:
                self._endings.end(request, retry_after=wait)
                return
            request.counted_pending = True
            self._slow_start.count_demand(request.units)
            volume.pending_units += request.units
        insort(node.queue, (request.target_at, request.sequence, request))
        self._state.nodes_to_poll[node.id] = node

    def rebook(self, node: Node, should_move: Callable[[Request], bool]) -> None:
        """Book again those requests of a node's queue that `should_move` selects."""
        moved = [entry[2] for entry in node.queue if should_move(entry[2])]
        node.queue = [entry for entry in node.queue if not should_move(entry[2])]
        for request in moved:
            self.book(request)

    def _choose_node(self, request: Request) -> Node | None:
        """The open node with the shard; for a new object the first by hash if none finishes earlier."""
        # A retry is booked only where it may run: elsewhere it would wait unsent until its deadline.
        nodes = [
            node
            for node in self._state.open_nodes
            if request.shard in (None, node.shard)
            and (not request.possible_runs or self.retries.may_repeat(request, node))
        ]
        key = crc32(request.data_key.encode())
        best = None
        earliest = 0.0
        for probe in range(min(ALTERNATIVES + 1, len(nodes))):
            node = nodes[(key + probe * (1 + key % PROBE_STRIDES)) % len(nodes)]
            finish = self._time_to_finish(node, request.units)
            if best is None or finish * FIRST_CHOICE_FACTOR < earliest:
                best = node
                earliest = finish
        return best

    def _time_to_finish(self, node: Node, units: int) -> float:
        """Seconds until a request that joins the end of a node's queue would be answered."""
        if node.suspect or self._state.now < node.slow_start_until:
            return UNAVAILABLE_PENALTY_S + node.overdue_time()
        queued = sum(entry[2].units for entry in node.queue)
        ahead = queued + node.units_in_flight + units - node.window
        # A node that fails requests at once always seems idle: the penalty keeps new objects away from it.
        penalty = FAILING_PENALTY_CYCLES * self._state.cycle if node.failing else 0.0
        return max(0.0, ahead) * node.slot_time() + node.expected_latency(units) + penalty
