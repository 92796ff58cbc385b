"""Early, late, duplicate and malformed answers reach the right client or none; stand-ins on loopback."""

from __future__ import annotations

import asyncio
import socket
import unittest
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from unittest.mock import patch

import uvloop
from failing_instances import ByName, add
from gateway_bench import ENGINE, Bench, events, read_answer, request_bytes
from virtual_time import play

from mallowbeam.http.client import ConnectionBrokenError, Link, RequestNotSentError, connect
from mallowbeam.http.framing import Message
from mallowbeam.router.data_plane import link_pool
from mallowbeam.router.data_plane.link_pool import LinkPool
from mallowbeam.router.data_plane.outcomes import AttemptEnd, judge_answer
from mallowbeam.router.data_plane.prefill import Handle, HandleRelease
from mallowbeam.router.streams.progress import StreamProgress
from mallowbeam.standins.model_server import Fault, ModelServer, ReceivedRequest

ID = b"9c41d07be2a35f68"
HEAD = b"POST / HTTP/1.1\r\ncontent-length: %d\r\n\r\n"
LARGE_BYTES = 2 * 1024 * 1024  # bytes: more than the small buffers below hold
SCENARIO_TIMEOUT_S = 10.0
SMALL_BUFFER_BYTES = 8 * 1024
EARLY = b"HTTP/1.1 503 Full\r\nNot-Executed: 1\r\nContent-Length: 2\r\n\r\nno"
GOOD = b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ngood"
NO_LENGTH = b"HTTP/1.1 200 OK\r\n\r\npart"


@dataclass
class EventStreamType(ModelServer):
    """Answers with a given status and the content type of event streams."""

    status: int = 500

    async def _answer(
        self, seen: ReceivedRequest, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> bool:
        self.seen.append(seen)
        return self._respond(
            writer,
            seen,
            self.status,
            b"" if seen.method == "HEAD" else b"it failed",
            f"Content-Type: text/event-stream\r\n{self._stamp}",
        )


@dataclass
class LateHandles(ModelServer):
    """A prefill instance that repeats the previous answer before the next one."""

    before: ReceivedRequest | None = None

    def _prefill(self, seen: ReceivedRequest, writer: asyncio.StreamWriter) -> bool:
        before, self.before = self.before, seen
        if before is not None:
            super()._prefill(before, writer)
        return super()._prefill(seen, writer)


class ClientAnswers(unittest.TestCase):
    """Answers to clients through the complete gateway."""

    def test_failure_with_event_stream_type_is_forwarded_completely(self) -> None:
        async def scenario() -> None:
            async with Bench(planner=ByName()) as bench:
                await add(bench, EventStreamType("i-1", "decode"), ENGINE)
                answer = await bench.ask("/stream/")
                self.assertEqual((answer.status, answer.complete, answer.body), (500, True, b"it failed"))

        play(scenario())

    def test_the_answer_to_head_has_no_body_whatever_its_type(self) -> None:
        async def scenario() -> None:
            async with Bench(planner=ByName()) as bench:
                await add(bench, EventStreamType("i-1", "decode", status=200), ENGINE)
                reader, writer = await bench.client()
                writer.write(request_bytes("/stream/", "HEAD", b""))
                head = await reader.readuntil(b"\r\n\r\n")
                self.assertIn(b" 200 ", head)
                writer.write(request_bytes("/nowhere/"))
                self.assertIn(b" 404 ", (await reader.readuntil(b"\r\n\r\n")))

        play(scenario())

    def test_answer_after_a_late_one_reaches_its_caller(self) -> None:
        @dataclass
        class Late(ModelServer):
            async def _answer(
                self, seen: ReceivedRequest, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
            ) -> bool:
                if before := writer.__dict__.get("before"):
                    self._respond(writer, before, 200, b"late", self._stamp)
                writer.__dict__["before"] = seen
                return await super()._answer(seen, reader, writer)

        async def scenario() -> None:
            async with Bench(planner=ByName()) as bench:
                one = await add(bench, Late("i-1"))
                reader, writer = await bench.client()
                for number in range(3):
                    writer.write(request_bytes("/unsafe/", headers={"Request-Id": f"r-{number}"}))
                    answer = await read_answer(reader)
                    self.assertEqual((answer.status, answer.body), (200, b"answer"), number)
                    self.assertEqual(answer.headers["request-id"], f"r-{number}")
                    await asyncio.sleep(0.1)
                # The first two share a connection, which is not reused after the late answer.
                self.assertEqual((len(one.seen), one.connections), (3, 2))

        play(scenario())

    def test_a_late_prefill_answer_gives_its_handle_to_nobody_else(self) -> None:
        async def scenario() -> None:
            async with Bench(planner=ByName("p-1")) as bench:
                prefill = await add(bench, LateHandles("p-1", "prefill"), ENGINE)
                decode = await add(bench, ModelServer("d-1", "decode"), ENGINE)
                for number in range(3):
                    id = f"{number}" * 8
                    answer = await bench.ask("/stream/", headers={"Request-Id": id})
                    self.assertEqual((answer.status, answer.body), (200, events()))
                    handle = decode.seen[-1].headers.get("kv-from", id)
                    self.assertTrue(handle.endswith(id), (handle, id))
                    await asyncio.sleep(0.1)
                self.assertGreaterEqual(len(prefill.seen), 2)

        play(scenario())

    def test_a_request_whose_time_the_prompt_has_used_up_is_not_sent_and_is_refused(self) -> None:
        async def scenario() -> None:
            async with Bench(planner=ByName("p-1")) as bench:
                prefill = await add(bench, ModelServer("p-1", "prefill"), ENGINE)
                decode = await add(bench, ModelServer("d-1", "decode"), ENGINE)
                # Leaves an idle connection in the pool, so that a send would not have to wait.
                self.assertEqual((await bench.ask("/stream/")).status, 200)
                await asyncio.sleep(0.1)
                prefill.script.append(Fault.SILENT)
                answer = await bench.ask("/stream/", headers={"Deadline-Ms": "300"})
                self.assertEqual((answer.status, len(decode.seen)), (503, 1))

        play(scenario())


class AnswerChecks(unittest.TestCase):
    def answer(self, status: int, *ids: bytes) -> Message:
        message = Message()
        message.status = status
        message.headers = [(b"server-signature", b"s"), *((b"request-id", one) for one in ids)]
        return message

    def test_non_final_statuses_are_broken(self) -> None:
        for status in (0, 99, 101, 199, 600, 999):
            self.assertIs(judge_answer(self.answer(status, ID), ID, True), AttemptEnd.BROKEN, status)

    def test_several_request_ids_are_broken(self) -> None:
        for ids in ((ID, b"other"), (b"other", ID), (ID, ID)):
            self.assertIs(judge_answer(self.answer(200, *ids), ID, True), AttemptEnd.BROKEN, ids)


class EventEnds(unittest.TestCase):
    def test_byte_by_byte_stream_tracks_event_ends(self) -> None:
        for ending in (b"\n\n", b"\r\n\r\n"):
            stream = b"id: 1" + ending + b"id: 2" + ending
            ends = {len(b"id: 1" + ending), len(stream)}
            progress = StreamProgress(False)
            for position in range(len(stream)):
                progress.feed(stream[position : position + 1])
                self.assertEqual(progress.inside_event, position + 1 not in ends, (ending, position))

    def test_resumable_stream_tracks_event_ends(self) -> None:
        progress = StreamProgress(True)
        progress.feed(b"id: 1\n\nid: 2\n")
        self.assertTrue(progress.inside_event)
        progress.feed(b"\n")
        self.assertFalse(progress.inside_event)


class Connections(unittest.TestCase):
    """`Link` on real sockets."""

    def play(self, scenario: Callable[[Link, socket.socket], Awaitable[None]]) -> None:
        """Run a scenario with a link, whose socket buffer is smaller than a large request, and its peer."""

        async def run_scenario() -> None:
            with socket.create_server(("127.0.0.1", 0)) as listener:
                listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SMALL_BUFFER_BYTES)
                host, port = listener.getsockname()
                link = await connect(f"{host}:{port}", SCENARIO_TIMEOUT_S, 1 << 20)
                link.channel.sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SMALL_BUFFER_BYTES)
                peer = listener.accept()[0]
                try:
                    await scenario(link, peer)
                finally:
                    link.close()
                    peer.close()

        for run in (asyncio.run, uvloop.run):
            run(asyncio.wait_for(run_scenario(), SCENARIO_TIMEOUT_S))

    def test_an_early_answer_is_read_and_its_connection_not_used_again(self) -> None:
        async def scenario(link: Link, peer: socket.socket) -> None:
            peer.sendall(EARLY)
            answer = await link.round_trip(HEAD % LARGE_BYTES, b"b" * LARGE_BYTES)
            self.assertEqual((answer.status, await link.read_body(answer)), (503, b"no"))
            self.assertEqual(
                (link.request_sent, link.write_started, link.reusable(answer)), (False, True, False)
            )

        self.play(scenario)

    def test_rest_of_a_body_is_sent_completely_after_an_early_answer(self) -> None:
        async def scenario(link: Link, peer: socket.socket) -> None:
            peer.sendall(GOOD)
            answer = await link.round_trip(HEAD % LARGE_BYTES, b"b" * LARGE_BYTES)
            await link.read_body(answer)
            peer.setblocking(False)
            got = b""
            while len(got) < len(HEAD % LARGE_BYTES) + LARGE_BYTES:
                got += await asyncio.get_running_loop().sock_recv(peer, 65536)
            self.assertEqual(got, HEAD % LARGE_BYTES + b"b" * LARGE_BYTES)
            while not link.request_sent:
                await asyncio.sleep(0)
            self.assertTrue(link.reusable(answer))

        self.play(scenario)

    def test_reset_reported_to_a_write_is_no_orderly_end(self) -> None:
        async def scenario(link: Link, peer: socket.socket) -> None:
            peer.sendall(NO_LENGTH)
            answer = await link.round_trip(HEAD % LARGE_BYTES, b"b" * LARGE_BYTES)
            peer.close()  # resets the connection, because received bytes are unread
            with self.assertRaises(ConnectionBrokenError):
                await link.read_body(answer)

        self.play(scenario)

    def test_close_during_a_blocked_write_ends_the_writer(self) -> None:
        async def scenario(link: Link, peer: socket.socket) -> None:
            peer.sendall(EARLY)
            await link.round_trip(HEAD % LARGE_BYTES, b"b" * LARGE_BYTES)
            writer = link._writer
            assert writer is not None
            self.assertFalse(writer.done())
            link.close()
            await asyncio.wait([writer])
            self.assertFalse(link.request_sent)

        self.play(scenario)


class ScriptedInstance:
    """An instance that sends the given answers, one for each request."""

    def __init__(self, *answers: bytes, first: bytes = b"") -> None:
        self._answers, self._first = list(answers), first
        self.connections, self.ended = 0, asyncio.Event()

    async def start(self) -> str:
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        host, port = self._server.sockets[0].getsockname()
        return f"{host}:{port}"

    def stop(self) -> None:
        self._server.close()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.connections += 1
        writer.write(self._first)
        while await reader.read(65536):
            if self._answers:
                writer.write(self._answers.pop(0))
        self.ended.set()
        writer.close()


NAMELESS = b"HTTP/1.1 200 OK\r\nKeep-Alive: timeout=5\r\nContent-Length: 0\r\n\r\n"
NAMED = NAMELESS.replace(b"Keep-Alive", b"Request-Id: 9c41d07be2a35f68\r\nKeep-Alive")


class PoolReuse(unittest.TestCase):
    """Connections that the pool must not reuse."""

    def free(self, answer: bytes) -> bool:
        """Return whether a connection is reused after a handle was freed on it with this answer."""
        reused = False

        async def scenario() -> None:
            nonlocal reused
            instance = ScriptedInstance(answer)
            address = await instance.start()
            pool = LinkPool(10)
            release = HandleRelease(pool)
            release.free(Handle("p-1", address, "ab", 0.0), 1)
            await release.finish()
            link = await pool.take("p-1", address, 1)
            reused = instance.connections == 1 and bool(link.idle_since)
            pool.drop("p-1", link)
            instance.stop()

        play(scenario())
        return reused

    def test_the_connection_on_which_a_handle_was_freed_is_not_used_again(self) -> None:
        """The call has no request id, so its answer can't be told from a late one to an earlier request."""
        for answer in (NAMELESS, NAMED):
            self.assertFalse(self.free(answer))

    def test_a_connection_belongs_to_one_address(self) -> None:
        async def scenario() -> None:
            instances = ScriptedInstance(NAMELESS), ScriptedInstance(NAMELESS)
            addresses = [await one.start() for one in instances]
            pool = LinkPool(10)
            link = await pool.take("i-1", addresses[0], 1)
            answer = await link.round_trip(b"GET / HTTP/1.1\r\n\r\n")
            await link.read_body(answer)
            pool.give_back("i-1", link, answer)
            other = await pool.take("i-1", addresses[1], 1)
            self.assertIsNot(other, link)
            self.assertEqual(other.address, addresses[1])
            pool.drop("i-1", other)
            for one in instances:
                one.stop()

        play(scenario())

    def test_connection_with_data_before_the_request_is_not_used(self) -> None:
        async def scenario() -> None:
            instance = ScriptedInstance(first=NAMELESS)
            address = await instance.start()

            async def slowly(*arguments: object) -> Link:
                link = await connect(*arguments)  # type: ignore[arg-type]
                await asyncio.sleep(0.1)
                return link

            pool = LinkPool(10)
            with patch.object(link_pool, "connect", slowly), self.assertRaises(RequestNotSentError):
                await pool.take("i-1", address, 1)
            self.assertEqual(pool._count, 0)
            instance.stop()

        play(scenario())


if __name__ == "__main__":
    unittest.main()
