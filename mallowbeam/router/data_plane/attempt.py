"""One attempt: a request on one connection to one instance, up to its answer's head or its complete body.

The attempt owns its connection until `release`, which is idempotent.  Module `outcomes` decides whether the
request may have run.
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
from mallowbeam.router.data_plane.outcomes import SUCCESS, AttemptEnd, is_late_answer, judge_answer
from mallowbeam.router.rpc.messages_pb2 import Instance

MAX_BUFFERED_BYTES = 64 * 1024  # an answer up to this size is read completely before any of it is forwarded
MAX_LATE_ANSWERS = 4  # answers to earlier requests that are skipped before the expected one
REJECTION_BODY_TIMEOUT_S = 0.2  # time to read the rest of a rejection; after it the connection is closed
EVENT_STREAM = b"text/event-stream"


@dataclass(frozen=True, slots=True)
class OutboundRequest:
    """A request to send, and the instance to send it to."""

    backend: str
    instance: str
    request: ClientRequest
    added_headers: Headers  # headers that the gateway adds
    deadline: float  # monotonic time by which the answer must have begun, or arrived if it is small
    instance_deadline: float  # monotonic time at which the instance is to cease work
    signed: bool = True  # whether a successful answer must carry the instance's signature
    send_once: bool = False  # it may not be sent again, so late answers to earlier requests are skipped


class Attempt:
    """One attempt to send a request to an instance."""

    def __init__(self, pool: LinkPool, view: FleetView) -> None:
        self._pool = pool
        self._view = view
        self.link: Link | None = None
        self.instance = ""
        self.answer: Message | None = None
        self._bodiless = False  # the answer is to a HEAD request

    async def send(self, outbound: OutboundRequest) -> AttemptEnd:
        """Send the request and wait for the answer's head.

        A small answer is read completely unless it is a stream.
        """
        try:
            async with asyncio.timeout(outbound.deadline - time.monotonic()):
                return await self._send(outbound)
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
        # An instance may run and answer a request that it has read only in part, so the request is proven
        # unsent only if the kernel accepted no byte of it.
        if not self.link.write_started:
            end = AttemptEnd.NOT_SENT
        elif end is AttemptEnd.NOT_SENT:
            end = AttemptEnd.BROKEN
        self.release()
        return end

    @property
    def streams(self) -> bool:
        """Whether the answer is an event stream: a success with that content type and a body."""
        answer = self.answer
        if answer is None or self._bodiless or answer.status not in SUCCESS:
            return False
        kind = answer.get(b"content-type")
        return kind is not None and kind.partition(b";")[0].strip().lower() == EVENT_STREAM

    def release(self) -> None:
        """Return the connection to the pool if its answer was read completely, else close it."""
        link, self.link = self.link, None
        if link is not None:
            self._pool.give_back(self.instance, link, self.answer)

    async def _send(self, outbound: OutboundRequest) -> AttemptEnd:
        address = self._address(outbound)
        if address is None:
            return AttemptEnd.NO_CAPACITY
        self.instance = outbound.instance
        link = await self._pool.take(
            outbound.instance, address, self._view.connection_limit(outbound.backend)
        )
        self.link = link
        # The instance may have started to drain or have ended while the connection was being opened.
        if self._address(outbound) != address:
            self.release()
            return AttemptEnd.NO_CAPACITY
        first_on_connection = not link.idle_since
        request = outbound.request
        remaining_ms = max(1, int((outbound.instance_deadline - time.monotonic()) * 1000))
        headers = request.headers_with(
            [
                *outbound.added_headers,
                (b"target-instance", outbound.instance.encode()),
                (b"deadline-ms", b"%d" % remaining_ms),
            ]
        )
        head = write_request(request.method, request.target, headers, len(request.body))
        self._bodiless = request.method == b"HEAD"
        answer = await link.round_trip(head, request.body, self._bodiless)
        if outbound.send_once and not first_on_connection:
            answer = await self._skip_late_answers(link, answer, request.request_id)
        self.answer = answer
        end = judge_answer(answer, request.request_id, first_on_connection, outbound.signed)
        if end is AttemptEnd.BROKEN:
            answer.keep_alive = False
            self.release()
        elif end in (AttemptEnd.REJECTED, AttemptEnd.MISDIRECTED):
            await self._read_rejection(link, answer)
        elif not self.streams:
            await link.exceeds(answer, MAX_BUFFERED_BYTES, None, None)
        return end

    async def _skip_late_answers(self, link: Link, answer: Message, request_id: bytes) -> Message:
        """Return the answer to this request, skipping late answers to earlier ones.

        A connection on which an answer was skipped is not reused.

        Raises:
            RemoteProtocolError: more than `MAX_LATE_ANSWERS` answers were to other requests.
        """
        late = 0
        while is_late_answer(answer, request_id):
            late += 1
            if late > MAX_LATE_ANSWERS:
                raise RemoteProtocolError("too many answers to other requests")
            await link.read_body(answer)
            answer = await link.read_head()
        answer.keep_alive = answer.keep_alive and not late
        return answer

    async def _read_rejection(self, link: Link, answer: Message) -> None:
        """Read the rest of an answer that is not forwarded, so that its connection can be reused."""
        try:
            async with asyncio.timeout(REJECTION_BODY_TIMEOUT_S):
                await link.read_body(answer)
        except (TimeoutError, ConnectionBrokenError):
            pass  # the head already proves that the request did not run
        self.release()

    def _address(self, outbound: OutboundRequest) -> str | None:
        # `signed` is False only for prefill calls, whose answers carry no signature.
        instance: Instance | None = self._view.usable(
            outbound.instance, outbound.backend, for_prefill=not outbound.signed
        )
        return instance.address if instance is not None else None
