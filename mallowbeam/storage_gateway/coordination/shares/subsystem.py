"""The shares joined to their gateway: what comes in is counted, what is allotted reaches the module.

A call is counted before the module decides on it (`context.observe`).  A volume's call for a shard counts at
the nodes listed for that shard, in equal parts; one for a new object (no shard) at all nodes of the set-up,
by their capacities.  The module counts by shard, so what holds is the sum of a shard's nodes: it is each
node's own bound where a shard has one node.  Where a tenant also puts new objects, its rates are parted
between those and its shards as its calls were, looked at each `MIX_S`; which node takes a new object is the
module's own affair, so there the nodes' bounds hold by the sum of all nodes only.

An allotment is the tenant's plan as it is in force, with the rate as its limit, all of it this gateway's
(part 1).  A tenant that asks under several plans has its rate in equal parts under each.  The store holds
`max_units` and an epoch's worth: with less than one call's units in it that call would never pass.  So in any
T seconds a node gets at most its capacity times T and one epoch, and `max_units` for each tenant at each
gateway.  A rate of nothing is a part of nothing: to the module a limit of 0 is none.

Under a plan that is not known there is no allotment.  What the module refuses is logged, and the platform's
static part stays.
"""

from __future__ import annotations

import time
from collections.abc import Mapping
from dataclasses import dataclass, replace

from mallowbeam.errors import MallowbeamError
from mallowbeam.storage_gateway.coordination.policy_document import owns
from mallowbeam.storage_gateway.coordination.replicated_log import Committed
from mallowbeam.storage_gateway.coordination.shares.core_driver import Shares
from mallowbeam.storage_gateway.coordination.shares.gateway_core import Times
from mallowbeam.storage_gateway.coordination.shares.state_machine import Setup, SharesStateMachine
from mallowbeam.storage_gateway.coordination.subsystem import SubsystemContext
from mallowbeam.storage_gateway.operator_settings import SharesSection
from mallowbeam.storage_gateway.scheduler.interface import Plan
from mallowbeam.storage_gateway.server.log import RateLimitedWarning

MIX_S = 1.0  # seconds between looks at how a tenant's calls part into placed and new ones
LEAST = 0.01  # units of late under which a plan or a mix is forgotten: some 8 s after one call
MIX_STEP = 0.05  # of all, by which that must have moved; and the least part that either has
MOST_PLANS = 4  # of one tenant at once; under a further one there is no allotment

owns("shares", Setup)


@dataclass(slots=True)
class Tenant:
    """What is known of one tenant here."""

    plans: dict[str, float]  # under which it asks, and units of late
    rates: dict[str, float]  # by node, units a second
    held: dict[tuple[str, int | None], float]  # by plan and shard: what the module was last told
    placed: float = 0.0  # units asked for of late, for shards
    new: float = 0.0  # and for new objects
    mix: float = 0.0  # the part of its rates that is for new objects


class SharesSubsystem:
    """The subsystem."""

    def __init__(self, context: SubsystemContext, section: SharesSection, max_units: int = 1) -> None:
        self.context, self.section, self.max_units = context, section, max_units
        self.topic = SharesStateMachine(context.members)
        self.now = self.mixed = time.monotonic()
        times = Times(
            epoch=section.epoch_s,
            window=section.window_s,
            quiet=section.quiet_s,
            lease=section.lease_s,
            beat=min(1.5, section.quiet_s / 3),
        )
        self.shares = Shares(
            context.me, context.members, self.topic.start(), self.now, context.propose, self._allotted, times
        )
        self.tenants: dict[str, Tenant] = {}
        self.shards: dict[str, int] = {}  # by node, as listed
        self.at: dict[int, list[str]] = {}  # nodes by shard
        self.gone: dict[str, bool] = {}
        self.known: dict[str, Plan | None] = {}  # plans that anybody asked under, as in force
        self.refused = 0
        self.bad = RateLimitedWarning("shares: an allotment does not hold, the static part does")
        context.observe(lambda fields: self.observed(fields, time.monotonic()))

    # --- what the service tells -------------------------------------------------------------------

    def committed(self, told: Committed, now: float) -> None:
        """The log's next entry; who is not in the set-up any more has its allotments taken back."""
        before = self.shares.core.state.roll
        self.shares.committed(told, now)
        if self.shares.core.state.roll != before:
            setup = self.shares.core.state.setup
            for name, tenant in list(self.tenants.items()):
                tenant.rates = {
                    node: rate
                    for node, rate in tenant.rates.items()
                    if node in setup.nodes and name in setup.tenants
                }
                self._hold(name, tenant)
                if name not in setup.tenants and not tenant.held:
                    del self.tenants[name]

    def lease_renewed(self, proposed_at: float, now: float) -> None:
        """A mark came back."""
        self.shares.lease_renewed(proposed_at, now)

    def tick(self, now: float) -> None:
        """What is listed now, and what is due."""
        listed = {entry.node: entry.shard for entry in self.context.nodes()}
        setup = self.shares.core.state.setup
        if listed != self.shards:
            self.shards, self.at = listed, {}
            for node, shard in sorted(listed.items()):
                self.at.setdefault(shard, []).append(node)
            for name, tenant in self.tenants.items():
                self._hold(name, tenant)
        if listed:  # an empty list is discovery's fault, not all nodes' loss
            for node in setup.nodes:
                if (gone := node not in listed) != self.gone.get(node, False):
                    self.gone[node] = gone
                    self.shares.node(node, gone, now)
        if (known := {plan: self.context.plan(plan) for plan in self.known}) != self.known:
            self.known = known  # a policy changed a plan: its allotments rest on it
            for name, tenant in self.tenants.items():
                self._hold(name, tenant, True)
        if now >= self.mixed + MIX_S:
            self.mixed = now
            self._mix()
        self.shares.tick(now, self.context.leader())

    def observed(self, fields: Mapping[str, object], now: float) -> None:
        """A call came in; before it is decided on."""
        setup, name = self.shares.core.state.setup, str(fields.get("volume", ""))
        if name not in setup.tenants:
            return
        plan, shard = str(fields.get("plan", "")), fields.get("shard")
        units = fields.get("units", 1)
        amount = float(units) if isinstance(units, int | float) else 1.0
        tenant = self.tenants.setdefault(name, Tenant({}, {}, {}))
        own = self.context.plan(plan)
        fresh = own is not None and plan not in tenant.plans and len(tenant.plans) < MOST_PLANS
        if fresh:
            self.known[plan] = own
        elif plan not in tenant.plans:
            self.bad(f"volume {name} asks under plan {plan}, which is not known or one too many")
        if fresh or plan in tenant.plans:
            tenant.plans[plan] = tenant.plans.get(plan, 0.0) + amount
        if isinstance(shard, int):
            tenant.placed += amount
            nodes = dict.fromkeys(self.at.get(shard, ()), 1)
        else:
            if not tenant.new and not tenant.mix:
                tenant.mix, fresh = MIX_STEP, True
            tenant.new += amount
            nodes = {node: setup.nodes[node].capacity for node in self.shards if node in setup.nodes}
        whole = sum(nodes.values())
        for node, part in nodes.items():
            if part:
                self.shares.observed(name, plan, node, amount * part / whole, now)
        if fresh:
            self._hold(name, tenant)

    # --- what the module is told ------------------------------------------------------------------

    def _allotted(self, name: str, node: str, rate: float, part: float) -> None:
        tenant = self.tenants.setdefault(name, Tenant({}, {}, {}))
        tenant.rates[node] = rate * part
        self._hold(name, tenant)

    def _mix(self) -> None:
        """How tenants' calls part into placed and new ones, of late."""
        for name, tenant in self.tenants.items():
            if whole := tenant.placed + tenant.new:
                mix = tenant.new / whole
                if 0 < mix < 1:
                    mix = min(1 - MIX_STEP, max(MIX_STEP, mix))
                if moved := abs(mix - tenant.mix) >= MIX_STEP:
                    tenant.mix = mix
                late = {plan: units / 2 for plan, units in tenant.plans.items() if units > LEAST}
                if late and (moved or len(late) < len(tenant.plans)):
                    tenant.plans = late
                    self._hold(name, tenant)
                elif late:
                    tenant.plans = late
            tenant.placed, tenant.new = tenant.placed / 2, tenant.new / 2
            if tenant.placed + tenant.new < LEAST:
                tenant.placed = tenant.new = 0.0

    def _hold(self, name: str, tenant: Tenant, anew: bool = False) -> None:
        """Let the module hold what the tenant's rates come to; what falls falls first."""
        wanted: dict[tuple[str, int | None], float] = {}
        count = len(tenant.plans)
        for node, rate in tenant.rates.items():
            for plan in tenant.plans:
                if (shard := self.shards.get(node)) is not None:
                    placed, new = rate * (1 - tenant.mix) / count, rate * tenant.mix / count
                    wanted[plan, shard] = wanted.get((plan, shard), 0.0) + placed
                    if tenant.mix:
                        wanted[plan, None] = wanted.get((plan, None), 0.0) + new
        for plan, shard in [key for key in tenant.held if key not in wanted]:
            if self._plan(name, plan, shard, None):
                del tenant.held[plan, shard]
        for key, rate in sorted(wanted.items(), key=lambda item: item[1] - tenant.held.get(item[0], 0.0)):
            if (anew or tenant.held.get(key) != rate) and self._plan(name, *key, rate):
                tenant.held[key] = rate

    def _plan(self, volume: str, plan: str, shard: int | None, rate: float | None) -> bool:
        """One allotment, None: taken back; whether it holds."""
        if (own := self.context.plan(plan)) is None:
            return False
        if rate is None:
            told, part = own, None
        else:
            burst = self.max_units + rate * self.section.epoch_s
            told = replace(own, limit=rate if rate > 0 else 1.0, limit_burst=burst, limit_slack=0.0)
            part = 1.0 if rate > 0 else 0.0
        try:
            if self.context.planned(told, volume, shard, part):
                return True
            self.bad("this gateway's module takes none")
        except MallowbeamError as error:
            self.bad(error.line)
        self.refused += 1
        return False

    # --- what is shown ----------------------------------------------------------------------------

    def describe(self) -> dict[str, object]:
        """Where the epoch stands, and what may be served here."""
        return self.shares.describe(time.monotonic())

    def gauges(self) -> Mapping[str, float]:
        """The newest epoch, and what is held here."""
        state = self.shares.core.state
        return {
            "epoch": float(state.number),
            "owing": float(len(state.handed.owing)),
            "allotments": float(sum(len(tenant.held) for tenant in self.tenants.values())),
            "refused": float(self.refused),
        }


def open_subsystem(context: SubsystemContext, section: SharesSection) -> SharesSubsystem:
    """The subsystem on these hands."""
    return SharesSubsystem(context, section, context.gateway().config.settings.max_units)
