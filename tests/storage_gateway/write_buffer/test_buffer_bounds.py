"""The buffered object front end, on sockets: full buffers, disk faults, folders, rate limits and upgrades."""

from __future__ import annotations

import asyncio
import errno
import hashlib
import json
from dataclasses import replace
from zlib import crc32

import pytest
from buffered import Buffered, keys_of_shard, run, writes

from mallowbeam.standins.discovery import member
from mallowbeam.standins.disk import Fault, SimDisk
from mallowbeam.standins.node import ObjectNode
from mallowbeam.storage_gateway.server.config import GatewayConfigError
from mallowbeam.storage_gateway.write_buffer.disk import RealDisk
from mallowbeam.storage_gateway.write_buffer.entries import Outcome
from mallowbeam.storage_gateway.write_buffer.interface import SendResult
from mallowbeam.storage_gateway.write_buffer.log import Log
from mallowbeam.storage_gateway.write_buffer.records import Done, Kind, Record, Write, pack
from mallowbeam.storage_gateway.write_buffer.reopen import restore_write
from mallowbeam.storage_gateway.write_buffer.store import RecordRejectedError, Store


def test_a_full_buffer_sends_writes_direct_and_rejects_those_that_would_break_order(nodes, tmp_path):
    async def play() -> None:
        async with Buffered(nodes, tmp_path, overrides={"max_records": 2}) as world:
            world.pause_flush()
            await world.play("""
                o1 send PUT /plates/a body=1
                o1 expect 200 x-mallowbeam-durable
                o1 send PUT /plates/b body=2
                o1 expect 200 x-mallowbeam-durable
                o1 send PUT /plates/c body=3
                o1 expect 200 etag
                o1 send PUT /plates/a body=4
                o1 expect 503 SlowDown 'retry-after: \\d'
                o1 send PUT /plates/d body=5 x-mallowbeam-barrier:sync
                o1 expect 503 SlowDown
            """)
            assert not world.parties["o1"].seen[2].get(b"x-mallowbeam-durable")

    run(play())
    assert writes(nodes) == ["PUT /plates/c"]


def test_writes_on_a_full_disk_go_direct_until_there_is_space_again(nodes, tmp_path):
    disk = SimDisk()

    async def play() -> None:
        async with Buffered(nodes, tmp_path, disk) as world:
            disk.capacity = disk.used() + 2000
            await world.play("""
                o1 send PUT /plates/a body=1
                o1 expect 200 x-mallowbeam-durable
                o1 send PUT /plates/b fill=5000
                o1 expect 503 SlowDown
            """)
            await world.flushed()
            disk.capacity = None
            await world.play("o1 send PUT /plates/b fill=5000\no1 expect 200 x-mallowbeam-durable")
            await world.flushed()

    run(play())
    assert sorted(writes(nodes)) == ["PUT /plates/a", "PUT /plates/b"]


@pytest.mark.parametrize("call", ["write", "sync"])
def test_a_write_that_failed_with_an_io_error_is_neither_acknowledged_nor_restored(nodes, tmp_path, call):
    disk = SimDisk()

    async def play() -> None:
        async with Buffered(nodes, tmp_path, disk) as world:
            world.pause_flush()
            await world.play("o1 send PUT /plates/a body=kept\no1 expect 200")
            disk.faults = [Fault(call, errno.EIO, "segment-")]
            await world.play("""
                o1 send PUT /plates/b body=failed
                o1 expect 503 SlowDown
                o1 send PUT /plates/c body=later
                o1 expect 200 x-mallowbeam-durable
            """)

    run(play())
    for seed in range(6):
        crashed_disk = disk.crashed(seed)

        async def restart() -> None:
            async with Buffered(nodes, tmp_path, crashed_disk) as world:  # noqa: B023
                core = world.buffer_part.core
                assert [e.name for e in core.entries.values()] == [b"/plates/a", b"/plates/c"]
                world.pause_flush()

        run(restart())


def test_writes_of_uncertain_keys_are_rejected_until_a_failed_disk_recovers(nodes, tmp_path):
    """While no VOID record can be written, the write gets a 500, its key is rejected, others go direct."""
    disk = SimDisk()

    async def play() -> None:
        async with Buffered(nodes, tmp_path, disk) as world:
            disk.faults = [Fault("sync", errno.EIO, "segment-", times=-1)]
            await world.play("""
                o1 send PUT /plates/a body=1
                o1 expect 500 InternalError
                o1 send PUT /plates/a body=2
                o1 expect 503 SlowDown
                o1 send PUT /plates/b body=3
                o1 expect 200 etag
            """)
            assert not world.parties["o1"].seen[2].get(b"x-mallowbeam-durable")
            disk.faults = []
            async with asyncio.timeout(10):
                while world.buffer_part.core.failure:
                    await asyncio.sleep(0.02)
            await world.play("o1 send PUT /plates/a body=4\no1 expect 200 x-mallowbeam-durable")
            await world.flushed()
            await world.stop_gracefully()
        crashed_disk = disk.crashed(5)
        async with Buffered(nodes, tmp_path, crashed_disk) as world:
            assert not world.buffer_part.core.entries

    run(play())
    assert sorted(writes(nodes)) == ["PUT /plates/a", "PUT /plates/b"]


def test_an_aborted_upload_releases_its_segments(nodes, tmp_path):
    async def play() -> None:
        async with Buffered(nodes, tmp_path) as world:
            reader, writer = await asyncio.open_connection(*world.objects)
            writer.write(
                b"PUT /plates/a HTTP/1.1\r\nhost: x\r\ncontent-length: 900000\r\n\r\n" + bytes(600_000)
            )
            await writer.drain()
            async with asyncio.timeout(10):
                while not world.buffer_part.core.live.get(world.buffer_part.core.newest_segment):
                    await asyncio.sleep(0.01)
            writer.transport.abort()
            async with asyncio.timeout(10):
                while any(world.buffer_part.core.live.values()):
                    await asyncio.sleep(0.01)
            assert not world.buffer_part.core.entries
            await world.play("o1 send GET /plates/a\no1 expect 404")

    run(play())
    assert writes(nodes) == []


def test_the_flush_keeps_to_the_volumes_rate_limit(nodes, tmp_path):
    """Bronze allows 49 units a second in bursts of 67, plus 8 of slack; the flush must keep to it as well."""

    async def play() -> None:
        async with Buffered(nodes, tmp_path) as world:
            world.buffer_part.flush.sender.settings.plans["plates"] = "bronze"
            for i in range(160):
                await world.play(f"o1 send PUT /plates/k{i} body=v\no1 expect 200 x-mallowbeam-durable")
                if i % 2:  # direct calls of the same volume's clients at the same time
                    await world.play(
                        f"o2 send PUT /plates/direct{i} body=v x-amz-tagging:a=b\n" "o2 expect '200|503'"
                    )
            await world.flushed()

    run(play())
    times = sorted(r.at for n in nodes for r in n.store.history)
    assert len(times) >= 160  # direct writes may be rejected at any time
    for i in range(len(times)):
        for j in range(i + 1, len(times)):
            assert j - i + 1 <= 67 + 8 + 49 * (times[j] - times[i] + 0.15) + 1


def test_an_upgrade_hands_the_folder_over(nodes, tmp_path):
    """The new process serves and flushes the old one's acknowledged writes; the old one answers SlowDown."""

    async def play() -> None:
        async with Buffered(nodes, tmp_path, meet=True) as old:
            old.pause_flush()
            await old.play("o1 send PUT /plates/a body=kept\no1 expect 200 x-mallowbeam-durable")
            new = Buffered(nodes, tmp_path, before=old)
            async with new:
                await old.play("o1 send GET /plates/a\no1 expect 503 SlowDown")
                new.parties.pop("o1", None)
                await new.play("o1 send GET /plates/a\no1 expect 200 kept")
                await new.flushed()

    run(play())
    assert writes(nodes) == ["PUT /plates/a"]


def test_a_read_only_folder_is_one_plain_error(nodes, tmp_path, monkeypatch):
    def refuse(*_: object) -> None:
        raise OSError(errno.EROFS, "Read-only file system")

    async def start() -> None:
        async with Buffered(nodes, tmp_path):
            pass

    monkeypatch.setattr("mallowbeam.storage_gateway.write_buffer.disk.RealDisk.lock", refuse)
    with pytest.raises(GatewayConfigError, match=r"buffer\.folder: .*: Read-only file system"):
        run(start())
    monkeypatch.setattr("os.access", lambda *_: False)
    with pytest.raises(GatewayConfigError, match=r"buffer\.folder: .*: it can't be written to"):
        run(start())


def test_a_write_accepted_before_the_wall_clock_was_set_back_has_age_zero():
    content = Write("PUT", "plates", b"/plates/a", 1, [], b"t", '"e"', 1, 5000.0)
    record = Record(Kind.WRITE, 1, 0, 1, 0, b"")
    assert restore_write(record, 1, content, wall=4000.0, now=100.0).entry.accepted_at == 100.0
    assert restore_write(record, 1, content, wall=5040.0, now=100.0).entry.accepted_at == 60.0


def test_the_operators_listener_serves_the_buffers_metrics(nodes, tmp_path):
    async def play() -> None:
        async with Buffered(nodes, tmp_path) as world:
            await world.play("o1 send PUT /plates/a body=1\no1 expect 200")
            await world.flushed()
            await world.play("q1 send GET /_vars\nq1 expect 200 'app_buffer_taken 1' 'app_buffer_stored 1'")

    run(play())


def test_another_owner_a_missing_and_a_newer_folder_are_one_plain_error(nodes, tmp_path):
    async def start(folder) -> None:
        async with Buffered(nodes, folder):
            pass

    with pytest.raises(GatewayConfigError, match=r"buffer\.folder: .*none: No such file"):
        run(start(tmp_path / "none"))
    disk = RealDisk(str(tmp_path))
    disk.lock()
    with pytest.raises(GatewayConfigError, match=r"buffer\.folder: .* in use by another process"):
        run(start(tmp_path))
    disk.close()
    (tmp_path / "folder.json").write_text(json.dumps({"format": "mallowbeam-buffer", "version": 9, "id": ""}))
    with pytest.raises(GatewayConfigError, match=r"buffer\.folder: .* version 9"):
        run(start(tmp_path))


def test_a_direct_write_is_rejected_while_its_key_can_not_be_flushed(nodes, tmp_path):
    """Otherwise the buffered write, which was accepted before it, would replace it."""

    async def play() -> None:
        async with Buffered(nodes, tmp_path) as world:
            world.pause_flush()
            await world.play("""
                o1 send PUT /plates/a body=first
                o1 expect 200 x-mallowbeam-durable
                o1 send PUT /plates/a body=second x-amz-tagging:a=b
                o1 expect 503 SlowDown
                o1 send PUT /plates/b body=other x-amz-tagging:a=b
                o1 expect 200
            """)

    run(play())
    assert writes(nodes) == ["PUT /plates/b"]


@pytest.mark.parametrize(
    "present, seen, outcome",
    [
        ("", "", Outcome.STORED),
        ("other", "", Outcome.DECLINED),
        ("other", "seen", Outcome.STORED),
        ("", "seen", Outcome.DECLINED),
        ("newer", "seen", Outcome.DECLINED),
        ("newer", None, Outcome.STORED),
    ],
)
def test_an_attempt_after_reading_back_is_conditional_on_the_version_read(
    nodes, tmp_path, present, seen, outcome
):
    """`seen` is the version of `other`, "" for no object: a later write by others must not be replaced."""
    other = f'"{hashlib.md5(b"other").hexdigest()}"'

    async def play() -> SendResult:
        async with Buffered(nodes, tmp_path) as world:
            if present:
                await world.play(f"o1 send PUT /plates/a body={present} x-amz-tagging:a=b\no1 expect 200")
            write = Write("PUT", "plates", b"/plates/a", crc32(b"plates/a"), [], b"token", '"e"', 4, 0.0)
            return await world.buffer_part.flush.sender.send(write, b"mine", 2.0, other if seen else seen)

    assert run(play()).outcome is outcome
    body = (
        next(stored.body for node in nodes for stored in node.store.objects.values()) if present else b"mine"
    )
    if outcome is Outcome.STORED:
        assert b"mine" in [stored.body for node in nodes for stored in node.store.objects.values()]
    elif present:
        assert body == present.encode()


def test_a_chunked_body_that_exceeds_the_buffer_is_rejected_and_releases_its_segments(nodes, tmp_path):
    """The body is chunked, so that its length is known only while it is received."""

    async def play() -> None:
        async with Buffered(nodes, tmp_path) as world:
            core = world.buffer_part.core
            core.limits = replace(core.limits, max_bytes=core.bytes + 600_000)
            reader, writer = await asyncio.open_connection(*world.objects)
            writer.write(b"PUT /plates/a HTTP/1.1\r\nhost: x\r\ntransfer-encoding: chunked\r\n\r\n")
            for _ in range(20):
                writer.write(b"%x\r\n%b\r\n" % (100_000, bytes(100_000)))
            writer.write(b"0\r\n\r\n")
            async with asyncio.timeout(10):
                assert (await reader.readuntil(b"\r\n\r\n")).startswith(b"HTTP/1.1 503")
            assert not core.entries and not any(core.live.values()) and core.bytes <= core.limits.max_bytes

    run(play())


def test_cached_bodies_stay_within_cache_bytes_and_others_are_read_from_the_log(nodes, tmp_path):
    async def play() -> None:
        async with Buffered(nodes, tmp_path, overrides={"cache_bytes": 300_000}) as world:
            world.pause_flush()
            for i in range(10):
                await world.play(f"o1 send PUT /plates/k{i} fill=100000\no1 expect 200 x-mallowbeam-durable")
                assert world.buffer_part.reader.cached_bytes <= 300_000
            assert len(world.buffer_part.reader.cache) < 4
            await world.play("o1 send GET /plates/k0 range:bytes=99999-\no1 expect 206 '\\n\\nx$'")

    run(play())


def test_done_records_are_committed_on_a_full_disk_that_rejects_new_writes():
    """Both records are in one batch: the new write is rejected, the DONE record uses the reserve."""
    disk = SimDisk()
    log = Log(disk, 1 << 20)
    log.recover(log.open())

    async def play() -> None:
        store = Store(log, 0, lambda *_: None, lambda *_: None)
        disk.capacity = disk.used()
        content = Write("PUT", "plates", b"/plates/a", 1, [], b"t", '"e"', 9000, 0.0)
        new = store.append(Kind.WRITE, store.next_lsn(), pack(Kind.WRITE, content, bytes(9000)))
        end = store.append(Kind.DONE, store.next_lsn(), pack(Kind.DONE, Done([1])))
        with pytest.raises(RecordRejectedError):
            await new.done
        await end.done
        await store.close()

    run(play())


def test_writes_for_a_node_that_is_replaced_go_to_the_one_that_discovery_names(nodes, tmp_path):
    """Discovery names a new address for the shard while the buffer holds writes for it."""
    new = ObjectNode()

    async def play() -> None:
        async with Buffered(nodes, tmp_path) as world:
            world.pause_flush()
            for key in keys_of_shard(0, 3):
                await world.play(f"o1 send PUT /plates/{key} body={key}\no1 expect 200 x-mallowbeam-durable")
            members = [
                member("n0", nodes[0].host_port, 0, "draining"),
                member("n9", new.host_port, 0),
                member("n1", nodes[1].host_port, 1),
            ]
            body = json.dumps({"revision": 7, "complete": True, "members": members})
            await world.play(f"d expect GET\nd send 200 'body={body}'")
            async with asyncio.timeout(10):
                while "n9" not in world.gateway.addresses:
                    await asyncio.sleep(0.01)
            world.resume_flush()
            await world.flushed()

    try:
        run(play())
        assert set(new.store.objects) == {f"/plates/{key}" for key in keys_of_shard(0, 3)}
        assert not nodes[0].store.history
    finally:
        new.close()
