"""The follower's side of replication: appends, chunks and snapshots of the current term's leader."""

from __future__ import annotations

from mallowbeam.router.consensus.chunk_receiver import ChunkContent, ChunkReceiver, ChunkStreamKey
from mallowbeam.router.consensus.errors import DivergedError
from mallowbeam.router.consensus.round_echo import RoundEcho
from mallowbeam.router.consensus.state import MemberState
from mallowbeam.router.rpc.messages_pb2 import (
    AppendRequest,
    AppendResponse,
    Entry,
    EntryChunk,
    RaftMessage,
    Snapshot,
    SnapshotChunk,
    SnapshotProgress,
    SnapshotRequest,
)


class Follower:
    """Processes a leader's requests; an acknowledgement covers only what is durable."""

    def __init__(self, state: MemberState) -> None:
        self._state = state
        self._receiver = ChunkReceiver(state.settings.max_chunked_bytes)
        self._echo = RoundEcho()
        self._delayed_until = state.now  # until then, received messages may have been delayed for long

    def accepts_leader(self, sender: int, term: int, round_number: int) -> bool:
        """Return whether the sender leads the current term; a stale leader is notified (Raft §5.1)."""
        state = self._state
        if term < state.term:
            response = AppendResponse(term=state.term, success=False, round=round_number)
            state.persistence.respond(sender, RaftMessage(append_response=response))
            return False
        state.become_follower(term, sender)
        self._echo.record_processed(term, round_number, state.now)
        return True

    # ------------------------------------------------------------ appends

    def append(self, leader: int, request: AppendRequest) -> None:
        """Append entries and acknowledge them, or reject them with a hint for the next index (Raft §5.3).

        Raises:
            DivergedError: one of the entries conflicts with an entry that is committed here.
        """
        state = self._state
        self._check_contact_gap()
        state.record_leader_contact(leader)
        previous = request.previous_index
        joining = state.log.is_uninitialized and previous == 0
        if joining or not state.log.matches(previous, request.previous_term):
            hint = state.log.conflict_hint(previous, state.commit_index)
            self._respond(leader, success=False, hint_index=hint, round_number=request.round)
            return
        truncated = state.log.merge(request.entries, state.commit_index)
        if truncated is not None:
            state.persistence.entries_truncated(truncated)
        last = previous + len(request.entries)
        state.commit_to(min(request.commit, last))
        built_after = self._echo.built_after(request.answered_round, state.now)
        if self._is_current_with_leader(request) and state.now >= self._delayed_until:
            state.current_as_of = max(state.current_as_of, built_after)
        self._acknowledge(leader, last, request.round, wait_for_write=bool(request.entries))

    def check_not_diverged(self, request: AppendRequest) -> None:
        """Check that the leader's log does not differ at an index that is committed here.

        A rejection would make the leader search further back for a matching entry, which does not exist.

        Raises:
            DivergedError: the entry before the request's conflicts with one that is committed here.
        """
        log = self._state.log
        previous = request.previous_index
        if not log.base_index <= previous <= self._state.commit_index:
            return
        if previous and log.term_at(previous) != request.previous_term:
            raise DivergedError(f"entry {previous} is committed with a different term", step="append")

    def _is_current_with_leader(self, request: AppendRequest) -> bool:
        """Whether the leader's commit index is up to date and is reached here.

        It is once the leader has committed an entry of its own term (Raft §8).
        """
        log = self._state.log
        known = log.term_at(request.commit) == request.term
        return known and self._state.commit_index >= request.commit

    def _check_contact_gap(self) -> None:
        """After a gap without contact, ignore the age of messages for one heartbeat interval.

        This member may have been suspended, or a network partition may have delayed the leader's messages.
        """
        state = self._state
        if state.now - state.last_leader_contact >= state.settings.election_timeout_min:
            self._delayed_until = state.now + state.settings.heartbeat_interval

    def _acknowledge(self, leader: int, last: int, round_number: int, wait_for_write: bool) -> None:
        """Acknowledge the log up to `last`, after the write if entries were added and are not durable."""
        persistence = self._state.persistence
        durable = persistence.durable_index
        if wait_for_write and last > durable:
            response = AppendResponse(
                term=self._state.term, success=True, match_index=last, round=round_number
            )
            persistence.send_after_write(leader, RaftMessage(append_response=response))
            return
        self._respond(leader, success=True, match_index=min(last, durable), round_number=round_number)

    def _respond(
        self, leader: int, *, success: bool, round_number: int, match_index: int = 0, hint_index: int = 0
    ) -> None:
        response = AppendResponse(
            term=self._state.term,
            success=success,
            match_index=match_index,
            hint_index=hint_index,
            round=round_number,
        )
        self._state.persistence.respond(leader, RaftMessage(append_response=response))

    # ------------------------------------------------------------ snapshots and chunks

    def snapshot(self, leader: int, request: SnapshotRequest) -> None:
        """Install a snapshot that an older program version sends in one message."""
        self._check_contact_gap()
        self._state.record_leader_contact(leader)
        self._receiver.reset()
        self._accept_snapshot(leader, request.snapshot, request.round)

    def snapshot_chunk(self, leader: int, chunk: SnapshotChunk) -> None:
        """Process a chunk of a snapshot: acknowledge its bytes or, when complete and durable, its index."""
        self._check_contact_gap()
        self._state.record_leader_contact(leader)
        head = chunk.head
        if self._log_contains(head):
            self._receiver.reset()
            self._accept_snapshot(leader, head, chunk.round)
            return
        state = self._accept_chunk(leader, chunk, ChunkContent.SNAPSHOT)
        if state is not None:
            snapshot = Snapshot(index=head.index, term=head.term, membership=head.membership, state=state)
            self._accept_snapshot(leader, snapshot, chunk.round)

    def entry_chunk(self, leader: int, chunk: EntryChunk) -> None:
        """Process a chunk of an entry: acknowledge its bytes or, when complete and durable, its index."""
        head = chunk.head
        if self._log_contains(head):
            self._check_contact_gap()
            self._state.record_leader_contact(leader)
            self._acknowledge(leader, head.index, chunk.round, wait_for_write=True)
            return
        payload = self._accept_chunk(leader, chunk, ChunkContent.ENTRY)
        if payload is None:
            self._check_contact_gap()
            self._state.record_leader_contact(leader)
            return
        self.append(leader, _append_request(chunk, payload))

    def _accept_chunk(
        self, leader: int, chunk: SnapshotChunk | EntryChunk, content: ChunkContent
    ) -> bytes | None:
        """Return the complete data, or None after acknowledging the bytes received so far."""
        key = ChunkStreamKey(chunk.term, content, chunk.head.index)
        complete = self._receiver.add(key, chunk.size, chunk.offset, chunk.data)
        if complete is None and self._receiver.is_receiving(key):
            progress = SnapshotProgress(
                term=self._state.term,
                round=chunk.round,
                index=chunk.head.index,
                received=self._receiver.received,
            )
            self._state.persistence.respond(leader, RaftMessage(snapshot_progress=progress))
        return complete

    def _log_contains(self, head: Snapshot | Entry) -> bool:
        """Whether the log already contains everything up to this index and term of the leader's log."""
        state = self._state
        if state.log.is_uninitialized:
            return False
        return head.index <= state.commit_index or state.log.term_at(head.index) == head.term

    def _accept_snapshot(self, leader: int, snapshot: Snapshot, round_number: int) -> None:
        """Install a snapshot unless the log contains it; acknowledge it once it is durable (Raft §7)."""
        state = self._state
        if self._log_contains(snapshot):
            state.commit_to(snapshot.index)
        else:
            self._install(snapshot)
        self._acknowledge(leader, state.commit_index, round_number, wait_for_write=True)

    def _install(self, snapshot: Snapshot) -> None:
        state = self._state
        state.log.install(snapshot)
        state.persistence.write_installed_snapshot(snapshot)
        state.commit_index = snapshot.index
        state.delivered_index = snapshot.index
        state.install = snapshot


def _append_request(chunk: EntryChunk, payload: bytes) -> AppendRequest:
    """Build the append request that is equivalent to a completely received entry."""
    head = chunk.head
    entry = Entry(index=head.index, term=head.term, kind=head.kind, payload=payload)
    return AppendRequest(
        term=chunk.term,
        previous_index=head.index - 1,
        previous_term=chunk.previous_term,
        entries=[entry],
        commit=chunk.commit,
        round=chunk.round,
    )
