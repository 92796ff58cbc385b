"""Maintenance on five gateways under load through their front ends, judged by nodes' and clients' records."""

from __future__ import annotations

import asyncio

import pytest

from mallowbeam.lab.faults.work import play


@pytest.mark.timeout(180)
def test_machines_out_with_the_leader_killed(tmp_path):
    result = asyncio.run(play(3, tmp_path, faults=("leader",), machines=("n0", "g4")))
    assert result.wrong == [], result.look_at
    assert result.worked == 2


@pytest.mark.timeout(180)
def test_gateways_broken_on_purpose_are_caught(tmp_path):
    broken = {f"g{number}": "deaf+hasty" for number in range(5)}
    result = asyncio.run(play(5, tmp_path, broken, at_once=1, faults=(), machines=("n0", "n3"), most=4.0))
    for said in ("after that was told of the drain", "out, 1 allowed"):
        assert [line for line in result.wrong if said in line], result.wrong
    assert result.look_at[-1].endswith("--kind maintenance")
