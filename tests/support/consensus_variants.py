"""Broken variants of the Raft core: each violates one rule by a patch while its context is open."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from contextlib import AbstractContextManager, contextmanager
from unittest import mock

from mallowbeam.router.consensus import leader, membership
from mallowbeam.router.consensus.chunk_receiver import ChunkContent, ChunkReceiver, ChunkStreamKey
from mallowbeam.router.consensus.chunk_sender import ChunkSender
from mallowbeam.router.consensus.election import Election
from mallowbeam.router.consensus.follower import Follower
from mallowbeam.router.consensus.leader import Leader
from mallowbeam.router.consensus.log import RaftLog
from mallowbeam.router.consensus.membership import (
    MembershipHistory,
    MembershipRecord,
    members_of,
    without_outgoing,
)
from mallowbeam.router.consensus.persistence import Persistence
from mallowbeam.router.consensus.progress import Progress
from mallowbeam.router.consensus.quorum import Quorum
from mallowbeam.router.consensus.round_echo import RoundEcho
from mallowbeam.router.consensus.state import MemberState, Role
from mallowbeam.router.rpc.messages_pb2 import Snapshot

Variant = Callable[[], AbstractContextManager[object]]


def commits_older_terms_by_count() -> AbstractContextManager[object]:
    """A leader commits an entry of an older term as soon as a majority has it."""

    def advance_commit(self: Leader) -> None:
        state = self._state
        reached = int(
            self._majority_value(state.persistence.durable_index, lambda progress: progress.match_index)
        )
        if reached > state.commit_index:
            state.commit_to(reached)
            self._confirm_rounds()

    return mock.patch.object(Leader, "advance_commit", advance_commit)


def vote_not_durable() -> AbstractContextManager[object]:
    """Votes are granted before they are durable."""
    return mock.patch.object(Persistence, "respond", Persistence.send_now)


def own_vote_not_durable() -> AbstractContextManager[object]:
    """A candidate requests votes and counts its own vote before that is durable."""

    @contextmanager
    def patched() -> Iterator[None]:
        campaign = Election.campaign

        def premature(self: Election, transfer: bool = False) -> None:
            with mock.patch.object(Persistence, "send_after_write", Persistence.send_now):
                campaign(self, transfer)
            self._votes[self._state.own_id] = True
            self._count()

        with mock.patch.object(Election, "campaign", premature):
            yield

    return patched()


def acknowledges_before_write() -> AbstractContextManager[object]:
    """A follower acknowledges entries before they are durable."""

    def acknowledge(self: Follower, leader: int, last: int, round_number: int, wait_for_write: bool) -> None:
        self._respond(leader, success=True, match_index=last, round_number=round_number)

    return mock.patch.object(Follower, "_acknowledge", acknowledge)


def leader_counts_unwritten() -> AbstractContextManager[object]:
    """A leader counts itself for entries that its storage has not written."""
    log_end = property(lambda self: self._log.last_index, lambda self, value: None)
    return mock.patch.object(Persistence, "durable_index", log_end, create=True)


def truncated_entries_acknowledged() -> AbstractContextManager[object]:
    """A write in flight marks entries as durable that were truncated in the meantime."""
    return mock.patch.object(Persistence, "entries_truncated", lambda self, first: None)


def reads_without_round() -> AbstractContextManager[object]:
    """A leader confirms reads without a heartbeat round."""

    def read(self: Leader, read_id: int) -> None:
        self._reads.add(read_id, 0)
        self._confirm_rounds()

    return mock.patch.object(Leader, "read", read)


def reads_before_own_commit() -> AbstractContextManager[object]:
    """A new leader confirms reads before an entry of its term is committed."""
    return mock.patch.object(Leader, "_own_term_committed", property(lambda self: True))


def learners_count_as_voters() -> AbstractContextManager[object]:
    """Learners count as voters."""

    def record_with_all_voters(index: int, changed: membership.Membership) -> MembershipRecord:
        return MembershipRecord(index, changed, Quorum(members_of(changed)))

    return mock.patch.object(membership, "membership_record", record_with_all_voters)


def changes_without_overlap() -> AbstractContextManager[object]:
    """A membership may differ from the last one in any number of voters."""
    return mock.patch.object(leader, "check_change", lambda old, new: None)


def joint_by_incoming_only() -> AbstractContextManager[object]:
    """During a joint change only the incoming voters count."""
    return mock.patch.object(Quorum, "_sets", property(lambda self: (self.incoming,)))


def joint_by_outgoing_only() -> AbstractContextManager[object]:
    """During a joint change only the outgoing voters count."""
    return mock.patch.object(Quorum, "_sets", property(lambda self: (self.outgoing or self.incoming,)))


def outgoing_dropped_at_compaction() -> AbstractContextManager[object]:
    """A snapshot taken during a joint change contains only the incoming voters."""
    at = MembershipHistory.at
    return mock.patch.object(MembershipHistory, "at", lambda self, index: without_outgoing(at(self, index)))


def joint_ended_before_commit() -> AbstractContextManager[object]:
    """A leader appends the final membership together with the joint one."""

    @contextmanager
    def patched() -> Iterator[None]:
        change = Leader.change_membership

        def premature(self: Leader, changed: membership.Membership):
            proposal = change(self, changed)
            if changed.outgoing_voters:
                self._append_membership(without_outgoing(changed))
            return proposal

        with mock.patch.object(Leader, "change_membership", premature):
            yield

    return patched()


def target_voters_ignored() -> AbstractContextManager[object]:
    """A learner is promoted although the target number of voters is reached."""

    @contextmanager
    def patched() -> Iterator[None]:
        check = membership.check_change

        def check_without_target(old: membership.Membership, new: membership.Membership) -> None:
            unlimited = membership.Membership()
            unlimited.CopyFrom(new)
            unlimited.target_voters = len(new.members)
            check(old, unlimited)

        with mock.patch.object(leader, "check_change", check_without_target):
            yield

    return patched()


def membership_not_rolled_back() -> AbstractContextManager[object]:
    """A membership stays in force although its entry was truncated."""
    return mock.patch.object(MembershipHistory, "truncate", lambda self, first_index: None)


def votes_without_log_check() -> AbstractContextManager[object]:
    """Votes are granted without comparing the candidate's log."""

    def may_grant(self: Election, sender: int, request) -> bool:
        state = self._state
        if request.term < state.term:
            return False
        return request.pre_vote or state.leader_id is None and state.vote in (0, sender)

    return mock.patch.object(Election, "_may_grant", may_grant)


def votes_twice() -> AbstractContextManager[object]:
    """A member that is no candidate grants all votes; campaigns are not deferred and so collide."""

    def may_grant(self: Election, sender: int, request) -> bool:
        log = self._state.log
        newer = (request.last_term, request.last_index) >= (log.last_term, log.last_index)
        return request.term >= self._state.term and newer and self._state.role is not Role.CANDIDATE

    @contextmanager
    def patched() -> Iterator[None]:
        with mock.patch.object(Election, "_may_grant", may_grant):
            with mock.patch.object(Election, "_defer_campaign", lambda self, sender, request: None):
                yield

    return patched()


def previous_entry_unchecked() -> AbstractContextManager[object]:
    """A follower appends entries without comparing the entry before them, as long as there is no gap."""
    return mock.patch.object(RaftLog, "matches", lambda self, index, term: index <= self.last_index)


def commit_index_falls() -> AbstractContextManager[object]:
    """A follower adopts any commit index of the leader, even a lower one."""

    def commit_to(self: MemberState, index: int) -> None:
        self.commit_index = index

    return mock.patch.object(MemberState, "commit_to", commit_to)


def rejections_ignored() -> AbstractContextManager[object]:
    """A leader does not move the next index back when a follower rejects entries."""
    return mock.patch.object(Progress, "handle_rejection", lambda self, hint_index: None)


def term_not_durable() -> AbstractContextManager[object]:
    """A follower responds in a term before the term is durable."""

    @contextmanager
    def patched() -> Iterator[None]:
        answer = Follower._respond

        def premature(self: Follower, leader: int, **fields) -> None:
            with mock.patch.object(Persistence, "respond", Persistence.send_now):
                answer(self, leader, **fields)

        with mock.patch.object(Follower, "_respond", premature):
            yield

    return patched()


def commits_beyond_match() -> AbstractContextManager[object]:
    """A follower applies the leader's commit index to entries that it has not matched."""

    def commit_to(self: MemberState, index: int) -> None:
        self.commit_index = max(self.commit_index, min(index, self.log.last_index))

    @contextmanager
    def patched() -> Iterator[None]:
        append = Follower.append

        def premature(self: Follower, leader: int, request) -> None:
            append(self, leader, request)
            self._state.commit_to(request.commit)

        with mock.patch.object(Follower, "append", premature):
            with mock.patch.object(MemberState, "commit_to", commit_to):
                yield

    return patched()


def conflicting_entries_retained() -> AbstractContextManager[object]:
    """A follower keeps its own entries that conflict with the leader's."""

    def term_blind_merge(self: RaftLog, entries, committed: int) -> int | None:
        self.append([entry for entry in entries if entry.index > self.last_index])
        return None

    return mock.patch.object(RaftLog, "merge", term_blind_merge)


def removed_never_campaigns() -> AbstractContextManager[object]:
    """A member does not campaign once its log contains its removal, committed or not."""
    return mock.patch.object(MemberState, "may_campaign", property(lambda self: self.is_voter))


def learners_reject_votes() -> AbstractContextManager[object]:
    """A member that is a learner by its own log rejects vote requests."""
    may_grant = Election._may_grant
    return mock.patch.object(
        Election,
        "_may_grant",
        lambda self, sender, request: self._state.is_voter and may_grant(self, sender, request),
    )


def quorum_check_without_deadline() -> AbstractContextManager[object]:
    """A leader checks for a majority only when a heartbeat is due."""
    return mock.patch.object(Leader, "next_deadline", lambda self: self._next_heartbeat)


def no_pre_vote() -> AbstractContextManager[object]:
    """A member starts a new term without a pre-vote."""

    def start(self: Election) -> None:
        self._state.campaigns += 1
        self.campaign()

    return mock.patch.object(Election, "_start_pre_vote", start)


def no_check_quorum() -> AbstractContextManager[object]:
    """A leader without contact to a majority does not step down."""

    def update_contact(self: Leader) -> None:
        self._state.last_leader_contact = self._state.now

    return mock.patch.object(Leader, "_update_contact", update_contact)


def no_leader_stickiness() -> AbstractContextManager[object]:
    """Votes are granted although a leader is live."""
    return mock.patch.object(MemberState, "leader_is_live", property(lambda self: False))


def stall_undetected() -> AbstractContextManager[object]:
    """A member does not notice a stalled write."""
    return mock.patch.object(MemberState, "stalled", property(lambda self: False))


def snapshot_installed_incomplete() -> AbstractContextManager[object]:
    """A follower installs a snapshot at its first chunk."""
    return _accepts_first_chunk(ChunkContent.SNAPSHOT)


def entry_appended_incomplete() -> AbstractContextManager[object]:
    """A follower appends an entry at its first chunk."""
    return _accepts_first_chunk(ChunkContent.ENTRY)


def _accepts_first_chunk(content: ChunkContent) -> AbstractContextManager[object]:
    original = ChunkReceiver.add

    def add(self: ChunkReceiver, key: ChunkStreamKey, size: int, offset: int, data: bytes) -> bytes | None:
        return data if key.content is content else original(self, key, size, offset, data)

    return mock.patch.object(ChunkReceiver, "add", add)


def chunk_streams_mixed() -> AbstractContextManager[object]:
    """A follower combines the chunks of different snapshots or entries."""

    def keep(self: ChunkReceiver, key) -> None:
        self._key = key

    return mock.patch.object(ChunkReceiver, "_begin", keep)


def snapshot_acknowledged_before_write() -> AbstractContextManager[object]:
    """A follower acknowledges a snapshot once it is complete, before it is durable."""
    take_snapshot = Follower._accept_snapshot

    def premature(self: Follower, leader: int, snapshot: Snapshot, round_number: int) -> None:
        with mock.patch.object(Persistence, "send_after_write", Persistence.send_now):
            take_snapshot(self, leader, snapshot, round_number)

    return mock.patch.object(Follower, "_accept_snapshot", premature)


def chunks_restarted_from_zero() -> AbstractContextManager[object]:
    """A leader restarts a snapshot from the beginning after a loss or a partition."""

    def retransmit(self: ChunkSender, now: float) -> None:
        self._acknowledged = self._next_offset = 0
        self._last_chunk_sent = False
        self._last_progress_at = now

    return mock.patch.object(ChunkSender, "_retransmit", retransmit)


def chunks_never_retransmitted() -> AbstractContextManager[object]:
    """A leader sends each chunk once."""
    return mock.patch.object(ChunkSender, "_retransmit", lambda self, now: None)


def arrival_time_as_freshness() -> AbstractContextManager[object]:
    """A follower uses the arrival time of an append as the time at which it was built."""
    return mock.patch.object(RoundEcho, "built_after", lambda self, answered_round, now: now)


def chunk_window_unlimited() -> AbstractContextManager[object]:
    """A leader sends all chunks without a window."""
    chunks = ChunkSender.chunks
    return mock.patch.object(
        ChunkSender, "chunks", lambda self, leader, chunk, window: chunks(self, leader, chunk, 1 << 40)
    )


def entries_after_chunks_dropped() -> AbstractContextManager[object]:
    """A leader compacts its log without retaining the entries after a snapshot in flight."""
    return mock.patch.object(Leader, "oldest_needed_index", lambda self, index: index)
