"""What a stand-in storage node holds in memory, and what has run there."""

from __future__ import annotations

import hashlib
from dataclasses import dataclass, field

Answer = tuple[int, dict[str, str], bytes]  # status, headers, body


@dataclass(slots=True)
class Run:
    """A request that ran."""

    at: float  # seconds, steady
    method: str
    path: str
    token: str  # its idempotency key, empty without one
    etag: str  # of its body
    deduped: bool = False  # dropped as the repeat of an earlier run


@dataclass(slots=True)
class Stored:
    """An object as it is kept."""

    body: bytes
    etag: str
    headers: dict[str, str]


@dataclass(slots=True)
class Store:
    """What one node holds, and what has run there; it outlives the node's listening socket."""

    objects: dict[str, Stored] = field(default_factory=dict)
    uploads: dict[str, tuple[str, dict[int, bytes]]] = field(default_factory=dict)
    done: dict[str, tuple[float, Answer]] = field(default_factory=dict)  # by idempotency key
    history: list[Run] = field(default_factory=list)

    @property
    def runs(self) -> list[str]:
        """Method and path of each request that ran, in order."""
        return [f"{run.method} {run.path}" for run in self.history if not run.deduped]


def etag_of(body: bytes) -> str:
    """S3's ETag of a body put whole: its MD5, quoted."""
    return f'"{hashlib.md5(body, usedforsecurity=False).hexdigest()}"'
