"""Passes requests and messages of other members to the parts that handle them."""

from __future__ import annotations

import time

from mallowbeam.router.control_plane.member_parts import MemberParts
from mallowbeam.router.rpc.connection import FrameConnection
from mallowbeam.router.rpc.messages_pb2 import (
    JoinRequest,
    LeaveRequest,
    LeaveResponse,
    Member,
    ProposeRequest,
    ProposeResponse,
    RaftMessage,
    ReadIndexRequest,
    ReadIndexResponse,
    RegistryGossip,
)


class PeerRequests:
    """Implements :class:`PeerHandler`; `parts` is set once all parts exist."""

    parts: MemberParts

    def raft(self, sender: int, message: RaftMessage) -> None:
        """A Raft message."""
        self.parts.driver.receive(sender, message)

    def registry(self, sender: int, gossip: RegistryGossip) -> None:
        """Heartbeats, demand and attempts that another member has received."""
        parts = self.parts
        parts.instances.receive_gossip(sender, gossip)
        now = time.monotonic()
        parts.stages.receive_gossip(sender, gossip, now)
        parts.attempts.receive_gossip(sender, gossip, now)

    def join(self, connection: FrameConnection, request: JoinRequest) -> None:
        """A process asks to become a member."""
        self.parts.membership.join(connection, request)

    def leave(self, sender: int, request: LeaveRequest) -> None:
        """A member asks the leader to replace it."""
        self.parts.membership.leave(sender, request)

    def leave_response(self, response: LeaveResponse) -> None:
        """The leader's response to this member's request to leave."""
        self.parts.graceful_leave.receive_response(response)

    def propose(self, sender: int, request: ProposeRequest) -> None:
        """A command that a member forwards to the leader."""
        self.parts.commands.propose(sender, request)

    def propose_response(self, response: ProposeResponse) -> None:
        """The outcome of a command that was forwarded to the leader."""
        self.parts.commands.propose_response(response)

    def read_index(self, sender: int, request: ReadIndexRequest) -> None:
        """A member asks the leader to confirm a read."""
        self.parts.commands.read_index(sender, request)

    def read_index_response(self, response: ReadIndexResponse) -> None:
        """The leader's response to a read."""
        self.parts.commands.read_index_response(response)

    def wrong_recipient(self, caller: Member) -> None:
        """A member called an earlier identity of this address; it can be asked to accept this member."""
        self.parts.cluster_join.add_caller(caller.address)

    def link_lost(self) -> None:
        """Another member's connection to this one has ended."""
        self.parts.instances.link_lost()
