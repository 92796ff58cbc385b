"""State shared by the scheduler's components: settings, clock, nodes, requests, timers and actions."""

from __future__ import annotations

import random
from collections.abc import Iterator
from heapq import heapify, heappop, heappush

from mallowbeam.storage_gateway.scheduler.host_context import HostContext
from mallowbeam.storage_gateway.scheduler.interface import Action, NodeState, SetTimer, Settings, WatchNodes
from mallowbeam.storage_gateway.scheduler.model import Node, Request

CLOCK_SLACK_S = 2e-6  # seconds; a clock with microsecond resolution may fire a timer early by rounding
MAX_STALE_TIMERS = 1000  # of ended requests, before they are swept
NEVER = float("inf")
UNLIMITED_ATTEMPTS = 2**31  # number of attempts where the settings give no limit
DISCOVERY = ""  # timer target: a call to discovery

TimerTarget = Node | Request | str  # a node, a request, an ordered key, or `DISCOVERY`


class SchedulerState(HostContext):
    """The state of one host's scheduler that no single component owns."""

    __slots__ = (
        "actions",
        "disabled_nodes",
        "max_attempts",
        "nodes",
        "open_nodes",
        "random",
        "requests",
        "sequence",
        "started_at",
        "host_timer_at",
        "timers",
        "nodes_to_poll",
    )

    def __init__(self, settings: Settings, now: float) -> None:
        super().__init__(settings, now)
        self.started_at = now
        self.random = random.Random(settings.seed)
        self.nodes: dict[str, Node] = {}
        self.open_nodes: list[Node] = []  # nodes that accept new work
        self.disabled_nodes: dict[str, float] = {}  # by an operator; the time since when
        self.nodes_to_poll: dict[str, Node] = {}  # nodes to poll before the step ends
        self.requests: dict[str, Request] = {}
        self.max_attempts = settings.max_attempts or UNLIMITED_ATTEMPTS
        self.sequence = 0  # of requests and timers, so that ties are broken by order
        self.timers: list[tuple[float, int, TimerTarget]] = []  # a heap
        self.host_timer_at = NEVER  # time of the host's pending timer
        self.actions: list[Action] = [WatchNodes(True)] if settings.discovery_on_request else []

    def schedule(self, when: float, target: TimerTarget) -> None:
        """Set a timer for a node, a request, an ordered key or discovery."""
        self.sequence += 1
        heappush(self.timers, (when, self.sequence, target))

    def due_timers(self) -> Iterator[TimerTarget]:
        """Remove and return the targets due now; none if a later timer has replaced the one that fired."""
        until = self.now + CLOCK_SLACK_S
        if until < self.host_timer_at:
            return
        self.host_timer_at = NEVER
        while self.timers and self.timers[0][0] <= until:
            yield heappop(self.timers)[2]

    def set_host_timer(self) -> None:
        """Request a timer of the host if something is due before its pending one."""
        if self.timers and self.timers[0][0] < self.host_timer_at:
            self.host_timer_at = self.timers[0][0]
            self.sequence += 1
            self.actions.append(SetTimer(max(self.host_timer_at, self.now), self.sequence))

    def take_actions(self) -> list[Action]:
        """Return and clear the actions of this step."""
        actions = self.actions
        self.actions = []
        return actions

    def forget_old(self) -> None:
        """Drop nodes that are no longer listed, and timers of ended requests, so that memory is bounded."""
        for name, node in list(self.nodes.items()):
            is_warming = self.now <= node.slow_start_until
            if node.state is NodeState.REMOVED and not node.in_flight and not is_warming:
                del self.nodes[name]
        if len(self.timers) > 2 * (len(self.requests) + len(self.nodes)) + MAX_STALE_TIMERS:
            self.timers = [timer for timer in self.timers if not _is_ended(timer[2])]
            heapify(self.timers)


def _is_ended(target: TimerTarget) -> bool:
    return isinstance(target, Request) and target.done
