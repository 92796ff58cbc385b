"""The role as a process: ready after its first feed data, serving, and shut down gracefully."""

from __future__ import annotations

import asyncio
import os
import signal
import socket
import sys
import tempfile
import unittest
from pathlib import Path

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
seeds = ["{ip}:1"]
[bind_addresses]
front = "{ip}:{front}"
readiness = "{ip}:{readiness}"
[limits]
max_fds = 1000
[bounds]
grace_s = 20
"""


def own_address() -> str:
    """Return a loopback address that no other process uses, so that free ports on it stay free."""
    high, low = divmod(os.getpid(), 250)
    return f"127.{64 + high // 250 % 64}.{high % 250 + 1}.{low + 1}"


IP = own_address()


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

    def opened(self, connection: FrameConnection) -> None:
        pass

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


class Role(unittest.IsolatedAsyncioTestCase):
    async def test_life_of_a_gateway(self):
        instance = ModelServer("i-1")
        await instance.start()
        member = Member(instance)
        feed, front, readiness = free_port(), free_port(), free_port()
        server = await listen(IP, feed, member.received, member.opened, lambda connection: None)
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / "settings.toml"
            path.write_text(SETTINGS.format(ip=IP, feed=feed, front=front, readiness=readiness))
            process = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                "mallowbeam",
                "data-plane",
                cwd=ROOT,
                env={**os.environ, "MALLOWBEAM_NODE_FILE": str(path)},
                stderr=asyncio.subprocess.PIPE,
            )
            try:
                await self.run_lifecycle(process, member, front, readiness)
            finally:
                if process.returncode is None:
                    process.kill()
                _, log = await process.communicate()
        self.assertEqual(process.returncode, 0, log.decode())
        member.task.cancel()
        server.close()
        await instance.stop()

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
