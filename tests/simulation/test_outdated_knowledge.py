"""What a process learned before an outage is not believed for good: variants that believe it are caught."""

from __future__ import annotations

import unittest
from collections.abc import Callable
from unittest import mock

from project_paths import SCENARIOS

from mallowbeam.router.control_plane.cluster_join import ClusterJoin
from mallowbeam.router.feed.candidates import Candidates
from mallowbeam.simulation.fleet import FleetPlayer
from mallowbeam.simulation.scenario import ViolationError


def _ignore(*_: object) -> None:
    """Replaces a method whose effect is left out."""


class OutdatedKnowledge(unittest.TestCase):
    """The scenarios pass with the real program; `test_system_scenarios.py` plays them."""

    def test_a_gateway_that_knows_only_the_seeds_of_its_start_is_caught(self) -> None:
        name = "gateways_away_while_members_are_replaced"
        self.assert_caught(name, "gateways revision 2", Candidates, "replace_seeds", _ignore)

    def test_a_member_that_knows_only_the_seeds_of_its_start_is_caught(self) -> None:
        name = "member_away_while_others_are_replaced"
        self.assert_caught(name, "m1 revision 2", ClusterJoin, "set_seeds", _ignore)

    def test_a_gateway_that_takes_the_membership_of_any_member_is_caught(self) -> None:
        name, replace = "gateway_told_old_members_by_cut_off_seed", Candidates.replace_members
        self.assert_caught(name, "g1 revision 2", Candidates, "add_members", replace)

    def assert_caught(
        self, scenario: str, message: str, owner: type, method: str, broken: Callable[..., None]
    ) -> None:
        """Play a scenario with a broken method: it must fail at this condition."""
        player = FleetPlayer((SCENARIOS / "system" / f"{scenario}.txt").read_text())
        with mock.patch.object(owner, method, broken), self.assertRaises(ViolationError) as caught:
            player.play()
        self.assertIn(message, str(caught.exception))


if __name__ == "__main__":
    unittest.main()
