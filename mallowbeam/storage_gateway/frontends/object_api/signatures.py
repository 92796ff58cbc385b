"""Signature Version 4 as S3 checks it: in headers, in a presigned query, and chunk by chunk.

No I/O; the time is handed in.  Source: Amazon S3 API reference, "Authenticating requests (AWS Signature
Version 4)".  Comparisons take the same time whatever differs.
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
from mallowbeam.storage_gateway.frontends.object_api.errors import Error

ALGORITHM = "AWS4-HMAC-SHA256"
SKEW = 900  # seconds by which a client's clock may be off
MOST_EXPIRES = 604_800  # seconds for which a presigned URL may be good
AUTHORIZATION = re.compile(
    r"AWS4-HMAC-SHA256 +Credential=([^/, ]{1,128})/(\d{8})/([^/, ]{1,64})/s3/aws4_request *,"
    r" *SignedHeaders=([a-z0-9;-]{1,2048}) *, *Signature=([0-9a-f]{64})\Z"
)
CREDENTIAL = re.compile(r"([^/]{1,128})/(\d{8})/([^/]{1,64})/s3/aws4_request\Z")
DATE = re.compile(r"\d{8}T\d{6}Z\Z")
EMPTY = hashlib.sha256().hexdigest()
PAYLOADS = re.compile(
    r"[0-9a-f]{64}\Z|UNSIGNED-PAYLOAD\Z|STREAMING-UNSIGNED-PAYLOAD-TRAILER\Z"
    r"|STREAMING-AWS4-HMAC-SHA256-PAYLOAD(-TRAILER)?\Z"
)
CHUNKED = "STREAMING-AWS4-HMAC-SHA256-PAYLOAD"


@dataclass(slots=True, frozen=True)
class Claim:
    """Who says to have signed a request, and how: not believed yet."""

    key: str
    day: str
    region: str
    date: str  # as S3 writes it: 20261201T175355Z
    signed: tuple[str, ...]  # names of the headers that are signed
    signature: str
    payload: str  # what stands for the body in what is signed
    expires: int | None = None  # seconds, of a presigned URL

    @property
    def scope(self) -> str:
        """What the signing key is good for."""
        return f"{self.day}/{self.region}/s3/aws4_request"


def read_claim(headers: Mapping[bytes, bytes], query: Mapping[str, str]) -> Claim | None:
    """The claim of a request, None for one without any; raises `Error`."""
    authorization = headers.get(b"authorization")
    presigned = "X-Amz-Algorithm" in query or "X-Amz-Signature" in query
    if authorization is not None and presigned:
        raise Error("InvalidArgument")
    if authorization is not None:
        return header_claim(authorization.decode("latin-1"), headers)
    return query_claim(query) if presigned else None


def header_claim(text: str, headers: Mapping[bytes, bytes]) -> Claim:
    """The claim of an Authorization header."""
    match = AUTHORIZATION.match(text)
    if match is None:
        raise Error("AuthorizationHeaderMalformed")
    date = headers.get(b"x-amz-date", b"").decode("latin-1")
    payload = headers.get(b"x-amz-content-sha256", b"").decode("latin-1")
    if not DATE.match(date):
        raise Error("AccessDenied")
    if not PAYLOADS.match(payload):
        raise Error("InvalidArgument")
    return Claim(match[1], match[2], match[3], date, tuple(match[4].split(";")), match[5], payload)


def query_claim(query: Mapping[str, str]) -> Claim:
    """The claim of a presigned URL."""
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
        or not 1 <= int(expires) <= MOST_EXPIRES
    ):
        raise Error("AuthorizationQueryParametersError")
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


def in_time(claim: Claim, now: float) -> None:
    """Raises `Error` for a claim that is over, or whose clock is far off; `now` in Unix seconds."""
    try:
        made = timegm(strptime(claim.date, "%Y%m%dT%H%M%SZ"))
    except ValueError:
        raise Error("AccessDenied") from None
    if claim.date[:8] != claim.day:
        raise Error(
            "AuthorizationHeaderMalformed" if claim.expires is None else "AuthorizationQueryParametersError"
        )
    if claim.expires is None:
        if abs(now - made) > SKEW:
            raise Error("RequestTimeTooSkewed")
    elif now < made - SKEW or now > made + claim.expires:
        raise Error("AccessDenied")  # not yet good, or over


def canonical(method: bytes, target: bytes, headers: Headers, claim: Claim) -> str:
    """The request in the one form that is signed; raises `Error` where what must be signed is not."""
    path, _, raw = target.partition(b"?")
    told: dict[str, list[str]] = {}
    for name, value in headers:
        told.setdefault(name.decode("latin-1"), []).append(" ".join(value.decode("latin-1").split()))
    must = {name for name in told if name.startswith("x-amz-")} if claim.expires is None else set()
    if "host" not in claim.signed or must - set(claim.signed) or list(claim.signed) != sorted(claim.signed):
        raise Error("AccessDenied")
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
    lines += [f"{name}:{','.join(told.get(name, ['']))}" for name in claim.signed]
    return "\n".join([*lines, "", ";".join(claim.signed), claim.payload])


@lru_cache(64)
def signing_key(secret: str, day: str, region: str) -> bytes:
    """The key of a day and region."""
    key = f"AWS4{secret}".encode()
    for part in (day, region, "s3", "aws4_request"):
        key = hmac.digest(key, part.encode(), "sha256")
    return key


def sign(claim: Claim, secret: str, kind: str, *lines: str) -> str:
    """The signature over some lines, for a claim's date and scope."""
    text = "\n".join([kind, claim.date, claim.scope, *lines])
    return hmac.digest(signing_key(secret, claim.day, claim.region), text.encode(), "sha256").hex()


def verify(message: Message, claim: Claim, secret: str | None, now: float) -> None:
    """Raises `Error` where a request is not signed as it claims; `secret` None for an unknown key."""
    in_time(claim, now)
    text = canonical(message.method, message.target, message.headers, claim)
    digest = hashlib.sha256(text.encode("latin-1")).hexdigest()
    wanted = sign(claim, secret or "unknown", ALGORITHM, digest)
    good = hmac.compare_digest(wanted, claim.signature)
    if secret is None:
        raise Error("InvalidAccessKeyId")
    if not good:
        raise Error("SignatureDoesNotMatch")


class ChunkSignatures:
    """The chain of signatures over the chunks of a body, each resting on the one before."""

    def __init__(self, claim: Claim, secret: str) -> None:
        self._sign: Callable[..., str] = lambda kind, *lines: sign(claim, secret, kind, *lines)
        self.before = claim.signature

    def chunk(self, digest: str, told: str) -> None:
        """A chunk with that SHA-256 is whole; raises `Error`."""
        self._next(self._sign("AWS4-HMAC-SHA256-PAYLOAD", self.before, EMPTY, digest), told)

    def trailers(self, lines: bytes, told: str) -> None:
        """The trailers, a line each as `name:value` and a newline; raises `Error`."""
        digest = hashlib.sha256(lines).hexdigest()
        self._next(self._sign("AWS4-HMAC-SHA256-TRAILER", self.before, digest), told)

    def _next(self, wanted: str, told: str) -> None:
        if not hmac.compare_digest(wanted, told):
            raise Error("SignatureDoesNotMatch")
        self.before = wanted
