"""The initial state of seeds and of other members."""

from __future__ import annotations

import random
import unittest

from mallowbeam.router.control_plane.bootstrap import initial_state, seed_identity

SEEDS = ("10.0.0.3:8146", "10.0.0.1:8146", "10.0.0.2:8146")


class InitialState(unittest.TestCase):
    def test_seeds_write_the_same_first_membership(self) -> None:
        states = [initial_state(seed, SEEDS[::-1], True, 7660, random.Random(1)) for seed in SEEDS]
        self.assertEqual(len({state.snapshot.SerializeToString() for state in states}), 1)
        self.assertEqual(len({state.identity for state in states}), 3)
        members = states[0].snapshot.membership.members
        self.assertEqual({member.id for member in members}, {state.identity for state in states})
        self.assertEqual(
            {member.address for member in members}, {"10.0.0.1:7660", "10.0.0.2:7660", "10.0.0.3:7660"}
        )
        self.assertTrue(all(member.voter for member in members))
        self.assertEqual(states[0].snapshot.membership.target_voters, 3)

    def test_other_members_draw_a_random_id_and_start_empty(self) -> None:
        for control, bootstrap in (("10.0.0.4:8146", True), (SEEDS[0], False)):
            state = initial_state(control, SEEDS, bootstrap, 7660, random.Random(1))
            self.assertNotEqual(state.identity, seed_identity(control))
            self.assertEqual(state.snapshot.index, 0)
            self.assertFalse(state.snapshot.membership.members)

    def test_ids_are_not_zero(self) -> None:
        self.assertTrue(all(seed_identity(seed) for seed in SEEDS))


if __name__ == "__main__":
    unittest.main()
