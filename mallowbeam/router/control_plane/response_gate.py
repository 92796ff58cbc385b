"""The conditions under which a member may send what others rely on, checked at the instant of sending.

A pure core without I/O. The parts that write responses, frames and orders ask :class:`ResponseGate` in the
step of the event loop in which the bytes are written, after all waits; none of them decides for itself. A
process can be suspended between any two instructions, so a condition that held before a wait proves nothing
after it.

``docs/control-guarantees.md`` argues for each condition. Times are seconds of the monotonic clock.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping
from dataclasses import dataclass
from enum import Enum
from types import MappingProxyType

from mallowbeam.router.control_plane.api_errors import IsolatedMemberError
from mallowbeam.router.feed.publisher import FeedAllowance

READ_MAX_AGE_S = 1.0  # a confirmed read is answered up to this age of its call: callers wait so long
FEED_MAX_STALENESS_S = 1.0  # out of touch for longer: no configuration and no table to gateways
HEARTBEAT_MAX_STALENESS_S = 1.0  # out of touch for longer: no heartbeat is acknowledged
CALL_MAX_STALENESS_S = 2.0  # out of touch for longer: calls are refused at once
ORDER_MAX_STALENESS_S = 0.5  # since a majority confirmed the leader: up to it, instances get orders


class ResponseKind(Enum):
    """The kinds of things that leave a member and that others rely on."""

    CONFIGURATION_READ = "configuration_read"
    CHANGE_ACKNOWLEDGED = "change_acknowledged"
    CHANGE_REFUSED = "change_refused"  # 412 or 4xx by the replicated state
    BODY_REFUSED = "body_refused"  # 4xx of a call that no state would take
    UNAVAILABLE = "unavailable"  # 503 and 504
    HEARTBEAT_ACKNOWLEDGED = "heartbeat_acknowledged"
    RETIREMENT_ACKNOWLEDGED = "retirement_acknowledged"  # of `draining` and DELETE, by an entry of this call
    RETIREMENT_KNOWN = "retirement_known"  # likewise, of one that was applied here before
    FEED_CONFIGURATION = "feed_configuration"  # whole or as a change
    FEED_TABLE = "feed_table"  # all instances
    FEED_INSTANCE_CHANGES = "feed_instance_changes"  # to gateways that have this member's table
    FEED_HEARTBEAT = "feed_heartbeat"
    FEED_MEMBERS = "feed_members"
    INSTANCE_ORDER = "instance_order"
    STATUS = "status"


@dataclass(frozen=True, slots=True)
class Unconditional:
    """True at any time, whatever this member knows of the group."""


@dataclass(frozen=True, slots=True)
class StateFresh:
    """This member's state was known to be current within a time."""

    max_staleness_s: float


@dataclass(frozen=True, slots=True)
class LeadershipConfirmed:
    """This member leads, and a majority has confirmed it within a time."""

    max_staleness_s: float


@dataclass(frozen=True, slots=True)
class ReadConfirmed:
    """A majority confirmed the read after its call came in, and the call is not old."""

    max_age_s: float


@dataclass(frozen=True, slots=True)
class EntryCommitted:
    """What is told came of a committed entry of the log. Stays true, whatever becomes of this member."""


Condition = Unconditional | StateFresh | LeadershipConfirmed | ReadConfirmed | EntryCommitted

CONDITIONS: Mapping[ResponseKind, Condition] = MappingProxyType(
    {
        ResponseKind.CONFIGURATION_READ: ReadConfirmed(READ_MAX_AGE_S),
        ResponseKind.CHANGE_ACKNOWLEDGED: EntryCommitted(),
        ResponseKind.CHANGE_REFUSED: EntryCommitted(),
        ResponseKind.BODY_REFUSED: Unconditional(),
        ResponseKind.UNAVAILABLE: Unconditional(),
        ResponseKind.HEARTBEAT_ACKNOWLEDGED: StateFresh(HEARTBEAT_MAX_STALENESS_S),
        ResponseKind.RETIREMENT_ACKNOWLEDGED: EntryCommitted(),
        ResponseKind.RETIREMENT_KNOWN: StateFresh(HEARTBEAT_MAX_STALENESS_S),
        ResponseKind.FEED_CONFIGURATION: StateFresh(FEED_MAX_STALENESS_S),
        ResponseKind.FEED_TABLE: StateFresh(FEED_MAX_STALENESS_S),
        ResponseKind.FEED_INSTANCE_CHANGES: Unconditional(),
        ResponseKind.FEED_HEARTBEAT: Unconditional(),
        ResponseKind.FEED_MEMBERS: Unconditional(),
        ResponseKind.INSTANCE_ORDER: LeadershipConfirmed(ORDER_MAX_STALENESS_S),
        ResponseKind.STATUS: Unconditional(),
    }
)


@dataclass(frozen=True, slots=True)
class NoEvidence:
    """No evidence beside what the member knows of the group."""


@dataclass(frozen=True, slots=True)
class ConfirmedRead:
    """A read barrier was passed for a call that came in at `called_at`."""

    called_at: float


@dataclass(frozen=True, slots=True)
class AppliedEntry:
    """A command was applied at `index` of the log, here or at the leader; 0 stands for none."""

    index: int


Evidence = NoEvidence | ConfirmedRead | AppliedEntry
NO_EVIDENCE = NoEvidence()


class ResponseGate:
    """Decides what this member may say now."""

    def __init__(
        self, clock: Callable[[], float], silence: Callable[[], float], leads: Callable[[], bool]
    ) -> None:
        """`silence` tells the seconds since the state here was known to be current, `leads` who leads."""
        self._clock, self._silence, self._leads = clock, silence, leads
        self._started_at = clock()

    def silence(self) -> float:
        """Seconds since the state here was known to be current; infinite where it never was."""
        return self._silence()

    @property
    def out_of_touch(self) -> bool:
        """Whether gateways and operators are to be told that this member is out of touch."""
        return self._silence() > FEED_MAX_STALENESS_S

    def may(self, said: ResponseKind, evidence: Evidence = NO_EVIDENCE) -> bool:
        """Whether a thing may be said now, given what is known of it."""
        match CONDITIONS[said]:
            case Unconditional():
                return True
            case StateFresh(max_staleness_s):
                return self._silence() <= max_staleness_s
            case LeadershipConfirmed(max_staleness_s):
                return self._leads() and self._silence() <= max_staleness_s
            case ReadConfirmed(max_age_s):
                if not isinstance(evidence, ConfirmedRead):
                    return False
                return self._clock() - evidence.called_at <= max_age_s
            case EntryCommitted():
                return isinstance(evidence, AppliedEntry) and evidence.index > 0

    def check(self, said: ResponseKind, evidence: Evidence = NO_EVIDENCE) -> None:
        """Raise :class:`IsolatedMemberError` where a thing may not be said now."""
        if not self.may(said, evidence):
            raise IsolatedMemberError(
                "this member is cut off from the group, or stood still meanwhile", said.value
            )

    def check_reachable(self) -> None:
        """Refuse a call at once where the group has been out of reach for long; raises `IsolatedMemberError`.

        A member that has just started first gets the time that it takes to find the leader.
        """
        running = self._clock() - self._started_at
        if min(self._silence(), running) > CALL_MAX_STALENESS_S:
            raise IsolatedMemberError("this member is cut off from the group")

    def feed_allowance(self) -> FeedAllowance:
        """What gateways may be told now."""
        return FeedAllowance(
            configuration=self.may(ResponseKind.FEED_CONFIGURATION),
            table=self.may(ResponseKind.FEED_TABLE),
            instance_changes=self.may(ResponseKind.FEED_INSTANCE_CHANGES),
        )
