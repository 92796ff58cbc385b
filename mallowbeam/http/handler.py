"""The interface between the server and an application: a request in, one `Response` out."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from typing import NamedTuple, Protocol

from mallowbeam.http.budget import BodyBudget
from mallowbeam.http.framing import Channel, Message, write_head


class Response(NamedTuple):
    """A response: its status, and its bytes or a function that streams them (False: it was truncated)."""

    status: int
    data: bytes = b""
    write: Callable[[Channel], Awaitable[bool]] | None = None


class RequestHandler(Protocol):
    """An application behind a server; implements one protocol towards its clients."""

    @property
    def max_body(self) -> int:
        """Largest request body, in bytes."""

    @property
    def max_buffered_body(self) -> int:
        """Largest body, in bytes, that is buffered and passed on complete; a longer one is streamed."""

    @property
    def budget(self) -> BodyBudget | None:
        """Shared limit on the bodies of all connections; None for no limit."""

    async def handle(self, request: Message, closing: Callable[[], bool]) -> Response:
        """Return the response to a request.

        `closing`, called once the response is known, tells whether the connection closes after it.
        """

    def error_response(self, status: int, text: str, close: bool = True) -> Response:
        """Return the response to a request that the server rejects itself.

        Args:
            status: The response's status.
            text: The reason, for the body.
            close: Whether the connection closes after it, as after a malformed or oversized request.
        """

    def finished(self, request: Message, status: int, whole: bool) -> None:
        """Called when a response was sent or truncated; the only place where requests are counted."""


def text_response(
    status: int, text: str, close: bool, headers: list[tuple[bytes, bytes]] | None = None
) -> Response:
    """Build a complete response with one line of text."""
    body = text.encode() + b"\n"
    head = write_head(status, [(b"content-type", b"text/plain"), *(headers or [])], len(body), close)
    return Response(status, head + body)
