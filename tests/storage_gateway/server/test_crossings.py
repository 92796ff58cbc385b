"""SIGHUP, SIGTERM and node lists within one event loop step, on real sockets, in the world of `crossed.py`.

Hooks force the order of the steps, so the tests don't depend on timing.
"""

from __future__ import annotations

import json
from collections.abc import Callable

import pytest
import uvloop
from crossed import DRAINING, UP, Crossing, body, crossing, first_list, until
from scenario import ScriptedServer

from mallowbeam.http.framing import Channel
from mallowbeam.storage_gateway.scheduler.gateway_host import Orders
from mallowbeam.storage_gateway.server import discovery
from mallowbeam.storage_gateway.server.listing import read_listing


class SteppedInput:
    """The input of one connection; the test sends it, a loop step before it is used.

    Takes the place of the channel's loop and socket, and passes on everything but reading.
    """

    def __init__(self, channel: Channel) -> None:
        self._loop, self._socket = channel.loop, channel.sock
        self._received = b""
        self.readable: Callable[[], None] | None = None  # set while the channel waits for input
        channel.loop = channel.sock = self

    def __getattr__(self, name: str):
        """Returns what the real socket or loop has."""
        return getattr(self._socket, name) if hasattr(self._socket, name) else getattr(self._loop, name)

    def add_reader(self, _, callback: Callable[[], None]) -> None:
        """Watches for input that the test sends."""
        self.readable = callback

    def remove_reader(self, _) -> None:
        """Watches no more."""
        self.readable = None

    def recv_into(self, buffer: memoryview, *_) -> int:
        """Reads what the test has sent."""
        if not self._received:
            raise BlockingIOError
        data, self._received = self._received, b""
        buffer[: len(data)] = data
        return len(data)

    def receive(self, data: bytes) -> None:
        """Sends input; the task that waits for it has not resumed yet."""
        self._received = data
        self.readable()


@pytest.mark.parametrize("then", ["pause", "move", "pause and resume"])
@pytest.mark.parametrize(
    "came",
    [
        b"HTTP/1.1 200 OK\r\nconte",
        b"HTTP/1.1 503 No\r\ncontent-length: 0\r\n\r\n",
        b"HTTP/1.1 200 OK\r\ncontent-length: 45\r\n\r\n" b'{"revision":9,"complete":true,"members":[]}  ',
    ],
)
def test_an_answer_in_the_step_in_which_its_watch_is_given_up_is_told_to_nobody(monkeypatch, came, then):
    """Nor does the end of the old run end the new one, which would end the watch for good."""
    told: list = []

    async def run() -> None:
        stand, links, connect = ScriptedServer(), [], discovery.connect
        await stand.start()

        async def holding(*args) -> discovery.Link:
            link = await connect(*args)
            SteppedInput(link.channel)
            links.append(link)
            return link

        monkeypatch.setattr(discovery, "connect", holding)
        watch = discovery.Watch(stand.address, 1, told.append)
        watch.begin()
        await until(lambda: links and links[0].channel.loop.readable)
        links[0].channel.loop.receive(came)
        if then == "move":
            watch.address = "127.0.0.1:1"  # so that `move` to the stand-in's address is a change
            watch.move(stand.address)
        else:
            watch.pause()
        if then == "pause and resume":
            watch.resume()
        await until(lambda: links[0].channel.sock.fileno() < 0)
        assert not told and (watch.task is None) is (then == "pause")
        if watch.task:
            await until(lambda: len(links) == 2 and links[1].channel.loop.readable)
            assert watch.revision == (None if then == "move" else 1)
            links[1].channel.loop.receive(
                b"HTTP/1.1 200 OK\r\ncontent-length: 43\r\n\r\n"
                b'{"revision":7,"complete":true,"members":[]}'
            )
            await until(lambda: told)
            assert [listing.revision for listing in told] == [7] and watch.revision == 7
        watch.pause()
        stand.server.close()

    uvloop.run(run())


def test_watch_started_while_its_end_is_reported_continues():
    """The scheduler may request a new watch at once; the ending run must not clear the new task."""

    async def run(here: Crossing) -> None:
        told = here.gateway.watch.on_update

        def restart(word) -> None:
            told(word)
            here.gateway.watch.begin()

        here.gateway.watch.on_update = restart
        await here.play("d expect GET since=1\nd send 503\nd expect GET since\nd close\nd expect GET since")

    crossing(run)


def test_a_move_while_an_answer_is_half_read_leaves_that_answer_s_list_untold():
    """The previous list stays in force until the list from the new address arrives."""

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
    """The call in flight continues, and no second call is made."""

    async def run(here: Crossing) -> None:
        await here.play("d expect GET since=1")
        here.hup("d")
        await here.play(f"d send 200 'body={body(2, DRAINING)}'\nd expect GET since=2\nd expect nothing")
        assert not here.serves()

    crossing(run)


def test_an_answer_that_is_older_than_what_the_other_process_told_meanwhile_changes_nothing():
    """Both processes poll, so a response here may be older than a list from the other process."""

    async def run(here: Crossing) -> None:
        n0 = here.parties["n0"].address
        await here.play("d expect GET since=1")
        here.gateway.peer.listing_from_peer(
            read_listing(json.loads(body(5, UP.replace("$n0", n0), whole=False))), here.parties["d"].address
        )
        await here.play(f"d send 200 'body={body(4, DRAINING, whole=False)}'\nd expect GET since=5")
        assert here.serves()

    crossing(run)


@pytest.mark.parametrize("first", ["hup", "stop"])
def test_a_reload_and_a_stop_in_one_step_serve_what_is_held_by_the_new_discovery_s_list(first):
    """The watch continues at the new address until the exit, so that drains are still applied."""

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


def test_changes_without_a_full_list_of_the_address_are_not_continued():
    async def run(here: Crossing) -> None:
        await here.play("d expect GET since=1")
        here.hup("e")
        changes = read_listing({"revision": 9, "complete": False, "members": [json.loads(DRAINING)]})
        here.gateway.peer.listing_from_peer(changes, here.parties["e"].address)
        assert not here.serves() and here.gateway.watch.revision is None
        await first_list(here, 9)

    crossing(run)


def test_a_pushed_list_s_agent_is_asked_for_the_whole_list_after_a_move(monkeypatch):
    """The new agent's list must be in force 4 s after SIGHUP: it is called at once, and again after 0.2 s."""
    monkeypatch.setattr(discovery, "AGENT_WAIT_S", 0.1)

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
    """The pending retry finds a running watch."""

    async def run(here: Crossing) -> None:
        await here.play("d expect GET since=1\nd send 503")
        await until(lambda: here.gateway.watch.task is None)
        here.hup("e")
        await here.play("e expect 'GET /v1/servers\\n'")
        here.gateway.apply(Orders(watch_nodes=True))
        await here.play(f"e send 200 'body={body(3)}'\ne expect GET since=3\ne expect nothing")

    crossing(run)
