"""The subsystem in a gateway: calls to its context, its lease check, and the page `maintenance/back`."""

from __future__ import annotations

import asyncio
from types import SimpleNamespace

import pytest

from mallowbeam.http.framing import Message
from mallowbeam.storage_gateway.coordination.maintenance.entries import (
    NodeStatus,
    SelectNext,
    StatusReport,
    Transition,
    WorkCompleted,
)
from mallowbeam.storage_gateway.coordination.maintenance.subsystem import MachineNotOutError, open_subsystem
from mallowbeam.storage_gateway.coordination.replicated_log import ReplicatedLog
from mallowbeam.storage_gateway.coordination.status_pages import StatusPages
from mallowbeam.storage_gateway.operator_settings import MaintenanceSection
from mallowbeam.storage_gateway.scheduler.interface import NodeEntry, NodeState

STARTS = {1: 12.25, 2: 0.0}  # start time in seconds by node number; discovery has none for the others


class RecordingContext:
    """A context that records calls; the tests commit proposals themselves."""

    me, members = "g0", ("g0", "g1", "g2")

    def __init__(self):
        self.proposed, self.drained, self.opened, self.work, self.gates = [], set(), True, 0, []

    def propose(self, entry):
        self.proposed.append(entry)
        return True

    def leader(self):
        return True

    def drain(self, node, out):
        (self.drained.add if out else self.drained.discard)(node)

    def nodes(self):
        return [
            NodeEntry(f"n{i}", NodeState.READY, 0, "ab"[i % 2], started_at=STARTS.get(i)) for i in range(4)
        ]

    def attempts_at(self, node):
        return self.work

    def open_requests(self):
        return 0

    def gate(self, is_open):
        self.opened = is_open

    def gateway(self):
        return self


@pytest.fixture
def rig():
    context = RecordingContext()
    subsystem = open_subsystem(context, MaintenanceSection(on=True))
    log = ReplicatedLog([subsystem.state_machine])

    def put(by, entry):
        committed = log.apply(log.encode("maintenance", by, entry))
        assert committed.refusal is None
        subsystem.committed(committed, 100.0)

    def push(*machines):
        requests = [{"id": "a", "machines": list(machines), "at_once": 2}] if machines else []
        for committed in log.push({"drains": [], "maintenance": {"requests": requests}}):
            subsystem.committed(committed, 100.0)

    def report_all():
        """Commit a report of every gateway."""
        for number, by in enumerate(context.members):
            put(
                by,
                StatusReport(
                    f"l{log.index}",
                    number,
                    log.index,
                    "z",
                    {entry.node: NodeStatus(entry.zone) for entry in context.nodes()},
                    ["n0", "g0"],
                    ["n0"],
                    True,
                ),
            )

    subsystem.tick(99.0)
    report_all()
    return SimpleNamespace(
        context=context, subsystem=subsystem, put=put, push=push, report_all=report_all, log=log
    )


def take_steps(rig, machine, *steps):
    for step in steps:
        rig.report_all()
        rig.put("g1", Transition(machine, step, rig.subsystem.core.state.machines[machine].version))


def test_a_node_is_drained_and_returned_by_an_operators_request_to_the_page(rig):
    rig.push("n0")
    rig.put("g0", SelectNext(0))
    take_steps(rig, "n0", "draining")
    assert rig.context.drained == {"n0"}
    pages = StatusPages(SimpleNamespace(subsystems={"maintenance": rig.subsystem}, gauges_by_subsystem=dict))

    def ask(method, target):
        request = Message()
        request.method, request.target = method, target
        return asyncio.run(pages.handle(request, lambda: False)).status

    assert ask(b"PUT", b"/fleet/maintenance/back?n0") == 409
    take_steps(rig, "n0", "empty", "out")
    assert ask(b"GET", b"/fleet/maintenance/back?n0") == 405
    assert ask(b"PUT", b"/fleet/maintenance/back?n0") == 202
    rig.subsystem.tick(101.0)
    assert WorkCompleted("n0") in rig.context.proposed
    rig.put("g0", WorkCompleted("n0"))
    with pytest.raises(MachineNotOutError):
        rig.subsystem.complete_work("n0")
    warmed = []
    rig.subsystem.warmup_callbacks.append(lambda node, share: warmed.append((node, round(share, 2))))
    take_steps(rig, "n0", "warming")
    assert rig.context.drained == set() and warmed == [("n0", 0.33)]
    assert rig.subsystem.gauges()["away"] == 1


def test_a_gateway_releases_its_allotments_then_rejects_requests(rig):
    held = [True]
    rig.subsystem.allotment_callbacks.append(lambda out: not held[0])
    rig.push("g0")
    rig.put("g1", SelectNext(0))
    rig.subsystem.tick(100.0)
    assert rig.context.opened and not rig.context.proposed[-1].released_allotments
    held.clear()
    held.append(False)
    rig.subsystem.tick(101.0)
    assert any(getattr(entry, "released_allotments", False) for entry in rig.context.proposed)
    take_steps(rig, "g0", "draining")
    assert not rig.context.opened
    rig.push()
    assert rig.context.opened


def test_requests_are_rejected_by_the_clock_without_a_committed_report(rig):
    assert rig.context.gates[0]()
    rig.push("n0")
    assert not rig.context.gates[0]()  # no marker and no report of its own has been committed yet
    assert rig.subsystem.describe()["counted"] is False


def test_a_report_tells_the_starts_of_nodes_apart_as_discovery_has_them(rig):
    rig.push("n1")
    rig.subsystem.tick(101.0)
    reports = [entry for entry in rig.context.proposed if isinstance(entry, StatusReport)]
    counts = {name: status.start_count for name, status in reports[-1].nodes.items()}
    assert counts == {"n0": 0, "n1": 12250, "n2": 0, "n3": 0}
