"""Each checker of maintenance catches machines, cores and gateways that are broken on purpose."""

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


def without(*left_out):
    """A state machine that knows all constraints but these."""
    kept = tuple(each for each in constraints.CONSTRAINTS if each not in left_out)
    return lambda members: MaintenanceStateMachine(members, kept)


class NeverAgain(MaintenanceStateMachine):
    """Checks the constraints when it selects a machine, and not again."""

    class Guard(TransitionGuard):
        def blocked_reason(self, state, machine, target, view=None):
            if (machine.step, target) in CONSTRAINED_STEPS:
                return self.missing_report(state, machine, Step.EMPTY) if target == Step.OUT else ""
            return "no" if target == Step.PROPOSED else super().blocked_reason(state, machine, target, view)

    def __init__(self, members):
        super().__init__(members, guard=self.Guard)


class Unasked(MaintenanceStateMachine):
    """Believes that all is empty."""

    class Guard(TransitionGuard):
        def missing_report(self, state, machine, step):
            return ""

    def __init__(self, members):
        super().__init__(members, guard=self.Guard)


class FirstWord(MaintenanceStateMachine):
    """One gateway's report is enough."""

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


def blind(members):
    """Takes what is down for up."""

    def up(constraint):
        return lambda view, machine, request: constraint(
            dataclasses.replace(view, down=frozenset()), machine, request
        )

    return MaintenanceStateMachine(members, tuple(up(each) for each in constraints.CONSTRAINTS))


class Own:
    """Replicas that differ: each one gets a number of its own."""

    count = 0

    @classmethod
    def number(cls):
        cls.count += 1
        return cls.count


class OwnOrder(MaintenanceStateMachine):
    """Each replica has an order of its own."""

    def __init__(self, members):
        salt = Own.number()

        class Mixed(MachineSelector):
            def candidates(self, state, view):
                return sorted(
                    super().candidates(state, view),
                    key=lambda machine: zlib.crc32(f"{machine.name}{salt}".encode()),
                )

        super().__init__(members, selector=Mixed)


class Forgetful(MaintenanceStateMachine):
    """Some replicas pass over an entry now and then."""

    def __init__(self, members):
        super().__init__(members)
        self.odd = Own.number() % 3 == 0

    def apply(self, states, index, by, entry):
        if self.odd and isinstance(entry, Transition) and entry.target == Step.DRAINING:
            return states[self.name]
        return super().apply(states, index, by, entry)


class Local(MaintenanceStateMachine):
    """The selection rests on what this replica saw of late, not on what is agreed."""

    def __init__(self, members):
        super().__init__(members)
        self.salt = Own.number()

    def apply(self, states, index, by, entry):
        if isinstance(entry, StatusReport) and (index + self.salt) % 2:
            return states[self.name]
        return super().apply(states, index, by, entry)


class Deaf(Gateway):
    """Goes on sending to what is drained."""

    def do(self, due):
        super().do(due)
        self.drained = set()


class Gateless(Gateway):
    """Serves whatever its lease says."""

    def serves(self):
        return not self.refuses


class Hasty(MaintenanceCore):
    """Says empty at once, whatever is out."""

    def empty_machines(self, now):
        machines = self.state.machines
        return [name for name, each in machines.items() if each.step in (Step.DRAINING, Step.EMPTY)]


class HastyGateway(Gateway):
    core_type = Hasty


class Early(MaintenanceCore):
    """Takes a gateway for gone that it has not heard of for a moment."""

    def due_entries(self, now):
        renewed_at, self.lease.renewed_at = self.lease.renewed_at, now + 9.0
        found = super().due_entries(now)
        self.lease.renewed_at = renewed_at
        return found


class EarlyGateway(Gateway):
    core_type = Early


def trial(topic=MaintenanceStateMachine, gateway=Gateway, work_s=0.6, **changes):
    """A walk where each rule matters."""
    asked = {"id": "a", "machines": ["n0", "n1", "n3", "n4", "g1", "g2"], "at_once": 2, "time_s": 60.0}
    asked |= changes
    Own.count = 0
    walk = Walk(3, topic=topic, gateway=gateway, work_s=work_s)
    walk.works = dict.fromkeys(asked["machines"], 6.0)
    walk.run(4.0)
    walk.insist("g0", [asked])
    walk.run(40.0)
    walk.add(orderly.Ended(walk.now, True))
    return walk, [asked]


QUICK = actions.Timings(
    lease_s=5.0, report_s=0.1, changed_report_s=0.05, proposal_timeout_s=0.3, rank_delay_s=0.1
)
MANY = {"zone_floor": 0.0, "at_once": 9, "sole_data": True}
WIDE = {"at_once": 9, "at_once_zone": 9, "zone_floor": 0.0, "sole_data": True}

BROKEN = [
    (orderly.too_many, without(constraints.max_unavailable), Gateway, {}),
    (
        orderly.too_many,
        without(constraints.max_unavailable_in_zone),
        Gateway,
        {"zone_floor": 0.0, "at_once": 9, "sole_data": True},
    ),
    (
        orderly.too_many,
        without(constraints.max_unavailable, constraints.max_unavailable_in_zone),
        Gateway,
        {},
    ),
    (orderly.below_floor, without(constraints.zone_capacity), Gateway, WIDE | {"zone_floor": 0.5}),
    (orderly.below_floor, without(constraints.shard_capacity), Gateway, WIDE | {"shard_floor": 0.6}),
    (orderly.together, without(constraints.retry_peers), Gateway, WIDE | {"repeats": "zone"}),
    (orderly.together, without(constraints.retry_peers), Gateway, WIDE | {"repeats": "shard"}),
    (orderly.together, without(constraints.retry_peers), Gateway, WIDE | {"repeats": "all"}),
    (orderly.orders_differ, OwnOrder, Gateway, {}),
    (orderly.orders_differ, Forgetful, Gateway, {}),
    (orderly.orders_differ, Local, Gateway, {}),
    (orderly.sent_to_drained, MaintenanceStateMachine, Deaf, {}),
    (orderly.sent_to_drained, MaintenanceStateMachine, HastyGateway, {"work_s": 6.0}),
    (orderly.sent_to_drained, Unasked, Gateway, {"work_s": 6.0}),
    (orderly.sent_to_drained, FirstWord, Gateway, {"work_s": 6.0}),
    (orderly.without_quorum, without(constraints.quorum), Gateway, WIDE),
    (orderly.without_quorum, blind, Gateway, WIDE),
    (orderly.without_quorum, NeverAgain, Gateway, WIDE),
]


def crowd(topic, gateway, changes):
    """Gateways that are asked for all at once, two of them down already."""
    asked = {"id": "a", "machines": ["g0", "g1", "g2"], "time_s": 90.0} | changes
    walk = Walk(5, topic=topic, gateway=gateway)
    walk.works = dict.fromkeys(walk.members, 9.0)
    walk.run(4.0)
    walk.insist("g0", [asked])
    for one in walk.gateways.values():
        one.in_hand.append(walk.now + 12.0)  # the first is held at draining while others die
    walk.kill("g3")
    walk.kill("g4")
    walk.run(40.0)
    return walk, [asked]


def wrong(checker, topic, gateway, changes):
    changes = dict(changes)
    if checker is orderly.without_quorum:
        walk, asked = crowd(topic, gateway, changes)
        return checker(walk.history, places(walk))
    walk, asked = trial(topic, gateway, **changes)
    if checker in (orderly.too_many, orderly.below_floor, orderly.together):
        return checker(walk.history, places(walk), asked)
    return checker(walk.history)


@pytest.mark.parametrize("checker, topic, gateway, changes", BROKEN)
def test_a_checker_catches_what_is_broken_and_nothing_else(checker, topic, gateway, changes):
    assert wrong(checker, topic, gateway, changes)
    assert not sound(checker, tuple(sorted(changes.items())))


@functools.cache
def sound(checker, changes):
    """What the checker says of the machine, core and gateway as they are."""
    return wrong(checker, MaintenanceStateMachine, Gateway, dict(changes))


@pytest.mark.parametrize("checker, at_once", [(orderly.below_floor, 9), (orderly.too_many, 1)])
def test_what_is_down_is_taken_for_up(checker, at_once):
    def run(topic):
        asked = {
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
        walk.insist("g2", [asked])
        walk.run(15.0)
        return checker(walk.history, places(walk), [asked])

    assert run(blind) and not run(MaintenanceStateMachine)


@pytest.mark.parametrize("checker, at_once", [(orderly.below_floor, 9), (orderly.too_many, 1)])
def test_limits_that_are_not_looked_at_again(checker, at_once):
    def run(topic):
        asked = {
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
        walk.insist("g2", [asked])
        for one in walk.gateways.values():
            one.work.append((walk.now + 15.0, "n1"))
        walk.run(3.0)
        walk.fail("n4")
        walk.run(20.0)
        return checker(walk.history, places(walk), [asked])

    assert run(NeverAgain) and not run(MaintenanceStateMachine)


@pytest.mark.parametrize("gateway", [Gateless, EarlyGateway])
def test_a_stopped_gateway_that_wakes(gateway):
    """Its gate alone keeps it from what went out meanwhile; `LeaseExpired` must not come too soon."""

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
            walk.part(["g3"])  # it hears nothing for a while
            walk.run(3.0)
            found += orderly.sent_to_drained(walk.history)
        return found

    assert run(gateway) and not run(Gateway)


def test_what_never_ends_is_caught():
    class Silent(MaintenanceCore):
        def due_entries(self, now):
            return []

    class Lazy(Gateway):
        core_type = Silent

    walk = Walk(1, gateway=Lazy)
    walk.run(4.0)
    walk.insist("g0", [{"id": "a", "machines": ["n0"]}])
    assert not walk.rest(30.0) and orderly.unended(walk.history)
