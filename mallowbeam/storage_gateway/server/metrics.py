"""The figures that operators fetch: plain counters, and how they are written.

Each counter is bumped at one place: requests by the server when an answer has gone out or broken off,
attempts by the gateway when their last byte is written.  What can be read off the program is not kept here.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping

PREFIX = "app_"
RESULTS = ("completed", "rejected", "failed")
FIRST_SUCCESS, FIRST_REDIRECT = 200, 300  # status codes: 2xx are successes (RFC 9110 section 15.3)
REJECTIONS = (429, 503)  # a refusal, whoever worded it


class Metrics:
    """What has happened since the process started."""

    def __init__(self, classes: Iterable[str]) -> None:
        self.requests = {name: dict.fromkeys(RESULTS, 0) for name in classes}
        self.upstream_requests = 0  # attempts written whole to a node

    def request_finished(self, lane: str | None, status: int, complete: bool) -> None:
        """A request's answer of that status has gone out, or broken off; not counted without a class."""
        if lane in self.requests:
            result = "failed"
            if complete and status in REJECTIONS:
                result = "rejected"
            elif complete and FIRST_SUCCESS <= status < FIRST_REDIRECT:
                result = "completed"
            self.requests[lane][result] += 1

    def write(self, gauges: Mapping[str, int]) -> str:
        """All figures as text, a line each, with what was read off the program."""
        lines = [
            f'{PREFIX}downstream_requests{{lane="{lane}",result="{result}"}} {count}'
            for lane, counts in self.requests.items()
            for result, count in counts.items()
        ]
        lines.append(f"{PREFIX}upstream_requests {self.upstream_requests}")
        lines += [f"{PREFIX}{name} {value}" for name, value in gauges.items()]
        return "\n".join(lines)
