"""Shrink before grow: who may use how much of what is shared, by epochs and leases; without I/O.

A *resource* (a volume's units at a node, a node's connections) has one amount that all holders together
never exceed.  An *epoch* is a number that the log commits together with each holder's target.  A holder
whose target fell uses no more than the new one from the moment that it hears of it, and says so (`Release`)
once what is out fits it.  A holder whose target rose uses the old amount until every holder that lost has
released, or their leases have surely run out.  A holder cut off keeps what it has to its lease's end, then
its floor, which is set aside for it for good.

A lease rests on the fleet's marks (`policy.py`): `proven(put_in)` is the time, on this holder's own steady
clock, at which the newest mark that came back was put in.  What was committed after it may be unknown here,
so past `put_in + lease` only the floor is used.  A grower counts the lease of others from when it heard of
the epoch, which is after the commit, and longer by `drift`.  No clock is compared with another's.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from typing import Generic, TypeVar

N = TypeVar("N", int, float)
Resource = str
Holder = str


@dataclass(frozen=True, slots=True)
class Target(Generic[N]):
    """What one epoch grants: amounts by resource and holder; who is not named holds its floor."""

    epoch: int
    amounts: Mapping[Resource, Mapping[Holder, N]]


@dataclass(frozen=True, slots=True)
class Release:
    """Put into the log: this holder uses no more than its target of that epoch, nor will again."""

    epoch: int
