"""Plays of member losses right after repairs, for groups of any size and any seed.

``python tests/support/membership_plays.py FIRST COUNT [PLAY...]`` plays seeds on 3, 5, 6 and 8 members. It
prints the failures and, for each kind of repair, the simulated seconds until another loss was tolerated.
"""

from __future__ import annotations

import sys
from collections.abc import Callable
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass, field

from mallowbeam.router.processes.logs import set_up_logging
from mallowbeam.router.rpc.messages_pb2 import Member, Membership
from mallowbeam.simulation.fleet import FleetPlayer, term_of
from mallowbeam.simulation.fleet_processes import SimulatedMember
from mallowbeam.simulation.scenario import ViolationError

SIZES = (3, 5, 6, 8)
REPAIR_TIMEOUT_S = 6.0  # seconds; far more than any repair may take
LEADER_TIMEOUT_S = 4.0  # seconds after losses that the group tolerates
ACCEPT_TIMEOUT_S = 8.0  # seconds for a configuration, as callers try members at random
CAUGHT_UP_ENTRIES = 8
BEGIN_S = 8.0


@dataclass
class Result:
    """Result of a play: the seconds that repairs took, by kind."""

    repairs: dict[str, list[float]] = field(default_factory=dict)


class GroupPlay:
    """A group of members in a simulation, driven step by step; raises ViolationError."""

    def __init__(self, size: int, seed: int) -> None:
        self.size = size
        names = " ".join(f"m{number}" for number in range(1, size + 1))
        self.player = FleetPlayer(
            f"seed {seed}\nmembers {names}\nat 2 put 1 on 0\n"
            f"by {BEGIN_S} expect taken 1\nat {BEGIN_S} expect voters {size}\n"
        )
        self.result = Result()
        self._revision = 1
        self._leaving: set[str] = set()  # received SIGTERM, so they no longer count
        self._checked: dict[str, tuple[Membership, bool]] = {}

    @property
    def tolerance(self) -> int:
        """Number of voters that may be lost at once."""
        return (self.size - 1) // 2

    def begin(self) -> None:
        """Start all members; from then on the number of voters is checked against the target."""
        self.player.play()
        self.player.simulator.check(self._check_voter_counts)

    # ------------------------------------------------------------ actions

    def wait(self, seconds: float) -> None:
        self.player.simulator.run_until(self.player.simulator.now + seconds)

    def leader(self) -> str:
        return self.player.names("leader")[0]

    def voters(self, excluding: tuple[str, ...] = ()) -> list[str]:
        """Names of live voters, the leader last."""
        leader = self.leader()
        ids = {member.id for member in self._membership() if member.voter}
        names = [
            name
            for name, member in self.player.members.items()
            if self._is_staying(name) and self._identity(member) in ids and name != leader
        ]
        return [name for name in [*names, leader] if name not in excluding]

    def terminate(self, name: str) -> None:
        self._leaving.add(name)
        self.player.do_terminate(name)

    def kill(self, name: str) -> None:
        self.player.do_kill(name)

    def wipe(self, name: str) -> None:
        """Erase the disk; the machine restarts within 0.3 s."""
        self.player.do_wipe(name)

    def start(self, name: str) -> None:
        self._leaving.discard(name)
        self.player.do_start(name)

    def add(self) -> str:
        """Add a machine, which becomes a learner."""
        name = f"m{len(self.player.members) + 1}"
        self.player.do_add(name)
        return name

    def wait_for_learners(self, *names: str) -> None:
        """Wait until these members are learners, and half a second more for them to catch up."""
        self._wait_until(lambda: all(self._is_learner(name) for name in names), 4.0, f"{names} stand by")
        self.wait(0.5)

    def wait_until_repaired(self, kind: str) -> None:
        """Wait until the group tolerates a further loss, and record how long that took."""
        before = self.player.simulator.now
        self._wait_until(self._is_repaired, REPAIR_TIMEOUT_S, f"repaired after {kind}")
        self.result.repairs.setdefault(kind, []).append(self.player.simulator.now - before)

    def wait_until_serving(self) -> None:
        """Wait until there is a leader and a configuration is accepted."""
        before = self.player.simulator.now
        self._wait_until(
            lambda: self._has_leader() and self.leader() not in self._leaving, LEADER_TIMEOUT_S, "a leader"
        )
        self._revision += 1
        number = str(self._revision)
        self.player.do_put(number, "on", str(self._revision - 1), "via", self.leader())
        self._wait_until(lambda: self.player.holds(("taken", number)), ACCEPT_TIMEOUT_S, f"taken {number}")
        self.result.repairs["a change taken again"] = [self.player.simulator.now - before]

    # ------------------------------------------------------------ conditions

    def _wait_until(self, condition: Callable[[], bool], within: float, description: str) -> None:
        simulator = self.player.simulator
        if simulator.run_while(lambda: not condition(), simulator.now + within):
            raise ViolationError(
                f"{simulator.now:.3f} s, seed {simulator.seed}: not {description} in time\n"
                f"{self.player.state()}"
            )

    def _has_leader(self) -> bool:
        return bool(self.player._live_leaders())

    def _leading_node(self):
        leading = self.player._live_leaders()
        return max(leading, key=term_of).program.parts.driver.node if leading else None

    def _membership(self) -> list[Member]:
        node = self._leading_node()
        return list(node.membership.members) if node is not None else []

    def _is_staying(self, name: str) -> bool:
        return self.player.members[name].live and name not in self._leaving

    @staticmethod
    def _identity(member: SimulatedMember) -> int:
        return member.replica.identity if member.replica is not None else 0

    def _is_learner(self, name: str) -> bool:
        identity = self._identity(self.player.members[name])
        return any(member.id == identity and not member.voter for member in self._membership())

    def _is_repaired(self) -> bool:
        """Whether the committed membership has its target number of voters, all live and up to date."""
        node = self._leading_node()
        if node is None or not node.membership_committed:
            return False
        live = {
            self._identity(member): member
            for name, member in self.player.members.items()
            if self._is_staying(name)
        }
        voters = [member.id for member in node.membership.members if member.voter]
        if len(voters) != node.membership.target_voters or not all(voter in live for voter in voters):
            return False
        min_index = node.commit_index - CAUGHT_UP_ENTRIES
        return all(live[voter].replica.last_index >= min_index for voter in voters)

    def _check_voter_counts(self) -> None:
        """A member's log never has more voters than its target, and a leader's log never fewer."""
        for name, member in self.player.members.items():
            if not member.live:
                continue
            driver = member.program.parts.driver
            membership, leads = driver.node.membership, driver.is_leader
            before = self._checked.get(name)
            if before is not None and before[0] is membership and before[1] is leads:
                continue
            self._checked[name] = membership, leads
            voters = sum(one.voter for one in membership.members)
            if voters > membership.target_voters or leads and voters != self.size:
                raise ViolationError(
                    f"{self.player.simulator.now:.3f} s, {name}: {voters} voters for "
                    f"a target of {membership.target_voters}, {self.size} machines"
                )


# ---------------------------------------------------------------- plays


def planned_then_loss(play: GroupPlay) -> None:
    """Planned replacement of as many voters as may be lost; right after it, as many are killed."""
    _replace_as_planned(play)
    play.wait(0.3)
    _kill_tolerated_voters(play)
    play.wait_until_serving()


def planned_then_wipe(play: GroupPlay) -> None:
    """Planned replacement of as many voters as may be lost; right after it, as many lose their disks."""
    _replace_as_planned(play)
    play.wait(0.3)
    for name in play.voters()[-play.tolerance :]:
        play.wipe(name)
    play.wait_until_repaired("wiped")
    play.wait_until_serving()


def losses_one_by_one(play: GroupPlay) -> None:
    """Voters, also the leader, lose their disks one by one, each as soon as the last is repaired."""
    for turn in range(4):
        voters = play.voters()
        play.wipe(voters[-1] if turn % 2 else voters[0])
        play.wait_until_repaired("wiped")
    _kill_tolerated_voters(play)
    play.wait_until_serving()


def leader_leaves(play: GroupPlay) -> None:
    """Planned replacement of two leaders in turn; then as many voters as may be lost are killed."""
    for _ in range(2):
        play.wait_for_learners(play.add())
        play.terminate(play.leader())
        play.wait_until_repaired("planned")
    _kill_tolerated_voters(play)
    play.wait_until_serving()


def loss_during_change(play: GroupPlay) -> None:
    """The leader is killed during a planned replacement; an additional learner replaces it."""
    play.wait_for_learners(play.add(), play.add())
    play.terminate(play.voters()[0])
    play.wait(play.player.simulator.random.uniform(0.0, 0.02))
    play.kill(play.leader() if play._has_leader() else play.voters()[0])
    play.wait_until_repaired("during a change")
    _kill_tolerated_voters(play)
    play.wait_until_serving()


def leaving_restarts(play: GroupPlay) -> None:
    """A member that left is restarted at once as a learner and replaces the next voter that is killed."""
    play.wait_for_learners(play.add())
    leaving_name = play.voters()[0]
    play.terminate(leaving_name)
    play.wait(play.player.simulator.random.uniform(0.0, 1.5))
    play.kill(leaving_name)
    play.start(leaving_name)
    play.wait_until_repaired("restarted")
    play.kill(play.voters(excluding=(leaving_name,))[0])
    play.wait_until_repaired("silent")
    _kill_tolerated_voters(play)
    play.wait_until_serving()


def silent_then_loss(play: GroupPlay) -> None:
    """A voter is killed and a learner replaces it; then as many voters as may be lost are killed."""
    play.wait_for_learners(play.add())
    play.kill(play.voters()[play.player.simulator.random.choice((0, -1))])
    play.wait_until_repaired("silent")
    _kill_tolerated_voters(play)
    play.wait_until_serving()


def dead_then_added(play: GroupPlay) -> None:
    """A voter is killed without a learner to replace it; a new machine joins three seconds later."""
    play.kill(play.voters()[0])
    play.wait(3.0)
    play.add()
    play.wait_until_repaired("added")
    _kill_tolerated_voters(play)
    play.wait_until_serving()


def roll(play: GroupPlay) -> None:
    """Rolling restart by SIGTERM, each member started again a second later, with a learner as a spare."""
    play.wait_for_learners(play.add())
    for name in list(play.player.members):
        play.terminate(name)
        play.wait(1.0)
        play.kill(name)
        play.start(name)
        play.wait(1.0)
        play.wait_until_repaired("rolled")
    _kill_tolerated_voters(play)
    play.wait_until_serving()


def _replace_as_planned(play: GroupPlay) -> None:
    play.wait_for_learners(*[play.add() for _ in range(play.tolerance)])
    for name in play.voters()[: play.tolerance]:
        play.terminate(name)
    play.wait_until_repaired("planned")


def _kill_tolerated_voters(play: GroupPlay) -> None:
    """Kill as many voters as may be lost at once, including the leader."""
    for name in play.voters()[-play.tolerance :]:
        play.kill(name)


PLAYS: dict[str, Callable[[GroupPlay], None]] = {
    play.__name__: play
    for play in (
        planned_then_loss,
        planned_then_wipe,
        losses_one_by_one,
        leader_leaves,
        loss_during_change,
        leaving_restarts,
        silent_then_loss,
        dead_then_added,
        roll,
    )
}


def run(name: str, size: int, seed: int) -> Result:
    """Run a play; a failure's note contains the command that repeats it."""
    try:
        play = GroupPlay(size, seed)
        play.begin()
        PLAYS[name](play)
        return play.result
    except Exception as error:
        error.add_note(f"{name}, {size} members: python tests/support/membership_plays.py {seed} 1 {name}")
        raise


def _outcome(case: tuple[str, int, int]) -> Result | str:
    try:
        return run(*case)
    except Exception as error:
        return f"{case}: {type(error).__name__}: {error}"


def main() -> int:
    """Run plays by the command line; return 1 if one fails."""
    first, count, *chosen = sys.argv[1:]
    seeds = range(int(first), int(first) + int(count))
    failed = 0
    with ProcessPoolExecutor(WORKERS, initializer=set_up_logging, initargs=("plays",)) as pool:
        for name in chosen or PLAYS:
            for size in SIZES:
                outcomes = list(pool.map(_outcome, [(name, size, seed) for seed in seeds]))
                failures = [outcome for outcome in outcomes if isinstance(outcome, str)]
                failed += len(failures)
                print(
                    f"{name}, {size} members: {len(failures)} of {len(outcomes)} failed; {_summary(outcomes)}"
                )
                print("".join(f"  {failure}\n" for failure in failures[:3]), end="", flush=True)
    return 1 if failed else 0


WORKERS = 4


def _summary(outcomes: list[Result | str]) -> str:
    repairs: dict[str, list[float]] = {}
    for outcome in outcomes:
        if isinstance(outcome, Result):
            for kind, times in outcome.repairs.items():
                repairs.setdefault(kind, []).extend(times)
    return ", ".join(
        f"{kind} {sum(times) / len(times):.2f} s, {max(times):.2f} at most" for kind, times in repairs.items()
    )


if __name__ == "__main__":
    sys.exit(main())
