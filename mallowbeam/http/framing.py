"""HTTP/1.1 framing on a non-blocking socket: httptools parses, this file bounds and writes.

Every buffer has a bound: a message over it raises `MessageError` with the status that says so.
"""

from __future__ import annotations

import asyncio
import re
import socket
import time
from collections import deque
from http import HTTPStatus

import httptools

from mallowbeam.errors import MallowbeamError
from mallowbeam.http.budget import BodyBudget, BudgetReservation
from mallowbeam.http.stream import Stream

CHUNK = 16 * 1024  # bytes read at once: what one connection may hold beyond its messages
BULK = 32 * 1024  # the same while a large body passes through
MAX_HEAD = 16 * 1024  # bytes of start line and headers
MAX_BODY = 64 * 1024  # bytes of a body that are held whole, where a front does not say otherwise
MAX_QUIET = MAX_HEAD  # bytes without a whole head, a piece of body or an end: trailers, chunk marks
HOP_BY_HOP = frozenset(
    (
        b"connection",
        b"keep-alive",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"upgrade",
        b"transfer-encoding",
        b"content-length",
        b"expect",
        b"host",
    )
)
TOKEN = re.compile(rb"[\x21-\x7e]{1,256}\Z")  # what a key that goes on to a node may be
ABSOLUTE = re.compile(rb"\Ahttps?://[^/?#]*", re.IGNORECASE)
REASONS = {status.value: status.phrase for status in HTTPStatus}

Headers = list[tuple[bytes, bytes]]


class MessageError(MallowbeamError):
    """What came in breaks HTTP or a bound; `status` is what a server answers to it."""

    error_name = "BadMessage"
    remedy = "mend the client or the node that sent it"

    def __init__(self, status: int, text: str) -> None:
        super().__init__(text)
        self.status = status


class Message:
    """A request or an answer."""

    __slots__ = (
        "method",
        "target",
        "status",
        "headers",
        "body",
        "keep_alive",
        "complete",
        "until_close",
        "version",
        "length",
        "received",
        "stream",
        "completed_at",
    )

    def __init__(self) -> None:
        self.method, self.target, self.status = b"", b"", 0
        self.headers: Headers = []  # names in lower case
        self.body = bytearray()  # what is held of it
        self.length: int | None = None  # the length stated
        self.received = 0  # bytes of it so far
        self.stream: Stream | None = None  # where it goes, if not held whole
        self.keep_alive, self.complete, self.version = True, False, "1.1"
        self.completed_at = 0.0  # when its last byte was read, by the steady clock
        self.until_close = False  # its end (a request's: its answer's) is the connection's

    def get(self, name: bytes) -> bytes | None:
        """The first header of that name."""
        for known, value in self.headers:
            if known == name:
                return value
        return None

    def take(self) -> bytearray:
        """The body as far as it has come, handed over."""
        body, self.body = self.body, bytearray()
        return body


class Framer:
    """Turns bytes into messages, within bounds."""

    _current: Message  # the message that the parser's callbacks fill; `incoming` until it is complete

    def __init__(
        self,
        answers: bool,
        max_body: int = MAX_BODY,
        budget: BodyBudget | None = None,
        max_head: int = MAX_HEAD,
    ) -> None:
        self.answers, self.max_body, self.max_head = answers, max_body, max_head
        self.reservation = BudgetReservation(budget)
        self._response_parser: httptools.HttpResponseParser | None = None
        self._request_parser: httptools.HttpRequestParser | None = None
        self.parser: httptools.HttpResponseParser | httptools.HttpRequestParser
        if answers:
            self.parser = self._response_parser = httptools.HttpResponseParser(self)
        else:
            self.parser = self._request_parser = httptools.HttpRequestParser(self)
        self.ready: deque[Message] = deque()  # whole messages
        self.incoming: Message | None = None  # the one that is coming in
        self.in_head, self.pending_bytes = False, 0
        self.bodiless = False  # the next answer is to a HEAD
        self.read_at = 0.0  # when what is fed was read
        self.error: MessageError | None = None  # what came after the messages in `ready` is of no use

    def feed(self, data: memoryview) -> None:
        """Take in bytes; what breaks HTTP or a bound sets `fault`, and messages whole before it stand."""
        if self.error is not None:
            return
        self.pending_bytes += len(data)
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            self.error = MessageError(400, "upgrade is not offered")
        except httptools.HttpParserError as error:
            self.error = self.error or MessageError(400, f"malformed message: {error}")
        # Guards against a header or trailer without end, which the parser would collect without bound.
        if self.pending_bytes > max(MAX_QUIET, self.max_head):
            self.error = self.error or MessageError(431, "header too large")

    def bound(self, max_body: int, max_head: int) -> None:
        """Other bounds from now on; what is coming in may still be as large as it was when it began."""
        if self.incoming is not None:
            max_body, max_head = max(max_body, self.max_body), max(max_head, self.max_head)
        self.max_body, self.max_head = max_body, max_head

    @property
    def empty(self) -> bool:
        """Whether nothing is coming in and nothing waits."""
        return self.incoming is None and not self.ready

    def holds_more_than(self, most: int) -> bool:
        """Whether the request coming in is one with a body larger than that."""
        part = self.incoming
        return (
            self.error is None
            and part is not None
            and not self.in_head
            and max(part.length or 0, part.received) > most
        )

    def wants_continue(self) -> bool:
        """Whether the client waits for a word before it sends the body of a request; true once for each."""
        part = self.incoming
        if part is None or self.in_head or part.body or part.version == "1.0":  # an old client knows no 1xx
            return False
        if (part.get(b"expect") or b"").lower() != b"100-continue":
            return False
        part.headers = [header for header in part.headers if header[0] != b"expect"]
        return True

    def _fail(self, status: int, text: str) -> None:
        self.error = MessageError(status, text)
        raise self.error

    def on_message_begin(self) -> None:  # noqa: D102 (httptools' names)
        self.incoming = self._current = Message()
        self.in_head = True

    def on_url(self, url: bytes) -> None:  # noqa: D102
        self._current.target += url

    def on_header(self, name: bytes, value: bytes) -> None:  # noqa: D102
        if self.in_head:  # a trailer is read and not kept
            # Space around a value is not part of it (RFC 9110 section 5.5); the parser leaves what is behind.
            self._current.headers.append((name.lower(), value.strip(b" \t")))

    def on_headers_complete(self) -> None:  # noqa: D102
        part, self.in_head, self.pending_bytes = self._current, False, 0
        if sum(len(name) + len(value) for name, value in part.headers) + len(part.target) > self.max_head:
            self._fail(431, "header too large")
        length = part.get(b"content-length")
        if length is not None and not length.isdigit():
            self._fail(400, "content-length is no number")
        part.length = None if length is None else int(length)
        # Answers are bounded by what is kept of them: a streamed one may be of any length.
        if part.length is not None and part.length > self.max_body and not self.answers:
            self._fail(413, "body too large")
        # Guards against a body whose end nothing marks, or that is another one once its coding is dropped
        # (RFC 9112 section 6.1).
        if (part.get(b"transfer-encoding") or b"chunked").strip().lower() != b"chunked":
            self._fail(400, "unknown transfer coding")
        if (parser := self._response_parser) is not None:
            part.status = parser.get_status_code()
            part.until_close = (
                length is None
                and part.get(b"transfer-encoding") is None
                and part.status not in (204, 304)
                and not self.bodiless
            )
        elif (request_parser := self._request_parser) is not None:
            part.method, part.version = request_parser.get_method(), request_parser.get_http_version()
            if request_parser.should_upgrade():
                self._fail(400, "upgrade is not offered")
            # An absolute target (RFC 9112 section 3.2.2) names the host once more; what counts is behind it.
            part.target = ABSOLUTE.sub(b"", part.target) or b"/"
        part.keep_alive = self.parser.should_keep_alive()
        if refusal := self.reservation.expect(part, part.length or 0):
            self._fail(503, refusal)

    def on_body(self, body: bytes) -> None:  # noqa: D102
        part = self._current
        part.body += body
        part.received += len(body)
        self.pending_bytes = 0
        if (len(part.body) if self.answers else part.received) > self.max_body:
            self._fail(413, "body too large")
        if refusal := self.reservation.charge(part, part.received, len(body)):
            self._fail(503, refusal)

    def release(self) -> None:
        """Give back what was charged for bodies: they are answered, or their connection is over."""
        self.reservation.release()

    def on_message_complete(self) -> None:  # noqa: D102
        message = self._current
        message.complete, self.pending_bytes, message.completed_at = True, 0, self.read_at
        if message.stream is None:  # else it is being answered already
            self.ready.append(message)
        self.incoming = None
        del self._current  # its body must not outlive its answer here


class Channel:
    """A connected socket and the framer of what comes in on it."""

    def __init__(self, sock: socket.socket, framer: Framer) -> None:
        sock.setblocking(False)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.sock, self.framer = sock, framer
        self.loop = asyncio.get_running_loop()
        self.buffer = memoryview(bytearray(CHUNK))
        self.last_activity = time.monotonic()  # when bytes last went in or out
        self.unsent = 0  # bytes of the last write that the kernel has not taken yet
        self.bytes_sent = 0  # bytes that the kernel has taken since the connection came up
        self.write_waiter: asyncio.Future[None] | None = None  # who waits for the kernel to take more
        self.reading = False  # the loop tells when there is more,
        self.read_waiter: asyncio.Future[None] | None = None  # and who waits for that

    async def receive(self) -> bool:
        """Read once and take it in; False at the end of the stream."""
        count = await self.loop.sock_recv_into(self.sock, self.buffer)
        self.last_activity = time.monotonic()
        if count:
            self.framer.feed(self.buffer[:count])
        return count > 0

    async def send(self, data: bytes | bytearray | memoryview) -> None:
        """Write all of it.

        Guards what counts as sent: a cancel can strike only while the kernel has not taken the last byte.
        """
        view = memoryview(data)
        self.unsent = len(view)
        while self.unsent:
            self.unsent -= self.push(view[len(view) - self.unsent :])
            if self.unsent:
                await self._writable()
        self.last_activity = time.monotonic()

    def push(self, data: bytes | bytearray | memoryview) -> int:
        """Write what the kernel takes now, without waiting; the count of bytes that it took."""
        try:
            count = self.sock.send(data)
        except (BlockingIOError, InterruptedError):
            return 0
        self.bytes_sent += count
        return count

    async def _writable(self) -> None:
        """Wait until the kernel takes more."""
        ready = self.write_waiter = self.loop.create_future()
        self.loop.add_writer(self.sock, _resolve, ready)
        try:
            await ready
        finally:
            self._unblock()

    def _unblock(self) -> None:
        """Look no more whether the kernel takes more; who still waits for that is cancelled."""
        blocked, self.write_waiter = self.write_waiter, None
        if blocked is not None:
            self.loop.remove_writer(self.sock)
            blocked.cancel()

    def grow_buffer(self) -> None:
        """Read more at once from now on: a large body passes through."""
        if len(self.buffer) < BULK:
            self.buffer = memoryview(bytearray(BULK))

    def shrink_buffer(self) -> None:
        """Read as usual again."""
        if len(self.buffer) > CHUNK:
            self.buffer = memoryview(bytearray(CHUNK))

    async def read(self) -> int | None:
        """Wait, then read into `buffer`: the bytes, 0 at the end, None where nothing came; raises OSError.

        Guards the step between a read and what is done with it: what is not here yet lies in the socket, and
        `peek` tells of it, up to the very step in which it is returned.
        """
        self.read_waiter = self.loop.create_future()
        if not self.reading:
            self.reading = True
            self.loop.add_reader(self.sock, self._readable)
        await self.read_waiter  # also where there is more: others have their turn first
        try:
            count = self.sock.recv_into(self.buffer)
        except BlockingIOError:
            return None
        self.last_activity = time.monotonic()
        return count

    def wake(self) -> None:
        """Let `read` return at once, with nothing if nothing came."""
        if self.read_waiter is not None and not self.read_waiter.done():
            self.read_waiter.set_result(None)

    def _readable(self) -> None:
        """Something lies there: wake who waits for it; if no one does, it is not watched for now."""
        waiter, self.read_waiter = self.read_waiter, None
        if waiter is None or waiter.done():
            self._unwatch()
        else:
            waiter.set_result(None)

    def _unwatch(self) -> None:
        if self.reading:
            self.reading = False
            self.loop.remove_reader(self.sock)

    def peek(self) -> bool | None:
        """What lies unread: True for bytes, False for the other side's end or its reset, None for nothing."""
        try:
            return bool(self.sock.recv(1, socket.MSG_PEEK))
        except BlockingIOError:
            return None
        except OSError:
            return False

    def stale(self) -> bool:
        """Whether the other side has closed this idle connection or said something unasked."""
        return self.peek() is not None

    def close(self) -> None:
        """Close the socket; no read may be waiting on it, and a write that waits is cancelled."""
        self._unwatch()
        self._unblock()
        self.sock.close()


def _resolve(future: asyncio.Future[None]) -> None:
    """Wake whoever waits for a future, unless that is done."""
    if not future.done():
        future.set_result(None)


def write_request(
    method: bytes, target: bytes, headers: Headers, length: int = 0, chunked: bool = False
) -> bytes:
    """A request's start line and headers."""
    lines = [b"%b %b HTTP/1.1" % (method, target)]
    lines += [b"%b: %b" % header for header in headers]
    if chunked:
        lines.append(b"transfer-encoding: chunked")
    elif length or method in (b"PUT", b"POST"):
        lines.append(b"content-length: %d" % length)
    return b"\r\n".join(lines) + b"\r\n\r\n"


def in_chunks(request: Message, length: int | None) -> bool:
    """Whether the body of the answer to a request goes out in chunks: if no length is known before its end.

    A client of HTTP/1.0 knows none (RFC 9112 section 7.1): the end of the connection ends its body.
    """
    if length is None and request.version == "1.0":
        request.until_close, request.keep_alive = True, False
    return length is None and not request.until_close


def write_head(status: int, headers: Headers, length: int | None, close: bool, chunked: bool = True) -> bytes:
    """An answer's start line and headers; a body without a length comes in chunks, or ends with the close."""
    lines = [b"HTTP/1.1 %d %b" % (status, REASONS.get(status, "Unknown").encode())]
    lines += [b"%b: %b" % header for header in headers]
    if length is not None:
        lines.append(b"content-length: %d" % length)
    elif chunked and status not in (204, 304):
        lines.append(b"transfer-encoding: chunked")
    if close:
        lines.append(b"connection: close")
    return b"\r\n".join(lines) + b"\r\n\r\n"
