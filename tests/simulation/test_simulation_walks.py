"""Random walks of the whole fleet, their drawn plans and faults, and the loss budget that bounds them."""

from __future__ import annotations

import unittest
from concurrent.futures import ProcessPoolExecutor
from random import Random

from mallowbeam.simulation.loss_budget import CATCH_UP_S, LossBudget
from mallowbeam.simulation.walk import LONGEST_RECOVERY_S, Plan, Walk, discard_logs, draw_plan, run_seed

PROCESSES = 4
WALKS = 32
DRAWS = 500
CALM = Plan(
    members=3,
    bounded=True,
    fault_interval_s=0.2,
    change_interval_s=1.0,
    large=False,
    compact_entries=10,
    trailing_entries=4,
)


class Budgets(unittest.TestCase):
    def test_no_more_than_the_tolerance_is_lost_at_one_time(self) -> None:
        budget = LossBudget(2)
        self.assertTrue(budget.begin("m1", 1.0))
        self.assertTrue(budget.begin("m2", 1.0))
        self.assertFalse(budget.begin("m3", 1.0))
        self.assertEqual(budget.active, {"m1", "m2"})

    def test_a_member_counts_until_it_has_caught_up(self) -> None:
        budget = LossBudget(1)
        budget.begin("m1", 1.0)
        budget.end("m1", 2.0)
        self.assertFalse(budget.begin("m2", 2.0 + CATCH_UP_S - 0.1))
        self.assertTrue(budget.begin("m2", 2.0 + CATCH_UP_S))

    def test_the_same_member_may_be_lost_again_at_once(self) -> None:
        budget = LossBudget(1)
        budget.begin("m1", 1.0)
        self.assertFalse(budget.begin("m1", 1.5))
        budget.end("m1", 2.0)
        self.assertTrue(budget.begin("m1", 2.1))

    def test_a_removed_member_counts_until_its_successor_has_caught_up(self) -> None:
        budget = LossBudget(1)
        budget.begin("m3", 10.0)
        budget.removed("m3", 11.0, successor_at=9.0)
        self.assertFalse(budget.begin("m1", 12.9))
        self.assertTrue(budget.begin("m1", 13.0))

    def test_one_whose_successor_has_caught_up_does_not_count(self) -> None:
        budget = LossBudget(1)
        budget.removed("m3", 13.0, successor_at=8.0)
        self.assertTrue(budget.begin("m1", 13.3))

    def test_time_since_event_is_counted_from_the_last_event(self) -> None:
        budget = LossBudget(1)
        budget.begin("m1", 1.0)
        budget.end("m1", 3.0)
        self.assertEqual(budget.time_since_event(5.0), 2.0)
        budget.disturbed(4.5)
        self.assertEqual(budget.time_since_event(5.0), 0.5)


class Plans(unittest.TestCase):
    def test_seeds_draw_every_size_and_both_kinds_of_bounds(self) -> None:
        plans = [draw_plan(Random(seed)) for seed in range(1, 201)]
        self.assertEqual({plan.members for plan in plans}, {3, 4, 5, 6, 8})
        self.assertEqual({plan.bounded for plan in plans}, {True, False})
        self.assertEqual({plan.large for plan in plans}, {True, False})
        self.assertEqual(
            {(plan.members, plan.tolerance) for plan in plans}, {(3, 1), (4, 1), (5, 2), (6, 2), (8, 2)}
        )

    def test_every_kind_of_fault_is_drawn(self) -> None:
        members = Walk(1, plan=CALM).members
        members.kinds = dict.fromkeys(members.kinds, lambda: True)
        for _ in range(DRAWS):
            members.draw()
        self.assertEqual(members.drawn.keys(), members.kinds.keys())

    def test_every_kind_of_fault_ends_by_itself(self) -> None:
        for kind in Walk(1, plan=CALM).members.kinds:
            walk = Walk(1, plan=CALM)
            walk.player.play()
            walk.player.checkers.clear()
            self.assertTrue(walk.members.kinds[kind](), kind)
            walk.player.simulator.run_until(walk.player.simulator.now + LONGEST_RECOVERY_S)
            self.assertEqual(walk.budget.active, frozenset(), kind)


class Operators(unittest.TestCase):
    def test_they_call_members_that_are_lost_but_none_that_was_removed_for_good(self) -> None:
        player = Walk(1, plan=CALM).player
        player.play()
        player.members["m1"].removed = True
        player.do_power_off("m2")
        called = {player.operator.any_member() for _ in range(DRAWS)}
        self.assertEqual(called, {"m2", "m3"})

    def test_a_removed_member_is_known_as_removed_once_its_successor_has_started(self) -> None:
        for kind in ("replace", "replace-planned"):
            walk = Walk(1, plan=CALM)
            walk.player.play()
            walk.player.checkers.clear()
            self.assertTrue(walk.members.kinds[kind]())
            walk.player.simulator.run_until(walk.player.simulator.now + LONGEST_RECOVERY_S)
            removed = [name for name, member in walk.player.members.items() if member.removed]
            self.assertEqual(removed, list(walk.members.retiring), kind)


class Walks(unittest.TestCase):
    def test_an_order_whose_operator_would_call_only_removed_members_is_answered(self) -> None:
        self.assertEqual(run_seed(9001).failure, "")

    def test_random_walks(self) -> None:
        with ProcessPoolExecutor(PROCESSES, initializer=discard_logs) as pool:
            results = list(pool.map(run_seed, range(1, WALKS + 1)))
        failed = [
            f"seed {result.seed}: {result.failure.splitlines()[0]}" for result in results if result.failure
        ]
        self.assertFalse(failed, "\n".join(failed))
        self.assertGreater(sum(result.accepted for result in results), 10 * WALKS)

    def test_a_seed_gives_the_same_walk_again(self) -> None:
        steps = []
        for _ in range(2):
            walk = Walk(1, plan=CALM)
            walk.player.checkers.clear()
            walk.player.play()
            walk.player.simulator.at(10.0, walk._inject_fault)
            walk.player.simulator.run_until(20.0)
            steps.append(walk.player.simulator.steps)
        self.assertEqual(*steps)


if __name__ == "__main__":
    unittest.main()
