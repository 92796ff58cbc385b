"""Forwarded deadlines and route time-outs, in virtual time with slow instances."""

from __future__ import annotations

import asyncio
import unittest
from collections.abc import Sequence

from failing_instances import ByName, UnresponsiveAddress, add, add_unresponsive
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
from timed_instances import DelayedStart, EndlessAnswers, Timed, now
from virtual_time import play

from mallowbeam.router.data_plane.planner_interface import Planner
from mallowbeam.standins.model_server import Fault

TIMEOUT_S = 2.0
LATE_TOLERANCE_S = 0.5  # after its route's time-out, by when a request must be answered
LONG_MS = 60_000  # deadline of a client that outwaits the route's time-out
PROMPT = {"Token-Usage": "1000,5", "Prompt-Prefix": "aa:600,bb:400"}
ROUTES = configuration(
    route("/safe/", "safe"),
    route("/unsafe/", "unsafe"),
    route("/stream/", "stream", ENGINE, gap_aim_ms=100),
    route("/resume/", "stream", ENGINE, resumable=True, gap_aim_ms=100, max_retries=3),
    route("/long/", "stream", ENGINE, resumable=True, gap_aim_ms=100, timeout_ms=600_000),
)


class Case(unittest.TestCase):
    def check_forwarded(self, began: float, client_ms: float, instances: Sequence[Timed]) -> list[int]:
        """Check that each send carried at most the time left; return the deadlines in order of arrival."""
        arrivals = [one for instance in instances for one in instance.arrivals]
        arrivals.sort(key=lambda one: one.at)
        for arrival in arrivals:
            self.assertIn("deadline-ms", arrival.seen.headers)
            self.assertNotIn("deadline-ms", arrival.seen.repeated)
            left_ms = client_ms - (arrival.at - began) * 1000
            self.assertLessEqual(arrival.deadline_ms, left_ms)
            self.assertGreater(arrival.deadline_ms, left_ms - 30)
        return [arrival.deadline_ms for arrival in arrivals]


class ForwardedDeadlines(Case):
    """`Deadline-Ms` of every send is the time that the client has left."""

    def test_over_retries(self) -> None:
        async def scenario() -> None:
            for fault in (Fault.REJECT, Fault.RESET, Fault.FAIL, Fault.MISDIRECT):
                async with Bench(ROUTES, ByName()) as bench:
                    instances = [Timed(f"i-{number}", service_time_s=0.3) for number in (1, 2, 3)]
                    for one in instances:
                        await add(bench, one)
                    for one in instances[:2]:
                        one.script.append(fault)
                    began = now()
                    answer = await bench.ask("/safe/", headers={"Deadline-Ms": "1500"})
                    self.assertEqual(answer.status, 200)
                    forwarded_ms = self.check_forwarded(began, 1500, instances)
                    self.assertEqual(len(forwarded_ms), 3)
                    self.assertLess(forwarded_ms[2], 1500 - 600)

        play(scenario())

    def test_from_prefill_to_decode_and_to_a_resumption(self) -> None:
        async def scenario() -> None:
            async with Bench(ROUTES, ByName("p-1")) as bench:
                reader = Timed("p-1", "prefill", service_time_s=0.4)
                decoders = [Timed(f"d-{number}", "decode", service_time_s=0.2) for number in (1, 2)]
                for one in (reader, *decoders):
                    await add(bench, one, ENGINE)
                decoders[0].script.append(Fault.TRUNCATED)
                began = now()
                answer = await bench.ask("/resume/", headers={**PROMPT, "Deadline-Ms": "1800"})
                self.assertEqual((answer.complete, answer.body), (True, events()))
                forwarded_ms = self.check_forwarded(began, 1800, [reader, *decoders])
                self.assertEqual(len(forwarded_ms), 3)
                self.assertLess(forwarded_ms[2], 1800 - 600)

        play(scenario())

    def test_a_fraction_of_a_millisecond(self) -> None:
        """Guards against ignoring a fractional value, which forwarded the route's full time-out instead."""

        async def scenario() -> None:
            for value in ("700.5", "700.", "700"):
                async with Bench(ROUTES, ByName()) as bench:
                    one = Timed("i-1")
                    await add(bench, one)
                    began = now()
                    self.assertEqual((await bench.ask("/safe/", headers={"Deadline-Ms": value})).status, 200)
                    self.check_forwarded(began, 700, [one])

        play(scenario())

    def test_after_a_wait_for_its_cycle(self) -> None:
        async def scenario() -> None:
            async with Bench(ROUTES, DelayedStart(0.7)) as bench:
                one = Timed("i-1")
                await add(bench, one)
                began = now()
                self.assertEqual((await bench.ask("/unsafe/", headers={"Deadline-Ms": "1500"})).status, 200)
                (forwarded_ms,) = self.check_forwarded(began, 1500, [one])
                self.assertLess(forwarded_ms, 800)

        play(scenario())

    def test_never_more_than_the_route_s_time_out_and_never_missing(self) -> None:
        async def scenario() -> None:
            for named in ({}, {"Deadline-Ms": str(LONG_MS)}, {"Deadline-Ms": "soon"}, {"Deadline-Ms": ""}):
                async with Bench(ROUTES, ByName()) as bench:
                    one = Timed("i-1")
                    await add(bench, one)
                    data = request_bytes("/unsafe/", headers=named or {"Deadline-Ms": "gone"})
                    reader, writer = await bench.client()
                    began = now()
                    writer.write(data if named else data.replace(b"Deadline-Ms: gone\r\n", b""))
                    self.assertEqual((await read_answer(reader)).status, 200)
                    self.check_forwarded(began, TIMEOUT_S * 1000, [one])

        play(scenario())

    def test_request_is_not_sent_after_prefill_used_up_its_time(self) -> None:
        """Guards against sending to the decode instance with a millisecond left and counting that as run."""

        async def scenario() -> None:
            async with Bench(ROUTES, ByName("p-1")) as bench:
                reader, decoder = Timed("p-1", "prefill", service_time_s=9.0), Timed("d-1", "decode")
                await add(bench, reader, ENGINE)
                await add(bench, decoder, ENGINE)
                # Leaves an idle connection to the decode instance in the pool.
                self.assertEqual((await bench.ask("/stream/", headers={"Token-Usage": "0,5"})).status, 200)
                decoder.arrivals.clear()
                answer = await bench.ask("/stream/", headers={**PROMPT, "Deadline-Ms": "900"})
                self.assertEqual((answer.status, len(reader.arrivals), decoder.arrivals), (503, 1, []))

        play(scenario())


class PatientClient:
    """A client that waits longer than its route's time-out."""

    def __init__(self, bench: Bench, target: str) -> None:
        self._bench, self._target = bench, target
        self.took_s = 0.0

    async def ask(self, most_s: float = TIMEOUT_S + LATE_TOLERANCE_S) -> Answer:
        """Return the answer, complete or truncated.

        Raises:
            TimeoutError: it took longer than `most_s`.
        """
        began = now()
        async with asyncio.timeout(most_s):
            answer = await self._bench.ask(self._target, headers={**PROMPT, "Deadline-Ms": str(LONG_MS)})
        self.took_s = now() - began
        return answer


class RouteTimeouts(Case):
    """A route's time-out ends a request within half a second in each of its phases."""

    def expect(
        self, target: str, status: int, planner: Planner, *instances: Timed, complete: bool = True
    ) -> None:
        """Check that these instances' gateway answers in time and that none keeps working on the request."""

        async def scenario() -> None:
            async with Bench(ROUTES, planner) as bench:
                for one in instances:
                    await add(bench, one, ENGINE if one.stage else "plain")
                client = PatientClient(bench, target)
                answer = await client.ask()
                self.assertEqual((answer.status, answer.complete), (status, complete))
                if status == 504:
                    self.assertGreater(client.took_s, TIMEOUT_S - 0.1)
                await asyncio.sleep(LATE_TOLERANCE_S)
                self.assertEqual([one.working for one in instances], [0] * len(instances))

        play(scenario())

    def test_held_for_a_cycle_that_begins_too_late(self) -> None:
        self.expect("/unsafe/", 503, DelayedStart(30.0), Timed("i-1"))

    def test_sent_and_silent(self) -> None:
        for target in ("/safe/", "/unsafe/"):
            self.expect(
                target, 504, ByName(), Timed("i-1", service_time_s=60.0), Timed("i-2", service_time_s=60.0)
            )

    def test_the_second_instance_is_silent(self) -> None:
        first = Timed("i-1", service_time_s=1.5)
        first.script.append(Fault.REJECT)
        self.expect("/unsafe/", 504, ByName(), first, Timed("i-2", service_time_s=60.0))

    def test_a_prompt_that_is_never_read(self) -> None:
        reader, decoder = Timed("p-1", "prefill", service_time_s=60.0), Timed("d-1", "decode")
        self.expect("/stream/", 503, ByName("p-1"), reader, decoder)
        self.assertEqual(decoder.arrivals, [])

    def test_a_stream_without_a_first_event(self) -> None:
        for target in ("/stream/", "/resume/"):
            self.expect(target, 504, ByName(), Timed("d-1", "decode", service_time_s=60.0))

    def test_a_stream_without_end_breaks_off(self) -> None:
        for target in ("/stream/", "/resume/"):
            self.expect(
                target,
                200,
                ByName(),
                EndlessAnswers("d-1", "decode"),
                EndlessAnswers("d-2", "decode"),
                complete=False,
            )

    def test_a_large_answer_without_end_breaks_off(self) -> None:
        self.expect("/stream/", 200, ByName(), EndlessAnswers("d-1", "decode", plain=True), complete=False)

    def test_connections_that_never_come_up(self) -> None:
        async def scenario() -> None:
            unresponsive = UnresponsiveAddress()
            try:
                async with Bench(ROUTES, ByName()) as bench:
                    for number in range(4):
                        add_unresponsive(bench, f"i-{number}", unresponsive)
                    self.assertEqual((await PatientClient(bench, "/unsafe/").ask()).status, 503)
            finally:
                unresponsive.close()

        play(scenario())

    def test_timeout_that_is_not_reached_has_no_effect(self) -> None:
        async def scenario() -> None:
            async with Bench(ROUTES, ByName()) as bench:
                await add(bench, Timed("d-1", "decode", service_time_s=30.0), ENGINE)
                self.assertEqual((await PatientClient(bench, "/long/").ask(40.0)).body, events())

        play(scenario())


if __name__ == "__main__":
    unittest.main()
