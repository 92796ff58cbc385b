"""Demand as it goes through the log: two bytes for a rate, and flows by the distance from the one before.

A rate is rounded up to the next step, a 256th of an octave (0.3%) apart, from a milli-unit to a million units
a second; zero is a step of its own.  Steps are whole numbers by one rule, the same on every machine.
"""

from __future__ import annotations

from bisect import bisect_left
from collections.abc import Mapping
from math import isqrt

from mallowbeam.errors import MallowbeamError

ONE = 1 << 60  # fixed point, while the steps are made


def _steps() -> tuple[int, ...]:
    root = 2 * ONE
    for _ in range(8):
        root = isqrt(root * ONE)  # 2 ** (1 / 256)
    steps, at = [0], ONE
    while steps[-1] < MOST_STEP:
        if (step := -(-at // ONE)) > steps[-1]:
            steps.append(step)
        at = at * root // ONE
    return tuple(steps)


MOST_STEP = 10**9  # milli-units a second
STEPS = _steps()  # the same, by code


class BadRows(MallowbeamError):
    """Bytes that are no rows: cut short, or flows that are not there."""

    error_name = "BadRows"
    remedy = "run one version of the program on all gateways"


def code(rate: int) -> int:
    """The step at or above a rate; what is above the highest counts as the highest."""
    return min(bisect_left(STEPS, rate), len(STEPS) - 1)


def pack(rows: Mapping[int, int]) -> bytes:
    """Codes by flow."""
    out, before = bytearray(), -1
    for flow in sorted(rows):
        gap, before = flow - before - 1, flow
        while gap > 127:
            out.append(gap & 127 | 128)
            gap >>= 7
        out += bytes((gap, rows[flow] & 255, rows[flow] >> 8))
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
        if at + 1 >= last or flow >= flows:
            raise BadRows("cut short" if at + 1 >= last else "a flow that is not there")
        rows[flow] = step = body[at] | body[at + 1] << 8
        if step >= len(STEPS):
            raise BadRows("a step that is not there")
        at, gap, shift = at + 2, 0, 0
    if shift:
        raise BadRows("cut short")
    return rows
