"""How many further sends a gateway may make to one service.  A pure core.

Within any span of the window's length, arrivals at the service after a request's first stay within
`ratio` times the requests that clients sent for it, plus the gateway's part of `min_retries`.  Time is cut
into slices; retries are counted for longer and requests for shorter than the window, so that the bound also
holds for spans that begin inside a slice.
"""

from __future__ import annotations

from dataclasses import dataclass

SLICES = 20                 # of one window


@dataclass(frozen=True, slots=True)
class BudgetSettings:
    """The bounds as the settings file states them; `window_s` in seconds."""

    ratio: float = 0.1
    window_s: float = 10.0
    min_retries: int = 0


class RetryBudget:
    """The budget of one service at this gateway."""

    def __init__(self, settings: BudgetSettings) -> None:
        self._settings = settings
        self._slice_s = settings.window_s / SLICES
        self._slices: dict[int, list[int]] = {}  # slice number -> [requests, retries]

    def request(self, now: float) -> None:
        """Count a client's request for the service."""
        self._slice(now)[0] += 1

    def take(self, now: float, gateways: int) -> bool:
        """Count a further send, if it is within the budget; `gateways` share `min_retries`."""
        if self.available(now, gateways) < 1.0:
            return False
        self._slice(now)[1] += 1
        return True

    def give_back(self, now: float) -> None:
        """A send that was counted just now never arrived."""
        current = self._number(now)
        for number in sorted(self._slices, reverse=True):
            if number <= current and self._slices[number][1] > 0:
                self._slices[number][1] -= 1
                return

    def available(self, now: float, gateways: int) -> float:
        """Further sends that are within the budget now."""
        current = self._number(now)
        self._forget(current)
        requests = 0
        retries = 0
        for number, (sent, repeated) in self._slices.items():
            retries += repeated
            if number > current - SLICES:
                requests += sent
        part = self._settings.min_retries / max(1, gateways)
        return self._settings.ratio * requests + part - retries

    def _number(self, now: float) -> int:
        return int(now // self._slice_s)

    def _slice(self, now: float) -> list[int]:
        number = self._number(now)
        counts = self._slices.get(number)
        if counts is None:
            self._forget(number)
            counts = self._slices[number] = [0, 0]
        return counts

    def _forget(self, current: int) -> None:
        """Drop slices that lie more than a window and a slice back."""
        while self._slices and (oldest := next(iter(self._slices))) < current - SLICES - 1:
            del self._slices[oldest]


class RetryBudgets:
    """The budgets of all services; one that had no request for a while is forgotten by `sweep`."""

    def __init__(self, settings: BudgetSettings) -> None:
        self._settings = settings
        self._budgets: dict[str, RetryBudget] = {}

    def of(self, backend: str) -> RetryBudget:
        """The budget of a service."""
        budget = self._budgets.get(backend)
        if budget is None:
            budget = self._budgets[backend] = RetryBudget(self._settings)
        return budget

    def keep_only(self, backends: frozenset[str]) -> None:
        """Forget the services that no configuration names any more."""
        for name in [name for name in self._budgets if name not in backends]:
            del self._budgets[name]
