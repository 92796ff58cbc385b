"""A leader's part of a snapshot's transfer to one member: which chunks go out, and which again.

Chunks go out in order, a bounded number of bytes ahead of what the member holds. A chunk that did not arrive
shows by an answer that tells no progress, or by silence; sending then goes on at the offset that is wanted.
"""

from __future__ import annotations

from collections.abc import Iterator

from mallowbeam.rpc.messages_pb2 import Snapshot, SnapshotChunk


class SnapshotTransfer:
    """One snapshot on its way to one member. It is kept here, whatever the log is compacted to meanwhile."""

    def __init__(self, snapshot: Snapshot, now: float) -> None:
        self._state = snapshot.state
        self._head = Snapshot(index=snapshot.index, term=snapshot.term, membership=snapshot.membership)
        self._acknowledged = 0                 # bytes from the start that the member holds
        self._next_offset = 0                  # of the next chunk
        self._ended = False                    # the chunk that ends the state was sent
        self._resent = False                   # since the last progress, because of an answer
        self._progress_at = now                # of the last progress, or of the last time of sending again

    @property
    def index(self) -> int:
        """The snapshot's index."""
        return self._head.index

    def chunks(self, term: int, round_number: int, chunk_bytes: int,
               window_bytes: int) -> Iterator[SnapshotChunk]:
        """The chunks that may go out now; a state without bytes is one empty chunk."""
        size = len(self._state)
        while not self._ended and self._next_offset - self._acknowledged < window_bytes:
            offset = self._next_offset
            data = self._state[offset:offset + chunk_bytes]
            self._next_offset = offset + len(data)
            self._ended = self._next_offset == size
            yield SnapshotChunk(term=term, round=round_number, head=self._head, size=size, offset=offset,
                                data=data)

    def progress(self, received: int, now: float) -> None:
        """The member holds `received` bytes: less than before where it was restarted."""
        if received > len(self._state):
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

        Where the member holds all, it is asked with an empty chunk whether it has installed the snapshot.
        """
        if now - self._progress_at >= after:
            self._send_again(now)

    def _send_again(self, now: float) -> None:
        self._next_offset = self._acknowledged
        self._ended = False
        self._progress_at = now
