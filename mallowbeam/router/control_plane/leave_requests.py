"""Requests of members to give up their vote, as the leader records and answers them."""

from __future__ import annotations

from collections.abc import Callable

from mallowbeam.router.control_plane.membership_policy import LeaveOutcome
from mallowbeam.router.rpc.messages_pb2 import LeaveRequest, LeaveResponse

LEAVE_REQUEST_TTL_S = 1.5  # a member counts as leaving for this time after its latest request


class PendingLeaveRequests:
    """Members that asked the leader to replace them, and their unanswered requests."""

    def __init__(self, send_response: Callable[[int, LeaveResponse], None]) -> None:
        """`send_response` sends a response to a member."""
        self._send_response = send_response
        self._requested_at: dict[int, float] = {}  # latest request, by member
        self._unanswered: dict[int, int] = {}  # id of the latest request, by member

    def add(self, member: int, request: LeaveRequest, now: float) -> None:
        """Record a request or a repeated one."""
        self._requested_at[member] = now
        self._unanswered[member] = request.id

    def members(self, now: float) -> frozenset[int]:
        """Members whose latest request is recent; the requests of all others are removed."""
        self._requested_at = {
            member: requested_at
            for member, requested_at in self._requested_at.items()
            if now - requested_at <= LEAVE_REQUEST_TTL_S
        }
        self._unanswered = {
            member: request_id
            for member, request_id in self._unanswered.items()
            if member in self._requested_at
        }
        return frozenset(self._requested_at)

    @property
    def has_unanswered(self) -> bool:
        """Whether a member waits for a response."""
        return bool(self._unanswered)

    def answer_decided(self, outcome_of: Callable[[int], LeaveOutcome]) -> None:
        """Answer each member whose outcome is final; requires that the latest membership is committed."""
        for member, request_id in list(self._unanswered.items()):
            outcome = outcome_of(member)
            if outcome is LeaveOutcome.PENDING:
                continue
            del self._unanswered[member]
            self._send_response(member, LeaveResponse(id=request_id, given=outcome is LeaveOutcome.DEMOTED))
