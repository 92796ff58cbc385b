"""The recurring work of a member, on one timer of the event loop."""

from __future__ import annotations

import asyncio
import time
from math import inf

from mallowbeam.router.control_plane.member_parts import MemberParts

CYCLE_INTERVAL_S = 0.25  # between two cycles over membership, instances and connections
COALESCING_S = 0.03  # work that is due within this time runs now, to save a wake-up
TIMER_GRANULARITY_S = 0.001  # the loop's timers may fire this much early
FLUSH_INTERVAL_S = 0.01  # instance changes are batched for up to this time, to send bursts together


class MemberCycle:
    """Runs the periodic work of each part when it is due."""

    def __init__(self, parts: MemberParts) -> None:
        self._parts = parts
        self._loop = asyncio.get_running_loop()
        self._timer: asyncio.TimerHandle | None = None
        self._timer_at = inf
        self._next_cycle_at = 0.0
        self._flush_pending = False
        self._flushed_at = 0.0

    def start(self) -> None:
        """Run all due work, and set the timer."""
        self._wake()

    def stop(self) -> None:
        """Cancel the timer."""
        if self._timer is not None:
            self._timer.cancel()

    def flush(self) -> None:
        """Send pending changes to gateways now."""
        self._flush_pending = False
        self._flushed_at = time.monotonic()
        self._parts.feeds.send()

    def flush_soon(self) -> None:
        """Schedule sending changes to gateways or members; changes in quick succession are batched."""
        self._flush_pending = True
        self._set_timer(time.monotonic())

    def _wake(self) -> None:
        """Run all due work, and set the timer for the next."""
        self._timer = None
        self._timer_at = inf
        parts = self._parts
        now = time.monotonic()
        due_until = now + COALESCING_S
        if due_until >= self._next_cycle_at:
            self._next_cycle_at = now + CYCLE_INTERVAL_S
            self._run_cycle()
        if due_until >= parts.instances.next_gossip_at():
            parts.instances.send_gossip(parts.stages, parts.attempts)
        if now >= self._flush_at():
            self.flush()
        self._set_timer(now)

    def _run_cycle(self) -> None:
        """One cycle over all parts: membership, instances, gateways, stages, idle connections."""
        parts = self._parts
        parts.membership.run_cycle()
        parts.cluster_join.run_cycle()
        members = parts.driver.node.membership.members
        parts.instances.run_cycle([known.id for known in members if known.id != parts.own.id])
        parts.status.gateways = parts.instances.gateway_counts.total(len(parts.feeds), time.monotonic())
        parts.stages.run_cycle(time.monotonic())
        parts.api_server.sweep()

    def _flush_at(self) -> float:
        """When feeds are due, by the monotonic clock in seconds."""
        heartbeat_at = self._parts.feeds.next_frames_at()
        return min(heartbeat_at, self._flushed_at + FLUSH_INTERVAL_S) if self._flush_pending else heartbeat_at

    def _set_timer(self, now: float) -> None:
        """Set the timer for the earliest due work; an earlier timer stays and is set again when it fires."""
        due_at = min(self._next_cycle_at, self._parts.instances.next_gossip_at(), self._flush_at())
        if self._timer_at <= due_at:
            return
        if self._timer is not None:
            self._timer.cancel()
        self._timer_at = due_at
        self._timer = self._loop.call_later(max(0.0, due_at - now) + TIMER_GRANULARITY_S, self._wake)
