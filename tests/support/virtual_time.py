"""An asyncio loop on loopback sockets whose clock jumps ahead while the loop is idle.

Both ends of each connection are in this process, so sent data is available at the next poll.  Waiting for a
timer takes no real time, so a test of seconds of silence ends within milliseconds.
"""

from __future__ import annotations

import asyncio
import selectors
import time
from collections.abc import Coroutine
from typing import Any
from unittest.mock import patch

SETTLE_S = 0.0005  # real time given to loopback before the clock jumps
START_S = 1000.0
STUCK_TIMEOUT_S = 5.0  # real time to wait for input when there is no timer


class _Selector(selectors.DefaultSelector):
    """Polls, and advances the loop's clock instead of waiting."""

    loop: VirtualLoop

    def select(self, timeout: float | None = None) -> list[tuple[selectors.SelectorKey, int]]:
        found = super().select(0)
        if found or timeout is not None and timeout <= 0:
            return found
        if timeout is None:
            return super().select(STUCK_TIMEOUT_S)
        found = super().select(SETTLE_S)
        if not found:
            self.loop.now += timeout
        return found


class VirtualLoop(asyncio.SelectorEventLoop):
    """The event loop; `now` is its monotonic clock."""

    def __init__(self) -> None:
        self.now = START_S
        selector = _Selector()
        selector.loop = self
        super().__init__(selector)

    def time(self) -> float:
        return self.now


def play(scenario: Coroutine[Any, Any, None], within_s: float = 120.0) -> None:
    """Run a scenario to its end with `time.monotonic` and the loop in virtual time."""
    loop = VirtualLoop()
    with patch.object(time, "monotonic", loop.time):
        try:
            loop.run_until_complete(asyncio.wait_for(scenario, within_s))
        finally:
            loop.run_until_complete(loop.shutdown_asyncgens())
            loop.close()
