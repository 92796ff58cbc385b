"""One client's connection: its requests in, their answers out, and how long either may take.

A front is called with each whole request and returns the one answer; a client that ends or resets its
connection has gone, which cancels that call and drops what waits behind it.  While a request is answered the
next ones are read ahead, up to a bound; past it the client's end is looked for now and then.  How it ends,
and the one way in which others end it (`leave`), is the matter of `http/shutdown.py`.
"""

from __future__ import annotations

import asyncio
import socket
import time
from collections.abc import Awaitable
from contextlib import suppress

from mallowbeam.http.framing import MAX_HEAD, Channel, Framer, Message, MessageError
from mallowbeam.http.read_ahead import ReadAhead
from mallowbeam.http.reporting import logger
from mallowbeam.http.shutdown import (
    LINGER,
    LINGER_BYTES,
    ConnectionShutdown,
    Owner,
    Stage,
    drop,
    gone,
    reset_at_close,
)
from mallowbeam.http.stream import Stream

PIPELINED = 2  # whole requests that may wait behind the one being answered
STALLED = 2.5  # seconds in which a request must come in, on a new connection from its start on
SLOWEST = 48 * 1024  # bytes of a body that are worth a second more
UNREAD = 10.0  # seconds without a byte after which an answer has stopped going out
IDLE = 10.0  # seconds that a connection may lie idle after an answer
LOOK = 0.04  # seconds between looks, while nothing is read, whether the client is still there
FRESH = 1.0  # seconds in which a client that has just come begins, where room is short
CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"


class Connection(ConnectionShutdown):
    """One client's connection: a task that reads, and while a request is held one that answers."""

    def __init__(self, server: Owner, sock: socket.socket, over: bool = False) -> None:
        self.server, front = server, server.front
        self.rejected = over  # no room for it: its request is refused at once
        self.channel = Channel(
            sock,
            Framer(
                answers=False,
                max_body=front.max_body,
                budget=front.budget,
                max_head=getattr(front, "max_head", MAX_HEAD),
            ),
        )
        self.read_ahead = ReadAhead(front.budget)  # read, and not parsed yet
        self.incoming: Message | None = None  # the request that is coming in
        self.waiting_since = time.monotonic()  # when that began, or the last answer went out
        self.response_task: asyncio.Task[None] | None = None
        self.request: Message | None = None  # the one that is being answered
        self.streamed_request: Message | None = None  # the same, while its body passes through
        self.consumer_is_slow = False  # nothing is read: the body's taker is slow
        self.writing = self.answered = False
        self.pipeline_deadline = 0.0  # until when what waits is answered before it ends
        self.reading_paused = False  # nothing is read, but the client is looked for
        self.liveness_timer: asyncio.TimerHandle | None = None
        self.reading_may_resume = asyncio.Event()
        self.task = asyncio.create_task(self._run())

    @property
    def idle(self) -> bool:
        """Whether nothing is coming in, held or going out."""
        return self.response_task is None and self.channel.framer.empty

    @property
    def pending(self) -> int:
        """Requests here that have come in whole and are not over yet."""
        return len(self.channel.framer.ready) + (self.request is not None and self.request.complete)

    @property
    def can_be_closed(self) -> bool:
        """Whether it may be closed to make room.

        Guards requests on their way in: a client that has just come is about to send one, and one that lies
        unread in the socket is taken and would be lost with it.
        """
        if self.closing:  # perhaps it has had its last answer
            return self.state is not Stage.LAST
        return (
            self.idle
            and (self.answered or time.monotonic() - self.waiting_since > FRESH)
            and not self.channel.stale()
        )

    async def _run(self) -> None:
        try:
            await self._read_requests()
        except (OSError, asyncio.CancelledError):
            pass
        except Exception as error:
            logger.error("a connection failed unforeseen", exc_info=error)
        finally:
            await self._close()

    async def _read_requests(self) -> None:
        """Take requests in, until the client's end or ours."""
        framer = self.channel.framer
        while await self._receive():
            if framer.incoming is not self.incoming:
                self.incoming = framer.incoming
                if self.answered:  # the first request has its time from the connection's start
                    self.waiting_since = time.monotonic()
            self._start_next_response()
            if framer.error is not None:
                return await self._answer_malformed(framer.error)
            if self.response_task is None and framer.wants_continue():
                await self.channel.send(CONTINUE)
            await self._forward_body()
        return None

    async def _receive(self) -> bool:
        """Take in what came next, in the step of its read; False at the client's end and after ours."""
        channel, framer = self.channel, self.channel.framer
        while self.state is not Stage.LINGERING:
            waits = len(framer.ready) > PIPELINED
            if self.read_ahead and not waits:
                at, data = self.read_ahead.popleft()
                self._feed(memoryview(data), at)
                return True
            if waits and self.read_ahead.full:
                self.reading_may_resume.clear()
                await self._wait_unread(self.reading_may_resume.wait())
                continue
            count = await channel.read()
            # Another task may have hung up meanwhile, which mypy does not see: this is not sent on.
            if count is None or self.state is Stage.LINGERING:  # type: ignore[comparison-overlap]
                continue
            if not count:
                return False
            if not waits and not self.read_ahead:
                self._feed(channel.buffer[:count], channel.last_activity)
                return True
            self.read_ahead.append(channel.buffer[:count], channel.last_activity)
        await self._discard_input()
        return False

    def _feed(self, data: memoryview, at: float) -> None:
        """Parse what was read at a time, within the front's bounds, which may have changed since the last."""
        framer, front = self.channel.framer, self.server.front
        framer.bound(front.max_body, getattr(front, "max_head", MAX_HEAD))
        framer.read_at = at
        framer.feed(data)

    async def _wait_unread(self, wait: Awaitable[object]) -> None:
        """Wait while nothing is read, and look now and then whether the client is still there."""
        self.reading_paused = True
        self._check_liveness()
        try:
            await wait
        finally:
            self.reading_paused = False
            if self.liveness_timer is not None:
                self.liveness_timer.cancel()

    def _check_liveness(self) -> None:
        """Guards nodes against requests of a client that has left behind bytes which are not read."""
        if gone(self.channel.sock):
            self.task.cancel()
        self.liveness_timer = self.channel.loop.call_later(LOOK, self._check_liveness)

    async def _close(self) -> None:
        """The one place in which the socket is closed, and what still depends on it is ended."""
        self.state = Stage.CLOSED
        if self.close_timer is not None:
            self.close_timer.cancel()
        try:
            if self.response_task is not None:
                self.response_task.cancel()
                await asyncio.gather(self.response_task, return_exceptions=True)
        finally:
            if self.streamed_request is not None and self.streamed_request.stream is not None:
                self.streamed_request.stream.close()
            self.read_ahead.clear()
            self.channel.framer.release()
            drop(self.channel.sock, self.channel.buffer, LINGER_BYTES)
            self.channel.close()
            self.server.connections.discard(self)

    def _start_next_response(self) -> None:
        """Begin to answer the next request that is whole, or too large to be held, unless one is answered."""
        framer = self.channel.framer
        if self.response_task is not None or self.state in (Stage.LINGERING, Stage.CLOSED):
            return
        if self._client_has_left():
            self.task.cancel()  # nothing of it is sent on
            return
        if framer.ready:
            request = framer.ready.popleft()
        elif framer.incoming is not None and framer.holds_more_than(self.server.front.max_buffered_body):
            request = self.streamed_request = framer.incoming
            request.stream = Stream(wanted=self._send_continue)
            self.channel.grow_buffer()
        else:
            return
        self.response_task = asyncio.create_task(self._answer(request))

    def _client_has_left(self) -> bool:
        """Whether the client of a request that had to wait is no longer there.

        Guards nodes: a new connection may have lain in the accept queue, and its client has come and gone.
        """
        return (
            self.reading_paused
            and gone(self.channel.sock)
            or not self.answered
            and self.channel.peek() is False
        )

    def _send_continue(self) -> None:
        """The first piece of a large body is asked for: a client that waits for a word gets it."""
        if self.channel.framer.wants_continue():
            with suppress(OSError):  # a few bytes, and nothing else is being written
                self.channel.sock.send(CONTINUE)

    async def _forward_body(self) -> None:
        """Hand on what came of a large body; while its taker is slow nothing is read, and no time counts."""
        request = self.streamed_request
        if request is None or (stream := request.stream) is None:
            return
        if piece := request.take():
            self.channel.framer.release()
            began, self.consumer_is_slow = time.monotonic(), True
            if stream.full:
                await self._wait_unread(stream.put(piece))
            else:
                await stream.put(piece)
            self.waiting_since += time.monotonic() - began
            self.consumer_is_slow = False
        if request.complete:
            self.streamed_request = None
            self.channel.shrink_buffer()
            if stream.full:
                await self._wait_unread(stream.put(None))
            else:
                await stream.put(None)

    async def _answer(self, request: Message) -> None:
        """One request, from its last byte in to its answer's last byte out."""
        last = not request.keep_alive  # as its client asked
        try:
            self.request = request
            whole = await self._write(request)
            close = self.closes(request)
        except OSError:
            whole = close = False
        except Exception as error:
            logger.error("a request failed unforeseen", exc_info=error)
            whole, close = False, True
        self.writing, self.response_task, self.waiting_since, self.answered = (
            False,
            None,
            time.monotonic(),
            True,
        )
        self.request = None
        if request.stream is not None:
            request.stream.close()
        if self.channel.framer.empty:
            self.channel.framer.release()
        if self.state is Stage.CLOSED:  # the client has gone
            return
        if not whole:
            self._end_truncated(request)
        elif close and (last or self.rejected or not request.complete or not self._request_is_pending()):
            self._half_close()
        else:
            self._start_next_response()
            self.reading_may_resume.set()
        if self.read_ahead or self.channel.framer.error is not None:
            self.channel.wake()

    async def _write(self, request: Message) -> bool:
        """Write the front's answer to a request; False if it broke off."""
        try:
            if self.rejected:
                request.keep_alive = False
                reply = self.server.front.error_response(503, "too many connections")
            else:
                reply = await self.server.front.handle(request, lambda: self.closes(request))
        except Exception as error:
            # Guards the client against a fault of ours: it still gets its one answer.
            logger.error("a request failed unforeseen", exc_info=error)
            reply = self.server.front.error_response(500, "internal error")
            request.keep_alive = False
        self.channel.last_activity, self.writing, whole = time.monotonic(), True, False
        try:
            if reply.write is None:
                head_only = request.method == b"HEAD"  # its answer ends with the headers, whatever they say
                await self.channel.send(
                    reply.data.partition(b"\r\n\r\n")[0] + b"\r\n\r\n" if head_only else reply.data
                )
            whole = reply.write is None or await reply.write(self.channel)
        finally:
            self.server.front.finished(request, reply.status, whole)
        return whole

    def _request_is_pending(self) -> bool:
        """Whether our side can't end yet after its last answer: a request came while that was written.

        Guards it: it has crossed the answer, and is taken.  Its client may read on up to our end.
        """
        if (
            time.monotonic() > self.pipeline_deadline
            or not self.channel.framer.ready
            and self._nothing_unread()
        ):
            return False
        self.state = Stage.LAST
        return True

    def closes(self, request: Message) -> bool:
        """Whether the connection ends after the answer to a request; a yes stands.

        Guards requests that have come in whole behind it: where the end is ours they are answered first, for
        a while.
        """
        if not request.keep_alive or not request.complete:  # its body may still be coming
            return True
        if not self.server.closing and self.state is Stage.OPEN:
            return False
        now = time.monotonic()
        self.pipeline_deadline = self.pipeline_deadline or now + LINGER
        request.keep_alive = bool(self.channel.framer.ready) and now < self.pipeline_deadline
        return not request.keep_alive

    async def _answer_malformed(self, fault: MessageError) -> None:
        """Answer what breaks HTTP once the request before it has its answer, then end in order."""
        if self.streamed_request is not None and self.streamed_request.stream is not None:
            self.streamed_request.stream.abort()  # what is passed on of it can't be finished
        most = LINGER_BYTES
        while self.response_task is not None:  # whole requests before it have their answers first
            if most <= 0:
                await self._wait_unread(asyncio.wait([self.response_task]))
            elif (count := await self.channel.read()) == 0:
                return
            else:
                most -= count or 0
        if self.state is not Stage.LINGERING:
            self.state, self.writing = Stage.LAST, True
            async with asyncio.timeout(LINGER):
                await self.channel.send(self._final_error(fault.status, str(fault)))
            self.writing = False
            self._half_close()
        await self._discard_input()

    def _answer_timeout(self) -> None:
        """Answer a request that did not come in time; best effort: its client may not read either."""
        with suppress(OSError):
            self.channel.sock.send(self._final_error(408, "the request did not come in time"))
        self._half_close()

    def _final_error(self, status: int, text: str) -> bytes:
        """The last word on a request that does not come in whole; it counts if its head has."""
        part = self.channel.framer.incoming
        if part is not None and not self.channel.framer.in_head:
            self.server.front.finished(part, status, True)
        return self.server.front.error_response(status, text).data

    def sweep(self, now: float) -> None:
        """End a connection that has been idle or stalled for too long."""
        if self.state in (Stage.LINGERING, Stage.CLOSED):
            return  # that has its time
        if self.writing:
            if now - self.channel.last_activity > UNREAD:
                reset_at_close(self.channel.sock)  # it reads nothing, and must not take this for an end
                self.task.cancel()
        elif self.idle:
            limit = self._idle_timeout() if self.answered else self._request_timeout()
            if now - self.waiting_since > limit and self._nothing_unread():
                self._half_close()
        elif self.streamed_request is not None:
            stream = self.streamed_request.stream
            if (
                stream is not None
                and not self.consumer_is_slow
                and now - self.waiting_since > self._request_time_limit()
            ):
                stream.abort()  # its taker ends it, and that is answered
        elif (
            self.response_task is None
            and now - self.waiting_since > self._request_time_limit()
            and self._nothing_unread()
        ):
            self._answer_timeout()

    def _request_time_limit(self) -> float:
        """Seconds that the request which is coming in may take, by what came: a trickle is no upload."""
        part = self.channel.framer.incoming
        return self._request_timeout() + (part.received / SLOWEST if part else 0.0)

    def _request_timeout(self) -> float:
        """Seconds in which a request must come in: the front's `stalled`, if it has one."""
        seconds: float = getattr(self.server.front, "stalled", STALLED)
        return seconds

    def _idle_timeout(self) -> float:
        """Seconds that a connection may lie idle after an answer: the front's `idle`, if it has one."""
        seconds: float = getattr(self.server.front, "idle", IDLE)
        return seconds
