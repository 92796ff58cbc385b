"""A leader's messages to one member: heartbeats, entries, and chunks of snapshots and large entries."""

from __future__ import annotations

from collections.abc import Sequence

from mallowbeam.router.consensus.chunk_sender import ChunkSender, EntrySender, LeaderHeader, SnapshotSender
from mallowbeam.router.consensus.progress import Progress, ProgressState
from mallowbeam.router.consensus.state import MemberState
from mallowbeam.router.rpc.messages_pb2 import AppendRequest, Entry, RaftMessage, SnapshotProgress


class Replicator:
    """Sends each member the messages that its progress requires."""

    def __init__(self, state: MemberState) -> None:
        self._state = state

    def heartbeat(self, member_id: int, progress: Progress, round_number: int) -> None:
        """Send an append without entries at the next index; a rejection reveals a lost append before it."""
        chunked = progress.state is ProgressState.CHUNKED
        previous = progress.match_index if chunked else progress.next_index - 1
        if self._state.log.term_at(previous) is None:
            previous = 0  # matches every log that has a membership
        self._append(member_id, progress, previous, (), round_number)
        progress.probe_sent = progress.state is ProgressState.PROBE

    def replicate(self, member_id: int, progress: Progress, round_number: int) -> None:
        """Send chunks, entries or a snapshot as flow control allows, and the commit index if it is new."""
        if progress.chunk_sender is not None:
            self._continue_chunks(member_id, progress, progress.chunk_sender, round_number)
        elif self._needs_snapshot(progress) and self._recently_active(progress):
            snapshot = SnapshotSender(self._state.log.snapshot, self._state.now)
            self._start_chunks(member_id, progress, snapshot, round_number)
        if self._lacks_entries(progress):
            return
        if progress.next_index <= self._state.log.last_index:
            self._send_entries(member_id, progress, round_number)
        commit_is_new = progress.sent_commit_index < self._state.commit_index
        if progress.state is ProgressState.REPLICATE and commit_is_new:
            self._append(member_id, progress, progress.next_index - 1, (), round_number)

    def _send_entries(self, member_id: int, progress: Progress, round_number: int) -> None:
        log = self._state.log
        settings = self._state.settings
        max_bytes = min(settings.max_bytes_per_message, settings.chunked_entry_bytes)
        while progress.next_index <= log.last_index and self._may_send(progress):
            first = progress.next_index
            if log.payload_bytes(first) > settings.chunked_entry_bytes:
                self._send_large_entry(member_id, progress, first, round_number)
                break
            entries = log.batch(first, settings.max_entries_per_message, max_bytes)
            self._append(member_id, progress, first - 1, entries, round_number)
            progress.entries_sent(first - 1 + len(entries), sum(len(entry.payload) for entry in entries))

    def _may_send(self, progress: Progress) -> bool:
        settings = self._state.settings
        return progress.may_send(settings.max_inflight_messages, settings.max_inflight_bytes)

    def _needs_snapshot(self, progress: Progress) -> bool:
        """Whether required entries are compacted, or much larger than the snapshot that contains them."""
        if self._lacks_entries(progress):
            return True
        if not progress.fully_acknowledged:
            return False
        savings = self._state.log.snapshot_savings(progress.next_index)
        return savings > self._state.settings.snapshot_preferred_bytes

    def _lacks_entries(self, progress: Progress) -> bool:
        return progress.next_index - 1 < self._state.log.base_index

    def _recently_active(self, progress: Progress) -> bool:
        return progress.recently_active(self._state.now - self._state.settings.election_timeout_max)

    # ------------------------------------------------------------ chunks

    def _send_large_entry(self, member_id: int, progress: Progress, index: int, round_number: int) -> None:
        """Send an entry in chunks once the member matches up to the entry before; probe until then."""
        state = self._state
        if progress.state is ProgressState.PROBE:
            self._append(member_id, progress, index - 1, (), round_number)
            progress.probe_sent = True
        elif progress.match_index == index - 1:
            (entry,) = state.log.slice(index, index)
            sender = EntrySender(entry, state.log.term_at(index - 1) or 0, state.now)
            self._start_chunks(member_id, progress, sender, round_number)

    def _start_chunks(
        self, member_id: int, progress: Progress, sender: ChunkSender, round_number: int
    ) -> None:
        """Start to send in chunks; the log retains later entries until the member has everything."""
        progress.start_chunks(sender)
        self._send_chunks(member_id, sender, round_number)

    def _continue_chunks(
        self, member_id: int, progress: Progress, sender: ChunkSender, round_number: int
    ) -> None:
        """Send further chunks to an active member; abort after `chunk_abort_timeout` without contact."""
        state = self._state
        if self._recently_active(progress):
            sender.retry(state.now, state.settings.chunk_retry_timeout)
            self._send_chunks(member_id, sender, round_number)
        elif not progress.recently_active(state.now - state.settings.chunk_abort_timeout):
            progress.abort_chunks()

    def _send_chunks(self, member_id: int, sender: ChunkSender, round_number: int) -> None:
        state = self._state
        settings = state.settings
        leader = LeaderHeader(state.term, round_number, state.commit_index)
        for message in sender.chunks(leader, settings.chunk_bytes, settings.chunk_window_bytes):
            state.persistence.send_now(member_id, message)

    def handle_chunk_progress(self, progress: Progress, response: SnapshotProgress) -> None:
        """Process the acknowledgement of a chunk; the next output sends the chunks that now fit."""
        sender = progress.chunk_sender
        if sender is not None and sender.index == response.index:
            sender.acknowledge(response.received, self._state.now)

    # ------------------------------------------------------------ entries

    def _append(
        self, member_id: int, progress: Progress, previous: int, entries: Sequence[Entry], round_number: int
    ) -> None:
        state = self._state
        request = AppendRequest(
            term=state.term,
            previous_index=previous,
            previous_term=state.log.term_at(previous) or 0,
            entries=entries,
            commit=state.commit_index,
            round=round_number,
            answered_round=progress.acknowledged_round,
        )
        state.persistence.send_now(member_id, RaftMessage(append_request=request))
        progress.sent_commit_index = state.commit_index

    def handle_rejection(self, member_id: int, progress: Progress, hint_index: int) -> None:
        """Process a rejected append.

        A rejection at the very start of the log comes from a joining member without a membership, which needs
        the snapshot.
        """
        log = self._state.log
        chunked = progress.state is ProgressState.CHUNKED
        at_start = not chunked and progress.next_index - 1 <= log.base_index == 0
        if at_start and hint_index == 0:
            snapshot = SnapshotSender(log.snapshot, self._state.now)
            self._start_chunks(member_id, progress, snapshot, progress.acknowledged_round)
        else:
            progress.handle_rejection(hint_index)
