"""Outlier ejection: instances that fail are left out for a short, growing time.  A pure core.

An instance is ejected after `failures` failures in a row.  When its time is over one request may try it
(half-open): a success takes it back, a failure ejects it for twice as long.  Where more than `most_share` of
a service's instances would be left out, none is (panic threshold): the failures then say more of the way
than of the instances.
"""

from __future__ import annotations

from collections.abc import Collection
from dataclasses import dataclass

KEPT_S = 30.0  # after its last failure, an instance that is not asked is forgotten


@dataclass(frozen=True, slots=True)
class EjectionSettings:
    """Bounds of ejection; times in seconds."""

    failures: int = 2  # in a row
    first_s: float = 0.5
    most_s: float = 8.0
    most_share: float = 0.5  # of a service's instances
    suspected_s: float = 1.0  # by word of other gateways, renewed while it is told
    probe_s: float = 2.0  # after which a probe without a result no longer counts


@dataclass(slots=True)
class _Record:
    failures: int = 0
    ejections: int = 0
    until: float = 0.0  # ejected up to here
    probing_until: float = 0.0  # a half-open request is out
    last: float = 0.0


class Ejection:
    """What failures this gateway has seen, by instance id."""

    def __init__(self, settings: EjectionSettings | None = None) -> None:
        self._settings = settings if settings is not None else EjectionSettings()
        self._records: dict[str, _Record] = {}

    def failed(self, instance: str, now: float, at_once: bool = False) -> None:
        """An instance did not answer as the protocol says; `at_once`: ejected whatever came before."""
        record = self._records.setdefault(instance, _Record())
        record.failures += 1
        record.last = now
        record.probing_until = 0.0
        if at_once or record.ejections or record.failures >= self._settings.failures:
            record.ejections += 1
            record.until = now + self._duration(record.ejections)

    def suspected(self, instance: str, now: float) -> None:
        """Other gateways' attempts at an instance fail: it is left out for the first, shortest time."""
        record = self._records.setdefault(instance, _Record())
        record.ejections = max(1, record.ejections)
        record.last = now
        record.until = max(record.until, now + self._settings.suspected_s)

    def succeeded(self, instance: str) -> None:
        """An instance answered."""
        if self._records:
            self._records.pop(instance, None)

    def begun(self, instance: str, now: float) -> None:
        """A request leaves for an instance: a half-open one is tried by one request at a time."""
        record = self._records.get(instance) if self._records else None
        if record is not None and record.ejections and now >= record.until:
            record.probing_until = now + self._settings.probe_s

    def excluded(self, among: Collection[str], now: float) -> frozenset[str]:
        """Those of a service's instances that are not to be used now."""
        if not self._records:
            return frozenset()
        out = frozenset(
            instance
            for instance, record in self._records.items()
            if self._is_out(record, now) and instance in among
        )
        if len(out) > self._settings.most_share * len(among):
            return frozenset()
        return out

    def forget(self, instance: str) -> None:
        """An instance is gone."""
        self._records.pop(instance, None)

    def sweep(self, now: float) -> None:
        """Forget what is long over."""
        for instance in [
            instance
            for instance, record in self._records.items()
            if now - record.last > KEPT_S and now >= record.until
        ]:
            del self._records[instance]

    @staticmethod
    def _is_out(record: _Record, now: float) -> bool:
        return record.ejections > 0 and (now < record.until or now < record.probing_until)

    def _duration(self, ejections: int) -> float:
        doubled: float = self._settings.first_s * 2 ** min(ejections - 1, 10)
        return min(doubled, self._settings.most_s)
