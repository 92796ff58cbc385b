"""One call over HTTP on a connection of its own, read to its end, for the buffer's trials.

They look for a second answer on the wire, which a client made for use (httpx) drops without a word where it
comes with the first one's last bytes; so this one reads raw.  All other tools use httpx.
"""

from __future__ import annotations

import asyncio
from dataclasses import dataclass


@dataclass(slots=True)
class Answered:
    """One answer as a client reads it."""

    status: int
    headers: dict[str, str]
    body: bytes


async def ask(
    port: int,
    method: str,
    target: str,
    body: bytes = b"",
    headers: dict[str, str] | None = None,
    host: str = "127.0.0.1",
) -> Answered:
    """One call on a connection of its own; raises OSError or EOFError where no whole answer came."""
    reader, writer = await asyncio.open_connection(host, port)
    try:
        lines = [
            f"{method} {target} HTTP/1.1",
            "host: x",
            "connection: close",
            f"content-length: {len(body)}",
            *(f"{n}: {v}" for n, v in (headers or {}).items()),
        ]
        writer.write("\r\n".join([*lines, "", ""]).encode() + body)
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
        status = int(head[0].split()[1])
        told = {
            name.lower(): value.strip() for name, _, value in (line.partition(":") for line in head[1:-2])
        }
        data = b""
        if method != "HEAD" and status not in (204, 304):
            data = await reader.readexactly(int(told.get("content-length", "0")))
        if await reader.read():
            raise AssertionError("a second answer")
        return Answered(status, told, data)
    finally:
        writer.close()
