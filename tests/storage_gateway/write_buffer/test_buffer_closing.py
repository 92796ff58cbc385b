"""Every call that waits for the buffer while its folder is closed gets an answer."""

from __future__ import annotations

import asyncio
import random
import threading
from collections.abc import Iterator
from contextlib import contextmanager

import pytest
from buffered import Buffered, run

from mallowbeam.lab.crash import new_rig
from mallowbeam.lab.handover import HandoverLane, hand_over_gateways
from mallowbeam.standins.disk import SimDisk
from mallowbeam.storage_gateway.write_buffer.entries import Entry
from mallowbeam.storage_gateway.write_buffer.interface import Phase
from mallowbeam.storage_gateway.write_buffer.records import Write

GIVE_UP_S = 10.0  # a call not answered by then counts as unanswered


class GatedDisk(SimDisk):
    """A disk whose syncs block while its gate is shut."""

    def __init__(self) -> None:
        super().__init__()
        self.gate = threading.Event()
        self.gate.set()
        self.waiting = threading.Event()

    def step(self, call: str, name: str) -> None:
        """Wait before a sync until the gate is open."""
        if call == "sync" and not self.gate.is_set():
            self.waiting.set()
            assert self.gate.wait(GIVE_UP_S)
        super().step(call, name)

    @contextmanager
    def shut(self) -> Iterator[None]:
        """Shut the gate, and open it on exit in any case."""
        self.gate.clear()
        try:
            yield
        finally:
            self.gate.set()

    async def sync_begun(self) -> None:
        """Wait until a sync waits at the gate."""
        assert await asyncio.to_thread(self.waiting.wait, GIVE_UP_S)


async def closing(world: Buffered) -> asyncio.Task[None]:
    """Begin to hand the folder over; returns once the buffer's tasks are cancelled and the log closes."""
    handing_over = asyncio.create_task(world.buffer_part.hand_over())
    async with asyncio.timeout(GIVE_UP_S):
        while not (world.buffer_part.phase is Phase.CLOSED and world.buffer_part.store._closing):  # noqa: SLF001
            await asyncio.sleep(0)
    return handing_over


@pytest.mark.parametrize(
    ("call", "answer"),
    [
        ("PUT /plates/a body=1", "200 x-mallowbeam-durable"),
        ("DELETE /plates/a", "204 x-mallowbeam-durable"),
        ("POST /plates?barrier=sync", "200 x-mallowbeam-barrier-id"),
        ("PUT /plates/a fill=600000", "503 SlowDown"),  # its later chunks are rejected by the closed log
    ],
)
def test_a_call_whose_commit_is_under_way_as_the_folder_closes_is_answered(nodes, tmp_path, call, answer):
    disk = GatedDisk()

    async def play() -> None:
        async with Buffered(nodes, tmp_path, disk) as world:
            world.pause_flush()
            with disk.shut():
                await world.play(f"o1 send {call}")
                await disk.sync_begun()
                handing_over = await closing(world)
            await handing_over
            async with asyncio.timeout(GIVE_UP_S):
                await world.play(f"o1 expect {answer}")

    run(play())


def test_a_client_that_waits_for_the_flush_as_the_folder_closes_is_answered(nodes, tmp_path):
    async def play() -> None:
        async with Buffered(nodes, tmp_path) as world:
            world.pause_flush()
            await world.play("""
                o1 send PUT /plates/a body=1
                o1 expect 200 x-mallowbeam-durable
                o1 send POST /plates?barrier=through
                o2 send PUT /plates/a body=2 x-amz-acl:private
            """)
            waiters = world.buffer_part.waiters
            async with asyncio.timeout(GIVE_UP_S):
                while not (waiters._by_barrier and waiters._direct):  # noqa: SLF001
                    await asyncio.sleep(0)
            await world.buffer_part.hand_over()
            await world.play("""
                o1 expect 503 SlowDown x-mallowbeam-barrier-id
                o2 expect 503 SlowDown
            """)

    run(play())


def test_a_read_that_finds_the_folder_closed_is_answered_with_slow_down(nodes, tmp_path, monkeypatch):
    async def play() -> None:
        async with Buffered(nodes, tmp_path, overrides={"cache_bytes": 0}) as world:
            world.pause_flush()
            await world.play("o1 send PUT /plates/a body=1\no1 expect 200 x-mallowbeam-durable")
            read = world.buffer_part.reader.read

            async def read_once_closed(entry: Entry) -> tuple[Write, bytes]:
                await world.buffer_part.hand_over()  # between the call's phase check and its read
                return await read(entry)

            monkeypatch.setattr(world.buffer_part.reader, "read", read_once_closed)
            await world.play("o1 send GET /plates/a\no1 expect 503 SlowDown")

    run(play())


def test_two_hundred_hand_overs_under_load_leave_no_call_without_an_answer(tmp_path):
    counts, violations = asyncio.run(hand_over_gateways(tmp_path, hand_overs=200, lanes=8, seed=20261202))
    assert violations == []
    assert counts["hand-overs"] == 200 and counts["acknowledged"] > 0 and counts["runs"] > 0


def test_the_hand_over_checker_reports_an_unanswered_call(tmp_path):
    async def play() -> HandoverLane:
        async def close_unanswered(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await reader.readline()
            writer.close()

        lane_under_test = HandoverLane(new_rig(tmp_path / "lane"), random.Random(7))
        async with await asyncio.start_server(close_unanswered, "127.0.0.1", 0) as server:
            lane_under_test.rig.ports[1] = server.sockets[0].getsockname()[1]
            await lane_under_test.call(random.Random(7), "key")
        lane_under_test.rig.close()
        return lane_under_test

    assert ["no answer" in text for text in asyncio.run(play()).wrong] == [True]
