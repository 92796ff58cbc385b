"""Each checker of maintenance catches deliberately broken state machines, cores and gateways."""

from __future__ import annotations

import dataclasses
import functools
import zlib

import pytest

from mallowbeam.lab.faults import orderly
from mallowbeam.lab.faults.walk import Gateway, Walk
from mallowbeam.lab.faults.walks import places
from mallowbeam.storage_gateway.coordination.maintenance import actions, constraints
from mallowbeam.storage_gateway.coordination.maintenance.entries import StatusReport, Transition
from mallowbeam.storage_gateway.coordination.maintenance.gateway_core import MaintenanceCore
from mallowbeam.storage_gateway.coordination.maintenance.selection import MachineSelector
from mallowbeam.storage_gateway.coordination.maintenance.state_machine import MaintenanceStateMachine
from mallowbeam.storage_gateway.coordination.maintenance.steps import Step
from mallowbeam.storage_gateway.coordination.maintenance.transitions import CONSTRAINED_STEPS, TransitionGuard


def without_constraints(*omitted):
    """A state machine that lacks these constraints."""
    kept = tuple(each for each in constraints.CONSTRAINTS if each not in omitted)
    return lambda members: MaintenanceStateMachine(members, kept)


class ConstraintsCheckedOnce(MaintenanceStateMachine):
    """Checks the constraints only when it selects a machine."""

    class Guard(TransitionGuard):
        def blocked_reason(self, state, machine, target, view=None):
            if (machine.step, target) in CONSTRAINED_STEPS:
                return self.missing_report(state, machine, Step.EMPTY) if target == Step.OUT else ""
            return "no" if target == Step.PROPOSED else super().blocked_reason(state, machine, target, view)

    def __init__(self, members):
        super().__init__(members, guard=self.Guard)


class NoReportsRequired(MaintenanceStateMachine):
    """Requires no reports before a machine counts as empty or warm."""

    class Guard(TransitionGuard):
        def missing_report(self, state, machine, step):
            return ""

    def __init__(self, members):
        super().__init__(members, guard=self.Guard)


class OneReportSuffices(MaintenanceStateMachine):
    """Requires the report of only one gateway."""

    class Guard(TransitionGuard):
        def missing_report(self, state, machine, step):
            lists = [each.empty if step == Step.EMPTY else each.warm for each in state.reports.values()]
            return "" if any(machine.name in names for names in lists) else "nobody has said so"

    def __init__(self, members):
        super().__init__(members, guard=self.Guard)

    def take_step(self, state, index, machine, target, reason):
        if (machine.step, target) == (Step.EMPTY, Step.DRAINING):
            return state
        return super().take_step(state, index, machine, target, reason)


def treating_down_as_up(members):
    """A state machine whose constraints treat machines that are down as up."""

    def up(constraint):
        return lambda view, machine, request: constraint(
            dataclasses.replace(view, down=frozenset()), machine, request
        )

    return MaintenanceStateMachine(members, tuple(up(each) for each in constraints.CONSTRAINTS))


class ReplicaNumbers:
    """Gives each replica a number of its own, so that replicas can differ."""

    count = 0

    @classmethod
    def number(cls):
        cls.count += 1
        return cls.count


class DifferentOrders(MaintenanceStateMachine):
    """Each replica selects machines in an order of its own."""

    def __init__(self, members):
        salt = ReplicaNumbers.number()

        class ShuffledSelector(MachineSelector):
            def candidates(self, state, view):
                return sorted(
                    super().candidates(state, view),
                    key=lambda machine: zlib.crc32(f"{machine.name}{salt}".encode()),
                )

        super().__init__(members, selector=ShuffledSelector)


class SkipsTransitions(MaintenanceStateMachine):
    """Some replicas skip certain entries."""

    def __init__(self, members):
        super().__init__(members)
        self.skips_drains = ReplicaNumbers.number() % 3 == 0

    def apply(self, states, index, by, entry):
        if self.skips_drains and isinstance(entry, Transition) and entry.target == Step.DRAINING:
            return states[self.name]
        return super().apply(states, index, by, entry)


class SkipsReports(MaintenanceStateMachine):
    """Each replica skips some reports, so its selection depends on local information."""

    def __init__(self, members):
        super().__init__(members)
        self.salt = ReplicaNumbers.number()

    def apply(self, states, index, by, entry):
        if isinstance(entry, StatusReport) and (index + self.salt) % 2:
            return states[self.name]
        return super().apply(states, index, by, entry)


class IgnoresDrains(Gateway):
    """Keeps sending requests to drained nodes."""

    def do(self, due):
        super().do(due)
        self.drained = set()


class IgnoresLease(Gateway):
    """Serves even after its lease has expired."""

    def serves(self):
        return not self.refuses


class ReportsEmptyEarly(MaintenanceCore):
    """Reports a draining machine as empty immediately, despite requests in flight."""

    def empty_machines(self, now):
        machines = self.state.machines
        return [name for name, each in machines.items() if each.step in (Step.DRAINING, Step.EMPTY)]


class ReportsEmptyEarlyGateway(Gateway):
    core_type = ReportsEmptyEarly


class ExpiresLeasesEarly(MaintenanceCore):
    """Proposes another gateway's lease as expired too early."""

    def due_entries(self, now):
        renewed_at, self.lease.renewed_at = self.lease.renewed_at, now + 9.0
        found = super().due_entries(now)
        self.lease.renewed_at = renewed_at
        return found


class ExpiresLeasesEarlyGateway(Gateway):
    core_type = ExpiresLeasesEarly


def trial(topic=MaintenanceStateMachine, gateway=Gateway, work_s=0.6, **changes):
    """A walk in which every constraint matters."""
    request = {"id": "a", "machines": ["n0", "n1", "n3", "n4", "g1", "g2"], "at_once": 2, "time_s": 60.0}
    request |= changes
    ReplicaNumbers.count = 0
    walk = Walk(3, topic=topic, gateway=gateway, work_s=work_s)
    walk.works = dict.fromkeys(request["machines"], 6.0)
    walk.run(4.0)
    walk.insist("g0", [request])
    walk.run(40.0)
    walk.add(orderly.Ended(walk.now, True))
    return walk, [request]


QUICK = actions.Timings(
    lease_s=5.0, report_s=0.1, changed_report_s=0.05, proposal_timeout_s=0.3, rank_delay_s=0.1
)
MANY = {"zone_floor": 0.0, "at_once": 9, "sole_data": True}
WIDE = {"at_once": 9, "at_once_zone": 9, "zone_floor": 0.0, "sole_data": True}

BROKEN = [
    (orderly.too_many, without_constraints(constraints.max_unavailable), Gateway, {}),
    (
        orderly.too_many,
        without_constraints(constraints.max_unavailable_in_zone),
        Gateway,
        {"zone_floor": 0.0, "at_once": 9, "sole_data": True},
    ),
    (
        orderly.too_many,
        without_constraints(constraints.max_unavailable, constraints.max_unavailable_in_zone),
        Gateway,
        {},
    ),
    (
        orderly.below_floor,
        without_constraints(constraints.zone_capacity),
        Gateway,
        WIDE | {"zone_floor": 0.5},
    ),
    (
        orderly.below_floor,
        without_constraints(constraints.shard_capacity),
        Gateway,
        WIDE | {"shard_floor": 0.6},
    ),
    (orderly.together, without_constraints(constraints.retry_peers), Gateway, WIDE | {"repeats": "zone"}),
    (orderly.together, without_constraints(constraints.retry_peers), Gateway, WIDE | {"repeats": "shard"}),
    (orderly.together, without_constraints(constraints.retry_peers), Gateway, WIDE | {"repeats": "all"}),
    (orderly.orders_differ, DifferentOrders, Gateway, {}),
    (orderly.orders_differ, SkipsTransitions, Gateway, {}),
    (orderly.orders_differ, SkipsReports, Gateway, {}),
    (orderly.sent_to_drained, MaintenanceStateMachine, IgnoresDrains, {}),
    (orderly.sent_to_drained, MaintenanceStateMachine, ReportsEmptyEarlyGateway, {"work_s": 6.0}),
    (orderly.sent_to_drained, NoReportsRequired, Gateway, {"work_s": 6.0}),
    (orderly.sent_to_drained, OneReportSuffices, Gateway, {"work_s": 6.0}),
    (orderly.without_quorum, without_constraints(constraints.quorum), Gateway, WIDE),
    (orderly.without_quorum, treating_down_as_up, Gateway, WIDE),
    (orderly.without_quorum, ConstraintsCheckedOnce, Gateway, WIDE),
]


def lose_two_gateways(topic, gateway, changes):
    """A request for three gateways at once while the other two are killed."""
    request = {"id": "a", "machines": ["g0", "g1", "g2"], "time_s": 90.0} | changes
    walk = Walk(5, topic=topic, gateway=gateway)
    walk.works = dict.fromkeys(walk.members, 9.0)
    walk.run(4.0)
    walk.insist("g0", [request])
    for one in walk.gateways.values():
        one.in_hand.append(walk.now + 12.0)  # keeps the first one draining while others die
    walk.kill("g3")
    walk.kill("g4")
    walk.run(40.0)
    return walk, [request]


def violations(checker, topic, gateway, changes):
    changes = dict(changes)
    if checker is orderly.without_quorum:
        walk, requests = lose_two_gateways(topic, gateway, changes)
        return checker(walk.history, places(walk))
    walk, requests = trial(topic, gateway, **changes)
    if checker in (orderly.too_many, orderly.below_floor, orderly.together):
        return checker(walk.history, places(walk), requests)
    return checker(walk.history)


@pytest.mark.parametrize("checker, topic, gateway, changes", BROKEN)
def test_a_checker_catches_what_is_broken_and_nothing_else(checker, topic, gateway, changes):
    assert violations(checker, topic, gateway, changes)
    assert not violations_of_real_code(checker, tuple(sorted(changes.items())))


@functools.cache
def violations_of_real_code(checker, changes):
    """The checker's findings for the real state machine, core and gateway."""
    return violations(checker, MaintenanceStateMachine, Gateway, dict(changes))


@pytest.mark.parametrize("checker, at_once", [(orderly.below_floor, 9), (orderly.too_many, 1)])
def test_constraints_that_treat_down_machines_as_up_are_caught(checker, at_once):
    def run(topic):
        request = {
            "id": "a",
            "machines": ["n1"],
            "at_once": at_once,
            "at_once_zone": 9,
            "sole_data": True,
            "zone_floor": 0.5 if at_once > 1 else 0.0,
        }
        walk = Walk(5, topic=topic)
        walk.run(4.0)
        walk.fail("n4")
        walk.run(8.0)
        walk.insist("g2", [request])
        walk.run(15.0)
        return checker(walk.history, places(walk), [request])

    assert run(treating_down_as_up) and not run(MaintenanceStateMachine)


@pytest.mark.parametrize("checker, at_once", [(orderly.below_floor, 9), (orderly.too_many, 1)])
def test_constraints_that_are_not_checked_again_are_caught(checker, at_once):
    def run(topic):
        request = {
            "id": "a",
            "machines": ["n1"],
            "at_once": at_once,
            "at_once_zone": 9,
            "time_s": 60.0,
            "zone_floor": 0.5 if at_once > 1 else 0.0,
            "sole_data": True,
        }
        walk = Walk(5, topic=topic)
        walk.run(4.0)
        walk.insist("g2", [request])
        for one in walk.gateways.values():
            one.work.append((walk.now + 15.0, "n1"))
        walk.run(3.0)
        walk.fail("n4")
        walk.run(20.0)
        return checker(walk.history, places(walk), [request])

    assert run(ConstraintsCheckedOnce) and not run(MaintenanceStateMachine)


@pytest.mark.parametrize("gateway", [IgnoresLease, ExpiresLeasesEarlyGateway])
def test_a_resumed_gateway_that_ignores_or_shortens_leases_is_caught(gateway):
    """Guards against requests to a machine that went out of service while the gateway was suspended.

    Only its lease check prevents them, so `LeaseExpired` must not be proposed too early.
    """

    def run(kind):
        found = []
        for seed in range(3):
            walk = Walk(seed, gateway=kind, times=QUICK, loss=0.0)
            walk.works = {"n0": 12.0}
            walk.run(4.0)
            walk.insist("g0", [{"id": "a", "machines": ["n0"], "time_s": 60.0}])
            walk.run(20.0, lambda w=walk: w.state.machines["n0"].step == "agreed")
            walk.gateways["g3"].view = dict.fromkeys(walk.nodes, True)
            walk.stop("g3")
            walk.run(30.0, lambda w=walk: w.state.machines["n0"].step == "out")
            walk.go("g3")
            walk.part(["g3"])  # it receives no entries for a while
            walk.run(3.0)
            found += orderly.sent_to_drained(walk.history)
        return found

    assert run(gateway) and not run(Gateway)


def test_maintenance_that_never_ends_is_caught():
    class ProposesNothing(MaintenanceCore):
        def due_entries(self, now):
            return []

    class ProposesNothingGateway(Gateway):
        core_type = ProposesNothing

    walk = Walk(1, gateway=ProposesNothingGateway)
    walk.run(4.0)
    walk.insist("g0", [{"id": "a", "machines": ["n0"]}])
    assert not walk.rest(30.0) and orderly.unended(walk.history)
