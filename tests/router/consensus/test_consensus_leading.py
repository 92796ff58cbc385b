"""A leader apart from replication: stepping down, transfer, limits, reads, membership changes."""

from __future__ import annotations

import unittest
from math import inf

from consensus_host import OWN_ID, Host, bodies, entry, membership

from mallowbeam.router.consensus.errors import (
    MembershipChangeError,
    NotLeaderError,
    OverloadedError,
    TransferError,
)
from mallowbeam.router.consensus.interface import Proposal
from mallowbeam.router.consensus.node import Role
from mallowbeam.router.rpc.messages_pb2 import MEMBERSHIP, AppendResponse, Entry, Member, Membership


class Leading(unittest.TestCase):
    """Stepping down, leadership transfer, limits and progress."""

    def test_leader_steps_down_without_a_majority(self) -> None:
        host = Host()
        host.lead()
        host.tick(0.7)
        self.assertEqual(host.node.role, Role.LEADER)
        host.tick(0.2)
        self.assertEqual(host.node.role, Role.FOLLOWER)

    def test_stalled_write_transfers_to_the_most_advanced(self) -> None:
        host = Host()
        host.lead()
        proposal = host.node.propose(b"a", host.now)
        host.output()
        for _ in range(7):
            host.tick(0.1)
            host.confirm(2, proposal.index - 1)
            host.confirm(3, proposal.index)
        output = host.tick(0.15)
        self.assertEqual(host.node.role, Role.FOLLOWER)
        recipients = [send.recipient for send in output.send if send.message.HasField("timeout_now")]
        self.assertEqual(recipients, [3])

    def test_transfer(self) -> None:
        host = Host()
        host.lead()
        host.confirm(3, 1)
        host.node.propose(b"a", host.now)
        host.node.transfer_leadership(3, host.now)
        with self.assertRaises(NotLeaderError) as caught:
            host.node.propose(b"b", host.now)
        self.assertEqual(caught.exception.leader_id, 3)
        self.assertEqual(bodies(host.output().send, "timeout_now"), [])
        self.assertEqual(len(bodies(host.confirm(3, 3).send, "timeout_now")), 1)

    def test_transfer_times_out(self) -> None:
        host = Host()
        host.lead()
        host.node.propose(b"a", host.now)
        host.node.transfer_leadership(None, host.now)
        host.tick(0.5)
        host.confirm(2, 1)
        host.tick(0.4)
        self.assertEqual(host.node.propose(b"b", host.now), Proposal(4, 2))

    def test_transfer_needs_a_voter(self) -> None:
        host = Host(learners=1)
        host.lead()
        for target in (OWN_ID, 4, 77):
            with self.assertRaises(TransferError):
                host.node.transfer_leadership(target, host.now)

    def test_calls_rejected_by_a_follower(self) -> None:
        host = Host()
        host.append(2, 1, (1, 1))
        for call in (
            lambda: host.node.propose(b"a", host.now),
            lambda: host.node.change_membership(membership(3), host.now),
            lambda: host.node.transfer_leadership(None, host.now),
        ):
            with self.assertRaises(NotLeaderError) as caught:
                call()
            self.assertEqual(caught.exception.leader_id, 2)

    def test_uncommitted_entries_are_limited(self) -> None:
        host = Host(max_uncommitted_entries=3)
        host.lead()
        for _ in range(3):
            proposal = host.node.propose(b"a", host.now)
        with self.assertRaises(OverloadedError):
            host.node.propose(b"a", host.now)
        host.output()
        host.complete_writes()
        host.confirm(2, proposal.index)
        host.node.propose(b"a", host.now)

    def test_progress(self) -> None:
        host = Host()
        self.assertEqual(host.node.progress(), {})
        host.lead()
        host.tick(0.3)
        host.confirm(3, 1)
        progress = host.node.progress()
        self.assertEqual({key: value.match_index for key, value in progress.items()}, {2: 2, 3: 1})
        self.assertAlmostEqual(progress[2].since_response_s, 0.3)
        self.assertEqual(progress[3].since_response_s, 0.0)


class Reads(unittest.TestCase):
    """Linearizable reads and freshness."""

    def test_not_confirmed_by_a_follower(self) -> None:
        host = Host()
        host.node.read(5, host.now)
        (result,) = host.output().reads
        self.assertEqual((result.read_id, result.confirmed), (5, False))

    def test_waits_for_a_round_that_began_after_it(self) -> None:
        host = Host()
        host.lead()
        before = host.node._leader._rounds.number
        host.node.read(5, host.now)
        host.node.read(6, host.now)
        rounds = {request.round for request in bodies(host.output().send, "append_request")}
        self.assertEqual(rounds, {before + 1})
        self.assertEqual(host.confirm(2, 2, round_number=before).reads, [])
        results = host.confirm(2, 2, round_number=before + 1).reads
        self.assertEqual(
            [(result.read_id, result.confirmed, result.index) for result in results],
            [(5, True, 2), (6, True, 2)],
        )

    def test_rejected_append_confirms_a_round(self) -> None:
        host = Host()
        host.lead()
        host.node.read(5, host.now)
        host.output()
        response = AppendResponse(term=host.node.term, success=False, hint_index=1, round=99)
        self.assertTrue(host.receive(3, append_response=response).reads[0].confirmed)

    def test_waits_for_an_entry_of_the_term(self) -> None:
        host = Host()
        host.lead(commit=False)
        host.node.read(5, host.now)
        host.output()
        self.assertEqual(host.confirm(2, 1, round_number=9).reads, [])
        (result,) = host.confirm(2, 2, round_number=9).reads
        self.assertEqual((result.confirmed, result.index), (True, 2))

    def test_not_confirmed_when_leadership_ends(self) -> None:
        host = Host()
        host.lead()
        host.node.read(5, host.now)
        host.output()
        (result,) = host.tick(1.0).reads
        self.assertEqual((result.read_id, result.confirmed), (5, False))

    def test_pending_reads_are_limited(self) -> None:
        host = Host(max_pending_reads=1)
        host.lead()
        host.node.read(5, host.now)
        host.node.read(6, host.now)
        (result,) = host.output().reads
        self.assertEqual((result.read_id, result.confirmed), (6, False))

    def test_freshness_of_a_leader(self) -> None:
        host = Host()
        self.assertEqual(host.node.freshness(host.now), inf)
        host.lead()
        self.assertEqual(host.node.freshness(host.now), 0.0)
        host.tick(0.2)
        host.tick(0.2)
        self.assertAlmostEqual(host.node.freshness(host.now), 0.4)
        host.confirm(2, 2, round_number=2)  # began 0.2 s ago
        self.assertAlmostEqual(host.node.freshness(host.now), 0.2)

    def test_freshness_of_a_follower(self) -> None:
        host = Host()
        host.append(2, 1, (1, 1), commit=1)
        self.assertEqual(host.node.freshness(host.now), inf)  # it may have been delayed
        host.now += 0.1
        host.append(2, 1, (1, 1), commit=1)
        self.assertEqual(host.node.freshness(host.now), 0.0)
        host.now += 0.1
        host.append(2, 1, (1, 1), commit=5)  # committed entries are missing here
        self.assertAlmostEqual(host.node.freshness(host.now), 0.1)
        host.now += 0.1
        host.append(3, 2, (1, 1), commit=1)  # this leader has not committed an entry of its term
        self.assertAlmostEqual(host.node.freshness(host.now), 0.2)

    def test_freshness_after_a_suspension(self) -> None:
        host = Host()
        for _ in range(3):
            host.now += 0.1
            host.append(2, 1, (1, 1), commit=1)
        host.now += 5.0
        host.append(2, 1, (1, 1), commit=1)
        self.assertAlmostEqual(host.node.freshness(host.now), 5.0)
        host.now += 0.11
        host.append(2, 1, (1, 1), commit=1)
        self.assertEqual(host.node.freshness(host.now), 0.0)


class Changes(unittest.TestCase):
    """Membership changes."""

    def test_rejected_changes(self) -> None:
        host = Host(learners=2)
        host.lead(commit=False)
        with self.assertRaisesRegex(MembershipChangeError, "of this term"):
            host.node.change_membership(membership(3), host.now)
        host.confirm(2, 2)
        host.confirm(3, 1)
        twice = membership(3)
        twice.members.append(Member(id=2, voter=True))
        for wrong in (membership(1, 2), membership(5), Membership(), twice):
            with self.assertRaises(MembershipChangeError):
                host.node.change_membership(wrong, host.now)
        host.node.change_membership(membership(4, 1), host.now)
        with self.assertRaisesRegex(MembershipChangeError, "pending"):
            host.node.change_membership(membership(3), host.now)

    def test_inactive_voters_are_rejected(self) -> None:
        host = Host()
        host.lead()
        without_2 = Membership(members=[Member(id=1, voter=True), Member(id=3, voter=True)])
        with self.assertRaisesRegex(MembershipChangeError, "no majority of the new voters is active"):
            host.node.change_membership(without_2, host.now)  # member 3 has never responded
        host.node.change_membership(membership(2), host.now)

    def test_in_force_when_appended_and_rolled_back(self) -> None:
        host = Host(own=3)
        change = Entry(index=2, term=1, kind=MEMBERSHIP, payload=membership(2).SerializeToString())
        host.append(2, 1, (1, 1), change)
        self.assertFalse(host.node.is_voter)
        host.append(1, 2, (1, 1), entry(2, 2))
        self.assertTrue(host.node.is_voter)
        self.assertEqual(host.node.membership, membership(3))

    def test_removed_leader_leads_until_it_is_committed(self) -> None:
        host = Host()
        host.lead()
        host.confirm(3, 2)
        others = Membership(members=[Member(id=2, voter=True), Member(id=3, voter=True)])
        proposal = host.node.change_membership(others, host.now)
        host.output()
        host.complete_writes()
        host.confirm(2, proposal.index)
        self.assertEqual((host.node.role, host.node.commit_index), (Role.LEADER, 2))
        output = host.confirm(3, proposal.index)
        self.assertEqual((host.node.role, host.node.commit_index), (Role.FOLLOWER, proposal.index))
        self.assertEqual(len(bodies(output.send, "timeout_now")), 1)
        sent_commits = [request.commit for request in bodies(output.send, "append_request")]
        self.assertEqual(sent_commits, [proposal.index, proposal.index])
        self.assertEqual(host.node.next_deadline(), inf)


if __name__ == "__main__":
    unittest.main()
