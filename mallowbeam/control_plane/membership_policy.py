"""Decides how the leader changes the group: who joins, who is promoted, who is removed.

A pure core: it is given the membership, what the leader knows of each member and who asks to join, and returns the
next membership or None. At most one voter is added or removed in a change; the host proposes it and asks again once
it is committed. Only a leader asks.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass

from mallowbeam.rpc.messages_pb2 import JoinRequest, Member, Membership

CAUGHT_UP_ENTRIES = 8          # a learner this close to the commit index may be promoted
HEARD_LATELY = 0.5             # seconds; a learner must have been heard within them to be promoted
DEAD_VOTER = 1.5               # seconds unheard after which a caught-up learner takes a voter's place
SURPLUS_VOTER = 2.0            # seconds unheard after which a voter beyond the target is removed
GONE_LEARNER = 30.0            # seconds unheard after which a learner is dropped; it may join again
MOST_MEMBERS = 31              # further ones are not accepted


@dataclass(frozen=True, slots=True)
class Progress:
    """What the leader knows of another member."""

    match_index: int           # last log index known to be durable there
    silence: float             # seconds since it was heard, or since this leader's term began


@dataclass(frozen=True, slots=True)
class Group:
    """The group as its leader sees it."""

    leader: int                # the leader's own id
    membership: Membership     # the latest in the log
    commit_index: int
    progress: Mapping[int, Progress]

    def silence(self, member: int) -> float:
        """Seconds since a member was heard; the leader itself is never silent."""
        if member == self.leader:
            return 0.0
        known = self.progress.get(member)
        return known.silence if known is not None else 0.0

    def caught_up(self, member: int) -> bool:
        """Whether a learner has nearly all that is committed and answers."""
        known = self.progress.get(member)
        if known is None or known.silence > HEARD_LATELY:
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


def holds(membership: Membership, member: int) -> bool:
    """Whether a member of that id is in the group."""
    return any(known.id == member for known in membership.members)


def admit(membership: Membership, request: JoinRequest) -> Membership | None:
    """The membership with a new learner in it; None where it is in already or the group is full.

    Learners that stood at the same address are dropped: their disk is gone. A voter there keeps its place until the
    new one has caught up. A joiner of the system's first start adds a place, unless one at its address did before.
    """
    joiner = request.member
    if not joiner.id or holds(membership, joiner.id):
        return None
    kept = [known for known in membership.members if known.voter or known.address != joiner.address]
    if len(kept) >= MOST_MEMBERS:
        return None
    learner = Member()
    learner.CopyFrom(joiner)
    learner.voter = False
    is_new_place = all(known.address != joiner.address for known in membership.members)
    target = membership.target_voters + (1 if request.first_start and is_new_place else 0)
    return Membership(members=[*kept, learner], target_voters=target)


def next_change(group: Group) -> Membership | None:
    """The change that is due now, or None."""
    for learner in group.learners:
        if group.caught_up(learner.id):
            return _take_in(group, learner)
    surplus = _surplus_voter(group)
    if surplus is not None:
        return _without(group, surplus)
    return _without_gone_learner(group)


def _take_in(group: Group, learner: Member) -> Membership | None:
    """Promote a learner that has caught up; where it stands in for a voter, remove that one first."""
    replaced = _replaced_voter(group, learner)
    if replaced is not None:
        smaller = _without(group, replaced)
        if smaller is not None:
            return smaller
    return _with(group, learner.id, promote)


def _replaced_voter(group: Group, learner: Member) -> Member | None:
    """The voter whose place a learner takes: the one whose disk is gone, else a dead one in a full group."""
    for voter in group.voters:
        if voter.address == learner.address:
            return voter
    if len(group.voters) < group.membership.target_voters:
        return None
    return _most_silent(group, DEAD_VOTER)


def _surplus_voter(group: Group) -> Member | None:
    """A dead voter that the group does not need."""
    if len(group.voters) <= group.membership.target_voters:
        return None
    return _most_silent(group, SURPLUS_VOTER)


def _most_silent(group: Group, least: float) -> Member | None:
    """The voter unheard for longest, if for more than `least` seconds."""
    silent = [voter for voter in group.voters if group.silence(voter.id) > least]
    return max(silent, key=lambda voter: group.silence(voter.id), default=None)


def _without(group: Group, voter: Member) -> Membership | None:
    """The group without a voter; None where too few live ones would be left to commit anything."""
    if voter.id == group.leader:
        return None
    left = [known for known in group.voters if known.id != voter.id]
    live = [known for known in left if group.silence(known.id) <= DEAD_VOTER]
    if len(live) < len(left) // 2 + 1:
        return None
    return _filtered(group.membership, lambda known: known.id != voter.id)


def _without_gone_learner(group: Group) -> Membership | None:
    """The group without a learner that has not been heard for long; None where there is none."""
    for learner in group.learners:
        if group.silence(learner.id) > GONE_LEARNER:
            gone = learner.id
            return _filtered(group.membership, lambda known: known.id != gone)
    return None


def promote(member: Member) -> Member:
    """The same member as a voter."""
    voter = Member()
    voter.CopyFrom(member)
    voter.voter = True
    return voter


def _with(group: Group, member: int, change: Callable[[Member], Member]) -> Membership:
    """The membership with one member changed."""
    members: Iterable[Member] = (
        change(known) if known.id == member else known for known in group.membership.members)
    return Membership(members=members, target_voters=group.membership.target_voters)


def _filtered(membership: Membership, keep: Callable[[Member], bool]) -> Membership:
    """The membership with only those members that are to be kept."""
    return Membership(
        members=[known for known in membership.members if keep(known)], target_voters=membership.target_voters)
