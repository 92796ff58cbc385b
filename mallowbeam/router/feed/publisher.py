"""The member's end of the feed: which frame goes to which subscriber.

Every subscriber has a cursor: what it holds of the configuration and of the instance table. Subscribers with
the same cursor get one and the same frame, which is built and encoded once, so that a change costs as many
frames as there are different cursors (in the common case one), not as many as there are subscribers.
"""

from __future__ import annotations

from collections.abc import Callable, Collection, Sequence
from dataclasses import dataclass
from typing import NamedTuple, Protocol

from mallowbeam.router.feed.limits import HEARTBEAT_INTERVAL_S
from mallowbeam.router.registry.table import InstanceTable
from mallowbeam.router.rpc.framing import encode_frame
from mallowbeam.router.rpc.messages_pb2 import ConfigurationUpdate, FeedFrame, FeedHello, InstanceAttempts

NO_TABLE = -1  # version of a subscriber that has not got the table
NO_MEMBERS = -1  # likewise, the list of members


class ConfigurationSource(Protocol):
    """The current configuration, as the publisher needs it."""

    @property
    def revision(self) -> int:
        """Revision of the current configuration; 0: none."""

    def update_since(self, revision: int) -> ConfigurationUpdate | None:
        """What leads from `revision` to the current one; None: nothing newer.

        Whole where the difference can't be told.
        """


@dataclass(frozen=True, slots=True)
class FeedAllowance:
    """What a member may tell gateways now; what it may not is held back until it may.

    Heartbeats and the list of members may always be told.
    """

    configuration: bool = True  # whole or as a change
    table: bool = True  # all instances
    instance_changes: bool = True  # to gateways that have the table


@dataclass(frozen=True, slots=True)
class MemberStatus:
    """What the host knows beside the two tables."""

    leader_silence_ms: int  # since this member's state was known to be current
    gateways: int  # in the whole fleet
    members: tuple[str, ...]  # peer addresses of all members
    allowance: FeedAllowance = FeedAllowance()


@dataclass(frozen=True, slots=True)
class FeedBatch:
    """One frame, encoded once, and everyone to whom it goes."""

    frame: FeedFrame
    encoded: bytes  # with its length in front, as it goes onto the connection
    subscribers: tuple[int, ...]


class _Cursor(NamedTuple):
    """What a subscriber holds once its last frame has arrived."""

    revision: int
    version: int
    complete: bool  # the table was complete when it was last sent whole
    members: int  # which list of members


class FeedPublisher:
    """Cursors of all subscribers of one member. Times are in seconds of the steady clock."""

    def __init__(
        self,
        configuration: ConfigurationSource,
        table: InstanceTable,
        attempts: Callable[[float], Sequence[InstanceAttempts]] | None = None,
    ) -> None:
        """`attempts` gives how the fleet's attempts at instances end; asked with every second heartbeat."""
        self._configuration = configuration
        self._table = table
        self._attempts = attempts
        self._tells_attempts = False
        self._cursors: dict[int, _Cursor] = {}
        self._heartbeat_at = 0.0
        self._members: tuple[str, ...] = ()
        self._members_version = 0  # rises with each change of the list of members

    def __len__(self) -> int:
        """How many gateways are subscribed."""
        return len(self._cursors)

    def subscribe(self, subscriber: int, hello: FeedHello, now: float) -> None:
        """Take a gateway in; its first frame comes with the next `frames()`, which the host calls at once."""
        self._cursors[subscriber] = _Cursor(hello.configuration_revision, NO_TABLE, False, NO_MEMBERS)

    def unsubscribe(self, subscriber: int) -> None:
        """Forget a gateway whose connection is over."""
        self._cursors.pop(subscriber, None)

    def frames_at(self) -> float:
        """When `frames()` is due at the latest."""
        return self._heartbeat_at

    def frames(self, now: float, status: MemberStatus, busy: Collection[int] = ()) -> list[FeedBatch]:
        """What has to go out now: changes and first frames at once, else a heartbeat when it is due.

        Subscribers in `busy` read too slowly: they get nothing now, and all changes in one frame later.
        """
        due = now >= self._heartbeat_at
        attempts: Sequence[InstanceAttempts] | None = None
        if due:
            self._heartbeat_at = now + HEARTBEAT_INTERVAL_S
            self._tells_attempts = not self._tells_attempts
            if self._tells_attempts and self._attempts is not None:
                attempts = self._attempts(now)
        if status.members != self._members:
            self._members = status.members
            self._members_version += 1
        stamp_ms = int(now * 1000)
        complete = self._table.is_complete(now)
        groups: dict[_Cursor, list[int]] = {}
        for subscriber, cursor in self._cursors.items():
            if subscriber not in busy:
                groups.setdefault(cursor, []).append(subscriber)
        batches: list[FeedBatch] = []
        for cursor, subscribers in groups.items():
            after = self._after(cursor, complete, status.allowance)
            if after == cursor and not due:
                continue
            frame = self._frame(cursor, after, complete, status)
            frame.heartbeat.sent_at_ms = stamp_ms
            if attempts is not None:
                frame.attempts.extend(attempts)
            if frame.instances.whole:
                after = after._replace(complete=complete)
            batches.append(FeedBatch(frame, encode_frame(frame), tuple(subscribers)))
            for subscriber in subscribers:
                self._cursors[subscriber] = after
        return batches

    def _after(self, cursor: _Cursor, complete: bool, allowance: FeedAllowance) -> _Cursor:
        """Where a subscriber stands once it has all that it may be told."""
        after = cursor._replace(members=self._members_version)
        if allowance.configuration:
            after = after._replace(revision=max(cursor.revision, self._configuration.revision))
        if allowance.table:
            after = after._replace(complete=cursor.complete or complete)
        if allowance.table if cursor.version == NO_TABLE else allowance.instance_changes:
            after = after._replace(version=self._table.version)
        return after

    def _frame(self, cursor: _Cursor, after: _Cursor, complete: bool, status: MemberStatus) -> FeedFrame:
        """The frame that leads from one cursor to the other."""
        frame = FeedFrame()
        frame.heartbeat.leader_silence_ms = status.leader_silence_ms
        frame.heartbeat.gateways = status.gateways
        frame.heartbeat.table_complete = complete
        if cursor.members != after.members:
            frame.heartbeat.members.extend(status.members)
        if cursor.revision != after.revision:
            update = self._configuration.update_since(cursor.revision)
            if update is not None:
                frame.configuration.CopyFrom(update)
        newly_complete = after.complete and not cursor.complete
        if newly_complete or cursor.version == NO_TABLE != after.version:
            frame.instances.CopyFrom(self._table.changes_since(NO_TABLE))
        elif cursor.version != after.version:
            frame.instances.CopyFrom(self._table.changes_since(cursor.version))
        return frame
