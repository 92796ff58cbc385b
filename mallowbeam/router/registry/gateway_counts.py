"""The number of gateways in the fleet, from the counts that members exchange by gossip."""

from __future__ import annotations

from mallowbeam.router.registry.latest_reports import LatestReports
from mallowbeam.router.registry.limits import GATEWAY_COUNT_TTL_S


class GatewayCounts:
    """The last count of each other member; a count expires after a time to live.

    A lost member's count is valid until then: its gateways, which move to other members meanwhile, are
    counted twice for at most the time to live. They are never counted short, as they would be if a count were
    dropped with the link between two members that both serve on. A count that is too high makes each
    gateway's part of a limit smaller; one that is too low would break the limit.
    """

    def __init__(self, ttl_s: float = GATEWAY_COUNT_TTL_S) -> None:
        """Count a member's gateways for `ttl_s` seconds after its last report."""
        self._counts: LatestReports[int] = LatestReports(ttl_s, max_items=1)

    def record(self, member: int, gateways: int, now: float) -> None:
        """Replace another member's count; `now` is in seconds of the monotonic clock."""
        self._counts.record(member, (gateways,), now)

    def total(self, own: int, now: float) -> int:
        """Gateways of the fleet: `own` and the unexpired counts of the other members."""
        return own + sum(self._counts.fresh(now))
