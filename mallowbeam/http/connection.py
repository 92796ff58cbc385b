"""One client's connection: reads requests, writes their responses, and enforces the time-outs of both.

The front is called with each complete request and returns its response.  A client that ends or resets its
connection has gone: that cancels the call and drops the requests queued after it.  While a request is being
answered the next ones are read ahead, up to a limit, or, if the front has `reads_ahead = False`, left in the
socket; meanwhile the connection is polled for the client's departure.  `http/shutdown.py` closes the
connection, also for callers outside (`close_soon`).
"""

from __future__ import annotations

import asyncio
import socket
import time
from collections.abc import Awaitable
from contextlib import suppress

from mallowbeam.http.framing import MAX_HEAD_BYTES, Channel, Framer, Message, MessageError
from mallowbeam.http.message_boundary import MessageBoundary
from mallowbeam.http.read_ahead import ReadAhead
from mallowbeam.http.reporting import logger
from mallowbeam.http.shutdown import (
    LINGER_S,
    MAX_DISCARDED_BYTES,
    ConnectionOwner,
    ConnectionShutdown,
    Stage,
    all_acknowledged,
    discard_unread,
    peer_has_closed,
    reset_at_close,
)
from mallowbeam.http.stream import Stream
from mallowbeam.http.unanswered import Progress, UnansweredRequest

MAX_PIPELINED = 2  # complete requests that may wait behind the one being answered
REQUEST_TIMEOUT_S = 2.5  # to receive a request; on a new connection since it opened
MIN_UPLOAD_BYTES_PER_S = 48 * 1024  # bytes of body that extend that time by a second
WRITE_STALL_TIMEOUT_S = 10.0  # without progress, after which writing a response is given up
IDLE_TIMEOUT_S = 10.0  # after a response
LIVENESS_CHECK_INTERVAL_S = 0.04  # between checks for the client's departure while reading is paused
NEW_CONNECTION_GRACE_S = 1.0  # for a new client to begin a request when connections are short
CONTINUE_RESPONSE = b"HTTP/1.1 100 Continue\r\n\r\n"


class Connection(ConnectionShutdown):
    """One client's connection: a task that reads, and one that answers while there is a request."""

    def __init__(self, server: ConnectionOwner, sock: socket.socket, over_limit: bool = False) -> None:
        self.server, front = server, server.front
        self.rejected = over_limit  # its request is rejected at once
        self.channel = Channel(
            sock,
            Framer(
                answers=False,
                max_body=front.max_body,
                budget=front.budget,
                max_head=getattr(front, "max_head", MAX_HEAD_BYTES),
            ),
        )
        self.read_ahead = ReadAhead(front.budget)  # bytes read but not parsed yet
        self.incoming: Message | None = None  # the request being received
        self.waiting_since = time.monotonic()  # when that began, or when the last response was sent
        self.response_task: asyncio.Task[None] | None = None
        self.request: Message | None = None  # the request being answered
        self.streamed_request: Message | None = None  # the request whose body is being streamed
        self.consumer_is_slow = False  # reading is paused because the body's consumer is slow
        self.writing = self.answered = False
        self.streams_response = False  # the response being written is streamed
        self.pipeline_deadline = (
            0.0  # when a closing connection begins to reject requests; 0 before it closes
        )
        reads_ahead = getattr(front, "reads_ahead", True)
        self.boundary = None if reads_ahead else MessageBoundary(self.channel.framer)
        self.unread_at = 0.0  # when the newest byte left in the socket was noticed; 0 while none is
        self.unread_bytes = 0  # bytes left in the socket, as far as noticed
        self.reading_paused = False  # reading is paused; only the client's departure is checked
        self.liveness_timer: asyncio.TimerHandle | None = None
        self.reading_may_resume = asyncio.Event()
        self.task = asyncio.create_task(self._run())

    @property
    def idle(self) -> bool:
        """Whether no request is being received, waiting or answered."""
        return self.response_task is None and self.channel.framer.empty

    @property
    def pending(self) -> int:
        """Number of requests received completely and not yet answered."""
        return len(self.channel.framer.ready) + (self.request is not None and self.request.complete)

    @property
    def input_is_deferred(self) -> bool:
        """Whether input that has arrived is left in the socket."""
        return self.unread_at > 0.0

    @property
    def unanswered(self) -> list[UnansweredRequest]:
        """The requests received completely that have no complete response."""
        waiting = [UnansweredRequest(one, Progress.QUEUED) for one in self.channel.framer.ready]
        if self.request is None or not self.request.complete:
            return waiting
        progress = Progress.STREAMING if self.streams_response else Progress.IN_PROGRESS
        return [UnansweredRequest(self.request, progress), *waiting]

    @property
    def can_be_closed(self) -> bool:
        """Whether the connection may be closed to make room for another.

        Not while a request may be arriving: a new client is about to send one, and one that is unread in the
        socket counts as received and would be lost.
        """
        if self.closing:  # its last response may have been sent
            return self.state is not Stage.DRAINING
        return (
            self.idle
            and (self.answered or time.monotonic() - self.waiting_since > NEW_CONNECTION_GRACE_S)
            and not self.channel.stale()
        )

    async def _run(self) -> None:
        try:
            await self._read_requests()
        except (OSError, asyncio.CancelledError):
            pass
        except Exception as error:
            logger.error("unforeseen error in a client connection", exc_info=error)
        finally:
            await self._close()

    async def _read_requests(self) -> None:
        """Read requests until the client or this side ends the connection."""
        framer = self.channel.framer
        while await self._receive():
            if framer.incoming is not self.incoming:
                self.incoming = framer.incoming
                if self.answered:  # the first request's time counts from the connection's start
                    self.waiting_since = time.monotonic()
            self._start_next_response()
            if framer.error is not None:
                return await self._answer_malformed(framer.error)
            if self.response_task is None and framer.wants_continue():
                await self.channel.send(CONTINUE_RESPONSE)
            await self._forward_body()
        return None

    async def _receive(self) -> bool:
        """Parse the next bytes in the loop step that reads them; False once either side has ended."""
        channel, framer = self.channel, self.channel.framer
        while self.state is not Stage.LINGERING:
            queue_is_full = len(framer.ready) > MAX_PIPELINED
            if self.read_ahead and not queue_is_full:
                at, data = self.read_ahead.popleft()
                self._feed(memoryview(data), at)
                return True
            if queue_is_full and self.read_ahead.full:
                self.reading_may_resume.clear()
                await self._wait_unread(self.reading_may_resume.wait())
                continue
            await channel.wait_for_input()
            # Another task may have closed this side meanwhile, which mypy does not see.
            if self.state is Stage.LINGERING:  # type: ignore[comparison-overlap]
                continue
            if self._defers_input() and channel.peek():
                await self._wait_deferred()
                continue
            count = self._read_input()
            if count is None:
                continue
            if not count:
                return False
            arrived_at = self._arrival_time(count)
            if not queue_is_full and not self.read_ahead:
                self._feed(channel.buffer[:count], arrived_at)
                return True
            self.read_ahead.append(channel.buffer[:count], arrived_at)
        await self._discard_input()
        return False

    def _read_input(self) -> int | None:
        """Read input; unless the front reads ahead, none behind the request being received."""
        if self.boundary is None:
            return self.channel.read_available()
        if self.input_is_deferred:
            self._note_unread()
        unread = self.channel.peek_available()
        return self.channel.read_available(self.boundary.take(unread) if unread else 0)

    def _arrival_time(self, count: int) -> float:
        """Return when the `count` bytes read last had arrived at the latest, by the monotonic clock."""
        arrived_at = self.unread_at or self.channel.last_activity
        self.unread_bytes -= count
        if self.unread_bytes <= 0:
            self.unread_at, self.unread_bytes = 0.0, 0
        return arrived_at

    def _defers_input(self) -> bool:
        """Whether input is left in the socket until the response in progress is complete.

        A request that was not read when its connection ends is not lost: its client can send it elsewhere.
        """
        return self.boundary is not None and self.response_task is not None and self.streamed_request is None

    async def _wait_deferred(self) -> None:
        """Wait until input may be read again."""
        self.unread_at = self.unread_at or time.monotonic()
        self._note_unread()
        self.reading_may_resume.clear()
        await self._wait_unread(self.reading_may_resume.wait())

    def _feed(self, data: memoryview, at: float) -> None:
        """Parse bytes read at time `at`, within the front's limits, which can change between calls."""
        framer, front = self.channel.framer, self.server.front
        framer.set_limits(front.max_body, getattr(front, "max_head", MAX_HEAD_BYTES))
        framer.read_at = at
        framer.feed(data)

    def _note_unread(self) -> None:
        """Note when the newest unread bytes arrived: a request's time counts from its last byte."""
        count = self.channel.unread_bytes()
        if count > self.unread_bytes:
            self.unread_at, self.unread_bytes = time.monotonic(), count

    async def _wait_unread(self, wait: Awaitable[object]) -> None:
        """Wait with reading paused, checking periodically that the client is still connected."""
        self.reading_paused = True
        self._check_liveness()
        try:
            await wait
        finally:
            self.reading_paused = False
            if self.liveness_timer is not None:
                self.liveness_timer.cancel()

    def _check_liveness(self) -> None:
        """Cancel the connection if its client has left.

        Without this check the end of stream would stay hidden behind unread bytes, and nodes would work for a
        departed client.
        """
        if peer_has_closed(self.channel.sock):
            self.task.cancel()
        elif self.input_is_deferred:
            self._note_unread()
        self.liveness_timer = self.channel.loop.call_later(LIVENESS_CHECK_INTERVAL_S, self._check_liveness)

    async def _close(self) -> None:
        """Close the socket and everything that depends on it; the only place that does."""
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
            if self.request is not None and self.request.until_close:
                reset_at_close(self.channel.sock)  # its response is truncated, and must not look complete
            if not self._leaves_unread:
                discard_unread(self.channel.sock, self.channel.buffer, MAX_DISCARDED_BYTES)
            self.channel.close()
            self.server.connections.discard(self)

    @property
    def _leaves_unread(self) -> bool:
        """Whether the socket is closed over unread input, which resets the connection.

        The reset would destroy a complete response of which a part is still to be sent.
        """
        return self.input_is_deferred and (self.writing or all_acknowledged(self.channel.sock))

    def _start_next_response(self) -> None:
        """Start to answer the next complete or streamed request, unless one is being answered."""
        framer = self.channel.framer
        if self.response_task is not None or self.state in (Stage.LINGERING, Stage.CLOSED):
            return
        if self._client_has_left():
            self.task.cancel()  # its request is not forwarded
            return
        if framer.ready:
            request = framer.ready.popleft()
        elif framer.incoming is not None and framer.incoming_body_exceeds(
            self.server.front.max_buffered_body
        ):
            request = self.streamed_request = framer.incoming
            request.stream = Stream(on_first_get=self._send_continue)
            self.channel.grow_buffer()
        else:
            return
        self.response_task = asyncio.create_task(self._answer(request))

    def _client_has_left(self) -> bool:
        """Whether the client of a request that had to wait has disconnected.

        Saves nodes the work: a new connection may have waited in the accept queue until its client gave up.
        """
        return (
            self.reading_paused
            and peer_has_closed(self.channel.sock)
            or not self.answered
            and self.channel.peek() is False
        )

    def _send_continue(self) -> None:
        """Send `100 Continue` to a client that expects it, once its streamed body is first requested."""
        if self.channel.framer.wants_continue():
            with suppress(OSError):  # a few bytes, and no other write is in progress
                self.channel.sock.send(CONTINUE_RESPONSE)

    async def _forward_body(self) -> None:
        """Pass on bytes of a streamed body; reading and time-outs pause while its consumer is slow."""
        request = self.streamed_request
        if request is None or (stream := request.stream) is None:
            return
        if chunk := request.take():
            self.channel.framer.release()
            started, self.consumer_is_slow = time.monotonic(), True
            if stream.full:
                await self._wait_unread(stream.put(chunk))
            else:
                await stream.put(chunk)
            self.waiting_since += time.monotonic() - started
            self.consumer_is_slow = False
        if request.complete:
            self.streamed_request = None
            self.channel.shrink_buffer()
            if stream.full:
                await self._wait_unread(stream.put(None))
            else:
                await stream.put(None)

    async def _answer(self, request: Message) -> None:
        """Answer one request, and then close the connection or start the next response."""
        client_closes = not request.keep_alive  # the client asked for the close
        try:
            self.request = request
            sent_completely = await self._write_response(request)
            close = self.closes(request)
        except OSError:
            sent_completely = close = False
        except Exception as error:
            logger.error("unforeseen error in a request", exc_info=error)
            sent_completely, close = False, True
        self.writing, self.response_task, self.waiting_since, self.answered = (
            False,
            None,
            time.monotonic(),
            True,
        )
        self.request, self.streams_response = None, False
        if request.stream is not None:
            request.stream.close()
        if self.channel.framer.empty:
            self.channel.framer.release()
        if self.state is Stage.CLOSED:  # the client has disconnected
            return
        if not sent_completely:
            self._end_truncated(request)
        elif close and (
            client_closes or self.rejected or not request.complete or not self._request_is_pending()
        ):
            self._half_close()
        else:
            self._start_next_response()
            self.reading_may_resume.set()
        if self.read_ahead or self.channel.framer.error is not None:
            self.channel.wake()

    async def _write_response(self, request: Message) -> bool:
        """Write the front's response to a request; False if it was truncated."""
        try:
            if self.rejected:
                request.keep_alive = False
                reply = self.server.front.error_response(503, "too many connections")
            elif self._pipeline_time_is_over():
                reply = self.server.front.error_response(
                    503, "the connection is closing", close=self.closes(request)
                )
            else:
                reply = await self.server.front.handle(request, lambda: self.closes(request))
        except Exception as error:
            # The client still gets a response when the front fails.
            logger.error("unforeseen error in a request", exc_info=error)
            reply = self.server.front.error_response(500, "internal error")
            request.keep_alive = False
        self.channel.last_activity, self.writing, sent_completely = time.monotonic(), True, False
        self.streams_response = reply.write is not None
        try:
            if reply.write is None:
                head_only = request.method == b"HEAD"  # no body follows, whatever its headers state
                await self.channel.send(
                    reply.data.partition(b"\r\n\r\n")[0] + b"\r\n\r\n" if head_only else reply.data
                )
            sent_completely = reply.write is None or await reply.write(self.channel)
        finally:
            self.server.front.finished(request, reply.status, sent_completely)
        return sent_completely

    def _request_is_pending(self) -> bool:
        """Whether a request has been received that is to be answered before this side ends.

        One that was read always is; one that is unread only until `pipeline_deadline`.
        """
        if not self._has_read_requests and (self._pipeline_time_is_over() or self._nothing_unread()):
            return False
        self.state = Stage.DRAINING
        return True

    @property
    def _has_read_requests(self) -> bool:
        """Whether input behind the current request was read: complete requests, or bytes not parsed yet."""
        return bool(self.channel.framer.ready or self.read_ahead)

    def _pipeline_time_is_over(self) -> bool:
        """Whether requests on this closing connection are rejected, as it has been closing for too long."""
        return 0.0 < self.pipeline_deadline < time.monotonic()

    def closes(self, request: Message) -> bool:
        """Whether the connection closes after the response to a request; True is final.

        If the close is this side's choice, complete requests queued behind it are answered first; those that
        still wait `LINGER_S` seconds later are rejected.
        """
        if not request.keep_alive or not request.complete:  # incomplete: its body may still be arriving
            return True
        if not self.server.closing and self.state is Stage.OPEN:
            return False
        self.pipeline_deadline = self.pipeline_deadline or time.monotonic() + LINGER_S
        request.keep_alive = self._has_read_requests
        return not request.keep_alive

    async def _answer_malformed(self, error: MessageError) -> None:
        """Answer malformed input after the requests before it have their responses, then close in order."""
        if self.streamed_request is not None and self.streamed_request.stream is not None:
            self.streamed_request.stream.abort()  # the forwarded body can't be completed
        remaining = MAX_DISCARDED_BYTES
        while self.response_task is not None:  # complete requests before it are answered first
            if remaining <= 0:
                await self._wait_unread(asyncio.wait([self.response_task]))
            elif (count := await self.channel.read()) == 0:
                return
            else:
                remaining -= count or 0
        if self.state is not Stage.LINGERING:
            self.state, self.writing = Stage.DRAINING, True
            async with asyncio.timeout(LINGER_S):
                await self.channel.send(self._final_error(error.status, str(error)))
            self.writing = False
            self._half_close()
        await self._discard_input()

    def _answer_timeout(self) -> None:
        """Answer 408 to a request that took too long to arrive; best effort, as its client may not read."""
        with suppress(OSError):
            self.channel.sock.send(self._final_error(408, "the request did not come in time"))
        self._half_close()

    def _final_error(self, status: int, text: str) -> bytes:
        """Build the error response to an incomplete request, counted if its head is complete."""
        request = self.channel.framer.incoming
        if request is not None and not self.channel.framer.in_head:
            self.server.front.finished(request, status, True)
        return self.server.front.error_response(status, text).data

    def sweep(self, now: float) -> None:
        """End the connection if it has been idle or stalled for too long."""
        if self.state in (Stage.LINGERING, Stage.CLOSED):
            return  # the close has a time limit of its own
        if self.writing:
            if now - self.channel.last_activity > WRITE_STALL_TIMEOUT_S:
                reset_at_close(self.channel.sock)  # the client must not mistake this for a regular end
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
                stream.abort()  # the consumer ends the request, which produces the response
        elif (
            self.response_task is None
            and now - self.waiting_since > self._request_time_limit()
            and self._nothing_unread()
        ):
            self._answer_timeout()

    def _request_time_limit(self) -> float:
        """Seconds allowed for the request being received; grows with the body bytes received."""
        request = self.channel.framer.incoming
        return self._request_timeout() + (request.received / MIN_UPLOAD_BYTES_PER_S if request else 0.0)

    def _request_timeout(self) -> float:
        """Seconds allowed for receiving a request: the front's `request_timeout_s`, if it has one."""
        seconds: float = getattr(self.server.front, "request_timeout_s", REQUEST_TIMEOUT_S)
        return seconds

    def _idle_timeout(self) -> float:
        """Seconds that a connection may stay idle: the front's `idle_timeout_s`, if it has one."""
        seconds: float = getattr(self.server.front, "idle_timeout_s", IDLE_TIMEOUT_S)
        return seconds
