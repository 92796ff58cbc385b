"""How one gateway divides its quotas among its flows; pure functions.

Each flow has the rate granted to it by the newest close.  Where the usable quota of a node, a zone or a
tenant's limit is less than the sum of those rates, the flows are scaled down together, so that all sums fit.
Where flows without a granted rate are in demand, the floor is kept free for them, or half of the quota where
that is less.

The part of its rate that a flow does not use now is lent within this gateway to flows that are short, in
proportion to their shortfalls; one `RETAINED_DIVISOR`th part of its rate stays with it, so that its demand is
noticed at once when it comes back.

Rates and quotas are milli-units a second.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping
from dataclasses import dataclass, field

from mallowbeam.storage_gateway.coordination.shares.state_machine import SharesState

RETAINED_DIVISOR = 10  # the divisor of a lent flow's rate that stays with it
Usable = Callable[[str], int]
Link = tuple[int, int, str]  # kind, position among its kind, resource
NODE = 0
ZONE = 1
TENANT = 2
KINDS = (NODE, ZONE, TENANT)  # of links, in the order in which they are fitted


def divide_quota(
    state: SharesState, granted: Mapping[int, int], demand: Mapping[int, int], usable: Usable
) -> dict[int, int]:
    """Rates by flow whose sums fit the usable quotas.

    `granted` has the rates of the newest close, `demand` the current demand here, also of new flows; `usable`
    returns this gateway's quota of a resource.
    """
    if not state.nodes:
        return {}
    division = _Division(state, granted, demand, usable)
    for kind in KINDS:
        division.fit(kind)
    division.redistribute_unused()
    return division.rates


@dataclass(slots=True)
class _Division:
    """One division: the rates so far, and the links that each flow uses."""

    state: SharesState
    granted: Mapping[int, int]
    demand: Mapping[int, int]
    usable: Usable
    links: dict[int, list[Link]] = field(init=False)  # by flow
    quotas: list[dict[int, int]] = field(init=False)  # by kind and position
    rates: dict[int, int] = field(init=False)

    def __post_init__(self) -> None:
        """Start from the granted rates."""
        self.links = _links_of_flows(self.state, {*self.granted, *self.demand})
        self.quotas = [{} for _ in KINDS]
        for links in self.links.values():
            for kind, position, resource in links:
                if position not in self.quotas[kind]:
                    self.quotas[kind][position] = self.usable(resource)
        self.rates = dict(sorted(self.granted.items()))

    def fit(self, kind: int) -> None:
        """Scale the flows of each link of this kind down until their sum fits its quota."""
        oversubscribed = self._oversubscribed(kind)
        if not oversubscribed:
            return
        for flow, rate in self.rates.items():
            for of_kind, position, _ in self.links[flow]:
                if of_kind == kind and position in oversubscribed:
                    quota, total = oversubscribed[position]
                    self.rates[flow] = rate * quota // total

    def _oversubscribed(self, kind: int) -> dict[int, tuple[int, int]]:
        """By position, the quota and the sum of the flows of each link of this kind where the sum is more."""
        sums: dict[int, int] = {}
        resources: dict[int, str] = {}
        for flow, rate in self.rates.items():
            for of_kind, position, resource in self.links[flow]:
                if of_kind == kind:
                    sums[position] = sums.get(position, 0) + rate
                    resources[position] = resource
        with_new_flows = self._links_of_new_flows(kind)
        oversubscribed: dict[int, tuple[int, int]] = {}
        for position, total in sums.items():
            quota = self.quotas[kind][position]
            if position in with_new_flows:
                quota -= min(self.state.floors.get(resources[position], 0), quota // 2)
            if total > quota:
                oversubscribed[position] = (quota, total)
        return oversubscribed

    def _links_of_new_flows(self, kind: int) -> set[int]:
        """The positions of the links of this kind that are used by flows without a granted rate."""
        return {
            position
            for flow, links in self.links.items()
            if flow not in self.granted
            for of_kind, position, _ in links
            if of_kind == kind
        }

    def redistribute_unused(self) -> None:
        """Give flows that are short the unused rates of others on their links, and the remaining quota."""
        shortfalls = {
            flow: wanted - self.rates.get(flow, 0)
            for flow, wanted in self.demand.items()
            if wanted > self.rates.get(flow, 0)
        }
        total_shortfall = self._sums_by_link(shortfalls)
        available = self._reclaim_unused(shortfalls, total_shortfall)
        for flow in sorted(shortfalls):
            shortfall = shortfalls[flow]
            shares = (
                shortfall * available[kind][position] // total_shortfall[kind][position]
                for kind, position, _ in self.links[flow]
            )
            self.rates[flow] = self.rates.get(flow, 0) + max(0, min(shortfall, *shares))

    def _sums_by_link(self, amounts: Mapping[int, int]) -> list[dict[int, int]]:
        """The sums of amounts by flow, by kind and position of their links."""
        sums: list[dict[int, int]] = [{} for _ in KINDS]
        for flow, amount in amounts.items():
            for kind, position, _ in self.links[flow]:
                sums[kind][position] = sums[kind].get(position, 0) + amount
        return sums

    def _reclaim_unused(
        self, shortfalls: Mapping[int, int], total_shortfall: list[dict[int, int]]
    ) -> list[dict[int, int]]:
        """Lower the flows that do not use their rates; returns the free quota on the links of short flows."""
        available = [
            {position: self.quotas[kind][position] for position in total_shortfall[kind]} for kind in KINDS
        ]
        lowered: dict[int, int] = {}
        for flow, granted in self.rates.items():
            shared = [
                (kind, position)
                for kind, position, _ in self.links[flow]
                if position in total_shortfall[kind]
            ]
            rate = granted
            if shared and flow not in shortfalls:
                rate = min(granted, max(self.demand.get(flow, 0), granted // RETAINED_DIVISOR))
                lowered[flow] = rate
            for kind, position in shared:
                available[kind][position] -= rate
        self.rates.update(lowered)
        return available


def _links_of_flows(state: SharesState, flows: set[int]) -> dict[int, list[Link]]:
    """By flow, its node, its zone where that has a capacity, and its tenant where that has a limit."""
    policy = state.policy
    node_count = len(state.nodes)
    zones = sorted({policy.nodes[name].zone for name in state.nodes} & policy.zones.keys())
    zone_links: dict[str, Link] = {zone: (ZONE, position, f"z:{zone}") for position, zone in enumerate(zones)}
    node_links: list[list[Link]] = []
    for position, name in enumerate(state.nodes):
        zone_link = zone_links.get(policy.nodes[name].zone)
        node_link: Link = (NODE, position, f"n:{name}")
        node_links.append([node_link] if zone_link is None else [node_link, zone_link])
    tenant_links: list[list[Link]] = [
        [] if policy.tenants[name].limit is None else [(TENANT, position, f"t:{name}")]
        for position, name in enumerate(state.tenants)
    ]
    return {flow: node_links[flow % node_count] + tenant_links[flow // node_count] for flow in flows}
