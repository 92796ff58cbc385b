"""A follower's part of a snapshot's transfer: puts chunks together, in memory, until it is whole."""

from __future__ import annotations

from dataclasses import dataclass

from mallowbeam.rpc.messages_pb2 import Snapshot, SnapshotChunk


@dataclass(frozen=True, slots=True)
class SnapshotKey:
    """What tells one snapshot's bytes from another's: a leader takes one snapshot at an index in its term."""

    leader_term: int
    index: int


class SnapshotReceiver:
    """Holds at most one snapshot that is not whole yet; a restart forgets it."""

    def __init__(self, most_bytes: int) -> None:
        """A snapshot of more than `most_bytes` is never begun."""
        self._most_bytes = most_bytes
        self._key: SnapshotKey | None = None
        self._state = bytearray()

    @property
    def received(self) -> int:
        """Bytes from the start that are held: the offset that is wanted next."""
        return len(self._state)

    def take(self, chunk: SnapshotChunk) -> Snapshot | None:
        """Take a chunk of the current leader; the snapshot, once whole.

        A snapshot of another leader's term, or at a higher index, takes the place of the one that is held:
        its bytes may differ. A chunk that leaves a gap, or comes late, changes nothing.
        """
        key = SnapshotKey(chunk.term, chunk.head.index)
        if key != self._key:
            if self._is_older(key) or chunk.size > self._most_bytes:
                return None
            self._begin(key)
        if chunk.offset == len(self._state) and chunk.offset + len(chunk.data) <= chunk.size:
            self._state += chunk.data
        if len(self._state) < chunk.size:
            return None
        snapshot = Snapshot(index=chunk.head.index, term=chunk.head.term, membership=chunk.head.membership,
                            state=bytes(self._state))
        self.forget()
        return snapshot

    def holds(self, chunk: SnapshotChunk) -> bool:
        """Whether the snapshot that is held is the chunk's."""
        return self._key == SnapshotKey(chunk.term, chunk.head.index)

    def forget(self) -> None:
        """Drop what is held."""
        self._key = None
        self._state = bytearray()

    def _begin(self, key: SnapshotKey) -> None:
        self._key = key
        self._state = bytearray()

    def _is_older(self, key: SnapshotKey) -> bool:
        """Whether the current leader has begun a newer snapshot since."""
        held = self._key
        return held is not None and held.leader_term == key.leader_term and key.index < held.index
