"""Carries out what the shares' core returns; it decides nothing itself.

`propose` puts an entry into the log, `allot` lets an allotment take effect in the scheduler; the subsystem
provides both and calls in here. A request is reported (`observed`) before the scheduler decides on it, so
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
        """The log has committed an entry of the shares."""
        self._carry_out(self.core.committed(committed, now))

    def lease_renewed(self, proposed_at: float, now: float) -> None:
        """A heartbeat of this incarnation, proposed at that time, was committed."""
        self._carry_out(self.core.lease_renewed(proposed_at, now))

    def tick(self, now: float, is_leader: bool = False) -> None:
        """Time has passed; `is_leader` as far as this member knows."""
        self.core.is_leader = is_leader
        self._carry_out(self.core.tick(now))

    def observed(self, tenant: str, node: str, units: float, now: float) -> None:
        """A tenant's request that belongs to a node has arrived; before it is decided on."""
        self._carry_out(self.core.observed(tenant, node, units, now))

    def node_changed(self, node: str, lost: bool, now: float) -> None:
        """Discovery has lost a node, or has it again."""
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
