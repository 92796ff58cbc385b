"""The subsystem `shares`: several gateways on one log in memory, with contexts that record allotments."""

from __future__ import annotations

from types import SimpleNamespace

import pytest

from mallowbeam.storage_gateway.coordination.policy_document import check_sections, read_policy
from mallowbeam.storage_gateway.coordination.replicated_log import Refusal, ReplicatedLog
from mallowbeam.storage_gateway.coordination.shares.subsystem import open_subsystem
from mallowbeam.storage_gateway.coordination.subsystem_context import GatewayContext
from mallowbeam.storage_gateway.operator_settings import SharesSection, check
from mallowbeam.storage_gateway.scheduler.gateway_host import SchedulerHost, TooManyAllotmentsError
from mallowbeam.storage_gateway.scheduler.interface import NodeEntry, NodeState, Plan, RequestClass, Settings
from mallowbeam.storage_gateway.server.config import GatewayConfigError

NAMES = ("g0", "g1", "g2")
GOLD, TIN = Plan("gold", weight=3.0), Plan("tin", limit=5.0, limit_burst=9.0)
SHARES = {"tenants": {"a": {"weight": 2000}, "b": {}}, "nodes": {"n0": {"capacity": 30_000}}}


class SubsystemContext:
    """One gateway's context; proposals are kept until the test commits them."""

    members = NAMES

    def __init__(self, me):
        self.me, self.proposals, self.allotments, self.observer, self.rejects_allotments = (
            me,
            [],
            {},
            None,
            False,
        )
        self.listed = [NodeEntry("n0", NodeState.READY, 4), NodeEntry("n1", NodeState.READY, 5)]
        self.plans = {plan.name: plan for plan in (GOLD, TIN)}

    def propose(self, entry):
        self.proposals.append(entry)
        return True

    def leader(self):
        return self.me == "g0"

    def plan(self, name):
        return self.plans.get(name)

    def observe(self, observer):
        self.observer = observer

    def nodes(self):
        return self.listed

    def apply_plan(self, plan, volume="", shard=None, fraction=None):
        if self.rejects_allotments:
            raise TooManyAllotmentsError("full", volume)
        self.allotments[volume, plan.name, shard] = plan, fraction
        if fraction is None and plan == self.plans[plan.name]:
            del self.allotments[volume, plan.name, shard]
        return True

    def gateway(self):
        return SimpleNamespace(config=SimpleNamespace(settings=Settings(max_units=8)))


class Fleet:
    """Three gateways' subsystems and the log; time runs in steps of 0.1 s."""

    def __init__(self):
        self.context = {name: SubsystemContext(name) for name in NAMES}
        self.subsystems = {name: open_subsystem(self.context[name], SharesSection(on=True)) for name in NAMES}
        self.now = max(subsystem.now for subsystem in self.subsystems.values())
        self.log, self.requests = ReplicatedLog([self.subsystems["g0"].state_machine]), {}
        self.push(SHARES)

    def push(self, shares):
        result = self.log.push(read_policy(b'{"drains":[]}').__class__(shares=shares))
        if isinstance(result, Refusal):
            return result
        for subsystem in self.subsystems.values():
            subsystem.committed(result[0], self.now)
        return None

    def run(self, seconds):
        for _ in range(round(seconds * 10)):
            self.now += 0.1
            for name, subsystem in self.subsystems.items():
                subsystem.lease_renewed(self.now - 0.05, self.now)
                for (gateway, volume, plan, shard), rate in self.requests.items():
                    if gateway == name:
                        subsystem.observed(
                            {"volume": volume, "plan": plan, "shard": shard, "units": rate / 10}, self.now
                        )
                subsystem.tick(self.now)
            for name, context in self.context.items():
                proposals, context.proposals = context.proposals, []
                for entry in proposals:
                    result = self.log.apply(self.log.encode("shares", name, entry))
                    for subsystem in self.subsystems.values():
                        subsystem.committed(result, self.now)
        return self

    def limit(self, volume):
        return sum(
            plan.limit * fraction
            for context in self.context.values()
            for (name, *_), (plan, fraction) in context.allotments.items()
            if name == volume
        )


@pytest.fixture
def fleet():
    simulated_fleet = Fleet()
    simulated_fleet.requests = {
        ("g0", "a", "gold", 4): 40.0,
        ("g1", "b", "gold", 4): 30.0,
        ("g2", "b", "gold", 4): 10.0,
    }
    return simulated_fleet.run(5)


def test_a_tenant_of_twice_the_weight_is_allotted_twice_as_much(fleet):
    assert fleet.limit("a") == pytest.approx(20, rel=0.03)
    assert fleet.limit("b") == pytest.approx(10, rel=0.03)
    ((plan, fraction),) = fleet.context["g0"].allotments.values()
    assert (plan.weight, fraction, plan.limit_burst) == (3.0, 1.0, 8 + plan.limit)  # the plan's weight
    assert set(fleet.context["g0"].allotments) == {("a", "gold", 4)}
    assert fleet.limit("a") + fleet.limit("b") <= 30


def test_requests_for_unshared_tenants_and_nodes_get_no_allotment(fleet):
    fleet.requests = {("g0", "c", "gold", 4): 10.0, ("g0", "a", "gold", 5): 10.0}
    before = dict(fleet.context["g0"].allotments)
    fleet.run(0.1)
    assert fleet.context["g0"].allotments.keys() == before.keys()


def test_a_rate_of_zero_rejects_and_is_not_unlimited(fleet):
    fleet.requests.pop(("g0", "a", "gold", 4))
    fleet.run(8)
    plan, fraction = fleet.context["g0"].allotments["a", "gold", 4]
    assert fraction == 0.0 and plan.limit > 0  # to the scheduler a limit of 0 means none
    fleet.subsystems["g0"].observed({"volume": "a", "plan": "gold", "shard": 4, "units": 1}, fleet.now)
    plan, fraction = fleet.context["g0"].allotments["a", "gold", 4]
    assert fraction == 1.0 and 0 < plan.limit <= 0.1  # its floor, before that request is decided on


def test_allotments_are_taken_back_when_shares_go_out_of_the_policy(fleet):
    assert fleet.push(None) is None
    assert all(not context.allotments for context in fleet.context.values())
    fleet.run(2)
    assert all(not context.allotments for context in fleet.context.values())
    fleet.push(SHARES)
    assert fleet.run(5).limit("a") == pytest.approx(20, rel=0.03)


def test_a_tenant_under_two_plans_has_no_more_than_its_share(fleet):
    fleet.requests["g0", "a", "tin", 4] = 40.0
    fleet.run(5)
    assert {key[1] for key in fleet.context["g0"].allotments} == {"gold", "tin"}
    assert fleet.limit("a") == pytest.approx(20, rel=0.03)
    fleet.requests.pop(("g0", "a", "gold", 4))
    fleet.run(20)
    assert {key[1] for key in fleet.context["g0"].allotments} == {"tin"}
    fleet.subsystems["g0"].observed({"volume": "a", "plan": "made up", "shard": 4}, fleet.now)
    assert fleet.run(1).limit("a") == pytest.approx(20, rel=0.03)


def test_plans_of_one_tenant_are_bounded(fleet):
    for number in range(8):
        fleet.context["g0"].plans[f"p{number}"] = Plan(f"p{number}")
        fleet.subsystems["g0"].observed({"volume": "a", "plan": f"p{number}", "shard": 4}, fleet.now)
    assert {key[1] for key in fleet.context["g0"].allotments} == {"gold", "p0", "p1", "p2"}


def test_new_objects_have_their_part_of_the_rate(fleet):
    fleet.requests["g0", "a", "gold", None] = 40.0
    fleet.run(6)
    allotments = fleet.context["g0"].allotments
    assert allotments["a", "gold", None][0].limit == pytest.approx(
        allotments["a", "gold", 4][0].limit, rel=0.2
    )
    assert fleet.limit("a") == pytest.approx(20, rel=0.03)


def test_allotments_follow_a_plan_changed_by_a_policy(fleet):
    fleet.context["g0"].plans["gold"] = Plan("gold", weight=7.0)
    fleet.run(0.1)
    assert fleet.context["g0"].allotments["a", "gold", 4][0].weight == 7.0


def test_an_allotment_refused_by_the_scheduler_is_retried(fleet):
    fleet.context["g0"].rejects_allotments = True
    fleet.requests["g0", "b", "gold", 4] = 10.0
    fleet.run(2)
    assert ("b", "gold", 4) not in fleet.context["g0"].allotments and fleet.subsystems["g0"].gauges()[
        "refused"
    ] > 0
    fleet.context["g0"].rejects_allotments = False
    fleet.requests["g0", "b", "gold", 4] = 20.0
    fleet.run(3)
    assert ("b", "gold", 4) in fleet.context["g0"].allotments


def test_a_node_no_longer_listed_is_reported_and_an_empty_list_is_not(fleet):
    fleet.context["g0"].listed = []
    fleet.run(1)
    assert not fleet.log.states["shares"].lost_nodes
    fleet.context["g0"].listed = [NodeEntry("n1", NodeState.READY, 5)]
    fleet.run(1)
    assert set(fleet.log.states["shares"].lost_nodes) == {"n0"}


def test_the_scheduler_admits_the_largest_request():
    settings = Settings(max_units=8, plans={"gold": GOLD}, hosts=1, classes={"read": RequestClass("read")})
    subsystem, scheduler_host = Fleet().subsystems["g0"], SchedulerHost(settings, 0.0)
    subsystem.context.apply_plan = (
        lambda plan, *more: bool(scheduler_host.change_plan(0.0, plan, *more)) or True
    )
    subsystem.shards, subsystem.nodes_of = {"n0": 4}, {4: ["n0"]}
    subsystem.observed({"volume": "a", "plan": "gold", "shard": 4, "units": 8}, 0.0)
    subsystem._allot("a", "n0", 1.0, 1.0)
    scheduler_host.tick(0.0)
    volume = scheduler_host._scheduler.volumes.get("a", "gold", 1, 4)
    assert volume.limit_wait(0.0, 8) == pytest.approx(8, rel=0.01)
    assert volume.limit_wait(8.1, 8) == 0


@pytest.mark.parametrize("wrong", [{"nodes": {"n0": {}}}, {"tenants": {"a": {"weight": 0}}}, {"zone": {}}])
def test_an_invalid_shares_section_is_refused(wrong):
    simulated_fleet = Fleet()
    before = simulated_fleet.log.states["shares"]
    refusal = simulated_fleet.push(wrong)
    assert isinstance(refusal, Refusal) and "failed" not in refusal.what
    assert simulated_fleet.log.states["shares"] == before


def test_a_push_names_the_place_of_what_is_wrong():
    policy = read_policy(b'{"drains": [], "shares": {"nodes": {"n0": {"capacity": "many"}}}}')
    with pytest.raises(Exception, match="int") as result:
        check_sections(policy, ("shares",))
    assert "shares.nodes" in str(result.value.where)


@pytest.mark.parametrize(
    ("name", "times"),
    [("lease_s", {}), ("quiet_s", {"lease_s": 6.0}), ("window_s", {"lease_s": 4.0, "epoch_s": 0.2})],
)
def test_a_section_whose_times_do_not_agree_is_refused(name, times):
    policy = {"folder": "x", "name": "g0", "listen": "h:1", "members": {"g0": "h:2"}, "lease_s": 4.0}
    with pytest.raises(GatewayConfigError, match=rf"shares\.{name}"):
        check({"policy": policy, "shares": {"on": True, **times}})


def test_an_exception_of_an_observer_does_not_fail_the_request():
    gateway, seen = SimpleNamespace(observers=[], gates=[]), []
    context = GatewayContext("shares", "g0", NAMES, gateway, None, None, None, None)
    context.observe(lambda fields: seen.append(fields["volume"]))
    gateway.observers[0]({"volume": "a"})
    gateway.observers[0]({})  # a KeyError, which is logged
    assert seen == ["a"]
