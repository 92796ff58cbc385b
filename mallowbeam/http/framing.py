"""HTTP/1.1 framing on a non-blocking socket: httptools parses, this module enforces limits and writes.

Every buffer is limited: a message that exceeds a limit raises `MessageError` with the matching status.
"""

from __future__ import annotations

import asyncio
import fcntl
import re
import socket
import termios
import time
from array import array
from collections import deque
from contextlib import suppress
from http import HTTPStatus

import httptools

from mallowbeam.errors import MallowbeamError
from mallowbeam.http.budget import BodyBudget, BudgetReservation
from mallowbeam.http.stream import Stream

READ_BUFFER_BYTES = 16 * 1024  # per read: what a connection may buffer besides its messages
LARGE_READ_BUFFER_BYTES = 32 * 1024  # per read while a large body is streamed
MAX_HEAD_BYTES = 16 * 1024  # start line and headers
MAX_BUFFERED_BODY_BYTES = 64 * 1024  # unless the front sets another limit
MAX_FRAMING_BYTES = MAX_HEAD_BYTES  # without a complete head, body data or message end, as in trailers
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
TOKEN = re.compile(rb"[\x21-\x7e]{1,256}\Z")  # allowed form of a key that is forwarded to a node
ABSOLUTE_TARGET_PREFIX = re.compile(rb"\Ahttps?://[^/?#]*", re.IGNORECASE)
REASON_PHRASES = {status.value: status.phrase for status in HTTPStatus}

Headers = list[tuple[bytes, bytes]]


class MessageError(MallowbeamError):
    """A received message is malformed or exceeds a limit; `status` is the server's response to it."""

    error_name = "BadMessage"
    remedy = "correct the client or the node that sent it"

    def __init__(self, status: int, text: str) -> None:
        super().__init__(text)
        self.status = status


class Message:
    """A request or a response."""

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
        self.body = bytearray()  # the part of the body that is buffered
        self.length: int | None = None  # the Content-Length, if stated
        self.received = 0  # body bytes received so far
        self.stream: Stream | None = None  # destination of the body if it is streamed, not buffered
        self.keep_alive, self.complete, self.version = True, False, "1.1"
        self.completed_at = 0.0  # when its last byte was read, by the monotonic clock
        self.until_close = False  # the connection's end marks the body's end (for a request: its response's)

    def get(self, name: bytes) -> bytes | None:
        """Return the value of the first header of that name."""
        for known, value in self.headers:
            if known == name:
                return value
        return None

    def take(self) -> bytearray:
        """Remove and return the body bytes received so far."""
        body, self.body = self.body, bytearray()
        return body


class Framer:
    """Parses bytes into messages, within limits."""

    _current: Message  # the message that the parser's callbacks fill; `incoming` until it is complete

    def __init__(
        self,
        answers: bool,
        max_body: int = MAX_BUFFERED_BODY_BYTES,
        budget: BodyBudget | None = None,
        max_head: int = MAX_HEAD_BYTES,
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
        self.ready: deque[Message] = deque()  # complete messages
        self.incoming: Message | None = None  # the message being received
        self.in_head, self.pending_bytes = False, 0
        self.bodiless = False  # the next response answers a HEAD request
        self.read_at = 0.0  # when the bytes being parsed were read
        self.error: MessageError | None = None  # set once the input after the messages in `ready` is unusable

    def feed(self, data: memoryview) -> None:
        """Parse bytes; malformed or oversized input sets `error`, and messages completed before it stay."""
        if self.error is not None:
            return
        self.pending_bytes += len(data)
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            self.error = MessageError(400, "upgrade is not offered")
        except httptools.HttpParserError as error:
            self.error = self.error or MessageError(400, f"malformed message: {error}")
        # The parser would buffer an endless header or trailer without limit.
        if self.pending_bytes > max(MAX_FRAMING_BYTES, self.max_head):
            self.error = self.error or MessageError(431, "header too large")

    def set_limits(self, max_body: int, max_head: int) -> None:
        """Change the limits; the message being received keeps the old ones where they are larger."""
        if self.incoming is not None:
            max_body, max_head = max(max_body, self.max_body), max(max_head, self.max_head)
        self.max_body, self.max_head = max_body, max_head

    @property
    def empty(self) -> bool:
        """Whether no message is being received and none is ready."""
        return self.incoming is None and not self.ready

    def incoming_body_exceeds(self, limit: int) -> bool:
        """Whether the request being received has a body larger than `limit` bytes."""
        message = self.incoming
        return (
            self.error is None
            and message is not None
            and not self.in_head
            and max(message.length or 0, message.received) > limit
        )

    def wants_continue(self) -> bool:
        """Whether the client waits for `100 Continue` before its body; true only once for each request."""
        message = self.incoming
        if message is None or self.in_head or message.body or message.version == "1.0":  # HTTP/1.0 has no 1xx
            return False
        if (message.get(b"expect") or b"").lower() != b"100-continue":
            return False
        message.headers = [header for header in message.headers if header[0] != b"expect"]
        return True

    def _fail(self, status: int, text: str) -> None:
        self.error = MessageError(status, text)
        raise self.error

    def on_message_begin(self) -> None:  # noqa: D102 (callback names of httptools)
        self.incoming = self._current = Message()
        self.in_head = True

    def on_url(self, url: bytes) -> None:  # noqa: D102
        self._current.target += url

    def on_header(self, name: bytes, value: bytes) -> None:  # noqa: D102
        if self.in_head:  # trailers are parsed and discarded
            # Whitespace around a value is not part of it (RFC 9110 section 5.5); the parser leaves some.
            self._current.headers.append((name.lower(), value.strip(b" \t")))

    def on_headers_complete(self) -> None:  # noqa: D102
        message, self.in_head, self.pending_bytes = self._current, False, 0
        if (
            sum(len(name) + len(value) for name, value in message.headers) + len(message.target)
            > self.max_head
        ):
            self._fail(431, "header too large")
        length = message.get(b"content-length")
        if length is not None and not length.isdigit():
            self._fail(400, "content-length is no number")
        message.length = None if length is None else int(length)
        # Responses are limited by what is buffered of them: a streamed one may be of any length.
        if message.length is not None and message.length > self.max_body and not self.answers:
            self._fail(413, "body too large")
        # Rejects a body whose end can't be determined, or that would change once its coding is removed
        # (RFC 9112 section 6.1).
        if (message.get(b"transfer-encoding") or b"chunked").strip().lower() != b"chunked":
            self._fail(400, "unknown transfer coding")
        if (parser := self._response_parser) is not None:
            message.status = parser.get_status_code()
            message.until_close = (
                length is None
                and message.get(b"transfer-encoding") is None
                and message.status not in (204, 304)
                and not self.bodiless
            )
        elif (request_parser := self._request_parser) is not None:
            message.method, message.version = request_parser.get_method(), request_parser.get_http_version()
            if request_parser.should_upgrade():
                self._fail(400, "upgrade is not offered")
            # An absolute target (RFC 9112 section 3.2.2) repeats the host; only the path after it is used.
            message.target = ABSOLUTE_TARGET_PREFIX.sub(b"", message.target) or b"/"
        message.keep_alive = self.parser.should_keep_alive()
        if refusal := self.reservation.expect(message, message.length or 0):
            self._fail(503, refusal)

    def on_body(self, body: bytes) -> None:  # noqa: D102
        message = self._current
        message.body += body
        message.received += len(body)
        self.pending_bytes = 0
        if (len(message.body) if self.answers else message.received) > self.max_body:
            self._fail(413, "body too large")
        if refusal := self.reservation.charge(message, message.received, len(body)):
            self._fail(503, refusal)

    def release(self) -> None:
        """Release the budget charged for bodies, once they are answered or their connection has closed."""
        self.reservation.release()

    def on_message_complete(self) -> None:  # noqa: D102
        message = self._current
        message.complete, self.pending_bytes, message.completed_at = True, 0, self.read_at
        if message.stream is None:  # a streamed request is already being answered
            self.ready.append(message)
        self.incoming = None
        del self._current  # frees the body once the request is answered


class Channel:
    """A connected socket and the framer that parses its input."""

    def __init__(self, sock: socket.socket, framer: Framer) -> None:
        sock.setblocking(False)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.sock, self.framer = sock, framer
        self.loop = asyncio.get_running_loop()
        self.buffer = memoryview(bytearray(READ_BUFFER_BYTES))
        self.last_activity = time.monotonic()  # when bytes were last read or written
        self.unsent = 0  # bytes of the last write that the kernel has not accepted yet
        self.bytes_sent = 0  # bytes that the kernel has accepted since the connection opened
        self.write_waiter: asyncio.Future[None] | None = None  # pending while a write is blocked
        self.reading = False  # whether the loop watches the socket for input
        self.read_waiter: asyncio.Future[None] | None = None  # pending while `wait_for_input` waits

    async def receive(self) -> bool:
        """Wait for input, read once and parse the bytes; False at the end of the stream.

        Bytes stay in the socket until the loop step that parses them, so a caller may cancel this and read on
        later.  (A cancelled `loop.sock_recv_into` may have taken bytes from the socket.)

        Raises:
            OSError: The connection was reset.
        """
        while (count := await self.read()) is None:
            pass
        if count:
            self.framer.feed(self.buffer[:count])
        return count > 0

    async def send(self, data: bytes | bytearray | memoryview) -> None:
        """Write all of the data.

        Cancellation is possible only while the kernel has not accepted the last byte, so that the count of
        sent bytes stays exact.
        """
        view = memoryview(data)
        self.unsent = len(view)
        while self.unsent:
            self.unsent -= self.push(view[len(view) - self.unsent :])
            if self.unsent:
                await self._writable()
        self.last_activity = time.monotonic()

    def push(self, data: bytes | bytearray | memoryview) -> int:
        """Write without waiting; return the number of bytes that the kernel accepted."""
        try:
            count = self.sock.send(data)
        except (BlockingIOError, InterruptedError):
            return 0
        self.bytes_sent += count
        return count

    async def _writable(self) -> None:
        """Wait until the socket is writable."""
        ready = self.write_waiter = self.loop.create_future()
        self.loop.add_writer(self.sock, _resolve, ready)
        try:
            await ready
        finally:
            self._unblock()

    def _unblock(self) -> None:
        """Stop watching for writability; a write that still waits for it is cancelled."""
        blocked, self.write_waiter = self.write_waiter, None
        if blocked is not None:
            self.loop.remove_writer(self.sock)
            blocked.cancel()

    def grow_buffer(self) -> None:
        """Use the larger read buffer, while a large body is streamed."""
        if len(self.buffer) < LARGE_READ_BUFFER_BYTES:
            self.buffer = memoryview(bytearray(LARGE_READ_BUFFER_BYTES))

    def shrink_buffer(self) -> None:
        """Return to the usual read buffer."""
        if len(self.buffer) > READ_BUFFER_BYTES:
            self.buffer = memoryview(bytearray(READ_BUFFER_BYTES))

    async def read(self) -> int | None:
        """Wait for input, then read it into `buffer`.

        Bytes stay in the socket, where `peek` sees them, until the loop step in which this method returns
        them: there is no moment at which bytes are read but not yet processed.

        Returns:
            The number of bytes, 0 at the end of the stream, None if nothing came (see `wake`).

        Raises:
            OSError: The connection was reset.
        """
        await self.wait_for_input()
        return self.read_available()

    async def wait_for_input(self) -> None:
        """Wait for input or the end of the stream, which stay in the socket, or for `wake`."""
        self.read_waiter = self.loop.create_future()
        if not self.reading:
            self.reading = True
            self.loop.add_reader(self.sock, self._readable)
        await self.read_waiter  # even if input is pending: other tasks run first

    def read_available(self, limit: int = 0) -> int | None:
        """Read into `buffer` without waiting, at most `limit` bytes unless that is 0.

        The result and the errors are those of `read`.
        """
        try:
            count = self.sock.recv_into(self.buffer, limit)
        except BlockingIOError:
            return None
        self.last_activity = time.monotonic()
        return count

    def unread_bytes(self) -> int:
        """Return how many bytes are unread; 0 if that can't be told."""
        count = array("i", [0])
        with suppress(OSError):
            fcntl.ioctl(self.sock, termios.FIONREAD, count)
        return count[0]

    def peek_available(self) -> memoryview:
        """Return a copy of the unread bytes, as many as `buffer` holds; they stay in the socket.

        Empty if there are none, at the end of the stream and after a reset.
        """
        try:
            return self.buffer[: self.sock.recv_into(self.buffer, 0, socket.MSG_PEEK)]
        except OSError:
            return self.buffer[:0]

    def wake(self) -> None:
        """Make `wait_for_input` return at once, and `read` with None if there is no input."""
        if self.read_waiter is not None and not self.read_waiter.done():
            self.read_waiter.set_result(None)

    def _readable(self) -> None:
        """Wake the waiting `read` on input; if none waits, stop watching the socket for now."""
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
        """Check for unread input: True for bytes, False for the peer's end or reset, None for nothing."""
        try:
            return bool(self.sock.recv(1, socket.MSG_PEEK))
        except BlockingIOError:
            return None
        except OSError:
            return False

    def stale(self) -> bool:
        """Whether the peer has closed this idle connection or sent unsolicited bytes."""
        return self.peek() is not None

    def close(self) -> None:
        """Close the socket and cancel a waiting write; a read may only wait if it has been cancelled."""
        self._unwatch()
        self._unblock()
        self.sock.close()


def _resolve(future: asyncio.Future[None]) -> None:
    """Resolve a future, unless it is done."""
    if not future.done():
        future.set_result(None)


def write_request(
    method: bytes, target: bytes, headers: Headers, length: int = 0, chunked: bool = False
) -> bytes:
    """Format a request's start line and headers."""
    lines = [b"%b %b HTTP/1.1" % (method, target)]
    lines += [b"%b: %b" % header for header in headers]
    if chunked:
        lines.append(b"transfer-encoding: chunked")
    elif length or method in (b"PUT", b"POST"):
        lines.append(b"content-length: %d" % length)
    return b"\r\n".join(lines) + b"\r\n\r\n"


def use_chunked_encoding(request: Message, length: int | None) -> bool:
    """Whether the response to a request uses chunked encoding: if its body's length is not known in advance.

    HTTP/1.0 clients don't support chunks (RFC 9112 section 7.1): the end of the connection ends the body, and
    the request is marked `until_close`.
    """
    if length is None and request.version == "1.0":
        request.until_close, request.keep_alive = True, False
    return length is None and not request.until_close


def write_head(status: int, headers: Headers, length: int | None, close: bool, chunked: bool = True) -> bytes:
    """Format a response's start line and headers; a body without a length is chunked or ends at the close."""
    lines = [b"HTTP/1.1 %d %b" % (status, REASON_PHRASES.get(status, "Unknown").encode())]
    lines += [b"%b: %b" % header for header in headers]
    if length is not None:
        lines.append(b"content-length: %d" % length)
    elif chunked and status not in (204, 304):
        lines.append(b"transfer-encoding: chunked")
    if close:
        lines.append(b"connection: close")
    return b"\r\n".join(lines) + b"\r\n\r\n"
