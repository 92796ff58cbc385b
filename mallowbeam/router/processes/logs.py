"""Logging of a role: one line an event on standard error, with a bound on how often an event is written.

A line holds the seconds since the start (steady clock), level, node, logger and message. An event is a
logger's name with a message before its arguments are put in: pass arguments apart (``log.warning("feed
lost: %s", peer)``), or each text counts as an event of its own. At most ``BURST`` lines of an event are
written in ``WINDOW_S`` seconds; the next line after that tells how many were left out.
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

BURST = 3  # lines of an event in a window
WINDOW_S = 5.0  # seconds
MOST_EVENTS = 512  # events remembered; the oldest is forgotten for a new one
MOST_FRAMES = 8  # of a traceback, the innermost


class EventBound:
    """Decides which lines are written. It reads no clock: the caller gives the time in seconds."""

    def __init__(self) -> None:
        self._events: dict[tuple[str, str], _EventCount] = {}

    def admit(self, logger: str, event: str, now: float) -> int | None:
        """The number of lines left out before this one, or None where this one is left out too."""
        count = self._events.get((logger, event))
        if count is None:
            if len(self._events) >= MOST_EVENTS:
                del self._events[next(iter(self._events))]
            count = self._events[logger, event] = _EventCount(now)
        if now - count.window_start >= WINDOW_S:
            count.window_start, count.written = now, 0
        if count.written >= BURST:
            count.left_out += 1
            return None
        count.written += 1
        left_out, count.left_out = count.left_out, 0
        return left_out


class _EventCount:
    """Lines of one event in the current window."""

    __slots__ = ("left_out", "window_start", "written")

    def __init__(self, now: float) -> None:
        self.window_start, self.written, self.left_out = now, 0, 0


class LineHandler(picologging.Handler):
    """Writes records as lines to a stream."""

    def __init__(self, node: str, stream: TextIO, clock: Callable[[], float]) -> None:
        super().__init__()
        self._node, self._stream, self._clock = node, stream, clock
        self._start = clock()
        self._bound = EventBound()

    def emit(self, record: picologging.LogRecord) -> None:
        """Write one record, where the bound lets it through."""
        error = record.exc_info[1] if record.exc_info else None
        self.write(record.levelname, record.name, str(record.msg), record.getMessage(), error)

    def write(self, level: str, logger: str, event: str, message: str, error: BaseException | None) -> None:
        """Write one event, where the bound lets it through."""
        now = self._clock()
        left_out = self._bound.admit(logger, event, now)
        if left_out is None:
            return
        if error is not None:
            message += f" [{describe_error(error)}]"
        if left_out:
            message += f" ({left_out} more like it before)"
        message = message.replace("\r", "\\r").replace("\n", "\\n")
        line = f"{now - self._start:.3f} {level} {self._node} {logger}: {message}\n"
        try:
            self._stream.write(line)
            self._stream.flush()
        except (OSError, ValueError):  # nobody reads standard error: the role goes on
            pass


class ForwardHandler(logging.Handler):
    """Hands on what the shared HTTP parts report through the standard library's logging."""

    def __init__(self, lines: LineHandler) -> None:
        super().__init__(logging.INFO)
        self._lines = lines

    def emit(self, record: logging.LogRecord) -> None:
        """Hand on one record."""
        error = record.exc_info[1] if record.exc_info else None
        self._lines.write(record.levelname, record.name, str(record.msg), record.getMessage(), error)


def describe_error(error: BaseException) -> str:
    """An exception with its innermost frames, on one line."""
    text = f"{type(error).__name__}: {error}"
    frames = _innermost_frames(error.__traceback__)
    return f"{text}; at {frames}" if frames else text


def _innermost_frames(trace: TracebackType | None) -> str:
    frames = traceback.extract_tb(trace)[-MOST_FRAMES:]
    return " < ".join(f"{frame.filename}:{frame.lineno} {frame.name}" for frame in reversed(frames))


def get_logger(name: str) -> picologging.Logger:
    """The logger of a module; it may be asked for before :func:`set_up_logging`."""
    logger = picologging.getLogger(name)
    logger.setLevel(picologging.INFO)
    return logger


def set_up_logging(
    node: str, stream: TextIO | None = None, clock: Callable[[], float] = time.monotonic
) -> LineHandler:
    """Write all events of this process to ``stream`` (None: standard error), instead of what was set up."""
    lines = LineHandler(node, stream if stream is not None else sys.stderr, clock)
    for old in list(picologging.root.handlers):
        picologging.root.removeHandler(old)
    picologging.root.addHandler(lines)
    for earlier in [one for one in reporting.logger.handlers if isinstance(one, ForwardHandler)]:
        reporting.logger.removeHandler(earlier)
    reporting.logger.addHandler(ForwardHandler(lines))
    return lines
