"""The object API with a write-back buffer, for the buckets that the operators' file names.

A plain PUT or DELETE of such a bucket is acknowledged once it is durable in this gateway's folder; reads see
it from then on.  Writes that the buffer cannot handle (conditions on a node's state, multipart completions,
headers that a node has to interpret rather than store) go directly to the node, after all buffered writes
that must precede them.
The buffer also reaches the nodes through this class: its calls are scheduled like those of clients.
"""

from __future__ import annotations

import asyncio
import math
import re
import secrets
import time
from collections.abc import Callable, Mapping
from email.utils import formatdate
from urllib.parse import unquote

from mallowbeam.http.framing import HOP_BY_HOP, TOKEN, Channel, Headers, Message, write_head
from mallowbeam.http.handler import Response
from mallowbeam.storage_gateway.frontends.object_api.access import authorize
from mallowbeam.storage_gateway.frontends.object_api.bodies import (
    KNOWN_CHECKSUMS,
    BodyVerifier,
    without_framing,
)
from mallowbeam.storage_gateway.frontends.object_api.calls import Request
from mallowbeam.storage_gateway.frontends.object_api.conditions import read_status, write_allowed
from mallowbeam.storage_gateway.frontends.object_api.errors import S3Error, slow_down
from mallowbeam.storage_gateway.frontends.object_api.front import (
    BucketCall,
    Objects,
    apply_range,
    content_range,
)
from mallowbeam.storage_gateway.frontends.object_api.listings import Item, Query
from mallowbeam.storage_gateway.frontends.object_api.settings import ObjectSettings
from mallowbeam.storage_gateway.operator_settings import BufferSection, convert
from mallowbeam.storage_gateway.scheduler.interface import Idempotency
from mallowbeam.storage_gateway.server.calls import AnswerKind, Call
from mallowbeam.storage_gateway.server.config import GatewayConfigError
from mallowbeam.storage_gateway.server.gateway import Gateway
from mallowbeam.storage_gateway.write_buffer.entries import Admission, Entry, Outcome
from mallowbeam.storage_gateway.write_buffer.errors import LogIOError
from mallowbeam.storage_gateway.write_buffer.intake import CHUNK_BYTES
from mallowbeam.storage_gateway.write_buffer.interface import (
    Phase,
    SendResult,
    Settings,
    Upload,
    VersionResult,
)
from mallowbeam.storage_gateway.write_buffer.limits import Limits
from mallowbeam.storage_gateway.write_buffer.records import Write
from mallowbeam.storage_gateway.write_buffer.reopen import check_folder
from mallowbeam.storage_gateway.write_buffer.service import Buffer
from mallowbeam.storage_gateway.write_buffer.store import CommitUnknownError, RecordRejectedError

BARRIER_HEADER = b"x-mallowbeam-barrier"  # on a write: `sync` or `through`
BARRIER_ID_HEADER = b"x-mallowbeam-barrier-id"  # on a response: the barrier's number
OVERLAY_BATCH = 2000  # buffered names examined before yielding to other tasks
DURABLE_HEADER = (b"x-mallowbeam-durable", b"buffer")
BARRIER_NUMBER = re.compile(r"[0-9]{1,18}\Z")
# Headers that a node stores with an object, and headers that only concern this hop.  A write with any other
# x-amz header is not buffered, as only a node can interpret it.
STORED_HEADERS = frozenset(
    (
        b"content-type",
        b"content-encoding",
        b"content-language",
        b"content-disposition",
        b"cache-control",
        b"expires",
    )
)
HOP_HEADERS = frozenset(
    (
        b"x-amz-date",
        b"x-amz-content-sha256",
        b"x-amz-sdk-checksum-algorithm",
        b"x-amz-user-agent",
        b"x-amz-security-token",
        b"x-amz-checksum-algorithm",
        b"x-amz-trailer",
        b"x-amz-decoded-content-length",
    )
)


def read_buffer_settings(raw: Mapping[str, object], objects: ObjectSettings, gateway: Gateway) -> Settings:
    """Read the buffer's settings from its section of the operators' file; raises `GatewayConfigError`."""
    section = convert(BufferSection, raw, "buffer")
    assert section.folder is not None
    known = gateway.config.settings
    cls = known.classes[objects.write_class]
    if section.cache_bytes + section.flush_bytes > gateway.config.memory // 4:
        raise GatewayConfigError(
            "buffer: cache_bytes and flush_bytes together exceed a quarter of the memory"
        )
    if objects.max_body > section.max_bytes // 4:
        raise GatewayConfigError("buffer.max_bytes: must be at least four times objects.max_body_bytes")
    limits = Limits(
        max_bytes=section.max_bytes,
        max_records=section.max_records,
        max_age=section.max_age_s,
        in_flight=section.in_flight,
        per_shard=section.per_shard,
        flush_bytes=section.flush_bytes,
        retry_ratio=section.repeat_share,
        deadline=cls.deadline,
        shards=known.shards,
        keyed=cls.idempotency is not Idempotency.UNSAFE,
        sole_writer=section.sole_writer,
        window=cls.dedup_window if cls.idempotency is Idempotency.KEYED else None,
    )
    return Settings(
        section.folder, frozenset(section.buckets), limits, section.segment_bytes, section.cache_bytes
    )


class BufferedObjects(Objects):
    """The object API with a write-back buffer."""

    def __init__(
        self, gateway: Gateway, settings: ObjectSettings, buffer: Settings, handed_over: bool
    ) -> None:
        super().__init__(gateway, settings)
        why = check_folder(buffer, handed_over)
        if why is not None:
            raise GatewayConfigError(why)
        self.max_buffered_body = min(settings.max_body, CHUNK_BYTES)  # larger bodies are streamed
        self.buffer = Buffer(buffer, self, handed_over=handed_over)
        gateway.subsystems.append(self.buffer)

    # --- client calls ---------------------------------------------------------------------------

    async def serve_bucket(self, call: BucketCall) -> Response:
        """Serve a call on a bucket: a barrier of a buffered bucket, or an operation that any bucket has."""
        if call.bucket in self.buffer.settings.buckets:
            if self.buffer.phase is not Phase.OPEN:
                raise slow_down()  # the buffer's contents are not known
            if "barrier" in call.query:
                return await self._barrier_call(call)
        return await super().serve_bucket(call)

    async def serve(self, request: Request, request_id: str, closing: Callable[[], bool]) -> Response:
        """Serve a call on an object: from the buffer, into the buffer, or by its node."""
        if request.bucket not in self.buffer.settings.buckets:
            return await self._forward_direct(request, request_id, closing)
        if self.buffer.phase is not Phase.OPEN:
            raise slow_down()
        if request.is_read and not request.upload:
            return await self._read(request, request_id, closing)
        if request.method in (b"PUT", b"DELETE") and not request.upload:
            return await self._write(request, request_id, closing)
        if request.upload and request.method == b"POST":  # completes an upload
            await self._wait_until_direct_allowed(request)
        return await self._forward_direct(request, request_id, closing)

    def _deadline(self, message: Message) -> float:
        """Return the time limit in seconds of a write or barrier, from its client or its class."""
        return self.time_limit(self.settings.write_class, message.get(b"x-deadline-ms"))

    async def _forward_direct(
        self, request: Request, request_id: str, closing: Callable[[], bool]
    ) -> Response:
        """Forward a call directly to its node, with a streamed body buffered in memory first."""
        async with self.buffered_body(request.message):
            return await self.forward(request, request_id, closing)

    async def _wait_until_direct_allowed(self, request: Request) -> None:
        """Wait until no buffered write must precede a direct write; refuse at once if that takes long."""
        buffer = self.buffer
        if not buffer.core.blocks_direct(request.bucket, request.path):
            return
        if (
            buffer.core.suspended_before_barrier(request.bucket) is not None
            or self._flush_seconds(len(buffer.core.keys)) > 1.0
        ):
            raise slow_down()
        if not await buffer.waiters.direct_allowed(
            request.bucket, request.path, min(1.0, self._deadline(request.message))
        ):
            raise slow_down()

    def _flush_seconds(self, writes: int) -> float:
        """Estimate the seconds that writes take to reach the nodes, from concurrency and latency target."""
        core = self.buffer.core
        cls = self.gateway.config.settings.classes[self.settings.write_class]
        return writes / max(1, core.allowed_in_flight(self.buffer.clock(), 0)) * cls.latency_target

    # --- writes ---------------------------------------------------------------------------------

    async def _write(self, request: Request, request_id: str, closing: Callable[[], bool]) -> Response:
        """Serve a PUT or DELETE: buffer it, or forward it to its node if it cannot be buffered."""
        message, buffer = request.message, self.buffer
        barrier = request.headers.get(BARRIER_HEADER)
        if barrier not in (None, b"sync", b"through"):
            raise S3Error("InvalidArgument")
        conditional = b"if-match" in request.headers or b"if-none-match" in request.headers
        newest = self._newest_write(request) if conditional else None
        admission = buffer.intake.admit(
            request.bucket, request.path, max(message.received, message.length or 0)
        )
        if newest is not None and admission is Admission.ACCEPT:
            self._check_conditions(request)
        if admission is Admission.SLOW_DOWN or newest is not None and admission is not Admission.ACCEPT:
            raise slow_down()
        if admission is Admission.DIRECT or conditional and newest is None or not self._bufferable(request):
            if barrier is not None:  # a barrier must be durable, and a direct write leaves no record
                raise slow_down()
            await self._wait_until_direct_allowed(request)
            return await self._forward_direct(request, request_id, closing)
        try:
            entry = await self._append_write(request, request_id, newest is not None)
        except RecordRejectedError:
            raise slow_down() from None
        except CommitUnknownError:
            raise S3Error("InternalError") from None
        try:
            lsn = await buffer.intake.put_barrier(request.bucket) if barrier is not None else None
        except (RecordRejectedError, CommitUnknownError):
            # The write itself is durable, so the answer must not look like a refusal.
            raise S3Error("InternalError") from None
        if lsn is not None and barrier == b"through":
            await self._wait_for_barrier(request.bucket, lsn, self._deadline(request.message))
        headers = [(b"x-amz-request-id", request_id.encode()), DURABLE_HEADER]
        if lsn is not None:
            headers.append((BARRIER_ID_HEADER, b"%d" % lsn))
        if request.method == b"DELETE":
            return Response(204, write_head(204, headers, None, closing()))
        headers.append((b"etag", entry.etag.encode()))
        return Response(200, write_head(200, headers, 0, closing()))

    def _newest_write(self, request: Request) -> Entry | None:
        """Return the newest buffered write of an object, durable or still being committed."""
        chain = self.buffer.core.keys.get((request.bucket, request.path))
        return chain[-1] if chain else None

    def _check_conditions(self, request: Request) -> None:
        """Check a write's conditions against the newest buffered write of its object; raises `S3Error`."""
        newest = self._newest_write(request)
        if newest is None or self.buffer.reader.newest(request.bucket, request.path) is not newest:
            raise slow_down()  # it has just been flushed to its node, or is not durable yet and may fail
        if not write_allowed(request.headers, newest.etag if newest.method == "PUT" else None):
            raise S3Error("PreconditionFailed")

    @staticmethod
    def _bufferable(request: Request) -> bool:
        """Whether a write only asks the node to store the body and its metadata."""
        return all(
            not name.startswith(b"x-amz-")
            or name in HOP_HEADERS
            or name in KNOWN_CHECKSUMS
            or name.startswith(b"x-amz-meta-")
            for name, _ in request.message.headers
        )

    async def _append_write(self, request: Request, request_id: str, conditional: bool) -> Entry:
        """Append a write to the log, its body buffered or streamed, checked against its declared digests."""
        message, buffer = request.message, self.buffer
        token = request.headers.get(b"idempotency-key", request_id.encode())
        if not TOKEN.match(token):
            raise S3Error("InvalidArgument")
        stored_headers = [
            header
            for header in without_framing(message.headers)
            if header[0] in STORED_HEADERS or header[0].startswith(b"x-amz-meta-")
        ]
        write = Write(
            request.method.decode(),
            request.bucket,
            request.path,
            request.placement_hash,
            stored_headers,
            token,
            "",
            0,
            time.time(),
        )
        if request.method == b"DELETE":
            return await buffer.intake.put(write, b"")
        body = BodyVerifier(request.headers, request.signatures)
        if message.stream is None:
            data = b"".join(body.feed(message.body))
            body.end()
            write.etag, write.size = body.etag, len(data)
            return await buffer.intake.put(write, data)
        return await self._append_streamed_write(request, write, body, conditional)

    async def _append_streamed_write(
        self, request: Request, write: Write, body: BodyVerifier, conditional: bool
    ) -> Entry:
        """Append a streamed write to the log, a piece at a time."""
        stream, buffer, upload = request.message.stream, self.buffer, Upload()
        assert stream is not None
        try:
            while (piece := await stream.get()) is not None:
                for data in body.feed(piece):
                    if upload.size + len(data) > self.max_body:
                        raise S3Error("EntityTooLarge")
                    await buffer.intake.add(upload, data)
            if stream.aborted:
                raise S3Error("IncompleteBody")
            body.end()
            write.etag = body.etag
            await buffer.intake.complete(upload, write)
            if conditional:  # other writes may have been accepted while the body was received
                self._check_conditions(request)
            return await buffer.intake.put(write, b"")
        finally:
            buffer.intake.drop(upload)

    # --- barriers -------------------------------------------------------------------------------

    async def _barrier_call(self, call: BucketCall) -> Response:
        """Serve `POST /b?barrier=sync|through` (set a barrier) and `GET /b?barrier=N` (has it passed?)."""
        buffer, message, bucket, barrier = self.buffer, call.message, call.bucket, call.query["barrier"]
        authorize(call.key, "read" if message.method == b"GET" else "write", bucket, b"")
        headers = [(b"x-amz-request-id", call.request_id.encode())]
        if message.method == b"GET" and BARRIER_NUMBER.match(barrier):
            lsn = int(barrier)
            if lsn > buffer.store.lsn:
                raise S3Error("NoSuchBarrier")
            if buffer.core.writes_before(lsn) is not None:
                raise slow_down(self._flush_seconds(buffer.core.writes_before(lsn) or 0))
            return Response(200, write_head(200, headers, 0, call.closing()))
        if message.method != b"POST":
            raise S3Error("MethodNotAllowed")
        if barrier not in ("sync", "through"):
            raise S3Error("InvalidArgument")
        try:
            lsn = await buffer.intake.put_barrier(bucket)
        except RecordRejectedError:
            raise slow_down() from None
        except CommitUnknownError:
            raise S3Error("InternalError") from None
        headers.append((BARRIER_ID_HEADER, b"%d" % lsn))
        if barrier == "through":
            await self._wait_for_barrier(bucket, lsn, self._deadline(message))
        return Response(200, write_head(200, headers, 0, call.closing()))

    async def _wait_for_barrier(self, bucket: str, lsn: int, seconds: float) -> None:
        """Wait for a barrier; if it cannot pass in time, raise `S3Error` at once, with its number to poll."""
        writes_before = self.buffer.core.writes_before(lsn) or 0
        expected_seconds = self._flush_seconds(writes_before)
        suspended = self.buffer.core.suspended_before_barrier(bucket) is not None
        if (
            suspended
            or expected_seconds > seconds
            or not await self.buffer.waiters.barrier_passed(lsn, seconds)
        ):
            raise S3Error(
                "SlowDown",
                [
                    (b"retry-after", b"%d" % max(1, math.ceil(expected_seconds))),
                    (BARRIER_ID_HEADER, b"%d" % lsn),
                ],
            )

    # --- reads ----------------------------------------------------------------------------------

    async def _read(self, request: Request, request_id: str, closing: Callable[[], bool]) -> Response:
        """Serve a GET or HEAD from the buffer while it has the object, else from its node."""
        entry = self.buffer.reader.newest(request.bucket, request.path)
        if entry is None:
            return await self.forward(request, request_id, closing)
        if entry.method == "DELETE":
            raise S3Error("NoSuchKey")
        try:
            write, body_data = await self.buffer.reader.read(entry)
        except (LogIOError, ValueError):
            if self.buffer.phase is Phase.CLOSED:  # another process has taken over the files
                raise slow_down() from None
            raise S3Error("InternalError") from None
        headers: Headers = [
            *write.headers,
            (b"etag", write.etag.encode()),
            (b"accept-ranges", b"bytes"),
            (b"last-modified", formatdate(write.accepted_at, usegmt=True).encode()),
            (b"x-amz-request-id", request_id.encode()),
        ]
        status = read_status(request.headers, write.etag, write.accepted_at)
        if status == 412:
            raise S3Error("PreconditionFailed")
        if status == 304:
            return Response(304, write_head(304, headers, None, closing()))
        start, end = 0, write.size
        range_header = request.headers.get(b"range")
        if range_header and request.headers.get(b"if-range", write.etag.encode()) == write.etag.encode():
            if byte_range := apply_range(range_header, write.size):
                (start, end), status = byte_range, 206
                headers.append(content_range(start, end, write.size))
        if request.method == b"HEAD" or not write.chunks:
            head = write_head(status, headers, end - start, closing())
            return Response(status, head + body_data[start:end])

        async def stream(channel: Channel) -> bool:
            await channel.send(write_head(status, headers, end - start, closing()))
            try:
                async for part in self.buffer.reader.body(write, body_data, start, end):
                    await channel.send(part)
            except LogIOError:
                return False  # the client sees that the body is incomplete
            return True

        return Response(status, write=stream)

    async def overlay(self, query: Query) -> dict[str, Item | None]:
        """Return buffered writes in a listing, which the nodes lack, and buffered deletes (None).

        Reads in slices, so that a full buffer does not block other calls: a write flushed meanwhile is listed
        by its node, and a write accepted meanwhile may be listed or not, as with any listing.
        """
        items: dict[str, Item | None] = {}
        if query.bucket not in self.buffer.settings.buckets:
            return items
        now, core = time.time() - self.buffer.clock(), self.buffer.core
        for index, (bucket, path) in enumerate(list(core.keys)):
            if index % OVERLAY_BATCH == OVERLAY_BATCH - 1:
                await asyncio.sleep(0)
            if bucket != query.bucket or (entry := core.newest_of(bucket, path)) is None:
                continue
            name = unquote(path.split(b"/", 2)[2].decode())
            if name.startswith(query.prefix):
                modified = time.strftime("%Y-%m-%dT%H:%M:%S.000Z", time.gmtime(now + entry.accepted_at))
                items[name] = Item(name, entry.size, entry.etag, modified) if entry.method == "PUT" else None
        return items

    # --- calls of the buffer to nodes -----------------------------------------------------------

    def direct_calls(self) -> int:
        """Return the number of calls that the gateway holds, including the buffer's own."""
        return len(self.gateway.exchanges)

    def may_send(self) -> bool:
        """Whether the gateway starts new work."""
        return self.gateway.accepts_own_work

    def _buffer_call(
        self, write: Write, method: bytes, body: bytes, timeout_s: float, headers: Headers
    ) -> Call:
        """Return a gateway call for a buffered write: what the scheduler and a node receive."""
        gateway_settings, settings = self.gateway.config.settings, self.settings
        cls = settings.read_class if method == b"HEAD" else settings.write_class
        request_id = secrets.token_hex(8)
        fields = self.scheduler_fields(
            cls,
            timeout_s,
            write.bucket,
            write.placement_hash % gateway_settings.shards,
            f"{write.placement_hash:016x}",
            max(1, math.ceil(len(body) / settings.unit_bytes)),
            method != b"HEAD",
        )
        forwarded = [header for header in headers if header[0] not in HOP_BY_HOP]
        return Call(
            request_id,
            fields,
            method,
            write.target,
            [*forwarded, (b"x-request-id", request_id.encode())],
            body,
            is_final=lambda status: 200 <= status < 500,
        )

    async def send(
        self, write: Write, body: bytes, timeout_s: float, expected_version: str | None
    ) -> SendResult:
        """Attempt once to store a write on its node; see `interface.NodeSender`."""
        headers = [*write.headers, (b"idempotency-key", write.token)]
        if expected_version:
            headers.append((b"if-match", expected_version.encode()))
        elif expected_version == "" and write.method == "PUT":
            headers.append((b"if-none-match", b"*"))
        answer = await self.gateway.submit(
            self._buffer_call(write, write.method.encode(), body, timeout_s, headers)
        )
        status = answer.status
        if answer.kind is AnswerKind.REFUSED:
            return SendResult(Outcome.REJECTED, answer.retry_after or 0.0)
        if answer.kind is AnswerKind.FAILED or status in (408, 429):
            return SendResult(Outcome.UNKNOWN)
        if 200 <= status < 300 or status == 404 and write.method == "DELETE":
            return SendResult(Outcome.STORED)
        return SendResult(
            Outcome.DECLINED,
            reason=f"its node answers {status}"
            + (": another version has come there since" if status == 412 else ""),
        )

    async def read_version(self, write: Write, timeout_s: float) -> VersionResult:
        """Return the version that the node has; see `interface.NodeSender`."""
        answer = await self.gateway.submit(self._buffer_call(write, b"HEAD", b"", timeout_s, []))
        if answer.kind is not AnswerKind.SERVED or answer.status not in (200, 404):
            return VersionResult(False)
        etag = next((value for name, value in answer.headers if name == b"etag"), b"")
        return VersionResult(True, etag.decode("latin-1") if answer.status == 200 else None)
