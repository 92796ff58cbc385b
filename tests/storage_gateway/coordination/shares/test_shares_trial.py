"""Shares on real processes, and invalid records that the trial's checker must reject."""

from __future__ import annotations

import pytest

from mallowbeam.lab.faults.shares import HEAVY, LIGHT, Record, check, run


def good():
    got = [(at / 20, HEAVY) for at in range(200)] + [(at / 10, LIGHT) for at in range(100)]
    return Record(got, (0.0, 5.0), 5.0, 10.0, 8.0)


@pytest.mark.parametrize(
    "broken",
    [
        lambda record: record.got.extend([(1.0, LIGHT)] * 40),
        lambda record: record.got.extend([(6.0, HEAVY)] * 110),
        lambda record: record.got.extend([(1.0, HEAVY), (1.0, HEAVY), (1.0, LIGHT)] * 40),
        lambda record: record.got.clear()
        or record.got.extend([(1.0, HEAVY), (1.0, HEAVY), (1.0, LIGHT)] * 9),
        lambda record: setattr(record, "allotted", 0.0),
    ],
)
def test_the_checker_catches(broken):
    record = good()
    assert check(record) == []
    broken(record)
    assert len(check(record)) == 1


@pytest.mark.timeout(120)
def test_two_tenants_at_one_node_by_weight_and_a_gateway_killed():
    record = run()
    assert check(record) == []
