"""Instances that took an order to change their stage and have not reported the new one yet: soft state.

Kept apart from the heartbeats' details, because a heartbeat that another member heard carries no word of it.
"""

from __future__ import annotations

from dataclasses import dataclass

from mallowbeam.router.rpc.messages_pb2 import StageSwitch


@dataclass(frozen=True, slots=True)
class _Switch:
    """The stage that is waited for, until a steady time in seconds."""

    stage: str
    until: float


class StageSwitches:
    """The switches that are under way, by instance id. They end with the report of the stage, or by time."""

    def __init__(self) -> None:
        self._switches: dict[str, _Switch] = {}
        self._to_announce: dict[str, None] = {}

    def begin(self, id: str, stage: str, until: float, announce: bool = False) -> bool:
        """Note a switch; True where it is news. With `announce`, the other members are to be told."""
        known = self._switches.get(id)
        if known is not None and known.stage == stage:
            return False
        self._switches[id] = _Switch(stage, until)
        if announce:
            self._to_announce[id] = None
        return True

    def target(self, id: str) -> str:
        """The stage that the instance changes to; empty where it does not."""
        known = self._switches.get(id)
        return known.stage if known is not None else ""

    def reported(self, id: str, stage: str) -> None:
        """The instance says which stage it has."""
        if self.target(id) == stage:
            self._switches.pop(id, None)

    def drop(self, id: str) -> None:
        """Forget an instance."""
        self._switches.pop(id, None)

    def expire(self, now: float) -> list[str]:
        """Drop what was waited for too long; the ids."""
        late = [id for id, switch in self._switches.items() if now >= switch.until]
        for id in late:
            del self._switches[id]
        return late

    def announced(self, now: float) -> list[StageSwitch]:
        """What the other members are to be told since the last call."""
        ids = [id for id in self._to_announce if id in self._switches]
        self._to_announce.clear()
        return [self._message(id, now) for id in ids]

    def messages(self, now: float) -> list[StageSwitch]:
        """All switches, for a member that asks for the whole table."""
        return [self._message(id, now) for id in self._switches]

    def _message(self, id: str, now: float) -> StageSwitch:
        known = self._switches[id]
        return StageSwitch(id=id, stage=known.stage, left_ms=max(0, round((known.until - now) * 1000)))
