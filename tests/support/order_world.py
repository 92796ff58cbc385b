"""A model of members that send orders under a lease: elections, partitions, pauses, restarts, lost answers.

The log and its leases are real; elections are simulated with the guarantee of consensus: another leader is
elected only when the previous one has been isolated for longer than `ELECTION_S`.  Each member acts once per
step.  An order arrives at most `answer_s` after it was sent, because its connection is reset then.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from random import Random

from mallowbeam.router.pairing.order_lease import Leadership, OrderLease, OrderLeaseSettings
from mallowbeam.router.registry.leases import Leases
from mallowbeam.router.rpc.messages_pb2 import DONE, AcquireLease

STEP_S = 0.05
ELECTION_S = 0.6  # more than `OrderLeaseSettings.fresh_s`
ORDER_FRACTION = 0.5  # fraction of the steps in which a leader has an order to send
LEASE_SUBJECT = "stages"
START_S = 100.0


@dataclass(frozen=True, slots=True)
class OrderArrival:
    """An order as an instance receives it."""

    at: float
    holder: int
    token: int


@dataclass(slots=True)
class Answer:
    """The log's answer to a request for the lease, in flight."""

    at: float
    term: int
    token: int  # 0: the answer was lost


@dataclass
class Member:
    """One member."""

    id: int
    lease: OrderLease
    term: int = 0  # the term in which it considers itself the leader; 0: none
    confirmed_at: float = 0.0  # when a majority last confirmed its leadership
    isolated_until: float = 0.0
    paused_until: float = 0.0
    answers: list[Answer] = field(default_factory=list)

    def leadership(self, now: float) -> Leadership:
        """Return its view of its own leadership."""
        return Leadership(self.term > 0, self.term, now - self.confirmed_at)


class OrderWorld:
    """Members, one log, and the orders that arrive at instances."""

    def __init__(self, random: Random, lease_type: type[OrderLease] = OrderLease, members: int = 3) -> None:
        self.random, self.lease_type = random, lease_type
        self.settings = OrderLeaseSettings(lease_s=random.choice((1.0, 3.0)))
        self.now, self.term, self.leader = START_S, 0, 0
        self.leases = Leases()
        self.members = {id: Member(id, lease_type(self.settings)) for id in range(1, members + 1)}
        self.arrivals: list[OrderArrival] = []

    def run_for(self, seconds: float) -> list[OrderArrival]:
        """Run for `seconds`; returns the orders by time of arrival."""
        end = self.now + seconds
        while self.now < end:
            self.now += STEP_S
            if self.random.random() < 0.02:
                self._inject_fault()
            self._elect()
            for member in self.members.values():
                if self.now >= member.paused_until:
                    self._step(member)
        return sorted(self.arrivals, key=lambda order: order.at)

    def _inject_fault(self) -> None:
        member = self.random.choice(list(self.members.values()))
        if self.random.random() < 0.6 and self.leader:
            member = self.members[self.leader]
        kind, until = self.random.randrange(3), self.now + self.random.choice((0.3, 0.7, 1.5, 4.0, 12.0))
        if kind == 0:
            member.isolated_until = until
        elif kind == 1:
            member.paused_until = until
        else:  # its process restarts and loses its state
            member.lease, member.term, member.answers = self.lease_type(self.settings), 0, []

    def _is_connected(self, member: Member) -> bool:
        return self.now >= member.isolated_until and self.now >= member.paused_until

    def _elect(self) -> None:
        """Elect another leader unless the present one has been confirmed by a majority recently."""
        leader_member = self.members.get(self.leader)
        if (
            leader_member is not None
            and leader_member.term == self.term
            and (self._is_connected(leader_member) or self.now - leader_member.confirmed_at <= ELECTION_S)
        ):
            return
        connected = [member for member in self.members.values() if self._is_connected(member)]
        if not connected or self.random.random() < 0.7:
            return
        winner = self.random.choice(connected)
        self.term += 1
        self.leader, winner.term, winner.confirmed_at = winner.id, self.term, self.now

    def _step(self, member: Member) -> None:
        """Run one step of a member: contact with the others, the lease, an order."""
        if self._is_connected(member):
            if member.term and member.term < self.term:
                member.term = 0  # it learns of a higher term
            elif member.term:
                member.confirmed_at = self.now
        for answer in [answer for answer in member.answers if answer.at <= self.now]:
            member.answers.remove(answer)
            if answer.token:
                member.lease.acquired(answer.term, answer.token, self.now)
            else:
                member.lease.not_acquired(self.now)
        if member.lease.should_acquire(member.leadership(self.now), self.now):
            self._request_lease(member)
        token = member.lease.token(member.leadership(self.now), self.now)
        if token is not None and self.random.random() < ORDER_FRACTION:
            delay = self.random.random() * self.settings.answer_s
            self.arrivals.append(OrderArrival(self.now + delay, member.id, token))

    def _request_lease(self, member: Member) -> None:
        """Request the lease: a connected leader gets an entry committed; the answer may be lost."""
        token = 0
        if self._is_connected(member) and member.term == self.term:
            grant = self.leases.apply(AcquireLease(subject=LEASE_SUBJECT, holder=member.id))
            lost = grant.result == DONE and self.random.random() < 0.2
            token = 0 if lost else grant.token
        member.answers.append(Answer(self.now + self.random.random(), member.term, token))


def lease_violations(arrivals: list[OrderArrival], lease_s: float) -> list[str]:
    """Return violations: a token of two holders, a falling token, two holders within the lease time."""
    violations: list[str] = []
    holders: dict[int, int] = {}
    for before, order in zip([None, *arrivals], arrivals, strict=False):
        if holders.setdefault(order.token, order.holder) != order.holder:
            violations.append(f"token {order.token} of two holders")
        if before is None:
            continue
        if order.token < before.token:
            violations.append(f"token {order.token} behind {before.token}")
        if order.holder != before.holder and order.at - before.at < lease_s:
            violations.append(
                f"holders {before.holder} and {order.holder} {order.at - before.at:.2f} s apart"
            )
    return violations
