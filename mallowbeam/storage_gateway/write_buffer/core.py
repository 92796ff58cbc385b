"""The buffer's decisions: what to accept, send, retry, read back, suspend, and relocate in the log.

No I/O, no clock, no randomness of its own.  Events come in by methods that are given the time (seconds of a
clock that runs through one boot of the machine); actions come out of `take`.

`Core` joins the parts: `entries` (a write and its states), `limits`, `pending_writes` (order by key),
`groups` (order by barriers), `dispatch` and `shards` (what is sent), `segments` (what the log may drop),
`actions` and `replay` (what an earlier process left).
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

MIN_FLUSH_FRACTION = 0.1  # of its window that the flush keeps, however much direct traffic there is
CALM_PRESSURE = 0.5  # from which on the flush yields less, up to a pressure of 1
RELOCATE_ABOVE = 0.5  # fraction of `max_bytes` from which on old segments are compacted
MAX_RELOCATED = 64  # writes relocated at once
RELOCATABLE = (State.READY, State.UNCERTAIN, State.SUSPENDED)


class Core:
    """The buffer's decisions."""

    def __init__(self, limits: Limits, rng: random.Random) -> None:
        self.writes = PendingWrites()
        self.segments = SegmentTable()
        self.actions = ActionQueue()
        self.dispatch = Dispatch(limits, rng, self.writes, self.segments, self.actions)
        self.committing = 0  # bytes being committed to the disk
        self.unavailable = True  # what the folder holds is not known here, or no longer
        self.failure: str | None = None  # why nothing is accepted, None where writes are
        self.untrusted_keys: set[Key] = set()  # keys with a record in a file that is not trusted any more
        self._relocating: set[int] = set()

    def take(self) -> list[Action]:
        """The actions to be executed, handed over."""
        return self.actions.take()

    @property
    def limits(self) -> Limits:
        """The bounds in force."""
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
        """The same by bucket and name, in their order."""
        return self.writes.keys

    @property
    def groups(self) -> dict[str, deque[Group]]:
        """The writes between barriers, by bucket."""
        return self.writes.groups.buckets

    @property
    def barriers(self) -> dict[int, tuple[str, int]]:
        """Pending barriers: bucket, and their record's segment."""
        return self.writes.groups.barriers

    @property
    def suspended(self) -> int:
        """The number of writes that wait for an operator."""
        return self.writes.suspended

    @property
    def counts(self) -> Counts:
        """What has happened since this process started."""
        return self.writes.counts

    @property
    def shards(self) -> dict[int, Shard]:
        """What is in flight to each shard."""
        return self.dispatch.shards.shards

    @property
    def in_flight(self) -> int:
        """The number of writes and reads in flight to nodes."""
        return self.dispatch.shards.in_flight

    @property
    def in_flight_bytes(self) -> int:
        """Bytes of their bodies."""
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
        """How full the buffer is, 0 to 1 and beyond, by what is nearest to its bound."""
        limits = self.limits
        return max(
            (self.bytes + self.committing) / limits.max_bytes,
            len(self.entries) / limits.max_records,
            self.oldest_age(now) / limits.max_age,
        )

    def blocks_direct(self, bucket: str, name: Name) -> bool:
        """Whether something must be on the nodes before a direct write of that name may be sent."""
        return self.writes.blocks_direct((bucket, name))

    def admit(self, now: float, bucket: str, name: Name, size: int) -> Admission:
        """What becomes of a write of `size` bytes in the log."""
        limits = self.limits
        if (bucket, name) in self.untrusted_keys:
            return Admission.SLOW_DOWN  # a record in an untrusted file may be restored
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
        """Whether so many bytes more may be written to the disk."""
        return (
            self.failure is None
            and not self.unavailable
            and self.bytes + self.committing + size <= self.limits.max_bytes
        )

    def accept(self, entry: Entry) -> None:
        """A write is being committed, behind all accepted before it."""
        self.writes.add(entry)
        self.committing += entry.log_bytes

    def durable(self, now: float, lsn: int, position: tuple[int, int], segments: Iterable[int]) -> None:
        """A write is durable at `position`: it counts from now on, and absorbs earlier ones still unsent."""
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
        """A write could not be committed: it was never here."""
        entry = self.entries[lsn]
        self.committing -= entry.log_bytes
        self.counts.lost += 1
        self.dispatch.drop(entry)

    def newest_of(self, bucket: str, name: Name) -> Entry | None:
        """The last durable write of a name."""
        return self.writes.newest_of((bucket, name))

    # --- barriers -------------------------------------------------------------------------------

    def open_barrier(self, lsn: int, bucket: str) -> None:
        """A barrier is being committed."""
        self.writes.groups.open_barrier(lsn, bucket)

    def barrier_durable(self, lsn: int, segment: int) -> None:
        """A barrier is durable, its record in `segment`."""
        bucket = self.writes.groups.barrier_durable(lsn, segment)
        self.segments.pin(segment)
        self.dispatch.pass_barriers(bucket)

    def barrier_lost(self, lsn: int) -> None:
        """A barrier could not be committed: the writes before and behind it are one group again."""
        bucket = self.writes.groups.barrier_lost(lsn)
        self.dispatch.pass_barriers(bucket)
        self.dispatch.queue_first_group(bucket)

    def writes_before(self, lsn: int) -> int | None:
        """The number of writes that a barrier waits for; None where it has passed, or there never was one."""
        return self.writes.groups.writes_before(lsn)

    def suspended_before_barrier(self, bucket: str) -> Entry | None:
        """The suspended write, if there is one, that keeps the bucket's first barrier from passing."""
        return self.writes.groups.suspended_in_first_group(bucket) if self.suspended else None

    # --- flushing -------------------------------------------------------------------------------

    def allowed_in_flight(self, now: float, direct: int) -> int:
        """The number of attempts in flight at once, given so many direct calls that the gateway serves.

        The flush yields in proportion to direct traffic, and less as the buffer fills.
        """
        most = self.limits.in_flight
        yielding = 1.0 / (1.0 + direct / max(1.0, most / 4))
        urgency = (self.pressure(now) - CALM_PRESSURE) / (1.0 - CALM_PRESSURE)
        return max(1, int(most * max(MIN_FLUSH_FRACTION, yielding, min(1.0, max(0.0, urgency)))))

    def plan(self, now: float, direct: int = 0) -> None:
        """Choose what is sent now, and what the log may drop."""
        self.dispatch.plan(now, self.allowed_in_flight(now, direct))
        self._compact()

    def next_wakeup(self) -> float:
        """When `plan` may find something to do again, if nothing else happens first."""
        return self.dispatch.next_wakeup()

    def intent_durable(self, now: float, lsns: list[int]) -> None:
        """The log has the record that these are about to be sent."""
        self.dispatch.intent_durable(now, lsns)

    def intent_lost(self, now: float, lsns: list[int]) -> None:
        """The log could not take that record: they are not sent yet."""
        self.dispatch.intent_lost(now, lsns)

    def attempt_ended(
        self, now: float, lsn: int, outcome: Outcome, retry_after: float = 0.0, reason: str = ""
    ) -> None:
        """An attempt has ended; `retry_after` in seconds, as a rejection asked for."""
        self.dispatch.attempt_ended(now, lsn, outcome, retry_after, reason)

    def version_read(self, now: float, lsn: int, version: str | None, answered: bool) -> None:
        """A node has said which version it has, None for none; or it has not `answered`."""
        self.dispatch.version_read(now, lsn, version, answered)

    def suspend(self, lsn: int, reason: str) -> None:
        """A write cannot go on: its bytes cannot be read any more."""
        self.dispatch.suspend(lsn, reason)

    def restore_suspended(self, entry: Entry, reason: str) -> None:
        """A write was suspended in an earlier process, and still is."""
        entry.state = State.SUSPENDED
        entry.reason = reason
        entry.queued = False
        self.writes.suspended += 1

    def release(self, now: float, lsn: int, drop: bool) -> bool:
        """An operator resumes or drops a suspended write; False where none is suspended under that number."""
        return self.dispatch.release(now, lsn, drop)

    def done_durable(self, lsns: Iterable[int]) -> None:
        """The log has recorded that writes are done: their segments need not stay for them."""
        self.dispatch.done_durable(lsns)

    def done_lost(self, lsns: Iterable[int]) -> None:
        """The log could not take that record: it is written again."""
        self.actions.record_done(lsns)

    def opened(self) -> None:
        """The folder's content is known: writes are accepted from now on, and counters start at zero."""
        self.writes.counts = Counts()
        self.unavailable = False

    # --- segments -------------------------------------------------------------------------------

    def update_segments(self, sizes: dict[int, int], newest: int) -> None:
        """The sizes of the segments on disk in bytes, and which one is being written."""
        self.segments.update(sizes, newest)

    def pin(self, segment: int, count: int = 1) -> None:
        """A segment holds chunks of a body that is being received, or, with -1, no longer."""
        self.segments.pin(segment, count)

    def segments_removed(self, segments: list[int]) -> None:
        """Segments were removed from the disk."""
        self.segments.removed(segments)

    def relocated(self, lsn: int, position: tuple[int, int], segments: Iterable[int]) -> None:
        """A write was copied to the log's end."""
        entry = self.entries.get(lsn)
        if entry is None:
            return
        self.counts.relocated += 1
        self.segments.release_entry(entry)
        self.segments.assign(entry, position, segments)

    def barrier_relocated(self, lsn: int, segment: int) -> None:
        """A barrier was copied to the log's end."""
        self.segments.release(self.writes.groups.barrier_relocated(lsn, segment), 0)
        self.segments.pin(segment)

    def relocation_ended(self) -> None:
        """What was to be copied has been, or could not be."""
        self._relocating = set()

    def _compact(self) -> None:
        """Remove the oldest segments that nothing needs; empty one that little needs, if space is short."""
        free = self.segments.start_removal()
        if free:
            self.actions.add(Remove(free))
        elif self.bytes > RELOCATE_ABOVE * self.limits.max_bytes and not self._relocating:
            oldest = self.segments.sparse()
            if oldest is not None:
                self._relocate_from(oldest)

    def _relocate_from(self, segment: int) -> None:
        """Copy what still needs a segment."""
        lsns = [
            entry.lsn
            for entry in self.entries.values()
            if segment in entry.segments and entry.state in RELOCATABLE
        ][:MAX_RELOCATED]
        barriers = [lsn for lsn, (_, holder) in self.barriers.items() if holder == segment]
        lsns += barriers[:MAX_RELOCATED]
        if lsns:
            self._relocating = set(lsns)
            self.actions.add(Relocate(lsns))
