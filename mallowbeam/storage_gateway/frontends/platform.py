"""The platform's HTTP protocol.  The gateway's calls mirror it, so little translation is needed."""

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
    content_length,
    read_deadline,
    time_left,
)
from mallowbeam.storage_gateway.server.gateway import Gateway
from mallowbeam.storage_gateway.server.health import readiness

TARGET = re.compile(rb"/([^/?]+)/([0-9a-f]{16})/([0-9a-f]{16})(?:\?[\x21-\x7e]{0,1024})?\Z")
REQUEST_ID = re.compile(rb"[0-9a-f]{16}\Z")
EXTENT = re.compile(rb"units=(\d{1,9}),shard=(-?\d{1,9}),hosts=(\d{1,9})\Z")
MAX_HELD_BYTES = 24 * 1024 * 1024  # of request bodies held at once over all connections
MAX_DEADLINE_MS = 3_600_000  # deadlines over an hour are rejected
# Idle timeout of an answer's body, as a share of the latency target: nodes write small answers in one go.
BODY_TIMEOUT_RATIO, MIN_BODY_TIMEOUT_S = 0.2, 0.05
FAILED_STATUS = 502  # neither 429 nor 503, which would mean that the request was refused
REFUSED_STATUS = 503
RETRY_AFTER_HEADER = [(b"retry-after", b"0.3")]  # for refusals that the scheduler is not involved in
# Only headers that the protocol names are forwarded: a node closes its connection on any it cannot parse.
FORWARDED_HEADERS = frozenset(
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
# Headers allowed at most once: parsers differ on which duplicate counts.
UNIQUE_HEADERS = FORWARDED_HEADERS | {b"x-deadline-ms"}


class InvalidRequestError(MallowbeamError):
    """A request violates the protocol; the text says how."""

    error_name = "BadRequest"
    remedy = "mend the client that sent it"


class Platform:
    """Translates the platform's requests into gateway calls, and their answers into responses."""

    max_body, max_buffered_body = MAX_STREAMED_BYTES, MAX_BUFFERED_BODY_BYTES

    def __init__(self, gateway: Gateway) -> None:
        self.gateway, self.budget = gateway, BodyBudget(min(MAX_HELD_BYTES, gateway.config.memory // 8))

    async def handle(self, request: Message, closing: Callable[[], bool]) -> Response:
        """Return the response to a request."""
        if request.target == b"/healthz" and request.method in (b"GET", b"HEAD"):
            return readiness(self.gateway, closing())
        try:
            call = self.parse_call(request)
        except InvalidRequestError as error:
            return text_response(400, str(error), closing())
        answer = await self.gateway.submit(call)
        if answer.stream is not None:
            return self.streaming_response(answer, answer.stream, request, closing)
        return self.buffered_response(answer, closing())

    def error_response(self, status: int, text: str, close: bool = True) -> Response:
        """Return the response to malformed HTTP or an exceeded limit."""
        return text_response(status, text, close, RETRY_AFTER_HEADER if status == REFUSED_STATUS else None)

    def finished(self, request: Message, status: int, whole: bool) -> None:
        """Count a finished request under the class that it names."""
        self.gateway.metrics.request_finished(
            (request.get(b"x-class") or b"").decode("latin-1"), status, whole
        )

    def parse_call(self, request: Message) -> Call:
        """Parse a request into a call; raises `InvalidRequestError`."""
        settings, headers = self.gateway.config.settings, dict(request.headers)
        if sum(name in UNIQUE_HEADERS for name, _ in request.headers) > sum(
            name in UNIQUE_HEADERS for name in headers
        ):
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
        # Without a key, a node could not drop a second attempt as a duplicate and might apply a write twice.
        if not TOKEN.match(
            headers.get(b"idempotency-key", b"" if cls.idempotency is Idempotency.KEYED else b"-")
        ):
            raise InvalidRequestError("Idempotency-Key is missing or malformed")
        plan = settings.plans.get(headers.get(b"x-storage-class", b"").decode("latin-1"))
        if plan is None:
            raise InvalidRequestError("X-Storage-Class is missing or unknown")
        deadline = read_deadline(headers.get(b"x-deadline-ms", b""), MAX_DEADLINE_MS)
        if deadline is None:
            raise InvalidRequestError("X-Deadline-Ms is missing or senseless")
        extent = EXTENT.match(headers.get(b"x-extent", b""))
        if extent is None:
            raise InvalidRequestError("X-Extent is missing or malformed")
        # The deadline counts from the request's last byte, which may have waited in this process.
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
            [header for header in request.headers if header[0] in FORWARDED_HEADERS],
            request.body,
            may_stream=(200).__eq__,
            body_timeout_s=max(MIN_BODY_TIMEOUT_S, cls.latency_target * BODY_TIMEOUT_RATIO),
            buffer_bytes=MAX_BUFFERED_BODY_BYTES,
            max_stream_bytes=MAX_STREAMED_BYTES,
            upload=request.stream,
            length=request.length,
        )

    @staticmethod
    def streaming_response(
        answer: Answer, stream: Stream, request: Message, closing: Callable[[], bool]
    ) -> Response:
        """Return a response that forwards a large answer as it arrives."""
        size = content_length(answer.headers)
        chunked = use_chunked_encoding(request, size)

        async def write(channel: Channel) -> bool:
            try:
                await channel.send(write_head(200, [], size, closing(), chunked))
                return await copy(stream, channel, 0, size, chunked)
            finally:
                stream.close()  # the attempt must not wait for a client that has disconnected

        return Response(200, write=write)

    @staticmethod
    def buffered_response(answer: Answer, close: bool) -> Response:
        """Return the response for an answer that is held completely."""
        if answer.kind is AnswerKind.SERVED:
            return Response(200, write_head(200, [], len(answer.body), close) + answer.body)
        if answer.kind is AnswerKind.FAILED:
            return text_response(FAILED_STATUS, "failed", close)
        retry_after = answer.retry_after
        return text_response(
            REFUSED_STATUS,
            "refused",
            close,
            [(b"retry-after", b"%.3f" % retry_after)] if retry_after else None,
        )
