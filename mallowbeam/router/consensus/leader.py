"""The leader of one term: heartbeats, replication, commits, reads, membership changes."""

from __future__ import annotations

from collections.abc import Callable

from mallowbeam.router.consensus.errors import MembershipChangeError, NotLeaderError, OverloadedError
from mallowbeam.router.consensus.heartbeat_rounds import HeartbeatRounds
from mallowbeam.router.consensus.interface import MemberProgress, Proposal, ReadResult
from mallowbeam.router.consensus.leadership_transfer import LeadershipTransfer
from mallowbeam.router.consensus.membership import (
    CHANGE_STEP,
    check_change,
    members_of,
    quorum_of,
    without_outgoing,
)
from mallowbeam.router.consensus.progress import Progress
from mallowbeam.router.consensus.quorum import Quorum
from mallowbeam.router.consensus.read_index import ReadIndexQueue
from mallowbeam.router.consensus.replication import Replicator
from mallowbeam.router.consensus.state import MemberState
from mallowbeam.router.rpc.messages_pb2 import (
    COMMAND,
    MEMBERSHIP,
    NO_OPERATION,
    AppendResponse,
    EntryKind,
    Membership,
    SnapshotProgress,
)


class Leader:
    """Leads from the election until the member's state becomes a follower's, which is how it steps down."""

    def __init__(self, state: MemberState) -> None:
        self._state = state
        self._replicator = Replicator(state)
        self._progress: dict[int, Progress] = {}
        self._reads = ReadIndexQueue()
        self._rounds = HeartbeatRounds()
        self._next_heartbeat = state.now
        self._transfer = LeadershipTransfer(state, self._progress)
        state.last_leader_contact = state.now
        # Committing this entry also commits older terms and makes the commit index current (Raft §5.4.2, §8).
        self._first_index = self._append(NO_OPERATION, b"").index
        self._sync_progress()
        self._begin_round()

    # ------------------------------------------------------------ time

    def tick(self) -> None:
        """Begin a due heartbeat round; step down if storage stalls or a majority does not respond."""
        state = self._state
        if state.now >= self._transfer.deadline:
            self._transfer.cancel()
            self._leave_joint()
        self._update_contact()
        if state.stalled:
            self._transfer.let_best_voter_campaign()
            self._step_down()
        elif state.now >= self._check_quorum_deadline:
            self._step_down()
        elif state.now >= self._next_heartbeat:
            self._begin_round()

    def next_deadline(self) -> float:
        """Return the time in seconds at which `tick` is needed next."""
        return min(
            self._next_heartbeat,
            self._transfer.deadline,
            self._state.stall_deadline,
            self._check_quorum_deadline,
        )

    @property
    def _check_quorum_deadline(self) -> float:
        """Time at which the leader steps down without contact to a majority (thesis 6.2)."""
        return self._state.last_leader_contact + self._state.settings.election_timeout_max

    def _step_down(self) -> None:
        self._state.become_follower(self._state.term, None)

    def end(self) -> list[ReadResult]:
        """End the leadership and return its pending reads as not confirmed."""
        return self._reads.rejected()

    # ------------------------------------------------------------ heartbeat rounds and reads

    def _begin_round(self) -> None:
        self._rounds.begin(self._state.now)
        self._next_heartbeat = self._state.now + self._state.settings.heartbeat_interval

    def read(self, read_id: int) -> None:
        """Queue a linearizable read (thesis 6.4); it fails if `max_pending_reads` are waiting."""
        if self._reads.count >= self._state.settings.max_pending_reads:
            self._state.reads.append(ReadResult(read_id, False))
            return
        if not self._rounds.unsent:
            self._begin_round()
        self._reads.add(read_id, self._rounds.number)

    def _update_contact(self) -> None:
        """Update the time of the last contact with a majority."""
        contact = self._majority_value(self._state.now, lambda progress: progress.last_contact)
        self._state.last_leader_contact = max(self._state.last_leader_contact, contact)

    @property
    def _own_term_committed(self) -> bool:
        return self._state.commit_index >= self._first_index

    def _confirm_rounds(self) -> None:
        """Confirm the rounds that a majority has acknowledged and complete the reads that wait for them."""
        state = self._state
        rounds = self._rounds
        rounds.confirm(int(self._majority_value(rounds.number, lambda progress: progress.acknowledged_round)))
        if not self._own_term_committed:
            return
        state.current_as_of = max(state.current_as_of, rounds.confirmed_started_at)
        state.reads += self._reads.confirmed(rounds.confirmed, state.commit_index)

    def _majority_value(self, own: float, value_of: Callable[[Progress], float]) -> float:
        """The value that a quorum has reached; `own` counts only if this member is a voter."""
        own_id = self._state.own_id
        return self._state.quorum.majority_value(
            lambda voter: own if voter == own_id else value_of(self._progress[voter])
        )

    # ------------------------------------------------------------ log

    def propose(self, payload: bytes) -> Proposal:
        """Append a command.

        Raises:
            NotLeaderError: leadership is being transferred.
            OverloadedError: too many entries or bytes are not committed.
        """
        if self._transfer.target is not None:
            raise NotLeaderError("propose", self._transfer.target)
        state = self._state
        if (
            state.log.last_index - state.commit_index >= state.settings.max_uncommitted_entries
            or state.log.payload_bytes_after(state.commit_index) >= state.settings.max_uncommitted_bytes
        ):
            raise OverloadedError("too many uncommitted entries or bytes", step="propose")
        return self._append(COMMAND, payload)

    def _append(self, kind: EntryKind, payload: bytes) -> Proposal:
        entry = self._state.log.append_new(self._state.term, kind, payload)
        return Proposal(entry.index, entry.term)

    def advance_commit(self) -> None:
        """Commit the entries that are durable on a majority, if the last one is of this term (Raft §5.4.2).

        Entries of this member count once its own storage has written them.
        """
        state = self._state
        durable = state.persistence.durable_index
        index = int(self._majority_value(durable, lambda progress: progress.match_index))
        if index <= state.commit_index or state.log.term_at(index) != state.term:
            return
        state.commit_to(index)
        self._confirm_rounds()
        if not state.is_voter and state.log.memberships.current.index <= index:
            self._step_down_after_removal()
        else:
            self._leave_joint()

    # ------------------------------------------------------------ membership

    def change_membership(self, membership: Membership) -> Proposal:
        """Append a membership, which takes effect immediately (thesis 4.1).

        Raises:
            NotLeaderError: leadership is being transferred.
            MembershipChangeError: another change is pending, or this one is not allowed.
        """
        state = self._state
        if self._transfer.target is not None:
            raise NotLeaderError(CHANGE_STEP, self._transfer.target)
        if not self._own_term_committed:
            raise MembershipChangeError("no entry of this term is committed yet", step=CHANGE_STEP)
        current = state.log.memberships.current
        if current.index > state.commit_index:
            raise MembershipChangeError("another membership change is pending", step=CHANGE_STEP)
        check_change(current.membership, membership)
        self._check_recently_active(current.quorum, quorum_of(membership))
        return self._append_membership(membership)

    def _append_membership(self, membership: Membership) -> Proposal:
        proposal = self._append(MEMBERSHIP, membership.SerializeToString())
        self._sync_progress()
        return proposal

    def _check_recently_active(self, old: Quorum, new: Quorum) -> None:
        """Reject a membership without an active majority of voters: it could not be committed."""
        if new == old:
            return
        since = self._state.now - self._state.settings.election_timeout_max
        active = {member for member, progress in self._progress.items() if progress.recently_active(since)}
        if not new.is_quorum(active | {self._state.own_id}):
            raise MembershipChangeError("no majority of the new voters is active", step=CHANGE_STEP)

    def _leave_joint(self) -> None:
        """Append the final membership once the joint one is committed (Raft §6).

        During a leadership transfer this is left to the next leader, or to this one if the transfer fails.
        """
        current = self._state.log.memberships.current
        committed = self._own_term_committed and current.index <= self._state.commit_index
        if current.quorum.is_joint and committed and self._transfer.target is None:
            self._append_membership(without_outgoing(current.membership))

    def _step_down_after_removal(self) -> None:
        """Send the committed removal of this member, let another one campaign, and step down."""
        self.flush()
        self._transfer.let_best_voter_campaign()
        self._step_down()

    def _sync_progress(self) -> None:
        """Add and remove progress so that there is one for each other member."""
        state = self._state
        others = members_of(state.log.memberships.current.membership) - {state.own_id}
        for removed in self._progress.keys() - others:
            del self._progress[removed]
        for added in sorted(others - self._progress.keys()):
            self._progress[added] = Progress(state.log.last_index, state.now)

    # ------------------------------------------------------------ leadership transfer

    def transfer(self, member_id: int | None) -> None:
        """Transfer leadership to a voter, or to the most advanced one for None (thesis 3.10).

        Raises:
            TransferError: there is no such voter.
        """
        self._transfer.start(member_id)
        self._continue_transfer()

    def _continue_transfer(self) -> None:
        if not self._transfer.advance():
            self._leave_joint()

    # ------------------------------------------------------------ messages

    def flush(self) -> None:
        """Send each member the entries, chunks and heartbeats that are due."""
        rounds = self._rounds
        for member_id, progress in self._progress.items():
            self._replicator.replicate(member_id, progress, rounds.number)
            if rounds.unsent:
                self._replicator.heartbeat(member_id, progress, rounds.number)
        if rounds.unsent:
            rounds.unsent = False
            self._confirm_rounds()

    def handle_append_response(self, sender: int, response: AppendResponse) -> None:
        """Process a member's response to an append, heartbeat or complete snapshot."""
        progress = self._progress.get(sender)
        if progress is None:
            return
        progress.record_response(response.round, self._state.now)
        self._update_contact()
        if response.success:
            if progress.update_match(response.match_index):
                self.advance_commit()
            self._continue_transfer()
        else:
            self._replicator.handle_rejection(sender, progress, response.hint_index)
        self._confirm_rounds()

    def handle_chunk_progress(self, sender: int, response: SnapshotProgress) -> None:
        """Process a member's acknowledgement of a chunk of a snapshot or an entry."""
        progress = self._progress.get(sender)
        if progress is None:
            return
        progress.record_response(response.round, self._state.now)
        self._update_contact()
        self._replicator.handle_chunk_progress(progress, response)
        self._confirm_rounds()

    def oldest_needed_index(self, index: int) -> int:
        """Return the lowest index being sent in chunks, or `index`: members need the entries after it."""
        senders = [progress.chunk_sender for progress in self._progress.values()]
        return min([sender.index for sender in senders if sender is not None], default=index)

    def status(self) -> dict[int, MemberProgress]:
        """Return the progress of each other member."""
        now = self._state.now
        return {
            member_id: MemberProgress(progress.match_index, now - progress.last_contact)
            for member_id, progress in self._progress.items()
        }
