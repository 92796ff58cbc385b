"""One gateway's connections by node and tenant: borrowing while idle, and recall; without I/O.

At each bounded node a tenant has some connections of its own, and the gateway the sum of them.  Connections,
open or being opened, are counted by node and tenant; those beyond a tenant's own are borrowed.

    may_open   yes within its own, where the node's total is not reached; else yes as a loan, where lenders
               have idle connections to spare for it, and the tenant's ceiling permits it
    recall     an owner that needs a connection while its own are lent recalls one (`acquire`): idle
               connections of the borrower are closed at once (`idle_to_close`), a busy one when its request
               ends (`keep`); the owner waits for the recall time or its patience, then is rejected
    shrink     a smaller budget holds from the moment it is set: connections beyond it are closed when idle
               or as requests end, and `fits` says when the fleet may be told so

A loan belongs to no single owner: all loans together stay within what all owners can spare, and a tenant's
within what those spare that lend to it.  Recalls are counted by borrower, so two owners never wait for the
same connection, and what an owner waits for is lent to nobody else.  A node without a budget is counted and
not bounded.  Memory is bounded: a few counts for each tenant with connections, and `MAX_WAITING` waits at one
node; beyond, a rejection.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import Enum
from typing import Protocol

from mallowbeam.storage_gateway.coordination.pools.allocation import LoanTerms, TenantTerms

MAX_WAITING = 1024  # waits for a recall at one node; beyond: rejected at once
PERCENT = 100
NO_TERMS = TenantTerms(None, LoanTerms(0, 0, frozenset(), 0.0))  # of a tenant that the budgets do not know


class ConnectionBudgets(Protocol):
    """What an HTTP connection pool asks and reports where budgets are set; no call blocks."""

    def may_open(self, node: str, tenant: str) -> bool:
        """Whether a new connection may be opened now; the caller calls `opened` before anything else."""

    def opened(self, node: str, tenant: str) -> None:
        """A connection is being opened, on this tenant's account."""

    def closed(self, node: str, tenant: str, busy: bool) -> None:
        """A connection was closed while busy, or while idle."""

    def reusable(self, node: str, owner: str, tenant: str) -> bool:
        """Whether an idle connection on `owner`'s account may carry a request of `tenant`."""

    def reused(self, node: str, owner: str, tenant: str) -> None:
        """An idle connection of `owner` carries a request of `tenant`, and is on its account now."""

    def keep(self, node: str, tenant: str) -> bool:
        """A request has ended: whether its connection stays idle; False: close it (and call `closed`)."""

    def idle_to_close(self, node: str) -> Mapping[str, int]:
        """How many idle connections to close now, by the tenant on whose account they are."""


class Acquisition(Enum):
    """How an attempt to get a connection ended."""

    OPEN = "open"  # open one now
    WAIT = "wait"  # one was recalled; ask again within the time given
    REJECT = "refuse"  # none is available, and none is being recalled


@dataclass(slots=True)
class NodeConnections:
    """One node as this gateway uses it: its budget by tenant, and the connections that are open."""

    own: Mapping[str, int]  # connections by tenant
    terms: Mapping[str, TenantTerms]
    total: int | None  # None: unbounded
    busy: dict[str, int] = field(default_factory=dict)
    idle: dict[str, int] = field(default_factory=dict)
    recalled: dict[str, int] = field(default_factory=dict)  # by borrower: connections to be given back
    waiting: dict[str, int] = field(default_factory=dict)  # by owner: connections that it waits for

    def open(self, tenant: str) -> int:
        """Connections on a tenant's account."""
        return self.busy.get(tenant, 0) + self.idle.get(tenant, 0)

    def total_open(self) -> int:
        """All connections of this gateway to the node."""
        return sum(self.busy.values()) + sum(self.idle.values())

    def borrowed(self, tenant: str) -> int:
        """Connections that a tenant has beyond its own."""
        return max(0, self.open(tenant) - self.own.get(tenant, 0))

    def lendable(self, owner: str) -> int:
        """Connections that an owner may lend: a part of its own, never what it uses or reserves."""
        own = self.own.get(owner, 0)
        loan = self.loan_terms(owner)
        used = self.open(owner) + self.waiting.get(owner, 0)
        return max(0, min(own * loan.percent // PERCENT, own - max(used, loan.reserve)))

    def loan_terms(self, tenant: str) -> LoanTerms:
        """What a tenant lends."""
        return self.terms.get(tenant, NO_TERMS).loan

    def excess(self) -> int:
        """Connections that are open beyond the total."""
        return 0 if self.total is None else max(0, self.total_open() - self.total)

    def may_have(self, tenant: str, count: int) -> bool:
        """Whether a tenant may have so many connections: of its own, or borrowed."""
        ceiling = self.terms.get(tenant, NO_TERMS).ceiling
        if ceiling is not None and count > ceiling:
            return False
        own = self.own.get(tenant, 0)
        if count <= own:
            return True
        if self.recalled.get(tenant):
            return False  # it borrows nothing more until it has given back
        return self._may_borrow(tenant, count - own)

    def _may_borrow(self, tenant: str, count: int) -> bool:
        """Whether a tenant may have borrowed so many in all.

        All loans together stay within what all owners lend, and the tenant's within what is lent to it.
        """
        other_loans = sum(
            self.borrowed(other) for other in self.busy.keys() | self.idle.keys() if other != tenant
        )
        lendable_to_tenant = 0
        lendable = 0
        for owner in self.own:
            if owner == tenant:
                continue
            spare = self.lendable(owner)
            lendable += spare
            if spare and tenant in self.loan_terms(owner).borrowers:
                lendable_to_tenant += spare
        return count <= lendable_to_tenant and count + other_loans <= lendable

    def largest_borrower(self) -> str | None:
        """Who has most that can still be recalled, of several the one with most idle connections."""
        return max(
            self.own.keys() | self.busy.keys() | self.idle.keys(),
            default=None,
            key=lambda who: (self.recallable(who), self.idle.get(who, 0), who),
        )

    def recallable(self, tenant: str) -> int:
        """Borrowed connections of a tenant that have not been recalled."""
        return self.borrowed(tenant) - self.recalled.get(tenant, 0)


class ConnectionTracker:
    """The connections of one gateway, by node; implements `ConnectionBudgets`."""

    def __init__(self) -> None:
        self.nodes: dict[str, NodeConnections] = {}

    def set_budget(
        self, node: str, own: Mapping[str, int], terms: Mapping[str, TenantTerms], total: int | None
    ) -> None:
        """A node's budget from now on; `total` may be below the sum of `own`; None: unbounded."""
        connections = self.nodes.get(node)
        if connections is None:
            self.nodes[node] = NodeConnections(own, terms, total)
            return
        connections.own = own
        connections.terms = terms
        connections.total = total
        connections.recalled = {
            who: min(count, connections.borrowed(who))
            for who, count in connections.recalled.items()
            if connections.borrowed(who)
        }

    def fits(self, node: str, total: int) -> bool:
        """Whether the open connections are within a total: then a lower budget may be reported as met."""
        connections = self.nodes.get(node)
        return connections is None or connections.total_open() <= total

    # --- asked by the connection pool -----------------------------------------------------------------

    def may_open(self, node: str, tenant: str) -> bool:
        """Whether a tenant may open one more: of its own or borrowed, never beyond the node's total."""
        connections = self.nodes.get(node)
        if connections is None or connections.total is None:
            return True
        return connections.total_open() < connections.total and connections.may_have(
            tenant, connections.open(tenant) + 1
        )

    def reusable(self, node: str, owner: str, tenant: str) -> bool:
        """Whether a tenant may use an idle connection: its own always, another's if it may have one more."""
        connections = self.nodes.get(node)
        if connections is None or connections.total is None or owner == tenant:
            return True
        connections.idle[owner] = connections.idle.get(owner, 0) - 1
        may_have = connections.may_have(tenant, connections.open(tenant) + 1)
        connections.idle[owner] += 1
        return may_have

    def acquire(self, node: str, tenant: str, patience_s: float) -> tuple[Acquisition, float]:
        """A tenant needs a connection: open it, wait at most so many seconds and ask again, or be rejected.

        Whoever waits calls `waited` before it asks again, or when it gives up.  `patience_s` is what is left
        of the request's latency target.
        """
        if self.may_open(node, tenant):
            return Acquisition.OPEN, 0.0
        connections = self.nodes[node]
        if not self._may_recall(connections, tenant):
            return Acquisition.REJECT, 0.0
        connections.waiting[tenant] = connections.waiting.get(tenant, 0) + 1
        return Acquisition.WAIT, min(connections.loan_terms(tenant).recall_s, patience_s)

    def _may_recall(self, connections: NodeConnections, tenant: str) -> bool:
        """Whether a connection comes back for a tenant; recalls one where none is on its way already."""
        total_waiting = sum(connections.waiting.values())
        expected = connections.open(tenant) + connections.waiting.get(tenant, 0)
        if total_waiting >= MAX_WAITING or expected >= connections.own.get(tenant, 0):
            return False  # it has all its own: there is nothing to recall
        if sum(connections.recalled.values()) > total_waiting:
            return True  # one is coming back that nobody waits for any more
        borrower = connections.largest_borrower()
        if borrower is None or connections.recallable(borrower) <= 0:
            return False
        connections.recalled[borrower] = connections.recalled.get(borrower, 0) + 1
        return True

    def waited(self, node: str, tenant: str) -> None:
        """A wait is over, however it ended."""
        connections = self.nodes.get(node)
        if connections is not None:
            _decrement(connections.waiting, tenant)

    def idle_to_close(self, node: str) -> Mapping[str, int]:
        """Idle connections to close by tenant: those recalled, and those beyond the budget."""
        connections = self.nodes.get(node)
        if connections is None:
            return {}
        close: dict[str, int] = {}
        for who, recalled in connections.recalled.items():
            count = min(recalled, connections.idle.get(who, 0))
            if count:
                close[who] = count
        excess = connections.excess() - sum(close.values())
        for who in sorted(connections.idle, key=lambda who: (-connections.borrowed(who), who)):
            count = min(excess, connections.idle[who] - close.get(who, 0))
            if count > 0:
                close[who] = close.get(who, 0) + count
                excess -= count
        return close

    # --- reported by the connection pool --------------------------------------------------------------

    def opened(self, node: str, tenant: str) -> None:
        """One connection more, busy."""
        connections = self.nodes.setdefault(node, NodeConnections({}, {}, None))
        connections.busy[tenant] = connections.busy.get(tenant, 0) + 1

    def reused(self, node: str, owner: str, tenant: str) -> None:
        """An idle connection is busy, on the account of the tenant that it serves."""
        connections = self.nodes.get(node)
        if connections is not None:
            _remove(connections, connections.idle, owner)
            connections.busy[tenant] = connections.busy.get(tenant, 0) + 1

    def keep(self, node: str, tenant: str) -> bool:
        """A request has ended: its connection closes if recalled or beyond the budget, else stays idle."""
        connections = self.nodes.get(node)
        if connections is None:
            return True
        if connections.recalled.get(tenant) or connections.excess():
            return False
        _decrement(connections.busy, tenant)
        connections.idle[tenant] = connections.idle.get(tenant, 0) + 1
        return True

    def closed(self, node: str, tenant: str, busy: bool) -> None:
        """One connection less; where one was recalled from the tenant, it is given back."""
        connections = self.nodes.get(node)
        if connections is None:
            return
        _remove(connections, connections.busy if busy else connections.idle, tenant)
        if connections.total is None and not connections.total_open():
            del self.nodes[node]  # an unbounded node is remembered while it has connections


def _remove(connections: NodeConnections, counts: dict[str, int], tenant: str) -> None:
    """One connection less on a tenant's account: if it was recalled, it is given back."""
    borrowed = connections.borrowed(tenant)
    _decrement(counts, tenant)
    if borrowed and connections.recalled.get(tenant):
        _decrement(connections.recalled, tenant)


def _decrement(counts: dict[str, int], key: str) -> None:
    """Count one less; a count of zero is dropped."""
    if counts.get(key, 0) > 1:
        counts[key] -= 1
    else:
        counts.pop(key, None)
