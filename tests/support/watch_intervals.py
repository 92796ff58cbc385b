"""How soon a scheduler asks discovery again."""

from __future__ import annotations

from scheduler_rig import Rig, of

from mallowbeam.storage_gateway.scheduler.interface import WatchNodes


def ask(rig: Rig) -> float:
    """Seconds until the scheduler asks again."""
    began = rig.now
    while not of(rig.wait(rig.timer - rig.now), WatchNodes):
        pass
    return rig.now - began
