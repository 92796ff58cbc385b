"""Random schedules of faults for a group of Raft members, each generated from one seed.

``python tests/support/consensus_walker.py FIRST COUNT`` plays COUNT seeds and prints those that fail.
"""

from __future__ import annotations

import sys
from dataclasses import dataclass
from random import Random

from consensus_checkers import Violation
from consensus_machine import Machine
from consensus_world import World, with_member, with_replaced_voters, with_voter, without_member

from mallowbeam.router.consensus.interface import RaftSettings
from mallowbeam.router.consensus.membership import quorum_of, voters_of
from mallowbeam.router.consensus.progress import ProgressState
from mallowbeam.router.rpc.messages_pb2 import Membership

FAULT_DURATION_S = 5.0  # faults are injected during this time
RECOVERY_TIMEOUT_S = 8.0  # time to recover after all faults are repaired
CLIENT_INTERVAL_S = 0.05  # mean time between two client operations
FAULTS = (
    "kill",
    "power_off",
    "start",
    "start",
    "freeze",
    "thaw",
    "thaw",
    "cut",
    "cut_one_way",
    "isolate",
    "heal",
    "heal",
    "slow_disk",
    "stall_disk",
    "repair_disk",
    "repair_disk",
    "compact",
    "compact",
    "transfer",
    "add",
    "promote",
    "demote",
    "remove",
    "replace",
    "replace",
    "replace_at_once",
    "wipe",
    "power_off_all",
)


@dataclass(frozen=True)
class Outcome:
    """Totals of one schedule."""

    seed: int
    acknowledged: int
    reads_confirmed: int
    terms: int
    snapshots: int
    changes: int


class Walk:
    """One random schedule."""

    def __init__(self, seed: int) -> None:
        self.seed = seed
        self.random = Random(seed)
        settings = self._draw_settings()
        self.world = World(
            seed,
            voters=self.random.choice((1, 2, 3, 3, 3, 4, 5, 5, 8)),
            learners=self.random.choice((0, 0, 1)),
            settings=settings,
        )
        self._configure_network()
        self.world.batch_probability = self.random.choice((0.0, 0.5, 0.9))
        for machine in self.world.machines.values():
            machine.clock_rate = self.random.uniform(0.9, 1.1)
        self.faults = {name: getattr(self, f"_{name}") for name in FAULTS}
        self.mean_fault_interval_s = self.random.choice((0.1, 0.3, 0.6))

    def _draw_settings(self) -> RaftSettings:
        transfers = Random(f"transfers {self.seed}")
        if self.random.random() < 0.3:
            return RaftSettings(member_id=0)
        return RaftSettings(
            member_id=0,
            max_entries_per_message=self.random.randint(1, 4),
            max_bytes_per_message=40,
            max_inflight_messages=self.random.randint(1, 4),
            trailing_entries=self.random.randint(0, 4),
            chunk_retry_timeout=0.5,
            trailing_bytes=transfers.choice((20, 1000)),
            max_inflight_bytes=transfers.choice((40, 1000)),
            snapshot_preferred_bytes=transfers.choice((0, 1000)),
            chunked_entry_bytes=transfers.choice((10, 1000)),
            chunk_bytes=transfers.choice((4, 1000)),
            chunk_window_bytes=8,
        )

    def _configure_network(self) -> None:
        network = self.world.network
        if self.random.random() < 0.5:
            network.delay = (0.0005, self.random.choice((0.003, 0.02, 0.1)))
            network.loss = self.random.choice((0.0, 0.05, 0.2))
            network.duplicates = self.random.choice((0.0, 0.1))
            network.reordered = self.random.random() < 0.5

    def play(self) -> Outcome:
        """Inject faults, repair them and wait for recovery; raises Violation."""
        self.world.at(0.3, self._client)
        self.world.at(0.5, self._inject_fault)
        self.world.run(FAULT_DURATION_S)
        self._repair_all()
        self._wait_for_recovery()
        self.world.checkers.check_logs_match()
        checkers = self.world.checkers
        snapshots = sum(machine.installed for machine in self.world.machines.values())
        changes = sum(entry.kind == 2 for entry in checkers.committed)
        return Outcome(
            self.seed,
            checkers.acknowledged,
            checkers.reads_confirmed,
            len(checkers.leaders),
            snapshots,
            changes,
        )

    # ------------------------------------------------------------ clients

    def _client(self) -> None:
        machines = list(self.world.machines.values())
        leaders = [machine for machine in machines if machine.is_leader]
        machine = self.random.choice(leaders or machines)
        if self.random.random() < 0.6:
            self.world.propose(machine)
        else:
            self.world.read(machine)
        self.world.at(self.world.now + self.random.expovariate(1 / CLIENT_INTERVAL_S), self._client)

    # ------------------------------------------------------------ faults

    def _inject_fault(self) -> None:
        if self.world.now >= FAULT_DURATION_S:
            return
        self.faults[self.random.choice(FAULTS)](self._random_machine())
        self.world.at(
            self.world.now + self.random.expovariate(1 / self.mean_fault_interval_s), self._inject_fault
        )

    def _random_machine(self) -> Machine:
        leader = self.world.leader()
        if leader is not None and self.random.random() < 0.4:
            return leader
        return self.random.choice(list(self.world.machines.values()))

    def _kill(self, machine: Machine) -> None:
        machine.crash()

    def _power_off(self, machine: Machine) -> None:
        machine.crash(durable_writes=0)

    def _power_off_all(self, machine: Machine) -> None:
        for each in self.world.machines.values():
            each.crash(durable_writes=0)
        for each in self.world.machines.values():
            self.world.at(self.world.now + self.random.uniform(0.0, 0.5), each.start)

    def _start(self, machine: Machine) -> None:
        for each in self.world.machines.values():
            each.start()

    def _freeze(self, machine: Machine) -> None:
        machine.freeze()

    def _thaw(self, machine: Machine) -> None:
        for each in list(self.world.machines.values()):
            each.thaw()

    def _cut(self, machine: Machine) -> None:
        self.world.disconnect(machine.member_id, self._random_machine().member_id)

    def _cut_one_way(self, machine: Machine) -> None:
        self.world.disconnect(machine.member_id, self._random_machine().member_id, both=False)

    def _isolate(self, machine: Machine) -> None:
        self.world.isolate(machine.member_id)

    def _heal(self, machine: Machine) -> None:
        self.world.heal()

    def _slow_disk(self, machine: Machine) -> None:
        machine.latency = (0.05, 0.4)

    def _stall_disk(self, machine: Machine) -> None:
        machine.stall()

    def _repair_disk(self, machine: Machine) -> None:
        for each in self.world.machines.values():
            each.latency = (0.002, 0.006)
            each.unstall()

    def _compact(self, machine: Machine) -> None:
        machine.compact()

    def _transfer(self, machine: Machine) -> None:
        machine.transfer(self.random.choice((None, self._random_machine().member_id)))

    # ------------------------------------------------------------ membership

    def _add(self, machine: Machine) -> None:
        if len(self.world.machines) < 9:
            self._join(self.world.add_machine(self.world.next_id))

    def _join(self, joiner: Machine) -> None:
        joiner.clock_rate = self.random.uniform(0.9, 1.1)
        joiner.clock_offset = (1 - joiner.clock_rate) * self.world.now
        member_id = joiner.member_id
        self.world.change(
            lambda membership: any(member.id == member_id for member in membership.members),
            lambda membership: with_member(membership, member_id, voter=False),
            FAULT_DURATION_S,
        )

    def _learners(self) -> list[int]:
        members = self.world.checkers.membership.members
        learners = [member.id for member in members if not member.voter]
        return [learner for learner in learners if learner in self.world.machines]

    def _promote(self, machine: Machine) -> None:
        learners = self._learners()
        if learners and machine.is_leader:
            chosen = self.random.choice(learners)
            membership = machine.node.membership
            added = self.random.random() < 0.4
            changed = with_voter(membership, chosen) if added else with_member(membership, chosen, True)
            self._change(machine, changed)

    def _demote(self, machine: Machine) -> None:
        voters = sorted(voters_of(self.world.checkers.membership))
        if len(voters) > 2 and machine.is_leader:
            chosen = self.random.choice(voters)
            self._change(machine, with_member(machine.node.membership, chosen, voter=False))

    def _remove(self, machine: Machine) -> None:
        members = [member.id for member in self.world.checkers.membership.members]
        if len(members) > 2 and machine.is_leader:
            chosen = self.random.choice(members)
            self._change(machine, without_member(machine.node.membership, chosen))

    def _replace(self, machine: Machine) -> None:
        """Replace voters, possibly the leader, by as many learners in one joint change."""
        leader = self.world.leader()
        if leader is None:
            return
        membership = leader.node.membership
        learners, voters = self._learners(), sorted(voters_of(membership))
        count = self.random.randint(1, min(len(learners), len(voters), 3)) if learners else 0
        if count:
            replaced_voters, added_voters = (
                self.random.sample(voters, count),
                self.random.sample(learners, count),
            )
            self._change(leader, with_replaced_voters(membership, replaced_voters, added_voters))
            soon = self.world.now + self.random.uniform(0.0, 0.03)
            self.world.at(soon, self.random.choice((self._compact_all, lambda: None)))

    def _compact_all(self) -> None:
        """Take a snapshot on each member, on some while the latest applied membership is joint."""
        for each in self.world.machines.values():
            each.compact()

    def _replace_at_once(self, machine: Machine) -> None:
        """Change two voters at once without a joint change, which the core must reject."""
        voters = sorted(voters_of(self.world.checkers.membership))
        learners = self._learners()
        if machine.is_leader and learners and len(voters) > 2:
            changed = with_member(machine.node.membership, learners[0], voter=True)
            self._change(machine, without_member(changed, self.random.choice(voters)))

    def _change(self, machine: Machine, membership: Membership) -> None:
        """Propose a change only if a majority keeps its disks: the leader may not know of a wiped one yet."""
        if self._majority_remains(membership, lost=None):
            machine.change_membership(membership)

    def _majority_remains(self, membership: Membership, lost: int | None) -> bool:
        quorum = quorum_of(membership)
        return quorum.is_quorum(self.world.machines.keys() - {lost})

    def _wipe(self, machine: Machine) -> None:
        """Wipe a machine only if a majority keeps its disks in every membership that may be in force."""
        remains = [
            self._majority_remains(membership, machine.member_id) for membership in self._memberships()
        ]
        if all(remains):
            self._join(self.world.wipe(machine.member_id))

    def _memberships(self):
        yield self.world.checkers.membership
        for machine in self.world.machines.values():
            if machine.node is not None and machine.node.membership.members:
                yield machine.node.membership
            yield from machine.disk.memberships()

    # ------------------------------------------------------------ the end

    def _repair_all(self) -> None:
        network = self.world.network
        network.loss, network.duplicates, network.reordered = 0.0, 0.0, False
        network.delay = (0.0005, 0.003)
        self._heal(None)
        self._repair_disk(None)
        self._start(None)
        self._thaw(None)

    def _wait_for_recovery(self) -> None:
        """Wait until all members have the same log and writes and reads succeed."""
        world = self.world
        reads = world.checkers.reads_confirmed
        acknowledged = world.checkers.acknowledged
        until = FAULT_DURATION_S + RECOVERY_TIMEOUT_S

        def not_recovered() -> bool:
            serves_clients = (
                world.checkers.reads_confirmed > reads and world.checkers.acknowledged > acknowledged
            )
            return not (serves_clients and self._has_converged())

        if world.run_while(not_recovered, until):
            raise Violation("recovery", "the group has not recovered in time")

    def _has_converged(self) -> bool:
        world = self.world
        leader = world.leader()
        if leader is None:
            return False
        members = [member.id for member in leader.node.membership.members if member.id in world.machines]
        progress = leader.node._leader._progress
        states = [progress[member].state for member in members if member in progress]
        lags = [leader.applied_index - world.machines[member].applied_index for member in members]
        return max(lags) <= 5 and all(state is ProgressState.REPLICATE for state in states)


def play(seed: int) -> Outcome:
    """Play one seed; a failure's note contains the seed."""
    try:
        return Walk(seed).play()
    except Exception as error:
        error.add_note(f"consensus walk, seed {seed}: python tests/support/consensus_walker.py {seed} 1")
        raise


def main() -> None:
    first, number = int(sys.argv[1]), int(sys.argv[2])
    failed = 0
    totals = [0] * 5
    for seed in range(first, first + number):
        try:
            outcome = Walk(seed).play()
        except Exception as error:
            failed += 1
            print(f"seed {seed}: {type(error).__name__}: {error}", flush=True)
            continue
        counts = (
            outcome.acknowledged,
            outcome.reads_confirmed,
            outcome.terms,
            outcome.snapshots,
            outcome.changes,
        )
        totals = [total + value for total, value in zip(totals, counts, strict=True)]
    print(
        f"{number} schedules from seed {first}: {failed} failed; acknowledged writes {totals[0]}, "
        f"confirmed reads {totals[1]}, terms with a leader {totals[2]}, snapshots installed {totals[3]}, "
        f"committed memberships {totals[4]}"
    )
    sys.exit(1 if failed else 0)


if __name__ == "__main__":
    main()
