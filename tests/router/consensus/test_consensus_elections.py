"""Leader elections: who campaigns, who votes, and which votes count."""

from __future__ import annotations

import unittest
from math import inf

from consensus_host import OWN_ID, Host, bodies, entry

from mallowbeam.router.consensus.interface import HardState
from mallowbeam.router.consensus.node import Role
from mallowbeam.router.rpc.messages_pb2 import AppendResponse, TimeoutNow, VoteRequest, VoteResponse


class Elections(unittest.TestCase):
    """Campaigns, pre-votes and votes."""

    def test_sole_voter_leads_at_once(self) -> None:
        host = Host(voters=1)
        self.assertEqual(host.node.next_deadline(), host.now)
        host.tick(0.0)
        host.complete_writes()
        self.assertEqual((host.node.role, host.node.leader_id), (Role.LEADER, OWN_ID))
        host.complete_writes()
        self.assertEqual(host.node.commit_index, 2)

    def test_learners_and_joiners_never_campaign(self) -> None:
        for host in (Host(voters=1, learners=1, own=2), Host(founder=False)):
            self.assertEqual(host.node.next_deadline(), inf)
            host.tick(9.0)
            self.assertEqual((host.node.role, host.node.is_voter), (Role.FOLLOWER, False))

    def test_no_votes_while_the_leader_is_live(self) -> None:
        host = Host()
        host.append(2, 1, (1, 1))
        request = VoteRequest(term=2, last_index=9, last_term=1)
        self.assertIsNone(host.receive(3, vote_request=request).write)
        request.pre_vote = True
        (response,) = bodies(host.receive(3, vote_request=request).send, "vote_response")
        self.assertFalse(response.granted)
        host.tick(0.39)
        self.assertIsNone(host.receive(3, vote_request=VoteRequest(term=2, last_index=9, last_term=1)).write)
        host.tick(0.02)
        request = VoteRequest(term=2, last_index=9, last_term=1)
        self.assertEqual(host.receive(3, vote_request=request).write.hard_state, HardState(2, 3))

    def test_transfer_overrides_a_live_leader(self) -> None:
        host = Host()
        host.append(2, 1, (1, 1))
        request = VoteRequest(term=2, last_index=9, last_term=1, transfer=True)
        self.assertEqual(host.receive(3, vote_request=request).write.hard_state, HardState(2, 3))

    def test_one_vote_a_term(self) -> None:
        host = Host()
        host.receive(2, vote_request=VoteRequest(term=2, last_index=1, last_term=1))
        host.complete_writes()
        for sender, granted in ((3, False), (2, True)):
            output = host.receive(sender, vote_request=VoteRequest(term=2, last_index=1, last_term=1))
            (response,) = bodies(output.send, "vote_response")
            self.assertEqual(response.granted, granted)

    def test_outdated_log_gets_no_vote(self) -> None:
        host = Host(entries=(entry(2, 1), entry(3, 2)), term=2)
        for last_index, last_term, granted in ((9, 1, False), (2, 2, False), (3, 2, True)):
            request = VoteRequest(term=3, last_index=last_index, last_term=last_term, pre_vote=True)
            (response,) = bodies(host.receive(2, vote_request=request).send, "vote_response")
            self.assertEqual(response.granted, granted)

    def test_sender_outside_the_membership_gets_a_response(self) -> None:
        host = Host()
        output = host.receive(77, vote_request=VoteRequest(term=2, last_index=1, last_term=1))
        (response,) = bodies(output.write.send_when_durable, "vote_response")
        self.assertTrue(response.granted)
        output = host.append(78, 3, (1, 1), entry(2, 3))
        (response,) = bodies(output.write.send_when_durable, "append_response")
        self.assertTrue(response.success)
        self.assertEqual(host.node.leader_id, 78)

    def test_votes_from_outside_do_not_count(self) -> None:
        host = Host()
        host.tick(1.0)
        host.receive(77, vote_response=VoteResponse(term=2, granted=True, pre_vote=True))
        self.assertEqual(host.node.role, Role.PRE_CANDIDATE)

    def test_pre_vote_does_not_change_the_term(self) -> None:
        host = Host()
        output = host.tick(1.0)
        self.assertEqual((host.node.role, host.node.term, output.write), (Role.PRE_CANDIDATE, 1, None))
        self.assertEqual([request.term for request in bodies(output.send, "vote_request")], [2, 2])
        host.receive(2, vote_response=VoteResponse(term=1, granted=False, pre_vote=True))
        self.assertEqual(host.node.role, Role.PRE_CANDIDATE)
        host.receive(3, vote_response=VoteResponse(term=1, granted=False, pre_vote=True))
        self.assertEqual((host.node.role, host.node.term), (Role.FOLLOWER, 1))

    def test_stalled_member_neither_campaigns_nor_votes(self) -> None:
        host = Host()
        host.append(2, 1, (1, 1), entry(2, 1))
        host.tick(0.9)
        self.assertEqual(host.node.role, Role.FOLLOWER)
        request = VoteRequest(term=2, last_index=9, last_term=1)
        self.assertIsNone(host.receive(3, vote_request=request).write)
        request.pre_vote = True
        (response,) = bodies(host.receive(3, vote_request=request).send, "vote_response")
        self.assertFalse(response.granted)
        host.receive(2, timeout_now=TimeoutNow(term=1))
        self.assertEqual(host.node.role, Role.FOLLOWER)
        host.complete_writes()
        host.tick(1.0)
        self.assertEqual(host.node.role, Role.PRE_CANDIDATE)

    def test_stale_leader_is_notified_of_the_term(self) -> None:
        host = Host(term=4)
        (response,) = bodies(host.append(2, 3, (1, 1)).send, "append_response")
        self.assertEqual((response.success, response.term), (False, 4))
        self.assertIsNone(host.node.leader_id)

    def test_higher_term_ends_leadership(self) -> None:
        host = Host()
        host.lead()
        host.receive(3, append_response=AppendResponse(term=9))
        self.assertEqual((host.node.role, host.node.term, host.node.leader_id), (Role.FOLLOWER, 9, None))


if __name__ == "__main__":
    unittest.main()
