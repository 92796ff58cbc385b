"""A member's durable Raft state on a simulated disk, by the rules of `consensus.interface.Write`."""

from __future__ import annotations

from mallowbeam.router.consensus.interface import HardState, PersistentState, Write
from mallowbeam.router.rpc.messages_pb2 import Entry, Snapshot


class Replica:
    """One member's identity, hard state, snapshot and log."""

    def __init__(self, identity: int, snapshot: Snapshot) -> None:
        self.identity = identity
        self.snapshot = snapshot
        self.hard_state = HardState()
        self.entries: list[Entry] = []  # after the snapshot

    @property
    def last_index(self) -> int:
        """Index of the last entry."""
        return self.snapshot.index + len(self.entries)

    def apply(self, write: Write) -> None:
        """Make a write durable."""
        if write.snapshot is not None:
            self._install_snapshot(write.snapshot)
        if write.entries:
            first = write.entries[0].index
            assert self.snapshot.index < first <= self.last_index + 1, "the write leaves a gap in the log"
            self.entries[first - self.snapshot.index - 1 :] = write.entries
        if write.hard_state is not None:
            assert write.hard_state.term >= self.hard_state.term, "the write decreases the term"
            self.hard_state = write.hard_state

    def restored(self) -> PersistentState:
        """The state from which a member starts."""
        return PersistentState(self.hard_state, self.snapshot, tuple(self.entries))

    def _install_snapshot(self, snapshot: Snapshot) -> None:
        """Install a snapshot; keeps the entries after it if the log has the snapshot's last entry."""
        covered = self.snapshot.index < snapshot.index <= self.last_index
        if covered and self.entries[snapshot.index - self.snapshot.index - 1].term == snapshot.term:
            del self.entries[: snapshot.index - self.snapshot.index]
        elif snapshot.index != self.snapshot.index:
            self.entries = []
        self.snapshot = snapshot
