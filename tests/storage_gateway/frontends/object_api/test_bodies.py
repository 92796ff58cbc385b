"""Bodies as S3 clients frame them: chunks decoded from arbitrary reads, and digests checked."""

from __future__ import annotations

import base64
import hashlib
from zlib import crc32

import pytest
import uvloop
from botocore.exceptions import ClientError
from clients import s3_client
from crc32c import crc32c
from hypothesis import given
from hypothesis import strategies as st
from scenario import World

from mallowbeam.storage_gateway.frontends.object_api.bodies import BodyVerifier, ChunkDecoder, without_framing
from mallowbeam.storage_gateway.frontends.object_api.errors import S3Error

SIGNED = b";chunk-signature=" + b"0" * 64
STREAMING = {b"x-amz-content-sha256": b"STREAMING-UNSIGNED-PAYLOAD-TRAILER"}


def framed(pieces: list[bytes], trailers: dict[bytes, bytes] | None = None, extra: bytes = b"") -> bytes:
    data = b"".join(b"%x%b\r\n%b\r\n" % (len(piece), extra, piece) for piece in pieces if piece)
    lines = b"".join(b"%b:%b\r\n" % trailer for trailer in (trailers or {}).items())
    return data + b"0" + extra + b"\r\n" + lines + b"\r\n"


@given(
    st.lists(st.binary(max_size=60), max_size=6),
    st.lists(st.integers(1, 40), min_size=1, max_size=20),
    st.booleans(),
)
def test_chunks_come_apart_wherever_the_bytes_are_cut(pieces, cuts, signed):
    data = framed(pieces, {b"x-amz-checksum-crc32": b"AAAAAA=="}, SIGNED if signed else b"")
    chunks, out, at, turn = ChunkDecoder(), b"", 0, 0
    while at < len(data):
        size = cuts[turn % len(cuts)]
        out += b"".join(chunks.feed(data[at : at + size]))
        at, turn = at + size, turn + 1
    chunks.end()
    assert out == b"".join(pieces) and chunks.complete
    assert chunks.trailers == {b"x-amz-checksum-crc32": b"AAAAAA=="}


@given(st.binary(max_size=300))
def test_arbitrary_bytes_are_decoded_or_raise_an_s3_error(data):
    chunks = ChunkDecoder()
    try:
        chunks.feed(data)
        chunks.end()
    except S3Error as error:
        assert error.code in ("InvalidRequest", "IncompleteBody")
    assert len(chunks.partial_line) <= 1024


@pytest.mark.parametrize(
    "data, code",
    [
        (b"zz\r\n", "InvalidRequest"),
        (b"5\r\nhello", "IncompleteBody"),
        (b"5\r\nhelloX\r\n", "InvalidRequest"),
        (b"5\nhello", "InvalidRequest"),
        (b"0\r\nbad trailer\r\n\r\n", "InvalidRequest"),
        (b"", "IncompleteBody"),
        (b"0\r\n\r\nmore\r\n", "InvalidRequest"),
        (b"5;chunk-signature=short\r\n", "InvalidRequest"),
        (b"x" * 2000, "InvalidRequest"),
        (framed([], {b"a%d" % i: b"" for i in range(9)}), "InvalidRequest"),
        (b"fffffffff\r\n", "InvalidRequest"),
    ],
)
def test_framing_that_breaks_is_told(data, code):
    chunks = ChunkDecoder()
    with pytest.raises(S3Error) as error:
        chunks.feed(data)
        chunks.end()
    assert error.value.code == code


def verified(data: bytes, headers: dict[bytes, bytes]) -> BodyVerifier:
    body = BodyVerifier(headers)
    body.feed(data)
    body.end()
    return body


def checksum_of(name: str, data: bytes) -> bytes:
    if name.startswith("crc"):
        value = (crc32 if name == "crc32" else crc32c)(data).to_bytes(4, "big")
    else:
        value = hashlib.new(name, data).digest()
    return base64.b64encode(value)


@pytest.mark.parametrize("name", ["crc32", "crc32c", "sha1", "sha256"])
def test_a_checksum_is_checked_in_a_header_and_in_a_trailer(name):
    key = b"x-amz-checksum-" + name.encode()
    assert (
        verified(b"hello", {key: checksum_of(name, b"hello")}).etag
        == f'"{hashlib.md5(b"hello").hexdigest()}"'
    )
    with pytest.raises(S3Error, match="BadDigest"):
        verified(b"hullo", {key: checksum_of(name, b"hello")})
    headers = {**STREAMING, b"x-amz-trailer": key, b"x-amz-decoded-content-length": b"5"}
    verified(framed([b"hel", b"lo"], {key: checksum_of(name, b"hello")}), headers)
    for wrong in ({key: checksum_of(name, b"hullo")}, {}):
        with pytest.raises(S3Error, match="BadDigest"):
            verified(framed([b"hello"], wrong), headers)


@pytest.mark.parametrize(
    "headers, code",
    [
        ({b"x-amz-decoded-content-length": b"6"}, "IncompleteBody"),
        ({b"x-amz-decoded-content-length": b"4"}, "IncompleteBody"),
        ({b"x-amz-decoded-content-length": b"-1"}, "InvalidArgument"),
        ({b"x-amz-trailer": b"x-amz-checksum-crc64nvme"}, "NotImplemented"),
    ],
)
def test_headers_of_a_framed_body_must_match_it(headers, code):
    with pytest.raises(S3Error, match=code):
        verified(framed([b"hello"]), STREAMING | headers)


def test_headers_without_framing_keep_the_objects_own_coding():
    headers = [
        (b"content-encoding", b"aws-chunked,gzip"),
        (b"x-amz-decoded-content-length", b"5"),
        (b"x-amz-trailer", b"x"),
        (b"x-amz-content-sha256", b"STREAMING-X"),
        (b"content-type", b"a/b"),
    ]
    assert without_framing(headers) == [(b"content-encoding", b"gzip"), (b"content-type", b"a/b")]
    assert without_framing([(b"content-encoding", b"aws-chunked")]) == []


@pytest.mark.parametrize("bucket", ["plates", "buffered"])
def test_a_real_client_puts_and_gets_with_its_defaults(nodes, tmp_path, bucket):
    """boto3 with its defaults, aws-chunked with a CRC32 trailer, and a request with a wrong trailer."""
    import asyncio

    def use(port: int) -> None:
        s3 = s3_client(port)
        for size in (0, 5, 700_000):
            body = bytes(range(256)) * (size // 256) + b"x" * (size % 256)
            put = s3.put_object(Bucket=bucket, Key=f"a b+c/{size}", Body=body, ContentType="text/x")
            assert put["ETag"] == f'"{hashlib.md5(body).hexdigest()}"'
            got = s3.get_object(Bucket=bucket, Key=f"a b+c/{size}")
            assert got["Body"].read() == body and got["ContentType"] == "text/x"
        upload = s3.create_multipart_upload(Bucket=bucket, Key="m")["UploadId"]
        part = s3.upload_part(Bucket=bucket, Key="m", UploadId=upload, PartNumber=1, Body=b"part")
        s3.complete_multipart_upload(
            Bucket=bucket,
            Key="m",
            UploadId=upload,
            MultipartUpload={"Parts": [{"PartNumber": 1, "ETag": part["ETag"]}]},
        )
        assert s3.get_object(Bucket=bucket, Key="m")["Body"].read() == b"part"
        s3.delete_object(Bucket=bucket, Key="m")
        with pytest.raises(ClientError, match="NoSuchKey"):
            s3.get_object(Bucket=bucket, Key="m")
        s3.close()

    lines = [
        f"PUT /{bucket}/bad HTTP/1.1",
        "host: x",
        "content-length: 46",
        "x-amz-trailer: x-amz-checksum-crc32",
        "x-amz-content-sha256: STREAMING-UNSIGNED-PAYLOAD-TRAILER",
        "",
        "5",
        "hello",
        "0",
        "x-amz-checksum-crc32:AAAAAA==",
        "",
        "",
    ]
    wrong = r"\r\n".join(lines)

    async def play() -> None:
        section = {"folder": str(tmp_path), "buckets": ["buffered"], "max_bytes": 64 << 20}
        async with World(servers=[node.host_port for node in nodes], buffer=section) as world:
            await world.gateway.subsystems[0].opened.wait()
            await asyncio.to_thread(use, world.objects[1])
            await world.play(f"""
                o1 send raw "{wrong}"
                o1 expect 400 BadDigest
                o1 send GET /{bucket}/bad
                o1 expect 404
            """)

    uvloop.run(play())
