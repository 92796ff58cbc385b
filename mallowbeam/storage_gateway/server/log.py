"""Logging of this process: forwards the warnings of the shared HTTP package to loguru."""

from __future__ import annotations

import logging

from loguru import logger

from mallowbeam.http import reporting
from mallowbeam.http.reporting import WARNING_INTERVAL_S as WARNING_INTERVAL_S
from mallowbeam.http.reporting import RateLimitedWarning as RateLimitedWarning


class LoguruHandler(logging.Handler):
    """Forwards each record to loguru, with its level and exception."""

    def emit(self, record: logging.LogRecord) -> None:
        """Forwards one record."""
        error = record.exc_info[1] if record.exc_info else None
        logger.opt(exception=error).log(record.levelname, "{}", record.getMessage())


reporting.logger.addHandler(LoguruHandler())
