"""The platform's protocol: thin, since the gateway's calls follow it closely."""

from __future__ import annotations

import re
import time
from collections.abc import Callable

from mallowbeam.errors import MallowbeamError
from mallowbeam.http.budget import BodyBudget
from mallowbeam.http.framing import (
    MAX_BUFFERED_BODY_BYTES,
    TOKEN,
    Channel,
    Message,
    use_chunked_encoding,
    write_head,
)
from mallowbeam.http.handler import Response, text_response
from mallowbeam.http.stream import MAX_STREAMED_BYTES, Stream, copy
from mallowbeam.storage_gateway.scheduler.interface import Idempotency
from mallowbeam.storage_gateway.server.calls import (
    Answer,
    AnswerKind,
    Call,
    length_of,
    read_deadline,
    time_left,
)
from mallowbeam.storage_gateway.server.gateway import Gateway
from mallowbeam.storage_gateway.server.health import readiness

TARGET = re.compile(rb"/([^/?]+)/([0-9a-f]{16})/([0-9a-f]{16})(?:\?[\x21-\x7e]{0,1024})?\Z")
REQUEST_ID = re.compile(rb"[0-9a-f]{16}\Z")
EXTENT = re.compile(rb"units=(\d{1,9}),shard=(-?\d{1,9}),hosts=(\d{1,9})\Z")
HELD = 24 * 1024 * 1024  # bytes of bodies held at once, over all connections: memory is bounded
MOST_MS = 3_600_000  # a deadline of over an hour is senseless
STANDSTILL, LEAST = 0.2, 0.05  # of the aim, and seconds: nodes write their small answers in one go
FAILED = 502  # what a client is told of a failure: neither 429 nor 503, which would refuse
REFUSED = 503
RETRY_AFTER = [(b"retry-after", b"0.3")]  # with a refusal that the module has no part in
# Guards nodes against what they might not read, and close on: only what the protocol names is passed on.
PASSED_ON = frozenset(
    (
        b"x-request-id",
        b"x-class",
        b"x-storage-class",
        b"x-extent",
        b"x-retry",
        b"idempotency-key",
        b"content-type",
    )
)
SINGLE = PASSED_ON | {b"x-deadline-ms"}  # and each at most once: readers may differ on which counts


class InvalidRequestError(MallowbeamError):
    """A request that the protocol doesn't allow; the text says why."""

    error_name = "BadRequest"
    remedy = "mend the client that sent it"


class Platform:
    """Turns the platform's requests into calls and answers back."""

    max_body, max_buffered_body = MAX_STREAMED_BYTES, MAX_BUFFERED_BODY_BYTES

    def __init__(self, gateway: Gateway) -> None:
        self.gateway, self.budget = gateway, BodyBudget(min(HELD, gateway.config.memory // 8))

    async def handle(self, request: Message, closing: Callable[[], bool]) -> Response:
        """One request to its one answer."""
        if request.target == b"/healthz" and request.method in (b"GET", b"HEAD"):
            return readiness(self.gateway, closing())
        try:
            call = self.read(request)
        except InvalidRequestError as error:
            return text_response(400, str(error), closing())
        answer = await self.gateway.submit(call)
        if answer.stream is not None:
            return self.streamed(answer, answer.stream, request, closing)
        return self.write(answer, closing())

    def error_response(self, status: int, text: str) -> Response:
        """The answer to what breaks HTTP or a bound."""
        return text_response(status, text, True, RETRY_AFTER if status == REFUSED else None)

    def finished(self, request: Message, status: int, whole: bool) -> None:
        """A request is over: it counts for the class it names."""
        self.gateway.metrics.request_finished(
            (request.get(b"x-class") or b"").decode("latin-1"), status, whole
        )

    def read(self, request: Message) -> Call:
        """A request's call; raises `InvalidRequestError`."""
        settings, headers = self.gateway.config.settings, dict(request.headers)
        if sum(name in SINGLE for name, _ in request.headers) > sum(name in SINGLE for name in headers):
            raise InvalidRequestError("a header of the protocol comes twice")
        path = TARGET.match(request.target)
        if path is None:
            raise InvalidRequestError("the path is not /class/volume/data")
        if request.method not in (b"GET", b"PUT"):
            raise InvalidRequestError("the method is neither GET nor PUT")
        request_id = headers.get(b"x-request-id", b"")
        if not REQUEST_ID.match(request_id) or self.gateway.has_id(request_id.decode()):
            raise InvalidRequestError("X-Request-Id is missing, malformed or in use")
        cls = settings.classes.get(headers.get(b"x-class", b"").decode("latin-1"))
        if cls is None or path[1] != headers[b"x-class"]:
            raise InvalidRequestError("X-Class is missing, unknown or not the path's")
        if cls.writes is not None and cls.writes != (request.method == b"PUT"):
            raise InvalidRequestError("the method is not the class's")
        if request.method == b"GET" and (request.received or request.length):
            raise InvalidRequestError("a read has no body")
        # Guards against effects doubled: without a key, a second attempt would not be dropped as a repeat.
        if not TOKEN.match(
            headers.get(b"idempotency-key", b"" if cls.idempotency is Idempotency.KEYED else b"-")
        ):
            raise InvalidRequestError("Idempotency-Key is missing or malformed")
        plan = settings.plans.get(headers.get(b"x-storage-class", b"").decode("latin-1"))
        if plan is None:
            raise InvalidRequestError("X-Storage-Class is missing or unknown")
        deadline = read_deadline(headers.get(b"x-deadline-ms", b""), MOST_MS)
        if deadline is None:
            raise InvalidRequestError("X-Deadline-Ms is missing or senseless")
        extent = EXTENT.match(headers.get(b"x-extent", b""))
        if extent is None:
            raise InvalidRequestError("X-Extent is missing or malformed")
        # Guards the client's time: it counts from its request's last byte, which may have waited here.
        waited = time.monotonic() - request.completed_at if request.completed_at else 0.0
        units, shard, hosts = (int(part) for part in extent.groups())
        if not 1 <= units <= settings.max_units or shard < -1 or not 1 <= hosts <= settings.hosts:
            raise InvalidRequestError("X-Extent is senseless")
        return Call(
            request_id.decode(),
            {
                "request_class": cls.name,
                "expires_in": time_left(min(deadline, cls.deadline) - waited),
                "shard": None if shard < 0 else shard,
                "units": units,
                "volume": path[2].decode(),
                "plan": plan.name,
                "volume_hosts": hosts,
                "key": path[3].decode(),
                "is_retry": headers.get(b"x-retry") == b"1",
                "is_write": request.method == b"PUT",
            },
            request.method,
            request.target,
            [h for h in request.headers if h[0] in PASSED_ON],
            request.body,
            streamed=(200).__eq__,
            standstill=max(LEAST, cls.latency_target * STANDSTILL),
            hold=MAX_BUFFERED_BODY_BYTES,
            most=MAX_STREAMED_BYTES,
            upload=request.stream,
            length=request.length,
        )

    @staticmethod
    def streamed(answer: Answer, stream: Stream, request: Message, closing: Callable[[], bool]) -> Response:
        """A large answer, passed on as it comes."""
        size = length_of(answer.headers)
        chunked = use_chunked_encoding(request, size)

        async def write(channel: Channel) -> bool:
            try:
                await channel.send(write_head(200, [], size, closing(), chunked))
                return await copy(stream, channel, 0, size, chunked)
            finally:
                stream.close()  # its attempt waits for no client that has gone

        return Response(200, write=write)

    @staticmethod
    def write(answer: Answer, close: bool) -> Response:
        """An answer as the client gets it."""
        if answer.kind is AnswerKind.SERVED:
            return Response(200, write_head(200, [], len(answer.body), close) + answer.body)
        if answer.kind is AnswerKind.FAILED:
            return text_response(FAILED, "failed", close)
        after = answer.retry_after
        return text_response(
            REFUSED, "refused", close, [(b"retry-after", b"%.3f" % after)] if after else None
        )
