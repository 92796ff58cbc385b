"""Gateways with a defect injected on purpose, to show that the checkers can fail.

`python -m mallowbeam.lab.faults.broken DEFECT[+DEFECT] serve ...` starts one.  `deaf` acknowledges drains and
ignores them.  `hasty` ignores all constraints of a drain: on machines at once, on capacity, on the quorum;
all gateways of a fleet must have it, or their states diverge.  Nothing else imports this module.
"""

from __future__ import annotations

import sys
from collections.abc import Callable

from mallowbeam.storage_gateway.coordination.maintenance import selection, subsystem
from mallowbeam.storage_gateway.coordination.maintenance.actions import Action, Drain


def ignore_drains() -> None:
    """Acknowledge drains without executing them."""
    original = subsystem.MaintenanceSubsystem._execute

    def _execute(self: subsystem.MaintenanceSubsystem, actions: list[Action]) -> None:
        original(self, [action for action in actions if not isinstance(action, Drain)])

    subsystem.MaintenanceSubsystem._execute = _execute  # type: ignore[method-assign]


def ignore_constraints() -> None:
    """Let any machine go out at any time."""
    original = selection.MachineSelector.__init__

    def unconstrained(
        self: selection.MachineSelector, members: tuple[str, ...], constraints: object = ()
    ) -> None:
        original(self, members, ())

    selection.MachineSelector.__init__ = unconstrained  # type: ignore[method-assign]


DEFECTS: dict[str, Callable[[], None]] = {"deaf": ignore_drains, "hasty": ignore_constraints}


if __name__ == "__main__":
    for defect in sys.argv.pop(1).split("+"):
        DEFECTS[defect]()
    from mallowbeam.__main__ import main

    sys.exit(main())
