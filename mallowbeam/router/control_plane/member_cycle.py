"""The recurring work of a member, on one timer of the event loop."""

from __future__ import annotations

import asyncio
import time
from math import inf

from mallowbeam.router.control_plane.member_parts import MemberParts

CYCLE_INTERVAL_S = 0.25  # between two cycles over group, instances and connections
COALESCING_S = 0.03  # what is due within it is done now, to save a wake-up
TIMER_GRANULARITY_S = 0.001  # the loop's timers may fire this much early
FLUSH_INTERVAL_S = 0.01  # changes of instances wait so long for others, so that bursts go out together


class MemberCycle:
    """Runs each part's periodic work when it is due."""

    def __init__(self, parts: MemberParts) -> None:
        self._parts = parts
        self._loop = asyncio.get_running_loop()
        self._timer: asyncio.TimerHandle | None = None
        self._timer_at = inf
        self._next_cycle_at = 0.0
        self._flush_pending = False
        self._flushed_at = 0.0

    def start(self) -> None:
        """Run what is due, and set the timer."""
        self._wake()

    def stop(self) -> None:
        """Cancel the timer."""
        if self._timer is not None:
            self._timer.cancel()

    def flush(self) -> None:
        """Send gateways what they lack, now."""
        self._flush_pending = False
        self._flushed_at = time.monotonic()
        self._parts.feeds.send()

    def flush_soon(self) -> None:
        """Send gateways or members what they lack, together with what else comes within a moment."""
        self._flush_pending = True
        self._set_timer(time.monotonic())

    def _wake(self) -> None:
        """Run what is due, and set the timer for the next."""
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
        parts.joining.run_cycle()
        members = parts.driver.node.membership.members
        parts.instances.run_cycle([known.id for known in members if known.id != parts.own.id])
        parts.status.gateways = parts.instances.gateway_counts.total(len(parts.feeds), time.monotonic())
        parts.stages.run_cycle(time.monotonic())
        parts.api_server.sweep()

    def _flush_at(self) -> float:
        """When feeds are due, by the monotonic clock."""
        heartbeat_at = self._parts.feeds.next_frames_at()
        return min(heartbeat_at, self._flushed_at + FLUSH_INTERVAL_S) if self._flush_pending else heartbeat_at

    def _set_timer(self, now: float) -> None:
        """Set the timer for what is due first; an earlier timer stays and is set again when it fires."""
        due = min(self._next_cycle_at, self._parts.instances.next_gossip_at(), self._flush_at())
        if self._timer_at <= due:
            return
        if self._timer is not None:
            self._timer.cancel()
        self._timer_at = due
        self._timer = self._loop.call_later(max(0.0, due - now) + TIMER_GRANULARITY_S, self._wake)
