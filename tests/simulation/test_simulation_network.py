"""The simulated network: datagrams and streams."""

from __future__ import annotations

import unittest

from simulated_network import NetworkTestCase

from mallowbeam.simulation.clock import Simulator
from mallowbeam.simulation.dialing import Dial, Streams
from mallowbeam.simulation.machine import Machine
from mallowbeam.simulation.network import Network, Path
from mallowbeam.simulation.stream import WINDOW_BYTES, Endpoint, StreamHandlers


class DatagramTest(NetworkTestCase):
    def send(self, label: object, sender: str = "a", recipient: str = "b") -> None:
        self.network.send(self.network.machines[sender], recipient, lambda: self.seen.append(label))

    def test_a_message_takes_its_delay(self):
        self.send(1)
        self.simulator.run_until(0.009)
        self.assertEqual(self.seen, [])
        self.simulator.run_until(0.011)
        self.assertEqual(self.seen, [1])

    def test_a_partition_may_be_one_way(self):
        self.network.partition("a", "b", both=False)
        self.send("there")
        self.send("back", "b", "a")
        self.run_for(1.0)
        self.assertEqual(self.seen, ["back"])
        self.network.heal("a")
        self.send("healed")
        self.run_for(1.0)
        self.assertEqual(self.seen, ["back", "healed"])

    def test_a_partition_drops_messages_in_flight(self):
        self.send(1)
        self.network.isolate("b")
        self.run_for(1.0)
        self.network.heal()
        self.run_for(1.0)
        self.assertEqual(self.seen, [])

    def test_heal_of_two_machines_leaves_other_partitions(self):
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


class StreamTest(NetworkTestCase):
    def setUp(self):
        super().setUp()
        self.streams = Streams(self.network)
        self.client: Endpoint | None = None
        self.server: Endpoint | None = None
        self.streams.listen(self.b, 80, self.accepted)

    def handlers(self, endpoint_name: str) -> StreamHandlers:
        return StreamHandlers(
            received=lambda data: self.seen.append((endpoint_name, data)),
            ended=lambda: self.seen.append((endpoint_name, "end")),
            lost=lambda error: self.seen.append((endpoint_name, type(error).__name__)),
        )

    def accepted(self, endpoint: Endpoint) -> None:
        self.server = endpoint
        endpoint.attach(self.handlers("b"))

    def opened(self, endpoint: Endpoint) -> None:
        self.client = endpoint
        endpoint.attach(self.handlers("a"))

    def connect(self, ip: str = "b", port: int = 80) -> Dial:
        dial = Dial(self.opened, lambda error: self.seen.append(type(error).__name__))
        self.streams.connect(self.a, ip, port, dial)
        return dial

    def open(self) -> None:
        self.connect()
        self.run_for(0.1)
        self.assertIsNotNone(self.client)
        self.assertIsNotNone(self.server)

    def test_bytes_arrive_in_order_both_ways(self):
        self.open()
        for number in range(3):
            self.client.write(b"%d" % number)
        self.server.write(b"x")
        self.run_for(0.1)
        self.assertEqual(
            [data for endpoint_name, data in self.seen if endpoint_name == "b"], [b"0", b"1", b"2"]
        )
        self.assertIn(("a", b"x"), self.seen)
        self.assertEqual(self.client.unsent, 0)

    def test_a_dead_port_refuses(self):
        self.connect(port=81)
        self.run_for(0.1)
        self.assertEqual(self.seen, ["ConnectionRefusedError"])

    def test_a_machine_that_is_off_does_not_respond_until_it_is_on(self):
        self.b.power_off()
        self.connect()
        self.run_for(2.0)
        self.assertEqual(self.seen, [])
        self.b.start()
        self.run_for(5.0)
        self.assertEqual(self.seen, ["ConnectionRefusedError"])

    def test_a_connection_request_is_retried_after_a_partition(self):
        self.network.partition("a", "b")
        self.connect()
        self.run_for(0.5)
        self.network.heal()
        self.run_for(1.0)
        self.assertIsNotNone(self.client)

    def test_a_cancelled_dial_stays_cancelled(self):
        self.connect().cancelled = True
        self.run_for(5.0)
        self.assertEqual((self.client, self.seen), (None, []))

    def test_segments_lost_in_a_partition_arrive_after_it(self):
        self.open()
        self.network.partition("a", "b", both=False)
        self.client.write(b"late")
        self.run_for(0.5)
        self.assertEqual((self.seen, self.client.unsent), ([], 4))
        self.network.heal()
        self.run_for(2.0)
        self.assertEqual((self.seen, self.client.unsent), ([("b", b"late")], 0))

    def test_lost_segments_are_retransmitted_in_order(self):
        self.network.set_path("a", "b", Path(0.001, 0.01, loss=0.4))
        self.open()
        for number in range(60):
            self.client.write(b"%d," % number)
        self.run_for(60.0)
        data = b"".join(data for endpoint_name, data in self.seen if endpoint_name == "b")
        self.assertEqual(data, b"".join(b"%d," % number for number in range(60)))

    def test_a_sender_fails_after_its_user_timeout_in_a_one_way_partition(self):
        self.open()
        self.client.options.user_timeout = 1.5
        self.network.partition("b", "a", both=False)
        self.client.write(b"x")
        self.run_for(1.4)
        self.assertEqual(self.seen, [("b", b"x")])
        self.run_for(0.2)
        self.assertEqual(self.seen[-1], ("a", "TimeoutError"))

    def test_an_unresponsive_peer_is_detected_by_keepalive(self):
        self.open()
        self.client.options.keepalive_idle = 1.0
        self.client.start_keepalive()
        self.run_for(10.0)
        self.assertEqual(self.seen, [])
        self.network.isolate("b")
        self.run_for(4.2)
        self.assertEqual(self.seen, [("a", "TimeoutError")])

    def test_a_restarted_peer_resets_old_connections(self):
        self.open()
        self.b.power_off()
        self.client.write(b"x")
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

    def test_a_graceful_close(self):
        self.open()
        self.client.write(b"last")
        self.client.close()
        self.run_for(0.1)
        self.assertEqual(self.seen, [("b", b"last"), ("b", "end"), ("a", "NoneType")])
        self.server.close()
        self.run_for(0.1)
        self.assertEqual(self.seen[3:], [("b", "NoneType")])

    def test_a_frozen_process_fills_its_window_and_resumes(self):
        self.open()
        self.b.freeze()
        self.client.write(bytes(WINDOW_BYTES))
        self.client.write(bytes(10))
        self.run_for(1.0)
        self.assertEqual((self.seen, self.client.unsent), ([], 10))
        self.b.thaw()
        self.run_for(2.0)
        self.assertEqual(self.client.unsent, 0)
        self.assertEqual(sum(len(data) for _, data in self.seen), WINDOW_BYTES + 10)

    def test_bytes_received_before_attach_are_delivered_after_it(self):
        self.streams.listen(self.b, 90, lambda endpoint: endpoint.write(b"hello"))
        endpoints: list[Endpoint] = []
        self.streams.connect(self.a, "b", 90, Dial(endpoints.append, lambda _: None))
        self.run_for(1.0)
        endpoints[0].attach(self.handlers("a"))
        self.run_for(0.1)
        self.assertEqual(self.seen, [("a", b"hello")])

    def test_an_end_before_attach_is_reported(self):
        self.streams.listen(self.b, 90, lambda endpoint: endpoint.abort())
        endpoints: list[Endpoint] = []
        self.streams.connect(self.a, "b", 90, Dial(endpoints.append, lambda _: None))
        self.run_for(1.0)
        endpoints[0].attach(self.handlers("a"))
        self.run_for(0.1)
        self.assertEqual(self.seen, [("a", "ConnectionResetError")])


if __name__ == "__main__":
    unittest.main()
