"""Scenarios of the whole router fleet: members, gateways as far as their feeds, instances, and an operator.

Declarations, in this order: ``members M...`` (the first three are the seeds), ``gateways G...``,
``instances I...``. All start within 0.3 s. Besides the troubles of :mod:`mallowbeam.simulation.troubles`, in
which ``leader`` and ``followers`` name members too::

    at 1 put REVISION on BASED [via M] [by NAME]   an operator sends a configuration until there is a clear
                                          answer, to a member first
    at 1 get [via M]                      the operator reads the configuration back
    at 1 again REVISION                   the operator sends a configuration once more that was taken
    at 1 call I M                         an instance's next call goes to this member
    at 1 launch-gateway G                 a new gateway
    at 1 seeds G M...                     a gateway has these seeds from its next start on
    at 1 lose-answers NAME SHARE          a share of the answers to an operator is lost on the way
    at 1 drain I      delete I            an instance says that it leaves, or has ended
    at 1 launch I                         a new instance
    at 1 wipe M                           a member loses its disk, and starts again
    at 1 add M                            a new machine with an empty disk
    at 1 term M                           a member gets SIGTERM: it stops in order and its process ends

Conditions: ``leader``; ``no-leader``; ``voters N``; ``voters complete``; ``taken|refused|pending REVISION``;
``one-taken REVISION REVISION``; ``read REVISION``; ``acknowledged I`` (its drain or end);
``WHO revision N``; ``G ready``; ``G I ready|draining|absent``; ``G gateways N``.

    at 1 operator NAME                    another operator; `put ... by NAME` has it send

At all times: each term has one leader at most, no gateway's configuration goes back, what was acknowledged is
read back, no task of a process fails unhandled, and what :mod:`mallowbeam.simulation.fleet_history` and the
checkers of :data:`mallowbeam.simulation.fleet_checkers.ALWAYS` ask for holds.
"""

from __future__ import annotations

from collections.abc import Container, Sequence

from mallowbeam.router.configuration.model import Configuration
from mallowbeam.router.feed.subscriber import FeedSubscriber
from mallowbeam.simulation.dialing import Streams
from mallowbeam.simulation.fleet_callers import SimulatedInstance
from mallowbeam.simulation.fleet_checkers import ALWAYS, LOOK_S, Checker, ReachWatch, World
from mallowbeam.simulation.fleet_history import History
from mallowbeam.simulation.fleet_operators import Operator
from mallowbeam.simulation.fleet_processes import SimulatedGateway, SimulatedMember, settings_of
from mallowbeam.simulation.loop import SimulatedLoop
from mallowbeam.simulation.machine import Machine
from mallowbeam.simulation.scenario import Violation
from mallowbeam.simulation.troubles import MachinesPlayer

SEEDS = 3
START_WITHIN_S = 0.3


def term_of(member: SimulatedMember) -> int:
    """The term of a live member."""
    assert member.program is not None
    return member.program.parts.driver.node.term


class FleetPlayer(MachinesPlayer):
    """Plays scenarios of the fleet."""

    def prepare(self) -> None:
        """Make the operator and the tables of processes."""
        super().prepare()
        self.streams = Streams(self.network)
        self.members: dict[str, SimulatedMember] = {}
        self.gateways: dict[str, SimulatedGateway] = {}
        self.instances: dict[str, SimulatedInstance] = {}
        self.history = History()
        self.places = 0  # members that the system is meant to have
        self.world = World(self.network, self.members, self.gateways, self.history, lambda: self.places)
        self.checkers: list[Checker] = [checker() for checker in ALWAYS]
        self.operators: dict[str, Operator] = {}
        self.do_operator("operator")
        self.operator = self.operators["operator"]
        self._leaders: dict[int, str] = {}  # by term
        self._revisions: dict[str, tuple[int, int]] = {}  # gateways: incarnation and revision last seen
        self.simulator.check(self._check)
        self.simulator.after(LOOK_S, self._look)

    # ------------------------------------------------------------ declarations

    def declare_members(self, *names: str) -> None:
        """The first members, of which some are the seeds."""
        ips = [f"10.0.0.{number}" for number in range(1, len(names) + 1)]
        self.seeds = ips[:SEEDS]
        self.places = len(names)
        for name, ip in zip(names, ips, strict=True):
            self._add_member(name, ip, bootstrap=True)

    def declare_gateways(self, *names: str) -> None:
        """The gateways."""
        for name in names:
            self.do_launch_gateway(name)

    def declare_instances(self, *names: str) -> None:
        """The first instances."""
        for name in names:
            self.do_launch(name)

    def names(self, word: str) -> list[str]:
        """A machine, a group, the leader of the newest term, or the other members; raises LookupError."""
        if word not in ("leader", "followers"):
            return super().names(word)
        leaders = self._leading()
        if not leaders:
            raise LookupError("no member leads")
        leader = max(leaders, key=term_of).machine.name
        return [leader] if word == "leader" else [name for name in self.members if name != leader]

    # ------------------------------------------------------------ commands

    def do_operator(self, name: str) -> None:
        """Another operator."""
        operator = Operator(self._new_machine(name, ""), self.network, self.members, self.history)
        operator.machine.start()
        self.operators[name] = operator

    def do_put(self, revision: str, on: str, based_on: str, *more: str) -> None:
        """Send a configuration."""
        options = dict(zip(more[::2], more[1::2], strict=True))
        if on != "on" or not options.keys() <= {"via", "by"}:
            raise ValueError("needs put REVISION on BASED [via M] [by NAME]")
        member = self.names(options["via"])[0] if "via" in options else ""
        self.operators[options.get("by", "operator")].put(int(revision), int(based_on), member)

    def do_get(self, via: str = "", member: str = "") -> None:
        """Read the configuration back."""
        if via and via != "via":
            raise ValueError("needs get [via M]")
        self.operator.get(self.names(member)[0] if member else "")

    def do_again(self, revision: str) -> None:
        """Send a configuration once more that was taken."""
        self.operator.send_again(int(revision))

    def do_lose_answers(self, name: str, share: str) -> None:
        """Lose answers on their way to an operator."""
        self.operators[name].answer_loss = float(share)

    def do_seeds(self, gateway: str, *members: str) -> None:
        """Give a gateway other seeds."""
        names = [name for word in members for name in self.names(word)]
        self.gateways[gateway].set_seeds([self.network.machines[name].ip for name in names])

    def do_drain(self, name: str) -> None:
        """Have an instance leave."""
        self.instances[name].drain()

    def do_delete(self, name: str) -> None:
        """Have an instance end."""
        self.instances[name].delete()

    def do_call(self, name: str, member: str) -> None:
        """Have an instance turn to a member."""
        self.instances[name].member = self.names(member)[0]

    def do_launch_gateway(self, name: str) -> None:
        """A new gateway."""
        machine = self._new_machine(name, "gateways")
        settings = settings_of(name, machine.ip, self.seeds, member=False, bootstrap=True)
        self.gateways[name] = SimulatedGateway(machine, self.streams, settings)
        self._start_soon(machine)

    def do_launch(self, name: str) -> None:
        """A new instance."""
        machine = self._new_machine(name, "instances")
        self.instances[name] = SimulatedInstance(machine, self.network, self.members, f"{machine.ip}:8080")
        self._start_soon(machine)

    def do_wipe(self, name: str) -> None:
        """A member loses its disk, and starts again."""
        for one in self.names(name):
            member = self.members[one]
            member.machine.power_off()
            member.wipe()
            self._start_soon(member.machine)

    def do_add(self, name: str) -> None:
        """A member on a new machine."""
        self._add_member(name, f"10.0.0.{len(self.members) + 1}", bootstrap=False)

    def do_term(self, *words: str) -> None:
        """Members get SIGTERM; to be started again by `start`, or never."""
        for word in words:
            for name in self.names(word):
                self.members[name].terminate()

    # ------------------------------------------------------------ conditions

    def holds(self, words: Sequence[str]) -> bool:
        """Whether a condition holds; the module's text has them all."""
        match words:
            case ("leader",):
                return bool(self._leading())
            case ("no-leader",):
                return not self._leading()
            case ("voters", "complete"):
                return self._voters() == self._wanted_voters() > 0
            case ("voters", number):
                return self._voters() == int(number)
            case ("taken" | "refused" | "pending" as state, revision):
                return self.operator.orders[int(revision)].state == state
            case ("one-taken", *revisions):
                states = [self.operator.orders[int(revision)].state for revision in revisions]
                return sorted(states) == ["refused"] * (len(states) - 1) + ["taken"]
            case ("read", revision):
                return self.operator.read == int(revision)
            case ("acknowledged", name):
                return self.instances[name].retired_at is not None
            case (who, "revision", revision):
                return all(self._revision(name) == int(revision) for name in self.names(who))
            case (who, "gateways", number):
                return all(self._subscriber(name).gateways == int(number) for name in self.names(who))
            case (who, "ready"):
                return all(self.gateways[name].ready for name in self.names(who))
            case (who, instance, "ready" | "draining" | "absent" as state):
                return all(self.gateways[name].instance_state(instance) == state for name in self.names(who))
        raise ValueError("no such condition")

    def state(self) -> str:
        """The members' views, for a violation."""
        lines = []
        for name, member in self.members.items():
            if member.program is None or not member.machine.running:
                lines.append(f"{name}: {member.machine.state.value}")
                continue
            node = member.program.parts.driver.node
            voters = sum(one.voter for one in node.membership.members)
            lines.append(
                f"{name}: {node.role.value}, term {node.term}, commit {node.commit_index}, "
                f"{voters} of {len(node.membership.members)} vote"
            )
        return "\n".join(lines)

    # ------------------------------------------------------------ the parts

    def _new_machine(self, name: str, group: str, ip: str = "", disk: bool = False) -> Machine:
        return self.add_machine(name, group=group, disk=disk, ip=ip or f"10.1.0.{len(self.network.machines)}")

    def _add_member(self, name: str, ip: str, bootstrap: bool) -> None:
        machine = self._new_machine(name, "members", ip, disk=True)
        settings = settings_of(name, ip, self.seeds, member=True, bootstrap=bootstrap)
        self.members[name] = SimulatedMember(machine, self.streams, self.disks[name], settings, self.history)
        self.members[name].watch = lambda: ReachWatch().look(self.world)
        self._start_soon(machine)

    def turn_over_seeds(self, gone: Container[str]) -> None:
        """The settings name members as seeds that are not gone for good."""
        left = [member.machine.ip for name, member in self.members.items() if name not in gone]
        self.seeds = left[:SEEDS]
        for member in self.members.values():
            member.set_seeds(self.seeds)
        for gateway in self.gateways.values():
            gateway.set_seeds(self.seeds)

    def _start_soon(self, machine: Machine) -> None:
        self.simulator.after(self.simulator.random.uniform(0.0, START_WITHIN_S), machine.start)

    def _subscriber(self, name: str) -> FeedSubscriber[Configuration]:
        subscriber = self.gateways[name].subscriber
        if subscriber is None:
            raise ValueError(f"{name} was never started")
        return subscriber

    def _revision(self, name: str) -> int:
        if name in self.gateways:
            return self.gateways[name].revision
        program = self.members[name].program
        return program.parts.machine.configurations.revision if program is not None else 0

    def _leading(self) -> list[SimulatedMember]:
        return [
            member
            for member in self.members.values()
            if member.live and member.program is not None and member.program.parts.driver.is_leader
        ]

    def complete(self) -> bool:
        """Whether all members run, vote under the identities that their disks have, and agree."""
        leaders = self._leading()
        members = self.members.values()
        if not leaders or not all(member.live for member in members):
            return False
        nodes = [member.program.parts.driver.node for member in members if member.program is not None]
        newest = max(nodes, key=lambda node: node.term)
        voters = {one.id for one in newest.membership.members if one.voter}
        identities = {member.replica.identity for member in members if member.replica is not None}
        behind = newest.commit_index - min(node.commit_index for node in nodes)
        return voters == identities and len({node.term for node in nodes}) == 1 and behind == 0

    def _wanted_voters(self) -> int:
        """Voters that the newest leader's membership is meant to have; 0 without a leader."""
        leader = self.world.leader()
        return leader[1].membership.target_voters if leader is not None else 0

    def _voters(self) -> int:
        """Voters by the newest leader's membership; 0 without a leader."""
        leaders = self._leading()
        if not leaders:
            return 0
        newest = max(leaders, key=term_of)
        assert newest.program is not None
        return sum(one.voter for one in newest.program.parts.driver.node.membership.members)

    # ------------------------------------------------------------ what holds at all times

    def _check(self) -> None:
        for member in self._leading():
            term = term_of(member)
            leader = self._leaders.setdefault(term, member.machine.name)
            self._must(leader == member.machine.name, f"{leader} and {member.machine.name} lead term {term}")
        for name, gateway in self.gateways.items():
            incarnation, before = self._revisions.get(name, (0, 0))
            now = gateway.revision
            back = incarnation == gateway.machine.incarnation and now < before
            self._must(not back, f"{name}: the configuration went back from {before} to {now}")
            self._revisions[name] = gateway.machine.incarnation, now
        self._must(not self.operator.lost, self.operator.lost)
        self._must(not self.history.wrong, self.history.wrong)
        for name, member in self.members.items():
            self._check_failures(name, member.loop)
        for name, gateway in self.gateways.items():
            self._check_failures(name, gateway.loop)

    def _look(self) -> None:
        for checker in self.checkers:
            wrong = checker.look(self.world)
            self._must(not wrong, wrong)
        self.simulator.after(LOOK_S, self._look)

    def _check_failures(self, name: str, loop: SimulatedLoop | None) -> None:
        if loop is not None and loop.failures:
            failure = loop.failures[0]
            raise Violation(
                f"{name}: {failure.get('message')}: {failure.get('exception')!r}"
            ) from failure.get("exception")

    def _must(self, holds: bool, what: str) -> None:
        if not holds:
            raise self._violation(what)
