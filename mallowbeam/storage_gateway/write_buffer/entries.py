"""A write as the buffer holds it, the states that it passes through, and what has been counted.

A write is COMMITTING until the log has it, READY once it may go out, INTENDING while the word that it goes
out is being made durable, SENDING while the gateway has it.  An attempt that may have run leaves it DOUBTFUL:
it goes again under its key while the node still drops repeats, and after that only once reading back has
shown that it did not run.  What neither settles is HELD for an operator.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum


class State(Enum):
    """Where a write stands."""

    COMMITTING = "committing"
    READY = "ready"
    INTENDING = "intending"
    SENDING = "sending"
    DOUBTFUL = "doubtful"
    READING = "reading back"
    HELD = "held"
    OVER = "over"


class Offer(Enum):
    """What becomes of a write that a client offers."""

    TAKE = "take"
    DIRECT = "direct"  # straight to its node: there is no room here
    SLOW = "slow down"  # not now: its order or its fate here forbids the direct way


class Outcome(Enum):
    """How an attempt at a node ended."""

    STORED = "stored"
    REFUSED = "refused"  # it never ran
    UNKNOWN = "unknown"  # it may have run
    DECLINED = "declined"  # a node's own final no


class Entry:
    """A write held here."""

    __slots__ = (
        "lsn",
        "bucket",
        "name",
        "method",
        "place",
        "etag",
        "size",
        "cost",
        "state",
        "at",
        "where",
        "segments",
        "intent",
        "doubt",
        "last",
        "tries",
        "due",
        "queued",
        "group",
        "seen",
        "reason",
        "attempted",
    )

    def __init__(
        self,
        lsn: int,
        bucket: str,
        name: bytes,
        method: str,
        place: int,
        etag: str,
        size: int,
        cost: int,
        at: float,
    ) -> None:
        self.lsn, self.bucket, self.name, self.method = lsn, bucket, name, method
        self.place, self.etag, self.size = place, etag, size
        self.cost, self.at = cost, at  # bytes in the log; when it was taken in
        self.state = State.COMMITTING
        self.where = (0, 0)  # segment and offset of its record
        self.segments: tuple[int, ...] = ()  # all segments that hold a part of it
        self.intent: float | None = None  # since when it may have been sent
        self.doubt: float | None = None  # when the first attempt went out that may have run
        self.last = 0.0  # when the last attempt went out
        self.tries = 0  # attempts that brought nothing
        self.attempted = False  # whether one was ever begun
        self.due = 0.0
        self.queued = False
        self.group: Group
        self.seen: str | None = None  # the version read back, "" for none
        self.reason = ""  # why it is held

    @property
    def key(self) -> tuple[str, bytes]:
        """What orders it: its bucket and its name there."""
        return self.bucket, self.name


class Group:
    """The writes of a bucket between two barriers."""

    __slots__ = ("entries", "barrier", "durable")

    def __init__(self) -> None:
        self.entries: dict[int, Entry] = {}
        self.barrier: int | None = None  # the lsn of the barrier that ends it, None while it is open
        self.durable = False  # whether the log has that barrier


@dataclass(slots=True)
class Counts:
    """What has happened since this process started."""

    taken: int = 0
    stored: int = 0
    absorbed: int = 0
    repeats: int = 0
    read_back: int = 0
    refused: int = 0
    held: int = 0
    moved: int = 0
    lost: int = 0  # never acknowledged
