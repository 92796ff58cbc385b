"""Two processes of one gateway during an upgrade, as each of them stands to the other.

While an old process hands over to a new one both serve.  Limits count for both together, so each keeps to
its part; what one sends or learns counts at the other; an id in use at one is in use at both.  The messages
between them are the matter of `handover.py`, which calls this module through its `Host`.
"""

from __future__ import annotations

import asyncio
from collections.abc import Mapping, Sequence
from typing import Any, Protocol

from mallowbeam.http.client import Pool
from mallowbeam.http.server import Server
from mallowbeam.storage_gateway.scheduler.gateway_host import AttemptOrder, Orders, SchedulerHost
from mallowbeam.storage_gateway.scheduler.interface import SiblingSend
from mallowbeam.storage_gateway.server.calls import Call, Exchange, Phase
from mallowbeam.storage_gateway.server.config import Config
from mallowbeam.storage_gateway.server.discovery import Watch
from mallowbeam.storage_gateway.server.handover import PeerLink
from mallowbeam.storage_gateway.server.listing import Listing, write_listing

LEAST_LIMIT_DIVISOR = 4  # a server keeps at least a quarter of its connections beside another process


class PeerGateway(Protocol):
    """What a coordinator needs of its gateway."""

    config: Config
    phase: Phase
    scheduler: SchedulerHost
    pool: Pool
    watch: Watch
    addresses: dict[str, str]
    exchanges: dict[str, Exchange]
    servers: list[Server]
    handed_over: asyncio.Event

    def now(self) -> float:
        """Unix time that never jumps, in seconds."""

    def apply(self, orders: Orders) -> None:
        """Carry out what the scheduler orders."""

    def update_nodes(self, listing: Listing) -> None:
        """Take in a list of nodes."""

    def by_hand(self, node: str, out: bool, *, from_peer: bool = False) -> bool:
        """An operator takes a node out, or lets it serve again."""


class PeerCoordinator:
    """What this process shares with the other process of its gateway, while there are two."""

    def __init__(self, gateway: PeerGateway) -> None:
        self.link: PeerLink | None = None  # to the other process, while there are two
        self._gateway = gateway

    @property
    def config(self) -> Config:
        """The gateway's configuration."""
        return self._gateway.config

    @property
    def servers(self) -> Sequence[Server]:
        """The clients' listeners, in the order in which they are handed over."""
        return self._gateway.servers

    def split_limits(self, peer_connections: int) -> None:
        """While there are two processes, keep to this one's part of descriptors and memory.

        Guards the limits, which count for both together: `peer_connections` of clients are the other's.
        """
        gateway = self._gateway
        parts = 1 if self.link is None else 2
        own = 0 if self.link is None else gateway.config.own_sockets
        for server in gateway.servers:
            taken = (peer_connections + own) // len(gateway.servers)
            least = server.configured_limit // LEAST_LIMIT_DIVISOR
            server.connection_limit = max(least, server.configured_limit - taken)
            if budget := getattr(server.front, "budget", None):
                budget.limit = budget.configured_limit // parts
        gateway.pool.limit_to_part(parts)

    def disconnected(self) -> None:
        """The other process is gone."""
        gateway = self._gateway
        self.link = None
        self.split_limits(0)
        if gateway.handed_over.is_set() and gateway.phase is not Phase.STOPPED:
            gateway.watch.resume()  # nobody tells what discovery says any more

    def confirmed(self) -> None:
        """The other process, the new one, serves: this one may leave."""
        self._gateway.handed_over.set()

    def sent_by_peer(self, sent: list[Any]) -> None:
        """The other process has sent something that counts here too."""
        gateway = self._gateway
        gateway.apply(gateway.scheduler.sibling_sent(gateway.now(), SiblingSend(*sent)))

    def listing_from_peer(self, listing: Listing, address: str | None = None) -> None:
        """The other process has a list from discovery at an address, which an older version doesn't name."""
        watch = self._gateway.watch
        watch.update_from_peer(listing, address or watch.address, self._gateway.update_nodes)

    def move_discovery(self, address: str) -> None:
        """Discovery is elsewhere from now on, as SIGHUP here or at the other process says."""
        self._gateway.watch.move(address)

    def by_hand(self, node: str, out: bool) -> None:
        """An operator took a node out, or called it back, at the other process."""
        self._gateway.by_hand(node, out, from_peer=True)

    def handover_state(self) -> Mapping[str, object]:
        """All that a new process needs to go on where this one stands; its keys are the wire's."""
        gateway = self._gateway
        watch = gateway.watch
        nodes = gateway.scheduler.node_entries(gateway.now())
        return {
            "discovery": watch.address,
            "whole": watch.revision is None,
            "list": write_listing(watch.revision or 0, True, nodes, gateway.addresses),
            "ids": list(gateway.exchanges),
            **gateway.scheduler.export_state(gateway.now()),
        }

    def notify(self, kind: str, value: object) -> None:
        """Send a message to the other process, where there is one."""
        if self.link is not None:
            self.link.send(kind, value)

    def announce_send(self, order: AttemptOrder, call: Call) -> None:
        """Tell the other process of a request sent to a node, which counts at both."""
        if self.link is None:
            return
        fields = call.fields
        units = fields["units"]
        hosts = fields.get("volume_hosts") or self._gateway.config.settings.hosts
        first_units = 0 if order.number else units  # drawn from the volume's rate limit by the first attempt
        self.link.send("sent", [fields["volume"], fields["plan"], hosts, order.node, units, first_units])

    def release_id(self, request: str) -> None:
        """Tell the other process of an id that is free again."""
        if self.link is None or request in self._gateway.exchanges:
            return
        if not self._gateway.scheduler.knows(request):
            self.link.send("over", request)

    def has_id(self, request: str) -> bool:
        """Whether the other process has a request of this id."""
        return self.link is not None and request in self.link.ids
