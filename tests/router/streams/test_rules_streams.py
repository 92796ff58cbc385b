"""Resumed streams: the client gets one continuous stream, wherever the first instance breaks off."""

from __future__ import annotations

import asyncio
import re
import socket
import struct
import unittest
from dataclasses import dataclass

from failing_instances import ByName, add
from gateway_bench import (
    ENGINE,
    Answer,
    Bench,
    configuration,
    events,
    read_answer,
    request_bytes,
    route,
)
from timed_instances import DelayedStart, Timed
from virtual_time import play

from mallowbeam.router.admission.messages import Plan, PlanRequest, PromptSegment
from mallowbeam.router.admission.planner import Planner
from mallowbeam.router.admission.settings import PlannerSettings
from mallowbeam.router.configuration.model import Backend
from mallowbeam.router.rpc.messages_pb2 import READY, Engine, Instance
from mallowbeam.standins.model_server import Fault, ModelServer, ReceivedRequest, chunk

RESET = struct.pack("ii", 1, 0)
ROUTES = configuration(
    route("/resume/", "stream", ENGINE, resumable=True, gap_aim_ms=100, max_retries=3),
    route("/stream/", "stream", ENGINE, gap_aim_ms=100, max_retries=3),
)
LAST = 5  # number of events in a stream
END_KINDS = ("close", "reset", "ended")


@dataclass
class TruncatingInstance(ModelServer):
    """Sends part of its stream, then breaks off with a close, a reset or a regular end of the framing."""

    cut_at: int | None = None  # bytes to send; None for the complete stream
    end_kind: str = "close"
    numbered: bool = True  # whether events have ids
    from_start: bool = False  # ignore Last-Event-Id
    versions: str = "3"
    changed_at: int = 0  # the number of the event that carries a new version
    chunked: bool = True

    def data(self, last_ids: int) -> bytes:
        """Return the bytes of the stream after an event."""
        written = b""
        for number in range(1 if self.from_start else last_ids + 1, LAST + 1):
            written += b"versions: 4\n" if number == self.changed_at else b""
            written += b"id: %d\n" % number if self.numbered else b""
            written += b"data: token %d\n\n" % number
        return written

    async def _stream(
        self,
        seen: ReceivedRequest,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        fault: Fault | None,
    ) -> bool:
        coding = "Transfer-Encoding: chunked\r\n" if self.chunked else ""
        writer.write(
            (
                f"HTTP/1.1 200 OK\r\nRequest-Id: {seen.headers['request-id']}\r\n"
                f"{self._stamp}Versions: {self.versions}\r\nContent-Type: text/event-stream\r\n"
                f"{coding}\r\n"
            ).encode()
        )
        sent = self.data(int(seen.headers.get("last-event-id", "0")))[: self.cut_at]
        for at in range(0, len(sent), 7):  # pieces whose ends don't coincide with those of events
            piece = sent[at : at + 7]
            writer.write(chunk(piece) if self.chunked else piece)
            await asyncio.sleep(0.001)
        if self.cut_at is None or self.end_kind == "ended":
            writer.write(b"0\r\n\r\n" if self.chunked else b"")
            return self.chunked
        if self.end_kind == "reset":
            writer.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
            writer.transport.abort()
        return False


def ids(body: bytes) -> list[int]:
    """Return the ids of the events in an answer."""
    return [int(found) for found in re.findall(rb"^id: (\d+)$", body, re.MULTILINE)]


class ResumedByGateway(unittest.TestCase):
    async def ask(
        self, *instances: ModelServer, target: str = "/resume/", headers: dict[str, str] | None = None
    ) -> Answer:
        async with Bench(ROUTES, ByName()) as bench:
            for one in instances:
                await add(bench, one, ENGINE)
            return await bench.ask(target, headers=headers)

    def test_wherever_the_first_instance_breaks_off(self) -> None:
        async def scenario() -> None:
            whole = TruncatingInstance("x", "decode").data(0)
            first_event = len(events(1, 1))
            for end_kind in END_KINDS:
                for cut_at in range(len(whole)):
                    first = TruncatingInstance("d-1", "decode", cut_at=cut_at, end_kind=end_kind)
                    second = TruncatingInstance("d-2", "decode", versions="9")
                    answer = await self.ask(first, second)
                    # A stream that ends regularly after a complete event can't be told from a complete one.
                    ended = end_kind == "ended" and (not cut_at or whole[:cut_at].endswith(b"\n\n"))
                    expected = whole[:cut_at] if ended else whole
                    self.assertEqual((answer.complete, answer.body), (True, expected), (end_kind, cut_at))
                    begun = cut_at >= first_event or ended
                    self.assertEqual(
                        answer.headers["server-signature"], "stamp.d-1" if begun else "stamp.d-2"
                    )
                    self.assertEqual(answer.headers["versions"], "3" if begun else "9")
                    last_ids = [seen.headers.get("last-event-id") for seen in second.seen]
                    passed = cut_at // first_event
                    self.assertEqual(last_ids, [] if ended else [str(passed) if passed else None])

        play(scenario())

    def test_twice_in_one_answer(self) -> None:
        async def scenario() -> None:
            for cut_at in range(60):
                answer = await self.ask(
                    TruncatingInstance("d-1", "decode", cut_at=30),
                    TruncatingInstance("d-2", "decode", cut_at=cut_at, end_kind="reset"),
                    TruncatingInstance("d-3", "decode"),
                )
                self.assertEqual((answer.complete, answer.body), (True, events()), cut_at)
                self.assertEqual(answer.headers["server-signature"], "stamp.d-1")

        play(scenario())

    def test_an_instance_that_starts_over_repeats_nothing(self) -> None:
        async def scenario() -> None:
            answer = await self.ask(
                TruncatingInstance("d-1", "decode", cut_at=45),
                TruncatingInstance("d-2", "decode", from_start=True),
                TruncatingInstance("d-3", "decode"),
            )
            self.assertEqual((answer.complete, answer.body), (True, events()))
            answer = await self.ask(
                TruncatingInstance("d-1", "decode", cut_at=45),
                *(TruncatingInstance(f"d-{number}", "decode", from_start=True) for number in (2, 3)),
            )
            self.assertEqual((answer.complete, ids(answer.body)), (False, [1, 2]))

        play(scenario())

    def test_stream_without_event_ids_is_not_restarted(self) -> None:
        """Guards against requesting the full stream again, which sent the client the first events twice."""

        async def scenario() -> None:
            cut, good = (
                TruncatingInstance("d-1", "decode", cut_at=20, numbered=False),
                TruncatingInstance("d-2", "decode", numbered=False),
            )
            answer = await self.ask(cut, good)
            self.assertEqual((answer.complete, answer.body), (False, b"data: token 1\n\n"))
            self.assertEqual(good.seen, [])
            cut, good = (
                TruncatingInstance("d-1", "decode", cut_at=5, numbered=False),
                TruncatingInstance("d-2", "decode", numbered=False),
            )
            self.assertEqual((await self.ask(cut, good)).body, good.data(0))  # nothing had been forwarded

        play(scenario())

    def test_non_resumable_stream_runs_once(self) -> None:
        async def scenario() -> None:
            for cut_at in (0, 10, 45):
                for end_kind in END_KINDS[:2]:
                    second = TruncatingInstance("d-2", "decode")
                    answer = await self.ask(
                        TruncatingInstance("d-1", "decode", cut_at=cut_at, end_kind=end_kind),
                        second,
                        target="/stream/",
                    )
                    self.assertEqual((answer.status == 200 and answer.complete, second.seen), (False, []))

        play(scenario())


class ResumedByClient(unittest.TestCase):
    def test_at_another_gateway(self) -> None:
        async def scenario() -> None:
            whole = events()
            for cut_at in range(len(whole)):
                async with Bench(ROUTES, ByName()) as first, Bench(ROUTES, ByName()) as second:
                    broken = TruncatingInstance("d-1", "decode", cut_at=cut_at)
                    await add(first, broken, ENGINE)
                    half = await first.ask("/resume/")
                    got = half.body if half.status == 200 else b""
                    self.assertFalse(half.status == 200 and half.complete)
                    await add(second, TruncatingInstance("d-2", "decode", cut_at=25), ENGINE)  # breaks again
                    await add(second, TruncatingInstance("d-3", "decode"), ENGINE)
                    last_ids = {"Last-Event-Id": str(ids(got)[-1])} if got else {}
                    rest = await second.ask("/resume/", headers=last_ids)
                    self.assertEqual((rest.complete, got + rest.body), (True, whole), cut_at)

        play(scenario())


class Versions(unittest.TestCase):
    def test_the_head_and_the_event_with_a_change_are_passed_on_whole(self) -> None:
        async def scenario() -> None:
            for target in ("/resume/", "/stream/"):
                for changed_at in range(1, LAST + 1):
                    async with Bench(ROUTES, ByName()) as bench:
                        one = TruncatingInstance("d-1", "decode", versions="17", changed_at=changed_at)
                        await add(bench, one, ENGINE)
                        answer = await bench.ask(target)
                        self.assertEqual((answer.headers["versions"], answer.body), ("17", one.data(0)))
                        self.assertEqual(answer.body.count(b"versions: 4\nid: %d\n" % changed_at), 1)

        play(scenario())

    def test_an_event_with_a_change_is_not_cut_in_two(self) -> None:
        async def scenario() -> None:
            whole = TruncatingInstance("x", "decode", changed_at=3).data(0)
            for cut_at in range(len(events(1, 2)), len(events(1, 3)) + 12):
                async with Bench(ROUTES, ByName()) as bench:
                    await add(bench, TruncatingInstance("d-1", "decode", cut_at=cut_at, changed_at=3), ENGINE)
                    await add(bench, TruncatingInstance("d-2", "decode", changed_at=3), ENGINE)
                    self.assertEqual((await bench.ask("/resume/")).body, whole)

        play(scenario())


class EndOfConnection(unittest.TestCase):
    """Answers without a length, which end with their connection."""

    def test_orderly_end_completes_the_answer(self) -> None:
        async def scenario() -> None:
            for target in ("/resume/", "/stream/"):
                async with Bench(ROUTES, ByName()) as bench:
                    await add(bench, TruncatingInstance("d-1", "decode", chunked=False), ENGINE)
                    answer = await bench.ask(target)
                    self.assertEqual((answer.complete, answer.body), (True, events()))
                    data = request_bytes(target).replace(b"HTTP/1.1", b"HTTP/1.0")
                    reader, writer = await bench.client()
                    writer.write(data)
                    old = await reader.read()
                    self.assertTrue(old.endswith(events()), "an old client's answer ends with a reset")

        play(scenario())

    def test_reset_does_not_complete_the_answer(self) -> None:
        async def scenario() -> None:
            async with Bench(ROUTES, ByName()) as bench:
                cut = TruncatingInstance(
                    "d-1", "decode", cut_at=len(events(1, 2)), end_kind="reset", chunked=False
                )
                await add(bench, cut, ENGINE)
                answer = await bench.ask("/stream/")
                self.assertFalse(answer.complete)

        play(scenario())


class RightStage(unittest.TestCase):
    """A stream, resumed or not, is sent only to decode instances."""

    def test_resumed_stream_is_not_sent_to_a_prefill_instance(self) -> None:
        async def scenario() -> None:
            async with Bench(ROUTES, Planner(PlannerSettings())) as bench:
                readers = [TruncatingInstance(f"p-{number}", "prefill") for number in (1, 2)]
                for one in (TruncatingInstance("d-1", "decode", cut_at=30), *readers):
                    await add(bench, one, ENGINE)
                short = {"Token-Usage": "10,5", "Prompt-Prefix": "aa:10"}
                answer = await bench.ask("/resume/", headers=short)
                self.assertEqual((answer.status, answer.complete, ids(answer.body)), (200, False, [1]))
                stages = {seen.headers.get("stage") for one in readers for seen in one.seen}
                self.assertLessEqual(stages, {"prefill"})

        play(scenario())

    def test_no_plan_names_a_prefill_instance_for_an_answer(self) -> None:
        planner = Planner(PlannerSettings())
        engine = Engine(slots=8, kv_capacity=100_000, kv_token_bytes=1, link_mbps=1000.0)
        planner.configuration_changed([Backend("s", engine=None)], 0.0)
        stages = {"p-1": "prefill", "p-2": "prefill", "d-1": "decode", "d-2": "decode"}
        planner.instances_changed(
            [Instance(id=id, backend="s", stage=stage, slots=8, state=READY) for id, stage in stages.items()],
            0.0,
        )
        for excluded in (set(), {"d-1"}, {"d-1", "d-2"}, {"p-1", "p-2"}, {"p-1", "p-2", "d-1"}):
            for resumed in (False, True):
                request = PlanRequest(
                    "r",
                    "s",
                    engine,
                    (PromptSegment("aa", 5000),),
                    5000,
                    10,
                    excluded=frozenset(excluded),
                    resumed=resumed,
                )
                planned = planner.plan(request, 1.0)
                if isinstance(planned, Plan):
                    self.assertEqual(stages[planned.decode_instance], "decode", excluded)
                    self.assertEqual(stages.get(planned.prefill_instance or "p-1"), "prefill", excluded)
                else:
                    self.assertEqual(excluded, {"d-1", "d-2"})

    def test_instance_that_changed_its_stage_gets_nothing(self) -> None:
        """It would answer 421, which counts as an arrival and ejects the instance."""

        async def scenario() -> None:
            for changed, to in (("d-1", "prefill"), ("p-1", "decode")):
                async with Bench(ROUTES, DelayedStart(0.2, "p-1")) as bench:
                    instances = {
                        id: Timed(id, stage)
                        for id, stage in (("p-1", "prefill"), ("d-1", "decode"), ("d-2", "decode"))
                    }
                    for one in instances.values():
                        await add(bench, one, ENGINE)
                    reader, writer = await bench.client()
                    writer.write(request_bytes("/stream/"))
                    await asyncio.sleep(0.1)
                    row = Instance()
                    row.CopyFrom(bench.gateway.view.instances[changed])
                    row.stage = instances[changed].stage = to
                    bench.update_instances(row)
                    self.assertEqual((await read_answer(reader)).body, events())
                    self.assertEqual(instances[changed].seen, [])

        play(scenario())


if __name__ == "__main__":
    unittest.main()
