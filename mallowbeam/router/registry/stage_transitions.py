"""Instances that accepted an order to change their stage but have not reported it yet. Soft state.

It is kept apart from the details of heartbeats, because a heartbeat that another member received lacks it.
"""

from __future__ import annotations

from dataclasses import dataclass

from mallowbeam.router.rpc.messages_pb2 import StageSwitch


@dataclass(frozen=True, slots=True)
class _Transition:
    """The stage to be reported before `deadline`, in seconds of the monotonic clock."""

    stage: str
    deadline: float


class StageTransitions:
    """Transitions in progress by instance id; each ends when the stage is reported, or at its deadline."""

    def __init__(self) -> None:
        """Start without transitions."""
        self._transitions: dict[str, _Transition] = {}
        self._unannounced: dict[str, None] = {}

    def begin(self, id: str, stage: str, deadline: float, announce: bool = False) -> bool:
        """Begin a transition; True if it is new. With `announce`, the next gossip includes it."""
        known = self._transitions.get(id)
        if known is not None and known.stage == stage:
            return False
        self._transitions[id] = _Transition(stage, deadline)
        if announce:
            self._unannounced[id] = None
        return True

    def target(self, id: str) -> str:
        """The stage to which the instance is changing; empty if it is not changing."""
        known = self._transitions.get(id)
        return known.stage if known is not None else ""

    def record_reported_stage(self, id: str, stage: str) -> None:
        """End the transition if the instance reports the awaited stage."""
        if self.target(id) == stage:
            self._transitions.pop(id, None)

    def remove(self, id: str) -> None:
        """Drop the transition of an instance, if it has one."""
        self._transitions.pop(id, None)

    def expire(self, now: float) -> list[str]:
        """End the transitions whose deadline has passed; returns their ids."""
        expired = [id for id, transition in self._transitions.items() if now >= transition.deadline]
        for id in expired:
            del self._transitions[id]
        return expired

    def take_announcements(self, now: float) -> list[StageSwitch]:
        """Return and clear the transitions to announce to all other members."""
        ids = [id for id in self._unannounced if id in self._transitions]
        self._unannounced.clear()
        return [self._message(id, now) for id in ids]

    def messages(self, now: float) -> list[StageSwitch]:
        """All transitions, for a member that requests the complete table."""
        return [self._message(id, now) for id in self._transitions]

    def _message(self, id: str, now: float) -> StageSwitch:
        known = self._transitions[id]
        return StageSwitch(id=id, stage=known.stage, left_ms=max(0, round((known.deadline - now) * 1000)))
