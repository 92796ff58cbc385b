"""One client's connection: its requests in, their answers out, and how long either may take.

A front is called with each whole request and returns the one answer; a client that closes its connection
cancels that call.  While a request is answered the next ones are read, up to a bound.
"""

from __future__ import annotations

import asyncio
import socket
import time
from typing import Protocol

from loguru import logger

from mallowbeam.net.front import Front
from mallowbeam.net.http import BadMessage, Channel, Framer, Message
from mallowbeam.net.stream import Stream

PIPELINED = 2               # whole requests that may wait behind the one being answered
STALLED = 2.5               # seconds in which a request must come in, on a new connection from its start on
SLOWEST = 48 * 1024         # bytes of a body that are worth a second more
UNREAD = 10.0               # seconds without a byte after which an answer has stopped going out
IDLE = 10.0                 # seconds that a connection may lie idle after an answer
LINGER = 1.0                # seconds given to a client to read the last answer before the close
LINGER_BYTES = 256 * 1024   # and what is read of it meanwhile, at most, where it breaks HTTP or a bound
FRESH = 1.0                 # seconds in which a client that has just come begins, where room is short
CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"


class Owner(Protocol):
    """What a connection belongs to."""

    front: Front
    closing: bool                              # every answer closes its connection
    connections: set[Connection]               # those that are open; one takes itself out at its end


class Connection:
    """One client's connection: a task that reads, and while a request is held one that answers."""

    def __init__(self, server: Owner, sock: socket.socket, over: bool = False) -> None:
        self.server, front = server, server.front
        self.over = over                       # no room for it: its request is refused at once
        self.channel = Channel(sock, Framer(answers=False, max_body=front.max_body, budget=front.budget))
        self.part: Message | None = None       # the request that is coming in
        self.since = time.monotonic()          # when that began, or the last answer went out
        self.busy: asyncio.Task | None = None
        self.request: Message | None = None    # the one that is being answered
        self.taking: Message | None = None     # the same, while its body passes through
        self.blocked = False                   # nothing is read: the body's taker is slow
        self.writing = self.closing = self.answered = False
        self.leaving = False                   # being closed to make room
        self.room = asyncio.Event()
        self.task = asyncio.create_task(self._run())

    @property
    def idle(self) -> bool:
        """Whether nothing is coming in, held or going out."""
        return self.busy is None and self.channel.framer.empty

    @property
    def pending(self) -> int:
        """Requests here that have come in whole and are not over yet."""
        return len(self.channel.framer.ready) + (self.request is not None and self.request.whole)

    @property
    def spare(self) -> bool:
        """Whether it may be closed to make room.

        Guards requests on their way in: a client that has just come is about to send one, and one that lies
        unread in the socket is taken and would be lost with it.
        """
        if self.closing:                       # it has had its last answer
            return True
        return (self.idle and (self.answered or time.monotonic() - self.since > FRESH)
                and not self.channel.stale())

    async def _run(self) -> None:
        framer = self.channel.framer
        try:
            while await self.channel.receive() and not self.closing:
                if framer.part is not self.part:
                    self.part = framer.part
                    if self.answered:          # the first request has its time from the connection's start
                        self.since = time.monotonic()
                self._pump()
                if framer.fault is not None:
                    raise framer.fault
                if self.busy is None and framer.wants_continue():
                    await self.channel.send(CONTINUE)
                await self._pass_on()
                while len(framer.ready) > PIPELINED:
                    self.room.clear()
                    await self.room.wait()
            if self.closing and self.taking is not None:
                await self._read_out(self.taking.length or self.server.front.max_body)
        except BadMessage as error:
            if self.taking is not None:        # what is passed on of it can't be finished
                self.taking.stream.break_off()
            await self._last_word(error.status, str(error))
        except (OSError, asyncio.CancelledError):
            pass
        except Exception as error:
            logger.opt(exception=error).error("a connection failed unforeseen")
        finally:
            if self.busy is not None:
                self.busy.cancel()
                await asyncio.gather(self.busy, return_exceptions=True)
            if self.taking is not None:
                self.taking.stream.close()
            framer.release()
            self.channel.close()
            self.server.connections.discard(self)

    def _pump(self) -> None:
        """Begin to answer the next request that is whole, or too large to be held, unless one is answered."""
        framer = self.channel.framer
        if self.busy is not None or self.closing:
            return
        if framer.ready:
            request = framer.ready.popleft()
        elif framer.holds_more_than(self.server.front.whole):
            request = self.taking = framer.part
            request.stream = Stream(wanted=self._wanted)
            self.channel.widen()
        else:
            return
        self.busy = asyncio.create_task(self._answer(request))

    def _wanted(self) -> None:
        """The first piece of a large body is asked for: a client that waits for a word gets it."""
        if self.channel.framer.wants_continue():
            try:                               # a few bytes, and nothing else is being written
                self.channel.sock.send(CONTINUE)
            except OSError:
                pass

    async def _pass_on(self) -> None:
        """Hand on what came of a large body; while its taker is slow nothing is read, and no time counts."""
        request = self.taking
        if request is None:
            return
        if piece := request.take():
            self.channel.framer.release()
            began, self.blocked = time.monotonic(), True
            await request.stream.put(piece)
            self.since += time.monotonic() - began
            self.blocked = False
        if request.whole:
            self.taking = None
            self.channel.narrow()
            await request.stream.put(None)

    async def _answer(self, request: Message) -> None:
        """One request, from its last byte in to its answer's last byte out."""
        try:
            self.request = request
            whole = await self._write(request)
            close = self._closes(request)
        except OSError:
            whole = close = False
        except Exception as error:
            logger.opt(exception=error).error("a request failed unforeseen")
            whole, close = False, True
        self.writing, self.busy, self.since, self.answered = False, None, time.monotonic(), True
        self.request = None
        if request.stream is not None:
            request.stream.close()
        if self.channel.framer.empty:
            self.channel.framer.release()
        if not whole:
            self.task.cancel()
        elif close:
            self._hang_up()
        else:
            self._pump()
            self.room.set()

    async def _write(self, request: Message) -> bool:
        """Write the front's answer to a request; False if it broke off."""
        try:
            if self.over:
                request.keep_alive = False
                reply = self.server.front.complain(503, "too many connections")
            else:
                reply = await self.server.front.handle(
                    request, lambda: self._closes(request))
        except Exception as error:
            # Guards the client against a fault of ours: it still gets its one answer.
            logger.opt(exception=error).error("a request failed unforeseen")
            reply = self.server.front.complain(500, "internal error")
            request.keep_alive = False
        self.channel.moved, self.writing, whole = time.monotonic(), True, False
        try:
            if reply.write is None:
                head_only = request.method == b"HEAD"  # its answer ends with the headers, whatever they say
                await self.channel.send(reply.data.partition(b"\r\n\r\n")[0] + b"\r\n\r\n" if head_only
                                        else reply.data)
            whole = reply.write is None or await reply.write(self.channel)
        finally:
            self.server.front.ended(request, reply.status, whole)
        return whole

    def _closes(self, request: Message) -> bool:
        """Whether the connection is closed after the answer to a request: its body may still be coming."""
        return self.server.closing or not request.keep_alive or not request.whole

    def leave(self) -> None:
        """Close the connection now."""
        self.closing = self.leaving = True
        self.task.cancel()

    def _hang_up(self) -> None:
        """End our side; the client has a moment to read before the socket is closed."""
        self.closing = True
        try:
            self.channel.sock.shutdown(socket.SHUT_WR)
        except OSError:
            pass
        asyncio.get_running_loop().call_later(LINGER, self.task.cancel)

    async def _last_word(self, status: int, text: str) -> None:
        """Answer what breaks HTTP once the request before it has its answer, then read until the close.

        Guards against a reset that would take the answer away: what the client still sends is read, not kept.
        """
        while self.busy is not None:           # whole requests before it have their answers first
            await asyncio.wait([self.busy])
        if self.closing:
            return
        self.closing, channel = True, self.channel
        try:
            async with asyncio.timeout(LINGER):
                await channel.send(self._complaint(status, text))
                channel.sock.shutdown(socket.SHUT_WR)
                await self._read_out(LINGER_BYTES)
        except (OSError, TimeoutError):
            pass

    async def _read_out(self, most: int) -> None:
        """Read on and drop it, so that the last answer is not lost with what is still unread."""
        channel = self.channel
        while most > 0 and (count := await channel.loop.sock_recv_into(channel.sock, channel.buffer)):
            most -= count

    def _complaint(self, status: int, text: str) -> bytes:
        """The last word on a request that does not come in whole; it counts if its head has."""
        part = self.channel.framer.part
        if part is not None and not self.channel.framer.in_head:
            self.server.front.ended(part, status, True)
        return self.server.front.complain(status, text).data

    def sweep(self, now: float) -> None:
        """Close a connection that has been idle or stalled for too long."""
        if self.writing:
            if now - self.channel.moved > UNREAD:
                self.task.cancel()
        elif self.idle:
            if now - self.since > (IDLE if self.answered else STALLED):
                self.task.cancel()
        elif self.taking is not None and not self.closing:
            if not self.blocked and now - self.since > self._patience():
                self.taking.stream.break_off()  # its taker ends it, and that is answered
        elif self.busy is None and not self.closing and now - self.since > self._patience():
            try:                               # best effort: a stalled client may not read either
                self.channel.sock.send(self._complaint(408, "the request did not come in time"))
            except OSError:
                pass
            self.task.cancel()

    def _patience(self) -> float:
        """Seconds that the request which is coming in may take, by what came: a trickle is no upload."""
        part = self.channel.framer.part
        return STALLED + (part.came / SLOWEST if part else 0.0)
