"""One attempt, from the connection that it takes to the outcome that the module is told.

Each attempt is a task.  It takes a connection, writes the request and reads the answer; a large body passes
through on its way out, a large answer on its way back.  What it returns says whether the request can have
run: up to its last byte it can't.  However the task ends, `_ended` tells the module exactly once.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable

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
from mallowbeam.storage_gateway.server.calls import MARGIN, SILENT, Answer, Call, Exchange, Kind
from mallowbeam.storage_gateway.server.config import Config
from mallowbeam.storage_gateway.server.handover import Sister
from mallowbeam.storage_gateway.server.log import RateLimitedWarning
from mallowbeam.storage_gateway.server.metrics import Metrics

MOST_DIGITS = 9  # of a figure that a node tells

Ended = tuple[Outcome, Message | None]  # how an attempt ended, and its answer where there is one
# What a node turns away unrun: as it is full, or as it is not the place or the time for it.
NOT_RUN = {503: Outcome.REJECTED, 504: Outcome.MISDIRECTED}


class Attempts:
    """The gateway's attempts.  A part of `Gateway`, which makes what is named here."""

    config: Config
    scheduler: SchedulerHost
    metrics: Metrics
    pool: Pool
    addresses: dict[str, str]  # of nodes that are up
    exchanges: dict[str, Exchange]
    tasks: dict[tuple[str, int], asyncio.Task[Ended]]  # the attempts that are out
    sister: Sister | None
    no_room: RateLimitedWarning
    spoilt: RateLimitedWarning
    now: Callable[[], float]
    _apply: Callable[[Orders], None]  # do what the module wants done
    _left: Callable[[Call], float]  # seconds that a call may take from now on
    _over: Callable[[str], None]  # an id may be free again

    def _try(self, tried: AttemptOrder) -> None:
        """Start an attempt; however its task ends, even before its first step, one report follows."""
        started, exchange = self.now(), self.exchanges.get(tried.request)
        if exchange is None:
            # Guards the report of an attempt: whatever went wrong, the module must not count it as out.
            logger.error("an attempt for a request that is not held")
            self._apply(self.scheduler.report(started, tried, Outcome.NOT_SENT, 0.0))
            return
        if self.sister is not None:
            told, units = exchange.call.fields, exchange.call.fields["units"]
            hosts = told.get("volume_hosts") or self.config.settings.hosts
            self.sister.tell(
                "sent", [told["volume"], told["plan"], hosts, tried.node, units, 0 if tried.number else units]
            )
        task = asyncio.create_task(self._attempt(tried, exchange, started))
        self.tasks[tried.request, tried.number] = task
        task.add_done_callback(lambda done: self._ended(tried, started, done))

    async def _attempt(self, tried: AttemptOrder, exchange: Exchange, started: float) -> Ended:
        """One attempt: connect, write, read; the outcome says whether it can have run."""
        call, link, kept = exchange.call, None, False
        left = exchange.deadline - started
        address = self.addresses.get(tried.node, "")
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout(min(left, tried.timeout) if tried.timeout else left) as limit:
                ends_at = limit.when()
                assert ends_at is not None  # it was given a delay
                if (link := await self._ready(tried, address)) is None:
                    return Outcome.NOT_SENT, None
                waits = ends_at - loop.time() if call.upload is None else float(call.fields["expires_in"])
                headers = [
                    (b"host", address.encode()),
                    *call.headers,
                    (b"x-deadline-ms", b"%d" % max(1, round(waits * 1000))),
                ]
                if call.upload is None:
                    await link.request(
                        write_request(call.method, call.target, headers, len(call.body)),
                        call.body,
                        bodiless=call.method == b"HEAD",
                    )
                else:
                    limit.reschedule(None)  # the client's time counts from its last byte
                    await self._upload(tried, exchange, call.upload, link, headers)
                    limit.reschedule(
                        loop.time() + (exchange.deadline - self.now() if link.request_sent else MARGIN)
                    )
                self.metrics.upstream_requests += link.request_sent
                answer = await link.read_head()
                if (
                    call.final(answer.status)
                    and call.streamed(answer.status)
                    and await link.exceeds(answer, call.hold, call.most, call.standstill)
                ):
                    limit.reschedule(None)  # the answer has begun: it is the client's now
                    await self._pass_on(tried, exchange, link, answer, started)
                else:
                    await link.read_body(answer, call.standstill)
            outcome = self._outcome(call, answer)
            if link.request_sent:
                kept = self.pool.put(link, answer)
            elif outcome not in NOT_RUN.values():
                outcome = Outcome.NOT_SENT  # said before the request was whole
            return outcome, answer
        except asyncio.CancelledError:
            if link is not None and link.request_sent:
                raise
            return Outcome.NOT_SENT, None
        except TimeoutError:
            return self._unless(link, Outcome.TIMEOUT), None
        except ConnectionLimitError as error:
            self.no_room(error)
            return Outcome.NOT_SENT, None
        except RequestNotSentError:
            # Guards a node that lives: one that took the connection was reached, and says no more by a reset.
            return (Outcome.NO_CONNECTION if link is None else Outcome.NOT_SENT), None
        except RemoteProtocolError as error:
            # Guards a node that lives against being taken for a dead one: it has run this and answers others.
            self.spoilt(error)
            return self._unless(link, Outcome.ERROR), None
        except ConnectionBrokenError:
            return self._unless(link, Outcome.RESET), None
        except Exception as error:
            if link is not None:  # it may have run
                raise
            # Guards a write that never left: before there is a connection nothing can have run.
            logger.opt(exception=error).error("an attempt failed unforeseen")
            return Outcome.NOT_SENT, None
        finally:
            if link is not None and not kept:
                self.pool.drop(link)

    async def _ready(self, tried: AttemptOrder, address: str) -> Link | None:
        """A connection on which the attempt begins in this very step, or None if it must not begin.

        The one look before a first byte: since the decision a connection had to come up.  What has come on it
        unasked, up to now, would be read as this request's answer.
        """
        while True:
            link, kept = await self.pool.take(address), False
            try:
                if self.addresses.get(tried.node) != address:
                    return None
                if not self.scheduler.may_begin(self.now(), tried):
                    kept = self.pool.keep(link)
                    return None
                if not link.channel.stale():
                    kept = True
                    return link
                if not link.idle_since:  # a new one: the node lives, and takes nothing on it
                    return None
            finally:
                if not kept:
                    self.pool.drop(link)

    @staticmethod
    def _unless(link: Link | None, outcome: Outcome) -> Outcome:
        """How an attempt ended that has no answer: it never ran, unless its last byte may have left."""
        return outcome if link is not None and link.request_sent else Outcome.NOT_SENT

    @staticmethod
    def _outcome(call: Call, answer: Message) -> Outcome:
        if call.final(answer.status):
            return Outcome.OK
        if answer.status in NOT_RUN and answer.get(b"x-not-run") == b"1":
            return NOT_RUN[answer.status]
        return Outcome.ERROR

    async def _upload(
        self, tried: AttemptOrder, exchange: Exchange, body: Stream, link: Link, headers: Headers
    ) -> None:
        """Pass a body on to the node as its client sends it, up to its end or until the node answers.

        Once it has begun it can't be sent again, and until its last byte is out no time of it runs.
        """
        call = exchange.call
        head = write_request(call.method, call.target, headers, call.length or 0, chunked=call.length is None)
        self._apply(self.scheduler.upload_progress(self.now(), tried, None))
        await link.request(head, follows=call.length)
        while (piece := await body.get()) is not None:
            if link.channel.stale():
                return
            async with asyncio.timeout(SILENT):
                await link.write(piece)
        if body.aborted:
            raise RequestNotSentError("the client's body broke off")
        if call.length is None:
            await link.write(b"")
        left = self._left(call)
        exchange.deadline = self.now() + left
        self._apply(self.scheduler.upload_progress(self.now(), tried, left))

    async def _pass_on(
        self, tried: AttemptOrder, exchange: Exchange, link: Link, answer: Message, started: float
    ) -> None:
        """Hand an answer on in pieces, reading no faster than the client takes them."""
        task = asyncio.current_task()
        assert task is not None  # an attempt runs in a task of its own
        stream = Stream(closed=task.cancel)
        most = exchange.call.most
        self._apply(self.scheduler.stream_started(self.now(), tried, self.now() - started))
        exchange.settle(Answer(Kind.SERVED, answer.status, answer.headers, stream=stream))
        try:
            while True:
                if piece := answer.take():
                    link.channel.framer.release()
                    link.channel.grow_buffer()
                    await stream.put(piece)
                if answer.complete:
                    return await stream.put(None)
                if most is not None and answer.received > most:
                    raise RemoteProtocolError("an answer without end")
                async with asyncio.timeout(SILENT):
                    await link.read_more(answer)
        except BaseException:
            stream.abort()
            raise

    def _ended(self, tried: AttemptOrder, started: float, task: asyncio.Task[Ended]) -> None:
        """An attempt is over: pass a served answer on and tell the module."""
        del self.tasks[tried.request, tried.number]
        answer: Message | None = None
        if task.cancelled():
            outcome = Outcome.CANCELLED
        elif error := task.exception():
            logger.opt(exception=error).error("an attempt failed unforeseen")
            outcome = Outcome.RESET  # it may have run
        else:
            outcome, answer = task.result()
        exchange = self.exchanges.get(tried.request)
        if outcome is Outcome.OK and exchange is not None and answer is not None:
            exchange.settle(Answer(Kind.SERVED, answer.status, answer.headers, answer.body))
        now = self.now()
        self._apply(self.scheduler.report(now, tried, outcome, now - started, read_meter(answer)))
        self._over(tried.request)


def read_meter(answer: Message | None) -> tuple[float | None, int]:
    """What an answer tells of the volume: its recent use, and its units served through other gateways."""
    used, elsewhere = None, 0
    for name, value in answer.headers if answer is not None else ():
        # Guards the report against a figure that can't be read, or is too long to be one.
        if not value.isdigit() or len(value) > MOST_DIGITS:
            continue
        if name == b"x-meter":
            used = int(value) / 100.0
        elif name == b"x-delta":
            elsewhere = int(value)
    return used, elsewhere
