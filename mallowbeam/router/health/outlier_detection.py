"""Outlier ejection: instances that fail are left out for a short, growing time.  A pure core.

An instance is ejected after `failures` consecutive failures.  When its ejection ends, a single request probes
it (half-open): a success restores it, a failure ejects it for twice as long.  If more than
`most_ejected_fraction` of a service's instances would be ejected, none is (panic threshold): so many failures
point to the network rather than to the instances.
"""

from __future__ import annotations

from collections.abc import Collection
from dataclasses import dataclass

RECORD_LIFETIME_S = 30.0  # seconds after its last failure until the record of an unused instance is dropped


@dataclass(frozen=True, slots=True)
class OutlierSettings:
    """Bounds of outlier ejection; times in seconds."""

    failures: int = 2  # consecutive failures that cause the first ejection
    first_s: float = 0.5
    most_s: float = 8.0
    most_ejected_fraction: float = 0.5  # of a service's instances
    suspected_s: float = 1.0  # ejection after failures of other gateways; renewed while they are reported
    probe_s: float = 2.0  # after which a half-open request without a result no longer counts


@dataclass(slots=True)
class _Record:
    failures: int = 0
    ejections: int = 0
    until: float = 0.0  # end of the ejection
    probing_until: float = 0.0  # until then a half-open request counts as in flight
    last: float = 0.0


class OutlierDetector:
    """Failures that this gateway has observed, by instance id."""

    def __init__(self, settings: OutlierSettings | None = None) -> None:
        self._settings = settings if settings is not None else OutlierSettings()
        self._records: dict[str, _Record] = {}

    def failed(self, instance: str, now: float, at_once: bool = False) -> None:
        """Record a failure; `at_once` ejects the instance at its first failure."""
        record = self._records.setdefault(instance, _Record())
        record.failures += 1
        record.last = now
        record.probing_until = 0.0
        if at_once or record.ejections or record.failures >= self._settings.failures:
            record.ejections += 1
            record.until = now + self._duration(record.ejections)

    def suspected(self, instance: str, now: float) -> None:
        """Eject an instance at which other gateways' attempts fail, for `suspected_s`."""
        record = self._records.setdefault(instance, _Record())
        record.ejections = max(1, record.ejections)
        record.last = now
        record.until = max(record.until, now + self._settings.suspected_s)

    def succeeded(self, instance: str) -> None:
        """Record a success: the instance is healthy again."""
        if self._records:
            self._records.pop(instance, None)

    def begun(self, instance: str, now: float) -> None:
        """Record that a request is sent; a half-open instance gets one request at a time."""
        record = self._records.get(instance) if self._records else None
        if record is not None and record.ejections and now >= record.until:
            record.probing_until = now + self._settings.probe_s

    def excluded(self, among: Collection[str], now: float) -> frozenset[str]:
        """The ejected instances among those of a service; empty beyond the panic threshold."""
        if not self._records:
            return frozenset()
        ejected = frozenset(
            instance
            for instance, record in self._records.items()
            if self._is_ejected(record, now) and instance in among
        )
        if len(ejected) > self._settings.most_ejected_fraction * len(among):
            return frozenset()
        return ejected

    def forget(self, instance: str) -> None:
        """Drop the record of an instance that has ended."""
        self._records.pop(instance, None)

    def sweep(self, now: float) -> None:
        """Drop records that have expired."""
        for instance in [
            instance
            for instance, record in self._records.items()
            if now - record.last > RECORD_LIFETIME_S and now >= record.until
        ]:
            del self._records[instance]

    @staticmethod
    def _is_ejected(record: _Record, now: float) -> bool:
        return record.ejections > 0 and (now < record.until or now < record.probing_until)

    def _duration(self, ejections: int) -> float:
        doubled_s: float = self._settings.first_s * 2 ** min(ejections - 1, 10)
        return min(doubled_s, self._settings.most_s)
