"""Sending a snapshot or a large entry to one member in chunks: flow control and retransmission.

Chunks are sent in order, at most a window of bytes ahead of the acknowledged offset.  A lost chunk results in
an acknowledgement without progress or in none at all; sending then resumes at the expected offset.
"""

from __future__ import annotations

from abc import ABC, abstractmethod
from collections.abc import Iterator
from dataclasses import dataclass

from mallowbeam.router.rpc.messages_pb2 import Entry, EntryChunk, RaftMessage, Snapshot, SnapshotChunk


@dataclass(frozen=True, slots=True)
class LeaderHeader:
    """The leader's state that each chunk carries."""

    term: int
    round_number: int
    commit_index: int


class ChunkSender(ABC):
    """Sends the bytes of one snapshot or entry, which stay available here after a compaction of the log."""

    def __init__(self, index: int, data: bytes, now: float) -> None:
        self.index = index  # log index of the snapshot or entry
        self._data = data
        self._acknowledged = 0  # contiguous bytes that the member has received
        self._next_offset = 0  # of the next chunk
        self._last_chunk_sent = False
        self._retransmitted = False  # since the last progress, in response to an acknowledgement
        self._last_progress_at = now  # time in seconds of the last progress or retransmission

    def chunks(self, leader: LeaderHeader, chunk_bytes: int, window_bytes: int) -> Iterator[RaftMessage]:
        """Yield the chunks that fit the window; empty data is sent as one empty chunk."""
        size = len(self._data)
        while not self._last_chunk_sent and self._next_offset - self._acknowledged < window_bytes:
            offset = self._next_offset
            data = self._data[offset : offset + chunk_bytes]
            self._next_offset = offset + len(data)
            self._last_chunk_sent = self._next_offset == size
            yield self._message(leader, size, offset, data)

    def acknowledge(self, received: int, now: float) -> None:
        """Process the member's count of received bytes, which decreases if the member was restarted."""
        if received > len(self._data):
            return
        if received > self._acknowledged:
            self._acknowledged = received
            self._next_offset = max(self._next_offset, received)
            self._retransmitted = False
            self._last_progress_at = now
        elif received < self._acknowledged or received < self._next_offset and not self._retransmitted:
            self._acknowledged = received
            self._retransmit(now)
            self._retransmitted = True

    def retry(self, now: float, timeout: float) -> None:
        """Retransmit unacknowledged bytes after `timeout` seconds without progress.

        If the member has received everything, an empty chunk asks whether it is durable there.
        """
        if now - self._last_progress_at >= timeout:
            self._retransmit(now)

    def _retransmit(self, now: float) -> None:
        self._next_offset = self._acknowledged
        self._last_chunk_sent = False
        self._last_progress_at = now

    @abstractmethod
    def _message(self, leader: LeaderHeader, size: int, offset: int, data: bytes) -> RaftMessage:
        """Build the message of one chunk."""


class SnapshotSender(ChunkSender):
    """Sends a snapshot to one member."""

    def __init__(self, snapshot: Snapshot, now: float) -> None:
        super().__init__(snapshot.index, snapshot.state, now)
        self._head = Snapshot(index=snapshot.index, term=snapshot.term, membership=snapshot.membership)

    def _message(self, leader: LeaderHeader, size: int, offset: int, data: bytes) -> RaftMessage:
        chunk = SnapshotChunk(
            term=leader.term, round=leader.round_number, head=self._head, size=size, offset=offset, data=data
        )
        return RaftMessage(snapshot_chunk=chunk)


class EntrySender(ChunkSender):
    """Sends a large entry to a member that has all entries before it."""

    def __init__(self, entry: Entry, previous_term: int, now: float) -> None:
        super().__init__(entry.index, entry.payload, now)
        self._head = Entry(index=entry.index, term=entry.term, kind=entry.kind)
        self._previous_term = previous_term

    def _message(self, leader: LeaderHeader, size: int, offset: int, data: bytes) -> RaftMessage:
        chunk = EntryChunk(
            term=leader.term,
            round=leader.round_number,
            previous_term=self._previous_term,
            head=self._head,
            commit=leader.commit_index,
            size=size,
            offset=offset,
            data=data,
        )
        return RaftMessage(entry_chunk=chunk)
