"""The group's changes.

As the leader, takes joiners in and proposes what the policy decides; on others, asks to join where left out.
"""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable

from google.protobuf.message import DecodeError

from mallowbeam.router.consensus.errors import ConsensusError
from mallowbeam.router.control_plane.frame_dispatcher import join_answer
from mallowbeam.router.control_plane.graceful_leave import PendingLeaveRequests
from mallowbeam.router.control_plane.membership_policy import (
    ClusterView,
    PeerProgress,
    contains,
    leaving,
    next_membership,
    with_joiner,
)
from mallowbeam.router.control_plane.raft_driver import RaftDriver
from mallowbeam.router.control_plane.state_machine import CommandOutcome
from mallowbeam.router.processes.logs import get_logger
from mallowbeam.router.rpc.connection import FrameConnection, connect
from mallowbeam.router.rpc.messages_pb2 import (
    JoinRequest,
    JoinResponse,
    LeaveRequest,
    LeaveResponse,
    LinkFrame,
    Member,
    Membership,
    PeerFrame,
)

JOIN_TIMEOUT = 0.5  # seconds for one member to answer
JOIN_PAUSE = 0.2  # seconds between two rounds of asking
MOST_CALLERS = 8  # addresses of members that are kept to be asked
LOST_AFTER = 2.0  # seconds without a current state after which a member asks to join again

log = get_logger("mallowbeam.group")


class MembershipManager:
    """Looks after the membership."""

    def __init__(
        self,
        driver: RaftDriver,
        own: Member,
        first_start: bool,
        seeds: tuple[str, ...],
        answer_leave: Callable[[int, LeaveResponse], None],
    ) -> None:
        """`seeds` are the link listeners' addresses of members that may be asked."""
        self._leaves = PendingLeaveRequests(answer_leave)
        self._callers: dict[str, None] = {}  # addresses of members that call this one, oldest first
        self._seen: Membership | None = None  # the last committed one that a change was looked for at
        self._driver, self._own, self._first_start, self._seeds = driver, own, first_start, seeds
        self._change: asyncio.Future[CommandOutcome] | None = None
        self._joining: asyncio.Task[None] | None = None
        self._stopping = False
        self._started_at = time.monotonic()

    # ------------------------------------------------------------ the leader's part

    def look(self) -> None:
        """Propose the change that is due, or ask to join where left out; to be called often."""
        if self._driver.is_leader:
            self._advance()
        elif self._joining is None and self._left_out() and not self._stopping:
            self._joining = asyncio.get_running_loop().create_task(self._join())

    def applied(self) -> None:
        """Entries were applied: a membership may be committed that others wait for."""
        node = self._driver.node
        if self._driver.is_leader and (self._leaves.has_unanswered or node.membership is not self._seen):
            self._advance()

    def leave(self, sender: int, request: LeaveRequest) -> None:
        """A member asks for its place to be given away; it asks again where this one does not lead."""
        if self._driver.is_leader:
            self._leaves.add(sender, request, time.monotonic())
            self._advance()

    def join(self, connection: FrameConnection, request: JoinRequest) -> None:
        """A process asks to become a member."""
        response = JoinResponse()
        membership = self._driver.node.membership
        if not self._driver.is_leader:
            self._name_leader(response)
        elif contains(membership, request.member.id):
            response.accepted = True
        elif self._change is None:
            changed = with_joiner(membership, request)
            if changed is not None:
                log.info("taking in %016x at %s", request.member.id, request.member.address)
                self._propose(changed)
        connection.send(join_answer(self._own.id, response))

    def set_seeds(self, seeds: tuple[str, ...]) -> None:
        """Ask these from now on."""
        self._seeds = seeds

    def called(self, address: str) -> None:
        """A member called an earlier identity at this address: ask it too, the seeds may all be gone."""
        self._callers.pop(address, None)
        self._callers[address] = None
        if len(self._callers) > MOST_CALLERS:
            del self._callers[next(iter(self._callers))]

    def stop(self) -> None:
        """Ask no more."""
        self._stopping = True
        if self._joining is not None:
            self._joining.cancel()

    def _name_leader(self, response: JoinResponse) -> None:
        for member in self._driver.node.membership.members:
            if member.id == self._driver.leader_id:
                response.leader.CopyFrom(member)

    def _advance(self) -> None:
        """Once the latest membership is committed: propose the next change, and answer those that leave."""
        node = self._driver.node
        if self._change is not None or not node.membership_committed:
            return
        self._seen = node.membership
        group = self._group()
        changed = next_membership(group)
        if changed is not None:
            log.info("changing the group: %s", _told(node.membership, changed))
            self._propose(changed)
        else:
            self._leaves.settle(lambda member: leaving(group, member))

    def _group(self) -> ClusterView:
        node = self._driver.node
        progress = {
            member: PeerProgress(known.match_index, known.silence)
            for member, known in node.progress().items()
        }
        return ClusterView(
            self._own.id, node.membership, node.commit_index, progress, self._leaves.members(time.monotonic())
        )

    def _propose(self, membership: Membership) -> None:
        self._change = self._driver.change_membership(membership)
        self._change.add_done_callback(self._change_done)

    def _change_done(self, done: asyncio.Future[CommandOutcome]) -> None:
        self._change = None
        error = None if done.cancelled() else done.exception()
        if isinstance(error, ConsensusError):
            log.info("the group stays as it was: %s", error)

    # ------------------------------------------------------------ a joiner's part

    def _left_out(self) -> bool:
        """Whether this member is none, as far as it knows, or may have been removed without hearing of it."""
        if not contains(self._driver.node.membership, self._own.id):
            return True
        running = time.monotonic() - self._started_at
        return min(running, self._driver.silence()) > LOST_AFTER

    async def _join(self) -> None:
        """Ask one member after another, until this one is in touch with a leader that knows it."""
        try:
            while self._left_out():
                for address in self._addresses():
                    await self._ask(address)
                await asyncio.sleep(JOIN_PAUSE)
        finally:
            self._joining = None

    def _addresses(self) -> list[str]:
        """Whom to ask: seeds, members and those that call an earlier identity of this one, each once."""
        members = [member.address for member in self._driver.node.membership.members]
        known = dict.fromkeys([*self._seeds, *members, *self._callers])
        known.pop(self._own.address, None)
        return list(known)

    async def _ask(self, address: str) -> bool:
        """Ask a member, and the leader that it names; whether one has accepted."""
        for _ in range(2):
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
        """One request and its answer; None where there is none in time."""
        answer: asyncio.Future[JoinResponse | None] = asyncio.get_running_loop().create_future()

        def received(_: FrameConnection, body: bytes) -> None:
            response = _join_response(body)
            if response is not None and not answer.done():
                answer.set_result(response)

        def closed(_: FrameConnection) -> None:
            if not answer.done():
                answer.set_result(None)

        try:
            connection = await connect(address, received, closed, JOIN_TIMEOUT)
        except OSError:
            return None
        never_taken_in = not self._driver.node.membership.members
        request = JoinRequest(member=self._own, first_start=self._first_start and never_taken_in)
        connection.send(LinkFrame(peer=PeerFrame(sender=self._own.id, join=request)))
        try:
            async with asyncio.timeout(JOIN_TIMEOUT):
                return await answer
        except TimeoutError:
            return None
        finally:
            connection.abort()


def _join_response(body: bytes) -> JoinResponse | None:
    """The answer to a join request, if a frame is one."""
    try:
        frame = LinkFrame.FromString(body)
    except DecodeError:
        return None
    return frame.peer.join_response if frame.peer.HasField("join_response") else None


def _told(old: Membership, new: Membership) -> str:
    """A change in short, for the log."""
    before = {member.id: member.voter for member in old.members}
    after = {member.id: member.voter for member in new.members}
    parts = [f"without {member:016x}" for member in before.keys() - after.keys()]
    parts += [f"with {member:016x}" for member in after.keys() - before.keys()]
    for member, voter in after.items():
        if voter != before.get(member, voter):
            parts.append(f"{member:016x} {'votes' if voter else 'votes no longer'}")
    return ", ".join(sorted(parts)) + f"; {sum(after.values())} voters, {new.target_voters} wanted"
