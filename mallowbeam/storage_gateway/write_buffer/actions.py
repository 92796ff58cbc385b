"""The actions that the buffer's core requests, and the queue that hands them over."""

from __future__ import annotations

from collections.abc import Iterable
from typing import NamedTuple

MAX_DONE_PER_ACTION = 256  # writes in one `RecordDone`


class Send(NamedTuple):
    """Send a write to its node, within `timeout_s` seconds.

    The attempt is conditional on `expected_version`, the version read back: "" for no object, None where the
    attempt is unconditional.
    """

    lsn: int
    timeout_s: float
    expected_version: str | None


class ReadBack(NamedTuple):
    """Read, within `timeout_s` seconds, which version a write's node has."""

    lsn: int
    timeout_s: float


class Intend(NamedTuple):
    """Record durably that these writes are about to be sent; then call `Core.intent_durable`."""

    lsns: list[int]


class RecordDone(NamedTuple):
    """Record durably, with a short delay, that these writes are done; then call `Core.done_durable`."""

    lsns: list[int]


class Suspend(NamedTuple):
    """Record durably that a write is suspended (resumed, if `reason` is empty), and warn the operator."""

    lsn: int
    reason: str


class BarrierPassed(NamedTuple):
    """All writes before a barrier are on the nodes."""

    lsn: int


class Relocate(NamedTuple):
    """Copy writes and barriers to the end of the log; then call `Core.relocated` for each."""

    lsns: list[int]


class Remove(NamedTuple):
    """Remove segments that are no longer needed."""

    segments: list[int]


Action = Send | ReadBack | Intend | RecordDone | Suspend | BarrierPassed | Relocate | Remove


class ActionQueue:
    """Actions in the order of execution; records of done writes are batched and come last."""

    def __init__(self) -> None:
        self._actions: list[Action] = []
        self._done: list[int] = []

    def add(self, action: Action) -> None:
        """Append an action."""
        self._actions.append(action)

    def record_done(self, lsns: Iterable[int]) -> None:
        """Request a durable record that these writes are done."""
        self._done.extend(lsns)

    def take(self) -> list[Action]:
        """Return the actions requested since the last call."""
        for start in range(0, len(self._done), MAX_DONE_PER_ACTION):
            self._actions.append(RecordDone(self._done[start : start + MAX_DONE_PER_ACTION]))
        self._done = []
        actions = self._actions
        self._actions = []
        return actions
