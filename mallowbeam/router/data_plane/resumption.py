"""Continues a silent stream at another instance, while the silent one may still go on.

The silent instance's connection is closed only once another instance has sent the next event: a resumption
that is refused costs nothing, and whichever instance sends first is forwarded.
"""

from __future__ import annotations

import asyncio

from mallowbeam.http.client import ConnectionBrokenError
from mallowbeam.router.data_plane.exchange import Exchange, StreamSource, read_chunk


class Resumption:
    """One try to continue a silent stream at another instance."""

    def __init__(self, exchange: Exchange) -> None:
        self._exchange = exchange

    async def next_chunk(self) -> bytes | None:
        """Return the next chunk of whichever instance sends first; empty at the end of the stream.

        Returns None if no other instance continues the stream; it can then still go on at the silent one.

        Raises:
            ConnectionBrokenError: the silent instance's stream broke, and no other instance continues it.
        """
        silent = self._exchange.set_aside()
        reading = asyncio.create_task(read_chunk(silent.attempt, silent.progress))
        continuing = asyncio.create_task(self._exchange.continue_elsewhere())
        moved = False
        try:
            await asyncio.wait((reading, continuing), return_when=asyncio.FIRST_COMPLETED)
            if reading.done() and not _is_broken(reading):
                return reading.result()
            moved = await continuing
            if moved:
                return self._exchange.take_first_chunk()
            return reading.result() if reading.done() else None
        finally:
            try:
                await _cancel(reading, continuing)
            finally:  # also where this is cancelled again meanwhile
                self._release_other(silent, moved)

    def _release_other(self, silent: StreamSource, moved: bool) -> None:
        """Release the source that is not forwarded any more."""
        if moved:
            self._exchange.discard(silent)
        else:
            self._exchange.restore(silent)


def _is_broken(reading: asyncio.Task[bytes]) -> bool:
    return isinstance(reading.exception(), ConnectionBrokenError)


async def _cancel(*tasks: asyncio.Task[bytes] | asyncio.Task[bool]) -> None:
    """Cancel tasks and wait for their end, whatever their result was."""
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
