"""Quota transfer, shrink before grow: who may use how much of a resource, by epochs and leases; no I/O.

A *resource* (a volume's units at a node, a node's connections) has one amount that all holders together never
exceed.  An *epoch* is a number that the log commits together with the rows that it changes
(`quota_epochs.py`).  A holder whose target fell uses no more than the new one from the moment that it learns
of the epoch, and releases the epoch (`Release`) once what it has in use fits.  A holder whose target rose
uses the old amount until every holder that lost has released, or their leases have surely expired.  A holder
that is cut off keeps what it has to the end of its lease, and then its floor, which is always set aside for
it.

A lease is renewed by the fleet's heartbeats (`policy.py`): `lease_renewed(proposed_at)` names the time, on
this holder's own monotonic clock, at which the newest committed heartbeat was proposed.  What was committed
after it may be unknown here, so past `proposed_at + lease` only the floor is used.  A holder that grows
counts the leases of others from when it learned of the epoch, which is after the commit, and longer by
`drift`.  No clock is compared with another's.

The rule for one resource. T(e, k) is the amount that epoch e grants holder k. Holder k knows a newest epoch
N(k), and a newest epoch C(k) that is *complete* in its view: of every other holder h it knows a base, the
newest epoch that h has released or that was seen here more than lease and linger ago, and h's targets from
its base up to C(k) are none above T(C(k), h). What k has in use fits T(C(k), k) too. It may use

    min(T(e, k) for e in C(k)..N(k)),  or its floor once its own lease has expired or was never renewed.

Why the sum holds.  Take a moment of true time, m = max C(k), and g whose C(g) it is.  g uses at most T(m, g).
Another k that knows m has C(k) <= m <= N(k), so it uses at most T(m, k).  A k that does not know m either is
past its lease (its last renewal was proposed before m was committed; g's longer wait ends later) and uses its
floor, at most T(m, k); or it uses at most T(N(k), k), with base <= N(k) < m, which g found to be at most
T(m, k).  So the sum is at most the sum of T(m), which fitted the capacity of epoch m.  A release stays true
through restarts: a new incarnation uses its floor until a heartbeat of its own is committed, and then knows
every epoch that an earlier one knew.  What g forgets (rows before C(g)) is covered, as completeness is never
undone.

Guarantees.  The rates of two clocks differ by at most the factor `1 + drift`; messages may be lost, late or
duplicated, the fleet partitioned, processes killed, stopped and started.  At each moment the sum of what all
holders may use is within the capacity of one epoch m; from `lease` (plus `linger` for what the other side
still sees) after the commit of an epoch e on, m is e or a later one.  So where a capacity falls, the sum
follows within the lease at the latest, and without faults as soon as every holder has learned of it.  Not
guaranteed: the one action that a process had decided on when it was stopped between asking `usable` and
acting; and a stopped process closes no connection: its connections stay for as long as the node keeps them,
and are counted only as far as `linger` covers that.

Connections in use can't be taken back at once, so `usable` limits new ones only.  `report_use` says how many
are open, and closed ones too while the other side may still see them; a release waits until they fit.
`hard_limit` is how many may be open at all: those above it are closed by force.  It falls `lease` after the
renewal that was the newest when the epoch was seen, before any holder stops waiting in order to grow.
`linger` is how long a dead process's connections may stay at a silent node: a holder that grows waits longer
by it, and a new incarnation uses nothing, not its floor either, until it is over.

An amount grows only in `follow`, `epoch_committed`, `release_committed` and `tick`; an amount that falls by
the clock falls in `usable` itself, so a process that was stopped resumes with its floor.
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

__all__ = ["EpochTarget", "QuotaTransfer", "Release", "ResourceStatus", "TransferTiming"]

NEVER = float("-inf")
Row = Mapping[Holder, N]


@dataclass(frozen=True, slots=True)
class TransferTiming:
    """Intervals in seconds; `drift` is the fraction by which two clocks' rates differ at most."""

    lease: float
    drift: float = 0.1
    linger: float = 0.0  # for which a silent node may keep a dead process's connections
    retry: float = 0.5  # before a release that was not seen in the log is proposed again


@dataclass(frozen=True, slots=True)
class ResourceStatus(Generic[N]):
    """One resource for the page: the newest target here, the usable amount, and the holders it waits for."""

    target: N
    usable: N
    waits_for: tuple[Holder, ...]


class QuotaTransfer(Generic[N]):
    """One holder's view of many resources.

    `floor` is the same everywhere and never changes: a holder that is cut off could not learn of a lower one.
    `started_at` is when this incarnation started; all times are seconds on its monotonic clock.
    """

    def __init__(
        self,
        me: Holder,
        holders: Sequence[Holder],
        floor: Floor[N],
        timing: TransferTiming,
        started_at: float = NEVER,
    ) -> None:
        self.me = me
        self.holders = tuple(holders)
        self.floor: Floor[N] = floor
        self.lease = timing.lease
        self.linger = timing.linger * (1 + timing.drift)
        self.retry = timing.retry
        self.grow_delay = (timing.lease + timing.linger) * (1 + timing.drift)  # from when an epoch was seen
        self.started_at = started_at
        self.renewed_at = NEVER  # when the newest committed heartbeat was proposed
        self.epoch = 0  # the newest seen
        self.expired_epoch = 0  # all leases from before this epoch have surely expired
        self.rows: dict[Resource, Row[N]] = {}  # the newest of each resource
        self.open_rows: dict[Resource, list[tuple[int, Row[N]]]] = {}  # from the complete epoch on
        self.allowed: dict[Resource, N] = {}  # of resources in `open_rows`: the lowest target among those
        self.blocked_by: dict[Resource, frozenset[Holder]] = {}  # who keeps a newer row from being complete
        self.blocking: dict[Holder, set[Resource]] = {}  # the same by holder
        self.to_recheck: set[Resource] = set()  # blocked by holders that have released since
        self.released_epochs: dict[Holder, int] = {}  # the newest
        self.epochs_seen: dict[int, tuple[float, float]] = {}  # by epoch: when, and `renewed_at` then
        self.unreleased_epochs: list[int] = []  # in which a target of this holder fell
        self.in_use: dict[Resource, N] = {}  # as reported; a resource that is not reported counts as fitting
        self.last_release: tuple[int, float] = (0, NEVER)  # the newest proposed: its epoch, and when

    # --- committed entries ------------------------------------------------------------------------

    def follow(self, quota: QuotaEpochs[N], now: float) -> list[Release]:
        """Follow the log's state after an entry, or after a snapshot that skipped epochs."""
        if quota.base_epoch > self.epoch:
            self.restore(quota, now)
            return self._due_release(now)
        for opened in quota.open_epochs:
            if opened.epoch > self.epoch:
                self._see_epoch(opened.epoch, opened.rows, now)
        for holder, epoch in quota.released.items():
            self._record_release(holder, epoch)
        self._recheck(now)
        return self._due_release(now)

    def restore(self, quota: QuotaEpochs[N], now: float) -> None:
        """Rebuild the view from the log's state; the amounts in use and when epochs were seen are kept."""
        known = self.epochs_seen
        self.rows = dict(quota.rows)
        self.open_rows = {}
        self.allowed = {}
        self.blocked_by = {}
        self.blocking = {}
        self.epoch = quota.base_epoch
        self.released_epochs = dict(quota.released)
        self.epochs_seen = {}
        self.unreleased_epochs = []
        for opened in quota.open_epochs:
            self._see_epoch(opened.epoch, opened.rows, now)
            self.epochs_seen[opened.epoch] = known.get(opened.epoch, self.epochs_seen[opened.epoch])
        released = self.released_epochs.get(self.me, 0)
        self.unreleased_epochs = [epoch for epoch in self.unreleased_epochs if epoch > released]

    def epoch_committed(self, target: EpochTarget[N], now: float) -> list[Release]:
        """An epoch was committed; epochs come in the log's order, one seen before changes nothing."""
        if target.epoch > self.epoch:
            self._see_epoch(target.epoch, target.amounts, now)
        return self._due_release(now)

    def release_committed(self, holder: Holder, epoch: int, now: float) -> list[Release]:
        """A holder's release was committed; late and duplicated ones change nothing."""
        self._record_release(holder, epoch)
        self._recheck(now)
        return self._due_release(now)

    def lease_renewed(self, proposed_at: float) -> None:
        """Renew the lease by a committed heartbeat; the entries before it must be processed first."""
        self.renewed_at = max(self.renewed_at, proposed_at)

    # --- usable amounts ---------------------------------------------------------------------------

    def usable(self, resource: Resource, now: float) -> N:
        """The amount usable here now; new connections are opened only while fewer are in use."""
        floor = self.floor(resource, self.me)
        if now <= self.started_at + self.linger:
            return floor * 0  # Guards what an earlier incarnation may still have open at a silent node.
        if not self.has_lease(now):
            return floor
        if (allowed := self.allowed.get(resource)) is not None:
            return allowed
        row = self.rows.get(resource)
        return floor if row is None else row.get(self.me, floor)

    def has_lease(self, now: float) -> bool:
        """Whether more than the floor may be used."""
        return now <= self.renewed_at + self.lease

    def hard_limit(self, resource: Resource, now: float) -> N:
        """The most that may be in use now; connections above it are closed by force."""
        if not self.has_lease(now) or (rows := self.open_rows.get(resource)) is None:
            return self.usable(resource, now)
        floor = self.floor(resource, self.me)
        return min(
            row.get(self.me, floor)
            for position, (epoch, row) in enumerate(rows)
            if position == 0 or self._old_use_has_ended(epoch, now)
        )

    def report_use(self, resource: Resource, amount: N, now: float) -> list[Release]:
        """Report the amount of a resource in use, so that a release waits until it fits."""
        if amount:
            self.in_use[resource] = amount
        else:
            self.in_use.pop(resource, None)
        if resource in self.open_rows:
            self._find_complete_epoch(resource, now)
            return self._due_release(now)
        return []

    def tick(self, now: float) -> list[Release]:
        """Expire the leases of other holders, and repeat a release that is due."""
        expired = self.expired_epoch
        for epoch, (seen_at, _) in self.epochs_seen.items():
            if now > seen_at + self.grow_delay:
                expired = max(expired, epoch)
        if expired > self.expired_epoch:
            self.expired_epoch = expired
            self.epochs_seen = {epoch: seen for epoch, seen in self.epochs_seen.items() if epoch > expired}
            for resource in list(self.open_rows):
                self._find_complete_epoch(resource, now)
        return self._due_release(now)

    def expired_holders(self, quota: QuotaEpochs[N]) -> dict[Holder, int]:
        """The holders that owe a release and whose leases have surely expired, and up to which epoch.

        The member that proposes the next epoch also proposes their releases: a dead holder keeps none open.
        """
        return {
            holder: opened.epoch
            for opened in quota.open_epochs
            if opened.epoch <= self.expired_epoch
            for holder in opened.losers
            if quota.released.get(holder, 0) < opened.epoch
        }

    def describe(self, now: float) -> dict[Resource, ResourceStatus[N]]:
        """The status by resource, for the page."""
        return {
            resource: ResourceStatus(
                target=row.get(self.me, self.floor(resource, self.me)),
                usable=self.usable(resource, now),
                waits_for=tuple(sorted(self.blocked_by.get(resource, ()))),
            )
            for resource, row in self.rows.items()
        }

    # --- epochs and releases ----------------------------------------------------------------------

    def _see_epoch(self, epoch: int, rows: Mapping[Resource, Row[N]], now: float) -> None:
        """Record an epoch that is newer than all seen."""
        self.epochs_seen[epoch] = (now, self.renewed_at)
        previous = self.epoch
        self.epoch = epoch
        empty: Row[N] = {}
        target_fell = False
        for resource, row in rows.items():
            old = self.rows.get(resource, empty)
            if row is old or row == old:
                continue
            floor = self.floor(resource, self.me)
            target_fell = target_fell or row.get(self.me, floor) < old.get(self.me, floor)
            self.open_rows.setdefault(resource, [(previous, old)]).append((epoch, row))
            self.rows[resource] = row
            self._find_complete_epoch(resource, now)
        if target_fell:
            self.unreleased_epochs.append(epoch)

    def _record_release(self, holder: Holder, epoch: int) -> None:
        if epoch <= self.released_epochs.get(holder, 0):
            return
        self.released_epochs[holder] = epoch
        if holder == self.me:
            self.unreleased_epochs = [
                unreleased for unreleased in self.unreleased_epochs if unreleased > epoch
            ]
        self.to_recheck |= self.blocking.get(holder, set())

    def _recheck(self, now: float) -> None:
        """Recheck each resource that waited for a release recorded since."""
        resources = self.to_recheck
        self.to_recheck = set()
        for resource in resources & self.open_rows.keys():
            self._find_complete_epoch(resource, now)

    def _find_complete_epoch(self, resource: Resource, now: float) -> None:
        """Find the newest complete epoch of this resource and forget the rows before it."""
        rows = self.open_rows[resource]
        blockers: set[Holder] = set()
        position = len(rows) - 1
        while position and (blocker := self._blocker(resource, rows, position, now)) is not None:
            blockers.add(blocker)
            position -= 1
        for holder in self.blocked_by.pop(resource, frozenset()) - blockers:
            self.blocking[holder].discard(resource)
        del rows[:position]
        if len(rows) == 1:
            del self.open_rows[resource]
            self.allowed.pop(resource, None)
            if not self.rows[resource]:
                del self.rows[resource]  # all holders are at their floors: nothing to remember
            return
        self.blocked_by[resource] = frozenset(blockers)
        for holder in blockers:
            self.blocking.setdefault(holder, set()).add(resource)
        floor = self.floor(resource, self.me)
        self.allowed[resource] = min(row.get(self.me, floor) for _, row in rows)

    def _blocker(
        self, resource: Resource, rows: list[tuple[int, Row[N]]], position: int, now: float
    ) -> Holder | None:
        """A holder that keeps the epoch at this position from being complete; None if there is none."""
        epoch, row = rows[position]
        if self.expired_epoch >= epoch:
            return None
        if self._uses_too_much(resource, epoch, row, now):
            return self.me
        for earlier in range(position - 1, -1, -1):
            # A holder whose base is this epoch or later no longer uses that row.
            next_epoch = rows[earlier + 1][0]
            for holder, had in rows[earlier][1].items():
                if (amount := row.get(holder)) is None:
                    amount = self.floor(resource, holder)
                if had > amount and holder != self.me and self._base(holder) < next_epoch:
                    return holder
        return None  # a holder that no row names had its floor, so it can't have lost

    def _uses_too_much(self, resource: Resource, epoch: int, row: Row[N], now: float) -> bool:
        """Whether the amount in use here exceeds this row, and may still do so."""
        in_use = self.in_use.get(resource)
        if in_use is None or self._base(self.me) >= epoch:
            return False
        return in_use > row.get(self.me, self.floor(resource, self.me)) and not self._old_use_has_ended(
            epoch, now
        )

    def _base(self, holder: Holder) -> int:
        """The newest epoch that this holder surely keeps to."""
        return max(self.released_epochs.get(holder, 0), self.expired_epoch)

    def _old_use_has_ended(self, epoch: int, now: float) -> bool:
        """Whether the connections from before this epoch have to be closed by now."""
        return epoch <= self.expired_epoch or now > self.epochs_seen[epoch][1] + self.lease

    def _due_release(self, now: float) -> list[Release]:
        """The release to be proposed now, if one is due."""
        if not self.unreleased_epochs or now <= self.started_at + self.linger:
            return []
        epoch = self._newest_epoch_that_fits()
        last_epoch, proposed_at = self.last_release
        if epoch < self.unreleased_epochs[0] or (epoch <= last_epoch and now < proposed_at + self.retry):
            return []
        self.last_release = (epoch, now)
        return [Release(epoch)]

    def _newest_epoch_that_fits(self) -> int:
        """The newest epoch whose targets, and those of all before it, cover the amounts in use."""
        newest = self.epoch
        for resource, amount in self.in_use.items():
            for epoch, row in self.open_rows.get(resource, ())[1:]:
                if amount > row.get(self.me, self.floor(resource, self.me)):
                    newest = min(newest, epoch - 1)
                    break
        return newest
