"""The scheduler of one host: it wires the components, passes events to them, and returns their actions."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from mallowbeam.storage_gateway.scheduler.attempts import AttemptTracker
from mallowbeam.storage_gateway.scheduler.cycle_booking import CycleBooking
from mallowbeam.storage_gateway.scheduler.dispatch import Dispatcher
from mallowbeam.storage_gateway.scheduler.interface import (
    Action,
    AttemptEnded,
    ClientDisconnected,
    DiscoveryUpdate,
    Event,
    OperatorOverride,
    PlanChanged,
    RequestArrived,
    RequestClass,
    Settings,
    SiblingSend,
    StreamStarted,
    TimerFired,
    UploadProgress,
    WatchNodes,
)
from mallowbeam.storage_gateway.scheduler.key_order import KeyOrder
from mallowbeam.storage_gateway.scheduler.model import Node, Request
from mallowbeam.storage_gateway.scheduler.node_health import NodeHealth
from mallowbeam.storage_gateway.scheduler.queue_layout import QueueLayout
from mallowbeam.storage_gateway.scheduler.request_endings import RequestEndings
from mallowbeam.storage_gateway.scheduler.retry_policy import RetryPolicy
from mallowbeam.storage_gateway.scheduler.sending import Sender
from mallowbeam.storage_gateway.scheduler.slow_start import SlowStart
from mallowbeam.storage_gateway.scheduler.state import CLOCK_SLACK_S, DISCOVERY, SchedulerState
from mallowbeam.storage_gateway.scheduler.volume_table import VolumeTable

HOUSEKEEPING_INTERVAL_S = 1.0  # seconds between sweeps of old state and updates of the latency over all nodes


class Scheduler:
    """One host's scheduler; hosts share nothing."""

    def __init__(self, settings: Settings, now: float) -> None:
        self.state = state = SchedulerState(settings, now)
        self.volumes = VolumeTable(state)
        self.retries = RetryPolicy(state)
        self.slow_start = SlowStart(state)
        self.endings = RequestEndings(state)
        self.booking = CycleBooking(state, self.retries, self.slow_start, self.endings)
        self.key_order = KeyOrder(state, self.booking.book)
        self.endings.on_forgotten = self.key_order.advance
        self.health = NodeHealth(state, self.booking, self.slow_start)
        self.sender = Sender(state, self.retries, self.slow_start, self.key_order)
        self.tracker = AttemptTracker(state, self.booking, self.endings, self.health, self.key_order)
        layout = QueueLayout(state, self.volumes, self.slow_start)
        self.dispatcher = Dispatcher(state, self.health, layout, self.sender, self.tracker)
        self._last_housekeeping_at = now
        # The longest time to the deadline seen in each class.  A client's retry has less time left: the
        # difference tells how long ago its first attempt was.
        self._longest_expiry: dict[str, float] = {}
        self._handlers: dict[type, Callable[[Any], None]] = {
            RequestArrived: self._on_request,
            ClientDisconnected: self.tracker.on_client_disconnected,
            AttemptEnded: self.tracker.on_attempt_ended,
            StreamStarted: self.tracker.on_stream_started,
            UploadProgress: self.tracker.on_upload_progress,
            SiblingSend: self.volumes.on_sibling_send,
            DiscoveryUpdate: self.health.on_discovery_update,
            OperatorOverride: self.health.on_operator_override,
            PlanChanged: self.volumes.on_plan_changed,
            TimerFired: self._on_timer,
        }

    def step(self, now: float, events: list[Event]) -> list[Action]:
        """Process the events up to `now` (seconds), and return the actions to carry out."""
        state = self.state
        state.now = now
        if now - self._last_housekeeping_at >= HOUSEKEEPING_INTERVAL_S:
            self._run_housekeeping()
        for event in events:
            handler = self._handlers.get(type(event))
            if handler is not None:
                handler(event)
        while state.nodes_to_poll:
            self.dispatcher.poll(state.nodes_to_poll.popitem()[1])
        state.set_host_timer()
        return state.take_actions()

    def may_begin(self, now: float, request: str, attempt: int) -> bool:
        """Whether an attempt may send its first byte; to be asked once, when its connection is up."""
        self.state.now = now
        return self.sender.may_begin(request, attempt)

    def _run_housekeeping(self) -> None:
        """Drop old state, so that memory is bounded, and update the latency over all nodes."""
        state = self.state
        passed = state.now - self._last_housekeeping_at
        self._last_housekeeping_at = state.now
        self.retries.has_budget_left()  # drops the times past its window
        self.key_order.forget_old()
        self.volumes.forget_old()
        state.forget_old()
        latencies = [node.latency.mean for node in state.nodes.values() if node.has_recent_answers()]
        state.baseline.update(latencies, passed)

    def _on_timer(self, _: TimerFired) -> None:
        state = self.state
        for target in state.due_timers():
            if isinstance(target, Node):
                if state.nodes.get(target.id) is target:  # else it was dropped in the meantime
                    state.nodes_to_poll[target.id] = target
            elif isinstance(target, Request):
                # A request whose deadline was moved has another timer.
                if target.deadline - state.settings.tick <= state.now + CLOCK_SLACK_S:
                    self.endings.end(target)
            elif target == DISCOVERY:
                state.actions.append(WatchNodes(True))
            else:
                self.key_order.advance(target)

    def _on_request(self, event: RequestArrived) -> None:
        state = self.state
        settings = state.settings
        request_class = settings.classes.get(event.request_class) or RequestClass(
            event.request_class, latency_target=event.expires_in
        )
        hosts = max(1, event.volume_hosts or settings.hosts)
        volume = self.volumes.get(event.volume, event.plan, hosts, event.shard)
        state.sequence += 1
        request = Request(event, request_class, volume, state.sequence)
        # No request waits longer than its class allows.
        expires_in = min(event.expires_in, request_class.deadline)
        longest = max(self._longest_expiry.get(request_class.name, 0.0), expires_in)
        self._longest_expiry[request_class.name] = longest
        request.set_times(state.now, event.expires_in, elapsed=longest - expires_in)
        state.requests[request.id] = request
        self.retries.count_request()
        state.schedule(request.deadline - settings.tick, request)
        if request.order_key:
            self.key_order.add(request.order_key, request)
        else:
            self.booking.book(request)
