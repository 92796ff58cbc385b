"""An asyncio event loop on a simulated machine, on which complete roles run.

It implements what the roles use: callbacks, timers, futures, tasks, stream connections and servers. While a
step runs, :func:`time.monotonic` is the machine's monotonic clock. After the process has ended no step runs,
including finalizers of its objects.
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
from mallowbeam.simulation.machine import Machine, State
from mallowbeam.simulation.stream import Endpoint, StreamHandlers, StreamOptions

Result = TypeVar("Result")
Arguments = TypeVarTuple("Arguments")


class SimulatedLoop(asyncio.AbstractEventLoop):
    """The event loop of one incarnation of a machine's process."""

    def __init__(self, machine: Machine, streams: Streams) -> None:
        self._machine = machine
        self._streams = streams
        self._incarnation = machine.incarnation
        self.failures: list[dict[str, Any]] = []  # contexts of unhandled exceptions

    @property
    def alive(self) -> bool:
        """Whether the process for which the loop was made still exists."""
        return self._machine.incarnation == self._incarnation and self._machine.state is not State.OFF

    def enter(self, step: Step) -> None:
        """Run a step of the process with this loop as the running loop."""
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
        """The machine's monotonic clock, in seconds."""
        return self._machine.clock()

    def call_soon(
        self,
        callback: Callable[[Unpack[Arguments]], object],
        *args: Unpack[Arguments],
        context: Context | None = None,
    ) -> asyncio.Handle:
        """Run a callback as a separate step, as soon as possible."""
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
        """Same as `call_soon`: the simulation has no threads."""
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
        """Run a callback at a time of the monotonic clock, in seconds."""
        handle = asyncio.TimerHandle(when, callback, args, self, context)
        if self.alive:
            self._machine.later(when - self.time(), lambda: self._run_handle(handle))
        return handle

    def _run_handle(self, handle: asyncio.Handle) -> None:
        if not handle.cancelled():
            self.enter(handle._run)

    def _timer_handle_cancelled(self, handle: asyncio.TimerHandle) -> None:
        """Do nothing: `_run_handle` skips cancelled handles."""

    # ------------------------------------------------------------ futures and tasks

    def create_future(self) -> asyncio.Future[Any]:
        """Create a future of this loop."""
        return asyncio.Future(loop=self)

    def create_task(
        self,
        coro: Coroutine[Any, Any, Result] | Generator[Any, None, Result],
        *,
        name: str | None = None,
        context: Context | None = None,
    ) -> asyncio.Task[Result]:
        """Create a task of this loop."""
        return asyncio.Task(coro, loop=self, name=name, context=context)

    def call_exception_handler(self, context: dict[str, Any]) -> None:
        """Record an unhandled exception for the checks, unless the process has ended."""
        if self.alive:
            self.failures.append(context)

    def default_exception_handler(self, context: dict[str, Any]) -> None:
        """Same as `call_exception_handler`."""
        self.call_exception_handler(context)

    def get_debug(self) -> bool:
        """Return False: asyncio's debug mode is off."""
        return False

    def is_running(self) -> bool:
        """Whether the process exists and steps run."""
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
        """Open a stream to an address; raises OSError if it is refused."""
        endpoint_future: asyncio.Future[Endpoint] = self.create_future()

        def opened(endpoint: Endpoint) -> None:
            if endpoint_future.done():
                endpoint.abort()
            else:
                endpoint_future.set_result(endpoint)

        def refused(error: OSError) -> None:
            if not endpoint_future.done():
                endpoint_future.set_exception(error)

        dial = Dial(
            lambda endpoint: self.enter(lambda: opened(endpoint)),
            lambda error: self.enter(lambda: refused(error)),
        )
        self._streams.connect(self._machine, host, port, dial)
        try:
            endpoint = await endpoint_future
        finally:
            dial.cancelled = True
        protocol = protocol_factory()
        return SimulatedTransport(self, endpoint, protocol), protocol

    async def create_server(  # type: ignore[override]
        self,
        protocol_factory: Callable[[], asyncio.Protocol],
        host: str,
        port: int,
        **_: object,
    ) -> SimulatedServer:
        """Accept connections at an address of this machine; raises OSError if it is in use or not local."""
        if host not in (self._machine.ip, "0.0.0.0", ""):
            raise OSError(f"{host}: cannot assign requested address")

        def accept(endpoint: Endpoint) -> None:
            self.enter(lambda: self._connection_accepted(endpoint, protocol_factory()))

        self._streams.listen(self._machine, port, accept)
        return SimulatedServer(self, self._streams, self._machine, port)

    def _connection_accepted(self, endpoint: Endpoint, protocol: asyncio.Protocol) -> None:
        """Attach a transport to an accepted connection; the endpoint keeps it alive."""
        SimulatedTransport(self, endpoint, protocol)


def new_loop(machine: Machine, streams: Streams) -> SimulatedLoop:
    """Create the event loop of a process that has just started."""
    return SimulatedLoop(machine, streams)  # type: ignore[abstract]  # no role uses the missing methods


class SimulatedServer(asyncio.AbstractServer):
    """A listening port of a machine."""

    def __init__(self, loop: SimulatedLoop, streams: Streams, machine: Machine, port: int) -> None:
        self._loop = loop
        self._streams = streams
        self._machine = machine
        self._port = port
        self._serving = True

    def get_loop(self) -> SimulatedLoop:
        """Return the loop that serves the port."""
        return self._loop

    async def start_serving(self) -> None:
        """Do nothing: the server accepts connections once it is created."""

    async def serve_forever(self) -> None:
        """Wait until cancelled."""
        await self._loop.create_future()

    def close(self) -> None:
        """Stop accepting connections."""
        if self._serving:
            self._serving = False
            self._streams.stop_listening(self._machine, self._port)

    def is_serving(self) -> bool:
        """Whether connections are accepted."""
        return self._serving

    async def wait_closed(self) -> None:
        """Do nothing: `close` takes effect at once."""


class SimulatedSocket:
    """The socket options that a protocol may set on its connection."""

    def __init__(self, endpoint: Endpoint) -> None:
        self._endpoint = endpoint

    def setsockopt(self, level: int, option: int, value: int) -> None:
        """Set an option, in the units of the kernel (ms or s); ignores options that are not simulated."""
        options: StreamOptions = self._endpoint.options
        match (level, option):
            case (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT):
                options.user_timeout = value / 1000
            case (socket.SOL_SOCKET, socket.SO_KEEPALIVE):
                options.keepalive_idle = options.keepalive_idle or options.keepalive_interval
                self._endpoint.start_keepalive()
            case (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE):
                options.keepalive_idle = float(value)
            case (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL):
                options.keepalive_interval = float(value)
            case (socket.IPPROTO_TCP, socket.TCP_KEEPCNT):
                options.keepalive_probes = value


class SimulatedTransport(asyncio.Transport):
    """An asyncio transport on one endpoint of a stream."""

    def __init__(self, loop: SimulatedLoop, endpoint: Endpoint, protocol: asyncio.Protocol) -> None:
        super().__init__()
        self._loop = loop
        self._endpoint = endpoint
        self._protocol = protocol
        self._closing = False
        protocol.connection_made(self)
        endpoint.attach(
            StreamHandlers(
                received=lambda data: loop.enter(lambda: protocol.data_received(data)),
                ended=lambda: loop.enter(self._eof_received),
                lost=lambda error: loop.enter(lambda: self._connection_lost(error)),
            )
        )

    def get_extra_info(self, name: str, default: Any = None) -> Any:
        """Return `socket`, `sockname` or `peername`; else the default."""
        assert self._endpoint.peer is not None
        extra_info = {
            "socket": SimulatedSocket(self._endpoint),
            "sockname": self._endpoint.address,
            "peername": self._endpoint.peer.address,
        }
        return extra_info.get(name, default)

    def write(self, data: bytes | bytearray | memoryview) -> None:
        """Queue bytes to be sent."""
        if not self._closing:
            self._endpoint.write(bytes(data))

    def get_write_buffer_size(self) -> int:
        """Return the number of bytes that the peer's kernel has not acknowledged."""
        return self._endpoint.unsent

    def is_closing(self) -> bool:
        """Whether the connection is closing or closed."""
        return self._closing or self._endpoint.closed

    def close(self) -> None:
        """Close the connection once all queued bytes are sent."""
        if not self._closing:
            self._closing = True
            self._endpoint.close()

    def abort(self) -> None:
        """Close the connection at once and drop queued bytes."""
        self._closing = True
        self._endpoint.abort()

    def pause_reading(self) -> None:
        """Stop delivering received bytes to the protocol."""
        self._endpoint.set_reading(False)

    def resume_reading(self) -> None:
        """Deliver received bytes to the protocol again."""
        self._endpoint.set_reading(True)

    def is_reading(self) -> bool:
        """Whether received bytes are delivered to the protocol."""
        return self._endpoint.reading

    def _eof_received(self) -> None:
        if not self._protocol.eof_received():
            self.close()

    def _connection_lost(self, error: OSError | None) -> None:
        self._closing = True
        self._protocol.connection_lost(error)
