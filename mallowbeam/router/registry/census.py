"""How many gateways the whole fleet has, from the counts that members tell each other."""

from __future__ import annotations

from dataclasses import dataclass

from mallowbeam.router.registry.limits import GATEWAY_COUNT_KEPT_S


@dataclass(frozen=True, slots=True)
class _Count:
    """What one member said, and when it was heard."""

    gateways: int
    heard_at: float


class GatewayCensus:
    """The last count of each other member; one that is silent is counted for GATEWAY_COUNT_KEPT_S."""

    def __init__(self, kept_s: float = GATEWAY_COUNT_KEPT_S) -> None:
        self._counts: dict[int, _Count] = {}
        self._kept_s = kept_s

    def heard(self, member: int, gateways: int, now: float) -> None:
        """Take another member's count."""
        self._counts[member] = _Count(gateways, now)

    def lost(self, member: int) -> None:
        """Forget a member whose link ended: its gateways are counted where they go."""
        self._counts.pop(member, None)

    def total(self, own: int, now: float) -> int:
        """Gateways of the fleet: `own` and those of every member heard lately."""
        late = [member for member, count in self._counts.items() if now - count.heard_at > self._kept_s]
        for member in late:
            del self._counts[member]
        return own + sum(count.gateways for count in self._counts.values())
