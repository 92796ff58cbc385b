"""Control loop of the prefill share: compares the fleet's demand with its stages, and orders changes.

Every member sums the demand of the fleet's gateways and passes it to its `StageBalancer`s, so that a new
leader has their state at once. Only the leader sends orders, under the lease of `StageLease`.
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
GOSSIP_INTERVAL_S = 0.5  # shortest time between two reports to the other members
REFRESH_INTERVAL_S = 2.0  # after it, instances are read again even if none has changed
MAX_ORDERS_IN_FLIGHT = 64  # over all services; at the limit, further services wait for the next cycle

log = get_logger("mallowbeam.stages")


class StageController:
    """Connects demand, balancers, lease and orders for all services with model servers."""

    def __init__(
        self,
        client: StageOrderClient,
        table: InstanceTable,
        versions: ConfigurationVersions,
        gateways_outdated: Callable[[], None],
        settings: StageBalancerSettings,
    ) -> None:
        """`gateways_outdated` is called when a change of instances must be sent to the gateways."""
        self.gateways = DemandTable()  # by subscriber
        self._members = DemandTable()  # by member id
        self._client = client
        self._lease = client.lease
        self._table = table
        self._versions = versions
        self._gateways_outdated = gateways_outdated
        self._settings = settings
        self._balancers: dict[str, StageBalancer] = {}
        self._instances: dict[str, list[StageInstance]] = {}
        self._refreshed_at = 0.0
        self._table_version = -1
        self._next_cycle_at = 0.0
        self._next_gossip_at = 0.0
        self._tasks: dict[asyncio.Task[None], None] = {}  # in the order in which they were started
        self._orders_in_flight = 0
        self._stopped = False

    # ------------------------------------------------------------ demand, between members

    def receive_gossip(self, member: int, gossip: RegistryGossip, now: float) -> None:
        """Record the demand of another member's gateways."""
        if gossip.demand:
            self._members.record(member, gossip.demand, now)

    def add_to_gossip(self, gossip: RegistryGossip, now: float) -> None:
        """Add the demand of this member's gateways to `gossip`, if a report is due."""
        if now >= self._next_gossip_at:
            self._next_gossip_at = now + GOSSIP_INTERVAL_S
            gossip.demand.extend(self.gateways.sums(now).values())

    # ------------------------------------------------------------ the cycle

    def run_cycle(self, now: float) -> None:
        """Observe the demand and, as the leader, send due orders; to be called several times a second."""
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
        """Cancel the running tasks, and send no further orders."""
        self._stopped = True
        for task in list(self._tasks):
            task.cancel()

    def _refresh_instances(self, now: float) -> None:
        """Read the instances of services with model servers again, if they may have changed."""
        is_unchanged = self._table.version == self._table_version
        if is_unchanged and now - self._refreshed_at < REFRESH_INTERVAL_S:
            return
        self._table_version = self._table.version
        self._refreshed_at = now
        self._instances = {}
        for instance in self._table.live():
            if instance.stage:
                self._instances.setdefault(instance.backend, []).append(_stage_instance(instance))
        for backend in [known for known in self._balancers if known not in self._instances]:
            del self._balancers[backend]

    def _observe_demand(self, now: float) -> None:
        """Pass the fleet's demand to the balancer of each service."""
        reports = [*self.gateways.sums(now).values(), *self._members.sums(now).values()]
        fleet: dict[str, StageDemand] = sum_demands(reports)
        for backend, instances in self._instances.items():
            self._balancer_of(backend).observe(fleet.get(backend), instances, now)

    def _balancer_of(self, backend: str) -> StageBalancer:
        return self._balancers.setdefault(backend, StageBalancer(self._settings))

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
        balancer = self._balancer_of(backend)
        orders = balancer.decide(self._instances[backend], engine.slots, engine.switch_s, now)
        if orders and balancer.work is not None:
            log.info(
                "%s: ordering stage changes; the demand needs %.2f prefill and %.2f decode instances",
                backend,
                balancer.work.prefill,
                balancer.work.decode,
            )
        for order in orders:
            self._start(self._send(balancer, order, engine.switch_s))

    async def _send(self, balancer: StageBalancer, order: StageOrder, switch_s: float) -> None:
        """Send one order and record its result; `switch_s` is the time that a change of stage takes."""
        self._orders_in_flight += 1
        result = OrderResult.UNKNOWN
        try:
            result = await self._client.send(order)
        finally:
            self._orders_in_flight -= 1
            now = time.monotonic()
            balancer.record_result(order, result, switch_s, now)
        log.info("stage order: instance %s to %s: %s", order.id, order.stage, result.value)
        if result is OrderResult.ACCEPTED:
            deadline = now + switch_s + self._settings.longest_switch_s
            self._table.begin_stage_transition(order.id, order.stage, deadline, announce=True)
            self._gateways_outdated()

    def _start(self, coroutine: Coroutine[object, object, None]) -> None:
        task = asyncio.get_running_loop().create_task(coroutine)
        self._tasks[task] = None
        task.add_done_callback(self._task_done)

    def _task_done(self, task: asyncio.Task[None]) -> None:
        self._tasks.pop(task, None)
        if not task.cancelled() and (error := task.exception()) is not None:
            log.error("stage controller task failed", exc_info=(type(error), error, error.__traceback__))


def _stage_instance(instance: Instance) -> StageInstance:
    """Return the properties of an instance that stage decisions are based on."""
    return StageInstance(
        instance.id,
        instance.address,
        instance.stage,
        instance.zone,
        instance.switching_to,
        instance.state == READY,
        instance.warmup_left_ms > 0,
    )
