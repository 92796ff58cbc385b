"""One gateway's core: reports, leases, ranks, and operators' reports of completed work."""

from __future__ import annotations

import pytest

from mallowbeam.storage_gateway.coordination.maintenance import actions
from mallowbeam.storage_gateway.coordination.maintenance.entries import (
    DeadlineExceeded,
    LeaseExpired,
    NodeStatus,
    SelectNext,
    StatusReport,
    Transition,
    WorkCompleted,
)
from mallowbeam.storage_gateway.coordination.maintenance.gateway_core import MaintenanceCore
from mallowbeam.storage_gateway.coordination.maintenance.state_machine import MaintenanceStateMachine
from mallowbeam.storage_gateway.coordination.replicated_log import ReplicatedLog

MEMBERS = ("g0", "g1", "g2")
NODES = {f"n{i}": NodeStatus("ab"[i % 2], i // 2) for i in range(4)}


class Rig:
    """A core on a log of its own, which applies each entry immediately unless a test loses it."""

    def __init__(self, name="g1", now=100.0, caught_up_at=99.5):
        self.log = ReplicatedLog([MaintenanceStateMachine(MEMBERS)])
        self.core = MaintenanceCore(name, "l", MEMBERS, now)
        self.core.caught_up(caught_up_at)
        self.core.observe(actions.LocalView(NODES))
        self.name, self.now, self.executed = name, now, []
        for by in MEMBERS:
            self.put(by, StatusReport("l" if by != name else "old", 1, 0, "z", NODES))

    def put(self, by, entry):
        committed = self.log.apply(self.log.encode("maintenance", by, entry))
        self.executed += self.core.committed(committed, self.now)
        return committed

    def push(self, *machines, **changes):
        request = {"id": "a", "machines": list(machines)} | changes
        for committed in self.log.push({"drains": [], "maintenance": {"requests": [request]}}):
            self.executed += self.core.committed(committed, self.now)

    def advance(self, seconds, lost=False):
        """Let time pass; commit the core's proposals unless `lost`, and return them."""
        self.now += seconds
        found = self.core.tick(self.now)
        entries = [action.entry for action in found if isinstance(action, actions.Propose)]
        self.executed += [action for action in found if not isinstance(action, actions.Propose)]
        for entry in [] if lost else entries:
            self.put(self.name, entry)
        return entries

    def step(self, machine):
        item = self.log.states["maintenance"].machines[machine]
        return item.step

    def start_draining(self, machine="n0"):
        self.push(machine)
        self.put("g0", SelectNext(0))
        if machine.startswith("g"):
            self.put(machine, StatusReport("l", 5, self.log.index, "z", NODES, released_allotments=True))
        self.put("g0", Transition(machine, "draining", 1))
        assert self.step(machine) == "draining"

    def take_out(self):
        for version, target in ((2, "empty"), (3, "out")):
            for by in MEMBERS:
                self.put(by, StatusReport("l", 50 + version, self.log.index, "z", NODES, ["n0"]))
            self.put("g0", Transition("n0", target, version))
        assert self.step("n0") == "out"


def reports(entries):
    return [entry for entry in entries if isinstance(entry, StatusReport)]


def test_a_lost_report_is_repeated_and_a_committed_one_is_not():
    rig = Rig()
    assert reports(rig.advance(0.1, lost=True))
    assert not reports(rig.advance(0.5))
    assert reports(rig.advance(1.0))  # repeated, and this one is committed
    assert not reports(rig.advance(5.0))
    assert reports(rig.advance(30.0))


def test_while_maintenance_is_active_it_serves_by_the_lease_of_its_reports():
    rig = Rig(caught_up_at=99.0)
    assert rig.core.serves(1e6)  # no maintenance is requested
    rig.push("n0")
    assert rig.core.serves(101.0) and not rig.core.serves(101.1)  # by the marker from before the request
    rig.advance(0.5)
    assert rig.core.serves(102.5) and not rig.core.serves(102.6)


def test_a_lease_expires_only_after_own_committed_reports_prove_it():
    rig = Rig()
    rig.now += 50.0  # without maintenance no gateway had to report
    rig.push("n0")
    assert not [e for e in rig.advance(1.0) if isinstance(e, LeaseExpired)]
    rig.put("g0", StatusReport("l", 2, 0, "z", NODES))
    for _ in range(4):  # its own reports are lost, so it may have missed those of others
        assert not [e for e in rig.advance(1.0, lost=True) if isinstance(e, LeaseExpired)]
    found = []
    for _ in range(6):
        rig.put("g0", StatusReport("l", 3 + rig.log.index, 0, "z", NODES))
        found += [e for e in rig.advance(0.6) if isinstance(e, LeaseExpired)]
    assert {e.gateway for e in found} == {"g2"}


@pytest.mark.parametrize("leader, expected_s", [("g1", 0.0), ("g0", 0.5), ("g2", 1.0)])
def test_the_leader_proposes_first_and_others_by_their_rank(leader, expected_s):
    rig = Rig()
    rig.core.observe(actions.LocalView(NODES, leader=leader))
    rig.push("n0")
    waited_s = 0.0
    while not any(isinstance(e, SelectNext) for e in rig.advance(0.1, lost=True)):
        waited_s += 0.1
        assert waited_s < 3.0
    assert waited_s == pytest.approx(expected_s, abs=0.11)


def test_empty_is_reported_after_the_grace_time_with_nothing_in_flight():
    rig = Rig()
    rig.start_draining()
    assert actions.Drain("n0") in rig.executed and not rig.core.accepts_work("n0")
    assert not any("n0" in e.empty for e in reports(rig.advance(0.2)))
    busy_nodes = NODES | {"n0": NodeStatus("a", 0, in_flight=1)}
    rig.core.observe(actions.LocalView(busy_nodes))
    assert not any("n0" in e.empty for e in reports(rig.advance(0.5)))
    rig.core.observe(actions.LocalView(NODES))
    assert any("n0" in e.empty for e in reports(rig.advance(0.2)))


def test_a_gateway_releases_allotments_then_rejects_requests_then_reports_empty():
    rig = Rig()
    rig.push("g1")
    rig.put("g0", SelectNext(0))
    assert rig.executed[-1] == actions.StepDown(False)
    rig.core.observe(actions.LocalView(NODES, in_flight=2, released_allotments=True))
    rig.advance(0.2)
    rig.put("g0", Transition("g1", "draining", 1))
    assert rig.step("g1") == "draining" and actions.StepDown(True) in rig.executed
    assert not any("g1" in e.empty for e in reports(rig.advance(0.6)))
    rig.core.observe(actions.LocalView(NODES, in_flight=0, released_allotments=True))
    assert any("g1" in e.empty for e in reports(rig.advance(0.6)))
    rig.push("n0")  # withdrawn before it was out
    assert actions.StepUp() in rig.executed


def test_the_deadline_counts_from_agreement_by_its_own_clock():
    rig = Rig()
    rig.push("n0", time_s=5.0)
    rig.now += 60.0  # the time before the selection does not count
    rig.put("g0", SelectNext(0))
    assert not [e for e in rig.advance(4.0, lost=True) if isinstance(e, DeadlineExceeded)]
    rig.advance(1.5, lost=True)
    assert [e for e in rig.advance(1.0, lost=True) if isinstance(e, DeadlineExceeded)]


def test_completed_work_is_proposed_until_it_is_committed():
    rig = Rig()
    rig.start_draining()
    rig.take_out()
    rig.core.complete_work("n0")
    proposed = [rig.advance(0.5, lost=True) for _ in range(10)]
    assert sum(WorkCompleted("n0") in entries for entries in proposed) > 2
    rig.advance(1.0)
    assert rig.step("n0") != "out"
    assert not any(isinstance(e, WorkCompleted) for _ in range(5) for e in rig.advance(0.5, lost=True))


def test_a_machine_that_is_back_gets_this_gateways_share_before_it_serves():
    rig = Rig()
    rig.start_draining()
    rig.take_out()
    rig.put("g0", WorkCompleted("n0"))
    assert not rig.core.accepts_work("n0")
    rig.put("g0", Transition("n0", "warming", 5))
    warm = actions.WarmUp("n0", pytest.approx(1 / 3))
    assert rig.executed.index(warm) < rig.executed.index(actions.Undrain("n0"))
