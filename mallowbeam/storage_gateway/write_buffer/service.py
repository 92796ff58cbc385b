"""Runs the buffer: connects the core, the log and the gateway.  Makes no decisions of its own."""

from __future__ import annotations

import asyncio
import random
import time
from collections.abc import Callable
from contextlib import suppress
from dataclasses import asdict

from loguru import logger

from mallowbeam.storage_gateway.write_buffer.core import Core
from mallowbeam.storage_gateway.write_buffer.disk import Disk, FolderLockedError, RealDisk
from mallowbeam.storage_gateway.write_buffer.flush import Flush
from mallowbeam.storage_gateway.write_buffer.intake import Intake
from mallowbeam.storage_gateway.write_buffer.interface import NodeSender, Phase, Settings
from mallowbeam.storage_gateway.write_buffer.limits import NEVER
from mallowbeam.storage_gateway.write_buffer.log import Log, QuarantinedRange, ScanResult
from mallowbeam.storage_gateway.write_buffer.reader import WriteReader
from mallowbeam.storage_gateway.write_buffer.reopen import boot_clock, boot_id, no_garbage_collection, replay
from mallowbeam.storage_gateway.write_buffer.replay import Replay
from mallowbeam.storage_gateway.write_buffer.runtime import Runtime
from mallowbeam.storage_gateway.write_buffer.store import Store

LOCK_RETRY_S = 0.02  # between attempts to lock a folder that the previous process still has locked
DRAIN_S = 1.0  # time for attempts in flight to end when the folder is handed over
DRAIN_POLL_S = 0.01
MIN_PLAN_INTERVAL_S = 0.02  # while writes wait to be sent and the windows are full


class Buffer:
    """One folder's buffer.

    `intake` accepts writes and barriers, `reader` reads buffered writes, `waiters` are clients that wait for
    the flush.  `handed_over`: another process has the folder locked and will hand it over.
    """

    def __init__(
        self,
        settings: Settings,
        sender: NodeSender,
        *,
        handed_over: bool = False,
        clock: Callable[[], float] = boot_clock,
    ) -> None:
        self.settings = settings
        self.handed_over = handed_over
        self.clock = clock
        self.disk: Disk | None = None  # None: the folder in the settings
        self.phase = Phase.OPENING
        self.opened = asyncio.Event()
        self.store: Store  # set once the phase is OPEN
        self.core = Core(settings.limits, random.Random())
        self._runtime = Runtime(self.core, clock, boot_id())
        self.reader = WriteReader(self.core, settings.cache_bytes)
        self.intake = Intake(self._runtime, self.reader)
        self.flush = Flush(self._runtime, self.reader, self.intake, sender)
        self.waiters = self.flush.waiters
        self._main: asyncio.Task[None] | None = None

    # --- opening --------------------------------------------------------------------------------

    def start(self) -> None:
        """Open the folder, then flush its writes, in a background task."""
        self._main = asyncio.create_task(self._run())

    async def _run(self) -> None:
        try:
            await self._open()
            while True:
                await self._step()
        except asyncio.CancelledError:
            raise
        except Exception as error:
            # No more writes are accepted, so that none is acknowledged without a log.
            self.core.unavailable = True
            logger.opt(exception=error).error("buffer: unexpected error; no more writes are accepted")

    async def _step(self) -> None:
        """Send the writes that may be sent now, then wait for the next wake-up."""
        wakeup = self._runtime.wakeup
        wakeup.clear()
        now = self.clock()
        sender = self.flush.sender
        if sender.may_send():
            self.core.plan(now, max(0, sender.direct_calls() - self.core.in_flight))
        self.flush.execute()
        wait = self.core.next_wakeup() - self.clock()
        timeout = None if wait == NEVER else max(MIN_PLAN_INTERVAL_S, wait)
        with suppress(TimeoutError):
            async with asyncio.timeout(timeout):
                await wakeup.wait()

    async def _open(self) -> None:
        loop = asyncio.get_running_loop()
        began = self.clock()
        log, result, state = await loop.run_in_executor(None, self._read)
        while log is None:
            await asyncio.sleep(LOCK_RETRY_S)
            log, result, state = await loop.run_in_executor(None, self._read)
        for quarantined in await loop.run_in_executor(None, self._recover, log, result, state):
            _report_quarantined(quarantined)
        if result.missing:
            logger.error(
                "buffer: segments {segments} are missing; the records in them are lost",
                segments=result.missing,
            )
        self.store = Store(log, result.last_lsn, self._disk_changed, self.core.update_segments)
        self.reader.store = self.intake.store = self.flush.store = self.store
        self.phase = Phase.OPEN
        self.opened.set()
        logger.info(
            "buffer open: {writes} writes to flush, {held} held, {bytes} bytes read in {seconds:.2f} s",
            writes=len(self.core.entries),
            held=self.core.suspended,
            bytes=sum(result.segments.values()),
            seconds=self.clock() - began,
        )

    def _read(self) -> tuple[Log | None, ScanResult, Replay]:
        """Lock the folder and read it, in a thread; returns no log while another process has it locked."""
        disk = self.disk or RealDisk(self.settings.folder)
        log = Log(disk, self.settings.segment_bytes)
        try:
            result = log.open()
        except FolderLockedError:
            if isinstance(disk, RealDisk):
                disk.close()
            if not self.handed_over:
                raise
            return None, ScanResult(), Replay()
        with no_garbage_collection():
            return log, result, replay(log, result, time.time(), self.clock())

    def _recover(self, log: Log, result: ScanResult, state: Replay) -> list[QuarantinedRange]:
        """Prepare the folder and the core, in a thread: until the phase changes nothing else uses them."""
        quarantined = log.recover(result)
        with no_garbage_collection():
            state.build(self.core, self.clock(), self._runtime.boot)
        self.core.update_segments(dict(log.sizes), log.number)
        return quarantined

    # --- closing --------------------------------------------------------------------------------

    async def hand_over(self) -> None:
        """Hand the folder over to another process: drain, then unlock it."""
        await self.stop()

    async def stop(self) -> None:
        """Stop accepting writes, drain for `DRAIN_S` at most, sync, unlock the folder, and notify clients.

        Attempts still in flight have their intent in the log: the next process resolves them.
        """
        if self.phase is Phase.CLOSED:
            return
        was_opening = self.phase is Phase.OPENING
        self.phase = Phase.CLOSED
        self.core.unavailable = True
        if self._main is not None:
            self._main.cancel()
            await asyncio.gather(self._main, return_exceptions=True)
        if was_opening:
            return
        await self._drain()
        self.waiters.cancel()
        await self.store.close()
        await self._runtime.commits_ended()
        logger.info("buffer closed: {writes} writes left for the next start", writes=len(self.core.entries))

    async def _drain(self) -> None:
        deadline = self.clock() + DRAIN_S
        while self.flush.calls_in_flight and self.clock() < deadline:
            await asyncio.sleep(DRAIN_POLL_S)
        self.flush.execute()
        self.flush.record_done()
        await self._runtime.cancel_tasks()

    # --- for operators --------------------------------------------------------------------------

    def wake(self) -> None:
        """Plan again, after a change from outside."""
        self._runtime.wakeup.set()

    def gauges(self) -> dict[str, int]:
        """The metrics; each key is a metric's name without its prefix `app_`."""
        if self.phase is Phase.OPENING:  # a thread is using the core
            return {"buffer_opening": 1}
        core = self.core
        counts = core.counts
        return {
            "buffer_opening": 0,
            "buffer_records": len(core.entries),
            "buffer_bytes": core.bytes,
            "buffer_held": core.suspended,
            "buffer_age_seconds": int(core.oldest_age(self.clock())),
            "buffer_taken": counts.accepted,
            "buffer_stored": counts.stored,
            "buffer_absorbed": counts.absorbed,
            "buffer_repeats": counts.retries,
            "buffer_read_back": counts.read_back,
            "buffer_refused": counts.rejected,
            "buffer_moved": counts.relocated,
            "buffer_syncs": self.store.log.syncs,
        }

    def _disk_changed(self, failure: str | None, lost: list[int]) -> None:
        """Note that the disk fails, with the records `lost` uncertain, or that it works again."""
        if failure is not None:
            self.flush.disk_warning(failure)
        elif self.core.failure is not None:
            logger.info("buffer: the disk accepts writes again")
            self.core.untrusted_keys.clear()
        self.core.failure = failure


def _report_quarantined(quarantined: QuarantinedRange) -> None:
    if quarantined.acknowledged:
        logger.error(
            "buffer: {length} bytes of segment {segment} at {offset} are damaged and "
            "held acknowledged records; quarantined as {name}",
            **asdict(quarantined),
        )
    else:
        logger.warning(
            "buffer: {length} bytes of segment {segment} at {offset} are torn, with "
            "no sign that they were acknowledged; quarantined as {name}",
            **asdict(quarantined),
        )
