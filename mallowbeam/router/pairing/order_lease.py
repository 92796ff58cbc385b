"""Decides when a member may send orders to instances: as leader, under a lease granted by the log.

The lease's token is a fencing token for orders, and rises with each new holder. Instances may lose the
highest token that they have seen, so the holders' orders are separated in time as well: a new holder waits
until no order of the previous one can be in flight. The previous holder sends only while a majority has
confirmed its leadership within `fresh_s`, which the new holder's wait includes; a process that was suspended
detects that by its clock before it sends. Times are in seconds of the monotonic clock. A pure core.

This is the holder's side of the lease that `mallowbeam.router.registry.leases` grants. The two are separate
because the granting side is replicated, and must depend neither on time nor on one member's leadership.
"""

from __future__ import annotations

from dataclasses import dataclass
from math import inf


@dataclass(frozen=True, slots=True)
class OrderLeaseSettings:
    """Times of the lease, in seconds."""

    lease_s: float
    """The minimum time between the orders of two holders."""
    fresh_s: float = 0.5
    """A leader may send while a majority has confirmed it within this time."""
    answer_s: float = 0.6
    """The maximum time that an order may be in flight: its connection is reset after it."""
    margin_s: float = 0.25
    """A margin for delays between a check and the send that follows it."""
    retry_s: float = 0.5
    """The time between two attempts to acquire the lease."""

    @property
    def wait_s(self) -> float:
        """How long a new holder waits between acquiring the lease and its first order."""
        return self.lease_s + self.fresh_s + self.answer_s + self.margin_s


@dataclass(frozen=True, slots=True)
class Leadership:
    """The member's view of its own leadership at one moment."""

    is_leader: bool
    term: int
    confirmed_s_ago: float  # seconds since a majority confirmed it


@dataclass(frozen=True, slots=True)
class _Grant:
    """The lease as it was acquired in one term of leadership."""

    term: int
    token: int
    usable_at: float


class OrderLease:
    """The holder's side of the lease over the stages, at one member."""

    def __init__(self, settings: OrderLeaseSettings) -> None:
        self.settings = settings
        self._grant: _Grant | None = None
        self._usable_at: dict[int, float] = {}  # by token; only the last one that this process acquired
        self._acquiring_in = -1  # term of the attempt in progress
        self._next_attempt_at = -inf

    def should_acquire(self, leadership: Leadership, now: float) -> bool:
        """Whether to propose the acquisition of the lease now; if True, the attempt counts as begun."""
        if not leadership.is_leader:
            return False
        if self._grant is not None and self._grant.term == leadership.term:
            return False
        if self._acquiring_in == leadership.term and now < self._next_attempt_at:
            return False
        self._acquiring_in = leadership.term
        self._next_attempt_at = now + self.settings.wait_s
        return True

    def acquired(self, term: int, token: int, now: float) -> None:
        """Record that the log granted the lease to a proposal that this member made as the leader of `term`.

        If this process already had the token, no other holder was in between, and the wait is not restarted.
        """
        usable_at = now + self.settings.wait_s
        if token in self._usable_at:
            usable_at = self._usable_at[token]
        self._usable_at = {token: usable_at}
        self._grant = _Grant(term, token, usable_at)

    def not_acquired(self, now: float) -> None:
        """Record that an attempt failed, or that its outcome is unknown."""
        self._next_attempt_at = now + self.settings.retry_s

    def rejected(self, now: float) -> None:
        """Record that an instance has seen a higher token: this member's lease is lost."""
        self._grant = None
        self._next_attempt_at = now + self.settings.wait_s

    def token(self, leadership: Leadership, now: float) -> int | None:
        """The token under which an order may be sent at this moment; None if none may be sent."""
        grant = self._grant
        if grant is None or not leadership.is_leader or leadership.term != grant.term:
            return None
        if leadership.confirmed_s_ago > self.settings.fresh_s or now < grant.usable_at:
            return None
        return grant.token
