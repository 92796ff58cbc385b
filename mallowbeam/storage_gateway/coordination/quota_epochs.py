"""The replicated side of a quota transfer: the epochs that are not complete yet; pure functions.

A state machine holds one `QuotaEpochs` in its state.  `next_epoch` opens an epoch, `release` records that a
holder stays within its quota of an epoch (or that its lease has surely expired, which is equivalent), and
both drop the epochs that are complete.  An epoch names only the *rows* that it changes; a row has one
resource's amounts by holder, and a holder that it does not name has its floor.  A holder whose amount falls
in an epoch *owes* it a release.  An epoch is complete once no holder owes a release to it or to an earlier
one; its rows are folded into `rows` then.  So the state has one row for each resource and at most
`MAX_OPEN_EPOCHS` epochs of changes.

`next_epoch` refuses a further epoch.  A member that proposes an epoch first proposes the releases of expired
holders (`QuotaTransfer.expired_holders`), so a dead holder keeps an epoch open no longer than lease and
linger.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping
from dataclasses import dataclass
from typing import Generic, TypeVar

import msgspec

from mallowbeam.errors import MallowbeamError

N = TypeVar("N", int, float)
Resource = str
Holder = str
Floor = Callable[[Resource, Holder], N]

MAX_OPEN_EPOCHS = 8  # epochs; the next one is refused until a release
RELATIVE_TOLERANCE = 1e-9  # of a capacity, by which a sum of floats may exceed it


@dataclass(frozen=True, slots=True)
class EpochTarget(Generic[N]):
    """The amounts one epoch grants: the rows it changes; a holder that a row does not name has its floor.

    A resource that is not named keeps its row; an empty row leaves every holder its floor.
    """

    epoch: int
    amounts: Mapping[Resource, Mapping[Holder, N]]


@dataclass(frozen=True, slots=True)
class Release:
    """A release to propose: this holder stays within its quota of that epoch from now on."""

    epoch: int


class InvalidTargetError(MallowbeamError):
    """Amounts that exceed a capacity, are below a floor, or name an unknown holder."""

    error_name = "BadTarget"
    remedy = "propose amounts of known holders, none below its floor, that together fit the capacity"


class FloorsExceedCapacityError(InvalidTargetError):
    """The floors alone exceed the capacity."""

    error_name = "FloorsTooHigh"
    remedy = "lower the floors in every gateway's file, restart them all, then lower the capacity"


class TooManyOpenEpochsError(MallowbeamError):
    """`MAX_OPEN_EPOCHS` epochs are open."""

    error_name = "TooManyOpen"
    remedy = "nothing to do: it passes as gateways release, at the latest after their lease; see who owes"


class OpenEpoch(msgspec.Struct, Generic[N], frozen=True):
    """One epoch that is not complete: the rows it changed, and the holders that owe it a release."""

    epoch: int
    rows: dict[str, dict[str, N]]
    losers: tuple[str, ...] = ()


class QuotaEpochs(
    msgspec.Struct, Generic[N], frozen=True, rename={"base_epoch": "settled", "open_epochs": "open"}
):
    """The amounts by resource and holder: `rows` as of `base_epoch`, changed by each open epoch in turn."""

    holders: tuple[str, ...] = ()
    epoch: int = 0  # the newest
    base_epoch: int = 0  # the newest that is complete
    rows: dict[str, dict[str, N]] = {}
    open_epochs: tuple[OpenEpoch[N], ...] = ()
    released: dict[str, int] = {}  # by holder, the newest epoch that it has released

    @property
    def amounts(self) -> dict[str, dict[str, N]]:
        """The newest row of each resource."""
        rows = dict(self.rows)
        for opened in self.open_epochs:
            rows.update(opened.rows)
        return rows

    @property
    def awaited_releases(self) -> dict[str, int]:
        """The holders that owe a release, and up to which epoch."""
        return {
            holder: opened.epoch
            for opened in self.open_epochs
            for holder in opened.losers
            if self.released.get(holder, 0) < opened.epoch
        }


@dataclass(frozen=True, slots=True)
class Bounds(Generic[N]):
    """The bounds of all amounts: each holder's floor, and each resource's capacity.

    `sum_of_floors` returns the sum of all floors of a resource, for callers that need not add them up.
    """

    floor: Floor[N]
    capacity: Callable[[Resource], N]
    sum_of_floors: Callable[[Resource], N] | None = None

    def floors(self, resource: Resource, holders: tuple[Holder, ...]) -> N:
        """The sum of all floors of this resource."""
        if self.sum_of_floors is not None:
            return self.sum_of_floors(resource)
        floors: list[N] = [self.floor(resource, holder) for holder in holders]
        return sum(floors)


def next_epoch(
    quota: QuotaEpochs[N],
    amounts: Mapping[str, Mapping[str, N]],
    bounds: Bounds[N],
    complete: bool = True,
) -> QuotaEpochs[N]:
    """Open an epoch that grants these amounts; the same state when they change nothing.

    If `complete`, a resource that is not named goes back to its floors; otherwise it keeps its row.
    Raises `InvalidTargetError`, `FloorsExceedCapacityError` or `TooManyOpenEpochsError`, the same on
    every member.
    """
    before = quota.amounts
    rows = {name: dict(row) for name, row in amounts.items() if row != before.get(name, {})}
    for name, row in (amounts if complete else rows).items():
        floors = bounds.floors(name, quota.holders)
        capacity = bounds.capacity(name)
        if name in rows or not sum(row.values()) + floors <= capacity:  # an unchanged row usually fits
            _check_row(quota, name, row, bounds)
    if complete:
        rows.update((name, dict[str, N]()) for name, row in before.items() if row and name not in amounts)
    if not rows:
        return quota
    if len(quota.open_epochs) >= MAX_OPEN_EPOCHS:
        raise TooManyOpenEpochsError(
            f"{MAX_OPEN_EPOCHS} epochs are open", ", ".join(sorted(quota.awaited_releases))
        )
    opened = OpenEpoch(quota.epoch + 1, rows, _losers(before, rows, bounds))
    return fold_complete_epochs(
        msgspec.structs.replace(quota, epoch=opened.epoch, open_epochs=(*quota.open_epochs, opened))
    )


def _losers(
    before: Mapping[str, Mapping[str, N]], rows: Mapping[str, Mapping[str, N]], bounds: Bounds[N]
) -> tuple[Holder, ...]:
    """The holders that have less in any of these rows than before, sorted."""
    losers = {
        holder
        for name, row in rows.items()
        for holder, had in before.get(name, {}).items()
        if row.get(holder, bounds.floor(name, holder)) < had
    }
    return tuple(sorted(losers))


def release(quota: QuotaEpochs[N], holder: Holder, epoch: int) -> QuotaEpochs[N]:
    """Record a holder's release; an unknown holder, or an epoch old or ahead of the log, changes nothing."""
    if holder not in quota.holders or not quota.released.get(holder, 0) < epoch <= quota.epoch:
        return quota
    return fold_complete_epochs(msgspec.structs.replace(quota, released={**quota.released, holder: epoch}))


def _check_row(quota: QuotaEpochs[N], name: Resource, row: Mapping[Holder, N], bounds: Bounds[N]) -> None:
    """Raise `InvalidTargetError` where a row breaks a floor or the capacity."""
    floors = bounds.floors(name, quota.holders)
    capacity = bounds.capacity(name)
    if floors > capacity * (1 + RELATIVE_TOLERANCE):
        raise FloorsExceedCapacityError(f"floors of {floors} in all, capacity {capacity}", name)
    total = floors
    for holder, amount in row.items():
        if holder not in quota.holders:
            raise InvalidTargetError(f"{holder!r} is not a gateway of this fleet", name)
        floor = bounds.floor(name, holder)
        if not amount >= floor:
            raise InvalidTargetError(f"{amount} for {holder}, its floor is {floor}", name)
        total += amount - floor
    if total > capacity * (1 + RELATIVE_TOLERANCE):
        raise InvalidTargetError(f"{total} granted in all, capacity {capacity}", name)


def fold_complete_epochs(quota: QuotaEpochs[N]) -> QuotaEpochs[N]:
    """Fold the oldest epochs into the rows, as far as no holder owes them a release."""
    complete = 0
    for opened in quota.open_epochs:
        if any(quota.released.get(holder, 0) < opened.epoch for holder in opened.losers):
            break
        complete += 1
    if not complete:
        return quota
    rows = dict(quota.rows)
    for opened in quota.open_epochs[:complete]:
        for name, row in opened.rows.items():
            if row:
                rows[name] = row
            else:
                rows.pop(name, None)
    return msgspec.structs.replace(
        quota,
        rows=rows,
        base_epoch=quota.open_epochs[complete - 1].epoch,
        open_epochs=quota.open_epochs[complete:],
    )
