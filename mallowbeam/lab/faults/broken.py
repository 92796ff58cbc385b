"""Gateways broken on purpose, so that checkers can be shown able to fail: `python -m ... HOW serve`.

`deaf`: a gateway that hears of a drain, says so, and goes on sending.  `hasty`: gateways for which no limit
holds, not on machines at once, not on capacity, not on the majority; all gateways must have it, as they would
part otherwise.  `deaf+hasty` is both.  Nothing of the program knows this module.
"""

from __future__ import annotations

import sys
from collections.abc import Callable

from mallowbeam.storage_gateway.coordination.maintenance import selection, subsystem
from mallowbeam.storage_gateway.coordination.maintenance.actions import Action, Drain


def deaf() -> None:
    """Drains are told, and not done."""
    done = subsystem.MaintenanceSubsystem._execute

    def _execute(self: subsystem.MaintenanceSubsystem, actions: list[Action]) -> None:
        done(self, [action for action in actions if not isinstance(action, Drain)])

    subsystem.MaintenanceSubsystem._execute = _execute  # type: ignore[method-assign]


def hasty() -> None:
    """Any machine may go at any time."""
    made = selection.MachineSelector.__init__

    def __init__(self: selection.MachineSelector, members: tuple[str, ...], constraints: object = ()) -> None:
        made(self, members, ())

    selection.MachineSelector.__init__ = __init__  # type: ignore[method-assign]


HOW: dict[str, Callable[[], None]] = {"deaf": deaf, "hasty": hasty}


if __name__ == "__main__":
    for how in sys.argv.pop(1).split("+"):
        HOW[how]()
    from mallowbeam.__main__ import main

    sys.exit(main())
