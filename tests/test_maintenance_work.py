"""Machines out on five gateways under load through their fronts, judged by what nodes and clients saw."""

from __future__ import annotations

import asyncio

import pytest

from mallowbeam.lab.faults.work import play


@pytest.mark.timeout(180)
def test_machines_out_with_the_leader_killed_and_a_gateway_stopped(tmp_path):
    result = asyncio.run(play(3, tmp_path, faults=("leader", "stop"), machines=("n0", "g4")))
    assert result.wrong == [], result.look_at
    assert result.worked == 2


@pytest.mark.timeout(180)
@pytest.mark.parametrize(("how", "which", "machines", "said"), [
    ("deaf", ("g1",), ("n0",), "after that was told of the drain"),
    ("hasty", ("g0", "g1", "g2", "g3", "g4"), ("n0", "n3"), "out, 1 allowed"),
])
def test_gateways_broken_on_purpose_are_caught(tmp_path, how, which, machines, said):
    result = asyncio.run(play(5, tmp_path, dict.fromkeys(which, how), at_once=1, faults=(),
                              machines=machines, most=4.0))
    assert [line for line in result.wrong if said in line], result.wrong
    assert result.look_at[-1].endswith("--kind maintenance")
