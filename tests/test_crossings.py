"""SIGHUP, SIGTERM, an upgrade and a list that meet within one step: forced, on real sockets.

`d` is the discovery of the start, `e` and `f` are others.  Each step is put between two others by a hook, so
no sleep decides anything.
"""

from __future__ import annotations

import asyncio
import json
import tempfile
from collections.abc import Callable

import pytest
import uvloop
from scenario import EXAMPLE, PATIENCE, Stand, World

from mallowbeam.facade import Orders
from mallowbeam.net import discovery, handover
from mallowbeam.net import gateway as gateways
from mallowbeam.net.calls import Phase
from mallowbeam.net.listing import Listing, read_listing, write_listing

DRAINING = '{"id":"n0","cell":0,"phase":"draining"}'
UP = '{"id":"n0","host_port":"$n0","cell":0,"phase":"up"}'


def body(revision: int, member: str = "", whole: bool = True) -> str:
    return f'{{"revision":{revision},"complete":{json.dumps(whole)},"members":[{member}]}}'


@pytest.fixture(autouse=True)
def place(monkeypatch, tmp_path):
    """A folder of the test's own to meet in."""
    monkeypatch.setattr(tempfile, "tempdir", str(tmp_path))


async def until(condition: Callable[[], object]) -> None:
    """Wait for what must come."""
    async with asyncio.timeout(PATIENCE):
        while not condition():
            await asyncio.sleep(0)


class Crossing(World):
    """A world with two more discoveries, and files that name them."""

    async def configuration(self) -> dict:
        for name in "ef":
            self.parties[name] = Stand()
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
        return self.gateway.facade.takes("n0")


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


# --- the watch ---------------------------------------------------------------------------------

class Held:
    """The loop as one connection sees it: what is read comes when the test says so, a step before its use."""

    def __init__(self) -> None:
        self.loop, self.read, self.buffer = asyncio.get_running_loop(), None, None

    def sock_recv_into(self, _, buffer: memoryview) -> asyncio.Future:
        """A read that the test ends."""
        self.read, self.buffer = self.loop.create_future(), buffer
        return self.read

    def sock_sendall(self, sock, data: bytes):
        """As the loop does."""
        return self.loop.sock_sendall(sock, data)

    def come(self, data: bytes) -> None:
        """Bytes have come: the read is over, and the task that waits for it has not gone on yet."""
        self.buffer[:len(data)] = data
        self.read.set_result(len(data))


@pytest.mark.parametrize("then", ["pause", "move", "pause and resume"])
@pytest.mark.parametrize("came", [b"HTTP/1.1 200 OK\r\nconte",
                                  b"HTTP/1.1 503 No\r\ncontent-length: 0\r\n\r\n",
                                  b'HTTP/1.1 200 OK\r\ncontent-length: 45\r\n\r\n'
                                  b'{"revision":9,"complete":true,"members":[]}  '])
def test_an_answer_in_the_step_in_which_its_watch_is_given_up_is_told_to_nobody(monkeypatch, came, then):
    """Nor does the end of the old run end the new one: a watch would be lost for good."""
    told: list = []

    async def run() -> None:
        stand, links, connect = Stand(), [], discovery.connect
        await stand.start()

        async def holding(*args) -> discovery.Link:
            link = await connect(*args)
            link.channel.loop = Held()
            links.append(link)
            return link

        monkeypatch.setattr(discovery, "connect", holding)
        watch = discovery.Watch(stand.address, 1, told.append)
        watch.begin()
        await until(lambda: links and links[0].channel.loop.read)
        links[0].channel.loop.come(came)
        if then == "move":
            watch.address = "127.0.0.1:1"      # so that it moves to where the stand-in is
            watch.move(stand.address)
        else:
            watch.pause()
        if then == "pause and resume":
            watch.resume()
        await until(lambda: links[0].channel.sock.fileno() < 0)
        assert not told and (watch.task is None) is (then == "pause")
        if watch.task:
            await until(lambda: len(links) == 2 and links[1].channel.loop.read)
            assert watch.revision == (None if then == "move" else 1)
            links[1].channel.loop.come(b"HTTP/1.1 200 OK\r\ncontent-length: 43\r\n\r\n"
                                       b'{"revision":7,"complete":true,"members":[]}')
            await until(lambda: told)
            assert [listing.revision for listing in told] == [7] and watch.revision == 7
        watch.pause()
        stand.server.close()

    uvloop.run(run())


def test_a_watch_begun_in_the_word_of_its_end_goes_on():
    """The module may ask at once: the run that ends must not take the new one for itself."""

    async def run(here: Crossing) -> None:
        told = here.gateway.watch.told

        def at_once(word) -> None:
            told(word)
            here.gateway.watch.begin()

        here.gateway.watch.told = at_once
        await here.play("d expect GET since=1\nd send 503\nd expect GET since\nd close\nd expect GET since")

    crossing(run)


def test_a_move_while_an_answer_is_half_read_leaves_that_answer_s_list_untold():
    """What counted as told before it stays in force, until the new list says otherwise."""

    async def run(here: Crossing) -> None:
        late = body(57, UP.replace("$n0", here.parties["n0"].address))
        await here.play(f"""
            d expect GET since=1
            d send 200 'body={body(50, DRAINING)}'
            d expect GET since=50
            d send raw 'HTTP/1.1 200 OK\\r\\ncontent-length: {len(late)}\\r\\n\\r\\n{late[:50]}'
        """)
        answer = here.parties["d"].writer
        here.hup("e")
        answer.write(late[50:].encode())
        await here.play("e expect 'GET /v1/servers\\n'\nc1 send read\nc1 expect 503")
        assert here.gateway.watch.revision is None and not here.serves()
        await here.play(f"""
            e send 200 'body={body(3, UP)}'
            e expect GET since=3
            c1 send read
            n0 expect GET
            n0 send 200 body=x
            c1 expect 200
        """)

    crossing(run)


def test_two_reloads_in_one_step_end_at_the_second_s_address_and_the_first_is_not_called():
    async def run(here: Crossing) -> None:
        await here.play("d expect GET since=1")
        here.hup("e")
        here.hup("f")
        await first_list(here, 2, "f")
        await here.play("e expect nothing")
        assert not here.serves()

    crossing(run)


def test_a_move_to_the_same_address_changes_nothing():
    """An answer on its way counts, and no second call is made."""

    async def run(here: Crossing) -> None:
        await here.play("d expect GET since=1")
        here.hup("d")
        await here.play(f"d send 200 'body={body(2, DRAINING)}'\nd expect GET since=2\nd expect nothing")
        assert not here.serves()

    crossing(run)


def test_an_answer_that_is_older_than_what_the_other_process_told_meanwhile_changes_nothing():
    """Guards against going back: both ask, and the answer of this one may have been written earlier."""

    async def run(here: Crossing) -> None:
        n0 = here.parties["n0"].address
        await here.play("d expect GET since=1")
        here.gateway.told_beside(read_listing(json.loads(body(5, UP.replace("$n0", n0), whole=False))),
                                 here.parties["d"].address)
        await here.play(f"d send 200 'body={body(4, DRAINING, whole=False)}'\nd expect GET since=5")
        assert here.serves()

    crossing(run)


# --- SIGTERM -----------------------------------------------------------------------------------

@pytest.mark.parametrize("first", ["hup", "stop"])
def test_a_reload_and_a_stop_in_one_step_serve_what_is_held_by_the_new_discovery_s_list(monkeypatch, first):
    """Guards the clients and the drains: the watch goes on at the new address until the end."""
    monkeypatch.setattr(gateways, "STAY", 1.0)

    async def run(here: Crossing) -> None:
        await here.play("d expect GET since=1\nc1 send read\nn0 expect GET")
        steps = [lambda: here.hup("e"), here.gateway.stop]
        for step in steps if first == "hup" else reversed(steps):
            step()
        await here.play(f"""
            e expect 'GET /v1/servers\\n'
            e send 200 'body={body(3, DRAINING)}'
            e expect GET since=3
            n0 send 200 body=held
            c1 expect 200 held
            c1 send read
            c1 expect 503
            g expect end
        """)

    crossing(run)


@pytest.mark.parametrize("first", ["stop", "upgrade"])
def test_a_stop_beside_an_upgrade_loses_nothing(monkeypatch, first):
    """The old process ends after it has handed over its state, or before anybody asked: both serve on."""
    monkeypatch.setattr(gateways, "STAY", 1.0)

    async def before(old: Crossing) -> None:
        await old.play("c1 send read\nn0 expect GET")
        legacy = old.gateway.legacy

        def state() -> dict:
            asyncio.get_running_loop().call_soon(old.gateway.stop)
            return legacy()

        old.gateway.legacy = state
        if first == "stop":
            old.gateway.stop()

    async def run(old: Crossing, new: Crossing) -> None:
        await old.play("n0 send 200 body=held\nc1 expect 200 held")
        await until(old.task.done)
        if old.gateway.sister is not None:
            old.gateway.sister.close()         # as its end would
        await until(lambda: new.gateway.sister is None)
        assert old.task.result() is None and new.gateway.phase is Phase.SERVING
        assert new.gateway.pool.most == new.gateway.pool.whole
        await new.play("c9 send read\nn0 expect GET\nn0 send 200 body=new\nc9 expect 200 new")

    upgraded(run, before)


# --- upgrades ----------------------------------------------------------------------------------

@pytest.mark.parametrize("when", ["before", "after"])
def test_a_reload_of_the_old_process_beside_its_state_moves_the_new_one_too(when):
    """Guards the nodes of the old address: asked for changes since nothing, the new process kept them all."""

    async def before(old: Crossing) -> None:
        legacy = old.gateway.legacy

        def state() -> dict:
            asyncio.get_running_loop().call_soon(old.hup, "e")
            return legacy()

        if when == "after":                    # in the step after the state is written
            old.gateway.legacy = state
        else:                                  # and in one before, with nothing heard at the new address yet
            old.hup("e")

    async def run(old: Crossing, new: Crossing) -> None:
        e = old.parties["e"]
        await until(lambda: old.gateway.phase is Phase.HANDED_OVER and old.gateway.watch.paused)
        await until(lambda: new.gateway.watch.address == e.address)
        served = 0
        while new.gateway.watch.revision != 3:  # the call of either, in whatever order they come
            async with asyncio.timeout(PATIENCE):
                message, e.writer = await e.came.get() or (None, None)
            if message and not e.writer.is_closing():
                assert message.target == b"/v1/servers", message.target
                e.write("HTTP/1.1 200 OK", [f"body={body(3)}"])
                served += 1
                await asyncio.sleep(0)
                await until(lambda: new.gateway.watch.revision == 3 or not e.came.empty())
        await until(lambda: old.gateway.watch.revision == 3)
        assert old.gateway.watch.address == e.address and not new.gateway.facade.nodes_listed

    upgraded(run, before)


def news(world: Crossing, where: str, revision: int, member: str, whole: bool = True) -> dict:
    """A list as the other process tells of it, heard at some discovery."""
    member = member.replace("$n0", world.parties["n0"].address)
    listing = read_listing(json.loads(body(revision, member, whole)))
    return write_listing(*listing) | {"discovery": world.parties[where].address}


async def told(teller: Crossing, hearer: Crossing) -> None:
    """All that the other has said so far has been heard: a word after it has."""
    ids = len(hearer.gateway.sister.ids)
    teller.gateway.sister.tell("taken", f"mark{ids}")
    await until(lambda: len(hearer.gateway.sister.ids) > ids)


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
                    teller.gateway.sister.tell("list", news(old, "d", revision, UP, whole))
            await told(teller, hearer)
            assert not hearer.serves() and hearer.gateway.watch.revision == 3

    upgraded(run)


def test_a_list_of_the_address_left_that_comes_before_the_new_one_s_does_not_hide_that():
    """Guards the old process: it took the old numbering for the new one, and heard no list any more."""

    async def run(old: Crossing, new: Crossing) -> None:
        await until(lambda: old.gateway.watch.paused)
        new.gateway.sister.tell("list", news(old, "d", 57, UP))  # on its way
        old.hup("e")
        await told(new, old)
        await first_list(new, 3)
        await until(lambda: old.gateway.watch.revision == 3)
        assert not old.serves()

    upgraded(run)


def test_changes_heard_before_any_whole_list_of_an_address_are_no_list_to_go_on_from():
    async def run(here: Crossing) -> None:
        await here.play("d expect GET since=1")
        here.hup("e")
        changes = read_listing({"revision": 9, "complete": False, "members": [json.loads(DRAINING)]})
        here.gateway.told_beside(changes, here.parties["e"].address)
        assert not here.serves() and here.gateway.watch.revision is None
        await first_list(here, 9)

    crossing(run)


def test_reloads_of_both_processes_that_cross_end_at_one_address():
    """Guards the old process's sight: left at another address, it would hear nothing of the new one's."""

    async def run(old: Crossing, new: Crossing) -> None:
        await until(lambda: old.gateway.watch.paused)
        old.hup("e")
        new.hup("f")
        for _ in range(3):                     # all that is said about it is heard
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
        old.gateway._apply(Orders(watch=True))  # the repeat that was due
        assert old.gateway.watch.task is None
        new.gateway.sister.close()             # gone: now nobody else watches
        await until(lambda: old.gateway.sister is None)
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
        await until(lambda: name in goes.gateway.sister.ids)
        goes.gateway.sister.close()
        await until(lambda: stays.gateway.sister is None and goes.gateway.sister is None)
        assert stays.gateway.holds(name) and not goes.gateway.holds(name)
        await stays.play(f"n0 send 200 body=kept\n{client} expect 200 kept")
        assert not stays.gateway.holds(name) and stays.gateway.pool.most == stays.gateway.pool.whole

    upgraded(run)


def test_a_state_too_large_to_be_told_leaves_no_half_upgrade_behind(monkeypatch):
    """Guards the next upgrade: the line to the new process was given up before its tasks had begun."""

    whole = handover.MOST_SAID

    async def run() -> None:
        async with Crossing(meet=True) as old:
            await old.play("d expect GET since=1")
            monkeypatch.setattr(handover, "MOST_SAID", 100)
            assert await asyncio.to_thread(handover.take_over, old.config) is None
            await until(lambda: old.gateway.sister is None)
            assert old.gateway.pool.most == old.gateway.pool.whole and not old.gateway.handed_over.is_set()
            monkeypatch.setattr(handover, "MOST_SAID", whole)
            legacy = await asyncio.to_thread(handover.take_over, old.config)
            assert legacy is not None and isinstance(legacy.config(old.config).known, Listing)
            legacy.sock.close()
            for door in legacy.doors.values():
                door.close()

    uvloop.run(run())


def test_a_pushed_list_s_agent_is_asked_for_the_whole_list_after_a_move(monkeypatch):
    """Pushed lists count 4 s after SIGHUP: the call goes out at once, and again after 0.2 s of silence."""
    monkeypatch.setattr(discovery, "AGENT_WAIT", 0.1)

    async def run(here: Crossing) -> None:
        await here.play("d expect GET since=1")
        here.hup("e")
        await here.play(f"""
            e expect 'GET /v1/servers\\n'
            e expect 'GET /v1/servers\\n'
            e expect 'GET /v1/servers\\n'
            e send 200 'body={body(3, DRAINING)}'
            e expect GET since=3
        """)
        assert not here.serves()

    crossing(run, pushed=True)


def test_a_watch_that_failed_before_a_move_is_begun_at_once_at_the_new_address():
    """The repeat that is due finds a watch that goes on."""
    async def run(here: Crossing) -> None:
        await here.play("d expect GET since=1\nd send 503")
        await until(lambda: here.gateway.watch.task is None)
        here.hup("e")
        await here.play("e expect 'GET /v1/servers\\n'")
        here.gateway._apply(Orders(watch=True))
        await here.play(f"e send 200 'body={body(3)}'\ne expect GET since=3\ne expect nothing")

    crossing(run)
