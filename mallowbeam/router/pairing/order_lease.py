"""When a member may send orders to instances: as the leader, under a lease granted by the log. A pure core.

The lease's token fences orders, and rises with each new holder. Instances may lose the highest token, so the
holders' orders are separated in time as well: a new holder waits until no order of the previous one can be in
flight. The previous one sends only while a majority has confirmed its leadership within `fresh_s`, which the
new holder's wait includes; a process that was suspended notices that by its clock before it sends.
Times are in seconds of the monotonic clock.

This is the holder's side of the lease that `mallowbeam.router.registry.leases` grants. The two differ on
purpose: the granting side is replicated, and must depend neither on time nor on one member's leadership.
"""

from __future__ import annotations

from dataclasses import dataclass
from math import inf


@dataclass(frozen=True, slots=True)
class OrderLeaseSettings:
    """Bounds of a holder."""

    lease_s: float
    """Orders of two holders are at least so far apart."""
    fresh_s: float = 0.5
    """The longest time since a majority confirmed the leader, at which it may send."""
    answer_s: float = 0.6
    """The longest time that an order may be on its way: its connection is reset after it."""
    margin_s: float = 0.25
    retry_s: float = 0.5
    """Between two attempts to acquire the lease."""

    @property
    def wait_s(self) -> float:
        """What a new holder waits between acquiring the lease and its first order."""
        return self.lease_s + self.fresh_s + self.answer_s + self.margin_s


@dataclass(frozen=True, slots=True)
class Standing:
    """What the member knows of its own leadership at one moment."""

    leads: bool
    term: int
    silence_s: float  # since a majority confirmed it


@dataclass(frozen=True, slots=True)
class _Grant:
    """The lease as acquired in one term of leadership."""

    term: int
    token: int
    usable_at: float


class OrderLease:
    """One member's view of the lease over the stages."""

    def __init__(self, settings: OrderLeaseSettings) -> None:
        self.settings = settings
        self._grant: _Grant | None = None
        self._usable_at: dict[int, float] = {}  # by token: the last one that this process acquired
        self._acquiring_in = -1  # term of the attempt that is under way
        self._next_attempt_at = -inf

    def should_acquire(self, standing: Standing, now: float) -> bool:
        """Whether to propose that this member gets the lease; where True, an attempt has begun."""
        if not standing.leads:
            return False
        if self._grant is not None and self._grant.term == standing.term:
            return False
        if self._acquiring_in == standing.term and now < self._next_attempt_at:
            return False
        self._acquiring_in = standing.term
        self._next_attempt_at = now + self.settings.wait_s
        return True

    def acquired(self, term: int, token: int, now: float) -> None:
        """The log gave the lease to this member, by a proposal that it made as the leader of `term`.

        A token that it had before tells that nobody else held the lease in between: nothing more is to be
        waited for than was then.
        """
        usable_at = now + self.settings.wait_s
        if token in self._usable_at:
            usable_at = self._usable_at[token]
        self._usable_at = {token: usable_at}
        self._grant = _Grant(term, token, usable_at)

    def not_acquired(self, now: float) -> None:
        """An attempt failed, or its outcome is not known."""
        self._next_attempt_at = now + self.settings.retry_s

    def rejected(self, now: float) -> None:
        """An instance has seen a higher token: what this member holds is of no use."""
        self._grant = None
        self._next_attempt_at = now + self.settings.wait_s

    def token(self, standing: Standing, now: float) -> int | None:
        """The token under which an order may be sent at this very moment; None: none may."""
        grant = self._grant
        if grant is None or not standing.leads or standing.term != grant.term:
            return None
        if standing.silence_s > self.settings.fresh_s or now < grant.usable_at:
            return None
        return grant.token
