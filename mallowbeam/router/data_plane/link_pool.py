"""A pool of connections to instances, with limits per instance and in total.

A connection belongs to one instance, not to an address, because another instance may take over the address.
It is reused only after a short delay, in which a surplus answer of the instance would arrive, and only well
before the instance closes it.
"""

from __future__ import annotations

import socket
import time
from dataclasses import dataclass

from mallowbeam.http.budget import BodyBudget
from mallowbeam.http.client import ConnectionLimitError, Link, RequestNotSentError, connect
from mallowbeam.http.framing import Message

CONNECT_TIMEOUT_S = 1.0
REUSE_DELAY_S = 0.02  # delay between an answer and the next request, unless the connection limit is reached
IDLE_TIMEOUT_FRACTION = 0.8  # of the idle time-out that an instance announces
DEFAULT_IDLE_S = 0.5  # assumed if it announces none
MAX_IDLE_S = 60.0
MAX_DIGITS = 8  # of a Keep-Alive time-out; a longer number is ignored
MAX_IDLE_PER_INSTANCE = 256  # idle connections kept per instance
MAX_ANSWER_BYTES = 1 << 20  # of an answer that are buffered at a time
USER_TIMEOUT_MS = 1500  # a connection ends if sent data stays unacknowledged for this long
KEEPALIVE_OPTIONS = ((socket.TCP_KEEPIDLE, 1), (socket.TCP_KEEPINTVL, 1), (socket.TCP_KEEPCNT, 2))


@dataclass(slots=True)
class _Idle:
    link: Link
    since: float
    expires_at: float


class LinkPool:
    """All connections to instances."""

    def __init__(self, limit: int, budget: BodyBudget | None = None) -> None:
        self._limit = limit  # total number of connections
        self._budget = budget
        self._idle: dict[str, list[_Idle]] = {}
        self._open_by_instance: dict[str, int] = {}  # connections by instance: in use, idle and being opened
        self._count = 0
        self.opened = 0  # connections opened since the start

    async def take(self, instance: str, address: str, limit: int) -> Link:
        """Return an idle connection that is still open, or a new one.

        An idle connection is returned without waiting.

        Args:
            instance: the id of the instance.
            address: its host and port.
            limit: the limit for connections to this instance.

        Raises:
            ConnectionLimitError: a connection limit is reached.
            RequestNotSentError: the connection could not be opened.
        """
        link = self._reusable(instance, address, self._open_by_instance.get(instance, 0) >= limit)
        if link is not None:
            return link
        if self._open_by_instance.get(instance, 0) >= limit:
            raise ConnectionLimitError("the limit of connections to this instance is reached", instance)
        if self._count >= self._limit and not self._evict():
            raise ConnectionLimitError("the total limit of connections is reached")
        self._add(instance, 1)
        try:
            link = await self._connect(address)
        except BaseException:
            self._add(instance, -1)
            raise
        self.opened += 1
        enable_keepalive(link.channel.sock)
        return link

    def give_back(self, instance: str, link: Link, answer: Message | None) -> None:
        """Return a connection to the pool; it is closed unless its answer was read completely."""
        if answer is None or not link.reusable(answer):
            return self.drop(instance, link)
        idle = self._idle.setdefault(instance, [])
        if len(idle) >= MAX_IDLE_PER_INSTANCE:
            return self.drop(instance, link)
        now = time.monotonic()
        link.channel.framer.release()
        link.channel.shrink_buffer()
        link.request_sent, link.idle_since = False, now
        idle.append(_Idle(link, now, now + idle_time_s(answer)))
        return None

    def drop(self, instance: str, link: Link) -> None:
        """Close a connection that is in use."""
        self._add(instance, -1)
        link.channel.framer.release()
        link.close()

    def forget(self, instance: str) -> None:
        """Close the idle connections to an instance that has ended."""
        for idle in self._idle.pop(instance, ()):
            self.drop(instance, idle.link)

    def sweep(self) -> None:
        """Close connections that have been idle for too long."""
        now = time.monotonic()
        for instance, idle in list(self._idle.items()):
            expired = [one for one in idle if now >= one.expires_at]
            idle[:] = [one for one in idle if now < one.expires_at]
            for one in expired:
                self.drop(instance, one.link)
            if not idle:
                self._idle.pop(instance, None)

    def close(self) -> None:
        """Close all idle connections."""
        for instance in list(self._idle):
            self.forget(instance)

    async def _connect(self, address: str) -> Link:
        """Open a connection.

        Raises:
            RequestNotSentError: the connection failed, was closed by the instance or already received data.
        """
        link = await connect(address, CONNECT_TIMEOUT_S, MAX_ANSWER_BYTES, self._budget)
        if link.channel.stale():
            link.close()
            raise RequestNotSentError("the connection was closed or received data before the request")
        return link

    def _reusable(self, instance: str, address: str, limit_reached: bool) -> Link | None:
        """Return the most recently used idle connection whose reuse delay has passed, or None.

        If `limit_reached`, no new connection may be opened, and the delay is ignored.
        """
        idle = self._idle.get(instance)
        if not idle:
            return None
        now = time.monotonic()
        for position in range(len(idle) - 1, -1, -1):
            if now - idle[position].since < REUSE_DELAY_S and not limit_reached:
                continue
            one = idle.pop(position)
            if now < one.expires_at and one.link.address == address and not one.link.channel.stale():
                return one.link
            self.drop(instance, one.link)
        return None

    def _evict(self) -> bool:
        """Close one idle connection so that another can be opened; False if there is none."""
        for instance, idle in self._idle.items():
            if idle:
                self.drop(instance, idle.pop(0).link)
                return True
        return False

    def _add(self, instance: str, count: int) -> None:
        self._count += count
        remaining = self._open_by_instance.get(instance, 0) + count
        if remaining > 0:
            self._open_by_instance[instance] = remaining
        else:
            self._open_by_instance.pop(instance, None)


def idle_time_s(answer: Message) -> float:
    """Return for how long a connection may stay idle after an answer, by the answer's Keep-Alive header."""
    for parameter in (answer.get(b"keep-alive") or b"").split(b","):
        name, _, value = parameter.strip().partition(b"=")
        if name.lower() == b"timeout" and value.isdigit() and len(value) <= MAX_DIGITS:
            return min(int(value), MAX_IDLE_S) * IDLE_TIMEOUT_FRACTION
    return DEFAULT_IDLE_S * IDLE_TIMEOUT_FRACTION


def enable_keepalive(sock: socket.socket) -> None:
    """Let the kernel end a connection whose peer is unreachable or has lost power."""
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    for option, value in KEEPALIVE_OPTIONS:
        sock.setsockopt(socket.IPPROTO_TCP, option, value)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS)
