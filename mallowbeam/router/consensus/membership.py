"""Memberships of the group: the ones in the log and the rules for changing them.

A membership takes effect when its entry is appended, not when it is committed (Raft §6, thesis 4.1).
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

from mallowbeam.router.consensus.errors import MembershipChangeError
from mallowbeam.router.consensus.quorum import Quorum
from mallowbeam.router.rpc.messages_pb2 import MEMBERSHIP, Entry, Membership

CHANGE_STEP = "change membership"


def voters_of(membership: Membership) -> frozenset[int]:
    """Return the ids of the incoming voters."""
    return frozenset(member.id for member in membership.members if member.voter)


def members_of(membership: Membership) -> frozenset[int]:
    """Return the ids of all members, including learners."""
    return frozenset(member.id for member in membership.members)


def quorum_of(membership: Membership) -> Quorum:
    """Return the quorum rule of a membership."""
    return Quorum(voters_of(membership), frozenset(membership.outgoing_voters))


def joint_change(old: Membership, new: Membership) -> Membership:
    """Return the joint membership between `old` and `new`; members that only `old` has become learners."""
    joint = Membership()
    joint.CopyFrom(new)
    remaining = members_of(new)
    for member in old.members:
        if member.id not in remaining:
            joint.members.add().CopyFrom(member)
            joint.members[-1].voter = False
    joint.outgoing_voters.extend(sorted(voters_of(old)))
    return joint


def without_outgoing(joint: Membership) -> Membership:
    """Return the membership that ends a joint change."""
    final = Membership()
    final.CopyFrom(joint)
    final.ClearField("outgoing_voters")
    return final


def check_change(old: Membership, new: Membership) -> None:
    """Check that every quorum of `old` intersects every quorum of `new` and that the target size is kept.

    `new` may be a joint membership, or differ from `old` in one voter (thesis 4.1).  The leader itself
    appends the end of a joint change, which is not checked here.

    Raises:
        MembershipChangeError: the change is not allowed.
    """
    if old.outgoing_voters:
        raise MembershipChangeError("a joint change is in progress", step=CHANGE_STEP)
    _check_members(new)
    if len(voters_of(new)) > max(new.target_voters, len(voters_of(old))):
        raise MembershipChangeError("there are more voters than the target allows", step=CHANGE_STEP)
    _check_quorums_intersect(old, new)


def _check_members(membership: Membership) -> None:
    ids = [member.id for member in membership.members]
    if 0 in ids or len(set(ids)) != len(ids):
        raise MembershipChangeError("a member id is zero or duplicated", step=CHANGE_STEP)
    if not voters_of(membership):
        raise MembershipChangeError("the membership has no voter", step=CHANGE_STEP)


def _check_quorums_intersect(old: Membership, new: Membership) -> None:
    outgoing = frozenset(new.outgoing_voters)
    if outgoing and (outgoing != voters_of(old) or not outgoing <= members_of(new)):
        raise MembershipChangeError(
            "the outgoing voters are not the current voters or do not all remain members", step=CHANGE_STEP
        )
    if not outgoing and len(voters_of(old) ^ voters_of(new)) > 1:
        raise MembershipChangeError("more than one voter differs", step=CHANGE_STEP)


@dataclass(frozen=True, slots=True)
class MembershipRecord:
    """A membership with the index of its entry, or of the snapshot that contains it."""

    index: int
    membership: Membership
    quorum: Quorum


def membership_record(index: int, membership: Membership) -> MembershipRecord:
    """Build a record with the membership's quorum rule."""
    return MembershipRecord(index, membership, quorum_of(membership))


class MembershipHistory:
    """Memberships of the snapshot and of the entries after it; the last one is in force."""

    def __init__(self, index: int, membership: Membership) -> None:
        self._records = [membership_record(index, membership)]

    @property
    def current(self) -> MembershipRecord:
        """The membership in force, committed or not."""
        return self._records[-1]

    def at(self, index: int) -> Membership:
        """Return the membership that was in force at `index`, which is not before the snapshot."""
        return next(record.membership for record in reversed(self._records) if record.index <= index)

    def since(self, index: int) -> list[Quorum]:
        """Return the quorum rules of the membership in force at `index` and of all later ones."""
        later = [record.quorum for record in self._records if record.index > index]
        return [quorum_of(self.at(index)), *later]

    def append(self, entries: Iterable[Entry]) -> None:
        """Add the memberships among newly appended entries."""
        for entry in entries:
            if entry.kind == MEMBERSHIP:
                self._records.append(membership_record(entry.index, Membership.FromString(entry.payload)))

    def truncate(self, first_index: int) -> None:
        """Roll back memberships of entries from `first_index` on."""
        while self._records[-1].index >= first_index and len(self._records) > 1:
            self._records.pop()

    def compact(self, index: int) -> None:
        """Drop memberships that were replaced at or before `index`."""
        while len(self._records) > 1 and self._records[1].index <= index:
            self._records.pop(0)
