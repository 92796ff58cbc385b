"""Request bodies: decodes `aws-chunked`, computes digests on the fly and checks them at the end.

No I/O.  Sources: Amazon S3 API reference, "Signature calculations: transferring payload in multiple chunks"
(the framing, with and without signatures and trailers) and "Checking object integrity".  Chunk signatures are
checked if authentication is on.
"""

from __future__ import annotations

import base64
import hashlib
import re
from collections.abc import Mapping
from typing import Any
from zlib import crc32

from mallowbeam.http.framing import Headers, Message
from mallowbeam.storage_gateway.frontends.object_api.errors import S3Error
from mallowbeam.storage_gateway.frontends.object_api.signatures import ChunkSignatures

CHECKSUM_PREFIX = b"x-amz-checksum-"
CHECKSUM_HASHES = {CHECKSUM_PREFIX + b"sha1": hashlib.sha1, CHECKSUM_PREFIX + b"sha256": hashlib.sha256}
KNOWN_CHECKSUMS = frozenset({CHECKSUM_PREFIX + b"crc32", CHECKSUM_PREFIX + b"crc32c", *CHECKSUM_HASHES})
CHUNK_HEADER = re.compile(rb"([0-9a-fA-F]{1,8})(;chunk-signature=[0-9a-f]{64})?\Z")
TRAILER = re.compile(rb"([!#$%&'*+.^_`|~0-9A-Za-z-]{1,64}):[ \t]*([\x21-\x7e]{0,256})[ \t]*\Z")
MAX_LINE_BYTES = 512  # of a chunk header or a trailer
MAX_TRAILERS = 8
# Headers that describe only the framing; a node gets the decoded body.
FRAMING_HEADERS = frozenset(
    (b"x-amz-decoded-content-length", b"x-amz-trailer", b"content-length", b"transfer-encoding")
)


def is_chunked(headers: Mapping[bytes, bytes]) -> bool:
    """Whether a body is framed as `aws-chunked`."""
    return (
        headers.get(b"x-amz-content-sha256", b"").startswith(b"STREAMING-")
        or b"aws-chunked" in headers.get(b"content-encoding", b"").lower()
    )


class ChunkDecoder:
    """Incremental decoder of the `aws-chunked` framing; raises `S3Error` for malformed framing."""

    def __init__(self, signatures: ChunkSignatures | None = None) -> None:
        # The signature chain, and the signature that the current chunk states.
        self.signatures, self.chunk_signature = signatures, ""
        self.chunk_digest = hashlib.sha256()  # of the current chunk, if chunks are signed
        self.signed_trailers = b""  # the trailers in the form that is signed
        self.partial_line = bytearray()  # an incomplete line
        self.remaining = 0  # bytes of the current chunk not received yet, including its CRLF
        self.last_chunk_read = self.complete = False  # received: the empty chunk; the final empty line
        self.trailers: dict[bytes, bytes] = {}

    def feed(self, data: bytes | bytearray) -> list[memoryview]:
        """Decode received bytes and return the body bytes among them."""
        view, position, pieces = memoryview(data), 0, []
        while position < len(view):
            if self.remaining > 2:
                piece = view[position : position + self.remaining - 2]
                pieces.append(piece)
                if self.signatures is not None:
                    self.chunk_digest.update(piece)
                self.remaining -= len(piece)
                position += len(piece)
                continue
            end = bytes(view[position : position + MAX_LINE_BYTES]).find(b"\n")
            line_part = bytes(
                view[position : position + MAX_LINE_BYTES] if end < 0 else view[position : position + end + 1]
            )
            self.partial_line += line_part
            position += len(line_part)
            if len(self.partial_line) > MAX_LINE_BYTES:
                raise S3Error("InvalidRequest")
            if end >= 0:
                line = bytes(self.partial_line)
                self.partial_line.clear()
                self._line(line)
        return pieces

    def _line(self, line: bytes) -> None:
        if not line.endswith(b"\r\n") or self.complete:
            raise S3Error("InvalidRequest")
        line = line[:-2]
        if self.remaining:  # the CRLF after a chunk
            if line:
                raise S3Error("InvalidRequest")
            self.remaining = 0
            self._check_chunk()
        elif not self.last_chunk_read:
            match = CHUNK_HEADER.match(line)
            if match is None:
                raise S3Error("InvalidRequest")
            size = int(match[1], 16)
            self.remaining = size + 2 if size else 0
            self.last_chunk_read = not size
            self.chunk_signature = (match[2] or b"").partition(b"=")[2].decode()
            if self.last_chunk_read:
                self._check_chunk()
        elif not line:
            self.complete = True
        else:
            trailer = TRAILER.match(line)
            if trailer is None or len(self.trailers) >= MAX_TRAILERS:
                raise S3Error("InvalidRequest")
            name = trailer[1].lower()
            if name == b"x-amz-trailer-signature":
                if self.signatures is not None:
                    self.signatures.verify_trailers(self.signed_trailers, trailer[2].decode())
                    self.signed_trailers = b""
            else:
                self.signed_trailers += b"%b:%b\n" % (name, trailer[2])
            self.trailers[name] = trailer[2]

    def _check_chunk(self) -> None:
        if self.signatures is not None:
            self.signatures.verify_chunk(self.chunk_digest.hexdigest(), self.chunk_signature)
            self.chunk_digest = hashlib.sha256()

    def end(self) -> None:
        """Check that the framing is complete; some clients omit the final empty line."""
        if not self.last_chunk_read or self.remaining or self.partial_line:
            raise S3Error("IncompleteBody")
        if self.signatures is not None and self.signed_trailers:
            raise S3Error("SignatureDoesNotMatch")  # unsigned trailers


class BodyVerifier:
    """Decodes a body and checks it against the length and digests that its client declares.

    `compute_etag` says whether this process computes the object's ETag, as it does for buffered writes.
    """

    def __init__(
        self,
        headers: Mapping[bytes, bytes],
        signatures: ChunkSignatures | None = None,
        compute_etag: bool = True,
    ) -> None:
        self.headers, self.size = headers, 0
        self.chunks = ChunkDecoder(signatures) if is_chunked(headers) else None
        declared = headers.get(b"x-amz-decoded-content-length")
        if declared is not None and (not declared.isdigit() or len(declared) > 15):
            raise S3Error("InvalidArgument")
        self.declared_size = int(declared) if declared is not None and self.chunks is not None else None
        trailer_names = {name.strip().lower() for name in headers.get(b"x-amz-trailer", b"").split(b",")}
        checksum_names = {name for name in headers if name.startswith(CHECKSUM_PREFIX)} | trailer_names
        # An unknown checksum is left to the node in a header, but rejected in a trailer, which no node sees.
        self.crcs: dict[bytes, int] = dict.fromkeys(
            checksum_names & {CHECKSUM_PREFIX + b"crc32", CHECKSUM_PREFIX + b"crc32c"}, 0
        )
        self.hashes: dict[bytes, Any] = {
            name: CHECKSUM_HASHES[name](usedforsecurity=False)
            for name in checksum_names & CHECKSUM_HASHES.keys()
        }
        if {name for name in trailer_names if name.startswith(CHECKSUM_PREFIX)} - KNOWN_CHECKSUMS:
            raise S3Error("NotImplemented")
        # Skips the MD5 if the node computes the ETag and the client declares no MD5.
        md5 = compute_etag or self.chunks is not None or b"content-md5" in headers
        self.md5 = hashlib.md5(usedforsecurity=False) if md5 else None
        content_sha256 = headers.get(b"x-amz-content-sha256", b"")
        self.sha256 = hashlib.sha256() if re.fullmatch(rb"[0-9a-f]{64}", content_sha256) else None

    def feed(self, data: bytes | bytearray) -> list[memoryview]:
        """Process received bytes and return the body bytes among them; raises `S3Error`."""
        pieces = [memoryview(data)] if self.chunks is None else self.chunks.feed(data)
        for piece in pieces:
            self.size += len(piece)
            if self.md5 is not None:
                self.md5.update(piece)
            for name, value in self.crcs.items():
                self.crcs[name] = (
                    crc32(piece, value) if name == CHECKSUM_PREFIX + b"crc32" else update_crc32c(piece, value)
                )
            for digest in self.hashes.values():
                digest.update(piece)
            if self.sha256 is not None:
                self.sha256.update(piece)
        if self.declared_size is not None and self.size > self.declared_size:
            raise S3Error("IncompleteBody")
        return pieces

    def end(self) -> None:
        """Check the complete body against its declared length and digests; raises `S3Error`."""
        declared = dict(self.headers)
        if self.chunks is not None:
            self.chunks.end()
            declared |= self.chunks.trailers
        if self.declared_size is not None and self.size != self.declared_size:
            raise S3Error("IncompleteBody")
        computed = {name: value.to_bytes(4, "big") for name, value in self.crcs.items()}
        computed |= {name: digest.digest() for name, digest in self.hashes.items()}
        if self.md5 is not None and b"content-md5" in declared:
            computed[b"content-md5"] = self.md5.digest()
        for name, value in computed.items():
            if declared.get(name, b"").strip() != base64.b64encode(value):
                raise S3Error("BadDigest")
        if self.sha256 is not None and self.sha256.hexdigest().encode() != declared[b"x-amz-content-sha256"]:
            raise S3Error("XAmzContentSHA256Mismatch")

    @property
    def etag(self) -> str:
        """S3's ETag of an object stored in one PUT; only available for a `compute_etag` body."""
        assert self.md5 is not None
        return f'"{self.md5.hexdigest()}"'


def update_crc32c(data: memoryview, value: int) -> int:
    """Continue a CRC-32C from `value`."""
    from crc32c import crc32c  # imported lazily: few clients use it

    return crc32c(data, value)


def remove_framing(
    message: Message, headers: Mapping[bytes, bytes], signatures: ChunkSignatures | None
) -> None:
    """Check a buffered body, and remove its framing and the framing's headers; raises `S3Error`."""
    body = BodyVerifier(headers, signatures, compute_etag=False)
    pieces = body.feed(message.body)
    body.end()
    if body.chunks is not None:
        message.body = bytearray().join(pieces)
        message.headers = without_framing(message.headers)
        message.headers += [
            (name, value) for name, value in body.chunks.trailers.items() if name in KNOWN_CHECKSUMS
        ]


def without_framing(headers: Headers) -> Headers:
    """Return the headers that describe a body after its framing was removed."""
    kept = []
    for name, value in headers:
        if name == b"content-encoding":
            others = [part.strip() for part in value.split(b",") if part.strip().lower() != b"aws-chunked"]
            if not others:
                continue
            value = b",".join(others)
        elif name in FRAMING_HEADERS or name == b"x-amz-content-sha256":
            continue
        kept.append((name, value))
    return kept
