"""Conditions on a request whose object's state is known here (RFC 9110, 13.1 and 13.2.2)."""

from __future__ import annotations

from collections.abc import Mapping
from email.utils import parsedate_to_datetime


def matches(header: bytes, etag: str | None, weak: bool) -> bool:
    """Whether a list of entity tags names this one, None for no object; `weak`: W/ makes no difference."""
    if etag is None:
        return False
    for tag in header.decode("latin-1").split(","):
        tag = tag.strip()
        if weak:
            tag = tag.removeprefix("W/")
        if tag in ("*", etag) or f'"{tag}"' == etag:  # some clients of S3 leave the quotes out
            return True
    return False


def write_allowed(headers: Mapping[bytes, bytes], etag: str | None) -> bool:
    """Whether a write may go on, given the ETag that is there now, None for none."""
    if (asked := headers.get(b"if-match")) is not None and not matches(asked, etag, False):
        return False
    return (asked := headers.get(b"if-none-match")) is None or not matches(asked, etag, True)


def read_status(headers: Mapping[bytes, bytes], etag: str, modified: float) -> int:
    """200 where a read may be answered, else 304 or 412; `modified` in Unix seconds."""
    if (asked := headers.get(b"if-match")) is not None:
        if not matches(asked, etag, False):
            return 412
    elif (since := date(headers.get(b"if-unmodified-since"))) is not None and int(modified) > since:
        return 412
    if (asked := headers.get(b"if-none-match")) is not None:
        return 304 if matches(asked, etag, True) else 200
    since = date(headers.get(b"if-modified-since"))
    return 304 if since is not None and int(modified) <= since else 200


def date(header: bytes | None) -> float | None:
    """An HTTP date in Unix seconds; None where there is none that can be read."""
    if header is None:
        return None
    try:
        return parsedate_to_datetime(header.decode("latin-1")).timestamp()
    except (ValueError, TypeError, OverflowError):
        return None
