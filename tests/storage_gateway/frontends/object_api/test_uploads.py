"""Upload parts on misbehaving nodes, and the ids that locate an upload."""

from __future__ import annotations

import uvloop
from hypothesis import given
from hypothesis import strategies as st
from scenario import World, play

from mallowbeam.storage_gateway.frontends.object_api.errors import S3Error
from mallowbeam.storage_gateway.frontends.object_api.uploads import decode_upload_id, encode_upload_id

PART = f"PUT /plates/a?partNumber=1&uploadId={encode_upload_id(0, 'up/1 x')}"


def test_a_node_that_stalls_mid_upload_fails_the_part_once():
    """The part may have been executed: its class is keyed within a shard, so it fails once, unretried."""
    play(f"""
        o1 send {PART} body=part x-deadline-ms:300
        n0 expect 'PUT /plates/a.partNumber=1&uploadId=up%2F1%20x' idempotency-key '\\n\\npart$'
        n0 wait
        o1 expect 500 '<Code>InternalError<'
        wait 0.2
        n0 expect nothing
        o1 expect nothing
    """)


def test_a_part_that_a_node_never_took_in_is_answered_once():
    """The node stops reading before the part's last byte: one answer at the deadline, and no retry."""
    play(f"""
        o1 send GET /plates/a
        n0 expect GET
        n0 wait
        n0 send 200 body=x
        o1 expect 200
        o1 send {PART} x-deadline-ms:400 fill=8388608
        o1 expect 500 InternalError
        n0 expect nothing
        o1 expect nothing
    """)


def test_a_part_rejected_unexecuted_is_retried_with_the_same_key():
    async def run() -> list:
        async with World() as world:
            await world.play(f"""
                o1 send {PART} body=part
                n0 expect PUT
                n0 send 503 x-not-run:1
                n0 expect PUT
                n0 send 200 etag:e
                o1 expect 200 etag
                n0 expect nothing
            """)
            return world.parties["n0"].seen

    first, second = uvloop.run(run())
    assert first.get(b"idempotency-key") == second.get(b"idempotency-key") is not None


@given(st.integers(0, 10**9 - 1), st.text(min_size=1, max_size=60).filter(lambda t: t.isprintable()))
def test_an_upload_id_comes_back_as_it_was(shard, inner):
    assert decode_upload_id(encode_upload_id(shard, inner)) == (shard, inner)


@given(st.text(max_size=40))
def test_a_strange_upload_id_is_no_such_upload(text):
    try:
        shard, inner = decode_upload_id(text)
    except S3Error as error:
        assert error.code == "NoSuchUpload"
    else:
        assert text.startswith(f"1.{shard}.") or text.startswith("1.0")
