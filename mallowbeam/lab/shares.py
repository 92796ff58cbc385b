"""What an epoch of shares costs, by core and machine themselves: `python -m mallowbeam.lab.shares [dense]`.

A tenant has its data on few nodes and is served by some of the gateways; `churn` of all flows change between
two epochs.  Told are the processor's milliseconds that one gateway spends on the epoch, by step, and the
log's bytes of it: everybody's report, the close and every release.
"""

from __future__ import annotations

import random
import sys
import time
from dataclasses import dataclass

from mallowbeam.storage_gateway.coordination.replicated_log import ReplicatedLog
from mallowbeam.storage_gateway.coordination.shares.demand_encoding import encode_demand, rate_code
from mallowbeam.storage_gateway.coordination.shares.gateway_core import SharesCore
from mallowbeam.storage_gateway.coordination.shares.state_machine import (
    CloseEpoch,
    DemandReport,
    NodeCapacity,
    QuotaReleased,
    SharesPolicy,
    SharesStateMachine,
    TenantShare,
)


@dataclass(frozen=True, slots=True)
class Cost:
    """One epoch's cost."""

    flows: int
    first_bytes: int  # everybody's first report
    log_bytes: int  # of an epoch in service
    reports_ms: float
    close_ms: float
    hear_ms: float  # of the close: handover and division
    releases_ms: float

    @property
    def whole_ms(self) -> float:
        """All of it."""
        return self.reports_ms + self.close_ms + self.hear_ms + self.releases_ms


@dataclass(frozen=True, slots=True)
class Push:
    """A policy as far as shares go."""

    shares: SharesPolicy


def measure(
    gateways: int, tenants: int, nodes: int, spread: int, places: int, churn: float, seed: int = 1
) -> Cost:
    """Run two epochs of a made-up fleet; `spread` gateways and `places` nodes for each tenant."""
    rng = random.Random(seed)
    names = [f"g{at:03}" for at in range(gateways)]
    setup = SharesPolicy(
        {
            f"t{at:04}": TenantShare(
                rng.choice([1000, 2000, 4000]), rng.choice([0, 0, 20_000]), rng.choice([None, None, 200_000])
            )
            for at in range(tenants)
        },
        {
            f"n{at:03}": NodeCapacity(
                int(tenants * places * 40_000 / nodes * rng.uniform(0.6, 1.4)), f"z{at % 10}"
            )
            for at in range(nodes)
        },
        {"z0": int(tenants * places * 4_000 * 0.8)},
    )
    log = ReplicatedLog([SharesStateMachine(tuple(names))])
    log.push(Push(setup))
    core = SharesCore(names[0], names, log.states["shares"], 0.0)
    flows: dict[str, dict[int, int]] = {name: {} for name in names}
    for tenant in range(tenants):
        on = rng.sample(range(nodes), places)
        for name in rng.sample(names, spread):
            for node in on:
                flows[name][tenant * nodes + node] = rate_code(int(rng.uniform(0.2, 1.8) * 50_000 / spread))
    numbering = log.states["shares"].numbering

    def apply(body: bytes, now: float) -> float:
        began = time.process_time()
        told = log.apply(body)
        spent = time.process_time() - began
        assert told is not None and told.refusal is None, told
        core.committed(told, now)
        return spent

    def epoch(reports: dict[str, dict[int, int]], now: float) -> tuple[int, list[float]]:
        size, spent = 0, [0.0] * 4
        core.transfer.lease_renewed(now)
        for name in names:
            body = log.encode("shares", name, DemandReport(numbering, encode_demand(reports[name])))
            size += len(body)
            began = time.process_time()
            apply(body, now)
            spent[0] += time.process_time() - began
        body = log.encode("shares", names[0], CloseEpoch(log.states["shares"].close_number + 1))
        size += len(body)
        began = time.process_time()
        spent[1] = apply(body, now)
        spent[2] = time.process_time() - began - spent[1]
        began = time.process_time()
        for name in log.states["shares"].quota.awaited_releases:
            body = log.encode("shares", name, QuotaReleased(log.states["shares"].quota.epoch))
            size += len(body)
            apply(body, now)
        core.tick(now)
        spent[3] = time.process_time() - began
        return size, [part * 1000 for part in spent]

    first, _ = epoch(flows, 1.0)
    best: tuple[int, list[float]] | None = None
    for turn in range(8):
        changes = {
            name: {
                flow: rate_code(int(rng.uniform(0.2, 1.8) * 50_000 / spread))
                for flow in rows
                if rng.random() < churn
            }
            for name, rows in flows.items()
        }
        told = epoch(changes, 2.0 + turn)
        if best is None or sum(told[1]) < sum(best[1]):
            best = told
    assert best is not None
    return Cost(sum(map(len, flows.values())), first, best[0], *best[1])


def main() -> None:
    """The figures of the design note."""
    sparse, dense = ((10, 4, 0.1), (10, 4, 0.25), (40, 4, 0.1)), ((200, 4, 0.02),)
    for spread, places, churn in dense if "dense" in sys.argv else sparse:
        cost = measure(200, 1000, 200, spread, places, churn)
        print(
            f"200 x 1,000 x 200, each tenant at {spread} gateways and {places} nodes ({cost.flows} flows), "
            f"{churn:.0%} changed: {cost.whole_ms:.1f} ms (reports {cost.reports_ms:.1f}, close "
            f"{cost.close_ms:.1f}, heard {cost.hear_ms:.1f}, releases {cost.releases_ms:.1f}), "
            f"{cost.log_bytes / 1024:.1f} KiB; the first reports {cost.first_bytes / 1024:.1f} KiB"
        )


if __name__ == "__main__":
    main()
