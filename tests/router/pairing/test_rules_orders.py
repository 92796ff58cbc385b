"""Stage orders: who may send one, its content, the meaning of each answer, and requests during a switch."""

from __future__ import annotations

import asyncio
import json
import time
import unittest
from dataclasses import dataclass, field
from random import Random
from types import SimpleNamespace

from failing_instances import ByName, add
from gateway_bench import ENGINE, Bench, events
from order_world import OrderWorld, lease_violations
from timed_instances import Timed
from virtual_time import play

from mallowbeam.router.control_plane.stage_lease import StageLease
from mallowbeam.router.control_plane.stage_order_client import StageOrderClient
from mallowbeam.router.pairing.order_lease import Leadership, OrderLease, OrderLeaseSettings
from mallowbeam.router.pairing.stage_balancer import OrderResult, StageOrder
from mallowbeam.router.registry.leases import Leases
from mallowbeam.router.rpc.messages_pb2 import DRAINS, AcquireLease, Instance
from mallowbeam.standins.model_server import Fault, ModelServer, ReceivedRequest

SEEDS = range(150)
SECONDS = 60.0
LEASE_S = 3.0
NOW = 100.0
HOLDER, TERM = 0xABC, 4
LEADS = Leadership(True, TERM, 0.0)


class NoWait(OrderLease):
    """Broken: sends as soon as it has the lease."""

    def acquired(self, term: int, token: int, now: float) -> None:
        super().acquired(term, token, now - self.settings.wait_s)


class NoMajorityCheck(OrderLease):
    """Broken: sends without a recent confirmation of its leadership by a majority."""

    def token(self, leadership: Leadership, now: float) -> int | None:
        return super().token(Leadership(leadership.is_leader, leadership.term, 0.0), now)


class AnyTerm(OrderLease):
    """Broken: uses a lease in other terms than the one in which it was acquired."""

    def token(self, leadership: Leadership, now: float) -> int | None:
        term = self._grant.term if self._grant is not None else 0
        return super().token(Leadership(leadership.is_leader, term, leadership.confirmed_s_ago), now)


class OneHolder(unittest.TestCase):
    def run_world(self, seed: int, lease_type: type[OrderLease] = OrderLease) -> tuple[list[str], int, int]:
        """Return the faults, the number of orders and the number of holders that sent some."""
        random = Random(seed)
        world = OrderWorld(random, lease_type, random.choice((3, 5)))
        arrivals = world.run_for(SECONDS)
        found = lease_violations(arrivals, world.settings.lease_s)
        return found, len(arrivals), len({order.holder for order in arrivals})

    def test_over_elections_cuts_freezes_restarts_and_lost_answers(self) -> None:
        orders = multi_holder_runs = 0
        for seed in SEEDS:
            found, sent, holders = self.run_world(seed)
            self.assertEqual(found, [], seed)
            orders, multi_holder_runs = orders + sent, multi_holder_runs + (holders > 1)
        self.assertGreater(orders, 100 * len(SEEDS))
        self.assertGreater(multi_holder_runs, len(SEEDS) // 2)

    def test_broken_leases_are_detected(self) -> None:
        for broken in (NoWait, NoMajorityCheck, AnyTerm):
            self.assertTrue(any(self.run_world(seed, broken)[0] for seed in SEEDS), broken.__name__)

    def test_a_leader_that_was_frozen_or_cut_off_sends_none(self) -> None:
        lease = OrderLease(OrderLeaseSettings(LEASE_S))
        lease.acquired(4, 7, NOW)
        later = NOW + lease.settings.wait_s
        self.assertIsNone(lease.token(LEADS, later - 0.01))
        self.assertEqual(lease.token(LEADS, later), 7)
        for leadership in (
            Leadership(True, 4, 5.0),
            Leadership(True, 4, 0.51),
            Leadership(True, 5, 0.0),
            Leadership(False, 4, 0.0),
        ):
            self.assertIsNone(lease.token(leadership, later), leadership)
        lease.rejected(later)
        self.assertIsNone(lease.token(LEADS, later + 100.0))

    def test_a_token_never_has_two_holders(self) -> None:
        random, leases = Random(3), Leases()
        holders: dict[int, int] = {}
        newest = 0
        for _ in range(2000):
            holder = random.randrange(1, 5)
            token = leases.apply(AcquireLease(subject=random.choice("ab"), holder=holder)).token
            self.assertEqual(holders.setdefault(token, holder), holder)
            newest = max(newest, token)
        self.assertEqual(newest, len(holders))


@dataclass
class OrderedInstance:
    """An instance that answers orders by the protocol, and can omit its answers."""

    id: str = "i-1"
    silent: bool = False
    busy: bool = False
    sequence: int = 0
    highest_token: int = 0  # the highest token seen
    stage: str = "decode"
    accepted_orders: list[dict[str, object]] = field(default_factory=list)
    statuses: list[int] = field(default_factory=list)
    address: str = ""

    async def __aenter__(self) -> OrderedInstance:
        self._server = await asyncio.start_server(self._connection, "127.0.0.1", 0)
        host, port = self._server.sockets[0].getsockname()[:2]
        self.address = f"{host}:{port}"
        return self

    async def __aexit__(self, *_: object) -> None:
        self._server.close()

    def restart(self, id: str) -> None:
        """Start another incarnation at the same address: sequence and highest token are lost."""
        self.id, self.sequence, self.highest_token, self.busy = id, 0, 0, False

    def accept_or_reject(self, headers: dict[str, str], order: dict[str, object]) -> int:
        """Return the status of the answer, and record an accepted order."""
        if headers.get("target-instance", self.id) != self.id:
            return 421
        if order.get("op") != "stage" or not order.get("holder") or not order.get("fencing_token"):
            return 400
        token = order["fencing_token"]
        assert isinstance(token, int)
        if token < self.highest_token:
            return 412
        self.highest_token = token
        if order["stage"] == self.stage:
            return 200
        if self.busy or order.get("if_revision", self.sequence) != self.sequence:
            return 409
        self.sequence, self.busy = self.sequence + 1, True
        self.accepted_orders.append(order)
        return 202

    async def _connection(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        head = (await reader.readuntil(b"\r\n\r\n")).decode()
        headers = {
            name.lower(): value.strip()
            for name, _, value in (line.partition(":") for line in head.split("\r\n")[1:] if line)
        }
        order = json.loads(await reader.readexactly(int(headers["content-length"])))
        status = self.accept_or_reject(headers, order)
        self.statuses.append(status)
        if self.silent:
            await reader.read()
        else:
            writer.write(b"HTTP/1.1 %d X\r\nContent-Length: 2\r\n\r\n{}" % status)
        writer.close()


class Lease(StageLease):
    """A member's lease with a fixed view of its leadership."""

    def __init__(self, token: int = 7, is_leader: bool = True, confirmed_s_ago: float = 0.0) -> None:
        self.member_id, self._fixed_leadership = HOLDER, Leadership(is_leader, TERM, confirmed_s_ago)
        self._gate = SimpleNamespace(allows=lambda *_: True)
        self._lease = OrderLease(OrderLeaseSettings(LEASE_S))
        self._lease.acquired(TERM, token, time.monotonic() - self._lease.settings.wait_s)

    def _leadership(self, now: float) -> Leadership:
        return self._fixed_leadership


def client_with_lease(
    token: int = 7, is_leader: bool = True, confirmed_s_ago: float = 0.0
) -> StageOrderClient:
    """Return a client with such a lease."""
    return StageOrderClient(Lease(token, is_leader, confirmed_s_ago))


class Sending(unittest.IsolatedAsyncioTestCase):
    """The orders that a leader sends, and how it interprets the answers."""

    def order_to(self, instance: OrderedInstance, stage: str = "prefill", id: str = "i-1") -> StageOrder:
        return StageOrder(id, instance.address, stage)

    async def test_op_holder_token_and_instance_are_named(self) -> None:
        async with OrderedInstance() as instance:
            self.assertEqual(await client_with_lease().send(self.order_to(instance)), OrderResult.ACCEPTED)
            self.assertEqual(
                instance.accepted_orders,
                [{"op": "stage", "stage": "prefill", "holder": f"{HOLDER:016x}", "fencing_token": 7}],
            )

    async def test_what_each_answer_means(self) -> None:
        async with OrderedInstance() as instance:
            leader = client_with_lease()
            self.assertEqual(await leader.send(self.order_to(instance)), OrderResult.ACCEPTED)  # 202
            self.assertEqual(await leader.send(self.order_to(instance)), OrderResult.UNKNOWN)  # 409
            instance.stage, instance.busy = "prefill", False
            self.assertEqual(await leader.send(self.order_to(instance)), OrderResult.ACCEPTED)  # 200
            self.assertEqual(await leader.send(self.order_to(instance, id="i-0")), OrderResult.REJECTED)
            self.assertEqual(instance.statuses, [202, 409, 200, 421])
            self.assertEqual(len(instance.accepted_orders), 1)

    async def test_a_lower_token_ends_the_lease(self) -> None:
        async with OrderedInstance(highest_token=9) as instance:
            leader = client_with_lease(token=7)
            self.assertEqual(await leader.send(self.order_to(instance)), OrderResult.REJECTED)
            self.assertEqual(await leader.send(self.order_to(instance)), OrderResult.NOT_SENT)
            self.assertEqual((instance.statuses, instance.accepted_orders), ([412], []))

    async def test_a_missing_answer_is_unknown_and_a_refused_connection_not_sent(self) -> None:
        async with OrderedInstance(silent=True) as instance:
            leader = client_with_lease()
            self.assertEqual(await leader.send(self.order_to(instance)), OrderResult.UNKNOWN)
            self.assertEqual(len(instance.accepted_orders), 1)
        unreachable = StageOrder("i-1", "127.0.0.1:1", "prefill")
        self.assertEqual(await leader.send(unreachable), OrderResult.NOT_SENT)

    async def test_an_order_for_an_earlier_incarnation_is_rejected_by_the_next(self) -> None:
        """The new incarnation has lost the highest token and the sequence: only its id differs."""
        async with OrderedInstance() as instance:
            leader = client_with_lease()
            instance.restart("i-2")
            self.assertEqual(await leader.send(self.order_to(instance)), OrderResult.REJECTED)
            self.assertEqual((instance.statuses, instance.accepted_orders), ([421], []))
            self.assertEqual(await leader.send(self.order_to(instance, id="i-2")), OrderResult.ACCEPTED)

    async def test_only_a_recently_confirmed_leader_sends(self) -> None:
        async with OrderedInstance() as instance:
            for leader in (client_with_lease(is_leader=False), client_with_lease(confirmed_s_ago=2.0)):
                self.assertEqual(await leader.send(self.order_to(instance)), OrderResult.NOT_SENT)
            self.assertEqual(instance.statuses, [])


class SwitchingServer(ModelServer):
    """Rejects new requests while it switches its stage."""

    busy: bool = True

    async def _answer(
        self, seen: ReceivedRequest, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> bool:
        if self.busy:
            self.script.append(Fault.REJECT)
        return await super()._answer(seen, reader, writer)


class RequestsMeanwhile(unittest.TestCase):
    def test_they_go_elsewhere_and_the_instance_is_not_ejected(self) -> None:
        async def scenario() -> None:
            async with Bench(planner=ByName()) as bench:
                first, second = SwitchingServer("d-1", "decode"), Timed("d-2", "decode")
                await add(bench, first, ENGINE)
                await add(bench, second, ENGINE)
                for _ in range(5):
                    answer = await bench.ask("/stream/")
                    self.assertEqual((answer.complete, answer.body), (True, events()))
                    self.assertEqual(answer.headers["server-signature"], "stamp.d-2")
                    self.assertEqual(bench.gateway.health.excluded({"d-1", "d-2"}, NOW), frozenset())
                first.busy = False
                answer = await bench.ask("/stream/")
                self.assertEqual(answer.headers["server-signature"], "stamp.d-1")

        play(scenario())

    def test_a_prompt_is_prefilled_by_the_decode_instance(self) -> None:
        async def scenario() -> None:
            async with Bench(planner=ByName("p-1")) as bench:
                await add(bench, SwitchingServer("p-1", "prefill"), ENGINE)
                decoder = Timed("d-1", "decode")
                await add(bench, decoder, ENGINE)
                answer = await bench.ask("/stream/")
                self.assertEqual((answer.complete, answer.body), (True, events()))
                self.assertNotIn("kv-from", decoder.seen[0].headers)

        play(scenario())

    def test_a_single_instance_rejects_with_retry_after(self) -> None:
        async def scenario() -> None:
            async with Bench(planner=ByName()) as bench:
                await add(bench, SwitchingServer("d-1", "decode"), ENGINE)
                answer = await bench.ask("/stream/")
                self.assertEqual((answer.status, "retry-after" in answer.headers), (503, True))

        play(scenario())

    def test_none_is_sent_once_members_have_announced_the_order(self) -> None:
        async def scenario() -> None:
            async with Bench(planner=ByName()) as bench:
                first, second = SwitchingServer("d-1", "decode"), Timed("d-2", "decode")
                await add(bench, first, ENGINE)
                await add(bench, second, ENGINE)
                entry = Instance()
                entry.CopyFrom(bench.gateway.view.instances["d-1"])
                entry.switching_to = "prefill"
                bench.update_instances(entry)
                self.assertEqual((await bench.ask("/stream/")).body, events())
                self.assertEqual((first.seen, len(second.seen)), ([], 1))
                self.assertNotEqual(bench.gateway.view.instances["d-1"].state, DRAINS)

        play(scenario())


if __name__ == "__main__":
    unittest.main()
