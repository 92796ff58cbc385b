"""Two topics over one real Raft of three members in this process."""

from __future__ import annotations

import shutil

import pytest
from raft_members import Add, Fail, Members, PolicyVersion, ReplicaFailed, SubsystemsHosted, Sum

from mallowbeam.storage_gateway.coordination.errors import PolicyRejectedError, VersionConflictError

POLICY = '{"drains":[],"pools":{"most":40},"shares":{"most":7}}'


@pytest.fixture
def fleet(tmp_path):
    members = Members(tmp_path)
    members.lease_renewed()
    yield members
    members.close()


def test_every_member_gets_the_same_entries_and_refusals_in_the_same_order(fleet):
    for name in fleet.up:
        fleet.put(name, "shares", Add(2))
        fleet.put(name, "pools", Add(40))  # the third is beyond 100
        fleet.put(name, "pools", Fail())
    fleet.lease_renewed()
    told = [told.entries for told in fleet.told.values()]
    assert told[0] == told[1] == told[2] and len(told[0]) == 9
    assert sum(committed.refusal is not None for committed in told[0]) == 4
    assert fleet.told["g0"].states() == {"shares": Sum(6, "g2"), "pools": Sum(80, "g1")}


def test_a_push_refused_by_one_state_machine_is_in_force_nowhere_and_reports_why(fleet):
    fleet.put("g0", "pools", Add(50))
    refused = fleet.push("g1", 0, POLICY)
    assert (
        isinstance(refused, PolicyRejectedError)
        and refused.where == "pools.most"
        and "50" in refused.remedy_text
    )
    assert fleet.push("g1", 0, POLICY.replace("40", "50")) == 1
    assert isinstance(fleet.push("g2", 0, POLICY), VersionConflictError)
    fleet.lease_renewed()
    for told in fleet.told.values():
        assert [change.version for change in told.of(PolicyVersion)] == [0, 1]
        assert told.states() == {"shares": Sum(0, "", 7), "pools": Sum(50, "g0", 50)}


def test_states_are_loaded_from_a_snapshot_after_a_restart_and_after_the_loss_of_the_folder(fleet):
    fleet.put("g0", "shares", Add(5))
    assert fleet.push("g0", 0, POLICY) == 1
    fleet.lease_renewed()
    for name, node in fleet.up.items():
        node.engine.forceLogCompaction()
        fleet.until(lambda name=name: (fleet.folder / name / "snapshot").exists())
    fleet.stop("g1")
    fleet.put("g0", "shares", Add(1))
    fleet.start("g1")
    fleet.lease_renewed("g0", "g1")  # else g2 would take along the only other copy of what is new
    fleet.stop("g2")
    shutil.rmtree(fleet.folder / "g2")
    fleet.start("g2")
    fleet.lease_renewed()
    for told in fleet.told.values():
        assert told.states() == {"shares": Sum(6, "g0", 7), "pools": Sum(0, "", 40)}
        assert not told.of(ReplicaFailed)
    for name in ("g1", "g2"):
        told = fleet.told[name]
        assert [committed.entry for committed in told.entries] in ([Add(1)], []), "the rest came whole"
        assert told.of(PolicyVersion)[-1] == PolicyVersion(1, POLICY)


def test_a_member_with_other_state_machines_is_known_and_leaves_at_a_push_it_can_not_judge(fleet):
    fleet.stop("g2")
    fleet.start("g2", "shares")
    fleet.lease_renewed()
    fleet.until(lambda: SubsystemsHosted("g2", ("shares",)) in fleet.told["g0"].heard)
    assert fleet.push("g0", 0, POLICY) == 1
    fleet.until(lambda: fleet.told["g2"].of(ReplicaFailed))
    assert fleet.told["g2"].of(PolicyVersion)[-1].version == 0
