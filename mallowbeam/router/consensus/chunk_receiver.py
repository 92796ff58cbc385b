"""A follower's part of a transfer: puts chunks together, in memory, until a snapshot or an entry is whole."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum


class Content(Enum):
    """What chunks are pieces of."""

    SNAPSHOT = "snapshot"
    ENTRY = "entry"


@dataclass(frozen=True, slots=True)
class TransferKey:
    """What tells the bytes of one transfer from another's.

    A term has one leader, and that one has one entry at an index and takes one snapshot there.
    """

    leader_term: int
    content: Content
    index: int


class ChunkReceiver:
    """Holds at most one snapshot or entry that is not whole yet; a restart forgets it."""

    def __init__(self, most_bytes: int) -> None:
        """What has more than `most_bytes` is never begun."""
        self._most_bytes = most_bytes
        self._key: TransferKey | None = None
        self._data = bytearray()

    @property
    def received(self) -> int:
        """Bytes from the start that are held: the offset that is wanted next."""
        return len(self._data)

    def take(self, key: TransferKey, size: int, offset: int, data: bytes) -> bytes | None:
        """Take a chunk of the current leader; all `size` bytes, once they are here.

        A transfer of another leader's term, or of a higher index, takes the place of the one that is held, as
        its bytes may differ. A chunk that leaves a gap, or comes late, changes nothing.
        """
        if key != self._key:
            if self._is_older(key) or size > self._most_bytes:
                return None
            self._begin(key)
        if offset == len(self._data) and offset + len(data) <= size:
            self._data += data
        if len(self._data) < size:
            return None
        whole = bytes(self._data)
        self.forget()
        return whole

    def holds(self, key: TransferKey) -> bool:
        """Whether a part of this is held."""
        return self._key == key

    def forget(self) -> None:
        """Drop what is held."""
        self._key = None
        self._data = bytearray()

    def _begin(self, key: TransferKey) -> None:
        self._key = key
        self._data = bytearray()

    def _is_older(self, key: TransferKey) -> bool:
        """Whether the current leader has begun a later transfer since."""
        held = self._key
        return held is not None and held.leader_term == key.leader_term and key.index < held.index
