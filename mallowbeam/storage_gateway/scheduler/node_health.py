"""Which nodes take new work: by discovery's lists, an operator's word, and how attempts end there."""

from __future__ import annotations

from mallowbeam.storage_gateway.scheduler.cycle_booking import CycleBooking
from mallowbeam.storage_gateway.scheduler.interface import (
    DiscoveryUpdate,
    DiscoveryUpdateKind,
    NodeEntry,
    NodeState,
    OperatorOverride,
    Outcome,
)
from mallowbeam.storage_gateway.scheduler.model import Attempt, Node
from mallowbeam.storage_gateway.scheduler.slow_start import SlowStart
from mallowbeam.storage_gateway.scheduler.state import DISCOVERY, SchedulerState

WATCH_RETRY = 1.0  # seconds to the retry of a failed call to discovery, at most in a small fleet
MAX_WATCH_RETRY = 2.2  # the same, at most in any fleet (`server/discovery.py`)
FLEET_CALL_RATE = 5.0  # retries a second by all hosts
LATER_SPREAD = 0.2  # fraction of the wait that is drawn, after the first failure
AGENT_RETRY = 0.05  # seconds to the retry at the host's own agent, which pushes the lists
LIST_DELAY = 3.0  # seconds by which lists run late: so long a node that was not reached counts as warming up
MAX_CONNECTION_FAULTS = 6  # in a row, after which a node has gone
CONNECTION_FAULT_WEIGHTS = {Outcome.NO_CONNECTION: 3, Outcome.RESET: 1}
ERROR_SMOOTHING = 0.1  # weight of one answer in a node's error rate
FAILING_RATE = 0.3  # of its answers that are errors, from which on a node is failing


class NodeHealth:
    """Opens and closes nodes; it owns the count of failed calls to discovery."""

    def __init__(self, state: SchedulerState, booking: CycleBooking, slow_start: SlowStart) -> None:
        self._state = state
        self._booking = booking
        self._slow_start = slow_start
        self.watch_failures = 0  # in a row

    def on_discovery_update(self, event: DiscoveryUpdate) -> None:
        """Take in a list, or plan another call where there is none."""
        if event.kind in (DiscoveryUpdateKind.FAILED, DiscoveryUpdateKind.TIMED_OUT):
            self._retry_watch(event.kind)
            return
        self.watch_failures = 0
        entries = event.entries
        if event.kind is not DiscoveryUpdateKind.DELTA:  # what a full list leaves out is gone
            named = {entry.node for entry in entries}
            left_out = [name for name in self._state.nodes if name not in named]
            entries = [NodeEntry(name, NodeState.REMOVED) for name in left_out] + entries
        for entry in entries:
            self._update(entry, event.kind)

    def on_operator_override(self, event: OperatorOverride) -> None:
        """Disable a node, or enable it: one call lifts all others, and the node was restarted meanwhile."""
        state = self._state
        disabled_at = state.disabled_nodes.pop(event.node, None)
        if event.disabled:
            state.disabled_nodes[event.node] = disabled_at or event.disabled_at or state.now
        node = state.nodes.get(event.node)
        if node is None:
            return
        if disabled_at is not None and not event.disabled:
            if (node.started_at or 0.0) < disabled_at:  # no list has named a start: the latest is presumed
                self._slow_start.begin(node, state.now)
            node.suspect = True  # what was known of it is forgotten, as with a first answer
            self.answered(node)
        self._admit(node)

    def answered(self, node: Node) -> None:
        """A node has answered: what the silence before seemed to say is forgotten."""
        node.last_answer_at = self._state.now
        node.connection_faults = 0
        if node.suspect:
            node.suspect = False
            node.latency.weight = 0.0
            node.paused_until = self._state.now
            self._state.touched[node.id] = node

    @staticmethod
    def count_answer(node: Node, attempt: Attempt, is_error: bool) -> None:
        """Count an answer in a node's error rate."""
        node.answered_up_to = max(node.answered_up_to, attempt.sent_at)
        node.error_rate += ERROR_SMOOTHING * (is_error - node.error_rate)
        node.failing = node.error_rate > FAILING_RATE
        if is_error and node.failing and attempt.sent_at >= node.cycle_started_at:
            node.cycle_units -= attempt.request.units  # no slot: what is sent again must not use up the cycle

    def connection_failed(self, node: Node, outcome: Outcome) -> None:
        """A connection was refused or broke: a node that goes breaks all of them, one that lives answers."""
        node.connection_faults += CONNECTION_FAULT_WEIGHTS[outcome]
        if node.connection_faults >= MAX_CONNECTION_FAULTS:
            self.suspect(node)
            now = self._state.now
            if node.slow_start_until < now + LIST_DELAY:  # it may be back, and cold, before a list says so
                self._slow_start.begin(node, now, LIST_DELAY)

    def suspect(self, node: Node) -> None:
        """A node does not answer, or is not reached: it gets one request a cycle until it answers."""
        if not node.suspect:
            node.suspect = True
            self._booking.rebook(node, lambda request: request.shard is None)
            self._state.touched[node.id] = node

    def _retry_watch(self, kind: DiscoveryUpdateKind) -> None:
        """Plan the next call to discovery.

        Guards discovery at its return: calls are drawn apart, the first over all of the time for which what
        it has may stay unknown, later ones near its end.  Where a watch timed out it is called at once.
        """
        state = self._state
        self.watch_failures += 1
        is_first = self.watch_failures == 1
        longest = min(max(WATCH_RETRY, state.settings.hosts / FLEET_CALL_RATE), MAX_WATCH_RETRY)
        wait = longest * (1.0 - state.random.random() * (1.0 if is_first else LATER_SPREAD))
        wait = min(wait, state.settings.max_list_age or wait)
        if kind is DiscoveryUpdateKind.TIMED_OUT and is_first:
            wait = 0.0
        if not state.settings.discovery_on_request:
            wait = AGENT_RETRY
        state.schedule(state.now + wait, DISCOVERY)

    def _update(self, entry: NodeEntry, kind: DiscoveryUpdateKind) -> None:
        """Take in one entry of a list."""
        node = self._state.nodes.get(entry.node)
        is_new = node is None
        if node is None:
            if entry.state is NodeState.REMOVED:
                return
            node = self._state.nodes[entry.node] = Node(entry, self._state)
        node.state = entry.state
        if node.state is NodeState.READY:
            started_at = entry.started_at
            if is_new and started_at is None and kind is DiscoveryUpdateKind.DELTA:
                started_at = self._state.now  # a machine that joins unexplained is a replacement, so cold
            if started_at is not None and (is_new or started_at != node.started_at):
                self._slow_start.begin(node, started_at)
                self.answered(node)  # it runs: what fell silent did so before
            node.started_at = started_at
        self._admit(node)

    def _admit(self, node: Node) -> None:
        """Open or close a node for new work; what is booked at a closed one is booked elsewhere."""
        state = self._state
        node.open = node.state is NodeState.READY and node.id not in state.disabled_nodes
        state.open = [known for known in state.nodes.values() if known.open]
        if not node.open:
            self._booking.rebook(node, lambda _: True)
        state.touched[node.id] = node
