"""Requests of operators, reports of instances and faults of gateways in a random walk."""

from __future__ import annotations

from collections.abc import Sequence
from math import inf
from random import Random

from mallowbeam.simulation.clock import Step
from mallowbeam.simulation.fleet import FleetPlayer
from mallowbeam.simulation.fleet_callers import InstanceState
from mallowbeam.simulation.fleet_operators import Operator, OrderState
from mallowbeam.simulation.walk_members import MemberFaults

OPERATORS = ("operator", "second", "third")
LAUNCH_LIMIT = 10
LARGE_BYTES = (20_000, 100_000, 300_000)
LARGEST_BYTES = 2_000_000
ANSWER_LOSS_RATES = (0.0, 0.0, 0.3, 0.7)
FUTURE_REVISION_GAP = 60  # from the newest revision to that of a change based on a future version
LONGEST_GATEWAY_FAULT_S = 5.0
LONGEST_GATEWAY_RESTART_S = 0.2
STALE_BASE_BOUND = 0.06  # draws below it base a change on the previous version
FUTURE_BASE_BOUND = 0.1  # draws from STALE_BASE_BOUND up to it base a change on a future version
SAME_REVISION_PROBABILITY = 0.5
LARGE_BODY_PROBABILITY = 0.1
LAUNCH_PROBABILITY = 0.5
PARTITIONED_MEMBER_PROBABILITY = 0.7  # a retiring instance first reports to a partitioned member


class Callers:
    """Draws the actions of operators, instances and gateways."""

    def __init__(
        self, player: FleetPlayer, random: Random, gateway_events: dict[str, float], large: bool
    ) -> None:
        self.player = player
        self._random = random
        self._gateway_events = gateway_events
        self._large = large
        self._revision = 1
        self._launched = 0
        self.member_faults: MemberFaults | None = None
        for name in OPERATORS[1:]:
            player.do_operator(name)

    # ------------------------------------------------------------ operators

    def newest(self) -> int:
        """The newest revision that was acknowledged to any operator."""
        return max(operator.acknowledged for operator in self.player.operators.values())

    def submit_change(self) -> None:
        """Submit a change; sometimes based on an old or a future version, or with a large body."""
        draw = self._random.random()
        based_on = self.newest()
        if draw < STALE_BASE_BOUND:
            based_on = max(0, based_on - 1)
        elif draw < FUTURE_BASE_BOUND:
            self._submit_future_change()
            return
        self._put(self._random_operator(), based_on, "", False)

    def _submit_future_change(self) -> None:
        """Submit a change that must stay rejected even after its base version comes into force."""
        operator = self._random_operator()
        revision = self._revision + FUTURE_REVISION_GAP
        if revision not in operator.orders:
            operator.put(revision, self._revision + self._random.randint(1, 4))

    def submit_racing_changes(self) -> None:
        """Submit changes of two operators based on one version, sometimes with the same revision."""
        first, second = self._random.sample(list(self.player.operators.values()), 2)
        based_on = self.newest()
        self._put(first, based_on, "", False)
        if self._random.random() < SAME_REVISION_PROBABILITY:
            self._revision -= 1
        self._put(second, based_on, "", False, min_increment=1)

    def put_at(self, member: str, count: int, only: bool) -> None:
        """Submit `count` changes of different operators based on one version at one member."""
        based_on = self.newest()
        for operator in self._random.sample(list(self.player.operators.values()), count):
            self._put(operator, based_on, member, only)

    def set_answer_loss(self) -> None:
        """Change the probability that answers to an operator are lost."""
        self._random_operator().answer_loss = self._random.choice(ANSWER_LOSS_RATES)

    def resubmit(self) -> None:
        """Submit a recently accepted order again."""
        operator = self._random_operator()
        accepted = [
            order.revision for order in operator.orders.values() if order.state is OrderState.ACCEPTED
        ]
        if accepted:
            operator.send_again(self._random.choice(accepted[-20:]))

    def read(self) -> None:
        """Read from any member, preferring partitioned ones."""
        partitioned = sorted(self.member_faults.partitioned) if self.member_faults is not None else []
        member = self._random.choice(partitioned or list(self.player.members))
        self._random_operator().read_once(member)

    def _random_operator(self) -> Operator:
        return self._random.choice(list(self.player.operators.values()))

    def _put(
        self, operator: Operator, based_on: int, member: str, only: bool, min_increment: int = 1
    ) -> None:
        self._revision += self._random.randint(min_increment, 3)
        while self._revision in operator.orders:
            self._revision += 1
        padding = 0
        if self._large and self._random.random() < LARGE_BODY_PROBABILITY:
            padding = self._random.choice(LARGE_BYTES)
        operator.put(self._revision, based_on, member, only, padding)

    def submit_largest_change(self) -> None:
        """Submit a change with a body of :data:`LARGEST_BYTES`."""
        self._revision += 1
        self._random_operator().put(self._revision, self.newest(), padding=LARGEST_BYTES)

    def stop_losses(self) -> None:
        """Stop dropping answers to operators, and let every order go to any member."""
        for operator in self.player.operators.values():
            operator.answer_loss = 0.0
            operator.lift_restrictions()

    # ------------------------------------------------------------ instances

    def change_instance(self) -> None:
        """Drain, end or crash an instance, or launch a new one."""
        running = [
            name
            for name, one in self.player.instances.items()
            if one.machine.running and one.state is InstanceState.READY
        ]
        if not running or (self._random.random() < LAUNCH_PROBABILITY and self._launched < LAUNCH_LIMIT):
            if self._launched < LAUNCH_LIMIT:
                self._launched += 1
                self.player.do_launch(f"i{self._launched}")
            return
        instance = self.player.instances[self._random.choice(running)]
        partitioned = sorted(self.member_faults.partitioned) if self.member_faults is not None else []
        if partitioned and self._random.random() < PARTITIONED_MEMBER_PROBABILITY:
            instance.member = self._random.choice(partitioned)  # its first report goes there
        ends: Sequence[Step] = (instance.drain, instance.drain, instance.delete, instance.machine.power_off)
        self._random.choice(ends)()

    # ------------------------------------------------------------ gateways

    def inject_gateway_fault(self) -> None:
        """Restart, kill, freeze or partition a gateway for a while."""
        name = self._random.choice(list(self.player.gateways))
        machine = self.player.network.machines[name]
        if self._gateway_events.get(name) == inf or not machine.running:
            return
        kind = self._random.choice(("restart", "kill", "power", "freeze", "partition"))
        self._gateway_events[name] = inf
        removed = self.member_faults.retiring if self.member_faults is not None else {}
        ips = [member.machine.ip for name, member in self.player.members.items() if name not in removed]
        self.player.gateways[name].set_seeds(self._random.sample(ips, min(3, len(ips))))
        longest_s = LONGEST_GATEWAY_FAULT_S
        match kind:
            case "restart":
                machine.kill()
                longest_s = LONGEST_GATEWAY_RESTART_S
            case "kill":
                machine.kill()
            case "power":
                machine.power_off()
            case "freeze":
                machine.freeze()
            case "partition":
                self.player.network.isolate(name)
        self.player.simulator.after(
            self._random.uniform(0.1, longest_s), lambda: self._end_gateway_fault(name)
        )

    def _end_gateway_fault(self, name: str) -> None:
        machine = self.player.network.machines[name]
        for member in self.player.members:
            if self.member_faults is None or member not in self.member_faults.partitioned:
                self.player.network.heal(name, member)
        for other in (*self.player.gateways, *self.player.instances, *self.player.operators):
            self.player.network.heal(name, other)
        machine.thaw()
        machine.start()
        self._gateway_events[name] = self.player.simulator.now
