"""A follower's part of replication: appends and snapshots of the term's leader."""

from __future__ import annotations

from mallowbeam.router.consensus.chunk_receiver import ChunkReceiver, Content, TransferKey
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
    """Answers a leader. An answer claims only what is durable."""

    def __init__(self, state: MemberState) -> None:
        self._state = state
        self._receiver = ChunkReceiver(state.settings.most_transfer)
        self._held_up_until = state.now  # what comes before may have been on its way for long

    def append(self, leader: int, request: AppendRequest) -> None:
        """Take entries, or refuse them with a hint where the leader is to look next."""
        state = self._state
        self._note_silence()
        state.heard_leader(leader)
        previous = request.previous_index
        if state.log.blank and previous == 0 or not state.log.matches(previous, request.previous_term):
            hint = state.log.conflict_hint(previous, state.commit_index)
            self._answer(leader, success=False, hint_index=hint, round_number=request.round)
            return
        dropped = state.log.merge(request.entries, state.commit_index)
        if dropped is not None:
            state.persistence.entries_dropped(dropped)
        last = previous + len(request.entries)
        state.commit_to(min(request.commit, last))
        if self._has_all_that_is_committed(request) and state.now >= self._held_up_until:
            state.current_at = state.now
        self._confirm(leader, last, request.round, waits=bool(request.entries))

    def _has_all_that_is_committed(self, request: AppendRequest) -> bool:
        """Whether the leader's commit index is known to be current, and reached here.

        It is once the leader has committed an entry of its own term. Before, more may have been acknowledged.
        """
        log = self._state.log
        known = log.term_at(request.commit) == request.term
        return known and self._state.commit_index >= request.commit

    def _note_silence(self) -> None:
        """After a silence, what comes first may have been held up since it began, and tells nothing of now.

        This member may have been frozen, or a cut may have kept the leader's words.
        """
        state = self._state
        if state.now - state.leader_contact >= state.settings.election_least:
            self._held_up_until = state.now + state.settings.heartbeat

    def _confirm(self, leader: int, last: int, round_number: int, waits: bool) -> None:
        """Answer that the log is equal up to `last`: at once where that is durable, or nothing was added."""
        persistence = self._state.persistence
        durable = persistence.durable_index
        if waits and last > durable:
            response = AppendResponse(
                term=self._state.term, success=True, match_index=last, round=round_number
            )
            persistence.send_after_write(leader, RaftMessage(append_response=response))
            return
        self._answer(leader, success=True, match_index=min(last, durable), round_number=round_number)

    def snapshot(self, leader: int, request: SnapshotRequest) -> None:
        """Install a snapshot that an earlier version of the program sends whole."""
        self._note_silence()
        self._state.heard_leader(leader)
        self._receiver.forget()
        self._take_snapshot(leader, request.snapshot, request.round)

    def snapshot_chunk(self, leader: int, chunk: SnapshotChunk) -> None:
        """Take a piece of a snapshot; answer what is held of it or, once all is durable, its index."""
        self._note_silence()
        self._state.heard_leader(leader)
        if self._holds_up_to(chunk.head):
            self._receiver.forget()
            self._take_snapshot(leader, chunk.head, chunk.round)
            return
        state = self._take_chunk(leader, chunk, Content.SNAPSHOT)
        if state is not None:
            head = chunk.head
            snapshot = Snapshot(index=head.index, term=head.term, membership=head.membership, state=state)
            self._take_snapshot(leader, snapshot, chunk.round)

    def entry_chunk(self, leader: int, chunk: EntryChunk) -> None:
        """Take a piece of an entry; answer what is held of it or, once all is durable, its index."""
        head = chunk.head
        if self._holds_up_to(head):
            self._note_silence()
            self._state.heard_leader(leader)
            self._confirm(leader, head.index, chunk.round, waits=True)
            return
        payload = self._take_chunk(leader, chunk, Content.ENTRY)
        if payload is None:
            self._note_silence()
            self._state.heard_leader(leader)
            return
        entry = Entry(index=head.index, term=head.term, kind=head.kind, payload=payload)
        self.append(
            leader,
            AppendRequest(
                term=chunk.term,
                previous_index=head.index - 1,
                previous_term=chunk.previous_term,
                entries=[entry],
                commit=chunk.commit,
                round=chunk.round,
            ),
        )

    def _take_chunk(self, leader: int, chunk: SnapshotChunk | EntryChunk, content: Content) -> bytes | None:
        """What the chunk is a piece of, once whole; until then the leader is told what is held."""
        key = TransferKey(chunk.term, content, chunk.head.index)
        whole = self._receiver.take(key, chunk.size, chunk.offset, chunk.data)
        if whole is None and self._receiver.holds(key):
            progress = SnapshotProgress(
                term=self._state.term,
                round=chunk.round,
                index=chunk.head.index,
                received=self._receiver.received,
            )
            self._state.persistence.answer(leader, RaftMessage(snapshot_progress=progress))
        return whole

    def _holds_up_to(self, head: Snapshot | Entry) -> bool:
        """Whether the log already holds all that a leader has up to this index of this term."""
        state = self._state
        if state.log.blank:
            return False
        return head.index <= state.commit_index or state.log.term_at(head.index) == head.term

    def _take_snapshot(self, leader: int, snapshot: Snapshot, round_number: int) -> None:
        """Install a snapshot, unless the log already holds all of it; confirm it once it is durable."""
        state = self._state
        if self._holds_up_to(snapshot):
            state.commit_to(snapshot.index)
        else:
            self._install(snapshot)
        self._confirm(leader, state.commit_index, round_number, waits=True)

    def _install(self, snapshot: Snapshot) -> None:
        state = self._state
        state.log.install(snapshot)
        state.persistence.put_installed(snapshot)
        state.commit_index = snapshot.index
        state.handed_index = snapshot.index
        state.install = snapshot

    def _answer(
        self, leader: int, *, success: bool, round_number: int, match_index: int = 0, hint_index: int = 0
    ) -> None:
        response = AppendResponse(
            term=self._state.term,
            success=success,
            match_index=match_index,
            hint_index=hint_index,
            round=round_number,
        )
        self._state.persistence.answer(leader, RaftMessage(append_response=response))
