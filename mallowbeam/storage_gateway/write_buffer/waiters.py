"""Clients that wait for a barrier to pass, or for a direct write to be allowed."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass

from mallowbeam.storage_gateway.write_buffer.core import Core


@dataclass(frozen=True, slots=True)
class DirectWait:
    """A client that waits until no buffered write must precede its direct write."""

    bucket: str
    name: bytes
    future: asyncio.Future[None]


class Waiters:
    """All waiting clients."""

    def __init__(self, core: Core) -> None:
        self._core = core
        self._by_barrier: dict[int, list[asyncio.Future[None]]] = {}
        self._direct: list[DirectWait] = []

    async def barrier_passed(self, lsn: int, seconds: float) -> bool:
        """Wait until a barrier has passed; False if it has not within `seconds`."""
        if self._core.writes_before(lsn) is None:
            return True
        future: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self._by_barrier.setdefault(lsn, []).append(future)
        return await _wait(future, seconds)

    async def direct_allowed(self, bucket: str, name: bytes, seconds: float) -> bool:
        """Wait until no write must precede a direct write of that name; False if not within `seconds`."""
        if not self._core.blocks_direct(bucket, name):
            return True
        future: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self._direct.append(DirectWait(bucket, name, future))
        return await _wait(future, seconds)

    def pass_barrier(self, lsn: int) -> None:
        """Wake the clients that wait for a barrier that has passed."""
        for future in self._by_barrier.pop(lsn, ()):
            if not future.done():
                future.set_result(None)

    def wake_direct(self) -> None:
        """Wake the clients whose direct write is allowed now, and drop those that gave up."""
        if not self._direct:
            return
        waiting = self._direct
        self._direct = []
        for wait in waiting:
            if wait.future.done():
                continue
            if self._core.blocks_direct(wait.bucket, wait.name):
                self._direct.append(wait)
            else:
                wait.future.set_result(None)

    def cancel(self) -> None:
        """Let all remaining clients get False, as the folder is closed."""
        for futures in self._by_barrier.values():
            for future in futures:
                future.cancel()
        for wait in self._direct:
            wait.future.cancel()


async def _wait(future: asyncio.Future[None], seconds: float) -> bool:
    try:
        async with asyncio.timeout(seconds):
            await future
    except TimeoutError:
        return False
    except asyncio.CancelledError:
        task = asyncio.current_task()
        if not future.cancelled() or (task is not None and task.cancelling()):
            raise
        return False  # the folder was handed over
    return True
