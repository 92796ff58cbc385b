"""Faults by seed, several at once; `SHARES_SEEDS=200` runs more of them than CI does."""

from __future__ import annotations

import os
import random

import pytest
from test_shares_fleet import LEASE, SETUP, THREE, fair, fleet

from mallowbeam.storage_gateway.coordination.shares.state_machine import SharesPolicy, TenantShare


def befall(it, rng) -> None:
    """One thing happens."""
    name = rng.choice(it.names)
    match rng.randrange(9):
        case 0:
            it.kill(name)
        case 1 | 2:
            if not it.members[name].alive:
                it.start(name)
        case 3:
            it.stop(name, not it.members[name].stopped)
        case 4:
            digits = [str(at) for at in range(5)]
            rng.shuffle(digits)
            at = rng.randrange(1, 4)
            it.cut("".join(digits[:at]), "".join(digits[at:]))
        case 5:
            it.cut()
        case 6:
            it.leader = name
        case 7:
            key = rng.choice(sorted(it.demand))
            it.demand[rng.choice(it.names), key[1], rng.choice(sorted(SETUP.nodes))] = it.demand.pop(key)
        case 8:
            limit = rng.choice((20_000, 60_000, 90_000))
            it.push(
                SharesPolicy(
                    {
                        **SETUP.tenants,
                        "a": TenantShare(rng.choice((500, 3000))),
                        "c": TenantShare(limit=limit),
                    },
                    SETUP.nodes,
                    SETUP.zones,
                )
            )


@pytest.mark.parametrize("seed", range(int(os.environ.get("SHARES_SEEDS", "12"))))
def test_no_bound_is_broken_and_all_is_fair_after_the_last_heal(seed):
    rng = random.Random(seed + 1000)
    it = fleet(seed, loss=0.05).run(5)
    for _ in range(20):
        befall(it, rng)
        it.run(rng.choice((0.2, 0.7, 2.0, 5.0)))
    it.cut()
    for name, member in it.members.items():
        if not member.alive:
            it.start(name)
        elif member.stopped:
            it.stop(name, False)
    fair(it.run(LEASE + THREE))
