"""What members tell gateways: snapshot, changes, heartbeats; the decisions of both ends."""

from mallowbeam.router.feed.instances import InstanceChanges
from mallowbeam.router.feed.publisher import (
    ConfigurationSource,
    FeedAllowance,
    FeedBatch,
    FeedPublisher,
    MemberStatus,
)
from mallowbeam.router.feed.subscriber import Action, Close, Connect, FeedEvents, FeedSubscriber, Wait

__all__ = [
    "Action",
    "Close",
    "ConfigurationSource",
    "Connect",
    "FeedAllowance",
    "FeedBatch",
    "FeedEvents",
    "FeedPublisher",
    "FeedSubscriber",
    "InstanceChanges",
    "MemberStatus",
    "Wait",
]
