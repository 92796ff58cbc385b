"""Joins this process to the group: sends join requests to known members until the leader accepts it."""

from __future__ import annotations

import asyncio
import time

from google.protobuf.message import DecodeError

from mallowbeam.router.control_plane.membership_policy import contains
from mallowbeam.router.control_plane.raft_driver import RaftDriver
from mallowbeam.router.rpc.connection import FrameConnection, connect
from mallowbeam.router.rpc.messages_pb2 import JoinRequest, JoinResponse, LinkFrame, Member, PeerFrame

JOIN_TIMEOUT_S = 0.5  # for one member's response
JOIN_RETRY_INTERVAL_S = 0.2  # between two rounds over all known members
MAX_RECENT_CALLERS = 8  # remembered addresses of members that called this one
REJOIN_AFTER_S = 2.0  # a member asks to join again after this time without a current state
MAX_REDIRECTS = 1  # from a member to the leader that its response names


class ClusterJoin:
    """Sends join requests while this process is not a member, or may have been removed without noticing."""

    def __init__(self, driver: RaftDriver, own: Member, is_first_start: bool, seeds: tuple[str, ...]) -> None:
        """`seeds` are link addresses (IP:PORT) of members to send join requests to.

        `is_first_start` is true at the first start of the whole system.
        """
        self._driver = driver
        self._own = own
        self._is_first_start = is_first_start
        self._seeds = seeds
        self._recent_callers: dict[str, None] = {}  # addresses of members that called this one, oldest first
        self._task: asyncio.Task[None] | None = None
        self._stopping = False
        self._started_at = time.monotonic()

    def run_cycle(self) -> None:
        """Start joining if this process may not be a member; to be called several times a second."""
        if self._driver.is_leader or self._task is not None or self._stopping:
            return
        if self._needs_to_join():
            self._task = asyncio.get_running_loop().create_task(self._join())

    def set_seeds(self, seeds: tuple[str, ...]) -> None:
        """Replace the seeds."""
        self._seeds = seeds

    def add_caller(self, address: str) -> None:
        """Remember a member that called an earlier identity of this address, in case all seeds are gone."""
        self._recent_callers.pop(address, None)
        self._recent_callers[address] = None
        if len(self._recent_callers) > MAX_RECENT_CALLERS:
            del self._recent_callers[next(iter(self._recent_callers))]

    def stop(self) -> None:
        """Stop joining."""
        self._stopping = True
        if self._task is not None:
            self._task.cancel()

    def _needs_to_join(self) -> bool:
        """Whether this process is not a member, or may have been removed while it was out of contact."""
        if not contains(self._driver.node.membership, self._own.id):
            return True
        running_s = time.monotonic() - self._started_at
        return min(running_s, self._driver.staleness()) > REJOIN_AFTER_S

    async def _join(self) -> None:
        """Ask one member after another until this one is in contact with a leader that knows it."""
        try:
            while self._needs_to_join():
                for address in self._addresses():
                    await self._request_join(address)
                await asyncio.sleep(JOIN_RETRY_INTERVAL_S)
        finally:
            self._task = None

    def _addresses(self) -> list[str]:
        """Addresses to ask, each once: seeds, the known membership, and members that called this one."""
        members = [member.address for member in self._driver.node.membership.members]
        known = dict.fromkeys([*self._seeds, *members, *self._recent_callers])
        known.pop(self._own.address, None)
        return list(known)

    async def _request_join(self, address: str) -> bool:
        """Ask a member, then the leader that it names; returns whether one of them accepted."""
        for _ in range(1 + MAX_REDIRECTS):
            response = await self._send_request(address)
            if response is None:
                return False
            if response.accepted:
                return True
            if not response.HasField("leader") or response.leader.address == self._own.address:
                return False
            address = response.leader.address
        return False

    async def _send_request(self, address: str) -> JoinResponse | None:
        """Send one request; returns its response, or None if there is none in time."""
        future: asyncio.Future[JoinResponse | None] = asyncio.get_running_loop().create_future()

        def received(_: FrameConnection, body: bytes) -> None:
            response = _join_response(body)
            if response is not None and not future.done():
                future.set_result(response)

        def closed(_: FrameConnection) -> None:
            if not future.done():
                future.set_result(None)

        try:
            connection = await connect(address, received, closed, JOIN_TIMEOUT_S)
        except OSError:
            return None
        connection.send(LinkFrame(peer=PeerFrame(sender=self._own.id, join=self._join_request())))
        try:
            async with asyncio.timeout(JOIN_TIMEOUT_S):
                return await future
        except TimeoutError:
            return None
        finally:
            connection.abort()

    def _join_request(self) -> JoinRequest:
        was_never_member = not self._driver.node.membership.members
        return JoinRequest(member=self._own, first_start=self._is_first_start and was_never_member)


def _join_response(body: bytes) -> JoinResponse | None:
    """The join response in a frame; None if the frame holds none."""
    try:
        frame = LinkFrame.FromString(body)
    except DecodeError:
        return None
    return frame.peer.join_response if frame.peer.HasField("join_response") else None
