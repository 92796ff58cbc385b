"""Decides which nodes accept new work, by discovery's lists, operator overrides and attempt outcomes."""

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

WATCH_RETRY_S = 1.0  # maximum seconds to the retry of a failed call to discovery in a small fleet
MAX_WATCH_RETRY_S = 2.2  # the same in a fleet of any size (`server/discovery.py`)
FLEET_CALLS_PER_S = 5.0  # retries per second by all hosts together
LATER_JITTER = 0.2  # jitter as a fraction of the wait, after the first failure
AGENT_RETRY_S = 0.05  # seconds to the retry at the host's local agent, which pushes the lists
LIST_DELAY_S = 3.0  # seconds by which lists may lag: so long an unreachable node counts as warming up
MAX_CONNECTION_FAULTS = 6  # weighted, without an answer between, after which a node is suspect
CONNECTION_FAULT_WEIGHTS = {Outcome.NO_CONNECTION: 3, Outcome.RESET: 1}
ERROR_SMOOTHING = 0.1  # weight of one answer in a node's error rate
FAILING_ERROR_RATE = 0.3  # error rate above which a node is failing


class NodeHealth:
    """Opens and closes nodes for new work; it owns the count of failed calls to discovery."""

    def __init__(self, state: SchedulerState, booking: CycleBooking, slow_start: SlowStart) -> None:
        self._state = state
        self._booking = booking
        self._slow_start = slow_start
        self.watch_failures = 0  # consecutive

    def on_discovery_update(self, event: DiscoveryUpdate) -> None:
        """Apply a list of nodes, or schedule the next call if there is none."""
        if event.kind in (DiscoveryUpdateKind.FAILED, DiscoveryUpdateKind.TIMED_OUT):
            self._retry_watch(event.kind)
            return
        self.watch_failures = 0
        entries = event.entries
        if event.kind is not DiscoveryUpdateKind.DELTA:  # nodes that a full list omits are removed
            named = {entry.node for entry in entries}
            left_out = [name for name in self._state.nodes if name not in named]
            entries = [NodeEntry(name, NodeState.REMOVED) for name in left_out] + entries
        for entry in entries:
            self._apply_entry(entry, event.kind)

    def on_operator_override(self, event: OperatorOverride) -> None:
        """Disable a node, or enable it.

        One call to enable cancels all calls to disable; the node is assumed to have restarted in between.
        """
        state = self._state
        disabled_at = state.disabled_nodes.pop(event.node, None)
        if event.disabled:
            state.disabled_nodes[event.node] = disabled_at or event.disabled_at or state.now
        node = state.nodes.get(event.node)
        if node is None:
            return
        if disabled_at is not None and not event.disabled:
            # Without a start from a list since then, assume the latest possible: now.
            if (node.started_at or 0.0) < disabled_at:
                self._slow_start.begin(node, state.now)
            node.suspect = True  # makes the next line reset its measurements
            self.on_answer(node)
        self._update_open(node)

    def on_answer(self, node: Node) -> None:
        """Record that a node answered; for a suspect node, discard the latency measured in its silence."""
        node.last_answer_at = self._state.now
        node.connection_faults = 0
        if node.suspect:
            node.suspect = False
            node.latency.weight = 0.0
            node.paused_until = self._state.now
            self._state.nodes_to_poll[node.id] = node

    @staticmethod
    def count_answer(node: Node, attempt: Attempt, is_error: bool) -> None:
        """Add an answer to a node's error rate."""
        node.answered_up_to = max(node.answered_up_to, attempt.sent_at)
        node.error_rate += ERROR_SMOOTHING * (is_error - node.error_rate)
        node.failing = node.error_rate > FAILING_ERROR_RATE
        if is_error and node.failing and attempt.sent_at >= node.cycle_started_at:
            # Errors take no slot: retries must not fill the cycle.
            node.cycle_units -= attempt.request.units

    def connection_failed(self, node: Node, outcome: Outcome) -> None:
        """Count a failed connection; a node is suspect after several without an answer in between."""
        node.connection_faults += CONNECTION_FAULT_WEIGHTS[outcome]
        if node.connection_faults >= MAX_CONNECTION_FAULTS:
            self.mark_suspect(node)
            now = self._state.now
            # It may restart, and be cold, before a list reports it.
            if node.slow_start_until < now + LIST_DELAY_S:
                self._slow_start.begin(node, now, LIST_DELAY_S)

    def mark_suspect(self, node: Node) -> None:
        """Mark a node as silent or unreachable: it gets one trial request a cycle until it answers."""
        if not node.suspect:
            node.suspect = True
            self._booking.rebook(node, lambda request: request.shard is None)
            self._state.nodes_to_poll[node.id] = node

    def _retry_watch(self, kind: DiscoveryUpdateKind) -> None:
        """Schedule the next call to discovery.

        Jitter protects discovery from all hosts calling at once when it recovers: the first retry is spread
        over the whole wait, later ones near its end.  The wait is at most `max_list_age`, after which a host
        counts as informed of a change.  After the first time-out of a watch the retry is immediate.
        """
        state = self._state
        self.watch_failures += 1
        is_first = self.watch_failures == 1
        longest = min(max(WATCH_RETRY_S, state.settings.hosts / FLEET_CALLS_PER_S), MAX_WATCH_RETRY_S)
        wait = longest * (1.0 - state.random.random() * (1.0 if is_first else LATER_JITTER))
        wait = min(wait, state.settings.max_list_age or wait)
        if kind is DiscoveryUpdateKind.TIMED_OUT and is_first:
            wait = 0.0
        if not state.settings.discovery_on_request:
            wait = AGENT_RETRY_S
        state.schedule(state.now + wait, DISCOVERY)

    def _apply_entry(self, entry: NodeEntry, kind: DiscoveryUpdateKind) -> None:
        """Apply one entry of a list."""
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
                # A node that joins without a start time is a replacement, so cold.
                started_at = self._state.now
            if started_at is not None and (is_new or started_at != node.started_at):
                self._slow_start.begin(node, started_at)
                self.on_answer(node)  # it runs: any silence was before the restart
            node.started_at = started_at
        self._update_open(node)

    def _update_open(self, node: Node) -> None:
        """Open or close a node for new work; requests booked at a closed node are booked elsewhere."""
        state = self._state
        node.open = node.state is NodeState.READY and node.id not in state.disabled_nodes
        state.open_nodes = [known for known in state.nodes.values() if known.open]
        if not node.open:
            self._booking.rebook(node, lambda _: True)
        state.nodes_to_poll[node.id] = node
