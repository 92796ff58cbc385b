"""Invariants of a simulated group, checked after each event; `Violation` carries the checker's name."""

from __future__ import annotations

from dataclasses import dataclass
from itertools import combinations, product
from typing import TYPE_CHECKING
from zlib import crc32

from mallowbeam.router.consensus.interface import ReadResult, Send
from mallowbeam.router.consensus.membership import voters_of
from mallowbeam.router.consensus.node import Role
from mallowbeam.router.rpc.messages_pb2 import COMMAND, MEMBERSHIP, Entry, Membership

if TYPE_CHECKING:
    from consensus_machine import Machine
    from consensus_world import World


class Violation(AssertionError):
    """An invariant or an expectation does not hold."""

    def __init__(self, checker: str, message: str) -> None:
        super().__init__(f"{checker}: {message}")
        self.checker = checker


@dataclass(frozen=True)
class AppliedState:
    """State of a state machine: the number of applied commands and a digest of them in order."""

    count: int = 0
    digest: int = 0

    def after(self, entry: Entry) -> AppliedState:
        if entry.kind != COMMAND:
            return self
        return AppliedState(self.count + 1, crc32(entry.payload, self.digest))

    def to_bytes(self, size: int = 0) -> bytes:
        """Encode as a snapshot's state of about `size` bytes; truncated or mixed states are detected."""
        line = f"{self.count} {self.digest}\n".encode()
        return line + (line * (size // len(line)) if size else b"")

    @classmethod
    def of_bytes(cls, state: bytes) -> AppliedState:
        if not state:
            return cls()
        line = state[: state.find(b"\n") + 1]
        numbers = line.split()
        if len(numbers) != 2 or state != line * (len(state) // len(line)):
            raise Violation("state machine", "a snapshot's state is incomplete or mixed")
        return cls(*map(int, numbers))


@dataclass
class Operation:
    """A client's write or read.  `committed_before`: commands known to be committed when it was invoked."""

    committed_before: int
    invoked: float


def quorums_overlap(before: Membership, after: Membership) -> bool:
    """Return whether each quorum of one membership shares a voter with each quorum of the other.

    Implemented independently of the core's rules, by trying all minimal quorums.  A quorum is a majority of
    each set of voters; if the minimal quorums overlap, larger ones do too.
    """
    return not any(
        quorum.isdisjoint(other) for quorum in _minimal_quorums(before) for other in _minimal_quorums(after)
    )


def _voter_sets(membership: Membership) -> list[list[int]]:
    """The voters and, during a joint change, the outgoing voters."""
    sets = [[member.id for member in membership.members if member.voter], list(membership.outgoing_voters)]
    return [voters for voters in sets if voters]


def _minimal_quorums(membership: Membership) -> set[frozenset[int]]:
    majorities = [
        [frozenset(chosen) for chosen in combinations(voters, len(voters) // 2 + 1)]
        for voters in _voter_sets(membership)
    ]
    return {frozenset().union(*chosen) for chosen in product(*majorities)}


class Checkers:
    """All checkers of one world; they observe members' outputs and inspect the disks."""

    def __init__(self, world: World, first_index: int, first_membership: Membership) -> None:
        self.world = world
        self.first_index = first_index
        self.committed: list[Entry] = []  # all committed entries after the first index
        self.commit_terms: list[int] = []  # term of the leader that committed each of them
        self.states = [AppliedState()]  # initial state, then the state after each committed entry
        self.membership = first_membership  # the last committed one
        self.memberships = [(first_index, first_membership)]  # all committed ones with their index
        self.leaders: dict[int, int] = {}  # member id by term
        self.last_commit_indexes: dict[tuple[int, int], int] = {}  # by member and incarnation
        self.last_terms: dict[tuple[int, int], int] = {}  # last log term, by member and incarnation
        self.known_committed = 0  # commands acknowledged, or observed by a completed read
        self.acknowledged = 0
        self.reads_confirmed = 0
        self.reads_rejected = 0

    # ------------------------------------------------------------ durability before sending

    def on_send(self, machine: Machine, send: Send) -> None:
        """Check an outgoing message: the state that it claims must be on the sender's disk."""
        message, disk = send.message, machine.disk
        kind = message.WhichOneof("body")
        if kind == "vote_response" and not message.vote_response.pre_vote:
            self._check_vote_durable(machine, send.recipient, message.vote_response)
        elif kind == "vote_request" and not message.vote_request.pre_vote:
            self._check_candidacy_durable(machine, message.vote_request.term)
        elif kind == "append_response":
            response = message.append_response
            if disk.hard_state.term < response.term:
                raise Violation(
                    "durable term",
                    f"{machine.member_id} responds in unwritten term {response.term}",
                )
            overtaken = disk.hard_state.term > response.term  # a later term was written by the same sync
            if response.success and disk.last_index < response.match_index and not overtaken:
                raise Violation(
                    "durable entries",
                    f"{machine.member_id} acknowledges {response.match_index}, "
                    f"its disk ends at {disk.last_index}",
                )

    def _check_candidacy_durable(self, machine: Machine, term: int) -> None:
        state = machine.disk.hard_state
        if state.term < term or state.term == term and state.vote != machine.member_id:
            raise Violation("durable vote", f"{machine.member_id} campaigns in term {term}, disk: {state}")

    def _check_vote_durable(self, machine: Machine, candidate: int, response) -> None:
        state = machine.disk.hard_state
        if state.term < response.term:
            raise Violation(
                "durable term",
                f"{machine.member_id} votes in unwritten term {response.term}",
            )
        if response.granted and state.term == response.term and state.vote != candidate:
            raise Violation("durable vote", f"{machine.member_id} votes for {candidate}, disk: {state}")

    # ------------------------------------------------------------ leaders and commits

    def on_event(self, machine: Machine) -> None:
        """Check a member after an event."""
        node = machine.node
        key = (machine.member_id, machine.incarnation)
        before = self.last_commit_indexes.get(key, node.commit_index)
        if node.commit_index < before:
            raise Violation("commit index", f"{machine.member_id} decreases it to {node.commit_index}")
        self.last_commit_indexes[key] = node.commit_index
        log = node._state.log
        if self.last_terms.get(key) != log.last_term:  # truncated entries or a new term
            self.last_terms[key] = log.last_term
            self._check_membership_in_force(log)
        if node.role is Role.LEADER:
            self._check_new_leader(machine)
            if node.commit_index > before and node._state.log.term_at(node.commit_index) != node.term:
                raise Violation("own term", f"{machine.member_id} commits an entry of an older term")

    def _check_new_leader(self, machine: Machine) -> None:
        node = machine.node
        leader = self.leaders.get(node.term)
        if leader == machine.member_id:
            return
        if leader is not None:
            raise Violation("one leader a term", f"{leader} and {machine.member_id} lead term {node.term}")
        self.leaders[node.term] = machine.member_id
        log = node._state.log
        for entry, commit_term in zip(self.committed, self.commit_terms, strict=True):
            if commit_term >= node.term:
                continue  # a candidate that was frozen may win an old term after a newer one began
            if entry.index > log.base_index and log.term_at(entry.index) != entry.term:
                raise Violation(
                    "committed entries",
                    f"new leader {machine.member_id} of term {node.term} "
                    f"lacks entry {entry.index} of term {entry.term}",
                )

    def on_commit(self, machine: Machine, entry: Entry) -> AppliedState:
        """Check a committed entry that a member returned; return the state after it."""
        position = entry.index - self.first_index - 1
        if position > len(self.committed):
            raise Violation("state machine", f"{machine.member_id} skips entries before {entry.index}")
        if position == len(self.committed):
            self._first_commit(machine, entry)
        elif self.committed[position] != entry:
            raise Violation(
                "state machine",
                f"{machine.member_id} applies a different entry at {entry.index}: "
                f"term {entry.term}, not {self.committed[position].term}",
            )
        return self.states[position + 1]

    def _first_commit(self, machine: Machine, entry: Entry) -> None:
        in_force = [machine.node.membership]
        if machine.node.role is not Role.LEADER:
            in_force.append(self.membership)  # it lost its leadership in the same batch of events
        if not any(self._durable_on_majority(membership, entry) for membership in in_force):
            message = f"entry {entry.index} of term {entry.term} is committed by {machine.member_id}"
            raise Violation("durable on a majority", f"{message} but not durable on a majority of its voters")
        self.committed.append(entry)
        self.commit_terms.append(machine.node.term)
        self.states.append(self.states[-1].after(entry))
        if entry.kind == MEMBERSHIP:
            membership = Membership.FromString(entry.payload)
            if not self._durable_on_majority(membership, entry):
                raise Violation(
                    "durable on a majority",
                    f"membership {entry.index} is committed by "
                    f"{machine.member_id} without a quorum of itself",
                )
            self._check_successor(entry.index, self.membership, membership)
            self.membership = membership
            self.memberships.append((entry.index, membership))

    def _check_successor(self, index: int, before: Membership, after: Membership) -> None:
        """Check that the target size is kept and that quorums of successive memberships overlap."""
        if len(voters_of(after)) > max(after.target_voters, len(voters_of(before))):
            raise Violation(
                "places",
                f"entry {index} has {len(voters_of(after))} voters, " f"its target is {after.target_voters}",
            )
        if not quorums_overlap(before, after):
            raise Violation("membership", f"entry {index}: its quorums do not overlap with those before it")

    def _durable_on_majority(self, membership: Membership, entry: Entry) -> bool:
        """Whether a majority of each set of voters has the entry on disk; independent of the core's count."""
        for voters in _voter_sets(membership):
            holders = [voter for voter in voters if self.world.disk_of(voter).contains_entry(entry)]
            if 2 * len(holders) <= len(voters):
                return False
        return True

    def on_install(self, machine: Machine, index: int, applied: AppliedState) -> None:
        """Check a snapshot that a member installs."""
        if not self.first_index <= index <= self.first_index + len(self.committed):
            raise Violation("state machine", f"{machine.member_id} installs a snapshot at {index}")
        if self.states[index - self.first_index] != applied:
            raise Violation("state machine", f"{machine.member_id} installs a different state at {index}")

    def on_compact(self, machine: Machine) -> None:
        """Check that a snapshot that a member has taken contains the complete membership at its index."""
        snapshot = machine.node._state.log.snapshot
        earlier = [membership for index, membership in self.memberships if index <= snapshot.index]
        if snapshot.membership != earlier[-1]:
            raise Violation(
                "membership",
                f"{machine.member_id} has another one in its snapshot at " f"{snapshot.index}",
            )

    # ------------------------------------------------------------ clients

    def invoke(self) -> Operation:
        return Operation(self.known_committed, self.world.now)

    def write_acknowledged(self, operation: Operation, position: int) -> None:
        """`position`: the command's position among committed commands, from 1."""
        if position <= operation.committed_before:
            raise Violation(
                "linearizable", f"write at {position}, {operation.committed_before} were committed before"
            )
        self.acknowledged += 1
        self.known_committed = max(self.known_committed, position)

    def read_completed(self, operation: Operation, result: ReadResult, count: int) -> None:
        if not result.confirmed:
            self.reads_rejected += 1
            return
        if count < operation.committed_before:
            raise Violation(
                "linearizable", f"read sees {count}, {operation.committed_before} were committed before"
            )
        self.reads_confirmed += 1
        self.known_committed = max(self.known_committed, count)

    # ------------------------------------------------------------ logs

    def check_logs_match(self, window: int = 10**9) -> None:
        """Check that logs with equal terms at an index are equal up to it, in their last `window` entries."""
        logs = [machine.node._state.log for machine in self.world.machines.values() if machine.node]
        for log in logs:
            self._check_membership_in_force(log)
        for position, one in enumerate(logs):
            for other in logs[position + 1 :]:
                self._check_match(one, other, window)

    def _check_membership_in_force(self, log) -> None:
        """Check that the last membership in the log is in force."""
        entries = log.slice(log.base_index + 1, log.last_index)
        later = [entry for entry in entries if entry.kind == MEMBERSHIP and entry.index > log.snapshot.index]
        wanted = Membership.FromString(later[-1].payload) if later else log.snapshot.membership
        if log.memberships.current.membership != wanted:
            raise Violation("membership", f"entry {log.memberships.current.index} is wrongly in force")

    def _check_match(self, one, other, window: int) -> None:
        last = min(one.last_index, other.last_index)
        lower_bound = max(one.base_index, other.base_index, last - window)
        agreed = False
        for index in range(last, lower_bound, -1):
            same = one.term_at(index) == other.term_at(index)
            if agreed and not same:
                raise Violation("log matching", f"logs agree after {index} but differ there")
            if same and one.slice(index, index) != other.slice(index, index):
                raise Violation("log matching", f"entries differ at {index} in term {one.term_at(index)}")
            agreed = agreed or same
