"""Finds the end of a request among bytes that are still in the socket, so that no byte behind it is read.

No I/O.  The framing is that of RFC 9112, sections 6 and 7.1.  Where the end can't be told in advance
(trailers behind the last chunk, lines that end without a carriage return), bytes of the next request may be
included.
"""

from __future__ import annotations

from mallowbeam.http.framing import Framer

HEAD_END = b"\r\n\r\n"
LAST_CHUNK = b"0\r\n\r\n"  # the same bytes inside a chunk only divide the reading
TAIL_BYTES = len(LAST_CHUNK) - 1  # of a marker that may have begun in bytes read before


class MessageBoundary:
    """Divides the input of one connection at the ends of its requests."""

    def __init__(self, framer: Framer) -> None:
        self._framer = framer
        self._tail = b""  # the last bytes before `data` that a marker may have begun in

    def take(self, data: bytes | memoryview) -> int:
        """Return how many bytes of `data`, at least one, are to be read and fed to the framer next."""
        framer = self._framer
        message = framer.incoming
        in_head = message is None or framer.in_head
        if message is not None and not in_head and message.length is not None:
            self._tail = b""
            return min(len(data), message.length - message.received)
        marker = HEAD_END if in_head else LAST_CHUNK
        window = self._tail + bytes(data)
        at = window.find(marker)
        if at < 0:
            self._tail = window[-TAIL_BYTES:]
            return len(data)
        count = at + len(marker) - len(self._tail)
        self._tail = b""
        return count
