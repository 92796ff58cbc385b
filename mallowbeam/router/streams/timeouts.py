"""Time-outs of a silent stream.  A pure core; times in seconds."""

from __future__ import annotations

CLIENT_LEAST_S = 2.0  # clients wait at least this long (PROTOCOL.md, requests),
CLIENT_OBJECTIVES = 4.0  # this many times the objective,
CLIENT_GAPS = 8.0  # and this many times the longest pause that keeps an answer in time
RESUME_LEAST_S = 1.0
RESUME_GAPS = 4.0


def client_timeout_s(objective_s: float, gap_s: float) -> float:
    """Seconds without an event after which a client abandons a stream."""
    return max(CLIENT_LEAST_S, CLIENT_OBJECTIVES * objective_s, CLIENT_GAPS * gap_s)


def resume_timeout_s(gap_s: float) -> float:
    """Seconds without an event after which a resumable stream is resumed at another instance."""
    return max(RESUME_LEAST_S, RESUME_GAPS * gap_s)
