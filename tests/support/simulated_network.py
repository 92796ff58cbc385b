"""Two machines on a simulated network, for tests."""

from __future__ import annotations

import unittest

from mallowbeam.simulation.clock import Simulator
from mallowbeam.simulation.machine import Machine
from mallowbeam.simulation.network import Network, Path

FIXED_DELAY_PATH = Path(0.01, 0.01)


class NetworkTestCase(unittest.TestCase):
    def setUp(self):
        self.simulator = Simulator(5)
        self.network = Network(self.simulator, FIXED_DELAY_PATH)
        self.a = self.network.add(Machine(self.simulator, "a"))
        self.b = self.network.add(Machine(self.simulator, "b"))
        for machine in (self.a, self.b):
            machine.start()
        self.seen: list[object] = []

    def run_for(self, seconds: float) -> None:
        self.simulator.run_until(self.simulator.now + seconds)
