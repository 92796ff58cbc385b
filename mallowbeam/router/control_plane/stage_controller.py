"""Control loop of the prefill share: compares the fleet's demand with its stages, and orders changes.

Every member adds up its gateways' demand and follows what `StageBalancer` decides for the fleet, so that a
new leader knows it at once; only the leader sends orders, under the lease of `StageLease`.
"""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable, Coroutine

from mallowbeam.router.configuration.model import Engine
from mallowbeam.router.configuration.versions import ConfigurationVersions
from mallowbeam.router.control_plane.stage_order_client import StageOrderClient
from mallowbeam.router.pairing.stage_balancer import (
    OrderResult,
    StageBalancer,
    StageBalancerSettings,
    StageInstance,
    StageOrder,
)
from mallowbeam.router.pairing.stage_demand import DemandTable, sum_demands
from mallowbeam.router.processes.logs import get_logger
from mallowbeam.router.registry.table import InstanceTable
from mallowbeam.router.rpc.messages_pb2 import READY, Instance, RegistryGossip, StageDemand

CYCLE_INTERVAL_S = 0.5  # between two decisions
GOSSIP_INTERVAL_S = 0.5  # between two reports to the other members, at the least
REFRESH_INTERVAL_S = 2.0  # instances are read again after it though none has changed
MAX_ORDERS_IN_FLIGHT = 64  # over all services; others wait for the next cycle

log = get_logger("mallowbeam.stages")


class StageController:
    """Joins demand, decisions, lease and orders for all services with model servers."""

    def __init__(
        self,
        client: StageOrderClient,
        table: InstanceTable,
        versions: ConfigurationVersions,
        gateways_outdated: Callable[[], None],
        settings: StageBalancerSettings,
    ) -> None:
        """`gateways_outdated` is called when gateways must be sent a change of instances."""
        self.gateways = DemandTable()  # by subscriber
        self._members = DemandTable()  # by member id
        self._client = client
        self._lease = client.lease
        self._table = table
        self._versions = versions
        self._gateways_outdated = gateways_outdated
        self._settings = settings
        self._shares: dict[str, StageBalancer] = {}
        self._instances: dict[str, list[StageInstance]] = {}
        self._refreshed_at = 0.0
        self._table_version = -1
        self._next_cycle_at = 0.0
        self._next_gossip_at = 0.0
        self._tasks: dict[asyncio.Task[None], None] = {}  # in the order of their starts
        self._orders_in_flight = 0
        self._stopped = False

    # ------------------------------------------------------------ demand, between members

    def receive_gossip(self, member: int, gossip: RegistryGossip, now: float) -> None:
        """Record the demand of another member's gateways."""
        if gossip.demand:
            self._members.record(member, gossip.demand, now)

    def add_to_gossip(self, gossip: RegistryGossip, now: float) -> None:
        """Add the demand of this member's gateways, where a report is due."""
        if now >= self._next_gossip_at:
            self._next_gossip_at = now + GOSSIP_INTERVAL_S
            gossip.demand.extend(self.gateways.sums(now).values())

    # ------------------------------------------------------------ the cycle

    def run_cycle(self, now: float) -> None:
        """Observe, and as the leader decide and send orders; to be called several times a second."""
        if now < self._next_cycle_at or self._stopped:
            return
        self._next_cycle_at = now + CYCLE_INTERVAL_S
        self._refresh_instances(now)
        self._observe_demand(now)
        if self._has_engines() and self._lease.should_acquire(now):
            self._start(self._lease.acquire())
        if self._table.is_complete(now) and self._lease.token(now) is not None:
            for backend in self._instances:
                self._order_changes(backend, now)

    def stop(self) -> None:
        """Send no further order."""
        self._stopped = True
        for task in list(self._tasks):
            task.cancel()

    def _refresh_instances(self, now: float) -> None:
        """Read the instances of services with model servers where they may have changed."""
        is_unchanged = self._table.version == self._table_version
        if is_unchanged and now - self._refreshed_at < REFRESH_INTERVAL_S:
            return
        self._table_version = self._table.version
        self._refreshed_at = now
        self._instances = {}
        for instance in self._table.live():
            if instance.stage:
                self._instances.setdefault(instance.backend, []).append(_stage_instance(instance))
        for backend in [known for known in self._shares if known not in self._instances]:
            del self._shares[backend]

    def _observe_demand(self, now: float) -> None:
        """Give each service's decision core the fleet's demand."""
        reports = [*self.gateways.sums(now).values(), *self._members.sums(now).values()]
        fleet: dict[str, StageDemand] = sum_demands(reports)
        for backend, instances in self._instances.items():
            self._decisions_of(backend).observe(fleet.get(backend), instances, now)

    def _decisions_of(self, backend: str) -> StageBalancer:
        return self._shares.setdefault(backend, StageBalancer(self._settings))

    # ------------------------------------------------------------ the leader's orders

    def _has_engines(self) -> bool:
        """Whether there is a service with model servers."""
        configuration = self._versions.current()
        return configuration is not None and any(
            backend.engine is not None for backend in configuration.backends.values()
        )

    def _engine_of(self, backend: str) -> Engine | None:
        configuration = self._versions.current()
        known = configuration.backends.get(backend) if configuration is not None else None
        return known.engine if known is not None else None

    def _order_changes(self, backend: str, now: float) -> None:
        """Send the orders that are due for one service."""
        engine = self._engine_of(backend)
        if engine is None or self._orders_in_flight >= MAX_ORDERS_IN_FLIGHT:
            return
        share = self._decisions_of(backend)
        orders = share.decide(self._instances[backend], engine.slots, engine.switch_s, now)
        if orders and share.work is not None:
            log.info(
                "%s: work of %.2f prefill and %.2f decode instances",
                backend,
                share.work.prefill,
                share.work.decode,
            )
        for order in orders:
            self._start(self._send(share, order, engine.switch_s))

    async def _send(self, share: StageBalancer, order: StageOrder, switch_s: float) -> None:
        """Send one order and record its result; `switch_s` is the time that a change of stage takes."""
        self._orders_in_flight += 1
        result = OrderResult.UNKNOWN
        try:
            result = await self._client.send(order)
        finally:
            self._orders_in_flight -= 1
            now = time.monotonic()
            share.record_result(order, result, switch_s, now)
        log.info("%s to %s: %s", order.id, order.stage, result.value)
        if result is OrderResult.ACCEPTED:
            deadline = now + switch_s + self._settings.longest_switch_s
            self._table.begin_stage_transition(order.id, order.stage, deadline, announce=True)
            self._gateways_outdated()

    def _start(self, work: Coroutine[object, object, None]) -> None:
        task = asyncio.get_running_loop().create_task(work)
        self._tasks[task] = None
        task.add_done_callback(self._done)

    def _done(self, task: asyncio.Task[None]) -> None:
        self._tasks.pop(task, None)
        if not task.cancelled() and (error := task.exception()) is not None:
            log.error("stage orders failed", exc_info=(type(error), error, error.__traceback__))


def _stage_instance(instance: Instance) -> StageInstance:
    """The facts of an instance by which stages are decided."""
    return StageInstance(
        instance.id,
        instance.address,
        instance.stage,
        instance.zone,
        instance.switching_to,
        instance.state == READY,
        instance.warmup_left_ms > 0,
    )
