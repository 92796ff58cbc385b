"""Serves the feeds of gateways that follow this member: subscriptions, and the frames sent on them."""

from __future__ import annotations

import time
from collections.abc import Callable

from mallowbeam.router.feed.publisher import FeedPublisher, MemberStatus
from mallowbeam.router.health.fleet_attempts import AttemptTable
from mallowbeam.router.pairing.stage_demand import DemandTable
from mallowbeam.router.rpc.connection import FrameConnection
from mallowbeam.router.rpc.messages_pb2 import GatewayFrame

MAX_UNSENT_BYTES = 256 * 1024  # on a feed, beyond which nothing is added until it has drained
MAX_FEEDS = 1024  # gateways that one member serves; others go to another member


class FeedServer:
    """Subscribed gateways by their connections."""

    def __init__(
        self,
        publisher: FeedPublisher,
        status: Callable[[], MemberStatus],
        subscribed: Callable[[], None],
        demand: DemandTable,
        attempts: AttemptTable,
    ) -> None:
        """`subscribed` is called when a gateway waits for its first frame.

        `demand` and `attempts` record the reports of gateways.
        """
        self._publisher = publisher
        self._status = status
        self._subscribed = subscribed
        self._demand = demand
        self._attempts = attempts
        self._connections: dict[int, FrameConnection] = {}
        self._subscribers: dict[FrameConnection, int] = {}
        self._last_subscriber = 0

    def __len__(self) -> int:
        """Number of subscribed gateways."""
        return len(self._connections)

    def gateway_frame(self, connection: FrameConnection, frame: GatewayFrame) -> None:
        """A frame of a gateway; a hello subscribes it, a further one subscribes it anew."""
        if not frame.HasField("hello"):
            self._record_report(connection, frame)
            return
        if len(self._connections) >= MAX_FEEDS and connection not in self._subscribers:
            connection.abort()
            return
        self.gateway_closed(connection)
        self._last_subscriber += 1
        subscriber = self._last_subscriber
        self._connections[subscriber] = connection
        self._subscribers[connection] = subscriber
        self._publisher.subscribe(subscriber, frame.hello, time.monotonic())
        self._subscribed()

    def _record_report(self, connection: FrameConnection, frame: GatewayFrame) -> None:
        """Record a gateway's demand and attempts; those of one that has not subscribed are ignored."""
        subscriber = self._subscribers.get(connection)
        if subscriber is None:
            return
        now = time.monotonic()
        if frame.demand:
            self._demand.record(subscriber, frame.demand, now)
        if frame.tells_attempts:
            self._attempts.record(subscriber, frame.attempts, now)

    def gateway_closed(self, connection: FrameConnection) -> None:
        """A connection is over, perhaps a gateway's."""
        subscriber = self._subscribers.pop(connection, None)
        if subscriber is not None:
            del self._connections[subscriber]
            self._publisher.unsubscribe(subscriber)
            self._demand.forget(subscriber)
            self._attempts.forget(subscriber)

    def next_frames_at(self) -> float:
        """When `send` is due at the latest, by the monotonic clock."""
        return self._publisher.next_frames_at()

    def send(self) -> None:
        """Send each gateway the frames that are due."""
        busy = [
            subscriber
            for subscriber, connection in self._connections.items()
            if connection.unsent_bytes > MAX_UNSENT_BYTES
        ]
        for batch in self._publisher.frames(time.monotonic(), self._status(), busy):
            for subscriber in batch.subscribers:
                connection = self._connections.get(subscriber)
                if connection is not None:
                    connection.send_encoded(batch.encoded)

    def close(self) -> None:
        """End all feeds: their gateways go to other members."""
        for connection in list(self._subscribers):
            connection.abort()
