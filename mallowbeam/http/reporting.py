"""Errors and warnings of the HTTP package, logged through the standard library's logging.

Two programs with different log libraries share this package: each attaches its handler to the logger defined
here, and neither has to import the other's library.
"""

from __future__ import annotations

import logging
import time

WARNING_INTERVAL_S = 5.0

logger = logging.getLogger("mallowbeam.http")
logger.propagate = False


class RateLimitedWarning:
    """A warning logged at most once every WARNING_INTERVAL_S, with the count of those suppressed."""

    def __init__(self, text: str) -> None:
        self.text, self.next_log_at, self.suppressed = text, float("-inf"), 0

    def __call__(self, detail: object) -> None:
        """Log the warning, or count it as suppressed."""
        if time.monotonic() < self.next_log_at:
            self.suppressed += 1
            return
        self.write("%s: %s (%d similar warnings suppressed)" % (self.text, detail, self.suppressed))  # noqa: UP031
        self.next_log_at, self.suppressed = time.monotonic() + WARNING_INTERVAL_S, 0

    def write(self, line: str) -> None:
        """Log one line; a subclass can send it elsewhere."""
        logger.warning(line)
