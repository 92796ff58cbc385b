"""Raft scenarios from text files: a group of members, timed faults, and expectations.

Each line is one statement; ``#`` begins a comment. The first lines describe the group::

    group 3 voters 1 learners        seeds 1 10          set trailing_entries 4
    load every 0.02                  (a client writes at the leader and reads at each member in role leader)

The others are ``at SECONDS STATEMENT``. WHO is a member id, ``leader``, ``follower`` (the first running voter
that is not the leader), ``learner``, ``all``, or a name defined earlier by ``as NAME``:

    kill WHO | power-off WHO | start WHO | freeze WHO | thaw WHO       each optionally with: as NAME
    cut WHO WHO | cut-one-way FROM TO | isolate WHO | heal
    lose PROBABILITY | duplicate PROBABILITY | reorder | delay MIN MAX
    lag WHO SECONDS (extra delay of all messages to WHO)
    disk WHO MIN MAX | stall WHO | unstall WHO | wipe WHO (restarts under a new id) | compact WHO
    add | promote WHO (raises the target if necessary) | replace WHO by WHO (a joint change) | demote WHO
    remove WHO | transfer WHO or any | note term
    expect EXPECTATION [within SECONDS]

An expectation without ``within`` must hold immediately, one with it at some time before the timeout. See the
methods ``expect_...`` of `Player` for all expectations; those for large states and slow links are in
`consensus_bulk`.
"""

from __future__ import annotations

import shlex
from collections.abc import Callable
from dataclasses import dataclass, field, replace
from pathlib import Path

from consensus_bulk import BulkStatements
from consensus_checkers import Violation
from consensus_machine import Machine
from consensus_world import World, with_member, with_replaced_voters, with_voter, without_member
from project_paths import SCENARIOS as SCENARIO_FOLDER

from mallowbeam.router.consensus.interface import RaftSettings
from mallowbeam.router.consensus.membership import voters_of

CONSENSUS_SCENARIOS = SCENARIO_FOLDER / "consensus"
POLL_INTERVAL_S = 0.002
CHANGE_TIMEOUT_S = 30.0  # how long a membership change is retried
MAX_LAG_ENTRIES = 5  # maximum lag in entries at which a member counts as caught up


@dataclass(frozen=True)
class Statement:
    """One timed line."""

    line: int
    time: float
    words: tuple[str, ...]


@dataclass
class Scenario:
    """A parsed file."""

    name: str
    voters: int = 3
    learners: int = 0
    seeds: range = range(1, 2)
    settings: RaftSettings = field(default_factory=lambda: RaftSettings(member_id=0))
    load: float = 0.0
    statements: list[Statement] = field(default_factory=list)


def parse(path: Path) -> Scenario:
    """Read a file; raises ValueError for an invalid line."""
    scenario = Scenario(path.stem)
    for number, line in enumerate(path.read_text().splitlines(), 1):
        words = shlex.split(line, comments=True)
        if words:
            _parse_line(scenario, number, words)
    return scenario


def _parse_line(scenario: Scenario, number: int, words: list[str]) -> None:
    match words:
        case ["group", voters, "voters"]:
            scenario.voters = int(voters)
        case ["group", voters, "voters", learners, "learners"]:
            scenario.voters, scenario.learners = int(voters), int(learners)
        case ["seeds", first, last]:
            scenario.seeds = range(int(first), int(last) + 1)
        case ["set", name, value]:
            kind = type(getattr(scenario.settings, name))
            scenario.settings = replace(scenario.settings, **{name: kind(value)})
        case ["load", "every", seconds]:
            scenario.load = float(seconds)
        case ["at", time, *rest] if rest:
            scenario.statements.append(Statement(number, float(time), tuple(rest)))
        case _:
            raise ValueError(f"{scenario.name}, line {number}: invalid statement: {' '.join(words)}")


def play(scenario: Scenario, seed: int) -> World:
    """Play a scenario with one seed; raises Violation if an invariant or expectation does not hold."""
    try:
        return Player(scenario, seed).play()
    except Exception as error:
        error.add_note(f"consensus scenario {scenario.name}, seed {seed}")
        raise


class Player(BulkStatements):
    """Plays one scenario with one seed."""

    def __init__(self, scenario: Scenario, seed: int) -> None:
        self.scenario = scenario
        self.world = World(seed, scenario.voters, scenario.learners, scenario.settings)
        self.names: dict[str, int] = {}
        self.noted_term = 0
        self.end = 0.0

    def play(self) -> World:
        for statement in self.scenario.statements:
            self.end = max(self.end, statement.time + _within(statement.words))
            self.world.at(statement.time, lambda statement=statement: self._execute(statement))
        if self.scenario.load:
            self.world.at(0.0, self._load)
        self.world.run(self.end + 2 * POLL_INTERVAL_S)
        self.world.checkers.check_logs_match()
        return self.world

    def _load(self) -> None:
        leader = self.world.leader()
        if leader is not None:
            self.world.propose(leader)
        for machine in list(self.world.machines.values()):
            if machine.is_leader:
                self.world.read(machine)
        self.world.at(self.world.now + self.scenario.load, self._load)

    # ------------------------------------------------------------ statements

    def _execute(self, statement: Statement) -> None:
        verb, *words = statement.words
        if verb == "expect":
            self._expect(statement, words)
            return
        if "as" in words:
            *words, _, name = words
            self.names[name] = self._machine(words[0]).member_id
        getattr(self, "do_" + verb.replace("-", "_"))(*words)

    def _machines(self, who: str) -> list[Machine]:
        if who == "all":
            return list(self.world.machines.values())
        return [self._machine(who)]

    def _machine(self, who: str) -> Machine:
        return self.world.machines[self._id(who)]

    def _id(self, who: str) -> int:
        world = self.world
        if who in self.names:
            return self.names[who]
        leader = world.leader()
        if who == "leader":
            if leader is None:
                raise Violation("scenario", "there is no leader")
            return leader.member_id
        if who in ("follower", "learner"):
            voters = voters_of(world.checkers.membership)
            others = [
                machine.member_id
                for machine in world.machines.values()
                if machine.is_running and machine is not leader
            ]
            return next(other for other in others if (other in voters) == (who == "follower"))
        return int(who)

    def do_kill(self, who: str) -> None:
        for machine in self._machines(who):
            machine.crash()

    def do_power_off(self, who: str) -> None:
        for machine in self._machines(who):
            machine.crash(durable_writes=0)

    def do_start(self, who: str) -> None:
        for machine in self._machines(who):
            machine.start()

    def do_freeze(self, who: str) -> None:
        for machine in self._machines(who):
            machine.freeze()

    def do_thaw(self, who: str) -> None:
        for machine in self._machines(who):
            machine.thaw()

    def do_cut(self, one: str, other: str) -> None:
        self.world.disconnect(self._id(one), self._id(other))

    def do_cut_one_way(self, one: str, other: str) -> None:
        self.world.disconnect(self._id(one), self._id(other), both=False)

    def do_isolate(self, who: str) -> None:
        self.world.isolate(self._id(who))

    def do_heal(self) -> None:
        self.world.heal()

    def do_lose(self, fraction: str) -> None:
        self.world.network.loss = float(fraction)

    def do_duplicate(self, fraction: str) -> None:
        self.world.network.duplicates = float(fraction)

    def do_reorder(self) -> None:
        self.world.network.reordered = True

    def do_delay(self, minimum: str, maximum: str) -> None:
        self.world.network.delay = (float(minimum), float(maximum))

    def do_lag(self, who: str, seconds: str) -> None:
        self.world.network.extra_delays[self._id(who)] = float(seconds)

    def do_disk(self, who: str, minimum: str, maximum: str) -> None:
        for machine in self._machines(who):
            machine.latency = (float(minimum), float(maximum))

    def do_stall(self, who: str) -> None:
        for machine in self._machines(who):
            machine.stall()

    def do_unstall(self, who: str) -> None:
        for machine in self._machines(who):
            machine.unstall()

    def do_compact(self, who: str) -> None:
        for machine in self._machines(who):
            machine.compact()

    def do_wipe(self, who: str) -> None:
        """Wipe a machine's disk and add it as a learner under a new id, named `wiped`."""
        self._join(self.world.wipe(self._id(who)).member_id, "wiped")

    def do_add(self) -> None:
        """Add a new machine as a learner, named `added`."""
        self._join(self.world.add_machine(self.world.next_id).member_id, "added")

    def _join(self, member_id: int, name: str) -> None:
        self.names[name] = member_id
        self._change(
            lambda membership: member_id in [member.id for member in membership.members],
            lambda membership: with_member(membership, member_id, voter=False),
        )

    def do_promote(self, who: str) -> None:
        member_id = self._id(who)
        self._change(
            lambda membership: member_id in voters_of(membership),
            lambda membership: with_voter(membership, member_id),
        )

    def do_replace(self, who: str, by: str, successor: str) -> None:
        """Replace a voter by a learner in one joint change."""
        assert by == "by"
        replaced_voter, added_voter = self._id(who), self._id(successor)
        self._change(
            lambda membership: added_voter in voters_of(membership),
            lambda membership: with_replaced_voters(membership, [replaced_voter], [added_voter]),
        )

    def do_demote(self, who: str) -> None:
        member_id = self._id(who)
        self._change(
            lambda membership: member_id not in voters_of(membership),
            lambda membership: with_member(membership, member_id, voter=False),
        )

    def do_remove(self, who: str) -> None:
        member_id = self._id(who)
        self._change(
            lambda membership: member_id not in [member.id for member in membership.members],
            lambda membership: without_member(membership, member_id),
        )

    def _change(self, done: Callable, edit: Callable) -> None:
        self.world.change(done, edit, self.world.now + CHANGE_TIMEOUT_S)

    def do_transfer(self, who: str) -> None:
        target = None if who == "any" else self._id(who)
        self._machine("leader").transfer(target)

    def do_note(self, quantity: str) -> None:
        assert quantity == "term"
        self.noted_term = self._machine("leader").node.term

    # ------------------------------------------------------------ expectations

    def _expect(self, statement: Statement, words: list[str]) -> None:
        within = _within(statement.words)
        if within:
            words = words[:-2]
        until = statement.time + within
        name = next(
            name
            for name in (words[0] + "_" + words[1] if len(words) > 1 else "", words[0])
            if hasattr(self, "expect_" + name)
        )
        rest = words[len(name.split("_")) :]
        self._poll(getattr(self, "expect_" + name)(*rest), until, statement)

    def _poll(self, condition: Callable[[], bool], until: float, statement: Statement) -> None:
        if condition():
            return
        if self.world.now >= until:
            message = f"line {statement.line}: at {self.world.now:.3f} s, {' '.join(statement.words)}"
            raise Violation("scenario", message)
        self.world.at(
            min(until, self.world.now + POLL_INTERVAL_S), lambda: self._poll(condition, until, statement)
        )

    def expect_leader(self, *words: str) -> Callable[[], bool]:
        """``leader``, ``leader WHO`` or ``leader other than WHO``: it runs and has committed in its term."""
        member_id = self._id(words[-1]) if words else 0
        other = words[:2] == ("other", "than")

        def condition() -> bool:
            leader = self.world.leader()
            if leader is None or leader.node.freshness(leader.clock()) > 1.0:
                return False
            return not words or (leader.member_id == member_id) != other

        return condition

    def expect_no_leader(self) -> Callable[[], bool]:
        """No running member is the leader."""
        return lambda: self.world.leader() is None

    def expect_role(self, who: str, role: str) -> Callable[[], bool]:
        """``role WHO ROLE``, such as ``role 2 follower``."""
        machine = self._machine(who)
        return lambda: machine.node.role.value == role

    def expect_agree(self) -> Callable[[], bool]:
        """All running members have applied the leader's entries, except for at most `MAX_LAG_ENTRIES`."""
        return lambda: self._lag() <= MAX_LAG_ENTRIES

    def _lag(self) -> int:
        world = self.world
        leader = world.leader()
        if leader is None:
            return MAX_LAG_ENTRIES + 1
        members = [
            world.machines[member.id]
            for member in world.checkers.membership.members
            if member.id in world.machines
        ]
        return max(leader.applied_index - member.applied_index for member in members if member.is_running)

    def expect_noted_term(self) -> Callable[[], bool]:
        """The highest term of any member is the one that ``note term`` recorded."""
        machines = self.world.machines.values()
        return lambda: max(machine.node.term for machine in machines if machine.node) == self.noted_term

    def expect_voters(self, *who: str) -> Callable[[], bool]:
        """``voters WHO...``: the voters of the last committed membership."""
        wanted = {self._id(each) for each in who}
        return lambda: voters_of(self.world.checkers.membership) == wanted

    def expect_learners(self, *who: str) -> Callable[[], bool]:
        """``learners WHO...``: the learners of the last committed membership."""
        wanted = {self._id(each) for each in who}
        membership = self.world.checkers
        return lambda: {each.id for each in membership.membership.members if not each.voter} == wanted

    def expect_installed(self, who: str) -> Callable[[], bool]:
        """``installed WHO``: it has installed a leader's snapshot."""
        machine = self._machine(who)
        return lambda: machine.installed > 0

    def expect_write(self) -> Callable[[], bool]:
        """A write proposed to the current leader, or else the next one, is acknowledged."""
        before = self.world.checkers.acknowledged
        self._propose_once(self.end)
        return lambda: self.world.checkers.acknowledged > before

    def _propose_once(self, until: float) -> None:
        leader = self.world.leader()
        if leader is not None and self.world.propose(leader) or self.world.now > until:
            return
        self.world.at(self.world.now + POLL_INTERVAL_S, lambda: self._propose_once(until))

    def expect_stuck(self, seconds: str) -> Callable[[], bool]:
        """``stuck SECONDS``: no write is acknowledged for this time from now on; checked at its end."""
        before = self.world.checkers.acknowledged
        end = self.world.now + float(seconds)
        self.end = max(self.end, end)

        def check() -> None:
            if self.world.checkers.acknowledged != before:
                raise Violation("scenario", "a write was acknowledged although none may be")

        self.world.at(end, check)
        return lambda: True

    def expect_read_confirmed(self, who: str) -> Callable[[], bool]:
        """``read confirmed WHO``: a read requested from it now is confirmed."""
        confirmed = self.world.checkers.reads_confirmed
        self.world.read(self._machine(who))
        return lambda: self.world.checkers.reads_confirmed > confirmed

    def expect_read_refused(self, who: str) -> Callable[[], bool]:
        """``read refused WHO``: a read requested from it now is not confirmed."""
        rejected = self.world.checkers.reads_rejected
        self.world.read(self._machine(who))
        return lambda: self.world.checkers.reads_rejected > rejected

    def expect_freshness_below(self, who: str, seconds: str) -> Callable[[], bool]:
        """``freshness below WHO SECONDS``."""
        machine = self._machine(who)
        return lambda: machine.node.freshness(machine.clock()) < float(seconds)

    def expect_freshness_above(self, who: str, seconds: str) -> Callable[[], bool]:
        """``freshness above WHO SECONDS``."""
        machine = self._machine(who)
        return lambda: machine.node.freshness(machine.clock()) > float(seconds)


def _within(words: tuple[str, ...]) -> float:
    return float(words[-1]) if len(words) > 2 and words[-2] == "within" else 0.0
