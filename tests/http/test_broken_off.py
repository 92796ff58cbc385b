"""Responses truncated by the node, on loopback sockets: the client can detect the truncation."""

from __future__ import annotations

import pytest
import uvloop
from raw import RawClient, connect_client, request
from scenario import World

from mallowbeam.http.shutdown import reset_at_close


@pytest.mark.parametrize("keep", [(), ("connection: keep-alive",)], ids=["close", "keep-alive"])
@pytest.mark.parametrize("front", ["platform", "objects"])
@pytest.mark.parametrize("broken", [True, False])
def test_a_truncated_body_delimited_by_the_close_is_reset(keep, front, broken):
    """An HTTP/1.0 client took a truncated response for a complete one."""

    async def run() -> None:
        async with World() as world:
            client = RawClient(getattr(world, front))
            client.send_now(
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
def test_a_truncated_response_with_framing_is_closed_orderly(form):
    """A reset would destroy earlier responses on the connection."""

    async def run() -> None:
        async with World() as world:
            client, _ = await connect_client(world, request(1))
            start = "ffffff\\r\\n" if "chunked" in form else ""
            await world.play(
                f"n0 expect GET\n" f"n0 send raw 'HTTP/1.1 200 OK\\r\\n{form}\\r\\n\\r\\n{start}' fill=100000"
            )
            await client.read(until=b"x" * 1000)
            await world.play("n0 close")
            got = await client.read()
            assert not got.endswith(b"\r\n0\r\n\r\n") and got.count(b"x" * 1000) < 150

    uvloop.run(run())
