"""Measures in simulated time how fast the fleet recovers after its machines lost power.

From the command line::

    python -m mallowbeam.simulation.recovery [SEEDS]

prints the median and the longest time of each milestone in seconds after the machines are powered on. All
processes start at once; the start-up time of a real process and its store is not simulated.
"""

from __future__ import annotations

import sys
from collections.abc import Callable, Mapping
from enum import Enum
from statistics import median

from mallowbeam.router.consensus.node import Role
from mallowbeam.simulation.fleet import FleetPlayer
from mallowbeam.simulation.fleet_processes import SimulatedGateway
from mallowbeam.simulation.walk import discard_logs

POWER_ON_S = 14.0  # time at which the machines are powered on again
DEADLINE_S = 30.0  # time at which the run ends, even if milestones are missing
CURRENT_WITHIN_S = 1.0  # maximum age of a follower's state at which it feeds gateways
DEFAULT_SEEDS = 20
SCENARIO = """seed {seed}
members m1 m2 m3 m4 m5
gateways g1 g2 g3 g4 g5 g6
instances a b c
at 2 put 1 on 0
by 9 expect gateways ready
at 10 put 2 on 1
by 11 expect taken 2
at 12 power-off {lost}
end 13.9
"""


class Milestone(Enum):
    """Milestones of the recovery, in the order in which they are expected."""

    FIRST_MEMBER_STARTED = "first member started"
    MAJORITY_STARTED = "majority of members started"
    LEADER_ELECTED = "leader elected"
    OWN_TERM_COMMITTED = "leader committed in its own term"
    MEMBERS_CURRENT = "all members current"
    FIRST_GATEWAY_FED = "first gateway has the configuration"
    FIRST_GATEWAY_READY = "first gateway ready"
    GATEWAYS_READY = "all gateways ready"
    INSTANCES_KNOWN = "all instances ready at all gateways"


class RecoveryRun:
    """One simulated power loss and the time of each milestone."""

    def __init__(self, seed: int, lost: str) -> None:
        """Create the run; `lost` names the machines that lose power, in the words of a scenario."""
        self.player = FleetPlayer(SCENARIO.format(seed=seed, lost=lost))
        self.reached: dict[Milestone, float] = {}
        self._conditions: Mapping[Milestone, Callable[[], bool]] = {
            Milestone.FIRST_MEMBER_STARTED: lambda: self._count_started() >= 1,
            Milestone.MAJORITY_STARTED: lambda: 2 * self._count_started() > len(self.player.members),
            Milestone.LEADER_ELECTED: self._leader_elected,
            Milestone.OWN_TERM_COMMITTED: lambda: self._count_current(lambda role: role is Role.LEADER) >= 1,
            Milestone.MEMBERS_CURRENT: lambda: self._count_current(lambda _: True)
            == len(self.player.members),
            Milestone.FIRST_GATEWAY_FED: lambda: any(
                gateway.revision for gateway in self._running_gateways()
            ),
            Milestone.FIRST_GATEWAY_READY: lambda: any(gateway.ready for gateway in self._running_gateways()),
            Milestone.GATEWAYS_READY: lambda: all(gateway.ready for gateway in self.player.gateways.values()),
            Milestone.INSTANCES_KNOWN: self._instances_known,
        }

    def play(self) -> dict[Milestone, float]:
        """Run the scenario; returns the seconds from power-on to each milestone. Raises ViolationError."""
        player = self.player
        player.play()
        player.simulator.at(POWER_ON_S, lambda: player.do_start("members", "gateways", "instances"))
        player.simulator.run_until(POWER_ON_S)
        player.simulator.check(self._record_milestones)
        player.simulator.run_while(lambda: len(self.reached) < len(Milestone), DEADLINE_S)
        return self.reached

    def _record_milestones(self) -> None:
        for milestone, is_reached in self._conditions.items():
            if milestone not in self.reached and is_reached():
                self.reached[milestone] = self.player.simulator.now - POWER_ON_S

    def _count_started(self) -> int:
        return sum(member.live and member.program is not None for member in self.player.members.values())

    def _leader_elected(self) -> bool:
        return self.player.holds(("leader",))

    def _count_current(self, accepts_role: Callable[[Role], bool]) -> int:
        """Number of members with an accepted role whose state is known to be current."""
        nodes = [
            (member.program.parts.driver.node, member.machine.clock())
            for member in self.player.members.values()
            if member.live and member.program is not None
        ]
        return sum(accepts_role(node.role) and node.freshness(now) <= CURRENT_WITHIN_S for node, now in nodes)

    def _running_gateways(self) -> list[SimulatedGateway]:
        return [gateway for gateway in self.player.gateways.values() if gateway.machine.running]

    def _instances_known(self) -> bool:
        return all(self.player.holds(("gateways", name, "ready")) for name in self.player.instances)


def measure(seeds: range, lost: str) -> dict[Milestone, list[float]]:
    """Run once per seed; returns the times of each milestone in seconds."""
    times: dict[Milestone, list[float]] = {milestone: [] for milestone in Milestone}
    for seed in seeds:
        for milestone, at in RecoveryRun(seed, lost).play().items():
            times[milestone].append(at)
    return times


def main() -> int:
    """Print a table for each set of machines that lose power."""
    discard_logs()
    seeds = range(1, 1 + (int(sys.argv[1]) if len(sys.argv) > 1 else DEFAULT_SEEDS))
    for lost in ("members", "members gateways instances"):
        print(f"power lost on: {lost}; seconds, {len(seeds)} seeds")
        for milestone, times in measure(seeds, lost).items():
            print(f"  {milestone.value:40} median {median(times):6.2f}  longest {max(times):6.2f}")
    return 0


if __name__ == "__main__":
    sys.exit(main())
