"""Rebuilds the state that the previous process left, from the log's records."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import Protocol

from mallowbeam.storage_gateway.write_buffer.entries import Entry, State
from mallowbeam.storage_gateway.write_buffer.limits import NEVER, Limits


class RestoreTarget(Protocol):
    """The receiver of restored writes and barriers: the buffer's core."""

    @property
    def limits(self) -> Limits:
        """The limits in force."""

    def accept(self, entry: Entry) -> None:
        """Add a write."""

    def durable(self, now: float, lsn: int, position: tuple[int, int], segments: Iterable[int]) -> None:
        """Note that a write is durable."""

    def open_barrier(self, lsn: int, bucket: str) -> None:
        """Add a barrier."""

    def barrier_durable(self, lsn: int, segment: int) -> None:
        """Note that a barrier is durable."""

    def restore_suspended(self, entry: Entry, reason: str) -> None:
        """Mark a write as still suspended."""

    def opened(self) -> None:
        """Note that everything has been restored."""


@dataclass(slots=True)
class RestoredWrite:
    """A write as the log's records describe it."""

    entry: Entry
    position: tuple[int, int]  # segment and offset of its record
    segments: list[int]  # of the chunks of its body
    intent: tuple[bytes, float, int] | None = None  # boot id, time on that boot's clock, number of shards
    suspension: str | None = None  # why it is suspended


@dataclass(slots=True)
class Replay:
    """Builds the state at the end of the previous process, from the log's records in order."""

    writes: dict[int, RestoredWrite] = field(default_factory=dict)
    barriers: dict[int, tuple[str, int]] = field(default_factory=dict)  # bucket, segment

    def write(self, restored: RestoredWrite) -> None:
        """Add a write or its relocated copy: the later position counts, and an earlier intent is kept."""
        earlier = self.writes.pop(restored.entry.lsn, None)
        if earlier is not None and restored.intent is None:
            restored.intent = earlier.intent
        self.writes[restored.entry.lsn] = restored

    def barrier(self, lsn: int, bucket: str, segment: int) -> None:
        """Add a barrier or its relocated copy."""
        self.barriers[lsn] = bucket, segment

    def intent(self, lsns: list[int], intent: tuple[bytes, float, int]) -> None:
        """Note from when on writes may have been sent."""
        for lsn in lsns:
            restored = self.writes.get(lsn)
            if restored is not None:
                restored.intent = intent  # a later intent belongs to a new first attempt

    def done(self, lsns: list[int]) -> None:
        """Remove writes that are done or were never acknowledged."""
        for lsn in lsns:
            self.writes.pop(lsn, None)
            self.barriers.pop(lsn, None)

    def suspended(self, lsn: int, reason: str) -> None:
        """Mark a write as suspended, or, if `reason` is empty, as resumed."""
        restored = self.writes.get(lsn)
        if restored is not None:
            restored.suspension = reason or None
            if not reason:
                restored.intent = None

    def build(self, core: RestoreTarget, now: float, boot: bytes) -> None:
        """Give all remaining writes and barriers to the core."""
        for lsn in sorted([*self.writes, *self.barriers]):
            restored = self.writes.pop(lsn, None)  # frees each: otherwise all would be in memory twice
            if restored is None:
                bucket, segment = self.barriers[lsn]
                core.open_barrier(lsn, bucket)
                core.barrier_durable(lsn, segment)
            else:
                self._build_write(core, restored, now, boot)
        core.opened()

    def _build_write(self, core: RestoreTarget, restored: RestoredWrite, now: float, boot: bytes) -> None:
        """Give one write to the core.

        An attempt of unknown outcome may be retried within its window only if the same clock, that of this
        boot, measured its start and now, and the number of shards is the same.  All others are read back, and
        only once an attempt begun just before this start can no longer run.
        """
        entry = restored.entry
        core.accept(entry)
        if restored.intent is not None:
            intent_boot, sent_at, shards = restored.intent
            is_comparable = intent_boot == boot and sent_at <= now and shards == core.limits.shards
            entry.intent_at = sent_at if is_comparable else now
            entry.uncertain_since = sent_at if is_comparable else -NEVER
            entry.attempted = True
            entry.last_attempt_at = now
        core.durable(now, entry.lsn, restored.position, restored.segments)
        if restored.suspension is not None:
            core.restore_suspended(entry, restored.suspension)
        elif entry.uncertain_since is not None:
            entry.state = State.UNCERTAIN
