"""What became of all gateways' attempts at each instance: sums of what each told of late.  A pure core.

One of many gateways sends an instance something every few seconds, and would learn of its failure by requests
of its own, each of which waits for a time-out.  So each gateway tells its member how its attempts of the last
half second ended, a member tells the others the sums over its gateways, and gateways hear those of the fleet,
of instances with failures only.  A message is as long as the number of failing instances, at most MOST_TOLD.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

from mallowbeam.router.registry.latest_reports import LatestReports
from mallowbeam.router.rpc.messages_pb2 import InstanceAttempts

ATTEMPTS_KEPT_S = 1.6  # how long a source's word holds without a new one
MOST_TAKEN = 4_096  # instances of which one source may tell; further ones are left out
MOST_TOLD = 64  # instances of which gateways are told
MOST_COUNT = 1 << 20


@dataclass(slots=True)
class AttemptSum:
    """Attempts at one instance over the last half second."""

    failed: int = 0
    answered: int = 0

    def add(self, failed: int, answered: int) -> None:
        """Add one source's part."""
        self.failed += min(failed, MOST_COUNT)
        self.answered += min(answered, MOST_COUNT)


class AttemptTable(LatestReports[InstanceAttempts]):
    """What each source told last."""

    def __init__(self) -> None:
        super().__init__(ATTEMPTS_KEPT_S, MOST_TAKEN)

    def sums(self, now: float) -> dict[str, AttemptSum]:
        """By instance, the sum over all sources heard of late."""
        sums: dict[str, AttemptSum] = {}
        for one in self.fresh(now):
            sums.setdefault(one.id, AttemptSum()).add(one.failed, one.answered)
        return sums


def add_sums(parts: Iterable[dict[str, AttemptSum]]) -> dict[str, AttemptSum]:
    """Sums of sums, by instance."""
    total: dict[str, AttemptSum] = {}
    for part in parts:
        for id, one in part.items():
            total.setdefault(id, AttemptSum()).add(one.failed, one.answered)
    return total


def messages_of(sums: dict[str, AttemptSum], most: int) -> list[InstanceAttempts]:
    """Messages of the sums, those with the most failures first."""
    ranked = sorted(sums.items(), key=lambda entry: (-entry[1].failed, entry[0]))
    return [
        InstanceAttempts(id=id, failed=min(one.failed, MOST_COUNT), answered=min(one.answered, MOST_COUNT))
        for id, one in ranked[:most]
    ]


def failing(sums: dict[str, AttemptSum]) -> dict[str, AttemptSum]:
    """The sums with failures."""
    return {id: one for id, one in sums.items() if one.failed}
