"""Executes the requests of a stand-in storage node on its store, without I/O.

It supports byte ranges, conditions (RFC 9110, 13.1), multipart uploads, and deduplication of requests with
an idempotency key within `window` seconds. Each request is recorded with its time, for checkers.
"""

from __future__ import annotations

import re
import time
from urllib.parse import parse_qs, quote, unquote, urlsplit

from mallowbeam.standins.documents import document, error
from mallowbeam.standins.store import Answer, Run, Store, Stored, etag_of

STORED_HEADERS = (
    "content-type",
    "content-encoding",
    "content-language",
    "content-disposition",
    "cache-control",
    "expires",
)


class Backend:
    """Executes requests on a store; `window` is the deduplication window in seconds."""

    def __init__(self, store: Store, ignores_ranges: bool = False, window: float = 4.0) -> None:
        self.store = store
        self.ignores_ranges = ignores_ranges
        self.window = window

    def handle(self, method: str, target: str, headers: dict[str, str], body: bytes) -> Answer:
        """Answer a request; repeating an idempotency key within the window gets the first answer."""
        idempotency_key, now = headers.get("idempotency-key", ""), time.monotonic()
        path = urlsplit(target).path
        earlier = self.store.done.get(idempotency_key)
        if idempotency_key and earlier is not None and now - earlier[0] < self.window:
            self.store.history.append(Run(now, method, path, idempotency_key, "", True))
            return earlier[1]
        self.store.history.append(Run(now, method, target, idempotency_key, etag_of(body) if body else ""))
        answer = self._execute(method, target, headers, body)
        if idempotency_key:
            self.store.done[idempotency_key] = now, answer
        return answer

    def _execute(self, method: str, target: str, headers: dict[str, str], body: bytes) -> Answer:
        """Execute a request, without deduplication."""
        url = urlsplit(target)
        path = unquote(url.path)  # different encodings of a name denote one object
        if "x-extent" in headers:  # a request of the platform: drop the storage class
            path = "/" + path.split("/", 2)[2]
        query = {name: values[0] for name, values in parse_qs(url.query, keep_blank_values=True).items()}
        if "uploadId" in query:
            return self._upload(method, path, query, body)
        if method == "POST" and "uploads" in query:
            return self._create_upload(path)
        if method == "GET" and path.count("/") == 1:
            return self._list_objects(path[1:], query)
        return self._object(method, path, headers, body)

    def _create_upload(self, path: str) -> Answer:
        """Begin a multipart upload."""
        upload = f"u/{len(self.store.uploads)}+{time.time_ns():x}"
        self.store.uploads[upload] = path, {}
        bucket, _, name = path[1:].partition("/")
        body = document("InitiateMultipartUploadResult", Bucket=bucket, Key=name, UploadId=upload)
        return 200, {}, body

    def _object(self, method: str, path: str, headers: dict[str, str], body: bytes) -> Answer:
        """Write, delete or read one object."""
        objects = self.store.objects
        existing = objects.get(path)
        if method in ("PUT", "DELETE") and not self._conditions_met(headers, existing):
            return error(412, "PreconditionFailed")
        if method == "PUT":
            stored = objects[path] = Stored(body, etag_of(body), _stored_headers(headers))
            return 200, {"ETag": stored.etag}, b"stored" if "x-extent" in headers else b""
        if method == "DELETE":
            objects.pop(path, None)
            return 204, {}, b""
        if existing is None:
            return error(404, "NoSuchKey")
        return self._read_range(existing, headers)

    def _list_objects(self, bucket: str, query: dict[str, str]) -> Answer:
        """Answer ListObjectsV2; names are percent-encoded."""
        prefix, delimiter = query.get("prefix", ""), query.get("delimiter", "")
        start_after = unquote(query.get("continuation-token", "")) or query.get("start-after", "")
        max_keys, entries = int(query.get("max-keys", "1000")), dict[str, dict[str, object]]()
        names = sorted(
            (path.split("/", 2)[2] for path in self.store.objects if path.startswith(f"/{bucket}/")),
            key=str.encode,
        )
        last_name, truncated = "", False
        for name in names:
            if name.encode() <= start_after.encode() or not name.startswith(prefix):
                continue
            delimiter_at = name.find(delimiter, len(prefix)) if delimiter else -1
            listed_name = name if delimiter_at < 0 else name[: delimiter_at + len(delimiter)]
            if listed_name not in entries and len(entries) >= max_keys:
                truncated = True
                break
            stored = self.store.objects[f"/{bucket}/{name}"]
            entries[listed_name] = (
                {"Prefix": quote(listed_name)}
                if delimiter_at >= 0
                else {
                    "Key": quote(listed_name),
                    "Size": len(stored.body),
                    "ETag": stored.etag,
                    "LastModified": "2026-12-01T00:00:00.000Z",
                }
            )
            last_name = name
        fields: dict[str, object] = {"IsTruncated": "true" if truncated else "false"}
        if truncated:
            fields["NextContinuationToken"] = quote(last_name)
        fields["Contents"] = [entry for entry in entries.values() if "Key" in entry]
        fields["CommonPrefixes"] = [entry for entry in entries.values() if "Prefix" in entry]
        return 200, {}, document("ListBucketResult", **fields)

    @staticmethod
    def _conditions_met(headers: dict[str, str], stored: Stored | None) -> bool:
        """Whether the conditions of a write are met (RFC 9110, 13.1.1 and 13.1.2)."""
        if_match, if_none_match = headers.get("if-match"), headers.get("if-none-match")
        if if_match is not None and (stored is None or if_match not in ("*", stored.etag)):
            return False
        return if_none_match is None or stored is None or if_none_match not in ("*", stored.etag)

    def _read_range(self, stored: Stored, request_headers: dict[str, str]) -> Answer:
        """Answer with the requested byte range, or the complete object."""
        data = stored.body
        headers = {**stored.headers, "ETag": stored.etag, "Accept-Ranges": "bytes"}
        match = re.fullmatch(r"bytes=(\d*)-(\d*)", request_headers.get("range", ""))
        first, last = match.groups() if match else ("", "")
        if not first + last or first and last and int(first) > int(last) or self.ignores_ranges:
            return 200, headers, data
        start = int(first) if first else max(0, len(data) - int(last))
        end = min(int(last) + 1, len(data)) if first and last else len(data)
        if start >= len(data):
            return error(416, "InvalidRange", {"Content-Range": f"bytes */{len(data)}"})
        return 206, {**headers, "Content-Range": f"bytes {start}-{end - 1}/{len(data)}"}, data[start:end]

    def _upload(self, method: str, path: str, query: dict[str, str], body: bytes) -> Answer:
        """Answer a request on a multipart upload: upload part, list parts, abort or complete."""
        upload, store = query["uploadId"], self.store
        known, parts = store.uploads.get(upload, ("", {}))
        if known != path:
            return error(404, "NoSuchUpload")
        if method == "PUT":
            parts[int(query["partNumber"])] = body
            return 200, {"ETag": etag_of(body)}, b""
        if method == "GET":
            listed = [
                {"PartNumber": number, "ETag": etag_of(part), "Size": len(part)}
                for number, part in sorted(parts.items())
            ]
            return 200, {}, document("ListPartsResult", UploadId=upload, Part=listed)
        if method == "DELETE":
            del store.uploads[upload]
            return 204, {}, b""
        wanted = [int(number) for number in re.findall(rb"<PartNumber>\s*(\d+)\s*</PartNumber>", body)]
        if not wanted or any(number not in parts for number in wanted):
            return error(400, "InvalidPart")
        assembled = b"".join(parts[number] for number in wanted)
        store.objects[path] = Stored(assembled, etag_of(assembled), {})
        del store.uploads[upload]
        return 200, {}, document("CompleteMultipartUploadResult", ETag=etag_of(assembled))


def _stored_headers(headers: dict[str, str]) -> dict[str, str]:
    """The headers of a write that are stored with the object."""
    return {
        name: value
        for name, value in headers.items()
        if name in STORED_HEADERS or name.startswith("x-amz-meta-")
    }
