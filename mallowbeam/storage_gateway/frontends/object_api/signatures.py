"""Verifies Signature Version 4 as S3 does: in headers, in a presigned query, and chunk by chunk.

No I/O; callers pass the time.  Source: Amazon S3 API reference, "Authenticating requests (AWS Signature
Version 4)".  Signatures are compared in constant time.
"""

from __future__ import annotations

import hashlib
import hmac
import re
from calendar import timegm
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from functools import lru_cache
from time import strptime
from urllib.parse import quote, unquote_to_bytes

from mallowbeam.http.framing import Headers, Message
from mallowbeam.storage_gateway.frontends.object_api.errors import S3Error

ALGORITHM = "AWS4-HMAC-SHA256"
MAX_CLOCK_SKEW_S = 900  # by which a client's clock may be off
MAX_EXPIRES_S = 604_800  # longest validity of a presigned URL
AUTHORIZATION = re.compile(
    r"AWS4-HMAC-SHA256 +Credential=([^/, ]{1,128})/(\d{8})/([^/, ]{1,64})/s3/aws4_request *,"
    r" *SignedHeaders=([a-z0-9;-]{1,2048}) *, *Signature=([0-9a-f]{64})\Z"
)
CREDENTIAL = re.compile(r"([^/]{1,128})/(\d{8})/([^/]{1,64})/s3/aws4_request\Z")
DATE = re.compile(r"\d{8}T\d{6}Z\Z")
EMPTY_SHA256 = hashlib.sha256().hexdigest()
PAYLOADS = re.compile(
    r"[0-9a-f]{64}\Z|UNSIGNED-PAYLOAD\Z|STREAMING-UNSIGNED-PAYLOAD-TRAILER\Z"
    r"|STREAMING-AWS4-HMAC-SHA256-PAYLOAD(-TRAILER)?\Z"
)
CHUNKED_PAYLOAD = "STREAMING-AWS4-HMAC-SHA256-PAYLOAD"


@dataclass(slots=True, frozen=True)
class Claim:
    """A request's signature and its parameters, not verified yet."""

    key: str
    day: str
    region: str
    date: str  # in S3's format: 20261201T175355Z
    signed_headers: tuple[str, ...]  # names of the signed headers
    signature: str
    payload: (
        str  # represents the body in the canonical request: its SHA-256 or a marker such as UNSIGNED-PAYLOAD
    )
    expires: int | None = None  # validity of a presigned URL in seconds

    @property
    def scope(self) -> str:
        """The credential scope: what the signing key is valid for."""
        return f"{self.day}/{self.region}/s3/aws4_request"


def parse_claim(headers: Mapping[bytes, bytes], query: Mapping[str, str]) -> Claim | None:
    """Parse a request's signature claim; None if the request is not signed.  Raises `S3Error`."""
    authorization = headers.get(b"authorization")
    presigned = "X-Amz-Algorithm" in query or "X-Amz-Signature" in query
    if authorization is not None and presigned:
        raise S3Error("InvalidArgument")
    if authorization is not None:
        return parse_header_claim(authorization.decode("latin-1"), headers)
    return parse_query_claim(query) if presigned else None


def parse_header_claim(text: str, headers: Mapping[bytes, bytes]) -> Claim:
    """Parse the claim of an Authorization header; raises `S3Error`."""
    match = AUTHORIZATION.match(text)
    if match is None:
        raise S3Error("AuthorizationHeaderMalformed")
    date = headers.get(b"x-amz-date", b"").decode("latin-1")
    payload = headers.get(b"x-amz-content-sha256", b"").decode("latin-1")
    if not DATE.match(date):
        raise S3Error("AccessDenied")
    if not PAYLOADS.match(payload):
        raise S3Error("InvalidArgument")
    return Claim(match[1], match[2], match[3], date, tuple(match[4].split(";")), match[5], payload)


def parse_query_claim(query: Mapping[str, str]) -> Claim:
    """Parse the claim of a presigned URL; raises `S3Error`."""
    match = CREDENTIAL.match(query.get("X-Amz-Credential", ""))
    date, expires = query.get("X-Amz-Date", ""), query.get("X-Amz-Expires", "")
    signature, signed = query.get("X-Amz-Signature", ""), query.get("X-Amz-SignedHeaders", "")
    if (
        match is None
        or query.get("X-Amz-Algorithm") != ALGORITHM
        or not DATE.match(date)
        or not re.fullmatch(r"[0-9a-f]{64}", signature)
        or not re.fullmatch(r"[a-z0-9;-]{1,2048}", signed)
        or not re.fullmatch(r"\d{1,6}", expires)
        or not 1 <= int(expires) <= MAX_EXPIRES_S
    ):
        raise S3Error("AuthorizationQueryParametersError")
    return Claim(
        match[1],
        match[2],
        match[3],
        date,
        tuple(signed.split(";")),
        signature,
        "UNSIGNED-PAYLOAD",
        int(expires),
    )


def check_time(claim: Claim, now: float) -> None:
    """Raise `S3Error` if a claim has expired or its clock is too far off; `now` is in Unix seconds."""
    try:
        signed_at = timegm(strptime(claim.date, "%Y%m%dT%H%M%SZ"))
    except ValueError:
        raise S3Error("AccessDenied") from None
    if claim.date[:8] != claim.day:
        raise S3Error(
            "AuthorizationHeaderMalformed" if claim.expires is None else "AuthorizationQueryParametersError"
        )
    if claim.expires is None:
        if abs(now - signed_at) > MAX_CLOCK_SKEW_S:
            raise S3Error("RequestTimeTooSkewed")
    elif now < signed_at - MAX_CLOCK_SKEW_S or now > signed_at + claim.expires:
        raise S3Error("AccessDenied")  # not valid yet, or expired


def canonical_request(method: bytes, target: bytes, headers: Headers, claim: Claim) -> str:
    """Return the canonical request; raises `S3Error` if a header that must be signed is not."""
    path, _, raw = target.partition(b"?")
    values: dict[str, list[str]] = {}
    for name, value in headers:
        values.setdefault(name.decode("latin-1"), []).append(" ".join(value.decode("latin-1").split()))
    required = {name for name in values if name.startswith("x-amz-")} if claim.expires is None else set()
    if (
        "host" not in claim.signed_headers
        or required - set(claim.signed_headers)
        or list(claim.signed_headers) != sorted(claim.signed_headers)
    ):
        raise S3Error("AccessDenied")
    pairs = []
    for pair in raw.split(b"&") if raw else ():
        name, _, value = pair.partition(b"=")
        encoded = quote(unquote_to_bytes(name), safe="-._~")
        if encoded != "X-Amz-Signature":
            pairs.append((encoded, quote(unquote_to_bytes(value), safe="-._~")))
    lines = [
        method.decode("latin-1"),
        quote(unquote_to_bytes(path), safe="/-._~"),
        "&".join(f"{name}={value}" for name, value in sorted(pairs)),
    ]
    lines += [f"{name}:{','.join(values.get(name, ['']))}" for name in claim.signed_headers]
    return "\n".join([*lines, "", ";".join(claim.signed_headers), claim.payload])


@lru_cache(64)
def signing_key(secret: str, day: str, region: str) -> bytes:
    """Derive the signing key for a day and region."""
    key = f"AWS4{secret}".encode()
    for part in (day, region, "s3", "aws4_request"):
        key = hmac.digest(key, part.encode(), "sha256")
    return key


def sign(claim: Claim, secret: str, kind: str, *lines: str) -> str:
    """Return the signature over lines of text, for a claim's date and scope."""
    text = "\n".join([kind, claim.date, claim.scope, *lines])
    return hmac.digest(signing_key(secret, claim.day, claim.region), text.encode(), "sha256").hex()


def verify(message: Message, claim: Claim, secret: str | None, now: float) -> None:
    """Raise `S3Error` unless a request's signature is valid; a `secret` of None means an unknown key."""
    check_time(claim, now)
    text = canonical_request(message.method, message.target, message.headers, claim)
    digest = hashlib.sha256(text.encode("latin-1")).hexdigest()
    expected = sign(claim, secret or "unknown", ALGORITHM, digest)
    valid = hmac.compare_digest(expected, claim.signature)
    if secret is None:
        raise S3Error("InvalidAccessKeyId")
    if not valid:
        raise S3Error("SignatureDoesNotMatch")


class ChunkSignatures:
    """Verifies the chained signatures of a body's chunks; each signature covers the previous one."""

    def __init__(self, claim: Claim, secret: str) -> None:
        self._sign: Callable[..., str] = lambda kind, *lines: sign(claim, secret, kind, *lines)
        self.previous = claim.signature

    def verify_chunk(self, digest: str, signature: str) -> None:
        """Verify the signature of the next chunk, given its SHA-256; raises `S3Error`."""
        self._verify_next(
            self._sign("AWS4-HMAC-SHA256-PAYLOAD", self.previous, EMPTY_SHA256, digest), signature
        )

    def verify_trailers(self, lines: bytes, signature: str) -> None:
        """Verify the trailers' signature; `lines` has `name:value` and a newline each; raises `S3Error`."""
        digest = hashlib.sha256(lines).hexdigest()
        self._verify_next(self._sign("AWS4-HMAC-SHA256-TRAILER", self.previous, digest), signature)

    def _verify_next(self, expected: str, signature: str) -> None:
        if not hmac.compare_digest(expected, signature):
            raise S3Error("SignatureDoesNotMatch")
        self.previous = expected
