"""The buffered writes, by number and by key.

Writes of one key are sent one after the other, and each only once the log has recorded that the previous one
is done: otherwise a crash would restore the previous write, and it would replace the later one.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Iterator

from mallowbeam.storage_gateway.write_buffer.entries import Counts, Entry, State
from mallowbeam.storage_gateway.write_buffer.groups import WriteGroups

Name = bytes  # an object's name in its bucket
Key = tuple[str, Name]  # a bucket, and a name in it


class PendingWrites:
    """All unfinished writes, and the finished ones whose done record is not durable yet."""

    def __init__(self) -> None:
        self.entries: dict[int, Entry] = {}
        self.keys: dict[Key, list[Entry]] = {}
        self.groups = WriteGroups()
        self.counts = Counts()
        self.suspended = 0  # writes that wait for an operator
        self._by_age: deque[Entry] = deque()
        self._finishing: dict[int, Entry] = {}  # finished, but the done record is not durable yet
        self._finishing_keys: dict[Key, int] = {}  # the number of those, by key

    def add(self, entry: Entry) -> None:
        """Add a write, after all accepted earlier."""
        self.entries[entry.lsn] = entry
        self.keys.setdefault(entry.key, []).append(entry)
        self.groups.add(entry)
        self._by_age.append(entry)

    def remove(self, entry: Entry) -> Entry | None:
        """Remove a write; returns the next one of its key, if any."""
        entry.state = State.FINISHED
        del self.entries[entry.lsn]
        del entry.group.entries[entry.lsn]
        chain = self.keys[entry.key]
        chain.remove(entry)
        if chain:
            return chain[0]
        del self.keys[entry.key]
        return None

    def begin_finishing(self, entry: Entry) -> None:
        """Note that a removed write is finished, while the log has yet to record that."""
        self._finishing[entry.lsn] = entry
        self._finishing_keys[entry.key] = self._finishing_keys.get(entry.key, 0) + 1

    def end_finishing(self, lsn: int) -> tuple[Entry, Entry | None]:
        """Note that a done record is durable; returns the write, and the next of its key if sendable."""
        entry = self._finishing.pop(lsn)
        self._finishing_keys[entry.key] -= 1
        if self._finishing_keys[entry.key]:
            return entry, None
        del self._finishing_keys[entry.key]
        chain = self.keys.get(entry.key)
        return entry, chain[0] if chain else None

    def earlier(self, entry: Entry) -> Iterator[Entry]:
        """Yield the writes of the same key that were accepted before `entry`."""
        for other in list(self.keys[entry.key]):
            if other is entry:
                return
            yield other

    def newest_of(self, key: Key) -> Entry | None:
        """The newest durable write of a key."""
        for entry in reversed(self.keys.get(key, ())):
            if entry.state is not State.COMMITTING:
                return entry
        return None

    def oldest_age(self, now: float) -> float:
        """Seconds since the oldest write was accepted; suspended writes do not count."""
        while self._by_age and self._by_age[0].state in (State.FINISHED, State.SUSPENDED):
            self._by_age.popleft()
        return max(0.0, now - self._by_age[0].accepted_at) if self._by_age else 0.0

    def resume_age(self, entry: Entry) -> None:
        """Count the age of a resumed write again."""
        self._by_age.appendleft(entry)

    def blocks_direct(self, key: Key) -> bool:
        """Whether buffered writes must reach the nodes before a direct write of that key may be sent."""
        return key in self.keys or key in self._finishing_keys or self.groups.has_barrier(key[0])

    def may_send(self, entry: Entry) -> bool:
        """Whether a write may be sent: first of its key, in its bucket's first group, and not suspended."""
        return (
            entry.state in (State.READY, State.UNCERTAIN)
            and self.keys[entry.key][0] is entry
            and entry.key not in self._finishing_keys
            and self.groups.in_first_group(entry)
        )
