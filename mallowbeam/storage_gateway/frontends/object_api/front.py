"""An S3-compatible object API over HTTP: objects, byte ranges and multipart uploads.

An object's home is the shard that its name hashes to.  An upload id given to a client carries the shard and
the node's own upload id, so that any gateway, a restarted one too, finds the upload again.  Every call passes
the gateway's scheduling decisions like any other request; this module only adds S3's conventions.
"""

from __future__ import annotations

import asyncio
import re
import secrets
import time
from collections.abc import AsyncIterator, Callable, Coroutine, Mapping
from contextlib import asynccontextmanager
from pathlib import Path
from typing import Any, NamedTuple, TypeVar
from urllib.parse import parse_qsl, quote, unquote_to_bytes
from zlib import crc32

from mallowbeam.http.budget import BodyBudget
from mallowbeam.http.framing import (
    HOP_BY_HOP,
    TOKEN,
    Channel,
    Headers,
    Message,
    use_chunked_encoding,
    write_head,
)
from mallowbeam.http.handler import Response
from mallowbeam.http.stream import Stream, copy
from mallowbeam.storage_gateway.frontends.object_api import batches
from mallowbeam.storage_gateway.frontends.object_api.access import Access, Key, authorize
from mallowbeam.storage_gateway.frontends.object_api.bodies import remove_framing
from mallowbeam.storage_gateway.frontends.object_api.calls import (
    BUCKET_TARGET,
    LISTING_PARAMETERS,
    SIGNATURE_PARAMETERS,
    Request,
)
from mallowbeam.storage_gateway.frontends.object_api.errors import (
    CODE_BY_STATUS,
    ERRORS,
    S3Error,
    error_body,
    slow_down,
)
from mallowbeam.storage_gateway.frontends.object_api.listings import (
    Item,
    Merge,
    NodeRequest,
    Query,
    listing_target,
    parse_node_listing,
)
from mallowbeam.storage_gateway.frontends.object_api.ranges import UnsatisfiableRangeError, resolve_range
from mallowbeam.storage_gateway.frontends.object_api.settings import ObjectSettings
from mallowbeam.storage_gateway.frontends.object_api.signatures import (
    CHUNKED_PAYLOAD,
    ChunkSignatures,
    parse_claim,
    verify,
)
from mallowbeam.storage_gateway.frontends.object_api.uploads import replace_upload_id
from mallowbeam.storage_gateway.server.calls import (
    Answer,
    AnswerKind,
    Call,
    content_length,
    read_deadline,
    time_left,
)
from mallowbeam.storage_gateway.server.gateway import Gateway

T = TypeVar("T")
# Digests of larger bodies are computed in a thread, to not block other calls.
INLINE_DIGEST_BYTES = 256 * 1024
MAX_CONCURRENT_DELETES = 16  # deletes of one batch in flight
MAX_DEADLINE_MS = 86_400_000  # deadlines over a day are rejected
# Not forwarded: headers of a single connection, and headers between gateway and node.
UNFORWARDED_REQUEST_HEADERS = HOP_BY_HOP | {b"x-deadline-ms", b"x-request-id", b"idempotency-key"}
UNFORWARDED_ANSWER_HEADERS = HOP_BY_HOP | {
    b"x-meter",
    b"x-delta",
    b"x-load",
    b"x-not-run",
    b"x-amz-request-id",
}


class BucketCall(NamedTuple):
    """A client's call on a bucket."""

    message: Message
    bucket: str
    query: Mapping[str, str]
    headers: Mapping[bytes, bytes]
    key: Key | None  # the caller's access key, None if authentication is off
    signatures: ChunkSignatures | None
    request_id: str
    closing: Callable[[], bool]


class Objects:
    """Translates S3 requests into gateway calls, and their answers into responses."""

    def __init__(self, gateway: Gateway, settings: ObjectSettings) -> None:
        self.gateway, self.settings = gateway, settings
        self.max_body = self.max_buffered_body = settings.max_body
        self.budget = BodyBudget(settings.held)
        self.access: Access | None = None
        if settings.keys is not None:
            self.access = Access(Path(settings.keys))
            self.access.open()

    async def handle(self, message: Message, closing: Callable[[], bool]) -> Response:
        """Return the response to a request."""
        request_id = secrets.token_hex(8)
        try:
            if match := BUCKET_TARGET.match(message.target):
                return await self.serve_bucket(self.parse_bucket_call(message, match, request_id, closing))
            return await self.serve(self.parse_request(message), request_id, closing)
        except S3Error as error:
            return self.s3_error_response(error, message, request_id, closing())

    async def serve(self, request: Request, request_id: str, closing: Callable[[], bool]) -> Response:
        """Serve a call on an object; raises `S3Error`."""
        return await self.forward(request, request_id, closing)

    @asynccontextmanager
    async def buffered_body(self, message: Message) -> AsyncIterator[None]:
        """Buffer a streamed body completely, charged to the budget until exit; raises `S3Error`."""
        reserved, body = 0, bytearray()
        try:
            if message.stream is not None:
                while (piece := await message.stream.get()) is not None:
                    self.budget.used += len(piece)
                    reserved += len(piece)
                    if self.budget.used > self.budget.limit:
                        raise slow_down()
                    body += piece
                if message.stream.aborted:
                    raise S3Error("IncompleteBody")
                message.body = body
            yield
        finally:
            self.budget.used -= reserved

    def parse_bucket_call(
        self, message: Message, match: re.Match[bytes], request_id: str, closing: Callable[[], bool]
    ) -> BucketCall:
        """Parse and authenticate a call on a bucket; raises `S3Error`."""
        query = dict(
            parse_qsl((match[2] or b"").decode("latin-1"), keep_blank_values=True, errors="surrogateescape")
        )
        headers = dict(reversed(message.headers))
        return BucketCall(
            message,
            match[1].decode(),
            query,
            headers,
            *self.authenticate(message, headers, query),
            request_id,
            closing,
        )

    def parse_request(self, message: Message) -> Request:
        """Parse, authenticate and authorize a call on an object; raises `S3Error`."""
        request = Request(message, self.settings, self.gateway.config.settings.shards)
        key, request.signatures = self.authenticate(message, request.headers, request.query)
        name = unquote_to_bytes(request.path.split(b"/", 2)[2])
        authorize(key, "read" if request.is_read else "write", request.bucket, name)
        return request

    async def serve_bucket(self, call: BucketCall) -> Response:
        """Serve a call on a bucket: a listing or a multi-object delete; raises `S3Error`."""
        parameters = set(call.query) - SIGNATURE_PARAMETERS
        if call.message.method == b"POST" and parameters - {"x-id"} == {"delete"}:
            return await self._delete_many(call)
        prefix = call.query.get("prefix", "").encode("utf-8", "surrogateescape")
        authorize(call.key, "list", call.bucket, prefix)
        if call.message.method != b"GET" or parameters - LISTING_PARAMETERS:
            raise S3Error("NotImplemented")
        query = Query.parse(call.bucket, call.query)
        deadline = self._deadline_at(call, self.settings.read_class)
        merge = Merge(query, self.gateway.config.settings.shards, await self.overlay(query))
        while node_requests := merge.next_requests():
            remaining = deadline - self.gateway.now()
            node_lists = await gather_or_cancel(
                *(self._list_node(query, node_request, remaining) for node_request in node_requests)
            )
            for node_request, listing in zip(node_requests, node_lists, strict=True):
                merge.feed(node_request.shard, *listing)
        return self._xml_response(merge.page(), call)

    def _deadline_at(self, call: BucketCall, cls: str) -> float:
        """Return the time on the gateway's clock by which a call of a class must finish."""
        return self.gateway.now() + self.time_limit(cls, call.headers.get(b"x-deadline-ms"))

    @staticmethod
    def _xml_response(body: bytes, call: BucketCall) -> Response:
        """Return a response with an XML document."""
        headers = [(b"content-type", b"application/xml"), (b"x-amz-request-id", call.request_id.encode())]
        return Response(200, write_head(200, headers, len(body), call.closing()) + body)

    async def _delete_many(self, call: BucketCall) -> Response:
        """Serve DeleteObjects: an ordinary call for each name, a few at a time, under one deadline."""
        deadline = self._deadline_at(call, self.settings.write_class)
        async with self.buffered_body(call.message):
            await self.remove_framing(call.message, call.headers, call.signatures)
        names, quiet = batches.parse_names(bytes(call.message.body))
        results: dict[str, str | None] = dict.fromkeys(names)
        semaphore = asyncio.Semaphore(MAX_CONCURRENT_DELETES)

        async def delete_one(name: str) -> None:
            async with semaphore:
                try:
                    remaining = deadline - self.gateway.now()
                    if remaining <= 0:
                        raise slow_down()
                    single = Message()
                    single.method, single.complete = b"DELETE", True
                    single.target = b"/%b/%b" % (call.bucket.encode(), quote(name, safe="/-._~").encode())
                    single.headers = [(b"x-deadline-ms", b"%d" % max(1, int(remaining * 1000)))]
                    request = Request(single, self.settings, self.gateway.config.settings.shards)
                    authorize(call.key, "write", call.bucket, name.encode())
                    reply = await self.serve(request, secrets.token_hex(8), call.closing)
                    if reply.status not in (204, 404):
                        raise S3Error(CODE_BY_STATUS.get(reply.status, "InternalError"))
                except S3Error as error:
                    results[name] = error.code

        await gather_or_cancel(*(delete_one(name) for name in names))
        return self._xml_response(batches.result_document(results, quiet), call)

    async def _list_node(
        self, query: Query, node_request: NodeRequest, seconds: float
    ) -> tuple[list[Item], str, bool]:
        """Fetch a node's next names by an ordinary call of one unit, within the listing's remaining time."""
        if seconds <= 0:
            raise slow_down()
        request_id = secrets.token_hex(8)
        key = f"{crc32(query.bucket.encode()):016x}"
        fields = self.scheduler_fields(
            self.settings.read_class, seconds, query.bucket, node_request.shard, key, 1, False
        )
        answer = await self.gateway.submit(
            Call(
                request_id,
                fields,
                b"GET",
                listing_target(query, node_request),
                [(b"x-request-id", request_id.encode())],
                is_final=lambda status: 200 <= status < 500,
            )
        )
        if answer.kind is AnswerKind.REFUSED:
            raise slow_down(answer.retry_after)
        if answer.kind is AnswerKind.FAILED or answer.status != 200:
            raise S3Error("InternalError")
        return parse_node_listing(bytes(answer.body))

    async def overlay(self, query: Query) -> dict[str, Item | None]:
        """Return names whose state differs from the nodes', with None for a deleted name."""
        return {}

    def authenticate(
        self, message: Message, headers: Mapping[bytes, bytes], query: Mapping[str, str]
    ) -> tuple[Key | None, ChunkSignatures | None]:
        """Authenticate a call; raises `S3Error`.

        Returns:
            The caller's key, None if authentication is off, and the verifier of its signed chunks, if any.
        """
        if self.access is None:
            return None, None
        self.access.reload_if_changed(time.monotonic())
        claim = parse_claim(headers, query)
        if claim is None:
            raise S3Error("AccessDenied")
        key = self.access.keys.get(claim.key)
        verify(message, claim, key.secret if key is not None else None, time.time())
        assert key is not None
        return key, ChunkSignatures(claim, key.secret) if claim.payload.startswith(CHUNKED_PAYLOAD) else None

    @staticmethod
    async def remove_framing(
        message: Message, headers: Mapping[bytes, bytes], signatures: ChunkSignatures | None
    ) -> None:
        """Check a buffered body and remove its framing; in a thread for a large one, as digests take long."""
        if len(message.body) > INLINE_DIGEST_BYTES:
            await asyncio.to_thread(remove_framing, message, headers, signatures)
        else:
            remove_framing(message, headers, signatures)

    async def forward(self, request: Request, request_id: str, closing: Callable[[], bool]) -> Response:
        """Forward a call to its home node; raises `S3Error`."""
        if request.method in (b"PUT", b"POST"):
            await self.remove_framing(request.message, request.headers, request.signatures)
            request.set_units(len(request.message.body), self.settings)
        call = self._call(request, request_id)
        answer = await self.gateway.submit(call)
        if answer.kind is AnswerKind.REFUSED:
            raise slow_down(answer.retry_after)
        if answer.kind is AnswerKind.FAILED:
            raise S3Error("InternalError")
        if answer.stream is not None:
            return self._streaming_response(request, answer, answer.stream, request_id, closing)
        return self._buffered_response(request, answer, request_id, closing())

    def error_response(self, status: int, text: str, close: bool = True) -> Response:
        """Return the response to malformed HTTP or an exceeded limit."""
        code = CODE_BY_STATUS.get(status, "InvalidRequest")
        headers = [(b"content-type", b"application/xml")]
        if code == "SlowDown":
            headers.append((b"retry-after", b"1"))
        body = error_body(code, b"", "")
        return Response(ERRORS[code][0], write_head(ERRORS[code][0], headers, len(body), close) + body)

    def finished(self, request: Message, status: int, whole: bool) -> None:
        """Count a finished request under the class configured for reads or writes."""
        settings = self.settings
        class_name = settings.read_class if request.method in (b"GET", b"HEAD") else settings.write_class
        self.gateway.metrics.request_finished(class_name, status, whole)

    def _call(self, request: Request, request_id: str) -> Call:
        """Return the gateway call for a request: what the scheduler and a node receive."""
        settings, gateway_settings, headers = self.settings, self.gateway.config.settings, request.headers
        cls = gateway_settings.classes[settings.read_class if request.is_read else settings.write_class]
        seconds = self.time_limit(cls.name, headers.get(b"x-deadline-ms"))
        # The signature is verified here and is not for nodes.
        dropped = (
            UNFORWARDED_REQUEST_HEADERS
            if self.access is None
            else UNFORWARDED_REQUEST_HEADERS | {b"authorization"}
        )
        forwarded = [header for header in request.message.headers if header[0] not in dropped]
        # Keeps a client's own key, so that its retries are deduplicated too; else all attempts share the id.
        token = headers.get(b"idempotency-key", request_id.encode())
        if not TOKEN.match(token):
            raise S3Error("InvalidArgument")
        forwarded.append((b"x-request-id", request_id.encode()))
        if not request.is_read:
            forwarded.append((b"idempotency-key", token))
        fields = self.scheduler_fields(
            cls.name, seconds, request.bucket, request.shard, request.key, request.units, not request.is_read
        )
        return Call(
            request_id,
            fields,
            request.method,
            request.target,
            forwarded,
            request.message.body,
            is_final=lambda status: 200 <= status < 500,
            may_stream=lambda status: request.method == b"GET"
            and status in (200, 206)
            and not request.upload,
        )

    def time_limit(self, cls: str, header: bytes | None) -> float:
        """Return a call's time limit in seconds, from its client's header or its class; raises `S3Error`."""
        class_deadline = self.gateway.config.settings.classes[cls].deadline
        deadline = class_deadline if header is None else read_deadline(header, MAX_DEADLINE_MS)
        if deadline is None:
            raise S3Error("InvalidArgument")
        return time_left(deadline)

    def scheduler_fields(
        self, cls: str, expires: float, bucket: str, shard: int, key: str, units: int, writes: bool
    ) -> dict[str, object]:
        """Return the fields of a call that the scheduler receives."""
        settings = self.settings
        return {
            "request_class": cls,
            "expires_in": expires,
            "shard": shard,
            "key": key,
            "volume": bucket,
            "is_write": writes,
            "units": min(units, self.gateway.config.settings.max_units),
            "plan": settings.plans.get(bucket, settings.plan),
        }

    @staticmethod
    def s3_error_response(error: S3Error, message: Message, request_id: str, close: bool) -> Response:
        """Return the response for an S3 error."""
        body = error_body(error.code, message.target, request_id)
        headers = [(b"content-type", b"application/xml"), (b"x-amz-request-id", request_id.encode())]
        head = write_head(ERRORS[error.code][0], headers + error.headers, len(body), close)
        return Response(ERRORS[error.code][0], head + body)

    def _buffered_response(self, request: Request, answer: Answer, request_id: str, close: bool) -> Response:
        """Return the response for a buffered answer; a node's upload id is replaced by the client's."""
        headers, body = forwarded_headers(answer, request_id), answer.body
        if request.method == b"HEAD":
            length = content_length(answer.headers)
            if (
                answer.status == 200
                and length is not None
                and (range_header := request.headers.get(b"range"))
            ):
                if byte_range := apply_range(range_header, length):
                    headers.append(content_range(*byte_range, length))
                    return Response(206, write_head(206, headers, byte_range[1] - byte_range[0], close))
            return Response(answer.status, write_head(answer.status, headers, length, close))
        if answer.status >= 400 and not body:
            code = CODE_BY_STATUS.get(answer.status, "InvalidRequest")
            if code == "NoSuchKey" and request.upload:
                code = "NoSuchUpload"
            body = error_body(code, request.message.target, request_id)
            headers.append((b"content-type", b"application/xml"))
        elif answer.status == 200 and (
            request.initiates_upload or request.upload and request.method == b"GET"
        ):
            body = replace_upload_id(bytes(body), request.upload, request.shard)
        size = None if answer.status in (204, 304) else len(body)
        return Response(answer.status, write_head(answer.status, headers, size, close) + body)

    def _streaming_response(
        self, request: Request, answer: Answer, stream: Stream, request_id: str, closing: Callable[[], bool]
    ) -> Response:
        """Return a response that forwards a body as it arrives, cut to the range if the node did not."""
        headers, status, length = (
            forwarded_headers(answer, request_id),
            answer.status,
            content_length(answer.headers),
        )
        start, end = 0, length
        range_header = request.headers.get(b"range")
        if status == 200 and length is not None and range_header and b"if-range" not in request.headers:
            try:
                byte_range = apply_range(range_header, length)
            except S3Error:
                stream.close()
                raise
            if byte_range:
                start, end = byte_range
                status = 206
                headers.append(content_range(start, end, length))
        size = None if end is None else end - start

        async def write(channel: Channel) -> bool:
            # The stream is closed in any case: its attempt would wait forever for a client that disconnected.
            chunked = use_chunked_encoding(request.message, size)
            try:
                await channel.send(write_head(status, headers, size, closing(), chunked))
                return await copy(stream, channel, start, size, chunked)
            finally:
                stream.close()

        return Response(status, write=write)


async def gather_or_cancel(*coroutines: Coroutine[Any, Any, T]) -> list[T]:
    """Return all results, or raise the first error; the rest is cancelled then, as when this is cancelled."""
    tasks = [asyncio.create_task(coroutine) for coroutine in coroutines]
    try:
        return list(await asyncio.gather(*tasks))
    finally:
        for task in tasks:
            task.cancel()


def forwarded_headers(answer: Answer, request_id: str) -> Headers:
    """Return the headers of a node's answer that the client receives."""
    headers = [header for header in answer.headers if header[0] not in UNFORWARDED_ANSWER_HEADERS]
    headers.append((b"x-amz-request-id", request_id.encode()))
    return headers


def content_range(start: int, end: int, length: int) -> tuple[bytes, bytes]:
    """Return the Content-Range header of a 206 response."""
    return b"content-range", b"bytes %d-%d/%d" % (start, end - 1, length)


def apply_range(range_header: bytes, length: int) -> tuple[int, int] | None:
    """Resolve a range that the node did not apply; raises `S3Error` if it lies outside the object."""
    try:
        return resolve_range(range_header, length)
    except UnsatisfiableRangeError:
        raise S3Error("InvalidRange", [(b"content-range", b"bytes */%d" % length)]) from None
