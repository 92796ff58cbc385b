"""Time-outs of a stalled stream, in seconds.  No I/O."""

from __future__ import annotations

# Clients wait for the longest of three times (PROTOCOL.md, requests):
MIN_CLIENT_TIMEOUT_S = 2.0
CLIENT_TIMEOUT_OBJECTIVES = 4.0  # multiples of the latency objective
CLIENT_TIMEOUT_GAPS = 8.0  # multiples of the longest pause with which an answer still counts as in time
MIN_RESUME_TIMEOUT_S = 1.0
RESUME_TIMEOUT_GAPS = 4.0


def client_timeout_s(objective_s: float, gap_s: float) -> float:
    """Return the seconds without an event after which a client abandons a stream."""
    return max(MIN_CLIENT_TIMEOUT_S, CLIENT_TIMEOUT_OBJECTIVES * objective_s, CLIENT_TIMEOUT_GAPS * gap_s)


def resume_timeout_s(gap_s: float) -> float:
    """Return the seconds without an event after which a resumable stream moves to another instance."""
    return max(MIN_RESUME_TIMEOUT_S, RESUME_TIMEOUT_GAPS * gap_s)
