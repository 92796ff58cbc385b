"""Two state machines over one real Raft group of three members in this process."""

from __future__ import annotations

import shutil

import pytest
from raft_members import Add, Fail, Members, PolicyVersion, ReplicaFailed, SubsystemsHosted, Sum

from mallowbeam.storage_gateway.coordination.errors import PolicyRejectedError, VersionConflictError

POLICY = '{"drains":[],"pools":{"most":40},"shares":{"most":7}}'


@pytest.fixture
def fleet(tmp_path):
    members = Members(tmp_path)
    members.commit_heartbeats()
    yield members
    members.close()


def test_every_member_gets_the_same_entries_and_refusals_in_the_same_order(fleet):
    for name in fleet.running:
        fleet.propose_entry(name, "shares", Add(2))
        fleet.propose_entry(name, "pools", Add(40))  # the third would exceed 100
        fleet.propose_entry(name, "pools", Fail())
    fleet.commit_heartbeats()
    recorded = [recorded.entries for recorded in fleet.recorded.values()]
    assert recorded[0] == recorded[1] == recorded[2] and len(recorded[0]) == 9
    assert sum(committed.refusal is not None for committed in recorded[0]) == 4
    assert fleet.recorded["g0"].states() == {"shares": Sum(6, "g2"), "pools": Sum(80, "g1")}


def test_a_push_refused_by_one_state_machine_is_in_force_nowhere_and_reports_why(fleet):
    fleet.propose_entry("g0", "pools", Add(50))
    refused = fleet.push("g1", 0, POLICY)
    assert (
        isinstance(refused, PolicyRejectedError)
        and refused.where == "pools.most"
        and "50" in refused.remedy_text
    )
    assert fleet.push("g1", 0, POLICY.replace("40", "50")) == 1
    assert isinstance(fleet.push("g2", 0, POLICY), VersionConflictError)
    fleet.commit_heartbeats()
    for recorded in fleet.recorded.values():
        assert [change.version for change in recorded.of(PolicyVersion)] == [0, 1]
        assert recorded.states() == {"shares": Sum(0, "", 7), "pools": Sum(50, "g0", 50)}


def test_states_are_loaded_from_a_snapshot_after_a_restart_and_after_the_loss_of_the_folder(fleet):
    fleet.propose_entry("g0", "shares", Add(5))
    assert fleet.push("g0", 0, POLICY) == 1
    fleet.commit_heartbeats()
    for name, node in fleet.running.items():
        node.engine.forceLogCompaction()
        fleet.wait_until(lambda name=name: (fleet.folder / name / "snapshot").exists())
    fleet.stop("g1")
    fleet.propose_entry("g0", "shares", Add(1))
    fleet.start("g1")
    fleet.commit_heartbeats("g0", "g1")  # otherwise g2 could take the only other copy of the new entry along
    fleet.stop("g2")
    shutil.rmtree(fleet.folder / "g2")
    fleet.start("g2")
    fleet.commit_heartbeats()
    for recorded in fleet.recorded.values():
        assert recorded.states() == {"shares": Sum(6, "g0", 7), "pools": Sum(0, "", 40)}
        assert not recorded.of(ReplicaFailed)
    for name in ("g1", "g2"):
        recorded = fleet.recorded[name]
        assert [committed.entry for committed in recorded.entries] in (
            [Add(1)],
            [],
        ), "the other entries came in a snapshot"
        assert recorded.of(PolicyVersion)[-1] == PolicyVersion(1, POLICY)


def test_a_member_with_other_state_machines_is_known_and_leaves_at_a_push_it_can_not_judge(fleet):
    fleet.stop("g2")
    fleet.start("g2", "shares")
    fleet.commit_heartbeats()
    fleet.wait_until(lambda: SubsystemsHosted("g2", ("shares",)) in fleet.recorded["g0"].events)
    assert fleet.push("g0", 0, POLICY) == 1
    fleet.wait_until(lambda: fleet.recorded["g2"].of(ReplicaFailed))
    assert fleet.recorded["g2"].of(PolicyVersion)[-1].version == 0
