"""The object front with the write-back buffer behind it, for the buckets that the operators' file names.

A plain PUT or DELETE of such a bucket is acknowledged once it is durable in this gateway's folder; reads see
it from then on.  What the buffer can't stand for (conditions on a node's state, multipart completions,
headers that ask a node for more than to keep them) goes to the node as ever, once nothing buffered stands
before it.
This front is also the buffer's way to the nodes: its calls pass the same decisions as a client's.
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
from mallowbeam.storage_gateway.frontends.object_api.access import require
from mallowbeam.storage_gateway.frontends.object_api.bodies import KNOWN, Body, bare
from mallowbeam.storage_gateway.frontends.object_api.calls import Request
from mallowbeam.storage_gateway.frontends.object_api.conditions import read_status, write_allowed
from mallowbeam.storage_gateway.frontends.object_api.errors import Error, slow_down
from mallowbeam.storage_gateway.frontends.object_api.front import BucketCall, Objects, cut_here, range_of
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

BARRIER = b"x-mallowbeam-barrier"  # on a write: `sync` or `through`
BARRIER_ID = b"x-mallowbeam-barrier-id"  # on an answer: the barrier's number
SLICE = 2000  # buffered names looked at in one go
DURABLE = (b"x-mallowbeam-durable", b"buffer")
NUMBER = re.compile(r"[0-9]{1,18}\Z")
# What a node is asked to keep with an object, and what concerns this hop only: writes with other headers of
# S3's are not taken in, since only a node can say what they come to.
KEPT = frozenset(
    (
        b"content-type",
        b"content-encoding",
        b"content-language",
        b"content-disposition",
        b"cache-control",
        b"expires",
    )
)
UNTOUCHED = frozenset(
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
    """The buffer's settings from its section of the operators' file; raises `GatewayConfigError`."""
    section = convert(BufferSection, raw, "buffer")
    assert section.folder is not None
    known = gateway.config.settings
    cls = known.classes[objects.write_class]
    if section.cache_bytes + section.flush_bytes > gateway.config.memory // 4:
        raise GatewayConfigError(
            "buffer: cache_bytes and flush_bytes together are over a quarter of the memory"
        )
    if objects.max_body > section.max_bytes // 4:
        raise GatewayConfigError("buffer.max_bytes: must hold at least four of the largest bodies")
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
    """The object front, buffering."""

    def __init__(self, gateway: Gateway, settings: ObjectSettings, buffer: Settings, handed: bool) -> None:
        super().__init__(gateway, settings)
        why = check_folder(buffer, handed)
        if why is not None:
            raise GatewayConfigError(why)
        self.max_buffered_body = min(settings.max_body, CHUNK_BYTES)  # larger bodies come in pieces
        self.buffer = Buffer(buffer, self, handed_over=handed)
        gateway.parts.append(self.buffer)

    # --- calls of clients -----------------------------------------------------------------------

    async def on_bucket(self, call: BucketCall) -> Response:
        """A call on a bucket: a barrier of a buffered one, or what the front offers for any."""
        if call.bucket in self.buffer.settings.buckets:
            if self.buffer.phase is not Phase.OPEN:
                raise slow_down()  # what it holds is not known here
            if "barrier" in call.query:
                return await self._barrier_call(call)
        return await super().on_bucket(call)

    async def serve(self, request: Request, request_id: str, closing: Callable[[], bool]) -> Response:
        """A call on an object: from here, into the buffer, or to its node."""
        if request.bucket not in self.buffer.settings.buckets:
            return await self._direct(request, request_id, closing)
        if self.buffer.phase is not Phase.OPEN:
            raise slow_down()
        if request.reads and not request.upload:
            return await self._read(request, request_id, closing)
        if request.method in (b"PUT", b"DELETE") and not request.upload:
            return await self._write(request, request_id, closing)
        if request.upload and request.method == b"POST":  # an upload becomes an object
            await self._stand_clear(request)
        return await self._direct(request, request_id, closing)

    def _deadline(self, message: Message) -> float:
        """Seconds that a write or barrier may take, by its client or its class."""
        return self.seconds(self.settings.write_class, message.get(b"x-deadline-ms"))

    async def _direct(self, request: Request, request_id: str, closing: Callable[[], bool]) -> Response:
        """A call straight to its node; a large body is held whole after all."""
        async with self.held(request.message):
            return await self.pass_on(request, request_id, closing)

    async def _stand_clear(self, request: Request) -> None:
        """Wait until nothing buffered stands before a direct write; refuse at once where that takes long."""
        buffer = self.buffer
        if not buffer.core.blocks_direct(request.bucket, request.path):
            return
        if (
            buffer.core.suspended_before_barrier(request.bucket) is not None
            or self._seconds(len(buffer.core.keys)) > 1.0
        ):
            raise slow_down()
        if not await buffer.waiters.direct_allowed(
            request.bucket, request.path, min(1.0, self._deadline(request.message))
        ):
            raise slow_down()

    def _seconds(self, writes: int) -> float:
        """How long so many writes may take to reach the nodes, by what is on its way at once and answers."""
        core = self.buffer.core
        cls = self.gateway.config.settings.classes[self.settings.write_class]
        return writes / max(1, core.allowed_in_flight(self.buffer.clock(), 0)) * cls.latency_target

    # --- writes ---------------------------------------------------------------------------------

    async def _write(self, request: Request, request_id: str, closing: Callable[[], bool]) -> Response:
        """A PUT or DELETE: taken in, or sent to its node where it can't be."""
        message, buffer = request.message, self.buffer
        barrier = request.headers.get(BARRIER)
        if barrier not in (None, b"sync", b"through"):
            raise Error("InvalidArgument")
        conditional = b"if-match" in request.headers or b"if-none-match" in request.headers
        known = self._standing(request) if conditional else None
        admission = buffer.intake.admit(
            request.bucket, request.path, max(message.received, message.length or 0)
        )
        if known is not None and admission is Admission.ACCEPT:
            self._check(request)
        if admission is Admission.SLOW_DOWN or known is not None and admission is not Admission.ACCEPT:
            raise slow_down()
        if admission is Admission.DIRECT or conditional and known is None or not self._bufferable(request):
            if barrier is not None:  # a barrier that nothing durable stands for is none
                raise slow_down()
            await self._stand_clear(request)
            return await self._direct(request, request_id, closing)
        try:
            entry = await self._take(request, request_id, known is not None)
        except RecordRejectedError:
            raise slow_down() from None
        except CommitUnknownError:
            raise Error("InternalError") from None
        try:
            lsn = await buffer.intake.put_barrier(request.bucket) if barrier is not None else None
        except (RecordRejectedError, CommitUnknownError):  # the write stands, so this is no refusal
            raise Error("InternalError") from None
        if lsn is not None and barrier == b"through":
            await self._through(request.bucket, lsn, self._deadline(request.message))
        headers = [(b"x-amz-request-id", request_id.encode()), DURABLE]
        if lsn is not None:
            headers.append((BARRIER_ID, b"%d" % lsn))
        if request.method == b"DELETE":
            return Response(204, write_head(204, headers, None, closing()))
        headers.append((b"etag", entry.etag.encode()))
        return Response(200, write_head(200, headers, 0, closing()))

    def _standing(self, request: Request) -> Entry | None:
        """The last write of that name taken in, durable or about to be."""
        chain = self.buffer.core.keys.get((request.bucket, request.path))
        return chain[-1] if chain else None

    def _check(self, request: Request) -> None:
        """Whether a write's conditions hold against what is buffered of its key; raises `Error`."""
        known = self._standing(request)
        if known is None or self.buffer.reader.newest(request.bucket, request.path) is not known:
            raise slow_down()  # it has just gone to its node, or may yet fail to be durable
        if not write_allowed(request.headers, known.etag if known.method == "PUT" else None):
            raise Error("PreconditionFailed")

    @staticmethod
    def _bufferable(request: Request) -> bool:
        """Whether nothing but keeping the bytes and their description is asked of the node."""
        return all(
            not name.startswith(b"x-amz-")
            or name in UNTOUCHED
            or name in KNOWN
            or name.startswith(b"x-amz-meta-")
            for name, _ in request.message.headers
        )

    async def _take(self, request: Request, request_id: str, conditional: bool) -> Entry:
        """Bring a write into the log: its body whole or in pieces, checked against what its client says."""
        message, buffer = request.message, self.buffer
        token = request.headers.get(b"idempotency-key", request_id.encode())
        if not TOKEN.match(token):
            raise Error("InvalidArgument")
        kept = [
            header
            for header in bare(message.headers)
            if header[0] in KEPT or header[0].startswith(b"x-amz-meta-")
        ]
        write = Write(
            request.method.decode(),
            request.bucket,
            request.path,
            request.place,
            kept,
            token,
            "",
            0,
            time.time(),
        )
        if request.method == b"DELETE":
            return await buffer.intake.put(write, b"")
        body = Body(request.headers, request.signatures)
        if message.stream is None:
            data = b"".join(body.feed(message.body))
            body.end()
            write.etag, write.size = body.etag, len(data)
            return await buffer.intake.put(write, data)
        return await self._take_pieces(request, write, body, conditional)

    async def _take_pieces(self, request: Request, write: Write, body: Body, conditional: bool) -> Entry:
        """A large body, a piece at a time."""
        stream, buffer, upload = request.message.stream, self.buffer, Upload()
        assert stream is not None
        try:
            while (piece := await stream.get()) is not None:
                for data in body.feed(piece):
                    if upload.size + len(data) > self.max_body:
                        raise Error("EntityTooLarge")
                    await buffer.intake.add(upload, data)
            if stream.aborted:
                raise Error("IncompleteBody")
            body.end()
            write.etag = body.etag
            await buffer.intake.complete(upload, write)
            if conditional:  # other writes may have come while the body did
                self._check(request)
            return await buffer.intake.put(write, b"")
        finally:
            buffer.intake.drop(upload)

    # --- barriers -------------------------------------------------------------------------------

    async def _barrier_call(self, call: BucketCall) -> Response:
        """`POST /b?barrier=sync|through` sets one, `GET /b?barrier=N` tells whether it has passed."""
        buffer, message, bucket, what = self.buffer, call.message, call.bucket, call.query["barrier"]
        require(call.key, "read" if message.method == b"GET" else "write", bucket, b"")
        headers = [(b"x-amz-request-id", call.request_id.encode())]
        if message.method == b"GET" and NUMBER.match(what):
            lsn = int(what)
            if lsn > buffer.store.lsn:
                raise Error("NoSuchBarrier")
            if buffer.core.writes_before(lsn) is not None:
                raise slow_down(self._seconds(buffer.core.writes_before(lsn) or 0))
            return Response(200, write_head(200, headers, 0, call.closing()))
        if message.method != b"POST":
            raise Error("MethodNotAllowed")
        if what not in ("sync", "through"):
            raise Error("InvalidArgument")
        try:
            lsn = await buffer.intake.put_barrier(bucket)
        except RecordRejectedError:
            raise slow_down() from None
        except CommitUnknownError:
            raise Error("InternalError") from None
        headers.append((BARRIER_ID, b"%d" % lsn))
        if what == "through":
            await self._through(bucket, lsn, self._deadline(message))
        return Response(200, write_head(200, headers, 0, call.closing()))

    async def _through(self, bucket: str, lsn: int, seconds: float) -> None:
        """Wait for a barrier; where it won't pass in time that is said at once, with its number for later."""
        before = self.buffer.core.writes_before(lsn) or 0
        expected = self._seconds(before)
        held = self.buffer.core.suspended_before_barrier(bucket) is not None
        if held or expected > seconds or not await self.buffer.waiters.barrier_passed(lsn, seconds):
            raise Error(
                "SlowDown", [(b"retry-after", b"%d" % max(1, math.ceil(expected))), (BARRIER_ID, b"%d" % lsn)]
            )

    # --- reads ----------------------------------------------------------------------------------

    async def _read(self, request: Request, request_id: str, closing: Callable[[], bool]) -> Response:
        """A GET or HEAD: from here while the key is buffered, else from its node."""
        entry = self.buffer.reader.newest(request.bucket, request.path)
        if entry is None:
            return await self.pass_on(request, request_id, closing)
        if entry.method == "DELETE":
            raise Error("NoSuchKey")
        try:
            write, whole = await self.buffer.reader.read(entry)
        except (LogIOError, ValueError):
            if self.buffer.phase is Phase.CLOSED:  # another process has what this one can't read any more
                raise slow_down() from None
            raise Error("InternalError") from None
        headers: Headers = [
            *write.headers,
            (b"etag", write.etag.encode()),
            (b"accept-ranges", b"bytes"),
            (b"last-modified", formatdate(write.accepted_at, usegmt=True).encode()),
            (b"x-amz-request-id", request_id.encode()),
        ]
        status = read_status(request.headers, write.etag, write.accepted_at)
        if status == 412:
            raise Error("PreconditionFailed")
        if status == 304:
            return Response(304, write_head(304, headers, None, closing()))
        start, end = 0, write.size
        asked = request.headers.get(b"range")
        if asked and request.headers.get(b"if-range", write.etag.encode()) == write.etag.encode():
            if piece := cut_here(asked, write.size):
                (start, end), status = piece, 206
                headers.append(range_of(start, end, write.size))
        if request.method == b"HEAD" or not write.chunks:
            head = write_head(status, headers, end - start, closing())
            return Response(status, head + whole[start:end])

        async def stream(channel: Channel) -> bool:
            await channel.send(write_head(status, headers, end - start, closing()))
            try:
                async for part in self.buffer.reader.body(write, whole, start, end):
                    await channel.send(part)
            except LogIOError:
                return False  # the client can tell that it is not whole
            return True

        return Response(status, write=stream)

    async def overlay(self, query: Query) -> dict[str, Item | None]:
        """What is buffered of a listing: the nodes do not have it yet, or still have what is deleted here.

        Read in slices, so that a full buffer holds up no other call: what goes to its node meanwhile is
        listed there, and what comes meanwhile may be listed or not, as with any listing.
        """
        laid: dict[str, Item | None] = {}
        if query.bucket not in self.buffer.settings.buckets:
            return laid
        now, core = time.time() - self.buffer.clock(), self.buffer.core
        for turn, (bucket, path) in enumerate(list(core.keys)):
            if turn % SLICE == SLICE - 1:
                await asyncio.sleep(0)
            if bucket != query.bucket or (entry := core.newest_of(bucket, path)) is None:
                continue
            name = unquote(path.split(b"/", 2)[2].decode())
            if name.startswith(query.prefix):
                modified = time.strftime("%Y-%m-%dT%H:%M:%S.000Z", time.gmtime(now + entry.accepted_at))
                laid[name] = Item(name, entry.size, entry.etag, modified) if entry.method == "PUT" else None
        return laid

    # --- the buffer's way to the nodes ----------------------------------------------------------

    def direct_calls(self) -> int:
        """Calls that the gateway holds, the buffer's own among them."""
        return len(self.gateway.exchanges)

    def may_send(self) -> bool:
        """Whether the gateway begins new work."""
        return self.gateway.begins

    def _buffer_call(
        self, write: Write, method: bytes, body: bytes, timeout_s: float, headers: Headers
    ) -> Call:
        """A call of the buffer's own, as the module and a node see it."""
        known, settings = self.gateway.config.settings, self.settings
        cls = settings.read_class if method == b"HEAD" else settings.write_class
        request_id = secrets.token_hex(8)
        fields = self.fields(
            cls,
            timeout_s,
            write.bucket,
            write.placement_hash % known.shards,
            f"{write.placement_hash:016x}",
            max(1, math.ceil(len(body) / settings.unit_bytes)),
            method != b"HEAD",
        )
        passed = [header for header in headers if header[0] not in HOP_BY_HOP]
        return Call(
            request_id,
            fields,
            method,
            write.target,
            [*passed, (b"x-request-id", request_id.encode())],
            body,
            final=lambda status: 200 <= status < 500,
        )

    async def send(
        self, write: Write, body: bytes, timeout_s: float, expected_version: str | None
    ) -> SendResult:
        """One attempt at storing a write; see `interface.NodeSender`."""
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
        """Which version the node has; see `interface.NodeSender`."""
        answer = await self.gateway.submit(self._buffer_call(write, b"HEAD", b"", timeout_s, []))
        if answer.kind is not AnswerKind.SERVED or answer.status not in (200, 404):
            return VersionResult(False)
        etag = next((value for name, value in answer.headers if name == b"etag"), b"")
        return VersionResult(True, etag.decode("latin-1") if answer.status == 200 else None)
