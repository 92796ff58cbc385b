"""Builds the answers to clients: an instance's answer, unchanged, or one of the gateway's own."""

from __future__ import annotations

from mallowbeam.http.framing import HOP_BY_HOP, Headers, Message, write_head
from mallowbeam.http.handler import Response
from mallowbeam.router.data_plane.client_request import connection_options

BODILESS = (204, 304)
UNAVAILABLE = 503
TEXTS = {
    400: b"bad request\n",
    404: b"no such route\n",
    502: b"the instance's answer broke off\n",
    503: b"not served now\n",
    504: b"no answer in time\n",
}


def forwarded_headers(answer: Message) -> Headers:
    """Return the end-to-end headers of an instance's answer."""
    named = connection_options(answer.headers)
    return [(name, value) for name, value in answer.headers if name not in HOP_BY_HOP and name not in named]


def instance_answer(answer: Message, close: bool) -> Response:
    """Build the client's answer from an instance's answer that was read completely."""
    length = None if answer.status in BODILESS else len(answer.body)
    head = write_head(answer.status, forwarded_headers(answer), length, close)
    return Response(answer.status, head + answer.body)


def gateway_answer(
    status: int, request_id: bytes, close: bool, retry_after_s: float = 0.0, text: bytes | None = None
) -> Response:
    """Build an answer that the gateway generates itself; it never carries an instance's signature."""
    body = text if text is not None else TEXTS.get(status, b"not served\n")
    headers: Headers = [(b"content-type", b"text/plain")]
    if request_id:
        headers.append((b"request-id", request_id))
    if status == UNAVAILABLE and retry_after_s > 0:
        headers.append((b"retry-after", b"%.3f" % retry_after_s))
    return Response(status, write_head(status, headers, len(body), close) + body)
