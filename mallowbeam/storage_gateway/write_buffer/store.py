"""Runs the log off the event loop: group commit in one thread, reads in another.

Writers that wait together share one sync: while a batch is being synced the next one gathers.  A batch with
both new writes and words that end older ones is split where the disk is full, since the latter make room.
"""

from __future__ import annotations

import asyncio
from collections import Counter, deque
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass, field

from loguru import logger

from mallowbeam.errors import MallowbeamError
from mallowbeam.storage_gateway.write_buffer.errors import DiskFull, Failed
from mallowbeam.storage_gateway.write_buffer.log import Item, Log, mark
from mallowbeam.storage_gateway.write_buffer.records import Done, Kind, Record, pack

MOST_BATCH = 4 << 20  # bytes synced at once
QUIET = 0.05  # seconds without a batch after which a mark says how far the log is durable
AGAIN = 0.5  # seconds between tries to write to a disk that takes nothing
GIVES_WORDS = (Kind.WRITE, Kind.PIECE, Kind.BARRIER)  # what somebody waits for; all else ends or moves writes


class NotTaken(MallowbeamError):
    """The log does not have it, and never will: nothing was acknowledged and nothing can come back."""

    error_name = "NotTaken"
    remedy = "look at the disk and at the bounds of the buffer; clients repeat by themselves"


class Doubtful(MallowbeamError):
    """The log could not be brought to say whether it has it: it may come back after a restart."""

    error_name = "Doubtful"
    remedy = "look at the disk, then run mallowbeam buffer show on the folder"


@dataclass(slots=True)
class Waiting:
    """A record to be appended, and who waits for that."""

    item: Item
    done: asyncio.Future[None] = field(default_factory=lambda: asyncio.get_running_loop().create_future())


class Store:
    """The log of an open folder, as the event loop sees it."""

    def __init__(
        self,
        log: Log,
        last: int,
        broken: Callable[[str | None, list[int]], None],
        sizes: Callable[[dict[int, int], int], None],
    ) -> None:
        self.log, self.lsn = log, last
        self._broken, self._sizes = broken, sizes  # told of trouble and its end; and of the segments
        self._writer = ThreadPoolExecutor(1, "buffer-log")
        self._reader = ThreadPoolExecutor(2, "buffer-read")
        self._queue: deque[Waiting] = deque()
        self._more = asyncio.Event()
        self._void: list[int] = []  # never acknowledged, but may stand on a distrusted file
        self._pins: Counter[int] = Counter()
        self._closing = False
        self._gone: list[int] = []  # segments to be removed once nobody reads them
        self._over = False
        self._task = asyncio.create_task(self._run())
        self._task.add_done_callback(self._ended)

    def next_lsn(self) -> int:
        """The number of the next record."""
        self.lsn += 1
        return self.lsn

    def append(self, kind: Kind, lsn: int, parts: list[bytes]) -> Waiting:
        """Queue a record; its future is done once that is synced, or has `NotTaken` or `Doubtful`.

        The queue is bounded by who offers: the core counts what is on its way to the disk.
        """
        waiting = Waiting(Item(kind, lsn, parts))
        if self._over:
            fail(waiting, NotTaken("the log is closed"))
            return waiting
        self._queue.append(waiting)
        self._more.set()
        return waiting

    def _ended(self, task: asyncio.Task[None]) -> None:
        """Nothing is committed any more: whoever waits is told, and nobody waits for ever."""
        self._over = True
        if not task.cancelled() and (error := task.exception()) is not None:
            logger.opt(exception=error).error("the buffer's log failed unforeseen")
            self._broken("a fault in the log", [])
        self._refuse()

    # --- committing -----------------------------------------------------------------------------

    async def _run(self) -> None:
        unmarked = False
        while True:
            try:
                async with asyncio.timeout(AGAIN if self._void else QUIET if unmarked else None):
                    await self._more.wait()
            except TimeoutError:
                if self._void:
                    await self._say_void()
                else:
                    unmarked = False
                    await self._commit([Waiting(mark(self.next_lsn()))])
                continue
            if self._closing and not self._queue:
                return
            if self._void:  # nothing new before it is clear what the old files hold
                await self._say_void()
                if self._void:
                    self._refuse()
                    continue
            batch, size = [], 0
            while self._queue and size < MOST_BATCH:
                batch.append(self._queue.popleft())
                size += batch[-1].item.size
            if not self._queue and not self._closing:
                self._more.clear()
            await self._commit(batch)
            unmarked = True

    def _refuse(self) -> None:
        """Turn away all that waits: the disk takes nothing."""
        if not self._closing:
            self._more.clear()
        while self._queue:
            fail(self._queue.popleft(), NotTaken("the disk takes nothing"))

    async def _in_thread(self, items: list[Item], last: bool) -> None:
        await asyncio.get_running_loop().run_in_executor(self._writer, self.log.commit, items, last)

    async def _commit(self, batch: list[Waiting], last: bool = False) -> None:
        """One batch: all of it durable, or none."""
        try:
            await self._in_thread([waiting.item for waiting in batch], last)
        except DiskFull as error:
            ends = [w for w in batch if w.item.kind not in GIVES_WORDS]
            for waiting in batch:
                if waiting.item.kind in GIVES_WORDS:
                    fail(waiting, NotTaken(str(error)))
            if ends and not last:
                return await self._commit(ends, True)
            for waiting in ends:
                fail(waiting, NotTaken(str(error)))
        except Failed as error:
            await self._distrust(batch, str(error))
        else:
            for waiting in batch:
                if not waiting.done.done():
                    waiting.done.set_result(None)
        self._sizes(dict(self.log.sizes), self.log.number)
        return None

    async def _distrust(self, batch: list[Waiting], why: str) -> None:
        """A file can't be trusted: say durably, elsewhere, that what went there last was never acknowledged.

        Guards against a write that failed here, went another way and then comes back with an older body.
        """
        lost = [w.item.lsn for w in batch if w.item.kind in (Kind.WRITE, Kind.BARRIER)]
        self._void += lost
        if lost:
            await self._say_void()
        if lost and self._void:
            self._broken(why, lost)
        for waiting in batch:
            fail(waiting, Doubtful(why) if self._void and waiting.item.lsn in lost else NotTaken(why))

    async def _say_void(self) -> None:
        try:
            await self._in_thread([Item(Kind.VOID, self.next_lsn(), pack(Kind.VOID, Done(self._void)))], True)
        except (DiskFull, Failed):
            return
        self._void = []
        self._broken(None, [])

    # --- reading and taking away ----------------------------------------------------------------

    async def read(self, where: tuple[int, int]) -> Record:
        """A record again; raises `Failed`."""
        segment, offset = where
        self._pins[segment] += 1
        try:
            return await asyncio.get_running_loop().run_in_executor(
                self._reader, self.log.read, segment, offset
            )
        finally:
            self._pins[segment] -= 1

    async def remove(self, segments: list[int]) -> list[int]:
        """Take segments away, but for those being read: these go with the next; those that went."""
        self._gone += segments
        free = [segment for segment in self._gone if not self._pins[segment]]
        try:
            await asyncio.get_running_loop().run_in_executor(self._writer, self.log.remove, free)
        except OSError:
            return []
        self._gone = [segment for segment in self._gone if segment not in free]
        return free

    async def close(self) -> None:
        """Sync what waits, then let the folder go."""
        self._closing = True
        self._more.set()
        await self._task
        if not self._void:
            await self._commit([Waiting(mark(self.next_lsn()))])
        await asyncio.get_running_loop().run_in_executor(self._writer, self.log.close)
        self._writer.shutdown(wait=False)
        self._reader.shutdown(wait=False)


def fail(waiting: Waiting, error: Exception) -> None:
    """Tell who waits; nobody need listen."""
    if not waiting.done.done():
        waiting.done.set_exception(error)
        waiting.done.exception()  # asyncio: it has been seen
