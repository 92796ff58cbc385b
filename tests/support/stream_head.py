"""The head of a chunked answer, as stand-in instances of the tests send it."""

from __future__ import annotations

EVENT_STREAM = "text/event-stream"


def stream_head(request_id: str, signature: str, content_type: str = EVENT_STREAM) -> bytes:
    """Return the head of an answer in chunks, an event stream if not told otherwise.

    Args:
        request_id: the id of the request that it answers.
        signature: the header line of the instance's signature, or nothing.
        content_type: what its body is.
    """
    return (
        f"HTTP/1.1 200 OK\r\nRequest-Id: {request_id}\r\n{signature}"
        f"Content-Type: {content_type}\r\nTransfer-Encoding: chunked\r\n\r\n"
    ).encode()
