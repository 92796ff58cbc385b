"""Signature V4 and grants: a real client's signatures, presigned URLs, signed chunks, reloaded keys."""

from __future__ import annotations

import asyncio
import hashlib
import hmac
import json
import os
import urllib.error
import urllib.request
from pathlib import Path

import pytest
import uvloop
from botocore.exceptions import ClientError
from clients import s3_client
from hypothesis import given
from hypothesis import strategies as st
from scenario import EXAMPLE, World

from mallowbeam.http.framing import Message
from mallowbeam.storage_gateway.frontends.object_api.access import Access, is_allowed, read_keys
from mallowbeam.storage_gateway.frontends.object_api.errors import S3Error
from mallowbeam.storage_gateway.frontends.object_api.signatures import (
    canonical_request,
    check_time,
    parse_claim,
    parse_query_claim,
    verify,
)
from mallowbeam.storage_gateway.server.config import GatewayConfigError

ID, SECRET = "mallowbeam-example", "mallowbeam-example-secret"
NOW = 1_796_083_200.0  # 2026-12-01T00:00:00Z
DATE, DAY = "20261201T000000Z", "20261201"
CREDENTIAL = f"{ID}/{DAY}/eu-south-1/s3/aws4_request"


def with_world(nodes, use, keys: Path = EXAMPLE / "keys.json") -> None:
    async def play() -> None:
        async with World(servers=[node.host_port for node in nodes], keys=str(keys)) as world:
            await asyncio.to_thread(use, world.objects[1])

    uvloop.run(play())


def code(call, *args, **kwargs) -> str:
    with pytest.raises(ClientError) as error:
        call(*args, **kwargs)
    return error.value.response["Error"]["Code"]


def test_a_real_clients_signatures_are_good_and_nobody_elses(nodes):
    def use(port: int) -> None:
        s3 = s3_client(port, ID, SECRET)
        for key in ("a", "b c+d/~e", "ü/%41", "//x"):
            s3.put_object(Bucket="plates", Key=key, Body=b"body", Metadata={"lane": "7  8"})
            assert s3.get_object(Bucket="plates", Key=key)["Body"].read() == b"body"
        upload = s3.create_multipart_upload(Bucket="plates", Key="m")["UploadId"]
        s3.upload_part(Bucket="plates", Key="m", UploadId=upload, PartNumber=1, Body=b"part")
        assert len(s3.list_parts(Bucket="plates", Key="m", UploadId=upload)["Parts"]) == 1
        put = {"Bucket": "plates", "Key": "a", "Body": b"x"}
        assert code(s3_client(port, ID, "another-secret").put_object, **put) == "SignatureDoesNotMatch"
        assert code(s3_client(port, "stranger", SECRET).put_object, **put) == "InvalidAccessKeyId"
        assert code(s3.put_object, **put | {"Bucket": "elsewhere"}) == "AccessDenied"

    with_world(nodes, use)
    assert not any("elsewhere" in run for node in nodes for run in node.store.runs)


def test_a_presigned_url_is_good_for_its_path_its_time_and_nothing_else(nodes):
    def status(url: str) -> int:
        try:
            with urllib.request.urlopen(url, timeout=10) as answer:
                return answer.status
        except urllib.error.HTTPError as error:
            return error.code

    def use(port: int) -> None:
        s3 = s3_client(port, ID, SECRET)
        for key in ("a", "b"):
            s3.put_object(Bucket="plates", Key=key, Body=b"body")
        url = s3.generate_presigned_url("get_object", Params={"Bucket": "plates", "Key": "a"}, ExpiresIn=60)
        assert status(url) == 200
        assert status(url.replace("/plates/a?", "/plates/b?")) == 403
        assert status(url.replace("X-Amz-Expires=60", "X-Amz-Expires=6000")) == 403
        assert status(url.replace("/plates/a?", "/plates/a?partNumber=1&")) in (403, 501)
        assert status(url.partition("?")[0]) == 403

    with_world(nodes, use)
    gets = [run for node in nodes for run in node.store.runs if run.startswith("GET")]
    assert gets == ["GET /plates/a"]  # the signature is not forwarded to the node


def message(method: str = "GET", target: str = "/plates/a", headers: dict[str, str] | None = None) -> Message:
    request = Message()
    request.method, request.target = method.encode(), target.encode()
    request.headers = [(name.encode(), value.encode()) for name, value in (headers or {}).items()]
    return request


def mac(key: bytes, text: str) -> bytes:
    return hmac.new(key, text.encode(), hashlib.sha256).digest()


def signing_key() -> bytes:
    key = b"AWS4" + SECRET.encode()
    for part in (DAY, "eu-south-1", "s3", "aws4_request"):
        key = mac(key, part)
    return key


def signed(payload: str, method: str = "GET", target: str = "/plates/a", **extra: str) -> Message:
    """Return a request signed as specified, by code independent of the code under test."""
    headers = {"host": "h", "x-amz-content-sha256": payload, "x-amz-date": DATE, **extra}
    names = ";".join(sorted(headers))
    lines = "".join(f"{name}:{headers[name]}\n" for name in sorted(headers))
    text = f"{method}\n{target}\n\n{lines}\n{names}\n{payload}"
    digest = hashlib.sha256(text.encode()).hexdigest()
    scope = CREDENTIAL.partition("/")[2]
    signature = mac(signing_key(), f"AWS4-HMAC-SHA256\n{DATE}\n{scope}\n{digest}").hex()
    headers["authorization"] = (
        f"AWS4-HMAC-SHA256 Credential={CREDENTIAL}, SignedHeaders={names}, " f"Signature={signature}"
    )
    return message(method, target, headers)


def verify_request(request: Message, now: float = NOW, secret: str | None = SECRET) -> None:
    claim = parse_claim(dict(request.headers), {})
    assert claim is not None
    verify(request, claim, secret, now)


def test_a_signature_by_the_letter_is_good_and_each_changed_byte_is_not():
    verify_request(signed("UNSIGNED-PAYLOAD"))
    for change in ("target", "method", "header", "secret"):
        request = signed("UNSIGNED-PAYLOAD", **{"x-amz-meta-lane": "7"})
        if change == "target":
            request.target = b"/plates/b"
        elif change == "method":
            request.method = b"DELETE"
        elif change == "header":
            request.headers = [(n, b"8" if n == b"x-amz-meta-lane" else v) for n, v in request.headers]
        with pytest.raises(S3Error, match="SignatureDoesNotMatch"):
            verify_request(request, secret="another secret" if change == "secret" else SECRET)


@pytest.mark.parametrize(
    "late, code", [(901, "RequestTimeTooSkewed"), (-901, "RequestTimeTooSkewed"), (899, None), (-899, None)]
)
def test_a_clock_may_be_off_by_a_quarter_of_an_hour(late, code):
    if code is None:
        return verify_request(signed("UNSIGNED-PAYLOAD"), NOW + late)
    with pytest.raises(S3Error, match=code):
        verify_request(signed("UNSIGNED-PAYLOAD"), NOW + late)
        return None


def test_a_header_of_amazons_that_is_not_signed_is_refused():
    request = signed("UNSIGNED-PAYLOAD")
    request.headers.append((b"x-amz-acl", b"public-read"))
    with pytest.raises(S3Error, match="AccessDenied"):
        verify_request(request)


QUERY = {
    "X-Amz-Algorithm": "AWS4-HMAC-SHA256",
    "X-Amz-Credential": CREDENTIAL,
    "X-Amz-Date": DATE,
    "X-Amz-Expires": "60",
    "X-Amz-SignedHeaders": "host",
    "X-Amz-Signature": "0" * 64,
}


@pytest.mark.parametrize(
    "change",
    [
        {"X-Amz-Algorithm": "AWS4"},
        {"X-Amz-Credential": "x"},
        {"X-Amz-Date": "today"},
        {"X-Amz-Expires": "0"},
        {"X-Amz-Expires": "604801"},
        {"X-Amz-Expires": "x"},
        {"X-Amz-SignedHeaders": "HOST"},
        {"X-Amz-Signature": "00"},
    ],
)
def test_a_presigned_query_that_is_malformed_is_told(change):
    parse_query_claim(QUERY)
    with pytest.raises(S3Error, match="AuthorizationQueryParametersError"):
        parse_query_claim(QUERY | change)


def test_a_presigned_url_is_over_at_its_end_and_not_before():
    claim = parse_query_claim(QUERY)
    check_time(claim, NOW + 60)
    for now in (NOW + 61, NOW - 901):
        with pytest.raises(S3Error, match="AccessDenied"):
            check_time(claim, now)


@given(st.text(max_size=300), st.dictionaries(st.sampled_from(sorted(QUERY)), st.text(max_size=40)))
def test_arbitrary_credentials_are_parsed_or_raise_an_s3_error(authorization, query):
    for headers in ({b"authorization": authorization.encode()}, {}):
        try:
            claim = parse_claim(headers, query)
            if claim is not None:
                check_time(claim, NOW)
                canonical_request(b"GET", b"/plates/a", [], claim)
        except S3Error:
            pass


def chunked_request(pieces: list[bytes], trailer: bytes = b"", corrupt: int | None = None) -> bytes:
    """Return a complete PUT with signed chunks; `corrupt` is the index of a chunk to corrupt."""
    kind = "STREAMING-AWS4-HMAC-SHA256-PAYLOAD" + ("-TRAILER" if trailer else "")
    size = str(sum(map(len, pieces)))
    request = signed(kind, "PUT", **{"x-amz-decoded-content-length": size, "content-encoding": "aws-chunked"})
    before = dict(request.headers)[b"authorization"].decode().rpartition("=")[2]
    scope, data = CREDENTIAL.partition("/")[2], b""
    empty = hashlib.sha256().hexdigest()
    for i, piece in enumerate([*pieces, b""]):
        before = mac(
            signing_key(),
            f"AWS4-HMAC-SHA256-PAYLOAD\n{DATE}\n{scope}\n{before}\n{empty}\n"
            + hashlib.sha256(piece).hexdigest(),
        ).hex()
        sent = b"!" + piece[1:] if i == corrupt else piece
        data += b"%x;chunk-signature=%b\r\n" % (len(piece), before.encode()) + sent + b"\r\n" * bool(piece)
    if trailer:
        before = mac(
            signing_key(),
            f"AWS4-HMAC-SHA256-TRAILER\n{DATE}\n{scope}\n{before}\n"
            + hashlib.sha256(trailer + b"\n").hexdigest(),
        ).hex()
        data += trailer + b"\r\nx-amz-trailer-signature:" + before.encode() + b"\r\n"
    data += b"\r\n"
    lines = [
        b"PUT /plates/a HTTP/1.1",
        *(b"%b: %b" % header for header in request.headers),
        b"content-length: %d" % len(data),
        b"connection: close",
        b"",
        b"",
    ]
    return b"\r\n".join(lines) + data


@pytest.mark.parametrize(
    "trailer, corrupt, status",
    [(b"", None, 200), (b"x-amz-checksum-crc32:NhCmhg==", None, 200), (b"", 1, 403), (b"", 0, 403)],
)
@pytest.mark.parametrize("buffered", [False, True])
def test_signed_chunks_are_checked_one_by_one(
    nodes, tmp_path, monkeypatch, trailer, corrupt, status, buffered
):
    monkeypatch.setattr("mallowbeam.storage_gateway.frontends.object_api.front.time.time", lambda: NOW)
    section = {"folder": str(tmp_path), "buckets": ["plates"], "max_bytes": 64 << 20} if buffered else None

    async def play() -> tuple[bytes, bytes]:
        async with World(
            servers=[node.host_port for node in nodes], buffer=section, keys=str(EXAMPLE / "keys.json")
        ) as world:
            if buffered:
                await world.gateway.subsystems[0].opened.wait()
            reader, writer = await asyncio.open_connection(*world.objects)
            writer.write(chunked_request([b"hel", b"lo"], trailer, corrupt))
            head = await reader.read()
            if buffered and status == 200:
                buffer = world.gateway.subsystems[0]
                assert await buffer.waiters.barrier_passed(await buffer.intake.put_barrier("plates"), 10)
            return head

    head = uvloop.run(play())
    assert head.startswith(b"HTTP/1.1 %d" % status), head
    there = [stored.body for node in nodes for stored in node.store.objects.values()]
    assert there == ([b"hello"] if status == 200 else [])


def test_keys_change_in_service_and_a_bad_file_changes_nothing(tmp_path):
    path = tmp_path / "keys.json"

    def write(*keys: dict) -> None:
        (tmp_path / "new").write_text(json.dumps({"keys": list(keys)}))
        os.replace(tmp_path / "new", path)

    old = {"id": "old", "secret": "12345678", "allow": [{"bucket": "a", "do": ["read"]}]}
    write(old)
    access = Access(path)
    access.open()
    write(old | {"id": "new"})
    access.reload_if_changed(10.0)
    assert set(access.keys) == {"new"}
    write(old)
    access.reload_if_changed(10.5)  # before the next check
    assert set(access.keys) == {"new"}
    path.write_text("{")
    access.reload_if_changed(12.0)
    assert set(access.keys) == {"new"} and access.last_error
    path.unlink()
    access.reload_if_changed(14.0)
    assert set(access.keys) == {"new"}
    write(old)
    access.reload_if_changed(16.0)
    assert set(access.keys) == {"old"} and not access.last_error


def test_grants_match_by_bucket_prefix_and_action():
    allow = [
        {"bucket": "a", "do": ["read"], "prefix": "x/"},
        {"bucket": "*", "do": ["write"], "prefix": "all/"},
    ]
    keys = read_keys(json.dumps({"keys": [{"id": "key", "secret": "12345678", "allow": allow}]}).encode())
    for what, bucket, name, good in (
        ("read", "a", b"x/1", True),
        ("read", "a", b"y", False),
        ("write", "a", b"x/1", False),
        ("list", "a", b"x/", False),
        ("write", "b", b"all/1", True),
        ("write", "b", b"al", False),
    ):
        assert is_allowed(keys["key"], what, bucket, name) is good


@pytest.mark.parametrize(
    "change, words",
    [
        ({"id": "a/b"}, "id"),
        ({"secret": "short"}, "secret"),
        ({"more": 1}, "unknown field"),
        ({"allow": [{"bucket": "a", "do": ["own"]}]}, "do"),
    ],
)
def test_a_malformed_key_is_told_without_its_secret(change, words):
    key = {"id": "key", "secret": "a-secret-secret", "allow": []} | change
    with pytest.raises(GatewayConfigError, match=words) as error:
        read_keys(json.dumps({"keys": [key]}).encode())
    assert "a-secret-secret" not in str(error.value)
    with pytest.raises(GatewayConfigError, match="twice"):
        read_keys(json.dumps({"keys": [{"id": "key", "secret": "12345678", "allow": []}] * 2}).encode())


def test_the_object_api_does_not_start_with_a_missing_key_file(nodes):
    async def start() -> None:
        async with World(servers=[node.host_port for node in nodes], keys="/none/keys.json"):
            pass

    with pytest.raises(GatewayConfigError, match=r"objects\.keys: /none/keys\.json: No such file"):
        uvloop.run(start())
