"""Conditions that tasks wait for: an applied log index, the next change of something."""

from __future__ import annotations

import asyncio
import heapq


class AppliedIndexWaiters:
    """Futures of callers that wait until this member has applied a log index."""

    def __init__(self) -> None:
        self._waiting: list[tuple[int, int, asyncio.Future[None]]] = []
        self._count = 0  # tells futures of one index apart in the heap

    def add(self, index: int, applied_index: int) -> asyncio.Future[None]:
        """A future that is done once `index` is applied; at once if `applied_index` has reached it."""
        answer: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        if index <= applied_index:
            answer.set_result(None)
            return answer
        self._count += 1
        heapq.heappush(self._waiting, (index, self._count, answer))
        return answer

    def reached(self, applied_index: int) -> None:
        """Resolve all futures up to an index."""
        while self._waiting and self._waiting[0][0] <= applied_index:
            answer = heapq.heappop(self._waiting)[2]
            if not answer.done():
                answer.set_result(None)


class ChangeNotifier:
    """Wakes any number of tasks at the next change of something."""

    def __init__(self) -> None:
        self._waiting: dict[asyncio.Future[None], None] = {}  # in the order in which they began to wait

    def next(self) -> asyncio.Future[None]:
        """A future that is done at the next change; a caller that stops waiting cancels it."""
        answer: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self._waiting[answer] = None
        answer.add_done_callback(self._forget)
        return answer

    def notify(self) -> None:
        """Wake all tasks that wait."""
        waiting = self._waiting
        self._waiting = {}
        for answer in waiting:
            if not answer.done():
                answer.set_result(None)

    def _forget(self, answer: asyncio.Future[None]) -> None:
        self._waiting.pop(answer, None)
