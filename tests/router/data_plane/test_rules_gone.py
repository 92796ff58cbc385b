"""Half a second after a client disconnects, nothing more is sent for it and no instance works on its request.

If the end of a connection does not cancel its requests in flight, six of these tests fail.
"""

from __future__ import annotations

import asyncio
import socket
import struct
import unittest
from collections.abc import Callable, Sequence

from failing_instances import ByName, UnresponsiveAddress, add, add_unresponsive
from gateway_bench import DEFAULT, ENGINE, PLAIN, Bench, request_bytes
from timed_instances import DelayedStart, EndlessAnswers, Timed, now
from virtual_time import play

from mallowbeam.router.data_plane.planner_interface import Planner
from mallowbeam.standins.model_server import Fault

CANCEL_WITHIN_S = 0.5
QUIET_PERIOD_S = 10.0  # period in which nothing more may arrive
LONG = {"Deadline-Ms": "60000", "Token-Usage": "1000,5", "Prompt-Prefix": "aa:600,bb:400"}
PATHS = ("/safe/", "/unsafe/")
STREAMS = ("/stream/", "/resume/")
RESET = struct.pack("ii", 1, 0)


def closes(writer: asyncio.StreamWriter) -> None:
    """The client closes its connection."""
    writer.close()


def resets(writer: asyncio.StreamWriter) -> None:
    """The client's process ends, which resets its connection."""
    writer.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
    writer.transport.abort()


class Case(unittest.TestCase):
    WAYS: Sequence[Callable[[asyncio.StreamWriter], None]] = (closes, resets)

    def leave(
        self,
        target: str,
        after_s: float,
        planner: Callable[[], Planner],
        make: Callable[[], list[Timed]],
        arrivals: int,
        working: int,
    ) -> None:
        """Send a request and disconnect `after_s` seconds later.

        `arrivals` and `working` are the requests that must have arrived, and be in progress, by then.
        """
        for way in self.WAYS:
            instances = make()
            with self.subTest(target=target, way=way.__name__):
                play(self._leave(target, after_s, planner(), instances, arrivals, working, way))

    async def _leave(
        self,
        target: str,
        after_s: float,
        planner: Planner,
        instances: list[Timed],
        arrivals: int,
        working: int,
        way: Callable[[asyncio.StreamWriter], None],
    ) -> None:
        async with Bench(DEFAULT, planner) as bench:
            for one in instances:
                await add(bench, one, ENGINE if one.stage else PLAIN)
            _, writer = await bench.client()
            writer.write(request_bytes(target, headers=LONG))
            await asyncio.sleep(after_s)
            self.assertEqual(sum(len(one.arrivals) for one in instances), arrivals)
            self.assertEqual(sum(one.working for one in instances), working)
            way(writer)
            left = now()
            await asyncio.sleep(CANCEL_WITHIN_S)
            self.assertEqual([one.working for one in instances], [0] * len(instances))
            await asyncio.sleep(QUIET_PERIOD_S)
            late = [
                one for instance in instances for one in instance.arrivals if one.at > left + CANCEL_WITHIN_S
            ]
            self.assertEqual(late, [])
            self.assertEqual([one.handles for one in instances], [set()] * len(instances))
            self.assertEqual(bench.server.connections, set())


class Leaving(Case):
    def test_while_held_for_a_cycle(self) -> None:
        for target in PATHS:
            self.leave(target, 0.3, lambda: DelayedStart(1.0), lambda: [Timed("i-1")], 0, 0)

    def test_while_an_instance_works(self) -> None:
        for target in PATHS:
            self.leave(target, 0.3, ByName, lambda: [Timed("i-1", service_time_s=60.0), Timed("i-2")], 1, 1)

    def test_before_a_further_send(self) -> None:
        """The first instance rejects the request only after the client has left."""

        def make() -> list[Timed]:
            first = Timed("i-1", service_time_s=1.8)
            first.script.append(Fault.REJECT)
            return [first, Timed("i-2")]

        for target in PATHS:
            self.leave(target, 0.9, ByName, make, 1, 1)

    def test_during_prefill(self) -> None:
        for target in STREAMS:
            self.leave(
                target,
                0.3,
                lambda: ByName("p-1"),
                lambda: [Timed("p-1", "prefill", service_time_s=1.0), Timed("d-1", "decode")],
                1,
                1,
            )

    def test_while_the_kv_cache_is_transferred(self) -> None:
        for target in STREAMS:
            self.leave(
                target,
                0.5,
                lambda: ByName("p-1"),
                lambda: [
                    Timed("p-1", "prefill", service_time_s=0.2),
                    Timed("d-1", "decode", service_time_s=5.0),
                ],
                2,
                1,
            )

    def test_inside_a_stream(self) -> None:
        for target in STREAMS:
            self.leave(
                target, 1.0, ByName, lambda: [EndlessAnswers("d-1", "decode"), Timed("d-2", "decode")], 1, 1
            )

    def test_before_a_stalled_stream_is_resumed_elsewhere(self) -> None:
        def make() -> list[Timed]:
            first = Timed("d-1", "decode")
            first.script.append(Fault.STALLED)
            return [first, Timed("d-2", "decode")]

        self.leave("/resume/", 0.8, ByName, make, 1, 1)

    def test_while_a_connection_comes_up(self) -> None:
        async def scenario() -> None:
            unresponsive = UnresponsiveAddress()
            try:
                async with Bench(DEFAULT, ByName()) as bench:
                    add_unresponsive(bench, "i-1", unresponsive)
                    second = Timed("i-2")
                    await add(bench, second)
                    _, writer = await bench.client()
                    writer.write(request_bytes("/unsafe/", headers=LONG))
                    await asyncio.sleep(0.3)
                    writer.close()
                    await asyncio.sleep(QUIET_PERIOD_S)
                    self.assertEqual(second.arrivals, [])
            finally:
                unresponsive.close()

        play(scenario())

    def test_pipelined_requests_are_never_sent(self) -> None:
        async def scenario() -> None:
            async with Bench(DEFAULT, ByName()) as bench:
                one = Timed("i-1", service_time_s=5.0)
                await add(bench, one)
                _, writer = await bench.client()
                writer.write(request_bytes("/safe/", headers=LONG) * 3)
                await asyncio.sleep(0.3)
                writer.close()
                await asyncio.sleep(QUIET_PERIOD_S)
                self.assertEqual((len(one.arrivals), one.working), (1, 0))

        play(scenario())

    def test_client_that_stays_is_served(self) -> None:
        """Shows that the check can fail: while its client stays connected, an instance keeps working."""

        async def scenario() -> None:
            async with Bench(DEFAULT, ByName()) as bench:
                one = EndlessAnswers("d-1", "decode")
                await add(bench, one, ENGINE)
                _, writer = await bench.client()
                writer.write(request_bytes("/stream/", headers=LONG))
                await asyncio.sleep(1.0 + CANCEL_WITHIN_S)
                self.assertEqual(one.working, 1)

        play(scenario())


if __name__ == "__main__":
    unittest.main()
