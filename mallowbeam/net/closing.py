"""The end of a client's connection: what a close may still owe, and how a client that has left is seen.

A socket that is closed over bytes which nobody read resets its connection, and the reset may take an answer
away that was on its way.  So there is one order: our side ends (`shutdown`), what still comes up to the
client's end is read and dropped, within a bound of bytes and of time, and then the socket is closed.  What is
read after the shutdown is never sent on: its client sees our end, and sends again elsewhere.
"""

from __future__ import annotations

import select
import socket
import struct
from enum import Enum

RESET = struct.pack("ii", 1, 0)  # SO_LINGER: on, for no time


class Stage(Enum):
    """How far a client's connection is; it only goes forward."""

    OPEN = "open"               # requests are read and answered
    LAST = "last"               # to be ended once what has come is answered
    LINGERING = "lingering"     # our side has ended: what still comes is read and dropped
    CLOSED = "closed"


def shut(sock: socket.socket) -> None:
    """End our side; where the other has reset the connection, its reader is told."""
    try:
        sock.shutdown(socket.SHUT_WR)
    except OSError:
        pass


def gone(sock: socket.socket) -> bool:
    """Whether the client has ended or reset its connection, also behind bytes that are not read yet."""
    poll = select.poll()
    poll.register(sock, select.POLLRDHUP)  # a reset is told unasked
    return bool(poll.poll(0))


def drop(sock: socket.socket, buffer: memoryview, most: int) -> None:
    """Read what lies there and drop it, without waiting; `most` in bytes."""
    try:
        while most > 0 and (count := sock.recv_into(buffer)):
            most -= count
    except OSError:                        # nothing more, or a reset: nothing is owed
        pass


def reset_at_close(sock: socket.socket) -> None:
    """Let the close be a reset.

    Guards a client against a part that looks whole, where the end of the connection marks that of the body.
    """
    try:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
    except OSError:
        pass
