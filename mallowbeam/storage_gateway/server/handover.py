"""Hand-over between the old and the new process of one gateway, which act as one while both run.

They connect over a Unix socket in $TMPDIR.  The old process sends its listening sockets and its state; from
then on each sends the other, as lines of JSON, the events that apply to both.  The `yes` of the new process
starts the shutdown of the old one.
"""

from __future__ import annotations

import asyncio
import json
import os
import socket
import struct
import tempfile
from collections.abc import Iterator, Mapping, Sequence
from contextlib import contextmanager, suppress
from dataclasses import dataclass, replace
from typing import Any, Protocol
from zlib import crc32

from loguru import logger

from mallowbeam.storage_gateway.server.config import Config
from mallowbeam.storage_gateway.server.listing import Listing, read_listing

HANDOVER_TIMEOUT_S = 1.0  # for the old process to hand over, so that a hung one doesn't block the start
PROTOCOL_VERSION = 1  # of the protocol; no hand-over from an old process with another version
MAX_LISTENERS = 8  # maximum number of listening sockets handed over
OPENING_MESSAGES = 2  # the listener names, and the state
MAX_MESSAGE_BYTES = 4 * 1024 * 1024  # bytes of one line, and of queued lines


class Listener(Protocol):
    """A listening socket to hand over."""

    name: str  # of its front; the new process matches sockets by it
    sock: socket.socket


class MessageHandler(Protocol):
    """The receiver of the other process's messages."""

    link: PeerLink | None

    @property
    def config(self) -> Config:
        """The configuration of this process."""

    @property
    def servers(self) -> Sequence[Listener]:
        """The listening sockets of this process."""

    def split_limits(self, peer_connections: int) -> None:
        """The other process has this number of client connections."""

    def disconnected(self) -> None:
        """The other process has ended."""

    def confirmed(self) -> None:
        """The other process, which is the new one, serves."""

    def sent_by_peer(self, sent: list[Any]) -> None:
        """The other process has sent a request to a node."""

    def listing_from_peer(self, listing: Listing, address: str | None = None) -> None:
        """The other process received a list of nodes from discovery at an address."""

    def move_discovery(self, address: str) -> None:
        """The discovery address has changed."""

    def set_detached(self, node: str, detached: bool) -> None:
        """An operator detached or attached a node at the other process."""

    def handover_state(self) -> Mapping[str, object]:
        """Returns the state that a new process needs to continue from this one."""


@dataclass(slots=True)
class Takeover:
    """What the old process hands over to a new one: the link to it, its listening sockets and its state."""

    sock: socket.socket
    listeners: dict[str, socket.socket]  # by front name
    state: dict[str, Any]
    unread: bytes  # bytes received after the state

    def config(self, own: Config) -> Config:
        """Returns `own` with the node list and the discovery address of the old process."""
        return replace(own, discovery=self.state["discovery"], known=read_listing(self.state["list"]))


@contextmanager
def rendezvous_path(config: Config) -> Iterator[str]:
    """Yields the path of the hand-over socket.

    The folder is named through a descriptor, as $TMPDIR may be too long for a socket address.
    """
    name = f"{config.name}|{config.listen}".encode()
    folder = os.open(tempfile.gettempdir(), os.O_RDONLY | os.O_DIRECTORY)
    try:
        yield f"/proc/self/fd/{folder}/mallowbeam-{crc32(name):08x}.sock"
    finally:
        os.close(folder)


def take_over(config: Config) -> Takeover | None:
    """Takes over from the serving process; None if there is none, or if it doesn't hand over in time."""
    sock = socket.socket(socket.AF_UNIX, socket.SOCK_STREAM)
    inherited: list[socket.socket] = []
    try:
        sock.settimeout(HANDOVER_TIMEOUT_S)
        with rendezvous_path(config) as path:
            sock.connect(path)
        # $TMPDIR may be writable by other users, and the handed-over state decides where requests go.
        if struct.unpack("3i", sock.getsockopt(socket.SOL_SOCKET, socket.SO_PEERCRED, 12))[1] != os.getuid():
            raise ValueError("the other process belongs to another user")
        data, fds, _, _ = socket.recv_fds(sock, 65536, MAX_LISTENERS)
        inherited = [socket.socket(fileno=fd) for fd in fds]
        while data.count(b"\n") < OPENING_MESSAGES:
            chunk = sock.recv(65536)
            if not chunk or len(data) > MAX_MESSAGE_BYTES:
                raise ValueError("the connection ended before the state was complete")
            data += chunk
        first, second, rest = data.split(b"\n", 2)
        names, state = json.loads(first)["doors"], json.loads(second)["state"]
        if state["version"] != PROTOCOL_VERSION:
            raise ValueError("the old process uses another version of the protocol")
        takeover = Takeover(sock, dict(zip(names, inherited, strict=True)), state, rest)
        takeover.config(config)
        return takeover
    except (FileNotFoundError, ConnectionRefusedError):
        pass  # no process serves; a stale socket file is ignored
    except (OSError, ValueError, KeyError, TypeError) as error:
        logger.warning("no handover: {}", error or type(error).__name__)
    sock.close()
    for listener in inherited:
        listener.close()
    return None


class PeerLink:
    """The link to the other process of this gateway.

    `is_new` says that this process is the new one, whose discovery address wins if the two differ.
    """

    def __init__(
        self, sock: socket.socket, handler: MessageHandler, received: bytes = b"", is_new: bool = False
    ) -> None:
        sock.setblocking(False)
        self.sock, self.handler, self.is_new = sock, handler, is_new
        self.request_ids: set[str] = set()  # ids of the other process's pending requests
        self.outgoing, self.wakeup = bytearray(), asyncio.Event()
        self.tasks = [asyncio.create_task(self._write()), asyncio.create_task(self._read(received))]
        # A callback: a task cancelled before its first step runs no `finally`, and without the cleanup the
        # next upgrade would be refused.
        self.tasks[1].add_done_callback(self._ended)

    def send(self, kind: str, value: object) -> None:
        """Queues a message; closes the link at the queue's limit, as the peer has stopped reading."""
        self.outgoing += json.dumps({kind: value}).encode() + b"\n"
        self.wakeup.set()
        if len(self.outgoing) > MAX_MESSAGE_BYTES:
            self.close()

    def close(self) -> None:
        """Closes the link."""
        for task in self.tasks:
            task.cancel()

    async def _write(self) -> None:
        with suppress(OSError):
            while await self.wakeup.wait():
                self.wakeup.clear()
                data, self.outgoing = self.outgoing, bytearray()
                await asyncio.get_running_loop().sock_sendall(self.sock, data)

    async def _read(self, data: bytes) -> None:
        loop, buffer, pending = asyncio.get_running_loop(), memoryview(bytearray(65536)), bytearray(data)
        try:
            while True:
                *lines, rest = bytes(pending).split(b"\n")
                pending = bytearray(rest)
                for line in lines:
                    for kind, value in json.loads(line).items():
                        self._receive(kind, value)
                if len(pending) > MAX_MESSAGE_BYTES or not (
                    count := await loop.sock_recv_into(self.sock, buffer)
                ):
                    return
                pending += buffer[:count]
        except OSError:
            pass
        except Exception as error:
            logger.opt(exception=error).error("unexpected error in a message from the other process")

    def _ended(self, _: asyncio.Task[None]) -> None:
        self.tasks[0].cancel()
        self.sock.close()
        self.handler.disconnected()

    def _receive(self, kind: str, value: Any) -> None:
        handler = self.handler
        match kind:
            case "sent":
                handler.sent_by_peer(value)
            case "taken":
                self.request_ids.add(value)
            case "over":
                self.request_ids.discard(value)
            case "list":
                handler.listing_from_peer(read_listing(value), value.get("discovery"))
            case "discovery":
                handler.move_discovery(value)
                if self.is_new:  # so that concurrent reloads at both end at one address
                    self.send("discovery", value)
            case "hand":
                node, detached = value
                handler.set_detached(node, detached)
            case "clients":
                handler.split_limits(value)
            case "yes":
                handler.confirmed()


class Handover:
    """Listens for a new process and hands over to it."""

    def __init__(self, handler: MessageHandler) -> None:
        self.handler = handler
        self.sock = socket.socket(socket.AF_UNIX, socket.SOCK_STREAM)
        with rendezvous_path(handler.config) as path:
            with suppress(FileNotFoundError):  # left by an earlier process
                os.unlink(path)
            self.sock.bind(path)
            os.chmod(path, 0o600)
        self.sock.listen(1)
        self.sock.setblocking(False)
        self.task = asyncio.create_task(self._run())

    async def _run(self) -> None:
        loop, handler = asyncio.get_running_loop(), self.handler
        with self.sock:
            while True:
                sock, _ = await loop.sock_accept(self.sock)
                if handler.link is not None:  # one upgrade at a time
                    sock.close()
                    continue
                try:
                    names = [server.name for server in handler.servers]
                    socket.send_fds(
                        sock,
                        [json.dumps({"doors": names}).encode() + b"\n"],
                        [server.sock.fileno() for server in handler.servers],
                    )
                except OSError as error:
                    logger.warning("no handover: {}", error)
                    sock.close()
                    continue
                handler.link = PeerLink(sock, handler)
                handler.split_limits(0)
                handler.link.send("state", {"version": PROTOCOL_VERSION, **handler.handover_state()})
