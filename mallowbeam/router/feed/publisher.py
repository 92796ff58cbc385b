"""The member's end of the feed: which frame goes to which subscriber.

Every subscriber has a cursor: the versions of configuration and instance table that it has. Subscribers with
equal cursors get the same frame, which is built and encoded once, so that a change costs one frame for each
distinct cursor (usually one in all) instead of one for each subscriber.
"""

from __future__ import annotations

from collections.abc import Callable, Collection, Sequence
from dataclasses import dataclass
from typing import NamedTuple, Protocol

from mallowbeam.router.feed.limits import HEARTBEAT_INTERVAL_S
from mallowbeam.router.registry.table import InstanceTable
from mallowbeam.router.rpc.framing import encode_frame
from mallowbeam.router.rpc.messages_pb2 import ConfigurationUpdate, FeedFrame, FeedHello, InstanceAttempts

NO_TABLE = -1  # version of a subscriber without the table
NO_MEMBERS = -1  # version of a subscriber without the membership


class ConfigurationSource(Protocol):
    """Interface to the current configuration."""

    @property
    def revision(self) -> int:
        """Revision of the current configuration; 0 if there is none."""

    def update_since(self, revision: int) -> ConfigurationUpdate | None:
        """The update from `revision` to the current one; None if nothing is newer.

        It is complete if no incremental update is available.
        """


@dataclass(frozen=True, slots=True)
class FeedAllowance:
    """What a member may publish now; the rest is deferred.

    Heartbeats and the membership may always be published.
    """

    configuration: bool = True  # complete or incremental
    table: bool = True  # all instances
    instance_changes: bool = True  # to gateways that have the table


@dataclass(frozen=True, slots=True)
class MemberStatus:
    """Status of the member that its host supplies for each frame."""

    leader_silence_ms: int  # milliseconds since this member's state was known to be current
    gateways: int  # in the whole fleet
    members: tuple[str, ...]  # peer addresses of all members
    allowance: FeedAllowance = FeedAllowance()


@dataclass(frozen=True, slots=True)
class FeedBatch:
    """One frame, encoded once, and its recipients."""

    frame: FeedFrame
    encoded: bytes  # with its length prefix, as written to the connection
    subscribers: tuple[int, ...]


class _Cursor(NamedTuple):
    """The state that a subscriber has once its last frame has arrived."""

    revision: int  # of the configuration
    version: int  # of the instance table
    complete: bool  # the instance table was complete when it was last sent in full
    members: int  # version of the membership


class FeedPublisher:
    """Builds the frames for all subscribers of one member. Times are in seconds of the monotonic clock."""

    def __init__(
        self,
        configuration: ConfigurationSource,
        table: InstanceTable,
        attempts: Callable[[float], Sequence[InstanceAttempts]] | None = None,
    ) -> None:
        """Publish `configuration` and `table`.

        `attempts` returns the outcomes of the fleet's attempts, which every second heartbeat carries.
        """
        self._configuration = configuration
        self._table = table
        self._attempts = attempts
        self._attempts_due = False  # with the next heartbeat
        self._cursors: dict[int, _Cursor] = {}
        self._next_heartbeat_at = 0.0
        self._members: tuple[str, ...] = ()
        self._members_version = 0  # increases with each change of the membership

    def __len__(self) -> int:
        """The number of subscribed gateways."""
        return len(self._cursors)

    def subscribe(self, subscriber: int, hello: FeedHello, now: float) -> None:
        """Add a gateway; the next `frames()`, which the host calls at once, includes its first frame."""
        self._cursors[subscriber] = _Cursor(hello.configuration_revision, NO_TABLE, False, NO_MEMBERS)

    def unsubscribe(self, subscriber: int) -> None:
        """Remove a gateway whose connection has ended."""
        self._cursors.pop(subscriber, None)

    def next_frames_at(self) -> float:
        """The latest time for the next call of `frames()`."""
        return self._next_heartbeat_at

    def frames(self, now: float, status: MemberStatus, busy: Collection[int] = ()) -> list[FeedBatch]:
        """The frames to send now: changes and first frames at once, otherwise a heartbeat when it is due.

        Subscribers in `busy` read too slowly: they get nothing now, and all changes in one frame later.
        """
        heartbeat_due = now >= self._next_heartbeat_at
        attempts = self._begin_heartbeat(now) if heartbeat_due else None
        if status.members != self._members:
            self._members = status.members
            self._members_version += 1
        now_ms = int(now * 1000)
        complete = self._table.is_complete(now)
        batches: list[FeedBatch] = []
        for cursor, subscribers in self._group_by_cursor(busy).items():
            next_cursor = self._next_cursor(cursor, complete, status.allowance)
            if next_cursor == cursor and not heartbeat_due:
                continue
            frame = self._build_frame(cursor, next_cursor, complete, status)
            frame.heartbeat.sent_at_ms = now_ms
            if attempts is not None:
                frame.attempts.extend(attempts)
            if frame.instances.whole:
                next_cursor = next_cursor._replace(complete=complete)
            batches.append(FeedBatch(frame, encode_frame(frame), tuple(subscribers)))
            for subscriber in subscribers:
                self._cursors[subscriber] = next_cursor
        return batches

    def _begin_heartbeat(self, now: float) -> Sequence[InstanceAttempts] | None:
        """Schedule the next heartbeat; returns the outcomes of attempts that go with this one, if any."""
        self._next_heartbeat_at = now + HEARTBEAT_INTERVAL_S
        self._attempts_due = not self._attempts_due
        return self._attempts(now) if self._attempts_due and self._attempts is not None else None

    def _group_by_cursor(self, busy: Collection[int]) -> dict[_Cursor, list[int]]:
        """Group the subscribers that are not busy by their cursor."""
        groups: dict[_Cursor, list[int]] = {}
        for subscriber, cursor in self._cursors.items():
            if subscriber not in busy:
                groups.setdefault(cursor, []).append(subscriber)
        return groups

    def _next_cursor(self, cursor: _Cursor, complete: bool, allowance: FeedAllowance) -> _Cursor:
        """The cursor of a subscriber after a frame with everything that may be published now."""
        next_cursor = cursor._replace(members=self._members_version)
        if allowance.configuration:
            next_cursor = next_cursor._replace(revision=max(cursor.revision, self._configuration.revision))
        if allowance.table:
            next_cursor = next_cursor._replace(complete=cursor.complete or complete)
        if allowance.table if cursor.version == NO_TABLE else allowance.instance_changes:
            next_cursor = next_cursor._replace(version=self._table.version)
        return next_cursor

    def _build_frame(
        self, cursor: _Cursor, next_cursor: _Cursor, complete: bool, status: MemberStatus
    ) -> FeedFrame:
        """The frame that advances a subscriber from one cursor to the other."""
        frame = FeedFrame()
        frame.heartbeat.leader_silence_ms = status.leader_silence_ms
        frame.heartbeat.gateways = status.gateways
        frame.heartbeat.table_complete = complete
        if cursor.members != next_cursor.members:
            frame.heartbeat.members.extend(status.members)
        if cursor.revision != next_cursor.revision:
            update = self._configuration.update_since(cursor.revision)
            if update is not None:
                frame.configuration.CopyFrom(update)
        newly_complete = next_cursor.complete and not cursor.complete
        if newly_complete or cursor.version == NO_TABLE != next_cursor.version:
            frame.instances.CopyFrom(self._table.changes_since(NO_TABLE))
        elif cursor.version != next_cursor.version:
            frame.instances.CopyFrom(self._table.changes_since(cursor.version))
        return frame
