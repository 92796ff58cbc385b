"""What stood at the end of the process before, rebuilt from the log's records."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import Protocol

from mallowbeam.storage_gateway.write_buffer.entries import Entry, State
from mallowbeam.storage_gateway.write_buffer.limits import NEVER, Limits


class Restored(Protocol):
    """What is handed the writes and barriers that an earlier process left: the buffer's core."""

    @property
    def limits(self) -> Limits:
        """The bounds in force."""

    def accept(self, entry: Entry) -> None:
        """A write comes in."""

    def durable(self, now: float, lsn: int, where: tuple[int, int], segments: Iterable[int]) -> None:
        """The log has it."""

    def barrier(self, lsn: int, bucket: str) -> None:
        """A barrier comes in."""

    def barrier_durable(self, lsn: int, segment: int) -> None:
        """The log has it."""

    def hold_again(self, entry: Entry, reason: str) -> None:
        """A write was held, and still is."""

    def opened(self) -> None:
        """That was all."""


@dataclass(slots=True)
class Known:
    """A write as the log tells of it."""

    entry: Entry
    where: tuple[int, int]
    segments: list[int]
    intent: tuple[bytes, float, int] | None = None
    held: str | None = None


@dataclass(slots=True)
class Replay:
    """Builds what stood at the end of the life before, from the log's records in order."""

    writes: dict[int, Known] = field(default_factory=dict)
    barriers: dict[int, tuple[str, int]] = field(default_factory=dict)

    def write(self, known: Known) -> None:
        """A write, or a copy of one: the later place counts, and what was known of the earlier one stays."""
        before = self.writes.pop(known.entry.lsn, None)
        if before is not None and known.intent is None:
            known.intent = before.intent
        self.writes[known.entry.lsn] = known

    def barrier(self, lsn: int, bucket: str, segment: int) -> None:
        """A barrier, or a copy of one."""
        self.barriers[lsn] = bucket, segment

    def intent(self, lsns: list[int], intent: tuple[bytes, float, int]) -> None:
        """Writes may have gone out since then."""
        for lsn in lsns:
            known = self.writes.get(lsn)
            if known is not None:
                known.intent = intent  # a later one stands for a new first attempt

    def settled(self, lsns: list[int]) -> None:
        """Writes are over, or never were."""
        for lsn in lsns:
            self.writes.pop(lsn, None)
            self.barriers.pop(lsn, None)

    def held(self, lsn: int, reason: str) -> None:
        """A write is held, or, without a reason, let go again."""
        known = self.writes.get(lsn)
        if known is not None:
            known.held = reason or None
            if not reason:
                known.intent = None

    def build(self, core: Restored, now: float, boot: bytes) -> None:
        """Hand all that is left to the core.

        An attempt of unknown end may be repeated within its window only where one clock measured both its
        start and now: that of this very boot, and with objects in the places they had.  All others are read
        back, and not before an attempt begun just before this start could no longer run.
        """
        for lsn in sorted([*self.writes, *self.barriers]):
            known = self.writes.pop(lsn, None)  # one at a time: a full buffer would stand here twice
            if known is None:
                bucket, segment = self.barriers[lsn]
                core.barrier(lsn, bucket)
                core.barrier_durable(lsn, segment)
                continue
            entry = known.entry
            core.accept(entry)
            if known.intent is not None:
                told_boot, at, shards = known.intent
                same = told_boot == boot and at <= now and shards == core.limits.shards
                entry.intent, entry.attempted = at if same else now, True
                entry.doubt = at if same else -NEVER
                entry.last = now
            core.durable(now, lsn, known.where, known.segments)
            if known.held is not None:
                core.hold_again(entry, known.held)
            elif entry.doubt is not None:
                entry.state = State.DOUBTFUL
        core.opened()
