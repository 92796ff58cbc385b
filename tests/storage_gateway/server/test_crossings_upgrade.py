"""An upgrade that meets SIGHUP, SIGTERM, a list or its sister's end within one step: forced, on sockets."""

from __future__ import annotations

import asyncio
import json
import tempfile

import pytest
import uvloop
from crossed import UP, Crossing, body, first_list, until, upgraded
from scenario import TIMEOUT_S

from mallowbeam.storage_gateway.scheduler.gateway_host import Orders
from mallowbeam.storage_gateway.server import gateway as gateways
from mallowbeam.storage_gateway.server import handover
from mallowbeam.storage_gateway.server.calls import Phase
from mallowbeam.storage_gateway.server.listing import Listing, read_listing, write_listing


@pytest.fixture(autouse=True)
def place(monkeypatch, tmp_path):
    """A folder of the test's own to meet in."""
    monkeypatch.setattr(tempfile, "tempdir", str(tmp_path))


@pytest.mark.parametrize("first", ["stop", "upgrade"])
def test_a_stop_beside_an_upgrade_loses_nothing(monkeypatch, first):
    """The old process ends after it has handed over its state, or before anybody asked: both serve on."""
    monkeypatch.setattr(gateways, "STAY", 1.0)

    async def before(old: Crossing) -> None:
        await old.play("c1 send read\nn0 expect GET")
        legacy = old.gateway.peer.handover_state

        def state() -> dict:
            asyncio.get_running_loop().call_soon(old.gateway.stop)
            return legacy()

        old.gateway.peer.handover_state = state
        if first == "stop":
            old.gateway.stop()

    async def run(old: Crossing, new: Crossing) -> None:
        await old.play("n0 send 200 body=held\nc1 expect 200 held")
        await until(old.task.done)
        if old.gateway.peer.link is not None:
            old.gateway.peer.link.close()  # as its end would
        await until(lambda: new.gateway.peer.link is None)
        assert old.task.result() is None and new.gateway.phase is Phase.SERVING
        assert new.gateway.pool.connection_limit == new.gateway.pool.configured_limit
        await new.play("c9 send read\nn0 expect GET\nn0 send 200 body=new\nc9 expect 200 new")

    upgraded(run, before)


@pytest.mark.parametrize("when", ["before", "after"])
def test_a_reload_of_the_old_process_beside_its_state_moves_the_new_one_too(when):
    """Guards the nodes of the old address: asked for changes since nothing, the new process kept them all."""

    async def before(old: Crossing) -> None:
        legacy = old.gateway.peer.handover_state

        def state() -> dict:
            asyncio.get_running_loop().call_soon(old.hup, "e")
            return legacy()

        if when == "after":  # in the step after the state is written
            old.gateway.peer.handover_state = state
        else:  # and in one before, with nothing heard at the new address yet
            old.hup("e")

    async def run(old: Crossing, new: Crossing) -> None:
        e = old.parties["e"]
        await until(lambda: old.gateway.phase is Phase.HANDED_OVER and old.gateway.watch.paused)
        await until(lambda: new.gateway.watch.address == e.address)
        served = 0
        while new.gateway.watch.revision != 3:  # the call of either, in whatever order they come
            async with asyncio.timeout(TIMEOUT_S):
                message, e.writer = await e.received.get() or (None, None)
            if message and not e.writer.is_closing():
                assert message.target == b"/v1/servers", message.target
                e.write("HTTP/1.1 200 OK", [f"body={body(3)}"])
                served += 1
                await asyncio.sleep(0)
                await until(lambda: new.gateway.watch.revision == 3 or not e.received.empty())
        await until(lambda: old.gateway.watch.revision == 3)
        assert old.gateway.watch.address == e.address and not new.gateway.scheduler.nodes_listed

    upgraded(run, before)


def news(world: Crossing, where: str, revision: int, member: str, whole: bool = True) -> dict:
    """A list as the other process tells of it, heard at some discovery."""
    member = member.replace("$n0", world.parties["n0"].address)
    listing = read_listing(json.loads(body(revision, member, whole)))
    return write_listing(*listing) | {"discovery": world.parties[where].address}


async def told(teller: Crossing, hearer: Crossing) -> None:
    """All that the other has said so far has been heard: a word after it has."""
    ids = len(hearer.gateway.peer.link.ids)
    teller.gateway.peer.link.send("taken", f"mark{ids}")
    await until(lambda: len(hearer.gateway.peer.link.ids) > ids)


def test_a_late_list_of_the_address_left_undoes_nothing_at_the_new_one():
    """In both directions, with revisions that are higher there, and lower, than those of the new address."""

    async def run(old: Crossing, new: Crossing) -> None:
        await until(lambda: old.gateway.watch.paused)
        new.hup("e")
        await first_list(new, 3)
        await until(lambda: old.gateway.watch.revision == 3)
        assert not old.serves() and not new.serves()
        for teller, hearer in ((old, new), (new, old)):
            for revision in (2, 57):
                for whole in (True, False):
                    teller.gateway.peer.link.send("list", news(old, "d", revision, UP, whole))
            await told(teller, hearer)
            assert not hearer.serves() and hearer.gateway.watch.revision == 3

    upgraded(run)


def test_a_list_of_the_address_left_that_comes_before_the_new_one_s_does_not_hide_that():
    """Guards the old process: it took the old numbering for the new one, and heard no list any more."""

    async def run(old: Crossing, new: Crossing) -> None:
        await until(lambda: old.gateway.watch.paused)
        new.gateway.peer.link.send("list", news(old, "d", 57, UP))  # on its way
        old.hup("e")
        await told(new, old)
        await first_list(new, 3)
        await until(lambda: old.gateway.watch.revision == 3)
        assert not old.serves()

    upgraded(run)


def test_reloads_of_both_processes_that_cross_end_at_one_address():
    """Guards the old process's sight: left at another address, it would hear nothing of the new one's."""

    async def run(old: Crossing, new: Crossing) -> None:
        await until(lambda: old.gateway.watch.paused)
        old.hup("e")
        new.hup("f")
        for _ in range(3):  # all that is said about it is heard
            await told(old, new)
            await told(new, old)
        assert old.gateway.watch.address == new.gateway.watch.address
        name = {old.parties[name].address: name for name in "ef"}[new.gateway.watch.address]
        await first_list(new, 4, name)
        await until(lambda: old.gateway.watch.revision == 4)
        assert not old.serves()

    upgraded(run)


def test_a_repeat_that_the_module_asks_for_begins_no_second_watch_after_the_handover():
    """Guards discovery: a call had failed before it, so the old process watched on beside the new one."""

    async def run(old: Crossing, new: Crossing) -> None:
        await until(lambda: old.gateway.watch.paused)
        old.gateway.apply(Orders(watch_nodes=True))  # the repeat that was due
        assert old.gateway.watch.task is None
        new.gateway.peer.link.close()  # gone: now nobody else watches
        await until(lambda: old.gateway.peer.link is None)
        assert old.gateway.watch.task is not None

    upgraded(run)


@pytest.mark.parametrize("left", ["old", "new"])
def test_an_attempt_whose_sister_process_ends_is_answered_and_its_id_is_free_again(left):
    async def run(old: Crossing, new: Crossing) -> None:
        await until(lambda: old.gateway.phase is Phase.HANDED_OVER)
        stays, goes = (old, new) if left == "old" else (new, old)
        client = "c1" if left == "old" else "c8"  # c1's connection is the old process's
        name = f"{0xabc:016x}"
        await stays.play(f"{client} send read id={name}\nn0 expect GET")
        await until(lambda: name in goes.gateway.peer.link.ids)
        goes.gateway.peer.link.close()
        await until(lambda: stays.gateway.peer.link is None and goes.gateway.peer.link is None)
        assert stays.gateway.has_id(name) and not goes.gateway.has_id(name)
        await stays.play(f"n0 send 200 body=kept\n{client} expect 200 kept")
        assert (
            not stays.gateway.has_id(name)
            and stays.gateway.pool.connection_limit == stays.gateway.pool.configured_limit
        )

    upgraded(run)


def test_a_state_too_large_to_be_told_leaves_no_half_upgrade_behind(monkeypatch):
    """Guards the next upgrade: the line to the new process was given up before its tasks had begun."""
    whole = handover.MAX_MESSAGE_BYTES

    async def run() -> None:
        async with Crossing(meet=True) as old:
            await old.play("d expect GET since=1")
            monkeypatch.setattr(handover, "MAX_MESSAGE_BYTES", 100)
            assert await asyncio.to_thread(handover.take_over, old.config) is None
            await until(lambda: old.gateway.peer.link is None)
            assert (
                old.gateway.pool.connection_limit == old.gateway.pool.configured_limit
                and not old.gateway.handed_over.is_set()
            )
            monkeypatch.setattr(handover, "MAX_MESSAGE_BYTES", whole)
            legacy = await asyncio.to_thread(handover.take_over, old.config)
            assert legacy is not None and isinstance(legacy.config(old.config).known, Listing)
            legacy.sock.close()
            for door in legacy.listeners.values():
                door.close()

    uvloop.run(run())
