"""A leader's messages to one member: heartbeats, entries, snapshots; large ones in chunks."""

from __future__ import annotations

from collections.abc import Sequence

from mallowbeam.router.consensus.progress import Mode, Progress
from mallowbeam.router.consensus.state import MemberState
from mallowbeam.router.consensus.transfer import EntryTransfer, LeaderState, SnapshotTransfer, Transfer
from mallowbeam.router.rpc.messages_pb2 import AppendRequest, Entry, RaftMessage, SnapshotProgress


class Replicator:
    """Sends to members what their progress asks for."""

    def __init__(self, state: MemberState) -> None:
        self._state = state

    def heartbeat(self, member_id: int, progress: Progress, round_number: int) -> None:
        """An append without entries at the next index: one that was lost before it shows by the refusal."""
        previous = progress.match_index if progress.mode is Mode.TRANSFER else progress.next_index - 1
        if self._state.log.term_at(previous) is None:
            previous = 0  # matches any log that has heard of a membership
        self._append(member_id, progress, previous, (), round_number)
        progress.probe_sent = progress.mode is Mode.PROBE

    def replicate(self, member_id: int, progress: Progress, round_number: int) -> None:
        """Send entries as far as they may go, a snapshot where they are gone, and the commit index."""
        log, settings = self._state.log, self._state.settings
        if progress.transfer is not None:
            self._go_on(member_id, progress, progress.transfer, round_number)
        elif self._wants_snapshot(progress) and self._in_touch(progress):
            snapshot = SnapshotTransfer(log.snapshot, self._state.now)
            self._begin(member_id, progress, snapshot, round_number)
        if self._lacks_entries(progress):
            return
        while progress.next_index <= log.last_index and self._may_send(progress):
            first = progress.next_index
            if log.payload_bytes(first) > settings.chunked_entry:
                self._large_entry(member_id, progress, first, round_number)
                break
            entries = log.batch(
                first, settings.entries_per_message, min(settings.bytes_per_message, settings.chunked_entry)
            )
            self._append(member_id, progress, first - 1, entries, round_number)
            progress.entries_sent(first - 1 + len(entries), sum(len(entry.payload) for entry in entries))
        if progress.mode is Mode.REPLICATE and progress.commit_told < self._state.commit_index:
            self._append(member_id, progress, progress.next_index - 1, (), round_number)

    def _may_send(self, progress: Progress) -> bool:
        settings = self._state.settings
        return progress.may_send(settings.messages_in_flight, settings.bytes_in_flight)

    def _wants_snapshot(self, progress: Progress) -> bool:
        """Whether entries that it needs are gone, or much longer than the snapshot that has their effect."""
        if self._lacks_entries(progress):
            return True
        if not progress.knows_match:
            return False
        return self._state.log.snapshot_saves(progress.next_index) > self._state.settings.snapshot_instead

    def _lacks_entries(self, progress: Progress) -> bool:
        return progress.next_index - 1 < self._state.log.base_index

    def _in_touch(self, progress: Progress) -> bool:
        return progress.in_touch(self._state.now - self._state.settings.election_most)

    # ------------------------------------------------------------ chunks

    def _large_entry(self, member_id: int, progress: Progress, index: int, round_number: int) -> None:
        """Send an entry in chunks once the member is known to have all before it; ask for that where not."""
        state = self._state
        if progress.mode is Mode.PROBE:
            self._append(member_id, progress, index - 1, (), round_number)
            progress.probe_sent = True
        elif progress.match_index == index - 1:
            (entry,) = state.log.slice(index, index)
            transfer = EntryTransfer(entry, state.log.term_at(index - 1) or 0, state.now)
            self._begin(member_id, progress, transfer, round_number)

    def _begin(self, member_id: int, progress: Progress, transfer: Transfer, round_number: int) -> None:
        """Begin to send in chunks; entries behind what is sent are kept meanwhile."""
        progress.begin_transfer(transfer)
        self._send_chunks(member_id, transfer, round_number)

    def _go_on(self, member_id: int, progress: Progress, transfer: Transfer, round_number: int) -> None:
        """Send what may go out; nothing to a member that is silent, and give it up after a while."""
        state = self._state
        if self._in_touch(progress):
            transfer.retry(state.now, state.settings.chunk_retry)
            self._send_chunks(member_id, transfer, round_number)
        elif not progress.in_touch(state.now - state.settings.transfer_kept):
            progress.give_up_transfer()

    def _send_chunks(self, member_id: int, transfer: Transfer, round_number: int) -> None:
        state, settings = self._state, self._state.settings
        leader = LeaderState(state.term, round_number, state.commit_index)
        for message in transfer.chunks(leader, settings.chunk, settings.chunk_window):
            state.persistence.send_now(member_id, message)

    def chunk_progress(self, progress: Progress, answer: SnapshotProgress) -> None:
        """Take a member's answer to a chunk; what it allows goes out with the next output."""
        transfer = progress.transfer
        if transfer is not None and transfer.index == answer.index:
            transfer.progress(answer.received, self._state.now)

    # ------------------------------------------------------------ entries

    def _append(
        self, member_id: int, progress: Progress, previous: int, entries: Sequence[Entry], round_number: int
    ) -> None:
        state = self._state
        previous_term = state.log.term_at(previous) or 0
        request = AppendRequest(
            term=state.term,
            previous_index=previous,
            previous_term=previous_term,
            entries=entries,
            commit=state.commit_index,
            round=round_number,
        )
        state.persistence.send_now(member_id, RaftMessage(append_request=request))
        progress.commit_told = state.commit_index

    def rejected(self, member_id: int, progress: Progress, hint_index: int) -> None:
        """Take a refusal. One at the very start of the log is a joiner's: it lacks the first membership."""
        log = self._state.log
        at_start = progress.mode is not Mode.TRANSFER and progress.next_index - 1 <= log.base_index == 0
        if at_start and hint_index == 0:
            snapshot = SnapshotTransfer(log.snapshot, self._state.now)
            self._begin(member_id, progress, snapshot, progress.acknowledged_round)
        else:
            progress.rejected(hint_index)
