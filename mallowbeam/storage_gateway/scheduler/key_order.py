"""Ordered requests: those of one key run one at a time, in the order of arrival."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable

from mallowbeam.storage_gateway.scheduler.model import Request
from mallowbeam.storage_gateway.scheduler.state import CLOCK_SLACK_S, SchedulerState


class KeyOrder:
    """Owns the queues of ordered keys, and each key's pause after an attempt that may still be running."""

    def __init__(self, state: SchedulerState, book: Callable[[Request], None]) -> None:
        self._state = state
        self._book = book
        self.queues: dict[str, deque[Request]] = {}  # in the order of arrival
        self.paused_until: dict[str, float] = {}  # time before which no next request of a key may be sent

    def add(self, key: str, request: Request) -> None:
        """Queue a request behind the others of its key; book it if it is the only one."""
        self.queues.setdefault(key, deque()).append(request)
        self.advance(key)

    def pause(self, key: str) -> None:
        """Pause a key: an attempt of its first request may still be running."""
        self.paused_until[key] = self._state.now + self._state.settings.order_settle_time

    def is_next(self, request: Request) -> bool:
        """Whether a request may be sent: it is its key's oldest, and the key's pause has ended."""
        key = request.order_key
        queue = self.queues.get(key) if key is not None else None
        if not queue:
            return True
        if queue[0] is not request:
            return False
        return request.attempt_count > 0 or self.paused_until.get(key or "", 0.0) <= self._state.now

    def advance(self, key: str) -> None:
        """Book the oldest unfinished request of a key, or set a timer for the end of the key's pause."""
        queue = self.queues.get(key)
        if queue is None:
            return
        while queue and queue[0].done and not queue[0].in_flight:
            queue.popleft()
        if not queue:
            del self.queues[key]
            return
        first = queue[0]
        if first.counted_pending or first.done:
            return
        until = self.paused_until.get(key, 0.0)
        # A pause that ends within the clock's slack counts as over: its timer would fire at once, for ever.
        if until > self._state.now + CLOCK_SLACK_S:
            self._state.schedule(until, key)
        else:
            self._book(first)

    def forget_old(self) -> None:
        """Drop the pauses that have ended, so that memory is bounded."""
        for key in [key for key, until in self.paused_until.items() if until <= self._state.now]:
            del self.paused_until[key]
