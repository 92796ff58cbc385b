"""Responses truncated by the node, on loopback sockets: the client can detect the truncation."""

from __future__ import annotations

import pytest
import uvloop
from raw import Raw, come, request
from scenario import World

from mallowbeam.http.shutdown import reset_at_close


@pytest.mark.parametrize("keep", [(), ("connection: keep-alive",)], ids=["close", "keep-alive"])
@pytest.mark.parametrize("front", ["platform", "objects"])
@pytest.mark.parametrize("broken", [True, False])
def test_a_body_that_ends_with_its_connection_is_reset_where_it_breaks_off(keep, front, broken):
    """An HTTP/1.0 client took a truncated response for a complete one."""

    async def run() -> None:
        async with World() as world:
            client = Raw(getattr(world, front))
            client.say(
                request(1, *keep, version="1.0")
                if front == "platform"
                else "\r\n".join(["GET /plates/a HTTP/1.0", "host: x", *keep, "", ""]).encode()
            )
            await world.play("n0 expect GET\nn0 send raw 'HTTP/1.1 200 OK\\r\\n\\r\\n' fill=100000")
            await client.read(until=b"x" * 90_000)
            if broken:
                reset_at_close(world.parties["n0"].writer.get_extra_info("socket"))
            await world.play("n0 close" if broken else "n0 end")
            if broken:
                with pytest.raises(ConnectionResetError):
                    await client.read()
            else:
                assert (await client.read()).endswith(b"\r\n\r\n" + b"x" * 100_000)

    uvloop.run(run())


@pytest.mark.parametrize("form", ["content-length: 300000", "transfer-encoding: chunked"])
def test_an_answer_whose_framing_shows_its_end_breaks_off_in_order(form):
    """A reset would destroy earlier responses on the connection."""

    async def run() -> None:
        async with World() as world:
            client, _ = await come(world, request(1))
            start = "ffffff\\r\\n" if "chunked" in form else ""
            await world.play(
                f"n0 expect GET\n" f"n0 send raw 'HTTP/1.1 200 OK\\r\\n{form}\\r\\n\\r\\n{start}' fill=100000"
            )
            await client.read(until=b"x" * 1000)
            await world.play("n0 close")
            got = await client.read()
            assert not got.endswith(b"\r\n0\r\n\r\n") and got.count(b"x" * 1000) < 150

    uvloop.run(run())
