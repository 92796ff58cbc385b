"""A member's log in memory: entries, the snapshot before them, and which of them go to storage next."""

from __future__ import annotations

from bisect import bisect_left
from collections.abc import Sequence

from mallowbeam.router.consensus.errors import DivergedError
from mallowbeam.router.consensus.membership import MembershipHistory
from mallowbeam.router.rpc.messages_pb2 import Entry, EntryKind, Snapshot


class RaftLog:
    """Entries behind `base_index`. The base is the snapshot's index or, for slow followers, before it."""

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
        self._base_bytes = 0  # of the payloads of all entries up to the base
        self._payload_ends: list[int] = []  # the same up to each entry

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
            return True  # committed, so every leader has it
        return self.term_at(index) == term

    def conflict_hint(self, index: int, floor: int) -> int:
        """Where a leader may look next after a mismatch at `index`: the end, or before that term."""
        term = self.term_at(index)
        if term is None:
            return self.last_index
        while index > floor and self.term_at(index) == term:
            index -= 1
        return index

    def bytes_behind(self, index: int) -> int:
        """Bytes of the payloads behind `index`, which is not before the base."""
        return self._bytes_up_to(self.last_index) - self._bytes_up_to(index)

    def _bytes_up_to(self, index: int) -> int:
        if index <= self.base_index:
            return self._base_bytes
        return self._payload_ends[index - self.base_index - 1]

    def payload_bytes(self, index: int) -> int:
        """Bytes of one entry's payload."""
        return self._bytes_up_to(index) - self._bytes_up_to(index - 1)

    def snapshot_saves(self, first: int) -> int:
        """How many bytes fewer the snapshot has than the entries from `first` up to it."""
        if first > self.snapshot.index:
            return 0
        up_to_snapshot = self._bytes_up_to(self.snapshot.index) - self._bytes_up_to(first - 1)
        return up_to_snapshot - self._snapshot_bytes

    def slice(self, first: int, last: int) -> list[Entry]:
        """The entries from `first` to `last`, both included."""
        return self._entries[first - self.base_index - 1 : last - self.base_index]

    def batch(self, first: int, most_entries: int, most_bytes: int) -> list[Entry]:
        """Entries from `first` on within the bounds, but one at least where there is one."""
        last = min(first + most_entries - 1, self.last_index)
        bound = self._bytes_up_to(first - 1) + most_bytes
        while last > first and self._bytes_up_to(last) > bound:
            last -= 1
        return self.slice(first, last)

    def extend(self, term: int, kind: EntryKind, payload: bytes) -> Entry:
        """Append a leader's own entry."""
        entry = Entry(index=self.last_index + 1, term=term, kind=kind, payload=payload)
        self.append([entry])
        return entry

    def append(self, entries: Sequence[Entry]) -> None:
        """Append entries that follow the last one."""
        self._entries.extend(entries)
        total = self._payload_ends[-1] if self._payload_ends else self._base_bytes
        for entry in entries:
            total += len(entry.payload)
            self._payload_ends.append(total)
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
        del self._entries[first - self.base_index - 1 :]
        del self._payload_ends[first - self.base_index - 1 :]
        self.memberships.truncate(first)
        self.first_unwritten = min(self.first_unwritten, first)
        return first

    def compact(self, snapshot: Snapshot, trailing: int, trailing_bytes: int, needed_behind: int) -> None:
        """Take a snapshot of an applied index, and drop entries before it.

        Kept are the last `trailing` and those behind `needed_behind`, as far as they have no more than
        `trailing_bytes` of payloads together.
        """
        base = min(snapshot.index - trailing, needed_behind)
        least_bytes = self._bytes_up_to(snapshot.index) - trailing_bytes
        affordable = self.base_index + 1 + bisect_left(self._payload_ends, least_bytes)
        if self._base_bytes >= least_bytes:
            affordable = self.base_index
        self._drop_up_to(min(max(base, affordable, self.base_index), snapshot.index))
        self._set_snapshot(snapshot)
        self.memberships.compact(snapshot.index)

    def _drop_up_to(self, base: int) -> None:
        base_term = self.term_at(base)
        assert base_term is not None
        self._base_bytes = self._bytes_up_to(base)
        del self._entries[: base - self.base_index]
        del self._payload_ends[: base - self.base_index]
        self.base_index, self.base_term = base, base_term

    def install(self, snapshot: Snapshot) -> None:
        """Take a leader's snapshot in place of the whole log."""
        self._restart(snapshot)
