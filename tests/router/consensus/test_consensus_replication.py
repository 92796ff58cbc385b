"""Replication of entries: limits, probes, conflicts, snapshots."""

from __future__ import annotations

import unittest

from consensus_host import Host, bodies, entry, membership

from mallowbeam.router.consensus.errors import DivergedError
from mallowbeam.router.rpc.messages_pb2 import AppendResponse, Snapshot, SnapshotRequest


class Replication(unittest.TestCase):
    """Messages between a leader and its followers."""

    def test_messages_are_limited(self) -> None:
        host = Host(max_entries_per_message=2, max_inflight_messages=2, max_bytes_per_message=10)
        host.lead()
        for payload in (b"1", b"2", b"3" * 50, b"4", b"5", b"6"):
            host.node.propose(payload, host.now)
        requests = bodies(host.output().send, "append_request")
        self.assertEqual([[each.index for each in request.entries] for request in requests], [[3, 4], [5]])
        requests = bodies(host.confirm(2, 5).send, "append_request")
        self.assertEqual([[each.index for each in request.entries] for request in requests], [[6, 7], [8]])

    def test_rejection_is_followed_by_a_probe(self) -> None:
        host = Host(entries=tuple(entry(index, 1) for index in range(2, 20)))
        host.lead()
        rejection = AppendResponse(term=host.node.term, success=False, hint_index=4, round=1)
        (request,) = bodies(host.receive(3, append_response=rejection).send, "append_request")
        self.assertEqual((request.previous_index, request.entries[0].index), (4, 5))
        output = host.receive(3, append_response=rejection)  # a duplicate rejection is ignored
        self.assertEqual(output.send, [])

    def test_hint_skips_a_term(self) -> None:
        entries = (entry(2, 1), entry(3, 2), entry(4, 2), entry(5, 2))
        host = Host(entries=entries, term=2)
        output = host.append(2, 3, (5, 3))
        (response,) = bodies(output.write.send_when_durable, "append_response")
        self.assertEqual((response.success, response.hint_index), (False, 2))
        host.complete_writes()
        (response,) = bodies(host.append(2, 3, (9, 3)).send, "append_response")
        self.assertEqual((response.success, response.hint_index), (False, 5))

    def test_committed_entry_is_never_dropped(self) -> None:
        host = Host()
        host.append(2, 1, (1, 1), entry(2, 1), commit=2)
        with self.assertRaises(DivergedError):
            host.append(3, 2, (1, 1), entry(2, 2))

    def test_commit_index_does_not_pass_the_matched_entries(self) -> None:
        host = Host(entries=(entry(2, 1), entry(3, 1)))
        host.append(2, 2, (2, 1), commit=3)
        self.assertEqual(host.node.commit_index, 2)

    def test_snapshot_for_a_follower_behind_the_log(self) -> None:
        host = Host(trailing_entries=0)
        host.lead()
        host.node.compact(2, b"state")
        output = host.complete_writes()
        self.assertEqual(host.node._state.log.base_index, 2)
        rejection = AppendResponse(term=host.node.term, success=False, hint_index=0, round=1)
        output = host.receive(3, append_response=rejection)
        (chunk,) = bodies(output.send, "snapshot_chunk")
        self.assertEqual((chunk.head.index, chunk.data, chunk.size), (2, b"state", 5))
        self.assertEqual(bodies(host.receive(3, append_response=rejection).send, "snapshot_chunk"), [])
        host.node.propose(b"a", host.now)
        host.output()
        (request,) = bodies(host.confirm(3, 2).send, "append_request")
        self.assertEqual(request.previous_index, 2)

    def test_snapshot_is_sent_again(self) -> None:
        host = Host(trailing_entries=0, chunk_retry_timeout=0.5)
        host.lead()
        host.node.compact(2, b"state")
        rejection = AppendResponse(term=host.node.term, success=False, hint_index=0, round=1)
        host.receive(3, append_response=rejection)
        sent = []
        for _ in range(6):
            host.confirm(2, 2)
            host.receive(3, append_response=rejection)
            sent += bodies(host.tick(0.1).send, "snapshot_chunk")
        self.assertEqual([chunk.data for chunk in sent], [b"state"])

    def test_trailing_entries_are_retained(self) -> None:
        host = Host(entries=tuple(entry(index, 1) for index in range(2, 12)), trailing_entries=3)
        host.lead()
        host.node.compact(10, b"state")
        self.assertEqual(host.output().write.snapshot.index, 10)
        self.assertEqual(host.node._state.log.base_index, 7)

    def test_compaction_of_unapplied_entries_fails(self) -> None:
        host = Host()
        with self.assertRaises(ValueError):
            host.node.compact(2, b"")
        host.node.compact(1, b"")
        self.assertIsNone(host.output().write)

    def test_install(self) -> None:
        host = Host(entries=(entry(2, 1), entry(3, 1)))
        snapshot = Snapshot(index=3, term=2, membership=membership(2, 1), state=b"state")
        output = host.receive(2, snapshot_request=SnapshotRequest(term=2, snapshot=snapshot, round=4))
        self.assertEqual((output.install, output.write.snapshot), (snapshot, snapshot))
        self.assertEqual(output.write.entries, ())
        (response,) = bodies(output.write.send_when_durable, "append_response")
        self.assertEqual((response.success, response.match_index, response.round), (True, 3, 4))
        self.assertEqual((host.node.commit_index, host.node.membership), (3, membership(2, 1)))
        host.append(2, 2, (3, 2), entry(4, 2), commit=4)
        self.assertEqual([each.index for each in host.committed], [4])

    def test_snapshot_contained_in_the_log(self) -> None:
        host = Host(entries=(entry(2, 1), entry(3, 1), entry(4, 1)))
        snapshot = Snapshot(index=3, term=1, membership=membership(3), state=b"state")
        output = host.receive(2, snapshot_request=SnapshotRequest(term=1, snapshot=snapshot))
        self.assertIsNone(output.install)
        self.assertEqual([each.index for each in output.committed], [2, 3])
        self.assertEqual(host.node._state.log.last_index, 4)

    def test_joining_member_rejects_until_it_has_a_membership(self) -> None:
        for first in (0, 1):
            host = Host(founder=False, own=9)
            output = host.append(2, 3, (0, 0), entry(1, 1))
            (response,) = bodies(output.write.send_when_durable, "append_response")
            self.assertEqual((response.success, response.hint_index), (False, 0))
            snapshot = Snapshot(index=first, term=first, membership=membership(3))
            request = SnapshotRequest(term=3, snapshot=snapshot)
            self.assertEqual(host.receive(2, snapshot_request=request).install, snapshot)
            output = host.append(2, 3, (first, first), entry(first + 1, 3))
            (response,) = bodies(output.write.send_when_durable, "append_response")
            self.assertEqual(response.match_index, first + 1)


if __name__ == "__main__":
    unittest.main()
