"""The lease under which the leader sends orders to instances, acquired through the replicated log."""

from __future__ import annotations

import time
from collections.abc import Coroutine

from mallowbeam.router.consensus.errors import ConsensusError
from mallowbeam.router.control_plane.raft_driver import RaftDriver
from mallowbeam.router.control_plane.response_gate import ResponseGate, ResponseKind
from mallowbeam.router.pairing.order_lease import Leadership, OrderLease, OrderLeaseSettings
from mallowbeam.router.processes.logs import get_logger
from mallowbeam.router.rpc.messages_pb2 import ALREADY_DONE, DONE, AcquireLease, Command

LEASE_SUBJECT = "stages"  # of the lease, which covers the stages of all services

log = get_logger("mallowbeam.stages")


class StageLease:
    """This member's lease over the stages, with its fencing token."""

    def __init__(self, driver: RaftDriver, gate: ResponseGate, member_id: int, lease_s: float) -> None:
        """`member_id` is this member's own; at least `lease_s` seconds lie between orders of two holders."""
        self.member_id = member_id
        self._driver = driver
        self._gate = gate
        self._lease = OrderLease(OrderLeaseSettings(lease_s))

    @property
    def answer_timeout_s(self) -> float:
        """Seconds within which an order must be answered or dropped."""
        return self._lease.settings.answer_s

    def should_acquire(self, now: float) -> bool:
        """Whether a proposal for the lease is due."""
        return self._lease.should_acquire(self._leadership(now), now)

    def token(self, now: float) -> int | None:
        """Return the fencing token for an order sent in this event-loop step; None if none may be sent."""
        if not self._gate.allows(ResponseKind.INSTANCE_ORDER):
            return None
        return self._lease.token(self._leadership(now), now)

    def rejected(self) -> None:
        """Give the lease up, because an instance has seen a higher fencing token."""
        self._lease.rejected(time.monotonic())

    def acquire(self) -> Coroutine[object, object, None]:
        """Return a coroutine that acquires the lease as leader of the current term, to be run as a task."""
        return self._acquire(self._driver.node.term)

    async def _acquire(self, term: int) -> None:
        """Propose the acquisition, and record its outcome."""
        command = Command(acquire_lease=AcquireLease(subject=LEASE_SUBJECT, holder=self.member_id))
        try:
            outcome = await self._driver.propose(command.SerializeToString())
        except ConsensusError as error:
            log.info("stage lease was not acquired: %s", error)
            self._lease.not_acquired(time.monotonic())
            return
        if outcome.result in (DONE, ALREADY_DONE):
            self._lease.acquired(term, outcome.token, time.monotonic())
            log.info("acquired the stage lease with fencing token %d", outcome.token)
        else:
            self._lease.not_acquired(time.monotonic())

    def _leadership(self, now: float) -> Leadership:
        node = self._driver.node
        return Leadership(self._driver.is_leader, node.term, node.freshness(now))
