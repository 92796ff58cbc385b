"""A control-plane member from its opened store to its end: start, settings changes, graceful shutdown."""

from __future__ import annotations

import asyncio

from mallowbeam.errors import MallowbeamError
from mallowbeam.router.control_plane.bootstrap import peer_address
from mallowbeam.router.control_plane.member_cycle import MemberCycle
from mallowbeam.router.control_plane.member_parts import MemberParts
from mallowbeam.router.processes.logs import get_logger
from mallowbeam.router.processes.settings import NodeSettings, split_address
from mallowbeam.router.rpc.connection import FrameConnection, listen
from mallowbeam.router.rpc.messages_pb2 import Membership

TRANSFER_TIMEOUT_S = 0.5  # for another member to take over at a stop
API_DRAIN_TIMEOUT_S = 0.9  # for calls in flight at a stop
STORAGE_STOP_TIMEOUT_S = 0.5  # for writes in flight at a stop

log = get_logger("mallowbeam.member")


class ControlMember:
    """Starts, runs and stops the parts of a member; made by :func:`member_builder.build_member`."""

    def __init__(self, parts: MemberParts, cycle: MemberCycle) -> None:
        self.parts = parts
        self.unusable: asyncio.Future[MallowbeamError] = asyncio.get_running_loop().create_future()
        """Done once the store can't be used any more."""
        self.outdated: asyncio.Future[MallowbeamError] = asyncio.get_running_loop().create_future()
        """Done once what is committed can't be applied by this program version."""
        self.storage_ended = False
        """Once stopped: whether nothing is written any more."""
        self._cycle = cycle
        self._listening: asyncio.Server | None = None
        self._incoming: dict[FrameConnection, None] = {}  # in the order in which they came, in which they end

    async def start(self) -> None:
        """Listen and take part; raises an error of the listener if the address is in use."""
        parts = self.parts
        host, port = split_address(parts.own.address)
        self._listening = await listen(
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
        """Adopt changed settings: the seeds; all else is in force until the next start."""
        self.parts.joining.set_seeds(seed_link_addresses(settings))

    async def stop(self) -> None:
        """Transfer leadership, give up the vote, answer calls in flight, and end.

        No new call is accepted meanwhile, but consensus goes on: the others may need this member until its
        successor is committed.
        """
        parts = self.parts
        parts.joining.stop()
        parts.stages.stop()
        if self.unusable.done() or self.outdated.done():
            await parts.api_server.drain(API_DRAIN_TIMEOUT_S)
        else:
            await self._transfer_leadership()
            await asyncio.gather(parts.leaving.leave(), parts.api_server.drain(API_DRAIN_TIMEOUT_S))
            await self._transfer_leadership()  # it may have been elected meanwhile
        self._cycle.stop()
        await self._close()

    async def _transfer_leadership(self) -> None:
        """Have another member lead where this one does; not for longer than `TRANSFER_TIMEOUT_S`."""
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
        if self._listening is not None:
            self._listening.close()
        parts.driver.stop()
        self.storage_ended = await parts.storage.stop(STORAGE_STOP_TIMEOUT_S)
        parts.feeds.close()
        parts.links.close()
        for connection in list(self._incoming):
            connection.abort()

    # ------------------------------------------------------------ events of consensus (DriverListener)

    def entries_applied(self) -> None:
        """Entries were applied: gateways get a new configuration at once."""
        self._cycle.flush()
        self.parts.membership.entries_applied()

    def membership_changed(self, membership: Membership) -> None:
        """Another membership is in force."""
        self.parts.links.set_members(membership.members)

    def store_unusable(self, error: MallowbeamError) -> None:
        """The store can't be used any more: take no further part; the role discards it."""
        if not self.unusable.done():
            log.error("the store can't be used any more: %s", error.line)
            self.parts.driver.stop()
            self.unusable.set_result(error)

    def program_outdated(self, error: MallowbeamError) -> None:
        """A newer program version is needed: take no further part; the role ends and keeps the store."""
        if not self.outdated.done():
            log.error("a newer program version is needed here: %s", error.line)
            self.outdated.set_result(error)

    def _connection_opened(self, connection: FrameConnection) -> None:
        """Another process has connected."""
        self._incoming[connection] = None

    def _connection_closed(self, connection: FrameConnection) -> None:
        """An incoming connection is over."""
        self._incoming.pop(connection, None)
        self.parts.dispatcher.closed(connection)


def seed_link_addresses(settings: NodeSettings) -> tuple[str, ...]:
    """The link addresses (IP:PORT) of the seeds."""
    return tuple(peer_address(seed, settings.port_range[0]) for seed in settings.seeds)
