"""Until when a request may wait for its response, and a response that has begun may go on.  No I/O."""

from __future__ import annotations

from dataclasses import dataclass

CLIENT_RETURN_MARGIN_S = 0.01  # part of a client's deadline, reserved for the answer's way to the client
INSTANCE_RETURN_MARGIN_S = 0.005  # part of the remaining time, reserved for the answer's way to the gateway
TRUNCATION_MARGIN_S = (
    0.1  # after a client's deadline, so that the client's own clock has reached it before a cut
)


@dataclass(frozen=True, slots=True)
class Deadlines:
    """Monotonic times, in seconds."""

    answer_by: float  # a response that has not begun by then is replaced by a failure
    ends_at: float  # the client's deadline or the route's time-out, whichever is first
    truncate_at: float  # a response that has begun is truncated then, and never sooner

    def of_instance(self, streams: bool) -> float:
        """Return when an instance is to cease work: on a stream not before it is truncated for its client."""
        return self.ends_at if streams else self.answer_by - INSTANCE_RETURN_MARGIN_S


def request_deadlines(started_at: float, client_ms: float, timeout_ms: float) -> Deadlines:
    """Return the deadlines of a request.

    Args:
        started_at: monotonic time of the request's last byte.
        client_ms: how long its client waits.
        timeout_ms: the route's time-out.
    """
    client_s, timeout_s = client_ms / 1000, timeout_ms / 1000
    margin_s = min(CLIENT_RETURN_MARGIN_S, client_s / 4)
    ends_at = started_at + min(client_s, timeout_s)
    return Deadlines(
        answer_by=started_at + min(client_s - margin_s, timeout_s),
        ends_at=ends_at,
        truncate_at=ends_at + TRUNCATION_MARGIN_S,
    )
