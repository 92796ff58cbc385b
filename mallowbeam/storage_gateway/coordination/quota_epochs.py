"""What the log holds of a handover: the epochs not yet settled, and who has released; pure functions.

A topic embeds one `QuotaEpochs` in its state. `next_epoch` opens an epoch, `release` takes in a holder's word
(or another's word that the holder's lease is surely over, which is as good), and both forget what is settled.
An epoch names only the rows that it changed; a *row* is one resource's amounts by holder, whole: a holder not
named in it has its floor. A holder whose amount fell in an epoch *owes* it a release; the epoch is settled
once nobody owes it or one before it. Settled rows fold into `rows`, so the state is one whole row for each
resource and at most `MOST_OPEN` epochs of changes.

At the bound `next_epoch` refuses.  Who proposes epochs puts in the releases of lapsed holders first
(`QuotaTransfer.lapsed`): a dead holder keeps an epoch open for no longer than lease and linger.
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

MOST_OPEN = 8  # epochs not settled at once; the next one is refused until a release or a lapse
SLACK = 1e-9  # of a capacity, by which a sum of floats may be above it


@dataclass(frozen=True, slots=True)
class EpochTarget(Generic[N]):
    """What one epoch grants: the rows that changed, whole; who is not named in a row has its floor there.

    A resource that is not named keeps its row; an empty row leaves everybody its floor.
    """

    epoch: int
    amounts: Mapping[Resource, Mapping[Holder, N]]


@dataclass(frozen=True, slots=True)
class Release:
    """Put into the log: this holder uses no more than its target of that epoch, nor will again."""

    epoch: int


class BadTarget(MallowbeamError):
    """A target that must not be: it would break a capacity or a floor, or names what is unknown."""

    error_name = "BadTarget"
    remedy = "propose amounts of known holders, none below its floor, that together fit the capacity"


class FloorsTooHigh(BadTarget):
    """The floors alone are more than the capacity."""

    error_name = "FloorsTooHigh"
    remedy = "lower the floors in every gateway's file, restart them all, then lower the capacity"


class TooManyOpen(MallowbeamError):
    """As many epochs are open as may be."""

    error_name = "TooManyOpen"
    remedy = "nothing to do: it passes as gateways release, at the latest after their lease; see who owes"


class OpenEpoch(msgspec.Struct, Generic[N], frozen=True):
    """One epoch that is not settled: the rows it changed, and who lost and so owes it a release."""

    epoch: int
    rows: dict[str, dict[str, N]]
    losers: tuple[str, ...] = ()


class QuotaEpochs(msgspec.Struct, Generic[N], frozen=True):
    """The replicated side: `rows` stand as of `settled`, the open epochs change them in turn."""

    holders: tuple[str, ...] = ()
    epoch: int = 0  # the newest
    settled: int = 0
    rows: dict[str, dict[str, N]] = {}
    open: tuple[OpenEpoch[N], ...] = ()
    released: dict[str, int] = {}  # by holder, its newest

    @property
    def amounts(self) -> dict[str, dict[str, N]]:
        """The newest rows of all resources."""
        rows = dict(self.rows)
        for opened in self.open:
            rows.update(opened.rows)
        return rows

    @property
    def owing(self) -> dict[str, int]:
        """Who owes a release, and up to which epoch."""
        return {
            holder: opened.epoch
            for opened in self.open
            for holder in opened.losers
            if self.released.get(holder, 0) < opened.epoch
        }


def next_epoch(
    handed: QuotaEpochs[N],
    amounts: Mapping[str, Mapping[str, N]],
    floor: Floor[N],
    capacity: Callable[[Resource], N],
    whole: bool = True,
    least: Callable[[Resource], N] | None = None,
) -> QuotaEpochs[N]:
    """Open an epoch that grants these amounts; the same state when they change nothing.

    `whole`: a resource that is not named goes back to its floors; else it keeps its row.  `least` is the sum
    of all floors of a resource, for one who knows it without asking for each: many holders make that dear.
    Raises `BadTarget`, `FloorsTooHigh`, `TooManyOpen`; the same on every member.
    """
    before = handed.amounts
    rows = {name: dict(row) for name, row in amounts.items() if row != before.get(name, {})}
    for name, row in (amounts if whole else rows).items():
        floors = least(name) if least else sum(floor(name, holder) for holder in handed.holders)
        if name in rows or not sum(row.values()) + floors <= capacity(name):  # else it surely fits still
            _check(handed, name, row, floor, floors, capacity(name))
    if whole:
        rows.update((name, dict[str, N]()) for name, row in before.items() if row and name not in amounts)
    if not rows:
        return handed
    if len(handed.open) >= MOST_OPEN:
        raise TooManyOpen(f"{MOST_OPEN} epochs are open", ", ".join(sorted(handed.owing)))
    losers = {
        holder
        for name, row in rows.items()
        for holder, had in before.get(name, {}).items()
        if row.get(holder, floor(name, holder)) < had
    }
    opened = OpenEpoch(handed.epoch + 1, rows, tuple(sorted(losers)))
    return settle(msgspec.structs.replace(handed, epoch=opened.epoch, open=(*handed.open, opened)))


def release(handed: QuotaEpochs[N], holder: Holder, epoch: int) -> QuotaEpochs[N]:
    """This holder has released that epoch, or its lease is surely over; others change nothing."""
    if holder not in handed.holders or not handed.released.get(holder, 0) < epoch <= handed.epoch:
        return handed
    return settle(msgspec.structs.replace(handed, released={**handed.released, holder: epoch}))


def _check(
    handed: QuotaEpochs[N], name: Resource, row: Mapping[Holder, N], floor: Floor[N], least: N, capacity: N
) -> None:
    if least > capacity * (1 + SLACK):
        raise FloorsTooHigh(f"floors of {least} in all, capacity {capacity}", name)
    total = least
    for holder, amount in row.items():
        if holder not in handed.holders:
            raise BadTarget(f"{holder!r} is no gateway of this fleet", name)
        if not amount >= (own := floor(name, holder)):
            raise BadTarget(f"{amount} for {holder}, its floor is {own}", name)
        total += amount - own
    if total > capacity * (1 + SLACK):
        raise BadTarget(f"{total} granted in all, capacity {capacity}", name)


def settle(handed: QuotaEpochs[N]) -> QuotaEpochs[N]:
    """Fold the oldest epochs into the rows as far as nobody owes them."""
    done = 0
    for opened in handed.open:
        if any(handed.released.get(holder, 0) < opened.epoch for holder in opened.losers):
            break
        done += 1
    if not done:
        return handed
    rows = dict(handed.rows)
    for opened in handed.open[:done]:
        for name, row in opened.rows.items():
            if row:
                rows[name] = row
            else:
                rows.pop(name, None)
    settled = handed.open[done - 1].epoch
    return msgspec.structs.replace(handed, rows=rows, settled=settled, open=handed.open[done:])
