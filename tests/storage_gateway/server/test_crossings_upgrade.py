"""An upgrade with SIGHUP, SIGTERM, a list or the end of one process within the same step, on sockets."""

from __future__ import annotations

import asyncio
import json
import tempfile

import pytest
import uvloop
from crossed import UP, Crossing, body, first_list, until, upgraded
from scenario import TIMEOUT_S

from mallowbeam.storage_gateway.scheduler.gateway_host import Orders
from mallowbeam.storage_gateway.server import handover
from mallowbeam.storage_gateway.server.calls import Phase
from mallowbeam.storage_gateway.server.listing import Listing, read_listing, write_listing


@pytest.fixture(autouse=True)
def handover_folder(monkeypatch, tmp_path):
    """A temporary folder for the hand-over socket."""
    monkeypatch.setattr(tempfile, "tempdir", str(tmp_path))


@pytest.mark.parametrize("first", ["stop", "upgrade"])
def test_a_stop_beside_an_upgrade_loses_nothing(first):
    """The old process is stopped just after its state is written, or before the new one connects."""

    async def before(old: Crossing) -> None:
        await old.play("c1 send read\nn0 expect GET")
        takeover = old.gateway.peer.handover_state

        def state() -> dict:
            asyncio.get_running_loop().call_soon(old.gateway.stop)
            return takeover()

        old.gateway.peer.handover_state = state
        if first == "stop":
            old.gateway.stop()

    async def run(old: Crossing, new: Crossing) -> None:
        await old.play("n0 send 200 body=held\nc1 expect 200 held")
        await until(old.task.done)
        if old.gateway.peer.link is not None:
            old.gateway.peer.link.close()  # as the end of the process would
        await until(lambda: new.gateway.peer.link is None)
        assert old.task.result() is None and new.gateway.phase is Phase.SERVING
        assert new.gateway.pool.connection_limit == new.gateway.pool.configured_limit
        await new.play("c9 send read\nn0 expect GET\nn0 send 200 body=new\nc9 expect 200 new")

    upgraded(run, before)


@pytest.mark.parametrize("when", ["before", "after"])
def test_a_reload_of_the_old_process_beside_its_state_moves_the_new_one_too(when):
    """Without a full list from the new address, the new process kept all nodes of the old address."""

    async def before(old: Crossing) -> None:
        takeover = old.gateway.peer.handover_state

        def state() -> dict:
            asyncio.get_running_loop().call_soon(old.hup, "e")
            return takeover()

        if when == "after":  # in the step after the state is built
            old.gateway.peer.handover_state = state
        else:  # in an earlier step, with no list from the new address yet
            old.hup("e")

    async def run(old: Crossing, new: Crossing) -> None:
        e = old.parties["e"]
        await until(lambda: old.gateway.phase is Phase.HANDED_OVER and old.gateway.watch.paused)
        await until(lambda: new.gateway.watch.address == e.address)
        served = 0
        while new.gateway.watch.revision != 3:  # calls of both processes, in any order
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


def list_message(world: Crossing, where: str, revision: int, member: str, whole: bool = True) -> dict:
    """A `list` message of the other process, with the address of a discovery server."""
    member = member.replace("$n0", world.parties["n0"].address)
    listing = read_listing(json.loads(body(revision, member, whole)))
    return write_listing(*listing) | {"discovery": world.parties[where].address}


async def until_received(sender: Crossing, receiver: Crossing) -> None:
    """Waits until all previous messages of `sender` were received, by sending a marker after them."""
    ids = len(receiver.gateway.peer.link.request_ids)
    sender.gateway.peer.link.send("taken", f"mark{ids}")
    await until(lambda: len(receiver.gateway.peer.link.request_ids) > ids)


def test_late_list_of_the_old_address_is_ignored():
    """In both directions, with revisions lower and higher than those of the new address."""

    async def run(old: Crossing, new: Crossing) -> None:
        await until(lambda: old.gateway.watch.paused)
        new.hup("e")
        await first_list(new, 3)
        await until(lambda: old.gateway.watch.revision == 3)
        assert not old.serves() and not new.serves()
        for sender, receiver in ((old, new), (new, old)):
            for revision in (2, 57):
                for whole in (True, False):
                    sender.gateway.peer.link.send("list", list_message(old, "d", revision, UP, whole))
            await until_received(sender, receiver)
            assert not receiver.serves() and receiver.gateway.watch.revision == 3

    upgraded(run)


def test_list_of_the_old_address_does_not_hide_the_first_of_the_new_one():
    """The old process took the old address's revision for one of the new address and ignored later lists."""

    async def run(old: Crossing, new: Crossing) -> None:
        await until(lambda: old.gateway.watch.paused)
        new.gateway.peer.link.send("list", list_message(old, "d", 57, UP))  # in flight
        old.hup("e")
        await until_received(new, old)
        await first_list(new, 3)
        await until(lambda: old.gateway.watch.revision == 3)
        assert not old.serves()

    upgraded(run)


def test_reloads_of_both_processes_that_cross_end_at_one_address():
    """If the addresses differed, the old process would ignore the lists that the new one forwards."""

    async def run(old: Crossing, new: Crossing) -> None:
        await until(lambda: old.gateway.watch.paused)
        old.hup("e")
        new.hup("f")
        for _ in range(3):  # all messages about it are received
            await until_received(old, new)
            await until_received(new, old)
        assert old.gateway.watch.address == new.gateway.watch.address
        name = {old.parties[name].address: name for name in "ef"}[new.gateway.watch.address]
        await first_list(new, 4, name)
        await until(lambda: old.gateway.watch.revision == 4)
        assert not old.serves()

    upgraded(run)


def test_a_repeat_that_the_module_asks_for_begins_no_second_watch_after_the_handover():
    """After a failed call the pending retry made the old process watch beside the new one."""

    async def run(old: Crossing, new: Crossing) -> None:
        await until(lambda: old.gateway.watch.paused)
        old.gateway.apply(Orders(watch_nodes=True))  # the pending retry
        assert old.gateway.watch.task is None
        new.gateway.peer.link.close()  # the new process is gone, so the old one watches again
        await until(lambda: old.gateway.peer.link is None)
        assert old.gateway.watch.task is not None

    upgraded(run)


@pytest.mark.parametrize("left", ["old", "new"])
def test_an_attempt_whose_sister_process_ends_is_answered_and_its_id_is_free_again(left):
    async def run(old: Crossing, new: Crossing) -> None:
        await until(lambda: old.gateway.phase is Phase.HANDED_OVER)
        stays, goes = (old, new) if left == "old" else (new, old)
        client = "c1" if left == "old" else "c8"  # c1 is connected to the old process
        name = f"{0xabc:016x}"
        await stays.play(f"{client} send read id={name}\nn0 expect GET")
        await until(lambda: name in goes.gateway.peer.link.request_ids)
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
    """The link was closed before its tasks had begun and never cleaned up, which blocked later upgrades."""
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
            takeover = await asyncio.to_thread(handover.take_over, old.config)
            assert takeover is not None and isinstance(takeover.config(old.config).known, Listing)
            takeover.sock.close()
            for door in takeover.listeners.values():
                door.close()

    uvloop.run(run())
