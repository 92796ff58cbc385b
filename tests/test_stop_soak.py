"""Two short soaks of planned stops with real processes, and their judges shown able to fail.

The long run is started by hand: see the docstring of `tests/support/stop_soak.py`.
"""

from __future__ import annotations

import asyncio
import random
import unittest
from dataclasses import dataclass, field

import pytest
from run_python import run_script
from soak_judge import GRACE_S, LOSS_SLACK_S
from stop_soak_clients import StopClients
from stop_soak_judge import (
    AFTER_GRACE_S,
    LAST_PART_S,
    LATE_S,
    MAX_OTHER_LOSSES,
    Run,
    Sent,
    SentConnection,
    StopJudge,
)
from stream_head import stream_head
from stream_order import order_violation

from mallowbeam.standins.model_server import ModelServer, chunk

SEEDS = (1, 2)
STOPS_S = 10.0
TIMEOUT_S = 300.0  # a run takes about half a minute; only a failure comes near the limit
GATEWAY = "data-plane-1"
STOPPED_AT = 100.0
LIMIT_S = 8.0


@pytest.mark.parametrize("seed", SEEDS)
def test_series_of_stops_lose_no_request(seed):
    options = ("--first", str(seed), "--seconds", str(STOPS_S))
    judged = run_script("stop_soak.py", *options, timeout_s=TIMEOUT_S)["judged"]
    assert judged["stops"] and judged["answers 200"] and judged["without an answer"]
    assert judged["streams, complete"]


class JudgeOfStops(unittest.TestCase):
    """Each condition of the rule is met once, and once not; times are relative to one SIGTERM."""

    def setUp(self) -> None:
        self.judge = StopJudge()
        self.judge.stop_sent(GATEWAY, STOPPED_AT)

    def lost(
        self, sent_s: float, read_s: float | None, ended_s: float, *runs: tuple[float, float], **more: object
    ) -> bool:
        """Whether a request without an answer counts as lost."""
        read_at = float("inf") if read_s is None else STOPPED_AT + read_s
        sent = Sent("a", "/talk/1", LIMIT_S, 10, STOPPED_AT + sent_s, read_at, **more)  # type: ignore[arg-type]
        self.judge.runs["a"] = [Run(STOPPED_AT + begun, STOPPED_AT + ended) for begun, ended in runs]
        self.judge.violations.clear()
        self.judge.ended(SentConnection(GATEWAY, ("", ""), 10, [sent]), STOPPED_AT + ended_s)
        return bool(self.judge.violations)

    def test_a_request_that_was_read_and_dropped_is_lost(self) -> None:
        self.assertTrue(self.lost(1.0, 1.1, 2.0))
        self.assertTrue(self.lost(-1.0, -0.9, 2.0))
        self.assertFalse(self.lost(1.0, None, 2.0))  # its client may send it elsewhere
        self.assertFalse(self.lost(1.0, 1.1, 1.0 + LOSS_SLACK_S - 0.01))  # it crossed the close
        self.assertFalse(self.lost(1.0, 1.1, 2.0, too_late=True))
        self.assertFalse(self.lost(1.0, 1.1, GRACE_S + AFTER_GRACE_S + 0.1))

    def test_a_few_requests_passed_on_may_be_lost_apart_from_stops(self) -> None:
        at = GRACE_S + AFTER_GRACE_S + 1.0
        lost = [self.lost(at, at, at + 1.0, (at, at + 1.0)) for _ in range(MAX_OTHER_LOSSES + 1)]
        self.assertEqual(lost, [False] * MAX_OTHER_LOSSES + [True])

    def test_a_request_that_was_passed_on_is_lost_however_soon(self) -> None:
        self.assertTrue(self.lost(1.0, 1.0, 1.1, (1.05, 1.1)))
        self.assertTrue(self.lost(1.0, 1.0, 1.1, (1.05, 1.1), too_late=True))

    def test_work_to_the_end_excuses_only_what_was_sent_early(self) -> None:
        late, end = LATE_S + 0.1, LAST_PART_S + 0.5
        self.assertFalse(self.lost(1.0, 1.0, end, (1.0, end)))
        self.assertTrue(self.lost(late, late, end, (late, end)))
        self.assertTrue(self.lost(1.0, 1.0, end, (1.0, LAST_PART_S - 0.1)))

    def test_a_time_limit_that_was_reached_excuses(self) -> None:
        self.assertFalse(self.lost(-4.0, -4.0, LIMIT_S - 4.0, (-4.0, LIMIT_S - 4.0)))
        self.assertTrue(self.lost(-4.0, -4.0, LIMIT_S - 4.01, (-4.0, LIMIT_S - 4.01)))

    def test_a_client_that_gives_up_loses_nothing(self) -> None:
        sent = Sent("a", "/talk/1", LIMIT_S, 10, STOPPED_AT + 1.0, STOPPED_AT + 1.0)
        for given_up in (True, False):
            connection = SentConnection(GATEWAY, ("", ""), 10, [sent], given_up)
            self.judge.ended(connection, STOPPED_AT + 3.0)
            self.assertEqual(bool(self.judge.violations), not given_up)

    def test_time_in_which_the_soak_itself_did_not_run_does_not_count(self) -> None:
        self.judge.was_late(STOPPED_AT + 1.1, STOPPED_AT + 1.9)
        self.assertFalse(self.lost(1.0, 1.1, 2.0))
        self.assertTrue(self.lost(1.0, 1.1, 2.2))

    def test_a_request_is_read_once_no_byte_of_it_is_queued(self) -> None:
        sent = [Sent("a", "/x", LIMIT_S, 10), Sent("b", "/x", LIMIT_S, 30), Sent("c", "/x", LIMIT_S)]
        connection = SentConnection(GATEWAY, ("", ""), 40, sent)
        connection.look(11, 1.0)
        connection.look(10, 2.0)
        self.assertEqual([one.read_at for one in sent], [1.0, 2.0, float("inf")])


def stream(*numbers: int) -> bytes:
    """The body of a stream with these events."""
    return b"".join(b"id: %d\ndata: token\n\n" % number for number in numbers)


class JudgeOfOrder(unittest.TestCase):
    def test_a_whole_stream_is_in_order_and_so_is_any_begin_of_a_cut_one(self) -> None:
        self.assertIsNone(order_violation(stream(1, 2, 3), True, {3}))
        self.assertIsNone(order_violation(stream(1, 2, 3), True, {3, 5}))
        for size in range(len(stream(1, 2, 3))):
            self.assertIsNone(order_violation(stream(1, 2, 3)[:size], False, {3}))

    def test_an_event_that_is_missing_doubled_or_out_of_order_is_noticed(self) -> None:
        for numbers in ((1, 3), (2, 3), (1, 1, 2, 3), (1, 2, 2, 3), (2, 1, 3), (1, 3, 2), (1, 2, 3, 1)):
            for complete in (True, False):
                self.assertIsNotNone(order_violation(stream(*numbers), complete, {3}), numbers)

    def test_a_stream_that_is_complete_before_its_end_is_noticed(self) -> None:
        self.assertIsNotNone(order_violation(stream(1, 2), True, {3}))
        self.assertIsNotNone(order_violation(stream(1, 2, 3)[:-1], True, {3}))
        self.assertIsNotNone(order_violation(stream(1, 2) + stream(3)[:9] + stream(3), False, {3}))


@dataclass
class Dropping(ModelServer):
    """Stands in for a gateway that drops an event of each stream."""

    EVENTS = 5
    dropped: int = 0  # number of the event; 0 for none
    judge: StopJudge = field(default_factory=StopJudge)
    stopping: asyncio.Event = field(default_factory=asyncio.Event)

    @property
    def front(self) -> str:
        """Where clients connect."""
        return self.address

    @property
    def name(self) -> str:
        """The gateway's name."""
        return self.id

    async def _stream(self, seen, reader, writer, fault):
        self.stopping.set()
        request_id = seen.headers["request-id"]
        self.judge.last_events[request_id].add(self.EVENTS)
        writer.write(stream_head(request_id, self._stamp))
        for number in range(1, self.EVENTS + 1):
            if number != self.dropped:
                writer.write(chunk(stream(number)))
        writer.write(b"0\r\n\r\n")
        return True


class ClientOfStops(unittest.TestCase):
    """A client of the soak has each stream judged that it reads."""

    def play(self, dropped: int) -> StopJudge:
        """A client's requests at a gateway that drops that event."""

        async def scenario() -> StopJudge:
            gateway = Dropping("d-1", "decode", dropped=dropped)
            await gateway.start()
            await StopClients(random.Random(1), gateway.judge).run(gateway, gateway.stopping)
            await gateway.stop()
            return gateway.judge

        return asyncio.run(asyncio.wait_for(scenario(), TIMEOUT_S))

    def test_a_gateway_that_drops_one_event_is_noticed(self) -> None:
        for dropped in range(1, Dropping.EVENTS + 1):
            violations = self.play(dropped).violations
            self.assertTrue(violations)
            self.assertTrue(all(one.startswith("ORDER") for one in violations), violations)

    def test_a_gateway_that_drops_none_is_not(self) -> None:
        judge = self.play(dropped=0)
        self.assertEqual(judge.violations, [])
        self.assertGreater(judge.judged["streams, complete"], 0)


if __name__ == "__main__":
    unittest.main()
