"""The watch on discovery: a long poll, repeated as soon as the last call is answered.

A failed call ends the watch and is reported to the scheduler, which alone decides when to watch again.  A
call that is neither answered nor closed in time is reported as timed out: its connection is broken, and the
gateway is accountable for the lists it missed soon after.  A new configuration may change the address: the
call in flight is cancelled and the watch continues at the new address at once.

The wait of a call determines how soon a broken connection is detected.  When discovery is polled on request,
the waits are randomized: discovery answers all gateways at the same moment, so with equal waits all of them
would time out and retry at the same moment too.  When lists are pushed, the address is an agent on this
machine; its answers cost nothing, and the gateway is accountable at once for a list that the agent receives
after an outage.  The first call after a failure has a very short wait: it may hang while discovery returns.
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

# The gateway must act on a list within 6 s of discovery having it and being reachable, whichever call failed.
# In the worst case discovery is back just after a call began that still times out; then follow the
# scheduler's longest retry delay (MAX_WATCH_RETRY_S in `scheduler/node_health.py`) and the next call, which
# is answered or rejected after a second in discovery's queue: RESPONSE_TIMEOUT_S + 2.2 + 1.0 = 5.4 s.  If the
# first was an open watch that timed out, the scheduler retries at once: LONG_POLL_RANGE_S[1] +
# TIMEOUT_MARGIN_S + 1.0 = 5.4 s.  With an agent: AGENT_RETRY_WAIT_S + AGENT_TIMEOUT_MARGIN_S + 0.05 s.
LONG_POLL_RANGE_S = (2.0, 4.0)  # seconds a long poll waits for a change, drawn from this range; see the 6 s
TIMEOUT_MARGIN_S = 0.4  # seconds past its wait after which a call has timed out
RESPONSE_TIMEOUT_S = 2.2  # seconds for a call without a long poll: connecting, queueing and the response
RETRY_WAIT_S = 0.1  # seconds that the first call after a failure waits for a change
AGENT_WAIT_S, AGENT_RETRY_WAIT_S = 1.0, 0.1  # the wait of a call to the agent, and after a failure
AGENT_TIMEOUT_MARGIN_S = 0.1  # seconds; with AGENT_RETRY_WAIT_S within the grace period of a drain
CONNECT_TIMEOUT_S = 1.0
MAX_LIST_BYTES = 1024 * 1024  # bytes of a list's JSON
REPORT_RETRY_S = 1.0  # seconds to the next call if reporting a failure to the scheduler raised an error


class DiscoverySilentError(MallowbeamError):
    """A call was neither answered nor closed in time: the connection is broken."""

    error_name = "Silent"
    remedy = "if it goes on, look at discovery and at the way to it"


class Watch:
    """Follows the list of nodes; `on_update` gets each list, or the reason why the watch ended.

    `pushed` says that discovery is an agent on this machine; `draw` returns random numbers from 0 to 1.
    """

    def __init__(
        self,
        address: str,
        revision: int,
        on_update: Callable[[Listing | DiscoveryUpdateKind], None],
        pushed: bool = False,
        draw: Callable[[], float] = random.random,
    ) -> None:
        self.address, self.on_update, self.pushed, self.draw = address, on_update, pushed, draw
        self.revision: int | None = revision  # None: request the full list first
        self.last_call_failed = False  # the last call failed or timed out
        self.paused = False  # the other process of this gateway watches for both
        self.warn_failed, self.warn_timed_out = (
            RateLimitedWarning("discovery call failed"),
            RateLimitedWarning("discovery call timed out"),
        )
        self.task: asyncio.Task[None] | None = None

    def begin(self) -> None:
        """Starts watching, unless a watch is running or the other process watches."""
        if not self.paused and (self.task is None or self.task.done()):
            self.task = asyncio.create_task(self._run())

    def pause(self) -> None:
        """Stops watching until `resume`, even if the scheduler requests a watch, as a retry may be due."""
        self.paused = True
        self._cancel_call()

    def resume(self) -> None:
        """Resumes watching."""
        self.paused = False
        self.begin()

    def move(self, address: str) -> None:
        """Changes the address and continues watching there, unless paused."""
        if address == self.address:
            return
        # Requests the full list: the new address may number its lists anew, so changes could be missed.
        self.address, self.revision = address, None
        self._cancel_call()
        self.begin()

    def update_from_peer(self, listing: Listing, address: str, apply: Callable[[Listing], None]) -> None:
        """Applies a list that the other process received from an address, if it is newer than the one known.

        A list that is not newer, or comes from an address no longer watched, is ignored.
        """
        if address == self.address and (self.revision is None or listing.revision > self.revision):
            self._apply(listing, apply)

    def _cancel_call(self) -> None:
        """Cancels the call in flight; a cancelled task reports nothing."""
        if self.task is not None:
            self.task.cancel()
            self.task = None

    async def _run(self) -> None:
        link, ended = None, DiscoveryUpdateKind.FAILED
        try:
            while True:
                since, (wait, timeout_s) = self.revision, self._call_times()
                try:
                    async with asyncio.timeout(timeout_s):
                        if link is None:
                            link = await connect(self.address, CONNECT_TIMEOUT_S, MAX_LIST_BYTES)
                        answer = await self._call(link, wait)
                except TimeoutError:
                    raise DiscoverySilentError("no response in time") from None
                self._apply_response(decode_listing(answer.body), since)
                if not link.reusable(answer):
                    link.close()
                    link = None
        except DiscoverySilentError:
            ended = DiscoveryUpdateKind.TIMED_OUT
            self.warn_timed_out("retrying")
        except (
            RequestNotSentError,
            ConnectionBrokenError,
            ValueError,
        ) as error:  # an invalid list or address
            self.warn_failed(str(error) or type(error).__name__)
        except Exception as error:
            # An error with one list must not end the watch on all later ones.
            logger.opt(exception=error).error("unexpected error while applying a node list")
        finally:
            if link is not None:
                link.close()
        self.task, self.last_call_failed = None, True
        try:
            self.on_update(ended)
        except Exception as error:  # the scheduler, which decides on retries, may not know
            logger.opt(exception=error).error("unexpected error while applying a node list")
            asyncio.get_running_loop().call_later(REPORT_RETRY_S, self.begin)

    def _apply_response(self, listing: Listing, since: int | None) -> None:
        """Applies the list requested since revision `since`, or the full list if `since` is None."""
        self.last_call_failed = False
        if self.revision is not None and since != self.revision and listing.revision <= self.revision:
            return  # the other process has sent this list or a newer one meanwhile
        if not listing.complete:
            if since is None:
                raise NodeListError("received changes instead of the requested full list")
            if listing.revision < since:  # the numbering restarted, so the changes in between are unknown
                self.revision = None
                return
        self._apply(listing, self.on_update)

    def _apply(self, listing: Listing, apply: Callable[[Listing], None]) -> None:
        """Applies a list and records its revision, unless it holds changes to an unknown list.

        If applying fails midway no revision is recorded, so the full list is requested and no drain is lost.
        """
        before, self.revision = self.revision, None
        apply(listing)
        if listing.complete or before is not None:
            self.revision = listing.revision

    def _call_times(self) -> tuple[float, float]:
        """Returns for the next call the seconds to wait for a change, and those after which it times out."""
        if self.pushed:
            wait = AGENT_RETRY_WAIT_S if self.last_call_failed else AGENT_WAIT_S
            return wait, wait + AGENT_TIMEOUT_MARGIN_S
        if self.last_call_failed or self.revision is None:
            return RETRY_WAIT_S, RESPONSE_TIMEOUT_S
        wait = LONG_POLL_RANGE_S[0] + (LONG_POLL_RANGE_S[1] - LONG_POLL_RANGE_S[0]) * self.draw()
        return wait, wait + TIMEOUT_MARGIN_S

    async def _call(self, link: Link, wait: float) -> Message:
        """Makes one call on a connection: a long poll for changes, or a request for the full list.

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
