"""What the buffer at work is told and handed: its settings, the way to the nodes, a large body on its way."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum
from typing import NamedTuple, Protocol

from mallowbeam.storage_gateway.write_buffer.core import Limits, Outcome
from mallowbeam.storage_gateway.write_buffer.records import Write


class Phase(Enum):
    """What the buffer is at."""

    OPENING = "opening"
    OPEN = "open"
    AWAY = "away"


class Sent(NamedTuple):
    """How an attempt at a node ended."""

    outcome: Outcome
    retry_after: float = 0.0
    reason: str = ""


class Looked(NamedTuple):
    """What a node said of the version it has: its ETag, None for no object."""

    answered: bool
    version: str | None = None


class Sender(Protocol):
    """The way to the nodes: through the gateway's decisions, as any other call."""

    async def send(self, write: Write, body: bytes, expires: float, seen: str | None) -> Sent:
        """One attempt, over within `expires` seconds; `seen` as `core.Send` has it."""

    async def look(self, write: Write, expires: float) -> Looked:
        """Which version the node has."""

    def direct(self) -> int:
        """How many calls of clients the gateway holds now."""

    def may_send(self) -> bool:
        """Whether the gateway is in a phase to begin new work."""


@dataclass(slots=True, frozen=True)
class Settings:
    """What the operators' file says, decoded."""

    folder: str
    buckets: frozenset[str]
    limits: Limits
    segment_bytes: int = 16 << 20
    cache_bytes: int = 16 << 20


@dataclass(slots=True)
class Upload:
    """A large body on its way into the log."""

    pieces: list[tuple[int, int, int]] = field(default_factory=list)
    rest: bytearray = field(default_factory=bytearray)
    size: int = 0
