"""Weighted max-min fairness over several bottlenecks: each tenant's rate at each node; integers only.

A *flow* is one tenant at one node; its demand is the sum of what all gateways report for it.  A *link* is a
capacity that flows share: a node's, its zone's, or a tenant's limit.  Rates are found by progressive filling
(water filling; Bertsekas and Gallager, Data Networks, section 6.5.2): all flows rise together, each in
proportion to its tenant's weight, until one has its demand or one of its links is full; that flow is frozen
and the others go on.  Reserves are granted first by the same filling, with the reserves as weights and as
limits; its rates are the floors from which the second filling rises.  `docs/shares.md` states the same as
linear programs.

The *level* of a filling is the rate for each unit of weight.  It is found by events in order of their
levels, not by rounds: a flow leaves its floor or has its demand, a link is full.  The level at which a link
is full only increases as flows on it are frozen, so a level computed earlier is a lower bound and is
recomputed when it is reached.

Rates are milli-units a second, weights thousandths, levels fixed-point numbers.  All are integers, so every
gateway computes the same rates to the last bit on any machine; rounding is always down, so no sum exceeds
its link.
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field
from heapq import heappop, heappush

MILLI = 1000  # milli-units of one unit; thousandths of a weight of one
LEVEL_FRACTION_BITS = 32  # fractional bits of a level: rounding stays under a milli-unit for each flow
MAX_WEIGHT = 1000 * MILLI  # so that the product of a level and a weight stays a small integer
UNBOUNDED = 1 << 62  # milli-units a second: the capacity of a link without a bound

Flow = int  # tenant * number of nodes + node, by their positions in sorted order
Level = int  # milli-units a second for each unit of weight, with `LEVEL_FRACTION_BITS` fractional bits
Rates = dict[Flow, int]


@dataclass(frozen=True, slots=True)
class Network:
    """The links that flows share, in milli-units a second; None where there is no bound."""

    nodes: Sequence[int]  # capacity
    zone_of: Sequence[int]  # by node, its zone's position in `zones`
    zones: Sequence[int | None]  # capacity
    weights: Sequence[int]  # by tenant, thousandths
    reserves: Sequence[int]  # by tenant
    limits: Sequence[int | None]  # by tenant


def allocate(network: Network, demand: Mapping[Flow, int]) -> Rates:
    """The rate of each flow with a demand: at most that demand, reserves first, the rest by weight."""
    flows = sorted(flow for flow, wanted in demand.items() if wanted > 0)
    node_count = len(network.nodes)
    reserved = [flow for flow in flows if network.reserves[flow // node_count]]
    limits = [
        reserve if limit is None else min(reserve, limit)
        for reserve, limit in zip(network.reserves, network.limits, strict=True)
    ]
    floors: Rates = {}
    if reserved:
        floors = ProgressiveFilling(network, demand, {}, network.reserves, limits).fill(reserved)
    return ProgressiveFilling(network, demand, floors, network.weights, network.limits).fill(flows)


@dataclass(slots=True)
class ProgressiveFilling:
    """One filling: all flows rise together, each by its weight, until it has its demand or a link is full.

    `demand` and `floors` are milli-units a second by flow, `limits` by tenant; `weights` by tenant say how
    fast its flows rise.  An instance is used for one call of `fill`.

    A link is a number: the nodes come first, then the zones, then the tenants' limits.
    """

    network: Network
    demand: Mapping[Flow, int]
    floors: Rates
    weights: Sequence[int]
    limits: Sequence[int | None]

    rates: Rates = field(init=False, default_factory=dict)
    node_count: int = field(init=False)
    capacities: list[int] = field(init=False)
    links_of: dict[Flow, list[int]] = field(init=False, default_factory=dict)  # of flows not yet frozen
    rising: set[Flow] = field(init=False, default_factory=set)  # flows above their floors, not yet frozen
    flows_of: list[list[Flow]] = field(init=False)  # by link
    fixed_rate: list[int] = field(init=False)  # by link: floors not yet left, and frozen flows
    rising_weight: list[int] = field(init=False)  # by link: the sum of the weights of its rising flows
    flow_events: list[tuple[Level, int]] = field(init=False, default_factory=list)  # see `_schedule_flow`
    saturations: list[tuple[Level, int]] = field(init=False)  # a heap of levels and links
    next_saturation: list[Level] = field(init=False)  # by link: its lowest level in the heap

    def __post_init__(self) -> None:
        """Start with no rate for any flow."""
        self.node_count = len(self.network.nodes)
        bounds = (*self.network.nodes, *self.network.zones, *self.limits)
        self.capacities = [UNBOUNDED if bound is None else bound for bound in bounds]
        self.flows_of = [[] for _ in bounds]
        self.fixed_rate = [0] * len(bounds)
        self.rising_weight = [0] * len(bounds)

    def fill(self, flows: Sequence[Flow]) -> Rates:
        """The rate of each of these flows, in milli-units a second."""
        self._add_flows(flows)
        self.flow_events.sort()
        self._schedule_all_saturations()
        events = self.flow_events
        saturations = self.saturations
        position = 0
        end = len(events)
        while position < end or saturations:
            if saturations and (position == end or saturations[0][0] <= events[position][0]):
                self._take_next_saturation()
                continue
            event = events[position][1]
            position += 1
            if event >= 0:
                self._freeze_at_demand(event)
            else:
                self._leave_floor(-1 - event)
        return self.rates

    # --- setting up -------------------------------------------------------------------------------

    def _zone_links(self) -> list[int]:
        """By node, the link of its zone."""
        return [self.node_count + zone for zone in self.network.zone_of]

    def _first_limit_link(self) -> int:
        """The link of the first tenant's limit."""
        return self.node_count + len(self.network.zones)

    def _can_saturate(self, flows: Sequence[Flow]) -> list[bool]:
        """By link, whether the flows' demands together exceed its capacity."""
        node_count = self.node_count
        capacities = self.capacities
        demand = self.demand
        zone_links = self._zone_links()
        first_limit_link = self._first_limit_link()
        sums = [0] * len(capacities)
        for flow in flows:
            node = flow % node_count
            limit_link = flow // node_count + first_limit_link
            wanted = demand[flow]
            sums[limit_link] += wanted
            wanted = min(wanted, capacities[limit_link])  # no flow is above its tenant's limit
            sums[node] += wanted
            sums[zone_links[node]] += wanted
        return [total > capacity for capacity, total in zip(capacities, sums, strict=True)]

    def _add_flows(self, flows: Sequence[Flow]) -> None:
        """Freeze the flows that no link can bound; let the others rise, or wait at their floors."""
        node_count = self.node_count
        demand = self.demand
        floors = self.floors
        zone_links = self._zone_links()
        first_limit_link = self._first_limit_link()
        can_saturate = self._can_saturate(flows)
        for flow in flows:
            node = flow % node_count
            limit_link = flow // node_count + first_limit_link
            links = [node] if can_saturate[node] else []
            if can_saturate[zone_links[node]]:
                links.append(zone_links[node])
            if can_saturate[limit_link]:
                links.append(limit_link)
            floor = floors.get(flow, 0)
            if links and floor < demand[flow]:
                self._schedule_flow(flow, floor, links)
                continue
            self.rates[flow] = demand[flow]
            for link in links:
                self.fixed_rate[link] += demand[flow]

    def _schedule_flow(self, flow: Flow, floor: int, links: list[int]) -> None:
        """Schedule the levels at which a flow leaves its floor (`-1 - flow`) and has its demand (`flow`)."""
        weight = self.weights[flow // self.node_count]
        self.links_of[flow] = links
        self.flow_events.append((-(-(self.demand[flow] << LEVEL_FRACTION_BITS) // weight), flow))
        flows_of = self.flows_of
        if floor:
            self.flow_events.append((-(-(floor << LEVEL_FRACTION_BITS) // weight), -1 - flow))
            fixed_rate = self.fixed_rate
            for link in links:
                flows_of[link].append(flow)
                fixed_rate[link] += floor
        else:
            self.rising.add(flow)
            rising_weight = self.rising_weight
            for link in links:
                flows_of[link].append(flow)
                rising_weight[link] += weight

    # --- saturation of links ----------------------------------------------------------------------

    def _saturation_level(self, link: int) -> Level:
        """The level at which this link is full if all flows that rise on it now go on rising."""
        return (self.capacities[link] - self.fixed_rate[link] << LEVEL_FRACTION_BITS) // self.rising_weight[
            link
        ]

    def _schedule_all_saturations(self) -> None:
        """Build the heap of the levels at which links with rising flows are full."""
        self.next_saturation = [UNBOUNDED << LEVEL_FRACTION_BITS] * len(self.capacities)
        self.saturations = []
        for link, weight in enumerate(self.rising_weight):
            if weight:
                self._schedule_saturation(link, self._saturation_level(link))

    def _schedule_saturation(self, link: int, level: Level) -> None:
        """Check this link again once the flows have risen to that level."""
        self.next_saturation[link] = level
        heappush(self.saturations, (level, link))

    def _take_next_saturation(self) -> None:
        """Freeze the flows of the link that is full next, if it is full at the scheduled level."""
        scheduled_level, link = heappop(self.saturations)
        if scheduled_level > self.next_saturation[link]:
            return  # the link was scheduled again, at a lower level
        self.next_saturation[link] = UNBOUNDED << LEVEL_FRACTION_BITS
        if not self.rising_weight[link]:
            return
        level = self._saturation_level(link)
        if level > scheduled_level:  # some of its flows were frozen since, so it is full later
            self._schedule_saturation(link, level)
            return
        self._freeze_flows_of(link, level)

    # --- freezing and rising flows ----------------------------------------------------------------

    def _freeze_flows_of(self, full_link: int, level: Level) -> None:
        """Give the flows of a full link the rates of that level, or their floors where those are more."""
        links_of = self.links_of
        fixed_rate = self.fixed_rate
        rising_weight = self.rising_weight
        for flow in self.flows_of[full_link]:
            if flow not in links_of:
                continue
            links = links_of.pop(flow)
            if flow not in self.rising:
                self.rates[flow] = self.floors[flow]
                continue
            weight = self.weights[flow // self.node_count]
            self.rates[flow] = rate = level * weight >> LEVEL_FRACTION_BITS
            for link in links:
                fixed_rate[link] += rate
                rising_weight[link] -= weight

    def _freeze_at_demand(self, flow: Flow) -> None:
        """Freeze this flow at its demand, unless it was frozen before."""
        links = self.links_of.pop(flow, None)
        if links is None:
            return
        weight = self.weights[flow // self.node_count]
        self.rates[flow] = rate = self.demand[flow]
        fixed_rate = self.fixed_rate
        rising_weight = self.rising_weight
        for link in links:
            fixed_rate[link] += rate
            rising_weight[link] -= weight

    def _leave_floor(self, flow: Flow) -> None:
        """The level has reached this flow's floor: it rises from now on, unless it was frozen before."""
        links = self.links_of.get(flow)
        if links is None:
            return
        weight = self.weights[flow // self.node_count]
        self.rising.add(flow)
        for link in links:
            self.fixed_rate[link] -= self.floors[flow]
            self.rising_weight[link] += weight
            level = self._saturation_level(link)
            if level < self.next_saturation[link]:
                self._schedule_saturation(link, level)
