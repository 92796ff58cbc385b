"""The gateway: connects the scheduler, the connections to nodes, discovery and the fronts.

Fronts submit a `Call` and await its one `Answer` (`calls.py`).  The scheduler's orders are carried out here:
attempts are started or cancelled (`attempts.py`), a final answer is passed to its call, a timer is set.
`Gateway.phase` is the phase of the process; `peer.py` coordinates it with the other process of an upgrade.
"""

from __future__ import annotations

import asyncio
import time
from collections.abc import Awaitable, Callable, Iterable, Mapping
from contextlib import suppress

from loguru import logger

from mallowbeam.http.budget import BodyBudget
from mallowbeam.http.client import Pool
from mallowbeam.http.server import Server
from mallowbeam.storage_gateway.scheduler.gateway_host import NEVER, FinalAnswer, Orders, SchedulerHost
from mallowbeam.storage_gateway.scheduler.interface import DiscoveryUpdateKind
from mallowbeam.storage_gateway.server.attempts import AttemptRunner
from mallowbeam.storage_gateway.server.calls import (
    MARGIN,
    Answer,
    AnswerKind,
    Call,
    Exchange,
    Phase,
    Subsystem,
)
from mallowbeam.storage_gateway.server.config import Config, GatewayConfigError, read_again
from mallowbeam.storage_gateway.server.discovery import Watch
from mallowbeam.storage_gateway.server.handover import Handover, Legacy, PeerLink
from mallowbeam.storage_gateway.server.listing import Listing, write_listing
from mallowbeam.storage_gateway.server.metrics import Metrics
from mallowbeam.storage_gateway.server.peer import PeerCoordinator

LAME_DUCK = 0.5  # minimum seconds after SIGTERM in which it serves as before
STAY = 3.5  # seconds after SIGTERM by which every request has its response
LEAVE = 0.5  # the last seconds of these, in which nothing new is accepted
SWEEP = 0.2  # seconds between checks for idle and stalled connections
GATED = 1.0  # retry-after in seconds for a client refused by a closed gate
MAX_ANSWER = 4 * 1024 * 1024  # bytes of a response that is buffered, not streamed


class Gateway:
    """One gateway from start to exit: its phase, pending calls, subsystems and node addresses."""

    def __init__(self, config: Config) -> None:
        self.config, self.phase = config, Phase.STARTING
        # Nodes have start times in Unix time, but the clock must not jump: `now` adds monotonic time.
        self.epoch = time.time() - time.monotonic()
        self.scheduler = SchedulerHost(config.settings, self.now())
        self.metrics = Metrics(config.settings.classes)
        self.pool = Pool(
            config.node_sockets,
            config.idle_limit,
            config.connect_timeout,
            min(MAX_ANSWER, config.memory // 32),
            BodyBudget(config.memory // 8),
        )
        self.watch = Watch(
            config.discovery,
            config.known.revision,
            self._discovery_update,
            not config.settings.discovery_on_request,
        )
        self.addresses: dict[str, str] = {}
        self.exchanges: dict[str, Exchange] = {}
        self.servers: list[Server] = []  # the listeners for clients
        self.parts: list[Subsystem] = []  # the enabled subsystems
        self.gates: list[Callable[[], bool]] = []  # it serves only while all of these return True
        self.observers: list[Callable[[Mapping[str, object]], None]] = []  # get each call's fields first
        self.timer: asyncio.TimerHandle | None = None
        self.timer_at = NEVER
        self.stopping, self.handed_over = asyncio.Event(), asyncio.Event()
        self.leave_at = NEVER  # Unix time by which every request must have its response
        self.peer = PeerCoordinator(self)
        self.attempts = AttemptRunner(self, self.peer)

    def now(self) -> float:
        """Unix time in seconds, advanced by the monotonic clock."""
        return self.epoch + time.monotonic()

    # --- phases --------------------------------------------------------------------------------

    async def run(
        self,
        servers: list[Server],
        admin: Server | None = None,
        legacy: Legacy | None = None,
        meet: bool = False,
    ) -> None:
        """Serves until a stop or hand-over, then finishes the pending requests; `admin` runs throughout.

        `legacy` is the state from the previous process; `meet` says whether to wait for the next process.
        """
        self.servers = servers
        if admin is not None:
            admin.start()
        self.update_nodes(self.config.known, DiscoveryUpdateKind.CACHED)
        if legacy is not None:
            self.scheduler.import_state(self.now(), legacy.state)
            self.peer.link = PeerLink(legacy.sock, self.peer, legacy.unread, leads=True)
            self.peer.link.ids.update(legacy.state["ids"])
            self.peer.split_limits(0)
            if legacy.state.get("whole"):  # the old process has no list from its new address yet
                self.watch.revision = None
        if not self.config.settings.discovery_on_request:
            self.watch.begin()
        for part in self.parts:
            part.start()
        for server in servers:
            server.start()
        self._enter(Phase.SERVING)
        self.peer.notify("yes", True)
        handover = self._await_next() if meet else None
        sweeper = asyncio.create_task(self._sweep([*servers, *([admin] if admin else [])]))
        await self._any(self.stopping, self.handed_over)
        self._enter(Phase.HANDED_OVER if self.handed_over.is_set() else Phase.LAME_DUCK)
        if handover is not None:
            handover.task.cancel()
        await (self._hand_over() if self.handed_over.is_set() else self._lame_duck())
        self._enter(Phase.DRAINING)
        await asyncio.gather(*(server.drain(self._rest()) for server in servers))
        faults = await self._each(part.stop() for part in self.parts)
        if admin is not None:  # admin requests get their responses too
            await admin.drain(self._rest())
        sweeper.cancel()
        self._enter(Phase.STOPPED)
        if faults:  # the exit of the process reports it too
            raise faults[0]

    @staticmethod
    async def _any(*events: asyncio.Event) -> None:
        """Waits for one of several events."""
        waits = [asyncio.create_task(event.wait()) for event in events]
        await asyncio.wait(waits, return_when=asyncio.FIRST_COMPLETED)
        for wait in waits:
            wait.cancel()

    @staticmethod
    async def _each(parts: Iterable[Awaitable[None]]) -> list[BaseException]:
        """Waits for all subsystems and returns the errors of those that failed.

        An error in one subsystem aborts neither pending calls nor the other subsystems.
        """
        ended = await asyncio.gather(*parts, return_exceptions=True)
        faults = [fault for fault in ended if isinstance(fault, BaseException)]
        for fault in faults:
            logger.opt(exception=fault).error("unexpected error in a subsystem")
        return faults

    async def _lame_duck(self) -> None:
        """Serves for a while longer, so that clients with open connections don't find the gateway gone.

        Requests that still arrive are limited to the time left, so that each is answered before the exit.
        """
        self._leave()
        await asyncio.sleep(max(LAME_DUCK, self.leave_at - self.now() - LEAVE))

    def _leave(self) -> None:
        """Sets the time of exit after SIGTERM; it limits the deadlines of requests from now on."""
        longest = max(cls.deadline for cls in self.config.settings.classes.values())
        self.leave_at = self.now() + min(STAY, longest + LAME_DUCK)

    def _rest(self) -> float:
        """Returns the seconds left until every request must have its response."""
        return max(0.0, self.leave_at - self.now())

    async def _hand_over(self) -> None:
        """Leaves new connections to the new process, until none is left here or SIGTERM is received."""
        for server in self.servers:
            server.close_after_responses()
        for server in self.servers:
            await server.stop_accepting()  # the new process accepts the queued connections
        await self._each(part.hand_over() for part in self.parts)
        if self.peer.link is not None:  # else it has just ended
            self.watch.pause()  # the new process forwards the lists
        while not self.stopping.is_set() and any(server.connections for server in self.servers):
            self.peer.notify("clients", sum(len(server.connections) for server in self.servers))
            with suppress(TimeoutError):
                async with asyncio.timeout(LAME_DUCK / 5):
                    await self.stopping.wait()
        if self.stopping.is_set():  # idle connections have a moment to send their next request
            self._leave()
            await asyncio.sleep(LAME_DUCK)

    def _await_next(self) -> Handover | None:
        """Waits for the next process; None if the socket fails, and then the two share only the address."""
        try:
            return Handover(self.peer)
        except OSError as error:
            logger.warning("cannot open the hand-over socket: {}", error)
            return None

    def stop(self) -> None:
        """Starts the graceful shutdown, on SIGTERM."""
        self.stopping.set()

    def reload(self, env: Mapping[str, str]) -> None:
        """Changes the discovery address to the one in the file, on SIGHUP; all other values need a restart.

        The file is decoded first, so an invalid one changes nothing.
        """
        try:
            config = read_again(env)
        except GatewayConfigError as error:
            return logger.error("reload failed, keeping the old values: {}", error)
        logger.info("reload: discovery address is {}", config.discovery)
        self.peer.notify("discovery", config.discovery)
        self.peer.move_discovery(config.discovery)
        return None

    def has_id(self, request: str) -> bool:
        """Whether a request id is in use: the request is pending, or has an attempt in flight.

        A request that the scheduler has finished is still pending until its front receives the answer.
        """
        return request in self.exchanges or self.scheduler.knows(request) or self.peer.has_id(request)

    @property
    def ready(self) -> bool:
        """Whether clients should be routed here; False as soon as a stop or hand-over is signalled."""
        return (
            self.phase is Phase.SERVING
            and not self.stopping.is_set()
            and not self.handed_over.is_set()
            and self.open
        )

    @property
    def open(self) -> bool:
        """Whether all gates are open; if not, requests are refused at once."""
        return all(gate() for gate in self.gates)

    @property
    def begins(self) -> bool:
        """Whether the gateway may begin work of its own."""
        return self.phase in (Phase.SERVING, Phase.LAME_DUCK) and self.now() < self.leave_at - LEAVE

    def _enter(self, phase: Phase) -> None:
        self.phase = phase
        logger.info(
            "phase {}: {} pending requests, {} known nodes",
            phase.value,
            len(self.exchanges),
            len(self.addresses),
        )

    async def _sweep(self, servers: list[Server]) -> None:
        while True:
            await asyncio.sleep(SWEEP)
            self.pool.sweep()
            for server in servers:
                server.sweep()

    # --- calls ---------------------------------------------------------------------------------

    async def submit(self, call: Call) -> Answer:
        """Returns the one answer to a call; cancelled when its client disconnects."""
        if not self.open:
            return Answer(AnswerKind.REFUSED, retry_after=GATED)
        call.fields["expires_in"] = expires = self.time_left(call)
        exchange = self.exchanges[call.id] = Exchange(call, self.now() + expires)
        self.peer.notify("taken", call.id)
        try:
            if self.observers:
                for observe in self.observers:
                    observe(call.fields)
            self.apply(self.scheduler.request_arrived(self.now(), call.id, **call.fields))
            return await exchange.answer
        except asyncio.CancelledError:
            began = exchange.answer.done() and not exchange.answer.cancelled()
            if began and (stream := exchange.answer.result().stream):
                stream.close()  # the response began just as the client disconnected
            self.apply(self.scheduler.client_disconnected(self.now(), call.id))
            raise
        finally:
            del self.exchanges[call.id]
            self.peer.release_id(call.id)

    def time_left(self, call: Call) -> float:
        """Returns the seconds that a call may still take, limited by the exit of this process."""
        return min(float(call.fields["expires_in"]), max(MARGIN, self.leave_at - self.now()))

    def apply(self, orders: Orders) -> None:
        """Carries out the scheduler's orders and sets the timer for its next tick."""
        for order in orders.attempts:
            self.attempts.start(order)
        for attempt in orders.cancellations:
            self.attempts.cancel(attempt)
        for verdict in orders.final_answers:
            self._verdict(verdict)
        if orders.watch_nodes:
            self.watch.begin()
        if self.scheduler.wake_at < self.timer_at:
            if self.timer is not None:
                self.timer.cancel()
            self.timer_at = self.scheduler.wake_at
            self.timer = asyncio.get_running_loop().call_later(
                max(0.0, self.timer_at - self.now()) + 0.0005, self._wake
            )

    def _wake(self) -> None:
        self.timer, self.timer_at = None, NEVER
        self.apply(self.scheduler.tick(self.now()))

    def _verdict(self, verdict: FinalAnswer) -> None:
        if exchange := self.exchanges.get(verdict.request):
            kind = AnswerKind.REFUSED if verdict.rejected else AnswerKind.FAILED
            exchange.settle(Answer(kind, retry_after=verdict.retry_after))

    # --- nodes ---------------------------------------------------------------------------------

    def _discovery_update(self, listing: Listing | DiscoveryUpdateKind) -> None:
        """Handles a list from discovery, or the reason why the watch ended."""
        if isinstance(listing, DiscoveryUpdateKind):
            self.apply(self.scheduler.update_nodes(self.now(), listing))
        else:
            if self.peer.link is not None:  # else serializing the list is wasted work
                self.peer.link.send("list", write_listing(*listing) | {"discovery": self.watch.address})
            self.update_nodes(listing)

    def by_hand(self, node: str, out: bool, *, from_peer: bool = False, listed: bool = True) -> bool:
        """Detaches (`out`) or attaches a node for an operator; returns False for an unknown node.

        `from_peer`: the other process reported it.  If not `listed`, the node may be one not known yet.
        """
        orders = self.scheduler.override_node(self.now(), node, out, listed)
        if orders is None:
            return False
        logger.info("storage node {} {} by an operator", node, "detached" if out else "attached")
        if not from_peer:
            self.peer.notify("hand", [node, out])
        if out and node in self.addresses:  # it is about to be restarted, which breaks idle connections
            self.pool.forget(self.addresses[node])
        self.apply(orders)
        return True

    def update_nodes(self, listing: Listing, kind: DiscoveryUpdateKind | None = None) -> None:
        """Applies a list of nodes; its kind follows from its `complete`, unless `kind` is given."""
        kind = kind or (DiscoveryUpdateKind.FULL if listing.complete else DiscoveryUpdateKind.DELTA)
        told = {entry.node for entry in listing.entries}
        for node, address in list(self.addresses.items()):
            # Closes idle connections to a node that is not up, no longer listed or at a new address.
            if (node in told or kind is not DiscoveryUpdateKind.DELTA) and listing.addresses.get(
                node
            ) != address:
                self.pool.forget(self.addresses.pop(node))
        self.addresses.update(listing.addresses)
        self.apply(self.scheduler.update_nodes(self.now(), kind, listing.revision, listing.entries))
