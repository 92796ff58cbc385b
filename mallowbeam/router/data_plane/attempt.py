"""One attempt: a request on one connection to one instance, up to its answer's head or its complete body.

The attempt owns its connection until `release`, which may be called again and again; what has run is the
matter of `outcomes`.
"""

from __future__ import annotations

import asyncio
import time
from dataclasses import dataclass

from mallowbeam.http.client import (
    ConnectionBrokenError,
    ConnectionLimitError,
    Link,
    RemoteProtocolError,
    RequestNotSentError,
)
from mallowbeam.http.framing import Headers, Message, write_request
from mallowbeam.router.data_plane.client_request import ClientRequest
from mallowbeam.router.data_plane.fleet_view import FleetView
from mallowbeam.router.data_plane.link_pool import LinkPool
from mallowbeam.router.data_plane.outcomes import SUCCESS, AttemptEnd, judge_answer, names_another
from mallowbeam.router.rpc.messages_pb2 import Instance

BUFFERED_BYTES = 64 * 1024  # an answer up to this size is buffered completely before any of it is forwarded
WAY_BACK_S = 0.005  # of the time that is left, kept for the answer's way back
MOST_LATE_ANSWERS = 4  # to other requests, in front of the one that is due
REJECTION_BODY_S = 0.2  # for the rest of an answer that is not forwarded; else its connection closes
EVENT_STREAM = b"text/event-stream"


@dataclass(frozen=True, slots=True)
class SendOrder:
    """What is sent, and where."""

    backend: str
    instance: str
    request: ClientRequest
    extra: Headers  # the gateway's own headers
    deadline: float  # monotonic time by which the answer must be there
    signed: bool = True  # whether a success carries its instance's signature
    once: bool = False  # it may not be sent again: waited for past a late answer


class Attempt:
    """A request that was sent, or could not be."""

    def __init__(self, pool: LinkPool, view: FleetView) -> None:
        self._pool = pool
        self._view = view
        self.link: Link | None = None
        self.instance = ""
        self.answer: Message | None = None
        self._bodiless = False  # the answer is to a HEAD

    async def send(self, order: SendOrder) -> AttemptEnd:
        """Send and wait for the answer's head; small answers that are no streams are read completely."""
        try:
            async with asyncio.timeout(order.deadline - time.monotonic()):
                return await self._send(order)
        except TimeoutError:
            end = AttemptEnd.TIMED_OUT
        except ConnectionLimitError:
            return AttemptEnd.NO_CAPACITY
        except RequestNotSentError:
            end = AttemptEnd.NOT_SENT
        except ConnectionBrokenError:
            end = AttemptEnd.BROKEN
        if self.link is None:
            return AttemptEnd.NO_CONNECTION
        # An instance may run, and answer, what it has read in part: only no byte at all is proven unsent.
        if not self.link.begun:
            end = AttemptEnd.NOT_SENT
        elif end is AttemptEnd.NOT_SENT:
            end = AttemptEnd.BROKEN
        self.release()
        return end

    @property
    def streams(self) -> bool:
        """Whether the answer is an event stream: a success of that type, with a body."""
        answer = self.answer
        if answer is None or self._bodiless or answer.status not in SUCCESS:
            return False
        kind = answer.get(b"content-type")
        return kind is not None and kind.partition(b";")[0].strip().lower() == EVENT_STREAM

    def release(self) -> None:
        """Keep the connection if its answer was read completely, else close it."""
        link, self.link = self.link, None
        if link is not None:
            self._pool.give_back(self.instance, link, self.answer)

    async def _send(self, order: SendOrder) -> AttemptEnd:
        address = self._address(order)
        if address is None:
            return AttemptEnd.NO_CAPACITY
        self.instance = order.instance
        link = await self._pool.take(order.instance, address, self._view.most_connections(order.backend))
        self.link = link
        # The instance may have begun to drain, or have gone, while a connection came up.
        if self._address(order) != address:
            self.release()
            return AttemptEnd.NO_CAPACITY
        first = not link.idle_since
        request = order.request
        left_ms = max(1, int((order.deadline - WAY_BACK_S - time.monotonic()) * 1000))
        headers = request.headers_with(
            [*order.extra, (b"target-instance", order.instance.encode()), (b"deadline-ms", b"%d" % left_ms)]
        )
        head = write_request(request.method, request.target, headers, len(request.body))
        self._bodiless = request.method == b"HEAD"
        answer = await link.round_trip(head, request.body, self._bodiless)
        if order.once and not first:
            answer = await self._own_answer(link, answer, request.request_id)
        self.answer = answer
        end = judge_answer(answer, request.request_id, first, order.signed)
        if end is AttemptEnd.BROKEN:
            answer.keep_alive = False
            self.release()
        elif end in (AttemptEnd.REJECTED, AttemptEnd.MISDIRECTED):
            await self._read_rejection(link, answer)
        elif not self.streams:
            await link.exceeds(answer, BUFFERED_BYTES, None, None)
        return end

    async def _own_answer(self, link: Link, answer: Message, request_id: bytes) -> Message:
        """The answer itself, past late ones that name earlier requests; the connection is not used again."""
        late = 0
        while names_another(answer, request_id):
            late += 1
            if late > MOST_LATE_ANSWERS:
                raise RemoteProtocolError("answers to other requests without end")
            await link.read_body(answer)
            answer = await link.read_head()
        answer.keep_alive = answer.keep_alive and not late
        return answer

    async def _read_rejection(self, link: Link, answer: Message) -> None:
        """Read what is left of an answer that goes to nobody, so that its connection can be used again."""
        try:
            async with asyncio.timeout(REJECTION_BODY_S):
                await link.read_body(answer)
        except (TimeoutError, ConnectionBrokenError):
            pass  # its head has said that nothing ran
        self.release()

    def _address(self, order: SendOrder) -> str | None:
        # The answer to a call that has only the prompt read, and no other, is not signed.
        instance: Instance | None = self._view.usable(order.instance, order.backend, reads=not order.signed)
        return instance.address if instance is not None else None
