"""Leaving: a member that stops gives its place away, and takes part in consensus until that is committed.

A process can't tell a restart from its removal, so both go this way: a learner that stands by takes the place
in one joint change. Where nobody stands by, the member ends as a voter. After a restart it is what the log
says.
"""

from __future__ import annotations

import asyncio
import secrets
import time
from collections.abc import Callable

from mallowbeam.router.control_plane.membership_policy import LeaveOutcome
from mallowbeam.router.control_plane.peer_links import PeerLinks
from mallowbeam.router.control_plane.raft_driver import RaftDriver
from mallowbeam.router.processes.logs import get_logger
from mallowbeam.router.rpc.messages_pb2 import LeaveRequest, LeaveResponse, PeerFrame

# Seconds for the place to be given away. Room for two elections that begin meanwhile (0.8 s each at most) and
# for a learner to catch up; with the hand-overs (0.5 s each) and the disk's last writes (0.5 s) it is hardly
# more than half of the 8 s that a process is given. At the bound the member ends all the same: it stays a
# voter, and a learner takes its place as that of any silent one.
LEAVE_WAIT = 3.0
ASK_AGAIN = 0.1  # seconds between two requests; the leader may be another by then
LEAVING_FOR = 1.5  # seconds after its last request for which a member counts as leaving
REQUEST_ID_BITS = 62

log = get_logger("mallowbeam.leaving")


class PendingLeaveRequests:
    """The leader's part: who asks to leave, and what is owed to them."""

    def __init__(self, answer: Callable[[int, LeaveResponse], None]) -> None:
        """`answer` sends a response to a member."""
        self._answer = answer
        self._asked: dict[int, float] = {}  # when a member last asked
        self._owed: dict[int, int] = {}  # id of the request to be answered, by member

    def add(self, member: int, request: LeaveRequest, now: float) -> None:
        """A member asks, perhaps again."""
        self._asked[member] = now
        self._owed[member] = request.id

    def members(self, now: float) -> frozenset[int]:
        """Those that are leaving."""
        self._asked = {member: asked for member, asked in self._asked.items() if now - asked <= LEAVING_FOR}
        self._owed = {member: owed for member, owed in self._owed.items() if member in self._asked}
        return frozenset(self._asked)

    @property
    def has_unanswered(self) -> bool:
        """Whether somebody waits for an answer."""
        return bool(self._owed)

    def settle(self, outcome: Callable[[int], LeaveOutcome]) -> None:
        """Answer those whose place is given away, or can't be; the latest membership is committed."""
        for member, request_id in list(self._owed.items()):
            became = outcome(member)
            if became is LeaveOutcome.PENDING:
                continue
            del self._owed[member]
            self._answer(member, LeaveResponse(id=request_id, given=became is LeaveOutcome.DEMOTED))


class GracefulLeave:
    """The part of the member that leaves."""

    def __init__(
        self, driver: RaftDriver, links: PeerLinks, ask_here: Callable[[int, LeaveRequest], None]
    ) -> None:
        """`ask_here` hands a request to this member itself, where it leads."""
        self._driver, self._links, self._ask_here = driver, links, ask_here
        self._request_id = 0
        self._answer: asyncio.Future[bool] | None = None

    async def leave(self, within: float = LEAVE_WAIT) -> bool:
        """Ask the leader until it answers or the time is up; whether the place was given away."""
        self._request_id = secrets.randbits(REQUEST_ID_BITS)
        self._answer = asyncio.get_running_loop().create_future()
        end = time.monotonic() + within
        while not self._answer.done() and time.monotonic() < end:
            self._ask()
            await asyncio.wait((self._answer,), timeout=ASK_AGAIN)
        given = self._answer.done() and self._answer.result()
        log.info("left: %s", "the place is given away" if given else "nobody has taken the place")
        return given

    def response(self, response: LeaveResponse) -> None:
        """The leader's answer; late ones change nothing."""
        answer = self._answer
        if answer is not None and not answer.done() and response.id == self._request_id:
            answer.set_result(response.given)

    def _ask(self) -> None:
        request = LeaveRequest(id=self._request_id)
        leader = self._driver.leader_id
        if leader == self._links.own.id:
            self._ask_here(leader, request)
        elif leader is not None:
            self._links.send(leader, PeerFrame(leave=request))
