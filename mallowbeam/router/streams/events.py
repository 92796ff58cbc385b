"""Cuts a `text/event-stream` into events.  A pure core."""

from __future__ import annotations

import re
from dataclasses import dataclass

MOST_EVENT_BYTES = 256 * 1024
MOST_ID_DIGITS = 18
EVENT_END = re.compile(rb"\r?\n\r?\n")
EVENT_ID = re.compile(rb"^id: ?([^\r\n]*)", re.MULTILINE)


@dataclass(frozen=True, slots=True)
class Event:
    """One whole event."""

    raw: bytes  # with the blank line at its end
    id: int | None  # None: it has none, or none that is a number


class EventParser:
    """Takes bytes in and returns events as they become whole."""

    def __init__(self) -> None:
        self._buffer = bytearray()

    @property
    def partial(self) -> bool:
        """Whether part of an event waits for its end."""
        return bool(self._buffer)

    @property
    def endless(self) -> bool:
        """Whether the event that comes in is larger than any may be."""
        return len(self._buffer) > MOST_EVENT_BYTES

    def feed(self, data: bytes | bytearray) -> list[Event]:
        """The events that are whole now."""
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
        """Forget the part of an event that waits: its stream broke."""
        self._buffer.clear()


def read_id(raw: bytes) -> int | None:
    """The id of an event."""
    found = EVENT_ID.search(raw)
    if found is None:
        return None
    return parse_id(found[1])


def parse_id(value: bytes) -> int | None:
    """An event id as a number."""
    value = value.strip()
    if not value.isdigit() or len(value) > MOST_ID_DIGITS:
        return None
    return int(value)
