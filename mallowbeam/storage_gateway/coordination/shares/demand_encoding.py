"""The encoding of demand reports: two bytes for a rate, a variable-length integer for the distance to a flow.

A rate is rounded up to the next step. Steps are a 256th of an octave (0.3%) apart, from one milli-unit to a
million units a second; 0 is a step of its own. A rate's code is the position of its step. Steps are computed
in integers, so they are the same on every machine.

Each row is the distance from the flow before, less one, in groups of seven bits, the lowest first (LEB128),
and the code of the rate, little-endian.
"""

from __future__ import annotations

from bisect import bisect_left
from collections.abc import Mapping
from math import isqrt

from mallowbeam.errors import MallowbeamError

MAX_RATE = 10**9  # milli-units a second
FIXED_POINT_ONE = 1 << 60  # of the fixed-point numbers from which steps are rounded
HALVINGS = 8  # how often an octave is halved: it has 2 ** 8 steps
GROUP_BITS = 7  # of a distance in one byte; the highest bit says that another byte follows
GROUP_MASK = 0x7F
CONTINUES = 0x80
MAX_SHIFT = 35  # bits before the last byte of a distance


def _rate_steps() -> tuple[int, ...]:
    ratio = 2 * FIXED_POINT_ONE
    for _ in range(HALVINGS):
        ratio = isqrt(ratio * FIXED_POINT_ONE)
    steps = [0]
    exact = FIXED_POINT_ONE
    while steps[-1] < MAX_RATE:
        step = -(-exact // FIXED_POINT_ONE)
        if step > steps[-1]:
            steps.append(step)
        exact = exact * ratio // FIXED_POINT_ONE
    return tuple(steps)


RATE_STEPS = _rate_steps()  # milli-units a second, by code


class InvalidDemandError(MallowbeamError):
    """The bytes are no valid demand report: truncated, or with flows or codes out of range."""

    error_name = "BadRows"
    remedy = "run one version of the program on all gateways"


def rate_code(rate: int) -> int:
    """The code of the step at or above a rate in milli-units a second, at most that of the highest step."""
    return min(bisect_left(RATE_STEPS, rate), len(RATE_STEPS) - 1)


def encode_demand(codes: Mapping[int, int]) -> bytes:
    """Encode rate codes by flow."""
    body = bytearray()
    previous = -1
    for flow in sorted(codes):
        distance = flow - previous - 1
        previous = flow
        while distance > GROUP_MASK:
            body.append(distance & GROUP_MASK | CONTINUES)
            distance >>= GROUP_BITS
        body.append(distance)
        body += codes[flow].to_bytes(2, "little")
    return bytes(body)


def decode_demand(body: bytes, flow_count: int) -> dict[int, int]:
    """Decode rate codes by flow; raises `InvalidDemandError`."""
    codes: dict[int, int] = {}
    flow = -1
    position = 0
    while position < len(body):
        distance, position = _decode_distance(body, position)
        flow += distance + 1
        if position + 1 >= len(body):
            raise InvalidDemandError("truncated demand report")
        if flow >= flow_count:
            raise InvalidDemandError("flow number out of range")
        code = body[position] | body[position + 1] << 8
        if code >= len(RATE_STEPS):
            raise InvalidDemandError("rate code out of range")
        codes[flow] = code
        position += 2
    return codes


def _decode_distance(body: bytes, position: int) -> tuple[int, int]:
    """The distance that begins at this position, and the position after it."""
    distance = 0
    shift = 0
    while position < len(body):
        byte = body[position]
        position += 1
        distance |= (byte & GROUP_MASK) << shift
        if byte < CONTINUES:
            return distance, position
        shift += GROUP_BITS
        if shift > MAX_SHIFT:
            raise InvalidDemandError("distance between flows out of range")
    raise InvalidDemandError("truncated demand report")
