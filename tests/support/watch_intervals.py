"""Measures how soon a scheduler retries the watch on discovery."""

from __future__ import annotations

from scheduler_rig import Rig, of

from mallowbeam.storage_gateway.scheduler.interface import WatchNodes


def ask(rig: Rig) -> float:
    """Returns the seconds until the scheduler requests a watch."""
    began = rig.now
    while not of(rig.wait(rig.timer - rig.now), WatchNodes):
        pass
    return rig.now - began
