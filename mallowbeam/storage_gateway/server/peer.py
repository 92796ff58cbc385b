"""Coordination of the two processes of one gateway during an upgrade.

While an old process hands over to a new one both serve.  Limits apply to both together, so each keeps to
its share; sends and node lists of one apply at the other; an id in use at one is in use at both.  The
messages are defined in `handover.py`, which calls this module through its `Host`.
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

MIN_LIMIT_DIVISOR = 4  # beside another process a server keeps at least a quarter of its connections


class PeerGateway(Protocol):
    """The interface of the gateway to its coordinator."""

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
        """Unix time in seconds, advanced by a monotonic clock."""

    def apply(self, orders: Orders) -> None:
        """Carries out the orders of the scheduler."""

    def update_nodes(self, listing: Listing) -> None:
        """Applies a list of nodes."""

    def set_detached(self, node: str, detached: bool, *, from_peer: bool = False) -> bool:
        """Detaches or attaches a node for an operator."""


class PeerCoordinator:
    """Shares limits, sends, node lists and request ids with the other process, while there is one."""

    def __init__(self, gateway: PeerGateway) -> None:
        self.link: PeerLink | None = None  # None without another process
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
        """Reduces the limits to this process's share of descriptors and memory while there are two.

        The limits apply to both processes together; the other one has `peer_connections` client connections.
        """
        gateway = self._gateway
        process_count = 1 if self.link is None else 2
        reserved = 0 if self.link is None else gateway.config.own_sockets
        for server in gateway.servers:
            peer_share = (peer_connections + reserved) // len(gateway.servers)
            minimum = server.configured_limit // MIN_LIMIT_DIVISOR
            server.connection_limit = max(minimum, server.configured_limit - peer_share)
            if budget := getattr(server.front, "budget", None):
                budget.limit = budget.configured_limit // process_count
        gateway.pool.limit_to_part(process_count)

    def disconnected(self) -> None:
        """Handles the end of the other process."""
        gateway = self._gateway
        self.link = None
        self.split_limits(0)
        if gateway.handed_over.is_set() and gateway.phase is not Phase.STOPPED:
            gateway.watch.resume()  # the other process no longer forwards discovery's lists

    def confirmed(self) -> None:
        """Starts leaving, as the other process, which is the new one, serves."""
        self._gateway.handed_over.set()

    def sent_by_peer(self, sent: list[Any]) -> None:
        """Counts a request that the other process sent to a node."""
        gateway = self._gateway
        gateway.apply(gateway.scheduler.sibling_sent(gateway.now(), SiblingSend(*sent)))

    def listing_from_peer(self, listing: Listing, address: str | None = None) -> None:
        """Applies a list that the other process received; an older version doesn't send the address."""
        watch = self._gateway.watch
        watch.update_from_peer(listing, address or watch.address, self._gateway.update_nodes)

    def move_discovery(self, address: str) -> None:
        """Changes the discovery address, after a SIGHUP here or at the other process."""
        self._gateway.watch.move(address)

    def set_detached(self, node: str, detached: bool) -> None:
        """Applies a detach or attach by an operator at the other process."""
        self._gateway.set_detached(node, detached, from_peer=True)

    def handover_state(self) -> Mapping[str, object]:
        """Returns the state that a new process needs to continue; its keys are part of the protocol."""
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
        """Sends a message to the other process, if there is one."""
        if self.link is not None:
            self.link.send(kind, value)

    def announce_send(self, order: AttemptOrder, call: Call) -> None:
        """Reports a request sent to a node to the other process, which counts it too."""
        if self.link is None:
            return
        fields = call.fields
        units = fields["units"]
        hosts = fields.get("volume_hosts") or self._gateway.config.settings.hosts
        first_units = 0 if order.number else units  # only the first attempt consumes the volume's rate limit
        self.link.send("sent", [fields["volume"], fields["plan"], hosts, order.node, units, first_units])

    def release_id(self, request: str) -> None:
        """Tells the other process that an id is free again, if it is."""
        if self.link is None or request in self._gateway.exchanges:
            return
        if not self._gateway.scheduler.knows(request):
            self.link.send("over", request)

    def has_id(self, request: str) -> bool:
        """Whether the other process has a request with this id."""
        return self.link is not None and request in self.link.request_ids
