"""SIGHUP during a start: recorded before anything else is loaded, and handled once the program serves."""

from __future__ import annotations

import signal


def defer_sighup() -> list[int]:
    """Record SIGHUPs until the program installs its own handler; each one that arrives is appended.

    Guards a start against the signal's default action, which ends the program, and against a reload that is
    lost: the file to be reloaded may have been read just before.
    """
    deferred: list[int] = []
    signal.signal(signal.SIGHUP, lambda number, _: deferred.append(number))
    return deferred
