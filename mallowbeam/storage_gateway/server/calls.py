"""The interface of the gateway to its fronts and subsystems: a `Call`, its one `Answer`, a `Subsystem`.

Plain values and what a subsystem must be; nothing here knows a socket or decides anything.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from enum import Enum
from typing import Any, Protocol

from mallowbeam.http.framing import Headers
from mallowbeam.http.stream import Stream

SILENCE_TIMEOUT = 10.0  # seconds without a byte after which a streamed answer has broken off
MARGIN = 0.01  # seconds kept of a client's deadline for the way in and the way back


class Phase(Enum):
    """The program's phases, in order."""

    STARTING = "starting"
    SERVING = "serving"
    HANDED_OVER = "handed over"  # a new process takes what comes; its own connections come to an end
    LAME_DUCK = "lame duck"  # told to stop: still takes what comes
    DRAINING = "draining"  # takes nothing, finishes what it holds
    STOPPED = "stopped"


class AnswerKind(Enum):
    """How a call ended."""

    SERVED = "served"
    REFUSED = "refused"
    FAILED = "failed"


@dataclass(slots=True)
class Answer:
    """The one final answer of a call."""

    kind: AnswerKind
    status: int = 0
    headers: Headers = field(default_factory=list)
    body: bytes | bytearray = b""
    stream: Stream | None = None
    retry_after: float | None = None


@dataclass(slots=True)
class Call:
    """A request as a front hands it in: what the module is told, and what goes to a node."""

    id: str
    fields: dict[str, Any]  # as `interface.RequestArrived` names them
    method: bytes
    target: bytes
    headers: Headers
    body: bytes | bytearray = b""
    final: Callable[[int], bool] = (200).__eq__  # which statuses of a node are the client's answer
    streamed: Callable[[int], bool] = lambda status: False  # and which of them are passed on in pieces
    standstill: float = SILENCE_TIMEOUT  # seconds without a byte in its body that end an answer
    hold: int = 0  # bytes up to which a streamed answer is held whole after all
    most: int | None = None  # and those that are passed on at most
    upload: Stream | None = None  # the body where it passes through: it can be sent once
    length: int | None = None  # and its length, None where it comes in chunks


class Subsystem(Protocol):
    """A subsystem that lives as long as the gateway."""

    def start(self) -> None:
        """The gateway is about to serve."""

    async def hand_over(self) -> None:
        """A new process takes what comes: let go of what only one can have."""

    async def stop(self) -> None:
        """Everything is answered: end, with nothing lost."""

    def gauges(self) -> Mapping[str, int]:
        """Figures to be shown at the operators' door."""


class Exchange:
    """A call that has no answer yet, and its attempts."""

    __slots__ = ("call", "deadline", "answer")

    def __init__(self, call: Call, deadline: float) -> None:
        self.call, self.deadline = call, deadline
        self.answer: asyncio.Future[Answer] = asyncio.get_running_loop().create_future()

    def settle(self, answer: Answer) -> None:
        """The first answer counts."""
        if not self.answer.done():
            self.answer.set_result(answer)


def read_deadline(value: bytes, most_ms: int) -> float | None:
    """A client's deadline in seconds; None where it is senseless."""
    if not value.isdigit() or len(value) > len(str(most_ms)) or not 0 < int(value) <= most_ms:
        return None
    return int(value) / 1000.0


def time_left(deadline: float) -> float:
    """What a deadline leaves for the call itself."""
    return max(0.001, deadline - MARGIN)


def length_of(headers: Headers) -> int | None:
    """The length that a node's answer states."""
    return next((int(value) for name, value in headers if name == b"content-length"), None)
