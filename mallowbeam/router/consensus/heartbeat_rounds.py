"""Numbered heartbeat rounds of one leader, which confirm its leadership (thesis 6.4)."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass
from math import inf


@dataclass(frozen=True, slots=True)
class HeartbeatRound:
    """A round and the time in seconds at which it started."""

    number: int
    started_at: float


class HeartbeatRounds:
    """The rounds that a majority has not acknowledged yet, and the last one that it has."""

    def __init__(self) -> None:
        self.number = 0  # of the latest round
        self.unsent = False  # the latest round has not been sent
        self.confirmed = 0  # the highest round that a majority has acknowledged
        self.confirmed_started_at = -inf  # start time of that round
        self._pending: deque[HeartbeatRound] = deque()

    def begin(self, now: float) -> None:
        """Begin a round, which is sent with the next output."""
        self.number += 1
        self._pending.append(HeartbeatRound(self.number, now))
        self.unsent = True

    def confirm(self, number: int) -> None:
        """Record that a majority has acknowledged all rounds up to `number`."""
        self.confirmed = max(self.confirmed, number)
        while self._pending and self._pending[0].number <= self.confirmed:
            self.confirmed_started_at = self._pending.popleft().started_at
