"""An object API over HTTP by S3's conventions: objects, byte ranges and multipart uploads.

An object's home is the shard that its name hashes to.  An upload id given to a client carries the shard and
the node's own upload id, so that any gateway, a restarted one too, finds the upload again.  Every call goes
through the gateway's decisions like any other request; only the words of S3 are added here.
"""

from __future__ import annotations

import base64
import binascii
import math
import re
import secrets
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from urllib.parse import parse_qsl, quote, unquote_to_bytes
from xml.etree.ElementTree import ParseError, register_namespace, tostring
from xml.sax.saxutils import escape
from zlib import crc32

from defusedxml import DefusedXmlException
from defusedxml.ElementTree import fromstring

from mallowbeam.fronts.ranges import Unsatisfiable, cut, span
from mallowbeam.net.config import BadConfig, read_address
from mallowbeam.net.gateway import Answer, Call, Gateway, Kind, length_of, read_deadline, time_left
from mallowbeam.net.http import HOP_BY_HOP, TOKEN, Budget, Channel, Headers, Message, write_head
from mallowbeam.net.server import Reply
from mallowbeam.net.stream import Stream, copy

MOST_MS = 86_400_000        # a deadline of over a day is senseless
MOST_PARTS = 10_000
MOST_KEY = 1024             # bytes of an object's name
BUCKET = re.compile(r"[a-z0-9][a-z0-9.-]{1,61}[a-z0-9]\Z")
# What concerns one connection, or the talk between gateway and node, is not passed on.
OWN_REQUEST = HOP_BY_HOP | {b"x-deadline-ms", b"x-request-id", b"idempotency-key"}
OWN_ANSWER = HOP_BY_HOP | {b"x-meter", b"x-delta", b"x-load", b"x-not-run", b"x-amz-request-id"}
# The calls offered, by method, and the query that each may have (x-id: some clients name the operation).
QUERIES = {b"GET": {"uploadId", "max-parts", "part-number-marker", "x-id"}, b"HEAD": set(),
           b"PUT": {"partNumber", "uploadId", "x-id"}, b"DELETE": {"uploadId", "x-id"},
           b"POST": {"uploads", "uploadId", "x-id"}}

# S3's error codes: status and words.  The first of a status stands for it where no closer code is known.
ERRORS = {
    "InvalidRequest": (400, "Invalid request."),
    "EntityTooLarge": (413, "Your proposed upload exceeds the maximum allowed size."),
    "InternalError": (500, "We encountered an internal error. Please try again."),
    "BadDigest": (400, "The digest you specified did not match what we received."),
    "IncompleteBody": (400, "You did not provide the number of bytes specified by Content-Length."),
    "XAmzContentSHA256Mismatch": (400, "The provided x-amz-content-sha256 does not match what we received."),
    "InvalidArgument": (400, "Invalid argument."),
    "InvalidBucketName": (400, "The specified bucket is not valid."),
    "InvalidRange": (416, "The requested range is not satisfiable."),
    "KeyTooLongError": (400, "Your key is too long."),
    "MethodNotAllowed": (405, "The specified method is not allowed against this resource."),
    "MissingContentLength": (411, "You must provide the Content-Length HTTP header."),
    "NoSuchKey": (404, "The specified key does not exist."),
    "NoSuchBarrier": (404, "There is no barrier of that number."),
    "NoSuchUpload": (404, "The specified multipart upload does not exist."),
    "NotImplemented": (501, "A header or query you provided implies functionality that is not implemented."),
    "PreconditionFailed": (412, "At least one of the preconditions you specified did not hold."),
    "RequestHeaderSectionTooLarge": (431, "Your request header section exceeds the maximum allowed size."),
    "RequestTimeout": (408, "Your request was not read within the timeout period."),
    "SlowDown": (503, "Please reduce your request rate."),
}
register_namespace("", "http://s3.amazonaws.com/doc/2006-03-01/")

CODE_OF = {status: code for code, (status, _) in reversed(ERRORS.items())}


class Error(Exception):
    """An S3 error that the gateway itself answers with."""

    def __init__(self, code: str, headers: Headers | None = None) -> None:
        super().__init__(code)
        self.code, self.headers = code, headers or []


@dataclass(slots=True, frozen=True)
class ObjectSettings:
    """What the file under deploy/ says of this front."""

    listen: tuple[str, int]
    read_class: str
    write_class: str
    plan: str
    plans: dict[str, str]                      # of single buckets
    unit_bytes: int
    max_body: int
    held: int


def read_object_settings(raw: dict, gateway: Gateway) -> ObjectSettings:
    """The front's settings; raises `BadConfig`."""
    try:
        classes = raw["classes"]
        settings = ObjectSettings(
            read_address(raw["listen"]), classes["read"], classes["write"], raw["plan"],
            dict(raw.get("plans", {})), int(raw["unit_bytes"]), int(raw["max_body_bytes"]),
            int(raw["held_bytes"]))
    except (KeyError, TypeError, ValueError) as error:
        raise BadConfig(f"the object front's settings are malformed: {error}") from None
    known = gateway.config.settings
    for name in (settings.read_class, settings.write_class):
        if name not in known.classes:
            raise BadConfig(f"the object front names an unknown class: {name}")
    for name in (settings.plan, *settings.plans.values()):
        if name not in known.plans:
            raise BadConfig(f"the object front names an unknown plan: {name}")
    if settings.held > gateway.config.memory // 2:
        raise BadConfig("the object front may hold more than half of the memory")
    if settings.unit_bytes < 1 or settings.max_body < 1 or settings.held < settings.max_body:
        raise BadConfig("the object front's sizes are senseless")
    return settings


def pack_upload(shard: int, inner: str) -> str:
    """The upload id that a client gets: where the upload lives, and what the node calls it."""
    return f"1.{shard}." + base64.urlsafe_b64encode(inner.encode()).decode().rstrip("=")


def unpack_upload(outer: str) -> tuple[int, str]:
    """Shard and the node's upload id; raises `Error`."""
    version, _, rest = outer.partition(".")
    shard, _, text = rest.partition(".")
    try:
        if version != "1" or not shard.isascii() or not shard.isdigit() or len(shard) > 9 or not text:
            raise ValueError
        inner = base64.b64decode(text + "=" * (-len(text) % 4), altchars=b"-_", validate=True)
        return int(shard), inner.decode()
    except (ValueError, binascii.Error):
        raise Error("NoSuchUpload") from None


def error_body(code: str, target: bytes, request_id: str) -> bytes:
    """S3's error document."""
    resource = escape(target.partition(b"?")[0].decode("latin-1"))
    return (f'<?xml version="1.0" encoding="UTF-8"?>\n<Error><Code>{code}</Code><Message>{ERRORS[code][1]}'
            f"</Message><Resource>{resource}</Resource><RequestId>{escape(request_id)}</RequestId>"
            "</Error>").encode()


class Request:
    """One call of a client, taken apart; raises `Error` for what S3 would turn down."""

    def __init__(self, message: Message, settings: ObjectSettings, shards: int) -> None:
        self.message, self.method = message, message.method
        self.headers: Mapping[bytes, bytes] = dict(reversed(message.headers))
        path, _, raw_query = message.target.partition(b"?")
        bucket, _, key = path[1:].partition(b"/")
        name = unquote_to_bytes(key)
        if not path.startswith(b"/") or not BUCKET.match(bucket.decode("latin-1")):
            raise Error("InvalidBucketName")
        if not key:
            raise Error("NotImplemented")      # calls on buckets: what a bucket holds is spread over nodes
        if len(name) > MOST_KEY:
            raise Error("KeyTooLongError")
        self.place = crc32(bucket + b"/" + name)
        # One spelling for each name, as S3 has it (the canonical URI of Signature V4).
        self.path = b"/" + bucket + b"/" + quote(name, safe="/-._~").encode()
        self.bucket, self.key = bucket.decode(), f"{self.place:016x}"
        self.query = dict(parse_qsl(raw_query.decode("latin-1"), keep_blank_values=True))
        self.target = message.target
        self.upload: str | None = None         # the id that the client knows
        self.shard = self.place % shards
        if "uploadId" in self.query:
            self.upload = self.query["uploadId"]
            self.shard, inner = unpack_upload(self.upload)
            if self.shard >= shards:
                raise Error("NoSuchUpload")
            pairs = [pair for pair in raw_query.split(b"&") if pair.partition(b"=")[0] != b"uploadId"]
            pairs.append(b"uploadId=" + quote(inner, safe="").encode())
            self.target = path + b"?" + b"&".join(pairs)
        self._check()
        self.reads = self.method in (b"GET", b"HEAD")
        size = span(self.headers.get(b"range")) if self.reads else max(message.came, message.length or 0)
        self.units = max(1, math.ceil((size or 0) / settings.unit_bytes))

    @property
    def initiates(self) -> bool:
        """Whether the call begins an upload."""
        return self.method == b"POST" and "uploads" in self.query

    def _check(self) -> None:
        """Allow the calls that this front knows, and turn down the others rather than guess."""
        query, method = self.query, self.method
        part, upload = query.get("partNumber"), self.upload
        if method not in QUERIES:
            raise Error("MethodNotAllowed")
        if b"x-amz-copy-source" in self.headers:
            raise Error("NotImplemented")
        if set(query) - QUERIES[method]:
            raise Error("NotImplemented")
        if part is not None and not (part.isascii() and part.isdigit() and len(part) < 6
                                     and 1 <= int(part) <= MOST_PARTS):
            raise Error("InvalidArgument")
        if method == b"PUT" and (part is None) != (upload is None):
            raise Error("InvalidArgument")
        if method == b"POST" and ("uploads" in query) == (upload is not None):
            raise Error("InvalidArgument")
        if method == b"PUT" and not {b"content-length", b"transfer-encoding"} & set(self.headers):
            raise Error("MissingContentLength")


def slow_down(seconds: float | None = None) -> Error:
    """A refusal; clients of S3 read whole seconds."""
    return Error("SlowDown", [(b"retry-after", b"%d" % max(1, math.ceil(seconds or 0)))])


class Objects:
    """Turns S3 calls into the gateway's calls and answers back."""

    def __init__(self, gateway: Gateway, settings: ObjectSettings) -> None:
        self.gateway, self.settings = gateway, settings
        self.max_body = self.whole = settings.max_body
        self.budget = Budget(settings.held)

    async def handle(self, message: Message, closing: Callable[[], bool]) -> Reply:
        """One call to its one answer."""
        request_id = secrets.token_hex(8)
        try:
            request = Request(message, self.settings, self.gateway.config.settings.shards)
            return await self.pass_on(request, request_id, closing)
        except Error as error:
            return self.error(error, message, request_id, closing())

    async def pass_on(self, request: Request, request_id: str, closing: Callable[[], bool]) -> Reply:
        """A call to its home node; raises `Error`."""
        call = self._call(request, request_id)
        answer = await self.gateway.submit(call)
        if answer.kind is Kind.REFUSED:
            raise slow_down(answer.retry_after)
        if answer.kind is Kind.FAILED:
            raise Error("InternalError")
        if answer.stream is not None:
            return self._streamed(request, answer, answer.stream, request_id, closing)
        return self._whole(request, answer, request_id, closing())

    def complain(self, status: int, text: str) -> Reply:
        """The answer to what breaks HTTP or a bound."""
        code = CODE_OF.get(status, "InvalidRequest")
        headers = [(b"content-type", b"application/xml")]
        if code == "SlowDown":
            headers.append((b"retry-after", b"1"))
        body = error_body(code, b"", "")
        return Reply(ERRORS[code][0], write_head(ERRORS[code][0], headers, len(body), True) + body)

    def ended(self, request: Message, status: int, whole: bool) -> None:
        """A call is over: reads and writes count for the classes that stand for them."""
        settings = self.settings
        lane = settings.read_class if request.method in (b"GET", b"HEAD") else settings.write_class
        self.gateway.metrics.ended(lane, status, whole)

    def _call(self, request: Request, request_id: str) -> Call:
        """What goes to the module and to a node."""
        settings, known, headers = self.settings, self.gateway.config.settings, request.headers
        cls = known.classes[settings.read_class if request.reads else settings.write_class]
        seconds = self.seconds(cls.name, headers.get(b"x-deadline-ms"))
        passed = [header for header in request.message.headers if header[0] not in OWN_REQUEST]
        # A client's own key is kept, so that its own repeat is dropped too; else every attempt shares ours.
        token = headers.get(b"idempotency-key", request_id.encode())
        if not TOKEN.match(token):
            raise Error("InvalidArgument")
        passed.append((b"x-request-id", request_id.encode()))
        if not request.reads:
            passed.append((b"idempotency-key", token))
        fields = self.fields(cls.name, seconds, request.bucket, request.shard, request.key,
                             request.units, not request.reads)
        return Call(
            request_id, fields, request.method, request.target, passed, request.message.body,
            final=lambda status: 200 <= status < 500,
            streamed=lambda status: request.method == b"GET" and status in (200, 206) and not request.upload)

    def seconds(self, cls: str, asked: bytes | None) -> float:
        """What a call of that class may take here, by its client's word or its class; raises `Error`."""
        known = self.gateway.config.settings.classes[cls].deadline
        deadline = known if asked is None else read_deadline(asked, MOST_MS)
        if deadline is None:
            raise Error("InvalidArgument")
        return time_left(deadline)

    def fields(self, cls: str, expires: float, bucket: str, shard: int, key: str, units: int,
               writes: bool) -> dict[str, object]:
        """What the module is told of a call."""
        settings = self.settings
        return dict(cls=cls, expires_in=expires, shard=shard, key=key, volume=bucket, is_write=writes,
                    units=min(units, self.gateway.config.settings.units_top),
                    plan=settings.plans.get(bucket, settings.plan))

    @staticmethod
    def error(error: Error, message: Message, request_id: str, close: bool) -> Reply:
        """An S3 error."""
        body = error_body(error.code, message.target, request_id)
        headers = [(b"content-type", b"application/xml"), (b"x-amz-request-id", request_id.encode())]
        head = write_head(ERRORS[error.code][0], headers + error.headers, len(body), close)
        return Reply(ERRORS[error.code][0], head + body)

    def _whole(self, request: Request, answer: Answer, request_id: str, close: bool) -> Reply:
        """A node's answer that was read whole; what names an upload is put in the client's terms."""
        headers, body = passed_on(answer, request_id), answer.body
        if request.method == b"HEAD":
            length = length_of(answer.headers)
            if answer.status == 200 and length is not None and (asked := request.headers.get(b"range")):
                if piece := cut_here(asked, length):
                    headers.append(range_of(*piece, length))
                    return Reply(206, write_head(206, headers, piece[1] - piece[0], close))
            return Reply(answer.status, write_head(answer.status, headers, length, close))
        if answer.status >= 400 and not body:
            code = CODE_OF.get(answer.status, "InvalidRequest")
            if code == "NoSuchKey" and request.upload:
                code = "NoSuchUpload"
            body = error_body(code, request.message.target, request_id)
            headers.append((b"content-type", b"application/xml"))
        elif answer.status == 200 and (request.initiates or request.upload and request.method == b"GET"):
            body = self._rename_upload(request, bytes(body))
        size = None if answer.status in (204, 304) else len(body)
        return Reply(answer.status, write_head(answer.status, headers, size, close) + body)

    def _rename_upload(self, request: Request, body: bytes) -> bytes:
        """Put the client's upload id in the place of the node's."""
        try:
            root = fromstring(body)
            element = next(e for e in root.iter() if e.tag.rpartition("}")[2] == "UploadId")
        except (ParseError, DefusedXmlException, StopIteration):
            raise Error("InternalError") from None
        element.text = request.upload or pack_upload(request.shard, element.text or "")
        return tostring(root, encoding="UTF-8", xml_declaration=True)

    def _streamed(self, request: Request, answer: Answer, stream: Stream, request_id: str,
                  closing: Callable[[], bool]) -> Reply:
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
            chunked = size is None and request.message.version != "1.0"
            try:
                await channel.send(write_head(status, headers, size, closing(), chunked))
                return await copy(stream, channel, start, size, chunked)
            finally:
                stream.close()

        return Reply(status, write=write)


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
