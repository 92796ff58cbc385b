"""A storage node that speaks S3's conventions for objects, and the platform's requests as well.

Objects live in memory.  Byte ranges, conditions (RFC 9110, 13.1), multipart uploads, and the drop of a keyed
write's repeat within `window` seconds are offered; each run is recorded, so that a checker can tell what ran,
how often and when.  Answers go out in one write, with TCP_NODELAY.
"""

from __future__ import annotations

import asyncio
import hashlib
import re
import threading
import time
from collections.abc import Callable
from dataclasses import dataclass, field
from urllib.parse import parse_qs, quote, unquote, urlsplit
from xml.etree import ElementTree

import httptools

from mallowbeam.standins.faults import Rule, Script

NAMESPACE = "http://s3.amazonaws.com/doc/2006-03-01/"
REASONS = {200: "OK", 204: "No Content", 206: "Partial Content", 304: "Not Modified", 400: "Bad Request",
           404: "Not Found", 412: "Precondition Failed", 416: "Range Not Satisfiable",
           500: "Internal Server Error", 503: "Service Unavailable"}
KEPT = ("content-type", "content-encoding", "content-language", "content-disposition", "cache-control",
        "expires")

Answer = tuple[int, dict[str, str], bytes]


@dataclass(slots=True)
class Run:
    """A request that ran."""

    at: float                                  # seconds, steady
    method: str
    path: str
    token: str                                 # its idempotency key, empty without one
    etag: str                                  # of its body
    deduped: bool = False                      # dropped as the repeat of an earlier run


@dataclass(slots=True)
class Stored:
    """An object as it is kept."""

    body: bytes
    etag: str
    headers: dict[str, str]


@dataclass(slots=True)
class Store:
    """What one node holds, and what has run there; it outlives the node's listening socket."""

    objects: dict[str, Stored] = field(default_factory=dict)
    uploads: dict[str, tuple[str, dict[int, bytes]]] = field(default_factory=dict)
    done: dict[str, tuple[float, Answer]] = field(default_factory=dict)  # by idempotency key
    history: list[Run] = field(default_factory=list)

    @property
    def runs(self) -> list[str]:
        """Method and path of each request that ran, in order."""
        return [f"{run.method} {run.path}" for run in self.history if not run.deduped]


def document(tag: str, **fields: object) -> bytes:
    """A small XML document; a list makes several elements."""
    root = ElementTree.Element(f"{{{NAMESPACE}}}{tag}")
    for name, value in fields.items():
        for item in value if isinstance(value, list) else [value]:
            element = ElementTree.SubElement(root, f"{{{NAMESPACE}}}{name}")
            if isinstance(item, dict):
                for inner, text in item.items():
                    ElementTree.SubElement(element, f"{{{NAMESPACE}}}{inner}").text = str(text)
            else:
                element.text = str(item)
    return bytes(ElementTree.tostring(root, encoding="UTF-8", xml_declaration=True))


def error(status: int, code: str, headers: dict[str, str] | None = None) -> Answer:
    """S3's error answer."""
    return status, headers or {}, f"<Error><Code>{code}</Code></Error>".encode()


def etag_of(body: bytes) -> str:
    """S3's ETag of a body put whole: its MD5, quoted."""
    return f'"{hashlib.md5(body, usedforsecurity=False).hexdigest()}"'


class Backend:
    """Runs requests on a store; knows no socket."""

    def __init__(self, store: Store, ignores_ranges: bool = False, window: float = 4.0) -> None:
        self.store, self.ignores_ranges, self.window = store, ignores_ranges, window

    def handle(self, method: str, target: str, headers: dict[str, str], body: bytes) -> Answer:
        """One request to its answer; the repeat of a keyed one gets the first one's."""
        token, now = headers.get("idempotency-key", ""), time.monotonic()
        path = urlsplit(target).path
        known = self.store.done.get(token)
        if token and known is not None and now - known[0] < self.window:
            self.store.history.append(Run(now, method, path, token, "", True))
            return known[1]
        self.store.history.append(Run(now, method, target, token, etag_of(body) if body else ""))
        answer = self._run(method, target, headers, body)
        if token:
            self.store.done[token] = now, answer
        return answer

    def _run(self, method: str, target: str, headers: dict[str, str], body: bytes) -> Answer:
        url = urlsplit(target)
        path = unquote(url.path)               # however its name is spelled, it is one object
        if "x-extent" in headers:              # the platform's: less the class
            path = "/" + path.split("/", 2)[2]
        query = {name: values[0] for name, values in parse_qs(url.query, keep_blank_values=True).items()}
        objects = self.store.objects
        if "uploadId" in query:
            return self._upload(method, path, query, body)
        if method == "POST" and "uploads" in query:
            upload = f"u/{len(self.store.uploads)}+{time.time_ns():x}"
            self.store.uploads[upload] = path, {}
            bucket, _, name = path[1:].partition("/")
            return 200, {}, document("InitiateMultipartUploadResult", Bucket=bucket, Key=name,
                                     UploadId=upload)
        if method == "GET" and path.count("/") == 1:
            return self._listing(path[1:], query)
        known = objects.get(path)
        if method in ("PUT", "DELETE") and not self._holds(headers, known):
            return error(412, "PreconditionFailed")
        if method == "PUT":
            kept = {name: value for name, value in headers.items()
                    if name in KEPT or name.startswith("x-amz-meta-")}
            stored = objects[path] = Stored(body, etag_of(body), kept)
            return 200, {"ETag": stored.etag}, b"stored" if "x-extent" in headers else b""
        if method == "DELETE":
            objects.pop(path, None)
            return 204, {}, b""
        if known is None:
            return error(404, "NoSuchKey")
        return self._piece(known, headers)

    def _listing(self, bucket: str, query: dict[str, str]) -> Answer:
        """ListObjectsV2, names in percent-encoding."""
        prefix, delimiter = query.get("prefix", ""), query.get("delimiter", "")
        after = unquote(query.get("continuation-token", "")) or query.get("start-after", "")
        most, found = int(query.get("max-keys", "1000")), dict[str, dict[str, object]]()
        places = sorted((path.split("/", 2)[2] for path in self.store.objects
                         if path.startswith(f"/{bucket}/")), key=str.encode)
        last, more = "", False
        for name in places:
            if name.encode() <= after.encode() or not name.startswith(prefix):
                continue
            at = name.find(delimiter, len(prefix)) if delimiter else -1
            shown = name if at < 0 else name[:at + len(delimiter)]
            if shown not in found and len(found) >= most:
                more = True
                break
            stored = self.store.objects[f"/{bucket}/{name}"]
            found[shown] = {"Prefix": quote(shown)} if at >= 0 else {
                "Key": quote(shown), "Size": len(stored.body), "ETag": stored.etag,
                "LastModified": "2026-12-01T00:00:00.000Z"}
            last = name
        fields: dict[str, object] = {"IsTruncated": "true" if more else "false"}
        if more:
            fields["NextContinuationToken"] = quote(last)
        fields["Contents"] = [entry for entry in found.values() if "Key" in entry]
        fields["CommonPrefixes"] = [entry for entry in found.values() if "Prefix" in entry]
        return 200, {}, document("ListBucketResult", **fields)

    @staticmethod
    def _holds(headers: dict[str, str], known: Stored | None) -> bool:
        """Whether a write's conditions hold (RFC 9110, 13.1.1 and 13.1.2)."""
        match, none = headers.get("if-match"), headers.get("if-none-match")
        if match is not None and (known is None or match not in ("*", known.etag)):
            return False
        return none is None or known is None or none not in ("*", known.etag)

    def _piece(self, known: Stored, asked: dict[str, str]) -> Answer:
        """The range asked for, or all of it."""
        data = known.body
        headers = {**known.headers, "ETag": known.etag, "Accept-Ranges": "bytes"}
        match = re.fullmatch(r"bytes=(\d*)-(\d*)", asked.get("range", ""))
        first, last = match.groups() if match else ("", "")
        if not first + last or first and last and int(first) > int(last) or self.ignores_ranges:
            return 200, headers, data
        start = int(first) if first else max(0, len(data) - int(last))
        end = min(int(last) + 1, len(data)) if first and last else len(data)
        if start >= len(data):
            return error(416, "InvalidRange", {"Content-Range": f"bytes */{len(data)}"})
        return 206, {**headers, "Content-Range": f"bytes {start}-{end - 1}/{len(data)}"}, data[start:end]

    def _upload(self, method: str, path: str, query: dict[str, str], body: bytes) -> Answer:
        """The calls on one multipart upload."""
        upload, store = query["uploadId"], self.store
        known, parts = store.uploads.get(upload, ("", {}))
        if known != path:
            return error(404, "NoSuchUpload")
        if method == "PUT":
            parts[int(query["partNumber"])] = body
            return 200, {"ETag": etag_of(body)}, b""
        if method == "GET":
            listed = [{"PartNumber": number, "ETag": etag_of(part), "Size": len(part)}
                      for number, part in sorted(parts.items())]
            return 200, {}, document("ListPartsResult", UploadId=upload, Part=listed)
        if method == "DELETE":
            del store.uploads[upload]
            return 204, {}, b""
        wanted = [int(number) for number in re.findall(rb"<PartNumber>\s*(\d+)\s*</PartNumber>", body)]
        if not wanted or any(number not in parts for number in wanted):
            return error(400, "InvalidPart")
        whole = b"".join(parts[number] for number in wanted)
        store.objects[path] = Stored(whole, etag_of(whole), {})
        del store.uploads[upload]
        return 200, {}, document("CompleteMultipartUploadResult", ETag=etag_of(whole))


class Connection(asyncio.Protocol):
    """One connection to a stand-in: requests in, answers out, faults between."""

    def __init__(self, server: Server) -> None:
        self.server = server
        self.parser = httptools.HttpRequestParser(self)
        self.transport: asyncio.Transport
        self.target, self.body = b"", bytearray()
        self.headers: dict[str, str] = {}
        self.waiting: list[tuple[str, str, dict[str, str], bytes]] = []
        self.task: asyncio.Task[None] | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """A gateway has connected."""
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport
        self.server.connections.add(self)

    def connection_lost(self, exc: Exception | None) -> None:
        """It has gone: what is standing still is given up."""
        self.server.connections.discard(self)
        if self.task is not None:
            self.task.cancel()

    def data_received(self, data: bytes) -> None:
        """Bytes of requests."""
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserError:
            self.transport.abort()

    def on_message_begin(self) -> None:
        """httptools: a request begins."""
        self.target, self.headers, self.body = b"", {}, bytearray()

    def on_url(self, url: bytes) -> None:
        """httptools: a piece of the target."""
        self.target += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """httptools: a header."""
        self.headers[name.decode().lower()] = value.decode("latin-1").strip()

    def on_headers_complete(self) -> None:
        """httptools: the head is over."""
        if self.headers.get("expect", "").lower() == "100-continue":
            self.transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def on_body(self, body: bytes) -> None:
        """httptools: a piece of the body."""
        self.body += body

    def on_message_complete(self) -> None:
        """httptools: a request is whole."""
        method = self.parser.get_method().decode()
        self.waiting.append((method, self.target.decode("latin-1"), self.headers, bytes(self.body)))
        if self.task is None or self.task.done():
            self._next()

    def _next(self) -> None:
        """Answer what waits; only a fault that takes time needs a task."""
        while self.waiting and not self.transport.is_closing():
            request = self.waiting.pop(0)
            rule = self.server.script.take(request[0], request[1])
            hold = max(self.server.stands_until - time.monotonic(),
                       rule.seconds if rule is not None and rule.action == "stall" else self.server.delay)
            if hold > 0:
                self.task = asyncio.create_task(self._later(hold, rule, request))
                return
            self._answer(rule, request)

    async def _later(self, seconds: float, rule: Rule | None,
                     request: tuple[str, str, dict[str, str], bytes]) -> None:
        await asyncio.sleep(seconds)
        self._answer(rule, request)
        self._next()

    def _answer(self, rule: Rule | None, request: tuple[str, str, dict[str, str], bytes]) -> None:
        match rule.action if rule is not None else "":
            case "refuse":
                return self._write(503, {"X-Not-Run": "1"}, b"", request[0])
            case "error":
                return self._write(500, {}, b"", request[0])
            case "status":
                assert rule is not None
                return self._write(rule.status, {}, b"", request[0])
            case "cut":
                return self.transport.abort()
        if self.server.draining:
            return self._write(503, {"X-Not-Run": "1"}, b"", request[0])
        status, headers, data = self.server.handle(*request)
        if rule is not None and rule.action == "run-cut":
            return self.transport.abort()
        cut = 40 if rule is not None and rule.action == "answer-cut" else None
        self._write(status, headers, data, request[0], cut)
        if rule is not None and rule.action == "answer-die":
            asyncio.get_running_loop().call_soon(self.server.die)

    def _write(self, status: int, headers: dict[str, str], data: bytes, method: str,
               cut: int | None = None) -> None:
        lines = [f"HTTP/1.1 {status} {REASONS.get(status, 'Unknown')}",
                 *(f"{name}: {value}" for name, value in headers.items())]
        if status not in (204, 304):
            lines.append(f"Content-Length: {len(data)}")
        head = "\r\n".join([*lines, "", ""]).encode()
        self.transport.write((head if method == "HEAD" else head + data)[:cut])
        if cut is not None:
            self.transport.close()


class Server:
    """A stand-in that listens on loopback, in a thread and a loop of its own."""

    def __init__(self, address: tuple[str, int] = ("127.0.0.1", 0), script: Script | None = None,
                 delay: float = 0.0) -> None:
        self.script, self.delay = script or Script(), delay
        self.stands_until = 0.0                # steady time before which nothing is answered
        self.draining = False
        self.connections: set[Connection] = set()
        self.loop = asyncio.new_event_loop()
        self._server: asyncio.Server | None = None
        self._thread = threading.Thread(target=self.loop.run_forever, daemon=True)
        self._thread.start()
        self.address = address
        self.listen()

    def handle(self, method: str, target: str, headers: dict[str, str], body: bytes) -> Answer:
        """The answer to a request: the stand-in's own business."""
        raise NotImplementedError

    def listen(self) -> None:
        """Take connections, again after `die`: at the same address."""
        async def start() -> None:
            self._server = await self.loop.create_server(lambda: Connection(self), *self.address)
            self.address = self._server.sockets[0].getsockname()[:2]
        asyncio.run_coroutine_threadsafe(start(), self.loop).result(10)

    def call(self, function: Callable[[], object]) -> None:
        """Run something in the stand-in's own thread."""
        self.loop.call_soon_threadsafe(function)

    def stand_still(self, seconds: float) -> None:
        """Answer nothing for a while: a pause of the machine."""
        self.stands_until = time.monotonic() + seconds

    def die(self) -> None:
        """Take no connection and reset those open; to be called in the stand-in's thread."""
        if self._server is not None:
            self._server.close()
        for connection in list(self.connections):
            connection.transport.abort()

    def close(self) -> None:
        """The end."""
        async def end() -> None:
            self.die()
            await asyncio.sleep(0)
        asyncio.run_coroutine_threadsafe(end(), self.loop).result(10)
        self.loop.call_soon_threadsafe(self.loop.stop)
        self._thread.join(10)
        self.loop.close()

    @property
    def host_port(self) -> str:
        """Where it listens."""
        return f"{self.address[0]}:{self.address[1]}"


class ObjectNode(Server):
    """A storage node on a socket."""

    def __init__(self, address: tuple[str, int] = ("127.0.0.1", 0), ignores_ranges: bool = False,
                 window: float = 4.0, store: Store | None = None, script: Script | None = None,
                 delay: float = 0.0) -> None:
        self.store = store or Store()
        self.backend = Backend(self.store, ignores_ranges, window)
        super().__init__(address, script, delay)

    def handle(self, method: str, target: str, headers: dict[str, str], body: bytes) -> Answer:
        """Run a request on the store."""
        return self.backend.handle(method, target, headers, body)

    def replace(self) -> None:
        """Another machine in this one's place: nothing of the old one's objects is there."""
        self.store = self.backend.store = Store()
