"""What a fleet's requests ask of each stage: sums of what gateways, or members, told of late.

Every gateway tells its member once a second, every member tells the others the sum over its gateways, so that
each member knows the whole fleet's demand.  Nothing here grows with gateways times instances: a source costs
one entry for each service.
"""

from __future__ import annotations

from collections.abc import Iterable

from mallowbeam.router.registry.latest_reports import LatestReports
from mallowbeam.router.rpc.messages_pb2 import StageDemand

DEMAND_LIFETIME_S = 3.0  # how long a source's word holds without a new one
MOST_BACKENDS = 64  # services that one source may tell of; further ones are left out
MEASURES = (
    "reading",
    "read_tokens",
    "done_tokens",
    "spilled_tokens",
    "direct_tokens",
    "decoding",
    "generated",
    "first_tokens",
)
MOST_VALUE = 1e12  # what is larger, negative or no number counts as 0


class DemandTable(LatestReports[StageDemand]):
    """What each source told last; one that is silent is counted for DEMAND_LIFETIME_S."""

    def __init__(self) -> None:
        super().__init__(DEMAND_LIFETIME_S, MOST_BACKENDS)

    def sums(self, now: float) -> dict[str, StageDemand]:
        """By service, the sum over all sources heard of late."""
        return add_up(self.fresh(now))


def add_up(demands: Iterable[StageDemand]) -> dict[str, StageDemand]:
    """Sums by service, as new messages."""
    sums: dict[str, StageDemand] = {}
    for demand in demands:
        total = sums.get(demand.backend)
        if total is None:
            total = sums[demand.backend] = StageDemand(backend=demand.backend)
        for name in MEASURES:
            setattr(total, name, getattr(total, name) + _sound(getattr(demand, name)))
    return sums


def _sound(value: float) -> float:
    """A value that sums can bear."""
    return value if 0.0 <= value <= MOST_VALUE else 0.0
