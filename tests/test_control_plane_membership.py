"""The membership policy: who joins, who is promoted, who is removed, and when nobody is."""

from __future__ import annotations

import random
import unittest

from mallowbeam.control_plane.membership_policy import (
    DEAD_VOTER,
    GONE_LEARNER,
    HEARD_LATELY,
    MOST_MEMBERS,
    SURPLUS_VOTER,
    Group,
    Progress,
    admit,
    holds,
    next_change,
)
from mallowbeam.rpc.messages_pb2 import JoinRequest, Member, Membership

COMMIT = 100


def member(id: int, voter: bool = True, address: str = "") -> Member:
    return Member(id=id, address=address or f"10.0.0.{id}:7000", voter=voter)


def membership(*members: Member, target: int = 3) -> Membership:
    return Membership(members=members, target_voters=target)


def group(of: Membership, silences: dict[int, float] | None = None,
          matches: dict[int, int] | None = None) -> Group:
    """A group led by member 1; others are heard and caught up unless said otherwise."""
    silences, matches = silences or {}, matches or {}
    progress = {known.id: Progress(matches.get(known.id, COMMIT), silences.get(known.id, 0.0))
                for known in of.members if known.id != 1}
    return Group(1, of, COMMIT, progress)


def voters(of: Membership | None) -> set[int]:
    assert of is not None
    return {known.id for known in of.members if known.voter}


def ids(of: Membership | None) -> set[int]:
    assert of is not None
    return {known.id for known in of.members}


THREE = membership(member(1), member(2), member(3))


class Joining(unittest.TestCase):
    def test_a_joiner_becomes_a_learner(self) -> None:
        changed = admit(THREE, JoinRequest(member=member(4)))
        self.assertEqual(ids(changed), {1, 2, 3, 4})
        self.assertEqual(voters(changed), {1, 2, 3})
        self.assertEqual(changed.target_voters, 3)

    def test_a_repeat_changes_nothing(self) -> None:
        changed = admit(THREE, JoinRequest(member=member(4), first_start=True))
        self.assertIsNone(admit(changed, JoinRequest(member=member(4), first_start=True)))

    def test_a_first_start_raises_the_target_once_for_an_address(self) -> None:
        changed = admit(THREE, JoinRequest(member=member(4), first_start=True))
        self.assertEqual(changed.target_voters, 4)
        again = admit(changed, JoinRequest(member=member(5, address="10.0.0.4:7000"), first_start=True))
        self.assertEqual(again.target_voters, 4)
        self.assertEqual(ids(again), {1, 2, 3, 5})

    def test_a_learner_of_the_same_address_is_superseded_and_a_voter_is_kept(self) -> None:
        wiped = admit(THREE, JoinRequest(member=member(4, address="10.0.0.3:7000")))
        self.assertEqual(ids(wiped), {1, 2, 3, 4})
        wiped_again = admit(wiped, JoinRequest(member=member(5, address="10.0.0.3:7000")))
        self.assertEqual(ids(wiped_again), {1, 2, 3, 5})

    def test_the_group_is_bounded(self) -> None:
        full = membership(*(member(id) for id in range(1, MOST_MEMBERS + 1)))
        self.assertIsNone(admit(full, JoinRequest(member=member(99))))

    def test_no_id_is_no_member(self) -> None:
        self.assertIsNone(admit(THREE, JoinRequest()))

    def test_holds(self) -> None:
        self.assertTrue(holds(THREE, 2))
        self.assertFalse(holds(THREE, 4))


class Promotion(unittest.TestCase):
    def test_a_learner_that_has_caught_up_votes(self) -> None:
        changed = next_change(group(membership(member(1), member(2), member(3, voter=False))))
        self.assertEqual(voters(changed), {1, 2, 3})

    def test_one_that_lags_or_is_silent_does_not(self) -> None:
        of = membership(member(1), member(2), member(3, voter=False))
        self.assertIsNone(next_change(group(of, matches={3: COMMIT - 9})))
        self.assertIsNone(next_change(group(of, silences={3: HEARD_LATELY + 0.1})))

    def test_the_old_identity_of_its_address_goes_first(self) -> None:
        of = membership(member(1), member(2), member(3), member(4, voter=False, address="10.0.0.3:7000"))
        first = next_change(group(of, silences={3: 0.2}))
        self.assertEqual(ids(first), {1, 2, 4})
        second = next_change(group(first))
        self.assertEqual(voters(second), {1, 2, 4})
        self.assertIsNone(next_change(group(second)))

    def test_a_dead_voter_gives_its_place(self) -> None:
        of = membership(*THREE.members, member(4, voter=False))
        first = next_change(group(of, silences={3: DEAD_VOTER + 0.1}))
        self.assertEqual(ids(first), {1, 2, 4})

    def test_a_dead_voter_of_a_group_that_is_short_stays(self) -> None:
        of = membership(*THREE.members, member(4, voter=False), target=4)
        self.assertEqual(voters(next_change(group(of, silences={3: 9.0}))), {1, 2, 3, 4})

    def test_a_voter_heard_lately_keeps_its_place(self) -> None:
        of = membership(*THREE.members, member(4, voter=False))
        self.assertEqual(voters(next_change(group(of, silences={3: DEAD_VOTER - 0.1}))), {1, 2, 3, 4})


class Removal(unittest.TestCase):
    FOUR = membership(*THREE.members, member(4))

    def test_a_surplus_voter_that_is_silent_goes(self) -> None:
        self.assertEqual(ids(next_change(group(self.FOUR, silences={3: SURPLUS_VOTER + 0.1}))), {1, 2, 4})

    def test_the_most_silent_one_goes(self) -> None:
        of = membership(*self.FOUR.members, member(5), member(6), member(7))
        self.assertNotIn(3, ids(next_change(group(of, silences={2: 3.0, 3: 4.0}))))

    def test_nobody_goes_without_need(self) -> None:
        self.assertIsNone(next_change(group(THREE, silences={3: 999.0})))
        self.assertIsNone(next_change(group(self.FOUR, silences={3: SURPLUS_VOTER - 0.1})))
        self.assertIsNone(next_change(group(self.FOUR)))

    def test_nobody_goes_where_a_majority_of_the_rest_is_not_live(self) -> None:
        self.assertIsNone(next_change(group(self.FOUR, silences={2: 5.0, 3: 5.0, 4: 5.0})))

    def test_a_learner_that_is_gone_is_dropped(self) -> None:
        of = membership(*THREE.members, member(4, voter=False))
        self.assertEqual(ids(next_change(group(of, silences={4: GONE_LEARNER + 1}))), {1, 2, 3})
        self.assertIsNone(next_change(group(of, silences={4: GONE_LEARNER - 1})))


class AnyGroup(unittest.TestCase):
    """Drawn groups: what must hold of every change."""

    def test_changes_are_single_and_safe(self) -> None:
        draw = random.Random(7)
        for _ in range(5000):
            of, silences, matches = self._draw(draw)
            before = group(of, silences, matches)
            changed = next_change(before)
            if changed is None:
                continue
            with self.subTest(of=of, silences=silences, matches=matches):
                self.assertLessEqual(len(voters(of) ^ voters(changed)), 1)
                self.assertIn(1, voters(changed))
                self.assertEqual(changed.target_voters, of.target_voters)
                self.assertLessEqual(ids(changed), ids(of))
                if voters(changed) < voters(of):
                    live = [id for id in voters(changed) if before.silence(id) <= DEAD_VOTER]
                    self.assertGreater(2 * len(live), len(voters(changed)))

    def test_a_calm_group_comes_to_rest_at_its_target_or_above(self) -> None:
        draw = random.Random(11)
        for _ in range(500):
            of, _, _ = self._draw(draw)
            for _ in range(3 * MOST_MEMBERS):
                changed = next_change(group(of))
                if changed is None:
                    break
                of = changed
            self.assertIsNone(next_change(group(of)))
            self.assertEqual(ids(of), voters(of))

    @staticmethod
    def _draw(draw: random.Random) -> tuple[Membership, dict[int, float], dict[int, int]]:
        count = draw.randint(1, 7)
        known = [member(id, voter=id == 1 or draw.random() < 0.6, address=f"10.0.0.{draw.randint(1, 6)}:7000")
                 for id in range(1, count + 1)]
        of = membership(*known, target=draw.randint(1, 5))
        silences = {one.id: draw.choice([0.0, 0.4, 1.0, 1.6, 2.5, 40.0]) for one in known}
        matches = {one.id: draw.choice([COMMIT, COMMIT - 3, 0]) for one in known}
        return of, silences, matches


if __name__ == "__main__":
    unittest.main()
