"""Requests that were read completely and have no complete response yet, for the log of a shutdown."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from mallowbeam.http.framing import Message


class Progress(Enum):
    """How far a request has come."""

    QUEUED = "queued behind another request"
    IN_PROGRESS = "in progress"
    STREAMING = "its response is being streamed"


@dataclass(frozen=True, slots=True)
class UnansweredRequest:
    """A request without a complete response."""

    request: Message
    progress: Progress
