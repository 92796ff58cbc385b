"""Futures for conditions that tasks wait for: an applied log index, or the next change of a value."""

from __future__ import annotations

import asyncio
import heapq


class AppliedIndexWaiters:
    """Futures of callers that wait until this member has applied a log index."""

    def __init__(self) -> None:
        self._waiting: list[tuple[int, int, asyncio.Future[None]]] = []
        self._count = 0  # breaks ties between futures of the same index in the heap

    def add(self, index: int, applied_index: int) -> asyncio.Future[None]:
        """A future that is done once `index` is applied; already done if `applied_index` has reached it."""
        future: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        if index <= applied_index:
            future.set_result(None)
            return future
        self._count += 1
        heapq.heappush(self._waiting, (index, self._count, future))
        return future

    def reached(self, applied_index: int) -> None:
        """Resolve all futures up to an index."""
        while self._waiting and self._waiting[0][0] <= applied_index:
            future = heapq.heappop(self._waiting)[2]
            if not future.done():
                future.set_result(None)


class ChangeNotifier:
    """Wakes any number of tasks at the next change of a value."""

    def __init__(self) -> None:
        self._waiting: dict[asyncio.Future[None], None] = {}  # oldest first

    def next(self) -> asyncio.Future[None]:
        """A future that is done at the next change; a caller that stops waiting must cancel it."""
        future: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self._waiting[future] = None
        future.add_done_callback(self._forget)
        return future

    def notify(self) -> None:
        """Wake all waiting tasks."""
        waiting = self._waiting
        self._waiting = {}
        for future in waiting:
            if not future.done():
                future.set_result(None)

    def _forget(self, future: asyncio.Future[None]) -> None:
        self._waiting.pop(future, None)
