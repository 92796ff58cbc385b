"""Splits a `text/event-stream` (WHATWG HTML, section 9.2.6) into events.  No I/O."""

from __future__ import annotations

import re
from dataclasses import dataclass

MAX_EVENT_BYTES = 256 * 1024
MAX_ID_DIGITS = 18
EVENT_END = re.compile(rb"\r?\n\r?\n")
EVENT_ID = re.compile(rb"^id: ?([^\r\n]*)", re.MULTILINE)


@dataclass(frozen=True, slots=True)
class Event:
    """One complete event."""

    raw: bytes  # includes the blank line that ends it
    id: int | None  # None if missing or not a number


class EventParser:
    """Parses bytes incrementally into complete events."""

    def __init__(self) -> None:
        self._buffer = bytearray()

    @property
    def partial(self) -> bool:
        """Whether an incomplete event is buffered."""
        return bool(self._buffer)

    @property
    def oversized(self) -> bool:
        """Whether the buffered event exceeds `MAX_EVENT_BYTES`."""
        return len(self._buffer) > MAX_EVENT_BYTES

    def feed(self, data: bytes | bytearray) -> list[Event]:
        """Add bytes; return the events that they complete."""
        searched = max(0, len(self._buffer) - 3)
        self._buffer += data
        events: list[Event] = []
        start = 0
        while (end := EVENT_END.search(self._buffer, max(start, searched))) is not None:
            raw = bytes(self._buffer[start : end.end()])
            events.append(Event(raw, read_id(raw)))
            start = end.end()
        del self._buffer[:start]
        return events

    def drop_partial(self) -> None:
        """Discard the incomplete event of a broken stream."""
        self._buffer.clear()


def read_id(raw: bytes) -> int | None:
    """Return the id of an event, or None."""
    found = EVENT_ID.search(raw)
    if found is None:
        return None
    return parse_id(found[1])


def parse_id(value: bytes) -> int | None:
    """Return an event id as a number, or None if it is not one."""
    value = value.strip()
    if not value.isdigit() or len(value) > MAX_ID_DIGITS:
        return None
    return int(value)
