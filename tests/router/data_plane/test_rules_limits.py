"""Valid requests within the current limits are accepted, also on connections older than the limits."""

from __future__ import annotations

import asyncio
import unittest
from dataclasses import replace

from failing_instances import ByName
from gateway_bench import DEFAULT, Answer, Bench, read_answer, read_head, request_bytes
from virtual_time import play

from mallowbeam.router.configuration.model import ClientLimits, Configuration

SMALL_BYTES, LARGE_BYTES = 20_000, 90_000  # bytes of a body
HEAD_BYTES = 6_000  # bytes of a head
DEFAULT_HEAD_BYTES = 16 * 1024
METHODS = ("GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS")
TARGETS = (
    "/safe/",
    "/safe/a%2Fb",
    "/safe//",
    "/safe/;p=1",
    "/safe/?",
    "/safe/?a=/&b=%20",
    "/safe/~a@b:c",
    "/safe/" + "x" * 4000,
)


def limits(**values: int) -> Configuration:
    return replace(DEFAULT, limits=ClientLimits(**values))


def chunked(body: bytes, pieces: int) -> bytes:
    """Return a request with a chunked body."""
    size = -(-len(body) // pieces) or 1
    parts = [body[at : at + size] for at in range(0, len(body), size)]
    head = request_bytes("/safe/", body=b"").replace(b"Content-Length: 0", b"Transfer-Encoding: chunked")
    return head + b"".join(b"%x\r\n%b\r\n" % (len(part), part) for part in parts) + b"0\r\n\r\n"


def with_head_of(size: int) -> bytes:
    """Return a request whose start line and headers have this size in bytes."""
    short = request_bytes("/safe/", headers={"X-Filler": ""}, body=b"")
    return request_bytes("/safe/", headers={"X-Filler": "f" * (size - len(short))}, body=b"")


class Case(unittest.TestCase):
    async def send(self, bench: Bench, data: bytes) -> Answer:
        reader, writer = await bench.client()
        writer.write(data)
        return await read_answer(reader)


class WithinLimits(Case):
    def test_bodies_up_to_the_limit(self) -> None:
        async def scenario() -> None:
            for size, status in (
                (0, 200),
                (SMALL_BYTES - 1, 200),
                (SMALL_BYTES, 200),
                (SMALL_BYTES + 1, 413),
            ):
                async with Bench(limits(max_body_bytes=SMALL_BYTES), ByName()) as bench:
                    instance = await bench.add("i-1")
                    for data in (request_bytes("/safe/", body=b"b" * size), chunked(b"b" * size, 7)):
                        self.assertEqual((await self.send(bench, data)).status, status, size)
                    self.assertEqual(
                        [len(seen.body) for seen in instance.seen], [size, size] if status == 200 else []
                    )

        play(scenario())

    def test_heads_up_to_the_limit(self) -> None:
        async def scenario() -> None:
            for most in (HEAD_BYTES, DEFAULT_HEAD_BYTES, 2 * DEFAULT_HEAD_BYTES):
                async with Bench(limits(max_header_bytes=most), ByName()) as bench:
                    await bench.add("i-1")
                    for size in (most - 1, most):
                        self.assertEqual((await self.send(bench, with_head_of(size))).status, 200, size)
                    self.assertEqual((await self.send(bench, with_head_of(2 * most))).status, 431)

        play(scenario())

    def test_any_method_and_form_of_target(self) -> None:
        async def scenario() -> None:
            async with Bench(planner=ByName()) as bench:
                instance = await bench.add("i-1")
                for method in METHODS:
                    reader, writer = await bench.client()
                    writer.write(request_bytes("/safe/", method, b""))
                    answer = await read_head(reader)
                    self.assertEqual((answer.status, instance.seen[-1].method), (200, method))
                for target in TARGETS:
                    self.assertEqual((await bench.ask(target)).status, 200, target)
                    self.assertEqual(instance.seen[-1].target, target)
                for start in ("http://host.example", "HTTP://Host.Example:80"):
                    self.assertEqual((await bench.ask(f"{start}/safe/x?y=1")).status, 200, start)
                    self.assertEqual(instance.seen[-1].target, "/safe/x?y=1")
                for host in ("HOST.example", "host.example:8080"):
                    self.assertEqual((await bench.ask("/safe/", headers={"Host": host})).status, 200, host)

        play(scenario())

    def test_without_a_configuration_all_get_503(self) -> None:
        async def scenario() -> None:
            async with Bench(None, ByName()) as bench:
                for target in (*TARGETS, "/nowhere/", "/"):
                    answer = await bench.ask(target)
                    self.assertEqual((answer.status, "retry-after" in answer.headers), (503, True), target)

        play(scenario())


class ChangedLimits(Case):
    """The limits change while clients keep their connections."""

    async def change(self, bench: Bench, to: Configuration) -> None:
        bench.gateway.set_configuration(to, 0.0)
        bench.front.set_limits(to.limits)

    def test_raised_ones_hold_for_open_connections(self) -> None:
        async def scenario() -> None:
            before = limits(max_body_bytes=SMALL_BYTES, max_header_bytes=HEAD_BYTES)
            async with Bench(before, ByName()) as bench:
                instance = await bench.add("i-1")
                reader, writer = await bench.client()
                writer.write(request_bytes("/safe/"))
                await read_answer(reader)
                await self.change(bench, limits(max_body_bytes=LARGE_BYTES, max_header_bytes=3 * HEAD_BYTES))
                for data in (
                    request_bytes("/safe/", body=b"b" * LARGE_BYTES),
                    chunked(b"b" * LARGE_BYTES, 5),
                    with_head_of(3 * HEAD_BYTES),
                ):
                    writer.write(data)
                    self.assertEqual((await read_answer(reader)).status, 200)
                self.assertEqual(
                    [len(seen.body) for seen in instance.seen[1:]], [LARGE_BYTES, LARGE_BYTES, 0]
                )

        play(scenario())

    def test_raised_ones_hold_for_a_connection_opened_before_any_configuration(self) -> None:
        async def scenario() -> None:
            async with Bench(None, ByName()) as bench:
                await bench.add("i-1")
                reader, writer = await bench.client()
                writer.write(request_bytes("/safe/"))
                self.assertEqual((await read_answer(reader)).status, 503)
                size = ClientLimits().max_body_bytes + 1
                await self.change(bench, limits(max_body_bytes=size))
                writer.write(request_bytes("/safe/", body=b"b" * size))
                self.assertEqual((await read_answer(reader)).status, 200)

        play(scenario())

    def test_lowered_limits_let_a_started_body_finish(self) -> None:
        """Guards against forwarding only the received part of the body as if it were complete."""

        async def scenario() -> None:
            for lowered in (SMALL_BYTES, LARGE_BYTES // 2):
                async with Bench(limits(max_body_bytes=LARGE_BYTES), ByName()) as bench:
                    instance = await bench.add("i-1")
                    reader, writer = await bench.client()
                    data = request_bytes("/safe/", body=b"b" * LARGE_BYTES)
                    writer.write(data[: LARGE_BYTES // 3])
                    await asyncio.sleep(0.01)
                    await self.change(bench, limits(max_body_bytes=lowered))
                    for piece in (data[LARGE_BYTES // 3 : -10], data[-10:]):
                        writer.write(piece)
                        await asyncio.sleep(0.01)
                    self.assertEqual((await read_answer(reader)).status, 200)
                    self.assertEqual([len(seen.body) for seen in instance.seen], [LARGE_BYTES])

        play(scenario())

    def test_beyond_lowered_ones_nothing_reaches_an_instance(self) -> None:
        async def scenario() -> None:
            for data in (request_bytes("/safe/", body=b"b" * LARGE_BYTES), chunked(b"b" * LARGE_BYTES, 5)):
                async with Bench(limits(max_body_bytes=LARGE_BYTES), ByName()) as bench:
                    instance = await bench.add("i-1")
                    reader, writer = await bench.client()
                    writer.write(request_bytes("/safe/"))
                    await read_answer(reader)
                    await self.change(bench, limits(max_body_bytes=SMALL_BYTES))
                    writer.write(data)
                    self.assertEqual((await read_answer(reader)).status, 413)
                    self.assertEqual(len(instance.seen), 1)

        play(scenario())


if __name__ == "__main__":
    unittest.main()
