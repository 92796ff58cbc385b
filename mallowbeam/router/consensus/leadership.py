"""A leader's work in one term: heartbeats, replication, commits, reads, transfer."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from math import inf

from mallowbeam.router.consensus.errors import (
    MembershipChangeError,
    NotLeaderError,
    OverloadedError,
    TransferError,
)
from mallowbeam.router.consensus.interface import MemberProgress, Proposal, ReadResult
from mallowbeam.router.consensus.membership import (
    CHANGE_STEP,
    check_change,
    members_of,
    quorum_of,
    without_outgoing,
)
from mallowbeam.router.consensus.progress import Progress
from mallowbeam.router.consensus.quorum import Quorum
from mallowbeam.router.consensus.reads import ReadQueue
from mallowbeam.router.consensus.replication import Replicator
from mallowbeam.router.consensus.state import MemberState
from mallowbeam.router.rpc.messages_pb2 import (
    COMMAND,
    MEMBERSHIP,
    NO_OPERATION,
    AppendResponse,
    EntryKind,
    Membership,
    RaftMessage,
    SnapshotProgress,
    TimeoutNow,
)


@dataclass(frozen=True, slots=True)
class Round:
    """A heartbeat round and the time at which it began."""

    number: int
    began: float


class Leadership:
    """One term's leader, from election to step-down. It steps down by making the state a follower's."""

    def __init__(self, state: MemberState) -> None:
        self._state = state
        self._replicator = Replicator(state)
        self._progress: dict[int, Progress] = {}
        self._reads = ReadQueue()
        self._round = 0
        self._rounds: deque[Round] = deque()  # not yet confirmed by a majority
        self._confirmed_round = 0
        self._confirmed_began = -inf
        self._round_unsent = False
        self._next_heartbeat = state.now
        self._transferee: int | None = None
        self._transfer_deadline = inf
        state.leader_contact = state.now
        self._first_index = self._append(NO_OPERATION, b"").index
        self._sync_members()
        self._begin_round()

    # ------------------------------------------------------------ time

    def tick(self) -> None:
        """Begin a heartbeat round where due; step down where storage stalls or a majority is silent."""
        state = self._state
        if state.now >= self._transfer_deadline:
            self._end_transfer()
        self._note_contact()
        if state.stalled:
            self._hand_over()
            self._step_down()
        elif state.now >= self._silence_deadline:
            self._step_down()
        elif state.now >= self._next_heartbeat:
            self._begin_round()

    def next_deadline(self) -> float:
        """When `tick` has something to do."""
        return min(
            self._next_heartbeat, self._transfer_deadline, self._state.stall_deadline, self._silence_deadline
        )

    @property
    def _silence_deadline(self) -> float:
        """When a majority will have been silent for too long."""
        return self._state.leader_contact + self._state.settings.election_most

    def _step_down(self) -> None:
        self._state.become_follower(self._state.term, None)

    def end(self) -> list[ReadResult]:
        """The term's leadership is over; its reads are refused."""
        return self._reads.refused()

    # ------------------------------------------------------------ rounds and reads

    def _begin_round(self) -> None:
        self._round += 1
        self._rounds.append(Round(self._round, self._state.now))
        self._round_unsent = True
        self._next_heartbeat = self._state.now + self._state.settings.heartbeat

    def read(self, read_id: int) -> None:
        """Queue a read; it is refused where too many wait."""
        if self._reads.count >= self._state.settings.pending_reads:
            self._state.reads.append(ReadResult(read_id, False))
            return
        if not self._round_unsent:
            self._begin_round()
        self._reads.add(read_id, self._round)

    def _note_contact(self) -> None:
        """Note when a majority was last heard of."""
        contact = self._reached(self._state.now, lambda progress: progress.last_heard)
        self._state.leader_contact = max(self._state.leader_contact, contact)

    @property
    def _own_term_committed(self) -> bool:
        return self._state.commit_index >= self._first_index

    def _confirm_rounds(self) -> None:
        """Note what a majority has confirmed, and release the reads that waited for it."""
        state = self._state
        confirmed = self._reached(self._round, lambda progress: progress.acknowledged_round)
        self._confirmed_round = max(self._confirmed_round, int(confirmed))
        while self._rounds and self._rounds[0].number <= self._confirmed_round:
            self._confirmed_began = self._rounds.popleft().began
        if not self._own_term_committed:
            return
        state.current_at = max(state.current_at, self._confirmed_began)
        state.reads += self._reads.confirmed(self._confirmed_round, state.commit_index)

    def _reached(self, own: float, of: Callable[[Progress], float]) -> float:
        """What a quorum has reached; this member counts only as a voter."""
        own_id = self._state.own_id
        return self._state.quorum.reached(lambda voter: own if voter == own_id else of(self._progress[voter]))

    # ------------------------------------------------------------ the log

    def propose(self, payload: bytes) -> Proposal:
        """Append a command."""
        if self._transferee is not None:
            raise NotLeaderError("propose", self._transferee)
        state = self._state
        if (
            state.log.last_index - state.commit_index >= state.settings.uncommitted_entries
            or state.log.bytes_behind(state.commit_index) >= state.settings.uncommitted_bytes
        ):
            raise OverloadedError("too many entries are not committed", step="propose")
        return self._append(COMMAND, payload)

    def _append(self, kind: EntryKind, payload: bytes) -> Proposal:
        entry = self._state.log.extend(self._state.term, kind, payload)
        return Proposal(entry.index, entry.term)

    def change_membership(self, membership: Membership) -> Proposal:
        """Append a membership, in force from now on."""
        state = self._state
        if self._transferee is not None:
            raise NotLeaderError(CHANGE_STEP, self._transferee)
        if not self._own_term_committed:
            raise MembershipChangeError("no entry of this term is committed yet", step=CHANGE_STEP)
        current = state.log.memberships.current
        if current.index > state.commit_index:
            raise MembershipChangeError("a change is pending", step=CHANGE_STEP)
        check_change(current.membership, membership)
        self._check_in_touch(current.quorum, quorum_of(membership))
        return self._append_membership(membership)

    def _append_membership(self, membership: Membership) -> Proposal:
        proposal = self._append(MEMBERSHIP, membership.SerializeToString())
        self._sync_members()
        return proposal

    def _check_in_touch(self, old: Quorum, new: Quorum) -> None:
        """Refuse voters most of whom were not heard of lately: they could not commit their membership."""
        if new == old:
            return
        since = self._state.now - self._state.settings.election_most
        in_touch = {member for member, progress in self._progress.items() if progress.in_touch(since)}
        if not new.within(in_touch | {self._state.own_id}):
            raise MembershipChangeError("most of the new voters are out of touch", step=CHANGE_STEP)

    def _end_joint_change(self) -> None:
        """Append the membership without outgoing voters once the joint one is committed.

        Not while leadership is handed over: the next leader does it, or this one once the transfer has
        failed.
        """
        current = self._state.log.memberships.current
        committed = self._own_term_committed and current.index <= self._state.commit_index
        if current.quorum.joint and committed and self._transferee is None:
            self._append_membership(without_outgoing(current.membership))

    def _sync_members(self) -> None:
        """Keep one progress for each other member."""
        state = self._state
        others = members_of(state.log.memberships.current.membership) - {state.own_id}
        for gone in self._progress.keys() - others:
            del self._progress[gone]
        for new in sorted(others - self._progress.keys()):
            self._progress[new] = Progress(state.log.last_index, state.now)

    def advance_commit(self) -> None:
        """Commit what a majority has durable, by entries of this term; own entries count once written."""
        state = self._state
        reached = int(self._reached(state.persistence.durable_index, lambda progress: progress.match_index))
        if reached <= state.commit_index or state.log.term_at(reached) != state.term:
            return
        state.commit_to(reached)
        self._confirm_rounds()
        if not state.is_voter and state.log.memberships.current.index <= reached:
            self._leave()
        else:
            self._end_joint_change()

    def _leave(self) -> None:
        """This member's removal is committed: tell the others, ask one to take over, step down."""
        self.flush()
        self._hand_over()
        self._step_down()

    # ------------------------------------------------------------ messages

    def flush(self) -> None:
        """Send what is due to each member."""
        for member_id, progress in self._progress.items():
            self._replicator.replicate(member_id, progress, self._round)
            if self._round_unsent:
                self._replicator.heartbeat(member_id, progress, self._round)
        if self._round_unsent:
            self._round_unsent = False
            self._confirm_rounds()

    def response(self, sender: int, response: AppendResponse) -> None:
        """Take a member's answer."""
        progress = self._progress.get(sender)
        if progress is None:
            return
        progress.heard(response.round, self._state.now)
        self._note_contact()
        if response.success:
            if progress.matched(response.match_index):
                self.advance_commit()
            self._continue_transfer()
        else:
            self._replicator.rejected(sender, progress, response.hint_index)
        self._confirm_rounds()

    def needed_behind(self, index: int) -> int:
        """The lowest index that is being sent in chunks, or `index`: entries behind it will be needed."""
        transfers = [progress.transfer for progress in self._progress.values()]
        return min([transfer.index for transfer in transfers if transfer is not None], default=index)

    def chunk_progress(self, sender: int, answer: SnapshotProgress) -> None:
        """Take a member's answer to a chunk of a snapshot or an entry."""
        progress = self._progress.get(sender)
        if progress is None:
            return
        progress.heard(answer.round, self._state.now)
        self._note_contact()
        self._replicator.chunk_progress(progress, answer)
        self._confirm_rounds()

    # ------------------------------------------------------------ transfer

    def transfer(self, member_id: int | None) -> None:
        """Hand leadership over once the member has the whole log; given up after an election timeout."""
        state = self._state
        target = self._best_voter() if member_id is None else member_id
        if target is None or target == state.own_id or target not in state.voters:
            raise TransferError("no voter to hand over to", step="transfer", peer=target)
        self._transferee = target
        self._transfer_deadline = state.now + state.settings.election_most
        self._continue_transfer()

    def _continue_transfer(self) -> None:
        target = self._transferee
        if target is None or target not in self._progress:
            self._end_transfer()
        elif self._progress[target].match_index >= self._state.log.last_index:
            self._ask_to_campaign(target)

    def _end_transfer(self) -> None:
        self._transferee = None
        self._transfer_deadline = inf
        self._end_joint_change()

    def _best_voter(self) -> int | None:
        """The voter heard of lately that has the most of the log; those that stay voters come first."""
        state = self._state
        since = state.now - state.settings.election_least
        candidates = [
            voter for voter in sorted(state.voters - {state.own_id}) if self._progress[voter].in_touch(since)
        ]
        incoming = state.quorum.incoming
        return max(
            candidates, key=lambda voter: (voter in incoming, self._progress[voter].match_index), default=None
        )

    def _hand_over(self) -> None:
        target = self._best_voter()
        if target is not None:
            self._ask_to_campaign(target)

    def _ask_to_campaign(self, target: int) -> None:
        message = RaftMessage(timeout_now=TimeoutNow(term=self._state.term))
        self._state.persistence.send_now(target, message)

    def status(self) -> dict[int, MemberProgress]:
        """What is known of each other member."""
        now = self._state.now
        return {
            member_id: MemberProgress(progress.match_index, now - progress.last_heard)
            for member_id, progress in self._progress.items()
        }
