"""The order that barriers impose on the writes of a bucket: writes after a barrier wait for all before it.

The order of groups is that of a write-back cache with barriers (SCSI SBC, SYNCHRONIZE CACHE).
"""

from __future__ import annotations

from collections import deque
from typing import NamedTuple

from mallowbeam.storage_gateway.write_buffer.entries import Entry, Group, State


class PassedBarrier(NamedTuple):
    """A barrier that has no pending writes before it, and the segment of its record."""

    lsn: int
    segment: int


class WriteGroups:
    """The writes of each bucket, in groups between barriers."""

    def __init__(self) -> None:
        self.buckets: dict[str, deque[Group]] = {}
        self.barriers: dict[int, tuple[str, int]] = {}  # pending ones: bucket, segment of the record

    def add(self, entry: Entry) -> None:
        """Add a write to the last group of its bucket."""
        entry.group = self._groups_of(entry.bucket)[-1]
        entry.group.entries[entry.lsn] = entry

    def in_first_group(self, entry: Entry) -> bool:
        """Whether no pending barrier precedes a write."""
        return self.buckets[entry.bucket][0] is entry.group

    def first_group(self, bucket: str) -> list[Entry]:
        """The writes of a bucket that no pending barrier precedes."""
        groups = self.buckets.get(bucket)
        return list(groups[0].entries.values()) if groups else []

    def has_barrier(self, bucket: str) -> bool:
        """Whether a bucket has a barrier that has not passed."""
        return len(self.buckets.get(bucket, ())) > 1

    def open_barrier(self, lsn: int, bucket: str) -> None:
        """Add a barrier that is being committed, and begin a new group after it."""
        groups = self._groups_of(bucket)
        groups[-1].barrier = lsn
        groups.append(Group())
        self.barriers[lsn] = bucket, 0

    def barrier_durable(self, lsn: int, segment: int) -> str:
        """Mark a barrier as durable, with its record in `segment`; returns its bucket."""
        bucket, _ = self.barriers[lsn]
        self.barriers[lsn] = bucket, segment
        for group in self.buckets[bucket]:
            if group.barrier == lsn:
                group.durable = True
        return bucket

    def barrier_lost(self, lsn: int) -> str:
        """Remove a barrier that could not be committed and merge its two groups; returns its bucket."""
        bucket, _ = self.barriers.pop(lsn)
        groups = self.buckets[bucket]
        for position, group in enumerate(groups):
            if group.barrier != lsn:
                continue
            later = groups[position + 1]
            for entry in group.entries.values():
                entry.group = later
            later.entries = group.entries | later.entries
            del groups[position]
            break
        return bucket

    def barrier_relocated(self, lsn: int, segment: int) -> int:
        """Note that a barrier's record was copied to `segment`; returns the segment of the earlier record."""
        bucket, earlier_segment = self.barriers[lsn]
        self.barriers[lsn] = bucket, segment
        return earlier_segment

    def pass_barriers(self, bucket: str) -> list[PassedBarrier]:
        """Remove and return the barriers that have no pending writes before them."""
        groups = self.buckets[bucket]
        passed = []
        while len(groups) > 1 and not groups[0].entries and groups[0].durable:
            lsn = groups.popleft().barrier
            assert lsn is not None
            _, segment = self.barriers.pop(lsn)
            passed.append(PassedBarrier(lsn, segment))
        return passed

    def forget_if_empty(self, bucket: str) -> None:
        """Drop a bucket that holds neither writes nor barriers."""
        groups = self.buckets[bucket]
        if len(groups) == 1 and not groups[0].entries:
            del self.buckets[bucket]

    def writes_before(self, lsn: int) -> int | None:
        """The number of writes that a barrier waits for; None if it has passed or never existed."""
        pending = self.barriers.get(lsn)
        if pending is None:
            return None
        bucket, _ = pending
        count = 0
        for group in self.buckets[bucket]:
            count += len(group.entries)
            if group.barrier == lsn:
                break
        return count

    def suspended_in_first_group(self, bucket: str) -> Entry | None:
        """The first suspended write, if any, that keeps a bucket's first barrier from passing."""
        return next((entry for entry in self.first_group(bucket) if entry.state is State.SUSPENDED), None)

    def _groups_of(self, bucket: str) -> deque[Group]:
        groups = self.buckets.get(bucket)
        if groups is None:
            groups = self.buckets[bucket] = deque([Group()])
        return groups
