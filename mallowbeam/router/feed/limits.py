"""Bounds and times of the feed. Times are in seconds unless the name says otherwise."""

from __future__ import annotations

HEARTBEAT_INTERVAL_S = 0.25  # longest time between two frames to a subscriber

FRAME_TIMEOUT_S = 1.0  # a connection without a frame for this long is closed
MIN_DWELL_S = 0.5  # how long a new connection is kept before an unhealthy member is left
LEADER_TIMEOUT_MS = 1_000  # a member whose state is older counts as isolated and is left
# A member whose frames are staler than this is left. A lower limit would also react to congestion of the
# gateway's own link, which a new connection only loads further.
MAX_STALENESS_S = 2.0
CONNECT_TIMEOUT_S = 0.3  # after which the host reports an attempt as failed, and another member is tried
BACKOFF_MIN_S = 0.1  # after the first failure to reach a member; doubles up to BACKOFF_MAX_S
BACKOFF_MAX_S = 1.0
BACKOFF_JITTER = 0.5  # the fraction of a backoff that is random
# How long a member is ejected that is unreachable, isolated or behind. Once the gateway is ready, consecutive
# ejections double up to the maximum.
EJECTION_MIN_S = 5.0
EJECTION_MAX_S = 60.0
MAX_CLOCK_DRIFT = 0.15  # fraction by which the rates of two machines' monotonic clocks may differ
READY_WITHOUT_COMPLETE_S = 3.0  # after the first frame, when an incomplete table is accepted
GATEWAY_COUNT_WINDOW_S = 20.0  # over which the maximum number of gateways is kept
MAX_MEMBERS = 1_024  # addresses accepted from one heartbeat
