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

PATIENCE = 1.0  # seconds for the old process to hand over: a wedged one holds up no start
VERSION = 1  # of what is said here: an old process that speaks another hands over nothing
MOST_DOORS = 8  # listening sockets handed over at most
MOST_SAID = 4 * 1024 * 1024  # bytes of one line, and of lines that wait to be read


class Door(Protocol):
    """A listening socket that is handed over."""

    name: str
    sock: socket.socket


class Host(Protocol):
    """One of the two processes, as their talk meets it."""

    config: Config
    sister: Sister | None
    handed_over: asyncio.Event

    @property
    def servers(self) -> Sequence[Door]:
        """Its listening sockets."""

    def deal(self, beside: int) -> None:
        """The other holds so many connections of clients."""

    def alone(self) -> None:
        """The other is gone."""

    def sent_beside(self, sent: list[Any]) -> None:
        """The other has sent something."""

    def told_beside(self, listing: Listing, address: str | None = None) -> None:
        """The other has heard from discovery at an address."""

    def moved(self, address: str) -> None:
        """Discovery is elsewhere."""

    def by_hand(self, node: str, out: bool, told: bool = False) -> bool:
        """An operator took a node out, or called it back, at the other."""

    def legacy(self) -> Mapping[str, object]:
        """All that a new process needs to go on where this one stands."""


@dataclass(slots=True)
class Legacy:
    """What a new process has from the old one: the line to it, its listening sockets and its state."""

    sock: socket.socket
    doors: dict[str, socket.socket]  # by the name of their front
    state: dict[str, Any]
    rest: bytes  # what came behind the state

    def config(self, own: Config) -> Config:
        """The configuration, with the list and discovery's address as the old process has them."""
        return replace(own, discovery=self.state["discovery"], known=read_listing(self.state["list"]))


@contextmanager
def place(config: Config) -> Iterator[str]:
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
    handed: list[socket.socket] = []
    try:
        sock.settimeout(PATIENCE)
        with place(config) as path:
            sock.connect(path)
        # Guards a $TMPDIR that others can write to: what is taken over decides where requests go.
        if struct.unpack("3i", sock.getsockopt(socket.SOL_SOCKET, socket.SO_PEERCRED, 12))[1] != os.getuid():
            raise ValueError("it is another user's process")
        data, fds, _, _ = socket.recv_fds(sock, 65536, MOST_DOORS)
        handed = [socket.socket(fileno=fd) for fd in fds]
        while data.count(b"\n") < 2:
            more = sock.recv(65536)
            if not more or len(data) > MOST_SAID:
                raise ValueError("the state ended early")
            data += more
        first, second, rest = data.split(b"\n", 2)
        names, state = json.loads(first)["doors"], json.loads(second)["state"]
        if state["version"] != VERSION:
            raise ValueError("the old process speaks another version")
        legacy = Legacy(sock, dict(zip(names, handed, strict=True)), state, rest)
        legacy.config(config)
        return legacy
    except (FileNotFoundError, ConnectionRefusedError):
        pass  # nobody serves; a file that an ended process left says nothing
    except (OSError, ValueError, KeyError, TypeError) as error:
        logger.warning("no handover: {}", error or type(error).__name__)
    sock.close()
    for door in handed:
        door.close()
    return None


class Sister:
    """The other process of this gateway, for as long as there are two.

    `leads` says that this process is the new one, which has the last word on where discovery is.
    """

    def __init__(self, sock: socket.socket, gateway: Host, heard: bytes = b"", leads: bool = False) -> None:
        sock.setblocking(False)
        self.sock, self.gateway, self.leads = sock, gateway, leads
        self.ids: set[str] = set()  # requests that it holds
        self.out, self.more = bytearray(), asyncio.Event()
        self.tasks = [asyncio.create_task(self._write()), asyncio.create_task(self._read(heard))]
        # Guards the next upgrade: a task that is cancelled before its first step runs nothing of its own.
        self.tasks[1].add_done_callback(self._ended)

    def tell(self, kind: str, value: object) -> None:
        """Say something; bounded, as a sister that reads no more is taken for gone."""
        self.out += json.dumps({kind: value}).encode() + b"\n"
        self.more.set()
        if len(self.out) > MOST_SAID:
            self.close()

    def close(self) -> None:
        """Talk no more."""
        for task in self.tasks:
            task.cancel()

    async def _write(self) -> None:
        with suppress(OSError):
            while await self.more.wait():
                self.more.clear()
                data, self.out = self.out, bytearray()
                await asyncio.get_running_loop().sock_sendall(self.sock, data)

    async def _read(self, data: bytes) -> None:
        loop, buffer, kept = asyncio.get_running_loop(), memoryview(bytearray(65536)), bytearray(data)
        try:
            while True:
                *lines, rest = bytes(kept).split(b"\n")
                kept = bytearray(rest)
                for line in lines:
                    for kind, value in json.loads(line).items():
                        self._hear(kind, value)
                if len(kept) > MOST_SAID or not (count := await loop.sock_recv_into(self.sock, buffer)):
                    return
                kept += buffer[:count]
        except OSError:
            pass
        except Exception as error:
            logger.opt(exception=error).error("the sister process can't be understood")

    def _ended(self, _: asyncio.Task[None]) -> None:
        self.tasks[0].cancel()
        self.sock.close()
        self.gateway.alone()

    def _hear(self, kind: str, value: Any) -> None:
        gateway = self.gateway
        match kind:
            case "sent":
                gateway.sent_beside(value)
            case "taken":
                self.ids.add(value)
            case "over":
                self.ids.discard(value)
            case "list":
                gateway.told_beside(read_listing(value), value.get("discovery"))
            case "discovery":
                gateway.moved(value)
                if self.leads:  # Guards two reloads that cross: both end at one address
                    self.tell("discovery", value)
            case "hand":
                node, out = value
                gateway.by_hand(node, out, told=True)
            case "clients":
                gateway.deal(value)
            case "yes":
                gateway.handed_over.set()


class Handover:
    """Waits for a new process and hands over to it."""

    def __init__(self, gateway: Host) -> None:
        self.gateway = gateway
        self.sock = socket.socket(socket.AF_UNIX, socket.SOCK_STREAM)
        with place(gateway.config) as path:
            with suppress(FileNotFoundError):  # left by a process that has ended or is leaving
                os.unlink(path)
            self.sock.bind(path)
            os.chmod(path, 0o600)
        self.sock.listen(1)
        self.sock.setblocking(False)
        self.task = asyncio.create_task(self._run())

    async def _run(self) -> None:
        loop, gateway = asyncio.get_running_loop(), self.gateway
        with self.sock:
            while True:
                sock, _ = await loop.sock_accept(self.sock)
                if gateway.sister is not None:  # one upgrade at a time
                    sock.close()
                    continue
                try:
                    names = [server.name for server in gateway.servers]
                    socket.send_fds(
                        sock,
                        [json.dumps({"doors": names}).encode() + b"\n"],
                        [server.sock.fileno() for server in gateway.servers],
                    )
                except OSError as error:
                    logger.warning("no handover: {}", error)
                    sock.close()
                    continue
                gateway.sister = Sister(sock, gateway)
                gateway.deal(0)
                gateway.sister.tell("state", {"version": VERSION, **gateway.legacy()})
