"""Byte streams between simulated machines that fail the way TCP connections do.

Bytes arrive in order or not at all. Lost segments are retransmitted with exponential backoff; a connection
is lost when a segment stays unacknowledged for the user time-out or when keep-alive probes stay
unanswered. The kernel resets the connections of a process that ends; a machine that is off does not respond
and resets old connections once it is on again. A peer that does not read fills its receive window.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass

from mallowbeam.simulation.clock import Event
from mallowbeam.simulation.machine import End, Machine
from mallowbeam.simulation.network import Network

INITIAL_RETRANSMIT_DELAY_S = 0.2  # doubles with each retransmission, up to the maximum
MAX_RETRANSMIT_DELAY_S = 60.0
MIN_RETRANSMIT_DELAY_S = 0.001
WINDOW_BYTES = 64 * 1024  # receive window: bytes buffered for a process that does not read
SEGMENT_BYTES = 16 * 1024  # segment size on a path with limited bandwidth
DEFAULT_USER_TIMEOUT_S = 900.0


@dataclass(slots=True)
class _Segment:
    """Bytes in flight; `data` is None for the end of the stream."""

    number: int
    data: bytes | None
    queued_at: float
    arrives_at: float = 0.0  # arrival time of the last transmission at the peer; in the past if it was lost


@dataclass(slots=True)
class StreamOptions:
    """Socket options of one endpoint; times in seconds."""

    user_timeout: float = DEFAULT_USER_TIMEOUT_S
    keepalive_idle: float | None = None  # None: no probes
    keepalive_interval: float = 1.0
    keepalive_probes: int = 2


def _ignore(*_: object) -> None:
    """Default handler before a process attaches."""


@dataclass(slots=True)
class StreamHandlers:
    """Callbacks of the process that owns an endpoint, each run as one step."""

    received: Callable[[bytes], None] = _ignore
    ended: Callable[[], None] = _ignore  # the peer ended its stream
    lost: Callable[[OSError | None], None] = _ignore  # the last callback; the error is None after a close


class Endpoint:
    """One endpoint of a stream."""

    def __init__(self, network: Network, machine: Machine, port: int) -> None:
        self._network = network
        self.machine = machine
        self.port = port
        self._simulator = network.simulator
        self.peer: Endpoint | None = None
        self.options = StreamOptions()
        self.handlers = StreamHandlers()
        self.closed = False  # no longer sends or receives
        self._end_queued = False
        self._next_number, self._expected_number = 0, 0  # of the segments sent and received
        self._unacknowledged: deque[_Segment] = deque()
        self._out_of_order: dict[int, bytes | None] = {}  # received before earlier segments
        self._unread_bytes = 0  # bytes received but not read by the process
        self._window_was_full = False  # a segment was dropped because the window was full
        self._undelivered: deque[bytes | None] = deque()  # received in order while reading is paused
        self.reading = self._attached = False
        self._error: OSError | None = None
        self._last_received_at = self._simulator.now
        self._progress_at = 0.0  # time of the last acknowledgement
        self._retransmit_event: Event | None = None
        self._retransmit_delay = INITIAL_RETRANSMIT_DELAY_S
        self._keepalive_event: Event | None = None

    # ------------------------------------------------------------ interface of the process

    @property
    def address(self) -> tuple[str, int]:
        """IP address and port."""
        return self.machine.ip, self.port

    @property
    def unsent(self) -> int:
        """Number of bytes that the peer's kernel has not acknowledged."""
        return sum(len(segment.data) for segment in self._unacknowledged if segment.data is not None)

    def attach(self, handlers: StreamHandlers) -> None:
        """Attach the process's handlers and deliver the bytes received before."""
        self.handlers = handlers
        self._attached = True
        if self.closed:
            self._close_with(self._error)
        else:
            self.set_reading(True)

    def write(self, data: bytes) -> None:
        """Queue bytes to be sent."""
        if not data or self.closed or self._end_queued:
            return
        limited = self._network.path(self.machine.name, self._peer.machine.name).bandwidth > 0
        chunk_bytes = SEGMENT_BYTES if limited else len(data)
        for start in range(0, len(data), chunk_bytes):
            self._queue(data[start : start + chunk_bytes])

    def close(self) -> None:
        """Queue the end of the stream; `lost` is called once all segments are acknowledged."""
        if not self.closed and not self._end_queued:
            self._end_queued = True
            self._queue(None)

    def abort(self) -> None:
        """Reset the connection at once; queued bytes are dropped."""
        if self.closed:
            return
        self._close_with(None)
        self._reset_peer()

    def set_reading(self, reading: bool) -> None:
        """Resume or pause the delivery of received bytes."""
        self.reading = reading
        while self.reading and self._undelivered and not self.closed:
            self._deliver(self._undelivered.popleft())

    def start_keepalive(self) -> None:
        """Start keep-alive probes if the options enable them."""
        if self.options.keepalive_idle is not None and self._keepalive_event is None and not self.closed:
            self._keepalive_event = self._simulator.after(
                self.options.keepalive_idle, self._send_keepalive_probe
            )

    # ------------------------------------------------------------ sending

    def _queue(self, data: bytes | None) -> None:
        segment = _Segment(self._next_number, data, self._simulator.now)
        self._next_number += 1
        self._unacknowledged.append(segment)
        self._transmit(segment)
        if self._retransmit_event is None:
            self._schedule_retransmission()

    def _transmit(self, segment: _Segment) -> None:
        peer = self._peer
        path = self._network.path(self.machine.name, peer.machine.name)
        if self._passes_to(peer) and self._simulator.random.random() >= path.loss:
            delay = self._network.delay(self.machine.name, peer.machine.name, len(segment.data or b""))
            segment.arrives_at = self._simulator.now + delay
            self._simulator.after(delay, lambda: peer._arrive(segment))

    def _schedule_retransmission(self) -> None:
        self._retransmit_event = self._simulator.after(self._retransmit_delay, self._retransmit)

    def _retransmit(self) -> None:
        self._retransmit_event = None
        if self.closed or not self._unacknowledged:
            return
        unacknowledged_since = max(self._unacknowledged[0].queued_at, self._progress_at)
        if self._simulator.now - unacknowledged_since >= self.options.user_timeout:
            self._close_with(TimeoutError("connection timed out"))
            return
        self._retransmit_lost()
        self._retransmit_delay = min(2 * self._retransmit_delay, MAX_RETRANSMIT_DELAY_S)
        due = unacknowledged_since + self.options.user_timeout - self._simulator.now
        self._retransmit_event = self._simulator.after(
            min(self._retransmit_delay, max(due, MIN_RETRANSMIT_DELAY_S)), self._retransmit
        )

    def _retransmit_lost(self) -> None:
        """Retransmit segments that are neither acknowledged nor in flight."""
        for segment in self._unacknowledged:
            if segment.arrives_at <= self._simulator.now:
                self._transmit(segment)

    def _acknowledged(self, number: int) -> None:
        """Handle the acknowledgement of all segments up to a number."""
        if self.closed:
            return
        self._last_received_at = self._simulator.now
        ended = False
        while self._unacknowledged and self._unacknowledged[0].number <= number:
            ended = self._unacknowledged.popleft().data is None
            self._retransmit_delay = INITIAL_RETRANSMIT_DELAY_S
            self._progress_at = self._simulator.now
        if not self._unacknowledged and self._retransmit_event is not None:
            self._retransmit_event.cancel()
            self._retransmit_event = None
        if ended:
            self._close_with(None)

    # ------------------------------------------------------------ receiving

    def _arrive(self, segment: _Segment) -> None:
        """Handle a segment that reaches this machine."""
        peer = self._peer
        if not self.machine.powered or not peer._passes_to(self):
            return
        if self.closed:
            if segment.data is None:
                self._acknowledge(segment.number)
            else:
                self._reset_peer()
            return
        self._last_received_at = self._simulator.now
        if segment.number >= self._expected_number:
            if self._unread_bytes >= WINDOW_BYTES:
                self._window_was_full = True
                return
            self._out_of_order[segment.number] = segment.data
        while self._expected_number in self._out_of_order:
            self._accept(self._out_of_order.pop(self._expected_number))
        self._acknowledge(self._expected_number - 1)

    def _accept(self, data: bytes | None) -> None:
        """Accept the next segment in order (None: the end of the stream)."""
        self._expected_number += 1
        self._unread_bytes += len(data or b"")
        if self.reading and not self._undelivered:
            self._deliver(data)
        else:
            self._undelivered.append(data)

    def _acknowledge(self, number: int) -> None:
        peer = self._peer
        if number >= 0 and self._passes_to(peer):
            delay = self._network.delay(self.machine.name, peer.machine.name)
            self._simulator.after(delay, lambda: peer._acknowledged(number))

    def _deliver(self, data: bytes | None) -> None:
        """Deliver bytes, or the end of the stream, as a step of the process."""

        def consume() -> None:
            self._unread_bytes -= len(data or b"")
            if self.closed:
                return
            self._open_window()
            if data is None:
                self.handlers.ended()
            else:
                self.handlers.received(data)

        self.machine.after_true(0.0, consume)

    def _open_window(self) -> None:
        """Have the peer retransmit the segments that did not fit into the window."""
        if self._window_was_full and self._unread_bytes < WINDOW_BYTES and self._passes_to(self._peer):
            self._window_was_full = False
            delay = self._network.delay(self.machine.name, self._peer.machine.name)
            self._simulator.after(delay, self._peer._retransmit_lost)

    # ------------------------------------------------------------ closing

    def process_ended(self, end: End) -> None:
        """Close the endpoint because its process ended; a killed one resets the peer."""
        if not self.closed:
            self.closed = True
            self._cancel_timers()
            if end is End.KILLED:
                self._reset_peer()

    def _close_with(self, error: OSError | None) -> None:
        self.closed = True
        self._error = error
        self._cancel_timers()
        if self._attached:
            self.machine.after_true(0.0, lambda: self.handlers.lost(error))

    def _cancel_timers(self) -> None:
        for event in (self._retransmit_event, self._keepalive_event):
            if event is not None:
                event.cancel()
        self._retransmit_event = self._keepalive_event = None
        if self._unacknowledged:
            self._network.drop_queued(self.machine.name, self._peer.machine.name)
        self._unacknowledged.clear()

    def _reset_peer(self) -> None:
        peer = self._peer
        if self._passes_to(peer):
            delay = self._network.delay(self.machine.name, peer.machine.name)
            self._simulator.after(delay, peer._reset)

    def _reset(self) -> None:
        if not self.closed and self.machine.powered:
            self._close_with(ConnectionResetError("connection reset by peer"))

    def _send_keepalive_probe(self) -> None:
        """Probe the peer and close the connection if it has been idle for too long."""
        self._keepalive_event = None
        options, peer = self.options, self._peer
        if self.closed or options.keepalive_idle is None:
            return
        if self._passes_to(peer) and peer._passes_to(self) and peer.machine.powered:
            if peer.closed:
                self._simulator.after(self._network.delay(peer.machine.name, self.machine.name), self._reset)
            else:
                self._last_received_at = self._simulator.now
        idle = self._simulator.now - self._last_received_at
        idle_limit = options.keepalive_idle + options.keepalive_interval * options.keepalive_probes
        if idle >= min(idle_limit, max(options.user_timeout, options.keepalive_idle)):
            self._close_with(TimeoutError("connection timed out"))
            return
        self._keepalive_event = self._simulator.after(options.keepalive_interval, self._send_keepalive_probe)

    @property
    def _peer(self) -> Endpoint:
        assert self.peer is not None
        return self.peer

    def _passes_to(self, peer: Endpoint) -> bool:
        return self._network.passes(self.machine.name, peer.machine.name)
