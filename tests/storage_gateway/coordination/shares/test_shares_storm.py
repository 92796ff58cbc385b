"""Random faults by seed, several at once; `SHARES_SEEDS=200` runs more seeds than CI does."""

from __future__ import annotations

import os
import random

import pytest
from test_shares_fleet import LEASE_EXPIRY_S, POLICY, THREE_EPOCHS_S, assert_fair, fleet

from mallowbeam.storage_gateway.coordination.shares.state_machine import SharesPolicy, TenantShare


def inject_fault(simulation, rng) -> None:
    """Inject one random fault or change."""
    name = rng.choice(simulation.names)
    match rng.randrange(9):
        case 0:
            simulation.kill(name)
        case 1 | 2:
            if not simulation.members[name].alive:
                simulation.start(name)
        case 3:
            simulation.stop(name, not simulation.members[name].stopped)
        case 4:
            digits = [str(at) for at in range(5)]
            rng.shuffle(digits)
            at = rng.randrange(1, 4)
            simulation.cut("".join(digits[:at]), "".join(digits[at:]))
        case 5:
            simulation.cut()
        case 6:
            simulation.leader = name
        case 7:
            key = rng.choice(sorted(simulation.demand))
            simulation.demand[rng.choice(simulation.names), key[1], rng.choice(sorted(POLICY.nodes))] = (
                simulation.demand.pop(key)
            )
        case 8:
            limit = rng.choice((20_000, 60_000, 90_000))
            simulation.push(
                SharesPolicy(
                    {
                        **POLICY.tenants,
                        "a": TenantShare(rng.choice((500, 3000))),
                        "c": TenantShare(limit=limit),
                    },
                    POLICY.nodes,
                    POLICY.zones,
                )
            )


@pytest.mark.parametrize("seed", range(int(os.environ.get("SHARES_SEEDS", "12"))))
def test_no_bound_is_broken_and_all_is_fair_after_the_last_heal(seed):
    rng = random.Random(seed + 1000)
    simulation = fleet(seed, loss=0.05).run(5)
    for _ in range(20):
        inject_fault(simulation, rng)
        simulation.run(rng.choice((0.2, 0.7, 2.0, 5.0)))
    simulation.cut()
    for name, member in simulation.members.items():
        if not member.alive:
            simulation.start(name)
        elif member.stopped:
            simulation.stop(name, False)
    assert_fair(simulation.run(LEASE_EXPIRY_S + THREE_EPOCHS_S))
