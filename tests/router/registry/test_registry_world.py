"""The simulated world of the registry without faults: members, gateways and instances."""

from __future__ import annotations

import unittest

from registry_world import World

from mallowbeam.router.rpc.messages_pb2 import FeedHello


class WorldTest(unittest.TestCase):
    def test_all_processes_converge_without_faults(self) -> None:
        world = World(["m1", "m2", "m3"], ["g1", "g2"])
        for id in ("a", "b", "c"):
            world.start_server(id)
        world.run_to(1.0)
        world.put_configuration(4, "m2")
        world.run_to(6.0)
        for gateway in world.gateways.values():
            self.assertEqual([gateway.state(id) for id in "abc"], ["ready"] * 3)
            self.assertEqual(gateway.subscriber.configuration, 4)
            self.assertTrue(gateway.subscriber.ready(world.now))
            self.assertEqual(gateway.subscriber.gateways, 2)
            self.assertEqual(gateway.connects, 1)

    def test_hello_carries_the_revision_of_the_gateway(self) -> None:
        world = World(["m1"], ["g1"])
        world.put_configuration(9, "m1")
        world.run_to(0.2)
        self.assertEqual(world.gateways["g1"].subscriber.hello().configuration_revision, 0)
        world.run_to(2.0)
        hello = FeedHello(zone="z", configuration_revision=9)
        self.assertEqual(world.gateways["g1"].subscriber.hello(), hello)


if __name__ == "__main__":
    unittest.main()
