"""The shares in one gateway: requests are measured, allotments take effect in the gateway's scheduler.

A request is measured before the scheduler decides on it (`SubsystemContext.observe`).  A volume's request for
a shard counts at the nodes listed for that shard, in equal parts; one for a new object (no shard) at all
nodes of the policy, by their capacities.  The scheduler counts by shard, so the bound holds for the sum of a
shard's nodes; where a shard has one node, it is that node's own bound.  Where a tenant also writes new
objects, its rates are divided between those and its shards in the proportion of its recent requests, updated
each `MIX_UPDATE_INTERVAL_S`; the scheduler chooses the node of a new object, so there the bounds hold for the
sum of all nodes only.

An allotment is the tenant's plan as it is in force, with the allotted rate as its limit, all of it for this
gateway (fraction 1).  A tenant that uses several plans has its rate in equal parts under each.  The burst is
`max_units` and one epoch's units: with less than one request's units, that request would never pass.  So in
any T seconds a node gets at most its capacity times T and one epoch, and `max_units` for each tenant at each
gateway.  A rate of 0 is written as fraction 0, because to the scheduler a limit of 0 means none.

There is no allotment under an unknown plan.  An allotment that the scheduler refuses is logged, and the
static division of the platform's settings stays in force.
"""

from __future__ import annotations

import time
from collections.abc import Mapping
from dataclasses import dataclass, field, replace

from mallowbeam.errors import MallowbeamError
from mallowbeam.storage_gateway.coordination.policy_document import register_section
from mallowbeam.storage_gateway.coordination.replicated_log import Committed
from mallowbeam.storage_gateway.coordination.shares.core_driver import SharesDriver
from mallowbeam.storage_gateway.coordination.shares.gateway_core import SharesCore, SharesTiming
from mallowbeam.storage_gateway.coordination.shares.state_machine import SharesPolicy, SharesStateMachine
from mallowbeam.storage_gateway.coordination.subsystem import SubsystemContext
from mallowbeam.storage_gateway.operator_settings import SharesSection
from mallowbeam.storage_gateway.scheduler.interface import Plan
from mallowbeam.storage_gateway.server.log import RateLimitedWarning

MIX_UPDATE_INTERVAL_S = 1.0  # between updates of a tenant's mix of requests; each halves its counts
MIN_COUNTED_UNITS = 0.01  # counted units below which a plan or a mix is dropped: some 8 s after one request
MIN_MIX_CHANGE = 0.05  # for a mix to be applied; also its distance from 0 and 1 while both kinds occur
MAX_PLANS_PER_TENANT = 4  # of one tenant at once; under a further one there is no allotment
MAX_HEARTBEAT_S = 1.5

AllotmentKey = tuple[str, int | None]  # plan and shard; None: new objects

register_section("shares", SharesPolicy)


@dataclass(slots=True)
class Tenant:
    """One tenant at this gateway; units are those of recent requests, halved each `MIX_UPDATE_INTERVAL_S`."""

    units_by_plan: dict[str, float] = field(default_factory=dict)
    rates: dict[str, float] = field(default_factory=dict)  # by node, units a second
    allotments: dict[AllotmentKey, float] = field(default_factory=dict)  # that the scheduler has
    shard_units: float = 0.0
    new_object_units: float = 0.0
    new_fraction: float = 0.0  # of its rates, for new objects


class SharesSubsystem:
    """The subsystem `shares`; `max_units` is the most units of one request."""

    def __init__(self, context: SubsystemContext, section: SharesSection, max_units: int = 1) -> None:
        self.context = context
        self.section = section
        self.max_units = max_units
        self.state_machine = SharesStateMachine(context.members)
        self.now = self.mixed_at = time.monotonic()
        timing = SharesTiming(
            epoch=section.epoch_s,
            window=section.window_s,
            report_timeout=section.quiet_s,
            lease=section.lease_s,
            heartbeat=min(MAX_HEARTBEAT_S, section.quiet_s / 3),
        )
        core = SharesCore(
            context.me, tuple(sorted(context.members)), self.state_machine.start(), self.now, timing
        )
        self.driver = SharesDriver(core, context.propose, self._allot)
        self.tenants: dict[str, Tenant] = {}
        self.shards: dict[str, int] = {}  # by node, as discovery lists them
        self.nodes_of: dict[int, list[str]] = {}  # by shard
        self.lost_nodes: dict[str, bool] = {}
        self.plans: dict[str, Plan | None] = {}  # that requests named, as they are in force
        self.refused = 0
        self.log_failure = RateLimitedWarning(
            "shares: an allotment was not applied, the static division stays in force"
        )
        context.observe(lambda fields: self.observed(fields, time.monotonic()))

    @property
    def policy(self) -> SharesPolicy:
        """The policy's section in force."""
        return self.driver.core.state.policy

    # --- events from the service ------------------------------------------------------------------

    def committed(self, committed: Committed, now: float) -> None:
        """Handle a committed entry; tenants and nodes no longer in the policy lose their allotments."""
        before = self.driver.core.state.numbering
        self.driver.committed(committed, now)
        if self.driver.core.state.numbering == before:
            return
        policy = self.policy
        for name, tenant in list(self.tenants.items()):
            tenant.rates = {
                node: rate
                for node, rate in tenant.rates.items()
                if node in policy.nodes and name in policy.tenants
            }
            self._apply_allotments(name, tenant)
            if name not in policy.tenants and not tenant.allotments:
                del self.tenants[name]

    def lease_renewed(self, proposed_at: float, now: float) -> None:
        """Handle a committed heartbeat of this gateway, proposed at that time."""
        self.driver.lease_renewed(proposed_at, now)

    def tick(self, now: float) -> None:
        """Update the listed nodes and the plans in force, and do what is due."""
        listed = {entry.node: entry.shard for entry in self.context.nodes()}
        if listed != self.shards:
            self._nodes_listed(listed)
        if listed:  # an empty list is discovery's fault, not the loss of all nodes
            self._report_lost_nodes(listed, now)
        plans = {plan: self.context.plan(plan) for plan in self.plans}
        if plans != self.plans:
            self.plans = plans  # a policy changed a plan, and allotments derive from plans
            for name, tenant in self.tenants.items():
                self._apply_allotments(name, tenant, again=True)
        if now >= self.mixed_at + MIX_UPDATE_INTERVAL_S:
            self.mixed_at = now
            self._update_mixes()
        self.driver.tick(now, self.context.leader())

    def _nodes_listed(self, listed: Mapping[str, int]) -> None:
        """Update the nodes and shards that discovery lists."""
        self.shards = dict(listed)
        self.nodes_of = {}
        for node, shard in sorted(listed.items()):
            self.nodes_of.setdefault(shard, []).append(node)
        for name, tenant in self.tenants.items():
            self._apply_allotments(name, tenant)

    def _report_lost_nodes(self, listed: Mapping[str, int], now: float) -> None:
        for node in self.policy.nodes:
            lost = node not in listed
            if lost != self.lost_nodes.get(node, False):
                self.lost_nodes[node] = lost
                self.driver.node_changed(node, lost, now)

    def observed(self, fields: Mapping[str, object], now: float) -> None:
        """Count a request by its fields of `RequestArrived`, before the scheduler decides on it."""
        name = str(fields.get("volume", ""))
        if name not in self.policy.tenants:
            return
        units = fields.get("units", 1)
        amount = float(units) if isinstance(units, int | float) else 1.0
        tenant = self.tenants.get(name)
        if tenant is None:
            tenant = self.tenants[name] = Tenant()
        is_new = self._count_plan(name, tenant, str(fields.get("plan", "")), amount)
        shard = fields.get("shard")
        if isinstance(shard, int):
            tenant.shard_units += amount
            weights = dict.fromkeys(self.nodes_of.get(shard, ()), 1)
        else:
            is_new = self._count_new_object(tenant, amount) or is_new
            nodes = self.policy.nodes
            weights = {node: nodes[node].capacity for node in self.shards if node in nodes}
        total = sum(weights.values())
        for node, weight in weights.items():
            if weight:
                self.driver.observed(name, node, amount * weight / total, now)
        if is_new:
            self._apply_allotments(name, tenant)

    def _count_new_object(self, tenant: Tenant, units: float) -> bool:
        """Count a request for a new object; returns whether the tenant has made none recently."""
        is_first = not tenant.new_object_units and not tenant.new_fraction
        if is_first:
            tenant.new_fraction = MIN_MIX_CHANGE
        tenant.new_object_units += units
        return is_first

    def _count_plan(self, name: str, tenant: Tenant, plan: str, units: float) -> bool:
        """Count a request under its plan; returns whether the tenant has not used that plan recently."""
        if plan in tenant.units_by_plan:
            tenant.units_by_plan[plan] += units
            return False
        in_force = self.context.plan(plan)
        if in_force is None or len(tenant.units_by_plan) >= MAX_PLANS_PER_TENANT:
            self.log_failure(
                f"volume {name} uses plan {plan}, which is unknown or beyond {MAX_PLANS_PER_TENANT} plans"
            )
            return False
        self.plans[plan] = in_force
        tenant.units_by_plan[plan] = units
        return True

    # --- allotments -------------------------------------------------------------------------------

    def _allot(self, name: str, node: str, rate: float, fraction: float) -> None:
        tenant = self.tenants.get(name)
        if tenant is None:
            tenant = self.tenants[name] = Tenant()
        tenant.rates[node] = rate * fraction
        self._apply_allotments(name, tenant)

    def _update_mixes(self) -> None:
        """Update each tenant's plans and its fraction of new objects from its recent requests."""
        for name, tenant in self.tenants.items():
            total = tenant.shard_units + tenant.new_object_units
            if total and self._update_mix(tenant, tenant.new_object_units / total):
                self._apply_allotments(name, tenant)
            tenant.shard_units /= 2
            tenant.new_object_units /= 2
            if tenant.shard_units + tenant.new_object_units < MIN_COUNTED_UNITS:
                tenant.shard_units = tenant.new_object_units = 0.0

    def _update_mix(self, tenant: Tenant, new_fraction: float) -> bool:
        """Update a tenant's fraction of new objects; returns whether its allotments change."""
        if 0 < new_fraction < 1:
            new_fraction = min(1 - MIN_MIX_CHANGE, max(MIN_MIX_CHANGE, new_fraction))
        changed = abs(new_fraction - tenant.new_fraction) >= MIN_MIX_CHANGE
        if changed:
            tenant.new_fraction = new_fraction
        recent = {
            plan: units / 2 for plan, units in tenant.units_by_plan.items() if units > MIN_COUNTED_UNITS
        }
        if not recent:
            return False
        plans_dropped = len(recent) < len(tenant.units_by_plan)
        tenant.units_by_plan = recent
        return changed or plans_dropped

    def _apply_allotments(self, name: str, tenant: Tenant, again: bool = False) -> None:
        """Apply the allotments in the scheduler, falling ones first; `again`: the unchanged ones too."""
        wanted = self._wanted_allotments(tenant)
        for plan, shard in [key for key in tenant.allotments if key not in wanted]:
            if self._apply_plan(name, plan, shard, None):
                del tenant.allotments[plan, shard]
        by_growth = sorted(wanted.items(), key=lambda item: item[1] - tenant.allotments.get(item[0], 0.0))
        for key, rate in by_growth:
            if (again or tenant.allotments.get(key) != rate) and self._apply_plan(name, *key, rate):
                tenant.allotments[key] = rate

    def _wanted_allotments(self, tenant: Tenant) -> dict[AllotmentKey, float]:
        """The tenant's rates in units a second, divided among its plans, its shards and new objects."""
        wanted: dict[AllotmentKey, float] = {}
        plan_count = len(tenant.units_by_plan)
        for node, rate in tenant.rates.items():
            if (shard := self.shards.get(node)) is None:
                continue
            for plan in tenant.units_by_plan:
                shard_rate = rate * (1 - tenant.new_fraction) / plan_count
                wanted[plan, shard] = wanted.get((plan, shard), 0.0) + shard_rate
                if tenant.new_fraction:
                    new_rate = rate * tenant.new_fraction / plan_count
                    wanted[plan, None] = wanted.get((plan, None), 0.0) + new_rate
        return wanted

    def _apply_plan(self, volume: str, plan: str, shard: int | None, rate: float | None) -> bool:
        """Apply an allotment of `rate` units a second, or remove it (None); returns whether that worked."""
        in_force = self.context.plan(plan)
        if in_force is None:
            return False
        allotment = in_force
        fraction: float | None = None
        if rate is not None:
            burst = self.max_units + rate * self.section.epoch_s
            limit = rate if rate > 0 else 1.0
            allotment = replace(in_force, limit=limit, limit_burst=burst, limit_slack=0.0)
            fraction = 1.0 if rate > 0 else 0.0
        try:
            if self.context.apply_plan(allotment, volume, shard, fraction):
                return True
            self.log_failure("this gateway's scheduler accepts no allotments")
        except MallowbeamError as error:
            self.log_failure(error.line)
        self.refused += 1
        return False

    # --- pages ------------------------------------------------------------------------------------

    def describe(self) -> dict[str, object]:
        """For the page `/fleet`: the epoch, and the allotments here."""
        return self.driver.describe(time.monotonic())

    def gauges(self) -> Mapping[str, float]:
        """For `/fleet/metrics`: the newest epoch, and the allotments here."""
        state = self.driver.core.state
        return {
            "epoch": float(state.close_number),
            "owing": float(len(state.quota.awaited_releases)),
            "allotments": float(sum(len(tenant.allotments) for tenant in self.tenants.values())),
            "refused": float(self.refused),
        }


def open_subsystem(context: SubsystemContext, section: SharesSection) -> SharesSubsystem:
    """The subsystem of a gateway; `section` is its section of the operators' file."""
    return SharesSubsystem(context, section, context.gateway().config.settings.max_units)
