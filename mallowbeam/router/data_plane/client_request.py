"""Validates a client's request and parses its headers once.  No I/O."""

from __future__ import annotations

from dataclasses import dataclass

from mallowbeam.errors import MallowbeamError
from mallowbeam.http.framing import HOP_BY_HOP, TOKEN, Headers, Message
from mallowbeam.router.pairing.prefix_cache import PromptSegment

MAX_DEADLINE_MS = 3_600_000  # longer deadlines are capped at this value
MAX_DIGITS = 9  # of a number in a header; a longer number is treated as missing
MAX_TOKENS = 1 << 30  # larger token counts are capped at this value
MAX_PROMPT_SEGMENTS = 1024  # parts of a prompt; further ones are ignored
# Set by the gateway alone: a client's own values would change where and how an instance runs the request.
GATEWAY_HEADERS = frozenset(
    (b"deadline-ms", b"target-instance", b"stage", b"kv-from", b"priority", b"expect-version")
)
# Always forwarded, even if a Connection header lists them: without them it would be a different request.
END_TO_END = frozenset((b"request-id", b"host", b"model", b"token-usage", b"prompt-prefix", b"last-event-id"))
NOT_FORWARDED = (HOP_BY_HOP - {b"host"}) | GATEWAY_HEADERS
SINGLE_VALUE_HEADERS = (b"request-id", b"host", b"deadline-ms", b"last-event-id")


class BadRequestError(MallowbeamError):
    """The request violates the protocol; the text names the violation."""

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
    headers: Headers  # end-to-end headers in lower case, without those that only the gateway sets
    body: bytes | bytearray
    deadline_ms: int  # how long the client waits; MAX_DEADLINE_MS if the request does not say
    last_event_id: bytes | None
    prompt_segments: tuple[PromptSegment, ...]
    prompt_tokens: int
    answer_tokens: int

    def headers_with(self, gateway_headers: Headers) -> Headers:
        """Return the client's headers, with `gateway_headers` replacing those of the same name."""
        replaced = {name for name, _ in gateway_headers}
        return [*(header for header in self.headers if header[0] not in replaced), *gateway_headers]


def read_request(message: Message) -> ClientRequest:
    """Validate a complete request and parse its headers.

    Raises:
        BadRequestError: a header is repeated or the request id is missing or malformed.
    """
    first_values = dict(reversed(message.headers))
    for name in SINGLE_VALUE_HEADERS:
        if sum(known == name for known, _ in message.headers) > 1:
            raise BadRequestError(f"{name.decode()} comes twice")
    request_id = first_values.get(b"request-id", b"")
    if not TOKEN.match(request_id):
        raise BadRequestError("Request-Id is missing or malformed")
    hop_by_hop = connection_options(message.headers)
    headers = [
        (name, value)
        for name, value in message.headers
        if name not in NOT_FORWARDED and name not in hop_by_hop
    ]
    prompt_tokens, answer_tokens = _token_usage(first_values.get(b"token-usage", b""))
    return ClientRequest(
        request_id=request_id,
        method=message.method,
        target=message.target,
        host=first_values.get(b"host", b""),
        headers=headers,
        body=message.body,
        deadline_ms=_deadline_ms(first_values.get(b"deadline-ms")),
        last_event_id=first_values.get(b"last-event-id"),
        prompt_segments=_prompt_segments(first_values.get(b"prompt-prefix", b"")),
        prompt_tokens=prompt_tokens,
        answer_tokens=answer_tokens,
    )


def connection_options(headers: Headers) -> frozenset[bytes]:
    """Return the header names that Connection headers declare to be hop-by-hop."""
    values = [value for name, value in headers if name == b"connection"]
    if not values:
        return frozenset()
    hop_by_hop = frozenset(option.strip().lower() for option in b",".join(values).split(b","))
    return hop_by_hop - END_TO_END


def _deadline_ms(value: bytes | None) -> int:
    """Return the deadline in milliseconds, rounded down; a malformed value counts as missing."""
    integer, _, fraction = (value or b"").partition(b".")
    if not integer.isdigit() or len(integer) > MAX_DIGITS or not (fraction or b"0").isdigit():
        return MAX_DEADLINE_MS
    return min(int(integer), MAX_DEADLINE_MS)


def _token_usage(value: bytes) -> tuple[int, int]:
    """Return the prompt tokens and the maximum of generated tokens; 0 for each that can't be parsed."""
    prompt, _, answer = value.partition(b",")
    return _tokens(prompt.strip()), _tokens(answer.strip())


def _tokens(value: bytes) -> int:
    if not value.isdigit() or len(value) > MAX_DIGITS:
        return 0
    return min(int(value), MAX_TOKENS)


def _prompt_segments(value: bytes) -> tuple[PromptSegment, ...]:
    """Return the parts of a prompt up to the first one that can't be parsed."""
    segments: list[PromptSegment] = []
    for part in value.split(b",", MAX_PROMPT_SEGMENTS)[:MAX_PROMPT_SEGMENTS] if value else ():
        segment_id, _, tokens = part.strip().partition(b":")
        if not segment_id or not tokens.isdigit():
            break
        segments.append(PromptSegment(segment_id.decode("latin-1"), _tokens(tokens)))
    return tuple(segments)
