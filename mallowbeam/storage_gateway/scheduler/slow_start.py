"""Slow start: limits the work that a node gets while it warms up after a start.

A node that gets more than a multiple of its growing capacity within a window collapses.  Hosts do not
communicate with each other, so each sends its even share of half of the node's budget (the units that it
certainly sustains), and beyond that a sample of its requests, chosen by a hash of the key (design page, "A
cold node gets from each host"; `docs/fleet.md` has the calculation).
"""

from __future__ import annotations

from math import exp
from zlib import crc32

from mallowbeam.storage_gateway.scheduler.model import Attempt, Node, Request, Tier
from mallowbeam.storage_gateway.scheduler.state import SchedulerState

EVEN_FRACTION = 0.5  # of the node's budget: divided evenly among the hosts
DEMAND_FRACTION = 0.7  # of the budget: divided by the demand of all hosts, it gives a sampling rate
TIER_SAMPLING_RATES = (0.35, 0.04, 0.04)  # sampling rate by tier, to be multiplied by the overload factor
MAX_SAMPLING_RATE = 0.5  # maximum sampling rate, to be multiplied by the overload factor
MAX_HOST_FRACTION = 0.2  # of the budget: maximum through one host
HASH_RANGE = 2**32
DEFAULT_DEMAND_MEMORY_S = 1.0  # seconds, where the settings have no overload window


class SlowStart:
    """Decides which requests go to nodes that are warming up; it owns the measured demand of this host."""

    def __init__(self, state: SchedulerState) -> None:
        settings = state.settings
        self._state = state
        self._window = settings.overload_window or 0.0
        self._duration = settings.slow_start_time or 0.0
        self._demand_memory = settings.overload_window or DEFAULT_DEMAND_MEMORY_S
        self._demand = 0.0  # units booked here, decaying over about one window
        self._demand_at = 0.0

    def begin(self, node: Node, started_at: float, duration: float | None = None) -> None:
        """Mark a node as started at a time, and as warming up for `duration` seconds (None: as set)."""
        if self._window and self._duration:
            node.slow_start_from = started_at
            node.slow_start_until = started_at + (duration or self._duration)

    def count_demand(self, units: int) -> None:
        """Count units that are booked for the first time."""
        now = self._state.now
        faded = exp((self._demand_at - now) / self._demand_memory)
        self._demand = self._demand * faded + units
        self._demand_at = now

    def count_begin(self, attempt: Attempt) -> None:
        """Move an attempt's units to the time at which it begins: the node counts them when they arrive."""
        now = self._state.now
        if now < attempt.node.slow_start_until:
            attempt.slow_start_send.units = 0
            attempt.slow_start_send = attempt.node.count_slow_start_send(now, attempt.request.units)

    def is_over_budget(self, node: Node, request: Request) -> bool:
        """Whether a node is warming up and must not get a request from this host now."""
        now = self._state.now
        if now >= node.slow_start_until:
            return False
        settings = self._state.settings
        # The capacity in the middle of the window stands for the whole window.
        age = max(0.0, now - node.slow_start_from - self._window / 2)
        start = settings.slow_start_capacity
        capacity = min(1.0, start + (1.0 - start) * age / self._duration)
        budget = (settings.slow_start_units or 0.0) * capacity / max(start, 1e-9)
        oldest = now - self._window
        node.slow_start_sends = [send for send in node.slow_start_sends if send.sent_at > oldest]
        sent = sum((send.units for send in node.slow_start_sends), request.units)
        even_share = EVEN_FRACTION * budget / max(1, settings.hosts)
        if sent <= even_share:
            return False
        # Only first attempts are sampled: retries must not raise a request's chance.
        if request.attempt_count > 0 or not self._is_sampled(request, capacity, budget, even_share):
            return True
        return sent > max(MAX_HOST_FRACTION * budget, min(request.units, budget))

    def _is_sampled(self, request: Request, capacity: float, budget: float, even_share: float) -> bool:
        """Whether a request is in the sample, by key hash, that may exceed this host's even share."""
        settings = self._state.settings
        overload_factor = (settings.overload_multiple or 0.0) * capacity
        hosts = request.volume.hosts if request.tier is Tier.RESERVED else 1
        sampling_rate = TIER_SAMPLING_RATES[request.tier] * overload_factor / hosts
        if even_share < request.units:
            measured_fraction = 1.0 - exp((self._state.started_at - self._state.now) / self._window)
            demand_of_all = self._demand * max(1, settings.hosts)
            sampling_rate += (
                DEMAND_FRACTION * budget * max(1, settings.shards) * measured_fraction / demand_of_all
            )
        return (
            crc32(request.data_key.encode())
            < min(sampling_rate, MAX_SAMPLING_RATE * overload_factor) * HASH_RANGE
        )
