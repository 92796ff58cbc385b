"""The retry budget: how many retries a gateway may send to one service.  No I/O.

The limit holds for the whole fleet and for every time span as long as the window.  The retries that arrive
at the service in a span (all arrivals of a request after its first) are at most `ratio` times the requests
that clients sent for it, plus `min_retries`.  The requests are counted in that span, in the span before it or
in the span that starts half a window earlier, whichever has the most.

Each gateway enforces its own share, so that the sum holds without communication: its retries in a span are at
most `ratio` times its requests in the span *before*, plus its share of `min_retries`.  All gateways must use
the same one of the three spans, because the largest counts of the gateways can add up to more than the
largest of the fleet's counts.  While a service has been in use for less than half a window, the span before
holds few requests; until then the span that starts half a window earlier is used.

Time is divided into slices.  A span that begins inside a slice counts all retries of that slice and of the
one before, because a send may arrive up to one slice later than it is counted; of the requests it counts only
those in complete slices.
"""

from __future__ import annotations

from dataclasses import dataclass

SLICES = 20  # of one window
HALF_WINDOW = SLICES // 2


@dataclass(frozen=True, slots=True)
class BudgetSettings:
    """The limits from the settings file; `window_s` in seconds."""

    ratio: float = 0.1
    window_s: float = 10.0
    min_retries: int = 0


@dataclass(slots=True)
class _Slice:
    """The counts of one time slice."""

    requests: int = 0
    retries: int = 0


EMPTY_SLICE = _Slice()  # read-only


class RetryBudget:
    """The retry budget of one service at this gateway."""

    def __init__(self, settings: BudgetSettings) -> None:
        self._settings = settings
        self._slice_s = settings.window_s / SLICES
        self._slices: dict[int, _Slice] = {}  # by slice number, in ascending order
        self._first_slice = 0  # the first slice after the last period in which nothing was counted

    def request(self, now: float) -> None:
        """Count a client request for the service."""
        self._slice(now).requests += 1

    def take(self, now: float, gateways: int) -> bool:
        """Count a retry if it is within the budget, else return False; `gateways` share `min_retries`."""
        if self.available(now, gateways) < 1.0:
            return False
        self._slice(now).retries += 1
        return True

    def give_back(self, now: float) -> None:
        """Uncount a recent retry that never arrived at an instance."""
        current = self._slice_number(now)
        for number in sorted(self._slices, reverse=True):
            if number <= current and self._slices[number].retries > 0:
                self._slices[number].retries -= 1
                return

    def available(self, now: float, gateways: int) -> float:
        """Return how many retries are allowed now: the minimum over all spans that end now."""
        current = self._slice_number(now)
        self._drop_old_slices(current)
        oldest = current - 2 * SLICES
        counts = [self._slices.get(number, EMPTY_SLICE) for number in range(oldest, current + 1)]
        first = self._first_slice if self._slices else current
        min_retries_share = self._settings.min_retries / max(1, gateways)
        requests_before = sum(counts.requests for counts in counts[SLICES + 1 : -1])
        retries = counts[-1].retries
        minimum = float("inf")
        for begin in range(current, max(first, current - SLICES) - 1, -1):
            index = begin - oldest
            retries += counts[index - 1].retries
            requests = (
                self._requests_around(begin, current) if begin < first + HALF_WINDOW else requests_before
            )
            minimum = min(minimum, self._settings.ratio * requests + min_retries_share - retries)
            requests_before += counts[index - SLICES].requests - counts[index - 1].requests
        return minimum

    def unused(self, now: float) -> bool:
        """Whether no counts are left."""
        self._drop_old_slices(self._slice_number(now))
        return not self._slices

    def _requests_around(self, begin: int, current: int) -> int:
        """Return the requests from half a window before a slice to half a window after it, up to now."""
        last = min(current, begin + HALF_WINDOW - 1)
        return sum(
            self._slices.get(number, EMPTY_SLICE).requests
            for number in range(begin - HALF_WINDOW + 1, last + 1)
        )

    def _slice_number(self, now: float) -> int:
        return int(now // self._slice_s)

    def _slice(self, now: float) -> _Slice:
        number = self._slice_number(now)
        counts = self._slices.get(number)
        if counts is None:
            self._drop_old_slices(number)
            self._first_slice = self._first_slice if self._slices else number
            counts = self._slices[number] = _Slice()
        return counts

    def _drop_old_slices(self, current: int) -> None:
        """Drop slices that are more than two windows and one slice old."""
        while self._slices and (oldest := next(iter(self._slices))) < current - 2 * SLICES - 1:
            del self._slices[oldest]


class RetryBudgets:
    """The retry budgets of all services."""

    def __init__(self, settings: BudgetSettings) -> None:
        self._settings = settings
        self._budgets: dict[str, RetryBudget] = {}

    def of(self, backend: str) -> RetryBudget:
        """Return the budget of a service."""
        budget = self._budgets.get(backend)
        if budget is None:
            budget = self._budgets[backend] = RetryBudget(self._settings)
        return budget

    def keep_only(self, backends: frozenset[str], now: float) -> None:
        """Drop the budgets of services that are not configured, once no counts are left in them."""
        for name in [name for name in self._budgets if name not in backends]:
            if self._budgets[name].unused(now):
                del self._budgets[name]
