"""Links to the other members: one outgoing connection to each, redialled as long as the member is known.

A link carries frames one way; answers come back on the other member's own link. Frames are dropped, never
queued without bound, where a link is down or its peer reads too slowly: consensus and gossip repeat
themselves, and callers of commands are told by `send`'s return value.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Iterable

from mallowbeam.router.processes.logs import get_logger
from mallowbeam.router.rpc.connection import FrameConnection, connect
from mallowbeam.router.rpc.messages_pb2 import LinkFrame, Member, PeerFrame

CONNECT_TIMEOUT = 0.5  # seconds
FIRST_PAUSE = 0.05  # seconds before a link is dialled again; doubled with each failure up to
LONGEST_PAUSE = 0.5
MOST_UNSENT = 4 * 1024 * 1024  # bytes waiting on a link; what would come on top is dropped
UNHEARD_RESET = 1.0  # seconds without hearing the peer after which a send dials anew
SETTLING = 1.0  # seconds that a new connection is given before that

log = get_logger("mallowbeam.links")


class PeerLink:
    """The outgoing connection to one member."""

    def __init__(
        self, own: Member, peer: Member, delivered: Callable[[FrameConnection, bytes], None]
    ) -> None:
        self._own, self.peer = own, peer
        self._delivered = delivered
        self._loop = asyncio.get_running_loop()
        self._connection: FrameConnection | None = None
        self._opened_at = 0.0
        self._pause = FIRST_PAUSE
        self._closing = False
        self._introduced = False
        self.heard_at = self._loop.time()  # when a frame of the peer last came in, by whatever connection
        self._dialling: asyncio.Task[None] | None = self._loop.create_task(self._dial())

    def send(self, frame: PeerFrame) -> bool:
        """Send a frame; False where it was dropped."""
        connection = self._connection
        if connection is None or not connection.open:
            return False
        if self._unheard():
            connection.abort()
            return False
        if connection.unsent > MOST_UNSENT:
            return False
        if not self._introduced:
            frame.sender_member.CopyFrom(self._own)
            self._introduced = True
        return connection.send(LinkFrame(peer=frame))

    @property
    def up(self) -> bool:
        """Whether frames can be sent now."""
        return self._connection is not None and self._connection.open

    @property
    def silence(self) -> float:
        """Seconds since the peer was heard, or since the link was made."""
        return self._loop.time() - self.heard_at

    def close(self) -> None:
        """Give the link up."""
        self._closing = True
        if self._dialling is not None:
            self._dialling.cancel()
        if self._connection is not None:
            self._connection.abort()

    def _unheard(self) -> bool:
        """Whether a connection that is open may still be dead: after a cut, TCP waits long to send again."""
        now = self._loop.time()
        return now - self._opened_at > SETTLING and now - self.heard_at > UNHEARD_RESET

    async def _dial(self) -> None:
        """Connect, trying again after growing pauses."""
        while not self._closing:
            try:
                connection = await connect(self.peer.address, self._delivered, self._closed, CONNECT_TIMEOUT)
            except OSError:
                await asyncio.sleep(self._pause)
                self._pause = min(2 * self._pause, LONGEST_PAUSE)
                continue
            self._connection, self._opened_at = connection, self._loop.time()
            self._introduced, self._dialling = False, None
            if not connection.open:  # closed in the step in which it was made
                self._redial()
            return

    def _closed(self, connection: FrameConnection) -> None:
        if connection is self._connection:
            self._connection = None
            self._redial()

    def _redial(self) -> None:
        if not self._closing and self._dialling is None:
            self._dialling = self._loop.create_task(self._dial_again())

    async def _dial_again(self) -> None:
        lived = self._loop.time() - self._opened_at
        self._pause = FIRST_PAUSE if lived > LONGEST_PAUSE else min(2 * self._pause, LONGEST_PAUSE)
        await asyncio.sleep(self._pause)
        await self._dial()


class PeerLinks:
    """The links to all members that are known, and what was last heard of each."""

    def __init__(self, own: Member, delivered: Callable[[FrameConnection, bytes], None]) -> None:
        self.own = own
        self._delivered = delivered
        self._loop = asyncio.get_running_loop()
        self._links: dict[int, PeerLink] = {}
        self._members: dict[int, Member] = {}  # of the group
        self._introduced: dict[FrameConnection, Member] = {}  # whom an open incoming connection belongs to

    def set_members(self, members: Iterable[Member]) -> None:
        """Keep links to these members, and to those that have a connection to this one."""
        self._members = {member.id: member for member in members if member.id != self.own.id}
        self._arrange()

    def introduce(self, connection: FrameConnection, member: Member) -> None:
        """An incoming connection has said whose it is."""
        if member.id == self.own.id:
            return
        self._introduced[connection] = member
        self._arrange()

    def forget(self, connection: FrameConnection) -> bool:
        """An incoming connection is over; whether it was a member's."""
        if self._introduced.pop(connection, None) is None:
            return False
        self._arrange()
        return True

    def heard(self, member: int) -> None:
        """A frame came from a member."""
        link = self._links.get(member)
        if link is not None:
            link.heard_at = self._loop.time()

    def send(self, recipient: int, frame: PeerFrame) -> bool:
        """Send a frame to a member; False where it was dropped."""
        link = self._links.get(recipient)
        if link is None:
            return False
        self._note_bytes(recipient, link)
        frame.sender, frame.recipient = self.own.id, recipient
        return link.send(frame)

    def _note_bytes(self, member_id: int, link: PeerLink) -> None:
        """A frame that is coming in is a sign of its sender, though it may take long on a slow link."""
        for connection, member in self._introduced.items():
            if member.id == member_id:
                link.heard_at = max(link.heard_at, connection.last_received)

    def send_to_group(self, make: Callable[[], PeerFrame]) -> None:
        """Send a frame to each other member of the group."""
        for member in self._members:
            self.send(member, make())

    def silence(self, member: int) -> float | None:
        """Seconds since a member was heard; None for one without a link."""
        link = self._links.get(member)
        return link.silence if link is not None else None

    def zone(self, member: Member) -> str:
        """A member's zone: as it says itself, else as the membership has it."""
        for known in self._introduced.values():
            if known.id == member.id and known.zone:
                return known.zone
        return member.zone

    def close(self) -> None:
        """Give all links up."""
        for link in self._links.values():
            link.close()
        self._links.clear()

    def _arrange(self) -> None:
        """Open the links that are missing and close those that are no longer needed."""
        wanted = {member.id: member for member in self._introduced.values()}
        wanted.update(self._members)
        for unwanted in [known for known in self._links if known not in wanted]:
            self._links.pop(unwanted).close()
        for member_id, member in wanted.items():
            link = self._links.get(member_id)
            if link is not None and link.peer.address == member.address:
                continue
            if link is not None:
                link.close()
            self._links[member_id] = PeerLink(self.own, member, self._delivered)
