"""A client on a bare socket: sent bytes are in the gateway's receive buffer when the call returns."""

from __future__ import annotations

import asyncio
import socket
import struct
from collections.abc import Callable

from scenario import TIMEOUT_S, World

from mallowbeam.http.connection import Connection

HEALTH = b"GET /healthz HTTP/1.1\r\nhost: x\r\n\r\n"


# Settings whose time limits are long enough for many requests to wait in a queue.
LONG_LIMITS = {name: {"OnTime": 30.0, "HardLimit": 60.0} for name in ("read", "new-write")}


def request(
    number: int,
    *headers: str,
    method: str = "GET",
    cls: str = "read",
    version: str = "1.1",
    deadline: int = 1100,
) -> bytes:
    """Build a platform request whose id ends in `number`; `deadline` in milliseconds."""
    lines = [
        f"{method} /{cls}/00000000000000aa/0000000000000001 HTTP/{version}",
        "host: x",
        f"x-class: {cls}",
        "x-storage-class: silver",
        f"x-deadline-ms: {deadline}",
        "x-extent: units=1,shard=0,hosts=1",
        f"x-request-id: {number:016x}",
        *headers,
    ]
    return "\r\n".join([*lines, "", ""]).encode()


class RawClient:
    """One client connection."""

    def __init__(self, address: tuple[str, int]) -> None:
        self.sock = socket.create_connection(address)
        self.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.sock.setblocking(False)
        self.loop = asyncio.get_running_loop()
        self.got = b""

    def send_now(self, data: bytes) -> None:
        """Send all of the data in this loop step."""
        assert self.sock.send(data) == len(data)

    async def read(self, until: bytes | None = None) -> bytes:
        """Read to the end of the stream, or until `until` was received; raises ConnectionResetError."""
        async with asyncio.timeout(TIMEOUT_S):
            while until is None or until not in self.got:
                data = await self.loop.sock_recv(self.sock, 65536)
                if not data:
                    assert until is None, f"the end came before {until!r}: {self.got!r}"
                    break
                self.got += data
        return self.got

    def end(self) -> None:
        """Shut down the sending side."""
        self.sock.shutdown(socket.SHUT_WR)

    def disconnect(self, reset: bool = False) -> None:
        """Close the connection, orderly or by a reset."""
        if reset:
            self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        self.sock.close()


async def until(true: Callable[[], object]) -> None:
    """Wait until a condition holds."""
    async with asyncio.timeout(TIMEOUT_S):
        while not true():
            await asyncio.sleep(0.001)


async def connect_client(world: World, first: bytes = HEALTH) -> tuple[RawClient, Connection]:
    """Connect a client and return it with the gateway's connection object.

    By default the client has had one response and is idle; otherwise it has sent `first`.
    """
    here = world.gateway.servers[-1]
    before, client = set(here.connections), RawClient(world.platform)
    await until(lambda: here.connections - before)
    (connection,) = here.connections - before
    client.send_now(first)
    if first is HEALTH:
        await client.read(until=b"serving\n")
        await until(lambda: connection.idle and connection.answered)
        client.got = b""
    return client, connection


def send_unread(client: RawClient, connection: Connection, data: bytes) -> None:
    """Send bytes; they are unread in the gateway's socket when this returns."""
    client.send_now(data)
    while connection.channel.peek() is None:
        pass
