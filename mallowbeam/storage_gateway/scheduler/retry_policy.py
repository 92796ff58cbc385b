"""Retry policy: whether a request may run again, and the host's retry budget."""

from __future__ import annotations

from collections import deque

from mallowbeam.storage_gateway.scheduler.interface import DeduplicationScope, Idempotency
from mallowbeam.storage_gateway.scheduler.model import Node, Request
from mallowbeam.storage_gateway.scheduler.state import SchedulerState


class RetryPolicy:
    """Decides on retries; it owns the times of the requests and retries that the budget counts."""

    def __init__(self, state: SchedulerState) -> None:
        self._state = state
        self._has_budget = state.settings.retry_budget_floor is not None
        self.requests_at: deque[float] = deque()
        self.retries_at: deque[float] = deque()

    def count_request(self) -> None:
        """Count a request that arrived."""
        if self._has_budget:
            self.requests_at.append(self._state.now)

    def count_retry(self) -> None:
        """Count an attempt after a request's first."""
        if self._has_budget:
            self.retries_at.append(self._state.now)

    def has_budget_left(self) -> bool:
        """Whether one more retry is within the budget; drops the times past the window."""
        settings = self._state.settings
        if settings.retry_budget_floor is None:
            return True
        oldest = self._state.now - settings.retry_budget_window
        # Clocks differ by up to a tick, so requests leave the window a tick early and retries a tick late.
        _drop_until(self.requests_at, oldest + settings.tick)
        _drop_until(self.retries_at, oldest - settings.tick)
        allowed = settings.retry_budget_floor + settings.retry_budget_ratio * len(self.requests_at)
        return len(self.retries_at) + 1 <= allowed

    def may_repeat(self, request: Request, node: Node | None = None) -> bool:
        """Whether another attempt cannot take effect twice: at the given node, or else at some node."""
        request_class = request.request_class
        if not request.possible_runs or request_class.idempotency is Idempotency.SAFE:
            return True
        if request_class.idempotency is Idempotency.UNSAFE:
            return False
        first = request.possible_runs[0]
        settings = self._state.settings
        if self._state.now > first.sent_at + request_class.dedup_window - settings.tick:
            return False
        if node is None or request_class.dedup_scope is DeduplicationScope.ALL:
            return True
        if request_class.dedup_scope is DeduplicationScope.ZONE:
            return node.zone == first.zone
        return node.shard == first.shard

    def is_forbidden(self, request: Request, node: Node) -> bool:
        """Whether no attempt may go to a node; checked when it is decided, and again when it begins."""
        return (
            request.done
            or not node.open
            or request.deadline <= self._state.now
            or not self.may_repeat(request, node)
        )


def _drop_until(times: deque[float], until: float) -> None:
    while times and times[0] <= until:
        times.popleft()
