"""Bounds and times of the feed. Times are in seconds unless the name says otherwise."""

from __future__ import annotations

HEARTBEAT_INTERVAL_S = 0.25  # between two frames to a subscriber at the latest

FRAME_TIMEOUT_S = 1.0  # without a frame, after which a connection is closed
MIN_DWELL_S = 0.5  # how long a new connection is kept before its member is judged
LEADER_TIMEOUT_MS = 1_000  # a member that has been isolated from its leader for longer is left
# A member whose frames are stale by more is left. Not sooner: that may be the gateway's own link, which a new
# connection only loads more.
MAX_STALENESS_S = 2.0
CONNECT_TIMEOUT_S = 0.3  # the host reports an attempt as failed after this time; others may be reached sooner
BACKOFF_MIN_S = 0.1  # after the first failure to reach a member; doubles up to the maximum
BACKOFF_MAX_S = 1.0
BACKOFF_JITTER = 0.5  # the fraction of a backoff that is random
EJECTION_MIN_S = (
    5.0  # how long a member that is unreachable, isolated or behind is ejected; doubles up to the
)
EJECTION_MAX_S = 60.0  # maximum while it stays so, once the gateway is ready
MAX_CLOCK_DRIFT = 0.15  # by which the rates of two machines' monotonic clocks may differ, as a fraction
READY_WITHOUT_COMPLETE_S = 3.0  # after the first frame, an incomplete table is accepted
GATEWAYS_WINDOW_S = 20.0  # over which the greatest number of gateways is kept
MAX_MEMBERS = 1_024  # addresses accepted from one heartbeat
