"""A model of members that send orders under a lease: elections, cuts, freezes, restarts, lost answers.

The log and its leases are real; elections are a stand-in that keeps what consensus promises: another leader
is elected only when the one before has been out of touch for longer than `ELECTION_S`.  Each member acts once
a step.  An order arrives up to `answer_s` after it was sent, as its connection is reset then.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from random import Random

from mallowbeam.router.pairing.order_lease import Leadership, OrderLease, OrderLeaseSettings
from mallowbeam.router.registry.leases import Leases
from mallowbeam.router.rpc.messages_pb2 import DONE, AcquireLease

STEP_S = 0.05
ELECTION_S = 0.6  # more than `OrderLeaseSettings.fresh_s`
ORDERS_SHARE = 0.5  # of the steps in which a leader has an order to send
SUBJECT = "stages"
START_S = 100.0


@dataclass(frozen=True, slots=True)
class OrderArrival:
    """An order as an instance sees it."""

    at: float
    holder: int
    token: int


@dataclass(slots=True)
class Answer:
    """The log's answer to a request for the lease, on its way."""

    at: float
    term: int
    token: int  # 0: it did not come


@dataclass
class Sender:
    """One member."""

    id: int
    lease: OrderLease
    term: int = 0  # in which it believes that it leads; 0: in none
    confirmed_at: float = 0.0  # by a majority, last
    cut_until: float = 0.0
    frozen_until: float = 0.0
    answers: list[Answer] = field(default_factory=list)

    def leadership(self, now: float) -> Leadership:
        """What it knows of its leadership."""
        return Leadership(self.term > 0, self.term, now - self.confirmed_at)


class OrderWorld:
    """Members, one log, and what instances see."""

    def __init__(self, random: Random, lease_type: type[OrderLease] = OrderLease, members: int = 3) -> None:
        self.random, self.lease_type = random, lease_type
        self.settings = OrderLeaseSettings(lease_s=random.choice((1.0, 3.0)))
        self.now, self.term, self.leader = START_S, 0, 0
        self.leases = Leases()
        self.members = {id: Sender(id, lease_type(self.settings)) for id in range(1, members + 1)}
        self.arrivals: list[OrderArrival] = []

    def play(self, seconds: float) -> list[OrderArrival]:
        """Let time pass; the orders in the order of their arrival."""
        end = self.now + seconds
        while self.now < end:
            self.now += STEP_S
            if self.random.random() < 0.02:
                self._trouble()
            self._elect()
            for member in self.members.values():
                if self.now >= member.frozen_until:
                    self._act(member)
        return sorted(self.arrivals, key=lambda order: order.at)

    def _trouble(self) -> None:
        member = self.random.choice(list(self.members.values()))
        if self.random.random() < 0.6 and self.leader:
            member = self.members[self.leader]
        kind, until = self.random.randrange(3), self.now + self.random.choice((0.3, 0.7, 1.5, 4.0, 12.0))
        if kind == 0:
            member.cut_until = until
        elif kind == 1:
            member.frozen_until = until
        else:  # its process starts anew and has forgotten everything
            member.lease, member.term, member.answers = self.lease_type(self.settings), 0, []

    def _in_touch(self, member: Sender) -> bool:
        return self.now >= member.cut_until and self.now >= member.frozen_until

    def _elect(self) -> None:
        """Elect another leader where there is none that a majority has heard of lately."""
        present = self.members.get(self.leader)
        if (
            present is not None
            and present.term == self.term
            and (self._in_touch(present) or self.now - present.confirmed_at <= ELECTION_S)
        ):
            return
        able = [member for member in self.members.values() if self._in_touch(member)]
        if not able or self.random.random() < 0.7:
            return
        winner = self.random.choice(able)
        self.term += 1
        self.leader, winner.term, winner.confirmed_at = winner.id, self.term, self.now

    def _act(self, member: Sender) -> None:
        """One turn of a member: news, the lease, an order."""
        if self._in_touch(member):
            if member.term and member.term < self.term:
                member.term = 0  # it hears of a higher term
            elif member.term:
                member.confirmed_at = self.now
        for answer in [answer for answer in member.answers if answer.at <= self.now]:
            member.answers.remove(answer)
            if answer.token:
                member.lease.acquired(answer.term, answer.token, self.now)
            else:
                member.lease.not_acquired(self.now)
        if member.lease.should_acquire(member.leadership(self.now), self.now):
            self._ask(member)
        token = member.lease.token(member.leadership(self.now), self.now)
        if token is not None and self.random.random() < ORDERS_SHARE:
            delay = self.random.random() * self.settings.answer_s
            self.arrivals.append(OrderArrival(self.now + delay, member.id, token))

    def _ask(self, member: Sender) -> None:
        """Ask the log for the lease: a leader in touch gets an entry committed; its answer may be lost."""
        token = 0
        if self._in_touch(member) and member.term == self.term:
            grant = self.leases.apply(AcquireLease(subject=SUBJECT, holder=member.id))
            lost = grant.result == DONE and self.random.random() < 0.2
            token = 0 if lost else grant.token
        member.answers.append(Answer(self.now + self.random.random(), member.term, token))


def faults(arrivals: list[OrderArrival], lease_s: float) -> list[str]:
    """What breaks the rule on holders: a shared token, one that falls, turns within the lease."""
    found: list[str] = []
    holders: dict[int, int] = {}
    for before, order in zip([None, *arrivals], arrivals, strict=False):
        if holders.setdefault(order.token, order.holder) != order.holder:
            found.append(f"token {order.token} of two holders")
        if before is None:
            continue
        if order.token < before.token:
            found.append(f"token {order.token} behind {before.token}")
        if order.holder != before.holder and order.at - before.at < lease_s:
            found.append(f"holders {before.holder} and {order.holder} {order.at - before.at:.2f} s apart")
    return found
