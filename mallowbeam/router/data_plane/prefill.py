"""KV handles: parsing them from the answers of prefill instances, and freeing those that are not used."""

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

MAX_CONCURRENT_RELEASES = 64  # handles being freed at a time; any beyond that are left to expire
FREE_TIMEOUT_S = 1.0
MAX_HANDLE_CHARS = 256


@dataclass(frozen=True, slots=True)
class Handle:
    """KV cache that a prefill instance holds for one request."""

    instance: str
    address: str  # of the instance
    id: str
    issued_at: float  # monotonic time at which the instance's answer arrived

    @property
    def kv_from(self) -> bytes:
        """The `Kv-From` header value that refers a decode instance to this handle."""
        return f"{self.address}/{self.id}".encode()


def read_handle(attempt: Attempt, address: str, now: float) -> Handle | None:
    """Return the handle in a prefill answer, or None if it can't be parsed."""
    answer = attempt.answer
    if answer is None or answer.status != HTTPStatus.OK or not answer.complete:
        return None
    try:
        handle = json.loads(bytes(answer.body))["kv_handle"]
    except (ValueError, KeyError, TypeError):
        return None
    if not isinstance(handle, str) or not handle.isalnum() or not handle.isascii():
        return None
    if len(handle) > MAX_HANDLE_CHARS:
        return None
    return Handle(attempt.instance, address, handle, now)


class HandleRelease:
    """Frees handles that no decode instance fetches, in background tasks."""

    def __init__(self, pool: LinkPool) -> None:
        self._pool = pool
        self._tasks: set[asyncio.Task[None]] = set()
        self.dropped = 0  # handles left to expire because the limit was reached

    def free(self, handle: Handle, connection_limit: int) -> None:
        """Start freeing a handle in the background."""
        if len(self._tasks) >= MAX_CONCURRENT_RELEASES:
            self.dropped += 1
            return
        self._start(self._free(handle, connection_limit))

    async def finish(self) -> None:
        """Wait for the pending releases, at most `FREE_TIMEOUT_S`."""
        if self._tasks:
            await asyncio.wait(self._tasks, timeout=FREE_TIMEOUT_S)

    def _start(self, work: Coroutine[object, object, None]) -> None:
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _free(self, handle: Handle, connection_limit: int) -> None:
        with suppress(TimeoutError, RequestNotSentError, ConnectionLimitError, ConnectionBrokenError):
            async with asyncio.timeout(FREE_TIMEOUT_S):
                await self._delete(handle, connection_limit)

    async def _delete(self, handle: Handle, connection_limit: int) -> None:
        link = await self._pool.take(handle.instance, handle.address, connection_limit)
        try:
            target = f"/mallowbeam/kv-handle/{handle.id}".encode()
            headers = [(b"host", handle.address.encode()), (b"target-instance", handle.instance.encode())]
            answer = await link.round_trip(write_request(b"DELETE", target, headers))
            await link.read_body(answer)
        finally:
            # The call carries no request id, so this may have been a late answer to an earlier request while
            # the call's own answer is still outstanding: the connection is not reused.
            self._pool.drop(handle.instance, link)
