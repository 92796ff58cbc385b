"""The watch on discovery: a long poll, the next call right after the last answer.

A failed call ends the watch and is told to the module, which alone decides when to watch again.  So is
silence: a call whose wait is over and that nobody ended is a watch that broke without a word, and what it
missed counts as told soon after.  A new configuration may name another address: the call in flight is given
up and the watch goes on there at once.

How long a call waits decides how soon silence shows.  Asked for, the waits are drawn apart, as every gateway
is answered at the same moment and would find the silence, and ask, at the same moment too.  Pushed, the
address is an agent on this machine that answers at no cost, and what it gets when it is back counts at once.
The first call after a failure waits for next to no news: it may be out in vain while discovery comes back.
"""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable
from http import HTTPStatus

from loguru import logger

from mallowbeam.errors import MallowbeamError
from mallowbeam.http.client import ConnectionBrokenError, Link, RequestNotSentError, connect
from mallowbeam.http.framing import Message, write_request
from mallowbeam.storage_gateway.scheduler.interface import DiscoveryUpdateKind
from mallowbeam.storage_gateway.server.listing import Listing, NodeListError, decode_listing
from mallowbeam.storage_gateway.server.log import RateLimitedWarning

# What discovery has, and could be asked for, counts as told 6 s later, whatever call failed.  In the worst
# phase it is back just after a call began that still runs into its time-out; then comes the module's longest
# draw (MAX_WATCH_RETRY_S in `scheduler/node_health.py`), then the next call, which is answered or turned away
# after a second in discovery's queue: ANSWER + 2.2 + 1.0 = 5.4 s.  Where the first was an open watch that
# fell silent, the module asks at once: WAITS[1] + OVERDUE + 1.0 = 5.4 s.  At an agent:
# AGENT_RETRY + AGENT_OVERDUE + 0.05 s.
WAITS = (2.0, 4.0)  # seconds that one call may wait for news, drawn: silence counts for 6 s only
OVERDUE = 0.4  # seconds past its wait after which a call has fallen silent
ANSWER = 2.2  # seconds for a call that waits for no news, with its connection, queue and answer
NO_WAIT = 0.1  # seconds for news in the first call after a failure
AGENT_WAIT, AGENT_RETRY = 1.0, 0.1  # seconds that a call to the agent waits, and after a failure
AGENT_OVERDUE = 0.1  # with the latter, within the time that is granted for a drain
CONNECT_TIMEOUT = 1.0
MAX_LIST = 1024 * 1024  # bytes of a list
LOST = 1.0  # seconds to the next call where the module could not be told of a failure


class DiscoverySilentError(MallowbeamError):
    """A call was not answered, and not ended either: its watch is broken."""

    error_name = "Silent"
    remedy = "if it goes on, look at discovery and at the way to it"


class Watch:
    """Follows the list of nodes while asked to; `told` gets each list, or how the watch ended.

    `pushed` says that discovery is an agent on this machine; `draw` gives random numbers from 0 to 1.
    """

    def __init__(
        self,
        address: str,
        revision: int,
        told: Callable[[Listing | DiscoveryUpdateKind], None],
        pushed: bool = False,
        draw: Callable[[], float] = random.random,
    ) -> None:
        self.address, self.told, self.pushed, self.draw = address, told, pushed, draw
        self.revision: int | None = revision  # None: ask for the whole list first
        self.anew = False  # the last call failed or fell silent
        self.paused = False  # the other process of this gateway watches for both
        self.failed, self.fell_silent = (
            RateLimitedWarning("discovery call failed"),
            RateLimitedWarning("discovery fell silent"),
        )
        self.task: asyncio.Task[None] | None = None

    def begin(self) -> None:
        """Start watching, unless a watch goes on or it is another process's matter."""
        if not self.paused and (self.task is None or self.task.done()):
            self.task = asyncio.create_task(self._run())

    def pause(self) -> None:
        """Watch no more until `resume`, whatever the module asks for: a failed call's repeat may be due."""
        self.paused = True
        self._give_up()

    def resume(self) -> None:
        """Watch again."""
        self.paused = False
        self.begin()

    def move(self, address: str) -> None:
        """Watch at another address from now on, unless paused."""
        if address == self.address:
            return
        # Guards against changes missed between the two: what is at the new address may count its lists anew.
        self.address, self.revision = address, None
        self._give_up()
        self.begin()

    def update_from_peer(self, listing: Listing, address: str, take: Callable[[Listing], None]) -> None:
        """Take in a list that the other process heard at an address, if it is news here.

        Guards against going back: neither a list that is no newer nor one of an address left counts.
        """
        if address == self.address and (self.revision is None or listing.revision > self.revision):
            self._known(listing, take)

    def _give_up(self) -> None:
        """End the call in flight; a cancelled task tells nobody anything."""
        if self.task is not None:
            self.task.cancel()
            self.task = None

    async def _run(self) -> None:
        link, ended = None, DiscoveryUpdateKind.FAILED
        try:
            while True:
                asked, (wait, most) = self.revision, self._times()
                try:
                    async with asyncio.timeout(most):
                        if link is None:
                            link = await connect(self.address, CONNECT_TIMEOUT, MAX_LIST)
                        answer = await self._call(link, wait)
                except TimeoutError:
                    raise DiscoverySilentError("neither answered nor ended") from None
                self._take(decode_listing(answer.body), asked)
                if not link.reusable(answer):
                    link.close()
                    link = None
        except DiscoverySilentError:
            ended = DiscoveryUpdateKind.TIMED_OUT
            self.fell_silent("asked anew")
        except (
            RequestNotSentError,
            ConnectionBrokenError,
            ValueError,
        ) as error:  # no good list, or an address that is none
            self.failed(str(error) or type(error).__name__)
        except Exception as error:
            # Guards the watch itself: a fault with one list must not end the sight of all later ones.
            logger.opt(exception=error).error("a list failed unforeseen")
        finally:
            if link is not None:
                link.close()
        self.task, self.anew = None, True
        try:
            self.told(ended)
        except Exception as error:  # the module, which says when to go on, may not have heard
            logger.opt(exception=error).error("a list failed unforeseen")
            asyncio.get_running_loop().call_later(LOST, self.begin)

    def _take(self, listing: Listing, asked: int | None) -> None:
        """Take in the answer to a call that asked for what is newer than `asked`, or for the whole list."""
        self.anew = False
        if self.revision is not None and asked != self.revision and listing.revision <= self.revision:
            return  # the other process has told of it, or of more, meanwhile
        if not listing.complete:
            if asked is None:
                raise NodeListError("changes, where the whole list was asked for")
            if listing.revision < asked:  # it counts anew: what it leaves out is not known
                self.revision = None
                return
        self._known(listing, self.told)

    def _known(self, listing: Listing, take: Callable[[Listing], None]) -> None:
        """Take in a list, which is then known, unless it is changes alone to nothing known.

        Guards the drains of a list that fails midway: neither it nor what of it was taken in is known then.
        """
        before, self.revision = self.revision, None
        take(listing)
        if listing.complete or before is not None:
            self.revision = listing.revision

    def _times(self) -> tuple[float, float]:
        """How long the next call may wait for news, and after how long it has fallen silent."""
        if self.pushed:
            wait = AGENT_RETRY if self.anew else AGENT_WAIT
            return wait, wait + AGENT_OVERDUE
        if self.anew or self.revision is None:
            return NO_WAIT, ANSWER
        wait = WAITS[0] + (WAITS[1] - WAITS[0]) * self.draw()
        return wait, wait + OVERDUE

    async def _call(self, link: Link, wait: float) -> Message:
        """One long poll, or one call for the complete list, on a connection.

        Raises `RequestNotSentError` and `ConnectionBrokenError`.
        """
        target = b"/v1/servers"
        if self.revision is not None:
            target += b"?since=%d&timeout_ms=%d" % (self.revision, wait * 1000)
        await link.request(write_request(b"GET", target, [(b"host", self.address.encode())]))
        answer = await link.read_head()
        await link.read_body(answer)
        if answer.status != HTTPStatus.OK:
            raise ConnectionBrokenError(f"status {answer.status}")
        return answer
