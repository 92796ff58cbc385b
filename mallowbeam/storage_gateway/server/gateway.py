"""The gateway: one object that joins the scheduler, the connections to nodes, discovery and the fronts.

Fronts hand in a `Call` and await its one `Answer` (`calls.py`).  What the module orders is done here: an
attempt is started or cancelled (`attempts.py`), a verdict becomes an answer, a timer is set.  The program's
phases are this object's `phase`; `peer.py` coordinates it with the other process of an upgrade.
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

LAME_DUCK = 0.5  # seconds after SIGTERM in which all goes on as before, at least
STAY = 3.5  # seconds after SIGTERM by which all is answered, at the latest
LEAVE = 0.5  # and the last of them, in which nothing new is taken
SWEEP = 0.2  # seconds between looks at what has been idle or stalled
GATED = 1.0  # seconds that a client refused at a shut gate is asked to stay away
MAX_ANSWER = 4 * 1024 * 1024  # bytes of an answer that is not passed on in pieces


class Gateway:
    """One gateway, from start to exit: its state, its phases, its calls, and the list of nodes."""

    def __init__(self, config: Config) -> None:
        self.config, self.phase = config, Phase.STARTING
        # The wall clock says when nodes started; between two readings only the steady one may count.
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
        self.servers: list[Server] = []  # the clients' doors
        self.parts: list[Subsystem] = []  # the subsystems that are on
        self.gates: list[Callable[[], bool]] = []  # what must hold for it to serve, where they say so
        self.observers: list[Callable[[Mapping[str, object]], None]] = []  # told of a call before the module
        self.timer: asyncio.TimerHandle | None = None
        self.timer_at = NEVER
        self.stopping, self.handed_over = asyncio.Event(), asyncio.Event()
        self.leave_at = NEVER  # when all must be answered
        self.peer = PeerCoordinator(self)
        self.attempts = AttemptRunner(self, self.peer)

    def now(self) -> float:
        """Unix time that never jumps."""
        return self.epoch + time.monotonic()

    # --- phases --------------------------------------------------------------------------------

    async def run(
        self,
        servers: list[Server],
        admin: Server | None = None,
        legacy: Legacy | None = None,
        meet: bool = False,
    ) -> None:
        """Serve until told to stop, then finish what is held; the operators' door is open throughout.

        `legacy` is what the process before this one hands over, `meet` says whether to wait for the next.
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
            if legacy.state.get("whole"):  # the old process moved, and heard nothing there yet
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
        if admin is not None:  # the operators' calls have their answers too
            await admin.drain(self._rest())
        sweeper.cancel()
        self._enter(Phase.STOPPED)
        if faults:  # the program's end tells of it too
            raise faults[0]

    @staticmethod
    async def _any(*events: asyncio.Event) -> None:
        """Wait for one of several events."""
        waits = [asyncio.create_task(event.wait()) for event in events]
        await asyncio.wait(waits, return_when=asyncio.FIRST_COMPLETED)
        for wait in waits:
            wait.cancel()

    @staticmethod
    async def _each(parts: Iterable[Awaitable[None]]) -> list[BaseException]:
        """Wait for all parts; the faults of those that failed.

        Guards what is held: a part's fault ends neither the calls in hand nor the other parts' own work.
        """
        ended = await asyncio.gather(*parts, return_exceptions=True)
        faults = [fault for fault in ended if isinstance(fault, BaseException)]
        for fault in faults:
            logger.opt(exception=fault).error("a part failed unforeseen")
        return faults

    async def _lame_duck(self) -> None:
        """Serve on for a while: clients whose connections stay open need not find this gateway gone.

        Guards the one final answer: what still comes in has only the time that is left before the end.
        """
        self._leave()
        await asyncio.sleep(max(LAME_DUCK, self.leave_at - self.now() - LEAVE))

    def _leave(self) -> None:
        """SIGTERM has come: from now on what comes has only the time that is left before the end."""
        longest = max(cls.deadline for cls in self.config.settings.classes.values())
        self.leave_at = self.now() + min(STAY, longest + LAME_DUCK)

    def _rest(self) -> float:
        """Seconds up to the time at which all is to be answered."""
        return max(0.0, self.leave_at - self.now())

    async def _hand_over(self) -> None:
        """Let the new process take what comes, until nothing is left here or SIGTERM has come."""
        for server in self.servers:
            server.close_after_responses()
        for server in self.servers:
            await server.stop_accepting()  # its accept queue is the new process's
        await self._each(part.hand_over() for part in self.parts)
        if self.peer.link is not None:  # else it is gone in this very moment
            self.watch.pause()  # what the new one hears it tells
        while not self.stopping.is_set() and any(server.connections for server in self.servers):
            self.peer.notify("clients", sum(len(server.connections) for server in self.servers))
            with suppress(TimeoutError):
                async with asyncio.timeout(LAME_DUCK / 5):
                    await self.stopping.wait()
        if self.stopping.is_set():  # idle connections have a moment for their next request
            self._leave()
            await asyncio.sleep(LAME_DUCK)

    def _await_next(self) -> Handover | None:
        """Wait for the next process; without a place to meet the two would share the address only."""
        try:
            return Handover(self.peer)
        except OSError as error:
            logger.warning("no place to hand over at: {}", error)
            return None

    def stop(self) -> None:
        """SIGTERM: begin to leave."""
        self.stopping.set()

    def reload(self, env: Mapping[str, str]) -> None:
        """SIGHUP: from now on discovery is where the file says; all else in it counts from the next start.

        Guards against a file that can't be used: it is decoded first, and changes nothing.
        """
        try:
            config = read_again(env)
        except GatewayConfigError as error:
            return logger.error("reload: old values stay: {}", error)
        logger.info("reload: discovery at {}", config.discovery)
        self.peer.notify("discovery", config.discovery)
        self.peer.move_discovery(config.discovery)
        return None

    def has_id(self, request: str) -> bool:
        """Whether a request's id is in use: unanswered, or with an attempt still in flight.

        Guards the one final answer: what the scheduler is done with is pending until its front has it.
        """
        return request in self.exchanges or self.scheduler.knows(request) or self.peer.has_id(request)

    @property
    def ready(self) -> bool:
        """Whether clients should be sent here; no from the very signal on."""
        return (
            self.phase is Phase.SERVING
            and not self.stopping.is_set()
            and not self.handed_over.is_set()
            and self.open
        )

    @property
    def open(self) -> bool:
        """Whether all gates are: else what comes is refused at once."""
        return all(gate() for gate in self.gates)

    @property
    def begins(self) -> bool:
        """Whether work of the gateway's own may begin."""
        return self.phase in (Phase.SERVING, Phase.LAME_DUCK) and self.now() < self.leave_at - LEAVE

    def _enter(self, phase: Phase) -> None:
        self.phase = phase
        logger.info(
            "phase {}: {} requests held, {} nodes known",
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
        """Get a call its one answer; cancelled when its client leaves."""
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
                stream.close()  # it began at the very moment the client left
            self.apply(self.scheduler.client_disconnected(self.now(), call.id))
            raise
        finally:
            del self.exchanges[call.id]
            self.peer.release_id(call.id)

    def time_left(self, call: Call) -> float:
        """Seconds that a call may take from now on: its own, up to the end of this process."""
        return min(float(call.fields["expires_in"]), max(MARGIN, self.leave_at - self.now()))

    def apply(self, orders: Orders) -> None:
        """Do what the module wants done, and come back when it wants to be called."""
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
        """Word from discovery, or how the watch on it ended."""
        if isinstance(listing, DiscoveryUpdateKind):
            self.apply(self.scheduler.update_nodes(self.now(), listing))
        else:
            if self.peer.link is not None:  # else a complete list is written out for nobody
                self.peer.link.send("list", write_listing(*listing) | {"discovery": self.watch.address})
            self.update_nodes(listing)

    def by_hand(self, node: str, out: bool, *, from_peer: bool = False, listed: bool = True) -> bool:
        """An operator takes a node out, or lets it serve again; False for one that nobody has.

        `from_peer`: the other process reported it.  Not `listed`: it may be a node that is yet to come.
        """
        orders = self.scheduler.override_node(self.now(), node, out, listed)
        if orders is None:
            return False
        logger.info("storage node {} {} by hand", node, "out" if out else "back")
        if not from_peer:
            self.peer.notify("hand", [node, out])
        if out and node in self.addresses:  # it is about to be restarted: no idle connection is of use
            self.pool.forget(self.addresses[node])
        self.apply(orders)
        return True

    def update_nodes(self, listing: Listing, kind: DiscoveryUpdateKind | None = None) -> None:
        """Take in a list; what kind it is it says itself, unless it is an old one."""
        kind = kind or (DiscoveryUpdateKind.FULL if listing.complete else DiscoveryUpdateKind.DELTA)
        told = {entry.node for entry in listing.entries}
        for node, address in list(self.addresses.items()):
            # Not up, not listed any more, or elsewhere: no idle connection there is of use.
            if (node in told or kind is not DiscoveryUpdateKind.DELTA) and listing.addresses.get(
                node
            ) != address:
                self.pool.forget(self.addresses.pop(node))
        self.addresses.update(listing.addresses)
        self.apply(self.scheduler.update_nodes(self.now(), kind, listing.revision, listing.entries))
