"""Tracks which part of a stream was forwarded and where another instance must continue.  No I/O.

A resumable stream is forwarded in complete events with ascending ids; any other stream byte by byte.
"""

from __future__ import annotations

from mallowbeam.router.streams.events import EventParser, parse_id

# Counted in streams that are forwarded byte by byte; an end split over two reads is missed.
EVENT_END = b"\n\n"
EVENT_ENDS = (EVENT_END, b"\r\n\r\n")
MAX_EVENT_END_BYTES = 4


class StreamProgress:
    """The progress of one answer across all instances that produce it."""

    def __init__(self, resumable: bool, last_event_id: bytes | None = None) -> None:
        self.resumable = resumable
        self._parser = EventParser()
        self._last_id = parse_id(last_event_id) if last_event_id is not None else None
        self._tail = b""  # the last bytes of a stream that is forwarded byte by byte
        self.events = 0  # forwarded so far
        self.fault = ""  # why this instance's stream is no longer forwarded; empty if it is
        self._ends_with_id = True  # whether the last forwarded event has an id

    @property
    def last_event_id(self) -> bytes | None:
        """The id after which another instance must continue; None to start from the beginning."""
        return b"%d" % self._last_id if self._last_id is not None else None

    @property
    def may_resume(self) -> bool:
        """Whether another instance can continue exactly after the last forwarded event."""
        return self.resumable and self._ends_with_id

    @property
    def partial(self) -> bool:
        """Whether an incomplete event is buffered."""
        return self.resumable and self._parser.partial

    @property
    def inside_event(self) -> bool:
        """Whether the received part of the stream ends inside an event, buffered or forwarded."""
        if self.resumable:
            return self._parser.partial
        return bool(self._tail) and not self._tail.endswith(EVENT_ENDS)

    def fork(self) -> StreamProgress:
        """Return the progress of a second instance that continues after the last forwarded event."""
        forked = StreamProgress(self.resumable)
        forked._last_id = self._last_id
        forked._ends_with_id = self._ends_with_id
        forked.events = self.events
        return forked

    def feed(self, data: bytes | bytearray) -> bytes:
        """Add bytes from an instance; return the bytes to forward, up to the event that sets `fault`."""
        if not self.resumable:
            self.events += data.count(EVENT_END)
            self._tail = (self._tail + bytes(data[-MAX_EVENT_END_BYTES:]))[-MAX_EVENT_END_BYTES:]
            return bytes(data)
        complete: list[bytes] = []
        if self.fault:
            return b""
        for event in self._parser.feed(data):
            if event.id is not None:
                if self._last_id is not None and event.id <= self._last_id:
                    self.fault = f"event id {event.id} behind {self._last_id}"
                    break
                self._last_id = event.id
            self._ends_with_id = event.id is not None
            complete.append(event.raw)
        if self._parser.oversized:
            self.fault = "an event without end"
        self.events += len(complete)
        return b"".join(complete)

    def broken(self) -> None:
        """The instance's stream broke: discard its incomplete event and clear `fault`."""
        self._parser.drop_partial()
        self.fault = ""
