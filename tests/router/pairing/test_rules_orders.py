"""Orders to instances: who may send one, what is sent, what each answer means, and requests beside them."""

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
from order_world import OrderWorld, faults
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
    """Sends as soon as it has the lease."""

    def acquired(self, term: int, token: int, now: float) -> None:
        super().acquired(term, token, now - self.settings.wait_s)


class NoLookAtTheMajority(OrderLease):
    """Sends while it believes that it leads, however long ago that was confirmed."""

    def token(self, leadership: Leadership, now: float) -> int | None:
        return super().token(Leadership(leadership.is_leader, leadership.term, 0.0), now)


class AnyTerm(OrderLease):
    """Uses a lease in whatever term it leads."""

    def token(self, leadership: Leadership, now: float) -> int | None:
        term = self._grant.term if self._grant is not None else 0
        return super().token(Leadership(leadership.is_leader, term, leadership.confirmed_s_ago), now)


class OneHolder(unittest.TestCase):
    def played(self, seed: int, lease_type: type[OrderLease] = OrderLease) -> tuple[list[str], int, int]:
        """Faults, orders, and how many holders sent some."""
        random = Random(seed)
        world = OrderWorld(random, lease_type, random.choice((3, 5)))
        arrivals = world.play(SECONDS)
        found = faults(arrivals, world.settings.lease_s)
        return found, len(arrivals), len({order.holder for order in arrivals})

    def test_over_elections_cuts_freezes_restarts_and_lost_answers(self) -> None:
        orders = turns = 0
        for seed in SEEDS:
            found, sent, holders = self.played(seed)
            self.assertEqual(found, [], seed)
            orders, turns = orders + sent, turns + (holders > 1)
        self.assertGreater(orders, 100 * len(SEEDS))
        self.assertGreater(turns, len(SEEDS) // 2)

    def test_broken_ones_are_found(self) -> None:
        for broken in (NoWait, NoLookAtTheMajority, AnyTerm):
            self.assertTrue(any(self.played(seed, broken)[0] for seed in SEEDS), broken.__name__)

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

    def test_two_machines_never_get_one_token_whatever_is_asked(self) -> None:
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
class Ordered:
    """An instance's end of orders: as the protocol has it, with what is to be lost."""

    id: str = "i-1"
    silent: bool = False
    busy: bool = False
    sequence: int = 0
    fence: int = 0  # the highest token seen
    stage: str = "decode"
    taken: list[dict[str, object]] = field(default_factory=list)
    statuses: list[int] = field(default_factory=list)
    address: str = ""

    async def __aenter__(self) -> Ordered:
        self._server = await asyncio.start_server(self._connection, "127.0.0.1", 0)
        host, port = self._server.sockets[0].getsockname()[:2]
        self.address = f"{host}:{port}"
        return self

    async def __aexit__(self, *_: object) -> None:
        self._server.close()

    def restart(self, id: str) -> None:
        """Another incarnation at the same address: it has forgotten sequence and fences."""
        self.id, self.sequence, self.fence, self.busy = id, 0, 0, False

    def judge(self, headers: dict[str, str], order: dict[str, object]) -> int:
        """The answer's status; an order that is taken is noted."""
        if headers.get("target-instance", self.id) != self.id:
            return 421
        if order.get("op") != "stage" or not order.get("holder") or not order.get("fencing_token"):
            return 400
        token = order["fencing_token"]
        assert isinstance(token, int)
        if token < self.fence:
            return 412
        self.fence = token
        if order["stage"] == self.stage:
            return 200
        if self.busy or order.get("if_revision", self.sequence) != self.sequence:
            return 409
        self.sequence, self.busy = self.sequence + 1, True
        self.taken.append(order)
        return 202

    async def _connection(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        head = (await reader.readuntil(b"\r\n\r\n")).decode()
        headers = {
            name.lower(): value.strip()
            for name, _, value in (line.partition(":") for line in head.split("\r\n")[1:] if line)
        }
        order = json.loads(await reader.readexactly(int(headers["content-length"])))
        status = self.judge(headers, order)
        self.statuses.append(status)
        if self.silent:
            await reader.read()
        else:
            writer.write(b"HTTP/1.1 %d X\r\nContent-Length: 2\r\n\r\n{}" % status)
        writer.close()


class Lease(StageLease):
    """A member's lease; all else about the member is as it is told."""

    def __init__(self, token: int = 7, leads: bool = True, silence_s: float = 0.0) -> None:
        self.member_id, self._told = HOLDER, Leadership(leads, TERM, silence_s)
        self._gate = SimpleNamespace(allows=lambda *_: True)
        self._lease = OrderLease(OrderLeaseSettings(LEASE_S))
        self._lease.acquired(TERM, token, time.monotonic() - self._lease.settings.wait_s)

    def _leadership(self, now: float) -> Leadership:
        return self._told


def leader_with(token: int = 7, leads: bool = True, silence_s: float = 0.0) -> StageOrderClient:
    """A client under such a lease."""
    return StageOrderClient(Lease(token, leads, silence_s))


class Sending(unittest.IsolatedAsyncioTestCase):
    """What a leader sends, and what it takes an answer for."""

    def to(self, instance: Ordered, stage: str = "prefill", id: str = "i-1") -> StageOrder:
        return StageOrder(id, instance.address, stage)

    async def test_op_holder_token_and_instance_are_named(self) -> None:
        async with Ordered() as instance:
            self.assertEqual(await leader_with().send(self.to(instance)), OrderResult.ACCEPTED)
            self.assertEqual(
                instance.taken,
                [{"op": "stage", "stage": "prefill", "holder": f"{HOLDER:016x}", "fencing_token": 7}],
            )

    async def test_what_each_answer_means(self) -> None:
        async with Ordered() as instance:
            leader = leader_with()
            self.assertEqual(await leader.send(self.to(instance)), OrderResult.ACCEPTED)  # 202
            self.assertEqual(await leader.send(self.to(instance)), OrderResult.UNKNOWN)  # 409
            instance.stage, instance.busy = "prefill", False
            self.assertEqual(await leader.send(self.to(instance)), OrderResult.ACCEPTED)  # 200
            self.assertEqual(await leader.send(self.to(instance, id="i-0")), OrderResult.REJECTED)
            self.assertEqual(instance.statuses, [202, 409, 200, 421])
            self.assertEqual(len(instance.taken), 1)

    async def test_a_lower_token_ends_the_lease(self) -> None:
        async with Ordered(fence=9) as instance:
            leader = leader_with(token=7)
            self.assertEqual(await leader.send(self.to(instance)), OrderResult.REJECTED)
            self.assertEqual(await leader.send(self.to(instance)), OrderResult.NOT_SENT)
            self.assertEqual((instance.statuses, instance.taken), ([412], []))

    async def test_no_answer_may_have_been_taken_and_no_connection_was_not(self) -> None:
        async with Ordered(silent=True) as instance:
            leader = leader_with()
            self.assertEqual(await leader.send(self.to(instance)), OrderResult.UNKNOWN)
            self.assertEqual(len(instance.taken), 1)
        nobody = StageOrder("i-1", "127.0.0.1:1", "prefill")
        self.assertEqual(await leader.send(nobody), OrderResult.NOT_SENT)

    async def test_an_order_for_an_earlier_incarnation_is_not_taken_by_the_next(self) -> None:
        """It has forgotten fences and sequence: its id alone tells it from the one that was meant."""
        async with Ordered() as instance:
            leader = leader_with()
            instance.restart("i-2")
            self.assertEqual(await leader.send(self.to(instance)), OrderResult.REJECTED)
            self.assertEqual((instance.statuses, instance.taken), ([421], []))
            self.assertEqual(await leader.send(self.to(instance, id="i-2")), OrderResult.ACCEPTED)

    async def test_whoever_does_not_lead_or_is_out_of_touch_sends_nothing(self) -> None:
        async with Ordered() as instance:
            for leader in (leader_with(leads=False), leader_with(silence_s=2.0)):
                self.assertEqual(await leader.send(self.to(instance)), OrderResult.NOT_SENT)
            self.assertEqual(instance.statuses, [])


class Switching(ModelServer):
    """Turns away what has not begun while it does an order."""

    busy: bool = True

    async def _answer(
        self, seen: ReceivedRequest, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> bool:
        if self.busy:
            self.script.append(Fault.REJECT)
        return await super()._answer(seen, reader, writer)


class RequestsMeanwhile(unittest.TestCase):
    def test_they_go_elsewhere_and_the_instance_is_not_held_for_failed(self) -> None:
        async def scenario() -> None:
            async with Bench(planner=ByName()) as bench:
                first, second = Switching("d-1", "decode"), Timed("d-2", "decode")
                await add(bench, first, ENGINE)
                await add(bench, second, ENGINE)
                for _ in range(5):
                    answer = await bench.ask("/stream/")
                    self.assertEqual((answer.whole, answer.body), (True, events()))
                    self.assertEqual(answer.headers["server-signature"], "stamp.d-2")
                    self.assertEqual(bench.gateway.health.excluded({"d-1", "d-2"}, NOW), frozenset())
                first.busy = False
                answer = await bench.ask("/stream/")
                self.assertEqual(answer.headers["server-signature"], "stamp.d-1")

        play(scenario())

    def test_a_prompt_is_read_where_it_is_answered(self) -> None:
        async def scenario() -> None:
            async with Bench(planner=ByName("p-1")) as bench:
                await add(bench, Switching("p-1", "prefill"), ENGINE)
                decoder = Timed("d-1", "decode")
                await add(bench, decoder, ENGINE)
                answer = await bench.ask("/stream/")
                self.assertEqual((answer.whole, answer.body), (True, events()))
                self.assertNotIn("kv-from", decoder.seen[0].headers)

        play(scenario())

    def test_alone_it_is_a_refusal_that_promises(self) -> None:
        async def scenario() -> None:
            async with Bench(planner=ByName()) as bench:
                await add(bench, Switching("d-1", "decode"), ENGINE)
                answer = await bench.ask("/stream/")
                self.assertEqual((answer.status, "retry-after" in answer.headers), (503, True))

        play(scenario())

    def test_none_is_sent_once_the_members_have_told_of_the_order(self) -> None:
        async def scenario() -> None:
            async with Bench(planner=ByName()) as bench:
                first, second = Switching("d-1", "decode"), Timed("d-2", "decode")
                await add(bench, first, ENGINE)
                await add(bench, second, ENGINE)
                row = Instance()
                row.CopyFrom(bench.gateway.view.instances["d-1"])
                row.switching_to = "prefill"
                bench.tell(row)
                self.assertEqual((await bench.ask("/stream/")).body, events())
                self.assertEqual((first.seen, len(second.seen)), ([], 1))
                self.assertNotEqual(bench.gateway.view.instances["d-1"].state, DRAINS)

        play(scenario())


if __name__ == "__main__":
    unittest.main()
