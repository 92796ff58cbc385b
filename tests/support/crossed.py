"""A test world with three discovery servers, to run signals, upgrades and lists in the same event loop step.

`d` is the initial discovery server, `e` and `f` are others.
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
    """The JSON of a list with at most one member; `whole` says whether it is complete."""
    return f'{{"revision":{revision},"complete":{json.dumps(whole)},"members":[{member}]}}'


async def until(condition: Callable[[], object]) -> None:
    """Waits until a condition holds; fails after TIMEOUT_S."""
    async with asyncio.timeout(TIMEOUT_S):
        while not condition():
            await asyncio.sleep(0)


class Crossing(World):
    """A world with two more discovery servers, and configuration files that name them."""

    async def configuration(self) -> dict:
        for name in "ef":
            self.parties[name] = ScriptedServer()
            await self.parties[name].start()
        return await super().configuration()

    def hup(self, name: str) -> None:
        """Reloads as SIGHUP does, from a file with the address of another discovery server."""
        raw = json.loads((EXAMPLE / "config.json").read_text()) | {"discovery": self.parties[name].address}
        path = f"{tempfile.gettempdir()}/{name}.json"
        with open(path, "w", encoding="utf-8") as file:
            json.dump(raw, file)
        self.gateway.reload({"BALANCER_CONFIG": path})

    def serves(self) -> bool:
        """Whether the scheduler sends new requests to n0."""
        return self.gateway.scheduler.accepts_work("n0")


async def first_list(world: Crossing, revision: int, name: str = "e") -> None:
    """Plays the first call at a new address, answered with a list in which n0 drains."""
    await world.play(f"""
        {name} expect 'GET /v1/servers\\n'
        {name} send 200 'body={body(revision, DRAINING)}'
        {name} expect GET since={revision}
    """)


def crossing(play_it: Callable, **world) -> None:
    """Runs a test in a new `Crossing` world."""

    async def run() -> None:
        async with Crossing(**world) as here:
            await play_it(here)

    uvloop.run(run())


def upgraded(play_it: Callable, before: Callable | None = None) -> None:
    """Runs a test with an old and a new gateway; `before` is called on the old one before the new starts."""

    async def run() -> None:
        async with Crossing(meet=True) as old:
            await old.play("c1 send GET /healthz\nc1 expect 200\nd expect GET since=1")
            if before:
                await before(old)
            async with Crossing(before=old) as new:
                await play_it(old, new)

    uvloop.run(run())
