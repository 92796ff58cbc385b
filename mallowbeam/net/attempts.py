"""One attempt, from the connection that it takes to the outcome that the module is told.

Each attempt is a task.  It takes a connection, writes the request and reads the answer; a large body passes
through on its way out, a large answer on its way back.  What it returns says whether the request can have
run: up to its last byte it can't.  However the task ends, `_ended` tells the module exactly once.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from loguru import logger

from mallowbeam import interface as io
from mallowbeam.facade import Facade, Orders, Try
from mallowbeam.net.calls import MARGIN, SILENT, Answer, Call, Exchange, Kind
from mallowbeam.net.config import Config
from mallowbeam.net.handover import Sister
from mallowbeam.net.http import Headers, Message, write_request
from mallowbeam.net.log import Sparse
from mallowbeam.net.metrics import Metrics
from mallowbeam.net.stream import Stream
from mallowbeam.net.upstream import Broken, Link, NoRoom, Pool, Spoilt, Unsent

MOST_DIGITS = 9             # of a figure that a node tells

Outcome = io.Outcome
# What a node turns away unrun: as it is full, or as it is not the place or the time for it.
NOT_RUN = {503: Outcome.REJECTED, 504: Outcome.ASTRAY}


class Attempts:
    """The gateway's attempts.  A part of `Gateway`, which makes what is named here."""

    config: Config
    facade: Facade
    metrics: Metrics
    pool: Pool
    addresses: dict[str, str]                  # of nodes that are up
    exchanges: dict[str, Exchange]
    tasks: dict[tuple[str, int], asyncio.Task]  # the attempts that are out
    sister: Sister | None
    no_room: Sparse
    spoilt: Sparse
    now: Callable[[], float]
    _apply: Callable[[Orders], None]           # do what the module wants done
    _left: Callable[[Call], float]             # seconds that a call may take from now on
    _over: Callable[[str], None]               # an id may be free again

    def _try(self, tried: Try) -> None:
        """Start an attempt; however its task ends, even before its first step, one report follows."""
        started, exchange = self.now(), self.exchanges.get(tried.request)
        if exchange is None:
            # Guards the report of an attempt: whatever went wrong, the module must not count it as out.
            logger.error("an attempt for a request that is not held")
            self._apply(self.facade.report(started, tried, Outcome.NOT_SENT, 0.0))
            return
        if self.sister is not None:
            told, units = exchange.call.fields, exchange.call.fields["units"]
            hosts = told.get("hosts_of_volume") or self.config.settings.hosts
            self.sister.tell("sent", [told["volume"], told["plan"], hosts, tried.node, units,
                                      0 if tried.number else units])
        task = asyncio.create_task(self._attempt(tried, exchange, started))
        self.tasks[tried.request, tried.number] = task
        task.add_done_callback(lambda done: self._ended(tried, started, done))

    async def _attempt(self, tried: Try, exchange: Exchange,
                       started: float) -> tuple[Outcome, Message | None]:
        """One attempt: connect, write, read; the outcome says whether it can have run."""
        call, link, written, kept = exchange.call, None, False, False
        left = exchange.deadline - started
        timeout = min(left, tried.timeout) if tried.timeout else left
        address = self.addresses.get(tried.node, "")
        waits = timeout if call.upload is None else float(call.fields["expires_in"])
        headers = [(b"host", address.encode()), *call.headers,
                   (b"x-deadline-ms", b"%d" % max(1, round(waits * 1000)))]
        try:
            async with asyncio.timeout(timeout) as limit:
                link = await self.pool.take(address)
                # Guards the rule on draining: the list may have changed while the connection came up, or an
                # operator taken the node out.
                if self.addresses.get(tried.node) != address or not self.facade.takes(tried.node):
                    return Outcome.NOT_SENT, None
                if call.upload is None:
                    await link.request(write_request(call.method, call.target, headers, len(call.body)),
                                       call.body, bodiless=call.method == b"HEAD")
                    written = True
                else:
                    limit.reschedule(None)     # the client's time counts from its last byte
                    written = await self._upload(tried, exchange, link, headers)
                    timeout = exchange.deadline - self.now() if written else MARGIN
                    limit.reschedule(asyncio.get_running_loop().time() + timeout)
                self.metrics.upstream_requests += written
                answer = await link.head()
                if call.final(answer.status) and call.streamed(answer.status) and await link.exceeds(
                        answer, call.hold, call.most, call.standstill):
                    limit.reschedule(None)     # the answer has begun: it is the client's now
                    await self._pass_on(tried, exchange, link, answer, started)
                else:
                    await link.body(answer, call.standstill)
            outcome = self._outcome(call, answer)
            if written:
                self.pool.put(link, answer)
                kept = True
            elif outcome not in NOT_RUN.values():
                outcome = Outcome.NOT_SENT     # said before the request was whole
            return outcome, answer
        except TimeoutError:
            return (Outcome.TIMEOUT if written else Outcome.NOT_SENT), None
        except NoRoom as error:
            self.no_room(error)
            return Outcome.NOT_SENT, None
        except Unsent:
            # Guards a node that lives: one that took the connection was reached, and says no more by a reset.
            return (Outcome.NO_CONNECTION if link is None else Outcome.NOT_SENT), None
        except Spoilt as error:
            # Guards a node that lives against being taken for a dead one: it has run this and answers others.
            self.spoilt(error)
            return (Outcome.ERROR if written else Outcome.NOT_SENT), None
        except Broken:
            return (Outcome.RESET if written else Outcome.NOT_SENT), None
        except Exception as error:
            if link is not None:               # it may have run
                raise
            # Guards a write that never left: before there is a connection nothing can have run.
            logger.opt(exception=error).error("an attempt failed unforeseen")
            return Outcome.NOT_SENT, None
        finally:
            if link is not None and not kept:
                self.pool.drop(link)

    @staticmethod
    def _outcome(call: Call, answer: Message) -> Outcome:
        if call.final(answer.status):
            return Outcome.OK
        if answer.status in NOT_RUN and answer.get(b"x-not-run") == b"1":
            return NOT_RUN[answer.status]
        return Outcome.ERROR

    async def _upload(self, tried: Try, exchange: Exchange, link: Link, headers: Headers) -> bool:
        """Pass a body on to the node as its client sends it; False if the node answers before its end.

        Once it has begun it can't be sent again, and until its last byte is out no time of it runs.
        """
        call = exchange.call
        head = write_request(call.method, call.target, headers, call.length, chunked=call.length is None)
        self._apply(self.facade.uploading(self.now(), tried, None))
        await link.request(head)
        while (piece := await call.upload.get()) is not None:
            if link.channel.stale():
                return False
            async with asyncio.timeout(SILENT):
                await link.write(piece, call.length is None)
        if call.upload.broken:
            raise Unsent("the client's body broke off")
        if call.length is None:
            await link.write(b"", True)
        left = self._left(call)
        exchange.deadline = self.now() + left
        self._apply(self.facade.uploading(self.now(), tried, left))
        return True

    async def _pass_on(self, tried: Try, exchange: Exchange, link: Link, answer: Message,
                       started: float) -> None:
        """Hand an answer on in pieces, reading no faster than the client takes them."""
        stream = Stream(closed=asyncio.current_task().cancel)
        most = exchange.call.most
        self._apply(self.facade.begun(self.now(), tried, self.now() - started))
        exchange.settle(Answer(Kind.SERVED, answer.status, answer.headers, stream=stream))
        try:
            while True:
                if piece := answer.take():
                    link.channel.framer.release()
                    link.channel.widen()
                    await stream.put(piece)
                if answer.whole:
                    return await stream.put(None)
                if most is not None and answer.came > most:
                    raise Spoilt("an answer without end")
                async with asyncio.timeout(SILENT):
                    await link.more(answer)
        except BaseException:
            stream.break_off()
            raise

    def _ended(self, tried: Try, started: float, task: asyncio.Task) -> None:
        """An attempt is over: pass a served answer on and tell the module."""
        del self.tasks[tried.request, tried.number]
        answer = None
        if task.cancelled():
            outcome = Outcome.CANCELLED
        elif error := task.exception():
            logger.opt(exception=error).error("an attempt failed unforeseen")
            outcome = Outcome.RESET            # it may have run
        else:
            outcome, answer = task.result()
        exchange = self.exchanges.get(tried.request)
        if outcome is Outcome.OK and exchange is not None:
            exchange.settle(Answer(Kind.SERVED, answer.status, answer.headers, answer.body))
        used, elsewhere = read_meter(answer)
        now = self.now()
        self._apply(self.facade.report(now, tried, outcome, now - started, used, elsewhere))
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
