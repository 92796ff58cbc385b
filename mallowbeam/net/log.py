"""Warnings that may come with every request, kept to a line now and then."""

from __future__ import annotations

import time

from loguru import logger

APART = 5.0                 # seconds between two lines of one kind


class Sparse:
    """One kind of warning: a line at most every APART seconds, with the count of those left out."""

    def __init__(self, text: str) -> None:
        self.text, self.after, self.left_out = text, float("-inf"), 0

    def __call__(self, detail: object) -> None:
        """Write the warning, or count it."""
        if time.monotonic() < self.after:
            self.left_out += 1
            return
        logger.warning("{}: {} ({} more like it before)", self.text, detail, self.left_out)
        self.after, self.left_out = time.monotonic() + APART, 0
