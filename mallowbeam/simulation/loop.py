"""An asyncio event loop on a simulated machine, so that whole roles run there: tasks, timers, connections.

Only what the roles use is there: callbacks, timers, futures, tasks, stream connections and servers. While
a step runs, :func:`time.monotonic` is the machine's steady clock. A process that has ended takes no step
any more, nor does what is collected of it later.
"""

from __future__ import annotations

import asyncio
import socket
import time
from asyncio import events
from collections.abc import Callable, Coroutine, Generator
from contextvars import Context
from typing import Any, TypeVar, TypeVarTuple, Unpack

from mallowbeam.simulation.clock import Step
from mallowbeam.simulation.dialing import Dial, Streams
from mallowbeam.simulation.machine import Machine
from mallowbeam.simulation.stream import Endpoint, StreamHandlers, StreamOptions

Result = TypeVar("Result")
Arguments = TypeVarTuple("Arguments")


class SimulatedLoop(asyncio.AbstractEventLoop):
    """The event loop of one process: of one start of a machine."""

    def __init__(self, machine: Machine, streams: Streams) -> None:
        self._machine, self._streams = machine, streams
        self._incarnation = machine.incarnation
        self.failures: list[dict[str, Any]] = []  # what nobody handled

    @property
    def alive(self) -> bool:
        """Whether the process is still the one that the loop was made for."""
        return self._machine.incarnation == self._incarnation and self._machine.state.value != "off"

    def enter(self, step: Step) -> None:
        """Run a step of the process inside this loop."""
        if not self.alive:
            return
        real_clock = time.monotonic
        time.monotonic = self._machine.clock
        events._set_running_loop(self)
        try:
            step()
        finally:
            events._set_running_loop(None)
            time.monotonic = real_clock

    # ------------------------------------------------------------ callbacks and timers

    def time(self) -> float:
        """The machine's steady clock, in seconds."""
        return self._machine.clock()

    def call_soon(
        self,
        callback: Callable[[Unpack[Arguments]], object],
        *args: Unpack[Arguments],
        context: Context | None = None,
    ) -> asyncio.Handle:
        """Run a callback in a step of its own."""
        handle = asyncio.Handle(callback, args, self, context)
        if self.alive:
            self._machine.after_true(0.0, lambda: self._run_handle(handle))
        return handle

    def call_soon_threadsafe(
        self,
        callback: Callable[[Unpack[Arguments]], object],
        *args: Unpack[Arguments],
        context: Context | None = None,
    ) -> asyncio.Handle:
        """As `call_soon`: there are no threads here."""
        return self.call_soon(callback, *args, context=context)

    def call_later(
        self,
        delay: float,
        callback: Callable[[Unpack[Arguments]], object],
        *args: Unpack[Arguments],
        context: Context | None = None,
    ) -> asyncio.TimerHandle:
        """Run a callback after a delay in seconds."""
        return self.call_at(self.time() + delay, callback, *args, context=context)

    def call_at(
        self,
        when: float,
        callback: Callable[[Unpack[Arguments]], object],
        *args: Unpack[Arguments],
        context: Context | None = None,
    ) -> asyncio.TimerHandle:
        """Run a callback at a time of the steady clock."""
        handle = asyncio.TimerHandle(when, callback, args, self, context)
        if self.alive:
            self._machine.later(when - self.time(), lambda: self._run_handle(handle))
        return handle

    def _run_handle(self, handle: asyncio.Handle) -> None:
        if not handle.cancelled():
            self.enter(handle._run)

    def _timer_handle_cancelled(self, handle: asyncio.TimerHandle) -> None:
        """The handle itself knows that it is cancelled."""

    # ------------------------------------------------------------ futures and tasks

    def create_future(self) -> asyncio.Future[Any]:
        """A future of this loop."""
        return asyncio.Future(loop=self)

    def create_task(
        self,
        coro: Coroutine[Any, Any, Result] | Generator[Any, None, Result],
        *,
        name: str | None = None,
        context: Context | None = None,
    ) -> asyncio.Task[Result]:
        """A task of this loop."""
        return asyncio.Task(coro, loop=self, name=name, context=context)

    def call_exception_handler(self, context: dict[str, Any]) -> None:
        """Keep what nobody handled, for a check; what is collected after the process ended is nobody's."""
        if self.alive:
            self.failures.append(context)

    def default_exception_handler(self, context: dict[str, Any]) -> None:
        """As any other."""
        self.call_exception_handler(context)

    def get_debug(self) -> bool:
        """No checks of asyncio's own."""
        return False

    def is_running(self) -> bool:
        """Whether steps are taken."""
        return self.alive

    def is_closed(self) -> bool:
        """Whether the process has ended."""
        return not self.alive

    # ------------------------------------------------------------ connections

    async def create_connection(  # type: ignore[override]
        self,
        protocol_factory: Callable[[], asyncio.Protocol],
        host: str,
        port: int,
        **_: object,
    ) -> tuple[asyncio.Transport, asyncio.Protocol]:
        """Open a stream to an address; raises OSError where it is refused."""
        opening: asyncio.Future[Endpoint] = self.create_future()

        def opened(endpoint: Endpoint) -> None:
            if opening.done():
                endpoint.abort()
            else:
                opening.set_result(endpoint)

        def refused(error: OSError) -> None:
            if not opening.done():
                opening.set_exception(error)

        dial = Dial(
            lambda endpoint: self.enter(lambda: opened(endpoint)),
            lambda error: self.enter(lambda: refused(error)),
        )
        self._streams.connect(self._machine, host, port, dial)
        try:
            endpoint = await opening
        finally:
            dial.given_up = True
        protocol = protocol_factory()
        return SimulatedTransport(self, endpoint, protocol), protocol

    async def create_server(  # type: ignore[override]
        self,
        protocol_factory: Callable[[], asyncio.Protocol],
        host: str,
        port: int,
        **_: object,
    ) -> SimulatedServer:
        """Take connections at an address of this machine; raises OSError where it is taken."""
        if host not in (self._machine.ip, "0.0.0.0", ""):
            raise OSError(f"{host}: cannot assign requested address")

        def accept(endpoint: Endpoint) -> None:
            self.enter(lambda: self._made(endpoint, protocol_factory()))

        self._streams.listen(self._machine, port, accept)
        return SimulatedServer(self, self._streams, self._machine, port)

    def _made(self, endpoint: Endpoint, protocol: asyncio.Protocol) -> None:
        """A connection came in; its endpoint keeps the transport."""
        SimulatedTransport(self, endpoint, protocol)


def new_loop(machine: Machine, streams: Streams) -> SimulatedLoop:
    """The event loop of a process that has just been started."""
    return SimulatedLoop(machine, streams)  # type: ignore[abstract]  # the rest is used by no role


class SimulatedServer(asyncio.AbstractServer):
    """A listening port."""

    def __init__(self, loop: SimulatedLoop, streams: Streams, machine: Machine, port: int) -> None:
        self._loop, self._streams, self._machine, self._port = loop, streams, machine, port
        self._serving = True

    def get_loop(self) -> SimulatedLoop:
        """The loop that serves it."""
        return self._loop

    async def start_serving(self) -> None:
        """It serves from the first moment on."""

    async def serve_forever(self) -> None:
        """Wait for ever."""
        await self._loop.create_future()

    def close(self) -> None:
        """Take no more connections."""
        if self._serving:
            self._serving = False
            self._streams.stop_listening(self._machine, self._port)

    def is_serving(self) -> bool:
        """Whether connections are taken."""
        return self._serving

    async def wait_closed(self) -> None:
        """Nothing is left to wait for."""


class SimulatedSocket:
    """What a protocol may set on its socket."""

    def __init__(self, endpoint: Endpoint) -> None:
        self._endpoint = endpoint

    def setsockopt(self, level: int, option: int, value: int) -> None:
        """Set an option; those that change nothing here are taken and left aside."""
        options: StreamOptions = self._endpoint.options
        match (level, option):
            case (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT):
                options.user_timeout = value / 1000
            case (socket.SOL_SOCKET, socket.SO_KEEPALIVE):
                options.keepalive_idle = options.keepalive_idle or options.keepalive_every
                self._endpoint.probe()
            case (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE):
                options.keepalive_idle = float(value)
            case (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL):
                options.keepalive_every = float(value)
            case (socket.IPPROTO_TCP, socket.TCP_KEEPCNT):
                options.keepalive_probes = value


class SimulatedTransport(asyncio.Transport):
    """A protocol's side of a stream."""

    def __init__(self, loop: SimulatedLoop, endpoint: Endpoint, protocol: asyncio.Protocol) -> None:
        super().__init__()
        self._loop, self._endpoint, self._protocol = loop, endpoint, protocol
        self._closing = False
        protocol.connection_made(self)
        endpoint.attach(
            StreamHandlers(
                received=lambda data: loop.enter(lambda: protocol.data_received(data)),
                ended=lambda: loop.enter(self._ended),
                lost=lambda error: loop.enter(lambda: self._lost(error)),
            )
        )

    def get_extra_info(self, name: str, default: Any = None) -> Any:
        """The socket and the two addresses."""
        assert self._endpoint.peer is not None
        known = {
            "socket": SimulatedSocket(self._endpoint),
            "sockname": self._endpoint.address,
            "peername": self._endpoint.peer.address,
        }
        return known.get(name, default)

    def write(self, data: bytes | bytearray | memoryview) -> None:
        """Send bytes."""
        if not self._closing:
            self._endpoint.write(bytes(data))

    def get_write_buffer_size(self) -> int:
        """Bytes that the peer's kernel has not taken."""
        return self._endpoint.unsent

    def is_closing(self) -> bool:
        """Whether the connection is ending or over."""
        return self._closing or self._endpoint.closed

    def close(self) -> None:
        """End the connection once all is sent."""
        if not self._closing:
            self._closing = True
            self._endpoint.close()

    def abort(self) -> None:
        """End the connection at once."""
        self._closing = True
        self._endpoint.abort()

    def pause_reading(self) -> None:
        """Leave what comes in."""
        self._endpoint.set_reading(False)

    def resume_reading(self) -> None:
        """Take what comes in."""
        self._endpoint.set_reading(True)

    def is_reading(self) -> bool:
        """Whether what comes in is taken."""
        return self._endpoint.reading

    def _ended(self) -> None:
        if not self._protocol.eof_received():
            self.close()

    def _lost(self, error: OSError | None) -> None:
        self._closing = True
        self._protocol.connection_lost(error)
