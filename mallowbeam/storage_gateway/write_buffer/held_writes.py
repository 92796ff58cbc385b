"""The writes held here, by number and by name, with what has been counted of them.

Writes of one name go out one after the other, and none before the log knows that the one before it is
settled: after a crash that one would come back and replace it.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Iterator

from mallowbeam.storage_gateway.write_buffer.entries import Counts, Entry, State
from mallowbeam.storage_gateway.write_buffer.groups import WriteGroups

Name = bytes  # of an object in its bucket
Key = tuple[str, Name]  # a bucket, and a name in it


class HeldWrites:
    """All writes that are not over, and those that are over while the log may not know it."""

    def __init__(self) -> None:
        self.entries: dict[int, Entry] = {}
        self.keys: dict[Key, list[Entry]] = {}
        self.groups = WriteGroups()
        self.counts = Counts()
        self.held = 0  # entries that wait for an operator
        self._ages: deque[Entry] = deque()
        self._leaving: dict[int, Entry] = {}  # over, but the log may not have that yet
        self._unsettled: dict[Key, int] = {}  # how many of those, by key

    def add(self, entry: Entry) -> None:
        """A write comes in, behind all that came before it."""
        self.entries[entry.lsn] = entry
        self.keys.setdefault(entry.key, []).append(entry)
        self.groups.add(entry)
        self._ages.append(entry)

    def drop(self, entry: Entry) -> Entry | None:
        """A write is here no more; the next of its key, if there is one."""
        entry.state = State.OVER
        del self.entries[entry.lsn]
        del entry.group.entries[entry.lsn]
        chain = self.keys[entry.key]
        chain.remove(entry)
        if chain:
            return chain[0]
        del self.keys[entry.key]
        return None

    def leave(self, entry: Entry) -> None:
        """A write that was dropped is over; the log has yet to be told."""
        self._leaving[entry.lsn] = entry
        self._unsettled[entry.key] = self._unsettled.get(entry.key, 0) + 1

    def settled(self, lsn: int) -> tuple[Entry, Entry | None]:
        """The log has it that a write is over; it, and the next of its key where that need wait no longer."""
        entry = self._leaving.pop(lsn)
        self._unsettled[entry.key] -= 1
        if self._unsettled[entry.key]:
            return entry, None
        del self._unsettled[entry.key]
        chain = self.keys.get(entry.key)
        return entry, chain[0] if chain else None

    def older(self, entry: Entry) -> Iterator[Entry]:
        """The writes of the same key that came before one."""
        for other in list(self.keys[entry.key]):
            if other is entry:
                return
            yield other

    def newest_of(self, key: Key) -> Entry | None:
        """The last write of a key that the log has."""
        for entry in reversed(self.keys.get(key, ())):
            if entry.state is not State.COMMITTING:
                return entry
        return None

    def oldest_age(self, now: float) -> float:
        """Seconds for which the oldest write has been here; one held for an operator does not count."""
        while self._ages and self._ages[0].state in (State.OVER, State.HELD):
            self._ages.popleft()
        return max(0.0, now - self._ages[0].at) if self._ages else 0.0

    def count_age_again(self, entry: Entry) -> None:
        """A held write goes on: its age counts again."""
        self._ages.appendleft(entry)

    def ordered(self, key: Key) -> bool:
        """Whether something here must be on the nodes before a direct write of that key may go."""
        return key in self.keys or key in self._unsettled or self.groups.has_barrier(key[0])

    def may_go(self, entry: Entry) -> bool:
        """Whether a write is next: first of its key, in the first group of its bucket, and not held."""
        return (
            entry.state in (State.READY, State.DOUBTFUL)
            and self.keys[entry.key][0] is entry
            and entry.key not in self._unsettled
            and self.groups.in_first_group(entry)
        )
