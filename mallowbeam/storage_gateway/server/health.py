"""What balancers in front ask: readiness and status pages over HTTP, and HAProxy's agent-check line.

Both tell the gateway's true state and nothing else.
"""

from __future__ import annotations

import asyncio
import json
import socket
from collections.abc import Callable

from mallowbeam.http.budget import BodyBudget
from mallowbeam.http.framing import Message, write_head
from mallowbeam.http.handler import Response, text_response
from mallowbeam.http.server import Server
from mallowbeam.http.shutdown import LINGER_S
from mallowbeam.storage_gateway.server.calls import Phase
from mallowbeam.storage_gateway.server.gateway import Gateway


def readiness(gateway: Gateway, close: bool) -> Response:
    """The readiness page: 200 while clients should be sent here, 503 else, with the phase as its text."""
    return text_response(200 if gateway.ready else 503, gateway.phase.value, close)


def page(gateway: Gateway, path: bytes, close: bool) -> Response | None:
    """A health page, or None if there is none at that path."""
    if path == b"/healthz":
        return readiness(gateway, close)
    if path == b"/livez":
        return text_response(200, "alive", close)
    if path == b"/status":
        body = json.dumps(
            {
                "phase": gateway.phase.value,
                "ready": gateway.ready,
                "held": len(gateway.exchanges),
                "nodes_open": gateway.scheduler.nodes_open,
                "node_connections": gateway.pool.count,
                "client_connections": sum(len(s.connections) for s in gateway.servers),
            }
        ).encode()
        head = write_head(200, [(b"content-type", b"application/json")], len(body), close)
        return Response(200, head + body)
    return None


class Health:
    """A front that serves the health pages alone."""

    max_body = max_buffered_body = 0
    budget: BodyBudget | None = None

    def __init__(self, gateway: Gateway) -> None:
        self.gateway = gateway

    async def handle(self, request: Message, closing: Callable[[], bool]) -> Response:
        """One page."""
        if request.method not in (b"GET", b"HEAD"):
            return text_response(405, "only GET", closing(), [(b"allow", b"GET, HEAD")])
        return page(self.gateway, request.target, closing()) or text_response(404, "no such page", closing())

    def error_response(self, status: int, text: str) -> Response:
        """The answer to what breaks HTTP or a bound."""
        return text_response(status, text, True)

    def finished(self, request: Message, status: int, whole: bool) -> None:
        """Checks are not among the figures."""


def agent_line(gateway: Gateway) -> bytes:
    """HAProxy's agent-check words: the administrative state, and the weight while there is room.

    The weight falls with the share of client connections in use, and never to 0, which would be a drain.
    """
    if gateway.phase in (Phase.LAME_DUCK, Phase.HANDED_OVER):
        return b"up drain\n"
    if gateway.phase is not Phase.SERVING:
        return b"stopped\n"
    if not gateway.scheduler.nodes_open:
        return b"down #no node is open\n"
    used = sum(len(s.connections) for s in gateway.servers) / sum(s.connection_limit for s in gateway.servers)
    return b"up ready %d%%\n" % max(1, round(100 * (1.0 - used)))


class AgentConnection:
    """One agent check: the line is written, then the connection ends."""

    idle = can_be_closed = closing = closing_soon = answered = False
    pending = 0
    response_task: asyncio.Task[None] | None = None
    waiting_since = 0.0

    def __init__(self, gateway: Gateway, server: Server, sock: socket.socket, _over: bool = False) -> None:
        self.gateway, self.server, self.sock = gateway, server, sock
        self.task = asyncio.create_task(self._run())

    async def _run(self) -> None:
        loop, buffer = asyncio.get_running_loop(), bytearray(256)
        try:
            self.sock.setblocking(False)
            async with asyncio.timeout(LINGER_S):
                await loop.sock_sendall(self.sock, agent_line(self.gateway))
                self.sock.shutdown(socket.SHUT_WR)
                while await loop.sock_recv_into(self.sock, buffer):
                    pass  # what the balancer may send with a check says nothing here
        except (OSError, TimeoutError, asyncio.CancelledError):
            pass
        finally:
            self.sock.close()
            self.server.connections.discard(self)

    def sweep(self, now: float) -> None:
        """Nothing to do: a check ends by itself."""

    def close_soon(self) -> None:
        """Nothing to do: its end has begun, and has its time."""
