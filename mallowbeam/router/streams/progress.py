"""Which part of a stream has been forwarded, and where another instance must continue.  A pure core.

A stream that may be resumed is forwarded in complete events whose ids rise; any other stream byte by byte.
"""

from __future__ import annotations

from mallowbeam.router.streams.events import EventParser, parse_id

EVENT_END = b"\n\n"  # counted where bytes are forwarded as they come; one split over two reads is missed
EVENT_ENDS = (EVENT_END, b"\r\n\r\n")
LONGEST_END = 4  # bytes


class StreamProgress:
    """The progress of one answer, over all instances that produce it."""

    def __init__(self, resumable: bool, last_event_id: bytes | None = None) -> None:
        self.resumable = resumable
        self._parser = EventParser()
        self._last_id = parse_id(last_event_id) if last_event_id is not None else None
        self._tail = b""  # the last bytes that were forwarded as they came
        self.events = 0  # forwarded so far
        self.fault = ""  # why nothing more of this instance's stream is forwarded
        self._behind_id = True  # nothing without an id was forwarded after the last id

    @property
    def last_event_id(self) -> bytes | None:
        """The id after which another instance must continue; None: from the start."""
        return b"%d" % self._last_id if self._last_id is not None else None

    @property
    def may_resume(self) -> bool:
        """Whether another instance can continue exactly after what was forwarded."""
        return self.resumable and self._behind_id

    @property
    def partial(self) -> bool:
        """Whether an incomplete event is buffered."""
        return self.resumable and self._parser.partial

    @property
    def inside_event(self) -> bool:
        """Whether the instance's stream is inside an event, buffered or forwarded."""
        if self.resumable:
            return self._parser.partial
        return bool(self._tail) and not self._tail.endswith(EVENT_ENDS)

    def feed(self, data: bytes | bytearray) -> bytes:
        """Add bytes of an instance; returns what to forward, up to the event that sets `fault`."""
        if not self.resumable:
            self.events += data.count(EVENT_END)
            self._tail = (self._tail + bytes(data[-LONGEST_END:]))[-LONGEST_END:]
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
            self._behind_id = event.id is not None
            complete.append(event.raw)
        if self._parser.endless:
            self.fault = "an event without end"
        self.events += len(complete)
        return b"".join(complete)

    def broken(self) -> None:
        """The instance's stream broke: discard its incomplete event."""
        self._parser.drop_partial()
        self.fault = ""
