"""The last report of each source, such as a gateway or a member, for as long as it holds.  A pure core."""

from __future__ import annotations

from collections.abc import Hashable, Iterable, Iterator
from dataclasses import dataclass
from typing import Generic, TypeVar

Part = TypeVar("Part")


@dataclass(frozen=True, slots=True)
class _Report(Generic[Part]):
    """One source's last report, and when it was heard by the steady clock, in seconds."""

    parts: tuple[Part, ...]
    heard_at: float


class LatestReports(Generic[Part]):
    """One report for each source; a source that is silent is counted for a while."""

    def __init__(self, kept_s: float, most: int) -> None:
        """A report holds for `kept_s` seconds without a new one; of its parts the first `most` are taken."""
        self._kept_s, self._most = kept_s, most
        self._reports: dict[Hashable, _Report[Part]] = {}

    def told(self, source: Hashable, parts: Iterable[Part], now: float) -> None:
        """Take a source's report, in place of its earlier one."""
        self._reports[source] = _Report(tuple(parts)[: self._most], now)

    def forget(self, source: Hashable) -> None:
        """A source has gone."""
        self._reports.pop(source, None)

    def fresh(self, now: float) -> Iterator[Part]:
        """The parts of all reports that still hold; the others are dropped."""
        kept_s = self._kept_s
        for source in [source for source, one in self._reports.items() if now - one.heard_at > kept_s]:
            del self._reports[source]
        return (part for report in self._reports.values() for part in report.parts)
