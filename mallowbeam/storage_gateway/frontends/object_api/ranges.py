"""Parses and resolves a single byte range of the `Range` header (RFC 9110, 14.1 and 14.2)."""

from __future__ import annotations

import re

from mallowbeam.errors import MallowbeamError

ONE_RANGE = re.compile(rb"bytes[ \t]*=[ \t]*(\d*)-(\d*)[ \t]*\Z", re.IGNORECASE)


class UnsatisfiableRangeError(MallowbeamError):
    """The range lies entirely outside the body: 416."""

    error_name = "Unsatisfiable"
    remedy = "ask for a range inside the object"


def parse_range(header: bytes) -> tuple[int | None, int | None] | None:
    """Parse a range into its first and last position, None for one left out; None if it must be ignored.

    A header with several ranges is ignored too, as RFC 9110 allows and S3 does.
    """
    match = ONE_RANGE.match(header)
    if match is None or len(header) > 64:
        return None
    first, last = (int(part) if part else None for part in match.groups())
    if first is None and last is None or first is not None and last is not None and first > last:
        return None
    return first, last


def resolve_range(header: bytes, length: int) -> tuple[int, int] | None:
    """Resolve a range to start and end (exclusive) in a body; None if the complete body is the answer.

    Raises:
        UnsatisfiableRangeError: The range lies entirely outside a body of this length.
    """
    positions = parse_range(header)
    if positions is None:
        return None
    first, last = positions
    if first is None:  # a suffix range: the last N bytes
        assert last is not None
        if last == 0 or length == 0:
            raise UnsatisfiableRangeError
        return max(0, length - last), length
    if first >= length:
        raise UnsatisfiableRangeError
    return first, length if last is None else min(last + 1, length)


def max_range_bytes(header: bytes | None) -> int | None:
    """Return the maximum number of requested bytes; None if the header alone does not determine it."""
    positions = parse_range(header) if header else None
    if positions is None or positions[1] is None:
        return None
    return positions[1] if positions[0] is None else positions[1] - positions[0] + 1
