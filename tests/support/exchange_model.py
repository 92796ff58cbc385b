"""A model of two successive client requests at one instance, with events in any order; no sockets, no waits.

The complete gateway code runs, from `ClientFrontend` down to `http.framing.Channel`, over the stand-in
sockets of `exchange_sockets`.  Its behaviour is checked against what the instances received; see `Violation`.
"""

from __future__ import annotations

import asyncio
import time
from dataclasses import dataclass, replace
from unittest.mock import patch

from exchange_sockets import (
    HEAD_END,
    UNLIMITED_WINDOW_BYTES,
    AnswerFraming,
    Arrival,
    InstanceConnection,
    ModelLoop,
    answer_body,
    handle_of,
)
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
LARGE_BODY_BYTES = 24 * 1024  # larger than a body that the gateway joins with the head for one write
SMALL_BODY_BYTES = 8
SMALL_WINDOW_BYTES = 4 * 1024  # bytes of a large request that the kernel accepts before the instance reads on
IDLE_WAIT_S = 0.03  # longer than the pool's delay between two requests on a connection
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
    buffered: bool = True  # small answers are read completely before they are forwarded
    connections: int = 1  # limit for each instance; with 1, a connection is reused without delay
    idempotent: bool = False  # requests of the route may run more than once
    separate_prefill: bool = False  # prompts are prefilled separately, at the watched instance
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


class ClientCall:
    """One client request and the client's answer."""

    def __init__(self, model: GatewayModel, id: bytes) -> None:
        self.id = id
        self.looks_complete = False  # whether the answer looks complete to the client
        self.reply: Response | None = None
        self.channel = ClientChannel()
        self.task = asyncio.get_running_loop().create_task(self._run(model.front, model.request(id)))

    async def _run(self, front: ClientFrontend, request: Message) -> None:
        self.reply = await front.handle(request, lambda: False)
        if self.reply.write is None:
            await self.channel.send(self.reply.data)
            self.looks_complete = True
        else:
            self.looks_complete = await self.reply.write(self.channel)  # type: ignore[arg-type]


class GatewayModel:
    """A gateway with two instances; `execute` runs one event."""

    WATCHED = "i-1"  # the instance to which events happen

    def __init__(self, setting: Setting, routes: Configuration) -> None:
        self.setting = setting
        self.instance_connections: list[InstanceConnection] = []
        self.violations: list[str] = []  # recorded during the run, possibly in a task that nothing awaits
        self.arrivals: list[tuple[InstanceConnection, Arrival]] = []
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
        self.calls = [ClientCall(self, FIRST)]

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

    def answer_framing(self, instance: str) -> AnswerFraming:
        """Return how an instance frames its answers."""
        return AnswerFraming(self.setting.until_close, b"stream" in self.setting.target)

    def arrived(self, connection: InstanceConnection, arrival: Arrival) -> None:
        """Record a request head at an instance; the second instance answers idempotent requests at once."""
        self.arrivals.append((connection, arrival))
        if self.setting.idempotent and connection.instance == "i-2":
            self.loop.call_soon(connection.answer)

    def report_violation(self, text: str) -> None:
        """Record a violation."""
        self.violations.append(text)

    async def connect(self, address: str, *_: object) -> Link:
        """Replace `http.client.connect`."""
        instance = address.partition(":")[0]
        first = self.setting.large and not self.instance_connections
        connection = InstanceConnection(
            self,
            instance,
            SMALL_WINDOW_BYTES if first else UNLIMITED_WINDOW_BYTES,
            self.answer_framing(instance),
        )
        self.instance_connections.append(connection)
        return Link(Channel(connection.sock, Framer(answers=True)), address)  # type: ignore[arg-type]

    def request(self, id: bytes) -> Message:
        """Return a client request."""
        message = Message()
        length = LARGE_BODY_BYTES if self.setting.large and id == FIRST else SMALL_BODY_BYTES
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
    def connection(self) -> InstanceConnection | None:
        """The connection most recently opened to the watched instance."""
        return next(
            (
                connection
                for connection in reversed(self.instance_connections)
                if connection.instance == self.WATCHED
            ),
            None,
        )

    def possible_events(self) -> list[str]:
        """Return the events that are possible next."""
        call = self.calls[-1]
        events: list[str] = []
        if call.task.done():
            events += ["next"] if len(self.calls) == 1 else []
        else:
            events += ["cancel", "timeout"]
        connection = self.connection
        if connection is None or connection.ended or connection.sock.closed:
            return events
        events += ["end", "reset"]
        due = connection.pending_arrival
        if due is not None and not connection.sent_completely(due):
            events += ["answer", "answer+end", "answer+reset"]
            events += ["half", "reject"] if not due.sent else []
            events += ["cancel+answer", "timeout+answer"] if not call.task.done() else []
            events += ["answer+repeat"] if not self.setting.until_close else []
        if due is None or not due.sent:  # otherwise the bytes would be part of that answer's body
            events += ["noise"]
            events += ["repeat", "nameless"] if connection.can_repeat else []
        if not connection.sock.window:
            events += ["open", "open+reset"]
        if call.task.done() and len(self.calls) == 1 and self.setting.connections > 1:
            events += ["rest"]
        return events

    async def execute(self, event: str) -> None:
        """Execute an event; parts joined by + happen in the same step."""
        for part in event.split("+"):
            self._execute_part(part)
        await self.settle()

    def _execute_part(self, part: str) -> None:
        connection, call = self.connection, self.calls[-1]
        if part == "next":
            self.calls.append(ClientCall(self, SECOND))
        elif part == "cancel":
            call.task.cancel()
        elif part == "timeout":
            self.loop.at += BEYOND_DEADLINE_S  # type: ignore[attr-defined]
        elif part == "rest":
            self.loop.at += IDLE_WAIT_S  # type: ignore[attr-defined]
        else:
            assert connection is not None
            {
                "answer": connection.answer,
                "half": lambda: connection.answer(0.8),
                "reject": connection.reject,
                "repeat": connection.repeat,
                "nameless": lambda: connection.repeat(named=False),
                "noise": connection.noise,
                "end": connection.end,
                "reset": connection.reset,
                "open": connection.sock.open_window,
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
            self.check(call)

    def check(self, call: ClientCall) -> None:
        """Check a client's answer against what the instances did."""
        if not call.task.cancelled():
            call.task.result()  # re-raises an exception of the gateway
        seen = [
            arrival
            for connection, arrival in self.arrivals
            if arrival.id == call.id and not connection.answer_framing.is_prefill
        ]
        may_run = [arrival for arrival in seen if not arrival.rejected]
        if len(may_run) > 1 and not self.setting.idempotent:
            raise Violation(f"TWICE: {call.id!r} went out {len(may_run)} times and may have run each time")
        if call.reply is None:
            return
        if call.reply.status in NOT_RUN_STATUSES and may_run:
            raise Violation(f"REFUSED: {call.id!r} may have run and was answered {call.reply.status}")
        self._check_body(call, [arrival for arrival in may_run if arrival.answered])

    @staticmethod
    def _check_body(call: ClientCall, answered: list[Arrival]) -> None:
        other = SECOND if call.id == FIRST else FIRST
        if other in call.channel.data:
            raise Violation(f"MIXED: {call.id!r} got an answer to {other!r}")
        if call.reply is None or call.reply.status != 200:
            return
        if call.looks_complete and not answered:
            raise Violation(f"MIXED: {call.id!r} got an answer that looks complete and is not")
        bodies = {answer_body(call.id)[: arrival.body_sent] for arrival in answered}
        if call.looks_complete and call.channel.body() not in bodies:
            raise Violation(f"MIXED: {call.id!r} got another body")


class HandOverModel(GatewayModel):
    """Prompts are prefilled at the watched instance and answered at one that never fails."""

    WATCHED = "p-1"

    @staticmethod
    def planner() -> ByName:
        """Return a planner that has each prompt prefilled at the watched instance."""
        return ByName(HandOverModel.WATCHED)

    @staticmethod
    def rows() -> list[Instance]:
        """Return one instance of each stage."""
        stages = {HandOverModel.WATCHED: "prefill", "d-1": "decode"}
        return [
            Instance(
                id=name, backend="engine", address=f"{name}:1", zone="z1", slots=8, state=READY, stage=stage
            )
            for name, stage in stages.items()
        ]

    def answer_framing(self, instance: str) -> AnswerFraming:
        """Return the framing: handles from the prefill instance, streams from the decode instance."""
        return AnswerFraming(is_prefill=instance == self.WATCHED, streams=instance != self.WATCHED)

    def arrived(self, connection: InstanceConnection, arrival: Arrival) -> None:
        """Answer decode requests at once, and check that each carries its own handle."""
        super().arrived(connection, arrival)
        if connection.instance == self.WATCHED:
            return
        own = f"{self.WATCHED}:1/".encode() + handle_of(arrival.id)
        if arrival.kv_from not in (b"", own):
            self.report_violation(f"MIXED: {arrival.id!r} goes on from {arrival.kv_from!r}")
        rejected = self.setting.first_rejected and arrival.id == FIRST
        self.loop.call_soon(connection.reject if rejected else connection.answer)

    def check(self, call: ClientCall) -> None:
        """Check also that no handle reaches a client."""
        super().check(call)
        if b"kv_handle" in call.channel.data:
            raise Violation(f"MIXED: {call.id!r} got the answer to its prefill call")


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
        for event in self._replay(events):
            if depth:
                self._extend((*events, event), depth - 1)

    def _replay(self, events: tuple[str, ...]) -> list[str]:
        self.runs += 1
        try:
            return self._loop.run_until_complete(self._run_events(events))
        except Violation as violation:
            raise Violation(f"{violation}; after {', '.join(events)}; {self._setting}") from None

    async def _run_events(self, events: tuple[str, ...]) -> list[str]:
        kind = HandOverModel if self._setting.separate_prefill else GatewayModel
        model = kind.__new__(kind)
        buffered = attempt.MAX_BUFFERED_BYTES if self._setting.buffered else 1
        with (
            patch.object(link_pool, "connect", model.connect),
            patch.object(attempt, "MAX_BUFFERED_BYTES", buffered),
        ):
            model.__init__(self._setting, self._routes)  # type: ignore[misc]
            await model.settle()
            for event in events:
                await model.execute(event)
            following = model.possible_events()
            await model.finish()
            model.gateway.pool.close()
            await model.settle()
        return following
