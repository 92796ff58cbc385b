"""Broken variants of the core are detected by random schedules or scenarios, so each checker can fail."""

from __future__ import annotations

import unittest
from collections.abc import Callable
from functools import partial

import consensus_variants as variants
from consensus_checkers import Violation
from consensus_scenario import CONSENSUS_SCENARIOS, parse
from consensus_scenario import play as play_scenario
from consensus_walker import Walk

SEEDS = range(200)

BY_SCHEDULES = [
    (variants.commits_older_terms_by_count, {"own term"}),
    (variants.vote_not_durable, {"durable term", "durable vote"}),
    (variants.own_vote_not_durable, {"durable vote"}),
    (variants.acknowledges_before_write, {"durable entries"}),
    (variants.leader_counts_unwritten, {"durable entries", "durable on a majority"}),
    (variants.truncated_entries_acknowledged, {"durable entries", "durable on a majority"}),
    (variants.reads_without_round, {"linearizable"}),
    (variants.reads_before_own_commit, {"linearizable"}),
    (variants.learners_count_as_voters, {"durable on a majority"}),
    (variants.changes_without_overlap, {"membership"}),
    (variants.joint_by_incoming_only, {"durable on a majority"}),
    (variants.joint_by_outgoing_only, {"durable on a majority"}),
    (variants.outgoing_dropped_at_compaction, {"membership"}),
    (variants.joint_ended_before_commit, {"durable on a majority"}),
    (variants.target_voters_ignored, {"places"}),
    (variants.membership_not_rolled_back, {"membership"}),
    (variants.votes_without_log_check, {"committed entries"}),
    (variants.previous_entry_unchecked, {"log matching"}),
    (variants.commit_index_falls, {"commit index"}),
    (variants.rejections_ignored, {"recovery"}),
    (variants.term_not_durable, {"durable term"}),
    (variants.commits_beyond_match, {"state machine"}),
    (variants.conflicting_entries_retained, {"durable on a majority", "state machine"}),
    (variants.snapshot_installed_incomplete, {"state machine"}),
    (variants.snapshot_acknowledged_before_write, {"durable entries"}),
    (variants.chunks_never_retransmitted, {"recovery"}),
]

BY_SCENARIOS = [
    (variants.votes_twice, "colliding_campaigns", "one leader a term"),
    (variants.no_pre_vote, "follower_returns", "scenario"),
    (variants.no_check_quorum, "leader_isolated", "scenario"),
    (variants.no_leader_stickiness, "hears_nobody_idle", "scenario"),
    (variants.stall_undetected, "leader_disk_stalls", "scenario"),
    (variants.removed_never_campaigns, "removal_not_committed", "scenario"),
    (variants.learners_reject_votes, "promoted_unaware", "scenario"),
    (variants.quorum_check_without_deadline, "minority", "scenario"),
    (variants.chunk_streams_mixed, "snapshot_leader_killed", "state machine"),
    (variants.entry_appended_incomplete, "large_entries_in_chunks", "state machine"),
    (variants.chunks_restarted_from_zero, "snapshot_cut", "scenario"),
    (variants.arrival_time_as_freshness, "steady_lag", "scenario"),
    (variants.chunk_window_unlimited, "snapshot_in_chunks", "scenario"),
    (variants.entries_after_chunks_dropped, "changes_while_sending", "scenario"),
]


class Variants(unittest.TestCase):
    def test_by_schedules(self) -> None:
        for variant, checkers in BY_SCHEDULES:
            with self.subTest(variant=variant.__name__), variant():
                self.assertTrue(self._is_detected(lambda seed: Walk(seed).play(), checkers))

    def _is_detected(self, play: Callable[[int], object], checkers: set[str]) -> bool:
        """Return whether one of the checkers fails for a seed; other checkers may fail for earlier seeds."""
        for seed in SEEDS:
            try:
                play(seed)
            except Violation as violation:
                if violation.checker in checkers:
                    return True
        return False

    def test_by_scenarios(self) -> None:
        for variant, name, checker in BY_SCENARIOS:
            scenario = parse(CONSENSUS_SCENARIOS / f"{name}.txt")
            with self.subTest(variant=variant.__name__), variant():
                self.assertTrue(self._is_detected(partial(play_scenario, scenario), {checker}))


if __name__ == "__main__":
    unittest.main()
