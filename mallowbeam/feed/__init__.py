"""What members tell gateways: snapshot, changes, heartbeats; the decisions of both ends."""

from mallowbeam.feed.instances import InstanceChanges
from mallowbeam.feed.publisher import (
    ConfigurationSource,
    FeedAllowance,
    FeedBatch,
    FeedPublisher,
    MemberStatus,
)
from mallowbeam.feed.subscriber import Action, Close, Connect, FeedEvents, FeedSubscriber, Wait

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
