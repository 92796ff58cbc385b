"""The fleet's demand on each stage: sums of the latest reports of gateways, or of members.

Every gateway reports to its member once a second, and every member reports the sum over its gateways to the
others, so that each member knows the whole fleet's demand.  The size does not grow with gateways times
instances: a source has one entry for each service.
"""

from __future__ import annotations

from collections.abc import Iterable

from mallowbeam.router.registry.latest_reports import LatestReports
from mallowbeam.router.rpc.messages_pb2 import StageDemand

DEMAND_LIFETIME_S = 3.0  # seconds for which a source's report counts without a newer one
MAX_BACKENDS_PER_SOURCE = 64  # services in one source's report; further ones are ignored
SUMMED_FIELDS = (
    "reading",
    "read_tokens",
    "done_tokens",
    "spilled_tokens",
    "direct_tokens",
    "decoding",
    "generated",
    "first_tokens",
)
MAX_VALUE = 1e12  # larger values, negative ones and NaN count as 0


class DemandTable(LatestReports[StageDemand]):
    """The latest report of each source; it expires after DEMAND_LIFETIME_S."""

    def __init__(self) -> None:
        super().__init__(DEMAND_LIFETIME_S, MAX_BACKENDS_PER_SOURCE)

    def sums(self, now: float) -> dict[str, StageDemand]:
        """Return, by service, the sum over all unexpired reports."""
        return sum_demands(self.fresh(now))


def sum_demands(demands: Iterable[StageDemand]) -> dict[str, StageDemand]:
    """Return the sums by service, as new messages."""
    sums: dict[str, StageDemand] = {}
    for demand in demands:
        total = sums.get(demand.backend)
        if total is None:
            total = sums[demand.backend] = StageDemand(backend=demand.backend)
        for name in SUMMED_FIELDS:
            setattr(total, name, getattr(total, name) + _valid_or_zero(getattr(demand, name)))
    return sums


def _valid_or_zero(value: float) -> float:
    """Return the value, or 0 if it is negative, NaN or above MAX_VALUE."""
    return value if 0.0 <= value <= MAX_VALUE else 0.0
