"""Links to the other members: one outgoing connection to each, reconnected as long as the member is known.

A link carries frames one way; responses arrive on the other member's own link. While a link is down or its
peer reads too slowly, frames are dropped rather than queued without bound: Raft messages and gossip are
repeated, and the return value of `send` tells callers of commands that a frame was dropped.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Iterable

from mallowbeam.router.processes.logs import get_logger
from mallowbeam.router.rpc.connection import FrameConnection, connect
from mallowbeam.router.rpc.messages_pb2 import LinkFrame, Member, PeerFrame

CONNECT_TIMEOUT_S = 0.5
MIN_BACKOFF_S = 0.05  # before a reconnection; doubled after each failure
MAX_BACKOFF_S = 0.5
MAX_UNSENT_BYTES = 4 * 1024 * 1024  # per link; further frames are dropped
CONTACT_TIMEOUT_S = 1.0  # a send reconnects after this time without a frame of the peer
NEW_CONNECTION_GRACE_S = 1.0  # a new connection is kept for this time without a frame of the peer

log = get_logger("mallowbeam.links")


class PeerLink:
    """The outgoing connection to one member."""

    def __init__(
        self, own: Member, peer: Member, frame_received: Callable[[FrameConnection, bytes], None]
    ) -> None:
        self.peer = peer
        self._own = own
        self._frame_received = frame_received
        self._loop = asyncio.get_running_loop()
        self._connection: FrameConnection | None = None
        self._opened_at = 0.0
        self._backoff_s = MIN_BACKOFF_S
        self._closing = False
        self._identity_sent = False
        self.last_contact = self._loop.time()  # latest frame of the peer, on any connection
        self._connecting: asyncio.Task[None] | None = self._loop.create_task(self._connect())

    def send(self, frame: PeerFrame) -> bool:
        """Send a frame; False if it was dropped."""
        connection = self._connection
        if connection is None or not connection.open:
            return False
        if self._is_suspect():
            connection.abort()
            return False
        if connection.unsent_bytes > MAX_UNSENT_BYTES:
            return False
        if not self._identity_sent:
            frame.sender_member.CopyFrom(self._own)
            self._identity_sent = True
        return connection.send(LinkFrame(peer=frame))

    @property
    def up(self) -> bool:
        """Whether frames can be sent now."""
        return self._connection is not None and self._connection.open

    @property
    def seconds_since_contact(self) -> float:
        """Seconds since the latest frame of the peer, or since the link was created."""
        return self._loop.time() - self.last_contact

    def close(self) -> None:
        """Close the link."""
        self._closing = True
        if self._connecting is not None:
            self._connecting.cancel()
        if self._connection is not None:
            self._connection.abort()

    def _is_suspect(self) -> bool:
        """Whether an open connection may be dead: after a partition, TCP may wait long to retransmit."""
        now = self._loop.time()
        return now - self._opened_at > NEW_CONNECTION_GRACE_S and now - self.last_contact > CONTACT_TIMEOUT_S

    async def _connect(self) -> None:
        """Connect, retrying with exponential backoff."""
        while not self._closing:
            try:
                connection = await connect(
                    self.peer.address, self._frame_received, self._closed, CONNECT_TIMEOUT_S
                )
            except OSError:
                await asyncio.sleep(self._backoff_s)
                self._backoff_s = min(2 * self._backoff_s, MAX_BACKOFF_S)
                continue
            self._connection = connection
            self._opened_at = self._loop.time()
            self._identity_sent = False
            self._connecting = None
            if not connection.open:  # closed before `connect` returned to this task
                self._reconnect()
            return

    def _closed(self, connection: FrameConnection) -> None:
        if connection is self._connection:
            self._connection = None
            self._reconnect()

    def _reconnect(self) -> None:
        if not self._closing and self._connecting is None:
            self._connecting = self._loop.create_task(self._connect_after_backoff())

    async def _connect_after_backoff(self) -> None:
        lifetime_s = self._loop.time() - self._opened_at
        self._backoff_s = (
            MIN_BACKOFF_S if lifetime_s > MAX_BACKOFF_S else min(2 * self._backoff_s, MAX_BACKOFF_S)
        )
        await asyncio.sleep(self._backoff_s)
        await self._connect()


class PeerLinks:
    """The links to all known members, and the latest contact with each."""

    def __init__(self, own: Member, frame_received: Callable[[FrameConnection, bytes], None]) -> None:
        self.own = own
        self._frame_received = frame_received
        self._loop = asyncio.get_running_loop()
        self._links: dict[int, PeerLink] = {}
        self._members: dict[int, Member] = {}  # the group without this member
        self._incoming: dict[FrameConnection, Member] = {}  # members by their open incoming connections

    def set_members(self, members: Iterable[Member]) -> None:
        """Keep links to these members, and to members that are connected to this one."""
        self._members = {member.id: member for member in members if member.id != self.own.id}
        self._update_links()

    def add_incoming(self, connection: FrameConnection, member: Member) -> None:
        """Record the member at the other end of an incoming connection."""
        if member.id == self.own.id:
            return
        self._incoming[connection] = member
        self._update_links()

    def remove_incoming(self, connection: FrameConnection) -> bool:
        """Remove a closed incoming connection; returns whether it was a member's."""
        if self._incoming.pop(connection, None) is None:
            return False
        self._update_links()
        return True

    def record_contact(self, member: int) -> None:
        """A frame of a member has arrived."""
        link = self._links.get(member)
        if link is not None:
            link.last_contact = self._loop.time()

    def send(self, recipient: int, frame: PeerFrame) -> bool:
        """Send a frame to a member; False if it was dropped."""
        link = self._links.get(recipient)
        if link is None:
            return False
        self._record_partial_frames(recipient, link)
        frame.sender = self.own.id
        frame.recipient = recipient
        return link.send(frame)

    def _record_partial_frames(self, member_id: int, link: PeerLink) -> None:
        """Count a partly received frame as contact: on a slow link, a frame may take long to arrive."""
        for connection, member in self._incoming.items():
            if member.id == member_id:
                link.last_contact = max(link.last_contact, connection.last_received)

    def send_to_group(self, make_frame: Callable[[], PeerFrame]) -> None:
        """Send a frame to each other member of the group."""
        for member in self._members:
            self.send(member, make_frame())

    def seconds_since_contact(self, member: int) -> float | None:
        """Seconds since the latest frame of a member; None for one without a link."""
        link = self._links.get(member)
        return link.seconds_since_contact if link is not None else None

    def zone(self, member: Member) -> str:
        """A member's zone, as stated by the member itself if it is connected, else as in the membership."""
        for known in self._incoming.values():
            if known.id == member.id and known.zone:
                return known.zone
        return member.zone

    def close(self) -> None:
        """Close all links."""
        for link in self._links.values():
            link.close()
        self._links.clear()

    def _update_links(self) -> None:
        """Open missing links and close those that are no longer needed."""
        needed = {member.id: member for member in self._incoming.values()}
        needed.update(self._members)
        for unneeded in [known for known in self._links if known not in needed]:
            self._links.pop(unneeded).close()
        for member_id, member in needed.items():
            link = self._links.get(member_id)
            if link is not None and link.peer.address == member.address:
                continue
            if link is not None:
                link.close()
            self._links[member_id] = PeerLink(self.own, member, self._frame_received)
