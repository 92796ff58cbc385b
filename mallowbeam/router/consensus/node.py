"""One member of the replicated group: the Raft core that a host drives as `interface` describes."""

from __future__ import annotations

from math import inf
from random import Random

from mallowbeam.router.consensus.election import Election
from mallowbeam.router.consensus.errors import NotLeaderError
from mallowbeam.router.consensus.follower import Follower
from mallowbeam.router.consensus.interface import (
    MemberProgress,
    Output,
    PersistentState,
    Proposal,
    RaftSettings,
    ReadResult,
)
from mallowbeam.router.consensus.leader import Leader
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
    """One Raft member.  Times are in seconds of the monotonic clock; call `output` after every other call."""

    def __init__(self, settings: RaftSettings, restored: PersistentState, now: float, random: Random) -> None:
        self._state = MemberState(settings, restored, now, random)
        self._election = Election(self._state)
        self._follower = Follower(self._state)
        self._leader: Leader | None = None
        if self._state.voters == {settings.member_id}:
            self._state.election_deadline = now  # the only voter need not wait for another leader

    # ------------------------------------------------------------ state

    @property
    def role(self) -> Role:
        """Current role of this member."""
        return self._state.role

    @property
    def leader_id(self) -> int | None:
        """Id of the current term's leader, if known."""
        return self._state.leader_id

    @property
    def term(self) -> int:
        """The current term."""
        return self._state.term

    @property
    def commit_index(self) -> int:
        """Index of the last entry known to be committed."""
        return self._state.commit_index

    @property
    def membership(self) -> Membership:
        """The membership in force, committed or not."""
        return self._state.log.memberships.current.membership

    @property
    def membership_committed(self) -> bool:
        """Whether the membership in force is committed and not joint."""
        current = self._state.log.memberships.current
        return current.index <= self._state.commit_index and not current.quorum.is_joint

    @property
    def is_voter(self) -> bool:
        """Whether this member is a voter of the membership in force."""
        return self._state.is_voter

    def freshness(self, now: float) -> float:
        """Return the seconds since this member's state was known to be current; infinite if it never was."""
        return now - self._state.current_as_of

    def progress(self) -> dict[int, MemberProgress]:
        """Return the leader's view of each other member; empty on other roles."""
        return self._leader.status() if self._leader else {}

    def next_deadline(self) -> float:
        """Return the time at which `tick` is needed next; infinite if it is not."""
        if self._leader:
            return self._leader.next_deadline()
        return self._state.election_deadline if self._state.may_campaign else inf

    # ------------------------------------------------------------ input

    def tick(self, now: float) -> None:
        """Process the timeouts that have passed."""
        self._advance_clock(now)
        if self._leader:
            self._leader.tick()
        else:
            self._election.tick()
        self._update_role()

    def propose(self, payload: bytes, now: float) -> Proposal:
        """Append a command.

        Raises:
            NotLeaderError: this member is not the leader, or is transferring leadership.
            OverloadedError: too many entries or bytes are not committed.
        """
        return self._require_leader("propose", now).propose(payload)

    def change_membership(self, membership: Membership, now: float) -> Proposal:
        """Append a membership.

        Raises:
            NotLeaderError: this member is not the leader, or is transferring leadership.
            MembershipChangeError: another change is pending, or this one is not allowed.
        """
        return self._require_leader("change membership", now).change_membership(membership)

    def transfer_leadership(self, member_id: int | None, now: float) -> None:
        """Transfer leadership to a voter, or to the most advanced one for None.

        Raises:
            NotLeaderError: this member is not the leader.
            TransferError: there is no such voter.
        """
        self._require_leader("transfer", now).transfer(member_id)

    def read(self, read_id: int, now: float) -> None:
        """Request a linearizable read; a `ReadResult` follows, not confirmed if this is not the leader."""
        self._advance_clock(now)
        if self._leader:
            self._leader.read(read_id)
        else:
            self._state.reads.append(ReadResult(read_id, False))

    def written(self, ticket: int, now: float) -> None:
        """Record that all writes up to `ticket` are durable."""
        self._advance_clock(now)
        self._state.persistence.written(ticket)
        if self._leader:
            self._leader.advance_commit()
        self._election.written()
        self._update_role()

    def compact(self, index: int, state: bytes) -> None:
        """Set the host's snapshot of its state machine at `index`; one that is not newer is ignored.

        Raises:
            ValueError: `index` has not been returned as committed yet.
        """
        log = self._state.log
        if index > self._state.delivered_index:
            raise ValueError(f"index {index} is not applied yet")
        if index <= log.snapshot.index:
            return
        snapshot = Snapshot(
            index=index, term=log.term_at(index) or 0, membership=log.memberships.at(index), state=state
        )
        settings = self._state.settings
        oldest_needed = self._leader.oldest_needed_index(index) if self._leader else index
        log.compact(snapshot, settings.trailing_entries, settings.trailing_bytes, oldest_needed)
        self._state.persistence.write_snapshot(snapshot)

    def receive(self, sender: int, message: RaftMessage, now: float) -> None:
        """Process a message of another member, which need not be in the membership."""
        self._advance_clock(now)
        match message.WhichOneof("body"):
            case "vote_request":
                self._election.handle_request(sender, message.vote_request)
            case "vote_response":
                self._election.handle_response(sender, message.vote_response)
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
        self._update_role()

    # ------------------------------------------------------------ output

    def output(self) -> Output:
        """Return the work for the host; each item is returned once."""
        state = self._state
        if self._leader:
            self._leader.flush()
        write = state.persistence.next_write(state.now)
        committed = state.log.slice(state.delivered_index + 1, state.commit_index)
        output = Output(state.persistence.take_messages(), write, state.install, committed, state.reads)
        state.delivered_index = state.commit_index
        state.install = None
        state.reads = []
        return output

    # ------------------------------------------------------------ messages

    def _append_request(self, sender: int, request: AppendRequest) -> None:
        if self._follower.accepts_leader(sender, request.term, request.round):
            self._follower.check_not_diverged(request)
            self._follower.append(sender, request)

    def _snapshot_request(self, sender: int, request: SnapshotRequest) -> None:
        if self._follower.accepts_leader(sender, request.term, request.round):
            self._follower.snapshot(sender, request)

    def _snapshot_chunk(self, sender: int, chunk: SnapshotChunk) -> None:
        if self._follower.accepts_leader(sender, chunk.term, chunk.round):
            self._follower.snapshot_chunk(sender, chunk)

    def _entry_chunk(self, sender: int, chunk: EntryChunk) -> None:
        if self._follower.accepts_leader(sender, chunk.term, chunk.round):
            self._follower.entry_chunk(sender, chunk)

    def _append_response(self, sender: int, response: AppendResponse) -> None:
        if response.term > self._state.term:
            self._state.become_follower(response.term, None)
        elif response.term == self._state.term and self._leader:
            self._leader.handle_append_response(sender, response)

    def _chunk_progress(self, sender: int, progress: SnapshotProgress) -> None:
        if progress.term > self._state.term:
            self._state.become_follower(progress.term, None)
        elif progress.term == self._state.term and self._leader:
            self._leader.handle_chunk_progress(sender, progress)

    def _timeout_now(self, request: TimeoutNow) -> None:
        """Campaign at once at the leader's request, unless it is stale or this member cannot lead."""
        state = self._state
        if request.term != state.term or self._leader or not state.is_voter or state.stalled:
            return
        self._election.campaign(transfer=True)

    # ------------------------------------------------------------ roles

    def _advance_clock(self, now: float) -> None:
        self._state.now = max(self._state.now, now)

    def _require_leader(self, step: str, now: float) -> Leader:
        self._advance_clock(now)
        if self._leader is None:
            raise NotLeaderError(step, self._state.leader_id)
        return self._leader

    def _update_role(self) -> None:
        """Create or end the leader according to the role after an event."""
        state = self._state
        if self._leader and state.role is not Role.LEADER:
            state.reads += self._leader.end()
            self._leader = None
        if self._election.won:
            self._election.won = False
            state.role = Role.LEADER
            state.leader_id = state.own_id
            self._leader = Leader(state)
