"""DeleteObjects: a result for each name, malformed documents, grants, refusals and buffered objects."""

from __future__ import annotations

import asyncio
import json

import pytest
import uvloop
from botocore.exceptions import ClientError
from clients import s3_client
from scenario import World, play

from mallowbeam.standins.faults import Rule
from mallowbeam.storage_gateway.frontends.object_api import batches
from mallowbeam.storage_gateway.frontends.object_api.errors import S3Error

BOMB = (
    b'<!DOCTYPE a [<!ENTITY a "aaaaaaaaaa"><!ENTITY b "&a;&a;&a;&a;&a;&a;&a;&a;">]>'
    b"<Delete><Object><Key>&b;</Key></Object></Delete>"
)


def document(*names: str, more: str = "") -> bytes:
    objects = "".join(f"<Object><Key>{name}</Key></Object>" for name in names)
    return f"<Delete>{objects}{more}</Delete>".encode()


@pytest.mark.parametrize(
    "body, code",
    [
        (b"", "MalformedXML"),
        (b"<Delete>", "MalformedXML"),
        (b"<Delete/>", "MalformedXML"),
        (BOMB, "MalformedXML"),
        (b"<Other><Object><Key>a</Key></Object></Other>", "MalformedXML"),
        (document(""), "MalformedXML"),
        (document(*(f"k{i}" for i in range(1001))), "MalformedXML"),
        (b" " * (2 << 20) + document("a"), "MalformedXML"),
        (document("a").replace(b"</Key>", b"</Key><VersionId>1</VersionId>"), "NotImplemented"),
    ],
)
def test_a_malformed_document_is_rejected(body, code):
    with pytest.raises(S3Error, match=code):
        batches.parse_names(body)


def test_names_come_once_in_their_order_and_a_thousand_at_the_most():
    assert batches.parse_names(document("b", "a", "b", more="<Quiet>true</Quiet>")) == (["b", "a"], True)
    assert len(batches.parse_names(document(*(f"k{i}" for i in range(1000))))[0]) == 1000


@pytest.mark.parametrize("bucket", ["plates", "buffered"])
def test_a_real_client_deletes_many_with_a_result_for_each(nodes, tmp_path, bucket):
    (tmp_path / "keys.json").write_text(
        json.dumps(
            {
                "keys": [
                    {
                        "id": "key",
                        "secret": "12345678",
                        "allow": [
                            {"bucket": "*", "do": ["read", "list"]},
                            {"bucket": "*", "do": ["write"], "prefix": "mine/"},
                        ],
                    }
                ]
            }
        )
    )
    (tmp_path / "buffer").mkdir()

    def use(port: int) -> None:
        s3 = s3_client(port)
        names = [f"mine/{i} &<ü" for i in range(40)]
        for name in names:
            s3.put_object(Bucket=bucket, Key=name, Body=b"x")
        told = s3.delete_objects(
            Bucket=bucket,
            Delete={"Objects": [{"Key": name} for name in [*names[:30], "mine/never", "yours/1"]]},
        )
        assert {entry["Key"] for entry in told["Deleted"]} == {*names[:30], "mine/never"}
        assert [(entry["Key"], entry["Code"]) for entry in told["Errors"]] == [("yours/1", "AccessDenied")]
        left = [entry["Key"] for entry in s3.list_objects_v2(Bucket=bucket)["Contents"]]
        assert left == sorted(names[30:], key=str.encode)
        quiet = s3.delete_objects(Bucket=bucket, Delete={"Quiet": True, "Objects": [{"Key": left[0]}]})
        assert "Deleted" not in quiet and "Errors" not in quiet
        with pytest.raises(ClientError, match="MalformedXML"):
            s3.delete_objects(Bucket=bucket, Delete={"Objects": [{"Key": str(i)} for i in range(1001)]})

    async def run() -> None:
        section = {"folder": str(tmp_path / "buffer"), "buckets": ["buffered"], "max_bytes": 64 << 20}
        async with World(
            servers=[node.host_port for node in nodes], buffer=section, keys=str(tmp_path / "keys.json")
        ) as world:
            await world.gateway.subsystems[0].opened.wait()
            await asyncio.to_thread(use, world.objects[1])

    uvloop.run(run())


def test_a_name_whose_node_refuses_is_told_and_the_others_go(nodes):
    nodes[0].script.add(Rule("error", "DELETE", times=-1))
    body = document(*(f"k{i}" for i in range(20))).decode()
    play(
        f"""
        o1 send POST /plates?delete x-deadline-ms:1000 'body={body}'
        o1 expect 200 '<Deleted><Key>' '<Error><Key>k\\d+</Key><Code>(InternalError|SlowDown)<'
    """,
        servers=[node.host_port for node in nodes],
    )


def test_a_document_over_sockets_that_is_a_bomb_gets_400(nodes):
    async def run() -> bytes:
        async with World(servers=[node.host_port for node in nodes]) as world:
            reader, writer = await asyncio.open_connection(*world.objects)
            writer.write(
                b"POST /plates?delete HTTP/1.1\r\nhost: x\r\nconnection: close\r\n"
                b"content-length: %d\r\n\r\n" % len(BOMB) + BOMB
            )
            async with asyncio.timeout(10):
                return await reader.read()

    answer = uvloop.run(run())
    assert answer.startswith(b"HTTP/1.1 400") and b"<Code>MalformedXML</Code>" in answer
