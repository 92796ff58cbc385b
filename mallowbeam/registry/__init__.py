"""Instances from their heartbeats: incarnations, drains, expiry, gossip among members."""

from mallowbeam.registry.census import GatewayCensus
from mallowbeam.registry.errors import HeartbeatError
from mallowbeam.registry.leases import LeaseGrant, Leases
from mallowbeam.registry.parse import check_id, parse_heartbeat
from mallowbeam.registry.retirements import Retirements
from mallowbeam.registry.table import Heard, InstanceTable

__all__ = [
    "GatewayCensus",
    "Heard",
    "HeartbeatError",
    "InstanceTable",
    "LeaseGrant",
    "Leases",
    "Retirements",
    "check_id",
    "parse_heartbeat",
]
