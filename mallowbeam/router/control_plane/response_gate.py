"""Decides, at the time of sending, whether a member may send data that others rely on.

The logic is pure, without I/O. All parts that write responses, frames or orders ask :class:`ResponseGate` in
the same event-loop step that writes the bytes, after all waits; none of them decides by itself. A process can
be suspended between any two instructions, so a condition that held before a wait may not hold after it.

``docs/control-guarantees.md`` justifies each condition. Times are in seconds of the monotonic clock.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping
from dataclasses import dataclass
from enum import Enum
from types import MappingProxyType

from mallowbeam.router.control_plane.api_errors import IsolatedMemberError
from mallowbeam.router.feed.publisher import FeedAllowance

READ_MAX_AGE_S = 1.0  # a confirmed read is sent up to this age of its call: callers wait that long
FEED_MAX_STALENESS_S = 1.0  # beyond it, neither configuration nor table is sent to gateways
HEARTBEAT_MAX_STALENESS_S = 1.0  # beyond it, no heartbeat is acknowledged
CALL_MAX_STALENESS_S = 2.0  # beyond it, calls are rejected at once
ORDER_MAX_STALENESS_S = 0.5  # since a majority confirmed the leader; beyond it, no order is sent


class ResponseKind(Enum):
    """The kinds of data that leave a member and that others rely on; the values are sent in error bodies."""

    CONFIGURATION_READ = "configuration_read"
    CHANGE_ACKNOWLEDGED = "change_acknowledged"
    CHANGE_REFUSED = "change_refused"  # 412 or 4xx by the replicated state
    BODY_REFUSED = "body_refused"  # 4xx for a call that is invalid in any state
    UNAVAILABLE = "unavailable"  # 503 and 504
    HEARTBEAT_ACKNOWLEDGED = "heartbeat_acknowledged"
    RETIREMENT_ACKNOWLEDGED = "retirement_acknowledged"  # for `draining` and DELETE, by this call's log entry
    RETIREMENT_KNOWN = "retirement_known"  # likewise, for a retirement that this member applied before
    FEED_CONFIGURATION = "feed_configuration"  # full or incremental
    FEED_TABLE = "feed_table"  # all instances
    FEED_INSTANCE_CHANGES = "feed_instance_changes"  # to gateways that already have this member's table
    FEED_HEARTBEAT = "feed_heartbeat"
    FEED_MEMBERS = "feed_members"
    INSTANCE_ORDER = "instance_order"
    STATUS = "status"


@dataclass(frozen=True, slots=True)
class Unconditional:
    """No condition."""


@dataclass(frozen=True, slots=True)
class StateFresh:
    """This member's state was known to be current within `max_staleness_s`."""

    max_staleness_s: float


@dataclass(frozen=True, slots=True)
class LeadershipConfirmed:
    """This member leads, and a majority has confirmed it within `max_staleness_s`."""

    max_staleness_s: float


@dataclass(frozen=True, slots=True)
class ReadConfirmed:
    """A majority confirmed the read after its call arrived, at most `max_age_s` ago."""

    max_age_s: float


@dataclass(frozen=True, slots=True)
class EntryCommitted:
    """The data follows from a committed log entry, which stays true whatever happens to this member."""


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
    """No evidence besides the member's knowledge of the group."""


@dataclass(frozen=True, slots=True)
class ConfirmedRead:
    """A read barrier was passed for a call that arrived at `called_at`."""

    called_at: float


@dataclass(frozen=True, slots=True)
class AppliedEntry:
    """A command was applied at `index` of the log, here or at the leader; 0 stands for none."""

    index: int


Evidence = NoEvidence | ConfirmedRead | AppliedEntry
NO_EVIDENCE = NoEvidence()


class ResponseGate:
    """Decides which kinds of data this member may send now."""

    def __init__(
        self, clock: Callable[[], float], staleness: Callable[[], float], is_leader: Callable[[], bool]
    ) -> None:
        """`staleness` returns the age of this member's state in seconds, `is_leader` whether it leads."""
        self._clock = clock
        self._staleness = staleness
        self._is_leader = is_leader
        self._started_at = clock()

    def staleness(self) -> float:
        """Seconds since this member's state was known to be current; infinite if it never was."""
        return self._staleness()

    @property
    def is_isolated(self) -> bool:
        """Whether to report to gateways and operators that this member has lost contact with the majority."""
        return self._staleness() > FEED_MAX_STALENESS_S

    def allows(self, kind: ResponseKind, evidence: Evidence = NO_EVIDENCE) -> bool:
        """Whether data of a kind may be sent now, given the evidence for it."""
        match CONDITIONS[kind]:
            case Unconditional():
                return True
            case StateFresh(max_staleness_s):
                return self._staleness() <= max_staleness_s
            case LeadershipConfirmed(max_staleness_s):
                return self._is_leader() and self._staleness() <= max_staleness_s
            case ReadConfirmed(max_age_s):
                if not isinstance(evidence, ConfirmedRead):
                    return False
                return self._clock() - evidence.called_at <= max_age_s
            case EntryCommitted():
                return isinstance(evidence, AppliedEntry) and evidence.index > 0

    def check(self, kind: ResponseKind, evidence: Evidence = NO_EVIDENCE) -> None:
        """Raise :class:`IsolatedMemberError` if data of a kind may not be sent now."""
        if not self.allows(kind, evidence):
            raise IsolatedMemberError(
                "this member is isolated from the group, or was suspended during the call", kind.value
            )

    def check_reachable(self) -> None:
        """Reject a call at once after a long loss of contact with the group.

        A member that has just started first gets the same time to find the leader.

        Raises:
            IsolatedMemberError: there was no contact for more than `CALL_MAX_STALENESS_S`.
        """
        running_s = self._clock() - self._started_at
        if min(self._staleness(), running_s) > CALL_MAX_STALENESS_S:
            raise IsolatedMemberError("this member is isolated from the group")

    def feed_allowance(self) -> FeedAllowance:
        """The parts of a feed that may be sent now."""
        return FeedAllowance(
            configuration=self.allows(ResponseKind.FEED_CONFIGURATION),
            table=self.allows(ResponseKind.FEED_TABLE),
            instance_changes=self.allows(ResponseKind.FEED_INSTANCE_CHANGES),
        )
