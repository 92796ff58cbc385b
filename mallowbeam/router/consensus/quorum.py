"""Who votes and what a quorum is, also while a joint change is under way.

Outside a joint change there is one set of voters, the incoming ones. During a joint change (joint consensus)
there are two, and whatever counts needs a majority of each: so a quorum of the joint membership overlaps with
each of the membership before it and with each of the one after it.
"""

from __future__ import annotations

from collections.abc import Callable, Container, Mapping
from dataclasses import dataclass


def majority_of(count: int) -> int:
    """The least number that is more than half of `count`."""
    return count // 2 + 1


@dataclass(frozen=True, slots=True)
class Quorum:
    """The voters of one membership by their ids; `outgoing` is empty outside a joint change."""

    incoming: frozenset[int]
    outgoing: frozenset[int] = frozenset()

    @property
    def joint(self) -> bool:
        """Whether a joint change is under way."""
        return bool(self.outgoing)

    @property
    def all(self) -> frozenset[int]:
        """All that vote, in either set."""
        return self.incoming | self.outgoing

    def reached(self, of: Callable[[int], float]) -> float:
        """The greatest value that a majority of each set has reached; `of` tells a voter's value."""
        return min(_reached(voters, of) for voters in self._sets)

    def granted(self, votes: Mapping[int, bool]) -> bool:
        """Whether a majority of each set has granted its vote; voters without an entry have not answered."""
        return all(_count(voters, votes, True) >= majority_of(len(voters)) for voters in self._sets)

    def refused(self, votes: Mapping[int, bool]) -> bool:
        """Whether so many have refused that the votes can no longer be granted."""
        return any(
            _count(voters, votes, False) > len(voters) - majority_of(len(voters)) for voters in self._sets
        )

    def within(self, members: Container[int]) -> bool:
        """Whether `members` hold a majority of each set."""
        return self.granted({voter: voter in members for voter in self.all})

    @property
    def _sets(self) -> tuple[frozenset[int], ...]:
        return (self.incoming, self.outgoing) if self.outgoing else (self.incoming,)


def _reached(voters: frozenset[int], of: Callable[[int], float]) -> float:
    values = sorted((of(voter) for voter in voters), reverse=True)
    return values[majority_of(len(values)) - 1]


def _count(voters: frozenset[int], votes: Mapping[int, bool], vote: bool) -> int:
    return sum(votes.get(voter) is vote for voter in voters)
