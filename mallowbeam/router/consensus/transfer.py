"""A leader's part of sending a snapshot or a large entry to one member: which chunks go out, and which again.

Chunks go out in order, a bounded number of bytes ahead of what the member holds. A chunk that did not arrive
shows by an answer that tells no progress, or by silence; sending then goes on at the offset that is wanted.
"""

from __future__ import annotations

from abc import ABC, abstractmethod
from collections.abc import Iterator
from dataclasses import dataclass

from mallowbeam.router.rpc.messages_pb2 import Entry, EntryChunk, RaftMessage, Snapshot, SnapshotChunk


@dataclass(frozen=True, slots=True)
class LeaderState:
    """What a leader says of itself with each chunk."""

    term: int
    round_number: int
    commit_index: int


class Transfer(ABC):
    """Bytes on their way to one member. They are kept here, whatever the log is compacted to meanwhile."""

    def __init__(self, index: int, data: bytes, now: float) -> None:
        self.index = index  # in the log, of what is sent
        self._data = data
        self._acknowledged = 0  # bytes from the start that the member holds
        self._next_offset = 0  # of the next chunk
        self._ended = False  # the chunk that ends the data was sent
        self._resent = False  # since the last progress, because of an answer
        self._progress_at = now  # of the last progress, or of the last time of sending again

    def chunks(self, leader: LeaderState, chunk_bytes: int, window_bytes: int) -> Iterator[RaftMessage]:
        """The messages that may go out now; data without bytes is one empty chunk."""
        size = len(self._data)
        while not self._ended and self._next_offset - self._acknowledged < window_bytes:
            offset = self._next_offset
            part = self._data[offset : offset + chunk_bytes]
            self._next_offset = offset + len(part)
            self._ended = self._next_offset == size
            yield self._message(leader, size, offset, part)

    def progress(self, received: int, now: float) -> None:
        """The member holds `received` bytes: less than before where it was restarted."""
        if received > len(self._data):
            return
        if received > self._acknowledged:
            self._acknowledged = received
            self._next_offset = max(self._next_offset, received)
            self._resent = False
            self._progress_at = now
        elif received < self._acknowledged or received < self._next_offset and not self._resent:
            self._acknowledged = received
            self._send_again(now)
            self._resent = True

    def retry(self, now: float, after: float) -> None:
        """Send again what is not acknowledged, where nothing was heard for `after` seconds.

        Where the member holds all, it is asked with an empty chunk whether that is durable.
        """
        if now - self._progress_at >= after:
            self._send_again(now)

    def _send_again(self, now: float) -> None:
        self._next_offset = self._acknowledged
        self._ended = False
        self._progress_at = now

    @abstractmethod
    def _message(self, leader: LeaderState, size: int, offset: int, data: bytes) -> RaftMessage:
        """One chunk."""


class SnapshotTransfer(Transfer):
    """A snapshot on its way to one member."""

    def __init__(self, snapshot: Snapshot, now: float) -> None:
        super().__init__(snapshot.index, snapshot.state, now)
        self._head = Snapshot(index=snapshot.index, term=snapshot.term, membership=snapshot.membership)

    def _message(self, leader: LeaderState, size: int, offset: int, data: bytes) -> RaftMessage:
        chunk = SnapshotChunk(
            term=leader.term, round=leader.round_number, head=self._head, size=size, offset=offset, data=data
        )
        return RaftMessage(snapshot_chunk=chunk)


class EntryTransfer(Transfer):
    """An entry that is too large for one message, on its way to a member that has all entries before it."""

    def __init__(self, entry: Entry, previous_term: int, now: float) -> None:
        super().__init__(entry.index, entry.payload, now)
        self._head = Entry(index=entry.index, term=entry.term, kind=entry.kind)
        self._previous_term = previous_term

    def _message(self, leader: LeaderState, size: int, offset: int, data: bytes) -> RaftMessage:
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
