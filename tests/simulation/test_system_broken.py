"""The fleet's checkers detect deliberately broken variants."""

from __future__ import annotations

import unittest
from unittest import mock

from mallowbeam.router.configuration.model import Configuration
from mallowbeam.router.feed.instance_replica import InstanceReplica
from mallowbeam.router.feed.subscriber import FeedSubscriber
from mallowbeam.simulation.clock import Step
from mallowbeam.simulation.disk import Disk
from mallowbeam.simulation.fleet import FleetPlayer
from mallowbeam.simulation.scenario import ViolationError
from mallowbeam.simulation.walk import Plan, Walk

HEAD = "members m1 m2 m3\ngateways g1\ninstances a b\nat 2 put 1 on 0\nby 8 expect gateways ready\n"


class BrokenVariants(unittest.TestCase):
    def violation(self, text: str) -> str:
        FleetPlayer(HEAD + text)  # the scenario itself is valid
        with self.assertRaises(ViolationError) as caught:
            FleetPlayer(HEAD + text).play()
        return str(caught.exception)

    def test_acknowledgements_before_writes_are_durable(self):
        def acknowledge_early(self: Disk, change: Step, done: Step, failed: object = None) -> None:
            self._machine.after_true(0.0, done)
            self._machine.after_true(1.0, change)

        text = (
            "at 8 put 2 on 1\nby 9 expect taken 2\nat 9 power-off members\nat 10 start members\n"
            "at 14 get\nend 16"
        )
        FleetPlayer(HEAD + text).play()
        with mock.patch.object(Disk, "write", acknowledge_early):
            self.assertIn("revision 2 was acknowledged, ", self.violation(text))

    def test_a_gateway_that_accepts_an_older_configuration(self):
        receive = FeedSubscriber.received

        def forget_revision(self: FeedSubscriber[Configuration], frame: object, now: float) -> object:
            if now > 10.0:
                self.configuration_revision = 0
            return receive(self, frame, now)

        with mock.patch.object(FeedSubscriber, "received", forget_revision):
            self.assertIn("the configuration went back", self.violation("end 12"))

    def test_a_gateway_that_overlooks_a_drain(self):
        apply = InstanceReplica.apply

        def ignore_drains(self: InstanceReplica, update: object, replaces: bool) -> object:
            changes = apply(self, update, replaces)
            for instance in self.instances.values():
                instance.state = 0
            return changes

        text = "at 8 drain a\nby 9 expect acknowledged a\nnever g1 a ready from 9.5 to 12\nend 12"
        FleetPlayer(HEAD + text).play()
        with mock.patch.object(InstanceReplica, "apply", ignore_drains):
            self.assertIn("never g1 a ready", self.violation(text))

    def test_a_task_that_fails_unhandled(self):
        player = FleetPlayer(HEAD + "end 12")
        player.simulator.at(9.0, lambda: player.members["m1"].loop.call_soon(lambda: 1 / 0))
        with self.assertRaisesRegex(ViolationError, "m1: .*ZeroDivisionError"):
            player.play()

    def test_two_leaders_in_one_term(self):
        player = FleetPlayer(HEAD + "end 12")

        def claim() -> None:
            for member in player.members.values():
                member.program.parts.driver.node._state.role = player.members[
                    player.names("leader")[0]
                ].program.parts.driver.node.role

        player.simulator.at(9.0, claim)
        with self.assertRaisesRegex(ViolationError, "lead term"):
            player.play()

    def test_a_fleet_that_does_not_recover(self):
        plan = Plan(
            members=3,
            bounded=False,
            fault_interval_s=0.4,
            change_interval_s=1.0,
            large=False,
            compact_entries=2000,
            trailing_entries=64,
        )
        with (
            mock.patch.object(Walk, "_end_all_faults"),
            self.assertRaisesRegex(ViolationError, "not recovered"),
        ):
            for seed in range(1, 6):
                Walk(seed, plan=plan).play()


if __name__ == "__main__":
    unittest.main()
