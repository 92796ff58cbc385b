"""The service's hands for one subsystem: `subsystem.SubsystemContext` over the gateway.  Decides nothing."""

from __future__ import annotations

from collections.abc import Callable, Mapping
from typing import Any

from mallowbeam.storage_gateway.coordination.replicated_log import Entry
from mallowbeam.storage_gateway.scheduler.interface import NodeEntry, Plan
from mallowbeam.storage_gateway.server.gateway import Gateway
from mallowbeam.storage_gateway.server.log import RateLimitedWarning


class NodeDrains:
    """Who wants which node out here: a node goes in again when nobody does any more."""

    def __init__(self, gateway: Gateway) -> None:
        self.gateway, self.by_node = gateway, dict[str, set[str]]()

    def want(self, who: str, node: str, out: bool) -> None:
        """One that may take nodes out (the policy, a subsystem) wants this one out, or not any more."""
        wanting = self.by_node.setdefault(node, set())
        before = bool(wanting)
        (wanting.add if out else wanting.discard)(who)
        if not wanting:
            del self.by_node[node]
        if before != bool(wanting):
            self.gateway.by_hand(node, out, listed=False)


class PlanOverrides:
    """Plans' figures on the way to the module, which takes them by the scheduler's one call."""

    def __init__(self, gateway: Gateway) -> None:
        self.gateway = gateway
        self.overrides: dict[str, Plan] = {}  # complete plans that a policy changed since the start

    @property
    def settings(self) -> Mapping[str, Plan]:
        """As the platform's settings have them."""
        plans: Mapping[str, Plan] = self.gateway.config.settings.plans
        return plans

    def apply_plan(
        self, plan: Plan, volume: str = "", shard: int | None = None, fraction: float | None = None
    ) -> bool:
        """Let these figures hold; False where this gateway's module can't take them at all.

        Raises the scheduler's `MallowbeamError` where it refuses them; nothing has changed then.
        """
        call = getattr(self.gateway.scheduler, "change_plan", None)
        if call is None:
            return False
        self.gateway._apply(call(self.gateway.now(), plan, volume, shard, fraction))
        if not volume:
            self.overrides[plan.name] = plan
        return True

    def plan(self, name: str) -> Plan | None:
        """A plan as it is in force; None for one that nobody has."""
        return self.overrides.get(name) or self.settings.get(name)


class GatewayContext:
    """One subsystem's hands; `put` takes an entry of its topic's into the log."""

    def __init__(
        self,
        name: str,
        me: str,
        members: tuple[str, ...],
        gateway: Gateway,
        drains: NodeDrains,
        plans: PlanOverrides,
        put: Callable[[str, Entry], bool],
        leads: Callable[[], bool],
    ) -> None:
        self.name, self.me, self.members = name, me, members
        self.leader, self.is_open = leads, True
        self._gateway, self._drains, self._plans, self._put = gateway, drains, plans, put
        gateway.gates.append(lambda: self.is_open)

    def propose(self, entry: Entry) -> bool:
        """Put an entry in; False where it is dropped at once."""
        return self._put(self.name, entry)

    def drain(self, node: str, out: bool) -> None:
        """Take a node out here, or want it out no more."""
        self._drains.want(self.name, node, out)

    def apply_plan(
        self, plan: Plan, volume: str = "", shard: int | None = None, fraction: float | None = None
    ) -> bool:
        """A plan's figures, or one volume's allotment, from now on."""
        return self._plans.apply_plan(plan, volume, shard, fraction)

    def settings_plans(self) -> Mapping[str, Plan]:
        """The plans of the platform's settings, by name."""
        return self._plans.settings

    def plan(self, name: str) -> Plan | None:
        """A plan as it is in force, with what the policy says of it."""
        return self._plans.plan(name)

    def observe(self, observer: Callable[[Mapping[str, object]], None]) -> None:
        """Tell of each call before the module decides on it; what the observer raises is logged."""
        failed = RateLimitedWarning(f"fleet: {self.name} failed at a call")

        def told(fields: Mapping[str, object]) -> None:
            try:
                observer(fields)
            except Exception as error:  # noqa: BLE001 (Guards the call: it is decided on all the same)
                failed(repr(error))

        self._gateway.observers.append(told)

    def nodes(self) -> list[NodeEntry]:
        """The nodes as they are listed here."""
        entries: list[NodeEntry] = self._gateway.scheduler.node_entries(self._gateway.now())
        return entries

    def out(self, node: str) -> int:
        """How many attempts this gateway has out at a node."""
        return self._gateway.scheduler.attempts_at(node)

    def held(self) -> int:
        """How many requests this gateway holds unanswered."""
        return len(self._gateway.exchanges)

    def gate(self, is_open: bool) -> None:
        """Open or shut this gateway's door for new requests on this subsystem's account."""
        self.is_open = is_open

    def stop(self) -> None:
        """Stop this gateway as SIGTERM would."""
        self._gateway.stop()

    def gateway(self) -> Any:
        """The gateway itself."""
        return self._gateway
