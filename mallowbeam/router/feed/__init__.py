"""The feed of configuration and instances from members to gateways: snapshot, changes, heartbeats.

State: a member's `FeedPublisher` holds a cursor for each gateway; a gateway's `FeedSubscriber` holds its
replica of configuration and instances and its view of the members. Callers: the control plane's feed server,
the data plane's feed link and the simulation; nothing here does I/O.
"""

from mallowbeam.router.feed.instance_replica import InstanceChanges
from mallowbeam.router.feed.publisher import (
    ConfigurationSource,
    FeedAllowance,
    FeedBatch,
    FeedPublisher,
    MemberStatus,
)
from mallowbeam.router.feed.subscriber import (
    Action,
    Close,
    Connect,
    FeedEvents,
    FeedSubscriber,
    GatewayIdentity,
    Wait,
)

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
    "GatewayIdentity",
    "InstanceChanges",
    "MemberStatus",
    "Wait",
]
