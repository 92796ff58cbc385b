"""A stopping member gives up its vote, and takes part in consensus until that is committed.

A process can't tell a restart from its permanent removal, so both go this way: a caught-up learner replaces
it in one joint change. Without such a learner the member ends as a voter. After a restart, the log states its
role.
"""

from __future__ import annotations

import asyncio
import secrets
import time
from collections.abc import Callable

from mallowbeam.router.control_plane.peer_links import PeerLinks
from mallowbeam.router.control_plane.raft_driver import RaftDriver
from mallowbeam.router.processes.logs import get_logger
from mallowbeam.router.rpc.messages_pb2 import LeaveRequest, LeaveResponse, PeerFrame

# Seconds for the replacement to be committed. Enough for two elections that begin meanwhile (0.8 s each at
# most) and for a learner to catch up; with the leadership transfers (0.5 s each) and the disk's last writes
# (0.5 s) it is hardly more than half of the 8 s that a process is given. After it the member ends all the
# same: it stays a voter, and a learner replaces it as it would any unreachable one.
LEAVE_TIMEOUT_S = 3.0
RETRY_INTERVAL_S = 0.1  # between two requests; the leader may be another by then
REQUEST_ID_BITS = 62

log = get_logger("mallowbeam.leaving")


class GracefulLeave:
    """Asks the leader to replace this member."""

    def __init__(
        self, driver: RaftDriver, links: PeerLinks, request_locally: Callable[[int, LeaveRequest], None]
    ) -> None:
        """`request_locally` delivers a request to this member itself, where it leads."""
        self._driver = driver
        self._links = links
        self._request_locally = request_locally
        self._request_id = 0
        self._answer: asyncio.Future[bool] | None = None

    async def leave(self, timeout_s: float = LEAVE_TIMEOUT_S) -> bool:
        """Repeat the request until the leader answers or the time is up; whether the vote was given up."""
        self._request_id = secrets.randbits(REQUEST_ID_BITS)
        self._answer = asyncio.get_running_loop().create_future()
        deadline = time.monotonic() + timeout_s
        while not self._answer.done() and time.monotonic() < deadline:
            self._send_request()
            await asyncio.wait((self._answer,), timeout=RETRY_INTERVAL_S)
        replaced = self._answer.done() and self._answer.result()
        log.info("left: %s", "another member has the vote" if replaced else "no successor in time")
        return replaced

    def receive_response(self, response: LeaveResponse) -> None:
        """Accept the leader's answer; late and foreign ones are ignored."""
        answer = self._answer
        if answer is not None and not answer.done() and response.id == self._request_id:
            answer.set_result(response.given)

    def _send_request(self) -> None:
        request = LeaveRequest(id=self._request_id)
        leader = self._driver.leader_id
        if leader == self._links.own.id:
            self._request_locally(leader, request)
        elif leader is not None:
            self._links.send(leader, PeerFrame(leave=request))
