"""A member's log in memory: entries, the snapshot before them, and which of them go to storage next."""

from __future__ import annotations

from collections.abc import Sequence

from mallowbeam.consensus.errors import DivergedError
from mallowbeam.consensus.membership import MembershipHistory
from mallowbeam.rpc.messages_pb2 import Entry, EntryKind, Snapshot


class RaftLog:
    """Entries behind `base_index`. The base is the snapshot's index or, for slow followers, before it."""

    def __init__(self, snapshot: Snapshot, entries: Sequence[Entry]) -> None:
        self._restart(snapshot)
        self.append(list(entries))
        self.first_unwritten = self.last_index + 1

    def _restart(self, snapshot: Snapshot) -> None:
        self.snapshot = snapshot
        self.base_index = snapshot.index
        self.base_term = snapshot.term
        self.memberships = MembershipHistory(snapshot.index, snapshot.membership)
        self.first_unwritten = snapshot.index + 1
        self._entries: list[Entry] = []

    @property
    def last_index(self) -> int:
        """Index of the last entry."""
        return self.base_index + len(self._entries)

    @property
    def last_term(self) -> int:
        """Term of the last entry."""
        return self._entries[-1].term if self._entries else self.base_term

    @property
    def blank(self) -> bool:
        """Whether the log belongs to a joiner that has never heard of a membership."""
        return not self.memberships.current.membership.members

    def term_at(self, index: int) -> int | None:
        """Term of the entry at `index`; None where the log does not hold it."""
        if index == self.base_index:
            return self.base_term
        if index < self.base_index or index > self.last_index:
            return None
        return self._entries[index - self.base_index - 1].term

    def matches(self, index: int, term: int) -> bool:
        """Whether the log is equal, up to `index`, to a leader's with `term` there."""
        if index < self.base_index:
            return True                        # committed, so every leader has it
        return self.term_at(index) == term

    def conflict_hint(self, index: int, floor: int) -> int:
        """Where a leader may look next after a mismatch at `index`: the end, or before that term."""
        term = self.term_at(index)
        if term is None:
            return self.last_index
        while index > floor and self.term_at(index) == term:
            index -= 1
        return index

    def slice(self, first: int, last: int) -> list[Entry]:
        """The entries from `first` to `last`, both included."""
        return self._entries[first - self.base_index - 1:last - self.base_index]

    def batch(self, first: int, most_entries: int, most_bytes: int) -> list[Entry]:
        """Entries from `first` on within the bounds, but one at least where there is one."""
        chosen: list[Entry] = []
        room = most_bytes
        for entry in self.slice(first, first + most_entries - 1):
            room -= len(entry.payload)
            if chosen and room < 0:
                break
            chosen.append(entry)
        return chosen

    def extend(self, term: int, kind: EntryKind, payload: bytes) -> Entry:
        """Append a leader's own entry."""
        entry = Entry(index=self.last_index + 1, term=term, kind=kind, payload=payload)
        self.append([entry])
        return entry

    def append(self, entries: Sequence[Entry]) -> None:
        """Append entries that follow the last one."""
        self._entries.extend(entries)
        self.memberships.append(entries)

    def merge(self, entries: Sequence[Entry], committed: int) -> int | None:
        """Take a leader's entries, whose predecessor matches; the first index of own ones dropped, if any.

        Raises DivergedError where an entry up to `committed` would have to go.
        """
        for position, entry in enumerate(entries):
            if entry.index <= self.base_index or self.term_at(entry.index) == entry.term:
                continue
            if entry.index <= committed:
                raise DivergedError(f"entry {entry.index} is committed in another term", step="append")
            dropped = self._truncate(entry.index)
            self.append(entries[position:])
            return dropped
        return None

    def _truncate(self, first: int) -> int | None:
        if first > self.last_index:
            return None
        del self._entries[first - self.base_index - 1:]
        self.memberships.truncate(first)
        self.first_unwritten = min(self.first_unwritten, first)
        return first

    def compact(self, snapshot: Snapshot, trailing: int) -> None:
        """Take a snapshot of an applied index, and drop entries but for `trailing` before it."""
        base = max(self.base_index, snapshot.index - trailing)
        base_term = self.term_at(base)
        assert base_term is not None
        del self._entries[:base - self.base_index]
        self.base_index, self.base_term = base, base_term
        self.snapshot = snapshot
        self.memberships.compact(snapshot.index)

    def install(self, snapshot: Snapshot) -> None:
        """Take a leader's snapshot in place of the whole log."""
        self._restart(snapshot)
