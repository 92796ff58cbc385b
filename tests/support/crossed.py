"""A world with three discoveries, in which signals, upgrades and lists are made to meet within one step.

`d` is the discovery of the start, `e` and `f` are others.
"""

from __future__ import annotations

import asyncio
import json
import tempfile
from collections.abc import Callable

import uvloop
from scenario import EXAMPLE, TIMEOUT_S, ScriptedServer, World

DRAINING = '{"id":"n0","cell":0,"phase":"draining"}'
UP = '{"id":"n0","host_port":"$n0","cell":0,"phase":"up"}'


def body(revision: int, member: str = "", whole: bool = True) -> str:
    return f'{{"revision":{revision},"complete":{json.dumps(whole)},"members":[{member}]}}'


async def until(condition: Callable[[], object]) -> None:
    """Wait for what must come."""
    async with asyncio.timeout(TIMEOUT_S):
        while not condition():
            await asyncio.sleep(0)


class Crossing(World):
    """A world with two more discoveries, and files that name them."""

    async def configuration(self) -> dict:
        for name in "ef":
            self.parties[name] = ScriptedServer()
            await self.parties[name].start()
        return await super().configuration()

    def hup(self, name: str) -> None:
        """SIGHUP, the file naming another discovery."""
        raw = json.loads((EXAMPLE / "config.json").read_text()) | {"discovery": self.parties[name].address}
        path = f"{tempfile.gettempdir()}/{name}.json"
        with open(path, "w", encoding="utf-8") as file:
            json.dump(raw, file)
        self.gateway.reload({"BALANCER_CONFIG": path})

    def serves(self) -> bool:
        """Whether new work may go to n0."""
        return self.gateway.scheduler.accepts_work("n0")


async def first_list(world: Crossing, revision: int, name: str = "e") -> None:
    """The first call at a new address, and its list, by which n0 drains."""
    await world.play(f"""
        {name} expect 'GET /v1/servers\\n'
        {name} send 200 'body={body(revision, DRAINING)}'
        {name} expect GET since={revision}
    """)


def crossing(play_it: Callable, **world) -> None:
    """Play one in a world of its own."""

    async def run() -> None:
        async with Crossing(**world) as here:
            await play_it(here)

    uvloop.run(run())


def upgraded(play_it: Callable, before: Callable | None = None) -> None:
    """The same with an old and a new process, the old one told to `before` once it serves."""

    async def run() -> None:
        async with Crossing(meet=True) as old:
            await old.play("c1 send GET /healthz\nc1 expect 200\nd expect GET since=1")
            if before:
                await before(old)
            async with Crossing(before=old) as new:
                await play_it(old, new)

    uvloop.run(run())
