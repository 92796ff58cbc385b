"""The gateway: one object that joins the facade, the connections to nodes, discovery and the fronts.

Fronts hand in a `Call` and await its one `Answer`.  The program's phases are this object's `phase`.
"""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable, Mapping
from contextlib import suppress
from dataclasses import dataclass, field
from enum import Enum
from typing import Protocol

from loguru import logger

from mallowbeam import interface as io
from mallowbeam.facade import NEVER, Facade, Orders, Try, Verdict
from mallowbeam.net.config import BadConfig, Config, read_again
from mallowbeam.net.discovery import Listing, Watch, write_listing
from mallowbeam.net.handover import Handover, Legacy, Sister
from mallowbeam.net.http import Budget, Headers, Message, write_request
from mallowbeam.net.log import Sparse
from mallowbeam.net.metrics import Metrics
from mallowbeam.net.server import Server
from mallowbeam.net.stream import Stream
from mallowbeam.net.upstream import Broken, Link, NoRoom, Pool, Spoilt, Unsent

LAME_DUCK = 0.5             # seconds after SIGTERM in which all goes on as before, at least
STAY = 3.5                  # seconds after SIGTERM by which all is answered, at the latest
LEAVE = 0.5                 # and the last of them, in which nothing new is taken
SWEEP = 0.2                 # seconds between looks at what has been idle or stalled
SILENT = 10.0               # seconds without a byte after which a streamed answer has broken off
MAX_ANSWER = 4 * 1024 * 1024  # bytes of an answer that is not passed on in pieces
MARGIN = 0.01               # seconds kept of a client's deadline for the way in and the way back

GATED = 1.0                 # seconds that a client refused at a shut gate is asked to stay away

MOST_DIGITS = 9             # of a figure that a node tells

Outcome = io.Outcome
# What a node turns away unrun: as it is full, or as it is not the place or the time for it.
NOT_RUN = {503: Outcome.REJECTED, 504: Outcome.ASTRAY}


class Phase(Enum):
    """The program's phases, in order."""

    STARTING = "starting"
    SERVING = "serving"
    HANDED_OVER = "handed over"  # a new process takes what comes; its own connections come to an end
    LAME_DUCK = "lame duck"  # told to stop: still takes what comes
    DRAINING = "draining"    # takes nothing, finishes what it holds
    STOPPED = "stopped"


class Kind(Enum):
    """How a call ended."""

    SERVED = "served"
    REFUSED = "refused"
    FAILED = "failed"


@dataclass(slots=True)
class Answer:
    """The one final answer of a call."""

    kind: Kind
    status: int = 0
    headers: Headers = field(default_factory=list)
    body: bytes | bytearray = b""
    stream: Stream | None = None
    retry_after: float | None = None


@dataclass(slots=True)
class Call:
    """A request as a front hands it in: what the module is told, and what goes to a node."""

    id: str
    fields: dict[str, object]                  # as `interface.RequestArrived` names them
    method: bytes
    target: bytes
    headers: Headers
    body: bytes | bytearray = b""
    final: Callable[[int], bool] = (200).__eq__  # which statuses of a node are the client's answer
    streamed: Callable[[int], bool] = lambda status: False  # and which of them are passed on in pieces
    standstill: float = SILENT                 # seconds without a byte in its body that end an answer
    hold: int = 0                              # bytes up to which a streamed answer is held whole after all
    most: int | None = None                    # and those that are passed on at most
    upload: Stream | None = None               # the body where it passes through: it can be sent once
    length: int | None = None                  # and its length, None where it comes in chunks


class Part(Protocol):
    """A subsystem that lives as long as the gateway."""

    def start(self) -> None:
        """The gateway is about to serve."""

    async def hand_over(self) -> None:
        """A new process takes what comes: let go of what only one can have."""

    async def stop(self) -> None:
        """Everything is answered: end, with nothing lost."""

    def gauges(self) -> Mapping[str, int]:
        """Figures to be shown at the operators' door."""


class Exchange:
    """A call that has no answer yet, and its attempts."""

    __slots__ = ("call", "deadline", "answer")

    def __init__(self, call: Call, deadline: float) -> None:
        self.call, self.deadline = call, deadline
        self.answer: asyncio.Future[Answer] = asyncio.get_running_loop().create_future()

    def settle(self, answer: Answer) -> None:
        """The first answer counts."""
        if not self.answer.done():
            self.answer.set_result(answer)


class Gateway:
    """One gateway, from start to exit."""

    def __init__(self, config: Config) -> None:
        self.config, self.phase = config, Phase.STARTING
        # The wall clock says when nodes started; between two readings only the steady one may count.
        self.epoch = time.time() - time.monotonic()
        self.facade = Facade(config.settings, self.now())
        self.metrics = Metrics(config.settings.classes)
        self.pool = Pool(config.node_sockets, config.idle_limit, config.connect_timeout,
                         min(MAX_ANSWER, config.memory // 32), Budget(config.memory // 8))
        self.watch = Watch(config.discovery, config.known.revision, self._told,
                           not config.settings.discovery_on_request)
        self.addresses: dict[str, str] = {}
        self.exchanges: dict[str, Exchange] = {}
        self.tasks: dict[tuple[str, int], asyncio.Task] = {}
        self.servers: list[Server] = []        # the clients' doors
        self.parts: list[Part] = []            # the subsystems that are on
        self.gates: list[Callable[[], bool]] = []  # what must hold for it to serve, where they say so
        self.timer: asyncio.TimerHandle | None = None
        self.timer_at = NEVER
        self.stopping, self.handed_over = asyncio.Event(), asyncio.Event()
        self.leave_at = NEVER                  # when all must be answered
        self.sister: Sister | None = None      # the other process of this gateway, while there are two
        self.no_room = Sparse("no room for a connection to a node")
        self.spoilt = Sparse("a node's answer can't be read")

    def now(self) -> float:
        """Unix time that never jumps."""
        return self.epoch + time.monotonic()

    # --- phases --------------------------------------------------------------------------------

    async def run(self, servers: list[Server], admin: Server | None = None,
                  legacy: Legacy | None = None, meet: bool = False) -> None:
        """Serve until told to stop, then finish what is held; the operators' door is open throughout.

        `legacy` is what the process before this one hands over, `meet` says whether to wait for the next.
        """
        self.servers = servers
        if admin is not None:
            admin.start()
        self._listing(self.config.known, io.ListKind.CACHED)
        if legacy is not None:
            self.facade.inherit(self.now(), legacy.state)
            self.sister = Sister(legacy.sock, self, legacy.rest)
            self.sister.ids.update(legacy.state["ids"])
            self.deal(0)
        if not self.config.settings.discovery_on_request:
            self.watch.begin()
        for part in self.parts:
            part.start()
        for server in servers:
            server.start()
        self._enter(Phase.SERVING)
        if self.sister is not None:
            self.sister.tell("yes", True)
        handover = self._await_next() if meet else None
        sweeper = asyncio.create_task(self._sweep([*servers, *([admin] if admin else [])]))
        await self._any(self.stopping, self.handed_over)
        self._enter(Phase.HANDED_OVER if self.handed_over.is_set() else Phase.LAME_DUCK)
        if handover is not None:
            handover.task.cancel()
        await (self._hand_over() if self.handed_over.is_set() else self._lame_duck())
        self._enter(Phase.DRAINING)
        await asyncio.gather(*(server.drain() for server in servers))
        await asyncio.gather(*(part.stop() for part in self.parts))
        sweeper.cancel()
        self._enter(Phase.STOPPED)

    @staticmethod
    async def _any(*events: asyncio.Event) -> None:
        """Wait for one of several events."""
        waits = [asyncio.create_task(event.wait()) for event in events]
        await asyncio.wait(waits, return_when=asyncio.FIRST_COMPLETED)
        for wait in waits:
            wait.cancel()

    async def _lame_duck(self) -> None:
        """Serve on for a while: clients whose connections stay open need not find this gateway gone.

        Guards the one final answer: what still comes in has only the time that is left before the end.
        """
        longest = max(cls.deadline for cls in self.config.settings.classes.values())
        stay = min(STAY, longest + LAME_DUCK)
        self.leave_at = self.now() + stay
        await asyncio.sleep(max(LAME_DUCK, stay - LEAVE))

    async def _hand_over(self) -> None:
        """Let the new process take what comes, until nothing is left here or SIGTERM has come."""
        for server in self.servers:
            server.last_answers()
        for server in self.servers:
            await server.shut()
        await asyncio.gather(*(part.hand_over() for part in self.parts))
        self.watch.pause()                     # what the new one hears it tells
        if self.sister is None:                # gone in this very moment
            self.watch.begin()
        while not self.stopping.is_set() and any(server.connections for server in self.servers):
            self._tell("clients", sum(len(server.connections) for server in self.servers))
            with suppress(TimeoutError):
                async with asyncio.timeout(LAME_DUCK / 5):
                    await self.stopping.wait()
        if self.stopping.is_set():             # idle connections have a moment for their next request
            await asyncio.sleep(LAME_DUCK)

    def _await_next(self) -> Handover | None:
        """Wait for the next process; without a place to meet the two would share the address only."""
        try:
            return Handover(self)
        except OSError as error:
            logger.warning("no place to hand over at: {}", error)
            return None

    # --- two processes -------------------------------------------------------------------------

    def deal(self, beside: int) -> None:
        """While there are two processes, keep to this one's part of descriptors and memory.

        Guards the limits, which count for both together: `beside` connections of clients are the other's.
        """
        parts = 1 if self.sister is None else 2
        own = 0 if self.sister is None else self.config.own_sockets
        for server in self.servers:
            server.most = max(server.whole // 4, server.whole - (beside + own) // len(self.servers))
            if budget := getattr(server.front, "budget", None):
                budget.most = budget.whole // parts
        self.pool.limit(parts)

    def alone(self) -> None:
        """The other process is gone."""
        self.sister = None
        self.deal(0)
        if self.handed_over.is_set() and self.phase is not Phase.STOPPED:
            self.watch.begin()                 # nobody tells what discovery says any more

    def sent_beside(self, sent: list) -> None:
        """The other process has sent something that counts here too."""
        self._apply(self.facade.sent_beside(self.now(), *sent))

    def told_beside(self, listing: Listing) -> None:
        """The other process has heard from discovery.

        Guards against going back: a list that is no newer than what is known here changes nothing.
        """
        if self.watch.revision is None or listing.revision > self.watch.revision:
            self.watch.revision = listing.revision
            self._listing(listing)

    def legacy(self) -> Mapping[str, object]:
        """All that a new process needs to go on where this one stands."""
        return {"discovery": self.watch.address,
                "list": write_listing(self.watch.revision or 0, True, self.facade.entries(self.now()),
                                      self.addresses),
                "ids": list(self.exchanges), **self.facade.state(self.now())}

    def _tell(self, kind: str, value: object) -> None:
        """Tell the other process, where there is one."""
        if self.sister is not None:
            self.sister.tell(kind, value)

    def _over(self, request: str) -> None:
        """Tell it of an id that is free again."""
        if self.sister is not None and request not in self.exchanges and not self.facade.knows(request):
            self.sister.tell("over", request)

    def holds(self, request: str) -> bool:
        """Whether this id is in use: unanswered, or with an attempt still out.

        Guards the one final answer: what the module is done with is held until its front has the answer.
        """
        return (request in self.exchanges or self.facade.knows(request)
                or self.sister is not None and request in self.sister.ids)

    def stop(self) -> None:
        """SIGTERM: begin to leave."""
        self.stopping.set()

    def reload(self, env: Mapping[str, str]) -> None:
        """SIGHUP: from now on discovery is where the file says; all else in it counts from the next start.

        Guards against a file that can't be used: it is decoded first, and changes nothing.
        """
        try:
            config = read_again(env)
        except BadConfig as error:
            return logger.error("reload: old values stay: {}", error)
        logger.info("reload: discovery at {}", config.discovery)
        self._tell("discovery", config.discovery)
        self.moved(config.discovery)

    def moved(self, address: str) -> None:
        """Discovery is elsewhere from now on, as SIGHUP here or at the other process says."""
        self.watch.move(address)
        if self.handed_over.is_set() and self.sister is not None:
            self.watch.pause()                 # the new process watches for both

    @property
    def ready(self) -> bool:
        """Whether clients should be sent here; no from the very signal on."""
        return (self.phase is Phase.SERVING and not self.stopping.is_set() and not self.handed_over.is_set()
                and self.open)

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
        logger.info("phase {}: {} requests held, {} nodes known", phase.value, len(self.exchanges),
                    len(self.addresses))

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
            return Answer(Kind.REFUSED, retry_after=GATED)
        call.fields["expires_in"] = expires = self._left(call)
        exchange = self.exchanges[call.id] = Exchange(call, self.now() + expires)
        self._tell("taken", call.id)
        try:
            self._apply(self.facade.pick(self.now(), call.id, **call.fields))
            return await exchange.answer
        except asyncio.CancelledError:
            if exchange.answer.done() and not exchange.answer.cancelled():
                if stream := exchange.answer.result().stream:
                    stream.close()             # it began at the very moment the client left
            self._apply(self.facade.leave(self.now(), call.id))
            raise
        finally:
            del self.exchanges[call.id]
            self._over(call.id)

    def _left(self, call: Call) -> float:
        """Seconds that a call may take from now on: its own, up to the end of this process."""
        return min(float(call.fields["expires_in"]), max(MARGIN, self.leave_at - self.now()))

    def _apply(self, orders: Orders) -> None:
        """Do what the module wants done, and come back when it wants to be called."""
        for tried in orders.tries:
            self._try(tried)
        for attempt in orders.cancels:
            if task := self.tasks.get(attempt):
                task.cancel()
        for verdict in orders.verdicts:
            self._verdict(verdict)
        if orders.watch:
            self.watch.begin()
        if self.facade.wake < self.timer_at:
            if self.timer is not None:
                self.timer.cancel()
            self.timer_at = self.facade.wake
            self.timer = asyncio.get_running_loop().call_later(
                max(0.0, self.timer_at - self.now()) + 0.0005, self._wake)

    def _wake(self) -> None:
        self.timer, self.timer_at = None, NEVER
        self._apply(self.facade.tick(self.now()))

    def _verdict(self, verdict: Verdict) -> None:
        if exchange := self.exchanges.get(verdict.request):
            kind = Kind.REFUSED if verdict.refused else Kind.FAILED
            exchange.settle(Answer(kind, retry_after=verdict.retry_after))

    # --- attempts ------------------------------------------------------------------------------

    def _try(self, tried: Try) -> None:
        """Start an attempt; however its task ends, even before its first step, one report follows."""
        started, exchange = self.now(), self.exchanges.get(tried.request)
        if exchange is None:
            # Guards the report of an attempt: whatever went wrong, the module must not count it as out.
            logger.error("an attempt for a request that is not held")
            self._apply(self.facade.report(started, tried, Outcome.NOT_SENT, 0.0))
            return
        if self.sister is not None:
            told, units = exchange.call.fields, exchange.call.fields["units"]
            hosts = told.get("hosts_of_volume") or self.config.settings.hosts
            self.sister.tell("sent", [told["volume"], told["plan"], hosts, tried.node, units,
                                      0 if tried.number else units])
        task = asyncio.create_task(self._attempt(tried, exchange, started))
        self.tasks[tried.request, tried.number] = task
        task.add_done_callback(lambda done: self._ended(tried, started, done))

    async def _attempt(self, tried: Try, exchange: Exchange,
                       started: float) -> tuple[Outcome, Message | None]:
        """One attempt: connect, write, read; the outcome says whether it can have run."""
        call, link, written, kept = exchange.call, None, False, False
        left = exchange.deadline - started
        timeout = min(left, tried.timeout) if tried.timeout else left
        address = self.addresses.get(tried.node, "")
        waits = timeout if call.upload is None else float(call.fields["expires_in"])
        headers = [(b"host", address.encode()), *call.headers,
                   (b"x-deadline-ms", b"%d" % max(1, round(waits * 1000)))]
        try:
            async with asyncio.timeout(timeout) as limit:
                link = await self.pool.take(address)
                # Guards the rule on draining: the list may have changed while the connection came up, or an
                # operator taken the node out.
                if self.addresses.get(tried.node) != address or not self.facade.takes(tried.node):
                    return Outcome.NOT_SENT, None
                if call.upload is None:
                    await link.request(write_request(call.method, call.target, headers, len(call.body)),
                                       call.body, bodiless=call.method == b"HEAD")
                    written = True
                else:
                    limit.reschedule(None)     # the client's time counts from its last byte
                    written = await self._upload(tried, exchange, link, headers)
                    timeout = exchange.deadline - self.now() if written else MARGIN
                    limit.reschedule(asyncio.get_running_loop().time() + timeout)
                self.metrics.upstream_requests += written
                answer = await link.head()
                if call.final(answer.status) and call.streamed(answer.status) and await link.exceeds(
                        answer, call.hold, call.most, call.standstill):
                    limit.reschedule(None)     # the answer has begun: it is the client's now
                    await self._pass_on(tried, exchange, link, answer, started)
                else:
                    await link.body(answer, call.standstill)
            outcome = self._outcome(call, answer)
            if written:
                self.pool.put(link, answer)
                kept = True
            elif outcome not in NOT_RUN.values():
                outcome = Outcome.NOT_SENT     # said before the request was whole
            return outcome, answer
        except TimeoutError:
            return (Outcome.TIMEOUT if written else Outcome.NOT_SENT), None
        except NoRoom as error:
            self.no_room(error)
            return Outcome.NOT_SENT, None
        except Unsent:
            # Guards a node that lives: one that took the connection was reached, and says no more by a reset.
            return (Outcome.NO_CONNECTION if link is None else Outcome.NOT_SENT), None
        except Spoilt as error:
            # Guards a node that lives against being taken for a dead one: it has run this and answers others.
            self.spoilt(error)
            return (Outcome.ERROR if written else Outcome.NOT_SENT), None
        except Broken:
            return (Outcome.RESET if written else Outcome.NOT_SENT), None
        finally:
            if link is not None and not kept:
                self.pool.drop(link)

    @staticmethod
    def _outcome(call: Call, answer: Message) -> Outcome:
        if call.final(answer.status):
            return Outcome.OK
        if answer.status in NOT_RUN and answer.get(b"x-not-run") == b"1":
            return NOT_RUN[answer.status]
        return Outcome.ERROR

    async def _upload(self, tried: Try, exchange: Exchange, link: Link, headers: Headers) -> bool:
        """Pass a body on to the node as its client sends it; False if the node answers before its end.

        Once it has begun it can't be sent again, and until its last byte is out no time of it runs.
        """
        call = exchange.call
        head = write_request(call.method, call.target, headers, call.length, chunked=call.length is None)
        self._apply(self.facade.uploading(self.now(), tried, None))
        await link.request(head)
        while (piece := await call.upload.get()) is not None:
            if link.channel.stale():
                return False
            async with asyncio.timeout(SILENT):
                await link.write(piece, call.length is None)
        if call.upload.broken:
            raise Unsent("the client's body broke off")
        if call.length is None:
            await link.write(b"", True)
        left = self._left(call)
        exchange.deadline = self.now() + left
        self._apply(self.facade.uploading(self.now(), tried, left))
        return True

    async def _pass_on(self, tried: Try, exchange: Exchange, link: Link, answer: Message,
                       started: float) -> None:
        """Hand an answer on in pieces, reading no faster than the client takes them."""
        stream = Stream(closed=asyncio.current_task().cancel)
        most = exchange.call.most
        self._apply(self.facade.begun(self.now(), tried, self.now() - started))
        exchange.settle(Answer(Kind.SERVED, answer.status, answer.headers, stream=stream))
        try:
            while True:
                if piece := answer.take():
                    link.channel.framer.release()
                    link.channel.widen()
                    await stream.put(piece)
                if answer.whole:
                    return await stream.put(None)
                if most is not None and answer.came > most:
                    raise Spoilt("an answer without end")
                async with asyncio.timeout(SILENT):
                    await link.more(answer)
        except BaseException:
            stream.break_off()
            raise

    def _ended(self, tried: Try, started: float, task: asyncio.Task) -> None:
        """An attempt is over: pass a served answer on and tell the module."""
        del self.tasks[tried.request, tried.number]
        answer = None
        if task.cancelled():
            outcome = Outcome.CANCELLED
        elif error := task.exception():
            logger.opt(exception=error).error("an attempt failed unforeseen")
            outcome = Outcome.RESET            # it may have run
        else:
            outcome, answer = task.result()
        exchange = self.exchanges.get(tried.request)
        if outcome is Outcome.OK and exchange is not None:
            exchange.settle(Answer(Kind.SERVED, answer.status, answer.headers, answer.body))
        used, elsewhere = read_meter(answer)
        now = self.now()
        self._apply(self.facade.report(now, tried, outcome, now - started, used, elsewhere))
        self._over(tried.request)

    # --- nodes ---------------------------------------------------------------------------------

    def _told(self, listing: Listing | io.ListKind) -> None:
        """Word from discovery, or how the watch on it ended."""
        if isinstance(listing, io.ListKind):
            self._apply(self.facade.listed(self.now(), listing))
        else:
            if self.sister is not None:        # else a whole list is written out for nobody
                self.sister.tell("list", write_listing(*listing))
            self._listing(listing)

    def by_hand(self, node: str, out: bool, told: bool = False, listed: bool = True) -> bool:
        """An operator takes a node out, or lets it serve again; False for one that nobody has.

        `told` if the other process heard of it; not `listed` if it counts for a node that is yet to come.
        """
        orders = self.facade.by_hand(self.now(), node, out, listed)
        if orders is None:
            return False
        logger.info("storage node {} {} by hand", node, "out" if out else "back")
        if not told:
            self._tell("hand", [node, out])
        if out and node in self.addresses:     # it is about to be restarted: no idle connection is of use
            self.pool.forget(self.addresses[node])
        self._apply(orders)
        return True

    def _listing(self, listing: Listing, kind: io.ListKind | None = None) -> None:
        """Take in a list; what kind it is it says itself, unless it is an old one."""
        kind = kind or (io.ListKind.FULL if listing.complete else io.ListKind.CHANGES)
        told = {entry.node for entry in listing.entries}
        for node, address in list(self.addresses.items()):
            # Not up, not listed any more, or elsewhere: no idle connection there is of use.
            if (node in told or kind is not io.ListKind.CHANGES) and listing.addresses.get(node) != address:
                self.pool.forget(self.addresses.pop(node))
        self.addresses.update(listing.addresses)
        self._apply(self.facade.listed(self.now(), kind, listing.revision, listing.entries))


def read_deadline(value: bytes, most_ms: int) -> float | None:
    """A client's deadline in seconds; None where it is senseless."""
    if not value.isdigit() or len(value) > len(str(most_ms)) or not 0 < int(value) <= most_ms:
        return None
    return int(value) / 1000.0


def time_left(deadline: float) -> float:
    """What a deadline leaves for the call itself."""
    return max(0.001, deadline - MARGIN)


def read_meter(answer: Message | None) -> tuple[float | None, int]:
    """What an answer tells of the volume: its recent use, and its units served through other gateways."""
    used, elsewhere = None, 0
    for name, value in answer.headers if answer is not None else ():
        # Guards the report against a figure that can't be read, or is too long to be one.
        if not value.isdigit() or len(value) > MOST_DIGITS:
            continue
        if name == b"x-meter":
            used = int(value) / 100.0
        elif name == b"x-delta":
            elsewhere = int(value)
    return used, elsewhere


def length_of(headers: Headers) -> int | None:
    """The length that a node's answer states."""
    return next((int(value) for name, value in headers if name == b"content-length"), None)
