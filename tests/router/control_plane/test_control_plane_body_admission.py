"""Large configurations: one at a time for each member, beside the event loop, at no small call's cost."""

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
    LARGE_BODY,
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
LOAD_S = 60  # the load's bound; it ends long before, once so many changes were taken:
MAX_ACCEPTED = 4
MEMORY_MIB = 296  # of a machine of the core


def large(revision: int, size: int = MAX_BODY_BYTES - 4096) -> bytes:
    """A valid configuration with a note of so many bytes."""
    return json.dumps(configuration(revision) | {"note": "n" * size}).encode()


def call(path: str, body: bytes, chunked: bool = False) -> bytes:
    """A whole PUT as it goes over a connection."""
    length = "transfer-encoding: chunked" if chunked else f"content-length: {len(body)}"
    head = f"PUT {path} HTTP/1.1\r\nhost: m\r\nif-match: 1\r\n{length}\r\n\r\n".encode()
    return head + (b"%x\r\n%b\r\n0\r\n\r\n" % (len(body), body) if chunked else body)


class PausedJobs:
    """Work that goes on only when it is told to."""

    def __init__(self) -> None:
        self.begun, self.go_on = asyncio.Event(), asyncio.Event()

    async def __call__(self, job: Callable[[], object]) -> object:
        self.begun.set()
        await self.go_on.wait()
        return job()


class Log:
    """In the place of the replicated log: every command is applied; it notes what came."""

    def __init__(self) -> None:
        self.commands: list[Command] = []

    async def submit(self, command: Command, since: float) -> CommandOutcome:
        self.commands.append(command)
        return CommandOutcome(DONE, 7)


class Heartbeats:
    """In the place of the instances."""

    async def heartbeat(self, instance: object, since: float) -> None:
        pass


def api_of(parser: ConfigurationParser, log: Log, run_job: JobRunner = run_in_thread) -> ControlApi:
    """A control API in touch with its group."""
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
    """What the connections of one server hold together."""

    def setUp(self) -> None:
        self.budget = BodyBudget(MAX_SMALL_BODIES_BYTES, LARGE_BODY)

    def fed(self, data: bytes) -> Framer:
        framer = Framer(answers=False, max_body=MAX_BODY_BYTES, budget=self.budget)
        framer.feed(memoryview(data))
        return framer

    def test_a_second_large_body_is_refused_at_its_head(self) -> None:
        request = call(CONFIG, large(2))
        head = request[: request.index(b"\r\n\r\n") + 4]
        first, second = self.fed(head), self.fed(head)
        self.assertIsNone(first.error)
        self.assertEqual((second.error.status, str(second.error)), (503, ANOTHER_LARGE_BODY))
        second.release()
        self.assertIsNotNone(self.fed(head).error, "the refused one gave the first one's place away")
        first.release()
        self.assertIsNone(self.fed(head).error)

    def test_one_without_a_stated_length_is_refused_once_it_is_large(self) -> None:
        first, second = (self.fed(call(CONFIG, large(2), chunked=True)) for _ in range(2))
        self.assertEqual(len(first.ready), 1)
        self.assertEqual(str(second.error), ANOTHER_LARGE_BODY)
        self.assertLessEqual(len(second.incoming.body), MAX_BODY_BYTES)

    def test_a_second_one_on_the_same_connection_is_refused(self) -> None:
        framer = self.fed(call(CONFIG, large(2)) * 2)
        self.assertEqual((len(framer.ready), str(framer.error)), (1, ANOTHER_LARGE_BODY))

    def test_small_bodies_have_the_common_bound_for_themselves(self) -> None:
        self.fed(call(CONFIG, large(2)))
        self.assertEqual(self.budget.used, 0)
        small = call(INSTANCE, b"x" * LARGE_BODY)
        paused = [self.fed(small) for _ in range(MAX_SMALL_BODIES_BYTES // LARGE_BODY)]
        self.assertTrue(all(framer.error is None for framer in paused))
        self.assertEqual(str(self.fed(small).error), TOO_MANY_BODIES)

    def test_the_control_api_has_one_slot(self) -> None:
        api = api_of(ConfigurationParser(), Log())
        budget = api.budget
        assert budget is not None
        self.budget = budget
        faults = [self.fed(call(CONFIG, large(2))).error for _ in range(2)]
        self.assertIsNone(faults[0])
        self.assertEqual(str(faults[1]), ANOTHER_LARGE_BODY)


class OverLoopback(unittest.IsolatedAsyncioTestCase):
    """The control API behind its server."""

    async def asyncSetUp(self) -> None:
        self.work, self.log = PausedJobs(), Log()
        api = api_of(ConfigurationParser(), self.log, self.work)
        self.server = Server(("127.0.0.1", 0), api, 64, shared=False)
        self.server.start()
        self.addAsyncCleanup(self.server.drain)

    async def put(self, path: str, body: bytes) -> tuple[Answer, bytes]:
        """One call on its own connection, whose body is sent before anything is read: answer and head."""
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

    async def test_a_second_one_is_refused_while_small_calls_are_answered(self) -> None:
        first = asyncio.create_task(self.put(CONFIG, large(2)))
        await self.work.begun.wait()
        refused, head = await self.put(CONFIG, large(3))
        self.assertEqual((refused.status, refused.json()["error"]["code"]), (503, "CONTROL_LARGE_BODY"))
        self.assertIn(b"retry-after: ", head)
        self.assertEqual(refused.json()["members"], ["127.0.0.1:1"])
        for path, body in ((INSTANCE, heartbeat(1)), (CONFIG, json.dumps(configuration(4)).encode())):
            self.assertEqual((await self.put(path, body))[0].status, 200)
        self.assertFalse(first.done())
        self.work.go_on.set()
        self.assertEqual((await first)[0].json(), {"revision": 2})
        self.assertEqual((await self.put(CONFIG, large(5)))[0].status, 200)
        self.assertEqual([command.put_configuration.revision for command in self.log.commands], [4, 2, 5])


class OneAtATime(unittest.IsolatedAsyncioTestCase):
    async def test_a_cancelled_caller_keeps_the_slot_until_its_job_ends(self) -> None:
        work = PausedJobs()
        bodies = LargeBodyAdmission(ConfigurationParser(), work)
        left = asyncio.create_task(bodies.command(bytearray(large(2)), 1))
        await work.begun.wait()
        left.cancel()
        await asyncio.gather(left, return_exceptions=True)
        with self.assertRaises(LargeBodyError):
            async with asyncio.timeout(WAIT_TIMEOUT_S):
                await bodies.command(bytearray(large(3)), 1)
        work.go_on.set()
        for _ in range(5):
            await asyncio.sleep(0)
        self.assertEqual((await bodies.command(bytearray(large(3)), 1)).revision, 3)

    async def test_an_invalid_body_frees_the_slot(self) -> None:
        bodies = LargeBodyAdmission(ConfigurationParser(), run_inline)
        with self.assertRaises(ConfigurationError):
            await bodies.command(bytearray(b"{" + large(2)), 1)
        self.assertEqual((await bodies.command(bytearray(large(2)), 1)).revision, 2)

    async def test_the_body_is_let_go_and_the_parser_knows_it(self) -> None:
        parser = ConfigurationParser()
        body = bytearray(large(2))
        command = await LargeBodyAdmission(parser, run_inline).command(body, 1)
        self.assertEqual(len(body), 0)
        self.assertEqual(parser.recall(command.digest).configuration.revision, 2)

    async def test_jobs_run_beside_the_event_loop(self) -> None:
        here = threading.get_ident()
        self.assertNotEqual(await run_in_thread(threading.get_ident), here)
        self.assertEqual(await run_inline(threading.get_ident), here)

    async def test_a_member_runs_it_in_a_thread(self) -> None:
        threads: list[int] = []

        class Noted(ConfigurationParser):
            def fork(self) -> ConfigurationParser:
                return Noted()

            def parse(self, body: bytes) -> object:
                threads.append(threading.get_ident())
                return super().parse(body)

        gate = ResponseGate(lambda: 1.0, lambda: 0.0, lambda: False)
        parser = Noted()
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
    def test_a_fork_knows_what_was_known_and_changes_nothing_until_it_is_adopted(self) -> None:
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
        ended = subprocess.run(script, env=environment, capture_output=True, check=False, text=True)
        self.assertEqual(ended.returncode, 0, ended.stderr)
        seen = json.loads(ended.stdout.splitlines()[-1])
        self.assertGreaterEqual(seen["taken"], MAX_ACCEPTED, seen)
        self.assertLess(max(seen["peak_mib"]), MEMORY_MIB, seen)


if __name__ == "__main__":
    unittest.main()
