"""Bounds and times of the registry. Times are in seconds unless the name says otherwise."""

from __future__ import annotations

RETIRED_SEQUENCE = 2**64 - 1  # sequence of a deleted instance: above that of any heartbeat
MAX_SEQUENCE = 2**63 - 1  # greatest sequence that a heartbeat may carry

MAX_INSTANCES = 100_000  # in a table, including ended ones; new ones beyond it are rejected
MAX_RETIRED = 16_384  # retired ids remembered; the oldest are dropped first
MAX_LEASES = 4_096  # lease subjects remembered; the oldest are dropped first

EXPIRE_INTERVALS = 3.5  # heartbeat intervals without a heartbeat after which an instance expires
COMPLETE_INTERVALS = 2.0  # heartbeat intervals after which a connected member knows all instances
COMPLETE_MARGIN_S = 0.2  # added to COMPLETE_INTERVALS, for heartbeats in flight
ENDED_RETENTION_S = 30.0  # how long an ended instance stays in the table, so that updates can include it
STALLED_S = 1.0  # a member that has not run for this long may have unread heartbeats
RETURN_HEARTBEATS = 2  # heartbeats after which a superseded instance reclaims its address

GOSSIP_INTERVAL_S = 0.3  # between two batches to the other members
URGENT_INTERVAL_S = 0.02  # between two batches while there are urgent changes
FULL_REQUEST_INTERVAL_S = 0.5  # between two requests for another member's complete table
LOSS_PROPAGATION_S = 0.1  # after a loss, until the other members have the lost details
GATEWAY_COUNT_TTL_S = 2.0  # how long another member's count of gateways is valid without a new one

MAX_BODY_BYTES = 64 * 1024  # of a heartbeat
MAX_ID_LENGTH = 128  # characters
MAX_NAME_LENGTH = 256  # characters of a backend, zone, stage, revision or model
MAX_MODELS = 256  # models of one instance
MAX_SLOTS = 1_000_000
MAX_WARMUP_MS = 24 * 3600 * 1000
