"""Decides how the leader changes the group: who joins, who votes, whose place is given away, who is dropped.

A pure core: it is given the membership, what the leader knows of each member and who asks to join or leave,
and returns the next membership or None. A learner that has caught up is promoted where a place is free; else
it stands by, and takes the place of a voter that has lost its disk, is silent or asks to leave, in one joint
change: no voter is ever without a place, and no place is emptied. The host proposes a change and asks again
once it is committed. Only a leader asks.
"""

from __future__ import annotations

from collections.abc import Container, Mapping
from dataclasses import dataclass
from enum import Enum

from mallowbeam.router.consensus.membership import joint_change
from mallowbeam.router.rpc.messages_pb2 import JoinRequest, Member, Membership

CAUGHT_UP_ENTRIES = 8  # a learner this close to the commit index may be promoted
RECENT_CONTACT_S = 0.5  # seconds; a learner must have been heard within them to be promoted
VOTER_TIMEOUT_S = 1.5  # seconds unheard after which a caught-up learner takes a voter's place
SURPLUS_VOTER_TIMEOUT_S = 2.0  # seconds unheard after which a voter beyond the target is removed
LEARNER_TIMEOUT_S = 30.0  # seconds unheard after which a learner is dropped; it may join again
MAX_MEMBERS = 31  # further ones are not accepted


class LeaveOutcome(Enum):
    """What becomes of a member that asks to leave."""

    DEMOTED = "given"  # it does not vote
    PENDING = "waits"  # its place is being given away
    NO_SUCCESSOR = "nobody"  # it votes, and no learner stands by


@dataclass(frozen=True, slots=True)
class PeerProgress:
    """What the leader knows of another member."""

    match_index: int  # last log index known to be durable there
    silence: float  # seconds since it was heard, or since this leader's term began


@dataclass(frozen=True, slots=True)
class ClusterView:
    """The group as its leader sees it."""

    leader: int  # the leader's own id
    membership: Membership  # the latest in the log
    commit_index: int
    progress: Mapping[int, PeerProgress]
    leaving: frozenset[int] = frozenset()  # members that have asked to leave

    def silence(self, member: int) -> float:
        """Seconds since a member was heard; the leader itself is never silent."""
        if member == self.leader:
            return 0.0
        known = self.progress.get(member)
        return known.silence if known is not None else 0.0

    def caught_up(self, member: int) -> bool:
        """Whether a learner has nearly all that is committed and answers."""
        known = self.progress.get(member)
        if known is None or known.silence > RECENT_CONTACT_S:
            return False
        return known.match_index + CAUGHT_UP_ENTRIES >= self.commit_index

    @property
    def voters(self) -> list[Member]:
        """Members that vote, in the order of the membership."""
        return [member for member in self.membership.members if member.voter]

    @property
    def learners(self) -> list[Member]:
        """Members that do not vote."""
        return [member for member in self.membership.members if not member.voter]

    @property
    def successors(self) -> list[Member]:
        """Learners that run and stay; they may still have to catch up."""
        return [
            learner
            for learner in self.learners
            if learner.id not in self.leaving
            and self.silence(learner.id) <= RECENT_CONTACT_S
            and not self._superseded(learner)
        ]

    @property
    def caught_up_successors(self) -> list[Member]:
        """Successors that have caught up."""
        return [learner for learner in self.successors if self.caught_up(learner.id)]

    @property
    def dropped(self) -> set[int]:
        """Learners that are gone: unheard for long, or their disk was lost and its successor stands there."""
        return {
            learner.id
            for learner in self.learners
            if self._superseded(learner) or self.silence(learner.id) > LEARNER_TIMEOUT_S
        }

    def _superseded(self, learner: Member) -> bool:
        """Whether a member that joined later stands at a learner's address."""
        same = [member.id for member in self.membership.members if member.address == learner.address]
        return same[-1] != learner.id


def contains(membership: Membership, member: int) -> bool:
    """Whether a member of that id is in the group."""
    return any(known.id == member for known in membership.members)


def with_joiner(membership: Membership, request: JoinRequest) -> Membership | None:
    """The membership with a new learner in it; None where it is in already or the group is full.

    None too while a joint change is under way. Learners that stood at the same address are dropped: their
    disk is gone. A voter there keeps its place until the new one has caught up. A joiner of the system's
    first start adds a place, unless one at its address did.
    """
    joiner = request.member
    if not joiner.id or contains(membership, joiner.id) or membership.outgoing_voters:
        return None
    kept = [known for known in membership.members if known.voter or known.address != joiner.address]
    if len(kept) >= MAX_MEMBERS:
        return None
    learner = Member()
    learner.CopyFrom(joiner)
    learner.voter = False
    is_new_place = all(known.address != joiner.address for known in membership.members)
    target = membership.target_voters + (1 if request.first_start and is_new_place else 0)
    return Membership(members=[*kept, learner], target_voters=target)


def next_membership(group: ClusterView) -> Membership | None:
    """The change that is due now, or None."""
    if group.membership.outgoing_voters:
        return None
    for change in (_promoted, _replaced, _shrunk, _without_dropped):
        changed = change(group)
        if changed is not None:
            return changed
    return None


def leaving(group: ClusterView, member: int) -> LeaveOutcome:
    """What becomes of a member that asks to leave; the latest membership is committed."""
    if group.membership.outgoing_voters:
        return LeaveOutcome.PENDING
    if member not in {voter.id for voter in group.voters}:
        return LeaveOutcome.DEMOTED
    if group.successors or len(group.voters) > group.membership.target_voters:
        return LeaveOutcome.PENDING
    return LeaveOutcome.NO_SUCCESSOR


def _promoted(group: ClusterView) -> Membership | None:
    """The group with one more voter, where a place is free; one at a voter's address is to replace that."""
    if len(group.voters) >= group.membership.target_voters:
        return None
    free = _without_own_place(group)
    return _with_voters(group, promoted={free[0].id}) if free else None


def _replaced(group: ClusterView) -> Membership | None:
    """The joint membership in which all that stand by take the places that are to be given away."""
    places = _places(group)
    if not places:
        return None
    changed = _with_voters(group, promoted=set(places.values()), demoted=set(places))
    if not _most_live(group, changed):
        return None
    return joint_change(group.membership, changed)


def _places(group: ClusterView) -> dict[int, int]:
    """Whose place goes to which learner, by their ids: where a disk was lost, to the one at its address."""
    successors = {learner.address: learner.id for learner in group.caught_up_successors}
    places: dict[int, int] = {}
    for voter in group.voters:
        if voter.id != group.leader and voter.address in successors:
            places[voter.id] = successors.pop(voter.address)
    if len(group.voters) > group.membership.target_voters:
        return places
    free = _without_own_place(group)
    for voter in _leaving_or_dead(group, VOTER_TIMEOUT_S):
        if voter.id in places or not free:
            continue
        successor = min(free, key=lambda learner: learner.zone != voter.zone)
        free.remove(successor)
        places[voter.id] = successor.id
    return places


def _without_own_place(group: ClusterView) -> list[Member]:
    """Those standing by that may take any place: no voter whose disk was lost is at their address."""
    addresses = {voter.address for voter in group.voters if voter.id != group.leader}
    return [learner for learner in group.caught_up_successors if learner.address not in addresses]


def _leaving_or_dead(group: ClusterView, least: float) -> list[Member]:
    """Voters that ask to leave, then those unheard for more than `least` seconds, the most silent first."""
    leaving_voters = [voter for voter in group.voters if voter.id in group.leaving]
    silent = [
        voter for voter in group.voters if voter.id not in group.leaving and group.silence(voter.id) > least
    ]
    return leaving_voters + sorted(silent, key=lambda voter: -group.silence(voter.id))


def _shrunk(group: ClusterView) -> Membership | None:
    """The group without a voter that it does not need: earlier programs held more voters than places."""
    if len(group.voters) <= group.membership.target_voters:
        return None
    for voter in _leaving_or_dead(group, SURPLUS_VOTER_TIMEOUT_S):
        if voter.id == group.leader:
            continue
        if voter.id in group.leaving:
            changed = _with_voters(group, demoted={voter.id})
        else:
            changed = _without(group.membership, {voter.id})
        return changed if _most_live(group, changed) else None
    return None


def _most_live(group: ClusterView, membership: Membership) -> bool:
    """Whether enough of its voters live to commit anything."""
    voters = [known.id for known in membership.members if known.voter]
    live = [voter for voter in voters if group.silence(voter) <= VOTER_TIMEOUT_S]
    return 2 * len(live) > len(voters)


def _without_dropped(group: ClusterView) -> Membership | None:
    """The group without learners that are gone; None where there are none."""
    dropped = group.dropped
    return _without(group.membership, dropped) if dropped else None


def _with_voters(
    group: ClusterView, promoted: Container[int] = (), demoted: Container[int] = ()
) -> Membership:
    """The membership with some members as voters and some as learners, in the same order."""
    changed = Membership()
    changed.CopyFrom(group.membership)
    for member in changed.members:
        member.voter = (member.voter or member.id in promoted) and member.id not in demoted
    return changed


def _without(membership: Membership, dropped: Container[int]) -> Membership:
    """The membership without some members."""
    kept = [known for known in membership.members if known.id not in dropped]
    return Membership(members=kept, target_voters=membership.target_voters)
