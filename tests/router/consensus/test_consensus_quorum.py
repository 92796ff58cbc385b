"""Quorum rules, validation of membership changes, and the steps of a joint change."""

from __future__ import annotations

import unittest
from random import Random

from consensus_checkers import quorums_overlap
from consensus_host import Host, bodies, entry
from consensus_world import with_member, with_replaced_voters, without_member

from mallowbeam.router.consensus.errors import MembershipChangeError
from mallowbeam.router.consensus.interface import HardState, PersistentState, RaftSettings
from mallowbeam.router.consensus.membership import check_change, joint_change, voters_of, without_outgoing
from mallowbeam.router.consensus.node import RaftNode, Role
from mallowbeam.router.consensus.quorum import Quorum
from mallowbeam.router.rpc.messages_pb2 import MEMBERSHIP, Entry, Member, Membership, Snapshot, VoteResponse

VOTERS_123 = frozenset((1, 2, 3))


def membership(voters: int, learners: int = 0, target: int | None = None) -> Membership:
    members = [Member(id=number + 1, voter=number < voters) for number in range(voters + learners)]
    return Membership(members=members, target_voters=voters if target is None else target)


class Quorums(unittest.TestCase):
    def test_one_set(self) -> None:
        quorum = Quorum(VOTERS_123)
        self.assertFalse(quorum.is_joint)
        self.assertEqual(quorum.majority_value({1: 5, 2: 9, 3: 1}.__getitem__), 5)
        self.assertTrue(quorum.is_won({1: True, 2: True}))
        self.assertFalse(quorum.is_won({1: True, 2: False, 9: True}))
        self.assertFalse(quorum.is_lost({1: True, 2: False}))
        self.assertTrue(quorum.is_lost({3: False, 2: False}))

    def test_two_sets_need_a_majority_of_each(self) -> None:
        quorum = Quorum(frozenset((3, 4, 5)), VOTERS_123)
        self.assertTrue(quorum.is_joint)
        self.assertEqual(quorum.voters, frozenset((1, 2, 3, 4, 5)))
        self.assertEqual(quorum.majority_value({1: 9, 2: 9, 3: 9, 4: 1, 5: 2}.__getitem__), 2)
        self.assertEqual(quorum.majority_value({1: 1, 2: 2, 3: 9, 4: 9, 5: 9}.__getitem__), 2)
        self.assertFalse(quorum.is_quorum((3, 4, 5)))
        self.assertFalse(quorum.is_quorum((1, 2, 3)))
        self.assertTrue(quorum.is_quorum((1, 3, 4)))
        self.assertTrue(quorum.is_lost({1: False, 2: False}))
        self.assertTrue(quorum.is_lost({4: False, 5: False}))
        self.assertFalse(quorum.is_lost({1: False, 5: False}))


class Changes(unittest.TestCase):
    def assert_rejected(self, old: Membership, new: Membership, expected_text: str) -> None:
        with self.assertRaisesRegex(MembershipChangeError, expected_text):
            check_change(old, new)

    def test_one_voter_may_differ(self) -> None:
        three = membership(3, 1)
        check_change(three, without_member(three, 3))
        check_change(three, with_member(three, 3, voter=False))
        check_change(membership(3, 1, target=4), membership(4, 0, target=4))
        swapped = without_outgoing(with_replaced_voters(three, [3], [4]))
        self.assert_rejected(three, swapped, "more than one voter")

    def test_a_joint_change_may_replace_any_number(self) -> None:
        four = membership(4, 3)
        check_change(four, with_replaced_voters(four, [1], [5]))
        check_change(four, with_replaced_voters(four, [1, 2, 3], [5, 6, 7]))

    def test_never_more_voters_than_the_target(self) -> None:
        three = membership(3, 1)
        self.assert_rejected(three, membership(4, 0, target=3), "more voters than the target")
        grown = joint_change(three, membership(4, 0, target=3))
        self.assert_rejected(three, grown, "more voters than the target")

    def test_a_group_that_has_too_many_may_shrink_and_replace(self) -> None:
        four = membership(4, 1, target=3)
        check_change(four, with_replaced_voters(four, [4], [5]))
        check_change(four, without_member(four, 4))
        self.assert_rejected(four, membership(5, 0, target=3), "more voters than the target")

    def test_the_outgoing_voters_are_those_in_force_and_stay_members(self) -> None:
        three = membership(3, 1)
        joint = with_replaced_voters(three, [3], [4])
        self.assert_rejected(
            three, Membership(members=joint.members, target_voters=3, outgoing_voters=[1, 2]), "outgoing"
        )
        self.assert_rejected(three, without_member_keeping_outgoing(joint, 3), "outgoing")

    def test_nothing_follows_a_joint_membership_but_its_end(self) -> None:
        joint = with_replaced_voters(membership(3, 1), [3], [4])
        self.assert_rejected(joint, without_outgoing(joint), "in progress")
        self.assert_rejected(joint, joint, "in progress")

    def test_allowed_changes_have_overlapping_quorums(self) -> None:
        """Checks the rule for random memberships against an independent comparison of all quorums."""
        rng = Random(3)
        allowed = 0
        for _ in range(4000):
            old, new = self._random_membership(rng), self._random_membership(rng)
            if rng.random() < 0.5:
                new = joint_change(old, new)
            try:
                check_change(old, new)
            except MembershipChangeError:
                continue
            allowed += 1
            self.assertTrue(quorums_overlap(old, new))
            self.assertTrue(quorums_overlap(new, without_outgoing(new)))
            self.assertLessEqual(len(voters_of(new)), max(len(voters_of(old)), new.target_voters))
        self.assertGreater(allowed, 400)

    @staticmethod
    def _random_membership(rng: Random) -> Membership:
        count = rng.randint(1, 6)
        members = [
            Member(id=number, voter=number == 1 or rng.random() < 0.6) for number in range(1, count + 1)
        ]
        return Membership(members=members, target_voters=rng.randint(1, 5))


def without_member_keeping_outgoing(joint: Membership, member_id: int) -> Membership:
    changed = without_member(joint, member_id)
    changed.outgoing_voters.extend(joint.outgoing_voters)
    return changed


class JointChange(unittest.TestCase):
    """Member 1 leads 1, 2 and 3; learner 4 replaces voter 3 or 1."""

    def lead(self, out: int) -> Host:
        host = Host(3, 1)
        host.lead()
        for peer in (2, 3, 4):
            host.confirm(peer, host.node.commit_index)
        host.node.change_membership(with_replaced_voters(host.node.membership, [out], [4]), host.now)
        host.output()
        host.complete_writes()
        return host

    def joint_index(self, host: Host) -> int:
        return host.node._state.log.memberships.current.index

    def test_it_is_committed_by_both_majorities_and_ended_at_once(self) -> None:
        host = self.lead(out=3)
        joint = self.joint_index(host)
        host.confirm(4, joint)
        self.assertLess(host.node.commit_index, joint)  # 1 and 4 are no majority of 1, 2 and 3
        self.assertFalse(host.node.membership_committed)
        output = host.confirm(2, joint)
        self.assertEqual(host.node.commit_index, joint)
        self.assertEqual(list(host.node.membership.outgoing_voters), [])
        self.assertEqual(voters_of(host.node.membership), {1, 2, 4})
        self.assertEqual([one.kind for one in output.write.entries], [MEMBERSHIP])
        self.assertFalse(host.node.membership_committed)
        host.complete_writes()
        host.confirm(4, joint + 1)
        self.assertTrue(host.node.membership_committed)

    def test_the_old_voters_alone_commit_nothing(self) -> None:
        host = Host(3, 2)
        host.lead()
        for peer in (2, 3, 4, 5):
            host.confirm(peer, host.node.commit_index)
        host.node.change_membership(with_replaced_voters(host.node.membership, [2, 3], [4, 5]), host.now)
        host.output()
        host.complete_writes()
        joint = self.joint_index(host)
        for peer in (2, 3):
            host.confirm(peer, joint)
        self.assertLess(host.node.commit_index, joint)
        host.confirm(4, joint)
        self.assertEqual(host.node.commit_index, joint)

    def test_no_second_change_until_the_end_is_committed(self) -> None:
        host = self.lead(out=3)
        joint = self.joint_index(host)
        host.confirm(2, joint)
        host.confirm(4, joint)
        with self.assertRaisesRegex(MembershipChangeError, "pending"):
            host.node.change_membership(without_member(host.node.membership, 3), host.now)

    def test_a_leader_that_is_replaced_leads_until_the_end_is_committed(self) -> None:
        host = self.lead(out=1)
        joint = self.joint_index(host)
        host.confirm(2, joint)
        host.confirm(4, joint)
        self.assertEqual(host.node.commit_index, joint)
        self.assertIs(host.node.role, Role.LEADER)
        host.complete_writes()
        host.confirm(2, joint + 1)
        self.assertIs(host.node.role, Role.LEADER)  # its own disk no longer counts
        output = host.confirm(4, joint + 1)
        self.assertIs(host.node.role, Role.FOLLOWER)
        self.assertEqual(len(bodies(output.send, "timeout_now")), 1)

    def test_a_transfer_defers_the_end(self) -> None:
        host = self.lead(out=3)
        joint = self.joint_index(host)
        host.node.transfer_leadership(2, host.now)
        host.confirm(4, joint)
        host.confirm(2, joint)
        self.assertEqual(host.node.commit_index, joint)
        self.assertEqual(len(host.node.membership.outgoing_voters), 3)
        for _ in range(4):
            host.tick(0.25)
            for peer in (2, 3, 4):
                host.confirm(peer, joint, round_number=50)
        self.assertEqual(len(host.node.membership.outgoing_voters), 0)

    def test_compaction_in_the_middle_keeps_both_sets(self) -> None:
        host = self.lead(out=3)
        joint = self.joint_index(host)
        host.node.transfer_leadership(2, host.now)  # defers the end of the joint change
        host.confirm(4, joint)
        host.confirm(2, joint)
        host.node.compact(joint, b"state")
        snapshot = host.node._state.log.snapshot
        self.assertEqual(sorted(snapshot.membership.outgoing_voters), [1, 2, 3])
        self.assertEqual(voters_of(snapshot.membership), {1, 2, 4})

    def restarted(self, own: int) -> Host:
        """Return a member that starts from a snapshot taken during the joint change."""
        host = Host(own=own)
        joint = with_replaced_voters(membership(3, 1), [3], [4])
        snapshot = Snapshot(index=5, term=1, membership=joint)
        host.node = RaftNode(RaftSettings(own), PersistentState(HardState(1), snapshot), host.now, Random(1))
        return host

    def test_a_new_leader_needs_both_majorities_and_ends_the_change(self) -> None:
        host = self.restarted(own=1)
        output = host.tick(1.0)
        recipients = {send.recipient for send in output.send}
        self.assertEqual(recipients, {2, 3, 4})
        host.receive(3, vote_response=VoteResponse(term=2, granted=True, pre_vote=True))
        self.assertIs(host.node.role, Role.PRE_CANDIDATE)  # 1 and 3 are no majority of 1, 2 and 4
        host.receive(4, vote_response=VoteResponse(term=2, granted=True, pre_vote=True))
        host.complete_writes()
        host.receive(3, vote_response=VoteResponse(term=2, granted=True))
        self.assertIs(host.node.role, Role.CANDIDATE)
        host.receive(4, vote_response=VoteResponse(term=2, granted=True))
        self.assertIs(host.node.role, Role.LEADER)
        host.complete_writes()
        host.confirm(4, 6)
        self.assertEqual(len(host.node.membership.outgoing_voters), 3)
        host.confirm(3, 6)
        self.assertEqual(host.node.commit_index, 6)
        self.assertEqual(len(host.node.membership.outgoing_voters), 0)

    def test_an_outgoing_voter_may_lead_until_the_end(self) -> None:
        host = self.restarted(own=3)
        host.tick(1.0)
        self.assertIs(host.node.role, Role.PRE_CANDIDATE)
        host.receive(1, vote_response=VoteResponse(term=2, granted=True, pre_vote=True))
        self.assertIs(host.node.role, Role.PRE_CANDIDATE)  # 3 counts among 1, 2 and 3 only
        host.receive(4, vote_response=VoteResponse(term=2, granted=True, pre_vote=True))
        self.assertIs(host.node.role, Role.CANDIDATE)

    def test_a_joint_membership_that_is_not_committed_is_rolled_back(self) -> None:
        host = self.lead(out=3)
        term, joint = host.node.term, self.joint_index(host)
        host.append(2, term + 1, (joint - 1, term), entry(joint, term + 1), commit=joint)
        self.assertEqual(len(host.node.membership.outgoing_voters), 0)
        self.assertEqual(voters_of(host.node.membership), {1, 2, 3})

    def test_a_voter_of_any_uncommitted_membership_may_campaign(self) -> None:
        """Member 2 must campaign although its last membership excludes it, or no leader could be elected.

        Member 2 replaced 1 and was replaced by 1 again.  Member 1 lacks the final membership of that change,
        so it needs the vote of 2 as an outgoing voter, but its log is shorter: only 2 can be elected.
        """
        first = membership(1, 1)
        there = with_replaced_voters(first, [1], [2])
        back = with_replaced_voters(without_outgoing(there), [2], [1])
        changes = (there, without_outgoing(there), back, without_outgoing(back))
        entries = tuple(
            Entry(index=index, term=1, kind=MEMBERSHIP, payload=change.SerializeToString())
            for index, change in enumerate(changes, 2)
        )
        host = Host(1, 1, entries, own=2)
        output = host.tick(1.0)
        self.assertIs(host.node.role, Role.PRE_CANDIDATE)
        self.assertEqual({send.recipient for send in output.send}, {1})
        host.receive(1, vote_response=VoteResponse(term=2, granted=True, pre_vote=True))
        host.complete_writes()
        host.receive(1, vote_response=VoteResponse(term=2, granted=True))
        self.assertIs(host.node.role, Role.LEADER)


if __name__ == "__main__":
    unittest.main()
