"""Dispatches the frames that members and gateways send to the link listener to their handlers."""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

from google.protobuf.message import DecodeError

from mallowbeam.router.control_plane.peer_links import PeerLinks
from mallowbeam.router.processes.logs import get_logger
from mallowbeam.router.rpc.connection import FrameConnection
from mallowbeam.router.rpc.messages_pb2 import (
    GatewayFrame,
    JoinRequest,
    JoinResponse,
    LeaveRequest,
    LeaveResponse,
    LinkFrame,
    Member,
    PeerFrame,
    ProposeRequest,
    ProposeResponse,
    RaftMessage,
    ReadIndexRequest,
    ReadIndexResponse,
    RegistryGossip,
)

log = get_logger("mallowbeam.links")


class PeerHandler(Protocol):
    """Handles frames of other members; `sender` is a member's id."""

    def raft(self, sender: int, message: RaftMessage) -> None:
        """A Raft message."""

    def registry(self, sender: int, gossip: RegistryGossip) -> None:
        """Heartbeats, demand and attempts that another member has received."""

    def join(self, connection: FrameConnection, request: JoinRequest) -> None:
        """A process asks to become a member; the response is sent on its connection."""

    def leave(self, sender: int, request: LeaveRequest) -> None:
        """A stopping member asks the leader to replace it."""

    def leave_response(self, response: LeaveResponse) -> None:
        """The leader's response to this member's request to leave."""

    def propose(self, sender: int, request: ProposeRequest) -> None:
        """A command that a member forwards to the leader."""

    def propose_response(self, response: ProposeResponse) -> None:
        """The outcome of a command that was forwarded to the leader."""

    def read_index(self, sender: int, request: ReadIndexRequest) -> None:
        """A member asks the leader to confirm a read."""

    def read_index_response(self, response: ReadIndexResponse) -> None:
        """The leader's response to a read."""

    def wrong_recipient(self, caller: Member) -> None:
        """A member called an earlier identity of this address."""

    def link_lost(self) -> None:
        """Another member's connection to this one has ended."""


class FeedHandler(Protocol):
    """Handles frames of gateways."""

    def gateway_frame(self, connection: FrameConnection, frame: GatewayFrame) -> None:
        """A frame of a gateway; the first one subscribes it."""

    def gateway_closed(self, connection: FrameConnection) -> None:
        """A connection has closed; it may be a gateway's."""


class FrameDispatcher:
    """Passes each frame to the handler for its kind."""

    def __init__(self, links: PeerLinks, peers: PeerHandler, feeds: FeedHandler) -> None:
        self._links = links
        self._peers = peers
        self._feeds = feeds
        self._peer_calls: dict[str, Callable[[FrameConnection, PeerFrame], None]] = {
            "raft": lambda _, frame: peers.raft(frame.sender, frame.raft),
            "registry": lambda _, frame: peers.registry(frame.sender, frame.registry),
            "join": lambda connection, frame: peers.join(connection, frame.join),
            "leave": lambda _, frame: peers.leave(frame.sender, frame.leave),
            "leave_response": lambda _, frame: peers.leave_response(frame.leave_response),
            "propose": lambda _, frame: peers.propose(frame.sender, frame.propose),
            "propose_response": lambda _, frame: peers.propose_response(frame.propose_response),
            "read_index": lambda _, frame: peers.read_index(frame.sender, frame.read_index),
            "read_index_response": lambda _, frame: peers.read_index_response(frame.read_index_response),
        }

    def received(self, connection: FrameConnection, body: bytes) -> None:
        """Dispatch one frame; one that can't be decoded closes the connection."""
        try:
            frame = LinkFrame.FromString(body)
        except DecodeError:
            log.warning("closing the connection from %s: a frame can't be decoded", connection.peer)
            connection.abort()
            return
        kind = frame.WhichOneof("body")
        if kind == "peer":
            self._peer_frame(connection, frame.peer)
        elif kind == "gateway":
            self._feeds.gateway_frame(connection, frame.gateway)

    def closed(self, connection: FrameConnection) -> None:
        """A connection has closed."""
        if self._links.remove_incoming(connection):
            self._peers.link_lost()
        self._feeds.gateway_closed(connection)

    def _peer_frame(self, connection: FrameConnection, frame: PeerFrame) -> None:
        """Dispatch a frame of a member, unless its recipient is another identity of this address."""
        own = self._links.own.id
        if frame.sender == own:
            return
        if frame.recipient not in (0, own):
            if frame.HasField("sender_member"):
                self._peers.wrong_recipient(frame.sender_member)
            return
        kind = frame.WhichOneof("body")
        if frame.HasField("sender_member") and kind != "join":
            self._links.add_incoming(connection, frame.sender_member)
        self._links.record_contact(frame.sender)
        call = self._peer_calls.get(kind or "")
        if call is not None:
            call(connection, frame)


def join_response_frame(own: int, response: JoinResponse) -> LinkFrame:
    """The frame with the response to a join request, for the connection of the request."""
    return LinkFrame(peer=PeerFrame(sender=own, join_response=response))
