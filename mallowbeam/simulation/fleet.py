"""Scenarios of the whole router fleet: members, gateways as far as their feeds, instances, and an operator.

Declarations, in this order: ``members M...`` (the first three are the seeds), ``gateways G...``,
``instances I...``. All start within 0.3 s. Besides the troubles of :mod:`mallowbeam.simulation.troubles`, in
which ``leader`` and ``followers`` name members too::

    at 1 put REVISION on BASED [via M]    the operator sends a configuration until there is a clear answer
    at 1 get [via M]                      the operator reads the configuration back
    at 1 drain I      delete I            an instance says that it leaves, or has ended
    at 1 call I M                         an instance's next call goes to this member
    at 1 launch-gateway G                 a new gateway
    at 1 launch I                         a new instance
    at 1 wipe M                           a member loses its disk, and starts again
    at 1 add M                            a new machine with an empty disk
    at 1 term M                           a member gets SIGTERM: it stops in order and its process ends

Conditions: ``leader``; ``no-leader``; ``voters N``; ``taken|refused|pending REVISION``;
``one-taken REVISION REVISION``; ``read REVISION``; ``acknowledged I`` (its drain or end);
``WHO revision N``; ``G ready``; ``G I ready|draining|absent``; ``G gateways N``.

At all times: each term has one leader at most, no gateway's configuration goes back, what was acknowledged is
read back, what a gateway begins with is not old (its first configuration, and the one with which it becomes
ready), and no task of a process fails unhandled.
"""

from __future__ import annotations

from collections.abc import Sequence

from mallowbeam.configuration.model import Configuration
from mallowbeam.feed.subscriber import FeedSubscriber
from mallowbeam.simulation.dialing import Streams
from mallowbeam.simulation.fleet_callers import Operator, SimulatedInstance
from mallowbeam.simulation.fleet_processes import SimulatedGateway, SimulatedMember, settings_of
from mallowbeam.simulation.loop import SimulatedLoop
from mallowbeam.simulation.machine import Machine
from mallowbeam.simulation.scenario import Violation
from mallowbeam.simulation.troubles import MachinesPlayer

SEEDS = 3
START_WITHIN_S = 0.3
OLD_AFTER_S = 3.0           # a configuration is old so long after the acknowledgement of a newer one


def term_of(member: SimulatedMember) -> int:
    """The term of a live member."""
    assert member.program is not None
    return member.program._driver.node.term


class FleetPlayer(MachinesPlayer):
    """Plays scenarios of the fleet."""

    def prepare(self) -> None:
        """Make the operator and the tables of processes."""
        super().prepare()
        self.streams = Streams(self.network)
        self.members: dict[str, SimulatedMember] = {}
        self.gateways: dict[str, SimulatedGateway] = {}
        self.instances: dict[str, SimulatedInstance] = {}
        self.operator = Operator(self._new_machine("operator", ""), self.network, self.members)
        self.operator.machine.start()
        self._leaders: dict[int, str] = {}     # by term
        self._revisions: dict[str, tuple[int, int]] = {}   # gateways: incarnation and revision last seen
        self._ready: dict[str, int] = {}       # gateways: incarnation in which they became ready
        self._acknowledged: list[tuple[float, int]] = []   # when each revision was, oldest first
        self.simulator.check(self._check)

    # ------------------------------------------------------------ declarations

    def declare_members(self, *names: str) -> None:
        """The first members, of which some are the seeds."""
        ips = [f"10.0.0.{number}" for number in range(1, len(names) + 1)]
        self.seeds = ips[:SEEDS]
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

    def do_put(self, revision: str, on: str, based_on: str, via: str = "", member: str = "") -> None:
        """Send a configuration."""
        if on != "on" or (via and via != "via"):
            raise ValueError("needs put REVISION on BASED [via M]")
        self.operator.put(int(revision), int(based_on), self.names(member)[0] if member else "")

    def do_get(self, via: str = "", member: str = "") -> None:
        """Read the configuration back."""
        if via and via != "via":
            raise ValueError("needs get [via M]")
        self.operator.get(self.names(member)[0] if member else "")

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
                return all(self._is_ready(name) for name in self.names(who))
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
            node = member.program._driver.node
            voters = sum(one.voter for one in node.membership.members)
            lines.append(f"{name}: {node.role.value}, term {node.term}, commit {node.commit_index}, "
                         f"{voters} of {len(node.membership.members)} vote")
        return "\n".join(lines)

    # ------------------------------------------------------------ the parts

    def _new_machine(self, name: str, group: str, ip: str = "", disk: bool = False) -> Machine:
        return self.add_machine(name, group=group, disk=disk, ip=ip or f"10.1.0.{len(self.network.machines)}")

    def _add_member(self, name: str, ip: str, bootstrap: bool) -> None:
        machine = self._new_machine(name, "members", ip, disk=True)
        settings = settings_of(name, ip, self.seeds, member=True, bootstrap=bootstrap)
        self.members[name] = SimulatedMember(machine, self.streams, self.disks[name], settings)
        self._start_soon(machine)

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
        return program._machine.configurations.revision if program is not None else 0

    def _leading(self) -> list[SimulatedMember]:
        return [member for member in self.members.values()
                if member.live and member.program is not None and member.program._driver.is_leader]

    def complete(self) -> bool:
        """Whether all members run, vote under the identities that their disks have, and agree."""
        leaders = self._leading()
        members = self.members.values()
        if not leaders or not all(member.live for member in members):
            return False
        nodes = [member.program._driver.node for member in members if member.program is not None]
        newest = max(nodes, key=lambda node: node.term)
        voters = {one.id for one in newest.membership.members if one.voter}
        identities = {member.replica.identity for member in members if member.replica is not None}
        behind = newest.commit_index - min(node.commit_index for node in nodes)
        return voters == identities and len({node.term for node in nodes}) == 1 and behind == 0

    def _voters(self) -> int:
        """Voters by the newest leader's membership; 0 without a leader."""
        leaders = self._leading()
        if not leaders:
            return 0
        newest = max(leaders, key=term_of)
        assert newest.program is not None
        return sum(one.voter for one in newest.program._driver.node.membership.members)

    # ------------------------------------------------------------ what holds at all times

    def _check(self) -> None:
        if not self._acknowledged or self._acknowledged[-1][1] != self.operator.acknowledged:
            self._acknowledged.append((self.simulator.now, self.operator.acknowledged))
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
            if now > 0 and (before == 0 or incarnation != gateway.machine.incarnation):
                self._check_not_old(name, now, "is first told")
            if gateway.machine.running and self._became_ready(name):
                self._check_not_old(name, now, "becomes ready with")
        self._must(not self.operator.lost, self.operator.lost)
        for name, member in self.members.items():
            self._check_failures(name, member.loop)
        for name, gateway in self.gateways.items():
            self._check_failures(name, gateway.loop)

    def _became_ready(self, name: str) -> bool:
        """Whether a gateway is ready now and was not before in this life of its process."""
        incarnation = self.gateways[name].machine.incarnation
        if self._ready.get(name) == incarnation or not self._is_ready(name):
            return False
        self._ready[name] = incarnation
        return True

    def _is_ready(self, name: str) -> bool:
        """Whether a gateway is ready; one that was not started yet is not."""
        gateway = self.gateways[name]
        return gateway.subscriber is not None and gateway.subscriber.ready(gateway.machine.clock())

    def _check_not_old(self, name: str, revision: int, what: str) -> None:
        """No newer configuration was acknowledged long before."""
        now = self.simulator.now
        known = max((told for at, told in self._acknowledged if at < now - OLD_AFTER_S), default=0)
        self._must(revision >= known, f"{name} {what} revision {revision}, {known} was acknowledged")

    def _check_failures(self, name: str, loop: SimulatedLoop | None) -> None:
        if loop is not None and loop.failures:
            failure = loop.failures[0]
            raise Violation(f"{name}: {failure.get('message')}: {failure.get('exception')!r}") \
                from failure.get("exception")

    def _must(self, holds: bool, what: str) -> None:
        if not holds:
            raise self._violation(what)
