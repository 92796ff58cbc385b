"""The event loop on simulated time and a simulated network."""

from __future__ import annotations

import asyncio
import time
import unittest

from simulated_network import NetworkTestCase

from mallowbeam.simulation.dialing import Streams
from mallowbeam.simulation.loop import SimulatedLoop


class Echo(asyncio.Protocol):
    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = transport

    def data_received(self, data: bytes) -> None:
        self.transport.write(data.upper())


class Client(asyncio.Protocol):
    def __init__(self) -> None:
        self.data: list[bytes] = []
        self.lost: list[object] = []

    def data_received(self, data: bytes) -> None:
        self.data.append(data)

    def connection_lost(self, error: Exception | None) -> None:
        self.lost.append(type(error).__name__)


class LoopTest(NetworkTestCase):
    def setUp(self):
        super().setUp()
        self.streams = Streams(self.network)
        self.client_loop, self.server_loop = (
            SimulatedLoop(self.a, self.streams),
            SimulatedLoop(self.b, self.streams),
        )

    def test_tasks_timers_and_the_clock(self):
        async def work() -> None:
            began = time.monotonic()
            await asyncio.sleep(1.5)
            self.seen.append(round(time.monotonic() - began, 6))
            try:
                async with asyncio.timeout(2.0):
                    await asyncio.get_running_loop().create_future()
            except TimeoutError:
                self.seen.append(round(time.monotonic() - began, 6))

        self.client_loop.create_task(work())
        self.run_for(10.0)
        self.assertEqual(self.seen, [1.5, 3.5])
        self.assertGreater(time.monotonic(), 0.0)
        with self.assertRaises(RuntimeError):
            asyncio.get_running_loop()

    def test_connections_of_protocols(self):
        client = Client()

        async def serve() -> None:
            await asyncio.get_running_loop().create_server(Echo, "b", 80)

        async def ask() -> None:
            transport, _ = await asyncio.get_running_loop().create_connection(lambda: client, "b", 80)
            transport.write(b"hello")
            await asyncio.sleep(1.0)
            transport.close()

        self.server_loop.create_task(serve())
        self.client_loop.create_task(ask())
        self.run_for(3.0)
        self.assertEqual((client.data, client.lost), ([b"HELLO"], ["NoneType"]))
        self.assertEqual((self.client_loop.failures, self.server_loop.failures), ([], []))

    def test_a_refused_connection_raises(self):
        async def ask() -> None:
            try:
                await asyncio.get_running_loop().create_connection(Client, "b", 81)
            except ConnectionRefusedError as error:
                self.seen.append(str(error))

        self.client_loop.create_task(ask())
        self.run_for(1.0)
        self.assertEqual(self.seen, ["b:81: connection refused"])

    def test_a_connection_that_hangs_can_be_cancelled(self):
        async def ask() -> None:
            try:
                async with asyncio.timeout(0.5):
                    await asyncio.get_running_loop().create_connection(Client, "b", 81)
            except TimeoutError:
                self.seen.append("given up")

        self.network.isolate("b")
        self.client_loop.create_task(ask())
        self.run_for(1.0)
        self.network.heal()
        self.run_for(9.0)
        self.assertEqual(self.seen, ["given up"])

    def test_an_address_that_is_in_use(self):
        async def serve() -> None:
            loop = asyncio.get_running_loop()
            server = await loop.create_server(Echo, "b", 80)
            for close in (False, True):
                if close:
                    server.close()
                try:
                    await loop.create_server(Echo, "b", 80)
                except OSError:
                    self.seen.append("taken")

        self.server_loop.create_task(serve())
        self.run_for(1.0)
        self.assertEqual(self.seen, ["taken"])

    def test_a_process_that_ended_runs_no_step(self):
        async def work() -> None:
            try:
                await asyncio.sleep(1.0)
                self.seen.append("no")
            finally:
                self.client_loop.call_soon(lambda: self.seen.append("no"))

        self.client_loop.create_task(work())
        self.run_for(0.5)
        self.a.kill()
        self.a.start()
        self.run_for(5.0)
        self.assertEqual((self.seen, self.client_loop.is_closed()), ([], True))

    def test_unhandled_exceptions_are_recorded(self):
        self.client_loop.call_soon(lambda: 1 / 0)
        self.run_for(0.1)
        self.assertIsInstance(self.client_loop.failures[0]["exception"], ZeroDivisionError)


if __name__ == "__main__":
    unittest.main()
