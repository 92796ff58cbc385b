"""Connections of one gateway: whose each is, what is lent while idle, how it is called back; without I/O.

At each bounded node a tenant has some connections of its own, and the gateway the sum of them.  Counted are
connections, open or being opened, by node and tenant; those beyond a tenant's own are loans.

    may_open   yes within its own, where the node's sum is not reached; else yes as a loan, where owners that
               lend to it have room to spare that they do not use, and the tenant's ceiling allows it
    recall     an owner that wants a connection while its own are out on loan calls one back (`want`): idle
               connections of the borrower are closed at once (`idle_to_close`), a busy one when its request
               ends (`keep`); who waits does so for `recall` seconds or its patience, then is refused
    shrink     budgets that fell hold from the moment they are set: what is open beyond them is closed when
               idle or as requests end, and `fits` says when the fleet may be told so

A loan belongs to no single owner: all loans together stay within what all owners can spare, and a tenant's
within what those spare that lend to it.  What is called back is counted by borrower, so two owners never wait
for the same connection, and what somebody waits for is lent to nobody else.  A node without a budget is
counted and not bounded.  Nothing here grows: a few counts for each tenant with connections, and
`MOST_WAITING` that wait at one node; beyond, a refusal.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import Enum
from typing import Protocol

from mallowbeam.storage_gateway.coordination.pools.evaluate import Lends, Offer

MOST_WAITING = 1024  # wants that wait at one node for a recall; beyond: refused at once
FREE = Offer(None, Lends(0, 0, frozenset(), 0.0))  # of a tenant that the budgets do not know


class Budgets(Protocol):
    """What `http/client.Pool` asks and tells, where budgets are set; all of it waits for nothing."""

    def may_open(self, node: str, tenant: str) -> bool:
        """Whether a new connection may be opened now; the caller says `opened` before anything else."""

    def opened(self, node: str, tenant: str) -> None:
        """A connection is being opened, on this tenant's account."""

    def closed(self, node: str, tenant: str, busy: bool) -> None:
        """One is closed: busy, or idle."""

    def reusable(self, node: str, owner: str, tenant: str) -> bool:
        """Whether an idle connection on `owner`'s account may carry a request of `tenant`'s."""

    def taken(self, node: str, owner: str, tenant: str) -> None:
        """An idle connection of `owner`'s carries a request of `tenant`'s, and is on its account."""

    def keep(self, node: str, tenant: str) -> bool:
        """A request has ended: whether its connection stays, idle; False: close it (and say `closed`)."""

    def idle_to_close(self, node: str) -> Mapping[str, int]:
        """How many idle connections to close now, by the tenant on whose account they are."""


class Want(Enum):
    """How a wish for a connection stands."""

    OPEN = "open"  # open one now
    WAIT = "wait"  # one was called back; ask again as `until` has it
    REFUSE = "refuse"  # none is there, and none is coming


@dataclass(slots=True)
class Held:
    """One node here: its budget by tenant, and what is open."""

    own: Mapping[str, int]
    offers: Mapping[str, Offer]
    total: int | None  # None: not bounded
    busy: dict[str, int] = field(default_factory=dict)
    idle: dict[str, int] = field(default_factory=dict)
    called: dict[str, int] = field(default_factory=dict)  # by borrower: to be given back
    waiting: dict[str, int] = field(default_factory=dict)  # by owner: what it waits for

    def open(self, tenant: str) -> int:
        """What is on a tenant's account."""
        return self.busy.get(tenant, 0) + self.idle.get(tenant, 0)

    def all(self) -> int:
        """What the node sees of this gateway."""
        return sum(self.busy.values()) + sum(self.idle.values())

    def loan(self, tenant: str) -> int:
        """What a tenant holds beyond its own."""
        return max(0, self.open(tenant) - self.own.get(tenant, 0))

    def lendable(self, owner: str) -> int:
        """What an owner may lend in all: a part of its own, never what it uses or keeps."""
        own, lends = self.own.get(owner, 0), self.offers.get(owner, FREE).lends
        used = self.open(owner) + self.waiting.get(owner, 0)
        return max(0, min(own * lends.percent // 100, own - max(used, lends.keep)))

    def beyond(self) -> int:
        """How many are open beyond the total."""
        return 0 if self.total is None else max(0, self.all() - self.total)


class Lending:
    """The budgets of one gateway, by node; implements `Budgets`."""

    def __init__(self) -> None:
        self.nodes: dict[str, Held] = {}

    def set(self, node: str, own: Mapping[str, int], offers: Mapping[str, Offer], total: int | None) -> None:
        """From now on this holds at a node; `total` may be below the sum of `own`; None: unbounded."""
        if (held := self.nodes.get(node)) is None:
            self.nodes[node] = Held(own, offers, total)
        else:
            held.own, held.offers, held.total = own, offers, total
            held.called = {who: min(n, held.loan(who)) for who, n in held.called.items() if held.loan(who)}

    def fits(self, node: str, total: int) -> bool:
        """Whether what is open at a node is within so many: then a lower budget may be called released."""
        held = self.nodes.get(node)
        return held is None or held.all() <= total

    # --- asked by the pool ------------------------------------------------------------------------

    def may_open(self, node: str, tenant: str) -> bool:
        """Within its own, or as a loan; never beyond the node's total."""
        held = self.nodes.get(node)
        if held is None or held.total is None:
            return True
        return held.all() < held.total and self._may_hold(held, tenant, held.open(tenant) + 1)

    def reusable(self, node: str, owner: str, tenant: str) -> bool:
        """One's own idle connection always; another's where the tenant may hold one more, had by it."""
        held = self.nodes.get(node)
        if held is None or held.total is None or owner == tenant:
            return True
        held.idle[owner] = held.idle.get(owner, 0) - 1
        may = self._may_hold(held, tenant, held.open(tenant) + 1)
        held.idle[owner] += 1
        return may

    def want(self, node: str, tenant: str, patience: float) -> tuple[Want, float]:
        """A tenant needs a connection: open it, wait so many seconds at most and ask again, or refuse.

        One that waits says `waited` before it asks again, or when it gives up.  `patience` is
        what is left of the request's aim.
        """
        if self.may_open(node, tenant):
            return Want.OPEN, 0.0
        held = self.nodes[node]
        waits = held.waiting.get(tenant, 0)
        if sum(held.waiting.values()) >= MOST_WAITING or held.open(tenant) + waits >= held.own.get(tenant, 0):
            return Want.REFUSE, 0.0  # it has all its own: there is nothing to call back
        if sum(held.called.values()) > sum(held.waiting.values()):
            held.waiting[tenant] = waits + 1  # one is coming back that nobody waits for any more
            return Want.WAIT, min(held.offers.get(tenant, FREE).lends.recall, patience)
        recall = held.offers.get(tenant, FREE).lends.recall
        borrower = max(
            held.own.keys() | held.busy.keys() | held.idle.keys(),
            default=None,
            key=lambda who: (held.loan(who) - held.called.get(who, 0), held.idle.get(who, 0), who),
        )
        if borrower is not None and held.loan(borrower) > held.called.get(borrower, 0):
            held.called[borrower] = held.called.get(borrower, 0) + 1
            held.waiting[tenant] = waits + 1
            return Want.WAIT, min(recall, patience)
        return Want.REFUSE, 0.0

    def waited(self, node: str, tenant: str) -> None:
        """A wait is over, however it ended."""
        if (held := self.nodes.get(node)) is not None:
            self._less(held.waiting, tenant)

    def idle_to_close(self, node: str) -> Mapping[str, int]:
        """Idle connections of borrowers that are called back, and what is beyond the budget."""
        if (held := self.nodes.get(node)) is None:
            return {}
        close = {who: n for who, called in held.called.items() if (n := min(called, held.idle.get(who, 0)))}
        beyond = held.beyond() - sum(close.values())
        for who in sorted(held.idle, key=lambda who: (-held.loan(who), who)):
            if beyond > 0 and (n := min(beyond, held.idle[who] - close.get(who, 0))) > 0:
                close[who] = close.get(who, 0) + n
                beyond -= n
        return close

    # --- told by the pool -------------------------------------------------------------------------

    def opened(self, node: str, tenant: str) -> None:
        """One more, busy."""
        held = self.nodes.setdefault(node, Held({}, {}, None))
        held.busy[tenant] = held.busy.get(tenant, 0) + 1

    def taken(self, node: str, owner: str, tenant: str) -> None:
        """An idle one is busy, on the account of whom it serves."""
        if (held := self.nodes.get(node)) is not None:
            self._gone(held, held.idle, owner)
            held.busy[tenant] = held.busy.get(tenant, 0) + 1

    def keep(self, node: str, tenant: str) -> bool:
        """A request has ended: what is called back or beyond the budget closes, else it is idle."""
        if (held := self.nodes.get(node)) is None:
            return True
        if held.called.get(tenant) or held.beyond():
            return False
        self._less(held.busy, tenant)
        held.idle[tenant] = held.idle.get(tenant, 0) + 1
        return True

    def closed(self, node: str, tenant: str, busy: bool) -> None:
        """One less; a loan that was called back is back."""
        if (held := self.nodes.get(node)) is not None:
            self._gone(held, held.busy if busy else held.idle, tenant)
            if held.total is None and not held.all():
                del self.nodes[node]  # what is not bounded is remembered while it is open

    # --- inside -----------------------------------------------------------------------------------

    def _may_hold(self, held: Held, tenant: str, count: int) -> bool:
        """Whether a tenant may have so many: within its own, or on loan."""
        offer = held.offers.get(tenant, FREE)
        if offer.ceiling is not None and count > offer.ceiling:
            return False
        if count <= held.own.get(tenant, 0):
            return True
        if held.called.get(tenant):
            return False  # it gives back: nothing new on loan meanwhile
        # All loans out, and this one, against all that may be lent; and this one against who lends to it.
        loans = sum(held.loan(who) for who in held.busy.keys() | held.idle.keys() if who != tenant)
        to_it = everything = 0
        for owner in held.own:
            if owner != tenant and (n := held.lendable(owner)):
                everything += n
                to_it += n if tenant in held.offers.get(owner, FREE).lends.to else 0
        beyond = count - held.own.get(tenant, 0)
        return beyond <= to_it and beyond + loans <= everything

    def _gone(self, held: Held, counts: dict[str, int], tenant: str) -> None:
        """One less on a tenant's account: if it was called back, it is back."""
        loan = held.loan(tenant)
        self._less(counts, tenant)
        if loan and held.called.get(tenant):
            self._less(held.called, tenant)

    @staticmethod
    def _less(counts: dict[str, int], who: str) -> None:
        if counts.get(who, 0) > 1:
            counts[who] -= 1
        else:
            counts.pop(who, None)
