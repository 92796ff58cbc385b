"""Requests are read one by one: no byte behind the request being received leaves the socket."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from mallowbeam.http.framing import Framer
from mallowbeam.http.message_boundary import MessageBoundary

MAX_BODY_BYTES = 1 << 20
MISLEADING_BODIES = (b"0\r\n\r\n", b"\r\n\r\n", b"x\r\n0\r\n\r\nGET / HTTP/1.1\r\n\r\n")


def head(*headers: str) -> bytes:
    return "\r\n".join(["POST /x HTTP/1.1", "host: h", *headers, "", ""]).encode()


@st.composite
def requests(draw: st.DrawFn) -> tuple[bytes, bytes]:
    """A request and its body, with a length or in chunks."""
    body = draw(st.binary(max_size=40) | st.sampled_from(MISLEADING_BODIES))
    if draw(st.booleans()):
        return head(f"content-length: {len(body)}") + body, body
    cut = draw(st.integers(0, len(body)))
    chunks = b"".join(b"%x\r\n%b\r\n" % (len(one), one) for one in (body[:cut], body[cut:]) if one)
    return head("transfer-encoding: chunked") + chunks + b"0\r\n\r\n", body


@given(st.lists(requests(), min_size=1, max_size=4), st.data())
def test_reading_stops_at_the_end_of_each_request(sent, data):
    """Bytes arrive in pieces of any size; each request is complete before a byte behind it is read."""
    framer = Framer(answers=False, max_body=MAX_BODY_BYTES)
    boundary = MessageBoundary(framer)
    stream, read, arrived, end = b"".join(raw for raw, _ in sent), 0, 0, 0
    for raw, body in sent:
        end += len(raw)
        while not framer.ready:
            if arrived == read:
                arrived = data.draw(st.integers(read + 1, len(stream)))
            count = boundary.take(stream[read:arrived])
            assert 0 < count <= arrived - read
            framer.feed(memoryview(stream[read : read + count]))
            assert framer.error is None
            read += count
            assert read <= end
        assert read == end
        assert bytes(framer.ready.popleft().body) == body
