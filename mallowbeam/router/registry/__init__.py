"""The registry of instances: heartbeats, expiry, retirements, stage transitions and gossip among the members.

State: each member's `InstanceTable` (soft, from heartbeats and gossip) and, replicated through the log,
`Retirements` and `Leases`. Callers: the control plane; the feed sends the table to gateways.
"""

from mallowbeam.router.registry.errors import HeartbeatError
from mallowbeam.router.registry.gateway_counts import GatewayCounts
from mallowbeam.router.registry.leases import LeaseGrant, Leases
from mallowbeam.router.registry.parse import check_id, parse_heartbeat
from mallowbeam.router.registry.retirements import Retirements
from mallowbeam.router.registry.table import HeartbeatOutcome, InstanceTable

__all__ = [
    "GatewayCounts",
    "HeartbeatError",
    "HeartbeatOutcome",
    "InstanceTable",
    "LeaseGrant",
    "Leases",
    "Retirements",
    "check_id",
    "parse_heartbeat",
]
