"""What the buffer's decisions ask for: typed actions, and the queue that hands them over."""

from __future__ import annotations

from collections.abc import Iterable
from typing import NamedTuple

SETTLE_MOST = 256  # writes told settled in one record


class Send(NamedTuple):
    """Send a write; `seen` is the version read back: "" for none, None where no condition goes along."""

    lsn: int
    expires: float
    seen: str | None


class ReadBack(NamedTuple):
    """Ask a write's node which version it has."""

    lsn: int
    expires: float


class Intend(NamedTuple):
    """Make it durable that these go out; then say `intended`."""

    lsns: list[int]


class Settle(NamedTuple):
    """Make it durable, soon, that these are settled; then say `settled`."""

    lsns: list[int]


class Hold(NamedTuple):
    """Make it durable that a write is held (without a reason: no longer), and tell the operator."""

    lsn: int
    reason: str


class Passed(NamedTuple):
    """All that came before a barrier is on the nodes."""

    lsn: int


class Move(NamedTuple):
    """Copy writes and barriers on to the log's end; then say `moved` of each."""

    lsns: list[int]


class Remove(NamedTuple):
    """Take segments away: nothing needs them any more."""

    segments: list[int]


Action = Send | ReadBack | Intend | Settle | Hold | Passed | Move | Remove


class ActionQueue:
    """Actions in the order in which they are to be done; settlements are collected and come last."""

    def __init__(self) -> None:
        self._actions: list[Action] = []
        self._settling: list[int] = []

    def add(self, action: Action) -> None:
        """Ask for an action."""
        self._actions.append(action)

    def settle(self, lsns: Iterable[int]) -> None:
        """Ask that it is made durable that these writes are settled."""
        self._settling.extend(lsns)

    def take(self) -> list[Action]:
        """All that was asked for since the last call."""
        for start in range(0, len(self._settling), SETTLE_MOST):
            self._actions.append(Settle(self._settling[start : start + SETTLE_MOST]))
        self._settling = []
        actions, self._actions = self._actions, []
        return actions
