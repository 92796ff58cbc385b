"""Carries out the actions that the shares' core returns; makes no decisions itself.

`propose` proposes an entry to the log, `allot` applies an allotment in the scheduler; the subsystem provides
both and reports its events here. A request is reported (`observed`) before the scheduler decides on it, so
that a process that was stopped has given up its old allotments by then.
"""

from __future__ import annotations

from collections.abc import Callable

from mallowbeam.storage_gateway.coordination.replicated_log import Committed, Entry
from mallowbeam.storage_gateway.coordination.shares.gateway_core import (
    Action,
    Allot,
    Propose,
    SharesCore,
)

ProposeCall = Callable[[Entry], object]
AllotCall = Callable[[str, str, float, float], None]  # tenant, node, units a second, fraction of them


class SharesDriver:
    """One gateway's shares; times are seconds on the monotonic clock."""

    def __init__(self, core: SharesCore, propose: ProposeCall, allot: AllotCall) -> None:
        self.core = core
        self.propose = propose
        self.allot = allot

    def committed(self, committed: Committed, now: float) -> None:
        """Handle a committed entry of the shares."""
        self._carry_out(self.core.committed(committed, now))

    def lease_renewed(self, proposed_at: float, now: float) -> None:
        """Handle a committed heartbeat of this incarnation, proposed at that time."""
        self._carry_out(self.core.lease_renewed(proposed_at, now))

    def tick(self, now: float, is_leader: bool = False) -> None:
        """Do what is due; `is_leader` as far as this member knows."""
        self.core.is_leader = is_leader
        self._carry_out(self.core.tick(now))

    def observed(self, tenant: str, node: str, units: float, now: float) -> None:
        """Count a tenant's request at a node, before the scheduler decides on it."""
        self._carry_out(self.core.observed(tenant, node, units, now))

    def node_changed(self, node: str, lost: bool, now: float) -> None:
        """Handle a node that discovery has lost, or has found again."""
        self._carry_out(self.core.node_changed(node, lost, now))

    def describe(self, now: float) -> dict[str, object]:
        """For the page `/fleet`."""
        return self.core.describe(now)

    def _carry_out(self, actions: list[Action]) -> None:
        for action in actions:
            match action:
                case Allot(tenant, node, rate, fraction):
                    self.allot(tenant, node, rate, fraction)
                case Propose(entry):
                    self.propose(entry)
