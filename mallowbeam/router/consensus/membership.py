"""The memberships that a log holds, and which changes of them are allowed."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

from mallowbeam.router.consensus.errors import MembershipChangeError
from mallowbeam.router.consensus.quorum import Quorum
from mallowbeam.router.rpc.messages_pb2 import MEMBERSHIP, Entry, Membership

CHANGE_STEP = "change membership"


def voters_of(membership: Membership) -> frozenset[int]:
    """Ids of the members that vote once no joint change is under way."""
    return frozenset(member.id for member in membership.members if member.voter)


def members_of(membership: Membership) -> frozenset[int]:
    """Ids of all members, learners too."""
    return frozenset(member.id for member in membership.members)


def quorum_of(membership: Membership) -> Quorum:
    """What counts under a membership."""
    return Quorum(voters_of(membership), frozenset(membership.outgoing_voters))


def joint_change(old: Membership, new: Membership) -> Membership:
    """The joint membership that leads from `old` to `new`: members that only `old` has stay as learners."""
    joint = Membership()
    joint.CopyFrom(new)
    kept = members_of(new)
    for member in old.members:
        if member.id not in kept:
            joint.members.add().CopyFrom(member)
            joint.members[-1].voter = False
    joint.outgoing_voters.extend(sorted(voters_of(old)))
    return joint


def without_outgoing(joint: Membership) -> Membership:
    """The membership that ends a joint change."""
    final = Membership()
    final.CopyFrom(joint)
    final.ClearField("outgoing_voters")
    return final


def check_change(old: Membership, new: Membership) -> None:
    """Raise MembershipChangeError unless quorums of both always overlap and each voter has a place.

    A joint membership may follow, or one of which one voter differs. The leader itself ends a joint change.
    """
    if old.outgoing_voters:
        raise MembershipChangeError("a joint change is under way", step=CHANGE_STEP)
    ids = [member.id for member in new.members]
    if 0 in ids or len(set(ids)) != len(ids):
        raise MembershipChangeError("an id is zero or given twice", step=CHANGE_STEP)
    if not voters_of(new):
        raise MembershipChangeError("no voter is left", step=CHANGE_STEP)
    if len(voters_of(new)) > max(new.target_voters, len(voters_of(old))):
        raise MembershipChangeError("there are more voters than places", step=CHANGE_STEP)
    outgoing = frozenset(new.outgoing_voters)
    if outgoing and (outgoing != voters_of(old) or not outgoing <= members_of(new)):
        raise MembershipChangeError("the outgoing voters are not those in force", step=CHANGE_STEP)
    if not outgoing and len(voters_of(old) ^ voters_of(new)) > 1:
        raise MembershipChangeError("more than one voter differs", step=CHANGE_STEP)


@dataclass(frozen=True, slots=True)
class MembershipAt:
    """A membership and the index of its entry, or of the snapshot that holds it."""

    index: int
    membership: Membership
    quorum: Quorum


def membership_at(index: int, membership: Membership) -> MembershipAt:
    """Build a record with its quorum."""
    return MembershipAt(index, membership, quorum_of(membership))


class MembershipHistory:
    """The snapshot's membership and those of entries behind it. The last is in force, committed or not."""

    def __init__(self, index: int, membership: Membership) -> None:
        self._records = [membership_at(index, membership)]

    @property
    def current(self) -> MembershipAt:
        """The membership in force."""
        return self._records[-1]

    def at(self, index: int) -> Membership:
        """The membership that was in force at `index`, which is not before the snapshot."""
        return next(record.membership for record in reversed(self._records) if record.index <= index)

    def since(self, index: int) -> list[Quorum]:
        """The quorums of the membership that was in force at `index` and of all behind it."""
        behind = [record.quorum for record in self._records if record.index > index]
        return [quorum_of(self.at(index)), *behind]

    def append(self, entries: Iterable[Entry]) -> None:
        """Note the memberships among new entries."""
        for entry in entries:
            if entry.kind == MEMBERSHIP:
                self._records.append(membership_at(entry.index, Membership.FromString(entry.payload)))

    def truncate(self, first_index: int) -> None:
        """Roll back what entries from `first_index` on had changed."""
        while self._records[-1].index >= first_index and len(self._records) > 1:
            self._records.pop()

    def compact(self, index: int) -> None:
        """Forget what was replaced up to `index`."""
        while len(self._records) > 1 and self._records[1].index <= index:
            self._records.pop(0)
