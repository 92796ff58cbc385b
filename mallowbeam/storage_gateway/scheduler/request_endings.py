"""Ends requests: every final answer is given here."""

from __future__ import annotations

from collections.abc import Callable

from mallowbeam.storage_gateway.scheduler.interface import (
    Cancel,
    DeduplicationScope,
    Fail,
    Idempotency,
    Reject,
)
from mallowbeam.storage_gateway.scheduler.model import Request
from mallowbeam.storage_gateway.scheduler.state import SchedulerState


class RequestEndings:
    """Ends requests, and drops them once none of their attempts is in flight."""

    def __init__(self, state: SchedulerState) -> None:
        self._state = state
        self.on_forgotten: Callable[[str], None]
        """Called with the key of an ordered request that was dropped; set by `Scheduler`."""

    def end(self, request: Request, answered: bool = False, retry_after: float | None = None) -> None:
        """End a request, with a final answer unless the client has one (`answered`); done only once.

        The answer is a rejection where a retry by the client is certainly harmless, else a failure.
        """
        if request.done:
            return
        request.done = True
        settings = self._state.settings
        if not answered:
            self._give_final_answer(request, retry_after)
        if settings.may_cancel:
            self._state.actions += [Cancel(request.id, number) for number in request.in_flight]
        if request.counted_pending and not request.charged:
            request.volume.pending_units -= request.units
        self.forget(request)

    def _give_final_answer(self, request: Request, retry_after: float | None) -> None:
        settings = self._state.settings
        if is_idempotent_everywhere(request) or not (request.possible_runs or request.in_flight):
            wait = min(retry_after or self._state.cycle, settings.max_retry_after)
            self._state.actions.append(Reject(request.id, wait if settings.retry_after else None))
        else:
            self._state.actions.append(Fail(request.id))

    def forget(self, request: Request) -> None:
        """Drop a request that has ended and has no attempt in flight."""
        if request.done and not request.in_flight:
            self._state.requests.pop(request.id, None)
            if request.order_key:
                self.on_forgotten(request.order_key)


def is_idempotent_everywhere(request: Request) -> bool:
    """Whether a second run has no second effect, at any node and at any time."""
    request_class = request.request_class
    if request_class.idempotency is Idempotency.KEYED:
        return request_class.dedup_scope is DeduplicationScope.ALL
    return request_class.idempotency is Idempotency.SAFE
