"""The buffered object front end, on sockets: barriers, direct writes, and write order with node faults."""

from __future__ import annotations

import asyncio

import pytest
from buffered import Buffered, keys_of_shard, run, stall_nodes, writes

from mallowbeam.standins.faults import Rule


def test_calls_that_only_a_node_can_answer_are_sent_direct(nodes, tmp_path):
    """Writes with a tag or ACL, multipart uploads and other buckets are not acknowledged by the buffer."""
    path = f"/plates/{keys_of_shard(0, 1)[0]}"

    async def play() -> None:
        async with Buffered(nodes, tmp_path) as world:
            await world.play(f"""
                o1 send PUT {path} body=x x-amz-tagging:a=b
                o1 expect 200
                o1 send PUT {path} body=x x-amz-acl:private
                o1 expect 200
                o1 send PUT /other/a fill=700000
                o1 expect 200
                o1 send POST {path}?uploads
                o1 expect 200 UploadId
            """)
            answers = world.parties["o1"].seen
            assert not any(answer.get(b"x-mallowbeam-durable") for answer in answers)
            assert world.buffer_part.core.counts.accepted == 0

    run(play())
    assert len(writes(nodes)) == 4


def test_a_direct_write_waits_for_the_buffered_writes_of_its_key(nodes, tmp_path):
    async def play() -> None:
        async with Buffered(nodes, tmp_path) as world:
            stall_nodes(nodes, 0.2)
            await world.play("""
                o1 send PUT /plates/a body=first
                o1 expect 200 x-mallowbeam-durable
                o1 send PUT /plates/a body=second x-amz-tagging:a=b
                o1 expect 200
                o1 send GET /plates/a
                o1 expect 200 second
            """)
            assert world.buffer_part.core.counts.stored == 1

    run(play())


def test_barriers_by_call_and_by_header(nodes, tmp_path):
    async def play() -> None:
        async with Buffered(nodes, tmp_path) as world:
            world.pause_flush()
            await world.play("""
                o1 send PUT /plates/a body=1 x-mallowbeam-barrier:sync
                o1 expect 200 'x-mallowbeam-barrier-id: \\d'
                o1 send PUT /plates/b body=2
                o1 expect 200
            """)
            number = world.parties["o1"].seen[0].get(b"x-mallowbeam-barrier-id").decode()
            await world.play(f"""
                o1 send GET /plates?barrier={number}
                o1 expect 503 SlowDown retry-after
            """)
            world.resume_flush()
            await world.play(f"""
                o1 send POST /plates?barrier=through
                o1 expect 200 x-mallowbeam-barrier-id
                o1 send GET /plates?barrier={number}
                o1 expect 200
                o1 send GET /plates?barrier=999999
                o1 expect 404 NoSuchBarrier
                o1 send POST /plates?barrier=sideways
                o1 expect 400 InvalidArgument
                o1 send POST /other?barrier=sync
                o1 expect 501 NotImplemented
                o1 send PUT /plates?barrier=sync
                o1 expect 405 MethodNotAllowed
                o1 send PUT /plates/c body=3 x-mallowbeam-barrier:never
                o1 expect 400 InvalidArgument
                o1 send PUT /plates/d body=4 x-mallowbeam-barrier:through
                o1 expect 200 x-mallowbeam-barrier-id
            """)
            assert not world.buffer_part.core.entries

    run(play())
    order = [run.path for run in sorted((r for n in nodes for r in n.store.history), key=lambda r: r.at)]
    assert order.index("/plates/a") < order.index("/plates/b")


def test_a_barrier_that_cannot_pass_in_time_is_answered_at_once(nodes, tmp_path):
    """A suspended write precedes it: 503 at once, not at the deadline, with the barrier's id."""

    async def play() -> None:
        async with Buffered(nodes, tmp_path) as world:
            key = keys_of_shard(0, 1)[0]
            nodes[0].script.add(Rule("status", "PUT", key, status=403))
            await world.play(f"o1 send PUT /plates/{key} body=x\no1 expect 200")
            async with asyncio.timeout(10):
                while not world.buffer_part.core.suspended:
                    await asyncio.sleep(0.01)
            await world.play("""
                o1 send POST /plates?barrier=through x-deadline-ms:3600000
                o1 expect 503 SlowDown retry-after x-mallowbeam-barrier-id
            """)
            assert world.buffer_part.gauges()["buffer_held"] == 1

    run(play())


def test_a_barrier_keeps_the_order_across_crashes_before_its_flush(nodes, tmp_path):
    """Two restarts after the acknowledgement and before the first send: the writes still run in order."""

    async def first() -> None:
        async with Buffered(nodes, tmp_path) as world:
            stall_nodes(nodes, 3600)
            world.pause_flush()
            await world.play("""
                o1 send PUT /plates/a body=before
                o1 expect 200
                o1 send POST /plates?barrier=sync
                o1 expect 200
                o1 send PUT /plates/b body=behind
                o1 expect 200
            """)

    async def second() -> None:
        async with Buffered(nodes, tmp_path) as world:
            assert len(world.buffer_part.core.entries) == 2 and len(world.buffer_part.core.barriers) == 1
            world.pause_flush()

    async def third() -> None:
        async with Buffered(nodes, tmp_path) as world:
            stall_nodes(nodes, 0)
            await world.flushed()

    run(first())
    run(second())
    run(third())
    order = sorted((r for n in nodes for r in n.store.history), key=lambda r: r.at)
    assert [r.path for r in order] == ["/plates/a", "/plates/b"]


@pytest.mark.parametrize("fault", ["run-cut", "answer-cut", "cut", "refuse", "error", "stall"])
def test_each_write_runs_exactly_once_despite_node_faults(nodes, tmp_path, fault):
    """The faults include a crash of the node between the last byte of a request and its answer."""
    for node in nodes:
        node.script.add(Rule(fault, "PUT", times=3, seconds=3.0))

    async def play() -> None:
        async with Buffered(nodes, tmp_path) as world:
            for i in range(8):
                await world.play(f"o1 send PUT /plates/k{i} body=v{i}\no1 expect 200 x-mallowbeam-durable")
            await world.flushed()
            assert world.buffer_part.core.suspended == 0

    run(play())
    assert sorted(writes(nodes)) == sorted(f"PUT /plates/k{i}" for i in range(8))


def test_a_node_that_answers_then_dies_and_is_replaced_empty(nodes, tmp_path):
    """Writes that it answered with 200 count as stored; the others go to the node that replaces it."""

    async def play() -> None:
        async with Buffered(nodes, tmp_path) as world:
            nodes[0].script.add(Rule("answer-die", "PUT"))
            for key in keys_of_shard(0, 6):
                await world.play(f"o1 send PUT /plates/{key} body=v\no1 expect 200")
            await asyncio.sleep(0.3)
            stored_before = set(nodes[0].store.objects)
            nodes[0].replace()
            nodes[0].listen()
            await world.flushed()
            return stored_before

    before = run(play())
    after = set().union(*(node.store.objects for node in nodes))
    assert before and before | after == {f"/plates/{key}" for key in keys_of_shard(0, 6)}


def test_writes_for_a_draining_node_wait_until_it_is_back(nodes, tmp_path):
    async def play() -> None:
        async with Buffered(nodes, tmp_path) as world:
            assert world.gateway.set_detached("n0", True)
            for key in keys_of_shard(0, 4):
                await world.play(f"o1 send PUT /plates/{key} body={key}\no1 expect 200 x-mallowbeam-durable")
            await world.play(f"o1 send GET /plates/{key}\no1 expect 200 {key}")
            await asyncio.sleep(0.5)
            assert not nodes[0].store.history and len(world.buffer_part.core.entries) == 4
            assert world.gateway.set_detached("n0", False)
            await world.flushed()
            assert set(nodes[0].store.objects) == {f"/plates/{key}" for key in keys_of_shard(0, 4)}

    run(play())
