"""How many further sends a gateway may make to one service.  A pure core.

The bound, for the whole fleet and for every span of the window's length: arrivals at the service after a
request's first are at most `ratio` times the requests that clients sent for it, plus `min_retries`; the
requests are those of that span, of the one before it, or of the one half a window before it, whichever has
the most.

Each gateway keeps its own share, so that the sum holds without messages between them: its retries in a span
are at most `ratio` times its requests in the span *before*, plus its share of `min_retries`.  All gateways
use the same one of the three: the largest of each would add up to more than the largest of the sums.  While a
service has been in use for less than half a window there is little before; until then the span half a window
before is used.

Time is cut into slices.  A span that begins inside a slice counts all retries of that slice and of the one
before, as a send may arrive up to a slice later than it is counted; of requests it counts complete slices
only.
"""

from __future__ import annotations

from dataclasses import dataclass

SLICES = 20  # of one window
HALF = SLICES // 2


@dataclass(frozen=True, slots=True)
class BudgetSettings:
    """The bounds as the settings file states them; `window_s` in seconds."""

    ratio: float = 0.1
    window_s: float = 10.0
    min_retries: int = 0


@dataclass(slots=True)
class _Slice:
    """What was counted in one slice of time."""

    requests: int = 0
    retries: int = 0


EMPTY = _Slice()  # never changed


class RetryBudget:
    """The budget of one service at this gateway."""

    def __init__(self, settings: BudgetSettings) -> None:
        self._settings = settings
        self._slice_s = settings.window_s / SLICES
        self._slices: dict[int, _Slice] = {}  # by number, in rising order
        self._first = 0  # the first slice since nothing was counted

    def request(self, now: float) -> None:
        """Count a client's request for the service."""
        self._slice(now).requests += 1

    def take(self, now: float, gateways: int) -> bool:
        """Count a further send, if it is within the budget; `gateways` share `min_retries`."""
        if self.available(now, gateways) < 1.0:
            return False
        self._slice(now).retries += 1
        return True

    def give_back(self, now: float) -> None:
        """A send that was counted just now never arrived."""
        current = self._number(now)
        for number in sorted(self._slices, reverse=True):
            if number <= current and self._slices[number].retries > 0:
                self._slices[number].retries -= 1
                return

    def available(self, now: float, gateways: int) -> float:
        """Further sends that are within the budget now: as many as the tightest span that ends now allows."""
        current = self._number(now)
        self._forget(current)
        oldest = current - 2 * SLICES
        counts = [self._slices.get(number, EMPTY) for number in range(oldest, current + 1)]
        first = self._first if self._slices else current
        shared = self._settings.min_retries / max(1, gateways)
        before = sum(counts.requests for counts in counts[SLICES + 1 : -1])
        retries = counts[-1].retries
        least = float("inf")
        for begin in range(current, max(first, current - SLICES) - 1, -1):
            at = begin - oldest
            retries += counts[at - 1].retries
            requests = self._around(begin, current) if begin < first + HALF else before
            least = min(least, self._settings.ratio * requests + shared - retries)
            before += counts[at - SLICES].requests - counts[at - 1].requests
        return least

    def unused(self, now: float) -> bool:
        """Whether nothing is counted any more."""
        self._forget(self._number(now))
        return not self._slices

    def _around(self, begin: int, current: int) -> int:
        """Requests from half a window before a slice to half a window behind it, as far as they have come."""
        last = min(current, begin + HALF - 1)
        return sum(self._slices.get(number, EMPTY).requests for number in range(begin - HALF + 1, last + 1))

    def _number(self, now: float) -> int:
        return int(now // self._slice_s)

    def _slice(self, now: float) -> _Slice:
        number = self._number(now)
        counts = self._slices.get(number)
        if counts is None:
            self._forget(number)
            self._first = self._first if self._slices else number
            counts = self._slices[number] = _Slice()
        return counts

    def _forget(self, current: int) -> None:
        """Drop slices that lie more than two windows and a slice back."""
        while self._slices and (oldest := next(iter(self._slices))) < current - 2 * SLICES - 1:
            del self._slices[oldest]


class RetryBudgets:
    """The budgets of all services."""

    def __init__(self, settings: BudgetSettings) -> None:
        self._settings = settings
        self._budgets: dict[str, RetryBudget] = {}

    def of(self, backend: str) -> RetryBudget:
        """The budget of a service."""
        budget = self._budgets.get(backend)
        if budget is None:
            budget = self._budgets[backend] = RetryBudget(self._settings)
        return budget

    def keep_only(self, backends: frozenset[str], now: float) -> None:
        """Forget services that the configuration does not name, once nothing of theirs counts any more."""
        for name in [name for name in self._budgets if name not in backends]:
            if self._budgets[name].unused(now):
                del self._budgets[name]
