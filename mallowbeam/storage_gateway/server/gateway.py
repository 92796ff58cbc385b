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
    TRANSIT_MARGIN_S,
    Answer,
    AnswerKind,
    Call,
    Exchange,
    Phase,
    Subsystem,
)
from mallowbeam.storage_gateway.server.config import Config, GatewayConfigError, read_config_for_reload
from mallowbeam.storage_gateway.server.discovery import Watch
from mallowbeam.storage_gateway.server.handover import Handover, PeerLink, Takeover
from mallowbeam.storage_gateway.server.listing import Listing, write_listing
from mallowbeam.storage_gateway.server.metrics import Metrics
from mallowbeam.storage_gateway.server.peer import PeerCoordinator

LAME_DUCK_S = 0.5  # minimum seconds after SIGTERM in which it serves as before
SHUTDOWN_LIMIT_S = 3.5  # seconds after SIGTERM by which every request has its response
DRAIN_S = 0.5  # the last seconds of these, in which nothing new is accepted
SWEEP_INTERVAL_S = 0.2  # seconds between checks for idle and stalled connections
GATED_RETRY_AFTER_S = 1.0  # retry-after in seconds for a client refused by a closed gate
MAX_RESPONSE_BYTES = 4 * 1024 * 1024  # bytes of a response that is buffered, not streamed


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
            min(MAX_RESPONSE_BYTES, config.memory // 32),
            BodyBudget(config.memory // 8),
        )
        self.watch = Watch(
            config.discovery,
            config.known.revision,
            self._on_discovery_update,
            not config.settings.discovery_on_request,
        )
        self.addresses: dict[str, str] = {}
        self.exchanges: dict[str, Exchange] = {}
        self.servers: list[Server] = []  # the listeners for clients
        self.subsystems: list[Subsystem] = []  # the enabled subsystems
        self.gates: list[Callable[[], bool]] = []  # it serves only while all of these return True
        self.observers: list[Callable[[Mapping[str, object]], None]] = []  # get each call's fields first
        self.timer: asyncio.TimerHandle | None = None
        self.timer_at = NEVER
        self.stopping, self.handed_over = asyncio.Event(), asyncio.Event()
        self.shutdown_deadline = NEVER  # Unix time by which every request must have its response
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
        takeover: Takeover | None = None,
        await_successor: bool = False,
    ) -> None:
        """Serves until a stop or hand-over, then finishes the pending requests; `admin` runs throughout.

        `takeover` is from the previous process; `await_successor` says whether to wait for the next one.
        """
        self.servers = servers
        if admin is not None:
            admin.start()
        self.update_nodes(self.config.known, DiscoveryUpdateKind.CACHED)
        if takeover is not None:
            self.scheduler.import_state(self.now(), takeover.state)
            self.peer.link = PeerLink(takeover.sock, self.peer, takeover.unread, is_new=True)
            self.peer.link.request_ids.update(takeover.state["ids"])
            self.peer.split_limits(0)
            if takeover.state.get("whole"):  # the old process has no list from its new address yet
                self.watch.revision = None
        if not self.config.settings.discovery_on_request:
            self.watch.begin()
        for subsystem in self.subsystems:
            subsystem.start()
        for server in servers:
            server.start()
        self._enter(Phase.SERVING)
        self.peer.notify("yes", True)
        handover = self._await_successor() if await_successor else None
        sweeper = asyncio.create_task(self._sweep([*servers, *([admin] if admin else [])]))
        await self._wait_for_any(self.stopping, self.handed_over)
        self._enter(Phase.HANDED_OVER if self.handed_over.is_set() else Phase.LAME_DUCK)
        if handover is not None:
            handover.task.cancel()
        await (self._hand_over() if self.handed_over.is_set() else self._lame_duck())
        self._enter(Phase.DRAINING)
        await asyncio.gather(*(server.drain(self._shutdown_time_left()) for server in servers))
        errors = await self._wait_for_subsystems(subsystem.stop() for subsystem in self.subsystems)
        if admin is not None:  # admin requests get their responses too
            await admin.drain(self._shutdown_time_left())
        sweeper.cancel()
        self._enter(Phase.STOPPED)
        if errors:  # the exit of the process reports it too
            raise errors[0]

    @staticmethod
    async def _wait_for_any(*events: asyncio.Event) -> None:
        """Waits for one of several events."""
        waiters = [asyncio.create_task(event.wait()) for event in events]
        await asyncio.wait(waiters, return_when=asyncio.FIRST_COMPLETED)
        for wait in waiters:
            wait.cancel()

    @staticmethod
    async def _wait_for_subsystems(coroutines: Iterable[Awaitable[None]]) -> list[BaseException]:
        """Waits for all subsystems and returns the errors of those that failed.

        An error in one subsystem aborts neither pending calls nor the other subsystems.
        """
        results = await asyncio.gather(*coroutines, return_exceptions=True)
        errors = [error for error in results if isinstance(error, BaseException)]
        for error in errors:
            logger.opt(exception=error).error("unexpected error in a subsystem")
        return errors

    async def _lame_duck(self) -> None:
        """Serves for a while longer, so that clients with open connections don't find the gateway gone.

        Requests that still arrive are limited to the time left, so that each is answered before the exit.
        """
        self._set_shutdown_deadline()
        await asyncio.sleep(max(LAME_DUCK_S, self.shutdown_deadline - self.now() - DRAIN_S))

    def _set_shutdown_deadline(self) -> None:
        """Sets the time of exit after SIGTERM; it limits the deadlines of requests from now on."""
        longest = max(cls.deadline for cls in self.config.settings.classes.values())
        self.shutdown_deadline = self.now() + min(SHUTDOWN_LIMIT_S, longest + LAME_DUCK_S)

    def _shutdown_time_left(self) -> float:
        """Returns the seconds left until every request must have its response."""
        return max(0.0, self.shutdown_deadline - self.now())

    async def _hand_over(self) -> None:
        """Leaves new connections to the new process, until none is left here or SIGTERM is received."""
        for server in self.servers:
            server.close_after_responses()
        for server in self.servers:
            await server.stop_accepting()  # the new process accepts the queued connections
        await self._wait_for_subsystems(subsystem.hand_over() for subsystem in self.subsystems)
        if self.peer.link is not None:  # else it has just ended
            self.watch.pause()  # the new process forwards the lists
        while not self.stopping.is_set() and any(server.connections for server in self.servers):
            self.peer.notify("clients", sum(len(server.connections) for server in self.servers))
            with suppress(TimeoutError):
                async with asyncio.timeout(LAME_DUCK_S / 5):
                    await self.stopping.wait()
        if self.stopping.is_set():  # idle connections have a moment to send their next request
            self._set_shutdown_deadline()
            await asyncio.sleep(LAME_DUCK_S)

    def _await_successor(self) -> Handover | None:
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
            config = read_config_for_reload(env)
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
            and self.gates_open
        )

    @property
    def gates_open(self) -> bool:
        """Whether all gates are open; if not, requests are refused at once."""
        return all(gate() for gate in self.gates)

    @property
    def accepts_own_work(self) -> bool:
        """Whether the gateway may begin work of its own."""
        return (
            self.phase in (Phase.SERVING, Phase.LAME_DUCK) and self.now() < self.shutdown_deadline - DRAIN_S
        )

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
            await asyncio.sleep(SWEEP_INTERVAL_S)
            self.pool.sweep()
            for server in servers:
                server.sweep()

    # --- calls ---------------------------------------------------------------------------------

    async def submit(self, call: Call) -> Answer:
        """Returns the one answer to a call; cancelled when its client disconnects."""
        if not self.gates_open:
            return Answer(AnswerKind.REFUSED, retry_after=GATED_RETRY_AFTER_S)
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
            is_answered = exchange.answer.done() and not exchange.answer.cancelled()
            if is_answered and (stream := exchange.answer.result().stream):
                stream.close()  # the response began just as the client disconnected
            self.apply(self.scheduler.client_disconnected(self.now(), call.id))
            raise
        finally:
            del self.exchanges[call.id]
            self.peer.release_id(call.id)

    def time_left(self, call: Call) -> float:
        """Returns the seconds that a call may still take, limited by the exit of this process."""
        return min(
            float(call.fields["expires_in"]), max(TRANSIT_MARGIN_S, self.shutdown_deadline - self.now())
        )

    def apply(self, orders: Orders) -> None:
        """Carries out the scheduler's orders and sets the timer for its next tick."""
        for order in orders.attempts:
            self.attempts.start(order)
        for attempt in orders.cancellations:
            self.attempts.cancel(attempt)
        for final_answer in orders.final_answers:
            self._deliver_final_answer(final_answer)
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

    def _deliver_final_answer(self, final_answer: FinalAnswer) -> None:
        if exchange := self.exchanges.get(final_answer.request):
            kind = AnswerKind.REFUSED if final_answer.rejected else AnswerKind.FAILED
            exchange.settle(Answer(kind, retry_after=final_answer.retry_after))

    # --- nodes ---------------------------------------------------------------------------------

    def _on_discovery_update(self, listing: Listing | DiscoveryUpdateKind) -> None:
        """Handles a list from discovery, or the reason why the watch ended."""
        if isinstance(listing, DiscoveryUpdateKind):
            self.apply(self.scheduler.update_nodes(self.now(), listing))
        else:
            if self.peer.link is not None:  # else serializing the list is wasted work
                self.peer.link.send("list", write_listing(*listing) | {"discovery": self.watch.address})
            self.update_nodes(listing)

    def set_detached(
        self, node: str, detached: bool, *, from_peer: bool = False, listed: bool = True
    ) -> bool:
        """Detaches or attaches a node for an operator; returns False for an unknown node.

        `from_peer`: the other process reported it.  If not `listed`, the node may be one not known yet.
        """
        orders = self.scheduler.override_node(self.now(), node, detached, listed)
        if orders is None:
            return False
        logger.info("storage node {} {} by an operator", node, "detached" if detached else "attached")
        if not from_peer:
            self.peer.notify("hand", [node, detached])
        if detached and node in self.addresses:  # it is about to be restarted, which breaks idle connections
            self.pool.forget(self.addresses[node])
        self.apply(orders)
        return True

    def update_nodes(self, listing: Listing, kind: DiscoveryUpdateKind | None = None) -> None:
        """Applies a list of nodes; its kind follows from its `complete`, unless `kind` is given."""
        kind = kind or (DiscoveryUpdateKind.FULL if listing.complete else DiscoveryUpdateKind.DELTA)
        listed_nodes = {entry.node for entry in listing.entries}
        for node, address in list(self.addresses.items()):
            # Closes idle connections to a node that is not up, no longer listed or at a new address.
            if (node in listed_nodes or kind is not DiscoveryUpdateKind.DELTA) and listing.addresses.get(
                node
            ) != address:
                self.pool.forget(self.addresses.pop(node))
        self.addresses.update(listing.addresses)
        self.apply(self.scheduler.update_nodes(self.now(), kind, listing.revision, listing.entries))
