"""The in-memory log of a member: entries, the snapshot before them, and the first entry not yet submitted."""

from __future__ import annotations

from bisect import bisect_left
from collections.abc import Sequence

from mallowbeam.router.consensus.errors import DivergedError
from mallowbeam.router.consensus.membership import MembershipHistory
from mallowbeam.router.rpc.messages_pb2 import Entry, EntryKind, Snapshot


class RaftLog:
    """Entries after `base_index`, which is the snapshot's index or, for slow followers, an earlier one.

    Sizes are payload bytes.  `first_unwritten` is the index of the first entry not yet submitted to storage.
    """

    def __init__(self, snapshot: Snapshot, entries: Sequence[Entry]) -> None:
        self._restart(snapshot)
        self.append(list(entries))
        self.first_unwritten = self.last_index + 1

    def _restart(self, snapshot: Snapshot) -> None:
        self._set_snapshot(snapshot)
        self.base_index = snapshot.index
        self.base_term = snapshot.term
        self.memberships = MembershipHistory(snapshot.index, snapshot.membership)
        self.first_unwritten = snapshot.index + 1
        self._entries: list[Entry] = []
        self._base_bytes = 0  # cumulative payload bytes up to the base
        self._payload_ends: list[int] = []  # cumulative payload bytes up to each entry

    def _set_snapshot(self, snapshot: Snapshot) -> None:
        self.snapshot = snapshot
        self._snapshot_bytes = len(snapshot.state)

    @property
    def last_index(self) -> int:
        """Index of the last entry."""
        return self.base_index + len(self._entries)

    @property
    def last_term(self) -> int:
        """Term of the last entry."""
        return self._entries[-1].term if self._entries else self.base_term

    @property
    def is_uninitialized(self) -> bool:
        """Whether the log has no membership yet: the member is joining."""
        return not self.memberships.current.membership.members

    def term_at(self, index: int) -> int | None:
        """Return the term of the entry at `index`, or None if the log does not contain it."""
        if index == self.base_index:
            return self.base_term
        if index < self.base_index or index > self.last_index:
            return None
        return self._entries[index - self.base_index - 1].term

    def matches(self, index: int, term: int) -> bool:
        """Return whether the log equals, up to `index`, a leader's log with `term` there (Raft §5.3)."""
        if index < self.base_index:
            return True  # committed, so every later leader has it
        return self.term_at(index) == term

    def conflict_hint(self, index: int, floor: int) -> int:
        """Return the index that a leader should try after a mismatch at `index`, not below `floor`.

        It is the end of a log that is too short, else the last index before the conflicting term (Raft §5.3).
        """
        term = self.term_at(index)
        if term is None:
            return self.last_index
        while index > floor and self.term_at(index) == term:
            index -= 1
        return index

    def payload_bytes_after(self, index: int) -> int:
        """Return the payload bytes of the entries after `index`, which is not before the base."""
        return self._bytes_up_to(self.last_index) - self._bytes_up_to(index)

    def _bytes_up_to(self, index: int) -> int:
        if index <= self.base_index:
            return self._base_bytes
        return self._payload_ends[index - self.base_index - 1]

    def payload_bytes(self, index: int) -> int:
        """Return the payload bytes of the entry at `index`."""
        return self._bytes_up_to(index) - self._bytes_up_to(index - 1)

    def snapshot_savings(self, first: int) -> int:
        """Return how many bytes the snapshot is smaller than the entries from `first` up to its index."""
        if first > self.snapshot.index:
            return 0
        up_to_snapshot = self._bytes_up_to(self.snapshot.index) - self._bytes_up_to(first - 1)
        return up_to_snapshot - self._snapshot_bytes

    def slice(self, first: int, last: int) -> list[Entry]:
        """Return the entries from `first` to `last` inclusive."""
        return self._entries[first - self.base_index - 1 : last - self.base_index]

    def batch(self, first: int, max_entries: int, max_bytes: int) -> list[Entry]:
        """Return entries from `first` on within both limits, but at least one if there is one."""
        last = min(first + max_entries - 1, self.last_index)
        limit = self._bytes_up_to(first - 1) + max_bytes
        while last > first and self._bytes_up_to(last) > limit:
            last -= 1
        return self.slice(first, last)

    def append_new(self, term: int, kind: EntryKind, payload: bytes) -> Entry:
        """Create and append an entry of this member as the leader."""
        entry = Entry(index=self.last_index + 1, term=term, kind=kind, payload=payload)
        self.append([entry])
        return entry

    def append(self, entries: Sequence[Entry]) -> None:
        """Append entries that directly follow the last one."""
        self._entries.extend(entries)
        total = self._payload_ends[-1] if self._payload_ends else self._base_bytes
        for entry in entries:
            total += len(entry.payload)
            self._payload_ends.append(total)
        self.memberships.append(entries)

    def merge(self, entries: Sequence[Entry], committed: int) -> int | None:
        """Append the leader's entries, replacing conflicting ones; their predecessor matches (Raft §5.3).

        Returns:
            The first index of the entries that were truncated, or None.

        Raises:
            DivergedError: an entry at or before the index `committed` conflicts.
        """
        for position, entry in enumerate(entries):
            if entry.index <= self.base_index or self.term_at(entry.index) == entry.term:
                continue
            if entry.index <= committed:
                raise DivergedError(f"entry {entry.index} is committed with a different term", step="append")
            truncated = self._truncate(entry.index)
            self.append(entries[position:])
            return truncated
        return None

    def _truncate(self, first: int) -> int | None:
        if first > self.last_index:
            return None
        del self._entries[first - self.base_index - 1 :]
        del self._payload_ends[first - self.base_index - 1 :]
        self.memberships.truncate(first)
        self.first_unwritten = min(self.first_unwritten, first)
        return first

    def compact(self, snapshot: Snapshot, trailing: int, trailing_bytes: int, oldest_needed: int) -> None:
        """Set a snapshot of an applied index and drop entries before it (Raft §7).

        The last `trailing` entries and those after the index `oldest_needed` are retained, as long as their
        payloads do not exceed `trailing_bytes`.
        """
        base = min(snapshot.index - trailing, oldest_needed)
        min_bytes = self._bytes_up_to(snapshot.index) - trailing_bytes
        min_base = self.base_index + 1 + bisect_left(self._payload_ends, min_bytes)
        if self._base_bytes >= min_bytes:
            min_base = self.base_index
        self._drop_up_to(min(max(base, min_base, self.base_index), snapshot.index))
        self._set_snapshot(snapshot)
        self.memberships.compact(snapshot.index)

    def _drop_up_to(self, base: int) -> None:
        base_term = self.term_at(base)
        assert base_term is not None
        self._base_bytes = self._bytes_up_to(base)
        del self._entries[: base - self.base_index]
        del self._payload_ends[: base - self.base_index]
        self.base_index = base
        self.base_term = base_term

    def install(self, snapshot: Snapshot) -> None:
        """Replace the log by a leader's snapshot (Raft §7)."""
        self._restart(snapshot)
