"""Membership decisions of the leader: who joins, who votes, who replaces whom, who is removed.

Pure functions without I/O: from the membership, the leader's knowledge of each member and the requests to
join or leave, they compute the next membership, or None. A learner that has caught up is promoted if there
are fewer voters than the target. Otherwise it stands by as a successor, and replaces a voter that has lost
its disk, is unreachable or asks to leave, in one joint change, so that the number of voters never falls. The
leader proposes the change and calls again once it is committed; other members never call. Times are in
seconds.
"""

from __future__ import annotations

from collections.abc import Container, Mapping
from dataclasses import dataclass
from enum import Enum

from mallowbeam.router.consensus.membership import joint_change
from mallowbeam.router.rpc.messages_pb2 import JoinRequest, Member, Membership

CAUGHT_UP_ENTRIES = 8  # a learner this close to the commit index may be promoted
RECENT_CONTACT_S = 0.5  # a learner must have been in contact within this time to be promoted
VOTER_TIMEOUT_S = 1.5  # a caught-up learner replaces a voter after this time without contact
SURPLUS_VOTER_TIMEOUT_S = 2.0  # a voter beyond the target is removed after this time without contact
LEARNER_TIMEOUT_S = 30.0  # a learner is removed after this time without contact; it may join again
MAX_MEMBERS = 31  # further ones are not accepted


class LeaveOutcome(Enum):
    """The outcome of a member's request to leave."""

    DEMOTED = "demoted"  # it does not vote
    PENDING = "pending"  # a successor is being promoted
    NO_SUCCESSOR = "no successor"  # it votes, and no learner can replace it


@dataclass(frozen=True, slots=True)
class PeerProgress:
    """The leader's knowledge of another member."""

    match_index: int  # last log index known to be durable there
    seconds_since_contact: float  # or since this leader's term began


@dataclass(frozen=True, slots=True)
class ClusterView:
    """The leader's view of the group."""

    leader: int  # the leader's own id
    membership: Membership  # the latest in the log
    commit_index: int
    progress: Mapping[int, PeerProgress]
    leaving: frozenset[int] = frozenset()  # members that have asked to leave

    def seconds_since_contact(self, member: int) -> float:
        """Seconds since a member's last message; 0 for the leader itself and for members without a record."""
        if member == self.leader:
            return 0.0
        known = self.progress.get(member)
        return known.seconds_since_contact if known is not None else 0.0

    def caught_up(self, member: int) -> bool:
        """Whether a learner is in contact and stores nearly all committed entries."""
        known = self.progress.get(member)
        if known is None or known.seconds_since_contact > RECENT_CONTACT_S:
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
        """Learners in contact that are neither leaving nor superseded; they may still have to catch up."""
        return [
            learner
            for learner in self.learners
            if learner.id not in self.leaving
            and self.seconds_since_contact(learner.id) <= RECENT_CONTACT_S
            and not self._superseded(learner)
        ]

    @property
    def caught_up_successors(self) -> list[Member]:
        """Successors that can be promoted now."""
        return [learner for learner in self.successors if self.caught_up(learner.id)]

    @property
    def removable_learners(self) -> set[int]:
        """Ids of learners without contact for too long, or whose address belongs to a newer identity."""
        return {
            learner.id
            for learner in self.learners
            if self._superseded(learner) or self.seconds_since_contact(learner.id) > LEARNER_TIMEOUT_S
        }

    def _superseded(self, learner: Member) -> bool:
        """Whether a later member has the learner's address, which means that the learner's disk was lost."""
        same_address = [member.id for member in self.membership.members if member.address == learner.address]
        return same_address[-1] != learner.id


def contains(membership: Membership, member: int) -> bool:
    """Whether a member of that id is in the group."""
    return any(known.id == member for known in membership.members)


def with_joiner(membership: Membership, request: JoinRequest) -> Membership | None:
    """The membership with a new learner; None if it is a member already or the group is full.

    Also None while a joint change is in progress. Learners with the joiner's address are removed, as their
    disk is lost; a voter with that address stays until the new member has caught up. A joiner at the system's
    first start raises the target number of voters, unless its address was already in the group.
    """
    joiner = request.member
    if not joiner.id or contains(membership, joiner.id) or membership.outgoing_voters:
        return None
    remaining = [known for known in membership.members if known.voter or known.address != joiner.address]
    if len(remaining) >= MAX_MEMBERS:
        return None
    target = membership.target_voters
    if request.first_start and not _contains_address(membership, joiner.address):
        target += 1
    return Membership(members=[*remaining, _as_learner(joiner)], target_voters=target)


def _contains_address(membership: Membership, address: str) -> bool:
    return any(known.address == address for known in membership.members)


def _as_learner(joiner: Member) -> Member:
    """A joiner as a member that does not vote."""
    learner = Member()
    learner.CopyFrom(joiner)
    learner.voter = False
    return learner


def next_membership(view: ClusterView) -> Membership | None:
    """The change that is due now, or None: the first decision that applies, in a fixed order."""
    if view.membership.outgoing_voters:
        return None
    decisions = (_promote_learner, _replace_voters, _remove_surplus_voter, _remove_learners)
    for decide in decisions:
        changed = decide(view)
        if changed is not None:
            return changed
    return None


def leave_outcome(view: ClusterView, member: int) -> LeaveOutcome:
    """The outcome of a member's request to leave; requires that the latest membership is committed."""
    if view.membership.outgoing_voters:
        return LeaveOutcome.PENDING
    if member not in {voter.id for voter in view.voters}:
        return LeaveOutcome.DEMOTED
    if view.successors or len(view.voters) > view.membership.target_voters:
        return LeaveOutcome.PENDING
    return LeaveOutcome.NO_SUCCESSOR


def _promote_learner(view: ClusterView) -> Membership | None:
    """Add one voter if there are fewer than the target."""
    if len(view.voters) >= view.membership.target_voters:
        return None
    candidates = _unassigned_successors(view)
    return _with_voters(view, promoted={candidates[0].id}) if candidates else None


def _replace_voters(view: ClusterView) -> Membership | None:
    """The joint membership that replaces every voter for which there is a successor."""
    replacements = _replacements(view)
    if not replacements:
        return None
    changed = _with_voters(view, promoted=set(replacements.values()), demoted=set(replacements))
    if not _has_live_majority(view, changed):
        return None
    return joint_change(view.membership, changed)


def _replacements(view: ClusterView) -> dict[int, int]:
    """Successors by the id of the voter that they replace.

    A voter whose disk was lost is replaced by the new identity of its address. A voter that leaves or is
    unreachable is replaced by any other successor, preferably of its own zone.
    """
    successors = {learner.address: learner.id for learner in view.caught_up_successors}
    replacements: dict[int, int] = {}
    for voter in view.voters:
        if voter.id != view.leader and voter.address in successors:
            replacements[voter.id] = successors.pop(voter.address)
    if len(view.voters) > view.membership.target_voters:
        return replacements
    candidates = _unassigned_successors(view)
    for voter in _leaving_or_unreachable(view, VOTER_TIMEOUT_S):
        if voter.id in replacements or not candidates:
            continue
        successor = min(candidates, key=lambda learner: learner.zone != voter.zone)
        candidates.remove(successor)
        replacements[voter.id] = successor.id
    return replacements


def _unassigned_successors(view: ClusterView) -> list[Member]:
    """Caught-up successors that may replace any voter: no voter has their address."""
    addresses = {voter.address for voter in view.voters if voter.id != view.leader}
    return [learner for learner in view.caught_up_successors if learner.address not in addresses]


def _leaving_or_unreachable(view: ClusterView, timeout_s: float) -> list[Member]:
    """Voters that asked to leave, then those without contact for over `timeout_s`, the longest first."""
    leaving = [voter for voter in view.voters if voter.id in view.leaving]
    unreachable = [
        voter
        for voter in view.voters
        if voter.id not in view.leaving and view.seconds_since_contact(voter.id) > timeout_s
    ]
    return leaving + sorted(unreachable, key=lambda voter: -view.seconds_since_contact(voter.id))


def _remove_surplus_voter(view: ClusterView) -> Membership | None:
    """Remove or demote one voter beyond the target; groups of earlier versions may have such voters."""
    if len(view.voters) <= view.membership.target_voters:
        return None
    for voter in _leaving_or_unreachable(view, SURPLUS_VOTER_TIMEOUT_S):
        if voter.id == view.leader:
            continue
        if voter.id in view.leaving:
            changed = _with_voters(view, demoted={voter.id})
        else:
            changed = _without(view.membership, {voter.id})
        return changed if _has_live_majority(view, changed) else None
    return None


def _has_live_majority(view: ClusterView, membership: Membership) -> bool:
    """Whether enough of its voters are in contact to commit an entry."""
    voters = [known.id for known in membership.members if known.voter]
    live = [voter for voter in voters if view.seconds_since_contact(voter) <= VOTER_TIMEOUT_S]
    return 2 * len(live) > len(voters)


def _remove_learners(view: ClusterView) -> Membership | None:
    """The membership without its removable learners; None if there are none."""
    removable = view.removable_learners
    return _without(view.membership, removable) if removable else None


def _with_voters(
    view: ClusterView, promoted: Container[int] = (), demoted: Container[int] = ()
) -> Membership:
    """The membership with some members promoted and some demoted, in the same order."""
    changed = Membership()
    changed.CopyFrom(view.membership)
    for member in changed.members:
        member.voter = (member.voter or member.id in promoted) and member.id not in demoted
    return changed


def _without(membership: Membership, removed: Container[int]) -> Membership:
    """The membership without some members."""
    remaining = [known for known in membership.members if known.id not in removed]
    return Membership(members=remaining, target_voters=membership.target_voters)
