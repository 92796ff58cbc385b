"""A buffered write, the states that it passes through, and the counters.

A write is COMMITTING until the log has it, READY once it may be sent, INTENDING while the record that it is
about to be sent is being made durable, SENDING while an attempt runs.  An attempt whose outcome is unknown
leaves it UNCERTAIN: it is retried under its idempotency key while the node still drops duplicates, and after
that only once reading back has shown that the attempt did not run.  What neither resolves is SUSPENDED until
an operator decides.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from mallowbeam.storage_gateway.write_buffer.records import Write


class State(Enum):
    """The state of a write."""

    COMMITTING = "committing"
    READY = "ready"
    INTENDING = "intending"
    SENDING = "sending"
    UNCERTAIN = "doubtful"
    READING_BACK = "reading back"
    SUSPENDED = "held"
    FINISHED = "over"


class Admission(Enum):
    """What becomes of a write that a client sends."""

    ACCEPT = "take"  # into the buffer
    DIRECT = "direct"  # straight to its node: there is no capacity here
    SLOW_DOWN = "slow down"  # rejected: order or an unknown outcome here forbids the direct way


class Outcome(Enum):
    """How an attempt at a node ended."""

    STORED = "stored"
    REJECTED = "refused"  # it never ran
    UNKNOWN = "unknown"  # it may have run
    DECLINED = "declined"  # a final answer of the node against the write


class Entry:
    """A buffered write; times are in seconds of the boot clock (`reopen.boot_clock`)."""

    __slots__ = (
        "lsn",
        "bucket",
        "name",
        "method",
        "placement_hash",
        "etag",
        "size",
        "log_bytes",
        "state",
        "accepted_at",
        "position",
        "segments",
        "intent_at",
        "uncertain_since",
        "last_attempt_at",
        "failed_attempts",
        "due_at",
        "queued",
        "group",
        "seen",
        "reason",
        "attempted",
    )

    def __init__(self, lsn: int, write: Write, log_bytes: int, accepted_at: float) -> None:
        self.lsn = lsn
        self.bucket = write.bucket
        self.name = write.target
        self.method = write.method
        self.placement_hash = write.placement_hash
        self.etag = write.etag
        self.size = write.size  # bytes of the body
        self.log_bytes = log_bytes  # bytes of its records
        self.accepted_at = accepted_at
        self.state = State.COMMITTING
        self.position = (0, 0)  # segment and offset of its record
        self.segments: tuple[int, ...] = ()  # all segments that hold a part of it
        self.intent_at: float | None = None  # since when it may have been sent
        self.uncertain_since: float | None = None  # when the first attempt of unknown outcome began
        self.last_attempt_at = 0.0
        self.failed_attempts = 0
        self.attempted = False  # whether an attempt was ever begun
        self.due_at = 0.0
        self.queued = False
        self.group: Group
        self.seen: str | None = None  # the version read back, "" for none
        self.reason = ""  # why it is suspended

    @property
    def key(self) -> tuple[str, bytes]:
        """Bucket and name: writes with one key are sent in order."""
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

    accepted: int = 0
    stored: int = 0
    absorbed: int = 0  # replaced by a later write of the same key before they were sent
    retries: int = 0
    read_back: int = 0
    rejected: int = 0  # attempts that never ran
    suspended: int = 0
    relocated: int = 0
    lost: int = 0  # never acknowledged, as the log could not take them
