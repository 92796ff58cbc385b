"""One member of the replicated group: Raft without I/O, driven by a host as `interface` tells."""

from __future__ import annotations

from math import inf
from random import Random

from mallowbeam.router.consensus.election import Election
from mallowbeam.router.consensus.errors import DivergedError, NotLeaderError
from mallowbeam.router.consensus.follower import Follower
from mallowbeam.router.consensus.interface import (
    MemberProgress,
    Output,
    Proposal,
    RaftSettings,
    ReadResult,
    Restored,
)
from mallowbeam.router.consensus.leadership import Leadership
from mallowbeam.router.consensus.state import MemberState, Role
from mallowbeam.router.rpc.messages_pb2 import (
    AppendRequest,
    AppendResponse,
    EntryChunk,
    Membership,
    RaftMessage,
    Snapshot,
    SnapshotChunk,
    SnapshotProgress,
    SnapshotRequest,
    TimeoutNow,
)

__all__ = ["RaftNode", "Role"]


class RaftNode:
    """A member. Times are the steady clock's, in seconds; after each call, `output` tells what to do."""

    def __init__(self, settings: RaftSettings, restored: Restored, now: float, random: Random) -> None:
        self._state = MemberState(settings, restored, now, random)
        self._election = Election(self._state)
        self._follower = Follower(self._state)
        self._leadership: Leadership | None = None
        if self._state.voters == {settings.member_id}:
            self._state.election_deadline = now  # nobody else could lead

    # ------------------------------------------------------------ what the host may look at

    @property
    def role(self) -> Role:
        """What this member does now."""
        return self._state.role

    @property
    def leader_id(self) -> int | None:
        """The leader of the current term, if known."""
        return self._state.leader_id

    @property
    def term(self) -> int:
        """The current term."""
        return self._state.term

    @property
    def commit_index(self) -> int:
        """Up to here entries are committed."""
        return self._state.commit_index

    @property
    def membership(self) -> Membership:
        """The membership in force, committed or not."""
        return self._state.log.memberships.current.membership

    @property
    def membership_committed(self) -> bool:
        """Whether the membership in force is committed, and no joint change is under way."""
        current = self._state.log.memberships.current
        return current.index <= self._state.commit_index and not current.quorum.joint

    @property
    def is_voter(self) -> bool:
        """Whether this member votes, by the membership in force."""
        return self._state.is_voter

    def freshness(self, now: float) -> float:
        """Seconds since this member's state was known to be current; infinite where it never was."""
        return now - self._state.current_at

    def progress(self) -> dict[int, MemberProgress]:
        """What a leader knows of each other member; empty on others."""
        return self._leadership.status() if self._leadership else {}

    def next_deadline(self) -> float:
        """When `tick` is needed next, if nothing else comes before; infinite where never."""
        if self._leadership:
            return self._leadership.next_deadline()
        return self._state.election_deadline if self._state.may_campaign else inf

    # ------------------------------------------------------------ what the host hands in

    def tick(self, now: float) -> None:
        """Let time pass."""
        self._advance(now)
        if self._leadership:
            self._leadership.tick()
        else:
            self._election.tick()
        self._settle()

    def propose(self, payload: bytes, now: float) -> Proposal:
        """Append a command; raises NotLeaderError, or OverloadedError where too much is under way."""
        return self._lead("propose", now).propose(payload)

    def change_membership(self, membership: Membership, now: float) -> Proposal:
        """Append a membership; raises NotLeaderError or MembershipChangeError."""
        return self._lead("change membership", now).change_membership(membership)

    def transfer_leadership(self, member_id: int | None, now: float) -> None:
        """Hand leadership to a voter, the most advanced for None; raises NotLeaderError or TransferError."""
        self._lead("transfer", now).transfer(member_id)

    def read(self, read_id: int, now: float) -> None:
        """Ask for a linearizable read; a ReadResult follows, refused where this is not the leader."""
        self._advance(now)
        if self._leadership:
            self._leadership.read(read_id)
        else:
            self._state.reads.append(ReadResult(read_id, False))

    def written(self, ticket: int, now: float) -> None:
        """All writes up to `ticket` are durable."""
        self._advance(now)
        self._state.persistence.written(ticket)
        if self._leadership:
            self._leadership.advance_commit()
        self._election.written()
        self._settle()

    def compact(self, index: int, state: bytes) -> None:
        """Take the host's snapshot of the state machine at `index`; one that is not new is ignored.

        Raises ValueError for an index that was not yet handed out as committed.
        """
        log = self._state.log
        if index > self._state.handed_index:
            raise ValueError(f"index {index} is not applied")
        if index <= log.snapshot.index:
            return
        snapshot = Snapshot(
            index=index, term=log.term_at(index) or 0, membership=log.memberships.at(index), state=state
        )
        settings = self._state.settings
        needed = self._leadership.needed_behind(index) if self._leadership else index
        log.compact(snapshot, settings.trailing_entries, settings.trailing_bytes, needed)
        self._state.persistence.put_snapshot(snapshot)

    def receive(self, sender: int, message: RaftMessage, now: float) -> None:
        """Take a message of another member, whether or not it is in the membership."""
        self._advance(now)
        match message.WhichOneof("body"):
            case "vote_request":
                self._election.request(sender, message.vote_request)
            case "vote_response":
                self._election.response(sender, message.vote_response)
            case "append_request":
                self._append_request(sender, message.append_request)
            case "append_response":
                self._append_response(sender, message.append_response)
            case "snapshot_request":
                self._snapshot_request(sender, message.snapshot_request)
            case "snapshot_chunk":
                self._snapshot_chunk(sender, message.snapshot_chunk)
            case "snapshot_progress":
                self._chunk_progress(sender, message.snapshot_progress)
            case "entry_chunk":
                self._entry_chunk(sender, message.entry_chunk)
            case "timeout_now":
                self._timeout_now(message.timeout_now)
        self._settle()

    def output(self) -> Output:
        """What is to be done now; each thing is told once."""
        state = self._state
        if self._leadership:
            self._leadership.flush()
        write = state.persistence.take_write(state.now)
        committed = state.log.slice(state.handed_index + 1, state.commit_index)
        output = Output(state.persistence.take_send(), write, state.install, committed, state.reads)
        state.handed_index = state.commit_index
        state.install = None
        state.reads = []
        return output

    # ------------------------------------------------------------ messages

    def _append_request(self, sender: int, request: AppendRequest) -> None:
        if self._current_leader(sender, request.term, request.round):
            self._check_not_diverged(request)
            self._follower.append(sender, request)

    def _check_not_diverged(self, request: AppendRequest) -> None:
        """Raise DivergedError where the leader's log differs at an index that is committed here.

        A refusal would not do: the leader would look further back for a place where the logs meet, in vain.
        """
        log, previous = self._state.log, request.previous_index
        if not log.base_index <= previous <= self._state.commit_index:
            return
        if previous and log.term_at(previous) != request.previous_term:
            raise DivergedError(f"entry {previous} is committed in another term", step="append")

    def _snapshot_request(self, sender: int, request: SnapshotRequest) -> None:
        if self._current_leader(sender, request.term, request.round):
            self._follower.snapshot(sender, request)

    def _snapshot_chunk(self, sender: int, chunk: SnapshotChunk) -> None:
        if self._current_leader(sender, chunk.term, chunk.round):
            self._follower.snapshot_chunk(sender, chunk)

    def _entry_chunk(self, sender: int, chunk: EntryChunk) -> None:
        if self._current_leader(sender, chunk.term, chunk.round):
            self._follower.entry_chunk(sender, chunk)

    def _chunk_progress(self, sender: int, progress: SnapshotProgress) -> None:
        if progress.term > self._state.term:
            self._state.become_follower(progress.term, None)
        elif progress.term == self._state.term and self._leadership:
            self._leadership.chunk_progress(sender, progress)

    def _current_leader(self, sender: int, term: int, round_number: int) -> bool:
        """Whether the sender leads the current term; one of an older term is told of the current one."""
        state = self._state
        if term < state.term:
            response = AppendResponse(term=state.term, success=False, round=round_number)
            state.persistence.answer(sender, RaftMessage(append_response=response))
            return False
        state.become_follower(term, sender)
        return True

    def _append_response(self, sender: int, response: AppendResponse) -> None:
        if response.term > self._state.term:
            self._state.become_follower(response.term, None)
        elif response.term == self._state.term and self._leadership:
            self._leadership.response(sender, response)

    def _timeout_now(self, request: TimeoutNow) -> None:
        state = self._state
        if request.term != state.term or self._leadership or not state.is_voter or state.stalled:
            return
        self._election.campaign(transfer=True)

    # ------------------------------------------------------------ roles

    def _advance(self, now: float) -> None:
        self._state.now = max(self._state.now, now)

    def _lead(self, step: str, now: float) -> Leadership:
        self._advance(now)
        if self._leadership is None:
            raise NotLeaderError(step, self._state.leader_id)
        return self._leadership

    def _settle(self) -> None:
        """Begin or end leadership as the event has left the role."""
        state = self._state
        if self._leadership and state.role is not Role.LEADER:
            state.reads += self._leadership.end()
            self._leadership = None
        if self._election.won:
            self._election.won = False
            state.role = Role.LEADER
            state.leader_id = state.own_id
            self._leadership = Leadership(state)
