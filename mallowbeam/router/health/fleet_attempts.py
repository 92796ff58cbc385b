"""Outcomes of all gateways' attempts at each instance: sums of the latest reports.  A pure core.

Each of many gateways sends a given instance only one request every few seconds, and would detect its failure
only by own requests that time out.  So each gateway reports the outcomes of its attempts of the last half
second to its member, a member reports the sums over its gateways to the others, and gateways receive the sums
over the fleet for instances with failures.  A message has one entry for each failing instance, at most
MAX_REPORTED_INSTANCES.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

from mallowbeam.router.registry.latest_reports import LatestReports
from mallowbeam.router.rpc.messages_pb2 import InstanceAttempts

ATTEMPTS_LIFETIME_S = 1.6  # seconds for which a source's report counts without a newer one
MAX_INSTANCES_PER_SOURCE = 4_096  # in one source's report; further ones are ignored
MAX_REPORTED_INSTANCES = 64  # instances in one message to gateways
MAX_ATTEMPT_COUNT = 1 << 20  # upper bound of each count in a report


@dataclass(slots=True)
class AttemptSum:
    """Attempts at one instance over the last half second."""

    failed: int = 0
    answered: int = 0

    def add(self, failed: int, answered: int) -> None:
        """Add the counts of one source."""
        self.failed += min(failed, MAX_ATTEMPT_COUNT)
        self.answered += min(answered, MAX_ATTEMPT_COUNT)


class AttemptTable(LatestReports[InstanceAttempts]):
    """The latest report of each source."""

    def __init__(self) -> None:
        super().__init__(ATTEMPTS_LIFETIME_S, MAX_INSTANCES_PER_SOURCE)

    def sums(self, now: float) -> dict[str, AttemptSum]:
        """Return, by instance, the sum over all unexpired reports."""
        sums: dict[str, AttemptSum] = {}
        for one in self.fresh(now):
            sums.setdefault(one.id, AttemptSum()).add(one.failed, one.answered)
        return sums


def add_sums(parts: Iterable[dict[str, AttemptSum]]) -> dict[str, AttemptSum]:
    """Return the totals of several sums, by instance."""
    total: dict[str, AttemptSum] = {}
    for sums in parts:
        for id, one in sums.items():
            total.setdefault(id, AttemptSum()).add(one.failed, one.answered)
    return total


def messages_of(sums: dict[str, AttemptSum], max_messages: int) -> list[InstanceAttempts]:
    """Return at most `max_messages` of the sums as messages, most failures first."""
    ranked = sorted(sums.items(), key=lambda entry: (-entry[1].failed, entry[0]))
    return [
        InstanceAttempts(
            id=id, failed=min(one.failed, MAX_ATTEMPT_COUNT), answered=min(one.answered, MAX_ATTEMPT_COUNT)
        )
        for id, one in ranked[:max_messages]
    ]


def failing(sums: dict[str, AttemptSum]) -> dict[str, AttemptSum]:
    """Return only the sums of instances with failures."""
    return {id: one for id, one in sums.items() if one.failed}
