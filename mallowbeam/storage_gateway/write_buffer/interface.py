"""The buffer's settings, its phases, and its way to the nodes."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum
from typing import NamedTuple, Protocol

from mallowbeam.storage_gateway.write_buffer.entries import Outcome
from mallowbeam.storage_gateway.write_buffer.limits import Limits
from mallowbeam.storage_gateway.write_buffer.records import Write


class Phase(Enum):
    """Whether the buffer accepts and sends writes; only in OPEN it does."""

    OPENING = "opening"  # the folder is being read, or the process before this one still has it
    OPEN = "open"
    CLOSED = "away"  # handed over or closed


class SendResult(NamedTuple):
    """How an attempt at a node ended."""

    outcome: Outcome
    retry_after: float = 0.0  # seconds
    reason: str = ""  # why the node declined


class VersionResult(NamedTuple):
    """Which version a node has: its ETag, None for no object."""

    answered: bool
    version: str | None = None


class NodeSender(Protocol):
    """The way to the nodes: through the gateway's scheduler, as any other call."""

    async def send(self, write: Write, body: bytes, expires: float, seen: str | None) -> SendResult:
        """One attempt, over within `expires` seconds; `seen` as in `actions.Send`."""

    async def read_version(self, write: Write, expires: float) -> VersionResult:
        """Which version the node has, over within `expires` seconds."""

    def direct_calls(self) -> int:
        """The number of calls that the gateway serves now, the buffer's own among them."""

    def may_send(self) -> bool:
        """Whether the gateway is in a phase to begin new work."""


@dataclass(slots=True, frozen=True)
class Settings:
    """The buffer's section of the operators' file, decoded."""

    folder: str
    buckets: frozenset[str]
    limits: Limits
    segment_bytes: int = 16 << 20
    cache_bytes: int = 16 << 20


@dataclass(slots=True)
class Upload:
    """A large body that is being written to the log."""

    chunks: list[tuple[int, int, int]] = field(default_factory=list)  # segment, offset, bytes
    rest: bytearray = field(default_factory=bytearray)  # received, not in the log yet
    size: int = 0  # bytes received
