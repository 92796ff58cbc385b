"""Parses client requests on objects: name, home shard, upload, and whether the operation is supported."""

from __future__ import annotations

import math
import re
from collections.abc import Mapping
from urllib.parse import parse_qsl, quote, unquote_to_bytes
from zlib import crc32

from mallowbeam.http.framing import Message
from mallowbeam.storage_gateway.frontends.object_api.errors import S3Error
from mallowbeam.storage_gateway.frontends.object_api.ranges import max_range_bytes
from mallowbeam.storage_gateway.frontends.object_api.settings import ObjectSettings
from mallowbeam.storage_gateway.frontends.object_api.signatures import ChunkSignatures
from mallowbeam.storage_gateway.frontends.object_api.uploads import decode_upload_id

MAX_PARTS = 10_000
MAX_KEY_BYTES = 1024  # of an object's name
BUCKET_NAME = re.compile(r"[a-z0-9][a-z0-9.-]{1,61}[a-z0-9]\Z")
# Supported methods with the query parameters that each may have (x-id: some clients name the operation).
QUERY_PARAMETERS = {
    b"GET": {"uploadId", "max-parts", "part-number-marker", "x-id"},
    b"HEAD": set(),
    b"PUT": {"partNumber", "uploadId", "x-id"},
    b"DELETE": {"uploadId", "x-id"},
    b"POST": {"uploads", "uploadId", "x-id"},
}
BUCKET_TARGET = re.compile(rb"/([a-z0-9][a-z0-9.-]{1,61}[a-z0-9])/?(?:\?([\x21-\x7e]*))?\Z")
LISTING_PARAMETERS = {
    "list-type",
    "prefix",
    "delimiter",
    "max-keys",
    "continuation-token",
    "start-after",
    "marker",
    "encoding-type",
    "fetch-owner",
    "x-id",
}
SIGNATURE_PARAMETERS = frozenset(
    f"X-Amz-{name}"
    for name in ("Algorithm", "Credential", "Date", "Expires", "SignedHeaders", "Signature", "Security-Token")
)


class Request:
    """A client's parsed request on an object; raises `S3Error` for one that S3 would reject."""

    def __init__(self, message: Message, settings: ObjectSettings, shards: int) -> None:
        self.message, self.method = message, message.method
        self.headers: Mapping[bytes, bytes] = dict(reversed(message.headers))
        path, _, raw_query = message.target.partition(b"?")
        bucket, _, key = path[1:].partition(b"/")
        name = unquote_to_bytes(key)
        if not path.startswith(b"/") or not BUCKET_NAME.match(bucket.decode("latin-1")):
            raise S3Error("InvalidBucketName")
        if not key:
            raise S3Error("NotImplemented")  # bucket operations: a bucket is spread over nodes
        if len(name) > MAX_KEY_BYTES:
            raise S3Error("KeyTooLongError")
        try:
            name.decode()  # S3 names are UTF-8
        except UnicodeDecodeError:
            raise S3Error("InvalidURI") from None
        self.placement_hash = crc32(bucket + b"/" + name)
        # The canonical spelling of each name, as in Signature V4's canonical URI.
        self.path = b"/" + bucket + b"/" + quote(name, safe="/-._~").encode()
        self.bucket, self.key = bucket.decode(), f"{self.placement_hash:016x}"
        self.query = dict(parse_qsl(raw_query.decode("latin-1"), keep_blank_values=True))
        self.signatures: ChunkSignatures | None = None  # of the body's chunks, if they are signed
        # Presigned query parameters are not forwarded, and the upload id is replaced by the node's own.
        pairs = [
            pair
            for pair in raw_query.split(b"&")
            if pair and pair.partition(b"=")[0].decode("latin-1") not in (*SIGNATURE_PARAMETERS, "uploadId")
        ]
        self.upload: str | None = None  # the id given to the client
        self.shard = self.placement_hash % shards
        if "uploadId" in self.query:
            self.upload = self.query["uploadId"]
            self.shard, node_upload_id = decode_upload_id(self.upload)
            if self.shard >= shards:
                raise S3Error("NoSuchUpload")
            pairs.append(b"uploadId=" + quote(node_upload_id, safe="").encode())
        self.target = path + (b"?" + b"&".join(pairs) if pairs else b"")
        self._check()
        self.is_read = self.method in (b"GET", b"HEAD")
        size = (
            max_range_bytes(self.headers.get(b"range"))
            if self.is_read
            else max(message.received, message.length or 0)
        )
        self.set_units(size or 0, settings)

    def set_units(self, size: int, settings: ObjectSettings) -> None:
        """Set the request's size in scheduling units from its size in bytes."""
        self.units = max(1, math.ceil(size / settings.unit_bytes))

    @property
    def initiates_upload(self) -> bool:
        """Whether the request initiates a multipart upload."""
        return self.method == b"POST" and "uploads" in self.query

    def _check(self) -> None:
        """Reject operations that the object API does not support, rather than guess what they mean."""
        query, method = self.query, self.method
        part, upload = query.get("partNumber"), self.upload
        if method not in QUERY_PARAMETERS:
            raise S3Error("MethodNotAllowed")
        if b"x-amz-copy-source" in self.headers:
            raise S3Error("NotImplemented")
        if set(query) - QUERY_PARAMETERS[method] - SIGNATURE_PARAMETERS:
            raise S3Error("NotImplemented")
        if part is not None and not (
            part.isascii() and part.isdigit() and len(part) < 6 and 1 <= int(part) <= MAX_PARTS
        ):
            raise S3Error("InvalidArgument")
        if method == b"PUT" and (part is None) != (upload is None):
            raise S3Error("InvalidArgument")
        if method == b"POST" and ("uploads" in query) == (upload is not None):
            raise S3Error("InvalidArgument")
        if method == b"PUT" and not {b"content-length", b"transfer-encoding"} & set(self.headers):
            raise S3Error("MissingContentLength")
