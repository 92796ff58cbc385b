"""Large configurations: one at a time per member, outside the event loop, without delaying small calls."""

from __future__ import annotations

import asyncio
import json
import os
import subprocess
import sys
import threading
import unittest
from collections.abc import Awaitable, Callable
from types import SimpleNamespace
from typing import cast

from control_plane_rig import WAIT_TIMEOUT_S, Answer, configuration, heartbeat
from project_paths import ROOT, SUPPORT

from mallowbeam.http.budget import ANOTHER_LARGE_BODY, TOO_MANY_BODIES, BodyBudget
from mallowbeam.http.framing import Framer
from mallowbeam.http.server import Server
from mallowbeam.router.configuration.errors import ConfigurationError
from mallowbeam.router.configuration.parsing import ConfigurationParser
from mallowbeam.router.configuration.versions import ConfigurationVersions
from mallowbeam.router.control_plane.api import (
    MAX_BODY_BYTES,
    MAX_SMALL_BODIES_BYTES,
    ApiServices,
    ControlApi,
)
from mallowbeam.router.control_plane.api_errors import LargeBodyError
from mallowbeam.router.control_plane.body_admission import (
    LARGE_BODY_BYTES,
    JobRunner,
    LargeBodyAdmission,
    run_in_thread,
    run_inline,
)
from mallowbeam.router.control_plane.command_forwarder import CommandForwarder
from mallowbeam.router.control_plane.instance_service import InstanceService
from mallowbeam.router.control_plane.response_gate import ResponseGate
from mallowbeam.router.control_plane.state_machine import CommandOutcome
from mallowbeam.router.control_plane.status_page import StatusPage
from mallowbeam.router.rpc.messages_pb2 import DONE, Command

CONFIG, INSTANCE = "/mallowbeam/config", "/mallowbeam/instances/i-1"
CALLERS, MEMBERS = 8, 3
LOAD_S = 60  # limit of the load, which ends long before, after `MAX_ACCEPTED` changes
MAX_ACCEPTED = 4
MEMORY_MIB = 296  # memory of a core machine


def large(revision: int, size: int = MAX_BODY_BYTES - 4096) -> bytes:
    """Return a valid configuration with a note of `size` bytes."""
    return json.dumps(configuration(revision) | {"note": "n" * size}).encode()


def call(path: str, body: bytes, chunked: bool = False) -> bytes:
    """Return the bytes of a complete PUT request."""
    length = "transfer-encoding: chunked" if chunked else f"content-length: {len(body)}"
    head = f"PUT {path} HTTP/1.1\r\nhost: m\r\nif-match: 1\r\n{length}\r\n\r\n".encode()
    return head + (b"%x\r\n%b\r\n0\r\n\r\n" % (len(body), body) if chunked else body)


class PausedJobs:
    """Runs jobs only once `resume` is set."""

    def __init__(self) -> None:
        self.started, self.resume = asyncio.Event(), asyncio.Event()

    async def __call__(self, job: Callable[[], object]) -> object:
        self.started.set()
        await self.resume.wait()
        return job()


class Log:
    """Stands in for the replicated log; records commands and reports each as applied."""

    def __init__(self) -> None:
        self.commands: list[Command] = []

    async def submit(self, command: Command, since: float) -> CommandOutcome:
        self.commands.append(command)
        return CommandOutcome(DONE, 7)


class Heartbeats:
    """Stands in for the instance service."""

    async def heartbeat(self, instance: object, since: float) -> None:
        pass


def api_of(parser: ConfigurationParser, log: Log, run_job: JobRunner = run_in_thread) -> ControlApi:
    """Return a control API whose member is in contact with its group."""
    gate = ResponseGate(lambda: 1.0, lambda: 0.0, lambda: False)
    status = SimpleNamespace(other_controls=lambda: ["127.0.0.1:1"])
    return ControlApi(
        ApiServices(
            ConfigurationVersions(parser),
            cast(CommandForwarder, log),
            cast(InstanceService, Heartbeats()),
            cast(StatusPage, status),
            gate,
        ),
        parser,
        run_job,
    )


class Framing(unittest.TestCase):
    """Limits over all connections of one server."""

    def setUp(self) -> None:
        self.budget = BodyBudget(MAX_SMALL_BODIES_BYTES, LARGE_BODY_BYTES)

    def feed(self, data: bytes) -> Framer:
        framer = Framer(answers=False, max_body=MAX_BODY_BYTES, budget=self.budget)
        framer.feed(memoryview(data))
        return framer

    def test_a_second_large_body_is_refused_at_its_head(self) -> None:
        request = call(CONFIG, large(2))
        head = request[: request.index(b"\r\n\r\n") + 4]
        first, second = self.feed(head), self.feed(head)
        self.assertIsNone(first.error)
        self.assertEqual((second.error.status, str(second.error)), (503, ANOTHER_LARGE_BODY))
        second.release()
        self.assertIsNotNone(self.feed(head).error, "the rejected body released the first one's slot")
        first.release()
        self.assertIsNone(self.feed(head).error)

    def test_a_chunked_body_is_rejected_once_it_is_large(self) -> None:
        first, second = (self.feed(call(CONFIG, large(2), chunked=True)) for _ in range(2))
        self.assertEqual(len(first.ready), 1)
        self.assertEqual(str(second.error), ANOTHER_LARGE_BODY)
        self.assertLessEqual(len(second.incoming.body), MAX_BODY_BYTES)

    def test_a_second_large_body_on_the_same_connection_is_rejected(self) -> None:
        framer = self.feed(call(CONFIG, large(2)) * 2)
        self.assertEqual((len(framer.ready), str(framer.error)), (1, ANOTHER_LARGE_BODY))

    def test_large_bodies_do_not_use_the_budget_of_small_ones(self) -> None:
        self.feed(call(CONFIG, large(2)))
        self.assertEqual(self.budget.used, 0)
        small = call(INSTANCE, b"x" * LARGE_BODY_BYTES)
        paused = [self.feed(small) for _ in range(MAX_SMALL_BODIES_BYTES // LARGE_BODY_BYTES)]
        self.assertTrue(all(framer.error is None for framer in paused))
        self.assertEqual(str(self.feed(small).error), TOO_MANY_BODIES)

    def test_the_control_api_has_one_slot(self) -> None:
        api = api_of(ConfigurationParser(), Log())
        budget = api.budget
        assert budget is not None
        self.budget = budget
        errors = [self.feed(call(CONFIG, large(2))).error for _ in range(2)]
        self.assertIsNone(errors[0])
        self.assertEqual(str(errors[1]), ANOTHER_LARGE_BODY)


class OverLoopback(unittest.IsolatedAsyncioTestCase):
    """The control API with its HTTP server."""

    async def asyncSetUp(self) -> None:
        self.work, self.log = PausedJobs(), Log()
        api = api_of(ConfigurationParser(), self.log, self.work)
        self.server = Server(("127.0.0.1", 0), api, 64, shared=False)
        self.server.start()
        self.addAsyncCleanup(self.server.drain)

    async def put(self, path: str, body: bytes) -> tuple[Answer, bytes]:
        """Send one call with all of its body on its own connection, then read; return the answer and head."""
        async with asyncio.timeout(WAIT_TIMEOUT_S):
            return await self._put(path, body)

    async def _put(self, path: str, body: bytes) -> tuple[Answer, bytes]:
        reader, writer = await asyncio.open_connection(*self.server.address)
        try:
            writer.write(call(path, body))
            await writer.drain()
            head = await reader.readuntil(b"\r\n\r\n")
            length = int(head.lower().partition(b"content-length: ")[2].partition(b"\r\n")[0])
            return Answer(int(head.split()[1]), await reader.readexactly(length)), head.lower()
        finally:
            writer.close()

    async def test_a_second_large_body_is_rejected_while_small_calls_are_served(self) -> None:
        first = asyncio.create_task(self.put(CONFIG, large(2)))
        await self.work.started.wait()
        rejected, head = await self.put(CONFIG, large(3))
        self.assertEqual((rejected.status, rejected.json()["error"]["code"]), (503, "CONTROL_LARGE_BODY"))
        self.assertIn(b"retry-after: ", head)
        self.assertEqual(rejected.json()["members"], ["127.0.0.1:1"])
        for path, body in ((INSTANCE, heartbeat(1)), (CONFIG, json.dumps(configuration(4)).encode())):
            self.assertEqual((await self.put(path, body))[0].status, 200)
        self.assertFalse(first.done())
        self.work.resume.set()
        self.assertEqual((await first)[0].json(), {"revision": 2})
        self.assertEqual((await self.put(CONFIG, large(5)))[0].status, 200)
        self.assertEqual([command.put_configuration.revision for command in self.log.commands], [4, 2, 5])


class OneAtATime(unittest.IsolatedAsyncioTestCase):
    async def test_a_cancelled_caller_keeps_the_slot_until_its_job_ends(self) -> None:
        work = PausedJobs()
        bodies = LargeBodyAdmission(ConfigurationParser(), work)
        cancelled = asyncio.create_task(bodies.command(bytearray(large(2)), 1))
        await work.started.wait()
        cancelled.cancel()
        await asyncio.gather(cancelled, return_exceptions=True)
        with self.assertRaises(LargeBodyError):
            async with asyncio.timeout(WAIT_TIMEOUT_S):
                await bodies.command(bytearray(large(3)), 1)
        work.resume.set()
        for _ in range(5):
            await asyncio.sleep(0)
        self.assertEqual((await bodies.command(bytearray(large(3)), 1)).revision, 3)

    async def test_an_invalid_body_frees_the_slot(self) -> None:
        bodies = LargeBodyAdmission(ConfigurationParser(), run_inline)
        with self.assertRaises(ConfigurationError):
            await bodies.command(bytearray(b"{" + large(2)), 1)
        self.assertEqual((await bodies.command(bytearray(large(2)), 1)).revision, 2)

    async def test_the_body_is_released_and_the_parser_adopts_the_result(self) -> None:
        parser = ConfigurationParser()
        body = bytearray(large(2))
        command = await LargeBodyAdmission(parser, run_inline).command(body, 1)
        self.assertEqual(len(body), 0)
        self.assertEqual(parser.recall(command.digest).configuration.revision, 2)

    async def test_run_in_thread_runs_jobs_outside_the_event_loop(self) -> None:
        loop_thread = threading.get_ident()
        self.assertNotEqual(await run_in_thread(threading.get_ident), loop_thread)
        self.assertEqual(await run_inline(threading.get_ident), loop_thread)

    async def test_a_member_parses_a_large_body_in_a_thread(self) -> None:
        threads: list[int] = []

        class RecordingParser(ConfigurationParser):
            def fork(self) -> ConfigurationParser:
                return RecordingParser()

            def parse(self, body: bytes) -> object:
                threads.append(threading.get_ident())
                return super().parse(body)

        gate = ResponseGate(lambda: 1.0, lambda: 0.0, lambda: False)
        parser = RecordingParser()
        status = SimpleNamespace(other_controls=lambda: [])
        api = ControlApi(
            ApiServices(
                ConfigurationVersions(parser),
                cast(CommandForwarder, Log()),
                cast(InstanceService, None),
                cast(StatusPage, status),
                gate,
            ),
            parser,
        )
        framer = Framer(answers=False, max_body=MAX_BODY_BYTES)
        framer.feed(memoryview(call(CONFIG, large(2))))
        answer: Awaitable = api.handle(framer.ready.popleft(), lambda: False)
        self.assertEqual((await answer).status, 200)
        self.assertEqual(len(threads), 1)
        self.assertNotIn(threading.get_ident(), threads)


class Forks(unittest.TestCase):
    def test_a_fork_changes_its_parser_only_once_it_is_adopted(self) -> None:
        parser = ConfigurationParser()
        first = parser.parse(json.dumps(configuration(1)).encode())
        forked = parser.fork()
        self.assertIs(forked.recall(first.digest), first)
        second = forked.parse(json.dumps(configuration(2)).encode())
        self.assertIs(second.configuration.routes and forked.recall(second.digest), second)
        self.assertIs(parser.recall(first.digest), first)
        parser.adopt(forked)
        self.assertIs(parser.recall(second.digest), second)


class RealMembers(unittest.TestCase):
    def test_changes_are_accepted_and_memory_is_bounded_with_eight_callers(self) -> None:
        path = os.pathsep.join((str(ROOT), str(SUPPORT)))
        environment = {**os.environ, "PYTHONPATH": path, "PYTHONDONTWRITEBYTECODE": "1"}
        script = [
            sys.executable,
            str(SUPPORT / "large_bodies_load.py"),
            str(MEMBERS),
            str(CALLERS),
            str(LOAD_S),
            str(MAX_ACCEPTED),
        ]
        completed = subprocess.run(script, env=environment, capture_output=True, check=False, text=True)
        self.assertEqual(completed.returncode, 0, completed.stderr)
        report = json.loads(completed.stdout.splitlines()[-1])
        self.assertGreaterEqual(report["taken"], MAX_ACCEPTED, report)
        self.assertLess(max(report["peak_mib"]), MEMORY_MIB, report)


if __name__ == "__main__":
    unittest.main()
