"""The simulated clock, machines, network, disks and streams."""

from __future__ import annotations

import asyncio
import time
import unittest
from functools import partial

from mallowbeam.simulation.clock import Simulator
from mallowbeam.simulation.dialing import Dial, Streams
from mallowbeam.simulation.disk import Disk
from mallowbeam.simulation.loop import SimulatedLoop
from mallowbeam.simulation.machine import Machine, State
from mallowbeam.simulation.network import Network, Path
from mallowbeam.simulation.stream import WINDOW_BYTES, Endpoint, StreamHandlers

FIXED = Path(0.01, 0.01)


class ClockTest(unittest.TestCase):
    def setUp(self):
        self.simulator = Simulator()
        self.seen: list[object] = []

    def note(self, what: object):
        return lambda: self.seen.append((round(self.simulator.now, 3), what))

    def test_events_run_in_the_order_of_their_times_and_of_planning(self):
        self.simulator.at(2.0, self.note("c"))
        self.simulator.at(1.0, self.note("a"))
        self.simulator.at(1.0, self.note("b"))
        self.simulator.run_until(1.5)
        self.assertEqual((self.seen, self.simulator.now), ([(1.0, "a"), (1.0, "b")], 1.5))
        self.simulator.run_until(2.0)
        self.assertEqual(self.seen[-1], (2.0, "c"))

    def test_a_cancelled_event_does_not_run_and_the_past_counts_as_now(self):
        self.simulator.at(1.0, self.note("no")).cancel()
        self.simulator.run_until(3.0)
        self.simulator.at(1.0, self.note("late"))
        self.simulator.run_until(3.0)
        self.assertEqual(self.seen, [(3.0, "late")])

    def test_run_while_stops_at_the_event_that_is_waited_for(self):
        for number in range(1, 5):
            self.simulator.at(number, self.note(number))
        self.assertFalse(self.simulator.run_while(lambda: len(self.seen) < 2, 10.0))
        self.assertEqual(self.simulator.now, 2.0)
        self.assertTrue(self.simulator.run_while(lambda: len(self.seen) < 9, 10.0))
        self.assertEqual(self.simulator.now, 10.0)

    def test_checks_run_after_each_event(self):
        self.simulator.check(lambda: self.assertLess(len(self.seen), 2))
        for number in (1, 2):
            self.simulator.at(number, self.note(number))
        with self.assertRaises(AssertionError):
            self.simulator.run_until(5.0)
        self.assertEqual(self.simulator.now, 2.0)


class MachineTest(unittest.TestCase):
    def setUp(self):
        self.simulator = Simulator()
        self.machine = Machine(self.simulator, "m")
        self.machine.start()
        self.seen: list[object] = []

    def note(self, what: object):
        return lambda: self.seen.append(what)

    def test_steps_of_a_process_that_ended_do_not_run(self):
        self.machine.later(1.0, self.note("before"))
        self.machine.kill()
        self.machine.start()
        self.machine.later(1.0, self.note("after"))
        self.simulator.run_until(2.0)
        self.assertEqual(self.seen, ["after"])

    def test_a_frozen_process_goes_on_with_what_became_due_in_its_order(self):
        for number in (1, 2, 3):
            self.machine.later(number, self.note(number))
        cancelled = self.machine.later(1.5, self.note("cancelled"))
        self.machine.freeze()
        self.simulator.run_until(2.5)
        self.assertEqual(self.seen, [])
        cancelled.cancel()
        self.machine.thaw()
        self.machine.later(0.0, self.note("new"))
        self.simulator.run_until(2.5)
        self.assertEqual(self.seen, [1, 2, "new"])
        self.simulator.run_until(3.0)
        self.assertEqual(self.seen[-1], 3)

    def test_the_steady_clock_has_a_rate_and_never_jumps(self):
        self.simulator.run_until(10.0)
        self.machine.set_clock_rate(2.0)
        self.assertAlmostEqual(self.machine.clock(), 10.0)
        self.machine.later(4.0, self.note("four of its seconds"))
        self.simulator.run_until(11.9)
        self.assertEqual(self.seen, [])
        self.simulator.run_until(12.0)
        self.assertEqual(len(self.seen), 1)
        self.assertAlmostEqual(self.machine.clock(), 14.0)

    def test_steps_of_a_slow_machine_take_time_and_keep_their_order(self):
        self.machine.step_cost = 0.5
        times: list[tuple[int, float]] = []
        for number in range(4):
            step = partial(lambda number: times.append((number, round(self.simulator.now, 3))), number)
            self.machine.later(0.1, step)
        self.simulator.run_until(5.0)
        self.assertEqual(times, [(0, 0.1), (1, 0.6), (2, 1.1), (3, 1.6)])

    def test_states(self):
        self.machine.freeze()
        self.assertIs(self.machine.state, State.FROZEN)
        self.machine.kill()
        self.assertEqual((self.machine.state, self.machine.powered), (State.OFF, True))
        self.machine.thaw()
        self.assertIs(self.machine.state, State.OFF)
        self.machine.start()
        self.machine.power_off()
        self.assertFalse(self.machine.powered)
        self.machine.start()
        self.assertTrue(self.machine.powered and self.machine.running)


class DiskTest(unittest.TestCase):
    def setUp(self):
        self.simulator = Simulator(3)
        self.machine = Machine(self.simulator, "m")
        self.machine.start()
        self.disk = Disk(self.machine)
        self.durable: list[int] = []
        self.told: list[object] = []

    def write(self, number: int) -> None:
        self.disk.write(lambda: self.durable.append(number), lambda: self.told.append(number),
                        lambda error: self.told.append(error.errno))

    def test_writes_become_durable_one_after_another(self):
        for number in range(3):
            self.write(number)
        self.assertEqual(self.told, [])
        self.simulator.run_until(0.012)
        self.assertGreaterEqual(len(self.told), 1)
        self.simulator.run_until(0.1)
        self.assertEqual((self.durable, self.told), ([0, 1, 2], [0, 1, 2]))

    def test_a_stalled_disk_ends_no_write_until_it_is_mended(self):
        self.write(0)
        self.disk.stall()
        self.write(1)
        self.simulator.run_until(5.0)
        self.assertEqual(self.durable, [])
        self.disk.mend()
        self.simulator.run_until(6.0)
        self.assertEqual(self.told, [0, 1])

    def test_a_full_disk_refuses(self):
        self.disk.full = True
        self.write(0)
        self.simulator.run_until(1.0)
        self.assertEqual((self.durable, self.told), ([], [28]))

    def test_a_process_that_ends_leaves_a_beginning_of_what_was_under_way(self):
        seen = set()
        for seed in range(40):
            self.simulator.random.seed(seed)
            self.durable.clear()
            for number in range(3):
                self.write(number)
            self.machine.power_off()
            self.assertEqual(self.durable, list(range(len(self.durable))))
            seen.add(len(self.durable))
            self.machine.start()
        self.assertEqual(seen, {0, 1, 2, 3})
        self.simulator.run_until(9.0)
        self.assertEqual(self.told, [])

    def test_of_a_stalled_disk_nothing_is_left(self):
        self.write(0)
        self.disk.stall()
        self.machine.kill()
        self.assertEqual(self.durable, [])


class WithNetwork(unittest.TestCase):
    def setUp(self):
        self.simulator = Simulator(5)
        self.network = Network(self.simulator, FIXED)
        self.a = self.network.add(Machine(self.simulator, "a"))
        self.b = self.network.add(Machine(self.simulator, "b"))
        for machine in (self.a, self.b):
            machine.start()
        self.seen: list[object] = []

    def run_for(self, seconds: float) -> None:
        self.simulator.run_until(self.simulator.now + seconds)


class DatagramTest(WithNetwork):
    def send(self, what: object, sender: str = "a", recipient: str = "b") -> None:
        self.network.send(self.network.machines[sender], recipient, lambda: self.seen.append(what))

    def test_a_message_takes_its_delay(self):
        self.send(1)
        self.simulator.run_until(0.009)
        self.assertEqual(self.seen, [])
        self.simulator.run_until(0.011)
        self.assertEqual(self.seen, [1])

    def test_a_cut_may_be_one_way(self):
        self.network.cut("a", "b", both=False)
        self.send("there")
        self.send("back", "b", "a")
        self.run_for(1.0)
        self.assertEqual(self.seen, ["back"])
        self.network.heal("a")
        self.send("healed")
        self.run_for(1.0)
        self.assertEqual(self.seen, ["back", "healed"])

    def test_a_cut_takes_what_is_under_way(self):
        self.send(1)
        self.network.isolate("b")
        self.run_for(1.0)
        self.network.heal()
        self.run_for(1.0)
        self.assertEqual(self.seen, [])

    def test_heal_of_two_leaves_other_cuts(self):
        self.network.add(Machine(self.simulator, "c"))
        self.network.isolate("a")
        self.network.heal("a", "b")
        self.assertTrue(self.network.passes("a", "b"))
        self.assertFalse(self.network.passes("a", "c"))
        self.assertFalse(self.network.passes("c", "a"))

    def test_loss_duplicates_and_order(self):
        self.network.set_path("a", "b", Path(0.001, 0.1, loss=0.5, duplicates=0.5))
        for number in range(200):
            self.send(number)
        self.run_for(1.0)
        self.assertEqual(self.seen, sorted(self.seen))
        self.assertTrue(0 < len(set(self.seen)) < 200)
        self.assertGreater(len(self.seen), len(set(self.seen)))
        self.seen.clear()
        self.network.set_path("a", "b", Path(0.001, 0.1, reordered=True))
        for number in range(50):
            self.send(number)
        self.run_for(1.0)
        self.assertNotEqual(self.seen, sorted(self.seen))
        self.assertEqual(sorted(self.seen), list(range(50)))

    def test_the_same_seed_gives_the_same_run(self):
        def play(seed: int) -> list[float]:
            simulator = Simulator(seed)
            network = Network(simulator, Path(loss=0.2))
            one = network.add(Machine(simulator, "a"))
            network.add(Machine(simulator, "b")).start()
            arrivals: list[float] = []
            for _ in range(50):
                network.send(one, "b", lambda: arrivals.append(simulator.now))
            simulator.run_until(1.0)
            return arrivals
        self.assertEqual(play(4), play(4))
        self.assertNotEqual(play(4), play(5))


class StreamTest(WithNetwork):
    def setUp(self):
        super().setUp()
        self.streams = Streams(self.network)
        self.near: Endpoint | None = None
        self.far: Endpoint | None = None
        self.streams.listen(self.b, 80, self.accepted)

    def handlers(self, who: str) -> StreamHandlers:
        return StreamHandlers(received=lambda data: self.seen.append((who, data)),
                              ended=lambda: self.seen.append((who, "end")),
                              lost=lambda error: self.seen.append((who, type(error).__name__)))

    def accepted(self, endpoint: Endpoint) -> None:
        self.far = endpoint
        endpoint.attach(self.handlers("b"))

    def opened(self, endpoint: Endpoint) -> None:
        self.near = endpoint
        endpoint.attach(self.handlers("a"))

    def connect(self, ip: str = "b", port: int = 80) -> Dial:
        dial = Dial(self.opened, lambda error: self.seen.append(type(error).__name__))
        self.streams.connect(self.a, ip, port, dial)
        return dial

    def open(self) -> None:
        self.connect()
        self.run_for(0.1)
        self.assertIsNotNone(self.near)
        self.assertIsNotNone(self.far)

    def test_bytes_arrive_in_order_both_ways(self):
        self.open()
        for number in range(3):
            self.near.write(b"%d" % number)
        self.far.write(b"x")
        self.run_for(0.1)
        self.assertEqual([data for who, data in self.seen if who == "b"], [b"0", b"1", b"2"])
        self.assertIn(("a", b"x"), self.seen)
        self.assertEqual(self.near.unsent, 0)

    def test_a_dead_port_refuses(self):
        self.connect(port=81)
        self.run_for(0.1)
        self.assertEqual(self.seen, ["ConnectionRefusedError"])

    def test_a_machine_without_power_says_nothing_until_it_is_up(self):
        self.b.power_off()
        self.connect()
        self.run_for(2.0)
        self.assertEqual(self.seen, [])
        self.b.start()
        self.run_for(5.0)
        self.assertEqual(self.seen, ["ConnectionRefusedError"])

    def test_an_opening_packet_is_sent_again_after_a_cut(self):
        self.network.cut("a", "b")
        self.connect()
        self.run_for(0.5)
        self.network.heal()
        self.run_for(1.0)
        self.assertIsNotNone(self.near)

    def test_a_dial_that_was_given_up_stays_so(self):
        self.connect().given_up = True
        self.run_for(5.0)
        self.assertEqual((self.near, self.seen), (None, []))

    def test_what_a_cut_holds_up_arrives_after_it(self):
        self.open()
        self.network.cut("a", "b", both=False)
        self.near.write(b"late")
        self.run_for(0.5)
        self.assertEqual((self.seen, self.near.unsent), ([], 4))
        self.network.heal()
        self.run_for(2.0)
        self.assertEqual((self.seen, self.near.unsent), ([("b", b"late")], 0))

    def test_lost_packets_are_sent_again_in_order(self):
        self.network.set_path("a", "b", Path(0.001, 0.01, loss=0.4))
        self.open()
        for number in range(60):
            self.near.write(b"%d," % number)
        self.run_for(60.0)
        data = b"".join(data for who, data in self.seen if who == "b")
        self.assertEqual(data, b"".join(b"%d," % number for number in range(60)))

    def test_a_sender_gives_up_after_its_user_timeout_the_other_way_being_cut(self):
        self.open()
        self.near.options.user_timeout = 1.5
        self.network.cut("b", "a", both=False)
        self.near.write(b"x")
        self.run_for(1.4)
        self.assertEqual(self.seen, [("b", b"x")])
        self.run_for(0.2)
        self.assertEqual(self.seen[-1], ("a", "TimeoutError"))

    def test_a_silent_peer_is_found_by_probes(self):
        self.open()
        self.near.options.keepalive_idle = 1.0
        self.near.probe()
        self.run_for(10.0)
        self.assertEqual(self.seen, [])
        self.network.isolate("b")
        self.run_for(4.2)
        self.assertEqual(self.seen, [("a", "TimeoutError")])

    def test_a_peer_that_came_back_resets(self):
        self.open()
        self.b.power_off()
        self.near.write(b"x")
        self.b.start()
        self.run_for(5.0)
        self.assertEqual(self.seen, [("a", "ConnectionResetError")])

    def test_a_killed_process_resets_its_connections(self):
        self.open()
        self.b.kill()
        self.run_for(0.1)
        self.assertEqual(self.seen, [("a", "ConnectionResetError")])
        self.connect()
        self.run_for(0.1)
        self.assertEqual(self.seen[-1], "ConnectionRefusedError")

    def test_an_orderly_end(self):
        self.open()
        self.near.write(b"last")
        self.near.close()
        self.run_for(0.1)
        self.assertEqual(self.seen, [("b", b"last"), ("b", "end"), ("a", "NoneType")])
        self.far.close()
        self.run_for(0.1)
        self.assertEqual(self.seen[3:], [("b", "NoneType")])

    def test_a_frozen_process_fills_its_window_and_goes_on(self):
        self.open()
        self.b.freeze()
        self.near.write(bytes(WINDOW_BYTES))
        self.near.write(bytes(10))
        self.run_for(1.0)
        self.assertEqual((self.seen, self.near.unsent), ([], 10))
        self.b.thaw()
        self.run_for(2.0)
        self.assertEqual(self.near.unsent, 0)
        self.assertEqual(sum(len(data) for _, data in self.seen), WINDOW_BYTES + 10)

    def test_what_comes_before_anybody_listens_waits(self):
        self.streams.listen(self.b, 90, lambda endpoint: endpoint.write(b"hello"))
        endpoints: list[Endpoint] = []
        self.streams.connect(self.a, "b", 90, Dial(endpoints.append, lambda _: None))
        self.run_for(1.0)
        endpoints[0].attach(self.handlers("a"))
        self.run_for(0.1)
        self.assertEqual(self.seen, [("a", b"hello")])

    def test_an_end_before_anybody_listens_is_told(self):
        self.streams.listen(self.b, 90, lambda endpoint: endpoint.abort())
        endpoints: list[Endpoint] = []
        self.streams.connect(self.a, "b", 90, Dial(endpoints.append, lambda _: None))
        self.run_for(1.0)
        endpoints[0].attach(self.handlers("a"))
        self.run_for(0.1)
        self.assertEqual(self.seen, [("a", "ConnectionResetError")])


class Echo(asyncio.Protocol):
    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = transport

    def data_received(self, data: bytes) -> None:
        self.transport.write(data.upper())


class Client(asyncio.Protocol):
    def __init__(self) -> None:
        self.data: list[bytes] = []
        self.lost: list[object] = []

    def data_received(self, data: bytes) -> None:
        self.data.append(data)

    def connection_lost(self, error: Exception | None) -> None:
        self.lost.append(type(error).__name__)


class LoopTest(WithNetwork):
    def setUp(self):
        super().setUp()
        self.streams = Streams(self.network)
        self.near, self.far = SimulatedLoop(self.a, self.streams), SimulatedLoop(self.b, self.streams)

    def test_tasks_timers_and_the_clock(self):
        async def work() -> None:
            began = time.monotonic()
            await asyncio.sleep(1.5)
            self.seen.append(round(time.monotonic() - began, 6))
            try:
                async with asyncio.timeout(2.0):
                    await asyncio.get_running_loop().create_future()
            except TimeoutError:
                self.seen.append(round(time.monotonic() - began, 6))
        self.near.create_task(work())
        self.run_for(10.0)
        self.assertEqual(self.seen, [1.5, 3.5])
        self.assertGreater(time.monotonic(), 0.0)
        with self.assertRaises(RuntimeError):
            asyncio.get_running_loop()

    def test_connections_of_protocols(self):
        client = Client()

        async def serve() -> None:
            await asyncio.get_running_loop().create_server(Echo, "b", 80)

        async def ask() -> None:
            transport, _ = await asyncio.get_running_loop().create_connection(lambda: client, "b", 80)
            transport.write(b"hello")
            await asyncio.sleep(1.0)
            transport.close()
        self.far.create_task(serve())
        self.near.create_task(ask())
        self.run_for(3.0)
        self.assertEqual((client.data, client.lost), ([b"HELLO"], ["NoneType"]))
        self.assertEqual((self.near.failures, self.far.failures), ([], []))

    def test_a_refused_connection_raises(self):
        async def ask() -> None:
            try:
                await asyncio.get_running_loop().create_connection(Client, "b", 81)
            except ConnectionRefusedError as error:
                self.seen.append(str(error))
        self.near.create_task(ask())
        self.run_for(1.0)
        self.assertEqual(self.seen, ["b:81: connection refused"])

    def test_a_connection_that_hangs_can_be_given_up(self):
        async def ask() -> None:
            try:
                async with asyncio.timeout(0.5):
                    await asyncio.get_running_loop().create_connection(Client, "b", 81)
            except TimeoutError:
                self.seen.append("given up")
        self.network.isolate("b")
        self.near.create_task(ask())
        self.run_for(1.0)
        self.network.heal()
        self.run_for(9.0)
        self.assertEqual(self.seen, ["given up"])

    def test_an_address_that_is_taken(self):
        async def serve() -> None:
            loop = asyncio.get_running_loop()
            server = await loop.create_server(Echo, "b", 80)
            for close in (False, True):
                if close:
                    server.close()
                try:
                    await loop.create_server(Echo, "b", 80)
                except OSError:
                    self.seen.append("taken")
        self.far.create_task(serve())
        self.run_for(1.0)
        self.assertEqual(self.seen, ["taken"])

    def test_a_process_that_ended_takes_no_step(self):
        async def work() -> None:
            try:
                await asyncio.sleep(1.0)
                self.seen.append("no")
            finally:
                self.near.call_soon(lambda: self.seen.append("no"))
        self.near.create_task(work())
        self.run_for(0.5)
        self.a.kill()
        self.a.start()
        self.run_for(5.0)
        self.assertEqual((self.seen, self.near.is_closed()), ([], True))

    def test_what_nobody_handles_is_kept(self):
        self.near.call_soon(lambda: 1 / 0)
        self.run_for(0.1)
        self.assertIsInstance(self.near.failures[0]["exception"], ZeroDivisionError)


if __name__ == "__main__":
    unittest.main()
