"""Requests of members to leave the voting group, as the leader records and answers them."""

from __future__ import annotations

from collections.abc import Callable

from mallowbeam.router.control_plane.membership_policy import LeaveOutcome
from mallowbeam.router.rpc.messages_pb2 import LeaveRequest, LeaveResponse

LEAVE_REQUEST_TTL_S = 1.5  # seconds after its last request for which a member counts as leaving


class PendingLeaveRequests:
    """Members that asked the leader to replace them, and the requests without an answer."""

    def __init__(self, answer: Callable[[int, LeaveResponse], None]) -> None:
        """`answer` sends a response to a member."""
        self._answer = answer
        self._requested_at: dict[int, float] = {}  # latest request, by member
        self._unanswered: dict[int, int] = {}  # id of the latest request, by member

    def add(self, member: int, request: LeaveRequest, now: float) -> None:
        """Record a request, or its repetition."""
        self._requested_at[member] = now
        self._unanswered[member] = request.id

    def members(self, now: float) -> frozenset[int]:
        """Members whose latest request is recent; requests of all others are forgotten."""
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
        """Whether a member waits for an answer."""
        return bool(self._unanswered)

    def answer_decided(self, outcome_of: Callable[[int], LeaveOutcome]) -> None:
        """Answer each member whose outcome is final; requires that the latest membership is committed."""
        for member, request_id in list(self._unanswered.items()):
            outcome = outcome_of(member)
            if outcome is LeaveOutcome.PENDING:
                continue
            del self._unanswered[member]
            self._answer(member, LeaveResponse(id=request_id, given=outcome is LeaveOutcome.DEMOTED))
