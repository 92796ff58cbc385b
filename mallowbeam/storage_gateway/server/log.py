"""This program's log: what the shared HTTP parts report goes out through loguru, as all else does."""

from __future__ import annotations

import logging

from loguru import logger

from mallowbeam.http import reporting
from mallowbeam.http.reporting import WARNING_INTERVAL_S as WARNING_INTERVAL_S
from mallowbeam.http.reporting import RateLimitedWarning as RateLimitedWarning


class Forward(logging.Handler):
    """Hands each record on to loguru, with its level and its exception."""

    def emit(self, record: logging.LogRecord) -> None:
        """Put one record out."""
        error = record.exc_info[1] if record.exc_info else None
        logger.opt(exception=error).log(record.levelname, "{}", record.getMessage())


reporting.logger.addHandler(Forward())
