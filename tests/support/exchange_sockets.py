"""A simulated connection: the stand-in instance's end and the gateway's socket; no kernel, no waits.

The socket behaves as on Linux: received data is read before a reset is reported, and a reset is reported
once.  The instance tracks every byte and reports rule violations of the gateway to its owner.
"""

from __future__ import annotations

import errno
import socket
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Protocol

from simulated import Jumping

ANSWER_BYTES = 64  # size of an answer's body
HEAD_END = b"\r\n\r\n"
UNLIMITED_WINDOW_BYTES = 1 << 30  # size of a send window that never fills


@dataclass(frozen=True)
class AnswerFraming:
    """How an instance frames its answers."""

    until_close: bool = False  # no length: the answer ends with the connection
    streams: bool = False
    is_prefill: bool = False  # a prefill instance: answers with an unsigned KV handle


class Observer(Protocol):
    """Receives arriving requests and rule violations."""

    def arrived(self, connection: InstanceConnection, arrival: Arrival) -> None:
        """A request's head has arrived."""

    def report_violation(self, text: str) -> None:
        """Report a violation; the first word names the rule."""


@dataclass
class Arrival:
    """A request whose head has arrived."""

    id: bytes  # empty for a call without a request id
    length: int
    kv_from: bytes = b""  # the handle in its Kv-From header
    body: bytearray = field(default_factory=bytearray)
    sent: int = 0  # bytes sent of its answer
    body_sent: int = 0  # bytes sent of that answer's body
    answered: bool = False  # the answer was sent completely
    rejected: bool = False  # the answer says that the request was not run

    @property
    def complete(self) -> bool:
        """Whether the request has arrived completely."""
        return len(self.body) == self.length


class InstanceConnection:
    """The instance's end of a connection."""

    def __init__(self, observer: Observer, instance: str, window: int, answer_framing: AnswerFraming) -> None:
        self.observer, self.instance, self.answer_framing = observer, instance, answer_framing
        self.sock = StandInSocket(self, window)
        self.arrivals: list[Arrival] = []
        self.head = bytearray()
        self.sent_surplus = self.ended = False  # sent bytes that no request expects; sent an end or a reset

    def received(self, data: bytes) -> None:
        """Handle bytes of the gateway: the rest of a pending body or a new request."""
        if self.arrivals and not self.arrivals[-1].complete and not self.head:
            data = self._body(self.arrivals[-1], data)
        if data and not self.head:
            self._check_request_start()
        self.head += data
        if HEAD_END in self.head:
            head, _, rest = bytes(self.head).partition(HEAD_END)
            self.head.clear()
            self.arrivals.append(read_head(head))
            self.observer.arrived(self, self.arrivals[-1])
            if rest:
                self.received(rest)

    def _check_request_start(self) -> None:
        """Check the rules when the first byte of a request arrives."""
        if self.ended:
            self.observer.report_violation("ENDED: a request was sent on a connection that has ended")
        if self.sent_surplus:
            self.observer.report_violation("SURPLUS: a request was sent on a connection with surplus data")
        if any(not one.answered for one in self.arrivals):
            self.observer.report_violation(
                "OWED: a request was sent on a connection with an outstanding answer"
            )

    def _body(self, arrival: Arrival, data: bytes) -> bytes:
        """Consume bytes of a body; return the bytes after it."""
        due = arrival.length - len(arrival.body)
        arrival.body += data[:due]
        if arrival.body.strip(arrival.id[-1:]):
            self.observer.report_violation("UNASKED: unexpected bytes instead of the rest of a body")
        return data[due:]

    @property
    def pending_arrival(self) -> Arrival | None:
        """The oldest request that is not completely answered."""
        return next((one for one in self.arrivals if not one.answered), None)

    def answer(self, fraction: float = 1.0) -> None:
        """Send the pending answer up to a fraction of its bytes."""
        arrival = self.pending_arrival
        assert arrival is not None
        encoded = self._bytes(arrival)
        sent_until = int(len(encoded) * fraction)
        self.sock.receive(encoded[arrival.sent : sent_until])
        arrival.sent = sent_until
        arrival.body_sent = len(encoded[:sent_until].partition(HEAD_END)[2])
        arrival.answered = sent_until == len(encoded) and not self.answer_framing.until_close

    def reject(self) -> None:
        """Reject the pending request."""
        arrival = self.pending_arrival
        assert arrival is not None
        arrival.answered = arrival.rejected = True
        self.sock.receive(
            b"HTTP/1.1 503 Service Unavailable\r\n%bNot-Executed: 1\r\nContent-Length: 0\r\n\r\n"
            % request_id_line(arrival.id)
        )

    def repeat(self, named: bool = True) -> None:
        """Send the first request's answer again, without its request id if not `named`."""
        self.sent_surplus = True
        first = self.arrivals[0]
        again = self._bytes(first, may_end=False)
        self.sock.receive(again if named else again.replace(request_id_line(first.id), b""))

    @property
    def can_repeat(self) -> bool:
        """Whether the first request has an answer that can be repeated."""
        return bool(self.arrivals) and self.arrivals[0].answered and not self.arrivals[0].rejected

    def sent_completely(self, arrival: Arrival) -> bool:
        """Whether all bytes of an answer were sent; without a length, it still needs the connection's end."""
        return arrival.sent == len(self._bytes(arrival))

    def noise(self) -> None:
        """Send bytes that are not an HTTP answer."""
        self.sent_surplus = True
        self.sock.receive(b"\x16\x03\x01 no answer\r\n")

    def end(self) -> None:
        """Close the connection in order, which completes an answer without a length if no stream is cut."""
        arrival = self.pending_arrival
        if arrival is not None and self.answer_framing.until_close:
            arrival.answered = (
                self.sent_completely(arrival) or not self.answer_framing.streams and arrival.sent > 0
            )
        self.ended = True
        self.sock.receive_end()

    def reset(self) -> None:
        """Reset the connection."""
        self.ended = True
        self.sock.receive_reset()

    def _bytes(self, arrival: Arrival, may_end: bool = True) -> bytes:
        body = self._body_for(arrival)
        length = b"" if self.answer_framing.until_close and may_end else b"Content-Length: %d\r\n" % len(body)
        kind = b"Content-Type: text/event-stream\r\n" if self.answer_framing.streams else b""
        signature = b"" if self.answer_framing.is_prefill else b"Server-Signature: s\r\n"
        return b"HTTP/1.1 200 OK\r\nKeep-Alive: timeout=30\r\n%b%b%b%b\r\n%b" % (
            request_id_line(arrival.id),
            signature,
            kind,
            length,
            body,
        )

    def _body_for(self, arrival: Arrival) -> bytes:
        if not self.answer_framing.is_prefill:
            return answer_body(arrival.id)
        return b'{"kv_handle":"%b"}' % handle_of(arrival.id) if arrival.id else b""


class StandInSocket:
    """The gateway's end of a connection, with the interface of a kernel socket."""

    def __init__(self, connection: InstanceConnection, window: int) -> None:
        self.connection, self.window = connection, window
        self.received_data = bytearray()
        self.end_received = self.reset_received = self.closed = False
        self.reset_unreported = False  # a reset that was not reported yet
        self.readable: Callable[[], None] | None = None
        self.writable: Callable[[], None] | None = None

    def setblocking(self, flag: bool) -> None:
        """Do nothing."""

    def setsockopt(self, *_: object) -> None:
        """Do nothing."""

    def send(self, data: bytes | bytearray | memoryview) -> int:
        """Accept as many bytes as the send window allows."""
        self._check()
        if self.reset_received:
            raise BrokenPipeError(errno.EPIPE, "broken")
        if not self.window:
            raise BlockingIOError
        count = min(self.window, len(data))
        self.window -= count
        self.connection.received(bytes(data[:count]))
        return count

    def recv(self, count: int, flags: int = 0) -> bytes:
        """Return received data, then report a reset once, then return the end of the stream."""
        if self.received_data:
            data = bytes(self.received_data[:count])
            if not flags & socket.MSG_PEEK:
                del self.received_data[:count]
            return data
        self._check()
        if self.end_received or self.reset_received:
            return b""
        raise BlockingIOError

    def recv_into(self, buffer: memoryview, count: int = 0, flags: int = 0) -> int:
        """Like `recv`, into a buffer; a count of 0 means its size."""
        data = self.recv(count or len(buffer), flags)
        buffer[: len(data)] = data
        return len(data)

    def close(self) -> None:
        """Close the socket."""
        self.closed = True

    def receive(self, data: bytes) -> None:
        """Receive bytes from the instance."""
        self.received_data += data
        self._notify()

    def receive_end(self) -> None:
        """Receive an orderly end from the instance."""
        self.end_received = True
        self._notify()

    def receive_reset(self) -> None:
        """Receive a reset from the instance."""
        self.reset_received = self.reset_unreported = True
        self._notify()

    def open_window(self) -> None:
        """Open the send window: the instance reads on."""
        self.window = UNLIMITED_WINDOW_BYTES
        if self.writable is not None:
            self.writable()

    def _check(self) -> None:
        if self.closed:
            raise OSError(errno.EBADF, "closed")
        if self.reset_unreported:
            self.reset_unreported = False
            raise ConnectionResetError(errno.ECONNRESET, "reset")

    @property
    def has_input(self) -> bool:
        """Whether a read would not block."""
        return bool(self.received_data) or self.end_received or self.reset_received

    def notify_reader(self) -> None:
        """Call back whoever waits for input."""
        if self.readable is not None:
            self.readable()

    def _notify(self) -> None:
        self.notify_reader()
        if self.writable is not None and (self.window or self.reset_received):
            self.writable()


class ModelLoop(Jumping):
    """An event loop on which `Channel` works with stand-in sockets."""

    def add_reader(
        self,
        sock: StandInSocket,
        callback: Callable[..., object],  # type: ignore[override]
        *args: object,
    ) -> None:
        """Call back whenever input arrives, and in the next step if there is some."""
        sock.readable = lambda: callback(*args)
        if sock.has_input:
            self.call_soon(sock.notify_reader)

    def remove_reader(self, sock: StandInSocket) -> bool:  # type: ignore[override]
        """Remove the callback."""
        if sock.closed:
            raise ValueError("the closed socket still has a reader")
        sock.readable = None
        return True

    def add_writer(
        self,
        sock: StandInSocket,
        callback: Callable[..., object],  # type: ignore[override]
        *args: object,
    ) -> None:
        """Call back when the send window opens."""
        sock.writable = lambda: callback(*args)

    def remove_writer(self, sock: StandInSocket) -> bool:  # type: ignore[override]
        """Remove the callback."""
        if sock.closed:
            raise ValueError("the closed socket still has a writer")
        sock.writable = None
        return True


def read_head(head: bytes) -> Arrival:
    """Parse a request's head."""
    fields = dict(line.lower().split(b": ", 1) for line in head.split(b"\r\n")[1:])
    return Arrival(
        fields.get(b"request-id", b""), int(fields.get(b"content-length", b"0")), fields.get(b"kv-from", b"")
    )


def request_id_line(id: bytes) -> bytes:
    """Return the Request-Id header line, or nothing for an empty id."""
    return b"Request-Id: %b\r\n" % id if id else b""


def handle_of(id: bytes) -> bytes:
    """Return the KV handle that the prefill of a request creates."""
    return b"handle" + id


def answer_body(id: bytes) -> bytes:
    """Return the only correct answer body to a request."""
    return b"id: 1\ndata: " + id.ljust(ANSWER_BYTES, b".") + b"\n\n"
