"""How a process becomes a member: it asks known members until the leader has accepted it."""

from __future__ import annotations

import asyncio
import time

from google.protobuf.message import DecodeError

from mallowbeam.router.control_plane.membership_policy import contains
from mallowbeam.router.control_plane.raft_driver import RaftDriver
from mallowbeam.router.rpc.connection import FrameConnection, connect
from mallowbeam.router.rpc.messages_pb2 import JoinRequest, JoinResponse, LinkFrame, Member, PeerFrame

JOIN_TIMEOUT_S = 0.5  # for one member to answer
JOIN_RETRY_INTERVAL_S = 0.2  # between two rounds over all known members
MAX_CALLERS = 8  # addresses of members that are remembered to be asked
REJOIN_AFTER_S = 2.0  # without a current state, after which a member asks to join again
MAX_REDIRECTS = 1  # from a member to the leader that it names


class ClusterJoin:
    """Asks to join while this process is no member, or may have been removed without noticing."""

    def __init__(self, driver: RaftDriver, own: Member, is_first_start: bool, seeds: tuple[str, ...]) -> None:
        """`seeds` are link addresses (IP:PORT) of members that may be asked.

        `is_first_start` states that the whole system starts for the first time.
        """
        self._driver = driver
        self._own = own
        self._is_first_start = is_first_start
        self._seeds = seeds
        self._callers: dict[str, None] = {}  # addresses of members that called this one, oldest first
        self._task: asyncio.Task[None] | None = None
        self._stopping = False
        self._started_at = time.monotonic()

    def run_cycle(self) -> None:
        """Begin to ask where this process is no member; to be called several times a second."""
        if self._driver.is_leader or self._task is not None or self._stopping:
            return
        if self._is_left_out():
            self._task = asyncio.get_running_loop().create_task(self._join())

    def set_seeds(self, seeds: tuple[str, ...]) -> None:
        """Ask these from now on."""
        self._seeds = seeds

    def add_caller(self, address: str) -> None:
        """Remember a member that called an earlier identity of this address: all seeds may be gone."""
        self._callers.pop(address, None)
        self._callers[address] = None
        if len(self._callers) > MAX_CALLERS:
            del self._callers[next(iter(self._callers))]

    def stop(self) -> None:
        """Stop asking."""
        self._stopping = True
        if self._task is not None:
            self._task.cancel()

    def _is_left_out(self) -> bool:
        """Whether this process is no member, or was out of contact for so long that it may be none."""
        if not contains(self._driver.node.membership, self._own.id):
            return True
        running_s = time.monotonic() - self._started_at
        return min(running_s, self._driver.staleness()) > REJOIN_AFTER_S

    async def _join(self) -> None:
        """Ask one member after another, until this one is in contact with a leader that knows it."""
        try:
            while self._is_left_out():
                for address in self._addresses():
                    await self._ask(address)
                await asyncio.sleep(JOIN_RETRY_INTERVAL_S)
        finally:
            self._task = None

    def _addresses(self) -> list[str]:
        """Members to ask: seeds, the known membership, and callers, each once."""
        members = [member.address for member in self._driver.node.membership.members]
        known = dict.fromkeys([*self._seeds, *members, *self._callers])
        known.pop(self._own.address, None)
        return list(known)

    async def _ask(self, address: str) -> bool:
        """Ask a member, and the leader that it names; whether one has accepted."""
        for _ in range(1 + MAX_REDIRECTS):
            response = await self._request(address)
            if response is None:
                return False
            if response.accepted:
                return True
            if not response.HasField("leader") or response.leader.address == self._own.address:
                return False
            address = response.leader.address
        return False

    async def _request(self, address: str) -> JoinResponse | None:
        """One request and its response; None where none comes in time."""
        answer: asyncio.Future[JoinResponse | None] = asyncio.get_running_loop().create_future()

        def received(_: FrameConnection, body: bytes) -> None:
            response = _join_response(body)
            if response is not None and not answer.done():
                answer.set_result(response)

        def closed(_: FrameConnection) -> None:
            if not answer.done():
                answer.set_result(None)

        try:
            connection = await connect(address, received, closed, JOIN_TIMEOUT_S)
        except OSError:
            return None
        connection.send(LinkFrame(peer=PeerFrame(sender=self._own.id, join=self._join_request())))
        try:
            async with asyncio.timeout(JOIN_TIMEOUT_S):
                return await answer
        except TimeoutError:
            return None
        finally:
            connection.abort()

    def _join_request(self) -> JoinRequest:
        was_never_member = not self._driver.node.membership.members
        return JoinRequest(member=self._own, first_start=self._is_first_start and was_never_member)


def _join_response(body: bytes) -> JoinResponse | None:
    """The response to a join request, if a frame is one."""
    try:
        frame = LinkFrame.FromString(body)
    except DecodeError:
        return None
    return frame.peer.join_response if frame.peer.HasField("join_response") else None
