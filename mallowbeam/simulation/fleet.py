"""Scenarios of the whole router fleet: members, gateways that run only their feed, instances and operators.

Declarations, in this order: ``members M...`` (the first three are the seeds), ``gateways G...``,
``instances I...``. All start within 0.3 s. Besides the
commands of :mod:`mallowbeam.simulation.machine_scenarios`, in which ``leader`` and ``followers`` also denote
members, there are these commands::

    at 1 put REVISION on BASED [via M] [by NAME]   an operator submits a configuration, to member M first,
                                          and retries until it gets a final answer
    at 1 get [via M]                      the operator reads the configuration back
    at 1 again REVISION                   the operator submits an accepted configuration again
    at 1 call I M                         an instance sends its next request to this member
    at 1 launch-gateway G                 add and start a gateway
    at 1 seeds WHO M...                   the settings of gateways or members name these seeds
    at 1 lose-answers NAME RATE           answers to an operator are lost with this probability
    at 1 drain I      delete I            an instance reports that it is draining, or that it ends
    at 1 launch I                         add and start an instance
    at 1 wipe M                           a member loses its disk and is restarted
    at 1 add M                            add and start a member with an empty disk
    at 1 operator NAME                    add an operator, for `put ... by NAME`
    at 1 term M                           a member gets SIGTERM and shuts down gracefully

Conditions: ``leader``; ``no-leader``; ``voters N``; ``voters complete``; ``taken|refused|pending REVISION``;
``one-taken REVISION REVISION``; ``read REVISION``; ``acknowledged I`` (its drain or end);
``WHO revision N``; ``G ready``; ``G I ready|draining|absent``; ``G gateways N``.

Invariants of every scenario: a term has at most one leader, the configuration revision of a gateway never
decreases while its process runs, an acknowledged configuration is read back, no task of a process raises an
unhandled exception, and the checks of
:mod:`mallowbeam.simulation.fleet_history` and :data:`mallowbeam.simulation.fleet_checkers.ALWAYS` pass.
"""

from __future__ import annotations

from collections.abc import Container, Sequence

from mallowbeam.router.configuration.model import Configuration
from mallowbeam.router.feed.subscriber import FeedSubscriber
from mallowbeam.simulation.dialing import Streams
from mallowbeam.simulation.fleet_callers import SimulatedInstance
from mallowbeam.simulation.fleet_checkers import (
    ALWAYS,
    CHECK_INTERVAL_S,
    Checker,
    MajorityReachMonitor,
    World,
)
from mallowbeam.simulation.fleet_history import History
from mallowbeam.simulation.fleet_operators import Operator, OrderState
from mallowbeam.simulation.fleet_processes import SimulatedGateway, SimulatedMember, settings_of
from mallowbeam.simulation.loop import SimulatedLoop
from mallowbeam.simulation.machine import Machine
from mallowbeam.simulation.machine_scenarios import MachinesPlayer
from mallowbeam.simulation.scenario import ViolationError

SEEDS = 3  # members that settings name as seeds
START_WITHIN_S = 0.3  # longest random delay before a machine starts


def term_of(member: SimulatedMember) -> int:
    """The Raft term of a live member."""
    assert member.program is not None
    return member.program.parts.driver.node.term


class FleetPlayer(MachinesPlayer):
    """Plays scenarios of the fleet and checks its invariants."""

    def prepare(self) -> None:
        """Create the network, the first operator and the checkers."""
        super().prepare()
        self.streams = Streams(self.network)
        self.members: dict[str, SimulatedMember] = {}
        self.gateways: dict[str, SimulatedGateway] = {}
        self.instances: dict[str, SimulatedInstance] = {}
        self.history = History()
        self.target_size = 0  # number of members that the fleet should have
        self.world = World(self.network, self.members, self.gateways, self.history, lambda: self.target_size)
        self.checkers: list[Checker] = [checker() for checker in ALWAYS]
        self.operators: dict[str, Operator] = {}
        self.do_operator("operator")
        self.operator = self.operators["operator"]
        self._leaders: dict[int, str] = {}  # by term
        self._revisions: dict[str, tuple[int, int]] = {}  # by gateway: last incarnation and revision
        self.simulator.check(self._check_processes)
        self.simulator.after(CHECK_INTERVAL_S, self._run_checkers)

    # ------------------------------------------------------------ declarations

    def declare_members(self, *names: str) -> None:
        """Add the first members; the first :data:`SEEDS` of them are the seeds."""
        ips = [f"10.0.0.{number}" for number in range(1, len(names) + 1)]
        self.seeds = ips[:SEEDS]
        self.target_size = len(names)
        for name, ip in zip(names, ips, strict=True):
            self._add_member(name, ip, bootstrap=True)

    def declare_gateways(self, *names: str) -> None:
        """Add the first gateways."""
        for name in names:
            self.do_launch_gateway(name)

    def declare_instances(self, *names: str) -> None:
        """Add the first instances."""
        for name in names:
            self.do_launch(name)

    def names(self, target: str) -> list[str]:
        """Names of a machine, a group, the newest term's leader or its followers; raises LookupError."""
        if target not in ("leader", "followers"):
            return super().names(target)
        leaders = self._live_leaders()
        if not leaders:
            raise LookupError("no member is the leader")
        leader = max(leaders, key=term_of).machine.name
        return [leader] if target == "leader" else [name for name in self.members if name != leader]

    # ------------------------------------------------------------ commands

    def do_operator(self, name: str) -> None:
        """Add an operator."""
        operator = Operator(self._new_machine(name, ""), self.network, self.members, self.history)
        operator.machine.start()
        self.operators[name] = operator

    def do_put(self, revision: str, on: str, based_on: str, *more: str) -> None:
        """Submit a configuration."""
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
        """Submit an accepted configuration again."""
        self.operator.send_again(int(revision))

    def do_lose_answers(self, name: str, loss_rate: str) -> None:
        """Set the probability that answers to an operator are lost."""
        self.operators[name].answer_loss = float(loss_rate)

    def do_seeds(self, target: str, *seeds: str) -> None:
        """Change the seeds of gateways or members."""
        ips = [self.network.machines[name].ip for seed in seeds for name in self.names(seed)]
        for name in self.names(target):
            process = self.gateways.get(name) or self.members[name]
            process.set_seeds(ips)

    def do_drain(self, name: str) -> None:
        """Drain an instance."""
        self.instances[name].drain()

    def do_delete(self, name: str) -> None:
        """End an instance."""
        self.instances[name].delete()

    def do_call(self, name: str, member: str) -> None:
        """Direct an instance's next request to a member."""
        self.instances[name].member = self.names(member)[0]

    def do_launch_gateway(self, name: str) -> None:
        """Add and start a gateway."""
        machine = self._new_machine(name, "gateways")
        settings = settings_of(name, machine.ip, self.seeds, member=False, bootstrap=True)
        self.gateways[name] = SimulatedGateway(machine, self.streams, settings)
        self._start_soon(machine)

    def do_launch(self, name: str) -> None:
        """Add and start an instance."""
        machine = self._new_machine(name, "instances")
        self.instances[name] = SimulatedInstance(machine, self.network, self.members, f"{machine.ip}:8080")
        self._start_soon(machine)

    def do_wipe(self, name: str) -> None:
        """Turn members off, erase their disks and restart them."""
        for one in self.names(name):
            member = self.members[one]
            member.machine.power_off()
            member.wipe()
            self._start_soon(member.machine)

    def do_add(self, name: str) -> None:
        """Add and start a member on a new machine."""
        self._add_member(name, f"10.0.0.{len(self.members) + 1}", bootstrap=False)

    def do_terminate(self, *targets: str) -> None:
        """Send SIGTERM to members; `start` restarts them."""
        for target in targets:
            for name in self.names(target):
                self.members[name].terminate()

    # ------------------------------------------------------------ conditions

    def holds(self, words: Sequence[str]) -> bool:
        """Whether a condition from the module's docstring is true.

        Raises LookupError for an unknown name or without a leader, ValueError for an unknown condition.
        """
        for evaluate in (self._membership_condition, self._caller_condition, self._process_condition):
            result = evaluate(words)
            if result is not None:
                return result
        raise ValueError("unknown condition")

    def _membership_condition(self, words: Sequence[str]) -> bool | None:
        """Evaluate a condition on the leader or the voters; None for any other condition."""
        match words:
            case ("leader",):
                return bool(self._live_leaders())
            case ("no-leader",):
                return not self._live_leaders()
            case ("voters", "complete"):
                return self._voter_count() == self._target_voters() > 0
            case ("voters", number):
                return self._voter_count() == int(number)
        return None

    def _caller_condition(self, words: Sequence[str]) -> bool | None:
        """Evaluate a condition on answers to operators and instances; None for any other condition."""
        match words:
            case ("taken" | "refused" | "pending" as state, revision):
                return self.operator.orders[int(revision)].state is OrderState(state)
            case ("one-taken", *revisions):
                states = [self.operator.orders[int(revision)].state for revision in revisions]
                accepted = states.count(OrderState.ACCEPTED)
                return accepted == 1 and states.count(OrderState.REJECTED) == len(states) - 1
            case ("read", revision):
                return self.operator.read == int(revision)
            case ("acknowledged", name):
                return self.instances[name].retired_at is not None
        return None

    def _process_condition(self, words: Sequence[str]) -> bool | None:
        """Evaluate a condition on the state of members or gateways; None for any other condition."""
        match words:
            case (who, "revision", revision):
                return all(self._revision(name) == int(revision) for name in self.names(who))
            case (who, "gateways", number):
                return all(self._subscriber(name).gateways == int(number) for name in self.names(who))
            case (who, "ready"):
                return all(self.gateways[name].ready for name in self.names(who))
            case (who, instance, "ready" | "draining" | "absent" as state):
                return all(self.gateways[name].instance_state(instance) == state for name in self.names(who))
        return None

    def state(self) -> str:
        """Describe the members' Raft states, for the message of a violation."""
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

    # ------------------------------------------------------------ machines

    def _new_machine(self, name: str, group: str, ip: str = "", disk: bool = False) -> Machine:
        return self.add_machine(name, group=group, disk=disk, ip=ip or f"10.1.0.{len(self.network.machines)}")

    def _add_member(self, name: str, ip: str, bootstrap: bool) -> None:
        machine = self._new_machine(name, "members", ip, disk=True)
        settings = settings_of(name, ip, self.seeds, member=True, bootstrap=bootstrap)
        self.members[name] = SimulatedMember(machine, self.streams, self.disks[name], settings, self.history)
        self.members[name].check_reach = lambda: MajorityReachMonitor().check(self.world)
        self._start_soon(machine)

    def replace_seeds(self, removed: Container[str]) -> None:
        """Change the seeds in all settings to members that are not permanently removed."""
        remaining = [member.machine.ip for name, member in self.members.items() if name not in removed]
        self.seeds = remaining[:SEEDS]
        for member in self.members.values():
            member.set_seeds(self.seeds)
        for gateway in self.gateways.values():
            gateway.set_seeds(self.seeds)

    def _start_soon(self, machine: Machine) -> None:
        self.simulator.after(self.simulator.random.uniform(0.0, START_WITHIN_S), machine.start)

    def _subscriber(self, name: str) -> FeedSubscriber[Configuration]:
        subscriber = self.gateways[name].subscriber
        if subscriber is None:
            raise ValueError(f"gateway {name} has never been started")
        return subscriber

    def _revision(self, name: str) -> int:
        if name in self.gateways:
            return self.gateways[name].revision
        program = self.members[name].program
        return program.parts.state_machine.configurations.revision if program is not None else 0

    def _live_leaders(self) -> list[SimulatedMember]:
        return [
            member
            for member in self.members.values()
            if member.live and member.program is not None and member.program.parts.driver.is_leader
        ]

    def complete(self) -> bool:
        """Whether all members run, vote with the identity on their disk, and share term and commit index."""
        leaders = self._live_leaders()
        members = self.members.values()
        if not leaders or not all(member.live for member in members):
            return False
        nodes = [member.program.parts.driver.node for member in members if member.program is not None]
        newest = max(nodes, key=lambda node: node.term)
        voters = {one.id for one in newest.membership.members if one.voter}
        identities = {member.replica.identity for member in members if member.replica is not None}
        behind = newest.commit_index - min(node.commit_index for node in nodes)
        return voters == identities and len({node.term for node in nodes}) == 1 and behind == 0

    def _target_voters(self) -> int:
        """Target number of voters in the newest leader's membership; 0 without a leader."""
        leader = self.world.leader()
        return leader[1].membership.target_voters if leader is not None else 0

    def _voter_count(self) -> int:
        """Number of voters in the newest leader's membership; 0 without a leader."""
        leaders = self._live_leaders()
        if not leaders:
            return 0
        newest = max(leaders, key=term_of)
        assert newest.program is not None
        return sum(one.voter for one in newest.program.parts.driver.node.membership.members)

    # ------------------------------------------------------------ invariants

    def _check_processes(self) -> None:
        for member in self._live_leaders():
            term = term_of(member)
            leader = self._leaders.setdefault(term, member.machine.name)
            self._require(
                leader == member.machine.name, f"{leader} and {member.machine.name} lead term {term}"
            )
        for name, gateway in self.gateways.items():
            incarnation, before = self._revisions.get(name, (0, 0))
            now = gateway.revision
            back = incarnation == gateway.machine.incarnation and now < before
            self._require(not back, f"{name}: the configuration went back from {before} to {now}")
            self._revisions[name] = gateway.machine.incarnation, now
        self._require(not self.operator.lost, self.operator.lost)
        self._require(not self.history.violation, self.history.violation)
        for name, member in self.members.items():
            self._check_failures(name, member.loop)
        for name, gateway in self.gateways.items():
            self._check_failures(name, gateway.loop)

    def _run_checkers(self) -> None:
        for checker in self.checkers:
            violation = checker.check(self.world)
            self._require(not violation, violation)
        self.simulator.after(CHECK_INTERVAL_S, self._run_checkers)

    def _check_failures(self, name: str, loop: SimulatedLoop | None) -> None:
        if loop is not None and loop.failures:
            failure = loop.failures[0]
            raise ViolationError(
                f"{name}: {failure.get('message')}: {failure.get('exception')!r}"
            ) from failure.get("exception")

    def _require(self, satisfied: bool, message: str) -> None:
        if not satisfied:
            raise self._violation(message)
