"""How far a stream has been passed on, and where another instance has to go on.  A pure core.

A stream that may be resumed is passed on in whole events whose ids rise; anything else byte by byte.
"""

from __future__ import annotations

from mallowbeam.router.streams.events import EventParser, parse_id

EVENT_END = b"\n\n"  # counted in what is passed on byte by byte; one that is cut in two is missed
EVENT_ENDS = (EVENT_END, b"\r\n\r\n")
LONGEST_END = 4  # bytes


class StreamProgress:
    """The progress of one answer, over all instances that produce it."""

    def __init__(self, resumable: bool, last_event_id: bytes | None = None) -> None:
        self.resumable = resumable
        self._parser = EventParser()
        self._last_id = parse_id(last_event_id) if last_event_id is not None else None
        self._tail = b""  # the last bytes that were passed on byte by byte
        self.events = 0  # passed on so far
        self.fault = ""  # why nothing more of this instance's stream is passed on
        self._behind_id = True  # nothing was passed on behind the last id

    @property
    def last_event_id(self) -> bytes | None:
        """The id behind which another instance has to go on; None: from the start."""
        return b"%d" % self._last_id if self._last_id is not None else None

    @property
    def may_resume(self) -> bool:
        """Whether another instance can go on just behind what was passed on."""
        return self.resumable and self._behind_id

    @property
    def partial(self) -> bool:
        """Whether part of an event is held back."""
        return self.resumable and self._parser.partial

    @property
    def inside_event(self) -> bool:
        """Whether the instance's stream stands inside an event, held back or passed on."""
        if self.resumable:
            return self._parser.partial
        return bool(self._tail) and not self._tail.endswith(EVENT_ENDS)

    def feed(self, data: bytes | bytearray) -> bytes:
        """What goes to the client of what came; where it sets `fault`, the events before that."""
        if not self.resumable:
            self.events += data.count(EVENT_END)
            self._tail = (self._tail + bytes(data[-LONGEST_END:]))[-LONGEST_END:]
            return bytes(data)
        whole: list[bytes] = []
        if self.fault:
            return b""
        for event in self._parser.feed(data):
            if event.id is not None:
                if self._last_id is not None and event.id <= self._last_id:
                    self.fault = f"event id {event.id} behind {self._last_id}"
                    break
                self._last_id = event.id
            self._behind_id = event.id is not None
            whole.append(event.raw)
        if self._parser.endless:
            self.fault = "an event without end"
        self.events += len(whole)
        return b"".join(whole)

    def broken(self) -> None:
        """The instance's stream broke: what is not a whole event is not passed on."""
        self._parser.drop_partial()
        self.fault = ""
