"""Bounds and times of the registry. Times are in seconds unless the name says otherwise."""

from __future__ import annotations

RETIRED_SEQUENCE = 2**64 - 1  # sequence of a deleted instance: no heartbeat is ever above it
MOST_SEQUENCE = 2**63 - 1  # greatest sequence that a heartbeat may carry

MOST_INSTANCES = 100_000  # in a table, ended ones included; a new one beyond it is refused
MOST_RETIRED = 16_384  # retired ids remembered; the oldest are dropped first
MOST_LEASES = 4_096  # lease subjects remembered; the oldest are dropped first

EXPIRE_INTERVALS = 3.5  # heartbeat intervals without a heartbeat after which an instance has ended
COMPLETE_INTERVALS = 2.0  # heartbeat intervals after which a member has heard from all instances
COMPLETE_MARGIN_S = 0.2  # beyond those, for heartbeats under way
ENDED_KEPT_S = 30.0  # how long an ended instance stays in the table, for changes to tell of it
STALLED_S = 1.0  # a member that has not run for this long has not heard what it should have
RETURN_HEARTBEATS = 2  # heartbeats by which an instance wins back an address that another id took

GOSSIP_INTERVAL_S = 0.3  # between two batches to the other members
URGENT_INTERVAL_S = 0.02  # between two batches while there is urgent news
WHOLE_RETRY_S = 0.5  # between two requests for another member's whole table
WHOLE_SETTLE_S = 0.1  # after a loss, until the other members have what was lost
GATEWAY_COUNT_KEPT_S = 2.0  # how long another member's count of gateways holds without a new one

MOST_BODY_BYTES = 64 * 1024  # of a heartbeat
MOST_ID_LENGTH = 128  # characters
MOST_NAME_LENGTH = 256  # characters of a backend, zone, stage, revision or model
MOST_MODELS = 256  # models of one instance
MOST_SLOTS = 1_000_000
MOST_WARMUP_MS = 24 * 3600 * 1000
