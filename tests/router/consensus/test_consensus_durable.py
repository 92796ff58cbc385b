"""Messages are sent only after the state that they depend on is durable."""

from __future__ import annotations

import unittest

from consensus_host import OWN_ID, Host, bodies, entry

from mallowbeam.router.consensus.interface import HardState
from mallowbeam.router.consensus.node import Role
from mallowbeam.router.rpc.messages_pb2 import VoteRequest, VoteResponse


class Durable(unittest.TestCase):
    """Messages wait for the durability of entries, terms and votes."""

    def test_entries_are_acknowledged_after_their_write(self) -> None:
        host = Host()
        output = host.append(2, 1, (1, 1), entry(2, 1))
        self.assertEqual(output.send, [])
        (response,) = bodies(output.write.send_when_durable, "append_response")
        self.assertEqual((response.success, response.match_index), (True, 2))

    def test_heartbeat_response_covers_only_durable_entries(self) -> None:
        host = Host()
        host.append(2, 1, (1, 1), entry(2, 1))
        (response,) = bodies(host.append(2, 1, (2, 1), round_number=7).send, "append_response")
        self.assertEqual((response.success, response.match_index, response.round), (True, 1, 7))
        host.complete_writes()
        (response,) = bodies(host.append(2, 1, (2, 1)).send, "append_response")
        self.assertEqual(response.match_index, 2)

    def test_repeated_entries_wait_for_the_write_in_flight(self) -> None:
        host = Host()
        host.append(2, 1, (1, 1), entry(2, 1))
        output = host.append(2, 1, (1, 1), entry(2, 1))
        self.assertEqual(output.send, [])
        self.assertEqual((output.write.entries, len(output.write.send_when_durable)), ((), 1))

    def test_adopted_term_is_durable_before_a_response(self) -> None:
        host = Host()
        output = host.append(2, 5, (1, 1))
        self.assertEqual(output.send, [])
        self.assertEqual(output.write.hard_state, HardState(5, 0))
        self.assertEqual(len(output.write.send_when_durable), 1)

    def test_vote_is_durable_before_it_is_granted(self) -> None:
        host = Host()
        output = host.receive(2, vote_request=VoteRequest(term=2, last_index=1, last_term=1))
        self.assertEqual((output.send, output.write.hard_state), ([], HardState(2, 2)))
        (response,) = bodies(output.write.send_when_durable, "vote_response")
        self.assertTrue(response.granted)

    def test_candidate_requests_votes_once_its_own_is_durable(self) -> None:
        host = Host()
        host.tick(1.0)
        vote = VoteResponse(term=2, granted=True, pre_vote=True)
        output = host.receive(2, vote_response=vote)
        self.assertEqual((host.node.role, output.send), (Role.CANDIDATE, []))
        self.assertEqual(output.write.hard_state, HardState(2, OWN_ID))
        self.assertEqual(len(bodies(output.write.send_when_durable, "vote_request")), 2)

    def test_write_in_flight_does_not_acknowledge_truncated_entries(self) -> None:
        host = Host()
        host.append(2, 1, (1, 1), entry(2, 1), entry(3, 1))
        output = host.append(3, 2, (2, 1), entry(3, 2))
        first, second = host.tickets
        host.node.written(first, host.now)
        self.assertEqual(host.node._state.persistence.durable_index, 2)
        host.node.written(second, host.now)
        self.assertEqual(host.node._state.persistence.durable_index, 3)
        self.assertEqual([each.index for each in output.write.entries], [3])

    def test_leader_counts_itself_once_written(self) -> None:
        host = Host()
        host.lead()
        proposal = host.node.propose(b"a", host.now)
        host.output()
        host.confirm(2, proposal.index)
        self.assertEqual(host.node.commit_index, proposal.index - 1)
        host.complete_writes()
        self.assertEqual(host.node.commit_index, proposal.index)
        self.assertEqual(host.committed[-1].payload, b"a")

    def test_leader_may_be_behind_its_followers(self) -> None:
        host = Host()
        host.lead()
        proposal = host.node.propose(b"a", host.now)
        host.output()
        host.confirm(2, proposal.index)
        host.confirm(3, proposal.index)
        self.assertEqual(host.node.commit_index, proposal.index)

    def test_proposals_are_batched(self) -> None:
        host = Host()
        host.lead()
        for payload in (b"a", b"b", b"c"):
            host.node.propose(payload, host.now)
        output = host.output()
        self.assertEqual(len(output.write.entries), 3)
        appends = [request for request in bodies(output.send, "append_request") if request.entries]
        self.assertEqual([len(request.entries) for request in appends], [3])  # member 3 is only probed


if __name__ == "__main__":
    unittest.main()
