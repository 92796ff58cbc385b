"""The state that the process before left, rebuilt from the log's records."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import Protocol

from mallowbeam.storage_gateway.write_buffer.entries import Entry, State
from mallowbeam.storage_gateway.write_buffer.limits import NEVER, Limits


class RestoreTarget(Protocol):
    """What the restored writes and barriers are given to: the buffer's core."""

    @property
    def limits(self) -> Limits:
        """The bounds in force."""

    def accept(self, entry: Entry) -> None:
        """A write is accepted."""

    def durable(self, now: float, lsn: int, position: tuple[int, int], segments: Iterable[int]) -> None:
        """It is durable."""

    def open_barrier(self, lsn: int, bucket: str) -> None:
        """A barrier is accepted."""

    def barrier_durable(self, lsn: int, segment: int) -> None:
        """It is durable."""

    def restore_suspended(self, entry: Entry, reason: str) -> None:
        """A write was suspended, and still is."""

    def opened(self) -> None:
        """Everything has been restored."""


@dataclass(slots=True)
class RestoredWrite:
    """A write as the log has it."""

    entry: Entry
    position: tuple[int, int]  # segment and offset of its record
    segments: list[int]  # of the chunks of its body
    intent: tuple[bytes, float, int] | None = None  # boot, time on its clock, number of shards
    suspension: str | None = None  # why it is suspended


@dataclass(slots=True)
class Replay:
    """Builds the state at the end of the process before, from the log's records in order."""

    writes: dict[int, RestoredWrite] = field(default_factory=dict)
    barriers: dict[int, tuple[str, int]] = field(default_factory=dict)  # bucket, segment

    def write(self, restored: RestoredWrite) -> None:
        """A write, or a relocated one: the later position counts, and an earlier intent stays."""
        earlier = self.writes.pop(restored.entry.lsn, None)
        if earlier is not None and restored.intent is None:
            restored.intent = earlier.intent
        self.writes[restored.entry.lsn] = restored

    def barrier(self, lsn: int, bucket: str, segment: int) -> None:
        """A barrier, or a relocated one."""
        self.barriers[lsn] = bucket, segment

    def intent(self, lsns: list[int], intent: tuple[bytes, float, int]) -> None:
        """Writes may have been sent since then."""
        for lsn in lsns:
            restored = self.writes.get(lsn)
            if restored is not None:
                restored.intent = intent  # a later one stands for a new first attempt

    def done(self, lsns: list[int]) -> None:
        """Writes are done, or were never acknowledged."""
        for lsn in lsns:
            self.writes.pop(lsn, None)
            self.barriers.pop(lsn, None)

    def suspended(self, lsn: int, reason: str) -> None:
        """A write is suspended, or, without a reason, resumed."""
        restored = self.writes.get(lsn)
        if restored is not None:
            restored.suspension = reason or None
            if not reason:
                restored.intent = None

    def build(self, core: RestoreTarget, now: float, boot: bytes) -> None:
        """Give all that is left to the core."""
        for lsn in sorted([*self.writes, *self.barriers]):
            restored = self.writes.pop(lsn, None)  # one at a time: a full buffer would be in memory twice
            if restored is None:
                bucket, segment = self.barriers[lsn]
                core.open_barrier(lsn, bucket)
                core.barrier_durable(lsn, segment)
            else:
                self._build_write(core, restored, now, boot)
        core.opened()

    def _build_write(self, core: RestoreTarget, restored: RestoredWrite, now: float, boot: bytes) -> None:
        """Give one write to the core.

        An attempt of unknown outcome may be retried within its window only where one clock measured both its
        start and now: that of this very boot, and with the same number of shards.  All others are read back,
        and not before an attempt begun just before this start could no longer run.
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
