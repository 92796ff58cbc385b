"""Reassembly of chunked snapshots and entries on a follower, in memory."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum


class ChunkContent(Enum):
    """Kind of data that a chunk is part of."""

    SNAPSHOT = "snapshot"
    ENTRY = "entry"


@dataclass(frozen=True, slots=True)
class ChunkStreamKey:
    """Identity of a chunked snapshot or entry: chunks with equal keys have the same content.

    A term has one leader, which has one entry at an index and takes one snapshot there.
    """

    leader_term: int
    content: ChunkContent
    index: int


class ChunkReceiver:
    """Buffer of at most one incomplete snapshot or entry; it does not survive a restart."""

    def __init__(self, max_bytes: int) -> None:
        """Create an empty buffer; streams of more than `max_bytes` bytes are ignored."""
        self._max_bytes = max_bytes
        self._key: ChunkStreamKey | None = None
        self._data = bytearray()

    @property
    def received(self) -> int:
        """Number of contiguous bytes received: the next expected offset."""
        return len(self._data)

    def add(self, key: ChunkStreamKey, size: int, offset: int, data: bytes) -> bytes | None:
        """Add a chunk of the current leader and return all `size` bytes once they are complete.

        A stream of another term or of a higher index replaces the incomplete one, as its bytes may differ.
        Duplicates and chunks after a gap are ignored.
        """
        if key != self._key:
            if self._is_older(key) or size > self._max_bytes:
                return None
            self._begin(key)
        if offset == len(self._data) and offset + len(data) <= size:
            self._data += data
        if len(self._data) < size:
            return None
        complete = bytes(self._data)
        self.reset()
        return complete

    def is_receiving(self, key: ChunkStreamKey) -> bool:
        """Return whether this stream is the incomplete one."""
        return self._key == key

    def reset(self) -> None:
        """Drop the incomplete stream."""
        self._key = None
        self._data = bytearray()

    def _begin(self, key: ChunkStreamKey) -> None:
        self._key = key
        self._data = bytearray()

    def _is_older(self, key: ChunkStreamKey) -> bool:
        """Return whether the current leader has begun a later stream since."""
        current = self._key
        return current is not None and current.leader_term == key.leader_term and key.index < current.index
