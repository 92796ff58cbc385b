"""Instance service: gossip is requested again after the connection to another member is lost."""

from __future__ import annotations

import time
import unittest
from random import Random
from typing import cast

from mallowbeam.router.control_plane.command_forwarder import CommandForwarder
from mallowbeam.router.control_plane.instance_service import InstanceService, RegistryParts
from mallowbeam.router.control_plane.peer_links import PeerLinks
from mallowbeam.router.control_plane.response_gate import ResponseGate
from mallowbeam.router.registry.retirements import Retirements
from mallowbeam.router.registry.table import InstanceTable
from mallowbeam.router.rpc.messages_pb2 import PeerFrame, RegistryGossip

OTHER = 7  # the other member's id


class Links:
    """Stands in for the links to one other member, which is in contact."""

    def __init__(self) -> None:
        self.sent: list[tuple[int, PeerFrame]] = []

    def seconds_since_contact(self, member: int) -> float:
        return 0.0

    def send(self, recipient: int, frame: PeerFrame) -> bool:
        self.sent.append((recipient, frame))
        return True


class LostLinks(unittest.TestCase):
    def setUp(self) -> None:
        self.links = Links()
        table = InstanceTable(heartbeat_interval_s=1.0, started_at=time.monotonic())
        table.merge(RegistryGossip(whole=True), time.monotonic())  # the table is complete
        gate = ResponseGate(time.monotonic, lambda: 0.0, lambda: False)
        self.instances = InstanceService(
            RegistryParts(
                table, Retirements(), cast(CommandForwarder, None), cast(PeerLinks, self.links), gate
            ),
            gateways_outdated=lambda: None,
            count_gateways=lambda: 0,
            random=Random(1),
        )

    def requested_from(self) -> list[int]:
        """Run one cycle and return the members whose full state it requested."""
        self.links.sent.clear()
        self.instances.run_cycle([OTHER])
        return [member for member, frame in self.links.sent if frame.registry.wants_whole]

    def test_gossip_lost_with_a_link_is_requested_again(self) -> None:
        """Called without the time, the table's `link_lost` raised: lost gossip was not requested again."""
        self.assertEqual(self.requested_from(), [])
        self.instances.link_lost()
        self.assertEqual(self.requested_from(), [OTHER])


if __name__ == "__main__":
    unittest.main()
