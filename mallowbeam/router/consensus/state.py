"""State that a member has in every role: term, log, commit index, election timer."""

from __future__ import annotations

from enum import Enum
from math import inf
from random import Random

from mallowbeam.router.consensus.interface import NO_VOTE, PersistentState, RaftSettings, ReadResult
from mallowbeam.router.consensus.log import RaftLog
from mallowbeam.router.consensus.persistence import Persistence
from mallowbeam.router.consensus.quorum import Quorum
from mallowbeam.router.rpc.messages_pb2 import Snapshot


class Role(Enum):
    """Role of a member in its current term (Raft §5.1; pre-candidate: thesis 9.6)."""

    FOLLOWER = "follower"  # learners too
    PRE_CANDIDATE = "pre-candidate"  # collects pre-votes without increasing its term
    CANDIDATE = "candidate"
    LEADER = "leader"


class MemberState:
    """State shared by election, follower and leader.  Times are in seconds of the monotonic clock."""

    def __init__(self, settings: RaftSettings, restored: PersistentState, now: float, random: Random) -> None:
        self.settings = settings
        self.random = random
        self.now = now
        self.log = RaftLog(restored.snapshot, restored.entries)
        self.persistence = Persistence(restored.hard_state, self.log)
        self.role = Role.FOLLOWER
        self.leader_id: int | None = None
        self.commit_index = restored.snapshot.index
        self.delivered_index = self.commit_index  # last committed index returned in an `Output`
        self.install: Snapshot | None = None
        self.reads: list[ReadResult] = []
        self.last_leader_contact = -inf  # on the leader: last contact with a majority
        self.current_as_of = -inf  # latest time at which this member's state was known to be up to date
        self.election_deadline = now
        self.campaigns = 0  # since the last contact with a leader
        self.campaign_deferred = False
        self.reset_election_timer()

    @property
    def own_id(self) -> int:
        """Id of this member."""
        return self.settings.member_id

    @property
    def term(self) -> int:
        """The current term."""
        return self.persistence.hard_state.term

    @property
    def vote(self) -> int:
        """Id of the member voted for in this term, or `NO_VOTE`."""
        return self.persistence.hard_state.vote

    @property
    def quorum(self) -> Quorum:
        """Voters and quorum rule of the current membership."""
        return self.log.memberships.current.quorum

    @property
    def voters(self) -> frozenset[int]:
        """Voters of the current membership; of both configurations during joint consensus."""
        return self.quorum.voters

    @property
    def is_voter(self) -> bool:
        """Whether this member is a voter of the current membership."""
        return self.own_id in self.voters

    @property
    def may_campaign(self) -> bool:
        """Whether this member is a voter of any membership that may be in force at another member.

        These are the last membership known to be committed and all later ones.  A member whose removal is not
        yet committed may have the longest log, and a joint membership may need its vote: without it no leader
        could be elected.  It does not count its own vote if the current membership excludes it.
        """
        return any(self.own_id in quorum.voters for quorum in self.log.memberships.since(self.commit_index))

    @property
    def stalled(self) -> bool:
        """Whether a write to storage exceeds `write_stall_timeout`."""
        return self.now >= self.stall_deadline

    @property
    def stall_deadline(self) -> float:
        """Time at which the oldest write in flight exceeds `write_stall_timeout`; infinite without one."""
        submitted_at = self.persistence.oldest_inflight_submitted_at()
        return inf if submitted_at is None else submitted_at + self.settings.write_stall_timeout

    @property
    def leader_is_live(self) -> bool:
        """Whether a leader was active within the minimum election timeout.

        Votes for other candidates are then rejected (thesis 4.2.3, disruptive servers).
        """
        if self.leader_id is None:
            return False
        return self.now - self.last_leader_contact < self.settings.election_timeout_min

    def reset_election_timer(self, scale: float = 1.0) -> None:
        """Draw a new randomized election timeout, multiplied by `scale` (Raft §5.2)."""
        timeout = self.random.uniform(self.settings.election_timeout_min, self.settings.election_timeout_max)
        self.election_deadline = self.now + timeout * scale
        self.campaign_deferred = False

    def become_follower(self, term: int, leader_id: int | None) -> None:
        """Become a follower in `term`, which is not below the current one; `leader_id` is None if unknown."""
        if term > self.term:
            self.persistence.set_state(term, vote=NO_VOTE)
        if self.role is not Role.FOLLOWER:
            self.role = Role.FOLLOWER
            self.reset_election_timer()
        self.leader_id = leader_id

    def record_leader_contact(self, leader_id: int) -> None:
        """Record a valid message of the current term's leader and restart the election timer."""
        self.become_follower(self.term, leader_id)
        self.last_leader_contact = self.now
        self.campaigns = 0
        self.reset_election_timer()

    def commit_to(self, index: int) -> None:
        """Raise the commit index to `index`; it never decreases."""
        self.commit_index = max(self.commit_index, index)
