"""The buffer's settings and phases, and the interface through which it reaches the nodes."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum
from typing import NamedTuple, Protocol

from mallowbeam.storage_gateway.write_buffer.entries import Outcome
from mallowbeam.storage_gateway.write_buffer.limits import Limits
from mallowbeam.storage_gateway.write_buffer.records import Write


class Phase(Enum):
    """Whether the buffer accepts and sends writes: only in OPEN."""

    OPENING = "opening"  # the folder is being read, or the previous process still has it locked
    OPEN = "open"
    CLOSED = "away"  # handed over or closed


class SendResult(NamedTuple):
    """The result of an attempt to send a write to its node."""

    outcome: Outcome
    retry_after: float = 0.0  # seconds
    reason: str = ""  # why the node declined


class VersionResult(NamedTuple):
    """The version that a node has: its ETag, or None for no object."""

    answered: bool
    version: str | None = None


class NodeSender(Protocol):
    """Calls the nodes through the gateway's scheduler, as any other call does."""

    async def send(
        self, write: Write, body: bytes, timeout_s: float, expected_version: str | None
    ) -> SendResult:
        """Make one attempt that ends within `timeout_s` seconds; `expected_version` as in `actions.Send`."""

    async def read_version(self, write: Write, timeout_s: float) -> VersionResult:
        """Read the version that the node has, within `timeout_s` seconds."""

    def direct_calls(self) -> int:
        """The number of calls that the gateway is serving, including the buffer's own."""

    def may_send(self) -> bool:
        """Whether the gateway is in a phase in which new work may begin."""


@dataclass(slots=True, frozen=True)
class Settings:
    """The decoded buffer section of the operators' settings file."""

    folder: str
    buckets: frozenset[str]
    limits: Limits
    segment_bytes: int = 16 << 20
    cache_bytes: int = 16 << 20


@dataclass(slots=True)
class Upload:
    """A large body that is being written to the log."""

    chunks: list[tuple[int, int, int]] = field(default_factory=list)  # segment, offset, bytes
    rest: bytearray = field(default_factory=bytearray)  # received, but not in the log yet
    size: int = 0  # bytes received
