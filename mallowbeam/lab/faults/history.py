"""The history of a trial of policy changes, and the invariant checkers that read it.

A history holds the pushes and their outcomes, the state that each gateway's page showed, and the injected
faults.  Times are in seconds of the monotonic clock from the trial's start.
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass, field


@dataclass(frozen=True, slots=True)
class Pushed:
    """A push ended: `version` is the version that it was committed as, or 0, and then `why` is the reason."""

    at: float
    began: float
    via: str
    base: int
    body: str
    version: int
    why: str


@dataclass(frozen=True, slots=True)
class Seen:
    """A gateway's page, requested at `asked`: its phase, whether it serves, and the policy in force."""

    at: float
    asked: float
    gateway: str
    phase: str
    serves: bool
    version: int
    body: str
    leader: str | None = None  # as far as the gateway knows


@dataclass(frozen=True, slots=True)
class Fault:
    """A fault begins or ends: `what` is kill, start, stop, go, cut, slow or heal."""

    at: float
    what: str
    gateways: tuple[str, ...]


Event = Pushed | Seen | Fault


@dataclass(slots=True)
class History:
    """The events of one trial, in the order recorded."""

    events: list[Event] = field(default_factory=list)

    def add(self, event: Event) -> None:
        """Append an event."""
        self.events.append(event)

    def seen(self) -> Iterator[Seen]:
        """The pages observed, in order."""
        return (event for event in self.events if isinstance(event, Seen))

    def pushed(self) -> Iterator[Pushed]:
        """The ended pushes, in order."""
        return (event for event in self.events if isinstance(event, Pushed))


def single_log(history: History) -> list[str]:
    """Atomicity: each version is one pushed policy, and no rejected policy was ever in force.

    A push of unknown outcome may have been committed, as a version like any other.
    """
    violations: list[str] = []
    bodies: dict[int, str] = {0: "{}"}
    may_be = {"{}"} | {p.body for p in history.pushed() if p.version or p.why == "unknown"}
    refused = {p.body for p in history.pushed()} - may_be
    for push in history.pushed():
        if push.version:
            if bodies.setdefault(push.version, push.body) != push.body:
                violations.append(f"version {push.version} was told to two pushes")
            if push.version != push.base + 1:
                violations.append(f"a push after {push.base} became version {push.version}")
    for seen in history.seen():
        if seen.body in refused:
            violations.append(f"{seen.gateway} has in force a policy that was refused: {seen.body}")
        elif seen.body not in may_be:
            violations.append(f"{seen.gateway} has in force what nobody pushed: {seen.body}")
        if bodies.setdefault(seen.version, seen.body) != seen.body:
            violations.append(f"{seen.gateway} has another policy as version {seen.version}: {seen.body}")
    return violations


def versions_never_decrease(history: History) -> list[str]:
    """A serving gateway never returns to an older version, not even after a restart."""
    violations: list[str] = []
    newest: dict[str, int] = {}
    for seen in history.seen():
        if seen.serves:
            if seen.version < newest.get(seen.gateway, 0):
                violations.append(
                    f"{seen.gateway} serves version {seen.version} after {newest[seen.gateway]}"
                )
            newest[seen.gateway] = max(seen.version, newest.get(seen.gateway, 0))
    return violations


def stale_at_most_lease(history: History, lease: float) -> list[str]:
    """No gateway serves an older version for longer than the lease after a newer was acknowledged."""
    violations: list[str] = []
    for seen in history.seen():
        acknowledged = [p.version for p in history.pushed() if p.version and p.at + lease < seen.asked]
        if seen.serves and acknowledged and seen.version < max(acknowledged):
            violations.append(
                f"{seen.gateway} serves version {seen.version} at {seen.asked:.2f} s, "
                f"with {max(acknowledged)} told over {lease} s before"
            )
    return violations


def converged(history: History, gateways: set[str]) -> list[str]:
    """At the end all gateways serve one version, the newest that was acknowledged or a later one."""
    last = {seen.gateway: seen for seen in history.seen()}
    violations = [f"{name} was never seen" for name in sorted(gateways - set(last))]
    violations += [
        f"{name} does not serve at the end ({seen.phase})" for name, seen in last.items() if not seen.serves
    ]
    versions = {seen.version for seen in last.values()}
    if len(versions) > 1:
        violations.append(f"at the end there are versions {sorted(versions)}")
    newest = max((p.version for p in history.pushed()), default=0)
    if versions and min(versions) < newest:
        violations.append(f"version {newest} was told, and {min(versions)} is in force at the end")
    return violations


def check(history: History, gateways: set[str], lease: float) -> list[str]:
    """The violations of all invariants in a history, one line each."""
    return [
        *single_log(history),
        *versions_never_decrease(history),
        *stale_at_most_lease(history, lease),
        *converged(history, gateways),
    ]
