"""Attempts: one try of a request at one node, from its connection to the outcome reported to the scheduler.

Each attempt is a task.  It takes a connection, writes the request and reads the response; a large request
body is streamed to the node, a large response to the client.  The outcome says whether the node can have
executed the request, which it can't before the last byte is sent.  However the task ends,
`AttemptRunner._finish` reports exactly one outcome.
"""

from __future__ import annotations

import asyncio
from typing import Protocol

from loguru import logger

from mallowbeam.http.client import (
    ConnectionBrokenError,
    ConnectionLimitError,
    Link,
    Pool,
    RemoteProtocolError,
    RequestNotSentError,
)
from mallowbeam.http.framing import Headers, Message, write_request
from mallowbeam.http.stream import Stream
from mallowbeam.storage_gateway.scheduler.gateway_host import AttemptOrder, Orders, SchedulerHost
from mallowbeam.storage_gateway.scheduler.interface import Outcome
from mallowbeam.storage_gateway.server.calls import (
    SILENCE_TIMEOUT_S,
    TRANSIT_MARGIN_S,
    Answer,
    AnswerKind,
    Call,
    Exchange,
)
from mallowbeam.storage_gateway.server.config import Config
from mallowbeam.storage_gateway.server.log import RateLimitedWarning
from mallowbeam.storage_gateway.server.metrics import Metrics
from mallowbeam.storage_gateway.server.peer import PeerCoordinator

MAX_METER_DIGITS = 9  # of a number that a node reports

AttemptResult = tuple[Outcome, Message | None]  # the outcome, and the response if there is one
# Statuses with which a node rejects a request unexecuted: it is full (503), or it never
# accepts this request (504).
NOT_EXECUTED = {503: Outcome.REJECTED, 504: Outcome.MISDIRECTED}


class AttemptHost(Protocol):
    """What attempts need of the gateway; its attributes are shared objects that are never replaced."""

    config: Config
    scheduler: SchedulerHost
    metrics: Metrics
    pool: Pool
    addresses: dict[str, str]  # by node id, of nodes that are up
    exchanges: dict[str, Exchange]

    def now(self) -> float:
        """Unix time in seconds, advanced by a monotonic clock."""

    def apply(self, orders: Orders) -> None:
        """Carries out the orders of the scheduler."""

    def time_left(self, call: Call) -> float:
        """Returns the seconds that a call may still take."""


class AttemptRunner:
    """Starts and cancels attempts, and reports their outcomes."""

    def __init__(self, gateway: AttemptHost, peer: PeerCoordinator) -> None:
        self.tasks: dict[tuple[str, int], asyncio.Task[AttemptResult]] = {}  # by request and attempt number
        self._gateway = gateway
        self._peer = peer
        self._scheduler = gateway.scheduler
        self._metrics = gateway.metrics
        self._pool = gateway.pool
        self._addresses = gateway.addresses
        self._exchanges = gateway.exchanges
        self._now = gateway.now
        self._warn_connection_limit = RateLimitedWarning(
            "connection limit reached, no connection to a storage node"
        )
        self._warn_invalid_response = RateLimitedWarning("invalid response from a storage node")

    def start(self, order: AttemptOrder) -> None:
        """Starts an attempt; one report follows however its task ends, even before its first step."""
        started, exchange = self._now(), self._exchanges.get(order.request)
        if exchange is None:
            # Reported all the same, so that the scheduler doesn't count the attempt as in flight forever.
            logger.error("attempt ordered for an unknown request")
            self._gateway.apply(self._scheduler.report(started, order, Outcome.NOT_SENT, 0.0))
            return
        self._peer.announce_send(order, exchange.call)
        task = asyncio.create_task(self._run(order, exchange, started))
        self.tasks[order.request, order.number] = task
        task.add_done_callback(lambda done: self._finish(order, started, done))

    def cancel(self, attempt: tuple[str, int]) -> None:
        """Cancels an attempt, given by request id and attempt number, if it is in flight."""
        if task := self.tasks.get(attempt):
            task.cancel()

    async def _run(self, order: AttemptOrder, exchange: Exchange, started: float) -> AttemptResult:
        """Connects, writes and reads; the outcome says whether the request can have been executed."""
        call, link, reusable = exchange.call, None, False
        time_left_s = exchange.deadline - started
        address = self._addresses.get(order.node, "")
        try:
            async with asyncio.timeout(
                min(time_left_s, order.timeout) if order.timeout else time_left_s
            ) as time_limit:
                if (link := await self._connect(order, address)) is None:
                    return Outcome.NOT_SENT, None
                await self._send(order, exchange, link, address, time_limit)
                answer = await self._receive(order, exchange, link, started, time_limit)
            outcome = outcome_of(call, answer)
            if link.request_sent:
                reusable = self._pool.put(link, answer)
            elif outcome not in NOT_EXECUTED.values():
                outcome = Outcome.NOT_SENT  # the node responded before the request was complete
            return outcome, answer
        except asyncio.CancelledError:
            if link is not None and link.request_sent:
                raise
            return Outcome.NOT_SENT, None
        except Exception as error:
            return self._failure(link, error), None
        finally:
            if link is not None and not reusable:
                self._pool.drop(link)

    async def _connect(self, order: AttemptOrder, address: str) -> Link | None:
        """Returns a connection on which the attempt begins without another await; None if it must not begin.

        This is the only check before the first byte.  Connecting takes time, so the scheduler's decision may
        be outdated by now.  Bytes that arrived unrequested on the connection would be read as the response to
        this request, so such a connection is not used.
        """
        while True:
            link, in_use = await self._pool.take(address), False
            try:
                if self._addresses.get(order.node) != address:
                    return None
                if not self._scheduler.may_begin(self._now(), order):
                    in_use = self._pool.keep(link)
                    return None
                if not link.channel.stale():
                    in_use = True
                    return link
                if not link.idle_since:  # a new one: the node is alive but accepts nothing on it
                    return None
            finally:
                if not in_use:
                    self._pool.drop(link)

    async def _send(
        self, order: AttemptOrder, exchange: Exchange, link: Link, address: str, time_limit: asyncio.Timeout
    ) -> None:
        """Writes the request, with the time left in `x-deadline-ms`; a streamed body has no time limit."""
        call, loop = exchange.call, asyncio.get_running_loop()
        ends_at = time_limit.when()
        assert ends_at is not None  # the time-out was created with a delay
        deadline_s = ends_at - loop.time() if call.upload is None else float(call.fields["expires_in"])
        headers = [
            (b"host", address.encode()),
            *call.headers,
            (b"x-deadline-ms", b"%d" % max(1, round(deadline_s * 1000))),
        ]
        if call.upload is None:
            head = write_request(call.method, call.target, headers, len(call.body))
            await link.request(head, call.body, bodiless=call.method == b"HEAD")
        else:
            time_limit.reschedule(None)  # the deadline counts from the last byte of the client's body
            await self._upload(order, exchange, call.upload, link, headers)
            time_limit.reschedule(
                loop.time() + (exchange.deadline - self._now() if link.request_sent else TRANSIT_MARGIN_S)
            )
        self._metrics.upstream_requests += link.request_sent

    async def _receive(
        self, order: AttemptOrder, exchange: Exchange, link: Link, started: float, time_limit: asyncio.Timeout
    ) -> Message:
        """Reads the response completely, or streams it to the client if it is final and large."""
        call = exchange.call
        answer = await link.read_head()
        if (
            call.is_final(answer.status)
            and call.may_stream(answer.status)
            and await link.exceeds(answer, call.buffer_bytes, call.max_stream_bytes, call.body_timeout_s)
        ):
            time_limit.reschedule(None)  # the client receives the response from here on; it can't be retried
            await self._stream_answer(order, exchange, link, answer, started)
        else:
            await link.read_body(answer, call.body_timeout_s)
        return answer

    def _failure(self, link: Link | None, error: Exception) -> Outcome:
        """Returns the outcome of a failed attempt; raises an unexpected error if the request may have run."""
        match error:
            case TimeoutError():
                return outcome_if_sent(link, Outcome.TIMEOUT)
            case ConnectionLimitError():
                self._warn_connection_limit(error)
                return Outcome.NOT_SENT
            case RequestNotSentError():
                # A node that accepted the connection is reachable, even if it then reset it.
                return Outcome.NO_CONNECTION if link is None else Outcome.NOT_SENT
            case RemoteProtocolError():
                # Not a connection error: the node executed the request and is alive.
                self._warn_invalid_response(error)
                return outcome_if_sent(link, Outcome.ERROR)
            case ConnectionBrokenError():
                return outcome_if_sent(link, Outcome.RESET)
        if link is not None:  # the request may have been executed
            raise error
        # Without a connection nothing can have been executed, so even a write may be sent again.
        logger.opt(exception=error).error("unexpected error in an attempt")
        return Outcome.NOT_SENT

    async def _upload(
        self, order: AttemptOrder, exchange: Exchange, body: Stream, link: Link, headers: Headers
    ) -> None:
        """Streams a body to the node as the client sends it, up to its end or until the node responds.

        Once begun the request can't be retried; its time limit starts at the last byte.
        """
        call = exchange.call
        head = write_request(call.method, call.target, headers, call.length or 0, chunked=call.length is None)
        self._gateway.apply(self._scheduler.upload_progress(self._now(), order, None))
        await link.request(head, streamed_length=call.length)
        while (chunk := await body.get()) is not None:
            if link.channel.stale():
                return
            async with asyncio.timeout(SILENCE_TIMEOUT_S):
                await link.write(chunk)
        if body.aborted:
            raise RequestNotSentError("the client's body broke off")
        if call.length is None:
            await link.write(b"")
        time_left_s = self._gateway.time_left(call)
        exchange.deadline = self._now() + time_left_s
        self._gateway.apply(self._scheduler.upload_progress(self._now(), order, time_left_s))

    async def _stream_answer(
        self, order: AttemptOrder, exchange: Exchange, link: Link, answer: Message, started: float
    ) -> None:
        """Forwards a response in chunks, reading no faster than the client consumes them."""
        task = asyncio.current_task()
        assert task is not None  # every attempt runs in its own task
        stream = Stream(closed=task.cancel)
        max_bytes = exchange.call.max_stream_bytes
        self._gateway.apply(self._scheduler.stream_started(self._now(), order, self._now() - started))
        exchange.settle(Answer(AnswerKind.SERVED, answer.status, answer.headers, stream=stream))
        try:
            while True:
                if chunk := answer.take():
                    link.channel.framer.release()
                    link.channel.grow_buffer()
                    await stream.put(chunk)
                if answer.complete:
                    return await stream.put(None)
                if max_bytes is not None and answer.received > max_bytes:
                    raise RemoteProtocolError("response body exceeds its size limit")
                async with asyncio.timeout(SILENCE_TIMEOUT_S):
                    await link.read_more(answer)
        except BaseException:
            stream.abort()
            raise

    def _finish(self, order: AttemptOrder, started: float, task: asyncio.Task[AttemptResult]) -> None:
        """Passes a served response to its client and reports the attempt's outcome to the scheduler."""
        del self.tasks[order.request, order.number]
        answer: Message | None = None
        if task.cancelled():
            outcome = Outcome.CANCELLED
        elif error := task.exception():
            logger.opt(exception=error).error("unexpected error in an attempt")
            outcome = Outcome.RESET  # the request may have been executed
        else:
            outcome, answer = task.result()
        exchange = self._exchanges.get(order.request)
        if outcome is Outcome.OK and exchange is not None and answer is not None:
            exchange.settle(Answer(AnswerKind.SERVED, answer.status, answer.headers, answer.body))
        now = self._now()
        report = self._scheduler.report(now, order, outcome, now - started, read_meter(answer))
        self._gateway.apply(report)
        self._peer.release_id(order.request)


def outcome_of(call: Call, answer: Message) -> Outcome:
    """Returns the outcome of an attempt with a complete response."""
    if call.is_final(answer.status):
        return Outcome.OK
    if answer.status in NOT_EXECUTED and answer.get(b"x-not-run") == b"1":
        return NOT_EXECUTED[answer.status]
    return Outcome.ERROR


def outcome_if_sent(link: Link | None, outcome: Outcome) -> Outcome:
    """Returns `outcome` if the last byte of the request may have been sent, else `NOT_SENT`."""
    return outcome if link is not None and link.request_sent else Outcome.NOT_SENT


def read_meter(answer: Message | None) -> tuple[float | None, int]:
    """Returns what a response reports of the volume: recent use, and units served through other gateways."""
    recent_use, units_elsewhere = None, 0
    for name, value in answer.headers if answer is not None else ():
        # Ignores values that are not numbers or are too long.
        if not value.isdigit() or len(value) > MAX_METER_DIGITS:
            continue
        if name == b"x-meter":
            recent_use = int(value) / 100.0
        elif name == b"x-delta":
            units_elsewhere = int(value)
    return recent_use, units_elsewhere
