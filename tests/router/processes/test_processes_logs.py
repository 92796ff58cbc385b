"""The log: one line per record, with a rate limit per event."""

from __future__ import annotations

import io
import logging
import unittest

import picologging

from mallowbeam.http import reporting
from mallowbeam.router.processes import logs
from mallowbeam.router.processes.logs import (
    BURST,
    MAX_EVENTS,
    WINDOW_S,
    EventRateLimiter,
    get_logger,
    set_up_logging,
)


class Clock:
    def __init__(self) -> None:
        self.now = 50.0

    def __call__(self) -> float:
        return self.now


class Lines(unittest.TestCase):
    def setUp(self):
        self.stream, self.clock = io.StringIO(), Clock()
        before = list(picologging.root.handlers), list(reporting.logger.handlers)
        self.addCleanup(self.restore, *before)
        set_up_logging("node-1", self.stream, self.clock)
        self.log = get_logger("mallowbeam.test_logs")

    def restore(self, lines, forwarders):
        picologging.root.handlers[:] = lines
        reporting.logger.handlers[:] = forwarders

    @property
    def lines(self) -> list[str]:
        return self.stream.getvalue().splitlines()

    def test_a_line_has_seconds_since_the_start_level_node_and_logger(self):
        self.clock.now += 1.25
        self.log.warning("feed lost: %s", "10.0.0.1:7")
        self.assertEqual(self.lines, ["1.250 WARNING node-1 mallowbeam.test_logs: feed lost: 10.0.0.1:7"])

    def test_debug_is_left_out(self):
        self.log.debug("not shown")
        self.assertEqual(self.lines, [])

    def test_an_exception_and_line_ends_stay_on_one_line(self):
        try:
            raise ValueError("two\nlines")
        except ValueError:
            self.log.exception("failed:\r\n%s", "x\ny")
        (line,) = self.lines
        self.assertIn("failed:\\r\\nx\\ny [ValueError: two\\nlines; at ", line)
        self.assertIn("test_an_exception_and_line_ends_stay_on_one_line", line)

    def test_an_event_is_limited_and_the_next_line_states_what_was_suppressed(self):
        for number in range(BURST + 4):
            self.log.info("moved to %d", number)
        self.assertEqual(len(self.lines), BURST)
        self.clock.now += WINDOW_S
        self.log.info("moved to %d", 99)
        self.assertTrue(self.lines[-1].endswith("moved to 99 (4 more like it before)"))

    def test_one_event_does_not_suppress_another(self):
        for _ in range(BURST + 1):
            self.log.info("one")
        self.log.info("two")
        get_logger("mallowbeam.test_logs.other").info("one")
        self.assertEqual(len(self.lines), BURST + 2)

    def test_http_module_records_are_rate_limited(self):
        for _ in range(BURST + 1):
            reporting.logger.warning("cannot accept: %s", "too many")
        self.assertEqual(self.lines[0], "0.000 WARNING node-1 mallowbeam.http: cannot accept: too many")
        self.assertEqual(len(self.lines), BURST)

    def test_set_up_again_replaces_what_was_there(self):
        stream = io.StringIO()
        set_up_logging("node-2", stream, self.clock)
        self.log.info("hello")
        reporting.logger.warning("web")
        self.assertEqual(self.lines, [])
        self.assertEqual(len(stream.getvalue().splitlines()), 2)
        forwarders = [one for one in reporting.logger.handlers if isinstance(one, logs.StandardLogForwarder)]
        self.assertEqual(len(forwarders), 1)

    def test_a_closed_stream_does_not_stop_the_caller(self):
        self.stream.close()
        self.log.info("nobody reads")

    def test_the_standard_logger_stays_where_it_is(self):
        self.assertFalse(reporting.logger.propagate)
        self.assertIsInstance(reporting.logger, logging.Logger)


class Bound(unittest.TestCase):
    def test_left_out_lines_are_counted_once(self):
        limiter = EventRateLimiter()
        suppressed = [limiter.admit("a", "e", 0.0) for _ in range(BURST + 2)]
        self.assertEqual(suppressed, [0] * BURST + [None, None])
        self.assertEqual(limiter.admit("a", "e", WINDOW_S), 2)
        self.assertEqual(limiter.admit("a", "e", WINDOW_S), 0)

    def test_the_table_of_events_does_not_grow(self):
        limiter = EventRateLimiter()
        for number in range(MAX_EVENTS + 10):
            self.assertEqual(limiter.admit("a", str(number), 0.0), 0)
        self.assertEqual(len(limiter._events), MAX_EVENTS)


if __name__ == "__main__":
    unittest.main()
