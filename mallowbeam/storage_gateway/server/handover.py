"""Two processes of one gateway: the old hands over to the new, and while both run they act as one.

They meet over a Unix socket in $TMPDIR.  The old process sends its listening sockets and its state; from
then on each tells the other, a line of JSON at a time, what must count for both.  The new one's `yes` makes
the old leave.
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

HANDOVER_TIMEOUT = 1.0  # seconds for the old process to hand over: a wedged one holds up no start
VERSION = 1  # of what is said here: an old process that speaks another hands over nothing
MAX_LISTENERS = 8  # listening sockets handed over at most
OPENING_MESSAGES = 2  # the names of the listeners, and the state
MAX_MESSAGE_BYTES = 4 * 1024 * 1024  # bytes of one line, and of lines that wait to be read


class Listener(Protocol):
    """A listening socket that is handed over."""

    name: str  # of its front: the sockets are matched by it
    sock: socket.socket


class Host(Protocol):
    """One of the two processes, as their messages reach it."""

    link: PeerLink | None

    @property
    def config(self) -> Config:
        """Its configuration."""

    @property
    def servers(self) -> Sequence[Listener]:
        """Its listening sockets."""

    def split_limits(self, peer_connections: int) -> None:
        """The other process has so many connections of clients."""

    def disconnected(self) -> None:
        """The other process is gone."""

    def confirmed(self) -> None:
        """The other process, the new one, serves."""

    def sent_by_peer(self, sent: list[Any]) -> None:
        """The other process has sent a request to a node."""

    def listing_from_peer(self, listing: Listing, address: str | None = None) -> None:
        """The other process has a list of nodes from discovery at an address."""

    def move_discovery(self, address: str) -> None:
        """Discovery is elsewhere."""

    def by_hand(self, node: str, out: bool) -> None:
        """An operator took a node out, or called it back, at the other process."""

    def handover_state(self) -> Mapping[str, object]:
        """All that a new process needs to go on where this one stands."""


@dataclass(slots=True)
class Legacy:
    """What a new process has from the old one: the line to it, its listening sockets and its state."""

    sock: socket.socket
    listeners: dict[str, socket.socket]  # by the name of their front
    state: dict[str, Any]
    unread: bytes  # what came behind the state

    def config(self, own: Config) -> Config:
        """The configuration, with the list and discovery's address as the old process has them."""
        return replace(own, discovery=self.state["discovery"], known=read_listing(self.state["list"]))


@contextmanager
def rendezvous_path(config: Config) -> Iterator[str]:
    """Where the two meet, as a path.

    Guards against a $TMPDIR too long for a socket's address: it is named through a descriptor of the folder.
    """
    name = f"{config.name}|{config.listen}".encode()
    folder = os.open(tempfile.gettempdir(), os.O_RDONLY | os.O_DIRECTORY)
    try:
        yield f"/proc/self/fd/{folder}/mallowbeam-{crc32(name):08x}.sock"
    finally:
        os.close(folder)


def take_over(config: Config) -> Legacy | None:
    """What the process that serves now hands over; None where there is none, or none that answers in time."""
    sock = socket.socket(socket.AF_UNIX, socket.SOCK_STREAM)
    inherited: list[socket.socket] = []
    try:
        sock.settimeout(HANDOVER_TIMEOUT)
        with rendezvous_path(config) as path:
            sock.connect(path)
        # Guards a $TMPDIR that others can write to: what is taken over decides where requests go.
        if struct.unpack("3i", sock.getsockopt(socket.SOL_SOCKET, socket.SO_PEERCRED, 12))[1] != os.getuid():
            raise ValueError("it is another user's process")
        data, fds, _, _ = socket.recv_fds(sock, 65536, MAX_LISTENERS)
        inherited = [socket.socket(fileno=fd) for fd in fds]
        while data.count(b"\n") < OPENING_MESSAGES:
            more = sock.recv(65536)
            if not more or len(data) > MAX_MESSAGE_BYTES:
                raise ValueError("the state ended early")
            data += more
        first, second, rest = data.split(b"\n", 2)
        names, state = json.loads(first)["doors"], json.loads(second)["state"]
        if state["version"] != VERSION:
            raise ValueError("the old process speaks another version")
        legacy = Legacy(sock, dict(zip(names, inherited, strict=True)), state, rest)
        legacy.config(config)
        return legacy
    except (FileNotFoundError, ConnectionRefusedError):
        pass  # nobody serves; a file that an ended process left says nothing
    except (OSError, ValueError, KeyError, TypeError) as error:
        logger.warning("no handover: {}", error or type(error).__name__)
    sock.close()
    for listener in inherited:
        listener.close()
    return None


class PeerLink:
    """The other process of this gateway, for as long as there are two.

    `leads` says that this process is the new one, which has the last word on where discovery is.
    """

    def __init__(self, sock: socket.socket, host: Host, received: bytes = b"", leads: bool = False) -> None:
        sock.setblocking(False)
        self.sock, self.host, self.leads = sock, host, leads
        self.ids: set[str] = set()  # requests that it holds
        self.outgoing, self.wakeup = bytearray(), asyncio.Event()
        self.tasks = [asyncio.create_task(self._write()), asyncio.create_task(self._read(received))]
        # Guards the next upgrade: a task that is cancelled before its first step runs nothing of its own.
        self.tasks[1].add_done_callback(self._ended)

    def send(self, kind: str, value: object) -> None:
        """Queue a message; bounded, as a peer that reads no more is taken for gone."""
        self.outgoing += json.dumps({kind: value}).encode() + b"\n"
        self.wakeup.set()
        if len(self.outgoing) > MAX_MESSAGE_BYTES:
            self.close()

    def close(self) -> None:
        """Talk no more."""
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
            logger.opt(exception=error).error("the sister process can't be understood")

    def _ended(self, _: asyncio.Task[None]) -> None:
        self.tasks[0].cancel()
        self.sock.close()
        self.host.disconnected()

    def _receive(self, kind: str, value: Any) -> None:
        host = self.host
        match kind:
            case "sent":
                host.sent_by_peer(value)
            case "taken":
                self.ids.add(value)
            case "over":
                self.ids.discard(value)
            case "list":
                host.listing_from_peer(read_listing(value), value.get("discovery"))
            case "discovery":
                host.move_discovery(value)
                if self.leads:  # Guards two reloads that cross: both end at one address
                    self.send("discovery", value)
            case "hand":
                node, out = value
                host.by_hand(node, out)
            case "clients":
                host.split_limits(value)
            case "yes":
                host.confirmed()


class Handover:
    """Waits for a new process and hands over to it."""

    def __init__(self, host: Host) -> None:
        self.host = host
        self.sock = socket.socket(socket.AF_UNIX, socket.SOCK_STREAM)
        with rendezvous_path(host.config) as path:
            with suppress(FileNotFoundError):  # left by a process that has ended or is leaving
                os.unlink(path)
            self.sock.bind(path)
            os.chmod(path, 0o600)
        self.sock.listen(1)
        self.sock.setblocking(False)
        self.task = asyncio.create_task(self._run())

    async def _run(self) -> None:
        loop, host = asyncio.get_running_loop(), self.host
        with self.sock:
            while True:
                sock, _ = await loop.sock_accept(self.sock)
                if host.link is not None:  # one upgrade at a time
                    sock.close()
                    continue
                try:
                    names = [server.name for server in host.servers]
                    socket.send_fds(
                        sock,
                        [json.dumps({"doors": names}).encode() + b"\n"],
                        [server.sock.fileno() for server in host.servers],
                    )
                except OSError as error:
                    logger.warning("no handover: {}", error)
                    sock.close()
                    continue
                host.link = PeerLink(sock, host)
                host.split_limits(0)
                host.link.send("state", {"version": VERSION, **host.handover_state()})
