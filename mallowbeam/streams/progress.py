"""How far a stream has been passed on, and where another instance has to go on.  A pure core.

A stream that may be resumed is passed on in whole events whose ids rise; anything else byte by byte.
"""

from __future__ import annotations

from mallowbeam.streams.events import EventParser, StreamFault, parse_id


class StreamProgress:
    """The progress of one answer, over all instances that produce it."""

    def __init__(self, resumable: bool, last_event_id: bytes | None = None) -> None:
        self.resumable = resumable
        self._parser = EventParser()
        self._last_id = parse_id(last_event_id) if last_event_id is not None else None
        self.events = 0                        # passed on so far

    @property
    def last_event_id(self) -> bytes | None:
        """The id behind which another instance has to go on; None: from the start."""
        return b"%d" % self._last_id if self._last_id is not None else None

    @property
    def partial(self) -> bool:
        """Whether the stream stands inside an event."""
        return self.resumable and self._parser.partial

    def feed(self, data: bytes | bytearray) -> bytes:
        """What goes to the client of what came; raises `StreamFault` for ids that do not rise.

        A call either passes on all whole events or, with a fault, none: progress then stands before them.
        """
        if not self.resumable:
            return bytes(data)
        whole: list[bytes] = []
        last_id = self._last_id
        for event in self._parser.feed(data):
            if event.id is not None:
                if last_id is not None and event.id <= last_id:
                    raise StreamFault(f"event id {event.id} behind {last_id}")
                last_id = event.id
            whole.append(event.raw)
        self._last_id = last_id
        self.events += len(whole)
        return b"".join(whole)

    def broken(self) -> None:
        """The instance's stream broke: what is not a whole event is not passed on."""
        self._parser.drop_partial()
