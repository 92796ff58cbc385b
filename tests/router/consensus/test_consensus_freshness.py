"""Freshness of a follower: when its state is known to be current."""

from __future__ import annotations

import unittest
from math import inf, isinf

from consensus_host import Host, entry

from mallowbeam.router.consensus.round_echo import MAX_ROUNDS, RoundEcho

HEARTBEAT_S = 0.1
STARTUP_S = 2.0  # the first messages after a start may have been delayed for long


class Freshness(unittest.TestCase):
    def test_follower_is_not_current_before_a_commit_of_the_leaders_term(self) -> None:
        """After a restart of all members its commit index is far below the acknowledged entries."""
        host = Host(entries=(entry(2, 1), entry(3, 1)), term=2)
        self.heartbeats(host, (3, 1), commit=1)
        self.assertEqual(host.node.commit_index, 1)
        self.assertTrue(isinf(host.node.freshness(host.now)))

    def test_follower_is_current_after_a_commit_of_the_leaders_term(self) -> None:
        host = Host(entries=(entry(2, 1), entry(3, 2)), term=2)
        self.heartbeats(host, (3, 2), commit=3)
        self.assertEqual(host.node.commit_index, 3)
        self.assertLess(host.node.freshness(host.now), 0.2)

    def heartbeats(self, host: Host, last: tuple[int, int], commit: int) -> None:
        """Receive heartbeats of the leader of term 2 for `STARTUP_S` seconds."""
        for _ in range(int(STARTUP_S / 0.1)):
            host.now += 0.1
            host.append(2, 2, last, commit=commit)


class Echoes(unittest.TestCase):
    """An append that echoes the last answered round is no older than that answer, however late it arrives."""

    def test_a_healthy_path_costs_a_round_trip_and_a_heartbeat_interval(self) -> None:
        self.assertLess(self.freshness(lag_s=0.002), 0.2)

    def test_a_steady_lag_counts_in_full(self) -> None:
        for lag_s in (0.4, 0.7, 1.5, 5.0):
            self.assertGreaterEqual(self.freshness(lag_s), lag_s)

    def test_a_leader_of_an_earlier_version_does_not_echo(self) -> None:
        host = Host()
        for number in range(1, 30):
            host.now += HEARTBEAT_S
            host.append(2, 1, (1, 1), commit=1, round_number=number)
        self.assertEqual(host.node.freshness(host.now), 0.0)

    def test_an_append_without_an_echo_of_a_leader_that_echoes_proves_nothing(self) -> None:
        host = Host()
        for number in range(1, 30):
            host.now += HEARTBEAT_S
            host.append(2, 1, (1, 1), commit=1, round_number=number, answered_round=number - 1)
        before = host.node.freshness(host.now)
        host.now += HEARTBEAT_S
        host.append(2, 1, (1, 1), commit=1, round_number=29)  # like an entry received in chunks
        self.assertAlmostEqual(host.node.freshness(host.now), before + HEARTBEAT_S)

    def freshness(self, lag_s: float) -> float:
        """Return a follower's freshness after ten times `lag_s`, by which all leader messages are delayed."""
        host = Host()
        lag, rounds = max(1, round(lag_s / HEARTBEAT_S)), 10 * max(1, round(lag_s / HEARTBEAT_S)) + 30
        for number in range(1, rounds):
            host.now += HEARTBEAT_S
            answered = max(0, number - lag)  # responses arrive without delay
            host.append(2, 1, (1, 1), commit=1, round_number=number, answered_round=answered)
        return host.node.freshness(host.now)


class RoundEchoTests(unittest.TestCase):
    def test_the_first_message_of_a_round_counts(self) -> None:
        echo = RoundEcho()
        for now in (1.0, 2.0, 3.0):
            echo.record_processed(1, 7, now)
        self.assertEqual(echo.built_after(7, 9.0), 1.0)

    def test_a_round_that_came_after_a_later_one_counts_as_the_one_before(self) -> None:
        echo = RoundEcho()
        for number, now in ((5, 1.0), (8, 2.0), (6, 3.0)):
            echo.record_processed(1, number, now)
        self.assertEqual(echo.built_after(6, 9.0), 1.0)

    def test_rounds_of_another_term_and_forgotten_ones_prove_nothing(self) -> None:
        echo = RoundEcho()
        echo.record_processed(1, 5, 1.0)
        echo.record_processed(2, 6, 2.0)
        self.assertEqual(echo.built_after(5, 9.0), -inf)
        for number in range(7, 7 + MAX_ROUNDS):
            echo.record_processed(2, number, 3.0)
        self.assertEqual(echo.built_after(6, 9.0), -inf)


if __name__ == "__main__":
    unittest.main()
