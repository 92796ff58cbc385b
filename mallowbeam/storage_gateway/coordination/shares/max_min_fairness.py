"""Weighted max-min over several bottlenecks: what each tenant gets at each node; pure, and in whole numbers.

A *flow* is one tenant at one node; its demand is what all gateways together were asked for there.  A *link*
is what flows share: a node's capacity, its zone's, a tenant's limit.  All flows rise together, each at the
pace of its tenant's weight, until one has what it asks or a link that it uses is full; those stop there and
the others go on.  Reserves are handed out first in the same way, at the pace of the reserve and under it as
one more link; what comes of that is the floor from which the second filling rises.  `docs/shares.md` states
the same as linear programs.

Rates are milli-units a second, weights thousandths, levels fixed-point; all whole, so every gateway gets
the same to the last bit whatever its machine, and rounding is always down: no sum is above its link.  A
level is found by events, not by rounds: flows that start from their floor or have enough, and links that
are full, in the order of their levels.  A full link's level only rises as flows on it stop early, so an old
one is a lower bound and is looked at again when it comes up.
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from heapq import heapify, heappop, heappush

MILLI = 1000  # of a unit, of a weight
SHIFT = 32  # bits of a level below the point: rounding stays under a milli-unit a flow
MOST_WEIGHT = 1000 * MILLI  # so that a level's product stays a small whole number

NONE = 1 << 62  # milli-units: no bound
Flow = int  # tenant x nodes + node, by their places in sorted order
Rates = dict[Flow, int]


@dataclass(frozen=True, slots=True)
class Network:
    """What flows share: figures by place; None where there is no such bound."""

    nodes: Sequence[int]  # capacity
    zone_of: Sequence[int]  # by node, a place in `zones`
    zones: Sequence[int | None]  # capacity
    weights: Sequence[int]  # by tenant
    reserves: Sequence[int]
    limits: Sequence[int | None]


def allot(net: Network, demand: Mapping[Flow, int]) -> Rates:
    """Each flow's rate: at most its demand, reserves kept as far as links allow, the rest by weight."""
    flows = sorted(flow for flow, asked in demand.items() if asked > 0)
    count = len(net.nodes)
    reserved = [flow for flow in flows if net.reserves[flow // count]]
    caps = [
        reserve if limit is None else min(reserve, limit)
        for reserve, limit in zip(net.reserves, net.limits, strict=True)
    ]
    floors = _fill(net, reserved, demand, {}, net.reserves, caps) if reserved else {}
    return _fill(net, flows, demand, floors, net.weights, net.limits)


def _fill(
    net: Network,
    flows: Sequence[Flow],
    demand: Mapping[Flow, int],
    floors: Rates,
    paces: Sequence[int],
    limits: Sequence[int | None],
) -> Rates:
    """Raise all flows from their floors by their paces until each has enough or a link is full."""
    count, zones = len(net.nodes), len(net.zones)
    caps = [*net.nodes, *(NONE if cap is None else cap for cap in (*net.zones, *limits))]
    zone_link, first = [count + zone for zone in net.zone_of], count + zones
    sums = [0] * len(caps)
    for flow in flows:
        node, link, asked = flow % count, flow // count + first, demand[flow]
        sums[link] += asked
        asked = min(asked, caps[link])  # no flow is above its tenant's limit
        sums[node] += asked
        sums[zone_link[node]] += asked
    tight = [total > cap for cap, total in zip(caps, sums, strict=True)]
    rates: Rates = {}
    held = [0] * len(caps)  # by link: what does not rise: floors not yet left, and stopped
    slope = [0] * len(caps)  # by link: the paces of all that rises
    members: list[list[Flow]] = [[] for _ in caps]
    links: dict[Flow, list[int]] = {}  # of the flows that may still rise
    rising: set[Flow] = set()
    events: list[tuple[int, Flow]] = []  # a level; who has enough there, or -1 - who leaves its floor
    for flow in flows:
        node, tenant, asked = flow % count, flow // count, demand[flow]
        zone, limit = zone_link[node], tenant + first
        mine = [node] if tight[node] else []
        if tight[zone]:
            mine.append(zone)
        if tight[limit]:
            mine.append(limit)
        floor = floors.get(flow, 0)
        if not mine or floor >= asked:
            rates[flow] = asked  # nothing that it uses can be full, or its floor is enough
            for link in mine:
                held[link] += asked
            continue
        links[flow], pace = mine, paces[tenant]
        events.append((-(-(asked << SHIFT) // pace), flow))
        if floor:
            events.append((-(-(floor << SHIFT) // pace), -1 - flow))
            for link in mine:
                members[link].append(flow)
                held[link] += floor
        else:
            rising.add(flow)
            for link in mine:
                members[link].append(flow)
                slope[link] += pace
    events.sort()
    full = [((caps[link] - held[link] << SHIFT) // climb, link) for link, climb in enumerate(slope) if climb]
    known = [NONE << SHIFT] * len(caps)  # by link: its lowest level in `full`
    for level, link in full:
        known[link] = level
    heapify(full)
    at, last = 0, len(events)
    while at < last or full:
        if full and (at == last or full[0][0] <= events[at][0]):
            seen, link = heappop(full)
            if seen > known[link]:
                continue  # a lower one has been here since
            known[link] = NONE << SHIFT
            if not (climb := slope[link]):
                continue  # nothing on it rises now
            level = (caps[link] - held[link] << SHIFT) // climb
            if level > seen:
                known[link] = level
                heappush(full, (level, link))  # flows on it have stopped since
                continue
            for flow in members[link]:
                if flow not in links:
                    continue
                mine = links.pop(flow)
                if flow not in rising:
                    rates[flow] = floors[flow]
                    continue
                pace = paces[flow // count]
                rates[flow] = rate = level * pace >> SHIFT
                for other in mine:
                    held[other] += rate
                    slope[other] -= pace
            continue
        level, told = events[at]
        at += 1
        flow = told if told >= 0 else -1 - told
        if flow not in links:
            continue
        pace = paces[flow // count]
        if told < 0:
            rising.add(flow)
            for link in links[flow]:
                held[link] -= floors[flow]
                slope[link] += pace
                if (level := (caps[link] - held[link] << SHIFT) // slope[link]) < known[link]:
                    known[link] = level
                    heappush(full, (level, link))
        else:
            rates[flow] = asked = demand[flow]
            for link in links.pop(flow):
                held[link] += asked
                slope[link] -= pace
    return rates
