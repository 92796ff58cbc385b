"""A client's request as the gateway works with it: what its headers say, checked once.  A pure core."""

from __future__ import annotations

from dataclasses import dataclass

from mallowbeam.errors import MallowbeamError
from mallowbeam.http.framing import HOP_BY_HOP, TOKEN, Headers, Message
from mallowbeam.router.pairing.prefix_cache import PromptSegment

MOST_MS = 3_600_000  # a longer Deadline-Ms is read as this many milliseconds
MOST_DIGITS = 9  # of a number in a header; a longer one is not read
MOST_TOKENS = 1 << 30  # a larger token count is read as none
MOST_PARTS = 1024  # parts of a prompt; those behind are left out
# Set by the gateway alone: a client's own values would change where and how an instance runs the request.
OWNED = frozenset((b"deadline-ms", b"target-instance", b"stage", b"kv-from", b"priority", b"expect-version"))
# Never of one connection only, whatever a Connection header says: the request would be another without them.
END_TO_END = frozenset((b"request-id", b"host", b"model", b"token-usage", b"prompt-prefix", b"last-event-id"))
LEFT_OUT = (HOP_BY_HOP - {b"host"}) | OWNED
SINGLE = (b"request-id", b"host", b"deadline-ms", b"last-event-id")


class BadRequestError(MallowbeamError):
    """A request that lacks what the protocol asks of it; the text says what."""

    error_name = "BadRequest"
    code = "REQUEST_MALFORMED"
    remedy = "mend the client that sent it"


@dataclass(frozen=True, slots=True)
class ClientRequest:
    """One request of a client, read completely."""

    request_id: bytes
    method: bytes
    target: bytes
    host: bytes
    headers: Headers  # end-to-end ones, in lower case, without the gateway's own
    body: bytes | bytearray
    deadline_ms: int  # what the client waits; MOST_MS where it does not say
    last_event_id: bytes | None
    prompt_segments: tuple[PromptSegment, ...]
    prompt_tokens: int
    answer_tokens: int

    def headers_with(self, own: Headers) -> Headers:
        """The headers to send: the client's, with the gateway's `own` in place of those of the same name."""
        replaced = {name for name, _ in own}
        return [*(header for header in self.headers if header[0] not in replaced), *own]


def read_request(message: Message) -> ClientRequest:
    """Check a complete request and read its headers; raises `BadRequestError`."""
    first = dict(reversed(message.headers))
    for name in SINGLE:
        if sum(known == name for known, _ in message.headers) > 1:
            raise BadRequestError(f"{name.decode()} comes twice")
    request_id = first.get(b"request-id", b"")
    if not TOKEN.match(request_id):
        raise BadRequestError("Request-Id is missing or malformed")
    named = named_by_connection(message.headers)
    headers = [(name, value) for name, value in message.headers if name not in LEFT_OUT and name not in named]
    prompt_tokens, answer_tokens = _token_usage(first.get(b"token-usage", b""))
    return ClientRequest(
        request_id=request_id,
        method=message.method,
        target=message.target,
        host=first.get(b"host", b""),
        headers=headers,
        body=message.body,
        deadline_ms=_deadline(first.get(b"deadline-ms")),
        last_event_id=first.get(b"last-event-id"),
        prompt_segments=_segments(first.get(b"prompt-prefix", b"")),
        prompt_tokens=prompt_tokens,
        answer_tokens=answer_tokens,
    )


def named_by_connection(headers: Headers) -> frozenset[bytes]:
    """The headers that Connection headers declare to be of this connection only."""
    values = [value for name, value in headers if name == b"connection"]
    if not values:
        return frozenset()
    named = frozenset(option.strip().lower() for option in b",".join(values).split(b","))
    return named - END_TO_END


def _deadline(value: bytes | None) -> int:
    """Whole milliseconds, a fraction cut off; a value that is no number of them counts as none."""
    integer, _, fraction = (value or b"").partition(b".")
    if not integer.isdigit() or len(integer) > MOST_DIGITS or not (fraction or b"0").isdigit():
        return MOST_MS
    return min(int(integer), MOST_MS)


def _token_usage(value: bytes) -> tuple[int, int]:
    """Prompt tokens and the most that are generated; zeros where the header can't be read."""
    prompt, _, answer = value.partition(b",")
    return _tokens(prompt.strip()), _tokens(answer.strip())


def _tokens(value: bytes) -> int:
    if not value.isdigit() or len(value) > MOST_DIGITS:
        return 0
    return min(int(value), MOST_TOKENS)


def _segments(value: bytes) -> tuple[PromptSegment, ...]:
    """The parts of a prompt; one that can't be read ends the list."""
    parts: list[PromptSegment] = []
    for chunk in value.split(b",", MOST_PARTS)[:MOST_PARTS] if value else ():
        segment_id, _, tokens = chunk.strip().partition(b":")
        if not segment_id or not tokens.isdigit():
            break
        parts.append(PromptSegment(segment_id.decode("latin-1"), _tokens(tokens)))
    return tuple(parts)
