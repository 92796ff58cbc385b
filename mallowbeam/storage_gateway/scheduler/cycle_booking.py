"""Where a request is booked: at which node, and in which order there.

The paper books a read into a numbered cycle of its node, as `mallowbeam.scheduling.cycles.CycleBook` does for
the router fleet.  Here a booking has no cycle before it is sent: a queue is laid out anew at every poll, as
values, prices and windows change within a cycle, and slots of later cycles would be booked by figures that no
longer hold.  Only the present cycle is counted (`Node.cycle_units`), by what was sent; there is nothing ahead
to release or to fill.  So the two differ in what they store; what is the same is shared: the size of a cycle
(`slots_per_cycle`), slot time, and the smoothing of latencies (`mallowbeam.scheduling.slots`).
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

OTHER_CHOICES = 6  # nodes that a new object may go to beside the first, hashed too, lest all turn to one
PREFERENCE = 1.25  # how much later the first may finish and still be chosen
HASH_STEPS = 7  # different orders in which the nodes are tried
UNAVAILABLE = 60.0  # seconds that a node counts as slower which is suspect or warms up
FAILING_CYCLES = 10  # the same, in cycles, of one that fails


class CycleBooking:
    """Books requests at nodes."""

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
        """Queue a request at the node that is to serve it; reject it if there is none, or over the limit."""
        if request.done or request.in_flight:
            return
        node = self._choose(request)
        if node is None:
            self._endings.end(request)
            return
        if not request.budgeted:
            volume = request.volume
            unit_value = request.request_class.value * volume.plan.price
            wait = volume.limit_wait(self._state.now, request.units + volume.pending_units, unit_value)
            if wait > 0:
                self._endings.end(request, retry_after=wait)
                return
            request.budgeted = True
            self._slow_start.count_demand(request.units)
            volume.pending_units += request.units
        insort(node.queue, (request.target_at, request.sequence, request))
        self._state.touched[node.id] = node

    def rebook(self, node: Node, moves: Callable[[Request], bool]) -> None:
        """Book those of a node's queue anew that are to move."""
        moved = [entry[2] for entry in node.queue if moves(entry[2])]
        node.queue = [entry for entry in node.queue if not moves(entry[2])]
        for request in moved:
            self.book(request)

    def _choose(self, request: Request) -> Node | None:
        """The open node with the shard; for a new object the one hashed, unless another finishes earlier."""
        # Guards against a booking where it may never be sent: it would wait there to its deadline.
        nodes = [
            node
            for node in self._state.open
            if request.shard in (None, node.shard)
            and (not request.possible_runs or self.retries.may_repeat(request, node))
        ]
        key = crc32(request.data_key.encode())
        best = None
        earliest = 0.0
        for turn in range(min(OTHER_CHOICES + 1, len(nodes))):
            node = nodes[(key + turn * (1 + key % HASH_STEPS)) % len(nodes)]
            finish = self._time_to_finish(node, request.units)
            if best is None or finish * PREFERENCE < earliest:
                best = node
                earliest = finish
        return best

    def _time_to_finish(self, node: Node, units: int) -> float:
        """Seconds until a request that is booked last at a node would be answered."""
        if node.suspect or self._state.now < node.slow_start_until:
            return UNAVAILABLE + node.overdue_time()
        queued = sum(entry[2].units for entry in node.queue)
        ahead = queued + node.units_in_flight + units - node.window
        # Guards new objects against a node that fails them at once, and so always seems to be free.
        penalty = FAILING_CYCLES * self._state.cycle if node.failing else 0.0
        return max(0.0, ahead) * node.slot_time() + node.expected_latency(units) + penalty
