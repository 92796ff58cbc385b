"""The buffer's decisions: what to accept, send, retry, read back, suspend, and relocate in the log.

No I/O, no clock, no randomness of its own.  Events are method calls that are given the time (seconds of a
clock that runs through one boot of the machine); `take` returns the resulting actions.

`Core` combines the parts: `entries` (a write and its states), `limits`, `pending_writes` (order by key),
`groups` (order by barriers), `dispatch` and `shards` (which writes are sent, and when), `segments`
(which parts of the log may be removed), `actions` and `replay` (the state that an earlier process left).
"""

from __future__ import annotations

import random
from collections import deque
from collections.abc import Iterable

from mallowbeam.storage_gateway.write_buffer.actions import Action, ActionQueue, Relocate, Remove
from mallowbeam.storage_gateway.write_buffer.dispatch import Dispatch
from mallowbeam.storage_gateway.write_buffer.entries import Admission, Counts, Entry, Group, Outcome, State
from mallowbeam.storage_gateway.write_buffer.limits import Limits
from mallowbeam.storage_gateway.write_buffer.pending_writes import Key, Name, PendingWrites
from mallowbeam.storage_gateway.write_buffer.segments import SegmentTable
from mallowbeam.storage_gateway.write_buffer.shards import Shard

MIN_FLUSH_FRACTION = 0.1  # of its window, which the flush keeps under any direct traffic
YIELD_LESS_ABOVE_PRESSURE = 0.5  # above it the flush yields less, down to not at all at pressure 1
RELOCATE_ABOVE = 0.5  # fraction of `max_bytes` above which old segments are compacted
MAX_RELOCATED = 64  # writes in one relocation
RELOCATABLE = (State.READY, State.UNCERTAIN, State.SUSPENDED)


class Core:
    """The buffer's decisions."""

    def __init__(self, limits: Limits, rng: random.Random) -> None:
        self.writes = PendingWrites()
        self.segments = SegmentTable()
        self.actions = ActionQueue()
        self.dispatch = Dispatch(limits, rng, self.writes, self.segments, self.actions)
        self.committing = 0  # bytes being committed to the disk
        self.unavailable = True  # the folder is not open yet, or closed, or a fault occurred
        self.failure: str | None = None  # why no writes are accepted, None while they are
        self.untrusted_keys: set[Key] = set()  # keys with a record in a file that is no longer trusted
        self._relocating: set[int] = set()

    def take(self) -> list[Action]:
        """Return the actions to execute, and clear the queue."""
        return self.actions.take()

    @property
    def limits(self) -> Limits:
        """The limits in force."""
        return self.dispatch.limits

    @limits.setter
    def limits(self, limits: Limits) -> None:
        self.dispatch.limits = limits

    # --- state, for reading ---------------------------------------------------------------------

    @property
    def entries(self) -> dict[int, Entry]:
        """The buffered writes, by number."""
        return self.writes.entries

    @property
    def keys(self) -> dict[Key, list[Entry]]:
        """The buffered writes of each bucket and name, in order."""
        return self.writes.keys

    @property
    def groups(self) -> dict[str, deque[Group]]:
        """The writes between barriers, by bucket."""
        return self.writes.groups.buckets

    @property
    def barriers(self) -> dict[int, tuple[str, int]]:
        """Pending barriers by lsn: bucket, and the segment of the record."""
        return self.writes.groups.barriers

    @property
    def suspended(self) -> int:
        """The number of writes that wait for an operator."""
        return self.writes.suspended

    @property
    def counts(self) -> Counts:
        """Counters since this process started."""
        return self.writes.counts

    @property
    def shards(self) -> dict[int, Shard]:
        """The shards by number, with their windows and attempts in flight."""
        return self.dispatch.shards.shards

    @property
    def in_flight(self) -> int:
        """The number of writes and reads in flight to nodes."""
        return self.dispatch.shards.in_flight

    @property
    def in_flight_bytes(self) -> int:
        """Bytes of the bodies in flight."""
        return self.dispatch.shards.in_flight_bytes

    @property
    def bytes(self) -> int:
        """Bytes of the segments on disk."""
        return self.segments.bytes

    @property
    def newest_segment(self) -> int:
        """The segment being written."""
        return self.segments.newest

    @property
    def live(self) -> dict[int, int]:
        """The number of writes and barriers that need each segment."""
        return self.segments.live

    # --- accepting ------------------------------------------------------------------------------

    def oldest_age(self, now: float) -> float:
        """Seconds since the oldest write was accepted."""
        return self.writes.oldest_age(now)

    def pressure(self, now: float) -> float:
        """The largest utilization of the buffer's limits: 1 at the limit, more beyond it."""
        limits = self.limits
        return max(
            (self.bytes + self.committing) / limits.max_bytes,
            len(self.entries) / limits.max_records,
            self.oldest_age(now) / limits.max_age,
        )

    def blocks_direct(self, bucket: str, name: Name) -> bool:
        """Whether buffered writes must reach the nodes before a direct write of that name may be sent."""
        return self.writes.blocks_direct((bucket, name))

    def admit(self, now: float, bucket: str, name: Name, size: int) -> Admission:
        """Decide on a write that would take `size` bytes in the log."""
        limits = self.limits
        if (bucket, name) in self.untrusted_keys:
            return Admission.SLOW_DOWN  # a record in an untrusted file may be restored after a restart
        if (
            self.has_capacity(size)
            and len(self.entries) < limits.max_records
            and self.committing + size <= limits.max_commit
            and self.oldest_age(now) < limits.max_age
        ):
            return Admission.ACCEPT
        if self.unavailable or self.blocks_direct(bucket, name):
            return Admission.SLOW_DOWN
        return Admission.DIRECT

    def has_capacity(self, size: int) -> bool:
        """Whether `size` more bytes may be written to the disk."""
        return (
            self.failure is None
            and not self.unavailable
            and self.bytes + self.committing + size <= self.limits.max_bytes
        )

    def accept(self, entry: Entry) -> None:
        """Add a write that is being committed, after all accepted earlier."""
        self.writes.add(entry)
        self.committing += entry.log_bytes

    def durable(self, now: float, lsn: int, position: tuple[int, int], segments: Iterable[int]) -> None:
        """Note that a write is durable at `position`; it absorbs earlier unsent writes of its key."""
        entry = self.entries[lsn]
        self.committing -= entry.log_bytes
        self.counts.accepted += 1
        self.segments.assign(entry, position, segments)
        entry.state = State.READY
        for earlier in self.writes.earlier(entry):
            if earlier.group is entry.group and earlier.state is State.READY:
                self.counts.absorbed += 1
                self.dispatch.finish(earlier)
        self.dispatch.queue(entry, now)

    def lost(self, lsn: int) -> None:
        """Drop a write that could not be committed."""
        entry = self.entries[lsn]
        self.committing -= entry.log_bytes
        self.counts.lost += 1
        self.dispatch.drop(entry)

    def newest_of(self, bucket: str, name: Name) -> Entry | None:
        """The newest durable write of a name."""
        return self.writes.newest_of((bucket, name))

    # --- barriers -------------------------------------------------------------------------------

    def open_barrier(self, lsn: int, bucket: str) -> None:
        """Add a barrier that is being committed."""
        self.writes.groups.open_barrier(lsn, bucket)

    def barrier_durable(self, lsn: int, segment: int) -> None:
        """Note that a barrier is durable, with its record in `segment`."""
        bucket = self.writes.groups.barrier_durable(lsn, segment)
        self.segments.pin(segment)
        self.dispatch.pass_barriers(bucket)

    def barrier_lost(self, lsn: int) -> None:
        """Drop a barrier that could not be committed: the groups before and after it are merged."""
        bucket = self.writes.groups.barrier_lost(lsn)
        self.dispatch.pass_barriers(bucket)
        self.dispatch.queue_first_group(bucket)

    def writes_before(self, lsn: int) -> int | None:
        """The number of writes that a barrier waits for; None if it has passed or never existed."""
        return self.writes.groups.writes_before(lsn)

    def suspended_before_barrier(self, bucket: str) -> Entry | None:
        """The first suspended write, if any, that keeps the bucket's first barrier from passing."""
        return self.writes.groups.suspended_in_first_group(bucket) if self.suspended else None

    # --- flushing -------------------------------------------------------------------------------

    def allowed_in_flight(self, now: float, direct: int) -> int:
        """The number of attempts that may be in flight while the gateway serves `direct` direct calls.

        The flush yields in proportion to direct traffic, and less as the buffer fills up.
        """
        max_in_flight = self.limits.in_flight
        yielding = 1.0 / (1.0 + direct / max(1.0, max_in_flight / 4))
        urgency = (self.pressure(now) - YIELD_LESS_ABOVE_PRESSURE) / (1.0 - YIELD_LESS_ABOVE_PRESSURE)
        return max(1, int(max_in_flight * max(MIN_FLUSH_FRACTION, yielding, min(1.0, max(0.0, urgency)))))

    def plan(self, now: float, direct: int = 0) -> None:
        """Choose the writes to send now, and the segments to remove or compact."""
        self.dispatch.plan(now, self.allowed_in_flight(now, direct))
        self._compact()

    def next_wakeup(self) -> float:
        """When `plan` should be called again, unless another event happens first."""
        return self.dispatch.next_wakeup()

    def intent_durable(self, now: float, lsns: list[int]) -> None:
        """Note that the intent to send these writes is durable."""
        self.dispatch.intent_durable(now, lsns)

    def intent_lost(self, now: float, lsns: list[int]) -> None:
        """Note that the intent could not be recorded: these writes are not sent yet."""
        self.dispatch.intent_lost(now, lsns)

    def attempt_ended(
        self, now: float, lsn: int, outcome: Outcome, retry_after: float = 0.0, reason: str = ""
    ) -> None:
        """Note how an attempt ended; `retry_after` is the delay in seconds that a rejection asked for."""
        self.dispatch.attempt_ended(now, lsn, outcome, retry_after, reason)

    def version_read(self, now: float, lsn: int, version: str | None, answered: bool) -> None:
        """Note which version a node has (None for no object), or that it has not `answered`."""
        self.dispatch.version_read(now, lsn, version, answered)

    def suspend(self, lsn: int, reason: str) -> None:
        """Suspend a write whose bytes can no longer be read."""
        self.dispatch.suspend(lsn, reason)

    def restore_suspended(self, entry: Entry, reason: str) -> None:
        """Restore a write that was suspended in an earlier process."""
        entry.state = State.SUSPENDED
        entry.reason = reason
        entry.queued = False
        self.writes.suspended += 1

    def release(self, now: float, lsn: int, drop: bool) -> bool:
        """Resume or drop a suspended write for an operator; False if no suspended write has that lsn."""
        return self.dispatch.release(now, lsn, drop)

    def done_durable(self, lsns: Iterable[int]) -> None:
        """Note that the log has recorded these writes as done: they no longer need their segments."""
        self.dispatch.done_durable(lsns)

    def done_lost(self, lsns: Iterable[int]) -> None:
        """Note that the log could not record these writes as done, and request the record again."""
        self.actions.record_done(lsns)

    def opened(self) -> None:
        """Start accepting writes once the folder's content is known; the counters start at zero."""
        self.writes.counts = Counts()
        self.unavailable = False

    # --- segments -------------------------------------------------------------------------------

    def update_segments(self, sizes: dict[int, int], newest: int) -> None:
        """Set the sizes of the segments on disk in bytes, and the number of the one being written."""
        self.segments.update(sizes, newest)

    def pin(self, segment: int, count: int = 1) -> None:
        """Keep a segment that holds chunks of a body being received; -1 undoes that."""
        self.segments.pin(segment, count)

    def segments_removed(self, segments: list[int]) -> None:
        """Note that segments were removed from the disk."""
        self.segments.removed(segments)

    def relocated(self, lsn: int, position: tuple[int, int], segments: Iterable[int]) -> None:
        """Note that a write was copied to the end of the log."""
        entry = self.entries.get(lsn)
        if entry is None:
            return
        self.counts.relocated += 1
        self.segments.release_entry(entry)
        self.segments.assign(entry, position, segments)

    def barrier_relocated(self, lsn: int, segment: int) -> None:
        """Note that a barrier was copied to the end of the log."""
        self.segments.release(self.writes.groups.barrier_relocated(lsn, segment), 0)
        self.segments.pin(segment)

    def relocation_ended(self) -> None:
        """Note that the relocation has ended, whether or not everything was copied."""
        self._relocating = set()

    def _compact(self) -> None:
        """Remove the oldest unneeded segments; if space is short, relocate the records of a sparse one."""
        free = self.segments.start_removal()
        if free:
            self.actions.add(Remove(free))
        elif self.bytes > RELOCATE_ABOVE * self.limits.max_bytes and not self._relocating:
            oldest = self.segments.sparse()
            if oldest is not None:
                self._relocate_from(oldest)

    def _relocate_from(self, segment: int) -> None:
        """Relocate the writes and barriers that still need a segment."""
        lsns = [
            entry.lsn
            for entry in self.entries.values()
            if segment in entry.segments and entry.state in RELOCATABLE
        ][:MAX_RELOCATED]
        barriers = [lsn for lsn, (_, record_segment) in self.barriers.items() if record_segment == segment]
        lsns += barriers[:MAX_RELOCATED]
        if lsns:
            self._relocating = set(lsns)
            self.actions.add(Relocate(lsns))
