"""The members that a gateway may follow, and which of them it tries next."""

from __future__ import annotations

import math
from collections.abc import Iterable
from dataclasses import dataclass
from random import Random

from mallowbeam.router.feed.limits import (
    BACKOFF_JITTER,
    BACKOFF_MAX_S,
    BACKOFF_MIN_S,
    EJECTION_MAX_S,
    EJECTION_MIN_S,
    MAX_MEMBERS,
)

MAX_DOUBLINGS = 16  # of a backoff or an ejection; the maximum applies before that


@dataclass(slots=True)
class Candidate:
    """Health of one member. Times are in seconds of the monotonic clock."""

    failures: int = 0  # consecutive
    backoff_until: float = 0.0  # no connection attempt before
    ejected_until: float = 0.0  # because it was unreachable, isolated or behind
    ejections: int = 0  # consecutive
    current_at: float = -math.inf  # the last time at which its state was known to be current

    def eligible(self, now: float) -> bool:
        """Whether the member is not ejected."""
        return now >= self.ejected_until


class Candidates:
    """Members learned from heartbeats, with the seeds as a fallback."""

    def __init__(self, seeds: Iterable[str], random: Random) -> None:
        """Start with the addresses from the settings."""
        self._seeds = tuple(dict.fromkeys(seeds))
        self._members: tuple[str, ...] = ()
        self._random = random
        self.ejections_grow = True  # False while the gateway is not ready and needs any current member
        self._by_address: dict[str, Candidate] = {address: Candidate() for address in self._seeds}

    @property
    def addresses(self) -> tuple[str, ...]:
        """All members and seeds, each once."""
        return tuple(self._by_address)

    def replace_seeds(self, seeds: Iterable[str]) -> None:
        """Replace the seeds by those of changed settings; addresses that remain keep their records."""
        self._seeds = tuple(dict.fromkeys(seeds))
        self._update_records()

    def replace_members(self, members: Iterable[str]) -> None:
        """Replace the membership by that of a current member; members that remain keep their records."""
        self._members = tuple(dict.fromkeys(members))[:MAX_MEMBERS]
        self._update_records()

    def add_members(self, members: Iterable[str]) -> None:
        """Add the membership of a member that may be outdated: members that it lacks stay known."""
        self.replace_members((*self._members, *members))

    def _update_records(self) -> None:
        """Keep a record for each member and seed, and none for other addresses."""
        addresses = dict.fromkeys(self._members + self._seeds)
        self._by_address = {address: self._by_address.get(address, Candidate()) for address in addresses}

    def get(self, address: str) -> Candidate:
        """The record of one member; a new, unattached one if it is unknown."""
        candidate = self._by_address.get(address)
        return candidate if candidate is not None else Candidate()

    def record_failure(self, address: str, now: float) -> None:
        """Back off from a member that could not be reached or ended its feed."""
        candidate = self.get(address)
        backoff = min(BACKOFF_MIN_S * 2 ** min(candidate.failures, MAX_DOUBLINGS), BACKOFF_MAX_S)
        candidate.failures += 1
        candidate.backoff_until = now + backoff * (1 - BACKOFF_JITTER * self._random.random())
        self.eject(address, now)

    def record_frame(self, address: str, current_at: float) -> None:
        """Record that a member sends frames, and when its state was current."""
        if all(known.failures for known in self._by_address.values()):
            self.readmit_others(address)  # no member was reachable: the gateway's own network had failed
        candidate = self.get(address)
        candidate.failures = 0
        candidate.current_at = current_at

    def readmit(self, address: str) -> None:
        """End the ejection of a member that is healthy."""
        candidate = self.get(address)
        candidate.ejected_until = 0.0
        candidate.ejections = 0

    def eject(self, address: str, now: float) -> None:
        """Eject a member, so that eligible ones are tried before it; no effect while it is ejected.

        Consecutive ejections last longer, unless `ejections_grow` is off.
        """
        candidate = self.get(address)
        if candidate.eligible(now):
            doublings = min(candidate.ejections, MAX_DOUBLINGS)
            candidate.ejected_until = now + min(EJECTION_MIN_S * 2**doublings, EJECTION_MAX_S)
            candidate.ejections += self.ejections_grow

    def readmit_others(self, address: str) -> None:
        """Readmit all members except `address`, which is no longer current: their ejections are outdated."""
        for other, candidate in self._by_address.items():
            if other != address:
                candidate.ejected_until = 0.0

    def choose(self, now: float) -> str | None:
        """The member to try now; None if all are in backoff.

        Eligible members come first, in random order; then eligible seeds that are no longer members; then, if
        all are ejected, the one with the freshest state among those that were reachable; then the one whose
        backoff ended first.
        """
        not_in_backoff = [
            address for address, candidate in self._by_address.items() if candidate.backoff_until <= now
        ]
        eligible = [address for address in not_in_backoff if self._by_address[address].eligible(now)]
        members = [address for address in eligible if address in self._members]
        if eligible:
            return self._random.choice(members or eligible)
        if not not_in_backoff:
            return None
        reachable = [address for address in not_in_backoff if not self._by_address[address].failures]
        if reachable:
            return max(reachable, key=self._freshness)
        return min(not_in_backoff, key=lambda address: self._by_address[address].backoff_until)

    def first_backoff_end(self) -> float:
        """When the first backoff ends."""
        return min((candidate.backoff_until for candidate in self._by_address.values()), default=math.inf)

    def has_alternative(self, address: str, now: float) -> bool:
        """Whether another member should be tried instead of `address`, which is ejected."""
        own_current_at = self.get(address).current_at
        for other, candidate in self._by_address.items():
            if other == address or candidate.backoff_until > now:
                continue
            if candidate.eligible(now) or (not candidate.failures and candidate.current_at > own_current_at):
                return True
        return False

    def _freshness(self, address: str) -> tuple[float, float]:
        """Sort key of ejected members: when their state was last current, then random."""
        return self._by_address[address].current_at, self._random.random()
