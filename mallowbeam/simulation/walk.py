"""Random walks of the whole fleet: troubles drawn from a seed, then quiet, then all must be whole again.

A seed draws the number of members and of losses that are tolerated, how fast troubles and changes come, how
often members take snapshots, and whether losses stay within the tolerance. Within it every guarantee is
judged; beyond it those that hold under any disruption. Played by hand::

    python -m mallowbeam.simulation.walk FIRST COUNT [LANES]

prints the seeds that fail, with the command that plays each again.
"""

from __future__ import annotations

import sys
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass
from functools import partial
from io import StringIO
from random import Random

from mallowbeam.router.control_plane import member_builder, raft_driver
from mallowbeam.router.processes.logs import set_up_logging
from mallowbeam.simulation.fleet import FleetPlayer
from mallowbeam.simulation.fleet_checkers import WITHIN_TOLERANCE, InTouchChecker
from mallowbeam.simulation.fleet_processes import replaced
from mallowbeam.simulation.loss_budget import LossBudget
from mallowbeam.simulation.scenario import Violation
from mallowbeam.simulation.walk_callers import Callers
from mallowbeam.simulation.walk_members import MemberTroubles
from mallowbeam.simulation.walk_unbounded import UnboundedTroubles

TROUBLES_BEGIN_S = 10.0
TROUBLES_END_S = 32.0
LAST_ENDS_S = 14.0  # after the last trouble was drawn, all have ended
WHOLE_AGAIN_S = 12.0  # after the last trouble has ended
UNBOUNDED_SHARE = 0.25
FAVOURITE_SHARE = 0.5
FAVOURITES = ("", "", "wipe", "replace", "replace-planned", "taken", "cut-seeds", "freeze", "restart")
TEXT = """seed {seed}
members {members}
gateways g1 g2 g3
instances a b c
at 2 put 1 on 0
by 9 expect gateways ready
by 9.5 expect voters complete
"""


@dataclass(frozen=True, slots=True)
class Plan:
    """What a seed draws for a whole walk. Paces are mean seconds between two events."""

    members: int
    bounded: bool
    trouble_pace: float
    change_pace: float
    large: bool
    compact_entries: int
    trailing_entries: int
    favourite: str = ""  # the kind of trouble of members that comes more often than others

    @property
    def tolerance(self) -> int:
        """Members that may be lost at one time."""
        return 1 if self.members <= 4 else 2


def draw_plan(random: Random) -> Plan:
    """A plan."""
    return Plan(
        members=random.choice((3, 3, 3, 4, 5, 6, 8)),
        bounded=random.random() >= UNBOUNDED_SHARE,
        trouble_pace=random.choice((0.4, 1.0, 2.0)),
        change_pace=random.choice((0.06, 0.3, 0.3, 1.0)),
        large=random.random() < 0.15,
        compact_entries=random.choice((10, 50, 2000)),
        trailing_entries=random.choice((4, 64)),
        favourite=random.choice(FAVOURITES),
    )


class Walk:
    """One random schedule."""

    def __init__(self, seed: int, without: frozenset[str] = frozenset(), plan: Plan | None = None) -> None:
        """`without`: kinds of troubles of members that are not drawn."""
        drawn = draw_plan(Random(seed))
        self.plan = plan or drawn
        names = [f"m{number}" for number in range(1, self.plan.members + 1)]
        self.player = FleetPlayer(TEXT.format(seed=seed, members=" ".join(names)))
        self._without = without
        self._random = self.player.simulator.random
        self.gateway_events: dict[str, float] = {}
        self.budget = LossBudget(self.plan.tolerance)
        self.callers = Callers(self.player, self._random, self.gateway_events, self.plan.large)
        self.members = MemberTroubles(
            self.player, self.budget, self._random, self.callers.put_at, self.gateway_events
        )
        self.callers.troubles = self.members
        self._unbounded = UnboundedTroubles(self.player, self._random)

    def play(self) -> int:
        """Play it; the number of configurations that were acknowledged. Raises :class:`Violation`."""
        plan = self.plan
        with (
            replaced(raft_driver, {"COMPACT_ENTRIES": plan.compact_entries}),
            replaced(member_builder, {"TRAILING_ENTRIES": plan.trailing_entries}),
        ):
            self._play()
        return sum(
            order.state == "taken"
            for operator in self.player.operators.values()
            for order in operator.orders.values()
        )

    def _play(self) -> None:
        player, simulator = self.player, self.player.simulator
        player.play()
        self.budget.disturbed(simulator.now)
        if self.plan.bounded:
            player.checkers += [checker(self.budget) for checker in WITHIN_TOLERANCE]
            player.checkers.append(InTouchChecker(self.budget, self.gateway_events))
        simulator.at(TROUBLES_BEGIN_S, self._trouble)
        simulator.at(TROUBLES_BEGIN_S, self._call)
        if self.plan.large and self.plan.change_pace >= 0.3:
            simulator.at(self._random.uniform(TROUBLES_BEGIN_S, TROUBLES_END_S), self.callers.largest)
        simulator.run_until(TROUBLES_END_S)
        self._mend_all()
        self.callers.change()
        if simulator.run_while(lambda: not self._whole(), simulator.now + WHOLE_AGAIN_S):
            raise Violation(f"seed {simulator.seed}: not whole again in time\n{self._view()}")
        player.do_get()
        simulator.run_until(simulator.now + 2.0)

    # ------------------------------------------------------------ what is drawn

    def _trouble(self) -> None:
        simulator = self.player.simulator
        if simulator.now >= TROUBLES_END_S:
            return
        if self._random.random() < 0.2:
            self.callers.gateway()
        elif self.plan.bounded:
            favoured = self._random.random() < FAVOURITE_SHARE
            self.members.draw(self._without, self.plan.favourite if favoured else "")
        else:
            self._unbounded.draw()
        simulator.after(self._random.expovariate(1 / self.plan.trouble_pace), self._trouble)

    def _call(self) -> None:
        simulator, callers = self.player.simulator, self.callers
        if simulator.now >= TROUBLES_END_S:
            return
        draw = self._random.random()
        if draw < 0.5:
            callers.change()
        elif draw < 0.58:
            callers.race()
        elif draw < 0.66:
            callers.send_again()
        elif draw < 0.7:
            callers.lose_answers()
        elif draw < 0.85:
            callers.read()
        else:
            callers.instance()
        simulator.after(self._random.expovariate(1 / self.plan.change_pace), self._call)

    # ------------------------------------------------------------ the end

    def _mend_all(self) -> None:
        """Have all troubles end: those within the budget do by themselves."""
        self.callers.finish()
        if self.plan.bounded:
            self.player.simulator.run_until(TROUBLES_END_S + LAST_ENDS_S)
        else:
            self._unbounded.mend_all()

    def _whole(self) -> bool:
        """All vote, each call has an answer, all have the newest configuration and agree on what has left."""
        player = self.player
        orders = [order for operator in player.operators.values() for order in operator.orders.values()]
        if any(order.state == "pending" for order in orders):
            return False
        newest = str(self.callers.newest())
        staying = self._staying()
        if not player.holds(("voters", "complete")) or not all(player.members[name].live for name in staying):
            return False
        wanted = [(name, "revision", newest) for name in staying]
        wanted += [("gateways", "revision", newest)]
        if not all(player.holds(condition) for condition in (*wanted, ("gateways", "ready"))):
            return False
        return all(self._settled(name) for name in player.instances)

    def _staying(self) -> list[str]:
        """Members that are not leaving for good."""
        return [name for name in self.player.members if name not in self.members.retiring]

    def _settled(self, name: str) -> bool:
        """Whether all gateways know what an instance last said."""
        instance = self.player.instances[name]
        wanted = instance.state if instance.machine.running else "absent"
        return self.player.holds(("gateways", name, "absent" if wanted == "gone" else wanted))

    def _view(self) -> str:
        player = self.player
        lines = [player.state()]
        lines += [f"{name}: revision {gateway.revision}" for name, gateway in player.gateways.items()]
        lines += [
            f"{order.revision}: {order.state}"
            for operator in player.operators.values()
            for order in operator.orders.values()
            if order.state == "pending"
        ]
        lines += [
            f"{name}: {instance.state}, {instance.machine.state.value}, at the gateways "
            + ", ".join(gateway.instance_state(name) for gateway in player.gateways.values())
            for name, instance in player.instances.items()
            if not self._settled(name)
        ]
        return "\n".join(lines)


def play(seed: int) -> int:
    """Play one seed; what fails names it."""
    try:
        return Walk(seed).play()
    except Exception as error:
        error.add_note(f"fleet walk, seed {seed}: python -m mallowbeam.simulation.walk {seed} 1")
        raise


@dataclass(frozen=True, slots=True)
class Result:
    """What came of one seed; `failure` is empty where nothing failed."""

    seed: int
    taken: int
    failure: str


def try_seed(seed: int) -> Result:
    """Play one seed and tell what came of it."""
    try:
        return Result(seed, play(seed), "")
    except Exception as error:
        return Result(seed, 0, f"{type(error).__name__}: {error}")


def _log_nowhere() -> None:
    """Drop the members' log lines: those of many walks are of no use."""
    set_up_logging("walk", StringIO())


def main() -> int:
    """Play seeds by the command line; 1 where one fails. The log of a single one goes to standard error."""
    first, count = int(sys.argv[1]), int(sys.argv[2])
    lanes = int(sys.argv[3]) if len(sys.argv) > 3 else 1
    failed = taken = 0
    quiet = _log_nowhere if count > 1 else partial(set_up_logging, "walk")
    with ProcessPoolExecutor(lanes, initializer=quiet) as pool:
        for result in pool.map(try_seed, range(first, first + count)):
            taken += result.taken
            if result.failure:
                failed += 1
                print(f"seed {result.seed}: {result.failure}", flush=True)
                print(f"  again: python -m mallowbeam.simulation.walk {result.seed} 1", flush=True)
    print(f"{count} walks from seed {first}: {failed} failed, {taken} configurations were acknowledged")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
