"""JSON responses of the control API."""

from __future__ import annotations

import json
from collections.abc import Mapping, Sequence

from mallowbeam.errors import MallowbeamError
from mallowbeam.http.framing import Headers, write_head
from mallowbeam.http.handler import Response
from mallowbeam.router.error_body import ErrorBody

JSON_TYPE = (b"content-type", b"application/json")
RETRY_AFTER = (b"retry-after", b"0.2")  # seconds, sent with a 503: about the duration of an election
SERVICE_UNAVAILABLE = 503
FIRST_SERVER_ERROR = 500


def json_reply(
    status: int, body: Mapping[str, object], close: bool, *extra_headers: tuple[bytes, bytes]
) -> Response:
    """Return a complete response whose body is a JSON object."""
    return body_reply(status, json.dumps(body, separators=(",", ":")).encode(), close, *extra_headers)


def body_reply(status: int, body: bytes, close: bool, *extra_headers: tuple[bytes, bytes]) -> Response:
    """Return a complete response whose body is JSON that is already encoded."""
    headers: Headers = [JSON_TYPE, *extra_headers]
    return Response(status, write_head(status, headers, len(body), close) + body)


def error_reply(status: int, error: MallowbeamError, close: bool, others: Sequence[str] = ()) -> Response:
    """Return a response that states what is wrong, where, and the remedy.

    With a 5xx status it lists `others`, the control addresses of members that may serve the caller instead.
    It doesn't redirect to one of them, because that member may be isolated as well.
    """
    extra_headers = (RETRY_AFTER,) if status == SERVICE_UNAVAILABLE else ()
    content: dict[str, object] = {"error": ErrorBody.from_error(error).fields()}
    if status >= FIRST_SERVER_ERROR and others:
        content["members"] = list(others)
    return json_reply(status, content, close, *extra_headers)
