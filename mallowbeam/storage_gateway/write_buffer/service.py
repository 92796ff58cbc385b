"""The buffer at work: joins the core, the log and the gateway.  Decides nothing.

Its phases are OPENING (the folder is being read, or the process before this one still has it), OPEN, and AWAY
(handed over or closed).  Only in OPEN is anything taken in or sent.
"""

from __future__ import annotations

import asyncio
import random
import time
from collections import OrderedDict
from collections.abc import Callable, Coroutine
from contextlib import suppress
from dataclasses import asdict
from typing import Any

from loguru import logger

from mallowbeam.storage_gateway.server.log import RateLimitedWarning
from mallowbeam.storage_gateway.write_buffer import core as decisions
from mallowbeam.storage_gateway.write_buffer.core import Core, Replay
from mallowbeam.storage_gateway.write_buffer.disk import Disk, Locked, RealDisk
from mallowbeam.storage_gateway.write_buffer.flush import Flush
from mallowbeam.storage_gateway.write_buffer.log import Apart, Found, Log
from mallowbeam.storage_gateway.write_buffer.records import Write
from mallowbeam.storage_gateway.write_buffer.reopen import boot_clock, boot_id, no_collection, replay
from mallowbeam.storage_gateway.write_buffer.store import Store
from mallowbeam.storage_gateway.write_buffer.terms import Phase, Sender, Settings

LOCK_AGAIN = 0.02  # seconds between looks at a folder that the process before this one still has
LEAVE = 1.0  # seconds that writes on their way have to end when the folder is handed over
LOOK = 0.02  # seconds between looks while there is something to send and no room for it


class Buffer(Flush):
    """One folder's buffer."""

    def __init__(
        self,
        settings: Settings,
        sender: Sender,
        handed: bool = False,
        disk: Disk | None = None,
        clock: Callable[[], float] = boot_clock,
        seed: int | None = None,
    ) -> None:
        self.settings, self.sender, self.handed, self.clock = settings, sender, handed, clock
        self.disk = disk
        self.core = Core(settings.limits, random.Random(seed))
        self.phase = Phase.OPENING
        self.store: Store
        self.boot = boot_id()
        self.opened = asyncio.Event()
        self._stir = asyncio.Event()
        self._through: dict[int, list[asyncio.Future[None]]] = {}
        self._clear: list[tuple[str, bytes, asyncio.Future[None]]] = []
        self._cache: OrderedDict[int, tuple[Write, bytes]] = OrderedDict()
        self._cached = 0
        self._settling: list[int] = []
        self._timer: asyncio.TimerHandle | None = None
        self._tasks: set[asyncio.Task[None]] = set()
        self._main: asyncio.Task[None] | None = None
        self._sending = 0  # calls at the gateway
        self._held = RateLimitedWarning("a buffered write is held for an operator")
        self._trouble = RateLimitedWarning("the buffer's disk is in trouble")

    # --- coming and going -----------------------------------------------------------------------

    def start(self) -> None:
        """Open the folder, then flush what it holds."""
        self._main = asyncio.create_task(self._run())

    async def _run(self) -> None:
        try:
            await self._open()
            while True:
                self._stir.clear()
                now = self.clock()
                if self.sender.may_send():
                    self.core.plan(now, max(0, self.sender.direct() - self.core.out))
                self._do()
                wait: float | None = self.core.wake() - self.clock()
                if wait == decisions.NEVER:
                    wait = None
                with suppress(TimeoutError):
                    async with asyncio.timeout(None if wait is None else max(LOOK, wait)):
                        await self._stir.wait()
        except asyncio.CancelledError:
            raise
        except Exception as error:
            # Guards against a word that nothing stands behind: with a fault in here nothing more is taken in.
            self.core.away = True
            logger.opt(exception=error).error("the buffer failed unforeseen; nothing more is taken in")

    async def _open(self) -> None:
        loop, began = asyncio.get_running_loop(), self.clock()
        log, found, state = await loop.run_in_executor(None, self._read)
        while log is None:
            await asyncio.sleep(LOCK_AGAIN)
            log, found, state = await loop.run_in_executor(None, self._read)
        for apart in await loop.run_in_executor(None, self._come_up, log, found, state):
            if apart.acknowledged:
                logger.error(
                    "buffer: {length} bytes of segment {segment} at {offset} are damaged and "
                    "held acknowledged records; set apart as {name}",
                    **asdict(apart),
                )
            else:
                logger.warning(
                    "buffer: {length} bytes of segment {segment} at {offset} are torn, and "
                    "nothing says they were acknowledged; set apart as {name}",
                    **asdict(apart),
                )
        if found.missing:
            logger.error(
                "buffer: segments {segments} are missing: what they held is lost", segments=found.missing
            )
        self.store = Store(log, found.last, self._broken, self.core.on_disk)
        self.phase = Phase.OPEN
        self.opened.set()
        logger.info(
            "buffer open: {writes} writes to flush, {held} held, {bytes} bytes read in " "{seconds:.2f} s",
            writes=len(self.core.entries),
            held=self.core.held,
            bytes=sum(found.segments.values()),
            seconds=self.clock() - began,
        )

    def _read(self) -> tuple[Log | None, Found, Replay]:
        """Own the folder and read it, in a thread; no log while another process has it."""
        disk = self.disk or RealDisk(self.settings.folder)
        log = Log(disk, self.settings.segment_bytes)
        try:
            found = log.open()
        except Locked:
            if isinstance(disk, RealDisk):
                disk.close()
            if not self.handed:
                raise
            return None, Found(), Replay()
        with no_collection():
            return log, found, replay(log, found, time.time(), self.clock())

    def _come_up(self, log: Log, found: Found, state: Replay) -> list[Apart]:
        """Make the folder and the core ready, in a thread: until the phase changes nobody else has them."""
        apart = log.settle(found)
        with no_collection():
            state.build(self.core, self.clock(), self.boot)
        self.core.on_disk(dict(log.sizes), log.number)
        return apart

    async def hand_over(self) -> None:
        """Another process takes the folder: end what is on its way, then let go."""
        await self.stop()

    async def stop(self) -> None:
        """Take nothing more in, end what is on its way as far as it ends soon, sync, and let the folder go.

        What is still out has its intent in the log: whoever opens the folder next settles it.
        """
        if self.phase is Phase.AWAY:
            return
        was, self.phase, self.core.away = self.phase, Phase.AWAY, True
        if self._main is not None:
            self._main.cancel()
            await asyncio.gather(self._main, return_exceptions=True)
        if was is Phase.OPENING:
            return
        until = self.clock() + LEAVE
        while self._sending and self.clock() < until:
            await asyncio.sleep(0.01)
        self._do()
        self._say_settled()
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        for futures in self._through.values():
            for future in futures:
                future.cancel()
        for *_, future in self._clear:
            future.cancel()
        await self.store.close()
        logger.info("buffer closed: {writes} writes left for the next start", writes=len(self.core.entries))

    def stir(self) -> None:
        """Something was changed from outside: look again."""
        self._stir.set()

    def gauges(self) -> dict[str, int]:
        """Figures for the operators' door."""
        if self.phase is Phase.OPENING:  # a thread has the core
            return {"buffer_opening": 1}
        core, counts = self.core, self.core.counts
        return {
            "buffer_opening": 0,
            "buffer_records": len(core.entries),
            "buffer_bytes": core.bytes,
            "buffer_held": core.held,
            "buffer_age_seconds": int(core.age(self.clock())),
            "buffer_taken": counts.taken,
            "buffer_stored": counts.stored,
            "buffer_absorbed": counts.absorbed,
            "buffer_repeats": counts.repeats,
            "buffer_read_back": counts.read_back,
            "buffer_refused": counts.refused,
            "buffer_moved": counts.moved,
            "buffer_syncs": self.store.log.synced,
        }

    # --- its tasks -------------------------------------------------------------------------------

    def _spawn(self, work: Coroutine[Any, Any, None]) -> None:
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._ended)

    def _ended(self, task: asyncio.Task[None]) -> None:
        self._tasks.discard(task)
        if not task.cancelled() and (error := task.exception()) is not None:
            self.core.away = True
            logger.opt(exception=error).error("the buffer failed unforeseen; nothing more is taken in")

    def _broken(self, why: str | None, lost: list[int]) -> None:
        """The disk takes nothing, or does again."""
        if why is not None:
            self._trouble(why)
        elif self.core.broken is not None:
            logger.info("buffer: the disk takes writes again")
            self.core.tainted.clear()
        self.core.broken = why
