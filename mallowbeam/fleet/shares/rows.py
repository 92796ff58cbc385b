"""From flows' rates to the rows that are handed over: each gateway's sum at each node, zone and tenant.

All gateways' flows are walked once; it is the dear part of an epoch, so it does little for each.
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from dataclasses import dataclass

import msgspec

from mallowbeam.fleet.handed import MOST_OPEN, Handed, Opened, TooManyOpen
from mallowbeam.fleet.handed import _settle as settle

Rows = dict[str, dict[str, int]]


@dataclass(frozen=True, slots=True)
class Places:
    """The names behind flows' numbers."""

    tenants: Sequence[str]
    nodes: Sequence[str]
    zones: Sequence[str]                       # by node


def ratios(rates: Mapping[int, int], sums: Mapping[int, int]) -> dict[int, float]:
    """By flow that does not get all it asks for: the part that it gets.

    A gateway's part is its demand times this, rounded down.  The products' error is far under a milli-unit,
    so whole parts never add up to more than the rate; IEEE doubles are the same on every machine.
    """
    return {flow: rate / whole for flow, rate in rates.items() if rate < (whole := sums[flow])}


def grant(places: Places, floors: Mapping[str, int], rates: Mapping[int, int], sums: Mapping[int, int],
          demand: Mapping[str, Mapping[int, int]]) -> Rows:
    """Each gateway's sums, by resource; who is not named has its floor, as its sum is no more."""
    tenants, nodes = places.tenants, places.nodes
    count = len(nodes)
    cut = ratios(rates, sums).get
    at_node: list[dict[str, int]] = [{} for _ in nodes]
    of_tenant: list[dict[str, int]] = [{} for _ in tenants]
    at_zone: dict[str, dict[str, int]] = {}
    for gateway in sorted(demand):
        by_node: dict[int, int] = {}
        by_tenant: dict[int, int] = {}
        node_has, tenant_has = by_node.get, by_tenant.get
        for flow, asked in demand[gateway].items():
            if (ratio := cut(flow)) is not None:
                asked = int(asked * ratio)
            tenant, node = flow // count, flow % count
            by_node[node] = node_has(node, 0) + asked
            by_tenant[tenant] = tenant_has(tenant, 0) + asked
        for node, sum_ in by_node.items():
            at_node[node][gateway] = sum_
        for tenant, sum_ in by_tenant.items():
            of_tenant[tenant][gateway] = sum_
    for zone, row in zip(places.zones, at_node, strict=True):
        here = at_zone.setdefault(zone, {})
        for gateway, sum_ in row.items():
            here[gateway] = here.get(gateway, 0) + sum_
    rows: Rows = {}
    for prefix, names, sums_of in (("n:", nodes, at_node), ("t:", tenants, of_tenant),
                                   ("z:", list(at_zone), list(at_zone.values()))):
        for name, row in zip(names, sums_of, strict=True):
            if row:
                floor = floors.get(prefix + name, 0)
                rows[prefix + name] = {gateway: sum_ for gateway, sum_ in row.items() if sum_ > floor}
    return rows


def trim(row: dict[str, int], most: int, floor: int, gateways: int) -> dict[str, int]:
    """The row, lowered in proportion until it fits together with the floors of those who are not named in it.

    What is lost is at most what is set aside for those, a hundredth as a rule; floors alone always fit.
    """
    while (whole := sum(row.values())) > (room := max(0, most - floor * (gateways - len(row)))):
        row = {gateway: lower for gateway, sum_ in row.items() if (lower := sum_ * room // whole) > floor}
    return row


def open_epoch(handed: Handed[int], amounts: Rows, floors: Mapping[str, int]) -> Handed[int]:
    """Open an epoch that grants these rows and no others; the same state when they change nothing.

    What `handed.next_epoch` does, without its check of each amount: these rows come of `grant`, whose sums
    fit by how they are made, and checking 50,000 of them costs more than making them.  Raises `TooManyOpen`.
    """
    before = handed.amounts
    rows = {name: row for name, row in amounts.items() if row != before.get(name)}
    for name, had in before.items():
        if had and name not in amounts:
            rows[name] = {}
    if not rows:
        return handed
    if len(handed.open) >= MOST_OPEN:
        raise TooManyOpen(f"{MOST_OPEN} epochs are open", ", ".join(sorted(handed.owing)))
    losers: set[str] = set()
    for name, row in rows.items():
        floor, get = floors.get(name, 0), row.get
        losers.update([holder for holder, had in before.get(name, {}).items() if get(holder, floor) < had])
    opened = Opened(handed.epoch + 1, rows, tuple(sorted(losers)))
    after = msgspec.structs.replace(handed, epoch=opened.epoch, open=(*handed.open, opened))
    return after if losers else settle(after)
