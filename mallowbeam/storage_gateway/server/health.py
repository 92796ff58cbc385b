"""Health checks for load balancers: readiness and status pages over HTTP, and HAProxy's agent check.

Both report the current state of the gateway.
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
    """The readiness page: 200 while clients should be routed here, else 503, with the phase as its body."""
    return text_response(200 if gateway.ready else 503, gateway.phase.value, close)


def health_page(gateway: Gateway, path: bytes, close: bool) -> Response | None:
    """Returns the health page at a path, or None if there is none."""
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
    """A front that serves only the health pages."""

    max_body = max_buffered_body = 0
    budget: BodyBudget | None = None

    def __init__(self, gateway: Gateway) -> None:
        self.gateway = gateway

    async def handle(self, request: Message, closing: Callable[[], bool]) -> Response:
        """Returns the requested page."""
        if request.method not in (b"GET", b"HEAD"):
            return text_response(405, "only GET", closing(), [(b"allow", b"GET, HEAD")])
        return health_page(self.gateway, request.target, closing()) or text_response(
            404, "no such page", closing()
        )

    def error_response(self, status: int, text: str, close: bool = True) -> Response:
        """Returns the response to a request that violates HTTP or a size limit."""
        return text_response(status, text, close)

    def finished(self, request: Message, status: int, whole: bool) -> None:
        """Does nothing: health checks are not counted in the metrics."""


def agent_check_reply(gateway: Gateway) -> bytes:
    """Returns the agent-check reply for HAProxy: the administrative state, and the weight while serving.

    The weight falls with the share of client connections in use, but never to 0, which would drain it.
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
    """The connection of one agent check: the reply is written, then the connection is closed."""

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
                await loop.sock_sendall(self.sock, agent_check_reply(self.gateway))
                self.sock.shutdown(socket.SHUT_WR)
                while await loop.sock_recv_into(self.sock, buffer):
                    pass  # data that the balancer sends with a check is ignored
        except (OSError, TimeoutError, asyncio.CancelledError):
            pass
        finally:
            self.sock.close()
            self.server.connections.discard(self)

    def sweep(self, now: float) -> None:
        """Does nothing: a check ends by itself."""

    def close_soon(self) -> None:
        """Does nothing: the connection is already closing, within its time limit."""
