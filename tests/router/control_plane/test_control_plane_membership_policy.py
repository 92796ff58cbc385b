"""The membership policy: joining, promotion, replacement, leaving and removal."""

from __future__ import annotations

import random
import unittest

from mallowbeam.router.consensus.membership import check_change, without_outgoing
from mallowbeam.router.control_plane.membership_policy import (
    LEARNER_TIMEOUT_S,
    MAX_MEMBERS,
    RECENT_CONTACT_S,
    SURPLUS_VOTER_TIMEOUT_S,
    VOTER_TIMEOUT_S,
    ClusterView,
    LeaveOutcome,
    PeerProgress,
    contains,
    leave_outcome,
    next_membership,
    with_joiner,
)
from mallowbeam.router.rpc.messages_pb2 import JoinRequest, Member, Membership

COMMIT_INDEX = 100


def member(id: int, voter: bool = True, address: str = "") -> Member:
    return Member(id=id, address=address or f"10.0.0.{id}:7000", voter=voter)


def membership(*members: Member, target: int = 3) -> Membership:
    return Membership(members=members, target_voters=target)


def cluster_view(
    of: Membership,
    silences: dict[int, float] | None = None,
    matches: dict[int, int] | None = None,
    leave: frozenset[int] = frozenset(),
) -> ClusterView:
    """The view of a group led by member 1; others are in contact and caught up unless given otherwise."""
    silences, matches = silences or {}, matches or {}
    progress = {
        known.id: PeerProgress(matches.get(known.id, COMMIT_INDEX), silences.get(known.id, 0.0))
        for known in of.members
        if known.id != 1
    }
    return ClusterView(1, of, COMMIT_INDEX, progress, leave)


def without_outgoing_voters(changed: Membership | None) -> Membership:
    """A membership after its joint change is complete."""
    assert changed is not None
    return without_outgoing(changed)


def voters(of: Membership | None) -> set[int]:
    assert of is not None
    return {known.id for known in of.members if known.voter}


def ids(of: Membership | None) -> set[int]:
    assert of is not None
    return {known.id for known in of.members}


THREE = membership(member(1), member(2), member(3))


class Joining(unittest.TestCase):
    def test_a_joiner_becomes_a_learner(self) -> None:
        changed = with_joiner(THREE, JoinRequest(member=member(4)))
        self.assertEqual(ids(changed), {1, 2, 3, 4})
        self.assertEqual(voters(changed), {1, 2, 3})
        self.assertEqual(changed.target_voters, 3)

    def test_a_repeated_join_request_changes_nothing(self) -> None:
        changed = with_joiner(THREE, JoinRequest(member=member(4), first_start=True))
        self.assertIsNone(with_joiner(changed, JoinRequest(member=member(4), first_start=True)))

    def test_a_first_start_raises_the_target_once_for_an_address(self) -> None:
        changed = with_joiner(THREE, JoinRequest(member=member(4), first_start=True))
        self.assertEqual(changed.target_voters, 4)
        again = with_joiner(changed, JoinRequest(member=member(5, address="10.0.0.4:7000"), first_start=True))
        self.assertEqual(again.target_voters, 4)
        self.assertEqual(ids(again), {1, 2, 3, 5})

    def test_a_learner_of_the_same_address_is_superseded_and_a_voter_stays(self) -> None:
        wiped = with_joiner(THREE, JoinRequest(member=member(4, address="10.0.0.3:7000")))
        self.assertEqual(ids(wiped), {1, 2, 3, 4})
        wiped_again = with_joiner(wiped, JoinRequest(member=member(5, address="10.0.0.3:7000")))
        self.assertEqual(ids(wiped_again), {1, 2, 3, 5})

    def test_the_group_is_bounded(self) -> None:
        full = membership(*(member(id) for id in range(1, MAX_MEMBERS + 1)))
        self.assertIsNone(with_joiner(full, JoinRequest(member=member(99))))

    def test_a_joiner_without_id_is_rejected(self) -> None:
        self.assertIsNone(with_joiner(THREE, JoinRequest()))

    def test_contains(self) -> None:
        self.assertTrue(contains(THREE, 2))
        self.assertFalse(contains(THREE, 4))


class Promotion(unittest.TestCase):
    def test_a_learner_that_has_caught_up_is_promoted(self) -> None:
        changed = next_membership(cluster_view(membership(member(1), member(2), member(3, voter=False))))
        self.assertEqual(voters(changed), {1, 2, 3})

    def test_a_learner_that_lags_or_is_silent_is_not_promoted(self) -> None:
        of = membership(member(1), member(2), member(3, voter=False))
        self.assertIsNone(next_membership(cluster_view(of, matches={3: COMMIT_INDEX - 9})))
        self.assertIsNone(next_membership(cluster_view(of, silences={3: RECENT_CONTACT_S + 0.1})))

    def test_a_learner_is_not_promoted_at_the_target_number_of_voters(self) -> None:
        self.assertIsNone(next_membership(cluster_view(membership(*THREE.members, member(4, voter=False)))))

    def test_a_learner_replaces_the_old_identity_of_its_address_in_one_change(self) -> None:
        of = membership(member(1), member(2), member(3), member(4, voter=False, address="10.0.0.3:7000"))
        first = next_membership(cluster_view(of, silences={3: 0.2}))
        self.assertEqual(voters(first), {1, 2, 4})
        self.assertEqual(set(first.outgoing_voters), {1, 2, 3})
        self.assertEqual(ids(first), {1, 2, 3, 4})
        second = next_membership(cluster_view(without_outgoing_voters(first)))
        self.assertEqual(ids(second), {1, 2, 4})  # the old identity can't return
        self.assertEqual(voters(second), {1, 2, 4})
        self.assertIsNone(next_membership(cluster_view(second)))

    def test_a_learner_at_a_voters_address_replaces_that_voter_though_the_target_is_higher(self) -> None:
        of = membership(*THREE.members, member(4, voter=False, address="10.0.0.3:7000"), target=4)
        changed = next_membership(cluster_view(of))
        self.assertEqual(voters(changed), {1, 2, 4})
        self.assertEqual(set(changed.outgoing_voters), {1, 2, 3})

    def test_an_unreachable_voter_is_replaced_and_may_return(self) -> None:
        of = membership(*THREE.members, member(4, voter=False))
        first = next_membership(cluster_view(of, silences={3: VOTER_TIMEOUT_S + 0.1}))
        self.assertEqual(voters(first), {1, 2, 4})
        self.assertEqual(set(first.outgoing_voters), {1, 2, 3})
        after = without_outgoing_voters(first)
        self.assertEqual(ids(after), {1, 2, 3, 4})
        self.assertIsNone(next_membership(cluster_view(after, silences={3: 2.0})))
        second = next_membership(cluster_view(after, silences={4: VOTER_TIMEOUT_S + 0.1}))
        self.assertEqual(voters(second), {1, 2, 3})

    def test_several_voters_are_replaced_in_one_change(self) -> None:
        six = [member(id) for id in range(1, 7)]
        of = membership(*six, member(7, voter=False), member(8, voter=False), target=6)
        changed = next_membership(cluster_view(of, silences={3: 2.0}, leave=frozenset({5})))
        self.assertEqual(voters(changed), {1, 2, 4, 6, 7, 8})
        self.assertEqual(set(changed.outgoing_voters), {1, 2, 3, 4, 5, 6})

    def test_a_leaving_voter_is_replaced_before_an_unreachable_one(self) -> None:
        of = membership(*(member(id) for id in range(1, 6)), member(6, voter=False), target=5)
        self.assertEqual(
            voters(next_membership(cluster_view(of, silences={3: 9.0}, leave=frozenset({5})))),
            {1, 2, 3, 4, 6},
        )

    def test_a_successor_of_the_same_zone_is_preferred(self) -> None:
        far, near = member(4, voter=False), member(5, voter=False)
        far.zone, near.zone = "far", "near"
        of = membership(*THREE.members, far, near)
        of.members[2].zone = "near"
        self.assertEqual(voters(next_membership(cluster_view(of, leave=frozenset({3})))), {1, 2, 5})

    def test_no_change_is_due_during_a_joint_change(self) -> None:
        of = membership(*THREE.members, member(4, voter=False))
        joint = next_membership(cluster_view(of, leave=frozenset({3})))
        self.assertIsNone(next_membership(cluster_view(joint, silences={2: 9.0, 3: 99.0})))
        self.assertIsNone(with_joiner(joint, JoinRequest(member=member(9))))

    def test_no_replacement_without_a_live_majority_of_the_new_voters(self) -> None:
        of = membership(*(member(id) for id in range(1, 6)), member(6, voter=False), target=5)
        self.assertIsNone(next_membership(cluster_view(of, silences={2: 9.0, 3: 9.0, 4: 9.0, 5: 9.0})))

    def test_an_unreachable_voter_stays_while_there_are_too_few_voters(self) -> None:
        of = membership(*THREE.members, member(4, voter=False), target=4)
        self.assertEqual(voters(next_membership(cluster_view(of, silences={3: 9.0}))), {1, 2, 3, 4})

    def test_a_voter_in_recent_contact_is_not_replaced(self) -> None:
        of = membership(*THREE.members, member(4, voter=False))
        self.assertIsNone(next_membership(cluster_view(of, silences={3: VOTER_TIMEOUT_S - 0.1})))


class GracefulLeave(unittest.TestCase):
    WITH_SUCCESSOR = membership(*THREE.members, member(4, voter=False))

    def outcome(self, of: Membership, leaver: int, **known: dict[int, float]) -> LeaveOutcome:
        return leave_outcome(cluster_view(of, leave=frozenset({leaver}), **known), leaver)

    def test_a_caught_up_learner_replaces_a_leaving_voter(self) -> None:
        self.assertIs(self.outcome(self.WITH_SUCCESSOR, 3), LeaveOutcome.PENDING)
        joint = next_membership(cluster_view(self.WITH_SUCCESSOR, leave=frozenset({3})))
        self.assertEqual(voters(joint), {1, 2, 4})
        self.assertIs(self.outcome(joint, 3), LeaveOutcome.PENDING)
        self.assertIs(self.outcome(without_outgoing_voters(joint), 3), LeaveOutcome.DEMOTED)

    def test_a_leaving_leader_is_replaced(self) -> None:
        self.assertEqual(
            voters(next_membership(cluster_view(self.WITH_SUCCESSOR, leave=frozenset({1})))), {2, 3, 4}
        )

    def test_without_a_successor_nobody_is_replaced(self) -> None:
        self.assertIs(self.outcome(THREE, 3), LeaveOutcome.NO_SUCCESSOR)
        self.assertIs(
            self.outcome(self.WITH_SUCCESSOR, 3, silences={4: RECENT_CONTACT_S + 0.1}),
            LeaveOutcome.NO_SUCCESSOR,
        )
        self.assertIsNone(next_membership(cluster_view(THREE, leave=frozenset({3}))))

    def test_a_learner_that_is_catching_up_is_waited_for(self) -> None:
        self.assertIs(self.outcome(self.WITH_SUCCESSOR, 3, matches={4: 0}), LeaveOutcome.PENDING)
        self.assertIsNone(
            next_membership(cluster_view(self.WITH_SUCCESSOR, matches={4: 0}, leave=frozenset({3})))
        )

    def test_a_leaving_learner_is_not_promoted(self) -> None:
        both = frozenset({3, 4})
        self.assertIsNone(next_membership(cluster_view(self.WITH_SUCCESSOR, leave=both)))
        self.assertIs(leave_outcome(cluster_view(self.WITH_SUCCESSOR, leave=both), 4), LeaveOutcome.DEMOTED)
        self.assertIs(
            leave_outcome(cluster_view(self.WITH_SUCCESSOR, leave=both), 3), LeaveOutcome.NO_SUCCESSOR
        )

    def test_a_surplus_voter_needs_no_successor(self) -> None:
        four = membership(*THREE.members, member(4))
        self.assertIs(self.outcome(four, 4), LeaveOutcome.PENDING)
        changed = next_membership(cluster_view(four, leave=frozenset({4})))
        self.assertEqual((voters(changed), ids(changed)), ({1, 2, 3}, {1, 2, 3, 4}))
        self.assertFalse(changed.outgoing_voters)


class Removal(unittest.TestCase):
    FOUR = membership(*THREE.members, member(4))

    def test_a_silent_surplus_voter_is_removed(self) -> None:
        self.assertEqual(
            ids(next_membership(cluster_view(self.FOUR, silences={3: SURPLUS_VOTER_TIMEOUT_S + 0.1}))),
            {1, 2, 4},
        )

    def test_the_longest_silent_surplus_voter_is_removed(self) -> None:
        of = membership(*self.FOUR.members, member(5), member(6), member(7))
        self.assertNotIn(3, ids(next_membership(cluster_view(of, silences={2: 3.0, 3: 4.0}))))

    def test_nobody_is_removed_without_need(self) -> None:
        self.assertIsNone(next_membership(cluster_view(THREE, silences={3: 999.0})))
        self.assertIsNone(
            next_membership(cluster_view(self.FOUR, silences={3: SURPLUS_VOTER_TIMEOUT_S - 0.1}))
        )
        self.assertIsNone(next_membership(cluster_view(self.FOUR)))

    def test_nobody_is_removed_without_a_live_majority_of_the_remaining_voters(self) -> None:
        self.assertIsNone(next_membership(cluster_view(self.FOUR, silences={2: 5.0, 3: 5.0, 4: 5.0})))

    def test_a_learner_without_contact_for_long_is_removed(self) -> None:
        of = membership(*THREE.members, member(4, voter=False))
        self.assertEqual(
            ids(next_membership(cluster_view(of, silences={4: LEARNER_TIMEOUT_S + 1}))), {1, 2, 3}
        )
        self.assertIsNone(next_membership(cluster_view(of, silences={4: LEARNER_TIMEOUT_S - 1})))


class RandomGroups(unittest.TestCase):
    """Random groups: the invariants of every change."""

    def test_changes_are_safe_and_keep_the_target(self) -> None:
        rng = random.Random(7)
        joint = 0
        for _ in range(10000):
            of, silences, matches = self._random_group(rng)
            leave = frozenset(known.id for known in of.members if rng.random() < 0.2)
            before = cluster_view(of, silences, matches, leave)
            changed = next_membership(before)
            if changed is None:
                continue
            with self.subTest(of=of, silences=silences, matches=matches, leave=leave):
                self._check(before, of, changed)
                joint += bool(changed.outgoing_voters)
        self.assertGreater(joint, 300)

    def _check(self, before: ClusterView, of: Membership, changed: Membership) -> None:
        check_change(of, changed)
        target = of.target_voters
        now, then = len(voters(of)), len(voters(changed))
        self.assertEqual(changed.target_voters, target)
        self.assertLessEqual(ids(changed), ids(of))
        self.assertLessEqual(then, max(target, now))
        self.assertGreaterEqual(then, min(target, now))
        self.assertTrue(1 in voters(changed) or 1 in before.leaving)
        if changed.outgoing_voters:
            self.assertEqual(now, then)
            self.assertEqual(ids(changed), ids(of))
        if voters(of) - voters(changed):
            live = [id for id in voters(changed) if before.seconds_since_contact(id) <= VOTER_TIMEOUT_S]
            self.assertGreater(2 * len(live), len(voters(changed)))

    def test_a_healthy_group_converges_to_the_target_number_of_voters(self) -> None:
        rng = random.Random(11)
        for _ in range(500):
            of, _, _ = self._random_group(rng)
            for _ in range(3 * MAX_MEMBERS):
                changed = next_membership(cluster_view(of))
                if changed is None:
                    break
                of = without_outgoing_voters(changed)
            self.assertIsNone(next_membership(cluster_view(of)))
            surplus = len(voters(of)) - of.target_voters
            self.assertTrue(surplus >= 0 or ids(of) == voters(of))
            addresses = [known.address for known in of.members if not known.voter]
            self.assertEqual(len(addresses), len(set(addresses)))

    @staticmethod
    def _random_group(rng: random.Random) -> tuple[Membership, dict[int, float], dict[int, int]]:
        count = rng.randint(1, 7)
        known = [
            member(id, voter=id == 1 or rng.random() < 0.6, address=f"10.0.0.{rng.randint(1, 6)}:7000")
            for id in range(1, count + 1)
        ]
        of = membership(*known, target=rng.randint(1, 5))
        silences = {one.id: rng.choice([0.0, 0.4, 1.0, 1.6, 2.5, 40.0]) for one in known}
        matches = {one.id: rng.choice([COMMIT_INDEX, COMMIT_INDEX - 3, 0]) for one in known}
        return of, silences, matches


if __name__ == "__main__":
    unittest.main()
