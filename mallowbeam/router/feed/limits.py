"""Bounds and times of the feed. Times are in seconds unless the name says otherwise."""

from __future__ import annotations

HEARTBEAT_INTERVAL_S = 0.25  # between two frames to a subscriber at the latest

MOST_SILENCE_S = 1.0  # without a frame, after which a feed is given up
UNFIT_DWELL_S = 0.5  # a new feed is kept for so long before its member is judged unfit
MOST_LEADER_SILENCE_MS = 1_000  # a member out of touch with its leader for longer is left
# A member whose frames are held up for longer is left. Not sooner: that may be the gateway's own link, which
# a new connection only loads more.
MOST_LATENESS_S = 2.0
CONNECT_TIMEOUT_S = 0.6  # the host reports an attempt as failed after this time
BACKOFF_LEAST_S = 0.1  # after the first failure to reach a member; doubles up to the next
BACKOFF_MOST_S = 1.0
BACKOFF_JITTER = 0.5  # the part of a backoff that is drawn
UNFIT_LEAST_S = 5.0  # how long a member out of reach, out of touch or behind is left aside;
UNFIT_MOST_S = 60.0  # doubles up to this while that stays so, once the gateway is ready
MOST_CLOCK_DRIFT = 0.15  # by which steady clocks of two machines may differ in rate
READY_WITHOUT_COMPLETE_S = 3.0  # after the first frame, a table that is not complete will do
GATEWAYS_WINDOW_S = 20.0  # over which the greatest number of gateways is kept
MOST_MEMBERS = 1_024  # addresses taken from one heartbeat
