"""How one gateway divides its sums among the flows that it serves; pure.

Each flow has its target.  Where what may be used of a node, a zone or a tenant's limit is less than the
targets there, the flows are scaled down together, so all sums fit.  Where flows that have no target yet were
asked for, the floor is kept for them, or half of what there is where that is less.

What one flow does not ask for now is lent within this gateway to those that are short, in proportion to what
they lack; a `BACK`th of its target stays with it, so that it is heard at once when it asks again.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping

from mallowbeam.storage_gateway.coordination.shares.state_machine import SharesState

BACK = 10  # of a target that is lent, the part that stays
Usable = Callable[[str], int]


def divide(
    state: SharesState, targets: Mapping[int, int], wants: Mapping[int, int], usable: Usable
) -> dict[int, int]:
    """Rates by flow, whose sums fit what is usable; `wants` is what is asked for here now, new flows too."""
    if not (count := len(state.nodes)):
        return {}
    setup, floors = state.setup, state.floors
    limited = [setup.tenants[name].limit is not None for name in state.tenants]
    zones = sorted({setup.nodes[name].zone for name in state.nodes} & setup.zones.keys())
    zone_at = {zone: at for at, zone in enumerate(zones)}
    zone_of = [zone_at.get(setup.nodes[name].zone, -1) for name in state.nodes]
    has: list[dict[int, int]] = [{}, {}, {}]  # usable, by place: nodes, zones, tenants

    def places(flow: int) -> list[tuple[int, int, str]]:
        tenant, node = flow // count, flow % count
        told = [(0, node, "n:" + state.nodes[node])]
        if zone_of[node] >= 0:
            told.append((1, zone_of[node], "z:" + zones[zone_of[node]]))
        if limited[tenant]:
            told.append((2, tenant, "t:" + state.tenants[tenant]))
        return told

    links = {flow: places(flow) for flow in {*targets, *wants}}
    for told in links.values():
        for kind, place, name in told:
            if place not in has[kind]:
                has[kind][place] = usable(name)
    rates = {flow: rate for flow, rate in sorted(targets.items()) if flow in links}
    newer = [flow for flow in sorted(links) if flow not in targets]
    fresh = [{place for flow in newer for of, place, _ in links[flow] if of == kind} for kind in range(3)]
    for kind in range(3):
        sums: dict[int, int] = {}
        names: dict[int, str] = {}
        for flow, rate in rates.items():
            for of, place, name in links[flow]:
                if of == kind:
                    sums[place] = sums.get(place, 0) + rate
                    names[place] = name
        short = {}
        for place, total in sums.items():
            most = has[kind][place]
            if place in fresh[kind]:
                most -= min(floors.get(names[place], 0), most // 2)
            if total > most:
                short[place] = (most, total)
        if short:
            for flow, rate in rates.items():
                for of, place, _ in links[flow]:
                    if of == kind and place in short:
                        most, total = short[place]
                        rates[flow] = rate * most // total
    _lend(rates, wants, links, has)
    return rates


def _lend(
    rates: dict[int, int],
    wants: Mapping[int, int],
    links: Mapping[int, list[tuple[int, int, str]]],
    has: list[dict[int, int]],
) -> None:
    """Let those that are short have what the others at their places do not ask for, and what is over."""
    lack = {flow: want - rates.get(flow, 0) for flow, want in wants.items() if want > rates.get(flow, 0)}
    needs: list[dict[int, int]] = [{}, {}, {}]
    for flow, short in lack.items():
        for kind, place, _ in links[flow]:
            needs[kind][place] = needs[kind].get(place, 0) + short
    left = [{place: has[kind][place] for place in needs[kind]} for kind in range(3)]
    kept: dict[int, int] = {}
    for flow, rate in rates.items():
        here = [(kind, place) for kind, place, _ in links[flow] if place in needs[kind]]
        if here and flow not in lack:
            kept[flow] = rate = min(rate, max(wants.get(flow, 0), rate // BACK))
        for kind, place in here:
            left[kind][place] -= rate
    rates.update(kept)
    for flow in sorted(lack):
        short = lack[flow]
        rates[flow] = rates.get(flow, 0) + max(
            0,
            min(short, *(short * left[kind][place] // needs[kind][place] for kind, place, _ in links[flow])),
        )
