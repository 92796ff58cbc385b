"""The object API on loopback sockets, against a stand-in object server and misbehaving nodes."""

from __future__ import annotations

import asyncio
import re
from collections.abc import Iterator
from zlib import crc32

import pytest
import uvloop
from hypothesis import given
from hypothesis import strategies as st
from scenario import World, play

from mallowbeam.standins.faults import Rule, Turns
from mallowbeam.standins.node import ObjectNode
from mallowbeam.storage_gateway.frontends.object_api.ranges import UnsatisfiableRangeError, resolve_range

BODY = "0123456789"


@pytest.fixture
def nodes() -> Iterator[list]:
    """Two stand-in object servers; the second ignores ranges, which leaves them to the gateway."""
    servers = [ObjectNode(ignores_ranges=i == 1) for i in range(2)]
    yield servers
    for server in servers:
        server.close()


def addresses(nodes: list) -> list[str]:
    return [server.host_port for server in nodes]


def key_at(shard: int) -> str:
    """Return a key whose home is the given shard of two."""
    return next(f"k{i}" for i in range(99) if crc32(f"plates/k{i}".encode()) % 2 == shard)


def runs(nodes: list) -> list[str]:
    return [run for node in nodes for run in node.store.runs]


@pytest.mark.parametrize("shard", [0, 1])
def test_an_object_is_put_read_in_ranges_and_deleted(nodes, shard):
    """Node 0 applies ranges itself, node 1 returns the complete object: the client sees no difference."""
    path = f"/plates/{key_at(shard)}"
    play(
        f"""
        o1 send PUT {path} body={BODY}
        o1 expect 200 etag x-amz-request-id
        o1 send GET {path}
        o1 expect 200 etag '\\n\\n{BODY}$'
        o1 send GET {path} range:bytes=2-4
        o1 expect 206 'content-range: bytes 2-4/10' '\\n\\n234$'
        o1 send GET {path} range:bytes=8-99
        o1 expect 206 'content-range: bytes 8-9/10' '\\n\\n89$'
        o1 send GET {path} range:bytes=-3
        o1 expect 206 'content-range: bytes 7-9/10' '\\n\\n789$'
        o1 send GET {path} range:bytes=4-
        o1 expect 206 '\\n\\n456789$'
        o1 send GET {path} range:bytes=10-12
        o1 expect 416 'content-range: bytes ./10' '<Code>InvalidRange<'
        o1 send GET {path} range:bytes=4-2
        o1 expect 200 '\\n\\n{BODY}$'
        o1 send GET {path} range:bytes=0-1,4-5
        o1 expect 200 '\\n\\n{BODY}$'
        o1 send DELETE {path}
        o1 expect 204
        o1 send GET {path}
        o1 expect 404 '<Code>NoSuchKey<'
    """,
        servers=addresses(nodes),
    )
    assert [run.split()[0] for run in runs(nodes)].count("PUT") == 1


def test_a_head_tells_of_the_object_without_its_body(nodes):
    async def run() -> bytes:
        async with World(servers=addresses(nodes)) as world:
            await world.play(f"""
                o1 send PUT /plates/{key_at(1)} body={BODY}
                o1 expect 200
            """)
            reader, writer = await asyncio.open_connection(*world.objects)
            for name, extra in (
                (key_at(1), ""),
                (key_at(1), "range: bytes=8-99\r\n"),
                ("none", ""),
                (key_at(1), "connection: close\r\n"),
            ):
                writer.write(f"HEAD /plates/{name} HTTP/1.1\r\nhost: x\r\n{extra}\r\n".encode())
            async with asyncio.timeout(10):
                return await reader.read()

    answers = uvloop.run(run()).decode().split("\r\n\r\n")
    assert [answer.split()[1] for answer in answers[:-1]] == ["200", "206", "404", "200"]
    assert "content-length: 10" in answers[0] and "content-range: bytes 8-9/10" in answers[1]
    assert answers[-1] == ""


def test_a_multipart_upload_from_begin_to_end_across_a_restart(nodes):
    """The upload id alone locates the upload, so a gateway without any state of it can continue it."""
    path = f"/plates/{key_at(1)}"
    wanted = "".join(f"<Part><PartNumber>{number}</PartNumber></Part>" for number in (1, 2))

    async def run() -> None:
        async with World(servers=addresses(nodes)) as first:
            await first.play(f"o1 send POST {path}?uploads\no1 expect 200 InitiateMultipartUploadResult")
            text = first.parties["o1"].seen[0].body.decode()
            upload = re.search("<UploadId>(.*)</UploadId>", text)[1]
            await first.play(f"""
                o1 send PUT {path}?partNumber=1&uploadId={upload} body=hello-
                o1 expect 200 etag
            """)
        async with World(servers=addresses(nodes)) as second:
            await second.play(f"""
                o1 send PUT {path}?partNumber=2&uploadId={upload} body=world
                o1 expect 200 etag
                o1 send GET {path}?uploadId={upload}
                o1 expect 200 <UploadId>{re.escape(upload)}</UploadId> '(?s)PartNumber>1<.*PartNumber>2<'
                o1 send POST {path}?uploadId={upload} 'body=<C><Part><PartNumber>3</PartNumber></Part></C>'
                o1 expect 400 InvalidPart
                o1 send POST {path}?uploadId={upload} 'body={wanted}'
                o1 expect 200 CompleteMultipartUploadResult
                o1 send GET {path} range:bytes=4-7
                o1 expect 206 '\\n\\no-wo$'
                o1 send GET {path}?uploadId={upload}
                o1 expect 404 '<Code>NoSuchUpload<'
            """)

    uvloop.run(run())
    assert sum("partNumber" in r for r in runs(nodes)) == 2


def test_an_abort_ends_an_upload(nodes):
    path = f"/plates/{key_at(0)}"

    async def run() -> None:
        async with World(servers=addresses(nodes)) as world:
            await world.play(f"o1 send POST {path}?uploads\no1 expect 200")
            upload = re.search("<UploadId>(.*)</UploadId>", world.parties["o1"].seen[0].body.decode())[1]
            await world.play(f"""
                o1 send DELETE {path}?uploadId={upload}
                o1 expect 204
                o1 send PUT {path}?partNumber=1&uploadId={upload} body=late
                o1 expect 404 NoSuchUpload
            """)

    uvloop.run(run())


def test_a_read_is_tried_again_after_an_error_and_a_write_with_its_own_key_keeps_it():
    play("""
        o1 send GET /plates/a
        n0 expect GET
        n0 send 500
        n0 expect GET
        n0 send 200 body=x
        o1 expect 200
        o1 send PUT /plates/a idempotency-key:mine body=x
        n0 expect PUT 'idempotency-key: mine'
        n0 send 200
        o1 expect 200
    """)


def test_a_refusal_is_slow_down_with_retry_after():
    play("""
        d expect GET since
        d send 200 'body={"revision":2,"complete":true,"members":[]}'
        d expect GET since=2
        o1 send PUT /plates/a body=x
        o1 expect 503 '<Code>SlowDown<' 'retry-after: 1'
        n0 expect nothing
    """)


def test_a_truncated_download_is_not_retried():
    play("""
        o1 send GET /plates/a
        n0 expect GET
        n0 send raw 'HTTP/1.1 200 OK\\r\\ncontent-length: 10\\r\\n\\r\\nhalf'
        wait 0.05
        n0 close
        o1 expect end
        n0 expect nothing
    """)


def test_a_download_without_a_length_comes_in_chunks():
    play("""
        o1 send GET /plates/a range:bytes=0-1
        n0 expect GET 'range: bytes=0-1'
        n0 send raw 'HTTP/1.1 200 OK\\r\\ntransfer-encoding: chunked\\r\\n\\r\\n3\\r\\nabc\\r\\n'
        wait 0.05
        n0 send raw '2\\r\\nde\\r\\n0\\r\\n\\r\\n'
        o1 expect 200 '\\n\\nabcde$'
    """)


def test_an_old_client_gets_a_body_without_a_length_up_to_the_close():
    play("""
        o1 send raw 'GET /plates/a HTTP/1.0\\r\\nhost: x\\r\\n\\r\\n'
        n0 expect GET
        n0 send raw 'HTTP/1.1 200 OK\\r\\ntransfer-encoding: chunked\\r\\n\\r\\n3\\r\\nabc\\r\\n0\\r\\n\\r\\n'
        o1 expect 200 'connection: close' '\\n\\nabc$'
    """)


def test_a_client_that_leaves_mid_download_frees_the_node_and_reads_are_held_back():
    """Back-pressure: while the client reads nothing, a node can send of 32 MiB only what buffers hold."""

    async def run() -> None:
        async with World() as world:
            await world.play("o1 send GET /plates/a\no1 wait\nn0 expect GET")
            node = world.parties["n0"]
            node.writer.write(b"HTTP/1.1 200 OK\r\ncontent-length: 33554432\r\n\r\n")
            node.writer.write(b"x" * 33554432)
            with pytest.raises(TimeoutError):
                async with asyncio.timeout(0.5):
                    await node.writer.drain()
            await world.play("o1 close\nn0 expect end")
            assert not world.gateway.attempts.tasks and not world.gateway.exchanges

    uvloop.run(run())


def test_an_upload_waits_for_100_continue():
    play("""
        o1 send PUT /plates/a expect:100-continue content-length:2
        o1 expect 100
        o1 send raw 'ab'
        n0 expect PUT '\\n\\nab$'
        n0 send 200
        o1 expect 200
    """)


@pytest.mark.parametrize(
    ("line", "expected"),
    [
        ("GET /", "400 InvalidBucketName"),
        ("GET /UPPER/a", "400 InvalidBucketName"),
        ("GET /plates/%FF", "400 InvalidURI"),
        ("GET /plates?prefix=%FF", "400 InvalidArgument"),
        ("GET /plates?list-type=2&prefix=%80", "400 InvalidArgument"),
        ("PUT /plates", "501"),
        ("GET /plates/a?acl", "501 NotImplemented"),
        ("PATCH /plates/a", "405 MethodNotAllowed"),
        ("PUT /plates/a x-amz-copy-source:/b/c", "501"),
        ("PUT /plates/a?partNumber=1", "400 InvalidArgument"),
        ("PUT /plates/a?partNumber=0&uploadId=1.0.eA", "400 InvalidArgument"),
        ("PUT /plates/a?partNumber=1&uploadId=junk", "404 NoSuchUpload"),
        ("PUT /plates/a?partNumber=1&uploadId=1.7.eA", "404 NoSuchUpload"),
        ("POST /plates/a", "400 InvalidArgument"),
        ("GET /plates/a x-deadline-ms:soon", "400 InvalidArgument"),
        (f"GET /plates/{'k' * 1025}", "400 KeyTooLongError"),
        ("PUT /plates/a content-length:8388609", "413 EntityTooLarge"),
        ("PUT /plates/a 'idempotency-key:a b'", "400 InvalidArgument"),
    ],
)
def test_what_s3_would_turn_down_never_reaches_a_node(line, expected):
    status, *code = expected.split()
    play(f"""
        o1 send {line}
        o1 expect {status} {' '.join(code)}
        n0 expect nothing
    """)


def test_a_put_without_a_length_is_turned_down():
    play("""
        o1 send raw 'PUT /plates/a HTTP/1.1\\r\\nhost: x\\r\\n\\r\\n'
        o1 expect 411 MissingContentLength
    """)


def test_what_breaks_http_is_an_invalid_request():
    """Guards the code for a bare status: malformed HTTP was answered with BadDigest."""
    play("""
        o1 send raw 'NONSENSE\\r\\n\\r\\n'
        o1 expect 400 '<Code>InvalidRequest<'
    """)


def test_bodies_held_at_once_are_bounded():
    """Guards the memory limit: a body over the budget is refused, and each answer frees its share."""
    part = "send PUT /plates/a content-length:8388608 fill=8388607"
    play(
        "".join(f"o{i} {part}\n" for i in range(1, 5))
        + f"""
        wait 0.2
        o5 {part}
        o5 expect 503 SlowDown
        o1 close
        wait 0.1
        o6 send PUT /plates/a body=x
        n0 expect PUT
        n0 send 200
        o6 expect 200
    """
    )


@given(st.integers(0, 50), st.one_of(st.none(), st.integers(0, 60)), st.one_of(st.none(), st.integers(0, 60)))
def test_a_range_is_resolved_as_the_rfc_says(length, first, last):
    """Compares with a naive reading of RFC 9110 that decides on each position separately."""

    def text(n):
        return "" if n is None else str(n)

    header = f"bytes={text(first)}-{text(last)}".encode()
    if first is None and last is None or first is not None and last is not None and first > last:
        assert resolve_range(header, length) is None
        return
    wanted = [
        i
        for i in range(length)
        if (i >= length - last if first is None else i >= first and (last is None or i <= last))
    ]
    try:
        start, end = resolve_range(header, length)
    except UnsatisfiableRangeError:
        assert not wanted
    else:
        assert list(range(start, end)) == wanted != []


def failing_script() -> Turns:
    """Return a script of every way in which a node can fail, in turn."""
    stall = Rule("stall", seconds=1.0)
    return Turns(
        [
            None,
            Rule("refuse"),
            None,
            Rule("error"),
            Rule("answer-cut"),
            None,
            Rule("cut"),
            Rule("run-cut"),
            stall,
        ]
    )


def test_whatever_nodes_do_each_call_gets_one_answer_and_no_part_runs_twice(nodes):
    for node in nodes:
        node.script = failing_script()

    async def call(world: World, method: str, path: str, body: bytes = b"") -> int:
        reader, writer = await asyncio.open_connection(*world.objects)
        writer.write(
            f"{method} {path} HTTP/1.1\r\nhost: x\r\nconnection: close\r\nx-deadline-ms: 700\r\n"
            f"content-length: {len(body)}\r\n\r\n".encode()
            + body
        )
        async with asyncio.timeout(20):
            data = await reader.read()
        writer.close()
        heads = re.findall(rb"^HTTP/1\.1 (\d+) ", data, re.MULTILINE)
        # A download that has begun may be truncated, which the client can detect; all else is complete.
        assert len(heads) == 1, data
        return int(heads[0])

    async def run() -> list[int]:
        async with World(servers=addresses(nodes)) as world:
            calls = [call(world, "PUT", f"/plates/{key_at(i % 2)}-{i}", b"p" * 50) for i in range(60)]
            calls += [call(world, "GET", f"/plates/{key_at(i % 2)}-{i}") for i in range(30)]
            return await asyncio.gather(*calls)

    statuses = uvloop.run(run())
    assert set(statuses) <= {200, 404, 500, 503} and 200 in statuses and {500, 503} & set(statuses)
    writes = [run for run in runs(nodes) if run.startswith("PUT")]
    assert len(writes) == len(set(writes)) >= statuses[:60].count(200) > 0
