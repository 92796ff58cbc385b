"""The metrics that operators fetch: plain counters, and their text format.

Each counter is incremented at one place: requests by the server when a response was sent or broken off,
attempts by `AttemptRunner` when their last byte is written.  Gauges are read from the program, not kept here.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping

PREFIX = "app_"
RESULTS = ("completed", "rejected", "failed")
FIRST_SUCCESS, FIRST_REDIRECT = 200, 300  # status codes: 2xx are successes (RFC 9110 section 15.3)
REJECTIONS = (429, 503)  # refusals, by the gateway or by a node


class Metrics:
    """Counters since the start of the process."""

    def __init__(self, classes: Iterable[str]) -> None:
        self.requests = {name: dict.fromkeys(RESULTS, 0) for name in classes}
        self.upstream_requests = 0  # attempts whose request was completely written to a node

    def request_finished(self, lane: str | None, status: int, complete: bool) -> None:
        """Counts a request whose response was sent, or broken off; ignored for an unknown class."""
        if lane in self.requests:
            result = "failed"
            if complete and status in REJECTIONS:
                result = "rejected"
            elif complete and FIRST_SUCCESS <= status < FIRST_REDIRECT:
                result = "completed"
            self.requests[lane][result] += 1

    def write(self, gauges: Mapping[str, int]) -> str:
        """Returns all counters and the given gauges as text, one per line."""
        lines = [
            f'{PREFIX}downstream_requests{{lane="{lane}",result="{result}"}} {count}'
            for lane, counts in self.requests.items()
            for result, count in counts.items()
        ]
        lines.append(f"{PREFIX}upstream_requests {self.upstream_requests}")
        lines += [f"{PREFIX}{name} {value}" for name, value in gauges.items()]
        return "\n".join(lines)
