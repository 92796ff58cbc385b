"""Who votes, what a majority is, and the memberships that a log holds."""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from dataclasses import dataclass

from mallowbeam.consensus.errors import MembershipChangeError
from mallowbeam.rpc.messages_pb2 import MEMBERSHIP, Entry, Membership

CHANGE_STEP = "change membership"


def voters_of(membership: Membership) -> frozenset[int]:
    """Ids of the members that vote and count."""
    return frozenset(member.id for member in membership.members if member.voter)


def members_of(membership: Membership) -> frozenset[int]:
    """Ids of all members, learners too."""
    return frozenset(member.id for member in membership.members)


def majority_of(count: int) -> int:
    """The least number that is more than half of `count`."""
    return count // 2 + 1


def reached_by_majority(values: Sequence[float]) -> float:
    """The greatest value that a majority has reached; `values` has one for each voter, and at least one."""
    return sorted(values, reverse=True)[majority_of(len(values)) - 1]


def check_change(old: Membership, new: Membership) -> None:
    """Raise MembershipChangeError unless majorities of `old` and `new` always overlap."""
    ids = [member.id for member in new.members]
    if 0 in ids or len(set(ids)) != len(ids):
        raise MembershipChangeError("an id is zero or given twice", step=CHANGE_STEP)
    if not voters_of(new):
        raise MembershipChangeError("no voter is left", step=CHANGE_STEP)
    if len(voters_of(old) ^ voters_of(new)) > 1:
        raise MembershipChangeError("more than one voter differs", step=CHANGE_STEP)


@dataclass(frozen=True, slots=True)
class MembershipAt:
    """A membership and the index of its entry, or of the snapshot that holds it."""

    index: int
    membership: Membership
    voters: frozenset[int]


def membership_at(index: int, membership: Membership) -> MembershipAt:
    """Build a record with its voters."""
    return MembershipAt(index, membership, voters_of(membership))


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
