"""A host of one Raft member for unit tests, which deliver messages and complete writes explicitly."""

from __future__ import annotations

from random import Random

from mallowbeam.router.consensus.interface import HardState, Output, PersistentState, RaftSettings
from mallowbeam.router.consensus.node import RaftNode, Role
from mallowbeam.router.rpc.messages_pb2 import (
    COMMAND,
    AppendRequest,
    AppendResponse,
    Entry,
    Member,
    Membership,
    RaftMessage,
    Snapshot,
    VoteResponse,
)

OWN_ID = 1


def membership(voters: int, learners: int = 0) -> Membership:
    members = [Member(id=number + 1, voter=number < voters) for number in range(voters + learners)]
    return Membership(members=members, target_voters=voters)


def entry(index: int, term: int, payload: bytes = b"x") -> Entry:
    return Entry(index=index, term=term, kind=COMMAND, payload=payload)


class Host:
    """Drives one member; writes become durable only when the test calls `complete_writes`."""

    def __init__(
        self,
        voters: int = 3,
        learners: int = 0,
        entries: tuple[Entry, ...] = (),
        term: int = 1,
        founder: bool = True,
        own: int = OWN_ID,
        **settings: object,
    ) -> None:
        self.now = 10.0
        first = Snapshot(index=1, term=1, membership=membership(voters, learners))
        snapshot = first if founder else Snapshot()
        restored = PersistentState(HardState(term if founder else 0), snapshot, entries)
        self.node = RaftNode(RaftSettings(member_id=own, **settings), restored, self.now, Random(1))
        self.tickets: list[int] = []
        self.committed: list[Entry] = []

    def output(self) -> Output:
        output = self.node.output()
        if output.write is not None:
            self.tickets.append(output.write.ticket)
        self.committed += output.committed
        return output

    def complete_writes(self) -> Output:
        """Make all submitted writes durable."""
        if self.tickets:
            self.node.written(self.tickets[-1], self.now)
        return self.output()

    def tick(self, seconds: float) -> Output:
        self.now += seconds
        self.node.tick(self.now)
        return self.output()

    def receive(self, sender: int, **body: object) -> Output:
        self.node.receive(sender, RaftMessage(**body), self.now)
        return self.output()

    def append(
        self,
        leader: int,
        term: int,
        previous: tuple[int, int],
        *entries: Entry,
        commit: int = 0,
        round_number: int = 1,
        answered_round: int = 0,
    ) -> Output:
        request = AppendRequest(
            term=term,
            previous_index=previous[0],
            previous_term=previous[1],
            entries=entries,
            commit=commit,
            round=round_number,
            answered_round=answered_round,
        )
        return self.receive(leader, append_request=request)

    def confirm(self, sender: int, match: int, round_number: int = 1) -> Output:
        response = AppendResponse(term=self.node.term, success=True, match_index=match, round=round_number)
        return self.receive(sender, append_response=response)

    def lead(self, commit: bool = True) -> Output:
        """Become the leader of three by the vote of member 2; optionally commit the term's first entry."""
        self.tick(1.0)
        if self.node.role is Role.PRE_CANDIDATE:
            vote = VoteResponse(term=self.node.term + 1, granted=True, pre_vote=True)
            self.receive(2, vote_response=vote)
            self.complete_writes()
            self.receive(2, vote_response=VoteResponse(term=self.node.term, granted=True))
        output = self.complete_writes()
        assert self.node.role is Role.LEADER
        if commit:
            last = self.node._state.log.last_index
            output = self.confirm(2, last)
            assert self.node.commit_index == last
        return output


def bodies(messages, kind: str) -> list[object]:
    return [getattr(send.message, kind) for send in messages if send.message.WhichOneof("body") == kind]
