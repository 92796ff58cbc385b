"""The interface of the gateway to its fronts and subsystems: a `Call`, its one `Answer`, a `Subsystem`.

Only data classes and the subsystem protocol; nothing here uses sockets or takes decisions.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from enum import Enum
from typing import Any, Protocol

from mallowbeam.http.framing import Headers
from mallowbeam.http.stream import Stream

SILENCE_TIMEOUT_S = 10.0  # seconds without a byte after which a streamed response counts as broken
TRANSIT_MARGIN_S = 0.01  # seconds of a client's deadline reserved for network transit both ways


class Phase(Enum):
    """The phases of the process, in order."""

    STARTING = "starting"
    SERVING = "serving"
    HANDED_OVER = "handed over"  # a new process accepts the connections; this one finishes its own
    LAME_DUCK = "lame duck"  # SIGTERM received; still accepts connections and requests
    DRAINING = "draining"  # accepts nothing, finishes the pending requests
    STOPPED = "stopped"


class AnswerKind(Enum):
    """How a call ended."""

    SERVED = "served"
    REFUSED = "refused"
    FAILED = "failed"


@dataclass(slots=True)
class Answer:
    """The single final response to a call."""

    kind: AnswerKind
    status: int = 0
    headers: Headers = field(default_factory=list)
    body: bytes | bytearray = b""
    stream: Stream | None = None
    retry_after: float | None = None


@dataclass(slots=True)
class Call:
    """A request submitted by a front: the fields for the scheduler, and the message for a node."""

    id: str
    fields: dict[str, Any]  # named as in `interface.RequestArrived`
    method: bytes
    target: bytes
    headers: Headers
    body: bytes | bytearray = b""
    is_final: Callable[[int], bool] = (200).__eq__  # which node statuses are returned to the client
    may_stream: Callable[[int], bool] = lambda status: False  # and which of them may be streamed
    body_timeout_s: float = SILENCE_TIMEOUT_S  # seconds without a body byte after which a response has failed
    buffer_bytes: int = 0  # bytes up to which a response is buffered instead of streamed
    max_stream_bytes: int | None = None  # bytes of a streamed response, at most
    upload: Stream | None = None  # a streamed request body, which can be sent only once
    length: int | None = None  # length of the streamed body in bytes, None if it is chunked


class Subsystem(Protocol):
    """A subsystem with the lifetime of the gateway."""

    def start(self) -> None:
        """Called just before the gateway starts serving."""

    async def hand_over(self) -> None:
        """Releases everything that only one process may own, for the new process."""

    async def stop(self) -> None:
        """Stops without losing data; called once every request has its response."""

    def gauges(self) -> Mapping[str, int]:
        """Returns the gauges to show at the admin endpoint."""


class Exchange:
    """A pending call with its deadline and the future of its answer."""

    __slots__ = ("call", "deadline", "answer")

    def __init__(self, call: Call, deadline: float) -> None:
        self.call, self.deadline = call, deadline
        self.answer: asyncio.Future[Answer] = asyncio.get_running_loop().create_future()

    def settle(self, answer: Answer) -> None:
        """Sets the answer, unless there already is one."""
        if not self.answer.done():
            self.answer.set_result(answer)


def read_deadline(value: bytes, max_ms: int) -> float | None:
    """Returns a client's deadline in seconds, None if it is invalid or longer than `max_ms`."""
    if not value.isdigit() or len(value) > len(str(max_ms)) or not 0 < int(value) <= max_ms:
        return None
    return int(value) / 1000.0


def time_left(deadline: float) -> float:
    """Returns the seconds of a deadline that remain for the call itself."""
    return max(0.001, deadline - TRANSIT_MARGIN_S)


def content_length(headers: Headers) -> int | None:
    """Returns the content-length of a node's response, None if it has none."""
    return next((int(value) for name, value in headers if name == b"content-length"), None)
