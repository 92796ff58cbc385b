"""The shares' core joined to the log and the gateway: hands on what the core returns, decides nothing.

`propose` puts an entry into the log, `allotted` lets an allotment take hold in the module; both come from the
fleet's service, which also calls in here.  A request is told of (`observed`) before the module decides on it,
so that a gateway that stood still has dropped its old allotments by then.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence

from mallowbeam.storage_gateway.coordination.replicated_log import Committed, Entry
from mallowbeam.storage_gateway.coordination.shares.gateway_core import (
    Action,
    Allot,
    Propose,
    SharesCore,
    Times,
)
from mallowbeam.storage_gateway.coordination.shares.state_machine import SharesState

Proposes = Callable[[Entry], object]
Allotted = Callable[[str, str, float, float], None]  # tenant, node, units a second, our part of them


class Shares:
    """One gateway's part in the shares."""

    def __init__(
        self,
        me: str,
        gateways: Sequence[str],
        state: SharesState,
        now: float,
        propose: Proposes,
        allotted: Allotted,
        times: Times | None = None,
    ) -> None:
        self.core = SharesCore(me, tuple(sorted(gateways)), state, now, times or Times())
        self.propose, self.allotted = propose, allotted

    def committed(self, told: Committed, now: float) -> None:
        """The log has committed an entry of this topic."""
        self._do(self.core.committed(told, now))

    def lease_renewed(self, proposed_at: float, now: float) -> None:
        """A mark of this life's own came back."""
        self._do(self.core.lease_renewed(proposed_at, now))

    def tick(self, now: float, leads: bool = False) -> None:
        """Time has passed; whether this member leads, as far as it knows."""
        self.core.leads = leads
        self._do(self.core.tick(now))

    def observed(self, volume: str, plan: str, node: str, units: float, now: float) -> None:
        """A request for a volume came in that belongs to a node; before it is decided on."""
        self._do(self.core.observed(volume, node, units, now))

    def node(self, node: str, gone: bool, now: float) -> None:
        """Discovery told of a node."""
        self._do(self.core.node(node, gone, now))

    def describe(self, now: float) -> dict[str, object]:
        """For the page."""
        return self.core.describe(now)

    def _do(self, actions: list[Action]) -> None:
        for action in actions:
            match action:
                case Allot(tenant, node, rate, part):
                    self.allotted(tenant, node, rate, part)
                case Propose(entry):
                    self.propose(entry)
