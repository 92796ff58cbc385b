"""The interface between the server and an application: a complete request in, one `Response` out."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from typing import NamedTuple, Protocol

from mallowbeam.http.budget import BodyBudget
from mallowbeam.http.framing import Channel, Message, write_head


class Response(NamedTuple):
    """An answer: its status, and its bytes or what writes them as they come (False: it broke off)."""

    status: int
    data: bytes = b""
    write: Callable[[Channel], Awaitable[bool]] | None = None


class RequestHandler(Protocol):
    """An application behind a server: speaks one protocol to its clients."""

    @property
    def max_body(self) -> int:
        """Bytes of a request's body, at most."""

    @property
    def max_buffered_body(self) -> int:
        """Bytes of a body up to which it is buffered and handed over complete; a longer one is streamed."""

    @property
    def budget(self) -> BodyBudget | None:
        """What bounds the bodies of all connections together; None for no bound."""

    async def handle(self, request: Message, closing: Callable[[], bool]) -> Response:
        """The answer to a request.

        `closing`, asked when the answer is known, tells whether the connection is closed after it.
        """

    def error_response(self, status: int, text: str) -> Response:
        """The answer to what breaks HTTP or a bound; the connection is closed after it."""

    def finished(self, request: Message, status: int, whole: bool) -> None:
        """A request's answer has gone out, or broken off: the one place where requests are counted."""


def text_response(
    status: int, text: str, close: bool, headers: list[tuple[bytes, bytes]] | None = None
) -> Response:
    """A whole answer with a line of text."""
    body = text.encode() + b"\n"
    head = write_head(status, [(b"content-type", b"text/plain"), *(headers or [])], len(body), close)
    return Response(status, head + body)
