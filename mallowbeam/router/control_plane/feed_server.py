"""The feeds of gateways that follow this member: connections, and the frames that go out on them."""

from __future__ import annotations

import time
from collections.abc import Callable

from mallowbeam.router.feed.publisher import FeedPublisher, MemberStatus
from mallowbeam.router.health.fleet_attempts import AttemptTable
from mallowbeam.router.pairing.stage_demand import DemandTable
from mallowbeam.router.rpc.connection import FrameConnection
from mallowbeam.router.rpc.messages_pb2 import GatewayFrame

BUSY_BYTES = 256 * 1024  # unsent on a feed, beyond which nothing is added until it has drained
MOST_FEEDS = 1024  # gateways that one member takes; others go to another member


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

        `demand` and `attempts` hear what gateways tell of themselves.
        """
        self._publisher, self._status, self._subscribed = publisher, status, subscribed
        self._demand, self._attempts = demand, attempts
        self._connections: dict[int, FrameConnection] = {}
        self._subscribers: dict[FrameConnection, int] = {}
        self._last_subscriber = 0

    def __len__(self) -> int:
        """How many gateways are subscribed."""
        return len(self._connections)

    def gateway_frame(self, connection: FrameConnection, frame: GatewayFrame) -> None:
        """A frame of a gateway; its hello subscribes it, and subscribes it anew where it says it again."""
        if not frame.HasField("hello"):
            self._told(connection, frame)
            return
        if len(self._connections) >= MOST_FEEDS and connection not in self._subscribers:
            connection.abort()
            return
        self.gateway_closed(connection)
        self._last_subscriber += 1
        subscriber = self._last_subscriber
        self._connections[subscriber] = connection
        self._subscribers[connection] = subscriber
        self._publisher.subscribe(subscriber, frame.hello, time.monotonic())
        self._subscribed()

    def _told(self, connection: FrameConnection, frame: GatewayFrame) -> None:
        """A gateway's word of itself; of one that has not subscribed, nothing is taken."""
        subscriber = self._subscribers.get(connection)
        if subscriber is None:
            return
        now = time.monotonic()
        if frame.demand:
            self._demand.record(subscriber, frame.demand, now)
        if frame.tells_attempts:
            self._attempts.record(subscriber, frame.attempts, now)

    def gateway_closed(self, connection: FrameConnection) -> None:
        """A connection is over; perhaps it was none of a gateway."""
        subscriber = self._subscribers.pop(connection, None)
        if subscriber is not None:
            del self._connections[subscriber]
            self._publisher.unsubscribe(subscriber)
            self._demand.forget(subscriber)
            self._attempts.forget(subscriber)

    def frames_at(self) -> float:
        """When `send` is due at the latest, by the steady clock."""
        return self._publisher.frames_at()

    def send(self) -> None:
        """Send what is due to each gateway."""
        busy = [
            subscriber
            for subscriber, connection in self._connections.items()
            if connection.unsent > BUSY_BYTES
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
