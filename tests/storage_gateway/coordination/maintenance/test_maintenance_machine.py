"""The maintenance state machine entry by entry: rejected pushes, duplicates, and reasons of selections."""

from __future__ import annotations

import pytest

from mallowbeam.storage_gateway.coordination.maintenance import actions
from mallowbeam.storage_gateway.coordination.maintenance.entries import (
    MAX_NODES,
    DeadlineExceeded,
    LeaseExpired,
    NodeStatus,
    SelectNext,
    StatusReport,
    Transition,
    WorkCompleted,
)
from mallowbeam.storage_gateway.coordination.maintenance.gateway_core import MaintenanceCore
from mallowbeam.storage_gateway.coordination.maintenance.state_machine import (
    MaintenanceStateMachine,
    describe,
)
from mallowbeam.storage_gateway.coordination.replicated_log import MAX_ENTRY_BYTES, Refusal, ReplicatedLog

MEMBERS = ("g0", "g1", "g2")


def nodes(**changes):
    """Six nodes in two zones and three shards."""
    found = {f"n{i}": NodeStatus("ab"[i % 2], i // 2, in_flight=i) for i in range(6)}
    return found | changes


def fleet(members=MEMBERS, listed=None):
    log = ReplicatedLog([MaintenanceStateMachine(members)])
    for name in members:
        put(log, name, StatusReport("l", 1, 0, "z", listed or nodes()))
    return log


def put(log, by, entry):
    return log.apply(log.encode("maintenance", by, entry))


def push(log, *requests, drains=()):
    return log.push({"drains": list(drains), "maintenance": {"requests": list(requests)}})


def request(*machines, **changes):
    return {"id": "a", "machines": list(machines)} | changes


def state(log):
    return log.states["maintenance"]


@pytest.mark.parametrize(
    "pushed, what, remedy",
    [
        (request("n9"), "no live gateway lists it", "listed"),
        (request("n0", zone_floor=0.9), "zone 'a' would keep 0.67", "zone_floor"),
        (request("n0", shard_floor=0.8), "shard 0 would keep 0.50", "shard_floor"),
        (request("n0", at_once=0), "Expected `int` >= 1", "docs/maintenance.md"),
        (request("n0", k=1), "unknown field", "docs/maintenance.md"),
    ],
)
def test_what_cannot_be_met_is_refused_at_once(pushed, what, remedy):
    log = fleet()
    refusal = push(log, pushed)
    assert isinstance(refusal, Refusal)
    assert what in refusal.what and remedy in refusal.remedy and refusal.where.startswith("maintenance")
    assert state(log).machines == {}


def test_sole_data_and_small_fleets():
    sole_owner = fleet(listed=nodes(n9=NodeStatus("a", 9)))
    assert "only n9 serves shard 9" in push(sole_owner, request("n9")).what
    assert not isinstance(push(sole_owner, request("n9", sole_data=True)), Refusal)
    assert "needs more than half" in push(fleet(("g0", "g1")), request("g0")).what
    assert (
        "only n0 serves some of its data"
        in push(fleet(listed=nodes(n0=NodeStatus("a", 0, sole_replica=True))), request("n0")).what
    )


def test_a_node_that_the_policy_drains_is_unavailable():
    log = fleet()
    push(log, request("n3"), drains=["n1"])
    assert "n1 is not there, a allows 1 at once" in put(log, "g0", SelectNext(0)).refusal.what


def test_a_request_before_any_report_is_rejected():
    assert (
        "no gateway has said yet"
        in push(ReplicatedLog([MaintenanceStateMachine(MEMBERS)]), request("n0")).what
    )


def test_two_concurrent_selections_select_one_machine_with_a_reason():
    log = fleet()
    push(log, request("n2", "n0", "g1"))
    first = put(log, "g0", SelectNext(0))
    # n0 has the fewest requests in flight in its zone.
    assert first.refusal is None and state(log).machines["n0"].step == "agreed"
    assert put(log, "g1", SelectNext(0)).refusal is not None
    assert "n0 is next of 3" in state(log).machines["n0"].reason
    paused = put(log, "g1", SelectNext(1)).refusal
    assert paused is not None and "n2 may not go: n0 is not there, a allows 1 at once" in paused.what
    assert describe(MaintenanceStateMachine(MEMBERS), state(log))["next"].startswith("paused")


def test_a_step_asked_for_twice_is_taken_once():
    log = fleet()
    push(log, request("n0"))
    put(log, "g0", SelectNext(0))
    assert put(log, "g0", Transition("n0", "draining", 1)).refusal is None
    assert put(log, "g1", Transition("n0", "draining", 1)).refusal is not None
    assert put(log, "g1", Transition("n0", "out", 2)).refusal is not None
    put(log, "g0", DeadlineExceeded("n0", 4))
    assert state(log).machines["n0"].step == "failed"


def test_an_entry_meant_for_an_earlier_turn_is_a_duplicate():
    log = fleet()
    push(log, request("n0", "n3", at_once=2))
    put(log, "g0", SelectNext(0))
    assert put(log, "g1", SelectNext(0)).refusal is not None  # although another machine could be selected
    assert [item.step for item in state(log).machines.values()] == ["agreed", "proposed"]
    assert put(log, "g1", Transition("n0", "draining", 0)).refusal is not None
    assert put(log, "g1", DeadlineExceeded("n0", 1)).refusal is not None
    assert put(log, "g1", SelectNext(1)).refusal is None


def report_empty(log, *names, number, applied_index=None):
    for name in names:
        put(
            log,
            name,
            StatusReport(
                "l", number, log.index if applied_index is None else applied_index, "z", nodes(), ["n0"]
            ),
        )


def start_draining(log):
    push(log, request("n0"))
    put(log, "g0", SelectNext(0))
    put(log, "g0", Transition("n0", "draining", 1))


def test_empty_requires_every_live_gateways_report_after_it_applied_the_drain():
    log = fleet()
    start_draining(log)
    report_empty(log, "g0", "g1", number=2)
    assert "g2 has not said" in put(log, "g0", Transition("n0", "empty", 2)).refusal.what
    report_empty(log, "g2", number=2, applied_index=1)  # from before it applied the drain: does not count
    assert "g2 has not said" in put(log, "g0", Transition("n0", "empty", 2)).refusal.what
    assert put(log, "g0", LeaseExpired("g2", "l", 1)).refusal is not None  # it has reported since
    assert put(log, "g0", LeaseExpired("g2", "l", 2)).refusal is None
    assert put(log, "g0", Transition("n0", "empty", 2)).refusal is None
    put(log, "g2", StatusReport("l", 3, log.index, "z", nodes()))  # it is back, with requests in flight there
    assert state(log).machines["n0"].step == "draining" and state(log).expired_gateways == frozenset()


def test_back_requires_an_operator_or_an_observed_restart():
    for restart, seen_down in ((0, True), (7, False)):
        started = nodes(n0=NodeStatus("a", 0, start_count=5))
        log = fleet(listed=started)
        start_draining(log)
        for name in MEMBERS:
            put(
                log,
                name,
                StatusReport("l", 2, log.index, "z", started, ["n0"]),
            )
        put(log, "g0", Transition("n0", "empty", 2))
        assert "g0 has not said" in put(log, "g0", Transition("n0", "out", 3)).refusal.what  # since then
        for name in MEMBERS:
            put(
                log,
                name,
                StatusReport("l", 3, log.index, "z", started, ["n0"]),
            )
        assert put(log, "g0", Transition("n0", "out", 3)).refusal is None
        assert put(log, "g0", Transition("n0", "back", 4)).refusal is not None
        number = 4
        for up, start in ((False, 0), (True, restart or 5)) if seen_down else ((True, restart),):
            for name in MEMBERS:
                observed = nodes(n0=NodeStatus("a", 0, up=up, start_count=start))
                put(log, name, StatusReport("l", number, log.index, "z", observed, ["n0"]))
            number += 1
        assert put(log, "g0", Transition("n0", "back", 4)).refusal is None
    assert put(log, "g0", WorkCompleted("n0")).refusal is not None


def test_constraints_cannot_change_while_a_machine_is_in_progress():
    log = fleet()
    start_draining(log)
    assert "can't change while n0 is draining" in push(log, request("n0", at_once=2)).what
    assert "is away for another request" not in str(push(log, request("n0"), request("n0", id="b")))
    assert not isinstance(push(log, request("n0", "n3")), Refusal)  # more machines may join
    assert "2 requests are called a" in push(log, request("n0", "n3"), request("n1")).what


def test_a_request_that_allows_fewer_machines_than_in_progress_is_rejected():
    log = fleet()
    push(log, request("n0", "n3", at_once=2))
    put(log, "g0", SelectNext(0))
    put(log, "g0", SelectNext(1))
    refusal = push(log, request("n0", "n3", at_once=2), request("n0", id="b"))
    assert isinstance(refusal, Refusal) and "raise at_once" in refusal.remedy


def test_a_node_that_discovery_forgets_is_down_not_gone():
    log = fleet()
    push(log, request("n0", zone_floor=0.6))
    for name in MEMBERS:
        put(log, name, StatusReport("l", 2, log.index, "z", {k: v for k, v in nodes().items() if k != "n2"}))
    assert "would keep 0.33" in put(log, "g0", SelectNext(0)).refusal.what or (
        "n2 is not there" in put(log, "g0", SelectNext(0)).refusal.what
    )


def test_state_outlives_a_snapshot_and_a_core_follows_it():
    log = fleet()
    start_draining(log)
    other = ReplicatedLog([MaintenanceStateMachine(MEMBERS)])
    committed = other.load(log.dump())
    assert other.states == log.states
    core = MaintenanceCore("g1", "x", MEMBERS, 10.0)
    assert actions.Drain("n0") in core.committed(committed[0], 10.0) and not core.accepts_work("n0")


def test_a_report_of_all_nodes_fits_an_entry():
    core = MaintenanceCore("g1", "x", MEMBERS, 0.0)
    many = {
        f"storage-node-{i:04}": NodeStatus("zone-a", i, 1.5, True, 2**15, 0.123456789, True, 2**40)
        for i in range(900)
    }
    core.observe(actions.LocalView(many))
    (report,) = [a.entry for a in core.tick(1.0) if isinstance(a, actions.Propose)]
    assert len(report.nodes) == MAX_NODES
    assert len(fleet().encode("maintenance", "g1", report)) < MAX_ENTRY_BYTES
