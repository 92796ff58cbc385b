"""Runs the discovery watches of gateways on a simulated clock, against a stand-in discovery service.

`Gateway`, its watch, `Link` and the framing are real; `Wire` replaces only the socket channel. The loop's
clock jumps to the next timer, so minutes of a fleet take a second and the same seed gives the same run.
"""

from __future__ import annotations

import asyncio
import json
import random
import re
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field, replace

from project_paths import EXAMPLE

from mallowbeam.http.client import Link, RequestNotSentError
from mallowbeam.http.framing import Framer
from mallowbeam.storage_gateway.scheduler.interface import DiscoveryUpdateKind
from mallowbeam.storage_gateway.server import config as configs
from mallowbeam.storage_gateway.server.gateway import Gateway

QUEUE = 1.0  # longest time in seconds that a call waits in discovery's queue before it is rejected


class Jumping(asyncio.SelectorEventLoop):
    """An event loop whose clock jumps to the next timer, so that no real time passes."""

    def __init__(self) -> None:
        super().__init__()
        self.at, real_select = 100.0, self._selector.select

        def select(timeout: float | None = None) -> list:
            assert timeout is not None, "no timer is pending: the simulation would wait forever"
            self.at += timeout
            return real_select(0)

        self._selector.select = select

    def time(self) -> float:
        """The simulated time, in seconds."""
        return self.at


def simulate(main: Callable[[], Awaitable]) -> object:
    """Run `main` to its end on a simulated clock."""
    with asyncio.Runner(loop_factory=Jumping) as runner:
        return runner.run(main())


class Wire:
    """A connection to the stand-in service; replaces the socket channel."""

    def __init__(self, service: Service, max_body: int) -> None:
        self.service, self.framer = service, Framer(answers=True, max_body=max_body)
        self.bytes_sent = 0
        self.received: asyncio.Queue[bytes | None] = asyncio.Queue()
        self.task: asyncio.Task | None = None
        self.served = False  # a later call on this connection continues a watch

    async def send(self, data: bytes) -> None:
        """Start answering a request; `data` holds the complete request."""
        since = re.search(rb"since=(\d+)&timeout_ms=(\d+)", data)
        call = (int(since[1]), int(since[2]) / 1000) if since else (None, 0.0)
        self.task = asyncio.create_task(self.service.answer(self, *call))

    async def receive(self) -> bool:
        """Feed received bytes to the framer; False at the end of the stream, raises ConnectionResetError."""
        data = await self.received.get()
        if data is None:
            raise ConnectionResetError("reset")
        self.framer.feed(memoryview(data))
        return bool(data)

    def put(self, status: int, body: bytes, sent: float = 1.0) -> None:
        """Queue the first `sent` (a fraction) of an answer."""
        whole = b"HTTP/1.1 %d OK\r\ncontent-length: %d\r\n\r\n%b" % (status, len(body), body)
        self.received.put_nowait(whole[: int(len(whole) * sent)])

    def close(self) -> None:
        """Cancel the call in flight."""
        if self.task is not None:
            self.task.cancel()


@dataclass
class Service:
    """Discovery, or an agent: first available, then failing in one way, then available with a newer list.

    A call that began during the outage keeps failing after it: the worst case of a recovery. `delay` returns
    the seconds that a call waits in the queue and whether it is served.
    """

    failing: str
    delay: Callable[[], tuple[float, bool]]
    down: bool = False
    revision: int = 1
    calls: list[float] = field(default_factory=list)  # arrival times of calls that do not continue a watch
    changed: asyncio.Event = field(default_factory=asyncio.Event)  # set once the state changes
    back: float = 0.0  # time of the last change, after the outage that of the recovery

    async def connect(self, address: str, timeout: float, max_body: int) -> Link:
        """Replacement of `upstream.connect`."""
        if self.down and self.failing == "refused":
            raise RequestNotSentError("refused")
        if self.down and self.failing == "lost":
            await asyncio.sleep(timeout)
            raise RequestNotSentError("connecting timed out")
        return Link(Wire(self, max_body), address)

    async def answer(self, wire: Wire, since: int | None, wait: float) -> None:
        """Answer one call, or fail it; `wait` is the long-poll timeout in seconds."""
        seconds, served = 0.0, True
        if not wire.served:
            self.calls.append(asyncio.get_running_loop().time())
        if not self.down:
            if not wire.served:
                seconds, served = self.delay()
            await self._wait_for_change(seconds)
            if not self.down and not served:
                return wire.put(503, b"")
            if not self.down and since is not None and since >= self.revision:
                await self._wait_for_change(wait)  # long poll: until the list changes
            if not self.down:
                wire.served = True
                text = {"revision": self.revision, "complete": True, "members": []}
                return wire.put(200, json.dumps(text).encode())
        match self.failing:
            case "reset" | "refused":
                wire.received.put_nowait(None)
                return None
            case "503":
                await asyncio.sleep(QUEUE)
                wire.put(503, b"")
                return None
            case "half":
                wire.put(200, b"x" * 100, sent=0.7)
                return None
            case "cut":
                wire.put(200, b"x" * 100, sent=0.7)
                wire.received.put_nowait(b"")
                return None
            # "silent", "lost": no answer, and the connection stays open

    async def _wait_for_change(self, seconds: float) -> None:
        try:
            async with asyncio.timeout(seconds):
                await self.changed.wait()
        except TimeoutError:
            pass

    def turn(self, down: bool) -> None:
        """Begin the outage, or end it with a newer list."""
        self.down, self.revision = down, self.revision + (not down)
        self.back = asyncio.get_running_loop().time()
        self.changed.set()
        self.changed = asyncio.Event()


class Turns:
    """Discovery's queue: serves `rate` calls a second in order; rejects calls that would wait over QUEUE."""

    def __init__(self, rate: float) -> None:
        self.work, self.free_at = 1.0 / rate, 0.0

    def __call__(self) -> tuple[float, bool]:
        """Return how long a call waits from now, and whether it is served; a rejected call costs work too."""
        now = asyncio.get_running_loop().time()
        self.free_at = max(now, self.free_at) + self.work
        return min(QUEUE, self.free_at - now), self.free_at <= now + QUEUE


RAW = json.loads((EXAMPLE / "config.json").read_text())
CONFIG = configs.decode_config(RAW | {"known": RAW["known"] | {"members": []}}, {})


def gateway(service: Service, on_list: Callable[[int], None], seed: int, hosts: int, pushed: bool) -> Gateway:
    """Build a gateway that only watches; `on_list` is called with the revision of each applied list."""
    config = CONFIG
    settings = replace(config.settings, seed=seed, hosts=hosts, discovery_on_request=not pushed)
    host = Gateway(replace(config, settings=settings))
    host.epoch, host.now = 0.0, asyncio.get_running_loop().time
    host.watch.draw = random.Random(seed).random
    update_nodes = host.update_nodes

    def listing(*args) -> None:
        update_nodes(*args)
        on_list(args[0].revision)

    host.update_nodes = listing
    update_nodes(config.known, DiscoveryUpdateKind.CACHED)
    if pushed:
        host.watch.begin()
    return host


async def outage(
    service: Service, rng: random.Random, hosts: int, pushed: bool = False, alive: int | None = None
) -> list[float | None]:
    """Run a fleet, or `alive` gateways of it, through one outage.

    The gateways start over 4 s; the outage takes 2 to 18 s.

    Returns:
        For each gateway the seconds from the end of the outage until it has the newer list; None if it has
        not received it within 30 s.
    """
    loop, received_at = asyncio.get_running_loop(), {}
    fleet: list[Gateway] = []

    def start(number: int) -> None:
        def on_list(revision: int) -> None:
            if revision > 1:
                received_at.setdefault(number, loop.time())

        fleet.append(gateway(service, on_list, rng.randrange(1 << 30), hosts, pushed))

    count = alive or hosts
    for number in range(count):
        loop.call_later(4.0 * rng.random(), start, number)
    await asyncio.sleep(6.0 + 4.0 * rng.random())
    service.turn(down=True)
    await asyncio.sleep(2.0 + 16.0 * rng.random())
    service.turn(down=False)
    while len(received_at) < count and loop.time() < service.back + 30.0:
        await asyncio.sleep(0.5)
    for host in fleet:
        host.watch.pause()
    return [received_at[number] - service.back if number in received_at else None for number in range(count)]
