"""A gateway's feed connection follows its subscriber's actions and reports frames and failures to it."""

from __future__ import annotations

import asyncio
import unittest
from collections.abc import Awaitable, Callable, Iterable
from contextlib import suppress
from typing import cast

from virtual_time import play

from mallowbeam.router.configuration.model import Configuration
from mallowbeam.router.data_plane.feed_link import FeedLink
from mallowbeam.router.feed.subscriber import Action, Close, Connect, FeedEvents, FeedSubscriber, Wait
from mallowbeam.router.rpc.connection import FrameConnection, listen
from mallowbeam.router.rpc.framing import HEADER, encode_frame
from mallowbeam.router.rpc.messages_pb2 import FeedFrame, FeedHeartbeat, FeedHello, GatewayFrame, LinkFrame

IP = "127.0.0.1"
NOT_A_FRAME = b"\xff" * 16  # not the start of any protobuf message
HELLO = FeedHello(gateway="g-1", configuration_revision=7)
TEST_TIMEOUT_S = 30.0  # of virtual time


class Member:
    """A member that accepts feed connections."""

    def __init__(self) -> None:
        self.connections: list[FrameConnection] = []
        self.frames: list[LinkFrame] = []
        self.ended: list[FrameConnection] = []

    async def start(self) -> None:
        self._server = await listen(IP, 0, self.received, self.connections.append, self.ended.append)
        self.address = f"{IP}:{self._server.sockets[0].getsockname()[1]}"

    def received(self, connection: FrameConnection, data: bytes) -> None:
        self.frames.append(LinkFrame.FromString(data))

    def stop(self) -> None:
        self._server.close()


class ScriptedSubscriber:
    """A subscriber with scripted actions that records what is reported to it."""

    def __init__(self, *actions: Action) -> None:
        self.actions = list(actions)
        self.reports: list[tuple[str, str]] = []
        self.frames: list[FeedFrame] = []

    def next_action(self, now: float) -> Action:
        return self.actions.pop(0) if self.actions else Wait(now + 60.0)

    def hello(self) -> FeedHello:
        return HELLO

    def replace_seeds(self, seeds: Iterable[str]) -> None:
        self.actions = [Connect(seed) for seed in seeds]

    def connected(self, address: str, now: float) -> None:
        self.reports.append(("connected", address))

    def failed(self, address: str, now: float) -> None:
        self.reports.append(("failed", address))

    def received(self, frame: FeedFrame, now: float) -> FeedEvents[Configuration]:
        self.frames.append(frame)
        return FeedEvents()


class Bench:
    """A feed link with its scripted subscriber, run as a task."""

    def __init__(self, script: ScriptedSubscriber) -> None:
        self.script, self.changes = script, 0
        subscriber = cast(FeedSubscriber[Configuration], script)
        self.link = FeedLink(subscriber, self._changed)

    def _changed(self, events: FeedEvents[Configuration], now: float) -> None:
        self.changes += 1

    async def __aenter__(self) -> Bench:
        self.task = asyncio.create_task(self.link.run())
        return self

    async def __aexit__(self, *_: object) -> None:
        self.task.cancel()
        with suppress(asyncio.CancelledError):
            await self.task


async def until(condition: Callable[[], object]) -> None:
    async with asyncio.timeout(TEST_TIMEOUT_S):
        while not condition():
            await asyncio.sleep(0.01)


def frame(gateways: int) -> FeedFrame:
    return FeedFrame(heartbeat=FeedHeartbeat(gateways=gateways))


class Following(unittest.TestCase):
    def play(self, scenario: Callable[[Member, Member], Awaitable[None]]) -> None:
        """Run a scenario with two members."""

        async def run_scenario() -> None:
            members = Member(), Member()
            for member in members:
                await member.start()
            try:
                await scenario(*members)
            finally:
                for member in members:
                    member.stop()

        play(run_scenario())

    def test_says_hello_and_hands_on_each_frame(self) -> None:
        async def scenario(member: Member, _: Member) -> None:
            async with Bench(ScriptedSubscriber(Connect(member.address))) as bench:
                await until(lambda: member.frames)
                self.assertEqual(member.frames[0].gateway.hello, HELLO)
                for number in range(3):
                    member.connections[0].send(frame(number))
                await until(lambda: bench.changes == 3)
                self.assertEqual([one.heartbeat.gateways for one in bench.script.frames], [0, 1, 2])
                self.assertEqual(bench.script.reports, [("connected", member.address)])

        self.play(scenario)

    def test_refused_connection_is_reported(self) -> None:
        async def scenario(member: Member, other: Member) -> None:
            other.stop()
            for bad in (other.address, "nonsense"):
                async with Bench(ScriptedSubscriber(Connect(bad), Connect(member.address))) as bench:
                    await until(lambda bench=bench: len(bench.script.reports) == 2)
                    self.assertEqual(bench.script.reports, [("failed", bad), ("connected", member.address)])

        self.play(scenario)

    def test_disconnect_by_the_member_is_reported_at_once(self) -> None:
        async def scenario(member: Member, other: Member) -> None:
            now = asyncio.get_running_loop().time
            script = ScriptedSubscriber(Connect(member.address), Wait(now() + 60.0), Connect(other.address))
            async with Bench(script) as bench:
                await until(lambda: member.frames)
                began = now()
                member.connections[0].abort()
                await until(lambda: other.frames)
                self.assertLess(now() - began, 1.0)
                first, second = member.address, other.address
                reports = [("connected", first), ("failed", first), ("connected", second)]
                self.assertEqual(bench.script.reports, reports)

        self.play(scenario)

    # Guards against new seeds that wait for the end of a backoff, which has no end without any address.
    def test_new_seeds_end_the_wait_for_a_member(self) -> None:
        async def scenario(member: Member, _: Member) -> None:
            now = asyncio.get_running_loop().time
            async with Bench(ScriptedSubscriber(Wait(now() + 60.0))) as bench:
                await asyncio.sleep(0)
                began = now()
                bench.link.replace_seeds([member.address])
                await until(lambda: member.frames)
                self.assertLess(now() - began, 1.0)

        self.play(scenario)

    def test_new_seeds_leave_an_open_feed_alone(self) -> None:
        async def scenario(member: Member, other: Member) -> None:
            async with Bench(ScriptedSubscriber(Connect(member.address))) as bench:
                await until(lambda: member.frames)
                bench.script.replace_seeds = lambda seeds: None  # type: ignore[method-assign]
                bench.link.replace_seeds([other.address])
                member.connections[0].send(frame(1))
                await until(lambda: bench.changes)
                self.assertEqual((other.frames, member.ended), ([], []))

        self.play(scenario)

    def test_closed_feed_is_not_reported_as_failed(self) -> None:
        async def scenario(member: Member, other: Member) -> None:
            script = ScriptedSubscriber(
                Connect(member.address), Close(member.address), Connect(other.address)
            )
            async with Bench(script) as bench:
                await until(lambda: other.frames and member.ended)
                reports = [("connected", member.address), ("connected", other.address)]
                self.assertEqual(bench.script.reports, reports)
                self.assertFalse(member.connections[0].open)

        self.play(scenario)

    def test_a_new_connection_ends_the_one_before(self) -> None:
        async def scenario(member: Member, other: Member) -> None:
            async with Bench(ScriptedSubscriber(Connect(member.address), Connect(other.address))) as bench:
                await until(lambda: other.frames and member.ended)
                other.connections[0].send(frame(2))
                await until(lambda: bench.changes)
                self.assertEqual([one.heartbeat.gateways for one in bench.script.frames], [2])

        self.play(scenario)

    def test_malformed_message_ends_the_feed_and_later_frames_are_ignored(self) -> None:
        async def scenario(member: Member, _: Member) -> None:
            async with Bench(ScriptedSubscriber(Connect(member.address), Wait(0.0))) as bench:
                await until(lambda: member.frames)
                bad = HEADER.pack(len(NOT_A_FRAME)) + NOT_A_FRAME
                member.connections[0].send_encoded(bad + encode_frame(frame(1)))
                await until(lambda: ("failed", member.address) in bench.script.reports)
                await until(lambda: member.ended)
                self.assertEqual(bench.changes, 0)

        self.play(scenario)

    def test_frames_go_to_the_member_that_is_followed(self) -> None:
        async def scenario(member: Member, _: Member) -> None:
            async with Bench(ScriptedSubscriber(Wait(0.0), Connect(member.address))) as bench:
                self.assertFalse(bench.link.send(GatewayFrame()))
                await until(lambda: member.frames)
                self.assertTrue(bench.link.send(GatewayFrame(hello=FeedHello(gateway="again"))))
                await until(lambda: len(member.frames) == 2)
                self.assertEqual(member.frames[1].gateway.hello.gateway, "again")

        self.play(scenario)

    def test_the_end_closes_the_connection(self) -> None:
        async def scenario(member: Member, _: Member) -> None:
            async with Bench(ScriptedSubscriber(Connect(member.address))) as bench:
                await until(lambda: member.frames)
            await until(lambda: member.ended)
            self.assertFalse(bench.link.send(GatewayFrame()))

        self.play(scenario)


if __name__ == "__main__":
    unittest.main()
