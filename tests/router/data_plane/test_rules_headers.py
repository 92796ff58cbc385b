"""Headers at an instance: the system's own never come from the client, and the client's are unchanged."""

from __future__ import annotations

import unittest

from failing_instances import ByName, add
from gateway_bench import ENGINE, Bench, events, read_head
from virtual_time import play

from mallowbeam.standins.model_server import Fault, ModelServer, ReceivedRequest

SYSTEMS = {
    "Stage": "prefill",
    "Kv-From": "10.9.9.9:1/feedbeef",
    "Target-Instance": "i-other",
    "Priority": "0",
    "Expect-Version": "77",
}
PROMPT = {"Model": 'm;v=2, "x"', "Token-Usage": "1000, 5", "Prompt-Prefix": "aa:600, bb:400"}
SPELLINGS = (
    SYSTEMS,
    {name.upper(): value for name, value in SYSTEMS.items()},
    {name.lower(): f"  {value}  " for name, value in SYSTEMS.items()},
)


class SystemsHeaders(unittest.TestCase):
    def check(
        self, instance: ModelServer, seen: ReceivedRequest, stage: str | None, priority: str | None
    ) -> None:
        """Check that a request carries the system's headers and none of the client's values for them."""
        headers = seen.headers
        self.assertEqual(headers["target-instance"], instance.id)
        self.assertEqual((headers.get("stage"), headers.get("priority")), (stage, priority))
        self.assertNotIn("expect-version", headers)
        self.assertNotIn("feedbeef", headers.get("kv-from", ""))
        self.assertEqual(seen.repeated, frozenset())

    def test_at_a_plain_service(self) -> None:
        async def scenario() -> None:
            for sent in SPELLINGS:
                async with Bench(planner=ByName()) as bench:
                    instance = await bench.add("i-1")
                    self.assertEqual((await bench.ask("/unsafe/", headers=sent)).status, 200)
                    self.check(instance, instance.seen[0], None, None)
                    self.assertNotIn("kv-from", instance.seen[0].headers)

        play(scenario())

    def test_with_separate_prefill(self) -> None:
        async def scenario() -> None:
            for sent in SPELLINGS:
                async with Bench(planner=ByName("p-1")) as bench:
                    reader = await bench.add("p-1", ENGINE, "prefill")
                    decoder = await bench.add("d-1", ENGINE, "decode")
                    answer = await bench.ask("/stream/", headers={**PROMPT, **sent})
                    self.assertEqual((answer.complete, answer.body), (True, events()))
                    self.check(reader, reader.seen[0], "prefill", "5")
                    self.check(decoder, decoder.seen[0], None, "0")
                    self.assertTrue(decoder.seen[0].headers["kv-from"].startswith(reader.address))

        play(scenario())

    def test_at_every_further_send(self) -> None:
        async def scenario() -> None:
            async with Bench(planner=ByName()) as bench:
                first = await bench.add("d-1", ENGINE, "decode")
                second = await bench.add("d-2", ENGINE, "decode")
                first.script.append(Fault.TRUNCATED)
                answer = await bench.ask("/resume/", headers=SYSTEMS)
                self.assertEqual((answer.complete, answer.body), (True, events()))
                for instance in (first, second):
                    self.check(instance, instance.seen[0], None, "5")
                    self.assertNotIn("kv-from", instance.seen[0].headers)

        play(scenario())

    def test_a_client_s_expected_version_ejects_nobody(self) -> None:
        """Each 421 ejects an instance, so an unknown version would make the whole service unavailable."""

        async def scenario() -> None:
            async with Bench(planner=ByName()) as bench:
                await add(bench, _OfVersion("i-1"))
                for _ in range(3):
                    answer = await bench.ask("/safe/", headers={"Expect-Version": "77"})
                    self.assertEqual(answer.status, 200)

        play(scenario())


class ClientsHeaders(unittest.TestCase):
    def test_the_prompt_s_headers_are_the_client_s_at_every_send(self) -> None:
        async def scenario() -> None:
            async with Bench(planner=ByName("p-1")) as bench:
                reader = await bench.add("p-1", ENGINE, "prefill")
                decoders = [await bench.add(f"d-{number}", ENGINE, "decode") for number in (1, 2)]
                decoders[0].script.append(Fault.TRUNCATED)
                answer = await bench.ask("/resume/", headers=PROMPT)
                self.assertEqual(answer.body, events())
                for instance in (reader, *decoders):
                    seen = instance.seen[0]
                    for name, value in PROMPT.items():
                        self.assertEqual(seen.headers[name.lower()], value, (instance.id, name))
                    self.assertEqual((seen.method, seen.target, seen.body), ("POST", "/resume/", b"question"))

        play(scenario())

    def test_connection_header_does_not_remove_them(self) -> None:
        async def scenario() -> None:
            async with Bench(planner=ByName()) as bench:
                instance = await bench.add("d-1", ENGINE, "decode")
                named = "Model, token-usage, PROMPT-PREFIX, last-event-id"
                headers = {**PROMPT, "Last-Event-Id": "2", "Connection": named}
                self.assertEqual((await bench.ask("/stream/", headers=headers)).body, events(3))
                for name, value in PROMPT.items():
                    self.assertEqual(instance.seen[0].headers.get(name.lower()), value)

        play(scenario())

    def test_missing_headers_are_not_invented(self) -> None:
        async def scenario() -> None:
            async with Bench(planner=ByName()) as bench:
                instance = await bench.add("d-1", ENGINE, "decode")
                await bench.ask("/stream/", headers={"Token-Usage": "x"})
                self.assertEqual(instance.seen[0].headers["token-usage"], "x")
                self.assertFalse({"model", "prompt-prefix", "last-event-id"} & set(instance.seen[0].headers))

        play(scenario())


NAMED = b"Host: host.example\r\nRequest-Id: a1\r\n"
POST = b"POST /unsafe/ HTTP/1.1\r\n" + NAMED
ANOTHER = b"POST /unsafe/x HTTP/1.1\r\n" + NAMED.replace(b"a1", b"b2") + b"\r\n"
CHUNKED = b"3\r\nabc\r\n0\r\n\r\n"


class AmbiguousFraming(unittest.TestCase):
    """Ambiguously framed requests reach no instance, or arrive as exactly one complete request."""

    def seen(self, data: bytes) -> tuple[int, list[ReceivedRequest]]:
        """Return the first answer's status and the requests that reached the instance."""
        result: list[tuple[int, list[ReceivedRequest]]] = []

        async def scenario() -> None:
            async with Bench(planner=ByName()) as bench:
                instance = await bench.add("i-1")
                reader, writer = await bench.client()
                writer.write(data)
                result.append(((await read_head(reader)).status, instance.seen))

        play(scenario())
        return result[0]

    def test_refused(self) -> None:
        for data in (
            POST + b"Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n" + CHUNKED,
            POST + b"Content-Length: 5\r\nContent-Length: 6\r\n\r\nabcdef",
            POST + b"Content-Length: +3\r\n\r\nabc",
            POST + b"Stage : prefill\r\nContent-Length: 3\r\n\r\nabc",
            POST + b"X-A: 1\r\n Stage: prefill\r\nContent-Length: 3\r\n\r\nabc",
            POST + b"X-A: 1\rStage: prefill\r\nContent-Length: 3\r\n\r\nabc",
            POST + b"X-A: a\0b\r\nContent-Length: 3\r\n\r\nabc",
            POST.replace(b"\r\n", b"\n") + b"Content-Length: 3\n\nabc",
            POST + b"Transfer-Encoding: identity\r\nContent-Length: 3\r\n\r\nabc",
            POST + b"Transfer-Encoding: gzip, chunked\r\n\r\n" + CHUNKED,
        ):
            self.assertEqual(self.seen(data), (400, []), data)

    def test_a_body_is_a_body_whatever_it_holds(self) -> None:
        length = b"Content-Length: %d\r\n\r\n" % len(ANOTHER)
        chunked = b"Transfer-Encoding: chunked\r\n\r\n%x\r\n%b\r\n0\r\n\r\n" % (len(ANOTHER), ANOTHER)
        for data in (POST + length + ANOTHER, POST + chunked):
            status, (only,) = self.seen(data)
            self.assertEqual((status, only.target, only.body), (200, "/unsafe/", ANOTHER))

    def test_trailers_and_extensions_of_chunks_are_nobody_s_headers(self) -> None:
        data = POST + b"Transfer-Encoding: chunked\r\n\r\n3;a=b\r\nabc\r\n0\r\nStage: prefill\r\n\r\n"
        status, (only,) = self.seen(data)
        self.assertEqual((status, only.body, "stage" in only.headers), (200, b"abc", False))


class _OfVersion(ModelServer):
    """Answers 421 to requests that expect a version of its weights other than 1."""

    async def _answer(self, seen, reader, writer):
        if seen.headers.get("expect-version", "1") != "1":
            self.seen.append(seen)
            return self._respond(writer, seen, 421, b"", "")
        return await super()._answer(seen, reader, writer)


if __name__ == "__main__":
    unittest.main()
