"""Discovery under load, and how soon a scheduler asks it again."""

from __future__ import annotations

from scheduler_rig import Rig, of

from mallowbeam.storage_gateway.scheduler.interface import WatchNodes


class OneQueue:
    """Discovery as one service: calls in turn, `rate` a second, and whoever has waited 2 s is turned away.

    Work on a call is not undone by its caller's patience, as in any queue whose clients give up.
    """

    PATIENCE, ROOM = 2.0, 40

    def __init__(self, rate: float) -> None:
        self.work, self.free_at, self.ends = 1.0 / rate, 0.0, []

    def call(self, now: float) -> tuple[float, bool]:
        """When a call that comes now ends, and whether it was served."""
        self.ends = [end for end in self.ends if end > now]
        if len(self.ends) >= self.ROOM:
            return now, False
        self.free_at = max(self.free_at, now) + self.work
        self.ends.append(self.free_at)
        return min(self.free_at, now + self.PATIENCE), self.free_at <= now + self.PATIENCE


def ask(rig: Rig) -> float:
    """Seconds until the module asks again."""
    began = rig.now
    while not of(rig.wait(rig.timer - rig.now), WatchNodes):
        pass
    return rig.now - began
