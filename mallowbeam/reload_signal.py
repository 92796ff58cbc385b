"""SIGHUP during start-up: recorded before other modules are imported, handled once the program serves."""

from __future__ import annotations

import signal


def defer_sighup() -> list[int]:
    """Record SIGHUPs until the program installs its own handler; each one is appended to the returned list.

    Without this, a SIGHUP during start-up would end the program (the default action).  Ignoring it would lose
    a reload: the file to be reloaded may have been read just before.
    """
    deferred: list[int] = []
    signal.signal(signal.SIGHUP, lambda number, _: deferred.append(number))
    return deferred
