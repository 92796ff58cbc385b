"""The slow-start budget over all hosts together: fleets of schedulers on drawn settings."""

from __future__ import annotations

from dataclasses import replace

import pytest
from slow_start_fleet import Fleet

from mallowbeam.storage_gateway.scheduler import Scheduler

SITE = {
    "slow_start_units": 76.0,
    "slow_start_capacity": 0.18,
    "slow_start_time": 17.0,
    "overload_multiple": 4.0,
    "overload_window": 3.0,
    "max_units": 8,
    "shards": 1,
    "lasts": 6.0,
}
FELL = (2039, 2043)  # draws in which a node collapsed before the fix
HARD = {
    "hosts restart in the middle of the window": {
        "hosts": 30,
        "restarts": True,
        "demand": 8.0,
        "known": 0.2,
        "again": False,
    },
    "demand through one host of 200": {"hosts": 200, "only": 7, "demand": 8.0},
    "a request larger than the whole budget": {
        "hosts": 20,
        "max_units": 20,
        "slow_start_units": 4.0,
        "demand": 4.0,
    },
    "a window longer than the time that it is cold": {
        "hosts": 20,
        "slow_start_time": 2.0,
        "overload_window": 6.0,
        "demand": 8.0,
    },
    "an even part below one unit": {
        "hosts": 30,
        "slow_start_units": 24.0,
        "max_units": 1,
        "demand": 8.0,
        "spread": True,
    },
    "several shards cold at once": {
        "hosts": 40,
        "shards": 6,
        "slow_start_units": 14.0,
        "demand": 4.0,
        "hot": True,
    },
    "two starts within one window": {"hosts": 12, "again": True, "demand": 8.0, "burst": 2.5},
    "hosts told late": {"hosts": 20, "told_late": True, "demand": 4.0},
    "connections that come up late, and attempts again": {
        "hosts": 30,
        "late": 0.3,
        "faulty": 0.4,
        "demand": 8.0,
        "max_attempts": 4,
    },
    "a hot volume, few keys, a burst": {
        "hosts": 20,
        "hot": True,
        "spread": False,
        "keys": 60,
        "burst": 2.5,
        "demand": 4.0,
    },
}


@pytest.mark.parametrize("seed", FELL)
def test_no_cold_node_falls_on_drawn_settings(seed):
    """Each collapsed before hosts estimated the fleet's demand from their own traffic."""
    nodes = Fleet(seed).play()
    assert nodes and not any(node.fell for node in nodes)


@pytest.mark.parametrize("case", HARD)
def test_no_cold_node_falls_in_hard_cases(case):
    for seed in range(2):
        nodes = Fleet(seed, **SITE | HARD[case]).play()
        assert nodes and not any(node.fell for node in nodes)


def test_the_check_can_fail():
    """Without the slow-start rule the node collapses, though all hosts know of its start."""

    def heedless(settings, now):
        return Scheduler(replace(settings, overload_window=None), now)

    fleet = Fleet(1, heedless, **SITE | {"hosts": 20, "demand": 8.0, "told_late": False, "restarts": False})
    assert all(node.fell for node in fleet.play())


@pytest.mark.parametrize(
    ("hosts", "spread", "shards"),
    [(1, True, 1), (5, True, 1), (40, True, 1), (40, False, 1), (200, False, 20)],
)
def test_a_cold_node_is_not_left_idle(hosts, spread, shards):
    """With the demand that a warm node serves, a warming node uses more than half of its capacity."""
    fleet = Fleet(
        3,
        **SITE
        | {
            "hosts": hosts,
            "spread": spread,
            "shards": shards,
            "demand": 1.0,
            "faulty": 0.0,
            "late": 0.0,
            "burst": 1.0,
            "known": 3.0,
            "told_late": False,
            "restarts": False,
            "again": False,
            "hot": False,
            "keys": 10**9,
        },
    )
    used = [node.used() for node in fleet.play()]
    assert sum(used) / len(used) > 0.5
