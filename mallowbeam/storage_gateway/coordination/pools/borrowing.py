"""One gateway's connections by node and tenant, with borrowing of idle connections and recall; without I/O.

At each bounded node a tenant has some connections of its own, and the gateway has the sum of them.
Connections, open or being opened, are counted by node and tenant; those beyond a tenant's own are borrowed.

    may_open   True within the tenant's own connections, while the node's total is not reached; beyond them,
               True as a loan if lenders have idle connections to spare and the tenant's ceiling permits it
    recall     an owner that needs a connection while its own are lent recalls one (`acquire`).  An idle
               connection of the borrower is closed immediately (`idle_to_close`), a busy one when its
               request ends (`keep`).  The owner waits at most the recall time and its own remaining time,
               then it is rejected.
    shrink     a smaller budget applies as soon as it is set: excess connections are closed when idle or when
               their requests end, and `fits` tells when the lower budget may be reported to the fleet

A loan belongs to no single owner: all loans together stay within the spare connections of all owners, and a
tenant's loans stay within the spare connections of those that lend to it.  Recalls are counted by borrower,
so two owners never wait for the same connection, and a connection that an owner waits for is not lent to
another tenant.  Connections to a node without a budget are counted but not bounded.  Memory is bounded: a few
counts for each tenant with connections, and `MAX_WAITING` waits at one node; further waits are rejected.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import Enum
from typing import Protocol

from mallowbeam.storage_gateway.coordination.pools.allocation import LoanTerms, TenantTerms

MAX_WAITING = 1024  # concurrent waits for a recall at one node; further ones are rejected
PERCENT = 100
NO_TERMS = TenantTerms(None, LoanTerms(0, 0, frozenset(), 0.0))  # of a tenant that the budget does not list


class ConnectionBudgets(Protocol):
    """The interface through which an HTTP connection pool follows budgets; no call blocks."""

    def may_open(self, node: str, tenant: str) -> bool:
        """Whether a new connection may be opened now; the caller calls `opened` before anything else."""

    def opened(self, node: str, tenant: str) -> None:
        """A connection is being opened and counts for this tenant."""

    def closed(self, node: str, tenant: str, busy: bool) -> None:
        """A connection was closed; `busy` tells whether it carried a request."""

    def reusable(self, node: str, owner: str, tenant: str) -> bool:
        """Whether an idle connection that counts for `owner` may carry a request of `tenant`."""

    def reused(self, node: str, owner: str, tenant: str) -> None:
        """An idle connection of `owner` carries a request of `tenant` and now counts for `tenant`."""

    def keep(self, node: str, tenant: str) -> bool:
        """A request has ended; returns whether its connection stays open and idle.

        If False, the caller closes it and calls `closed`.
        """

    def idle_to_close(self, node: str) -> Mapping[str, int]:
        """How many idle connections to close now, by the tenant for which they count."""


class Acquisition(Enum):
    """Result of an attempt to get a connection."""

    OPEN = "open"  # the caller opens one now
    WAIT = "wait"  # one was recalled; the caller asks again after at most the given time
    REJECT = "refuse"  # none is available and none can be recalled


@dataclass(slots=True)
class NodeConnections:
    """This gateway's budget at one node, by tenant, and its open connections."""

    own: Mapping[str, int]  # connections by tenant
    terms: Mapping[str, TenantTerms]
    total: int | None  # None: unbounded
    busy: dict[str, int] = field(default_factory=dict)
    idle: dict[str, int] = field(default_factory=dict)
    recalled: dict[str, int] = field(default_factory=dict)  # by borrower: connections to return
    waiting: dict[str, int] = field(default_factory=dict)  # by owner: recalled connections that it waits for

    def open(self, tenant: str) -> int:
        """Connections that count for a tenant, busy or idle."""
        return self.busy.get(tenant, 0) + self.idle.get(tenant, 0)

    def total_open(self) -> int:
        """All connections of this gateway to the node."""
        return sum(self.busy.values()) + sum(self.idle.values())

    def borrowed(self, tenant: str) -> int:
        """Connections that a tenant has beyond its own."""
        return max(0, self.open(tenant) - self.own.get(tenant, 0))

    def lendable(self, owner: str) -> int:
        """Connections that an owner may lend: a part of its own, except those that it uses or reserves."""
        own = self.own.get(owner, 0)
        loan = self.loan_terms(owner)
        used = self.open(owner) + self.waiting.get(owner, 0)
        return max(0, min(own * loan.percent // PERCENT, own - max(used, loan.reserve)))

    def loan_terms(self, tenant: str) -> LoanTerms:
        """The terms on which a tenant lends."""
        return self.terms.get(tenant, NO_TERMS).loan

    def excess(self) -> int:
        """Connections that are open beyond the total."""
        return 0 if self.total is None else max(0, self.total_open() - self.total)

    def may_have(self, tenant: str, count: int) -> bool:
        """Whether a tenant may have `count` connections, its own and borrowed ones together."""
        ceiling = self.terms.get(tenant, NO_TERMS).ceiling
        if ceiling is not None and count > ceiling:
            return False
        own = self.own.get(tenant, 0)
        if count <= own:
            return True
        if self.recalled.get(tenant):
            return False  # it borrows no more until it has returned the recalled ones
        return self._may_borrow(tenant, count - own)

    def _may_borrow(self, tenant: str, count: int) -> bool:
        """Whether a tenant may have `count` borrowed connections in total.

        All loans together stay within the spare connections of all owners, and the tenant's loans within the
        spare connections of the owners that lend to it.
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
        """The tenant with the most recallable connections; of several, the one with the most idle ones."""
        return max(
            self.own.keys() | self.busy.keys() | self.idle.keys(),
            default=None,
            key=lambda tenant: (self.recallable(tenant), self.idle.get(tenant, 0), tenant),
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
        """Set a node's budget; `total` may be below the sum of `own`, and None means unbounded."""
        connections = self.nodes.get(node)
        if connections is None:
            self.nodes[node] = NodeConnections(own, terms, total)
            return
        connections.own = own
        connections.terms = terms
        connections.total = total
        connections.recalled = {
            tenant: min(count, connections.borrowed(tenant))
            for tenant, count in connections.recalled.items()
            if connections.borrowed(tenant)
        }

    def fits(self, node: str, total: int) -> bool:
        """Whether the open connections are within `total`, so that this budget may be reported as met."""
        connections = self.nodes.get(node)
        return connections is None or connections.total_open() <= total

    # --- queries of the connection pool ---------------------------------------------------------------

    def may_open(self, node: str, tenant: str) -> bool:
        """Whether a tenant may open one more connection, its own or borrowed, within the node's total."""
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

    def acquire(self, node: str, tenant: str, max_wait_s: float) -> tuple[Acquisition, float]:
        """Try to get a connection for a tenant; returns the result and the longest wait in seconds.

        A caller that waits must call `wait_ended` before it asks again or when it gives up.  `max_wait_s` is
        the remaining part of the request's latency target, in seconds.
        """
        if self.may_open(node, tenant):
            return Acquisition.OPEN, 0.0
        connections = self.nodes[node]
        if not self._may_recall(connections, tenant):
            return Acquisition.REJECT, 0.0
        connections.waiting[tenant] = connections.waiting.get(tenant, 0) + 1
        return Acquisition.WAIT, min(connections.loan_terms(tenant).recall_s, max_wait_s)

    def _may_recall(self, connections: NodeConnections, tenant: str) -> bool:
        """Whether a recalled connection will return for a tenant; recalls one unless a return is pending."""
        total_waiting = sum(connections.waiting.values())
        expected = connections.open(tenant) + connections.waiting.get(tenant, 0)
        if total_waiting >= MAX_WAITING or expected >= connections.own.get(tenant, 0):
            return False  # too many waits, or the tenant already has or awaits all its own
        if sum(connections.recalled.values()) > total_waiting:
            return True  # a recalled connection is on its way whose waiter has given up
        borrower = connections.largest_borrower()
        if borrower is None or connections.recallable(borrower) <= 0:
            return False
        connections.recalled[borrower] = connections.recalled.get(borrower, 0) + 1
        return True

    def wait_ended(self, node: str, tenant: str) -> None:
        """A wait has ended, with or without a connection."""
        connections = self.nodes.get(node)
        if connections is not None:
            _decrement(connections.waiting, tenant)

    def idle_to_close(self, node: str) -> Mapping[str, int]:
        """Idle connections to close, by tenant: recalled ones and those beyond the budget."""
        connections = self.nodes.get(node)
        if connections is None:
            return {}
        to_close: dict[str, int] = {}
        for tenant, recalled in connections.recalled.items():
            count = min(recalled, connections.idle.get(tenant, 0))
            if count:
                to_close[tenant] = count
        excess = connections.excess() - sum(to_close.values())
        for tenant in sorted(connections.idle, key=lambda tenant: (-connections.borrowed(tenant), tenant)):
            count = min(excess, connections.idle[tenant] - to_close.get(tenant, 0))
            if count > 0:
                to_close[tenant] = to_close.get(tenant, 0) + count
                excess -= count
        return to_close

    # --- reports of the connection pool ---------------------------------------------------------------

    def opened(self, node: str, tenant: str) -> None:
        """Count one more busy connection."""
        connections = self.nodes.setdefault(node, NodeConnections({}, {}, None))
        connections.busy[tenant] = connections.busy.get(tenant, 0) + 1

    def reused(self, node: str, owner: str, tenant: str) -> None:
        """An idle connection becomes busy and counts for the tenant that uses it."""
        connections = self.nodes.get(node)
        if connections is not None:
            _remove(connections, connections.idle, owner)
            connections.busy[tenant] = connections.busy.get(tenant, 0) + 1

    def keep(self, node: str, tenant: str) -> bool:
        """A request has ended; returns False if its connection must close (recalled or beyond the budget)."""
        connections = self.nodes.get(node)
        if connections is None:
            return True
        if connections.recalled.get(tenant) or connections.excess():
            return False
        _decrement(connections.busy, tenant)
        connections.idle[tenant] = connections.idle.get(tenant, 0) + 1
        return True

    def closed(self, node: str, tenant: str, busy: bool) -> None:
        """Count one connection less; a connection recalled from the tenant counts as returned."""
        connections = self.nodes.get(node)
        if connections is None:
            return
        _remove(connections, connections.busy if busy else connections.idle, tenant)
        if connections.total is None and not connections.total_open():
            del self.nodes[node]  # an unbounded node is tracked only while it has connections


def _remove(connections: NodeConnections, counts: dict[str, int], tenant: str) -> None:
    """Count one connection less for a tenant; if one was recalled from it, it counts as returned."""
    borrowed = connections.borrowed(tenant)
    _decrement(counts, tenant)
    if borrowed and connections.recalled.get(tenant):
        _decrement(connections.recalled, tenant)


def _decrement(counts: dict[str, int], key: str) -> None:
    """Decrease a count; a count of zero is removed."""
    if counts.get(key, 0) > 1:
        counts[key] -= 1
    else:
        counts.pop(key, None)
