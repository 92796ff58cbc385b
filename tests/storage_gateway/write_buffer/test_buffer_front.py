"""The S3 calls of the object front end with the write-back buffer, on sockets."""

from __future__ import annotations

import asyncio
import base64
import hashlib

import pytest
from buffered import Buffered, run, stall_nodes, writes
from crc32c import crc32c

from mallowbeam.storage_gateway.frontends.object_api.conditions import read_status, write_allowed
from mallowbeam.storage_gateway.write_buffer.log import ScanResult
from mallowbeam.storage_gateway.write_buffer.records import Kind


def test_a_buffered_write_is_acknowledged_read_and_found_at_its_node(nodes, tmp_path):
    async def play() -> None:
        async with Buffered(nodes, tmp_path) as world:
            stall_nodes(nodes, 0.5)
            await world.play("""
                o1 send PUT /plates/a body=0123456789 content-type:text/csv x-amz-meta-lane:7 expires:0
                o1 expect 200 etag x-mallowbeam-durable
                o1 send GET /plates/a
                o1 expect 200 'content-type: text/csv' 'x-amz-meta-lane: 7' 'expires: 0' '\\n\\n0123456789$'
                o1 send GET /plates/a range:bytes=2-4
                o1 expect 206 'content-range: bytes 2-4/10' '\\n\\n234$'
                o1 send GET /plates/a range:bytes=-3
                o1 expect 206 '\\n\\n789$'
                o1 send GET /plates/a range:bytes=10-
                o1 expect 416 'content-range: bytes ./10' InvalidRange
            """)
            etag = f'"{hashlib.md5(b"0123456789").hexdigest()}"'
            assert world.buffer_part.reader.newest("plates", b"/plates/a").etag == etag
            await world.flushed()
            await world.play("""
                o1 send GET /plates/a
                o1 expect 200 'content-type: text/csv' 'x-amz-meta-lane: 7' '\\n\\n0123456789$'
            """)
        stored_objects = [stored for node in nodes for stored in node.store.objects.values()]
        assert [(stored.body, stored.etag) for stored in stored_objects] == [(b"0123456789", etag)]

    run(play())


def test_a_head_of_a_buffered_key_has_no_body_and_a_delete_hides_it(nodes, tmp_path):
    async def play() -> None:
        async with Buffered(nodes, tmp_path) as world:
            await world.play("o1 send PUT /plates/a body=old\no1 expect 200")
            await world.flushed()
            stall_nodes(nodes, 0.5)
            await world.play("o1 send PUT /plates/a body=hello\no1 expect 200")
            reader, writer = await asyncio.open_connection(*world.objects)
            for extra in ("", "range: bytes=1-2\r\n", "connection: close\r\n"):
                writer.write(f"HEAD /plates/a HTTP/1.1\r\nhost: x\r\n{extra}\r\n".encode())
            heads = (await reader.read()).decode().split("\r\n\r\n")
            assert [head.split()[1] for head in heads[:-1]] == ["200", "206", "200"] and heads[-1] == ""
            assert "content-length: 5" in heads[0] and "content-length: 2" in heads[1]
            await world.play("""
                o1 send DELETE /plates/a
                o1 expect 204 x-mallowbeam-durable
                o1 send GET /plates/a
                o1 expect 404 NoSuchKey
            """)
            await world.flushed()
            await world.play("o1 send GET /plates/a\no1 expect 404")
        assert all(not node.store.objects for node in nodes)

    run(play())


def test_conditions_are_checked_where_the_newest_version_is(nodes, tmp_path):
    """The buffer checks conditions on a buffered key, the node others; a failed condition changes nothing."""
    tag = hashlib.md5(b"one").hexdigest()

    async def play() -> None:
        async with Buffered(nodes, tmp_path) as world:
            world.pause_flush()
            await world.play(f"""
                o1 send PUT /plates/a body=one
                o1 expect 200
                o1 send PUT /plates/a body=two if-none-match:*
                o1 expect 412 PreconditionFailed
                o1 send PUT /plates/a body=two 'if-match:"wrong"'
                o1 expect 412
                o1 send GET /plates/a 'if-none-match:"{tag}"'
                o1 expect 304
                o1 send GET /plates/a 'if-match:"wrong"'
                o1 expect 412
                o1 send PUT /plates/a body=two 'if-match:"{tag}"'
                o1 expect 200 x-mallowbeam-durable
                o1 send DELETE /plates/a
                o1 expect 204
                o1 send PUT /plates/a body=three if-none-match:*
                o1 expect 200 x-mallowbeam-durable
            """)
            world.resume_flush()
            await world.flushed()
            await world.play("""
                o1 send PUT /plates/a body=four if-none-match:*
                o1 expect 412
                o1 send GET /plates/a
                o1 expect 200 three
            """)

    run(play())


@pytest.mark.parametrize(
    "headers, etag, allowed",
    [
        ({}, None, True),
        ({b"if-none-match": b"*"}, None, True),
        ({b"if-none-match": b"*"}, '"a"', False),
        ({b"if-match": b"*"}, None, False),
        ({b"if-match": b'"b", "a"'}, '"a"', True),
        ({b"if-match": b"a"}, '"a"', True),
        ({b"if-match": b'W/"a"'}, '"a"', False),
        ({b"if-none-match": b'W/"a"'}, '"a"', False),
    ],
)
def test_conditions_on_writes(headers, etag, allowed):
    assert write_allowed(headers, etag) is allowed


@pytest.mark.parametrize(
    "headers, status",
    [
        ({}, 200),
        ({b"if-modified-since": b"Tue, 01 Dec 2026 00:00:00 GMT"}, 304),
        ({b"if-modified-since": b"Tue, 01 Dec 2020 00:00:00 GMT"}, 200),
        ({b"if-modified-since": b"never"}, 200),
        ({b"if-unmodified-since": b"Tue, 01 Dec 2020 00:00:00 GMT"}, 412),
        ({b"if-match": b'"a"', b"if-unmodified-since": b"Tue, 01 Dec 2020 00:00:00 GMT"}, 200),
        ({b"if-none-match": b'"b"', b"if-modified-since": b"Tue, 01 Dec 2026 00:00:00 GMT"}, 200),
    ],
)
def test_conditions_on_reads(headers, status):
    """Entity tags take precedence over dates, as in RFC 9110, 13.2.2."""
    assert read_status(headers, '"a"', 1_700_000_000.4) == status


def test_one_name_is_one_key_however_it_is_spelled(nodes, tmp_path):
    async def play() -> None:
        async with Buffered(nodes, tmp_path) as world:
            stall_nodes(nodes, 0.4)
            await world.play("""
                o1 send PUT /plates/a~b%2Bc body=one
                o1 expect 200
                o1 send PUT /plates/%61%7Eb+c body=two
                o1 expect 200
                o1 send GET /plates/a~b+c
                o1 expect 200 two
            """)
            await world.flushed()
        assert [stored.body for node in nodes for stored in node.store.objects.values()] == [b"two"]

    run(play())


def test_a_condition_on_a_large_body_is_checked_again_once_the_body_is_complete(nodes, tmp_path):
    tag = hashlib.md5(b"one").hexdigest().encode()

    async def play() -> None:
        async with Buffered(nodes, tmp_path) as world:
            world.pause_flush()
            await world.play("o1 send PUT /plates/a body=one\no1 expect 200")
            reader, writer = await asyncio.open_connection(*world.objects)
            writer.write(
                b'PUT /plates/a HTTP/1.1\r\nhost: x\r\nif-match: "'
                + tag
                + b'"\r\ncontent-length: 600000\r\n\r\n'
                + bytes(500_000)
            )
            await asyncio.sleep(0.1)
            await world.play("o1 send PUT /plates/a body=two\no1 expect 200")
            writer.write(bytes(100_000))
            assert (await reader.readuntil(b"\r\n\r\n")).startswith(b"HTTP/1.1 412")
            await world.play("o1 send GET /plates/a\no1 expect 200 two")

    run(play())


def test_a_large_body_is_stored_in_chunks_and_read_by_ranges(nodes, tmp_path):
    body = bytes(range(256)) * 4096 + b"end"

    async def play() -> None:
        async with Buffered(nodes, tmp_path) as world:
            stall_nodes(nodes, 0.5)
            reader, writer = await asyncio.open_connection(*world.objects)
            writer.write(
                b"PUT /plates/big HTTP/1.1\r\nhost: x\r\ntransfer-encoding: chunked\r\n"
                b"x-amz-checksum-crc32c: " + base64.b64encode(crc32c(body).to_bytes(4, "big")) + b"\r\n\r\n"
            )
            for at in range(0, len(body), 50_000):
                piece = body[at : at + 50_000]
                writer.write(b"%x\r\n%b\r\n" % (len(piece), piece))
            writer.write(b"0\r\n\r\n")
            assert (await reader.readuntil(b"\r\n\r\n")).startswith(b"HTTP/1.1 200")
            kinds = [record.kind for record in world.buffer_part.store.log.records(ScanResult())]
            assert kinds.count(Kind.PIECE) == 5
            writer.write(b"GET /plates/big HTTP/1.1\r\nhost: x\r\nrange: bytes=262140-524300\r\n\r\n")
            assert b" 206 " in await reader.readuntil(b"\r\n\r\n")
            assert await reader.readexactly(524301 - 262140) == body[262140:524301]
            writer.write(b"GET /plates/big HTTP/1.1\r\nhost: x\r\n\r\n")
            await reader.readuntil(b"\r\n\r\n")
            assert await reader.readexactly(len(body)) == body
            await world.flushed()
        assert [stored.body for node in nodes for stored in node.store.objects.values()] == [body]

    run(play())


def test_a_body_that_does_not_match_its_digest_is_rejected(nodes, tmp_path):
    good = base64.b64encode(hashlib.md5(b"hello").digest()).decode()

    async def play() -> None:
        async with Buffered(nodes, tmp_path) as world:
            await world.play(f"""
                o1 send PUT /plates/a body=hullo content-md5:{good}
                o1 expect 400 BadDigest
                o1 send PUT /plates/a body=hello x-amz-checksum-crc32:AAAAAA==
                o1 expect 400 BadDigest
                o1 send PUT /plates/a body=hello x-amz-content-sha256:{"0" * 64}
                o1 expect 400 XAmzContentSHA256Mismatch
                o1 send PUT /plates/a fill=600000 x-amz-checksum-sha256:AAAA
                o1 expect 400 BadDigest
                o1 send GET /plates/a
                o1 expect 404
                o1 send PUT /plates/a body=hello content-md5:{good}
                o1 expect 200
            """)

    run(play())
    assert len(writes(nodes)) <= 1
