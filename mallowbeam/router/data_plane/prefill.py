"""The prompt read at a prefill instance: the call, the handle that it leaves, and how a handle is freed."""

from __future__ import annotations

import asyncio
import json
from collections.abc import Coroutine
from contextlib import suppress
from dataclasses import dataclass
from http import HTTPStatus

from mallowbeam.http.client import ConnectionBrokenError, ConnectionLimitError, RequestNotSentError
from mallowbeam.http.framing import write_request
from mallowbeam.router.data_plane.attempt import Attempt
from mallowbeam.router.data_plane.link_pool import LinkPool

MOST_FREEING = 64  # handles being freed at once; one beyond that lapses by itself
FREE_TIMEOUT_S = 1.0
MOST_HANDLE_CHARS = 256


@dataclass(frozen=True, slots=True)
class Handle:
    """Memory that a prefill instance holds for one request."""

    instance: str
    address: str  # of the instance
    id: str
    issued_at: float  # when the instance's answer came, in loop time

    @property
    def kv_from(self) -> bytes:
        """The value of the header that names it to a decode instance."""
        return f"{self.address}/{self.id}".encode()


def read_handle(attempt: Attempt, address: str, now: float) -> Handle | None:
    """The handle in a prefill answer; None where it can't be read."""
    answer = attempt.answer
    if answer is None or answer.status != HTTPStatus.OK or not answer.complete:
        return None
    try:
        handle = json.loads(bytes(answer.body))["kv_handle"]
    except (ValueError, KeyError, TypeError):
        return None
    if not isinstance(handle, str) or not handle.isalnum() or not handle.isascii():
        return None
    if len(handle) > MOST_HANDLE_CHARS:
        return None
    return Handle(attempt.instance, address, handle, now)


class HandleRelease:
    """Frees handles that no decode instance takes, in the background of the requests they belonged to."""

    def __init__(self, pool: LinkPool) -> None:
        self._pool = pool
        self._tasks: set[asyncio.Task[None]] = set()
        self.dropped = 0  # beyond the bound: left to lapse

    def free(self, handle: Handle, most_connections: int) -> None:
        """Free a handle; nobody waits for it."""
        if len(self._tasks) >= MOST_FREEING:
            self.dropped += 1
            return
        self._start(self._free(handle, most_connections))

    async def finish(self) -> None:
        """Wait for what is on its way."""
        if self._tasks:
            await asyncio.wait(self._tasks, timeout=FREE_TIMEOUT_S)

    def _start(self, work: Coroutine[object, object, None]) -> None:
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _free(self, handle: Handle, most_connections: int) -> None:
        with suppress(TimeoutError, RequestNotSentError, ConnectionLimitError, ConnectionBrokenError):
            async with asyncio.timeout(FREE_TIMEOUT_S):
                await self._delete(handle, most_connections)

    async def _delete(self, handle: Handle, most_connections: int) -> None:
        link = await self._pool.take(handle.instance, handle.address, most_connections)
        try:
            target = f"/mallowbeam/kv-handle/{handle.id}".encode()
            headers = [(b"host", handle.address.encode()), (b"target-instance", handle.instance.encode())]
            answer = await link.round_trip(write_request(b"DELETE", target, headers))
            await link.read_body(answer)
        finally:
            # The call names no request, so what was read may be a late answer to an earlier one, with this
            # call's own still outstanding: the connection is not used again.
            self._pool.drop(handle.instance, link)
