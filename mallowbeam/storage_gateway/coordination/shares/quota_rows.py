"""Sums the rates of flows to the rows of a quota transfer: by gateway, at each node, zone and tenant.

Rates are milli-units a second.  A close visits all flows of all gateways once; that is its most expensive
step, so the inner loop does as little as possible.
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field
from operator import mul

import msgspec

from mallowbeam.storage_gateway.coordination.quota_epochs import (
    MAX_OPEN_EPOCHS,
    OpenEpoch,
    QuotaEpochs,
    TooManyOpenEpochsError,
    fold_complete_epochs,
)

Rows = dict[str, dict[str, int]]  # by resource and gateway


@dataclass(frozen=True, slots=True)
class FlowNames:
    """The names behind the numbers of flows."""

    tenants: Sequence[str]
    nodes: Sequence[str]
    zones: Sequence[str]  # by node


def granted_ratios(rates: Mapping[int, int], demand: Mapping[int, int]) -> dict[int, float]:
    """By flow, the fraction of its demand that is granted.

    A gateway's rate is its demand times this fraction, rounded down. The error of the product is far under a
    milli-unit, so the gateways' rates never add up to more than the flow's; IEEE doubles are the same on
    every machine.
    """
    return {flow: rate / demand[flow] for flow, rate in rates.items()}


def grant_rows(
    names: FlowNames,
    floors: Mapping[str, int],
    rates: Mapping[int, int],
    total_demand: Mapping[int, int],
    demand: Mapping[str, Mapping[int, int]],
) -> Rows:
    """Each gateway's sums by resource; a gateway that a row does not name has its floor there.

    Each gateway's flows must be sorted, so that those of one tenant follow each other.
    """
    rows = _RowBuilder(names, floors)
    ratio_of = granted_ratios(rates, total_demand).__getitem__
    for gateway in sorted(demand):
        flows = demand[gateway]
        granted = map(int, map(mul, flows.values(), map(ratio_of, flows)))
        rows.add_gateway(gateway, zip(flows, granted, strict=True))
    return rows.by_resource()


@dataclass(slots=True)
class _RowBuilder:
    """The rows of all nodes, zones and tenants while they are summed."""

    names: FlowNames
    floors: Mapping[str, int]
    zones: list[str] = field(init=False)
    zone_of: list[int] = field(init=False)  # by node, its position in `zones`
    node_rows: list[dict[str, int]] = field(init=False)
    zone_rows: list[dict[str, int]] = field(init=False)
    tenant_rows: list[dict[str, int]] = field(init=False)
    node_floors: list[int] = field(init=False)
    zone_floors: list[int] = field(init=False)
    tenant_floors: list[int] = field(init=False)

    def __post_init__(self) -> None:
        """Start with empty rows."""
        self.zones = sorted(set(self.names.zones))
        self.zone_of = [self.zones.index(zone) for zone in self.names.zones]
        self.node_rows = [{} for _ in self.names.nodes]
        self.zone_rows = [{} for _ in self.zones]
        self.tenant_rows = [{} for _ in self.names.tenants]
        self.node_floors = [self.floors.get(f"n:{name}", 0) for name in self.names.nodes]
        self.zone_floors = [self.floors.get(f"z:{name}", 0) for name in self.zones]
        self.tenant_floors = [self.floors.get(f"t:{name}", 0) for name in self.names.tenants]

    def add_gateway(self, gateway: str, granted: zip[tuple[int, int]]) -> None:
        """Add a gateway's rates by flow, in the order of the flows."""
        node_count = len(self.names.nodes)
        node_sums = [0] * node_count
        tenant = -1
        tenant_sum = 0
        for flow, rate in granted:
            node_sums[flow % node_count] += rate
            if (next_tenant := flow // node_count) != tenant:
                if tenant_sum:
                    self._add_tenant(gateway, tenant, tenant_sum)
                tenant = next_tenant
                tenant_sum = 0
            tenant_sum += rate
        if tenant_sum:
            self._add_tenant(gateway, tenant, tenant_sum)
        self._add_nodes(gateway, node_sums)

    def _add_tenant(self, gateway: str, tenant: int, tenant_sum: int) -> None:
        if tenant_sum > self.tenant_floors[tenant]:
            self.tenant_rows[tenant][gateway] = tenant_sum

    def _add_nodes(self, gateway: str, node_sums: list[int]) -> None:
        """Add a gateway's sums at the nodes, and from them those at the zones."""
        zone_sums = [0] * len(self.zones)
        for node, node_sum in enumerate(node_sums):
            if node_sum:
                zone_sums[self.zone_of[node]] += node_sum
                if node_sum > self.node_floors[node]:
                    self.node_rows[node][gateway] = node_sum
        for zone, zone_sum in enumerate(zone_sums):
            if zone_sum > self.zone_floors[zone]:
                self.zone_rows[zone][gateway] = zone_sum

    def by_resource(self) -> Rows:
        """The rows that name a gateway, by resource."""
        resources = (
            *(f"n:{name}" for name in self.names.nodes),
            *(f"z:{name}" for name in self.zones),
            *(f"t:{name}" for name in self.names.tenants),
        )
        rows = (*self.node_rows, *self.zone_rows, *self.tenant_rows)
        return {resource: row for resource, row in zip(resources, rows, strict=True) if row}


def trim_row(row: dict[str, int], capacity: int, floor: int, gateways: int) -> dict[str, int]:
    """The row, reduced in proportion until it fits together with the floors of the gateways it does not name.

    The reduction is at most the sum of those floors, usually a hundredth; the floors alone always fit.
    """
    while True:
        total = sum(row.values())
        available = max(0, capacity - floor * (gateways - len(row)))
        if total <= available:
            return row
        reduced = {gateway: amount * available // total for gateway, amount in row.items()}
        row = {gateway: amount for gateway, amount in reduced.items() if amount > floor}


def open_quota_epoch(quota: QuotaEpochs[int], amounts: Rows, floors: Mapping[str, int]) -> QuotaEpochs[int]:
    """Open an epoch that grants these rows and no others; the same state when they change nothing.

    Does what `quota_epochs.next_epoch` does without its check of each amount: the sums of `grant_rows` fit by
    construction, and checking 50,000 of them costs more than making them.  Raises `TooManyOpenEpochsError`.
    """
    before = quota.amounts
    rows = {name: row for name, row in amounts.items() if row != before.get(name)}
    for name, had in before.items():
        if had and name not in amounts:
            rows[name] = {}
    if not rows:
        return quota
    if len(quota.open_epochs) >= MAX_OPEN_EPOCHS:
        raise TooManyOpenEpochsError(
            f"{MAX_OPEN_EPOCHS} epochs are open", ", ".join(sorted(quota.awaited_releases))
        )
    losers: set[str] = set()
    for name, row in rows.items():
        floor = floors.get(name, 0)
        get = row.get
        losers.update([holder for holder, had in before.get(name, {}).items() if get(holder, floor) < had])
    opened = OpenEpoch(quota.epoch + 1, rows, tuple(sorted(losers)))
    after = msgspec.structs.replace(quota, epoch=opened.epoch, open_epochs=(*quota.open_epochs, opened))
    return after if losers else fold_complete_epochs(after)
