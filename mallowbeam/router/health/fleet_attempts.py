"""Outcomes of all gateways' attempts at each instance: sums of the latest reports.  A pure core.

One of many gateways sends an instance a request every few seconds, and would learn of its failure by own
requests, each of which waits for a time-out.  So each gateway reports to its member how its attempts of the
last half second ended, a member reports to the others the sums over its gateways, and gateways receive those
of the fleet, of instances with failures only.  A message is as long as the number of failing instances, at
most MOST_REPORTED.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

from mallowbeam.router.registry.latest_reports import LatestReports
from mallowbeam.router.rpc.messages_pb2 import InstanceAttempts

ATTEMPTS_LIFETIME_S = 1.6  # seconds for which a source's report counts without a newer one
MOST_INSTANCES_PER_SOURCE = 4_096  # in one report; further ones are ignored
MOST_REPORTED = 64  # instances in one message to gateways
MOST_COUNT = 1 << 20


@dataclass(slots=True)
class AttemptSum:
    """Attempts at one instance over the last half second."""

    failed: int = 0
    answered: int = 0

    def add(self, failed: int, answered: int) -> None:
        """Add the counts of one source."""
        self.failed += min(failed, MOST_COUNT)
        self.answered += min(answered, MOST_COUNT)


class AttemptTable(LatestReports[InstanceAttempts]):
    """The latest report of each source."""

    def __init__(self) -> None:
        super().__init__(ATTEMPTS_LIFETIME_S, MOST_INSTANCES_PER_SOURCE)

    def sums(self, now: float) -> dict[str, AttemptSum]:
        """By instance, the sum over all reports that still count."""
        sums: dict[str, AttemptSum] = {}
        for one in self.fresh(now):
            sums.setdefault(one.id, AttemptSum()).add(one.failed, one.answered)
        return sums


def add_sums(parts: Iterable[dict[str, AttemptSum]]) -> dict[str, AttemptSum]:
    """Sums of sums, by instance."""
    total: dict[str, AttemptSum] = {}
    for sums in parts:
        for id, one in sums.items():
            total.setdefault(id, AttemptSum()).add(one.failed, one.answered)
    return total


def messages_of(sums: dict[str, AttemptSum], most: int) -> list[InstanceAttempts]:
    """The sums as messages, most failures first, at most `most`."""
    ranked = sorted(sums.items(), key=lambda entry: (-entry[1].failed, entry[0]))
    return [
        InstanceAttempts(id=id, failed=min(one.failed, MOST_COUNT), answered=min(one.answered, MOST_COUNT))
        for id, one in ranked[:most]
    ]


def failing(sums: dict[str, AttemptSum]) -> dict[str, AttemptSum]:
    """The sums of instances with failures."""
    return {id: one for id, one in sums.items() if one.failed}
