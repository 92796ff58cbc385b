"""Judges rule ORDER of one stream: each event once, ascending, none missing.

A stream that ended as complete must reach the last event of an instance that ran it.
"""

from __future__ import annotations

import re
from collections.abc import Collection

EVENT = re.compile(rb"id: (\d+)\ndata: [^\n]*")
EVENT_END = b"\n\n"


def order_violation(body: bytes | bytearray, complete: bool, last_events: Collection[int]) -> str | None:
    """Return what is wrong with a stream's body, or None.

    Args:
        body: what the client has received; if not `complete`, it may end inside an event.
        complete: whether the stream ended as complete.
        last_events: the number of the last event of each instance that ran the request.
    """
    *encoded, rest = body.split(EVENT_END)
    expected = 1
    for one in encoded:
        match = EVENT.fullmatch(one)
        if match is None:
            return f"not an event: {bytes(one)!r}"
        if int(match[1]) != expected:
            return f"event {int(match[1])} where event {expected} was due"
        expected += 1
    if not complete:
        return None
    if rest:
        return f"complete inside event {expected}"
    if expected - 1 not in last_events:
        return f"complete after event {expected - 1}, the instances' last ones are {sorted(last_events)}"
    return None
