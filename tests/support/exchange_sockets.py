"""A stand-in instance's end of a connection, and the gateway's socket to it; no kernel, no waits.

The socket behaves as Linux does: what came is read before a reset is told, and a reset is told once. The
instance keeps account of each byte, and tells its owner of what a gateway must never do.
"""

from __future__ import annotations

import errno
import socket
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Protocol

from simulated import Jumping

ANSWER_BYTES = 64  # of a body
HEAD_END = b"\r\n\r\n"
WIDE = 1 << 30  # bytes of a window that is never full


@dataclass(frozen=True)
class Form:
    """How an instance frames its answers."""

    until_close: bool = False  # no length: the end is the connection's
    streams: bool = False
    reads_prompts: bool = False  # it answers with a handle, without a signature


class Judge(Protocol):
    """Is told of requests that arrive, and of what a gateway must never do."""

    def arrived(self, line: Line, arrival: Arrival) -> None:
        """A request's head has come."""

    def violate(self, text: str) -> None:
        """The first word names the rule."""


@dataclass
class Arrival:
    """A request of which at least one byte came."""

    id: bytes  # empty: a call that names no request
    length: int
    kv_from: bytes = b""  # the handle that it names
    body: bytearray = field(default_factory=bytearray)
    sent: int = 0  # bytes of its answer,
    body_sent: int = 0  # and of that answer's body
    answered: bool = False  # whole
    rejected: bool = False  # the answer says that it was not run

    @property
    def whole(self) -> bool:
        """Whether its last byte has come."""
        return len(self.body) == self.length


class Line:
    """The instance's end of a connection."""

    def __init__(self, judge: Judge, instance: str, window: int, form: Form) -> None:
        self.judge, self.instance, self.form = judge, instance, form
        self.sock = StandInSocket(self, window)
        self.arrivals: list[Arrival] = []
        self.head = bytearray()
        self.surplus = self.over = False  # bytes went out that are no answer due; the end or a reset did

    def received(self, data: bytes) -> None:
        """Bytes of the gateway: the rest of a body that is due, or a new request's."""
        if self.arrivals and not self.arrivals[-1].whole and not self.head:
            data = self._body(self.arrivals[-1], data)
        if data and not self.head:
            self._begins()
        self.head += data
        if HEAD_END in self.head:
            head, _, rest = bytes(self.head).partition(HEAD_END)
            self.head.clear()
            self.arrivals.append(read_head(head))
            self.judge.arrived(self, self.arrivals[-1])
            if rest:
                self.received(rest)

    def _begins(self) -> None:
        """A request's first byte has come."""
        if self.over:
            self.judge.violate("ENDED: a request goes out on a connection that has ended")
        if self.surplus:
            self.judge.violate("SURPLUS: a request goes out behind bytes that nobody asked for")
        if any(not one.answered for one in self.arrivals):
            self.judge.violate("OWED: a request goes out on a connection with an answer owed")

    def _body(self, arrival: Arrival, data: bytes) -> bytes:
        """Take a body's bytes in; what is left of them."""
        due = arrival.length - len(arrival.body)
        arrival.body += data[:due]
        if arrival.body.strip(arrival.id[-1:]):
            self.judge.violate("UNASKED: other bytes stand where the rest of a body is due")
        return data[due:]

    @property
    def open_arrival(self) -> Arrival | None:
        """The oldest request without its whole answer."""
        return next((one for one in self.arrivals if not one.answered), None)

    def answer(self, share: float = 1.0) -> None:
        """Send the due answer, or a first part of it."""
        arrival = self.open_arrival
        assert arrival is not None
        whole = self._bytes(arrival)
        upto = int(len(whole) * share)
        self.sock.arrive(whole[arrival.sent : upto])
        arrival.sent = upto
        arrival.body_sent = len(whole[:upto].partition(HEAD_END)[2])
        arrival.answered = upto == len(whole) and not self.form.until_close

    def reject(self) -> None:
        """Refuse the due request."""
        arrival = self.open_arrival
        assert arrival is not None
        arrival.answered = arrival.rejected = True
        self.sock.arrive(
            b"HTTP/1.1 503 Service Unavailable\r\n%bNot-Executed: 1\r\nContent-Length: 0\r\n\r\n"
            % name_line(arrival.id)
        )

    def repeat(self, named: bool = True) -> None:
        """Send the first request's answer once more, perhaps without its name."""
        self.surplus = True
        first = self.arrivals[0]
        again = self._bytes(first, may_end=False)
        self.sock.arrive(again if named else again.replace(name_line(first.id), b""))

    @property
    def may_repeat(self) -> bool:
        """Whether the first request had an answer that can come once more."""
        return bool(self.arrivals) and self.arrivals[0].answered and not self.arrivals[0].rejected

    def sent_whole(self, arrival: Arrival) -> bool:
        """Whether all bytes of an answer are out; one without length still needs the connection's end."""
        return arrival.sent == len(self._bytes(arrival))

    def noise(self) -> None:
        """Send what is no answer."""
        self.surplus = True
        self.sock.arrive(b"\x16\x03\x01 no answer\r\n")

    def end(self) -> None:
        """End the connection in order: an answer without length is whole by it, unless a stream is cut."""
        arrival = self.open_arrival
        if arrival is not None and self.form.until_close:
            arrival.answered = self.sent_whole(arrival) or not self.form.streams and arrival.sent > 0
        self.over = True
        self.sock.finish()

    def reset(self) -> None:
        """Reset the connection."""
        self.over = True
        self.sock.break_off()

    def _bytes(self, arrival: Arrival, may_end: bool = True) -> bytes:
        body = self._body_for(arrival)
        length = b"" if self.form.until_close and may_end else b"Content-Length: %d\r\n" % len(body)
        kind = b"Content-Type: text/event-stream\r\n" if self.form.streams else b""
        signature = b"" if self.form.reads_prompts else b"Server-Signature: s\r\n"
        return b"HTTP/1.1 200 OK\r\nKeep-Alive: timeout=30\r\n%b%b%b%b\r\n%b" % (
            name_line(arrival.id),
            signature,
            kind,
            length,
            body,
        )

    def _body_for(self, arrival: Arrival) -> bytes:
        if not self.form.reads_prompts:
            return answer_body(arrival.id)
        return b'{"kv_handle":"%b"}' % handle_of(arrival.id) if arrival.id else b""


class StandInSocket:
    """The gateway's end of a connection, as the kernel offers it."""

    def __init__(self, line: Line, window: int) -> None:
        self.line, self.window = line, window
        self.coming = bytearray()
        self.finished = self.broken = self.closed = False
        self.error = False  # a reset that nobody has been told of
        self.readable: Callable[[], None] | None = None
        self.writable: Callable[[], None] | None = None

    def setblocking(self, flag: bool) -> None:
        """As a socket's."""

    def setsockopt(self, *_: object) -> None:
        """As a socket's."""

    def send(self, data: bytes | bytearray | memoryview) -> int:
        """Take what the window has room for."""
        self._check()
        if self.broken:
            raise BrokenPipeError(errno.EPIPE, "broken")
        if not self.window:
            raise BlockingIOError
        count = min(self.window, len(data))
        self.window -= count
        self.line.received(bytes(data[:count]))
        return count

    def recv(self, count: int, flags: int = 0) -> bytes:
        """What came, then a reset, once, then the end."""
        if self.coming:
            data = bytes(self.coming[:count])
            if not flags & socket.MSG_PEEK:
                del self.coming[:count]
            return data
        self._check()
        if self.finished or self.broken:
            return b""
        raise BlockingIOError

    def close(self) -> None:
        """As a socket's."""
        self.closed = True

    def arrive(self, data: bytes) -> None:
        """Bytes of the instance."""
        self.coming += data
        self._tell()

    def finish(self) -> None:
        """The instance's end."""
        self.finished = True
        self._tell()

    def break_off(self) -> None:
        """The instance's reset."""
        self.broken = self.error = True
        self._tell()

    def open_window(self) -> None:
        """The instance reads on."""
        self.window = WIDE
        if self.writable is not None:
            self.writable()

    def _check(self) -> None:
        if self.closed:
            raise OSError(errno.EBADF, "closed")
        if self.error:
            self.error = False
            raise ConnectionResetError(errno.ECONNRESET, "reset")

    def _tell(self) -> None:
        readable, self.readable = self.readable, None
        if readable is not None:
            readable()
        if self.writable is not None and (self.window or self.broken):
            self.writable()


class ModelLoop(Jumping):
    """A loop on whose stand-in sockets `Channel` works as on real ones."""

    async def sock_recv_into(self, sock: StandInSocket, buffer: memoryview) -> int:  # type: ignore[override]
        """Wait for input and read it, in one step once it is there."""
        while True:
            try:
                data = sock.recv(len(buffer))
            except BlockingIOError:
                ready = self.create_future()
                sock.readable = lambda ready=ready: ready.done() or ready.set_result(None)
                await ready
                continue
            buffer[: len(data)] = data
            return len(data)

    def add_writer(
        self,
        sock: StandInSocket,
        callback: Callable[..., object],  # type: ignore[override]
        *args: object,
    ) -> None:
        """Call back once the window is open."""
        sock.writable = lambda: callback(*args)

    def remove_writer(self, sock: StandInSocket) -> bool:  # type: ignore[override]
        """Call back no more."""
        if sock.closed:
            raise ValueError("a closed socket is watched")
        sock.writable = None
        return True


def read_head(head: bytes) -> Arrival:
    """A request by its head."""
    fields = dict(line.lower().split(b": ", 1) for line in head.split(b"\r\n")[1:])
    return Arrival(
        fields.get(b"request-id", b""), int(fields.get(b"content-length", b"0")), fields.get(b"kv-from", b"")
    )


def name_line(id: bytes) -> bytes:
    """The header that names a request, if there is one."""
    return b"Request-Id: %b\r\n" % id if id else b""


def handle_of(id: bytes) -> bytes:
    """The handle that a prompt's reading leaves."""
    return b"handle" + id


def answer_body(id: bytes) -> bytes:
    """The one right answer to a request."""
    return b"id: 1\ndata: " + id.ljust(ANSWER_BYTES, b".") + b"\n\n"
