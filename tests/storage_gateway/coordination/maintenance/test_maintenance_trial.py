"""Maintenance on real processes under load: two nodes and a gateway go out and return, with a fault."""

from __future__ import annotations

import pytest

from mallowbeam.lab.faults.maintenance import Record, check, run


def valid_record():
    return Record(
        got=[(1.0, "n0"), (9.0, "n0")],
        worked=[(2.0, 3.0, "n0"), (5.0, 6.0, "g4")],
        orders={"g0": [["1 n0"], ["1 n0", "7 g4"]], "g1": [[], ["1 n0"]]},
        away=[(2.0, ["n0"]), (5.0, ["g4"])],
        answers={"g0": {200: 500}},
        lost={"g4": 3},
        disturbed={"g4"},
        steps={},
        ended=True,
    )


@pytest.mark.parametrize(
    "broken",
    [
        lambda record: record.got.append((2.5, "n0")),
        lambda record: record.away.append((2.5, ["n0", "g4"])),
        lambda record: record.orders["g1"].append(["7 g4"]),
        lambda record: record.lost.update(g1=1),
        lambda record: record.worked.append((5.5, 6.5, "n3")),
        lambda record: setattr(record, "ended", False),
        lambda record: record.answers.clear(),
    ],
)
def test_the_checker_catches(broken):
    record = valid_record()
    assert check(record) == []
    broken(record)
    assert len(check(record)) == 1


@pytest.mark.timeout(180)
def test_machines_out_under_load_and_a_gateway_stopped_with_work_out():
    record = run(7, "stop")
    assert check(record) == []
    assert set(record.steps) == {"n0", "n3", "g4"} and len(record.worked) == 3
