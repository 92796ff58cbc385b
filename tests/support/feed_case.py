"""Fixtures for tests of the feed subscriber: frames as a member sends them, and a test case."""

from __future__ import annotations

import unittest
from random import Random

from mallowbeam.errors import MallowbeamError
from mallowbeam.router.feed import Connect, FeedSubscriber, GatewayIdentity
from mallowbeam.router.rpc.messages_pb2 import (
    READY,
    ConfigurationUpdate,
    FeedFrame,
    FeedHeartbeat,
    Instance,
    InstancesUpdate,
)

SEEDS = ("10.0.0.1:1", "10.0.0.2:1", "10.0.0.3:1")


def apply_update(current: tuple[int, ...] | None, update: ConfigurationUpdate) -> tuple[int, ...]:
    """Apply an update to a configuration, which here is the tuple of its applied revisions."""
    if update.revision == 666:
        raise MallowbeamError("does not fit")
    return (update.revision,) if update.whole else (*(current or ()), update.revision)


def frame(
    *instances: Instance,
    whole: bool = False,
    complete: bool = True,
    silence_ms: int = 0,
    gateways: int = 1,
    members: tuple[str, ...] = (),
    revision: int = 0,
    based_on: int | None = None,
) -> FeedFrame:
    feed_frame = FeedFrame(
        heartbeat=FeedHeartbeat(
            leader_silence_ms=silence_ms, gateways=gateways, members=members, table_complete=complete
        )
    )
    if instances or whole:
        feed_frame.instances.CopyFrom(InstancesUpdate(whole=whole, instances=instances))
    if revision:
        feed_frame.configuration.CopyFrom(
            ConfigurationUpdate(revision=revision, whole=based_on is None, based_on=based_on or 0)
        )
    return feed_frame


def instance(
    id: str, state: int = READY, sequence: int = 1, address: str = "10.1.0.1:80", stage: str = "decode"
) -> Instance:
    return Instance(id=id, state=state, sequence=sequence, address=address, stage=stage)


class FeedCase(unittest.TestCase):
    def setUp(self) -> None:
        self.feed = FeedSubscriber(SEEDS, GatewayIdentity("z", "g", 5), Random(7), apply_update)

    def connect(self, now: float) -> str:
        action = self.feed.next_action(now)
        assert isinstance(action, Connect), action
        self.feed.connected(action.address, now)
        return action.address

    def reconnect(self, now: float) -> str:
        """End the connection by its peer, then connect again once the backoff is over."""
        connection = self.feed._connection
        assert connection is not None
        self.feed.failed(connection.address, now)
        return self.connect(now + 0.2)
