"""An object API over HTTP by S3's conventions: objects, byte ranges and multipart uploads.

An object's home is the shard that its name hashes to.  An upload id given to a client carries the shard and
the node's own upload id, so that any gateway, a restarted one too, finds the upload again.  Every call goes
through the gateway's decisions like any other request; only the words of S3 are added here.
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
from mallowbeam.storage_gateway.frontends.object_api.access import Access, Key, require
from mallowbeam.storage_gateway.frontends.object_api.bodies import unwrap
from mallowbeam.storage_gateway.frontends.object_api.calls import BUCKET_CALL, LISTING, SIGNED, Request
from mallowbeam.storage_gateway.frontends.object_api.errors import (
    CODE_OF,
    ERRORS,
    Error,
    error_body,
    slow_down,
)
from mallowbeam.storage_gateway.frontends.object_api.listings import (
    Ask,
    Item,
    Merge,
    Query,
    read_part,
    target,
)
from mallowbeam.storage_gateway.frontends.object_api.ranges import Unsatisfiable, cut
from mallowbeam.storage_gateway.frontends.object_api.settings import ObjectSettings
from mallowbeam.storage_gateway.frontends.object_api.signatures import (
    CHUNKED,
    ChunkSignatures,
    read_claim,
    verify,
)
from mallowbeam.storage_gateway.frontends.object_api.uploads import rename_upload
from mallowbeam.storage_gateway.server.calls import (
    Answer,
    AnswerKind,
    Call,
    length_of,
    read_deadline,
    time_left,
)
from mallowbeam.storage_gateway.server.gateway import Gateway

T = TypeVar("T")
IN_THREAD = 256 * 1024  # bytes of a body from which on its digests would hold up other calls
AT_ONCE = 16  # names of one batch that are on their way
MOST_MS = 86_400_000  # a deadline of over a day is senseless
# What concerns one connection, or the talk between gateway and node, is not passed on.
OWN_REQUEST = HOP_BY_HOP | {b"x-deadline-ms", b"x-request-id", b"idempotency-key"}
OWN_ANSWER = HOP_BY_HOP | {b"x-meter", b"x-delta", b"x-load", b"x-not-run", b"x-amz-request-id"}


class BucketCall(NamedTuple):
    """One call on a bucket as a whole."""

    message: Message
    bucket: str
    query: Mapping[str, str]
    headers: Mapping[bytes, bytes]
    key: Key | None  # who makes it, None where nobody need say
    signatures: ChunkSignatures | None
    request_id: str
    closing: Callable[[], bool]


class Objects:
    """Turns S3 calls into the gateway's calls and answers back."""

    def __init__(self, gateway: Gateway, settings: ObjectSettings) -> None:
        self.gateway, self.settings = gateway, settings
        self.max_body = self.max_buffered_body = settings.max_body
        self.budget = BodyBudget(settings.held)
        self.access: Access | None = None
        if settings.keys is not None:
            self.access = Access(Path(settings.keys))
            self.access.open()

    async def handle(self, message: Message, closing: Callable[[], bool]) -> Response:
        """One call to its one answer."""
        request_id = secrets.token_hex(8)
        try:
            if match := BUCKET_CALL.match(message.target):
                return await self.on_bucket(self.read_bucket(message, match, request_id, closing))
            return await self.serve(self.read(message), request_id, closing)
        except Error as error:
            return self.error(error, message, request_id, closing())

    async def serve(self, request: Request, request_id: str, closing: Callable[[], bool]) -> Response:
        """A call on an object; raises `Error`."""
        return await self.pass_on(request, request_id, closing)

    @asynccontextmanager
    async def held(self, message: Message) -> AsyncIterator[None]:
        """A large body is held whole, within the budget, for as long as this lasts; raises `Error`."""
        taken, body = 0, bytearray()
        try:
            if message.stream is not None:
                while (piece := await message.stream.get()) is not None:
                    self.budget.used += len(piece)
                    taken += len(piece)
                    if self.budget.used > self.budget.limit:
                        raise slow_down()
                    body += piece
                if message.stream.aborted:
                    raise Error("IncompleteBody")
                message.body = body
            yield
        finally:
            self.budget.used -= taken

    def read_bucket(
        self, message: Message, match: re.Match[bytes], request_id: str, closing: Callable[[], bool]
    ) -> BucketCall:
        """A call on a bucket taken apart, by one who is who he says; raises `Error`."""
        query = dict(
            parse_qsl((match[2] or b"").decode("latin-1"), keep_blank_values=True, errors="surrogateescape")
        )
        headers = dict(reversed(message.headers))
        return BucketCall(
            message,
            match[1].decode(),
            query,
            headers,
            *self.identify(message, headers, query),
            request_id,
            closing,
        )

    def read(self, message: Message) -> Request:
        """A call taken apart, by one who may make it; raises `Error`."""
        request = Request(message, self.settings, self.gateway.config.settings.shards)
        key, request.signatures = self.identify(message, request.headers, request.query)
        name = unquote_to_bytes(request.path.split(b"/", 2)[2])
        require(key, "read" if request.reads else "write", request.bucket, name)
        return request

    async def on_bucket(self, call: BucketCall) -> Response:
        """A call on a bucket as a whole: its listing, or many deletes; raises `Error`."""
        asked = set(call.query) - SIGNED
        if call.message.method == b"POST" and asked - {"x-id"} == {"delete"}:
            return await self._delete_many(call)
        prefix = call.query.get("prefix", "").encode("utf-8", "surrogateescape")
        require(call.key, "list", call.bucket, prefix)
        if call.message.method != b"GET" or asked - LISTING:
            raise Error("NotImplemented")
        query = Query.read(call.bucket, call.query)
        until = self._until(call, self.settings.read_class)
        merge = Merge(query, self.gateway.config.settings.shards, await self.overlay(query))
        while asks := merge.needs():
            left = until - self.gateway.now()
            parts = await gather(*(self._part(query, ask, left) for ask in asks))
            for ask, part in zip(asks, parts, strict=True):
                merge.feed(ask.shard, *part)
        return self._document(merge.page(), call)

    def _until(self, call: BucketCall, cls: str) -> float:
        """When a call of that class must be over."""
        return self.gateway.now() + self.seconds(cls, call.headers.get(b"x-deadline-ms"))

    @staticmethod
    def _document(body: bytes, call: BucketCall) -> Response:
        """A document of this front's own."""
        told = [(b"content-type", b"application/xml"), (b"x-amz-request-id", call.request_id.encode())]
        return Response(200, write_head(200, told, len(body), call.closing()) + body)

    async def _delete_many(self, call: BucketCall) -> Response:
        """DeleteObjects: each name a call like any other, a few at a time, all within one deadline."""
        until = self._until(call, self.settings.write_class)
        async with self.held(call.message):
            await self.unwrap(call.message, call.headers, call.signatures)
        names, quiet = batches.read(bytes(call.message.body))
        results: dict[str, str | None] = dict.fromkeys(names)
        turns = asyncio.Semaphore(AT_ONCE)

        async def one(name: str) -> None:
            async with turns:
                try:
                    left = until - self.gateway.now()
                    if left <= 0:
                        raise slow_down()
                    single = Message()
                    single.method, single.complete = b"DELETE", True
                    single.target = b"/%b/%b" % (call.bucket.encode(), quote(name, safe="/-._~").encode())
                    single.headers = [(b"x-deadline-ms", b"%d" % max(1, int(left * 1000)))]
                    request = Request(single, self.settings, self.gateway.config.settings.shards)
                    require(call.key, "write", call.bucket, name.encode())
                    reply = await self.serve(request, secrets.token_hex(8), call.closing)
                    if reply.status not in (204, 404):
                        raise Error(CODE_OF.get(reply.status, "InternalError"))
                except Error as error:
                    results[name] = error.code

        await gather(*(one(name) for name in names))
        return self._document(batches.write(results, quiet), call)

    async def _part(self, query: Query, ask: Ask, seconds: float) -> tuple[list[Item], str, bool]:
        """One node's next names, as a call like any other: a unit, and the time that the whole has left."""
        if seconds <= 0:
            raise slow_down()
        request_id = secrets.token_hex(8)
        key = f"{crc32(query.bucket.encode()):016x}"
        fields = self.fields(self.settings.read_class, seconds, query.bucket, ask.shard, key, 1, False)
        answer = await self.gateway.submit(
            Call(
                request_id,
                fields,
                b"GET",
                target(query, ask),
                [(b"x-request-id", request_id.encode())],
                final=lambda status: 200 <= status < 500,
            )
        )
        if answer.kind is AnswerKind.REFUSED:
            raise slow_down(answer.retry_after)
        if answer.kind is AnswerKind.FAILED or answer.status != 200:
            raise Error("InternalError")
        return read_part(bytes(answer.body))

    async def overlay(self, query: Query) -> dict[str, Item | None]:
        """Names of a listing that are other than the nodes have them, None for one that is not there."""
        return {}

    def identify(
        self, message: Message, headers: Mapping[bytes, bytes], query: Mapping[str, str]
    ) -> tuple[Key | None, ChunkSignatures | None]:
        """Who makes a call, proven, and what its chunks rest on; None where none need say; raises `Error`."""
        if self.access is None:
            return None, None
        self.access.look(time.monotonic())
        claim = read_claim(headers, query)
        if claim is None:
            raise Error("AccessDenied")
        key = self.access.keys.get(claim.key)
        verify(message, claim, key.secret if key is not None else None, time.time())
        assert key is not None
        return key, ChunkSignatures(claim, key.secret) if claim.payload.startswith(CHUNKED) else None

    @staticmethod
    async def unwrap(
        message: Message, headers: Mapping[bytes, bytes], signatures: ChunkSignatures | None
    ) -> None:
        """Check a body held whole and take its framing off; a large one in a thread, as digests take long."""
        if len(message.body) > IN_THREAD:
            await asyncio.to_thread(unwrap, message, headers, signatures)
        else:
            unwrap(message, headers, signatures)

    async def pass_on(self, request: Request, request_id: str, closing: Callable[[], bool]) -> Response:
        """A call to its home node; raises `Error`."""
        if request.method in (b"PUT", b"POST"):
            await self.unwrap(request.message, request.headers, request.signatures)
            request.measure(len(request.message.body), self.settings)
        call = self._call(request, request_id)
        answer = await self.gateway.submit(call)
        if answer.kind is AnswerKind.REFUSED:
            raise slow_down(answer.retry_after)
        if answer.kind is AnswerKind.FAILED:
            raise Error("InternalError")
        if answer.stream is not None:
            return self._streamed(request, answer, answer.stream, request_id, closing)
        return self._whole(request, answer, request_id, closing())

    def error_response(self, status: int, text: str) -> Response:
        """The answer to what breaks HTTP or a bound."""
        code = CODE_OF.get(status, "InvalidRequest")
        headers = [(b"content-type", b"application/xml")]
        if code == "SlowDown":
            headers.append((b"retry-after", b"1"))
        body = error_body(code, b"", "")
        return Response(ERRORS[code][0], write_head(ERRORS[code][0], headers, len(body), True) + body)

    def finished(self, request: Message, status: int, whole: bool) -> None:
        """A call is over: reads and writes count for the classes that stand for them."""
        settings = self.settings
        lane = settings.read_class if request.method in (b"GET", b"HEAD") else settings.write_class
        self.gateway.metrics.request_finished(lane, status, whole)

    def _call(self, request: Request, request_id: str) -> Call:
        """What goes to the module and to a node."""
        settings, known, headers = self.settings, self.gateway.config.settings, request.headers
        cls = known.classes[settings.read_class if request.reads else settings.write_class]
        seconds = self.seconds(cls.name, headers.get(b"x-deadline-ms"))
        drop = OWN_REQUEST if self.access is None else OWN_REQUEST | {b"authorization"}  # it ends here
        passed = [header for header in request.message.headers if header[0] not in drop]
        # A client's own key is kept, so that its own repeat is dropped too; else every attempt shares ours.
        token = headers.get(b"idempotency-key", request_id.encode())
        if not TOKEN.match(token):
            raise Error("InvalidArgument")
        passed.append((b"x-request-id", request_id.encode()))
        if not request.reads:
            passed.append((b"idempotency-key", token))
        fields = self.fields(
            cls.name, seconds, request.bucket, request.shard, request.key, request.units, not request.reads
        )
        return Call(
            request_id,
            fields,
            request.method,
            request.target,
            passed,
            request.message.body,
            final=lambda status: 200 <= status < 500,
            streamed=lambda status: request.method == b"GET" and status in (200, 206) and not request.upload,
        )

    def seconds(self, cls: str, asked: bytes | None) -> float:
        """What a call of that class may take here, by its client's word or its class; raises `Error`."""
        known = self.gateway.config.settings.classes[cls].deadline
        deadline = known if asked is None else read_deadline(asked, MOST_MS)
        if deadline is None:
            raise Error("InvalidArgument")
        return time_left(deadline)

    def fields(
        self, cls: str, expires: float, bucket: str, shard: int, key: str, units: int, writes: bool
    ) -> dict[str, object]:
        """What the module is told of a call."""
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
    def error(error: Error, message: Message, request_id: str, close: bool) -> Response:
        """An S3 error."""
        body = error_body(error.code, message.target, request_id)
        headers = [(b"content-type", b"application/xml"), (b"x-amz-request-id", request_id.encode())]
        head = write_head(ERRORS[error.code][0], headers + error.headers, len(body), close)
        return Response(ERRORS[error.code][0], head + body)

    def _whole(self, request: Request, answer: Answer, request_id: str, close: bool) -> Response:
        """A node's answer that was read whole; what names an upload is put in the client's terms."""
        headers, body = passed_on(answer, request_id), answer.body
        if request.method == b"HEAD":
            length = length_of(answer.headers)
            if answer.status == 200 and length is not None and (asked := request.headers.get(b"range")):
                if piece := cut_here(asked, length):
                    headers.append(range_of(*piece, length))
                    return Response(206, write_head(206, headers, piece[1] - piece[0], close))
            return Response(answer.status, write_head(answer.status, headers, length, close))
        if answer.status >= 400 and not body:
            code = CODE_OF.get(answer.status, "InvalidRequest")
            if code == "NoSuchKey" and request.upload:
                code = "NoSuchUpload"
            body = error_body(code, request.message.target, request_id)
            headers.append((b"content-type", b"application/xml"))
        elif answer.status == 200 and (request.initiates or request.upload and request.method == b"GET"):
            body = rename_upload(bytes(body), request.upload, request.shard)
        size = None if answer.status in (204, 304) else len(body)
        return Response(answer.status, write_head(answer.status, headers, size, close) + body)

    def _streamed(
        self, request: Request, answer: Answer, stream: Stream, request_id: str, closing: Callable[[], bool]
    ) -> Response:
        """A body that is passed on as it comes, cut here where the node left the range to us."""
        headers, status, length = passed_on(answer, request_id), answer.status, length_of(answer.headers)
        start, end = 0, length
        asked = request.headers.get(b"range")
        if status == 200 and length is not None and asked and b"if-range" not in request.headers:
            try:
                piece = cut_here(asked, length)
            except Error:
                stream.close()
                raise
            if piece:
                start, end = piece
                status = 206
                headers.append(range_of(start, end, length))
        size = None if end is None else end - start

        async def write(channel: Channel) -> bool:
            # Guards against an attempt that would wait for ever for a client that has gone.
            chunked = use_chunked_encoding(request.message, size)
            try:
                await channel.send(write_head(status, headers, size, closing(), chunked))
                return await copy(stream, channel, start, size, chunked)
            finally:
                stream.close()

        return Response(status, write=write)


async def gather(*work: Coroutine[Any, Any, T]) -> list[T]:
    """All results, or the first error, and then the rest is given up; so it is when its client leaves."""
    tasks = [asyncio.create_task(one) for one in work]
    try:
        return list(await asyncio.gather(*tasks))
    finally:
        for task in tasks:
            task.cancel()


def passed_on(answer: Answer, request_id: str) -> Headers:
    """The headers of a node's answer that the client gets."""
    headers = [header for header in answer.headers if header[0] not in OWN_ANSWER]
    headers.append((b"x-amz-request-id", request_id.encode()))
    return headers


def range_of(start: int, end: int, length: int) -> tuple[bytes, bytes]:
    """The header that says which part of the object a 206 holds."""
    return b"content-range", b"bytes %d-%d/%d" % (start, end - 1, length)


def cut_here(asked: bytes, length: int) -> tuple[int, int] | None:
    """The piece asked of an object whose node left the range to us; raises `Error` outside it."""
    try:
        return cut(asked, length)
    except Unsatisfiable:
        raise Error("InvalidRange", [(b"content-range", b"bytes */%d" % length)]) from None
