"""Two processes of one gateway, as each of them stands to the other: what is shared, told and held.

While an old process hands over to a new one both serve.  Limits count for both together, so each keeps to
its part; what one sends or hears counts at the other; an id in use at one is in use at both.  How they talk
is `net/handover.py`, which meets this file through its `Host`.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Mapping
from typing import Any

from mallowbeam.http.client import Pool
from mallowbeam.http.server import Server
from mallowbeam.storage_gateway.scheduler.gateway_host import Orders, SchedulerHost
from mallowbeam.storage_gateway.scheduler.interface import SiblingSend
from mallowbeam.storage_gateway.server.calls import Exchange, Phase
from mallowbeam.storage_gateway.server.config import Config
from mallowbeam.storage_gateway.server.discovery import Watch
from mallowbeam.storage_gateway.server.handover import Sister
from mallowbeam.storage_gateway.server.listing import Listing, write_listing


class Beside:
    """The gateway beside its other process.  A part of `Gateway`, which makes what is named here."""

    config: Config
    phase: Phase
    scheduler: SchedulerHost
    pool: Pool
    watch: Watch
    addresses: dict[str, str]
    exchanges: dict[str, Exchange]
    servers: list[Server]
    handed_over: asyncio.Event
    sister: Sister | None  # the other process, while there are two
    now: Callable[[], float]
    _apply: Callable[[Orders], None]  # do what the module wants done
    _listing: Callable[[Listing], None]  # take in a list

    def deal(self, beside: int) -> None:
        """While there are two processes, keep to this one's part of descriptors and memory.

        Guards the limits, which count for both together: `beside` connections of clients are the other's.
        """
        parts = 1 if self.sister is None else 2
        own = 0 if self.sister is None else self.config.own_sockets
        for server in self.servers:
            server.connection_limit = max(
                server.configured_limit // 4, server.configured_limit - (beside + own) // len(self.servers)
            )
            if budget := getattr(server.front, "budget", None):
                budget.limit = budget.configured_limit // parts
        self.pool.limit_to_part(parts)

    def alone(self) -> None:
        """The other process is gone."""
        self.sister = None
        self.deal(0)
        if self.handed_over.is_set() and self.phase is not Phase.STOPPED:
            self.watch.resume()  # nobody tells what discovery says any more

    def sent_beside(self, sent: list[Any]) -> None:
        """The other process has sent something that counts here too."""
        self._apply(self.scheduler.sibling_sent(self.now(), SiblingSend(*sent)))

    def told_beside(self, listing: Listing, address: str | None = None) -> None:
        """The other process has heard from discovery at an address, which an older version doesn't tell."""
        self.watch.beside(listing, address or self.watch.address, self._listing)

    def legacy(self) -> Mapping[str, object]:
        """All that a new process needs to go on where this one stands."""
        return {
            "discovery": self.watch.address,
            "whole": self.watch.revision is None,
            "list": write_listing(
                self.watch.revision or 0, True, self.scheduler.node_entries(self.now()), self.addresses
            ),
            "ids": list(self.exchanges),
            **self.scheduler.export_state(self.now()),
        }

    def _tell(self, kind: str, value: object) -> None:
        """Tell the other process, where there is one."""
        if self.sister is not None:
            self.sister.tell(kind, value)

    def _over(self, request: str) -> None:
        """Tell it of an id that is free again."""
        if self.sister is not None and request not in self.exchanges and not self.scheduler.knows(request):
            self.sister.tell("over", request)

    def holds(self, request: str) -> bool:
        """Whether this id is in use: unanswered, or with an attempt still out.

        Guards the one final answer: what the module is done with is held until its front has the answer.
        """
        return (
            request in self.exchanges
            or self.scheduler.knows(request)
            or self.sister is not None
            and request in self.sister.ids
        )

    def moved(self, address: str) -> None:
        """Discovery is elsewhere from now on, as SIGHUP here or at the other process says."""
        self.watch.move(address)
