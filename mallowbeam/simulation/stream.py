"""Byte streams between simulated machines, with TCP's ways of ending.

What is sent arrives in order or not at all. Bytes that a cut or a loss holds up are sent again after
growing pauses; a sender whose bytes stay unacknowledged for its user time-out, and one whose probes stay
unanswered, is told that the connection is over. A process that ends has its connections reset by its
kernel; a machine without power says nothing, and resets what it is asked about once it is up again. A
peer that does not read fills its window.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass

from mallowbeam.simulation.clock import Event
from mallowbeam.simulation.machine import End, Machine
from mallowbeam.simulation.network import Network

FIRST_RETRY_S = 0.2  # before unacknowledged bytes are sent again; doubles up to the longest
LONGEST_RETRY_S = 60.0
LEAST_PAUSE_S = 0.001
WINDOW_BYTES = 64 * 1024  # that a process which does not read is sent at most
SEGMENT_BYTES = 16 * 1024  # on a path with a bandwidth, where what is sent takes time
NO_TIMEOUT_S = 900.0  # user time-out where none is set


@dataclass(slots=True)
class _Segment:
    """Bytes under way; None: the end of what is sent."""

    number: int
    data: bytes | None
    since: float
    arrives: float = 0.0  # when it last sent reaches the peer; past where it was lost


@dataclass(slots=True)
class StreamOptions:
    """What a process may set on its end of a stream, in seconds."""

    user_timeout: float = NO_TIMEOUT_S
    keepalive_idle: float | None = None  # None: no probes
    keepalive_every: float = 1.0
    keepalive_probes: int = 2


def _nothing(*_: object) -> None:
    """Nobody listens yet."""


@dataclass(slots=True)
class StreamHandlers:
    """What a process is told of its end of a stream, each as one step of it."""

    received: Callable[[bytes], None] = _nothing
    ended: Callable[[], None] = _nothing  # the peer sends nothing more
    lost: Callable[[OSError | None], None] = _nothing  # the last word; None after a close of its own


class Endpoint:
    """One end of a stream."""

    def __init__(self, network: Network, machine: Machine, port: int) -> None:
        self._network, self.machine, self.port = network, machine, port
        self._simulator = network.simulator
        self.peer: Endpoint | None = None
        self.options = StreamOptions()
        self.handlers = StreamHandlers()
        self.closed = False  # nothing is sent or taken any more
        self._finished = False  # the end of what is sent is queued
        self._sent, self._expected = 0, 0  # segments
        self._unacknowledged: deque[_Segment] = deque()
        self._early: dict[int, bytes | None] = {}  # that came before what is in front of them
        self._unread = 0  # bytes that the kernel holds for the process
        self._window_full = False  # something was refused since, because of them
        self._held: deque[bytes | None] = deque()  # likewise, while the process does not want to read
        self.reading = self._attached = False
        self._error: OSError | None = None
        self._heard_at = self._simulator.now
        self._progress_at = 0.0  # of the last acknowledgement
        self._retry: Event | None = None
        self._retry_pause = FIRST_RETRY_S
        self._probe: Event | None = None

    # ------------------------------------------------------------ what the process does

    @property
    def address(self) -> tuple[str, int]:
        """IP and port."""
        return self.machine.ip, self.port

    @property
    def unsent(self) -> int:
        """Bytes that the peer's kernel has not taken."""
        return sum(len(segment.data) for segment in self._unacknowledged if segment.data is not None)

    def attach(self, handlers: StreamHandlers) -> None:
        """Begin to take what comes in; it has waited until now."""
        self.handlers = handlers
        self._attached = True
        if self.closed:
            self._end(self._error)
        else:
            self.set_reading(True)

    def write(self, data: bytes) -> None:
        """Send bytes."""
        if not data or self.closed or self._finished:
            return
        limited = self._network.path(self.machine.name, self._peer.machine.name).bandwidth > 0
        step = SEGMENT_BYTES if limited else len(data)
        for start in range(0, len(data), step):
            self._queue(data[start : start + step])

    def close(self) -> None:
        """Send what is queued and the end; the process is told that the connection is over."""
        if not self.closed and not self._finished:
            self._finished = True
            self._queue(None)

    def abort(self) -> None:
        """End the connection at once; what waits is dropped."""
        if self.closed:
            return
        self._end(None)
        self._reset_peer()

    def set_reading(self, reading: bool) -> None:
        """Take or leave what comes in."""
        self.reading = reading
        while self.reading and self._held and not self.closed:
            self._hand_over(self._held.popleft())

    def probe(self) -> None:
        """Begin to look after the peer by the options, at once after they were set."""
        if self.options.keepalive_idle is not None and self._probe is None and not self.closed:
            self._probe = self._simulator.after(self.options.keepalive_idle, self._look_after_peer)

    # ------------------------------------------------------------ sending

    def _queue(self, data: bytes | None) -> None:
        segment = _Segment(self._sent, data, self._simulator.now)
        self._sent += 1
        self._unacknowledged.append(segment)
        self._transmit(segment)
        if self._retry is None:
            self._plan_retry()

    def _transmit(self, segment: _Segment) -> None:
        peer = self._peer
        path = self._network.path(self.machine.name, peer.machine.name)
        if self._passes_to(peer) and self._simulator.random.random() >= path.loss:
            delay = self._network.delay(self.machine.name, peer.machine.name, len(segment.data or b""))
            segment.arrives = self._simulator.now + delay
            self._simulator.after(delay, lambda: peer._arrive(segment))

    def _plan_retry(self) -> None:
        self._retry = self._simulator.after(self._retry_pause, self._send_again)

    def _send_again(self) -> None:
        self._retry = None
        if self.closed or not self._unacknowledged:
            return
        unheard_since = max(self._unacknowledged[0].since, self._progress_at)
        if self._simulator.now - unheard_since >= self.options.user_timeout:
            self._end(TimeoutError("connection timed out"))
            return
        self._transmit_waiting()
        self._retry_pause = min(2 * self._retry_pause, LONGEST_RETRY_S)
        due = unheard_since + self.options.user_timeout - self._simulator.now
        self._retry = self._simulator.after(min(self._retry_pause, max(due, LEAST_PAUSE_S)), self._send_again)

    def _transmit_waiting(self) -> None:
        """Send again what is neither acknowledged nor on its way."""
        for segment in self._unacknowledged:
            if segment.arrives <= self._simulator.now:
                self._transmit(segment)

    def _acknowledged(self, number: int) -> None:
        """The peer's kernel has all segments up to a number."""
        if self.closed:
            return
        self._heard_at = self._simulator.now
        ended = False
        while self._unacknowledged and self._unacknowledged[0].number <= number:
            ended = self._unacknowledged.popleft().data is None
            self._retry_pause = FIRST_RETRY_S
            self._progress_at = self._simulator.now
        if not self._unacknowledged and self._retry is not None:
            self._retry.cancel()
            self._retry = None
        if ended:
            self._end(None)

    # ------------------------------------------------------------ receiving

    def _arrive(self, segment: _Segment) -> None:
        """A segment reaches this machine."""
        peer = self._peer
        if not self.machine.powered or not peer._passes_to(self):
            return
        if self.closed:
            if segment.data is None:
                self._acknowledge(segment.number)
            else:
                self._reset_peer()
            return
        self._heard_at = self._simulator.now
        if segment.number >= self._expected:
            if self._unread >= WINDOW_BYTES:
                self._window_full = True
                return
            self._early[segment.number] = segment.data
        while self._expected in self._early:
            self._take(self._early.pop(self._expected))
        self._acknowledge(self._expected - 1)

    def _take(self, data: bytes | None) -> None:
        """The next bytes in order, or the end, are here."""
        self._expected += 1
        self._unread += len(data or b"")
        if self.reading and not self._held:
            self._hand_over(data)
        else:
            self._held.append(data)

    def _acknowledge(self, number: int) -> None:
        peer = self._peer
        if number >= 0 and self._passes_to(peer):
            delay = self._network.delay(self.machine.name, peer.machine.name)
            self._simulator.after(delay, lambda: peer._acknowledged(number))

    def _hand_over(self, data: bytes | None) -> None:
        """Have the process take bytes, or the end, in a step of its own."""

        def take() -> None:
            self._unread -= len(data or b"")
            if self.closed:
                return
            self._open_window()
            if data is None:
                self.handlers.ended()
            else:
                self.handlers.received(data)

        self.machine.after_true(0.0, take)

    def _open_window(self) -> None:
        """Have the peer send at once what there was no room for."""
        if self._window_full and self._unread < WINDOW_BYTES and self._passes_to(self._peer):
            self._window_full = False
            delay = self._network.delay(self.machine.name, self._peer.machine.name)
            self._simulator.after(delay, self._peer._transmit_waiting)

    # ------------------------------------------------------------ ends

    def process_ended(self, end: End) -> None:
        """The process that has this end is gone."""
        if not self.closed:
            self.closed = True
            self._stop_events()
            if end is End.KILLED:
                self._reset_peer()

    def _end(self, error: OSError | None) -> None:
        self.closed, self._error = True, error
        self._stop_events()
        if self._attached:
            self.machine.after_true(0.0, lambda: self.handlers.lost(error))

    def _stop_events(self) -> None:
        for event in (self._retry, self._probe):
            if event is not None:
                event.cancel()
        self._retry = self._probe = None
        if self._unacknowledged:
            self._network.drop_waiting(self.machine.name, self._peer.machine.name)
        self._unacknowledged.clear()

    def _reset_peer(self) -> None:
        peer = self._peer
        if self._passes_to(peer):
            delay = self._network.delay(self.machine.name, peer.machine.name)
            self._simulator.after(delay, peer._reset)

    def _reset(self) -> None:
        if not self.closed and self.machine.powered:
            self._end(ConnectionResetError("connection reset by peer"))

    def _look_after_peer(self) -> None:
        """Probe a peer that was not heard for a while."""
        self._probe = None
        options, peer = self.options, self._peer
        if self.closed or options.keepalive_idle is None:
            return
        if self._passes_to(peer) and peer._passes_to(self) and peer.machine.powered:
            if peer.closed:
                self._simulator.after(self._network.delay(peer.machine.name, self.machine.name), self._reset)
            else:
                self._heard_at = self._simulator.now
        silence = self._simulator.now - self._heard_at
        most = options.keepalive_idle + options.keepalive_every * options.keepalive_probes
        if silence >= min(most, max(options.user_timeout, options.keepalive_idle)):
            self._end(TimeoutError("connection timed out"))
            return
        self._probe = self._simulator.after(options.keepalive_every, self._look_after_peer)

    @property
    def _peer(self) -> Endpoint:
        assert self.peer is not None
        return self.peer

    def _passes_to(self, peer: Endpoint) -> bool:
        return self._network.passes(self.machine.name, peer.machine.name)
