"""The slow-start budget over all hosts together: fleets of schedulers on drawn settings."""

from __future__ import annotations

from dataclasses import replace

import pytest
from slow_start_fleet import Fleet

from mallowbeam.storage_gateway.scheduler import Scheduler

SITE_SETTINGS = {
    "slow_start_units": 76.0,
    "slow_start_capacity": 0.18,
    "slow_start_time": 17.0,
    "overload_multiple": 4.0,
    "overload_window": 3.0,
    "max_units": 8,
    "shards": 1,
    "duration_s": 6.0,
}
COLLAPSED_SEEDS = (2039, 2043)  # draws in which a node collapsed before the fix
HARD_CASES = {
    "hosts restart in the middle of the window": {
        "hosts": 30,
        "host_restarts": True,
        "demand": 8.0,
        "lead_time_s": 0.2,
        "second_start": False,
    },
    "demand through one host of 200": {"hosts": 200, "only_host": 7, "demand": 8.0},
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
        "any_host": True,
    },
    "several shards cold at once": {
        "hosts": 40,
        "shards": 6,
        "slow_start_units": 14.0,
        "demand": 4.0,
        "hot_volume": True,
    },
    "two starts within one window": {"hosts": 12, "second_start": True, "demand": 8.0, "burst_factor": 2.5},
    "hosts told late": {"hosts": 20, "late_updates": True, "demand": 4.0},
    "connections that come up late, and attempts again": {
        "hosts": 30,
        "late_connection_rate": 0.3,
        "fault_rate": 0.4,
        "demand": 8.0,
        "max_attempts": 4,
    },
    "a hot volume, few keys, a burst": {
        "hosts": 20,
        "hot_volume": True,
        "any_host": False,
        "key_count": 60,
        "burst_factor": 2.5,
        "demand": 4.0,
    },
}


@pytest.mark.parametrize("seed", COLLAPSED_SEEDS)
def test_no_cold_node_falls_on_drawn_settings(seed):
    """Each collapsed before hosts estimated the fleet's demand from their own traffic."""
    nodes = Fleet(seed).run()
    assert nodes and not any(node.collapsed for node in nodes)


@pytest.mark.parametrize("case", HARD_CASES)
def test_no_cold_node_falls_in_hard_cases(case):
    for seed in range(2):
        nodes = Fleet(seed, **SITE_SETTINGS | HARD_CASES[case]).run()
        assert nodes and not any(node.collapsed for node in nodes)


def test_the_check_can_fail():
    """Without the slow-start rule the node collapses, though all hosts know of its start."""

    def without_slow_start(settings, now):
        return Scheduler(replace(settings, overload_window=None), now)

    fleet = Fleet(
        1,
        without_slow_start,
        **SITE_SETTINGS | {"hosts": 20, "demand": 8.0, "late_updates": False, "host_restarts": False},
    )
    assert all(node.collapsed for node in fleet.run())


@pytest.mark.parametrize(
    ("hosts", "spread", "shards"),
    [(1, True, 1), (5, True, 1), (40, True, 1), (40, False, 1), (200, False, 20)],
)
def test_a_cold_node_is_not_left_idle(hosts, spread, shards):
    """With the demand that a warm node serves, a warming node uses more than half of its capacity."""
    fleet = Fleet(
        3,
        **SITE_SETTINGS
        | {
            "hosts": hosts,
            "any_host": spread,
            "shards": shards,
            "demand": 1.0,
            "fault_rate": 0.0,
            "late_connection_rate": 0.0,
            "burst_factor": 1.0,
            "lead_time_s": 3.0,
            "late_updates": False,
            "host_restarts": False,
            "second_start": False,
            "hot_volume": False,
            "key_count": 10**9,
        },
    )
    used = [node.utilization() for node in fleet.run()]
    assert sum(used) / len(used) > 0.5
