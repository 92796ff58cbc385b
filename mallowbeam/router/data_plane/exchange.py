"""One client request, from its plan to the attempt whose answer is forwarded.

`Exchange` combines three decisions: the planner selects instances, the send policy permits sends, and
`outcomes` classifies each attempt's result.  `close` always releases the booking, the KV handle and the
connection.
"""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable
from dataclasses import dataclass

from mallowbeam.http.client import ConnectionBrokenError
from mallowbeam.http.framing import Headers, Message
from mallowbeam.http.handler import Response
from mallowbeam.router.admission.messages import Outcome, Plan, PlanRequest, Rejection
from mallowbeam.router.configuration.model import Engine, Route
from mallowbeam.router.data_plane.answers import gateway_answer, instance_answer
from mallowbeam.router.data_plane.attempt import Attempt, OutboundRequest
from mallowbeam.router.data_plane.client_request import ClientRequest
from mallowbeam.router.data_plane.deadlines import Deadlines
from mallowbeam.router.data_plane.demand import TokenKind
from mallowbeam.router.data_plane.gateway import Gateway
from mallowbeam.router.data_plane.outcomes import AttemptEnd, may_forward
from mallowbeam.router.data_plane.prefill import Handle, read_handle
from mallowbeam.router.data_plane.send_policy import SendPolicy
from mallowbeam.router.data_plane.truncation import AbandonReason
from mallowbeam.router.streams.progress import StreamProgress

MIN_TIME_LEFT_S = 0.01  # a request with less time left is abandoned
RETRY_AFTER_S = 0.3  # Retry-After of a 503 if the planner gives none
HANDLE_LIFETIME_FRACTION = 0.5  # of its time to live; an older handle is not offered again
SAFE, STREAM = "safe", "stream"
NOT_RUN = frozenset(
    (
        AttemptEnd.NO_CONNECTION,
        AttemptEnd.NOT_SENT,
        AttemptEnd.NO_CAPACITY,
        AttemptEnd.REJECTED,
        AttemptEnd.MISDIRECTED,
    )
)


@dataclass(frozen=True, slots=True)
class Abandoned:
    """The request is abandoned: no further attempt is made."""

    reason: AbandonReason
    retry_after_s: float = RETRY_AFTER_S


@dataclass(frozen=True, slots=True)
class StreamSource:
    """A stream from one instance: its attempt, its booking and its progress."""

    attempt: Attempt
    booking: int | None
    progress: StreamProgress


class Exchange:
    """The processing of one client request."""

    def __init__(
        self, gateway: Gateway, request: ClientRequest, route: Route, backend: str, deadlines: Deadlines
    ) -> None:
        self.gateway = gateway
        self.request = request
        self.route = route
        self.deadlines = deadlines
        self.attempt: Attempt | None = None  # the attempt whose answer is forwarded
        self.first_chunk = b""  # of the attempt's stream, not forwarded yet
        self.progress = StreamProgress(route.resumable and route.route_type == STREAM, request.last_event_id)
        self._backend = backend
        service = gateway.view.backend(backend)
        self._engine: Engine | None = service.engine if service is not None else None
        idempotent = route.route_type == SAFE or self.progress.resumable
        self._policy = SendPolicy(gateway.budgets.of(backend), idempotent, route.max_retries)
        self._booking: int | None = None
        self._handle: Handle | None = None
        self._counted_events = 0  # events already reported to the demand meter
        self._head_sent = False  # part of the answer was already sent to the client
        self.not_resumed: AbandonReason | None = None  # why the last resumption failed
        self._failure: Message | None = None  # a failure that is forwarded if no later attempt succeeds

    async def run(self, closing: Callable[[], bool]) -> Response | None:
        """Return the complete answer, or None if `attempt` holds an answer to forward as it arrives."""
        try:
            result = await self._attempt_until_answered()
        except BaseException:
            self.close(Outcome.CANCELLED)
            raise
        if isinstance(result, Abandoned):
            self.close(Outcome.CANCELLED)
            return self._final_answer(result, closing())
        self.attempt = result
        answer = result.answer
        if answer is not None and answer.complete and not self.attempt.streams:
            self.close(Outcome.COMPLETED)
            return instance_answer(answer, closing())
        return None

    def interrupted_answer(self, close: bool) -> Response:
        """Return the answer to a request whose `run` was cancelled."""
        status = self._policy.status_when_interrupted()
        return gateway_answer(status, self.request.request_id, close, RETRY_AFTER_S)

    @property
    def may_send_again(self) -> bool:
        """Whether another send could still be allowed, regardless of the retry budget."""
        return self._policy.may_continue()

    async def resume(self) -> bool:
        """Resume a broken stream at another instance; False if that is not allowed or fails."""
        self.progress.broken()
        if self.attempt is not None:
            self._policy.answer_truncated(self.attempt.instance)
        self._release(Outcome.FAILED)
        return await self.continue_elsewhere()

    async def continue_elsewhere(self) -> bool:
        """Continue the stream at another instance; False if that is not allowed or fails."""
        self._head_sent = True
        result = await self._attempt_until_answered()
        if isinstance(result, Abandoned):
            self.not_resumed = result.reason
            return False
        self.attempt = result
        self.not_resumed = None if result.streams else AbandonReason.NOT_A_STREAM
        return result.streams

    def set_aside(self) -> StreamSource:
        """Keep the stream's source apart, so that another instance can be tried beside it."""
        assert self.attempt is not None
        source = StreamSource(self.attempt, self._booking, self.progress)
        self._policy.answer_truncated(source.attempt.instance)
        self.attempt, self._booking = None, None
        self.progress = source.progress.fork()
        return source

    def restore(self, source: StreamSource) -> None:
        """Return to a source that was set aside, and release what was tried beside it."""
        self._release(Outcome.CANCELLED)
        self.first_chunk = b""
        self.attempt, self._booking, self.progress = source.attempt, source.booking, source.progress

    def discard(self, source: StreamSource) -> None:
        """Release a source that was set aside: another instance continues its stream."""
        source.attempt.release()
        if source.booking is not None:
            self.gateway.planner.finished(source.booking, Outcome.FAILED, time.monotonic())

    def take_first_chunk(self) -> bytes:
        """Return the first chunk of the attempt's stream, once."""
        chunk, self.first_chunk = self.first_chunk, b""
        return chunk

    def close(self, end: Outcome) -> None:
        """Release all reserved resources; idempotent."""
        self._release(end)
        if self._handle is not None:
            self._free_handle(self._handle)

    def count_tokens(self) -> None:
        """Report the events received since the last call to the demand meter."""
        if self._engine is None:
            return
        events, self._counted_events = self.progress.events - self._counted_events, self.progress.events
        kind = TokenKind.GENERATED if self._counted_events > events else TokenKind.FIRST
        self.gateway.demand.count(self._backend, kind, events * max(1, self._engine.stride), time.monotonic())

    async def _attempt_until_answered(self) -> Attempt | Abandoned:
        """Make attempts until one has an answer to forward or the request is abandoned."""
        while True:
            plan = await self._plan()
            if isinstance(plan, Abandoned):
                return plan
            handle = await self._prefill_prompt(plan)
            result = await self._send(plan, handle)
            if result is not None:
                return result

    async def _plan(self) -> Plan | Abandoned:
        """Request a plan and wait until its start time."""
        if self._out_of_time():
            return Abandoned(AbandonReason.OUT_OF_TIME)
        if not self._policy.may_continue():
            return Abandoned(AbandonReason.NO_INSTANCE_LEFT)
        now = time.monotonic()
        remaining_s = self.deadlines.answer_by - now
        decision = self.gateway.planner.plan(self._plan_request(remaining_s, now), now)
        if isinstance(decision, Rejection):
            return Abandoned(AbandonReason.NO_CAPACITY, decision.retry_after_s or RETRY_AFTER_S)
        self._booking = decision.booking
        if decision.start_in_s > remaining_s - MIN_TIME_LEFT_S:
            return Abandoned(AbandonReason.NO_CAPACITY)
        if decision.start_in_s > 0:
            await asyncio.sleep(decision.start_in_s)
        self.gateway.planner.begun(decision.booking, time.monotonic())
        return decision

    def _plan_request(self, remaining_s: float, now: float) -> PlanRequest:
        request, route, gateway = self.request, self.route, self.gateway
        ejected = gateway.health.excluded(gateway.view.instance_ids(self._backend), now)
        return PlanRequest(
            request_id=request.request_id.decode("latin-1"),
            backend=self._backend,
            engine=self._engine,
            prompt_segments=request.prompt_segments,
            prompt_tokens=request.prompt_tokens,
            answer_tokens=request.answer_tokens,
            priority=route.priority,
            target_latency_s=route.target_latency_ms / 1000,
            time_left_s=remaining_s,
            zone=gateway.zone,
            excluded=ejected | self._policy.excluded,
            resumed=self._head_sent,
        )

    async def _prefill_prompt(self, plan: Plan) -> Handle | None:
        """Prefill the prompt separately if the plan says so.

        Returns the KV handle to offer to the decode instance, or None if that instance prefills the prompt
        itself.
        """
        if self._handle is not None:
            if self._is_fresh(self._handle):
                return self._handle
            self._free_handle(self._handle)
        # A prefill instance executes a request without a prompt instead of prefilling it, so the request is
        # sent only to the decode instance.
        if plan.prefill_instance is None or not self.request.prompt_tokens:
            return None
        if not self._policy.may_prefill_separately() or self._out_of_time():
            return None
        now = time.monotonic()
        ticket = self._policy.send(plan.prefill_instance, now, self.gateway.view.gateways)
        if ticket is None:
            return None
        attempt = self._new_attempt()
        address = (
            self.gateway.view.instances[plan.prefill_instance].address
            if plan.prefill_instance in self.gateway.view.instances
            else ""
        )
        end = await self._send_attempt(
            attempt, plan.prefill_instance, [(b"stage", b"prefill")], plan, signed=False
        )
        now = time.monotonic()
        handle = read_handle(attempt, address, now) if end is AttemptEnd.ANSWERED else None
        attempt.release()
        if end is AttemptEnd.ANSWERED:
            self._policy.prefill_accepted(ticket, now)
            self.gateway.planner.prefill_done(plan.booking, now)
        else:
            self._policy.prefill_failed(ticket, end, now)
        self._handle = handle
        return handle

    async def _send(self, plan: Plan, handle: Handle | None) -> Attempt | Abandoned | None:
        """Send once to the decode instance.

        Returns the attempt if its answer is to be forwarded, None if another attempt is to be made.
        """
        if self._out_of_time():  # spent waiting for the plan's start or on the prefill
            return Abandoned(AbandonReason.OUT_OF_TIME)
        ticket = self._policy.send(plan.decode_instance, time.monotonic(), self.gateway.view.gateways)
        if ticket is None:
            return Abandoned(AbandonReason.RETRY_BUDGET)
        attempt = self._new_attempt()
        added_headers = [(b"kv-from", handle.kv_from)] if handle is not None else []
        end = await self._send_attempt(attempt, plan.decode_instance, added_headers, plan)
        if end is AttemptEnd.ANSWERED and attempt.streams:
            end = await self._read_first_chunk(attempt)
        self._resolve_handle(end)
        if end is AttemptEnd.ANSWERED:
            self.gateway.planner.first_token(plan.booking, time.monotonic())
            return attempt
        if handle is not None and end is AttemptEnd.REJECTED:
            # The KV cache could not be transferred; the same instance may prefill the prompt itself.
            self.gateway.planner.hand_over_failed(plan.booking, time.monotonic())
            attempt.release()
            return await self._send(plan, None)
        self._policy.ended(ticket, end, time.monotonic())
        self._finish_booking(Outcome.REJECTED if end in NOT_RUN else Outcome.FAILED)
        if end is AttemptEnd.FAILED:
            return self._handle_failure(attempt)
        attempt.release()
        return Abandoned(AbandonReason.OUT_OF_TIME) if end is AttemptEnd.TIMED_OUT else None

    async def _send_attempt(
        self, attempt: Attempt, instance: str, added_headers: Headers, plan: Plan, signed: bool = True
    ) -> AttemptEnd:
        """Send with the headers common to all sends, and record how the attempt ended."""
        if self._engine is not None:
            transferred = signed and self._handle is not None
            priority = plan.transferred_priority if transferred else plan.engine_priority
            added_headers = [*added_headers, (b"priority", b"%d" % min(priority, 9))]
        if self.progress.last_event_id is not None:
            added_headers = [*added_headers, (b"last-event-id", self.progress.last_event_id)]
        send_once = signed and not self._policy.idempotent
        streams = signed and self.route.route_type == STREAM
        outbound = OutboundRequest(
            self._backend,
            instance,
            self.request,
            added_headers,
            self._respond_by,
            self.deadlines.of_instance(streams),
            signed,
            send_once,
        )
        try:
            end = await attempt.send(outbound)
        except BaseException:
            attempt.release()
            raise
        self.gateway.attempt_ended(instance, end, time.monotonic())
        return end

    async def _read_first_chunk(self, attempt: Attempt) -> AttemptEnd:
        """Read a stream up to its first forwardable chunk; before that nothing is sent to the client."""
        end = AttemptEnd.BROKEN
        try:
            async with asyncio.timeout(self._respond_by - time.monotonic()):
                self.first_chunk = await read_chunk(attempt, self.progress)
            return AttemptEnd.ANSWERED
        except TimeoutError:
            end = AttemptEnd.TIMED_OUT
        except ConnectionBrokenError:
            pass
        except BaseException:
            attempt.release()
            raise
        self.progress.broken()
        attempt.release()
        self.gateway.attempt_ended(attempt.instance, end, time.monotonic())
        return end

    def _handle_failure(self, attempt: Attempt) -> Attempt | None:
        """Keep a failure answer if another instance may succeed, else return it to be forwarded."""
        answer = attempt.answer
        if answer is None or not may_forward(answer):
            attempt.release()
            return None
        if answer.complete and self._policy.may_continue():
            self._failure = answer
            attempt.release()
            return None
        return attempt

    def _final_answer(self, abandoned: Abandoned, close: bool) -> Response:
        """Return the answer to an abandoned request."""
        if self._failure is not None:
            return instance_answer(self._failure, close)
        status = self._policy.status_when_abandoned(abandoned.reason is AbandonReason.OUT_OF_TIME)
        return gateway_answer(status, self.request.request_id, close, abandoned.retry_after_s)

    def _resolve_handle(self, end: AttemptEnd) -> None:
        """After a send that offered the handle, drop it if it was used, free it or keep it for later."""
        if self._handle is None:
            return
        if end is AttemptEnd.ANSWERED:
            self._handle = None
        elif end in (AttemptEnd.BROKEN, AttemptEnd.TIMED_OUT, AttemptEnd.FAILED, AttemptEnd.REJECTED):
            self._free_handle(self._handle)

    @property
    def _respond_by(self) -> float:
        """Until when an instance is waited for: a response that has begun is not cut sooner."""
        return self.deadlines.truncate_at if self._head_sent else self.deadlines.answer_by

    def _out_of_time(self) -> bool:
        return self.deadlines.answer_by - time.monotonic() < MIN_TIME_LEFT_S

    def _is_fresh(self, handle: Handle) -> bool:
        ttl_s = self._engine.handle_ttl_s if self._engine is not None else 0.0
        return time.monotonic() - handle.issued_at < ttl_s * HANDLE_LIFETIME_FRACTION

    def _free_handle(self, handle: Handle) -> None:
        self._handle = None
        self.gateway.handles.free(handle, self.gateway.view.connection_limit(self._backend))

    def _new_attempt(self) -> Attempt:
        return Attempt(self.gateway.pool, self.gateway.view)

    def _release(self, end: Outcome) -> None:
        attempt, self.attempt = self.attempt, None
        if attempt is not None:
            attempt.release()
        self._finish_booking(end)

    def _finish_booking(self, end: Outcome) -> None:
        booking, self._booking = self._booking, None
        if booking is not None:
            self.gateway.planner.finished(booking, end, time.monotonic())


async def read_chunk(attempt: Attempt, progress: StreamProgress) -> bytes:
    """Return the next forwardable bytes of a stream; empty at its end.

    Raises:
        ConnectionBrokenError: the stream ended before the end of its framing or inside an event, an event was
            too long, or the event ids did not rise.  In a stream that is forwarded byte by byte, an end
            inside an event is an error only if the end of the connection is what ends the stream.
    """
    link, answer = attempt.link, attempt.answer
    assert link is not None
    assert answer is not None
    while True:
        if answer.body:
            link.channel.framer.release()
            if chunk := progress.feed(answer.take()):
                return chunk
        if progress.fault:
            raise ConnectionBrokenError(progress.fault)
        if answer.complete:
            if progress.partial or (answer.until_close and progress.inside_event):
                raise ConnectionBrokenError("the stream ended inside an event")
            return b""
        await link.read_more(answer)
