"""State of a stand-in storage node: its objects and the history of executed requests."""

from __future__ import annotations

import hashlib
from dataclasses import dataclass, field

Answer = tuple[int, dict[str, str], bytes]  # status, headers, body


@dataclass(slots=True)
class Run:
    """An executed request."""

    at: float  # monotonic seconds
    method: str
    path: str
    token: str  # idempotency key; empty: none
    etag: str  # of the body
    deduped: bool = False  # not executed: the key of an earlier request was repeated


@dataclass(slots=True)
class Stored:
    """A stored object."""

    body: bytes
    etag: str
    headers: dict[str, str]


@dataclass(slots=True)
class Store:
    """Objects, uploads and history of a node; survives a restart of its socket."""

    objects: dict[str, Stored] = field(default_factory=dict)
    uploads: dict[str, tuple[str, dict[int, bytes]]] = field(default_factory=dict)
    done: dict[str, tuple[float, Answer]] = field(default_factory=dict)  # by idempotency key
    history: list[Run] = field(default_factory=list)

    @property
    def runs(self) -> list[str]:
        """Method and path of each executed request, in order."""
        return [f"{run.method} {run.path}" for run in self.history if not run.deduped]


def etag_of(body: bytes) -> str:
    """S3's ETag of an object written in one request: its MD5, quoted."""
    return f'"{hashlib.md5(body, usedforsecurity=False).hexdigest()}"'
