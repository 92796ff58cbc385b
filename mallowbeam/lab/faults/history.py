"""What happened in a trial, in order, and the checkers that read it.

A checker sees the history only: what was pushed and what the pusher was told, what each gateway said of
itself, and which faults were laid.  Times are seconds from the trial's start, steady.
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass, field


@dataclass(frozen=True, slots=True)
class Pushed:
    """A push has ended at the pusher: `version` 0 and why, or the version it became."""

    at: float
    began: float
    via: str
    base: int
    body: str
    version: int
    why: str


@dataclass(frozen=True, slots=True)
class Seen:
    """A gateway's own word: its phase, whether it serves, and the policy in force there."""

    at: float
    asked: float
    gateway: str
    phase: str
    serves: bool
    version: int
    body: str
    leader: str | None = None  # as it knows


@dataclass(frozen=True, slots=True)
class Fault:
    """A fault begins or ends: kill, start, stop, go, cut, heal."""

    at: float
    what: str
    gateways: tuple[str, ...]


Event = Pushed | Seen | Fault


@dataclass(slots=True)
class History:
    """The events of one trial, in the order recorded."""

    events: list[Event] = field(default_factory=list)

    def add(self, event: Event) -> None:
        """One more."""
        self.events.append(event)

    def seen(self) -> Iterator[Seen]:
        """What gateways said."""
        return (event for event in self.events if isinstance(event, Seen))

    def pushed(self) -> Iterator[Pushed]:
        """How pushes ended."""
        return (event for event in self.events if isinstance(event, Pushed))


def one_log(history: History) -> list[str]:
    """Everywhere or nowhere: each version is one policy, pushed, and none that was refused was ever in force.

    A push whose end its pusher was not told may have been committed, and then it is one version as any other.
    """
    wrong: list[str] = []
    bodies: dict[int, str] = {0: "{}"}
    may_be = {"{}"} | {p.body for p in history.pushed() if p.version or p.why == "unknown"}
    refused = {p.body for p in history.pushed()} - may_be
    for push in history.pushed():
        if push.version:
            if bodies.setdefault(push.version, push.body) != push.body:
                wrong.append(f"version {push.version} was told to two pushes")
            if push.version != push.base + 1:
                wrong.append(f"a push after {push.base} became version {push.version}")
    for seen in history.seen():
        if seen.body in refused:
            wrong.append(f"{seen.gateway} has in force a policy that was refused: {seen.body}")
        elif seen.body not in may_be:
            wrong.append(f"{seen.gateway} has in force what nobody pushed: {seen.body}")
        if bodies.setdefault(seen.version, seen.body) != seen.body:
            wrong.append(f"{seen.gateway} has another policy as version {seen.version}: {seen.body}")
    return wrong


def never_back(history: History) -> list[str]:
    """A gateway that serves never goes back to an older version, not through a restart either."""
    wrong, newest = [], dict[str, int]()
    for seen in history.seen():
        if seen.serves:
            if seen.version < newest.get(seen.gateway, 0):
                wrong.append(f"{seen.gateway} serves version {seen.version} after {newest[seen.gateway]}")
            newest[seen.gateway] = max(seen.version, newest.get(seen.gateway, 0))
    return wrong


def within_lease(history: History, lease: float) -> list[str]:
    """No gateway serves under an older version longer than the lease after a pusher was told of a newer."""
    wrong: list[str] = []
    for seen in history.seen():
        told = [p.version for p in history.pushed() if p.version and p.at + lease < seen.asked]
        if seen.serves and told and seen.version < max(told):
            wrong.append(
                f"{seen.gateway} serves version {seen.version} at {seen.asked:.2f} s, "
                f"with {max(told)} told over {lease} s before"
            )
    return wrong


def agreed(history: History, gateways: set[str]) -> list[str]:
    """At the end all gateways serve one version, the newest that any pusher was told of or a later one."""
    last = {seen.gateway: seen for seen in history.seen()}
    wrong = [f"{name} was never seen" for name in sorted(gateways - set(last))]
    wrong += [
        f"{name} does not serve at the end ({seen.phase})" for name, seen in last.items() if not seen.serves
    ]
    versions = {seen.version for seen in last.values()}
    if len(versions) > 1:
        wrong.append(f"at the end there are versions {sorted(versions)}")
    newest = max((p.version for p in history.pushed()), default=0)
    if versions and min(versions) < newest:
        wrong.append(f"version {newest} was told, and {min(versions)} is in force at the end")
    return wrong


def check(history: History, gateways: set[str], lease: float) -> list[str]:
    """All that is wrong with a history, empty where nothing is."""
    return [
        *one_log(history),
        *never_back(history),
        *within_lease(history, lease),
        *agreed(history, gateways),
    ]
