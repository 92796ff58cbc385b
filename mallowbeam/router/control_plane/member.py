"""A control-plane member on an opened store: start, reload of the settings, graceful shutdown."""

from __future__ import annotations

import asyncio

from mallowbeam.errors import MallowbeamError
from mallowbeam.router.control_plane.member_cycle import MemberCycle
from mallowbeam.router.control_plane.member_parts import MemberParts
from mallowbeam.router.processes.logs import get_logger
from mallowbeam.router.processes.settings import NodeSettings, split_address
from mallowbeam.router.rpc.connection import FrameConnection, listen
from mallowbeam.router.rpc.messages_pb2 import Membership

TRANSFER_TIMEOUT_S = 0.5  # for another member to take over leadership at a stop
API_DRAIN_TIMEOUT_S = 0.9  # for calls in flight at a stop
STORAGE_STOP_TIMEOUT_S = 0.5  # for writes in flight at a stop

log = get_logger("mallowbeam.member")


class ControlMember:
    """Starts, runs and stops the parts of a member; made by :func:`member_builder.build_member`."""

    def __init__(self, parts: MemberParts, cycle: MemberCycle) -> None:
        self.parts = parts
        self.unusable: asyncio.Future[MallowbeamError] = asyncio.get_running_loop().create_future()
        """Done once the store is unusable."""
        self.outdated: asyncio.Future[MallowbeamError] = asyncio.get_running_loop().create_future()
        """Done once this program version can't apply a committed entry or a snapshot."""
        self.storage_ended = False
        """After `stop`: whether the storage thread has ended, so that nothing more is written."""
        self._cycle = cycle
        self._listener: asyncio.Server | None = None
        self._incoming_connections: dict[FrameConnection, None] = {}  # oldest first; closed in this order

    async def start(self) -> None:
        """Listen and take part in consensus; raises OSError if the address is in use."""
        parts = self.parts
        host, port = split_address(parts.own.address)
        self._listener = await listen(
            host, port, parts.dispatcher.received, self._connection_opened, self._connection_closed
        )
        parts.storage.start()
        parts.links.set_members(parts.driver.node.membership.members)
        parts.driver.start()
        parts.api_server.start()
        if parts.metrics_server is not None:
            parts.metrics_server.start()
        self._cycle.start()
        log.info("member %016x at %s, control API at %s", parts.own.id, parts.own.address, parts.own.control)

    def reload(self, settings: NodeSettings) -> None:
        """Apply changed seeds; all other changed settings apply from the next start."""
        self.parts.cluster_join.set_seeds(settings.seed_peer_addresses)

    async def stop(self) -> None:
        """Transfer leadership, give up the vote, drain the calls in flight, and close.

        No new call is accepted meanwhile, but consensus continues: the other members may need this one until
        the change to its successor is committed.
        """
        parts = self.parts
        parts.cluster_join.stop()
        parts.stages.stop()
        if self.unusable.done() or self.outdated.done():
            await parts.api_server.drain(API_DRAIN_TIMEOUT_S)
        else:
            await self._transfer_leadership()
            await asyncio.gather(parts.graceful_leave.leave(), parts.api_server.drain(API_DRAIN_TIMEOUT_S))
            await self._transfer_leadership()  # it may have been elected meanwhile
        self._cycle.stop()
        await self._close()

    async def _transfer_leadership(self) -> None:
        """Transfer leadership if this member leads; waits for at most `TRANSFER_TIMEOUT_S`."""
        driver = self.parts.driver
        if driver.is_leader:
            change = driver.leadership_changes.next()
            driver.transfer_leadership()
            await asyncio.wait((change,), timeout=TRANSFER_TIMEOUT_S)

    async def _close(self) -> None:
        """Close listeners, storage and connections, in this order."""
        parts = self.parts
        if parts.metrics_server is not None:
            await parts.metrics_server.stop_accepting()
        if self._listener is not None:
            self._listener.close()
        parts.driver.stop()
        self.storage_ended = await parts.storage.stop(STORAGE_STOP_TIMEOUT_S)
        parts.feeds.close()
        parts.links.close()
        for connection in list(self._incoming_connections):
            connection.abort()

    # ------------------------------------------------------------ DriverListener

    def entries_applied(self) -> None:
        """Entries were applied: send gateways a new configuration at once."""
        self._cycle.flush()
        self.parts.membership.entries_applied()

    def membership_changed(self, membership: Membership) -> None:
        """Another membership is in effect."""
        self.parts.links.set_members(membership.members)

    def store_unusable(self, error: MallowbeamError) -> None:
        """The store is unusable: take no further part in consensus; the role discards the store."""
        if not self.unusable.done():
            log.error("the store is unusable: %s", error.line)
            self.parts.driver.stop()
            self.unusable.set_result(error)

    def program_outdated(self, error: MallowbeamError) -> None:
        """A newer program version is needed: the role ends and keeps the store."""
        if not self.outdated.done():
            log.error("this member needs a newer program version: %s", error.line)
            self.outdated.set_result(error)

    def _connection_opened(self, connection: FrameConnection) -> None:
        """Another process has connected."""
        self._incoming_connections[connection] = None

    def _connection_closed(self, connection: FrameConnection) -> None:
        """An incoming connection has closed."""
        self._incoming_connections.pop(connection, None)
        self.parts.dispatcher.closed(connection)
