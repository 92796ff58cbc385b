"""An upper bound on the age of a leader's append, derived from the heartbeat round that it echoes.

In each append a leader echoes its latest round that the recipient has answered.  The leader must have built
the append after receiving that answer, so the append is not older than the time at which this member
processed the round.  Unlike the time of arrival, this bound holds on a path that delays all messages, for
however long.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass
from math import inf

MAX_ROUNDS = 1024  # rounds remembered; an echo of an older round gives no bound


@dataclass(frozen=True, slots=True)
class _ProcessedRound:
    """A round and the time in seconds at which this member processed its first message."""

    number: int
    processed_at: float


class RoundEcho:
    """The latest rounds of one leader that this member has processed, oldest first."""

    def __init__(self) -> None:
        self._term = 0
        self._rounds: deque[_ProcessedRound] = deque(maxlen=MAX_ROUNDS)
        self._leader_echoes = False  # whether this term's leader echoes rounds; earlier versions do not

    def record_processed(self, term: int, number: int, now: float) -> None:
        """Record that a message of a round was processed; only the first message of each round counts."""
        if term != self._term:
            self._term = term
            self._rounds.clear()
            self._leader_echoes = False
        if not self._rounds or number > self._rounds[-1].number:
            self._rounds.append(_ProcessedRound(number, now))

    def built_after(self, answered_round: int, now: float) -> float:
        """Return the time in seconds after which an append with this echo was built; -inf if unknown.

        For a leader that does not echo this is `now`: its appends count as built when they arrive, and the
        caller must bound their age in another way.
        """
        if answered_round == 0:
            return -inf if self._leader_echoes else now
        self._leader_echoes = True
        processing_times = (
            processed_round.processed_at
            for processed_round in reversed(self._rounds)
            if processed_round.number <= answered_round
        )
        return next(processing_times, -inf)
