"""The scenario files of the whole fleet, on simulated machines."""

from __future__ import annotations

import unittest

from project_paths import SCENARIOS as SCENARIO_FOLDER

from mallowbeam.simulation.fleet import FleetPlayer
from mallowbeam.simulation.scenario import scenario_tests

FOLDER = SCENARIO_FOLDER / "system"

SystemScenarios = scenario_tests(FOLDER, FleetPlayer)


class Determinism(unittest.TestCase):
    def test_the_same_scenario_gives_the_same_run(self):
        text = (FOLDER / "leader_killed.txt").read_text()
        runs = []
        for _ in range(2):
            player = FleetPlayer(text)
            player.play()
            runs.append((player.simulator.steps, player.state()))
        self.assertEqual(*runs)


# A gateway reconnects after an isolation while one member is partitioned from the others.
RECONNECT_BESIDE_PARTITIONED = """seed {seed}
members m1 m2 m3
gateways g1
instances a
at 2 put 1 on 0
by 8 expect gateways ready
at 8 isolate g1
at 12.5 cut m1 m2
at 12.5 cut m1 m3
at 13 put 2 on 1 via m2
at 15 heal g1
by 18 expect g1 revision 2
end 19
"""


# Gateways reconnect after an isolation while four of the nine members that they know are off.
RECONNECT_WITH_MEMBERS_OFF = """seed {seed}
members m1 m2 m3 m4 m5 m6 m7 m8 m9
gateways g1 g2 g3 g4 g5 g6
instances a
at 2 put 1 on 0
by 9 expect gateways ready
at 10 isolate gateways
at 11 power-off m1 m2 m3 m4
at 14 put 2 on 1 via m6
by 15 expect taken 2
at 16 heal
by 18 expect gateways revision 2
end 18
"""


# For a minute a gateway reaches only a cut-off member; then it reaches the others, and that one does not.
LONG_WITH_PARTITIONED = """seed {seed}
members m1 m2 m3 m4 m5
gateways g1
instances a
at 2 put 1 on 0
by 8 expect gateways ready
at 8 cut m1 members
at 9 cut g1 m2
at 9 cut g1 m3
at 9 cut g1 m4
at 9 cut g1 m5
at 60 put 2 on 1 via m2
by 63 expect taken 2
at 70 heal g1 m2
at 70 heal g1 m3
at 70 heal g1 m4
at 70 heal g1 m5
by 73 expect g1 revision 2
end 74
"""


class Returns(unittest.TestCase):
    # Guards against pauses between attempts that have grown while nothing else was reachable.
    def test_a_gateway_that_followed_a_partitioned_member_for_long_finds_the_others_in_time(self):
        for seed in range(1, 13):
            with self.subTest(seed=seed):
                FleetPlayer(LONG_WITH_PARTITIONED.format(seed=seed)).play()

    def test_gateways_that_return_find_a_running_member_in_time_though_most_that_they_try_are_off(self):
        for seed in range(1, 16):
            with self.subTest(seed=seed):
                FleetPlayer(RECONNECT_WITH_MEMBERS_OFF.format(seed=seed)).play()

    def test_a_gateway_that_returns_does_not_stay_with_a_partitioned_member(self):
        for seed in range(1, 21):
            with self.subTest(seed=seed):
                FleetPlayer(RECONNECT_BESIDE_PARTITIONED.format(seed=seed)).play()


if __name__ == "__main__":
    unittest.main()
