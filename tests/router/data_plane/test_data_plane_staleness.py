"""A gateway reports that no member has confirmed its state: otherwise an old state shows no sign."""

from __future__ import annotations

import unittest
from math import inf

from mallowbeam.router.data_plane.staleness_monitor import (
    REPORT_AFTER_S,
    REPORT_INTERVAL_S,
    StalenessMonitor,
    StateCurrent,
    StateStale,
)


class Reports(unittest.TestCase):
    def test_a_current_state_is_not_reported(self) -> None:
        monitor = StalenessMonitor(100.0)
        for now in range(100, 200):
            self.assertIsNone(monitor.update(0.3, float(now)))

    def test_a_stale_state_is_reported_at_intervals_until_it_is_current(self) -> None:
        monitor = StalenessMonitor(0.0)
        reports = {now: monitor.update(now - 50.0, float(now)) for now in range(50, 81)}
        first = 50 + int(REPORT_AFTER_S) + 1
        second = first + int(REPORT_INTERVAL_S)
        reported = {now: event for now, event in reports.items() if event is not None}
        expected = {at: StateStale(at - 50.0) for at in (first, second, second + int(REPORT_INTERVAL_S))}
        self.assertEqual(reported, expected)
        self.assertEqual(monitor.update(0.2, 81.0), StateCurrent())
        self.assertIsNone(monitor.update(0.2, 82.0))
        self.assertEqual(monitor.update(REPORT_AFTER_S + 1, 90.0), StateStale(REPORT_AFTER_S + 1))

    def test_a_state_that_was_never_confirmed_ages_from_the_start(self) -> None:
        monitor = StalenessMonitor(7.0)
        self.assertIsNone(monitor.update(inf, 7.0 + REPORT_AFTER_S))
        self.assertEqual(monitor.update(inf, 13.0), StateStale(6.0))


if __name__ == "__main__":
    unittest.main()
