"""One HTTP call on a new connection, read to its end, for the trials of the write-back buffer.

They look for a second response on the wire.  httpx silently drops one that comes with the last bytes of the
first, so this client reads the raw stream; all other tools use httpx.
"""

from __future__ import annotations

import asyncio
from dataclasses import dataclass


@dataclass(slots=True)
class Answered:
    """A complete response."""

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
    """Send one request on a new connection and read the response.

    Raises OSError or EOFError without a complete response, AssertionError on a second one.
    """
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
        response_headers = {
            name.lower(): value.strip() for name, _, value in (line.partition(":") for line in head[1:-2])
        }
        data = b""
        if method != "HEAD" and status not in (204, 304):
            data = await reader.readexactly(int(response_headers.get("content-length", "0")))
        if await reader.read():
            raise AssertionError("a second answer")
        return Answered(status, response_headers, data)
    finally:
        writer.close()
