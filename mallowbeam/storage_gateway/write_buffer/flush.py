"""Doing what the core wants: intents, sends, reads back, what is settled, held, moved and taken away."""

from __future__ import annotations

import asyncio
from collections.abc import Iterator
from contextlib import contextmanager, suppress

import msgspec
from loguru import logger

from mallowbeam.storage_gateway.server.log import RateLimitedWarning
from mallowbeam.storage_gateway.write_buffer import core as decisions
from mallowbeam.storage_gateway.write_buffer.errors import Failed
from mallowbeam.storage_gateway.write_buffer.intake import Intake
from mallowbeam.storage_gateway.write_buffer.records import Barrier, Done, Held, Intent, Kind, Moved, pack
from mallowbeam.storage_gateway.write_buffer.store import Doubtful, NotTaken
from mallowbeam.storage_gateway.write_buffer.terms import Sender, Upload

LATER = 0.05  # seconds for which word of what is settled waits for company
MOST_SETTLED = 4096  # writes that one record settles


class Flush(Intake):
    """The core's actions.  A part of `Buffer`, which makes what is named here."""

    sender: Sender
    boot: bytes
    _settling: list[int]  # settled, and the log does not say so yet
    _timer: asyncio.TimerHandle | None
    _sending: int  # calls at the gateway
    _held: RateLimitedWarning
    _trouble: RateLimitedWarning

    # --- doing what the core wants --------------------------------------------------------------

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
            body = (
                whole
                if not write.pieces
                else b"".join([piece async for piece in self.body(write, whole, 0, write.size)])
            )
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
        with suppress(NotTaken, Doubtful):  # after a restart it is found out anew
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
            waiting = self.store.append(
                Kind.BARRIER, self.store.next_lsn(), pack(Kind.BARRIER, Barrier(pending[0], lsn))
            )
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
            intent = (
                None
                if entry.intent is None
                else (
                    self.boot,
                    entry.intent if entry.doubt is None else max(0.0, entry.doubt),
                    self.settings.limits.shards,
                )
            )
            moved = Moved(lsn, write, intent, entry.reason or None)
            waiting = self.store.append(Kind.MOVED, self.store.next_lsn(), pack(Kind.MOVED, moved, body))
            await waiting.done
            self._forget(lsn)
            self.core.moved(
                lsn, (waiting.item.segment, waiting.item.offset), [segment for segment, _, _ in write.pieces]
            )
        finally:
            self.drop(upload)

    async def _remove(self, segments: list[int]) -> None:
        gone = await self.store.remove(segments)
        self.core.removed(gone)
        self._stir.set()
