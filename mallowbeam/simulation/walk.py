"""Random walks of the whole fleet: faults are drawn from a seed, then they end, and the fleet must recover.

A seed draws the number of members and tolerated losses, the rates of faults and configuration changes, how
often members take snapshots, and whether losses stay within the tolerance. If they do, every guarantee is
checked; otherwise only those that hold under any fault. From the command line::

    python -m mallowbeam.simulation.walk FIRST COUNT [PROCESSES]

prints the seeds that fail, each with the command that reproduces the failure.
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
from mallowbeam.simulation.fleet_callers import InstanceState
from mallowbeam.simulation.fleet_checkers import WITHIN_TOLERANCE, GatewayConvergenceChecker
from mallowbeam.simulation.fleet_operators import OrderState
from mallowbeam.simulation.fleet_processes import replaced
from mallowbeam.simulation.loss_budget import LossBudget
from mallowbeam.simulation.scenario import ViolationError
from mallowbeam.simulation.walk_callers import Callers
from mallowbeam.simulation.walk_members import MemberFaults
from mallowbeam.simulation.walk_unbounded import UnboundedFaults

FAULTS_BEGIN_S = 10.0
FAULTS_END_S = 32.0
LONGEST_RECOVERY_S = 14.0  # from the last drawn fault until all faults have ended
RECOVERY_BOUND_S = 12.0  # from the end of the last fault until the fleet has recovered
UNBOUNDED_PROBABILITY = 0.25
PREFERRED_PROBABILITY = 0.5
PREFERRED_FAULTS = (
    "",
    "",
    "wipe",
    "replace",
    "replace-planned",
    "power-after-ack",
    "partition-seeds",
    "freeze",
    "restart",
)
LARGE_BODY_PROBABILITY = 0.15
GATEWAY_FAULT_PROBABILITY = 0.2
LARGEST_CHANGE_MIN_INTERVAL_S = 0.3  # walks with more frequent changes submit no largest change
SINGLE_LOSS_MEMBERS = 4  # fleets of up to 4 members tolerate one loss, larger fleets two
SETUP = """seed {seed}
members {members}
gateways g1 g2 g3
instances a b c
at 2 put 1 on 0
by 9 expect gateways ready
by 9.5 expect voters complete
"""


@dataclass(frozen=True, slots=True)
class Plan:
    """Parameters of a walk, drawn from its seed; intervals are mean seconds between two events."""

    members: int
    bounded: bool
    fault_interval_s: float
    change_interval_s: float
    large: bool
    compact_entries: int
    trailing_entries: int
    preferred_fault: str = ""  # kind of member fault that is drawn more often than others

    @property
    def tolerance(self) -> int:
        """Number of members that may be lost at the same time."""
        return 1 if self.members <= SINGLE_LOSS_MEMBERS else 2


def draw_plan(random: Random) -> Plan:
    """Draw the parameters of a walk."""
    return Plan(
        members=random.choice((3, 3, 3, 4, 5, 6, 8)),
        bounded=random.random() >= UNBOUNDED_PROBABILITY,
        fault_interval_s=random.choice((0.4, 1.0, 2.0)),
        change_interval_s=random.choice((0.06, 0.3, 0.3, 1.0)),
        large=random.random() < LARGE_BODY_PROBABILITY,
        compact_entries=random.choice((10, 50, 2000)),
        trailing_entries=random.choice((4, 64)),
        preferred_fault=random.choice(PREFERRED_FAULTS),
    )


class Walk:
    """One random schedule of faults and requests."""

    def __init__(self, seed: int, without: frozenset[str] = frozenset(), plan: Plan | None = None) -> None:
        """`without`: kinds of member faults that are not drawn; `plan` replaces the drawn one."""
        drawn = draw_plan(Random(seed))
        self.plan = plan or drawn
        names = [f"m{number}" for number in range(1, self.plan.members + 1)]
        self.player = FleetPlayer(SETUP.format(seed=seed, members=" ".join(names)))
        self._without = without
        self._random = self.player.simulator.random
        self.gateway_events: dict[str, float] = {}
        self.budget = LossBudget(self.plan.tolerance)
        self.callers = Callers(self.player, self._random, self.gateway_events, self.plan.large)
        self.members = MemberFaults(
            self.player, self.budget, self._random, self.callers.put_at, self.gateway_events
        )
        self.callers.member_faults = self.members
        self._unbounded = UnboundedFaults(self.player, self._random)

    def play(self) -> int:
        """Play the walk; returns the number of accepted configurations. Raises :class:`ViolationError`."""
        plan = self.plan
        with (
            replaced(raft_driver, {"COMPACT_ENTRIES": plan.compact_entries}),
            replaced(member_builder, {"TRAILING_ENTRIES": plan.trailing_entries}),
        ):
            self._play()
        return sum(
            order.state is OrderState.ACCEPTED
            for operator in self.player.operators.values()
            for order in operator.orders.values()
        )

    def _play(self) -> None:
        player, simulator = self.player, self.player.simulator
        player.play()
        self.budget.disturbed(simulator.now)
        if self.plan.bounded:
            player.checkers += [checker(self.budget) for checker in WITHIN_TOLERANCE]
            player.checkers.append(GatewayConvergenceChecker(self.budget, self.gateway_events))
        simulator.at(FAULTS_BEGIN_S, self._inject_fault)
        simulator.at(FAULTS_BEGIN_S, self._make_call)
        if self.plan.large and self.plan.change_interval_s >= LARGEST_CHANGE_MIN_INTERVAL_S:
            simulator.at(
                self._random.uniform(FAULTS_BEGIN_S, FAULTS_END_S), self.callers.submit_largest_change
            )
        simulator.run_until(FAULTS_END_S)
        self._end_all_faults()
        self.callers.submit_change()
        if simulator.run_while(lambda: not self._recovered(), simulator.now + RECOVERY_BOUND_S):
            raise ViolationError(f"seed {simulator.seed}: not recovered in time\n{self._describe_state()}")
        player.do_get()
        simulator.run_until(simulator.now + 2.0)

    # ------------------------------------------------------------ faults and requests

    def _inject_fault(self) -> None:
        simulator = self.player.simulator
        if simulator.now >= FAULTS_END_S:
            return
        if self._random.random() < GATEWAY_FAULT_PROBABILITY:
            self.callers.inject_gateway_fault()
        elif self.plan.bounded:
            use_preferred = self._random.random() < PREFERRED_PROBABILITY
            self.members.draw(self._without, self.plan.preferred_fault if use_preferred else "")
        else:
            self._unbounded.draw()
        simulator.after(self._random.expovariate(1 / self.plan.fault_interval_s), self._inject_fault)

    def _make_call(self) -> None:
        simulator, callers = self.player.simulator, self.callers
        if simulator.now >= FAULTS_END_S:
            return
        draw = self._random.random()
        actions = (  # by the upper bound of the draw
            (0.5, callers.submit_change),
            (0.58, callers.submit_racing_changes),
            (0.66, callers.resubmit),
            (0.7, callers.set_answer_loss),
            (0.85, callers.read),
            (1.0, callers.change_instance),
        )
        next(action for bound, action in actions if draw < bound)()
        simulator.after(self._random.expovariate(1 / self.plan.change_interval_s), self._make_call)

    # ------------------------------------------------------------ recovery

    def _end_all_faults(self) -> None:
        """End all faults; those within the budget end by themselves."""
        self.callers.stop_losses()
        if self.plan.bounded:
            self.player.simulator.run_until(FAULTS_END_S + LONGEST_RECOVERY_S)
        else:
            self._unbounded.repair_all()

    def _recovered(self) -> bool:
        """Whether the fleet has recovered from all faults.

        All members vote, all orders are answered, and all members and gateways are up to date.
        """
        player = self.player
        orders = [order for operator in player.operators.values() for order in operator.orders.values()]
        if any(order.state is OrderState.PENDING for order in orders):
            return False
        newest = str(self.callers.newest())
        remaining = self._remaining()
        if not player.holds(("voters", "complete")) or not all(
            player.members[name].live for name in remaining
        ):
            return False
        wanted = [(name, "revision", newest) for name in remaining]
        wanted += [("gateways", "revision", newest)]
        if not all(player.holds(condition) for condition in (*wanted, ("gateways", "ready"))):
            return False
        return all(self._instance_converged(name) for name in player.instances)

    def _remaining(self) -> list[str]:
        """Members that are not being removed permanently."""
        return [name for name in self.player.members if name not in self.members.retiring]

    def _instance_converged(self, name: str) -> bool:
        """Whether all gateways have the state that an instance last reported."""
        instance = self.player.instances[name]
        ended = not instance.machine.running or instance.state is InstanceState.GONE
        return self.player.holds(("gateways", name, "absent" if ended else instance.state.value))

    def _describe_state(self) -> str:
        player = self.player
        lines = [player.state()]
        lines += [f"{name}: revision {gateway.revision}" for name, gateway in player.gateways.items()]
        lines += [
            f"{order.revision}: {order.state.value}"
            for operator in player.operators.values()
            for order in operator.orders.values()
            if order.state is OrderState.PENDING
        ]
        lines += [
            f"{name}: {instance.state.value}, {instance.machine.state.value}, at the gateways "
            + ", ".join(gateway.instance_state(name) for gateway in player.gateways.values())
            for name, instance in player.instances.items()
            if not self._instance_converged(name)
        ]
        return "\n".join(lines)


def play(seed: int) -> int:
    """Play one seed; an exception gets a note with the command that reproduces it."""
    try:
        return Walk(seed).play()
    except Exception as error:
        error.add_note(f"fleet walk, seed {seed}: python -m mallowbeam.simulation.walk {seed} 1")
        raise


@dataclass(frozen=True, slots=True)
class Result:
    """Result of one seed; `failure` is empty on success."""

    seed: int
    accepted: int
    failure: str


def run_seed(seed: int) -> Result:
    """Play one seed and return its result instead of raising."""
    try:
        return Result(seed, play(seed), "")
    except Exception as error:
        return Result(seed, 0, f"{type(error).__name__}: {error}")


def discard_logs() -> None:
    """Discard the members' log lines."""
    set_up_logging("walk", StringIO())


def main() -> int:
    """Play the seeds of the command line; returns 1 if one fails. A single seed logs to standard error."""
    first, count, *rest = (int(argument) for argument in sys.argv[1:])
    processes = rest[0] if rest else 1
    failed = 0
    accepted = 0
    log_setup = discard_logs if count > 1 else partial(set_up_logging, "walk")
    with ProcessPoolExecutor(processes, initializer=log_setup) as pool:
        for result in pool.map(run_seed, range(first, first + count)):
            accepted += result.accepted
            if result.failure:
                failed += 1
                print(f"seed {result.seed}: {result.failure}", flush=True)
                print(f"  again: python -m mallowbeam.simulation.walk {result.seed} 1", flush=True)
    print(f"{count} walks from seed {first}: {failed} failed, {accepted} configurations were acknowledged")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
