"""A model of two successive client requests at one instance, with events in any order; no sockets, no waits.

The complete gateway code runs, from `ClientFrontend` down to `http.framing.Channel`, over the stand-in
sockets of `exchange_sockets`.  Its behaviour is checked against what the instances received; see `Violation`.
"""

from __future__ import annotations

import asyncio
import time
from dataclasses import dataclass, replace
from unittest.mock import patch

from exchange_sockets import HEAD_END, WIDE, Arrival, Form, Line, ModelLoop, answer_body, handle_of
from failing_instances import ByName
from gateway_bench import BUDGET, HOST

from mallowbeam.http.client import Link
from mallowbeam.http.framing import Channel, Framer, Message
from mallowbeam.http.handler import Response
from mallowbeam.router.configuration.model import Configuration
from mallowbeam.router.data_plane import attempt, link_pool
from mallowbeam.router.data_plane.client_frontend import ClientFrontend
from mallowbeam.router.data_plane.gateway import Gateway
from mallowbeam.router.data_plane.link_pool import LinkPool
from mallowbeam.router.data_plane.retry_budget import RetryBudgets
from mallowbeam.router.feed.instance_replica import InstanceChanges
from mallowbeam.router.rpc.messages_pb2 import READY, Instance

FIRST, SECOND = b"r1", b"r2"
LARGE_BODY = 24 * 1024  # larger than a body that the gateway joins with the head for one write
SMALL_BODY = 8
WINDOW = 4 * 1024  # bytes of a large request that the kernel accepts before the instance reads on
REST_S = 0.03  # longer than the pool's delay between two requests on a connection
BEYOND_DEADLINE_S = 3.0
NOT_RUN_STATUSES = (408, 421, 429, 503)


class Violation(AssertionError):
    """The gateway violated a rule; the first word of the text names the rule."""


@dataclass(frozen=True)
class Setting:
    """The parameters of an exploration, the same for all event orders."""

    target: bytes = b"/unsafe/"
    large: bool = False  # the kernel does not accept the first request at once
    until_close: bool = False  # answers have no length and end with the connection
    held: bool = True  # small answers are read completely before they are forwarded
    connections: int = 1  # limit for each instance; with 1, a connection is reused without delay
    idempotent: bool = False  # requests of the route may run more than once
    hands_over: bool = False  # prompts are prefilled separately, at the watched instance
    first_rejected: bool = False  # the decode send of the first request is rejected, so its handle is freed


class ClientChannel:
    """A client channel that records all written data."""

    def __init__(self) -> None:
        self.data = b""

    async def send(self, data: bytes) -> None:
        """Record the data."""
        self.data += data

    def body(self) -> bytes:
        """Return the body of the only answer, without chunk framing."""
        head, _, rest = self.data.partition(HEAD_END)
        if b"transfer-encoding: chunked" not in head:
            return rest
        body = b""
        while (size := int(rest.partition(b"\r\n")[0], 16)) > 0:
            piece = rest.partition(b"\r\n")[2]
            body, rest = body + piece[:size], piece[size + 2 :]
        return body


class Call:
    """One client request and the client's answer."""

    def __init__(self, world: World, id: bytes) -> None:
        self.id = id
        self.whole = False  # whether the answer looks complete to the client
        self.reply: Response | None = None
        self.channel = ClientChannel()
        self.task = asyncio.get_running_loop().create_task(self._run(world.front, world.request(id)))

    async def _run(self, front: ClientFrontend, request: Message) -> None:
        self.reply = await front.handle(request, lambda: False)
        if self.reply.write is None:
            await self.channel.send(self.reply.data)
            self.whole = True
        else:
            self.whole = await self.reply.write(self.channel)  # type: ignore[arg-type]


class World:
    """A gateway with two instances; `act` executes one event."""

    WATCHED = "i-1"  # the instance to which events happen

    def __init__(self, setting: Setting, routes: Configuration) -> None:
        self.setting = setting
        self.lines: list[Line] = []
        self.violations: list[str] = []  # recorded during the run, possibly in a task that nothing awaits
        self.arrivals: list[tuple[Line, Arrival]] = []
        self.loop = asyncio.get_running_loop()
        self.gateway = Gateway("z1", LinkPool(10), RetryBudgets(BUDGET), self.planner())
        rows = self.rows()
        self.gateway.view.instances = {row.id: row for row in rows}
        bounded = {
            name: replace(one, max_connections=setting.connections) for name, one in routes.backends.items()
        }
        self.gateway.set_configuration(replace(routes, backends=bounded), 0.0)
        self.gateway.instances_changed(InstanceChanges(tuple(rows), ()), 0.0)
        self.front = ClientFrontend(self.gateway, 300)
        self.calls = [Call(self, FIRST)]

    @staticmethod
    def planner() -> ByName:
        """Return a planner that selects the first instance by name that has not failed."""
        return ByName()

    @staticmethod
    def rows() -> list[Instance]:
        """Return the instances."""
        return [
            Instance(id=name, backend="plain", address=f"{name}:1", zone="z1", slots=8, state=READY)
            for name in ("i-1", "i-2")
        ]

    def form(self, instance: str) -> Form:
        """Return how an instance frames its answers."""
        return Form(self.setting.until_close, b"stream" in self.setting.target)

    def arrived(self, line: Line, arrival: Arrival) -> None:
        """Record a request head at an instance; the second instance answers idempotent requests at once."""
        self.arrivals.append((line, arrival))
        if self.setting.idempotent and line.instance == "i-2":
            self.loop.call_soon(line.answer)

    def violate(self, text: str) -> None:
        """Record a violation."""
        self.violations.append(text)

    async def connect(self, address: str, *_: object) -> Link:
        """Replace `http.client.connect`."""
        instance = address.partition(":")[0]
        first = self.setting.large and not self.lines
        line = Line(self, instance, WINDOW if first else WIDE, self.form(instance))
        self.lines.append(line)
        return Link(Channel(line.sock, Framer(answers=True)), address)  # type: ignore[arg-type]

    def request(self, id: bytes) -> Message:
        """Return a client request."""
        message = Message()
        length = LARGE_BODY if self.setting.large and id == FIRST else SMALL_BODY
        message.method, message.target = b"POST", self.setting.target
        message.complete, message.completed_at = True, time.monotonic()
        message.headers = [
            (b"host", HOST.encode()),
            (b"request-id", id),
            (b"deadline-ms", b"1500"),
            (b"token-usage", b"100,5"),
        ]
        message.body += id[-1:] * length
        return message

    @property
    def line(self) -> Line | None:
        """The connection most recently opened to the watched instance."""
        return next((line for line in reversed(self.lines) if line.instance == self.WATCHED), None)

    def enabled(self) -> list[str]:
        """Return the events that are possible next."""
        call = self.calls[-1]
        events: list[str] = []
        if call.task.done():
            events += ["next"] if len(self.calls) == 1 else []
        else:
            events += ["cancel", "timeout"]
        line = self.line
        if line is None or line.over or line.sock.closed:
            return events
        events += ["end", "reset"]
        due = line.open_arrival
        if due is not None and not line.sent_whole(due):
            events += ["answer", "answer+end", "answer+reset"]
            events += ["half", "reject"] if not due.sent else []
            events += ["cancel+answer", "timeout+answer"] if not call.task.done() else []
            events += ["answer+repeat"] if not self.setting.until_close else []
        if due is None or not due.sent:  # otherwise the bytes would be part of that answer's body
            events += ["noise"]
            events += ["repeat", "nameless"] if line.may_repeat else []
        if not line.sock.window:
            events += ["open", "open+reset"]
        if call.task.done() and len(self.calls) == 1 and self.setting.connections > 1:
            events += ["rest"]
        return events

    async def act(self, event: str) -> None:
        """Execute an event; parts joined by + happen in the same step."""
        for part in event.split("+"):
            self._part(part)
        await self.settle()

    def _part(self, part: str) -> None:
        line, call = self.line, self.calls[-1]
        if part == "next":
            self.calls.append(Call(self, SECOND))
        elif part == "cancel":
            call.task.cancel()
        elif part == "timeout":
            self.loop.at += BEYOND_DEADLINE_S  # type: ignore[attr-defined]
        elif part == "rest":
            self.loop.at += REST_S  # type: ignore[attr-defined]
        else:
            assert line is not None
            {
                "answer": line.answer,
                "half": lambda: line.answer(0.8),
                "reject": line.reject,
                "repeat": line.repeat,
                "nameless": lambda: line.repeat(named=False),
                "noise": line.noise,
                "end": line.end,
                "reset": line.reset,
                "open": line.sock.open_window,
            }[part]()

    async def settle(self) -> None:
        """Run the loop until the gateway can make no progress without time passing."""
        await asyncio.sleep(0)
        await asyncio.sleep(0)
        while self.loop._ready:  # type: ignore[attr-defined]
            await asyncio.sleep(0)

    async def finish(self) -> None:
        """Let the requests in flight end by their deadlines, then check all rules."""
        for _ in range(3):
            if not all(call.task.done() for call in self.calls):
                self.loop.at += BEYOND_DEADLINE_S  # type: ignore[attr-defined]
                await self.settle()
        for violation in self.violations:
            raise Violation(violation)
        for call in self.calls:
            self.judge(call)

    def judge(self, call: Call) -> None:
        """Check a client's answer against what the instances did."""
        if not call.task.cancelled():
            call.task.result()  # re-raises an exception of the gateway
        seen = [
            arrival
            for line, arrival in self.arrivals
            if arrival.id == call.id and not line.form.reads_prompts
        ]
        may_run = [arrival for arrival in seen if not arrival.rejected]
        if len(may_run) > 1 and not self.setting.idempotent:
            raise Violation(f"TWICE: {call.id!r} went out {len(may_run)} times and may have run each time")
        if call.reply is None:
            return
        if call.reply.status in NOT_RUN_STATUSES and may_run:
            raise Violation(f"REFUSED: {call.id!r} may have run and was answered {call.reply.status}")
        self._judge_body(call, [arrival for arrival in may_run if arrival.answered])

    @staticmethod
    def _judge_body(call: Call, answered: list[Arrival]) -> None:
        other = SECOND if call.id == FIRST else FIRST
        if other in call.channel.data:
            raise Violation(f"MIXED: {call.id!r} got an answer to {other!r}")
        if call.reply is None or call.reply.status != 200:
            return
        if call.whole and not answered:
            raise Violation(f"MIXED: {call.id!r} got an answer that looks whole and is not")
        bodies = {answer_body(call.id)[: arrival.body_sent] for arrival in answered}
        if call.whole and call.channel.body() not in bodies:
            raise Violation(f"MIXED: {call.id!r} got another body")


class HandOverWorld(World):
    """Prompts are prefilled at the watched instance and answered at one that never fails."""

    WATCHED = "p-1"

    @staticmethod
    def planner() -> ByName:
        """Return a planner that has each prompt prefilled at the watched instance."""
        return ByName(HandOverWorld.WATCHED)

    @staticmethod
    def rows() -> list[Instance]:
        """Return one instance of each stage."""
        stages = {HandOverWorld.WATCHED: "prefill", "d-1": "decode"}
        return [
            Instance(
                id=name, backend="engine", address=f"{name}:1", zone="z1", slots=8, state=READY, stage=stage
            )
            for name, stage in stages.items()
        ]

    def form(self, instance: str) -> Form:
        """Return the framing: handles from the prefill instance, streams from the decode instance."""
        return Form(reads_prompts=instance == self.WATCHED, streams=instance != self.WATCHED)

    def arrived(self, line: Line, arrival: Arrival) -> None:
        """Answer decode requests at once, and check that each carries its own handle."""
        super().arrived(line, arrival)
        if line.instance == self.WATCHED:
            return
        own = f"{self.WATCHED}:1/".encode() + handle_of(arrival.id)
        if arrival.kv_from not in (b"", own):
            self.violate(f"MIXED: {arrival.id!r} goes on from {arrival.kv_from!r}")
        rejected = self.setting.first_rejected and arrival.id == FIRST
        self.loop.call_soon(line.reject if rejected else line.answer)

    def judge(self, call: Call) -> None:
        """Check also that no handle reaches a client."""
        super().judge(call)
        if b"kv_handle" in call.channel.data:
            raise Violation(f"MIXED: {call.id!r} got the answer to the reading of its prompt")


class Explorer:
    """Explores all event orders up to a depth."""

    def __init__(self, setting: Setting, routes: Configuration) -> None:
        self._setting, self._routes = setting, routes
        self._loop = ModelLoop()
        self.runs = 0

    def explore(self, depth: int) -> None:
        """Explore all event orders.

        Raises:
            Violation: the first violation, with its event order.
        """
        with patch.object(time, "monotonic", self._loop.time):
            try:
                self._extend((), depth)
            finally:
                self._loop.close()

    def _extend(self, events: tuple[str, ...], depth: int) -> None:
        for event in self._play(events):
            if depth:
                self._extend((*events, event), depth - 1)

    def _play(self, events: tuple[str, ...]) -> list[str]:
        self.runs += 1
        try:
            return self._loop.run_until_complete(self._order(events))
        except Violation as violation:
            raise Violation(f"{violation}; after {', '.join(events)}; {self._setting}") from None

    async def _order(self, events: tuple[str, ...]) -> list[str]:
        kind = HandOverWorld if self._setting.hands_over else World
        world = kind.__new__(kind)
        held = attempt.MAX_BUFFERED_BYTES if self._setting.held else 1
        with (
            patch.object(link_pool, "connect", world.connect),
            patch.object(attempt, "MAX_BUFFERED_BYTES", held),
        ):
            world.__init__(self._setting, self._routes)  # type: ignore[misc]
            await world.settle()
            for event in events:
                await world.act(event)
            following = world.enabled()
            await world.finish()
            world.gateway.pool.close()
            await world.settle()
        return following
