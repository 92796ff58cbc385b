"""What the buffer decides: what to take in, send, repeat, read back, hold, and copy on.

No I/O, no clock, no randomness of its own.  Events come in by methods that are given the time (seconds of a
clock that runs through one boot of the machine); what is to be done comes out of `take`.

`Core` joins the parts: `entries` (a write and its states), `limits`, `held_writes` (order by name), `groups`
(order by barriers), `dispatch` and `shards` (what goes to the nodes), `segments` (what the log may forget),
`actions` (what is to be done) and `replay` (what an earlier process left).
"""

from __future__ import annotations

import random
from collections import deque
from collections.abc import Iterable

from mallowbeam.storage_gateway.write_buffer.actions import (
    SETTLE_MOST,
    Action,
    ActionQueue,
    Hold,
    Intend,
    Move,
    Passed,
    ReadBack,
    Remove,
    Send,
    Settle,
)
from mallowbeam.storage_gateway.write_buffer.dispatch import DROPPED, LEAST_SEND, SAFE_MARGIN, Dispatch
from mallowbeam.storage_gateway.write_buffer.entries import Counts, Entry, Group, Offer, Outcome, State
from mallowbeam.storage_gateway.write_buffer.held_writes import HeldWrites, Key, Name
from mallowbeam.storage_gateway.write_buffer.limits import NEVER, Limits
from mallowbeam.storage_gateway.write_buffer.replay import Known, Replay
from mallowbeam.storage_gateway.write_buffer.segments import MOVE_BELOW, SegmentTable
from mallowbeam.storage_gateway.write_buffer.shards import Shard

__all__ = [
    "DROPPED",
    "LEAST_SEND",
    "MOVE_BELOW",
    "NEVER",
    "SAFE_MARGIN",
    "SETTLE_MOST",
    "Action",
    "Core",
    "Counts",
    "Entry",
    "Group",
    "Hold",
    "Intend",
    "Known",
    "Limits",
    "Move",
    "Offer",
    "Outcome",
    "Passed",
    "ReadBack",
    "Remove",
    "Replay",
    "Send",
    "Settle",
    "Shard",
    "State",
]

GIVE_WAY = 0.1  # of its window the flush keeps, however much direct traffic there is
CALM = 0.5  # pressure from which on the flush gives way less, all the way up to 1
MOVE_ABOVE = 0.5  # of the bytes allowed: from there on old segments are emptied by copying
MOVE_MOST = 64  # writes copied on at once
MOVABLE = (State.READY, State.DOUBTFUL, State.HELD)


class Core:
    """The buffer's decisions."""

    def __init__(self, limits: Limits, chance: random.Random) -> None:
        self.writes = HeldWrites()
        self.segments = SegmentTable()
        self.actions = ActionQueue()
        self.dispatch = Dispatch(limits, chance, self.writes, self.segments, self.actions)
        self.committing = 0  # bytes on their way to the disk
        self.away = True  # what the folder holds is not known here, or no longer
        self.broken: str | None = None  # why nothing is taken in, None where it is
        self.tainted: set[Key] = set()  # keys with a record on a file that is trusted no more
        self._moving: set[int] = set()

    def take(self) -> list[Action]:
        """What is to be done, handed over."""
        return self.actions.take()

    @property
    def limits(self) -> Limits:
        """The bounds in force."""
        return self.dispatch.limits

    @limits.setter
    def limits(self, limits: Limits) -> None:
        self.dispatch.limits = limits

    # --- what is held, for reading --------------------------------------------------------------

    @property
    def entries(self) -> dict[int, Entry]:
        """The writes held here, by number."""
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
    def held(self) -> int:
        """How many writes wait for an operator."""
        return self.writes.held

    @property
    def counts(self) -> Counts:
        """What has happened since this process started."""
        return self.writes.counts

    @property
    def shards(self) -> dict[int, Shard]:
        """What is on its way to each shard."""
        return self.dispatch.shards.shards

    @property
    def out(self) -> int:
        """Writes and reads on their way to nodes."""
        return self.dispatch.shards.out

    @property
    def out_bytes(self) -> int:
        """Bytes of their bodies."""
        return self.dispatch.shards.out_bytes

    @property
    def bytes(self) -> int:
        """Bytes of the segments on disk."""
        return self.segments.bytes

    @property
    def newest(self) -> int:
        """The segment written to."""
        return self.segments.newest

    @property
    def live(self) -> dict[int, int]:
        """How many writes and barriers need each segment."""
        return self.segments.live

    # --- taking in ------------------------------------------------------------------------------

    def age(self, now: float) -> float:
        """Seconds for which the oldest write has been here."""
        return self.writes.oldest_age(now)

    def pressure(self, now: float) -> float:
        """How full the buffer is, 0 to 1 and beyond, by what is nearest to its bound."""
        limits = self.limits
        return max(
            (self.bytes + self.committing) / limits.max_bytes,
            len(self.entries) / limits.max_records,
            self.age(now) / limits.max_age,
        )

    def ordered(self, bucket: str, name: Name) -> bool:
        """Whether something here must be on the nodes before a direct write of that name may go."""
        return self.writes.ordered((bucket, name))

    def offer(self, now: float, bucket: str, name: Name, size: int) -> Offer:
        """What becomes of a write of `size` bytes in the log."""
        limits = self.limits
        if (bucket, name) in self.tainted:
            return Offer.SLOW  # what stands on a distrusted file may come back
        if (
            self.room(size)
            and len(self.entries) < limits.max_records
            and self.committing + size <= limits.max_commit
            and self.age(now) < limits.max_age
        ):
            return Offer.TAKE
        if self.away:
            return Offer.SLOW
        return Offer.SLOW if self.ordered(bucket, name) else Offer.DIRECT

    def room(self, size: int) -> bool:
        """Whether so many bytes more may go to the disk."""
        return (
            self.broken is None
            and not self.away
            and self.bytes + self.committing + size <= self.limits.max_bytes
        )

    def accept(self, entry: Entry) -> None:
        """A write is on its way to the log, behind all accepted before it."""
        self.writes.add(entry)
        self.committing += entry.cost

    def durable(self, now: float, lsn: int, where: tuple[int, int], segments: Iterable[int]) -> None:
        """The log has a write: it counts from now on, and an earlier one still unsent gives way to it."""
        entry = self.entries[lsn]
        self.committing -= entry.cost
        self.counts.taken += 1
        self.segments.place(entry, where, segments)
        entry.state = State.READY
        for older in self.writes.older(entry):
            if older.group is entry.group and older.state is State.READY:
                self.counts.absorbed += 1
                self.dispatch.finish(older)
        self.dispatch.queue(entry, now)

    def lost(self, lsn: int) -> None:
        """The log could not take a write: it was never here."""
        entry = self.entries[lsn]
        self.committing -= entry.cost
        self.counts.lost += 1
        self.dispatch.drop(entry)

    def newest_of(self, bucket: str, name: Name) -> Entry | None:
        """The last write of a name that the log has."""
        return self.writes.newest_of((bucket, name))

    # --- barriers -------------------------------------------------------------------------------

    def barrier(self, lsn: int, bucket: str) -> None:
        """A barrier is on its way to the log."""
        self.writes.groups.open_barrier(lsn, bucket)

    def barrier_durable(self, lsn: int, segment: int) -> None:
        """The log has it."""
        bucket = self.writes.groups.barrier_durable(lsn, segment)
        self.segments.pin(segment)
        self.dispatch.pass_barriers(bucket)

    def barrier_lost(self, lsn: int) -> None:
        """The log could not take a barrier: what it parted belongs together again."""
        bucket = self.writes.groups.barrier_lost(lsn)
        self.dispatch.pass_barriers(bucket)
        self.dispatch.queue_first_group(bucket)

    def before(self, lsn: int) -> int | None:
        """How many writes a barrier still waits for; None where it has passed, or there never was one."""
        return self.writes.groups.writes_before(lsn)

    def blocked(self, bucket: str) -> Entry | None:
        """The held write, if there is one, that keeps the bucket's first barrier from passing."""
        return self.writes.groups.held_in_first_group(bucket) if self.held else None

    # --- flushing -------------------------------------------------------------------------------

    def allowed(self, now: float, direct: int) -> int:
        """How many may be on their way at once, given so many direct calls held by the gateway.

        The flush gives way in proportion, and takes its part back as the buffer fills.
        """
        most = self.limits.in_flight
        yielding = 1.0 / (1.0 + direct / max(1.0, most / 4))
        urgent = min(1.0, max(0.0, (self.pressure(now) - CALM) / (1.0 - CALM)))
        return max(1, int(most * max(GIVE_WAY, yielding, urgent)))

    def plan(self, now: float, direct: int = 0) -> None:
        """Choose what goes out now, and what the log may forget."""
        self.dispatch.plan(now, self.allowed(now, direct))
        self._tidy()

    def wake(self) -> float:
        """When `plan` may find something to do again, if nothing else happens first."""
        return self.dispatch.wake()

    def intended(self, now: float, lsns: list[int]) -> None:
        """The log has the word that these go out."""
        self.dispatch.intended(now, lsns)

    def not_intended(self, now: float, lsns: list[int]) -> None:
        """The log could not take that word: they stay."""
        self.dispatch.not_intended(now, lsns)

    def sent(
        self, now: float, lsn: int, outcome: Outcome, retry_after: float = 0.0, reason: str = ""
    ) -> None:
        """An attempt has ended."""
        self.dispatch.sent(now, lsn, outcome, retry_after, reason)

    def read_back(self, now: float, lsn: int, version: str | None, answered: bool) -> None:
        """A node has said which version it has, None for none; or it has not `answered`."""
        self.dispatch.read_back(now, lsn, version, answered)

    def hold(self, lsn: int, reason: str) -> None:
        """A write can't go on: its bytes can't be read any more."""
        self.dispatch.hold(lsn, reason)

    def hold_again(self, entry: Entry, reason: str) -> None:
        """A write was held by the process before, and still is."""
        entry.state, entry.reason, entry.queued = State.HELD, reason, False
        self.writes.held += 1

    def release(self, now: float, lsn: int, drop: bool) -> bool:
        """An operator lets a held write go, or drops it; False where none is held under that number."""
        return self.dispatch.release(now, lsn, drop)

    def settled(self, lsns: Iterable[int]) -> None:
        """The log has it that writes are settled: their segments need not stay for them."""
        self.dispatch.settled(lsns)

    def not_settled(self, lsns: Iterable[int]) -> None:
        """The log could not take that word: it is said again."""
        self.actions.settle(lsns)

    def opened(self) -> None:
        """What the folder holds is known: taking in begins, and counting begins anew."""
        self.writes.counts = Counts()
        self.away = False

    # --- segments -------------------------------------------------------------------------------

    def on_disk(self, sizes: dict[int, int], newest: int) -> None:
        """How large the segments are, and which is being written."""
        self.segments.on_disk(sizes, newest)

    def pin(self, segment: int, count: int = 1) -> None:
        """A segment holds pieces of a body that is still coming in, or, with -1, no longer."""
        self.segments.pin(segment, count)

    def removed(self, segments: list[int]) -> None:
        """Segments are gone."""
        self.segments.removed(segments)

    def moved(self, lsn: int, where: tuple[int, int], segments: Iterable[int]) -> None:
        """A write stands at the log's end too."""
        entry = self.entries.get(lsn)
        if entry is None:
            return
        self.counts.moved += 1
        self.segments.release_entry(entry)
        self.segments.place(entry, where, segments)

    def barrier_moved(self, lsn: int, segment: int) -> None:
        """A barrier stands at the log's end too."""
        self.segments.release(self.writes.groups.barrier_moved(lsn, segment), 0)
        self.segments.pin(segment)

    def moving_over(self) -> None:
        """What was to be copied is, or could not be."""
        self._moving = set()

    def _tidy(self) -> None:
        """Take away the oldest segments that nothing needs; empty one that little needs, if room is short."""
        free = self.segments.start_removal()
        if free:
            self.actions.add(Remove(free))
        elif self.bytes > MOVE_ABOVE * self.limits.max_bytes and not self._moving:
            oldest = self.segments.sparse()
            if oldest is not None:
                self._move(oldest)

    def _move(self, oldest: int) -> None:
        """Copy on what still needs a segment."""
        lsns = [
            entry.lsn
            for entry in self.entries.values()
            if oldest in entry.segments and entry.state in MOVABLE
        ][:MOVE_MOST]
        lsns += [lsn for lsn, (_, segment) in self.barriers.items() if segment == oldest][:MOVE_MOST]
        if lsns:
            self._moving = set(lsns)
            self.actions.add(Move(lsns))
