"""Demand as it goes through the log: a byte for a rate, and flows by the distance from the one before.

A rate is rounded up to the next of 255 steps, an eighth of an octave apart, from a milli-unit to some four
million units a second; zero is a step of its own.  Steps are whole numbers by one rule, so they are the same
on every machine.
"""

from __future__ import annotations

from bisect import bisect_left
from collections.abc import Mapping

EIGHTHS = (65536, 71468, 77936, 84990, 92682, 101070, 110218, 120194)  # 2 ** (i / 8), in 65,536ths


def _steps() -> tuple[int, ...]:
    steps = [0]
    at = 0
    while len(steps) < 256:
        if (step := EIGHTHS[at % 8] << at // 8 >> 16) > steps[-1]:
            steps.append(step)
        at += 1
    return tuple(steps)


STEPS = _steps()            # milli-units a second, by code


class BadRows(ValueError):
    """Bytes that are no rows: cut short, or flows that are not there."""


def code(rate: int) -> int:
    """The step at or above a rate; what is above the highest counts as the highest."""
    return min(bisect_left(STEPS, rate), 255)


def pack(rows: Mapping[int, int]) -> bytes:
    """Codes by flow."""
    out, before = bytearray(), -1
    for flow in sorted(rows):
        gap, before = flow - before - 1, flow
        while gap > 127:
            out.append(gap & 127 | 128)
            gap >>= 7
        out += bytes((gap, rows[flow]))
    return bytes(out)


def unpack(body: bytes, flows: int) -> dict[int, int]:
    """Codes by flow; raises `BadRows`."""
    rows: dict[int, int] = {}
    flow, gap, shift, last = -1, 0, 0, len(body)
    at = 0
    while at < last:
        byte = body[at]
        at += 1
        gap |= (byte & 127) << shift
        if byte > 127:
            shift += 7
            if shift > 35:
                raise BadRows("a gap too wide")
            continue
        flow += gap + 1
        if at == last or flow >= flows:
            raise BadRows("cut short" if at == last else "a flow that is not there")
        rows[flow] = body[at]
        at, gap, shift = at + 1, 0, 0
    if shift:
        raise BadRows("cut short")
    return rows
