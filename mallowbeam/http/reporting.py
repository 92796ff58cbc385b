"""Faults and warnings of the HTTP parts, told through the standard library's logging.

The parts are shared by two programs with log libraries of their own: each program attaches its handler to the
logger named here, and neither has to load the other's library.
"""

from __future__ import annotations

import logging
import time

WARNING_INTERVAL_S = 5.0  # seconds between two lines of one kind

logger = logging.getLogger("mallowbeam.http")
logger.propagate = False


class RateLimitedWarning:
    """One kind of warning: at most a line every WARNING_INTERVAL_S, with the count of those left out."""

    def __init__(self, text: str) -> None:
        self.text, self.after, self.left_out = text, float("-inf"), 0

    def __call__(self, detail: object) -> None:
        """Write the warning, or count it."""
        if time.monotonic() < self.after:
            self.left_out += 1
            return
        self.write("%s: %s (%d more like it before)" % (self.text, detail, self.left_out))  # noqa: UP031
        self.after, self.left_out = time.monotonic() + WARNING_INTERVAL_S, 0

    def write(self, line: str) -> None:
        """Put a line out."""
        logger.warning(line)
