"""The share of prefill instances follows the traffic: the leader's orders to instances, and their answers.

Every member adds up its gateways' demand and follows what `StageBalancer` makes of the fleet's, so that a new
leader knows it at once; only the leader sends orders, under the lease that `OrderLease` looks after.
"""

from __future__ import annotations

import asyncio
import json
import socket
import struct
import time
from collections.abc import Callable, Coroutine
from contextlib import suppress

from mallowbeam.http.client import ConnectionBrokenError, Link, RequestNotSentError, connect
from mallowbeam.http.framing import write_request
from mallowbeam.router.configuration.versions import ConfigurationVersions
from mallowbeam.router.consensus.errors import ConsensusError
from mallowbeam.router.control_plane.raft_driver import RaftDriver
from mallowbeam.router.control_plane.response_gate import ResponseGate, ResponseKind
from mallowbeam.router.pairing.order_lease import OrderLease, OrderLeaseSettings, Standing
from mallowbeam.router.pairing.stage_balancer import (
    OrderResult,
    StageBalancer,
    StageBalancerSettings,
    StageInstance,
    StageOrder,
)
from mallowbeam.router.pairing.stage_demand import DemandTable, add_up
from mallowbeam.router.processes.logs import get_logger
from mallowbeam.router.registry.table import InstanceTable
from mallowbeam.router.rpc.messages_pb2 import (
    ALREADY_DONE,
    DONE,
    READY,
    AcquireLease,
    Command,
    Instance,
    RegistryGossip,
    StageDemand,
)

SUBJECT = "stages"  # of the lease, over the stages of all services
LOOK_S = 0.5  # between two decisions
REPORT_S = 0.5  # between two words to the other members
REREAD_S = 2.0  # the instances are read again after this time though none has changed
CONNECT_S = 0.6  # to an instance
MOST_SENDING = 64  # orders being sent at once, over all services; others wait for the next look
MOST_ANSWER_BYTES = 64 * 1024
RESET = struct.pack("ii", 1, 0)  # SO_LINGER: closing resets, and drops what has not arrived

log = get_logger("mallowbeam.stages")


class StageController:
    """Joins demand, decisions and lease with the log, the registry and the instances."""

    def __init__(
        self,
        driver: RaftDriver,
        holder: int,
        table: InstanceTable,
        versions: ConfigurationVersions,
        changed: Callable[[], None],
        gate: ResponseGate,
        lease_s: float,
        settings: StageBalancerSettings | None = None,
    ) -> None:
        """`holder` is this member's id, `lease_s` what must lie between the orders of two holders.

        `changed` is called when gateways must learn of something.
        """
        self._driver, self._holder, self._table, self._versions = driver, holder, table, versions
        self._changed, self._gate = changed, gate
        self._settings = settings or StageBalancerSettings()
        self.gateways = DemandTable()  # by the subscriber's number
        self._members = DemandTable()  # by member id
        self._lease = OrderLease(OrderLeaseSettings(lease_s))
        self._shares: dict[str, StageBalancer] = {}
        self._instances: dict[str, list[StageInstance]] = {}
        self._read_at, self._read_version = 0.0, -1
        self._look_at = self._tell_at = 0.0
        self._tasks: set[asyncio.Task[None]] = set()
        self._sending = 0
        self._stopped = False

    # ------------------------------------------------------------ between members

    def heard(self, member: int, gossip: RegistryGossip, now: float) -> None:
        """What another member's gateways ask for."""
        if gossip.demand:
            self._members.record(member, gossip.demand, now)

    def tell(self, gossip: RegistryGossip, now: float) -> None:
        """Add what this member's gateways ask for, where it is due."""
        if now >= self._tell_at:
            self._tell_at = now + REPORT_S
            gossip.demand.extend(self.gateways.sums(now).values())

    # ------------------------------------------------------------ time

    def look(self, now: float) -> None:
        """Let time pass; to be called several times a second."""
        if now < self._look_at or self._stopped:
            return
        self._look_at = now + LOOK_S
        self._read_instances(now)
        self._observe(now)
        if self._has_engines() and self._lease.should_acquire(self._standing(now), now):
            self._start(self._acquire(self._driver.node.term))
        if self._table.is_complete(now) and self._token(now) is not None:
            for backend in self._instances:
                self._decide(backend, now)

    def stop(self) -> None:
        """Send nothing more."""
        self._stopped = True
        for task in list(self._tasks):
            task.cancel()

    def _standing(self, now: float) -> Standing:
        node = self._driver.node
        return Standing(self._driver.is_leader, node.term, node.freshness(now))

    def _token(self, now: float) -> int | None:
        """The token under which an order may be sent in this step; None: none may."""
        if not self._gate.may(ResponseKind.INSTANCE_ORDER):
            return None
        return self._lease.token(self._standing(now), now)

    def _read_instances(self, now: float) -> None:
        """Bring the instances of services with model servers up to date."""
        if self._table.version == self._read_version and now - self._read_at < REREAD_S:
            return
        self._read_version, self._read_at = self._table.version, now
        self._instances = {}
        for instance in self._table.live():
            if instance.stage:
                self._instances.setdefault(instance.backend, []).append(_stage_instance(instance))
        for gone in [backend for backend in self._shares if backend not in self._instances]:
            del self._shares[gone]

    def _observe(self, now: float) -> None:
        parts = [*self.gateways.sums(now).values(), *self._members.sums(now).values()]
        fleet: dict[str, StageDemand] = add_up(parts)
        for backend, instances in self._instances.items():
            self._share(backend).observe(fleet.get(backend), instances, now)

    def _share(self, backend: str) -> StageBalancer:
        return self._shares.setdefault(backend, StageBalancer(self._settings))

    # ------------------------------------------------------------ the leader's part

    def _has_engines(self) -> bool:
        """Whether there is a service with model servers."""
        configuration = self._versions.current()
        return configuration is not None and any(
            backend.engine is not None for backend in configuration.backends.values()
        )

    async def _acquire(self, term: int) -> None:
        """Get the lease through the log, by a proposal of this member's own leadership."""
        command = Command(acquire_lease=AcquireLease(subject=SUBJECT, holder=self._holder))
        try:
            outcome = await self._driver.propose(command.SerializeToString())
        except ConsensusError as error:
            log.info("no lease over the stages: %s", error)
            self._lease.not_acquired(time.monotonic())
            return
        if outcome.result in (DONE, ALREADY_DONE):
            self._lease.acquired(term, outcome.token, time.monotonic())
            log.info("lease over the stages, token %d", outcome.token)
        else:
            self._lease.not_acquired(time.monotonic())

    def _decide(self, backend: str, now: float) -> None:
        configuration = self._versions.current()
        known = configuration.backends.get(backend) if configuration is not None else None
        if known is None or known.engine is None or self._sending >= MOST_SENDING:
            return
        switch_s = known.engine.switch_s
        share = self._share(backend)
        orders = share.decide(self._instances[backend], known.engine.slots, switch_s, now)
        if orders and share.work is not None:
            log.info(
                "%s: work of %.2f prefill and %.2f decode instances",
                backend,
                share.work.prefill,
                share.work.decode,
            )
        for order in orders:
            self._start(self._send(share, order, switch_s))

    async def _send(self, share: StageBalancer, order: StageOrder, switch_s: float) -> None:
        """Send one order and take note of what became of it."""
        self._sending += 1
        result = OrderResult.UNKNOWN
        try:
            result = await self._exchange(order)
        finally:
            self._sending -= 1
            now = time.monotonic()
            share.answered(order, result, switch_s, now)
        log.info("%s to %s: %s", order.id, order.stage, result.value)
        if result is OrderResult.ACCEPTED:
            self._table.begin_stage_transition(
                order.id, order.stage, now + switch_s + self._settings.longest_switch_s, announce=True
            )
            self._changed()

    async def _exchange(self, order: StageOrder) -> OrderResult:
        """The order and its answer."""
        try:
            link = await connect(order.address, CONNECT_S, MOST_ANSWER_BYTES)
        except RequestNotSentError:
            return OrderResult.NOT_SENT
        try:
            self._bound_time_on_the_way(link.channel.sock)
            now = time.monotonic()
            token = self._token(now)
            if token is None:  # leadership may have passed on while the connection came up
                return OrderResult.NOT_SENT
            with suppress(TimeoutError, RequestNotSentError, ConnectionBrokenError):
                async with asyncio.timeout(self._lease.settings.answer_s):
                    return self._judge(await _post(link, order, self._holder, token))
            return OrderResult.UNKNOWN
        finally:
            link.close()

    def _bound_time_on_the_way(self, sock: socket.socket) -> None:
        """Have an order that can't be delivered dropped, not delivered late.

        By this process when it closes, and by the kernel where the process stands still meanwhile.
        """
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
        answer_ms = int(self._lease.settings.answer_s * 1000)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, answer_ms)

    def _judge(self, status: int) -> OrderResult:
        """What an answer's status says."""
        if status in (200, 202):
            return OrderResult.ACCEPTED
        if status == 412:
            self._lease.rejected(time.monotonic())
        elif status == 409:  # another order is under way, perhaps this one
            return OrderResult.UNKNOWN
        log.warning("an order was refused with %d", status)
        return OrderResult.REJECTED

    def _start(self, work: Coroutine[object, object, None]) -> None:
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._done)

    def _done(self, task: asyncio.Task[None]) -> None:
        self._tasks.discard(task)
        if not task.cancelled() and (error := task.exception()) is not None:
            log.error("stage orders failed", exc_info=(type(error), error, error.__traceback__))


async def _post(link: Link, order: StageOrder, holder: int, token: int) -> int:
    """Write the order, read its whole answer; the status."""
    body = json.dumps(
        {"op": "stage", "stage": order.stage, "holder": f"{holder:016x}", "fencing_token": token}
    ).encode()
    headers = [
        (b"host", order.address.encode()),
        (b"content-type", b"application/json"),
        (b"target-instance", order.id.encode()),
        (b"connection", b"close"),
    ]
    await link.request(write_request(b"POST", b"/mallowbeam/order", headers, len(body)), body)
    answer = await link.head()
    await link.body(answer)
    return int(answer.status)


def _stage_instance(instance: Instance) -> StageInstance:
    """What decisions go by."""
    return StageInstance(
        instance.id,
        instance.address,
        instance.stage,
        instance.zone,
        instance.switching_to,
        instance.state == READY,
        instance.warmup_left_ms > 0,
    )
