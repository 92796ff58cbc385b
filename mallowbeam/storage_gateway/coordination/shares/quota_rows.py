"""From flows' rates to the rows that are handed over: each gateway's sum at each node, zone and tenant.

All gateways' flows are walked once; it is the dear part of an epoch, so it does little for each.
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from operator import mul

import msgspec

from mallowbeam.storage_gateway.coordination.quota_epochs import (
    MOST_OPEN,
    OpenEpoch,
    QuotaEpochs,
    TooManyOpen,
    settle,
)

Rows = dict[str, dict[str, int]]


@dataclass(frozen=True, slots=True)
class Places:
    """The names behind flows' numbers."""

    tenants: Sequence[str]
    nodes: Sequence[str]
    zones: Sequence[str]  # by node


def ratios(rates: Mapping[int, int], sums: Mapping[int, int]) -> dict[int, float]:
    """By flow: the part that it gets of what it asks for.

    A gateway's part is its demand times this, rounded down.  The products' error is far under a milli-unit,
    so whole parts never add up to more than the rate; IEEE doubles are the same on every machine.
    """
    return {flow: rate / sums[flow] for flow, rate in rates.items()}


def grant(
    places: Places,
    floors: Mapping[str, int],
    rates: Mapping[int, int],
    sums: Mapping[int, int],
    demand: Mapping[str, Mapping[int, int]],
) -> Rows:
    """Each gateway's sums, by resource; who is not named has its floor, as its sum is no more.

    Each gateway's flows are in order, so that a tenant's come together.
    """
    count, zones = len(places.nodes), sorted(set(places.zones))
    zone_of = [zones.index(zone) for zone in places.zones]
    at_node, node_floors = _empty("n:", places.nodes, floors)
    at_zone, zone_floors = _empty("z:", zones, floors)
    of_tenant, tenant_floors = _empty("t:", places.tenants, floors)
    part = ratios(rates, sums).__getitem__
    for gateway in sorted(demand):
        rows = demand[gateway]
        by_node, by_zone, before, sum_ = [0] * count, [0] * len(zones), -1, 0
        for flow, has in zip(rows, map(int, map(mul, rows.values(), map(part, rows))), strict=True):
            by_node[flow % count] += has
            if (tenant := flow // count) != before:
                if sum_ > tenant_floors[before]:
                    of_tenant[before][gateway] = sum_
                before, sum_ = tenant, 0
            sum_ += has
        if rows and sum_ > tenant_floors[before]:
            of_tenant[before][gateway] = sum_
        for row, sum_, floor, zone in zip(at_node, by_node, node_floors, zone_of, strict=True):
            if sum_:
                by_zone[zone] += sum_
                if sum_ > floor:
                    row[gateway] = sum_
        for row, sum_, floor in zip(at_zone, by_zone, zone_floors, strict=True):
            if sum_ > floor:
                row[gateway] = sum_
    named = (
        *(f"n:{name}" for name in places.nodes),
        *(f"z:{name}" for name in zones),
        *(f"t:{name}" for name in places.tenants),
    )
    return {name: row for name, row in zip(named, (*at_node, *at_zone, *of_tenant), strict=True) if row}


def _empty(
    prefix: str, names: Sequence[str], floors: Mapping[str, int]
) -> tuple[list[dict[str, int]], list[int]]:
    return [{} for _ in names], [floors.get(prefix + name, 0) for name in names]


def trim(row: dict[str, int], most: int, floor: int, gateways: int) -> dict[str, int]:
    """The row, lowered in proportion until it fits together with the floors of those who are not named in it.

    What is lost is at most what is set aside for those, a hundredth as a rule; floors alone always fit.
    """
    while (whole := sum(row.values())) > (room := max(0, most - floor * (gateways - len(row)))):
        row = {gateway: lower for gateway, sum_ in row.items() if (lower := sum_ * room // whole) > floor}
    return row


def open_epoch(handed: QuotaEpochs[int], amounts: Rows, floors: Mapping[str, int]) -> QuotaEpochs[int]:
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
    opened = OpenEpoch(handed.epoch + 1, rows, tuple(sorted(losers)))
    after = msgspec.structs.replace(handed, epoch=opened.epoch, open=(*handed.open, opened))
    return after if losers else settle(after)
