"""The response gate in a real member that is frozen during a read, and broken variants that are detected."""

from __future__ import annotations

import asyncio
import json
import unittest
from unittest import mock

from project_paths import SCENARIOS as SCENARIO_FOLDER

from mallowbeam.router.control_plane import response_gate
from mallowbeam.router.control_plane.command_forwarder import CommandForwarder
from mallowbeam.router.control_plane.instance_service import InstanceService
from mallowbeam.router.control_plane.response_gate import (
    ResponseGate,
    ResponseKind,
    StateFresh,
    Unconditional,
)
from mallowbeam.router.feed.publisher import FeedAllowance
from mallowbeam.simulation.fleet import FleetPlayer
from mallowbeam.simulation.fleet_operators import OrderState
from mallowbeam.simulation.fleet_processes import ApiCall
from mallowbeam.simulation.scenario import ViolationError

SCENARIOS = SCENARIO_FOLDER / "system"
FREEZE_STEPS = range(0, 60, 3)  # of the member's process, more than a read needs
STALE_FEED = r"g[23] is given 1 first, 2 was acknowledged"  # a gateway that started during the partition


class FrozenDuringRead(unittest.TestCase):
    """The real member, frozen at each step between a read's arrival and its response."""

    def read(self, steps: int) -> tuple[int, bool]:
        """Freeze the called member `steps` steps after the call's arrival, for 20 s with a change meanwhile.

        Returns the response's status, 0 for none, and whether the response came before the freeze.
        """
        player = FleetPlayer("members m1 m2 m3\ngateways g1\nat 2 put 1 on 0\nat 8 expect taken 1\n")
        player.play()
        simulator, machine = player.simulator, player.network.machines["m1"]
        received: list[tuple[float, int, bytes]] = []
        call = ApiCall("GET", "/mallowbeam/config")
        player.members["m1"].call(call, lambda status, body: received.append((simulator.now, status, body)))
        end = simulator.steps + steps
        simulator.run_while(lambda: simulator.steps < end, 9.0)
        machine.freeze()
        before_freeze = bool(received)
        player.do_put("2", "on", "1", "via", "m2")
        simulator.run_until(28.0)
        self.assertEqual(player.operator.orders[2].state, OrderState.ACCEPTED)
        machine.thaw()
        simulator.run_until(32.0)
        if not received:
            return 0, before_freeze
        if not before_freeze and received[0][1] == 200:
            self.assertEqual(json.loads(received[0][2])["revision"], 2)
        return received[0][1], before_freeze

    def test_a_member_frozen_at_any_step_of_a_read_returns_no_old_configuration(self) -> None:
        results = [self.read(steps) for steps in FREEZE_STEPS]
        self.assertIn((200, True), results)
        self.assertTrue(any(not before_freeze for _, before_freeze in results))

    def test_without_the_gate_an_old_configuration_is_returned(self) -> None:
        with mock.patch.object(ResponseGate, "check", lambda *_: None), self.assertRaises(AssertionError):
            for steps in FREEZE_STEPS:
                self.read(steps)


class BrokenVariants(unittest.TestCase):
    """The scenarios and the fleet's checkers detect members that are broken on purpose."""

    def violation(self, scenario: str) -> str:
        text = (SCENARIOS / scenario).read_text()
        with self.assertRaises(ViolationError) as caught:
            FleetPlayer(text).play()
        return str(caught.exception)

    def without_condition(self, kind: ResponseKind) -> object:
        conditions = {**response_gate.CONDITIONS, kind: Unconditional()}
        return mock.patch.object(response_gate, "CONDITIONS", conditions)

    def test_a_gate_that_lets_everything_pass(self) -> None:
        with mock.patch.object(ResponseGate, "allows", lambda *_: True):
            self.assertRegex(self.violation("gateway_reaches_only_cut_off.txt"), STALE_FEED)

    def test_feeds_without_the_gate(self) -> None:
        with mock.patch.object(ResponseGate, "feed_allowance", lambda _: FeedAllowance()):
            self.assertRegex(self.violation("gateway_reaches_only_cut_off.txt"), STALE_FEED)

    def test_a_configuration_fed_while_isolated(self) -> None:
        with self.without_condition(ResponseKind.FEED_CONFIGURATION):
            self.assertRegex(self.violation("gateway_reaches_only_cut_off.txt"), STALE_FEED)

    def test_reads_without_a_barrier(self) -> None:
        async def confirmed(self: CommandForwarder, since: float) -> None:
            await asyncio.sleep(0)

        reachable = mock.patch.object(ResponseGate, "check_reachable", lambda _: None)
        with mock.patch.object(CommandForwarder, "read_barrier", confirmed), reachable:
            self.assertIn(
                "m2 answered GET /mallowbeam/config with 200 after",
                self.violation("cut_off_leader_asked.txt"),
            )

    def test_heartbeats_acknowledged_for_too_long(self) -> None:
        """As in an earlier version: instances switched members only after the others counted them as gone."""
        conditions = {**response_gate.CONDITIONS, ResponseKind.HEARTBEAT_ACKNOWLEDGED: StateFresh(2.0)}
        with mock.patch.object(response_gate, "CONDITIONS", conditions):
            self.assertIn("always gateways", self.violation("heartbeats_at_cut_off_member.txt"))

    def test_heartbeats_acknowledged_while_isolated(self) -> None:
        with self.without_condition(ResponseKind.HEARTBEAT_ACKNOWLEDGED):
            self.assertIn("always gateways", self.violation("heartbeats_at_cut_off_member.txt"))

    def test_draining_acknowledged_without_the_log(self) -> None:
        async def retire(*_: object) -> None:
            await asyncio.sleep(0)

        with mock.patch.object(InstanceService, "_retire", retire):
            self.assertIn(
                "acknowledged that a leaves, which no member has applied",
                self.violation("drain_at_cut_off_member.txt"),
            )


if __name__ == "__main__":
    unittest.main()
