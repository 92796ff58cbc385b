"""What a member knows whatever its role: term, log, commit index, timers."""

from __future__ import annotations

from enum import Enum
from math import inf
from random import Random

from mallowbeam.router.consensus.interface import RaftSettings, ReadResult, Restored
from mallowbeam.router.consensus.log import RaftLog
from mallowbeam.router.consensus.persistence import Persistence
from mallowbeam.router.consensus.quorum import Quorum
from mallowbeam.router.rpc.messages_pb2 import Snapshot


class Role(Enum):
    """What a member does in its term."""

    FOLLOWER = "follower"  # learners too
    PRE_CANDIDATE = "pre-candidate"  # asks whether it would be elected; its term stays
    CANDIDATE = "candidate"
    LEADER = "leader"


class MemberState:
    """The state that elections, followers and leaders share."""

    def __init__(self, settings: RaftSettings, restored: Restored, now: float, random: Random) -> None:
        self.settings = settings
        self.random = random
        self.now = now
        self.log = RaftLog(restored.snapshot, restored.entries)
        self.persistence = Persistence(restored.hard_state, self.log)
        self.role = Role.FOLLOWER
        self.leader_id: int | None = None
        self.commit_index = restored.snapshot.index
        self.handed_index = self.commit_index  # up to here, committed entries were handed to the host
        self.install: Snapshot | None = None
        self.reads: list[ReadResult] = []
        self.leader_contact = -inf  # last word of the leader; on it: of a majority
        self.current_at = -inf  # when the state here was last known to be current
        self.election_deadline = now
        self.campaigns = 0  # since a leader was last heard of
        self.campaign_put_off = False
        self.reset_election_timer()

    @property
    def own_id(self) -> int:
        """This member's id."""
        return self.settings.member_id

    @property
    def term(self) -> int:
        """The current term."""
        return self.persistence.hard_state.term

    @property
    def vote(self) -> int:
        """The member voted for in this term; 0: none."""
        return self.persistence.hard_state.vote

    @property
    def quorum(self) -> Quorum:
        """What counts under the membership in force."""
        return self.log.memberships.current.quorum

    @property
    def voters(self) -> frozenset[int]:
        """All voters of the membership in force; of both sets while a joint change is under way."""
        return self.quorum.all

    @property
    def is_voter(self) -> bool:
        """Whether this member is a voter of the membership in force."""
        return self.own_id in self.voters

    @property
    def may_campaign(self) -> bool:
        """Whether this member is a voter of any membership that may be in force at another member.

        These are all from the last one known to be committed on. The log of a member whose removal is not
        committed may be the longest, and a joint membership may still need its vote: without it, nobody could
        be elected. It does not count itself then.
        """
        return any(self.own_id in quorum.all for quorum in self.log.memberships.since(self.commit_index))

    @property
    def stalled(self) -> bool:
        """Whether storage has kept a write under way for too long."""
        return self.now >= self.stall_deadline

    @property
    def stall_deadline(self) -> float:
        """When the oldest write under way will have taken too long."""
        since = self.persistence.outstanding_since()
        return inf if since is None else since + self.settings.stalled_write

    @property
    def leader_is_live(self) -> bool:
        """Whether a leader was heard of so lately that votes for others are refused."""
        if self.leader_id is None:
            return False
        return self.now - self.leader_contact < self.settings.election_least

    def reset_election_timer(self, scale: float = 1.0) -> None:
        """Draw the time of the next campaign."""
        drawn = self.random.uniform(self.settings.election_least, self.settings.election_most)
        self.election_deadline = self.now + drawn * scale
        self.campaign_put_off = False

    def become_follower(self, term: int, leader_id: int | None) -> None:
        """Follow a leader, or wait for one, in `term`."""
        if term > self.term:
            self.persistence.set_state(term, vote=0)
        if self.role is not Role.FOLLOWER:
            self.role = Role.FOLLOWER
            self.reset_election_timer()
        self.leader_id = leader_id

    def heard_leader(self, leader_id: int) -> None:
        """Note a valid word of the term's leader."""
        self.become_follower(self.term, leader_id)
        self.leader_contact = self.now
        self.campaigns = 0
        self.reset_election_timer()

    def commit_to(self, index: int) -> None:
        """Raise the commit index; it never falls."""
        self.commit_index = max(self.commit_index, index)
