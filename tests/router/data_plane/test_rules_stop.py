"""A gateway that is told to stop or to reload its settings loses no request; in virtual time.

The platform checks readiness once a second and sends new connections until two checks in a row fail.
"""

from __future__ import annotations

import asyncio
import socket
import tempfile
import unittest
from collections.abc import Awaitable, Callable
from pathlib import Path

from failing_instances import ByName
from gateway_bench import (
    ENGINE,
    PLAIN,
    Answer,
    configuration,
    events,
    read_answer,
    read_head,
    request_bytes,
    route,
)
from timed_instances import DelayedStart, EndlessAnswers, Timed, TimedStream, now
from virtual_time import play

from mallowbeam.router.data_plane.planner_interface import Planner
from mallowbeam.router.data_plane.role import DataPlane
from mallowbeam.router.feed.instance_replica import InstanceChanges
from mallowbeam.router.processes.role import RoleContext
from mallowbeam.router.processes.settings import read_settings
from mallowbeam.router.rpc.messages_pb2 import READY, Instance

GRACE_S = 8.0
CHECK_PERIOD_S = 1.0
OUT_WITHIN_S = 4.0
DRAINS_AFTER_S = 2.2  # after the stop signal
LATE_S = 3.0  # after SIGTERM; the exit may cut no request that was sent later
PROCESS_END_S = 0.3  # what a busy machine needs to end a process
NOTICED_AFTER_S = 0.4  # a busy process notices the signal so long after it was sent
FAILED_CHECKS = 2
LONG = {"Deadline-Ms": "60000"}
LONG_MS = 30_000
ROUTES = configuration(
    route("/unsafe/", "unsafe", timeout_ms=LONG_MS), route("/stream/", "stream", ENGINE, timeout_ms=LONG_MS)
)
WITHOUT_ROUTES = configuration(route("/other/", "unsafe"), revision=2)
READINESS = b"GET /mallowbeam/readyz HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n"
SETTINGS = """
node_name = "edge-1"
role = "data-plane"
machine_class = "edge"
serves = ["edge"]
ip = "127.0.0.1"
zone = "z1"
region = "r1"
port_range = [1, 1]
seeds = ["127.0.0.1:1"]
[bind_addresses]
front = "127.0.0.1:{front}"
readiness = "127.0.0.1:{readiness}"
[limits]
max_fds = 1000
[bounds]
grace_s = {grace}
"""


def free_ports(count: int) -> list[int]:
    sockets = [socket.socket() for _ in range(count)]
    for one in sockets:
        one.bind(("127.0.0.1", 0))
    ports = [int(one.getsockname()[1]) for one in sockets]
    for one in sockets:
        one.close()
    return ports


class Process:
    """The role as its process runs it, with a feed that has delivered all data."""

    def __init__(self, folder: str, planner: Planner | None = None) -> None:
        self.front, self.readiness = free_ports(2)
        self.path = Path(folder) / "settings.toml"
        self.write(GRACE_S)
        self.context = RoleContext(read_settings(str(self.path)), str(self.path))
        self.plane = DataPlane(self.context, planner or ByName())
        self.plane.subscriber.ready = lambda now: True  # type: ignore[method-assign]
        self.plane.gateway.set_configuration(ROUTES, 0.0)
        self.plane.gateway.view.instances = self.table = {}
        self.instances: list[Timed] = []
        self.ended_at: float | None = None

    def write(self, grace_s: float) -> None:
        """Write the settings file."""
        self.path.write_text(SETTINGS.format(front=self.front, readiness=self.readiness, grace=grace_s))

    async def add(self, instance: Timed) -> Timed:
        """Start an instance and add it to the gateway's instance table."""
        await instance.start()
        self.instances.append(instance)
        row = Instance(
            id=instance.id,
            backend=ENGINE if instance.stage else PLAIN,
            address=instance.address,
            zone="z1",
            slots=8,
            state=READY,
            stage=instance.stage,
        )
        self.table[instance.id] = row
        self.plane.gateway.instances_changed(InstanceChanges([row], ()), 0.0)
        return instance

    async def run(self) -> None:
        """Serve until the role ends."""
        await self.plane.serve()
        self.ended_at = now()

    def signal_stop(self) -> float:
        """Signal the process to stop, as SIGTERM does; return the time."""
        self.context.stopping.set()
        return now()

    async def ready(self) -> bool:
        """Return the result of one readiness check."""
        try:
            reader, writer = await asyncio.open_connection("127.0.0.1", self.readiness)
        except OSError:
            return False
        writer.write(READINESS)
        try:
            return (await read_head(reader)).status == 200
        except (asyncio.IncompleteReadError, OSError):
            return False
        finally:
            writer.close()

    async def connect(self) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        """Open a client connection."""
        return await asyncio.open_connection("127.0.0.1", self.front)

    async def ask(self, target: str) -> Answer:
        """Send a client request on its own connection and return the answer."""
        reader, writer = await self.connect()
        writer.write(request_bytes(target, headers=LONG))
        try:
            return await read_answer(reader)
        finally:
            writer.close()


class Case(unittest.TestCase):
    def play(self, scenario: Callable[[Process], Awaitable[None]], planner: Planner | None = None) -> None:
        """Run a scenario while the process serves."""

        async def run_scenario() -> None:
            with tempfile.TemporaryDirectory() as folder:
                process = Process(folder, planner)
                task = asyncio.ensure_future(process.run())
                try:
                    await asyncio.sleep(0.1)
                    await scenario(process)
                finally:
                    process.context.stopping.set()
                    await task
                    for instance in process.instances:
                        await instance.stop()

        play(run_scenario())


class Platform:
    """Checks readiness once a second; `out_at` is when two checks in a row have failed."""

    def __init__(self, process: Process, offset_s: float) -> None:
        self._process, self._offset_s = process, offset_s
        self.out_at: float | None = None
        self.back_at: float | None = None  # when it was ready again after that

    async def run(self) -> None:
        await asyncio.sleep(self._offset_s)
        failed_checks = 0
        while self._process.ended_at is None:
            failed_checks = 0 if await self._process.ready() else failed_checks + 1
            if failed_checks == FAILED_CHECKS:
                self.out_at = now()
            if not failed_checks and self.out_at is not None:
                self.back_at = now()
            await asyncio.sleep(CHECK_PERIOD_S)


class Readiness(Case):
    def test_two_checks_in_a_row_fail_and_clients_are_served_until_then(self) -> None:
        for offset_s in (0.0, 0.3, 0.6, 0.95):

            async def scenario(process: Process, offset_s: float = offset_s) -> None:
                await process.add(Timed("i-1"))
                platform = Platform(process, offset_s)
                asking = asyncio.ensure_future(platform.run())
                await asyncio.sleep(3.0)
                self.assertIsNone(platform.out_at)
                stopped_at = process.signal_stop()
                while platform.out_at is None:
                    answer = await process.ask("/unsafe/")
                    self.assertEqual((answer.status, answer.complete), (200, True))
                    await asyncio.sleep(0.05)
                self.assertLess(platform.out_at - stopped_at, OUT_WITHIN_S)
                await asking
                self.assertIsNone(platform.back_at)

            self.play(scenario)


class Stopping(Case):
    def test_accepted_requests_are_answered_within_the_grace_period(self) -> None:
        async def scenario(process: Process) -> None:
            await process.add(Timed("i-1", service_time_s=4.0))
            await process.add(Timed("d-1", "decode", service_time_s=5.0))
            asked = [asyncio.ensure_future(process.ask(target)) for target in ("/unsafe/", "/stream/")]
            await asyncio.sleep(0.1)
            stopped_at = process.signal_stop()
            await asyncio.sleep(2.0)
            asked.append(asyncio.ensure_future(process.ask("/unsafe/")))  # the platform may still send it
            bodies = [answer.body for answer in await asyncio.gather(*asked)]
            self.assertEqual(bodies, [b"answer", events(), b"answer"])
            while process.ended_at is None:
                await asyncio.sleep(0.05)
            self.assertLess(process.ended_at - stopped_at, GRACE_S)

        self.play(scenario)

    def test_it_ends_within_the_grace_period_despite_pending_requests(self) -> None:
        async def scenario(process: Process) -> None:
            await process.add(Timed("i-1", service_time_s=100.0))
            asked = asyncio.ensure_future(process.ask("/unsafe/"))
            await asyncio.sleep(0.1)
            stopped_at = process.signal_stop()
            await asyncio.sleep(GRACE_S)
            assert process.ended_at is not None
            self.assertGreater(process.ended_at - stopped_at, GRACE_S - 1.0)  # it used nearly all of it
            await asyncio.gather(asked, return_exceptions=True)

        self.play(scenario)

    def test_the_exit_comes_in_time_where_the_stop_signal_was_noticed_late(self) -> None:
        """The exit may cut only in the last sixth of the grace period, and then the process has to end."""

        async def scenario(process: Process) -> None:
            await process.add(EndlessAnswers("d-1", "decode"))
            asked = asyncio.ensure_future(process.ask("/stream/"))
            await asyncio.sleep(0.1)
            sent_at = now()
            await asyncio.sleep(NOTICED_AFTER_S)
            process.signal_stop()
            while process.ended_at is None:
                await asyncio.sleep(0.01)
            self.assertLessEqual(process.ended_at - sent_at, GRACE_S - PROCESS_END_S)
            self.assertGreater(process.ended_at - sent_at - NOTICED_AFTER_S, GRACE_S * 5 / 6)
            asked.cancel()

        self.play(scenario)

    def test_a_request_without_a_byte_of_its_answer_at_the_exit_gets_a_failure(self) -> None:
        for start_in_s, status in ((20.0, 503), (0.0, 504)):

            async def scenario(
                process: Process, start_in_s: float = start_in_s, status: int = status
            ) -> None:
                instances = [
                    await process.add(Timed("i-1", service_time_s=100.0)),
                    await process.add(Timed("d-1", "decode", service_time_s=100.0)),
                ]
                asked = [asyncio.ensure_future(process.ask(target)) for target in ("/unsafe/", "/stream/")]
                await asyncio.sleep(0.1)
                process.signal_stop()
                answers = await asyncio.gather(*asked)
                self.assertIsNone(process.ended_at)
                self.assertEqual([(one.status, one.complete) for one in answers], [(status, True)] * 2)
                arrivals = 0 if start_in_s else 1
                self.assertEqual([len(one.arrivals) for one in instances], [arrivals] * 2)

            self.play(scenario, DelayedStart(start_in_s))

    def test_kept_connections_are_told_to_close_and_lose_nothing(self) -> None:
        """Each client sends requests until it gets `Connection: close` or its connection ends."""

        async def scenario(process: Process) -> None:
            instance = await process.add(Timed("i-1", service_time_s=0.03))
            clients = [
                asyncio.ensure_future(self.keep_asking(process, 0.011 * number)) for number in range(9)
            ]
            await asyncio.sleep(1.0)
            process.signal_stop()
            counts = await asyncio.gather(*clients)
            self.assertEqual(len(instance.arrivals), sum(answered for answered, _ in counts))
            self.assertGreater(sum(close_announced for _, close_announced in counts), 0)

        self.play(scenario)

    async def keep_asking(self, process: Process, pause_s: float) -> tuple[int, bool]:
        """Return the number of answers and whether the last one had `Connection: close`."""
        reader, writer = await process.connect()
        answered = 0
        while True:
            await asyncio.sleep(pause_s)
            writer.write(request_bytes("/unsafe/", headers=LONG))
            try:
                answer = await read_answer(reader)
            except asyncio.IncompleteReadError as error:
                self.assertEqual(error.partial, b"")  # an orderly close instead of an answer
                return answered, False
            self.assertEqual((answer.status, answer.complete), (200, True))
            answered += 1
            if answer.headers.get("connection") == "close":
                return answered, True

    def test_idle_connections_find_an_orderly_end(self) -> None:
        async def scenario(process: Process) -> None:
            await process.add(Timed("i-1"))
            idle = [await process.connect() for _ in range(3)]
            for reader, writer in idle[:2]:
                writer.write(request_bytes("/unsafe/", headers=LONG))
                await read_answer(reader)
            process.signal_stop()
            for reader, _ in idle:
                self.assertEqual(await reader.read(), b"")

        self.play(scenario)


class BehindAStream(Case):
    """Requests on a kept connection whose stream goes on while the gateway stops."""

    @staticmethod
    async def open_stream(process: Process) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        reader, writer = await process.connect()
        writer.write(request_bytes("/stream/", headers=LONG))
        return reader, writer

    def test_a_request_read_behind_a_stream_that_outlasts_the_linger_time_is_not_dropped(self) -> None:
        async def scenario(process: Process) -> None:
            instance = await process.add(Timed("i-1"))
            await process.add(TimedStream("d-1", "decode", service_time_s=0.5, lasts_s=3.0))
            process.signal_stop()
            await asyncio.sleep(DRAINS_AFTER_S - 0.1)
            reader, writer = await self.open_stream(process)
            writer.write(request_bytes("/unsafe/", headers=LONG) * 2)
            answer = await read_answer(reader)
            self.assertEqual((answer.status, answer.complete), (200, True))
            self.assertEqual(answer.headers.get("connection"), "close")
            (connection,) = process.plane.front_server.connections
            self.assertEqual(connection.pending, 0)
            self.assertTrue(connection.channel.peek())  # both are unread, and may be sent elsewhere
            self.assertEqual(await reader.read(), b"")
            self.assertEqual(process.plane.front_server.dropped_requests, 0)
            self.assertEqual(instance.arrivals, [])

        self.play(scenario)

    def test_a_request_taken_late_on_a_kept_connection_is_not_passed_on_to_be_cut_by_the_exit(self) -> None:
        for deadline_ms, status, arrivals in (("60000", 503, 0), ("3000", 200, 1)):

            async def scenario(
                process: Process,
                deadline_ms: str = deadline_ms,
                status: int = status,
                arrivals: int = arrivals,
            ) -> None:
                instance = await process.add(Timed("i-1", service_time_s=0.5 if arrivals else 10.0))
                await process.add(TimedStream("d-1", "decode", lasts_s=6.0))
                reader, writer = await self.open_stream(process)
                await asyncio.sleep(1.0)
                process.signal_stop()
                await asyncio.sleep(4.0)
                writer.write(request_bytes("/unsafe/", headers={"Deadline-Ms": deadline_ms}))
                self.assertTrue((await read_answer(reader)).complete)
                answer = await read_answer(reader)
                self.assertEqual((answer.status, answer.complete), (status, True))
                self.assertEqual(answer.headers.get("connection"), "close")
                self.assertEqual(len(instance.arrivals), arrivals)

            self.play(scenario)

    def test_a_request_sent_late_is_not_taken_to_be_cut_where_the_stop_signal_was_noticed_late(self) -> None:
        async def scenario(process: Process) -> None:
            instance = await process.add(Timed("i-1", service_time_s=10.0))
            await process.add(TimedStream("d-1", "decode", lasts_s=LATE_S + 0.2))
            reader, writer = await self.open_stream(process)
            await asyncio.sleep(NOTICED_AFTER_S)
            process.signal_stop()
            await asyncio.sleep(LATE_S + 0.1 - NOTICED_AFTER_S)
            writer.write(request_bytes("/unsafe/", headers=LONG))
            self.assertTrue((await read_answer(reader)).complete)
            self.assertEqual((await read_answer(reader)).status, 503)
            self.assertEqual(instance.arrivals, [])

        self.play(scenario)

    def test_a_request_sent_behind_a_stream_that_the_exit_cuts_is_never_read(self) -> None:
        for sent_after_s in (-0.5, 1.0, 4.0):

            async def scenario(process: Process, sent_after_s: float = sent_after_s) -> None:
                instance = await process.add(Timed("i-1"))
                await process.add(EndlessAnswers("d-1", "decode"))
                _, writer = await self.open_stream(process)
                asyncio.get_running_loop().call_later(
                    1.0 + sent_after_s, writer.write, request_bytes("/unsafe/", headers=LONG)
                )
                await asyncio.sleep(1.0)
                process.signal_stop()
                await asyncio.sleep(GRACE_S - 1.0)
                (connection,) = process.plane.front_server.connections
                self.assertTrue(connection.channel.peek())
                self.assertEqual(connection.pending, 1)  # the stream
                while process.ended_at is None:
                    await asyncio.sleep(0.05)
                self.assertEqual(instance.arrivals, [])

            self.play(scenario)


class Hangup(Case):
    def test_new_settings_end_no_request_and_no_connection(self) -> None:
        async def scenario(process: Process) -> None:
            await process.add(Timed("i-1", service_time_s=1.0))
            await process.add(Timed("d-1", "decode", service_time_s=1.0))
            kept = await process.connect()
            asked = [asyncio.ensure_future(process.ask(target)) for target in ("/unsafe/", "/stream/")]
            kept[1].write(request_bytes("/unsafe/", headers=LONG))
            await asyncio.sleep(0.5)
            process.write(GRACE_S + 1)
            process.context.reload()
            self.assertEqual(process.context.settings.bounds.grace_s, GRACE_S + 1)
            self.assertTrue(await process.ready())
            answer = await read_answer(kept[0])
            self.assertEqual((answer.status, "connection" in answer.headers), (200, False))
            kept[1].write(request_bytes("/unsafe/", headers=LONG))
            self.assertEqual((await read_answer(kept[0])).status, 200)
            self.assertEqual([(await one).body for one in asked], [b"answer", events()])

        self.play(scenario)


class NewConfiguration(Case):
    def test_accepted_requests_are_answered_by_their_service(self) -> None:
        async def scenario(process: Process) -> None:
            await process.add(Timed("i-1", service_time_s=1.0))
            await process.add(Timed("d-1", "decode", service_time_s=1.0))
            asked = [asyncio.ensure_future(process.ask(target)) for target in ("/unsafe/", "/stream/")]
            await asyncio.sleep(0.5)
            process.plane.gateway.set_configuration(WITHOUT_ROUTES, now())
            self.assertEqual((await process.ask("/unsafe/")).status, 404)
            self.assertEqual([(await one).body for one in asked], [b"answer", events()])

        self.play(scenario)


if __name__ == "__main__":
    unittest.main()
