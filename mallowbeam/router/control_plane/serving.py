"""What a member may say: for each thing that it hands out, the condition at the instant of sending.

A pure core. The parts that write answers, frames and orders ask :class:`ServingGate` in the step of the event
loop in which the bytes are written, after all waits; none of them decides for itself. A process can be frozen
between any two instructions, so a condition that held before a wait proves nothing after it.

``docs/control-guarantees.md`` argues for each condition. Times are seconds of the steady clock.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping
from dataclasses import dataclass
from enum import Enum, auto
from types import MappingProxyType

from mallowbeam.router.control_plane.answers import OutOfTouchError
from mallowbeam.router.feed.publisher import FeedAllowance

CALL_AGE_S = 1.0  # a confirmed read is answered up to this age of its call: callers wait so long
FEED_SILENCE_S = 1.0  # out of touch for longer: no configuration and no table to gateways
HEARTBEAT_SILENCE_S = 1.0  # out of touch for longer: no heartbeat is acknowledged
REACHABLE_SILENCE_S = 2.0  # out of touch for longer: calls are refused at once
ORDER_SILENCE_S = 0.5  # since a majority confirmed the leader: up to it, instances get orders


class Said(Enum):
    """The kinds of things that leave a member and that others rely on."""

    CONFIGURATION_READ = auto()
    CHANGE_ACKNOWLEDGED = auto()
    CHANGE_REFUSED = auto()  # 412 or 4xx by the replicated state
    BODY_REFUSED = auto()  # 4xx of a call that no state would take
    UNAVAILABLE = auto()  # 503 and 504
    HEARTBEAT_ACKNOWLEDGED = auto()
    RETIREMENT_ACKNOWLEDGED = auto()  # of `draining` and DELETE, by an entry of this call
    RETIREMENT_KNOWN = auto()  # likewise, of one that was applied here before
    FEED_CONFIGURATION = auto()  # whole or as a change
    FEED_TABLE = auto()  # all instances
    FEED_INSTANCE_CHANGES = auto()  # to gateways that have this member's table
    FEED_HEARTBEAT = auto()
    FEED_MEMBERS = auto()
    INSTANCE_ORDER = auto()
    STATUS = auto()


@dataclass(frozen=True, slots=True)
class Always:
    """True at any time, whatever this member knows of the group."""


@dataclass(frozen=True, slots=True)
class InTouch:
    """This member's state was known to be current within a time."""

    most_silence_s: float


@dataclass(frozen=True, slots=True)
class Leads:
    """This member leads, and a majority has confirmed it within a time."""

    most_silence_s: float


@dataclass(frozen=True, slots=True)
class ReadConfirmed:
    """A majority confirmed the read after its call came in, and the call is not old."""

    most_age_s: float


@dataclass(frozen=True, slots=True)
class Committed:
    """What is told came of a committed entry of the log. Stays true, whatever becomes of this member."""


Condition = Always | InTouch | Leads | ReadConfirmed | Committed

CONDITIONS: Mapping[Said, Condition] = MappingProxyType(
    {
        Said.CONFIGURATION_READ: ReadConfirmed(CALL_AGE_S),
        Said.CHANGE_ACKNOWLEDGED: Committed(),
        Said.CHANGE_REFUSED: Committed(),
        Said.BODY_REFUSED: Always(),
        Said.UNAVAILABLE: Always(),
        Said.HEARTBEAT_ACKNOWLEDGED: InTouch(HEARTBEAT_SILENCE_S),
        Said.RETIREMENT_ACKNOWLEDGED: Committed(),
        Said.RETIREMENT_KNOWN: InTouch(HEARTBEAT_SILENCE_S),
        Said.FEED_CONFIGURATION: InTouch(FEED_SILENCE_S),
        Said.FEED_TABLE: InTouch(FEED_SILENCE_S),
        Said.FEED_INSTANCE_CHANGES: Always(),
        Said.FEED_HEARTBEAT: Always(),
        Said.FEED_MEMBERS: Always(),
        Said.INSTANCE_ORDER: Leads(ORDER_SILENCE_S),
        Said.STATUS: Always(),
    }
)


@dataclass(frozen=True, slots=True)
class Nothing:
    """No evidence beside what the member knows of the group."""


@dataclass(frozen=True, slots=True)
class ConfirmedRead:
    """A read barrier was passed for a call that came in at `called_at`."""

    called_at: float


@dataclass(frozen=True, slots=True)
class AppliedEntry:
    """A command was applied at `index` of the log, here or at the leader; 0 stands for none."""

    index: int


Evidence = Nothing | ConfirmedRead | AppliedEntry
NOTHING = Nothing()


class ServingGate:
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
        return self._silence() > FEED_SILENCE_S

    def may(self, said: Said, evidence: Evidence = NOTHING) -> bool:
        """Whether a thing may be said now, given what is known of it."""
        match CONDITIONS[said]:
            case Always():
                return True
            case InTouch(most_silence_s):
                return self._silence() <= most_silence_s
            case Leads(most_silence_s):
                return self._leads() and self._silence() <= most_silence_s
            case ReadConfirmed(most_age_s):
                if not isinstance(evidence, ConfirmedRead):
                    return False
                return self._clock() - evidence.called_at <= most_age_s
            case Committed():
                return isinstance(evidence, AppliedEntry) and evidence.index > 0

    def check(self, said: Said, evidence: Evidence = NOTHING) -> None:
        """Raise :class:`OutOfTouchError` where a thing may not be said now."""
        if not self.may(said, evidence):
            raise OutOfTouchError(
                "this member is cut off from the group, or stood still meanwhile", said.name.lower()
            )

    def check_reachable(self) -> None:
        """Refuse a call at once where the group has been out of reach for long; raises `OutOfTouchError`.

        A member that has just started first gets the time that it takes to find the leader.
        """
        running = self._clock() - self._started_at
        if min(self._silence(), running) > REACHABLE_SILENCE_S:
            raise OutOfTouchError("this member is cut off from the group")

    def feed_allowance(self) -> FeedAllowance:
        """What gateways may be told now."""
        return FeedAllowance(
            configuration=self.may(Said.FEED_CONFIGURATION),
            table=self.may(Said.FEED_TABLE),
            instance_changes=self.may(Said.FEED_INSTANCE_CHANGES),
        )
