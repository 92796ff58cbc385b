"""Attempts: one try of a request at one node, from its connection to the outcome the scheduler gets.

Each attempt is a task.  It takes a connection, writes the request and reads the answer; a large request body
is streamed to the node, a large answer to the client.  Its outcome says whether the request can have run: up
to its last byte it can't.  However the task ends, `AttemptRunner._finish` reports exactly one outcome.
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
    MARGIN,
    SILENCE_TIMEOUT,
    Answer,
    AnswerKind,
    Call,
    Exchange,
)
from mallowbeam.storage_gateway.server.config import Config
from mallowbeam.storage_gateway.server.log import RateLimitedWarning
from mallowbeam.storage_gateway.server.metrics import Metrics
from mallowbeam.storage_gateway.server.peer import PeerCoordinator

MAX_METER_DIGITS = 9  # of a figure that a node reports

AttemptResult = tuple[Outcome, Message | None]  # how an attempt ended, and its answer where there is one
# Refusals of a node that ran nothing: it is full, or this is not the place or the time for the request.
NOT_RUN = {503: Outcome.REJECTED, 504: Outcome.MISDIRECTED}


class AttemptHost(Protocol):
    """What attempts need of the gateway; the attributes are the gateway's own objects, and stay the same."""

    config: Config
    scheduler: SchedulerHost
    metrics: Metrics
    pool: Pool
    addresses: dict[str, str]  # of nodes that are up
    exchanges: dict[str, Exchange]

    def now(self) -> float:
        """Unix time that never jumps, in seconds."""

    def apply(self, orders: Orders) -> None:
        """Carry out what the scheduler orders."""

    def time_left(self, call: Call) -> float:
        """Seconds that a call may take from now on."""


class AttemptRunner:
    """Starts, cancels and reports the attempts in flight."""

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
        self._no_socket = RateLimitedWarning("no room for a connection to a node")
        self._unreadable = RateLimitedWarning("a node's answer can't be read")

    def start(self, order: AttemptOrder) -> None:
        """Start an attempt; however its task ends, even before its first step, one report follows."""
        started, exchange = self._now(), self._exchanges.get(order.request)
        if exchange is None:
            # Guards the report of an attempt: whatever went wrong, the scheduler must not count it in flight.
            logger.error("an attempt for a request that is not held")
            self._gateway.apply(self._scheduler.report(started, order, Outcome.NOT_SENT, 0.0))
            return
        self._peer.announce_send(order, exchange.call)
        task = asyncio.create_task(self._run(order, exchange, started))
        self.tasks[order.request, order.number] = task
        task.add_done_callback(lambda done: self._finish(order, started, done))

    def cancel(self, attempt: tuple[str, int]) -> None:
        """Cancel an attempt, by request and number, if it is in flight."""
        if task := self.tasks.get(attempt):
            task.cancel()

    async def _run(self, order: AttemptOrder, exchange: Exchange, started: float) -> AttemptResult:
        """Connect, write and read; the outcome says whether the request can have run."""
        call, link, reusable = exchange.call, None, False
        left = exchange.deadline - started
        address = self._addresses.get(order.node, "")
        try:
            async with asyncio.timeout(min(left, order.timeout) if order.timeout else left) as limit:
                if (link := await self._connect(order, address)) is None:
                    return Outcome.NOT_SENT, None
                await self._send(order, exchange, link, address, limit)
                answer = await self._receive(order, exchange, link, started, limit)
            outcome = outcome_of(call, answer)
            if link.request_sent:
                reusable = self._pool.put(link, answer)
            elif outcome not in NOT_RUN.values():
                outcome = Outcome.NOT_SENT  # answered before the request was complete
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
        """A connection on which the attempt begins in this very step, or None if it must not begin.

        The one check before a first byte: since the decision a connection had to come up.  What has come on
        it unasked, up to now, would be read as this request's answer.
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
                if not link.idle_since:  # a new one: the node lives, and takes nothing on it
                    return None
            finally:
                if not in_use:
                    self._pool.drop(link)

    async def _send(
        self, order: AttemptOrder, exchange: Exchange, link: Link, address: str, limit: asyncio.Timeout
    ) -> None:
        """Write the request, with the time left in `x-deadline-ms`; a streamed body has no time limit."""
        call, loop = exchange.call, asyncio.get_running_loop()
        ends_at = limit.when()
        assert ends_at is not None  # it was given a delay
        waits = ends_at - loop.time() if call.upload is None else float(call.fields["expires_in"])
        headers = [
            (b"host", address.encode()),
            *call.headers,
            (b"x-deadline-ms", b"%d" % max(1, round(waits * 1000))),
        ]
        if call.upload is None:
            head = write_request(call.method, call.target, headers, len(call.body))
            await link.request(head, call.body, bodiless=call.method == b"HEAD")
        else:
            limit.reschedule(None)  # the client's time counts from its last byte
            await self._upload(order, exchange, call.upload, link, headers)
            limit.reschedule(loop.time() + (exchange.deadline - self._now() if link.request_sent else MARGIN))
        self._metrics.upstream_requests += link.request_sent

    async def _receive(
        self, order: AttemptOrder, exchange: Exchange, link: Link, started: float, limit: asyncio.Timeout
    ) -> Message:
        """Read the answer: complete, or streamed to the client where it is a large final one."""
        call = exchange.call
        answer = await link.read_head()
        if (
            call.final(answer.status)
            and call.streamed(answer.status)
            and await link.exceeds(answer, call.hold, call.most, call.standstill)
        ):
            limit.reschedule(None)  # the answer has begun: it is the client's now
            await self._stream_answer(order, exchange, link, answer, started)
        else:
            await link.read_body(answer, call.standstill)
        return answer

    def _failure(self, link: Link | None, error: Exception) -> Outcome:
        """The outcome of an attempt that failed; raises `error` where it is unforeseen and may have run."""
        match error:
            case TimeoutError():
                return outcome_if_sent(link, Outcome.TIMEOUT)
            case ConnectionLimitError():
                self._no_socket(error)
                return Outcome.NOT_SENT
            case RequestNotSentError():
                # Guards a node that lives: one that took the connection was reached; a reset says no more.
                return Outcome.NO_CONNECTION if link is None else Outcome.NOT_SENT
            case RemoteProtocolError():
                # Guards a node that lives against being taken for a dead one: it ran this and answers others.
                self._unreadable(error)
                return outcome_if_sent(link, Outcome.ERROR)
            case ConnectionBrokenError():
                return outcome_if_sent(link, Outcome.RESET)
        if link is not None:  # it may have run
            raise error
        # Guards a write that never left: before there is a connection nothing can have run.
        logger.opt(exception=error).error("an attempt failed unforeseen")
        return Outcome.NOT_SENT

    async def _upload(
        self, order: AttemptOrder, exchange: Exchange, body: Stream, link: Link, headers: Headers
    ) -> None:
        """Stream a body to the node as its client sends it, up to its end or until the node answers.

        Once begun it can't be retried, and its time limit starts with its last byte.
        """
        call = exchange.call
        head = write_request(call.method, call.target, headers, call.length or 0, chunked=call.length is None)
        self._gateway.apply(self._scheduler.upload_progress(self._now(), order, None))
        await link.request(head, streamed_length=call.length)
        while (chunk := await body.get()) is not None:
            if link.channel.stale():
                return
            async with asyncio.timeout(SILENCE_TIMEOUT):
                await link.write(chunk)
        if body.aborted:
            raise RequestNotSentError("the client's body broke off")
        if call.length is None:
            await link.write(b"")
        left = self._gateway.time_left(call)
        exchange.deadline = self._now() + left
        self._gateway.apply(self._scheduler.upload_progress(self._now(), order, left))

    async def _stream_answer(
        self, order: AttemptOrder, exchange: Exchange, link: Link, answer: Message, started: float
    ) -> None:
        """Hand an answer on in chunks, reading no faster than the client takes them."""
        task = asyncio.current_task()
        assert task is not None  # an attempt runs in a task of its own
        stream = Stream(closed=task.cancel)
        most = exchange.call.most
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
                if most is not None and answer.received > most:
                    raise RemoteProtocolError("an answer without end")
                async with asyncio.timeout(SILENCE_TIMEOUT):
                    await link.read_more(answer)
        except BaseException:
            stream.abort()
            raise

    def _finish(self, order: AttemptOrder, started: float, task: asyncio.Task[AttemptResult]) -> None:
        """Hand a served answer to its client, and report the attempt's outcome to the scheduler."""
        del self.tasks[order.request, order.number]
        answer: Message | None = None
        if task.cancelled():
            outcome = Outcome.CANCELLED
        elif error := task.exception():
            logger.opt(exception=error).error("an attempt failed unforeseen")
            outcome = Outcome.RESET  # it may have run
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
    """What a complete answer means for its attempt."""
    if call.final(answer.status):
        return Outcome.OK
    if answer.status in NOT_RUN and answer.get(b"x-not-run") == b"1":
        return NOT_RUN[answer.status]
    return Outcome.ERROR


def outcome_if_sent(link: Link | None, outcome: Outcome) -> Outcome:
    """An outcome without an answer: the request never ran, unless its last byte may have left."""
    return outcome if link is not None and link.request_sent else Outcome.NOT_SENT


def read_meter(answer: Message | None) -> tuple[float | None, int]:
    """What an answer tells of the volume: its recent use, and its units served through other gateways."""
    used, elsewhere = None, 0
    for name, value in answer.headers if answer is not None else ():
        # Guards the report against a figure that can't be read, or is too long to be one.
        if not value.isdigit() or len(value) > MAX_METER_DIGITS:
            continue
        if name == b"x-meter":
            used = int(value) / 100.0
        elif name == b"x-delta":
            elsewhere = int(value)
    return used, elsewhere
