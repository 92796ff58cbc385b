"""What operators, instances and gateways do in a random walk."""

from __future__ import annotations

from collections.abc import Sequence
from math import inf
from random import Random

from mallowbeam.simulation.clock import Step
from mallowbeam.simulation.fleet import FleetPlayer
from mallowbeam.simulation.fleet_operators import Operator
from mallowbeam.simulation.walk_members import MemberTroubles

OPERATORS = ("operator", "second", "third")
MOST_LAUNCHES = 10
LARGE_BYTES = (20_000, 100_000, 300_000)
LARGEST_BYTES = 2_000_000
LOST_ANSWERS = (0.0, 0.0, 0.3, 0.7)
FAR_AHEAD = 60  # of the newest revision, that of a change on a version to come
LONGEST_GATEWAY_TROUBLE_S = 5.0


class Callers:
    """Draws their actions."""

    def __init__(
        self, player: FleetPlayer, random: Random, gateway_events: dict[str, float], large: bool
    ) -> None:
        self.player, self._random, self._events = player, random, gateway_events
        self._large = large
        self._revision = 1
        self._launched = 0
        self.troubles: MemberTroubles | None = None
        for name in OPERATORS[1:]:
            player.do_operator(name)

    # ------------------------------------------------------------ operators

    def newest(self) -> int:
        """The newest revision that any operator knows to be acknowledged."""
        return max(operator.acknowledged for operator in self.player.operators.values())

    def change(self) -> None:
        """One change; now and then on an old version, on one that is to come, or of a large body."""
        draw = self._random.random()
        based_on = self.newest()
        if draw < 0.06:
            based_on = max(0, based_on - 1)
        elif draw < 0.1:
            self._change_of_a_version_to_come()
            return
        self._put(self._operator(), based_on, "", False)

    def _change_of_a_version_to_come(self) -> None:
        """It must be refused, and stay so when that version is in force."""
        operator = self._operator()
        revision = self._revision + FAR_AHEAD
        if revision not in operator.orders:
            operator.put(revision, self._revision + self._random.randint(1, 4))

    def race(self) -> None:
        """Two operators on the same version, perhaps under the same number."""
        first, second = self._random.sample(list(self.player.operators.values()), 2)
        based_on = self.newest()
        self._put(first, based_on, "", False)
        if self._random.random() < 0.5:
            self._revision -= 1
        self._put(second, based_on, "", False, least=1)

    def put_at(self, member: str, count: int, hard: bool) -> None:
        """Changes of one version at one member, each of another operator."""
        based_on = self.newest()
        for operator in self._random.sample(list(self.player.operators.values()), count):
            self._put(operator, based_on, member, hard)

    def lose_answers(self) -> None:
        """A share of the answers to an operator is lost from now on."""
        self._operator().answer_loss = self._random.choice(LOST_ANSWERS)

    def send_again(self) -> None:
        """An order that was taken, again."""
        operator = self._operator()
        taken = [order.revision for order in operator.orders.values() if order.state == "taken"]
        if taken:
            operator.send_again(self._random.choice(taken[-20:]))

    def read(self) -> None:
        """Any member, those that are cut off first."""
        cut_off = sorted(self.troubles.cut_off) if self.troubles is not None else []
        member = self._random.choice(cut_off or list(self.player.members))
        self._operator().look(member)

    def _operator(self) -> Operator:
        return self._random.choice(list(self.player.operators.values()))

    def _put(self, operator: Operator, based_on: int, member: str, only: bool, least: int = 1) -> None:
        self._revision += self._random.randint(least, 3)
        while self._revision in operator.orders:
            self._revision += 1
        padding = 0
        if self._large and self._random.random() < 0.1:
            padding = self._random.choice(LARGE_BYTES)
        operator.put(self._revision, based_on, member, only, padding)

    def largest(self) -> None:
        """One change with a body of megabytes."""
        self._revision += 1
        self._operator().put(self._revision, self.newest(), padding=LARGEST_BYTES)

    def finish(self) -> None:
        """No answer is lost any more, and every order may go to any member."""
        for operator in self.player.operators.values():
            operator.answer_loss = 0.0
            operator.free()

    # ------------------------------------------------------------ instances

    def instance(self) -> None:
        """One leaves with or without a notice, ends, or a new one starts."""
        running = [
            name
            for name, one in self.player.instances.items()
            if one.machine.running and one.state == "ready"
        ]
        if not running or (self._random.random() < 0.5 and self._launched < MOST_LAUNCHES):
            if self._launched < MOST_LAUNCHES:
                self._launched += 1
                self.player.do_launch(f"i{self._launched}")
            return
        instance = self.player.instances[self._random.choice(running)]
        if self.troubles is not None and self.troubles.cut_off and self._random.random() < 0.7:
            instance.member = self._random.choice(sorted(self.troubles.cut_off))  # reports there first
        leave: Sequence[Step] = (instance.drain, instance.drain, instance.delete, instance.machine.power_off)
        self._random.choice(leave)()

    # ------------------------------------------------------------ gateways

    def gateway(self) -> None:
        """A gateway is started anew, killed, frozen or cut off for a while."""
        name = self._random.choice(list(self.player.gateways))
        machine = self.player.network.machines[name]
        if self._events.get(name) == inf or not machine.running:
            return
        kind = self._random.choice(("anew", "kill", "power", "freeze", "cut"))
        self._events[name] = inf
        gone = self.troubles.retiring if self.troubles is not None else {}
        ips = [member.machine.ip for name, member in self.player.members.items() if name not in gone]
        self.player.gateways[name].set_seeds(self._random.sample(ips, min(3, len(ips))))
        longest = LONGEST_GATEWAY_TROUBLE_S
        match kind:
            case "anew":
                machine.kill()
                longest = 0.2
            case "kill":
                machine.kill()
            case "power":
                machine.power_off()
            case "freeze":
                machine.freeze()
            case "cut":
                self.player.network.isolate(name)
        self.player.simulator.after(self._random.uniform(0.1, longest), lambda: self._gateway_returns(name))

    def _gateway_returns(self, name: str) -> None:
        machine = self.player.network.machines[name]
        for member in self.player.members:
            if self.troubles is None or member not in self.troubles.cut_off:
                self.player.network.heal(name, member)
        for other in (*self.player.gateways, *self.player.instances, *self.player.operators):
            self.player.network.heal(name, other)
        machine.thaw()
        machine.start()
        self._events[name] = self.player.simulator.now
