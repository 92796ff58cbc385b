"""How old a leader's message may be, by the round that it says this member has answered.

A leader echoes in each append the last of its rounds that the recipient has answered. It can have built that
append only after the answer, so the append is not older than the moment at which the round was processed
here. Unlike the time of arrival this holds behind a path that delays everything, for however long.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass
from math import inf

MAX_ROUNDS = 1024  # remembered; an echo of an older one proves nothing


@dataclass(frozen=True, slots=True)
class _ProcessedRound:
    """A round, and the time in seconds at which its first message was processed here."""

    number: int
    at: float


class RoundEcho:
    """The latest rounds of one leader that this member has processed."""

    def __init__(self) -> None:
        self._term = 0
        self._rounds: deque[_ProcessedRound] = deque(maxlen=MAX_ROUNDS)
        self._echoed = False  # the leader of this term echoes: one of an earlier version does not

    def processed(self, term: int, number: int, now: float) -> None:
        """Record that a message of a round is processed; only the first one of each counts."""
        if term != self._term:
            self._term = term
            self._rounds.clear()
            self._echoed = False
        if not self._rounds or number > self._rounds[-1].number:
            self._rounds.append(_ProcessedRound(number, now))

    def built_after(self, answered_round: int, now: float) -> float:
        """The time in seconds after which an append with this echo was built; minus infinity if unknown.

        `now` for a leader that does not echo: what its appends prove must be known otherwise.
        """
        if answered_round == 0:
            return -inf if self._echoed else now
        self._echoed = True
        proven = (one.at for one in reversed(self._rounds) if one.number <= answered_round)
        return next(proven, -inf)
