"""Resumable streams through a gateway that is frozen for 1.15 s and wakes again."""

from __future__ import annotations

import asyncio
import signal
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from rig import (
    BROKEN,
    HOLDS,
    Request,
    Rig,
    Server,
    backend,
    chunks,
    event,
    prefill,
    read_head,
    request_bytes,
    respond,
    route,
    run,
    stream_head,
)

STREAMS = 60
EVENTS = 86  # the longest answer of the smallest sites
GAP_S = 0.04
FREEZES = 8
FROZEN_S = 1.15


async def decode(server: Server, request: Request, writer: asyncio.StreamWriter) -> bool:
    """Run a request: one event each GAP_S, from behind `Last-Event-Id` on."""
    if request.headers.get("stage") or server.stage != "decode":
        return respond(writer, request, 421)
    server.ran(request)
    writer.write(stream_head(server, request))
    for number in range(int(request.headers.get("last-event-id", "0")) + 1, EVENTS + 1):
        writer.write(event(number))
        await writer.drain()
        await asyncio.sleep(GAP_S)
    writer.write(b"0\r\n\r\n")
    return True


async def client(rig: Rig, name: str, gateway: int = 0) -> list[int] | None:
    """Send one request and return the numbers of its events; None if the answer isn't a whole 200."""
    host, _, port = rig.front(gateway).rpartition(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    headers = {
        "Request-Id": name,
        "Model": "m",
        "Token-Usage": f"543,{EVENTS}",
        "Prompt-Prefix": f"{name}:543",
        "Deadline-Ms": "8000",
    }
    try:
        async with asyncio.timeout(9.0):
            writer.write(request_bytes("POST", "/reply/1", headers, b"x" * 1400))
            line, answered = await read_head(reader)
            if " 200 " not in line:
                rig.note(f"client: {name} is answered {line}")
                return None
            body = b"".join([part async for part in chunks(reader)])
    except (OSError, TimeoutError, asyncio.IncompleteReadError) as error:
        rig.note(f"client: {name} has no whole answer: {error!r}")
        return None
    finally:
        writer.close()
    seen = [int(line[4:]) for line in body.decode().split("\n") if line.startswith("id: ")]
    missing = sorted(set(range(1, EVENTS + 1)) - set(seen))
    stamp = answered.get("server-signature")
    state = "all events" if seen == list(range(1, EVENTS + 1)) else f"without {missing}, {len(seen)} events"
    rig.note(f"client: {name} has a complete 200 of {stamp}, {state}")
    return seen


async def play(rig: Rig) -> tuple[int, str]:
    """Start the deployment, freeze its gateway under load, and check the streams."""
    servers = [Server(rig, f"i-{n}", "llm", "decode", answer=decode, zone=f"z{n}") for n in (1, 2, 3)]
    servers.append(Server(rig, "i-read", "llm", "prefill", answer=prefill))
    for server in servers:
        await server.start()
    await rig.up([route("reply")], [backend()])

    async def served(number: int) -> bool:
        return await client(rig, f"probe{number}") is not None

    await rig.until_served(served)
    broken = whole = 0
    for turn in range(FREEZES):
        tasks = []
        for number in range(STREAMS):
            tasks.append(asyncio.create_task(client(rig, f"{turn:02d}{number:06d}")))
            await asyncio.sleep(0.01)
        await asyncio.sleep(0.3)
        if rig.trouble:
            rig.note(f"{rig.gateways[0].name} is frozen for {FROZEN_S} s")
            rig.gateways[0].signal(signal.SIGSTOP)
            await asyncio.sleep(FROZEN_S)
            rig.gateways[0].signal(signal.SIGCONT)
            rig.note(f"{rig.gateways[0].name} wakes")
        for seen in await asyncio.gather(*tasks):
            whole += seen is not None
            broken += seen is not None and seen != list(range(1, EVENTS + 1))
    return (
        BROKEN if broken else HOLDS,
        f"{broken} of {whole} streams that ended as complete lack events ({FREEZES * STREAMS} sent)",
    )


if __name__ == "__main__":
    sys.exit(run(Rig(__file__), play))
