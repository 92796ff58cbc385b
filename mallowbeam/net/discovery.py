"""The watch on discovery: a long poll, the next call right after the last answer.

A failed call ends the watch and is told to the module, which alone decides when to watch again.  So is
silence: a call whose wait is over and that nobody ended is a watch that broke without a word, and what it
missed counts as told soon after.  A new configuration may name another address: the call in flight is given
up and the watch goes on there at once.

How long a call waits decides how soon silence shows.  Asked for, the waits are drawn apart, as every gateway
is answered at the same moment and would find the silence, and ask, at the same moment too.  Pushed, the
address is an agent on this machine that answers at no cost: short waits, and shorter ones after silence,
since what the agent gets when it is back counts at once.
"""

from __future__ import annotations

import asyncio
import json
import random
from collections.abc import Callable, Mapping
from typing import NamedTuple

from loguru import logger

from mallowbeam import interface as io
from mallowbeam.errors import MallowbeamError
from mallowbeam.net.http import Message, write_request
from mallowbeam.net.log import Sparse
from mallowbeam.net.upstream import Broken, Link, Unsent, connect

WAITS = (2.0, 4.0)          # seconds that one call may wait for news, drawn: silence counts for 6 s only
OVERDUE = 0.4               # seconds past its wait after which a call has fallen silent
ANSWER = 3.0                # seconds that a call for the whole list may take: discovery turns away sooner
AGENT_WAIT, AGENT_RETRY = 1.0, 0.1  # seconds that a call to the agent waits, and after silence
AGENT_OVERDUE = 0.1         # with the latter, within the time that is granted for a drain
CONNECT_TIMEOUT = 1.0
MAX_LIST = 1024 * 1024      # bytes of a list
STATES = {"up": io.NodeState.READY, "draining": io.NodeState.DRAINING, "removed": io.NodeState.GONE}


class Listing(NamedTuple):
    """A list of nodes, or of changes to it, decoded; `addresses` of those that are up, by node id."""

    revision: int
    complete: bool
    entries: list[io.NodeEntry]
    addresses: dict[str, str]


def read_listing(raw: dict) -> Listing:
    """Discovery's JSON, once into the few values used; raises ValueError, KeyError or TypeError."""
    entries, addresses = [], {}
    for member in raw["members"]:
        state = STATES[member["phase"]]
        entries.append(io.NodeEntry(
            node=str(member["id"]), state=state, shard=int(member.get("cell", 0)),
            zone=str(member.get("locality", "")), since=member.get("up_since_ms", 0) / 1000.0 or None,
            machine=str(member.get("flavor", "")), weight=float(member.get("size", 1.0))))
        if state is io.NodeState.READY:
            addresses[str(member["id"])] = str(member["host_port"])
    return Listing(int(raw["revision"]), bool(raw["complete"]), entries, addresses)


def write_listing(revision: int, complete: bool, entries: list[io.NodeEntry],
                  addresses: Mapping[str, str]) -> dict:
    """A list in discovery's JSON, as `read_listing` reads it."""
    phases = {state: phase for phase, state in STATES.items()}
    return {"revision": revision, "complete": complete, "members": [
        {"id": e.node, "host_port": addresses.get(e.node, ""), "locality": e.zone, "flavor": e.machine,
         "cell": e.shard, "phase": phases[e.state], "size": e.weight,
         "up_since_ms": round((e.since or 0.0) * 1000)} for e in entries]}


class Silent(MallowbeamError):
    """A call was not answered, and not ended either: its watch is broken."""

    remedy = "if it goes on, look at discovery and at the way to it"


class Watch:
    """Follows the list of nodes while asked to; `told` gets each list, or how the watch ended.

    `pushed` says that discovery is an agent on this machine; `draw` gives random numbers from 0 to 1.
    """

    def __init__(self, address: str, revision: int, told: Callable[[Listing | io.ListKind], None],
                 pushed: bool = False, draw: Callable[[], float] = random.random) -> None:
        self.address, self.told, self.pushed, self.draw = address, told, pushed, draw
        self.revision: int | None = revision   # None: ask for the whole list first
        self.silent = False                    # the last call fell silent
        self.failed, self.fell_silent = Sparse("discovery call failed"), Sparse("discovery fell silent")
        self.task: asyncio.Task | None = None

    def begin(self) -> None:
        """Start watching, unless a watch goes on."""
        if self.task is None or self.task.done():
            self.task = asyncio.create_task(self._run())

    def pause(self) -> None:
        """Watch no more, until told to begin again."""
        if self.task is not None:
            self.task.cancel()
            self.task = None

    def move(self, address: str) -> None:
        """Watch at another address from now on."""
        if address == self.address:
            return
        # Guards against changes missed between the two: what is at the new address may count its lists anew.
        self.address, self.revision = address, None
        self.pause()
        self.begin()

    async def _run(self) -> None:
        link, ended = None, io.ListKind.FAILED
        try:
            while True:
                if link is None:
                    link = await connect(self.address, CONNECT_TIMEOUT, MAX_LIST)
                answer = await self._call(link)
                listing = read_listing(json.loads(answer.body))
                self.revision, self.silent = listing.revision, False
                self.told(listing)
                if not link.reusable(answer):
                    link.close()
                    link = None
        except Silent:
            ended, self.silent = io.ListKind.SILENT, True
            self.fell_silent("asked anew")
        except (Unsent, Broken, TimeoutError, ValueError, KeyError, TypeError) as error:
            self.failed(str(error) or type(error).__name__)
        except Exception as error:
            # Guards the watch itself: a fault with one list must not end the sight of all later ones.
            logger.opt(exception=error).error("a list failed unforeseen")
        finally:
            if link is not None:
                link.close()
        self.task = None
        self.told(ended)

    def _times(self) -> tuple[float, float]:
        """How long the next call may wait for news, and after how long it has fallen silent."""
        if self.pushed:
            wait = AGENT_RETRY if self.silent else AGENT_WAIT
            return wait, wait + AGENT_OVERDUE
        wait = WAITS[0] + (WAITS[1] - WAITS[0]) * self.draw()
        return wait, wait + OVERDUE

    async def _call(self, link: Link) -> Message:
        """One long poll, or one call for the whole list, over a kept connection; raises `Silent`."""
        target, (wait, silent) = b"/v1/servers", self._times()
        if self.revision is not None:
            target += b"?since=%d&timeout_ms=%d" % (self.revision, wait * 1000)
        elif not self.pushed:
            silent = ANSWER
        try:
            async with asyncio.timeout(silent):
                await link.request(write_request(b"GET", target, [(b"host", self.address.encode())]))
                answer = await link.head()
                await link.body(answer)
        except TimeoutError:
            raise Silent("neither answered nor ended") from None
        if answer.status != 200:
            raise Broken(f"status {answer.status}")
        return answer
