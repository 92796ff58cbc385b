"""Serves the feeds of the gateways that follow this member: subscriptions, and the frames sent on them."""

from __future__ import annotations

import time
from collections.abc import Callable

from mallowbeam.router.feed.publisher import FeedPublisher, MemberStatus
from mallowbeam.router.health.fleet_attempts import AttemptTable
from mallowbeam.router.pairing.stage_demand import DemandTable
from mallowbeam.router.rpc.connection import FrameConnection
from mallowbeam.router.rpc.messages_pb2 import GatewayFrame

MAX_UNSENT_BYTES = 256 * 1024  # per feed; above it no frame is added until the feed has drained
MAX_FEEDS = 1024  # gateways that one member serves; further ones must use another member


class FeedServer:
    """The subscribed gateways and their connections."""

    def __init__(
        self,
        publisher: FeedPublisher,
        status: Callable[[], MemberStatus],
        on_subscribed: Callable[[], None],
        demand: DemandTable,
        attempts: AttemptTable,
    ) -> None:
        """`on_subscribed` is called when a gateway waits for its first frame.

        `demand` and `attempts` record the gateways' reports, by subscriber.
        """
        self._publisher = publisher
        self._status = status
        self._on_subscribed = on_subscribed
        self._demand = demand
        self._attempts = attempts
        self._connections: dict[int, FrameConnection] = {}
        self._subscribers: dict[FrameConnection, int] = {}
        self._last_subscriber = 0

    def __len__(self) -> int:
        """Return the number of subscribed gateways."""
        return len(self._connections)

    def gateway_frame(self, connection: FrameConnection, frame: GatewayFrame) -> None:
        """Handle a gateway's frame: a hello subscribes it, or renews its subscription; others are reports."""
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
        self._on_subscribed()

    def _record_report(self, connection: FrameConnection, frame: GatewayFrame) -> None:
        """Record a gateway's demand and attempts; reports of gateways without a subscription are ignored."""
        subscriber = self._subscribers.get(connection)
        if subscriber is None:
            return
        now = time.monotonic()
        if frame.demand:
            self._demand.record(subscriber, frame.demand, now)
        if frame.tells_attempts:
            self._attempts.record(subscriber, frame.attempts, now)

    def gateway_closed(self, connection: FrameConnection) -> None:
        """Remove the subscription on a closed connection, if there is one."""
        subscriber = self._subscribers.pop(connection, None)
        if subscriber is not None:
            del self._connections[subscriber]
            self._publisher.unsubscribe(subscriber)
            self._demand.forget(subscriber)
            self._attempts.forget(subscriber)

    def next_frames_at(self) -> float:
        """Return the latest time at which `send` is due, by the monotonic clock."""
        return self._publisher.next_frames_at()

    def send(self) -> None:
        """Send each gateway the frames that are due."""
        backlogged = [
            subscriber
            for subscriber, connection in self._connections.items()
            if connection.unsent_bytes > MAX_UNSENT_BYTES
        ]
        for batch in self._publisher.frames(time.monotonic(), self._status(), backlogged):
            for subscriber in batch.subscribers:
                connection = self._connections.get(subscriber)
                if connection is not None:
                    connection.send_encoded(batch.encoded)

    def close(self) -> None:
        """Abort all feeds, so that their gateways subscribe to other members."""
        for connection in list(self._subscribers):
            connection.abort()
