"""The retry policy of one request: whether it may be sent again, and its status when abandoned.  No I/O.

An *arrival* is a request that an instance has received completely or in part.  A prefill call that precedes
all other arrivals and succeeds does not count as one.  Every arrival after the first is charged to the retry
budget of its service.  A prompt is therefore prefilled separately only before any arrival: later, the prefill
call would use up budget that a send to a decode instance needs.
"""

from __future__ import annotations

from dataclasses import dataclass

from mallowbeam.router.data_plane.outcomes import AttemptEnd
from mallowbeam.router.data_plane.retry_budget import RetryBudget

MAX_CONNECT_FAILURES = 4  # failed connection attempts per request
NEVER_ARRIVED = frozenset((AttemptEnd.NO_CONNECTION, AttemptEnd.NOT_SENT, AttemptEnd.NO_CAPACITY))
BAD_GATEWAY = 502
UNAVAILABLE = 503
GATEWAY_TIMEOUT = 504


@dataclass(frozen=True, slots=True)
class SendTicket:
    """A permitted send; pass it back to `SendPolicy` together with its outcome."""

    instance: str
    charged: bool  # whether it was charged to the retry budget
    new_instance: bool  # whether the request had not been sent to this instance before
    first_send: bool = False  # whether there was no arrival before it


class SendPolicy:
    """Permits and records the sends of one request."""

    def __init__(self, budget: RetryBudget, idempotent: bool, max_instances: int) -> None:
        self._budget = budget
        self.idempotent = idempotent  # whether it may run more than once
        self._max_instances = max(1, max_instances)
        self._arrivals = 0
        self._instances: set[str] = set()
        self._connect_failures = 0
        self.may_have_run = False  # whether an instance may have run it or may still be running it
        self.excluded: set[str] = set()  # instances that failed or rejected it

    def send(self, instance: str, now: float, gateways: int) -> SendTicket | None:
        """Request permission for one send; None if it is not allowed."""
        if self.may_have_run and not self.idempotent:
            return None
        if self._connect_failures >= MAX_CONNECT_FAILURES:
            return None
        new = instance not in self._instances
        if new and len(self._instances) >= self._max_instances:
            return None
        charged = self._arrivals > 0
        if charged and not self._budget.take(now, gateways):
            return None
        self._arrivals += 1
        self._instances.add(instance)
        return SendTicket(instance, charged, new, not charged)

    def ended(self, ticket: SendTicket, end: AttemptEnd, now: float) -> None:
        """Record the outcome of a send that gave no answer to forward."""
        self.excluded.add(ticket.instance)
        if end in NEVER_ARRIVED:
            self._undo_send(ticket, now)
            self._connect_failures += 1
        elif end in (AttemptEnd.BROKEN, AttemptEnd.TIMED_OUT, AttemptEnd.FAILED):
            self.may_have_run = True

    def answer_truncated(self, instance: str) -> None:
        """A forwarded answer was truncated: the request has run at this instance."""
        self.excluded.add(instance)
        self.may_have_run = True

    def prefill_accepted(self, ticket: SendTicket, now: float) -> None:
        """A prefill call succeeded: if it was the first send, it does not count as an arrival."""
        if ticket.first_send:
            self._undo_send(ticket, now)

    def prefill_failed(self, ticket: SendTicket, end: AttemptEnd, now: float) -> None:
        """A prefill call failed: however it failed, the request itself has not run."""
        self.excluded.add(ticket.instance)
        if end in NEVER_ARRIVED:
            self._undo_send(ticket, now)

    def may_prefill_separately(self) -> bool:
        """Whether the prompt may be prefilled at a separate instance."""
        return not self._arrivals

    def may_continue(self) -> bool:
        """Whether another send could still be allowed, regardless of the retry budget."""
        if self.may_have_run and not self.idempotent:
            return False
        if self._connect_failures >= MAX_CONNECT_FAILURES:
            return False
        return len(self._instances) < self._max_instances

    def status_when_abandoned(self, out_of_time: bool) -> int:
        """Return the status of the gateway's answer: 503 only if the request has not run and never will."""
        if not self.may_have_run:
            return UNAVAILABLE
        return GATEWAY_TIMEOUT if out_of_time else BAD_GATEWAY

    def status_when_interrupted(self) -> int:
        """Return the answer's status while a send may be under way: 503 only if there is none."""
        return UNAVAILABLE if not self._arrivals and not self.may_have_run else GATEWAY_TIMEOUT

    def _undo_send(self, ticket: SendTicket, now: float) -> None:
        self._arrivals -= 1
        if ticket.charged:
            self._budget.give_back(now)
        if ticket.new_instance:
            self._instances.discard(ticket.instance)
