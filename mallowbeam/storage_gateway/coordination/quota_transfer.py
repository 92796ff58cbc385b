"""Shrink before grow: who may use how much of what is shared, by epochs and leases; without I/O.

A *resource* (a volume's units at a node, a node's connections) has one amount that all holders together never
exceed. An *epoch* is a number that the log commits together with the rows that it changes
(`quota_epochs.py`). A holder whose target fell uses no more than the new one from the moment that it hears of
it, and says so (`Release`) once what is out fits it. A holder whose target rose uses the old amount until
every holder that lost has released, or their leases have surely run out. A holder cut off keeps what it has
to its lease's end, then its floor, which is set aside for it for good.

A lease rests on the fleet's marks (`policy.py`): `lease_renewed(proposed_at)` is the time, on this holder's
own steady clock, at which the newest mark that came back was put in. What was committed after it may be
unknown here, so past `proposed_at + lease` only the floor is used. A grower counts the lease of others from
when it heard of the epoch, which is after the commit, and longer by `drift`. No clock is compared with
another's.

The rule for one resource.  T(e, k) is what epoch e grants holder k.  Gateway k knows a newest epoch N(k),
and a newest epoch C(k) that is *complete* in its view: of every other holder h it knows a base, the newest
epoch that h has released or that was heard of here more than lease and linger ago, and h's targets from its
base up to C(k) are none above T(C(k), h).  What is out here fits T(C(k), k) too.  It may use

    min(T(e, k) for e in C(k)..N(k)),  or its floor once its own lease is over or nothing was proven yet.

Why the sum holds.  Take a moment of true time, m = max C(k), and g that holds it.  g uses at most T(m, g).
Another k that has heard of m has C(k) <= m <= N(k), so it uses at most T(m, k).  A k that has not heard of m
either is past its lease (its last proof was put in before m was committed; g's longer wait ends later) and
uses its floor, at most T(m, k); or it uses at most T(N(k), k), with base <= N(k) < m, which g found to be at
most T(m, k).  So the sum is at most the sum of T(m), which fitted the capacity of epoch m.  A release stays
true through restarts: a new life uses its floor until a mark of its own came back, and then knows every epoch
that an earlier life knew.  What g forgets (rows before C(g)) is covered, as completeness is never undone.

What is promised.  Two clocks' rates differ by at most the factor `1 + drift`; messages may be lost, late or
repeated, the fleet cut in parts, processes killed, stopped and started.  At each moment the sum of what all
holders may use is within the capacity of one epoch m; from `lease` (plus `linger` for what the other side
still sees) after the commit of an epoch e on, m is e or a later one.  So where a capacity falls the sum
follows within the lease at the latest, and as soon as everybody has heard in peace.  Not promised: what a
process that is stopped between asking `usable` and acting does with the one action it had decided on; and a
stopped process closes no connection: what it had out stays for as long as the node keeps it, and is counted
only as far as `linger` covers that.

Whole connections can't be taken back at once.  `usable` is for new ones.  `using` says what is out, and
closed ones too while the other side may still see them; a release waits until it fits.  `most` is what may be
out at all: what is above it is closed by force.  It falls `lease` after the proof held when the epoch was
heard of, before any grower stops waiting.  `linger` is how long a dead process's connections may stay at a
silent node: a grower waits longer by it, and a new life uses nothing, not its floor either, until it is over.

The interface, fixed: `QuotaTransfer(me, holders, floor, lease, begun, drift, linger, again)`, `follow` (one
call for a topic's core: the state after an entry), `agreed` and `released` (the same, event by event),
`lease_renewed`, `usable`, `most`, `using`, `tick`, `lapsed`, `describe`. What grows here grows by entries and
ticks alone; what falls by the clock falls in `usable` itself, so a process that stood still wakes with its
floor.
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from typing import Generic

from mallowbeam.storage_gateway.coordination.quota_epochs import (
    EpochTarget,
    Floor,
    Holder,
    N,
    QuotaEpochs,
    Release,
    Resource,
)

__all__ = ["EpochTarget", "QuotaTransfer", "Release", "ResourceStatus"]

NEVER = float("-inf")
Row = Mapping[Holder, N]


@dataclass(frozen=True, slots=True)
class ResourceStatus(Generic[N]):
    """One resource for the page: the newest target here, what may be used, and who is waited for."""

    target: N
    usable: N
    waits: tuple[Holder, ...]


class QuotaTransfer(Generic[N]):
    """One gateway's view of many resources.

    `floor` is the same everywhere and for good: one that is cut off could not hear of a lower one.
    `lease` and `linger` are seconds; `begun` is when this life began, on the clock that `now` is of.
    `again` is after how many seconds a release not seen in the log is put in once more.
    """

    def __init__(
        self,
        me: Holder,
        holders: Sequence[Holder],
        floor: Floor[N],
        lease: float,
        begun: float = NEVER,
        drift: float = 0.1,
        linger: float = 0.0,
        again: float = 0.5,
    ) -> None:
        self.me, self.holders = me, tuple(holders)
        self.floor: Floor[N] = floor
        self.lease, self.linger, self.again = lease, linger * (1 + drift), again
        self.wait = (lease + linger) * (1 + drift)  # a grower's, from when it heard of the epoch
        self.begun = begun
        self.known_at = NEVER  # when the newest own mark that came back was put in
        self.epoch = 0  # the newest heard of
        self.gone = 0  # everybody's lease of before this epoch is surely over
        self.rows: dict[Resource, Row[N]] = {}  # the newest of each resource
        self.open: dict[Resource, list[tuple[int, Row[N]]]] = {}  # its rows from the complete one on
        self.mine: dict[Resource, N] = {}  # what may be used of those
        self.waits: dict[Resource, frozenset[Holder]] = {}  # whom those wait for
        self.waiting: dict[Holder, set[Resource]] = {}  # the same by holder
        self.touched: set[Resource] = set()  # by releases, and not looked at yet
        self.rel: dict[Holder, int] = {}
        self.heard: dict[int, tuple[float, float]] = {}  # by epoch: when, and under which proof
        self.owed: list[int] = []  # epochs in which something fell here, not released yet
        self.out: dict[Resource, N] = {}  # what is really out, where it is told
        self.put: tuple[int, float] = (0, NEVER)  # the newest release put in, and when

    @classmethod
    def resume(
        cls,
        handed: QuotaEpochs[N],
        now: float,
        me: Holder,
        floor: Floor[N],
        lease: float,
        begun: float = NEVER,
        drift: float = 0.1,
        linger: float = 0.0,
        again: float = 0.5,
    ) -> QuotaTransfer[N]:
        """A new life's view out of the log's state; the floor until a mark has come back."""
        view = cls(me, handed.holders, floor, lease, begun, drift, linger, again)
        view._restore(handed, now)
        return view

    # --- what the log says ------------------------------------------------------------------------

    def follow(self, handed: QuotaEpochs[N], now: float) -> list[Release]:
        """The log's state after an entry; epochs that were passed over (a snapshot) are taken in whole."""
        if handed.settled > self.epoch:
            self._restore(handed, now)
            return self._due(now)
        for opened in handed.open:
            if opened.epoch > self.epoch:
                self._hear(opened.epoch, opened.rows, now)
        for holder, epoch in handed.released.items():
            self._release(holder, epoch, now)
        self._settle_touched(now)
        return self._due(now)

    def agreed(self, target: EpochTarget[N], now: float) -> list[Release]:
        """An epoch was committed; epochs come in the log's order, one heard before changes nothing."""
        if target.epoch > self.epoch:
            self._hear(target.epoch, target.amounts, now)
        return self._due(now)

    def released(self, holder: Holder, epoch: int, now: float) -> list[Release]:
        """A holder's release was committed; late and repeated ones change nothing."""
        self._release(holder, epoch, now)
        self._settle_touched(now)
        return self._due(now)

    def lease_renewed(self, proposed_at: float) -> None:
        """When the newest mark of this life that came back was put in; entries before it come first."""
        self.known_at = max(self.known_at, proposed_at)

    # --- what may be used -------------------------------------------------------------------------

    def usable(self, resource: Resource, now: float) -> N:
        """What may be used here now; new connections are opened only while fewer are out."""
        floor = self.floor(resource, self.me)
        if now <= self.begun + self.linger:
            return floor * 0  # Guards what an earlier life may still hold at a silent node.
        if not self.live(now):
            return floor
        if (mine := self.mine.get(resource)) is not None:
            return mine
        row = self.rows.get(resource)
        return floor if row is None else row.get(self.me, floor)

    def live(self, now: float) -> bool:
        """Whether more than the floor may be used: the proof is younger than the lease."""
        return now <= self.known_at + self.lease

    def most(self, resource: Resource, now: float) -> N:
        """What may be out at all; what is above it is closed by force, now."""
        if not self.live(now) or (rows := self.open.get(resource)) is None:
            return self.usable(resource, now)
        floor = self.floor(resource, self.me)
        return min(
            row.get(self.me, floor)
            for at, (epoch, row) in enumerate(rows)
            if not at or self._over(epoch, now)
        )

    def using(self, resource: Resource, amount: N, now: float) -> list[Release]:
        """What is really out of a resource, so that a release waits for it; untold it counts as fitting."""
        if amount:
            self.out[resource] = amount
        else:
            self.out.pop(resource, None)
        if resource in self.open:
            self._settle(resource, now)
            return self._due(now)
        return []

    def tick(self, now: float) -> list[Release]:
        """Time has passed: leases of others may be over, a release may be due once more."""
        gone = self.gone
        for epoch, (at, _) in self.heard.items():
            if now > at + self.wait:
                gone = max(gone, epoch)
        if gone > self.gone:
            self.gone = gone
            self.heard = {epoch: told for epoch, told in self.heard.items() if epoch > gone}
            for resource in list(self.open):
                self._settle(resource, now)
        return self._due(now)

    def lapsed(self, handed: QuotaEpochs[N]) -> dict[Holder, int]:
        """Whose leases are surely over of those that owe, and up to which epoch: as good as their release.

        For whoever proposes the next epoch, so that a dead holder does not keep epochs open.
        """
        return {
            holder: opened.epoch
            for opened in handed.open
            if opened.epoch <= self.gone
            for holder in opened.losers
            if handed.released.get(holder, 0) < opened.epoch
        }

    def describe(self, now: float) -> dict[Resource, ResourceStatus[N]]:
        """For the page, by resource."""
        told = {}
        for resource, row in self.rows.items():
            target = row.get(self.me, self.floor(resource, self.me))
            told[resource] = ResourceStatus(
                target, self.usable(resource, now), tuple(sorted(self.waits.get(resource, ())))
            )
        return told

    # --- within -----------------------------------------------------------------------------------

    def _hear(self, epoch: int, rows: Mapping[Resource, Row[N]], now: float) -> None:
        self.heard[epoch] = (now, self.known_at)
        before, self.epoch = self.epoch, epoch
        none: Row[N] = {}
        fell = False
        for resource, row in rows.items():
            old = self.rows.get(resource, none)
            if row is old or row == old:
                continue
            floor = self.floor(resource, self.me)
            fell = fell or row.get(self.me, floor) < old.get(self.me, floor)
            self.open.setdefault(resource, [(before, old)]).append((epoch, row))
            self.rows[resource] = row
            self._settle(resource, now)
        if fell:
            self.owed.append(epoch)

    def _release(self, holder: Holder, epoch: int, now: float) -> None:
        if epoch <= self.rel.get(holder, 0):
            return
        self.rel[holder] = epoch
        if holder == self.me:
            self.owed = [owed for owed in self.owed if owed > epoch]
        self.touched |= self.waiting.get(holder, set())

    def _settle_touched(self, now: float) -> None:
        """Look once at each resource that waited for any of the releases just taken in."""
        touched, self.touched = self.touched, set()
        for resource in touched & self.open.keys():
            self._settle(resource, now)

    def _restore(self, handed: QuotaEpochs[N], now: float) -> None:
        """All of it anew out of the log's state; what is out here is kept, and the clocks of epochs known."""
        known = self.heard
        self.rows, self.open, self.mine, self.waits, self.waiting = dict(handed.rows), {}, {}, {}, {}
        self.epoch, self.rel = handed.settled, dict(handed.released)
        self.heard, self.owed = {}, []
        for opened in handed.open:
            self._hear(opened.epoch, opened.rows, now)
            self.heard[opened.epoch] = known.get(opened.epoch, self.heard[opened.epoch])
        self.owed = [epoch for epoch in self.owed if epoch > self.rel.get(self.me, 0)]

    def _settle(self, resource: Resource, now: float) -> None:
        """Find the newest complete epoch of this resource and forget what was before it."""
        rows = self.open[resource]
        waits: set[Holder] = set()
        at = len(rows) - 1
        while at and (blocking := self._blocking(resource, rows, at, now)) is not None:
            waits.add(blocking)
            at -= 1
        for holder in self.waits.pop(resource, frozenset()) - waits:
            self.waiting[holder].discard(resource)
        del rows[:at]
        if len(rows) == 1:
            del self.open[resource]
            self.mine.pop(resource, None)
            if not self.rows[resource]:
                del self.rows[resource]  # everybody at the floor: nothing to remember
            return
        self.waits[resource] = frozenset(waits)
        for holder in waits:
            self.waiting.setdefault(holder, set()).add(resource)
        floor = self.floor(resource, self.me)
        self.mine[resource] = min(row.get(self.me, floor) for _, row in rows)

    def _blocking(
        self, resource: Resource, rows: list[tuple[int, Row[N]]], at: int, now: float
    ) -> Holder | None:
        """Who keeps the epoch at this place from being complete; None when nobody does."""
        epoch, row = rows[at]
        if self.gone >= epoch:
            return None
        if (out := self.out.get(resource)) is not None and self.base(self.me) < epoch:
            if out > row.get(self.me, self.floor(resource, self.me)) and not self._over(epoch, now):
                return self.me
        for place in range(at - 1, -1, -1):
            until = rows[place + 1][0]  # who is at this epoch or a later one has left that row behind
            for holder, had in rows[place][1].items():
                if (amount := row.get(holder)) is None:
                    amount = self.floor(resource, holder)
                if had > amount and holder != self.me and self.base(holder) < until:
                    return holder
        return None  # one that is in none of them had its floor: it can't have lost

    def base(self, holder: Holder) -> int:
        """The newest epoch that this holder surely keeps to."""
        return max(self.rel.get(holder, 0), self.gone)

    def _over(self, epoch: int, now: float) -> bool:
        """Whether what was out before this epoch has to be gone by now."""
        return epoch <= self.gone or now > self.heard[epoch][1] + self.lease

    def _due(self, now: float) -> list[Release]:
        """The release to be put in now, if one is."""
        if not self.owed or now <= self.begun + self.linger:
            return []
        fits = self.epoch
        for resource, amount in self.out.items() if self.out else ():
            for epoch, row in self.open.get(resource, ())[1:]:
                if amount > row.get(self.me, self.floor(resource, self.me)):
                    fits = min(fits, epoch - 1)
                    break
        if fits < self.owed[0] or (fits <= self.put[0] and now < self.put[1] + self.again):
            return []
        self.put = (fits, now)
        return [Release(fits)]
