"""The members that a gateway may follow, and which of them it tries next."""

from __future__ import annotations

import math
from collections.abc import Iterable
from dataclasses import dataclass
from random import Random

from mallowbeam.router.feed.limits import (
    BACKOFF_JITTER,
    BACKOFF_LEAST_S,
    BACKOFF_MOST_S,
    MOST_MEMBERS,
    UNFIT_LEAST_S,
    UNFIT_MOST_S,
)


@dataclass(slots=True)
class Candidate:
    """What is known of one member. Times are in seconds of the steady clock."""

    failures: int = 0  # in a row
    not_before: float = 0.0  # no attempt until then
    unfit_until: float = 0.0  # out of reach, out of touch or behind when last seen
    unfit_times: int = 0  # in a row
    current_at: float = -math.inf  # when its state was current, as far as it is known

    def fit(self, now: float) -> bool:
        """Whether nothing speaks against it."""
        return now >= self.unfit_until


class Candidates:
    """Members learnt from heartbeats, with the seeds as a fallback."""

    def __init__(self, seeds: Iterable[str], random: Random) -> None:
        self._seeds = tuple(dict.fromkeys(seeds))
        self._members: tuple[str, ...] = ()
        self._random = random
        self.patient = True  # False: not ready before it finds a current one
        self._known: dict[str, Candidate] = {address: Candidate() for address in self._seeds}

    def learn(self, members: Iterable[str]) -> None:
        """Replace the list of members; what is known of those that stay is kept."""
        self._members = tuple(dict.fromkeys(members))[:MOST_MEMBERS]
        addresses = dict.fromkeys(self._members + self._seeds)
        self._known = {address: self._known.get(address, Candidate()) for address in addresses}

    def get(self, address: str) -> Candidate:
        """The record of one member."""
        found = self._known.get(address)
        return found if found is not None else Candidate()

    def failed(self, address: str, now: float) -> None:
        """Back off from a member that could not be reached or ended its feed."""
        candidate = self.get(address)
        backoff = min(BACKOFF_LEAST_S * 2 ** min(candidate.failures, 16), BACKOFF_MOST_S)
        candidate.failures += 1
        candidate.not_before = now + backoff * (1 - BACKOFF_JITTER * self._random.random())
        self.unfit(address, now)

    def served(self, address: str, current_at: float) -> None:
        """Note that a member sends frames, and when its state was current."""
        if all(known.failures for known in self._known.values()):
            self.reconsider_others(address)  # nobody was reached: that told of the gateway's own links
        candidate = self.get(address)
        candidate.failures = 0
        candidate.current_at = current_at

    def fit(self, address: str) -> None:
        """Note that nothing speaks against a member any more."""
        candidate = self.get(address)
        candidate.unfit_until = 0.0
        candidate.unfit_times = 0

    def unfit(self, address: str, now: float) -> None:
        """Leave a member aside while others are fit; nothing new while that lasts.

        That lasts longer each time where the gateway is patient.
        """
        candidate = self.get(address)
        if candidate.fit(now):
            candidate.unfit_until = now + min(
                UNFIT_LEAST_S * 2 ** min(candidate.unfit_times, 16), UNFIT_MOST_S
            )
            candidate.unfit_times += self.patient

    def reconsider_others(self, address: str) -> None:
        """A member that was current no longer is: what was learnt of the others before is old."""
        for other, candidate in self._known.items():
            if other != address:
                candidate.unfit_until = 0.0

    def choose(self, now: float) -> str | None:
        """The member to try now; None: all are backed off from.

        Fit members come first, in random order; then fit seeds that are no members any more; then, where all
        are unfit, the one whose state is freshest among those that could be reached; then the one that has
        waited longest.
        """
        ready = [address for address, candidate in self._known.items() if candidate.not_before <= now]
        members = [address for address in ready if address in self._members and self._known[address].fit(now)]
        if members:
            return self._random.choice(members)
        fit = [address for address in ready if self._known[address].fit(now)]
        if fit:
            return self._random.choice(fit)
        if not ready:
            return None
        reachable = [address for address in ready if not self._known[address].failures]
        if reachable:
            return max(reachable, key=self._freshness)
        return min(ready, key=lambda address: self._known[address].not_before)

    def next_ready(self) -> float:
        """When the first backoff ends."""
        return min((candidate.not_before for candidate in self._known.values()), default=math.inf)

    def better_than(self, address: str, now: float) -> bool:
        """Whether another member is worth a try in the place of one that is unfit."""
        own = self.get(address).current_at
        for other, candidate in self._known.items():
            if other == address or candidate.not_before > now:
                continue
            if candidate.fit(now) or (not candidate.failures and candidate.current_at > own):
                return True
        return False

    def _freshness(self, address: str) -> tuple[float, float]:
        """Order of unfit members: by the age of their state, then at random."""
        return self._known[address].current_at, self._random.random()
