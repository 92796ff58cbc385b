"""Stage orders are sent only by a leader that a majority has just confirmed, also after a wait to connect."""

from __future__ import annotations

import json
import socket
import unittest
from collections.abc import Callable
from types import SimpleNamespace
from typing import cast
from unittest import mock

from mallowbeam.router.control_plane import stage_order_client
from mallowbeam.router.control_plane.raft_driver import RaftDriver
from mallowbeam.router.control_plane.response_gate import ResponseGate, ResponseKind
from mallowbeam.router.control_plane.stage_lease import StageLease
from mallowbeam.router.control_plane.stage_order_client import RESET_ON_CLOSE, StageOrderClient
from mallowbeam.router.pairing.stage_balancer import OrderResult, StageOrder

ORDER = StageOrder("i", "10.1.0.1:8080", "prefill")
LEASE_S = 3.0
TOKEN = 41


class Leader:
    """Stands in for the Raft driver, and has the member's monotonic clock."""

    def __init__(self) -> None:
        self.now = 100.0
        self.confirmed_at = self.now
        self.is_leader = True
        self.node = SimpleNamespace(term=2, freshness=lambda now: now - self.confirmed_at)

    def staleness(self) -> float:
        return self.now - self.confirmed_at


class Link:
    """Stands in for a connection to an instance; records socket options and writes, in order."""

    def __init__(self) -> None:
        self.calls: list[tuple[object, ...]] = []
        self.channel = SimpleNamespace(sock=SimpleNamespace(setsockopt=self._set))
        self.order: dict[str, object] = {}

    def _set(self, *option: object) -> None:
        self.calls.append(option)

    async def request(self, head: bytes, body: bytes) -> None:
        self.calls.append(("request",))
        self.order = json.loads(body)

    async def read_head(self) -> SimpleNamespace:
        return SimpleNamespace(status=202)

    async def read_body(self, response: object) -> bytes:
        return b""

    def close(self) -> None:
        self.calls.append(("close",))


class Exchange(unittest.IsolatedAsyncioTestCase):
    def setUp(self) -> None:
        self.leader, self.link = Leader(), Link()
        leader = self.leader
        gate = ResponseGate(lambda: leader.now, leader.staleness, lambda: leader.is_leader)
        self.gate = gate
        stage_lease = StageLease(cast(RaftDriver, leader), gate, 7, LEASE_S)
        self.client = StageOrderClient(stage_lease)
        lease = stage_lease._lease
        lease.acquired(2, TOKEN, leader.now - lease.settings.wait_s)

    async def exchange(self, while_connecting: Callable[[], None]) -> OrderResult:
        """Send one order, calling `while_connecting` while its connection is established."""

        async def connect(*_: object) -> Link:
            while_connecting()
            return self.link

        clock = SimpleNamespace(monotonic=lambda: self.leader.now)
        with mock.patch.multiple(stage_order_client, connect=connect, time=clock):
            return await self.client.send(ORDER)

    def is_written(self) -> bool:
        return ("request",) in self.link.calls

    async def test_a_confirmed_leader_sends_its_token(self) -> None:
        self.assertIs(await self.exchange(lambda: None), OrderResult.ACCEPTED)
        self.assertEqual(self.link.order["fencing_token"], TOKEN)

    async def test_frozen_while_the_connection_came_up(self) -> None:
        def suspend() -> None:
            self.leader.now += 20.0

        self.assertIs(await self.exchange(suspend), OrderResult.NOT_SENT)
        self.assertFalse(self.is_written())

    async def test_isolated_while_the_connection_came_up(self) -> None:
        def isolate() -> None:
            self.leader.now += 0.6  # it still believes that it leads: check-quorum takes 0.8 s

        self.assertIs(await self.exchange(isolate), OrderResult.NOT_SENT)
        self.assertFalse(self.is_written())

    async def test_leadership_lost_and_won_again_meanwhile(self) -> None:
        def lose() -> None:
            self.leader.is_leader = False

        self.assertIs(await self.exchange(lose), OrderResult.NOT_SENT)

        def win_again() -> None:
            self.leader.is_leader = True
            self.leader.node.term = 4

        self.assertIs(await self.exchange(win_again), OrderResult.NOT_SENT)
        self.assertFalse(self.is_written())

    async def test_the_response_gate_can_prevent_an_order(self) -> None:
        with mock.patch.object(
            ResponseGate, "allows", lambda _, kind: kind is not ResponseKind.INSTANCE_ORDER
        ):
            self.assertIs(await self.exchange(lambda: None), OrderResult.NOT_SENT)
        self.assertFalse(self.is_written())

    async def test_an_order_that_does_not_arrive_is_dropped_by_the_kernel_too(self) -> None:
        """A process suspended in a partition can't close its socket: the order would arrive once it heals."""
        await self.exchange(lambda: None)
        before = self.link.calls[: self.link.calls.index(("request",))]
        self.assertIn((socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE), before)
        self.assertIn((socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, 600), before)


if __name__ == "__main__":
    unittest.main()
