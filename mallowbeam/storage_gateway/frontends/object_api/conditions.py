"""Conditional requests on objects whose state is known to the gateway (RFC 9110, 13.1 and 13.2.2)."""

from __future__ import annotations

from collections.abc import Mapping
from email.utils import parsedate_to_datetime


def matches(header: bytes, etag: str | None, weak: bool) -> bool:
    """Whether a list of entity tags matches an ETag.

    Args:
        header: Value of If-Match or If-None-Match.
        etag: The object's ETag, None if there is no object.
        weak: Whether to use weak comparison, which ignores the prefix `W/`.
    """
    if etag is None:
        return False
    for tag in header.decode("latin-1").split(","):
        tag = tag.strip()
        if weak:
            tag = tag.removeprefix("W/")
        if tag in ("*", etag) or f'"{tag}"' == etag:  # some S3 clients omit the quotes
            return True
    return False


def write_allowed(headers: Mapping[bytes, bytes], etag: str | None) -> bool:
    """Whether a write's conditions hold for the current ETag, None if there is no object."""
    if (condition := headers.get(b"if-match")) is not None and not matches(condition, etag, False):
        return False
    return (condition := headers.get(b"if-none-match")) is None or not matches(condition, etag, True)


def read_status(headers: Mapping[bytes, bytes], etag: str, modified: float) -> int:
    """Return 200 if a read's conditions hold, else 304 or 412; `modified` is in Unix seconds."""
    if (condition := headers.get(b"if-match")) is not None:
        if not matches(condition, etag, False):
            return 412
    elif (since := parse_date(headers.get(b"if-unmodified-since"))) is not None and int(modified) > since:
        return 412
    if (condition := headers.get(b"if-none-match")) is not None:
        return 304 if matches(condition, etag, True) else 200
    since = parse_date(headers.get(b"if-modified-since"))
    return 304 if since is not None and int(modified) <= since else 200


def parse_date(header: bytes | None) -> float | None:
    """Parse an HTTP date into Unix seconds; None if it is missing or malformed."""
    if header is None:
        return None
    try:
        return parsedate_to_datetime(header.decode("latin-1")).timestamp()
    except (ValueError, TypeError, OverflowError):
        return None
