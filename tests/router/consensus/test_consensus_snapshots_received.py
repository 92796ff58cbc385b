"""Chunked snapshots on the receiving member, and joint memberships in snapshots."""

from __future__ import annotations

import unittest

from consensus_chunks import SLOW_MEMBER_ID, SNAPSHOT_STATE
from consensus_host import OWN_ID, Host, bodies, entry, membership

from mallowbeam.router.rpc.messages_pb2 import (
    Member,
    Membership,
    Snapshot,
    SnapshotChunk,
)


class Receiving(unittest.TestCase):
    """Reassembly, installation and acknowledgement on a follower."""

    def _chunk(
        self,
        host: Host,
        offset: int,
        data: bytes = b"",
        *,
        term: int = 1,
        index: int = 9,
        size: int = len(SNAPSHOT_STATE),
        sender: int = 2,
        joint: bool = False,
    ):
        voters = membership(3)
        if joint:
            voters.outgoing_voters.extend([1, 2, 4])
        head = Snapshot(index=index, term=1, membership=voters)
        chunk = SnapshotChunk(
            term=term,
            round=7,
            head=head,
            size=size,
            offset=offset,
            data=data or SNAPSHOT_STATE[offset : offset + 4],
        )
        return host.receive(sender, snapshot_chunk=chunk)

    def _received(self, output) -> list[int]:
        return [progress.received for progress in bodies(output.send, "snapshot_progress")]

    def test_installed_when_complete_and_acknowledged_when_durable(self) -> None:
        host = Host()
        for offset in (0, 4):
            output = self._chunk(host, offset)
            self.assertIsNone(output.install)
            self.assertIsNone(output.write)
            self.assertEqual(self._received(output), [offset + 4])
        output = self._chunk(host, 8)
        self.assertEqual((output.install.index, output.install.state), (9, SNAPSHOT_STATE))
        self.assertEqual(output.write.snapshot, output.install)
        self.assertEqual(output.send, [])
        (response,) = bodies(output.write.send_when_durable, "append_response")
        self.assertEqual((response.success, response.match_index, response.round), (True, 9, 7))

    def test_gaps_and_duplicates_are_ignored(self) -> None:
        host = Host()
        self.assertEqual(self._received(self._chunk(host, 4)), [0])
        self.assertEqual(self._received(self._chunk(host, 0)), [4])
        self.assertEqual(self._received(self._chunk(host, 0)), [4])
        self.assertEqual(self._received(self._chunk(host, 8)), [4])
        self._chunk(host, 4)
        self.assertEqual(self._chunk(host, 8).install.state, SNAPSHOT_STATE)

    def test_newer_snapshot_of_the_leader_replaces_the_older(self) -> None:
        host = Host()
        self._chunk(host, 0)
        self.assertEqual(self._received(self._chunk(host, 4, index=10)), [0])
        self.assertEqual(self._received(self._chunk(host, 4, index=9)), [])
        self.assertEqual(self._received(self._chunk(host, 0, b"abcd", index=10)), [4])
        self._chunk(host, 4, b"efgh", index=10)
        self.assertEqual(self._chunk(host, 8, b"ij", index=10).install.state, b"abcdefghij")

    def test_chunks_of_two_leaders_are_not_combined(self) -> None:
        host = Host()
        self._chunk(host, 0)
        self._chunk(host, 4)
        output = self._chunk(host, 8, term=2, sender=3)
        self.assertIsNone(output.install)
        (progress,) = bodies(output.write.send_when_durable, "snapshot_progress")
        self.assertEqual((progress.term, progress.received), (2, 0))

    def test_stale_leader_is_notified_of_the_term(self) -> None:
        host = Host(term=4)
        (response,) = bodies(self._chunk(host, 0, term=3).send, "append_response")
        self.assertEqual((response.success, response.term), (False, 4))

    def test_snapshot_contained_in_the_log_is_acknowledged_at_once(self) -> None:
        host = Host(entries=tuple(entry(index, 1) for index in range(2, 12)))
        output = self._chunk(host, 0)
        self.assertIsNone(output.install)
        (response,) = bodies(output.send, "append_response")
        self.assertEqual((response.success, response.match_index), (True, 9))
        self.assertEqual(host.node._state.log.last_index, 11)

    def test_chunk_after_installation_acknowledges_the_index(self) -> None:
        """The index is acknowledged whether or not the snapshot is durable already."""
        host = Host()
        for offset in (0, 4, 8):
            self._chunk(host, offset)
        output = self._chunk(host, 10)
        self.assertEqual(output.send, [])
        (response,) = bodies(output.write.send_when_durable, "append_response")
        self.assertEqual(response.match_index, 9)
        host.complete_writes()
        (response,) = bodies(self._chunk(host, 10).send, "append_response")
        self.assertEqual((response.success, response.match_index), (True, 9))

    def test_chunk_after_a_restart_is_requested_from_offset_zero(self) -> None:
        self.assertEqual(self._received(self._chunk(Host(), 10)), [0])

    def test_snapshot_over_the_limit_is_ignored(self) -> None:
        host = Host(max_chunked_bytes=9)
        output = self._chunk(host, 0)
        self.assertEqual((self._received(output), output.install), ([], None))

    def test_empty_state(self) -> None:
        output = self._chunk(Host(founder=False, own=9), 0, size=0)
        self.assertEqual((output.install.index, output.install.state), (9, b""))

    def test_joint_membership_is_installed_with_the_snapshot(self) -> None:
        host = Host()
        for offset in (0, 4, 8):
            output = self._chunk(host, offset, joint=True)
        self.assertEqual(list(output.write.snapshot.membership.outgoing_voters), [1, 2, 4])
        self.assertEqual(list(host.node.membership.outgoing_voters), [1, 2, 4])


class JointMembershipInSnapshot(unittest.TestCase):
    """A snapshot contains the membership in force at its index, also a joint one."""

    def test_sent(self) -> None:
        joint = Membership(
            members=[Member(id=number, voter=True) for number in (OWN_ID, 2, SLOW_MEMBER_ID)],
            outgoing_voters=[OWN_ID, 2, 4],
        )
        host = Host()
        host.lead()
        host.node._state.log.memberships.current.membership.CopyFrom(joint)
        host.node.compact(2, SNAPSHOT_STATE)
        snapshot = host.output().write.snapshot
        self.assertEqual(snapshot.membership, joint)


if __name__ == "__main__":
    unittest.main()
