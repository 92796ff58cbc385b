"""The order in which a gateway tries members while none is reachable."""

from __future__ import annotations

import unittest
from random import Random

from mallowbeam.router.feed.candidates import Candidates
from mallowbeam.router.feed.limits import CONNECT_TIMEOUT_S

MEMBERS = ("m1", "m2", "m3", "m4", "m5")
POLL_S = 0.01


class NoneAnswers(unittest.TestCase):
    def test_each_member_is_tried_within_a_few_seconds(self) -> None:
        """Two unreachable members that were followed before must not starve those never followed."""
        for seed in range(1, 21):
            candidates = Candidates(MEMBERS, Random(seed))
            candidates.replace_members(MEMBERS)
            candidates.record_frame("m1", 5.0)
            candidates.record_frame("m4", 6.0)
            for member in MEMBERS:
                candidates.record_failure(member, 10.0)
            tried = self.tried(candidates, 10.0, 14.0)
            with self.subTest(seed=seed):
                self.assertEqual(tried, set(MEMBERS))

    def tried(self, candidates: Candidates, since: float, until: float) -> set[str]:
        """Return the members that are tried while no connection opens."""
        now, tried = since, set()
        while now < until:
            member = candidates.choose(now)
            if member is None:
                now += POLL_S
                continue
            tried.add(member)
            now += CONNECT_TIMEOUT_S
            candidates.record_failure(member, now)
        return tried


if __name__ == "__main__":
    unittest.main()
