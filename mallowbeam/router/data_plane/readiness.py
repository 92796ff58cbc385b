"""The readiness endpoint: reports whether this gateway accepts new connections."""

from __future__ import annotations

from collections.abc import Callable

from mallowbeam.http.budget import BodyBudget
from mallowbeam.http.framing import Message
from mallowbeam.http.handler import Response
from mallowbeam.router.data_plane.answers import gateway_answer

READINESS_PATH = b"/mallowbeam/readyz"
MAX_BODY_BYTES = 1024


class ReadinessFrontend:
    """Answers 200 while the gateway is ready, 503 otherwise."""

    max_body = max_buffered_body = MAX_BODY_BYTES
    budget: BodyBudget | None = None
    idle_timeout_s = 30.0  # seconds that a caller's connection may be idle

    def __init__(self, ready: Callable[[], bool]) -> None:
        self._ready = ready

    async def handle(self, request: Message, closing: Callable[[], bool]) -> Response:
        """Answer one readiness check."""
        if request.target.partition(b"?")[0] != READINESS_PATH:
            return gateway_answer(404, b"", closing(), text=b"no such page\n")
        if request.method not in (b"GET", b"HEAD"):
            return gateway_answer(405, b"", closing(), text=b"GET only\n")
        ready = self._ready()
        return gateway_answer(
            200 if ready else 503, b"", closing(), text=b"ready\n" if ready else b"not ready\n"
        )

    def error_response(self, status: int, text: str, close: bool = True) -> Response:
        """Return the answer to a request that violates HTTP."""
        return gateway_answer(status, b"", close, text=text.encode() + b"\n")

    def finished(self, request: Message, status: int, whole: bool) -> None:
        """Do nothing: readiness checks are not counted."""
