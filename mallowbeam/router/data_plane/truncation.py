"""Why a request is abandoned and why a streamed response is truncated, for log and metrics.  No I/O."""

from __future__ import annotations

from enum import Enum


class AbandonReason(Enum):
    """Why no further attempt is made for a request."""

    OUT_OF_TIME = "its time is over"
    NO_INSTANCE_LEFT = "it has been sent to as many instances as it may be"
    NO_CAPACITY = "no instance has room in time"
    RETRY_BUDGET = "the retry budget or the number of instances is used up"
    NOT_RESUMABLE = "the route or its events do not allow it"
    NOT_A_STREAM = "the instance answered no stream"


class TruncationCause(Enum):
    """What ended a response that had begun; the values are labels of a metric."""

    BROKEN = "broken"  # the instance's connection broke, or what it sent was malformed
    DEADLINE = "deadline"  # the client's deadline or the route's time-out
