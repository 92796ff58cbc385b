"""When a follower's state counts as current."""

from __future__ import annotations

import unittest
from math import isinf

from consensus_host import Host, entry

LONG_S = 2.0  # what comes first after a start may have been on its way for long


class Freshness(unittest.TestCase):
    def test_follower_is_not_current_before_a_commit_of_the_leaders_term(self) -> None:
        """After a restart of all, its commit index is far below what was acknowledged before."""
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
        """The leader of term 2 is heard for a while."""
        for _ in range(int(LONG_S / 0.1)):
            host.now += 0.1
            host.append(2, 2, last, commit=commit)


if __name__ == "__main__":
    unittest.main()
