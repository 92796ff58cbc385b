"""Graceful leave: a stopping member gives up its vote, and takes part in consensus until that is committed.

A stopping process can't tell a restart from its permanent removal, so it leaves in both cases: a caught-up
learner replaces it in one joint change. Without such a learner the member stops as a voter. After a restart,
the log determines whether it votes.
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

# Time for the replacement to be committed: enough for two elections that begin meanwhile (0.8 s each at most)
# and for a learner to catch up. With the leadership transfers (0.5 s each) and the disk's last writes (0.5 s)
# it takes little more than half of the 8 s in which a process must stop. After the timeout the member stops
# as a voter, and a learner replaces it like any unreachable voter.
LEAVE_TIMEOUT_S = 3.0
RETRY_INTERVAL_S = 0.1  # between two requests; the leader may have changed meanwhile
REQUEST_ID_BITS = 62

log = get_logger("mallowbeam.leaving")


class GracefulLeave:
    """Asks the leader to replace this member."""

    def __init__(
        self, driver: RaftDriver, links: PeerLinks, request_locally: Callable[[int, LeaveRequest], None]
    ) -> None:
        """`request_locally` delivers a request to this member itself, if it is the leader."""
        self._driver = driver
        self._links = links
        self._request_locally = request_locally
        self._request_id = 0
        self._response: asyncio.Future[bool] | None = None

    async def leave(self, timeout_s: float = LEAVE_TIMEOUT_S) -> bool:
        """Repeat the request until a response or the timeout; returns whether the vote was given up."""
        self._request_id = secrets.randbits(REQUEST_ID_BITS)
        self._response = asyncio.get_running_loop().create_future()
        deadline = time.monotonic() + timeout_s
        while not self._response.done() and time.monotonic() < deadline:
            self._send_request()
            await asyncio.wait((self._response,), timeout=RETRY_INTERVAL_S)
        replaced = self._response.done() and self._response.result()
        log.info("leaving: %s", "this member no longer votes" if replaced else "no successor in time")
        return replaced

    def receive_response(self, response: LeaveResponse) -> None:
        """Process the leader's response; a late one, or one to another request, is ignored."""
        future = self._response
        if future is not None and not future.done() and response.id == self._request_id:
            future.set_result(response.given)

    def _send_request(self) -> None:
        request = LeaveRequest(id=self._request_id)
        leader = self._driver.leader_id
        if leader == self._links.own.id:
            self._request_locally(leader, request)
        elif leader is not None:
            self._links.send(leader, PeerFrame(leave=request))
