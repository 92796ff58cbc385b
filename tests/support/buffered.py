"""A test gateway with the write-back buffer, shared by the tests of the buffered object front end."""

from __future__ import annotations

import asyncio
from zlib import crc32

import uvloop
from scenario import World

from mallowbeam.standins.disk import SimDisk
from mallowbeam.standins.node import ObjectNode


def keys_of_shard(shard: int, count: int) -> list[str]:
    """Keys of the bucket `plates` that belong to that one of two shards."""
    return [f"k{i}" for i in range(99) if crc32(f"plates/k{i}".encode()) % 2 == shard][:count]


class Buffered(World):
    """A world whose bucket `plates` is buffered, in a folder or on a simulated disk."""

    def __init__(
        self,
        nodes: list[ObjectNode],
        folder,
        disk: SimDisk | None = None,
        overrides: dict | None = None,
        **options,
    ) -> None:
        section = {
            "folder": str(folder),
            "buckets": ["plates"],
            "max_bytes": 32 << 20,
            "segment_bytes": 1 << 20,
        }
        super().__init__(
            servers=[node.host_port for node in nodes], buffer=section | (overrides or {}), **options
        )
        self.disk = disk

    async def __aenter__(self) -> Buffered:
        await super().__aenter__()
        if self.disk is not None:  # the task that opens it has not run yet
            self.buffer_part.disk = self.disk
        async with asyncio.timeout(10):
            await self.buffer_part.opened.wait()
        return self

    async def __aexit__(self, *exc_info: object) -> None:
        await super().__aexit__(*exc_info)
        self.buffer_part.store.log.disk.unlock()  # as the end of the process would

    @property
    def buffer_part(self):
        return self.gateway.subsystems[0]

    def pause_flush(self) -> None:
        """Pause the flush to the nodes until `resume_flush`."""
        self.buffer_part.flush.sender = PausedSender(self.buffer_part.flush.sender)

    def resume_flush(self) -> None:
        """Resume the flush."""
        self.buffer_part.flush.sender = self.buffer_part.flush.sender.real
        self.buffer_part.wake()

    async def flushed(self) -> None:
        async with asyncio.timeout(15):
            while self.buffer_part.core.entries:
                await asyncio.sleep(0.01)

    async def stop_gracefully(self) -> None:
        """Shut the gateway down gracefully."""
        self.gateway.stop()
        self.gateway.shutdown_deadline = 0.0  # without a drain period
        await self.buffer_part.stop()


def run(coroutine) -> object:
    return uvloop.run(coroutine)


def writes(nodes: list[ObjectNode]) -> list[str]:
    return [run for node in nodes for run in node.store.runs if not run.startswith(("GET", "HEAD"))]


def stall_nodes(nodes: list[ObjectNode], seconds: float = 30.0) -> None:
    """Stall the nodes, so that buffered writes stay buffered."""
    for node in nodes:
        node.stand_still(seconds)


class PausedSender:
    """A sender that sends nothing."""

    def __init__(self, real) -> None:
        self.real = real

    def may_send(self) -> bool:
        return False

    def __getattr__(self, name: str):
        return getattr(self.real, name)
