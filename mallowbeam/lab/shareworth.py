"""What shares are worth as demand shifts between gateways: against static parts, and against an oracle.

Static parts: each gateway has an equal part of each node, zone and limit, and fills it by itself.  The
oracle knows all demand at once and needs no time.  All three serve at most what is asked for, by the same
filling.  `python -m mallowbeam.lab.shareworth [seeds]` tells which part of the oracle's gain over static
parts the shares got.
"""

from __future__ import annotations

import random
import sys
from collections.abc import Mapping
from dataclasses import dataclass

from mallowbeam.lab.sharesim import Demands, Fleet, totals
from mallowbeam.storage_gateway.coordination.shares.max_min_fairness import Network, allocate
from mallowbeam.storage_gateway.coordination.shares.state_machine import (
    NodeCapacity,
    SharesPolicy,
    TenantShare,
)

SHIFT_S = 10.0  # between two shifts of all demand; seldom is harder


@dataclass(frozen=True, slots=True)
class Worth:
    """Units served of one day's, three ways."""

    static: float
    shares: float
    oracle: float

    @property
    def part(self) -> float:
        """Of what the oracle gains over static parts, how much the shares gained."""
        return (self.shares - self.static) / (self.oracle - self.static)


def network(setup: SharesPolicy, parts: int = 1) -> Network:
    """The set-up's network, or one of so many equal parts of it."""
    zones = sorted({node.zone for node in setup.nodes.values()})
    shares = [setup.tenants[name] for name in sorted(setup.tenants)]
    nodes = [setup.nodes[name] for name in sorted(setup.nodes)]
    return Network(
        [node.capacity // parts for node in nodes],
        [zones.index(node.zone) for node in nodes],
        [setup.zones[zone] // parts if zone in setup.zones else None for zone in zones],
        [share.weight for share in shares],
        [share.reserve // parts for share in shares],
        [None if share.limit is None else share.limit // parts for share in shares],
    )


def served(setup: SharesPolicy, demand: Mapping[tuple[str, str], float], parts: int = 1) -> float:
    """Units a second that the filling serves of this demand."""
    tenants, nodes = sorted(setup.tenants), sorted(setup.nodes)
    flows = {
        tenants.index(tenant) * len(nodes) + nodes.index(node): int(asked * 1000)
        for (tenant, node), asked in demand.items()
    }
    return sum(allocate(network(setup, parts), flows).values()) / 1000


def day(seed: int, shifts: int = 6, gateways: int = 5) -> Worth:
    """One day of shifts: each time some tenants' work moves to other gateways."""
    rng = random.Random(seed)
    setup = SharesPolicy(
        {
            f"t{at}": TenantShare(
                rng.choice([1000, 2000]), rng.choice([0, 20_000]), rng.choice([None, 120_000])
            )
            for at in range(8)
        },
        {f"n{at}": NodeCapacity(100_000, "xy"[at % 2]) for at in range(4)},
        {"x": 180_000},
    )
    fleet = Fleet(setup, gateways, seed)
    static = oracle = 0.0
    for shift in range(shifts):
        demand: Demands = {}
        for tenant in setup.tenants:
            busiest = rng.sample(fleet.names, 2)
            for node in rng.sample(sorted(setup.nodes), 2):
                for name in busiest:
                    demand[name, tenant, node] = rng.uniform(5, 50)
        fleet.demand = demand
        if not shift:
            fleet.run(SHIFT_S)  # all three start in peace
            fleet.worth = 0.0
        fleet.run(SHIFT_S)
        oracle += SHIFT_S * served(setup, totals(demand))
        for name in fleet.names:
            own = {(tenant, node): asked for (at, tenant, node), asked in demand.items() if at == name}
            static += SHIFT_S * served(setup, own, gateways)
    return Worth(static, fleet.worth, oracle)


def main() -> None:
    """One line for each seed, and the whole."""
    days = [day(seed) for seed in range(int(sys.argv[1]) if len(sys.argv) > 1 else 10)]
    whole = Worth(sum(d.static for d in days), sum(d.shares for d in days), sum(d.oracle for d in days))
    for told in (*days, whole):
        print(
            f"static {told.static:.0f} shares {told.shares:.0f} oracle {told.oracle:.0f}: "
            f"{told.part:.2f} of the gain"
        )


if __name__ == "__main__":
    main()
