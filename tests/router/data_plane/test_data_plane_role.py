"""The role as a process: ready after its first feed data, serving, and shut down gracefully."""

from __future__ import annotations

import asyncio
import os
import signal
import socket
import sys
import tempfile
import unittest
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from pathlib import Path
from typing import NamedTuple

from gateway_bench import DEFAULT, Answer, read_answer, request_bytes
from project_paths import ROOT

from mallowbeam.router.configuration.updates import full_update
from mallowbeam.router.rpc.connection import FrameConnection, listen
from mallowbeam.router.rpc.messages_pb2 import (
    READY,
    FeedFrame,
    FeedHeartbeat,
    Instance,
    InstancesUpdate,
    LinkFrame,
)
from mallowbeam.standins.model_server import ModelServer

TEST_TIMEOUT_S = 60.0  # for steps that take a second; only a failure takes this long
HEARTBEAT = FeedHeartbeat(gateways=1, table_complete=True)
SETTINGS = """
node_name = "edge-1"
role = "data-plane"
machine_class = "edge"
serves = ["edge"]
ip = "{ip}"
zone = "z1"
region = "r1"
port_range = [{feed}, {feed}]
seeds = ["{seed}:1"]
[bind_addresses]
front = "{ip}:{front}"
readiness = "{ip}:{readiness}"
[limits]
max_fds = 1000
[bounds]
grace_s = 20
"""


def own_address(block: int) -> str:
    """Return a loopback address that no other process uses, so that free ports on it stay free."""
    high, low = divmod(os.getpid(), 250)
    return f"127.{block + high // 250 % 64}.{high % 250 + 1}.{low + 1}"


IP = own_address(64)
SUCCESSOR_IP = own_address(128)  # of a member that takes the place of the one at IP


def free_port() -> int:
    with socket.socket() as sock:
        sock.bind((IP, 0))
        port: int = sock.getsockname()[1]
        return port


class Member:
    """A member that feeds one gateway."""

    def __init__(self, instance: ModelServer) -> None:
        self.instance, self.hellos = instance, []
        self.data_released = asyncio.Event()  # set once the member may send its data
        self.connections: list[FrameConnection] = []

    def opened(self, connection: FrameConnection) -> None:
        self.connections.append(connection)

    async def listen(self, ip: str, port: int) -> None:
        self.server = await listen(ip, port, self.received, self.opened, lambda connection: None)

    def remove(self) -> None:
        """End the member for good."""
        self.server.close()
        self.task.cancel()
        for connection in self.connections:
            connection.abort()

    def received(self, connection: FrameConnection, data: bytes) -> None:
        frame = LinkFrame.FromString(data)
        if not frame.gateway.HasField("hello"):
            return
        self.hellos.append(frame.gateway.hello)
        self.task = asyncio.get_running_loop().create_task(self.feed(connection))

    async def feed(self, connection: FrameConnection) -> None:
        connection.send(FeedFrame(heartbeat=FeedHeartbeat(gateways=1)))
        await self.data_released.wait()
        row = Instance(
            id=self.instance.id,
            backend="plain",
            address=self.instance.address,
            zone="z1",
            slots=8,
            state=READY,
            sequence=1,
        )
        connection.send(
            FeedFrame(
                heartbeat=HEARTBEAT,
                configuration=full_update(DEFAULT),
                instances=InstancesUpdate(whole=True, instances=[row]),
            )
        )
        while connection.send(FeedFrame(heartbeat=HEARTBEAT)):
            await asyncio.sleep(0.25)


async def ask(port: int, data: bytes) -> Answer:
    reader, writer = await asyncio.open_connection(IP, port)
    try:
        writer.write(data)
        return await read_answer(reader)
    finally:
        writer.close()


async def ready(port: int) -> int:
    try:
        return (await ask(port, b"GET /mallowbeam/readyz HTTP/1.1\r\nHost: x\r\n\r\n")).status
    except OSError:
        return 0


async def until(port: int, status: int) -> None:
    async with asyncio.timeout(TEST_TIMEOUT_S):
        while await ready(port) != status:
            await asyncio.sleep(0.02)


class Ports(NamedTuple):
    feed: int
    front: int
    readiness: int


class Role(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.instance = ModelServer("i-1")
        await self.instance.start()
        self.ports = Ports(free_port(), free_port(), free_port())
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.settings_path = Path(folder.name) / "settings.toml"
        self.write_settings(IP)

    async def asyncTearDown(self) -> None:
        await self.instance.stop()

    def write_settings(self, seed: str) -> None:
        self.settings_path.write_text(SETTINGS.format(ip=IP, seed=seed, **self.ports._asdict()))

    @asynccontextmanager
    async def gateway(self) -> AsyncIterator[asyncio.subprocess.Process]:
        """Run the role as a process, which must have ended in order at the end."""
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "mallowbeam",
            "data-plane",
            cwd=ROOT,
            env={**os.environ, "MALLOWBEAM_NODE_FILE": str(self.settings_path)},
            stderr=asyncio.subprocess.PIPE,
        )
        try:
            yield process
        finally:
            if process.returncode is None:
                process.kill()
            _, log = await process.communicate()
        self.assertEqual(process.returncode, 0, log.decode())

    async def test_life_of_a_gateway(self):
        member = Member(self.instance)
        await member.listen(IP, self.ports.feed)
        async with self.gateway() as process:
            await self.run_lifecycle(process, member, self.ports.front, self.ports.readiness)
        member.remove()

    # Guards against a gateway that never follows a member again once all that it knew have been replaced.
    async def test_seeds_of_changed_settings_are_followed_when_every_known_member_is_gone(self):
        for notified in (True, False):  # by SIGHUP, or by the file alone
            with self.subTest(notified=notified):
                await self.replace_the_only_member(notified)

    async def replace_the_only_member(self, notified: bool) -> None:
        self.write_settings(IP)
        member, successor = Member(self.instance), Member(self.instance)
        await member.listen(IP, self.ports.feed)
        member.data_released.set()
        async with self.gateway() as process:
            await until(self.ports.readiness, 200)
            member.remove()
            await successor.listen(SUCCESSOR_IP, self.ports.feed)
            self.write_settings(SUCCESSOR_IP)
            if notified:
                process.send_signal(signal.SIGHUP)
            async with asyncio.timeout(TEST_TIMEOUT_S):
                while not successor.hellos:
                    await asyncio.sleep(0.02)
            self.assertEqual(successor.hellos[0].configuration_revision, DEFAULT.revision)
            process.terminate()
            async with asyncio.timeout(TEST_TIMEOUT_S):
                await process.wait()
        successor.remove()

    async def run_lifecycle(
        self, process: asyncio.subprocess.Process, member: Member, front: int, readiness: int
    ):
        await until(readiness, 503)
        self.assertEqual((await ask(front, request_bytes("/safe/"))).status, 503)
        member.data_released.set()
        await until(readiness, 200)
        self.assertEqual((member.hellos[0].gateway, member.hellos[0].zone), ("edge-1", "z1"))
        self.assertEqual((await ask(front, request_bytes("/safe/"))).body, b"answer")
        process.send_signal(signal.SIGTERM)
        await until(readiness, 503)
        self.assertEqual((await ask(front, request_bytes("/safe/"))).status, 200)  # still accepted
        async with asyncio.timeout(TEST_TIMEOUT_S):
            await process.wait()


if __name__ == "__main__":
    unittest.main()
