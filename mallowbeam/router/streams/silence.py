"""How long a stream may be silent.  A pure core; times in seconds."""

from __future__ import annotations

CLIENT_LEAST_S = 2.0  # clients wait at least this long,
CLIENT_OBJECTIVES = 4.0  # this many times the objective,
CLIENT_GAPS = 8.0  # and this many times the longest pause that keeps an answer in time
RESUME_LEAST_S = 1.0
RESUME_GAPS = 4.0


def client_patience_s(objective_s: float, gap_s: float) -> float:
    """The silence after which a client gives a stream up."""
    return max(CLIENT_LEAST_S, CLIENT_OBJECTIVES * objective_s, CLIENT_GAPS * gap_s)


def resume_after_s(gap_s: float) -> float:
    """The silence after which a stream that may be resumed is taken up at another instance."""
    return max(RESUME_LEAST_S, RESUME_GAPS * gap_s)
