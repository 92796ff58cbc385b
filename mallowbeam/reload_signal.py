"""SIGHUP before the gateway listens for it: what a start sees to before all else is loaded."""

from __future__ import annotations

import signal


def hold_hangups() -> list[int]:
    """Keep SIGHUPs for the gateway: each that comes is put into the list.

    Guards a start against the signal's default action, which ends the program, and against a word that is
    lost: the file that it speaks of may have been read just before.
    """
    came: list[int] = []
    signal.signal(signal.SIGHUP, lambda number, _: came.append(number))
    return came
