"""Chunked snapshots and large entries: sending, flow control, retention in the log, reception."""

from __future__ import annotations

import unittest

from consensus_chunks import (
    SLOW_MEMBER_ID,
    SNAPSHOT_STATE,
    acknowledge,
    advance_time,
    leader,
    offsets,
    reject_append,
)
from consensus_host import Host, bodies

from mallowbeam.router.consensus.errors import OverloadedError
from mallowbeam.router.rpc.messages_pb2 import (
    COMMAND,
    Entry,
    EntryChunk,
    SnapshotProgress,
)


class Sending(unittest.TestCase):
    """Flow control and retransmission on a leader."""

    def test_chunks_are_sent_in_order_within_the_window(self) -> None:
        host = leader()
        chunks = reject_append(host)
        self.assertEqual(offsets(chunks), [0, 4])
        more = acknowledge(host, 4)
        self.assertEqual(offsets(more), [8])
        self.assertEqual(b"".join(chunk.data for chunk in chunks + more), SNAPSHOT_STATE)
        self.assertEqual({chunk.size for chunk in chunks + more}, {len(SNAPSHOT_STATE)})
        self.assertEqual(
            {(chunk.head.index, chunk.head.term, chunk.head.state) for chunk in chunks + more},
            {(2, host.node.term, b"")},
        )
        self.assertEqual(offsets(acknowledge(host, 8)), [])
        self.assertEqual(offsets(acknowledge(host, 10)), [])

    def test_one_at_a_time(self) -> None:
        host = leader()
        reject_append(host)
        self.assertEqual(offsets(reject_append(host)), [])
        self.assertEqual(offsets(advance_time(host, 0.5)), [])

    def test_timeout_retransmits_from_the_acknowledged_offset(self) -> None:
        host = leader(chunk_retry_timeout=0.5)
        reject_append(host)
        acknowledge(host, 4)
        self.assertEqual(offsets(advance_time(host, 0.7)), [4, 8])

    def test_gap_is_retransmitted_at_once_and_once(self) -> None:
        host = leader()
        reject_append(host)
        self.assertEqual(offsets(acknowledge(host, 0)), [0, 4])
        self.assertEqual(offsets(acknowledge(host, 0)), [])
        self.assertEqual(offsets(acknowledge(host, 4)), [8])

    def test_restarted_member_gets_it_from_offset_zero(self) -> None:
        host = leader()
        reject_append(host)
        acknowledge(host, 4)
        acknowledge(host, 8)
        self.assertEqual(offsets(acknowledge(host, 0)), [0, 4])

    def test_member_that_received_everything_is_probed(self) -> None:
        host = leader(chunk_retry_timeout=0.5)
        reject_append(host)
        acknowledge(host, 4)
        acknowledge(host, 10)
        (probe,) = advance_time(host, 0.7)
        self.assertEqual((probe.offset, probe.data), (10, b""))

    def test_acknowledgements_of_another_snapshot_are_ignored(self) -> None:
        host = leader()
        reject_append(host)
        self.assertEqual(offsets(acknowledge(host, 8, index=1)), [])
        self.assertEqual(offsets(acknowledge(host, 999)), [])

    def test_entries_follow_only_once_it_is_installed(self) -> None:
        host = leader()
        reject_append(host)
        host.node.propose(b"a", host.now)
        acknowledge(host, 4)
        output = host.output()
        self.assertEqual([send.recipient for send in output.send if send.message.append_request.entries], [])
        acknowledge(host, 10)
        requests = bodies(host.confirm(SLOW_MEMBER_ID, 2).send, "append_request")
        self.assertEqual([each.index for request in requests for each in request.entries], [3])

    def test_inactive_member_is_sent_nothing_and_then_aborted(self) -> None:
        host = leader(chunk_abort_timeout=2.0)
        reject_append(host)
        self.assertEqual(offsets(advance_time(host, 1.5, responds=False)), [])
        sender = host.node._leader._progress[SLOW_MEMBER_ID].chunk_sender
        self.assertEqual(sender.index, 2)
        self.assertEqual(offsets(advance_time(host, 1.5, responds=False)), [])
        self.assertIsNone(host.node._leader._progress[SLOW_MEMBER_ID].chunk_sender)
        self.assertEqual(offsets(reject_append(host)), [0, 4])

    def test_resumed_after_a_short_partition(self) -> None:
        host = leader(chunk_retry_timeout=0.5)
        reject_append(host)
        acknowledge(host, 4)
        advance_time(host, 1.5, responds=False)
        self.assertEqual(offsets(advance_time(host, 0.2)), [4, 8])


class Retention(unittest.TestCase):
    """Entries that a leader retains, and limits in bytes."""

    def _compact(self, host: Host, payloads: int, size: int = 1) -> None:
        for _ in range(payloads):
            host.node.propose(b"x" * size, host.now)
        last = host.node._state.log.last_index
        host.output()
        host.complete_writes()
        host.confirm(2, last)
        host.node.compact(last, b"newer")
        host.output()

    def test_compaction_retains_the_snapshot_in_flight_and_later_entries(self) -> None:
        host = leader()
        reject_append(host)
        self._compact(host, 5)
        self.assertEqual((host.node._state.log.snapshot.index, host.node._state.log.base_index), (7, 2))
        (chunk,) = acknowledge(host, 4)
        self.assertEqual((chunk.head.index, chunk.data), (2, SNAPSHOT_STATE[8:]))
        acknowledge(host, 10)
        requests = bodies(host.confirm(SLOW_MEMBER_ID, 2).send, "append_request")
        self.assertEqual([each.index for request in requests for each in request.entries], [3, 4, 5, 6, 7])

    def test_newer_snapshot_follows_when_retained_entries_exceed_the_limit(self) -> None:
        host = leader(trailing_bytes=20)
        reject_append(host)
        self._compact(host, 5, size=10)
        self.assertEqual(host.node._state.log.base_index, 5)
        (chunk,) = acknowledge(host, 4)
        self.assertEqual(chunk.head.index, 2)
        acknowledge(host, 10)
        (chunk, *_) = bodies(host.confirm(SLOW_MEMBER_ID, 2).send, "snapshot_chunk")
        self.assertEqual((chunk.head.index, chunk.offset, chunk.data), (7, 0, b"newe"))

    def test_trailing_entries_are_limited_in_bytes(self) -> None:
        host = leader(trailing_entries=100, trailing_bytes=35)
        self._compact(host, 10, size=10)
        log = host.node._state.log
        self.assertEqual(
            (log.snapshot.index, log.base_index, log.payload_bytes_after(log.base_index)), (12, 9, 30)
        )

    def test_compaction_after_acknowledgement_retains_nothing_for_it(self) -> None:
        host = leader()
        reject_append(host)
        host.confirm(SLOW_MEMBER_ID, 2)
        self._compact(host, 5)
        self.assertEqual(host.node._state.log.base_index, 7)

    def test_inflight_appends_are_limited_in_bytes(self) -> None:
        host = Host(max_bytes_per_message=10, max_inflight_bytes=25)
        host.lead()
        for _ in range(6):
            host.node.propose(b"x" * 10, host.now)
        requests = [request for request in bodies(host.output().send, "append_request") if request.entries]
        self.assertEqual(len(requests), 3)
        first = requests[0].entries[0].index
        self.assertEqual(len(bodies(host.confirm(2, first).send, "append_request")), 1)
        self.assertEqual(len(bodies(host.confirm(2, first + 3).send, "append_request")), 2)

    def test_entry_over_the_limit_is_sent_alone(self) -> None:
        host = Host(max_bytes_per_message=10, max_inflight_bytes=10)
        host.lead()
        for size in (50, 1, 1):
            host.node.propose(b"x" * size, host.now)
        requests = [request for request in bodies(host.output().send, "append_request") if request.entries]
        self.assertEqual([len(request.entries) for request in requests], [1])
        (request,) = bodies(host.confirm(2, requests[0].entries[0].index).send, "append_request")
        self.assertEqual(len(request.entries), 2)

    def test_uncommitted_proposals_are_limited_in_bytes(self) -> None:
        host = Host(max_uncommitted_bytes=100)
        host.lead()
        host.node.propose(b"x" * 300, host.now)
        with self.assertRaises(OverloadedError):
            host.node.propose(b"x", host.now)
        host.output()
        host.complete_writes()
        host.confirm(2, host.node._state.log.last_index)
        host.node.propose(b"x", host.now)


class LargeEntries(unittest.TestCase):
    """An entry that is too large for one message is sent in chunks."""

    def _leader(self) -> Host:
        host = Host(chunked_entry_bytes=5, chunk_bytes=4, chunk_window_bytes=8)
        host.lead()
        return host

    def test_sent_after_the_entries_before_it(self) -> None:
        host = self._leader()
        host.node.propose(b"ab", host.now)
        host.node.propose(SNAPSHOT_STATE, host.now)
        host.node.propose(b"cd", host.now)
        first = host.node._state.log.last_index - 2
        sent = [send for send in host.output().send if send.recipient == 2]
        (request,) = [each for each in bodies(sent, "append_request") if each.entries]
        self.assertEqual([each.index for each in request.entries], [first])
        self.assertEqual(bodies(sent, "entry_chunk"), [])
        chunks = bodies(host.confirm(2, first).send, "entry_chunk")
        self.assertEqual(offsets(chunks), [0, 4])
        self.assertEqual((chunks[0].head.index, chunks[0].previous_term), (first + 1, host.node.term))
        progress = SnapshotProgress(term=host.node.term, round=1, index=first + 1, received=8)
        (last,) = bodies(host.receive(2, snapshot_progress=progress).send, "entry_chunk")
        self.assertEqual((last.offset, last.data, last.size), (8, SNAPSHOT_STATE[8:], 10))
        requests = bodies(host.confirm(2, first + 1).send, "append_request")
        self.assertEqual([each.index for request in requests for each in request.entries], [first + 2])

    def test_not_sent_as_a_probe(self) -> None:
        host = self._leader()
        host.node.propose(SNAPSHOT_STATE, host.now)
        sent = [send for send in host.output().send if send.recipient == SLOW_MEMBER_ID]
        self.assertEqual(bodies(sent, "entry_chunk"), [])
        self.assertEqual([len(each.entries) for each in bodies(sent, "append_request")], [])

    def test_appended_when_complete_and_acknowledged_when_durable(self) -> None:
        host = Host()
        for offset in (0, 4):
            output = self._receive(host, offset)
            self.assertIsNone(output.write)
            (progress,) = bodies(output.send, "snapshot_progress")
            self.assertEqual(progress.received, offset + 4)
        output = self._receive(host, 8)
        self.assertEqual([(each.index, each.payload) for each in output.write.entries], [(2, SNAPSHOT_STATE)])
        self.assertEqual(output.send, [])
        (response,) = bodies(output.write.send_when_durable, "append_response")
        self.assertEqual((response.success, response.match_index), (True, 2))
        output = self._receive(host, 10)  # probed before it is durable
        (response,) = bodies(output.write.send_when_durable, "append_response")
        self.assertEqual(response.match_index, 2)

    def test_chunks_of_two_leaders_are_not_combined(self) -> None:
        host = Host()
        self._receive(host, 0)
        output = self._receive(host, 4, term=2, sender=3)
        (progress,) = bodies(output.write.send_when_durable, "snapshot_progress")
        self.assertEqual(progress.received, 0)

    def test_chunks_do_not_make_a_follower_current(self) -> None:
        host = Host()
        for offset in (0, 4, 8):
            self._receive(host, offset, commit=9)
        self.assertEqual(host.node.commit_index, 2)
        self.assertGreater(host.node.freshness(host.now), 1000.0)

    def _receive(self, host: Host, offset: int, term: int = 1, sender: int = 2, commit: int = 1):
        head = Entry(index=2, term=term, kind=COMMAND)
        chunk = EntryChunk(
            term=term,
            round=1,
            previous_term=1,
            head=head,
            commit=commit,
            size=len(SNAPSHOT_STATE),
            offset=offset,
            data=SNAPSHOT_STATE[offset : offset + 4],
        )
        return host.receive(sender, entry_chunk=chunk)


class SnapshotInsteadOfEntries(unittest.TestCase):
    """A leader sends a snapshot instead of entries that are much larger."""

    def _lagging(self, saved: int) -> Host:
        host = Host(trailing_entries=100, snapshot_preferred_bytes=saved)
        host.lead()
        host.confirm(SLOW_MEMBER_ID, 2)
        for _ in range(10):
            host.node.propose(b"x" * 10, host.now)
        last = host.node._state.log.last_index
        host.output()
        host.complete_writes()
        host.confirm(2, last)
        host.node.compact(last, b"state")
        return host

    def test_preferred_for_large_savings(self) -> None:
        host = self._lagging(saved=90)
        host.node._leader._progress[SLOW_MEMBER_ID].handle_rejection(2)
        (chunk,) = bodies(host.confirm(SLOW_MEMBER_ID, 2).send, "snapshot_chunk")
        self.assertEqual(chunk.data, b"state")

    def test_not_preferred_for_small_savings(self) -> None:
        host = self._lagging(saved=100)
        host.node._leader._progress[SLOW_MEMBER_ID].handle_rejection(2)
        output = host.confirm(SLOW_MEMBER_ID, 2)
        self.assertEqual(bodies(output.send, "snapshot_chunk"), [])
        self.assertEqual(sum(len(each.entries) for each in bodies(output.send, "append_request")), 10)


if __name__ == "__main__":
    unittest.main()
