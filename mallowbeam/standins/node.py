"""A stand-in storage node that supports S3 object requests and those of the platform.

Objects are in memory (`store`), `backend` executes requests, `server` and `connection` do the I/O.
"""

from __future__ import annotations

from mallowbeam.standins.backend import Backend
from mallowbeam.standins.connection import Connection
from mallowbeam.standins.documents import document, error
from mallowbeam.standins.faults import Script
from mallowbeam.standins.server import Server
from mallowbeam.standins.store import Answer, Run, Store, Stored, etag_of

__all__ = [
    "Answer",
    "Backend",
    "Connection",
    "ObjectNode",
    "Run",
    "Server",
    "Store",
    "Stored",
    "document",
    "error",
    "etag_of",
]


class ObjectNode(Server):
    """A storage node on a socket; `window` (deduplication) and `delay` (of each answer) in seconds."""

    def __init__(
        self,
        address: tuple[str, int] = ("127.0.0.1", 0),
        ignores_ranges: bool = False,
        window: float = 4.0,
        store: Store | None = None,
        script: Script | None = None,
        delay: float = 0.0,
    ) -> None:
        self.store = store or Store()
        self.backend = Backend(self.store, ignores_ranges, window)
        super().__init__(address, script, delay)

    def handle(self, method: str, target: str, headers: dict[str, str], body: bytes) -> Answer:
        """Execute a request on the store."""
        return self.backend.handle(method, target, headers, body)

    def replace(self) -> None:
        """Replace the machine: the store is empty afterwards."""
        self.store = self.backend.store = Store()
