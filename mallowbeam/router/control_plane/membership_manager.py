"""Membership changes at the leader: accepts joiners, and proposes the changes that the policy decides on."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable

from mallowbeam.router.consensus.errors import ConsensusError
from mallowbeam.router.control_plane.frame_dispatcher import join_response_frame
from mallowbeam.router.control_plane.leave_requests import PendingLeaveRequests
from mallowbeam.router.control_plane.membership_policy import (
    ClusterView,
    PeerProgress,
    contains,
    leave_outcome,
    next_membership,
    with_joiner,
)
from mallowbeam.router.control_plane.raft_driver import RaftDriver
from mallowbeam.router.control_plane.state_machine import CommandOutcome
from mallowbeam.router.processes.logs import get_logger
from mallowbeam.router.rpc.connection import FrameConnection
from mallowbeam.router.rpc.messages_pb2 import (
    JoinRequest,
    JoinResponse,
    LeaveRequest,
    LeaveResponse,
    Membership,
)

log = get_logger("mallowbeam.group")


class MembershipManager:
    """Proposes one membership change at a time, while this member leads."""

    def __init__(
        self, driver: RaftDriver, own_id: int, answer_leave: Callable[[int, LeaveResponse], None]
    ) -> None:
        """`answer_leave` sends a response to a member that asked to leave."""
        self._driver = driver
        self._own_id = own_id
        self._leave_requests = PendingLeaveRequests(answer_leave)
        self._examined_membership: Membership | None = None  # latest one given to the policy
        self._pending_change: asyncio.Future[CommandOutcome] | None = None

    def run_cycle(self) -> None:
        """Propose the next change, if one is due; to be called several times a second."""
        if self._driver.is_leader:
            self._advance()

    def entries_applied(self) -> None:
        """A membership may have been committed: propose the next change without waiting for a cycle."""
        node = self._driver.node
        is_unexamined = node.membership is not self._examined_membership
        if self._driver.is_leader and (self._leave_requests.has_unanswered or is_unexamined):
            self._advance()

    def leave(self, sender: int, request: LeaveRequest) -> None:
        """Record a member's request to leave; ignored without leadership, as the request is repeated."""
        if self._driver.is_leader:
            self._leave_requests.add(sender, request, time.monotonic())
            self._advance()

    def join(self, connection: FrameConnection, request: JoinRequest) -> None:
        """Propose a joiner as a learner; the response accepts it once it is a member, or names the leader."""
        response = JoinResponse()
        membership = self._driver.node.membership
        if not self._driver.is_leader:
            self._name_leader(response)
        elif contains(membership, request.member.id):
            response.accepted = True
        elif self._pending_change is None:
            changed = with_joiner(membership, request)
            if changed is not None:
                log.info("proposing learner %016x at %s", request.member.id, request.member.address)
                self._propose(changed)
        connection.send(join_response_frame(self._own_id, response))

    def _name_leader(self, response: JoinResponse) -> None:
        for member in self._driver.node.membership.members:
            if member.id == self._driver.leader_id:
                response.leader.CopyFrom(member)

    def _advance(self) -> None:
        """Once the latest membership is committed, propose the next change or answer requests to leave."""
        node = self._driver.node
        if self._pending_change is not None or not node.membership_committed:
            return
        self._examined_membership = node.membership
        view = self._view()
        changed = next_membership(view)
        if changed is not None:
            log.info("proposing a membership change: %s", _describe_change(node.membership, changed))
            self._propose(changed)
        else:
            self._leave_requests.answer_decided(lambda member: leave_outcome(view, member))

    def _view(self) -> ClusterView:
        node = self._driver.node
        progress = {
            member: PeerProgress(known.match_index, known.since_response_s)
            for member, known in node.progress().items()
        }
        return ClusterView(
            leader=self._own_id,
            membership=node.membership,
            commit_index=node.commit_index,
            progress=progress,
            leaving=self._leave_requests.members(time.monotonic()),
        )

    def _propose(self, membership: Membership) -> None:
        self._pending_change = self._driver.change_membership(membership)
        self._pending_change.add_done_callback(self._change_done)

    def _change_done(self, done: asyncio.Future[CommandOutcome]) -> None:
        self._pending_change = None
        error = None if done.cancelled() else done.exception()
        if isinstance(error, ConsensusError):
            log.info("the membership change failed: %s", error)


def _describe_change(old: Membership, new: Membership) -> str:
    """A one-line summary of a membership change, for the log."""
    before = {member.id: member.voter for member in old.members}
    after = {member.id: member.voter for member in new.members}
    changes = [f"without {member:016x}" for member in before.keys() - after.keys()]
    changes += [f"with {member:016x}" for member in after.keys() - before.keys()]
    for member, voter in after.items():
        if voter != before.get(member, voter):
            changes.append(f"{member:016x} {'votes' if voter else 'votes no longer'}")
    return ", ".join(sorted(changes)) + f"; {sum(after.values())} voters, {new.target_voters} wanted"
