"""Instances from their heartbeats: incarnations, drains, expiry, gossip among members."""

from mallowbeam.router.registry.census import GatewayCensus
from mallowbeam.router.registry.errors import HeartbeatError
from mallowbeam.router.registry.leases import LeaseGrant, Leases
from mallowbeam.router.registry.parse import check_id, parse_heartbeat
from mallowbeam.router.registry.retirements import Retirements
from mallowbeam.router.registry.table import Heard, InstanceTable

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
