"""The simulated clock, machines, network, disks and streams."""

from __future__ import annotations

import unittest
from functools import partial

from mallowbeam.simulation.clock import Simulator
from mallowbeam.simulation.disk import Disk
from mallowbeam.simulation.machine import Machine, State


class ClockTest(unittest.TestCase):
    def setUp(self):
        self.simulator = Simulator()
        self.seen: list[object] = []

    def record(self, label: object):
        return lambda: self.seen.append((round(self.simulator.now, 3), label))

    def test_events_run_in_the_order_of_their_times_and_of_scheduling(self):
        self.simulator.at(2.0, self.record("c"))
        self.simulator.at(1.0, self.record("a"))
        self.simulator.at(1.0, self.record("b"))
        self.simulator.run_until(1.5)
        self.assertEqual((self.seen, self.simulator.now), ([(1.0, "a"), (1.0, "b")], 1.5))
        self.simulator.run_until(2.0)
        self.assertEqual(self.seen[-1], (2.0, "c"))

    def test_a_cancelled_event_does_not_run_and_the_past_counts_as_now(self):
        self.simulator.at(1.0, self.record("no")).cancel()
        self.simulator.run_until(3.0)
        self.simulator.at(1.0, self.record("late"))
        self.simulator.run_until(3.0)
        self.assertEqual(self.seen, [(3.0, "late")])

    def test_run_while_stops_at_the_event_that_is_waited_for(self):
        for number in range(1, 5):
            self.simulator.at(number, self.record(number))
        self.assertFalse(self.simulator.run_while(lambda: len(self.seen) < 2, 10.0))
        self.assertEqual(self.simulator.now, 2.0)
        self.assertTrue(self.simulator.run_while(lambda: len(self.seen) < 9, 10.0))
        self.assertEqual(self.simulator.now, 10.0)

    def test_checks_run_after_each_event(self):
        self.simulator.check(lambda: self.assertLess(len(self.seen), 2))
        for number in (1, 2):
            self.simulator.at(number, self.record(number))
        with self.assertRaises(AssertionError):
            self.simulator.run_until(5.0)
        self.assertEqual(self.simulator.now, 2.0)


class MachineTest(unittest.TestCase):
    def setUp(self):
        self.simulator = Simulator()
        self.machine = Machine(self.simulator, "m")
        self.machine.start()
        self.seen: list[object] = []

    def record(self, label: object):
        return lambda: self.seen.append(label)

    def test_steps_of_a_process_that_ended_do_not_run(self):
        self.machine.later(1.0, self.record("before"))
        self.machine.kill()
        self.machine.start()
        self.machine.later(1.0, self.record("after"))
        self.simulator.run_until(2.0)
        self.assertEqual(self.seen, ["after"])

    def test_a_thawed_process_runs_deferred_steps_in_order(self):
        for number in (1, 2, 3):
            self.machine.later(number, self.record(number))
        cancelled = self.machine.later(1.5, self.record("cancelled"))
        self.machine.freeze()
        self.simulator.run_until(2.5)
        self.assertEqual(self.seen, [])
        cancelled.cancel()
        self.machine.thaw()
        self.machine.later(0.0, self.record("new"))
        self.simulator.run_until(2.5)
        self.assertEqual(self.seen, [1, 2, "new"])
        self.simulator.run_until(3.0)
        self.assertEqual(self.seen[-1], 3)

    def test_the_monotonic_clock_has_a_rate_and_never_jumps(self):
        self.simulator.run_until(10.0)
        self.machine.set_clock_rate(2.0)
        self.assertAlmostEqual(self.machine.clock(), 10.0)
        self.machine.later(4.0, self.record("four of its seconds"))
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
        self.results: list[object] = []

    def write(self, number: int) -> None:
        self.disk.write(
            lambda: self.durable.append(number),
            lambda: self.results.append(number),
            lambda error: self.results.append(error.errno),
        )

    def test_writes_become_durable_one_after_another(self):
        for number in range(3):
            self.write(number)
        self.assertEqual(self.results, [])
        self.simulator.run_until(0.012)
        self.assertGreaterEqual(len(self.results), 1)
        self.simulator.run_until(0.1)
        self.assertEqual((self.durable, self.results), ([0, 1, 2], [0, 1, 2]))

    def test_a_stalled_disk_completes_no_write_until_it_is_repaired(self):
        self.write(0)
        self.disk.stall()
        self.write(1)
        self.simulator.run_until(5.0)
        self.assertEqual(self.durable, [])
        self.disk.repair()
        self.simulator.run_until(6.0)
        self.assertEqual(self.results, [0, 1])

    def test_a_full_disk_fails_writes(self):
        self.disk.full = True
        self.write(0)
        self.simulator.run_until(1.0)
        self.assertEqual((self.durable, self.results), ([], [28]))

    def test_a_process_that_ends_leaves_a_prefix_of_its_pending_writes(self):
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
        self.assertEqual(self.results, [])

    def test_pending_writes_of_a_stalled_disk_are_lost(self):
        self.write(0)
        self.disk.stall()
        self.machine.kill()
        self.assertEqual(self.durable, [])


if __name__ == "__main__":
    unittest.main()
