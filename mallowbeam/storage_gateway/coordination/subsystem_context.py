"""Implements `subsystem.SubsystemContext` over the gateway; it makes no decisions."""

from __future__ import annotations

from collections.abc import Callable, Mapping
from dataclasses import dataclass
from typing import Any

from mallowbeam.storage_gateway.coordination.replicated_log import Entry
from mallowbeam.storage_gateway.scheduler.interface import NodeEntry, Plan
from mallowbeam.storage_gateway.server.gateway import Gateway
from mallowbeam.storage_gateway.server.log import RateLimitedWarning


class NodeDrains:
    """The nodes drained here, and by whom; a node is back in service when no requester drains it."""

    def __init__(self, gateway: Gateway) -> None:
        self.gateway = gateway
        self.requesters: dict[str, set[str]] = {}  # by node

    def set_drained(self, requester: str, node: str, drained: bool) -> None:
        """Record that a requester (the policy, a subsystem) drains a node or stops draining it."""
        requesters = self.requesters.setdefault(node, set())
        was_drained = bool(requesters)
        if drained:
            requesters.add(requester)
        else:
            requesters.discard(requester)
        if not requesters:
            del self.requesters[node]
        if was_drained != bool(requesters):
            self.gateway.set_detached(node, drained, listed=False)


class PlanOverrides:
    """The plans in force: those of the platform's settings, and those that a policy has changed."""

    def __init__(self, gateway: Gateway) -> None:
        self.gateway = gateway
        self.overrides: dict[str, Plan] = {}  # changed since the start

    @property
    def settings(self) -> Mapping[str, Plan]:
        """The plans of the platform's settings, by name."""
        plans: Mapping[str, Plan] = self.gateway.config.settings.plans
        return plans

    def apply_plan(
        self, plan: Plan, volume: str = "", shard: int | None = None, fraction: float | None = None
    ) -> bool:
        """Apply a plan, or one volume's allotment; returns False if the scheduler has no such call.

        Raises the scheduler's `MallowbeamError` if it refuses; then nothing has changed.
        """
        change_plan = getattr(self.gateway.scheduler, "change_plan", None)
        if change_plan is None:
            return False
        self.gateway.apply(change_plan(self.gateway.now(), plan, volume, shard, fraction))
        if not volume:
            self.overrides[plan.name] = plan
        return True

    def plan(self, name: str) -> Plan | None:
        """A plan as it is in force; None for an unknown one."""
        return self.overrides.get(name) or self.settings.get(name)


@dataclass(slots=True, eq=False)
class GatewayContext:
    """The context of the subsystem `name`; `_propose_entry` proposes an entry of its state machine."""

    name: str
    me: str
    members: tuple[str, ...]
    _gateway: Gateway
    _drains: NodeDrains
    _plans: PlanOverrides
    _propose_entry: Callable[[str, Entry], bool]
    leader: Callable[[], bool]
    is_open: bool = True

    def __post_init__(self) -> None:
        """Add this subsystem's gate to the gateway's."""
        self._gateway.gates.append(lambda: self.is_open)

    def propose(self, entry: Entry) -> bool:
        """Propose an entry; returns False if it is dropped at once."""
        return self._propose_entry(self.name, entry)

    def drain(self, node: str, drained: bool) -> None:
        """Drain a node here, or stop draining it."""
        self._drains.set_drained(self.name, node, drained)

    def apply_plan(
        self, plan: Plan, volume: str = "", shard: int | None = None, fraction: float | None = None
    ) -> bool:
        """Apply a plan, or one volume's allotment."""
        return self._plans.apply_plan(plan, volume, shard, fraction)

    def settings_plans(self) -> Mapping[str, Plan]:
        """The plans of the platform's settings, by name."""
        return self._plans.settings

    def plan(self, name: str) -> Plan | None:
        """A plan as it is in force, with the policy's changes."""
        return self._plans.plan(name)

    def observe(self, observer: Callable[[Mapping[str, object]], None]) -> None:
        """Call the observer with each request before it is decided on; its exceptions are logged."""
        log_failure = RateLimitedWarning(f"fleet: {self.name} failed to observe a request")

        def guarded(fields: Mapping[str, object]) -> None:
            try:
                observer(fields)
            except Exception as error:  # noqa: BLE001 (guards the request: it is still decided on)
                log_failure(repr(error))

        self._gateway.observers.append(guarded)

    def nodes(self) -> list[NodeEntry]:
        """The nodes as discovery lists them here."""
        entries: list[NodeEntry] = self._gateway.scheduler.node_entries(self._gateway.now())
        return entries

    def attempts_at(self, node: str) -> int:
        """How many attempts of this gateway are in flight at a node."""
        return self._gateway.scheduler.attempts_at(node)

    def open_requests(self) -> int:
        """How many requests of this gateway are not answered yet."""
        return len(self._gateway.exchanges)

    def gate(self, is_open: bool) -> None:
        """Let the gateway accept new requests, or not, as far as this subsystem is concerned."""
        self.is_open = is_open

    def stop(self) -> None:
        """Stop this gateway as SIGTERM would."""
        self._gateway.stop()

    def gateway(self) -> Any:
        """The gateway itself."""
        return self._gateway
