"""A storage node that speaks S3's conventions for objects, and the platform's requests as well.

Objects live in memory (`store`); requests run in `backend`; sockets are `server` and `connection`.
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
    """A storage node on a socket."""

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
        """Run a request on the store."""
        return self.backend.handle(method, target, headers, body)

    def replace(self) -> None:
        """Another machine in this one's place: nothing of the old one's objects is there."""
        self.store = self.backend.store = Store()
