"""Connections to instances, by instance id: kept while idle, within bounds for each instance and in all.

A connection belongs to one instance, not to an address: addresses pass on to other instances.  It is used
again after a short rest, in which a surplus answer of the instance shows, and only well before the instance
closes it.
"""

from __future__ import annotations

import socket
import time
from dataclasses import dataclass

from mallowbeam.http.budget import BodyBudget
from mallowbeam.http.client import ConnectionLimitError, Link, RequestNotSentError, connect
from mallowbeam.http.framing import Message

CONNECT_TIMEOUT_S = 1.0
REST_S = 0.02  # after an answer, before the next request, where there is a choice
IDLE_TIMEOUT_FRACTION = 0.8  # of the idle time that an instance states
UNSTATED_IDLE_S = 0.5  # where it states none
MOST_IDLE_S = 60.0
MOST_DIGITS = 8  # of a Keep-Alive time-out; a longer one is not read
MOST_IDLE_EACH = 256  # idle connections kept to one instance
MOST_ANSWER_BYTES = 1 << 20  # of an answer that are buffered at once
SILENT_NETWORK_MS = 1500  # sent and not acknowledged for this long ends a connection
KEEPALIVE = ((socket.TCP_KEEPIDLE, 1), (socket.TCP_KEEPINTVL, 1), (socket.TCP_KEEPCNT, 2))


@dataclass(slots=True)
class _Idle:
    link: Link
    since: float
    until: float


class LinkPool:
    """All connections to instances."""

    def __init__(self, most: int, budget: BodyBudget | None = None) -> None:
        self._most = most  # connections in all
        self._budget = budget
        self._idle: dict[str, list[_Idle]] = {}
        self._open: dict[str, int] = {}  # open or being opened, idle ones included
        self._count = 0
        self.opened = 0  # since the start

    async def take(self, instance: str, address: str, most: int) -> Link:
        """An idle connection that still stands, or a new one; `most` bounds those to this instance.

        Raises `ConnectionLimitError` at a bound, `RequestNotSentError` where no connection comes up.  An idle
        one is returned without a wait.
        """
        link = self._reusable(instance, address, self._open.get(instance, 0) >= most)
        if link is not None:
            return link
        if self._open.get(instance, 0) >= most:
            raise ConnectionLimitError(
                "as many connections to this instance are open as are allowed", instance
            )
        if self._count >= self._most and not self._evict():
            raise ConnectionLimitError("as many connections are open as are allowed")
        self._add(instance, 1)
        try:
            link = await self._connect(address)
        except BaseException:
            self._add(instance, -1)
            raise
        self.opened += 1
        watch_network(link.channel.sock)
        return link

    def give_back(self, instance: str, link: Link, answer: Message | None) -> None:
        """Keep a connection whose answer was read completely; close any other."""
        if answer is None or not link.reusable(answer):
            return self.drop(instance, link)
        idle = self._idle.setdefault(instance, [])
        if len(idle) >= MOST_IDLE_EACH:
            return self.drop(instance, link)
        now = time.monotonic()
        link.channel.framer.release()
        link.channel.shrink_buffer()
        link.request_sent, link.idle_since = False, now
        idle.append(_Idle(link, now, now + idle_time_s(answer)))
        return None

    def drop(self, instance: str, link: Link) -> None:
        """Close a connection that was taken."""
        self._add(instance, -1)
        link.channel.framer.release()
        link.close()

    def forget(self, instance: str) -> None:
        """Close the idle connections to an instance that is gone."""
        for idle in self._idle.pop(instance, ()):
            self.drop(instance, idle.link)

    def sweep(self) -> None:
        """Close what has been idle for too long."""
        now = time.monotonic()
        for instance, idle in list(self._idle.items()):
            over = [one for one in idle if now >= one.until]
            idle[:] = [one for one in idle if now < one.until]
            for one in over:
                self.drop(instance, one.link)
            if not idle:
                self._idle.pop(instance, None)

    def close(self) -> None:
        """Close all idle connections."""
        for instance in list(self._idle):
            self.forget(instance)

    async def _connect(self, address: str) -> Link:
        """A new connection; one that ended, or on which something came unasked, is of no use."""
        link = await connect(address, CONNECT_TIMEOUT_S, MOST_ANSWER_BYTES, self._budget)
        if link.channel.stale():
            link.close()
            raise RequestNotSentError("the connection was ended, or something came on it, before the request")
        return link

    def _reusable(self, instance: str, address: str, none_free: bool) -> Link | None:
        """The idle connection used last, of those that have rested; one that has not, only if `none_free`."""
        idle = self._idle.get(instance)
        if not idle:
            return None
        now = time.monotonic()
        for position in range(len(idle) - 1, -1, -1):
            if now - idle[position].since < REST_S and not none_free:
                continue
            one = idle.pop(position)
            if now < one.until and one.link.address == address and not one.link.channel.stale():
                return one.link
            self.drop(instance, one.link)
        return None

    def _evict(self) -> bool:
        """Close one idle connection to make room."""
        for instance, idle in self._idle.items():
            if idle:
                self.drop(instance, idle.pop(0).link)
                return True
        return False

    def _add(self, instance: str, count: int) -> None:
        self._count += count
        left = self._open.get(instance, 0) + count
        if left > 0:
            self._open[instance] = left
        else:
            self._open.pop(instance, None)


def idle_time_s(answer: Message) -> float:
    """How long a connection may be used again after an answer, by its Keep-Alive header."""
    for parameter in (answer.get(b"keep-alive") or b"").split(b","):
        name, _, value = parameter.strip().partition(b"=")
        if name.lower() == b"timeout" and value.isdigit() and len(value) <= MOST_DIGITS:
            return min(int(value), MOST_IDLE_S) * IDLE_TIMEOUT_FRACTION
    return UNSTATED_IDLE_S * IDLE_TIMEOUT_FRACTION


def watch_network(sock: socket.socket) -> None:
    """Have the kernel end a connection whose other side is cut off or without power."""
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    for option, value in KEEPALIVE:
        sock.setsockopt(socket.IPPROTO_TCP, option, value)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, SILENT_NETWORK_MS)
