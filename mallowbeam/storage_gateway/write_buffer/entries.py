"""A buffered write, its states, and the counters.

A write is COMMITTING until it is durable in the log, READY once it may be sent, INTENDING while its intent
record is being made durable, SENDING while an attempt runs.  An attempt whose outcome is unknown leaves it
UNCERTAIN: it is retried under its idempotency key while the node still drops duplicates, and after that only
once reading back has shown that the attempt did not run.  A write that neither resolves is SUSPENDED until
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
    """The decision on a write that a client sends."""

    ACCEPT = "take"  # buffer it
    DIRECT = "direct"  # send it directly to its node: the buffer has no capacity
    SLOW_DOWN = "slow down"  # reject it: the order of writes or an unknown outcome forbids a direct write


class Outcome(Enum):
    """How an attempt to send a write to its node ended."""

    STORED = "stored"
    REJECTED = "refused"  # the node did not run it
    UNKNOWN = "unknown"  # it may have run
    DECLINED = "declined"  # the node answered with a permanent error


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
        "expected_version",
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
        self.intent_at: float | None = None  # from when on it may have been sent
        self.uncertain_since: float | None = None  # when the first attempt of unknown outcome began
        self.last_attempt_at = 0.0
        self.failed_attempts = 0
        self.attempted = False  # whether an attempt was ever begun
        self.due_at = 0.0
        self.queued = False
        self.group: Group
        self.expected_version: str | None = None  # the version read back, "" for none
        self.reason = ""  # why it is suspended

    @property
    def key(self) -> tuple[str, bytes]:
        """Bucket and name: writes of the same key are sent in order."""
        return self.bucket, self.name


class Group:
    """The writes of a bucket between two consecutive barriers."""

    __slots__ = ("entries", "barrier", "durable")

    def __init__(self) -> None:
        self.entries: dict[int, Entry] = {}
        self.barrier: int | None = None  # the lsn of the barrier that ends the group, None while it is open
        self.durable = False  # whether that barrier is durable


@dataclass(slots=True)
class Counts:
    """Counters since this process started."""

    accepted: int = 0
    stored: int = 0
    absorbed: int = 0  # replaced by a later write of the same key before they were sent
    retries: int = 0
    read_back: int = 0
    rejected: int = 0  # attempts that the node did not run
    suspended: int = 0
    relocated: int = 0
    lost: int = 0  # never acknowledged, as the log could not store them
