"""Two toy storage nodes and a toy discovery, for trying mallowbeam on one machine.

A node keeps objects in memory, answers byte ranges and multipart uploads by S3's conventions, drops the
repeat of a keyed write, and takes the platform's requests as well, since both are paths and bodies.
"""

from __future__ import annotations

import argparse
import hashlib
import json
import re
import threading
import time
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from pathlib import Path
from urllib.parse import parse_qs, urlsplit
from xml.etree import ElementTree

NAMESPACE = "http://s3.amazonaws.com/doc/2006-03-01/"


class Store:
    """What one node holds, and what has run there."""

    def __init__(self) -> None:
        self.lock = threading.Lock()
        self.objects: dict[str, bytes] = {}
        self.uploads: dict[str, tuple[str, dict[int, bytes]]] = {}
        self.done: dict[str, tuple] = {}       # answers by idempotency key
        self.runs: list[str] = []              # each request that ran, in order


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
    return ElementTree.tostring(root, encoding="UTF-8", xml_declaration=True)


def error(status: int, code: str) -> tuple:
    """S3's error answer."""
    return status, {}, f"<Error><Code>{code}</Code></Error>".encode()


def etag(body: bytes) -> str:
    """What names a body's content."""
    return f'"{hashlib.md5(body, usedforsecurity=False).hexdigest()}"'


class Handler(BaseHTTPRequestHandler):
    """One connection to a node."""

    protocol_version = "HTTP/1.1"
    server: Node

    def answer(self) -> None:
        """Run a request and write its answer."""
        body = self.rfile.read(int(self.headers.get("Content-Length") or 0))
        store, key = self.server.store, self.headers.get("Idempotency-Key")
        with store.lock:
            if key in store.done:
                status, headers, data = store.done[key]
            else:
                store.runs.append(f"{self.command} {self.path}")
                status, headers, data = self.run(store, body)
                if key is not None:
                    store.done[key] = status, headers, data
        self.send_response(status)
        for name, value in {"Content-Length": len(data), **headers}.items():
            self.send_header(name, str(value))
        self.end_headers()
        if self.command != "HEAD":
            self.wfile.write(data)

    do_GET = do_HEAD = do_PUT = do_POST = do_DELETE = answer

    def run(self, store: Store, body: bytes) -> tuple:
        """Status, headers and body."""
        url = urlsplit(self.path)
        if "X-Extent" in self.headers:         # the platform's: the class is no part of the data's name
            url = url._replace(path="/" + url.path.split("/", 2)[2])
        query = {name: values[0] for name, values in parse_qs(url.query, keep_blank_values=True).items()}
        if "uploadId" in query:
            return self.run_upload(store, url.path, query, body)
        match self.command:
            case "POST" if "uploads" in query:
                upload = f"u/{len(store.uploads)}+{time.time_ns():x}"
                store.uploads[upload] = url.path, {}
                bucket, _, name = url.path[1:].partition("/")
                return 200, {}, document("InitiateMultipartUploadResult", Bucket=bucket, Key=name,
                                         UploadId=upload)
            case "PUT":
                store.objects[url.path] = body
                return 200, {"ETag": etag(body)}, b"stored"
            case "DELETE":
                store.objects.pop(url.path, None)
                return 204, {}, b""
        if url.path not in store.objects:
            return error(404, "NoSuchKey")
        return self.piece(store.objects[url.path])

    def piece(self, data: bytes) -> tuple:
        """The range asked for, or all of it."""
        headers = {"ETag": etag(data), "Accept-Ranges": "bytes"}
        match = re.fullmatch(r"bytes=(\d*)-(\d*)", self.headers.get("Range", ""))
        first, last = match.groups() if match else ("", "")
        if not first + last or first and last and int(first) > int(last) or self.server.ignores_ranges:
            return 200, headers, data
        start = int(first) if first else max(0, len(data) - int(last))
        end = min(int(last) + 1, len(data)) if first and last else len(data)
        if start >= len(data):
            status, headers, body = error(416, "InvalidRange")
            return status, {"Content-Range": f"bytes */{len(data)}"}, body
        return 206, {**headers, "Content-Range": f"bytes {start}-{end - 1}/{len(data)}"}, data[start:end]

    def run_upload(self, store: Store, path: str, query: dict[str, str], body: bytes) -> tuple:
        """The calls on one multipart upload."""
        upload = query["uploadId"]
        known, parts = store.uploads.get(upload, (None, {}))
        if known != path:
            return error(404, "NoSuchUpload")
        match self.command:
            case "PUT":
                parts[int(query["partNumber"])] = body
                return 200, {"ETag": etag(body)}, b""
            case "GET":
                listed = [{"PartNumber": number, "ETag": etag(part), "Size": len(part)}
                          for number, part in sorted(parts.items())]
                return 200, {}, document("ListPartsResult", UploadId=upload, Part=listed)
            case "DELETE":
                del store.uploads[upload]
                return 204, {}, b""
        wanted = [int(number) for number in re.findall(rb"<PartNumber>\s*(\d+)\s*</PartNumber>", body)]
        if not wanted or any(number not in parts for number in wanted):
            return error(400, "InvalidPart")
        store.objects[path] = b"".join(parts[number] for number in wanted)
        del store.uploads[upload]
        return 200, {}, document("CompleteMultipartUploadResult", ETag=etag(store.objects[path]))

    def log_message(self, *_: object) -> None:
        """Quiet."""


class Node(ThreadingHTTPServer):
    """A storage node."""

    daemon_threads = True

    def __init__(self, address: tuple[str, int], ignores_ranges: bool = False) -> None:
        super().__init__(address, Handler)
        self.store, self.ignores_ranges = Store(), ignores_ranges


class Discovery(BaseHTTPRequestHandler):
    """A discovery whose list never changes: a watch waits its time and hears of nothing."""

    protocol_version = "HTTP/1.1"
    members: list = []

    def do_GET(self) -> None:
        """The list, or no change to it."""
        query = parse_qs(urlsplit(self.path).query)
        if "since" in query:
            time.sleep(min(60.0, int(query.get("timeout_ms", ["0"])[0]) / 1000))
        listing = {"revision": 1, "complete": "since" not in query,
                   "members": [] if "since" in query else self.members}
        body = json.dumps(listing).encode()
        self.send_response(200)
        self.send_header("Content-Length", str(len(body)))
        self.end_headers()
        self.wfile.write(body)

    def log_message(self, *_: object) -> None:
        """Quiet."""


def main() -> None:
    """Serve the nodes and the discovery that a configuration names, until interrupted."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("config", nargs="?", default=Path(__file__).with_name("config.json"))
    config = json.loads(Path(parser.parse_args().config).read_text())

    def address(text: str) -> tuple[str, int]:
        host, _, port = text.rpartition(":")
        return host, int(port)

    Discovery.members = config["known"]["members"]
    servers = [Node(address(member["host_port"])) for member in Discovery.members]
    servers.append(ThreadingHTTPServer(address(config["discovery"]), Discovery))
    threads = [threading.Thread(target=server.serve_forever, daemon=True) for server in servers]
    for thread in threads:
        thread.start()
    print(f"{len(servers) - 1} nodes and discovery are up; interrupt to stop")
    try:
        threading.Event().wait()
    except KeyboardInterrupt:
        pass


if __name__ == "__main__":
    main()
