"""Processes the outcomes of attempts: answers, streams, uploads and failures."""

from __future__ import annotations

from mallowbeam.storage_gateway.scheduler.cycle_booking import CycleBooking
from mallowbeam.storage_gateway.scheduler.interface import (
    AttemptEnded,
    Cancel,
    ClientDisconnected,
    Idempotency,
    Outcome,
    StreamStarted,
    UploadProgress,
)
from mallowbeam.storage_gateway.scheduler.key_order import KeyOrder
from mallowbeam.storage_gateway.scheduler.model import (
    WINDOW_SHRINK,
    Attempt,
    Node,
    PossibleRun,
    Request,
    Tier,
)
from mallowbeam.storage_gateway.scheduler.node_health import NodeHealth
from mallowbeam.storage_gateway.scheduler.request_endings import RequestEndings
from mallowbeam.storage_gateway.scheduler.state import NEVER, SchedulerState

STUCK_MULTIPLE = 5.0  # of its expected latency, after which an attempt that later ones overtook is cancelled

MAY_STILL_RUN = frozenset((Outcome.TIMEOUT, Outcome.RESET, Outcome.CANCELLED))
UNSENT = frozenset((Outcome.NO_CONNECTION, Outcome.NOT_SENT))  # on sockets: the last byte was never written
NEVER_RAN = UNSENT | {Outcome.REJECTED, Outcome.MISDIRECTED}
UNANSWERED = MAY_STILL_RUN | UNSENT
LATENCY_OUTCOMES = frozenset((Outcome.OK, Outcome.TIMEOUT, Outcome.CANCELLED))
CONNECTION_FAULTS = frozenset((Outcome.NO_CONNECTION, Outcome.RESET))


class AttemptTracker:
    """Applies the host's reports on attempts to the request and the node concerned."""

    def __init__(
        self,
        state: SchedulerState,
        booking: CycleBooking,
        endings: RequestEndings,
        health: NodeHealth,
        key_order: KeyOrder,
    ) -> None:
        self._state = state
        self._booking = booking
        self._endings = endings
        self._health = health
        self._key_order = key_order

    def on_stream_started(self, event: StreamStarted) -> None:
        """Release the node of an answer that has begun: only forwarding to the client remains."""
        request = self._state.requests.get(event.request)
        if request is not None:
            attempt = request.in_flight[event.attempt]
            request.done = True
            attempt.node.remove_attempt(attempt)
            self._health.on_answer(attempt.node)
            attempt.node.learn(request.units, event.latency, at_least=False)

    def on_upload_progress(self, event: UploadProgress) -> None:
        """Suspend the deadline while a large body is forwarded; the last byte (`time_left` set) restarts it.

        A body cannot be sent again, so the request is not retried.
        """
        request = self._state.requests.get(event.request)
        attempt = request.in_flight.get(event.attempt) if request else None
        if request is None or attempt is None:
            return
        node = attempt.node
        node.remove_attempt(attempt)
        # The units were charged when the attempt was sent, but the limit counts them from the last byte on.
        request.volume.uploading_units -= attempt.uploading_units
        attempt.uploading_units = request.units if event.time_left is None else 0
        request.volume.uploading_units += attempt.uploading_units
        request.attempt_count = self._state.max_attempts
        request.deadline = NEVER
        if event.time_left is not None:
            attempt.sent_at = self._state.now
            request.deadline = self._state.now + event.time_left
            self._state.schedule(request.deadline - self._state.settings.tick, request)
            node.in_flight[request.id, event.attempt] = attempt
            node.units_in_flight += request.units

    def on_client_disconnected(self, event: ClientDisconnected) -> None:
        """End a request whose client no longer waits for an answer."""
        request = self._state.requests.get(event.request)
        if request is not None:
            self._endings.end(request, answered=True)

    def on_attempt_ended(self, event: AttemptEnded) -> None:
        """Record the outcome of an attempt; retry its request where that is allowed, else end it."""
        request = self._state.requests.get(event.request)
        attempt = request.in_flight.pop(event.attempt, None) if request else None
        if request is None or attempt is None:
            return
        node = attempt.node
        outcome = event.outcome
        was_working = node.remove_attempt(attempt)
        self._state.nodes_to_poll[node.id] = node
        request.volume.uploading_units -= attempt.uploading_units
        if outcome in UNSENT:
            self._refund(request, attempt)
        request.volume.deduct_remote_units(event.remote_units)
        if outcome not in UNANSWERED:
            self._health.on_answer(node)
            self._health.count_answer(node, attempt, outcome is Outcome.ERROR)
        if outcome not in LATENCY_OUTCOMES:
            self._handle_failure(node, outcome)
        elif was_working:
            self._record_latency(attempt, outcome)
        self._retry_or_end(request, attempt, event)

    def cancel_stuck(self, node: Node) -> None:
        """Cancel attempts that later ones overtook long ago, where a retry can still meet the target.

        Such an attempt's connection has gone silent although the node answers others.
        """
        now = self._state.now
        for attempt in node.in_flight.values():
            if attempt.sent_at >= node.answered_up_to:
                break
            request = attempt.request
            latency = node.expected_latency(request.units)
            if (
                now - attempt.sent_at > STUCK_MULTIPLE * latency
                and now + latency < request.target_at
                and not attempt.stuck
                and not request.done
                and request.request_class.idempotency is not Idempotency.UNSAFE
                and request.attempt_count < self._state.max_attempts
            ):
                attempt.stuck = True
                self._state.actions.append(Cancel(request.id, attempt.number))

    def end_unsent(self, requests: list[Request]) -> None:
        """End those of the given requests that have no attempt in flight: they got no slot."""
        for request in [request for request in requests if not request.in_flight]:
            self._endings.end(request)

    def _retry_or_end(self, request: Request, attempt: Attempt, event: AttemptEnded) -> None:
        """Record a possible run; book the request again where that is allowed, else end it."""
        outcome = event.outcome
        if outcome not in NEVER_RAN:
            node = attempt.node
            request.possible_runs.append(PossibleRun(node.zone, node.shard, attempt.sent_at))
        if outcome in MAY_STILL_RUN and request.order_key:
            self._key_order.pause(request.order_key)
        if event.finished or not self._is_retryable(request, attempt, outcome):
            self._endings.end(request, answered=event.finished)
        else:
            self._booking.book(request)
        self._endings.forget(request)

    @staticmethod
    def _refund(request: Request, attempt: Attempt) -> None:
        """Refund the units of an attempt that reached no node to its volume's limit and reserve."""
        volume = request.volume
        attempt.slow_start_send.units = 0
        if attempt.number == 0 and request.tier is Tier.RESERVED:
            volume.reserve_level += request.units
        if attempt.uploading_units and request.attempt_count == attempt.number + 1:
            request.charged = False
            volume.limit_level += attempt.uploading_units
            volume.pending_units += attempt.uploading_units

    def _record_latency(self, attempt: Attempt, outcome: Outcome) -> None:
        """Record a node's latency from an answer, or a lower bound of it from the time without one."""
        node = attempt.node
        latency = self._state.now - attempt.sent_at
        if outcome is Outcome.OK:
            node.learn(attempt.request.units, latency, at_least=False)
        elif not node.suspect and not attempt.stuck:  # silence is no measure of a node's speed
            node.learn(attempt.request.units, latency, at_least=True)

    def _handle_failure(self, node: Node, outcome: Outcome) -> None:
        """Back off from a node that rejects, and count failed connections."""
        if outcome is Outcome.REJECTED:
            self._back_off(node)
        elif outcome in CONNECTION_FAULTS:
            self._health.connection_failed(node, outcome)

    def _back_off(self, node: Node) -> None:
        """Shrink the window of a node whose queue is full, and pause sending for one round trip."""
        if self._state.now >= node.paused_until:
            node.window = max(1.0, node.window * (1.0 - WINDOW_SHRINK))
        node.paused_until = self._state.now + node.smoothed_latency

    def _is_retryable(self, request: Request, attempt: Attempt, outcome: Outcome) -> bool:
        """Whether a request is booked again; one that cannot be sent again is ended at once instead."""
        if outcome is Outcome.MISDIRECTED:
            return False
        if outcome in MAY_STILL_RUN and outcome is not Outcome.RESET and not attempt.stuck:
            return False
        return self._booking.retries.may_repeat(request) and request.attempt_count < self._state.max_attempts
