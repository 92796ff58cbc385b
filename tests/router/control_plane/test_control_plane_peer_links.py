"""A link reconnects if its peer was out of contact, but not while a frame of the peer is arriving."""

from __future__ import annotations

import asyncio
import unittest

from mallowbeam.router.control_plane.peer_links import CONTACT_TIMEOUT_S, NEW_CONNECTION_GRACE_S, PeerLinks
from mallowbeam.router.rpc.messages_pb2 import Member, PeerFrame

OWN = Member(id=1, address="127.0.0.1:1")
PEER = Member(id=2, address="127.0.0.1:2")
LONG_AGO_S = -10 * (NEW_CONNECTION_GRACE_S + CONTACT_TIMEOUT_S)


class OpenConnection:
    """A connection that accepts all frames."""

    open = True
    unsent_bytes = 0

    def __init__(self, last_received: float) -> None:
        self.last_received = last_received
        self.sent = 0
        self.aborted = False

    def send(self, frame: object) -> bool:
        self.sent += 1
        return True

    def abort(self) -> None:
        self.aborted = True


class Reconnection(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.now = asyncio.get_running_loop().time()
        self.links = PeerLinks(OWN, lambda connection, body: None)
        self.addCleanup(self.links.close)
        self.links.set_members([PEER])
        link = self.links._links[PEER.id]
        self.outgoing = OpenConnection(self.now)
        link._connection = self.outgoing
        link._opened_at = link.last_contact = self.now + LONG_AGO_S

    def send(self) -> bool:
        return self.links.send(PEER.id, PeerFrame())

    async def test_reconnects_without_contact(self) -> None:
        self.links.add_incoming(OpenConnection(self.now + LONG_AGO_S), PEER)
        self.assertFalse(self.send())
        self.assertTrue(self.outgoing.aborted)

    async def test_does_not_reconnect_while_bytes_arrive(self) -> None:
        self.links.add_incoming(OpenConnection(self.now), PEER)
        self.assertTrue(self.send())
        self.assertEqual((self.outgoing.sent, self.outgoing.aborted), (1, False))


if __name__ == "__main__":
    unittest.main()
