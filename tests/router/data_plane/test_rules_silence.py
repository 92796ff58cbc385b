"""A sound instance that is silent for a while costs its client no answer; in virtual time."""

from __future__ import annotations

import asyncio
import unittest
from dataclasses import dataclass

from failing_instances import ByName, add
from gateway_bench import BUDGET, ENGINE, Answer, Bench, configuration, events, route
from stream_head import stream_head
from timed_instances import EndlessAnswers, Timed, now
from virtual_time import play

from mallowbeam.router.data_plane.retry_budget import BudgetSettings
from mallowbeam.router.data_plane.truncation import TruncationCause
from mallowbeam.router.streams.timeouts import MIN_CLIENT_TIMEOUT_S, MIN_RESUME_TIMEOUT_S
from mallowbeam.standins.model_server import EVENTS, Fault, ReceivedRequest, chunk

LONG_MS = 60_000
SILENT_S = (MIN_RESUME_TIMEOUT_S + MIN_CLIENT_TIMEOUT_S) / 2  # its client still waits
NO_RETRIES = BudgetSettings(ratio=0.0, window_s=10.0, min_retries=0)
ROUTES = configuration(
    route("/stream/", "stream", ENGINE, gap_aim_ms=100, timeout_ms=LONG_MS),
    route("/resume/", "stream", ENGINE, resumable=True, gap_aim_ms=100, timeout_ms=LONG_MS, max_retries=2),
)


@dataclass
class SilentStream(Timed):
    """Sends two events, nothing for `silent_s` seconds, and then the rest."""

    silent_s: float = SILENT_S

    async def _stream(
        self, seen: ReceivedRequest, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, fault: object
    ) -> bool:
        writer.write(stream_head(seen.headers["request-id"], self._stamp))
        first = int(seen.headers.get("last-event-id", "0")) + 1
        for number in range(first, EVENTS + 1):
            if number == first + 2:
                writer.write(chunk(b"id: "))  # the silence begins inside an event
                await self._work(reader, self.silent_s)
                writer.write(chunk(b"%d\ndata: token %d\n\n" % (number, number)))
            else:
                writer.write(chunk(b"id: %d\ndata: token %d\n\n" % (number, number)))
        writer.write(b"0\r\n\r\n")
        return True


def scripted(id: str, fault: Fault, service_time_s: float = 0.0) -> Timed:
    """An instance that has this fault at its first request."""
    instance = Timed(id, "decode", service_time_s=service_time_s)
    instance.script.append(fault)
    return instance


class Case(unittest.TestCase):
    def ask(
        self,
        *instances: Timed,
        target: str = "/resume/",
        budget: BudgetSettings = BUDGET,
        cut: dict[TruncationCause, int] | None = None,
    ) -> Answer:
        """Ask once, check which streams were cut and that nobody works on; return the answer."""
        answers: list[Answer] = []
        planner = ByName()

        async def scenario() -> None:
            async with Bench(ROUTES, planner, budget) as bench:
                for one in instances:
                    await add(bench, one, ENGINE)
                answers.append(await bench.ask(target, headers={"Deadline-Ms": str(LONG_MS)}))
                await asyncio.sleep(0.1)
                self.assertEqual([one.working for one in instances], [0] * len(instances))
                self.assertEqual(planner.open_bookings, 0)
                self.assertEqual(dict(bench.gateway.streams_truncated), cut or {})

        play(scenario())
        return answers[0]


class RefusedResumption(Case):
    """The stream of a silent instance goes on while no other instance takes it."""

    def expect_complete(self, *others: Timed, budget: BudgetSettings = BUDGET) -> None:
        silent = SilentStream("d-1", "decode")
        answer = self.ask(silent, *others, budget=budget)
        self.assertEqual((answer.complete, answer.body), (True, events()))
        self.assertEqual(answer.headers["server-signature"], "stamp.d-1")
        self.assertEqual(silent.cancelled, 0)

    def test_a_silent_stream_is_not_cut_when_no_other_instance_is_there(self) -> None:
        self.expect_complete()

    def test_a_silent_stream_is_not_cut_when_the_retry_budget_is_used_up(self) -> None:
        self.expect_complete(Timed("d-2", "decode"), budget=NO_RETRIES)

    def test_a_silent_stream_is_not_cut_when_the_other_instance_refuses_fails_or_breaks_off(self) -> None:
        for fault in (Fault.REJECT, Fault.MISDIRECT, Fault.FAIL, Fault.RESET):
            for service_time_s in (0.0, 0.3):
                self.expect_complete(scripted("d-2", fault, service_time_s))

    def test_a_silent_stream_that_goes_on_first_is_forwarded_and_the_other_one_is_cancelled(self) -> None:
        for other in (Timed("d-2", "decode", service_time_s=5.0), scripted("d-2", Fault.SILENT)):
            self.expect_complete(other)
            self.assertEqual((len(other.arrivals), other.cancelled), (1, 1))


class Resumption(Case):
    def test_a_silent_stream_is_resumed_where_another_instance_takes_it(self) -> None:
        for service_time_s in (0.0, 0.3):
            silent = SilentStream("d-1", "decode", silent_s=30.0)
            other = Timed("d-2", "decode", service_time_s=service_time_s)
            answer = self.ask(silent, other)
            self.assertEqual((answer.complete, answer.body), (True, events()))
            (arrival,) = other.arrivals
            self.assertEqual(arrival.seen.headers["last-event-id"], "2")
            self.assertEqual(silent.cancelled, 1)

    def test_a_silent_instance_that_breaks_off_while_another_one_is_asked_costs_nothing(self) -> None:
        class Breaking(SilentStream):
            async def _work(self, reader: asyncio.StreamReader, seconds: float) -> None:
                await super()._work(reader, seconds)
                raise ConnectionResetError

        other = Timed("d-2", "decode", service_time_s=1.0)
        answer = self.ask(Breaking("d-1", "decode"), other)
        self.assertEqual((answer.complete, answer.body), (True, events()))
        self.assertEqual(len(other.arrivals), 1)


class LongSilence(Case):
    def test_the_gateway_does_not_give_up_when_a_client_would(self) -> None:
        """Guards against ending at the client's own 2.000 s, so that chance decided which came first."""
        for silent_s in (MIN_CLIENT_TIMEOUT_S + 0.001, 10.0):
            for target in ("/stream/", "/resume/"):
                answer = self.ask(SilentStream("d-1", "decode", silent_s=silent_s), target=target)
                self.assertEqual((answer.complete, answer.body), (True, events()))

    def test_two_silent_instances(self) -> None:
        instances = [SilentStream(f"d-{number}", "decode", silent_s=10.0) for number in (1, 2)]
        answer = self.ask(*instances)
        self.assertEqual((answer.complete, answer.body), (True, events()))

    def test_a_client_that_goes_while_another_instance_is_asked_leaves_no_work(self) -> None:
        planner = ByName()

        async def scenario() -> None:
            async with Bench(ROUTES, planner) as bench:
                instances = [
                    SilentStream("d-1", "decode", silent_s=30.0),
                    Timed("d-2", "decode", service_time_s=30.0),
                ]
                for one in instances:
                    await add(bench, one, ENGINE)
                asking = asyncio.ensure_future(bench.ask("/resume/", headers={"Deadline-Ms": str(LONG_MS)}))
                await asyncio.sleep(MIN_RESUME_TIMEOUT_S + 0.2)
                self.assertEqual([one.working for one in instances], [1, 1])
                bench.close_clients()
                await asyncio.sleep(0.2)
                self.assertEqual([one.working for one in instances], [0, 0])
                self.assertEqual(planner.open_bookings, 0)
                await asyncio.gather(asking, return_exceptions=True)

        play(scenario())


class EndAtTheDeadline(unittest.TestCase):
    DEADLINE_S = 3.0

    def test_no_response_that_has_begun_is_cut_before_its_client_s_deadline(self) -> None:
        for plain in (False, True):
            for target in ("/stream/", "/resume/"):

                async def scenario(plain: bool = plain, target: str = target) -> None:
                    async with Bench(ROUTES, ByName()) as bench:
                        endless = EndlessAnswers("d-1", "decode", plain=plain)
                        await add(bench, endless, ENGINE)
                        began = now()
                        deadline_ms = str(int(self.DEADLINE_S * 1000))
                        answer = await bench.ask(target, headers={"Deadline-Ms": deadline_ms})
                        self.assertFalse(answer.complete)
                        self.assertGreaterEqual(now() - began, self.DEADLINE_S)
                        self.assertLess(now() - began, self.DEADLINE_S + 0.25)
                        await asyncio.sleep(0.1)
                        self.assertEqual(endless.working, 0)

                play(scenario())

    def test_a_resumed_stream_whose_second_instance_is_silent_is_not_cut_before_its_client_s_deadline(
        self,
    ) -> None:
        async def scenario() -> None:
            async with Bench(ROUTES, ByName()) as bench:
                await add(bench, scripted("d-1", Fault.TRUNCATED), ENGINE)
                await add(bench, Timed("d-2", "decode", service_time_s=30.0), ENGINE)
                began = now()
                answer = await bench.ask("/resume/", headers={"Deadline-Ms": "3000"})
                self.assertFalse(answer.complete)
                self.assertGreaterEqual(now() - began, self.DEADLINE_S)

        play(scenario())

    def test_an_instance_is_not_told_to_end_a_stream_before_its_client_s_deadline(self) -> None:
        async def scenario() -> None:
            async with Bench(ROUTES, ByName()) as bench:
                one = Timed("d-1", "decode")
                await add(bench, one, ENGINE)
                await bench.ask("/stream/", headers={"Deadline-Ms": "3000"})
                self.assertGreaterEqual(one.arrivals[0].deadline_ms, 2999)

        play(scenario())


if __name__ == "__main__":
    unittest.main()
