"""JSON responses of the control API."""

from __future__ import annotations

import json
from collections.abc import Mapping, Sequence

from mallowbeam.errors import MallowbeamError
from mallowbeam.http.framing import Headers, write_head
from mallowbeam.http.handler import Response
from mallowbeam.router.error_body import ErrorBody

JSON_TYPE = (b"content-type", b"application/json")
RETRY_AFTER = (b"retry-after", b"0.2")  # seconds, with a 503: an election takes about as long
SERVICE_UNAVAILABLE = 503
FIRST_SERVER_ERROR = 500


def json_reply(status: int, body: Mapping[str, object], close: bool, *more: tuple[bytes, bytes]) -> Response:
    """A complete response with a JSON object."""
    return body_reply(status, json.dumps(body, separators=(",", ":")).encode(), close, *more)


def body_reply(status: int, body: bytes, close: bool, *more: tuple[bytes, bytes]) -> Response:
    """A complete response with JSON that is already encoded."""
    headers: Headers = [JSON_TYPE, *more]
    return Response(status, write_head(status, headers, len(body), close) + body)


def error_reply(status: int, error: MallowbeamError, close: bool, others: Sequence[str] = ()) -> Response:
    """A response that states what is wrong, where, and the remedy.

    With a 5xx status, `others` are the control addresses of members that may serve the caller instead. A
    redirect to one of them would be a guess: it may be isolated as well.
    """
    more = (RETRY_AFTER,) if status == SERVICE_UNAVAILABLE else ()
    page: dict[str, object] = {"error": ErrorBody.from_error(error).fields()}
    if status >= FIRST_SERVER_ERROR and others:
        page["members"] = list(others)
    return json_reply(status, page, close, *more)
