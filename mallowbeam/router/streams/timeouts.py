"""Time-outs of a stalled stream, in seconds.  No I/O."""

from __future__ import annotations

# Clients wait for the longest of three times (PROTOCOL.md, requests):
CLIENT_LEAST_S = 2.0
CLIENT_OBJECTIVES = 4.0  # multiples of the latency objective
CLIENT_GAPS = 8.0  # multiples of the longest pause with which an answer still counts as in time
RESUME_LEAST_S = 1.0
RESUME_GAPS = 4.0


def client_timeout_s(objective_s: float, gap_s: float) -> float:
    """Return the seconds without an event after which a client abandons a stream."""
    return max(CLIENT_LEAST_S, CLIENT_OBJECTIVES * objective_s, CLIENT_GAPS * gap_s)


def resume_timeout_s(gap_s: float) -> float:
    """Return the seconds without an event after which a resumable stream moves to another instance."""
    return max(RESUME_LEAST_S, RESUME_GAPS * gap_s)
