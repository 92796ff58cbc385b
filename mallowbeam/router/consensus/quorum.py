"""Quorum rules of simple majorities and of joint consensus (thesis 4.3).

Outside a joint configuration there is one set of voters, the incoming one.  A joint configuration has two,
and each decision needs a majority of both.  A quorum of the joint configuration therefore
intersects every quorum of the configuration before it and every quorum of the one after it.
"""

from __future__ import annotations

from collections.abc import Callable, Container, Mapping
from dataclasses import dataclass


def majority_of(count: int) -> int:
    """Return the size of the smallest majority of `count` voters."""
    return count // 2 + 1


@dataclass(frozen=True, slots=True)
class Quorum:
    """Voter ids of one membership; `outgoing` is empty outside joint consensus."""

    incoming: frozenset[int]
    outgoing: frozenset[int] = frozenset()

    @property
    def is_joint(self) -> bool:
        """Whether this is a joint configuration."""
        return bool(self.outgoing)

    @property
    def voters(self) -> frozenset[int]:
        """Voters of either set."""
        return self.incoming | self.outgoing

    def majority_value(self, value_of: Callable[[int], float]) -> float:
        """Return the greatest value that a majority of each set has reached.

        With match indexes as values this is the index that may be committed (Raft §5.3).
        """
        return min(_majority_value(voters, value_of) for voters in self._sets)

    def is_won(self, votes: Mapping[int, bool]) -> bool:
        """Return whether a majority of each set has granted its vote; absent voters have not responded."""
        return all(_count(voters, votes, True) >= majority_of(len(voters)) for voters in self._sets)

    def is_lost(self, votes: Mapping[int, bool]) -> bool:
        """Return whether so many votes are rejected that the election can no longer be won."""
        return any(
            _count(voters, votes, False) > len(voters) - majority_of(len(voters)) for voters in self._sets
        )

    def is_quorum(self, members: Container[int]) -> bool:
        """Return whether `members` contain a majority of each set."""
        return self.is_won({voter: voter in members for voter in self.voters})

    @property
    def _sets(self) -> tuple[frozenset[int], ...]:
        return (self.incoming, self.outgoing) if self.outgoing else (self.incoming,)


def _majority_value(voters: frozenset[int], value_of: Callable[[int], float]) -> float:
    values = sorted((value_of(voter) for voter in voters), reverse=True)
    return values[majority_of(len(values)) - 1]


def _count(voters: frozenset[int], votes: Mapping[int, bool], vote: bool) -> int:
    return sum(votes.get(voter) is vote for voter in voters)
