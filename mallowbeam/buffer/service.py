"""The buffer at work: joins the core, the log and the gateway.  Decides nothing.

Its phases are OPENING (the folder is being read, or the process before this one still has it), OPEN, and AWAY
(handed over or closed).  Only in OPEN is anything taken in or sent.
"""

from __future__ import annotations

import asyncio
import gc
import os
import random
import sys
import time
from collections import OrderedDict
from collections.abc import AsyncIterator, Callable, Coroutine, Iterator
from contextlib import contextmanager, suppress
from dataclasses import asdict, dataclass, field
from enum import Enum
from typing import Any, NamedTuple, Protocol

import msgspec
from loguru import logger

from mallowbeam.buffer import core as decisions
from mallowbeam.buffer.core import Core, Entry, Known, Limits, Offer, Outcome, Replay
from mallowbeam.buffer.disk import Disk, Locked, RealDisk
from mallowbeam.buffer.errors import Failed
from mallowbeam.buffer.log import Apart, Found, Log, folder_id
from mallowbeam.buffer.records import (
    RECORD,
    Barrier,
    Done,
    Held,
    Intent,
    Kind,
    Moved,
    Newer,
    Record,
    Write,
    pack,
    unpack,
)
from mallowbeam.buffer.store import Doubtful, NotTaken, Store
from mallowbeam.net.log import Sparse

PIECE = 256 * 1024          # bytes of a body that stand in one record: larger ones come in pieces
LATER = 0.05                # seconds for which word of what is settled waits for company
MOST_SETTLED = 4096         # writes that one record settles
LOCK_AGAIN = 0.02           # seconds between looks at a folder that the process before this one still has
LEAVE = 1.0                 # seconds that writes on their way have to end when the folder is handed over
LOOK = 0.02                 # seconds between looks while there is something to send and no room for it


class Phase(Enum):
    """What the buffer is at."""

    OPENING = "opening"
    OPEN = "open"
    AWAY = "away"


class Sent(NamedTuple):
    """How an attempt at a node ended."""

    outcome: Outcome
    retry_after: float = 0.0
    reason: str = ""


class Looked(NamedTuple):
    """What a node said of the version it has: its ETag, None for no object."""

    answered: bool
    version: str | None = None


class Sender(Protocol):
    """The way to the nodes: through the gateway's decisions, as any other call."""

    async def send(self, write: Write, body: bytes, expires: float, seen: str | None) -> Sent:
        """One attempt, over within `expires` seconds; `seen` as `core.Send` has it."""

    async def look(self, write: Write, expires: float) -> Looked:
        """Which version the node has."""

    def direct(self) -> int:
        """How many calls of clients the gateway holds now."""

    def may_send(self) -> bool:
        """Whether the gateway is in a phase to begin new work."""


@dataclass(slots=True, frozen=True)
class Settings:
    """What the operators' file says, decoded."""

    folder: str
    buckets: frozenset[str]
    limits: Limits
    segment_bytes: int = 16 << 20
    cache_bytes: int = 16 << 20


def boot_clock() -> float:
    """Seconds of a clock that steps with nobody's hand and runs through one boot of the machine."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


def boot_id() -> bytes:
    """What tells this boot from others; without it no two lives are of one boot."""
    try:
        with open("/proc/sys/kernel/random/boot_id", "rb") as file:
            return file.read(64).strip()
    except OSError:
        return os.urandom(16)


def probe(settings: Settings, wait: bool) -> str | None:
    """Why the folder can't be used, in a line; None where it can.  `wait`: who has it will hand it over."""
    try:
        disk = RealDisk(settings.folder)
    except OSError as error:
        return f"buffer.folder: {settings.folder}: {error.strerror}"
    try:
        if not os.access(settings.folder, os.W_OK | os.X_OK):
            return f"buffer.folder: {settings.folder}: it can't be written to"
        folder_id(disk)
        if not wait:
            disk.lock()
    except (Newer, Locked) as error:
        return f"buffer.folder: {settings.folder}: {error}"
    except OSError as error:
        return f"buffer.folder: {settings.folder}: {error.strerror}"
    finally:
        disk.close()
    return None


@contextmanager
def no_collection() -> Iterator[None]:
    """Look for no cycles while very many objects come into being that are in none: a third of the time."""
    was = gc.isenabled()
    gc.disable()
    try:
        yield
    finally:
        if was:
            gc.enable()


def replay(log: Log, found: Found, wall: float, now: float) -> Replay:
    """Read the log through and put together what stood at the end of the life before."""
    state = Replay()
    for record in log.records(found):
        if record.kind in (Kind.PIECE, Kind.MARK):
            continue
        try:
            words, body = unpack(record.kind, record.payload)
        except ValueError as error:
            raise Newer(f"segment {record.segment} at {record.offset}: {error}") from None
        match words:
            case Write():
                state.write(known(record, record.lsn, words, wall, now))
            case Moved(lsn, write, intent, held):
                copy = known(record, lsn, write, wall, now)
                copy.intent, copy.held = intent, held
                state.write(copy)
            case Barrier(bucket, lsn):
                state.barrier(lsn or record.lsn, bucket, record.segment)
            case Intent(lsns, boot, at, shards):
                state.intent(lsns, (boot, at, shards))
            case Done(lsns):
                state.settled(lsns)
            case Held(lsn, reason):
                state.held(lsn, reason)
    return state


def known(record: Record, lsn: int, write: Write, wall: float, now: float) -> Known:
    """A write as its record tells of it; its age by the wall clock, and none where that stepped back."""
    cost = RECORD.size + len(record.payload) + sum(RECORD.size + size for _, _, size in write.pieces)
    entry = Entry(lsn, sys.intern(write.bucket), write.target, write.method, write.place, write.etag,
                  write.size, cost, now - max(0.0, wall - write.at))
    return Known(entry, (record.segment, record.offset), [segment for segment, _, _ in write.pieces])


@dataclass(slots=True)
class Upload:
    """A large body on its way into the log."""

    pieces: list[tuple[int, int, int]] = field(default_factory=list)
    rest: bytearray = field(default_factory=bytearray)
    size: int = 0


class Buffer:
    """One folder's buffer."""

    def __init__(self, settings: Settings, sender: Sender, handed: bool = False, disk: Disk | None = None,
                 clock: Callable[[], float] = boot_clock, seed: int | None = None) -> None:
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
        self._sending = 0                      # calls at the gateway
        self._held = Sparse("a buffered write is held for an operator")
        self._trouble = Sparse("the buffer's disk is in trouble")

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
                logger.error("buffer: {length} bytes of segment {segment} at {offset} are damaged and "
                             "held acknowledged records; set apart as {name}", **asdict(apart))
            else:
                logger.warning("buffer: {length} bytes of segment {segment} at {offset} are torn, and "
                               "nothing says they were acknowledged; set apart as {name}", **asdict(apart))
        if found.missing:
            logger.error("buffer: segments {segments} are missing: what they held is lost",
                         segments=found.missing)
        self.store = Store(log, found.last, self._broken, self.core.on_disk)
        self.phase = Phase.OPEN
        self.opened.set()
        logger.info("buffer open: {writes} writes to flush, {held} held, {bytes} bytes read in "
                    "{seconds:.2f} s", writes=len(self.core.entries), held=self.core.held,
                    bytes=sum(found.segments.values()), seconds=self.clock() - began)

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
        if self.phase is Phase.OPENING:        # a thread has the core
            return {"buffer_opening": 1}
        core, counts = self.core, self.core.counts
        return {"buffer_opening": 0, "buffer_records": len(core.entries), "buffer_bytes": core.bytes,
                "buffer_held": core.held,
                "buffer_age_seconds": int(core.age(self.clock())), "buffer_taken": counts.taken,
                "buffer_stored": counts.stored, "buffer_absorbed": counts.absorbed,
                "buffer_repeats": counts.repeats, "buffer_read_back": counts.read_back,
                "buffer_refused": counts.refused, "buffer_moved": counts.moved,
                "buffer_syncs": self.store.log.synced}

    # --- taking in ------------------------------------------------------------------------------

    def offer(self, bucket: str, name: bytes, size: int) -> Offer:
        """What becomes of a write of so many bytes."""
        return self.core.offer(self.clock(), bucket, name, size + 1024)

    async def put(self, write: Write, body: bytes) -> Entry:
        """Take a write in; comes back once it is durable.  Raises `NotTaken` or `Doubtful`."""
        parts = pack(Kind.WRITE, write, body)
        lsn = self.store.next_lsn()
        cost = RECORD.size + sum(map(len, parts)) + sum(RECORD.size + size for *_, size in write.pieces)
        entry = Entry(lsn, write.bucket, write.target, write.method, write.place, write.etag, write.size,
                      cost, self.clock())
        self.core.accept(entry)
        waiting = self.store.append(Kind.WRITE, lsn, parts)
        # The log's word counts whether or not its client still waits: it is taken by a task of its own.
        if not write.pieces:
            self._remember(lsn, write, body)
        done: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self._spawn(self._taken(entry, write, waiting.done, waiting.item, done))
        await done
        return entry

    async def _taken(self, entry: Entry, write: Write, word: asyncio.Future[None], item: Any,
                     done: asyncio.Future[None]) -> None:
        try:
            await word
        except (NotTaken, Doubtful) as error:
            if isinstance(error, Doubtful):
                self.core.tainted.add(entry.key)
            self.core.lost(entry.lsn)
            self._forget(entry.lsn)
            if not done.done():
                done.set_exception(error)
        else:
            self.core.durable(self.clock(), entry.lsn, (item.segment, item.offset),
                              [segment for segment, _, _ in write.pieces])
            if not done.done():
                done.set_result(None)
        self._stir.set()

    async def add(self, upload: Upload, data: bytes | bytearray | memoryview) -> None:
        """Take in more of a large body, a piece at a time; raises `NotTaken` or `Doubtful`."""
        upload.rest += data
        upload.size += len(data)
        while len(upload.rest) >= PIECE:
            await self._piece(upload, PIECE)

    async def _piece(self, upload: Upload, size: int) -> None:
        data = bytes(upload.rest[:size])
        del upload.rest[:size]
        if not self.core.room(RECORD.size + size):
            raise NotTaken("the buffer is full")
        waiting = self.store.append(Kind.PIECE, self.store.next_lsn(), [data])
        await waiting.done
        self.core.pin(waiting.item.segment)
        upload.pieces.append((waiting.item.segment, waiting.item.offset, size))

    async def complete(self, upload: Upload, write: Write) -> None:
        """The body is whole and in the log; `put` makes a write of it."""
        if upload.rest:
            await self._piece(upload, len(upload.rest))
        write.pieces, write.size = list(upload.pieces), upload.size

    def drop(self, upload: Upload) -> None:
        """The body's pieces need not stay for its own sake: it is a write now, or nothing."""
        for segment, _, _ in upload.pieces:
            self.core.pin(segment, -1)
        upload.pieces = []

    async def barrier(self, bucket: str) -> int:
        """A point in the bucket's order, durable once this comes back; raises `NotTaken` or `Doubtful`."""
        lsn = self.store.next_lsn()
        self.core.barrier(lsn, bucket)
        waiting = self.store.append(Kind.BARRIER, lsn, pack(Kind.BARRIER, Barrier(bucket)))
        done: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self._spawn(self._barrier_taken(lsn, waiting.done, waiting.item, done))
        await done
        return lsn

    async def _barrier_taken(self, lsn: int, word: asyncio.Future[None], item: Any,
                             done: asyncio.Future[None]) -> None:
        try:
            await word
        except (NotTaken, Doubtful) as error:
            self.core.barrier_lost(lsn)
            if not done.done():
                done.set_exception(error)
        else:
            self.core.barrier_durable(lsn, item.segment)
            if not done.done():
                done.set_result(None)
        self._stir.set()

    async def through(self, lsn: int, seconds: float) -> bool:
        """Wait until a barrier has passed, or until it is clear that it will not in that time."""
        if self.core.before(lsn) is None:
            return True
        future: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self._through.setdefault(lsn, []).append(future)
        return await self._within(future, seconds)

    async def clear(self, bucket: str, name: bytes, seconds: float) -> bool:
        """Wait until nothing here stands before a direct write of that name."""
        if not self.core.ordered(bucket, name):
            return True
        future: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self._clear.append((bucket, name, future))
        return await self._within(future, seconds)

    @staticmethod
    async def _within(future: asyncio.Future[None], seconds: float) -> bool:
        try:
            async with asyncio.timeout(seconds):
                await future
        except TimeoutError:
            return False
        except asyncio.CancelledError:
            if not future.cancelled() or (task := asyncio.current_task()) is not None and task.cancelling():
                raise
            return False                       # the folder was handed over
        return True

    # --- reading --------------------------------------------------------------------------------

    def newest(self, bucket: str, name: bytes) -> Entry | None:
        """The last durable write of a name that is still here."""
        return self.core.newest_of(bucket, name)

    async def words(self, entry: Entry) -> tuple[Write, bytes]:
        """A write's words, and its body unless that stands in pieces; raises `Failed`."""
        held = self._cache.get(entry.lsn)
        if held is not None:
            return held
        record = await self.store.read(entry.where)
        words, body = unpack(record.kind, record.payload)
        write = words.write if isinstance(words, Moved) else words
        if not isinstance(write, Write):
            raise Failed("a record of another kind")
        return write, bytes(body)

    async def body(self, write: Write, whole: bytes, start: int, end: int) -> AsyncIterator[bytes]:
        """A body's bytes from `start` to `end`, in pieces; raises `Failed`."""
        if not write.pieces:
            yield whole[start:end]
            return
        at = 0
        for segment, offset, size in write.pieces:
            if at < end and at + size > start:
                record = await self.store.read((segment, offset))
                yield bytes(record.payload[max(0, start - at):end - at])
            at += size

    def _remember(self, lsn: int, write: Write, body: bytes) -> None:
        """Keep a write at hand, within the bound: most are sent before they need be read again."""
        self._cache[lsn] = write, body
        self._cached += len(body) + 1024
        while self._cached > self.settings.cache_bytes:
            _, (_, old) = self._cache.popitem(last=False)
            self._cached -= len(old) + 1024

    def _forget(self, lsn: int) -> None:
        if (held := self._cache.pop(lsn, None)) is not None:
            self._cached -= len(held[1]) + 1024

    # --- doing what the core wants --------------------------------------------------------------

    def _spawn(self, work: Coroutine[Any, Any, None]) -> None:
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._ended)

    def _ended(self, task: asyncio.Task[None]) -> None:
        self._tasks.discard(task)
        if not task.cancelled() and (error := task.exception()) is not None:
            self.core.away = True
            logger.opt(exception=error).error("the buffer failed unforeseen; nothing more is taken in")

    def _do(self) -> None:
        for action in self.core.take():
            match action:
                case decisions.Send():
                    self._spawn(self._send(action))
                case decisions.ReadBack():
                    self._spawn(self._read_back(action))
                case decisions.Intend(lsns):
                    self._spawn(self._intend(lsns))
                case decisions.Settle(lsns):
                    self._settle(lsns)
                case decisions.Hold(lsn, reason):
                    self._spawn(self._hold(lsn, reason))
                case decisions.Passed(lsn):
                    for future in self._through.pop(lsn, ()):
                        if not future.done():
                            future.set_result(None)
                case decisions.Move(lsns):
                    self._spawn(self._move(lsns))
                case decisions.Remove(segments):
                    self._spawn(self._remove(segments))
        if self._clear:
            waiting, self._clear = self._clear, []
            for bucket, name, future in waiting:
                if not self.core.ordered(bucket, name) and not future.done():
                    future.set_result(None)
                elif not future.done():
                    self._clear.append((bucket, name, future))

    async def _intend(self, lsns: list[int]) -> None:
        """The intent is durable before the first byte goes out."""
        self._say_settled()
        words = Intent(lsns, self.boot, self.clock(), self.settings.limits.shards)
        try:
            await self.store.append(Kind.INTENT, self.store.next_lsn(), pack(Kind.INTENT, words)).done
        except (NotTaken, Doubtful) as error:
            self._trouble(error)
            self.core.not_intended(self.clock(), lsns)
        else:
            self.core.intended(self.clock(), lsns)
        self._stir.set()

    @contextmanager
    def _at_gateway(self) -> Iterator[None]:
        self._sending += 1
        try:
            yield
        finally:
            self._sending -= 1

    async def _send(self, action: decisions.Send) -> None:
        entry = self.core.entries[action.lsn]
        try:
            write, whole = await self.words(entry)
            body = whole if not write.pieces else b"".join(
                [piece async for piece in self.body(write, whole, 0, write.size)])
        except (Failed, ValueError) as error:
            logger.error("buffer: write {lsn} can't be read again: {why}", lsn=action.lsn, why=str(error))
            self.core.hold(action.lsn, f"its bytes can't be read: {error}")
        else:
            with self._at_gateway():
                sent = await self.sender.send(write, body, action.expires, action.seen)
            self.core.sent(self.clock(), action.lsn, *sent)
        self._stir.set()

    async def _read_back(self, action: decisions.ReadBack) -> None:
        entry = self.core.entries[action.lsn]
        try:
            write, _ = await self.words(entry)
        except (Failed, ValueError) as error:
            self.core.hold(action.lsn, f"its bytes can't be read: {error}")
        else:
            with self._at_gateway():
                looked = await self.sender.look(write, action.expires)
            self.core.read_back(self.clock(), action.lsn, looked.version, looked.answered)
        self._stir.set()

    def _settle(self, lsns: list[int]) -> None:
        """Word of what is settled goes with the next batch, or a moment later."""
        for lsn in lsns:
            self._forget(lsn)
        self._settling += lsns
        if self._timer is None:
            self._timer = asyncio.get_running_loop().call_later(LATER, self._say_settled)

    def _say_settled(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        while self._settling:
            lsns, self._settling = self._settling[:MOST_SETTLED], self._settling[MOST_SETTLED:]
            waiting = self.store.append(Kind.DONE, self.store.next_lsn(), pack(Kind.DONE, Done(lsns)))
            self._spawn(self._settled(lsns, waiting.done))

    async def _settled(self, lsns: list[int], word: asyncio.Future[None]) -> None:
        try:
            await word
        except (NotTaken, Doubtful) as error:
            self._trouble(error)
            await asyncio.sleep(LATER)
            self.core.not_settled(lsns)
        else:
            self.core.settled(lsns)
        self._stir.set()

    async def _hold(self, lsn: int, reason: str) -> None:
        if reason:
            self._held(f"{lsn}: {reason}")
        with suppress(NotTaken, Doubtful):     # after a restart it is found out anew
            await self.store.append(Kind.HELD, self.store.next_lsn(), pack(Kind.HELD, Held(lsn, reason))).done

    async def _move(self, lsns: list[int]) -> None:
        """Copy writes and barriers to the log's end."""
        try:
            for lsn in lsns:
                await self._move_one(lsn)
        except (NotTaken, Doubtful, Failed, ValueError) as error:
            self._trouble(error)
            await asyncio.sleep(1.0)
        self.core.moving_over()
        self._stir.set()

    async def _move_one(self, lsn: int) -> None:
        if (pending := self.core.barriers.get(lsn)) is not None:
            waiting = self.store.append(Kind.BARRIER, self.store.next_lsn(),
                                        pack(Kind.BARRIER, Barrier(pending[0], lsn)))
            await waiting.done
            if lsn in self.core.barriers:
                self.core.barrier_moved(lsn, waiting.item.segment)
            return
        entry = self.core.entries.get(lsn)
        if entry is None:
            return
        write, body = await self.words(entry)
        upload = Upload()
        try:
            async for piece in self.body(write, b"", 0, write.size if write.pieces else 0):
                if piece:
                    await self.add(upload, piece)
            write = msgspec.structs.replace(write)
            if write.pieces:
                await self.complete(upload, write)
            if entry.state is decisions.State.OVER:
                return
            intent = None if entry.intent is None else (
                self.boot, entry.intent if entry.doubt is None else max(0.0, entry.doubt),
                self.settings.limits.shards)
            moved = Moved(lsn, write, intent, entry.reason or None)
            waiting = self.store.append(Kind.MOVED, self.store.next_lsn(), pack(Kind.MOVED, moved, body))
            await waiting.done
            self._forget(lsn)
            self.core.moved(lsn, (waiting.item.segment, waiting.item.offset),
                            [segment for segment, _, _ in write.pieces])
        finally:
            self.drop(upload)

    async def _remove(self, segments: list[int]) -> None:
        gone = await self.store.remove(segments)
        self.core.removed(gone)
        self._stir.set()

    def _broken(self, why: str | None, lost: list[int]) -> None:
        """The disk takes nothing, or does again."""
        if why is not None:
            self._trouble(why)
        elif self.core.broken is not None:
            logger.info("buffer: the disk takes writes again")
            self.core.tainted.clear()
        self.core.broken = why
