"""Each checker is able to fail: variants broken on purpose are caught, by schedules or by scenarios."""

from __future__ import annotations

import unittest

import consensus_variants as variants
from consensus_checkers import Violation
from consensus_scenario import FOLDER, parse
from consensus_scenario import play as play_scenario
from consensus_walker import Walk

SEEDS = range(200)

BY_SCHEDULES = [
    (variants.commits_older_terms_by_count, {"own term"}),
    (variants.vote_not_durable, {"durable term", "durable vote"}),
    (variants.own_vote_not_durable, {"durable vote"}),
    (variants.answers_before_write, {"durable entries"}),
    (variants.leader_counts_unwritten, {"durable entries", "durable on a majority"}),
    (variants.dropped_entries_count, {"durable entries", "durable on a majority"}),
    (variants.reads_without_round, {"linearizable"}),
    (variants.reads_before_own_commit, {"linearizable"}),
    (variants.learners_count, {"durable on a majority"}),
    (variants.changes_without_overlap, {"membership"}),
    (variants.membership_not_rolled_back, {"membership"}),
    (variants.votes_without_log_check, {"committed entries"}),
    (variants.commits_beyond_match, {"state machine"}),
    (variants.conflicts_kept, {"durable on a majority", "state machine"}),
]

BY_SCENARIOS = [
    (variants.no_pre_vote, "follower_returns"),
    (variants.no_check_quorum, "leader_isolated"),
    (variants.no_stickiness, "hears_nobody_idle"),
    (variants.stalled_leader_stays, "leader_disk_stalls"),
    (variants.removed_never_campaigns, "removal_not_committed"),
    (variants.learners_refuse, "promoted_unaware"),
    (variants.silence_without_deadline, "minority"),
]


class Variants(unittest.TestCase):
    def test_by_schedules(self) -> None:
        for variant, checkers in BY_SCHEDULES:
            with self.subTest(variant=variant.__name__), variant():
                self.assertTrue(self._caught(checkers), f"not caught in {len(SEEDS)} schedules")

    def _caught(self, checkers: set[str]) -> bool:
        for seed in SEEDS:
            try:
                Walk(seed).play()
            except Violation as violation:
                if violation.checker in checkers:
                    return True
        return False

    def test_by_scenarios(self) -> None:
        for variant, name in BY_SCENARIOS:
            scenario = parse(FOLDER / f"{name}.txt")
            with self.subTest(variant=variant.__name__), variant(), self.assertRaises(Violation):
                play_scenario(scenario, scenario.seeds[0])


if __name__ == "__main__":
    unittest.main()
