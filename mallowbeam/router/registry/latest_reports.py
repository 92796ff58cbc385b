"""The latest report of each source, such as a gateway or a member, with a time to live."""

from __future__ import annotations

from collections.abc import Hashable, Iterable, Iterator
from dataclasses import dataclass
from typing import Generic, TypeVar

Item = TypeVar("Item")


@dataclass(frozen=True, slots=True)
class _Report(Generic[Item]):
    """One source's latest report, and when it was received, in seconds of the monotonic clock."""

    items: tuple[Item, ...]
    received_at: float


class LatestReports(Generic[Item]):
    """One report for each source; it expires unless the source sends a new one."""

    def __init__(self, ttl_s: float, max_items: int) -> None:
        """Keep the first `max_items` items of a report for `ttl_s` seconds after it was received."""
        self._ttl_s = ttl_s
        self._max_items = max_items
        self._reports: dict[Hashable, _Report[Item]] = {}

    def record(self, source: Hashable, items: Iterable[Item], now: float) -> None:
        """Replace a source's report."""
        self._reports[source] = _Report(tuple(items)[: self._max_items], now)

    def forget(self, source: Hashable) -> None:
        """Drop the report of a source that no longer exists."""
        self._reports.pop(source, None)

    def fresh(self, now: float) -> Iterator[Item]:
        """The items of all unexpired reports; expired ones are dropped."""
        ttl_s = self._ttl_s
        expired = [source for source, report in self._reports.items() if now - report.received_at > ttl_s]
        for source in expired:
            del self._reports[source]
        return (item for report in self._reports.values() for item in report.items)
