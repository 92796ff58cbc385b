"""Logging of a role: one line per record on standard error, with a rate limit per event.

A line contains the seconds since the start (monotonic clock), level, node, logger and message. An event is a
logger's name with the message before its arguments are inserted: pass arguments separately
(``log.warning("feed lost: %s", peer)``), or each text counts as an event of its own. At most ``BURST`` lines
of an event are written in ``WINDOW_S`` seconds; its next line states how many were suppressed.
"""

from __future__ import annotations

import logging
import sys
import time
import traceback
from collections.abc import Callable
from types import TracebackType
from typing import TextIO

import picologging

from mallowbeam.http import reporting

BURST = 3  # lines of an event per window
WINDOW_S = 5.0
MAX_EVENTS = 512  # events that are counted; the oldest is dropped for a new one
MAX_FRAMES = 8  # of a traceback, the innermost


class EventRateLimiter:
    """Limits the lines of each event. It reads no clock: the caller gives the time in seconds."""

    def __init__(self) -> None:
        self._events: dict[tuple[str, str], _EventWindow] = {}

    def admit(self, logger: str, event: str, now: float) -> int | None:
        """The number of lines suppressed before this one, or None if this one is suppressed too."""
        window = self._events.get((logger, event))
        if window is None:
            if len(self._events) >= MAX_EVENTS:
                del self._events[next(iter(self._events))]
            window = self._events[logger, event] = _EventWindow(now)
        if now - window.window_start >= WINDOW_S:
            window.window_start = now
            window.written = 0
        if window.written >= BURST:
            window.suppressed += 1
            return None
        window.written += 1
        suppressed, window.suppressed = window.suppressed, 0
        return suppressed


class _EventWindow:
    """Lines of one event in its current window."""

    __slots__ = ("suppressed", "window_start", "written")

    def __init__(self, now: float) -> None:
        self.window_start = now
        self.written = 0
        self.suppressed = 0


class LineHandler(picologging.Handler):
    """Writes records as lines to a stream."""

    def __init__(self, node: str, stream: TextIO, clock: Callable[[], float]) -> None:
        super().__init__()
        self._node = node
        self._stream = stream
        self._clock = clock
        self._start = clock()
        self._limiter = EventRateLimiter()

    def emit(self, record: picologging.LogRecord) -> None:
        """Write one record, unless its event is over the limit."""
        error = record.exc_info[1] if record.exc_info else None
        self.write(record.levelname, record.name, str(record.msg), record.getMessage(), error)

    def write(self, level: str, logger: str, event: str, message: str, error: BaseException | None) -> None:
        """Write one event, unless it is over the limit."""
        now = self._clock()
        suppressed = self._limiter.admit(logger, event, now)
        if suppressed is None:
            return
        if error is not None:
            message += f" [{describe_error(error)}]"
        if suppressed:
            message += f" ({suppressed} more like it before)"
        message = message.replace("\r", "\\r").replace("\n", "\\n")
        line = f"{now - self._start:.3f} {level} {self._node} {logger}: {message}\n"
        try:
            self._stream.write(line)
            self._stream.flush()
        except (OSError, ValueError):  # standard error is closed or full; the role must not fail for that
            pass


class StandardLogForwarder(logging.Handler):
    """Forwards records of the shared HTTP modules, which use the standard library's logging."""

    def __init__(self, line_handler: LineHandler) -> None:
        super().__init__(logging.INFO)
        self._line_handler = line_handler

    def emit(self, record: logging.LogRecord) -> None:
        """Forward one record."""
        error = record.exc_info[1] if record.exc_info else None
        self._line_handler.write(record.levelname, record.name, str(record.msg), record.getMessage(), error)


def describe_error(error: BaseException) -> str:
    """An exception with its innermost frames, on one line."""
    text = f"{type(error).__name__}: {error}"
    frames = _innermost_frames(error.__traceback__)
    return f"{text}; at {frames}" if frames else text


def _innermost_frames(trace: TracebackType | None) -> str:
    frames = traceback.extract_tb(trace)[-MAX_FRAMES:]
    return " < ".join(f"{frame.filename}:{frame.lineno} {frame.name}" for frame in reversed(frames))


def get_logger(name: str) -> picologging.Logger:
    """The logger of a module; may be called before :func:`set_up_logging`."""
    logger = picologging.getLogger(name)
    logger.setLevel(picologging.INFO)
    return logger


def set_up_logging(
    node: str, stream: TextIO | None = None, clock: Callable[[], float] = time.monotonic
) -> LineHandler:
    """Write all events of this process to ``stream`` (None: standard error), replacing earlier handlers."""
    line_handler = LineHandler(node, stream if stream is not None else sys.stderr, clock)
    for old in list(picologging.root.handlers):
        picologging.root.removeHandler(old)
    picologging.root.addHandler(line_handler)
    for earlier in [
        handler for handler in reporting.logger.handlers if isinstance(handler, StandardLogForwarder)
    ]:
        reporting.logger.removeHandler(earlier)
    reporting.logger.addHandler(StandardLogForwarder(line_handler))
    return line_handler
