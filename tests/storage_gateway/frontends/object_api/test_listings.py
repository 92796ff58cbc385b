"""Listings: merged pages against a plain sorted list, tokens, failing nodes and buffered objects."""

from __future__ import annotations

import asyncio
import tracemalloc
from bisect import bisect_right
from zlib import crc32

import pytest
import uvloop
from botocore.exceptions import ClientError
from clients import s3_client
from hypothesis import given
from hypothesis import strategies as st
from scenario import World, play

from mallowbeam.standins.faults import Rule
from mallowbeam.storage_gateway.frontends.object_api.errors import S3Error
from mallowbeam.storage_gateway.frontends.object_api.listings import (
    Item,
    Merge,
    NodeRequest,
    Query,
    decode_token,
    encode_token,
    grouped,
    listing_target,
    parse_node_listing,
)

NAMES = st.text("ab/\U0010ffffé", min_size=1, max_size=6)


class Nodes:
    """Model of nodes as plain sorted lists."""

    def __init__(self, query: Query, parts: list[list[str]]) -> None:
        self.query, self.requested_names = query, 0
        self.parts = [sorted(part, key=str.encode) for part in parts]
        self.orders = [[name.encode() for name in part] for part in self.parts]

    def answer(self, node_request: NodeRequest) -> tuple[list[Item], str, bool]:
        """Return the next names, grouped by common prefix, at most `node_request.limit` of them."""
        names, order = self.parts[node_request.shard], self.orders[node_request.shard]
        at, items = bisect_right(order, (node_request.token or node_request.after).encode()), []
        last = ""
        while at < len(names) and len(items) < node_request.limit:
            name = names[at]
            if name.startswith(self.query.prefix):
                item = grouped(Item(name, 1), self.query)
                if not items or items[-1].name != item.name:
                    items.append(item)
                    self.requested_names += 1
            last, at = name, at + 1
        more = any(
            name.startswith(self.query.prefix)
            and (not items or grouped(Item(name, 1), self.query).name != items[-1].name)
            for name in names[at : at + 2000]
        )
        return items, last if more else "", more


def page(query: Query, parts: list[list[str]], overlay=None) -> Merge:
    merge, nodes = Merge(query, len(parts), overlay), Nodes(query, parts)
    while node_requests := merge.next_requests():
        for node_request in node_requests:
            merge.feed(node_request.shard, *nodes.answer(node_request))
    merge.requested_names = nodes.requested_names
    return merge


@given(
    st.lists(st.sets(NAMES, max_size=12), min_size=1, max_size=4),
    st.sampled_from(["", "a", "a/", "é"]),
    st.sampled_from(["", "/", "b"]),
    st.integers(1, 5),
    st.dictionaries(NAMES, st.booleans(), max_size=4),
)
def test_pages_put_together_are_the_sorted_names(parts, prefix, delimiter, limit, buffered):
    """Compares with one plain list: every name once, in order, for any page size."""
    names, seen = set(), []
    placed: list[list[str]] = [[] for _ in parts]
    for name in sorted(set().union(*parts)):
        placed[crc32(name.encode()) % len(parts)].append(name)
        names.add(name)
    overlay = {name: Item(name, 2) if there else None for name, there in buffered.items()}
    names = {
        name for name in names | {n for n, there in buffered.items() if there} if buffered.get(name, True)
    }
    base = Query("bucket", prefix, delimiter, "", limit)
    wanted = sorted(
        {grouped(Item(name, 0), base).name for name in names if name.startswith(prefix)}, key=str.encode
    )
    after = ""
    for _ in range(100):
        merge = page(Query("bucket", prefix, delimiter, after, limit), placed, overlay)
        items = [item.name for item in merge.items[:limit]]
        assert len(items) <= limit
        seen += items
        if not merge.truncated:
            break
        after = decode_token(
            encode_token(items[-1], "bucket", prefix, delimiter), "bucket", prefix, delimiter
        )
    assert seen == wanted


def test_a_page_of_a_large_bucket_asks_for_little_and_holds_little():
    """200,000 names on 8 nodes: the first page and one far into the bucket."""
    parts = [[f"{i:07d}" for i in range(200_000) if i * 2654435761 % 8 == shard] for shard in range(8)]
    for after in ("", "0150000"):
        tracemalloc.start()
        merge = page(Query("bucket", "", "", after, 1000), parts)
        peak = tracemalloc.get_traced_memory()[1]
        tracemalloc.stop()
        assert [item.name for item in merge.items[:1000]] == [
            f"{i:07d}" for i in range(int(after or -1) + 1, int(after or -1) + 1001)
        ]
        assert merge.truncated and merge.requested_names < 1600
        assert peak < 12 << 20  # mostly the plain nodes' own copies


@pytest.mark.parametrize(
    "token", ["", "x", "bm9uZQ==", "WzIsMCwiYSJd", "WzEsMCwiYSJd", "WzEsMCwxXQ==", "[" * 99]
)
def test_a_token_made_up_is_refused(token):
    with pytest.raises(S3Error, match="InvalidArgument"):
        Query.parse("bucket", {"list-type": "2", "continuation-token": token})


def test_a_token_of_another_listing_is_refused():
    token = encode_token("a", "bucket", "", "")
    assert Query.parse("bucket", {"list-type": "2", "continuation-token": token}).after == "a"
    for bucket, more in (("other", {}), ("bucket", {"prefix": "x"}), ("bucket", {"delimiter": "/"})):
        with pytest.raises(S3Error, match="InvalidArgument"):
            Query.parse(bucket, {"list-type": "2", "continuation-token": token} | more)


@pytest.mark.parametrize(
    "query",
    [
        {"max-keys": "-1"},
        {"max-keys": "x"},
        {"encoding-type": "xml"},
        {"list-type": "3"},
        {"max-keys": "9" * 30},
    ],
)
def test_a_malformed_listing_call_is_refused(query):
    with pytest.raises(S3Error, match="InvalidArgument"):
        Query.parse("bucket", query)


def test_an_unsorted_or_endless_node_listing_is_an_error():
    merge = Merge(Query("bucket"), 1)
    merge.next_requests()
    with pytest.raises(S3Error, match="InternalError"):
        merge.feed(0, [Item("b", 1), Item("a", 1)], "", False)
    with pytest.raises(S3Error, match="InternalError"):
        merge.feed(0, [], "", True)


@pytest.mark.parametrize(
    "body",
    [
        b"",
        b"<a",
        b"<a><Contents><Key>x</Key></Contents></a>",
        b"<a><CommonPrefixes/></a>",
        b'<!DOCTYPE a [<!ENTITY b "c">]><a>&b;</a>',
    ],
)
def test_a_part_that_cannot_be_read_is_an_error(body):
    with pytest.raises(S3Error, match="InternalError"):
        parse_node_listing(body)


def test_a_nodes_call_carries_any_name():
    query = Query("bucket", "a&b=/ü", "/")
    assert listing_target(query, NodeRequest(0, "x y", "", 7)) == (
        b"/bucket?list-type=2&encoding-type=url&max-keys=7&prefix=a%26b%3D%2F%C3%BC&delimiter=%2F"
        b"&start-after=x%20y"
    )


@pytest.mark.parametrize("bucket", ["plates", "buffered"])
def test_a_real_client_pages_through_a_bucket(nodes, tmp_path, bucket):
    keys = [f"{day}/{i:02d} +&<ü" for day in ("mon", "tue") for i in range(12)] + ["zz"]

    def use(port: int) -> None:
        s3 = s3_client(port)
        for key in keys:
            s3.put_object(Bucket=bucket, Key=key, Body=key.encode())
        s3.put_object(Bucket=bucket, Key="gone", Body=b"")
        s3.delete_object(Bucket=bucket, Key="gone")
        for operation in ("list_objects_v2", "list_objects"):
            pages = s3.get_paginator(operation).paginate(Bucket=bucket, PaginationConfig={"PageSize": 7})
            found = [entry for one in pages for entry in one["Contents"]]
            assert [entry["Key"] for entry in found] == sorted(keys, key=str.encode)
            assert all(entry["Size"] == len(entry["Key"].encode()) for entry in found)
            pages = s3.get_paginator(operation).paginate(
                Bucket=bucket, Delimiter="/", PaginationConfig={"PageSize": 1}
            )
            rolled_up = [p["Prefix"] for one in pages for p in one.get("CommonPrefixes", [])]
            assert rolled_up == ["mon/", "tue/"]
        assert s3.list_objects_v2(Bucket=bucket, Prefix="tue/", MaxKeys=3)["KeyCount"] == 3
        assert s3.list_objects_v2(Bucket=bucket, Prefix="none")["KeyCount"] == 0
        with pytest.raises(ClientError, match="InvalidArgument"):
            s3.list_objects_v2(Bucket=bucket, ContinuationToken="made-up")

    async def run() -> None:
        section = {"folder": str(tmp_path), "buckets": ["buffered"], "max_bytes": 64 << 20}
        async with World(servers=[node.host_port for node in nodes], buffer=section) as world:
            await world.gateway.subsystems[0].opened.wait()
            await asyncio.to_thread(use, world.objects[1])

    uvloop.run(run())


def test_what_is_buffered_is_listed_and_what_is_deleted_here_is_not(nodes, tmp_path):
    """While nothing is flushed: the nodes still have the deleted object and lack the new one."""

    async def run() -> None:
        section = {"folder": str(tmp_path), "buckets": ["plates"], "max_bytes": 64 << 20}
        async with World(servers=[node.host_port for node in nodes], buffer=section) as world:
            part = world.gateway.subsystems[0]
            await part.opened.wait()
            await world.play("""
                o1 send PUT /plates/old body=1
                o1 expect 200
                o1 send PUT /plates/stays body=2
                o1 expect 200
                o1 send POST /plates?barrier=through
                o1 expect 200
            """)
            part.sender = type("Still", (), {"may_send": lambda _: False, "direct": lambda _: 0})()
            await world.play("""
                o1 send DELETE /plates/old
                o1 expect 204
                o1 send PUT /plates/new body=123
                o1 expect 200
                o1 send GET /plates?list-type=2
                o1 expect 200 '<Key>new</Key>.*<Size>3</Size>.*<Key>stays</Key>' '<KeyCount>2<'
            """)

    uvloop.run(run())


@pytest.mark.parametrize("fault, status", [("refuse", "503"), ("error", "500"), ("status", "500")])
def test_a_failing_node_makes_the_page_an_error_and_never_incomplete(nodes, fault, status):
    nodes[1].script.add(Rule(fault, "GET", times=-1, status=404))
    play(
        f"""
        o1 send GET /plates?list-type=2 x-deadline-ms:300
        o1 expect '{status}|503' '<Code>(SlowDown|InternalError)<'
    """,
        servers=[node.host_port for node in nodes],
    )
