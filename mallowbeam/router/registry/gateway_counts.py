"""The number of gateways in the fleet, from the counts that members gossip."""

from __future__ import annotations

from mallowbeam.router.registry.latest_reports import LatestReports
from mallowbeam.router.registry.limits import GATEWAY_COUNT_TTL_S


class GatewayCounts:
    """The last count of each other member; a count expires after a time to live.

    The count of a lost member stays valid until then. Its gateways connect to other members meanwhile, so
    they are counted twice for at most the time to live. They are never undercounted, as they would be if a
    count were dropped as soon as the link between two serving members fails. Too high a count makes each
    gateway's share of a limit smaller; too low a count would let the gateways exceed the limit.
    """

    def __init__(self, ttl_s: float = GATEWAY_COUNT_TTL_S) -> None:
        """Keep each count for `ttl_s` seconds after it was received."""
        self._counts: LatestReports[int] = LatestReports(ttl_s, max_items=1)

    def record(self, member: int, gateways: int, now: float) -> None:
        """Replace another member's count; `now` is in seconds of the monotonic clock."""
        self._counts.record(member, (gateways,), now)

    def total(self, own: int, now: float) -> int:
        """Number of gateways in the fleet: `own` plus the unexpired counts of the other members."""
        return own + sum(self._counts.fresh(now))
