"""Gateways' watches on a simulated clock: real `Gateway`, `Watch`, `Link` and module, a stand-in discovery.

The loop's clock jumps to the next timer, so minutes of a fleet take a second and the same seed gives the same
run.  Only the socket is a stand-in: `Wire` takes the place of a channel, beneath the real framing.
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

QUEUE = 1.0  # seconds that a call waits in discovery's queue before it is turned away, at most


class Jumping(asyncio.SelectorEventLoop):
    """A loop whose clock jumps to the next timer: no real time passes."""

    def __init__(self) -> None:
        super().__init__()
        self.at, real = 100.0, self._selector.select

        def select(timeout: float | None = None) -> list:
            assert timeout is not None, "nothing will ever happen again"
            self.at += timeout
            return real(0)

        self._selector.select = select

    def time(self) -> float:
        """The simulated time, in seconds."""
        return self.at


def simulate(main: Callable[[], Awaitable]) -> object:
    """Run to the end on a simulated clock."""
    with asyncio.Runner(loop_factory=Jumping) as runner:
        return runner.run(main())


class Wire:
    """A connection to the stand-in, in the place of a channel."""

    def __init__(self, service: Service, max_body: int) -> None:
        self.service, self.framer = service, Framer(answers=True, max_body=max_body)
        self.bytes_sent = 0
        self.coming: asyncio.Queue[bytes | None] = asyncio.Queue()
        self.task: asyncio.Task | None = None
        self.served = False  # a call that follows on it continues a watch

    async def send(self, data: bytes) -> None:
        """A whole request."""
        since = re.search(rb"since=(\d+)&timeout_ms=(\d+)", data)
        call = (int(since[1]), int(since[2]) / 1000) if since else (None, 0.0)
        self.task = asyncio.create_task(self.service.answer(self, *call))

    async def receive(self) -> bool:
        """What comes back: bytes, the end (empty), or a reset (None)."""
        data = await self.coming.get()
        if data is None:
            raise ConnectionResetError("reset")
        self.framer.feed(memoryview(data))
        return bool(data)

    def put(self, status: int, body: bytes, sent: float = 1.0) -> None:
        """An answer, or the first part of one."""
        whole = b"HTTP/1.1 %d OK\r\ncontent-length: %d\r\n\r\n%b" % (status, len(body), body)
        self.coming.put_nowait(whole[: int(len(whole) * sent)])

    def close(self) -> None:
        """The gateway gives up what is out."""
        if self.task is not None:
            self.task.cancel()


@dataclass
class Service:
    """Discovery, or an agent: up at first, then failing in one way, then up with a newer list.

    A call that began while it failed stays as it is: the worst phase of a return.  `delay` gives the seconds
    in its queue and whether a call is served.
    """

    failing: str
    delay: Callable[[], tuple[float, bool]]
    down: bool = False
    revision: int = 1
    calls: list[float] = field(default_factory=list)  # when one reached it that continues no watch
    changed: asyncio.Event = field(default_factory=asyncio.Event)  # it goes down, or has news
    back: float = 0.0  # when it was up again

    async def connect(self, address: str, timeout: float, max_body: int) -> Link:
        """In the place of `upstream.connect`."""
        if self.down and self.failing == "refused":
            raise RequestNotSentError("refused")
        if self.down and self.failing == "lost":
            await asyncio.sleep(timeout)
            raise RequestNotSentError("the connection never came up")
        return Link(Wire(self, max_body), address)

    async def answer(self, wire: Wire, since: int | None, wait: float) -> None:
        """One call, to its end."""
        seconds, served = 0.0, True
        if not wire.served:
            self.calls.append(asyncio.get_running_loop().time())
        if not self.down:
            if not wire.served:
                seconds, served = self.delay()
            await self._unless_down(seconds)
            if not self.down and not served:
                return wire.put(503, b"")
            if not self.down and since is not None and since >= self.revision:
                await self._unless_down(wait)  # or until there is news
            if not self.down:
                wire.served = True
                text = {"revision": self.revision, "complete": True, "members": []}
                return wire.put(200, json.dumps(text).encode())
        match self.failing:
            case "reset" | "refused":
                wire.coming.put_nowait(None)
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
                wire.coming.put_nowait(b"")
                return None
            # "silent", "lost": nothing comes, and nothing ends

    async def _unless_down(self, seconds: float) -> None:
        try:
            async with asyncio.timeout(seconds):
                await self.changed.wait()
        except TimeoutError:
            pass

    def turn(self, down: bool) -> None:
        """Fail from now on, or be up again with a newer list."""
        self.down, self.revision = down, self.revision + (not down)
        self.back = asyncio.get_running_loop().time()
        self.changed.set()
        self.changed = asyncio.Event()


class Turns:
    """Discovery's queue: calls in turn, `rate` a second; who would wait longer than QUEUE is turned away."""

    def __init__(self, rate: float) -> None:
        self.work, self.free_at = 1.0 / rate, 0.0

    def __call__(self) -> tuple[float, bool]:
        """How long a call that comes now waits, and whether it is served; one turned away costs work too."""
        now = asyncio.get_running_loop().time()
        self.free_at = max(now, self.free_at) + self.work
        return min(QUEUE, self.free_at - now), self.free_at <= now + QUEUE


RAW = json.loads((EXAMPLE / "config.json").read_text())
CONFIG = configs.decode_config(RAW | {"known": RAW["known"] | {"members": []}}, {})


def gateway(service: Service, told: Callable[[int], None], seed: int, hosts: int, pushed: bool) -> Gateway:
    """A gateway that only watches; `told` gets the revision of each list taken in."""
    config = CONFIG
    settings = replace(config.settings, seed=seed, hosts=hosts, discovery_on_request=not pushed)
    host = Gateway(replace(config, settings=settings))
    host.epoch, host.now = 0.0, asyncio.get_running_loop().time
    host.watch.draw = random.Random(seed).random
    taken = host.update_nodes

    def listing(*args) -> None:
        taken(*args)
        told(args[0].revision)

    host.update_nodes = listing
    taken(config.known, DiscoveryUpdateKind.CACHED)
    if pushed:
        host.watch.begin()
    return host


async def outage(
    service: Service, rng: random.Random, hosts: int, pushed: bool = False, alive: int | None = None
) -> list[float | None]:
    """A fleet, or `alive` of it, through one outage: seconds from its end to when each has the news.

    They start over 4 s; the outage takes 2 to 18 s.
    """
    loop, told = asyncio.get_running_loop(), {}
    fleet: list[Gateway] = []

    def start(n: int) -> None:
        def heard(revision: int) -> None:
            if revision > 1:
                told.setdefault(n, loop.time())

        fleet.append(gateway(service, heard, rng.randrange(1 << 30), hosts, pushed))

    count = alive or hosts
    for n in range(count):
        loop.call_later(4.0 * rng.random(), start, n)
    await asyncio.sleep(6.0 + 4.0 * rng.random())
    service.turn(down=True)
    await asyncio.sleep(2.0 + 16.0 * rng.random())
    service.turn(down=False)
    while len(told) < count and loop.time() < service.back + 30.0:
        await asyncio.sleep(0.5)
    for host in fleet:
        host.watch.pause()
    return [told[n] - service.back if n in told else None for n in range(count)]
