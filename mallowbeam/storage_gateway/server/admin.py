"""The admin endpoint: readiness, metrics, and detaching storage nodes by an operator.

It has its own server, address and connections, and serves one request per connection.
"""

from __future__ import annotations

import re
from collections.abc import Callable

from mallowbeam.http.budget import BodyBudget
from mallowbeam.http.connection import Connection
from mallowbeam.http.framing import Message
from mallowbeam.http.handler import Response, text_response
from mallowbeam.http.server import Server
from mallowbeam.storage_gateway.server.config import ADMIN_SOCKETS
from mallowbeam.storage_gateway.server.gateway import Gateway

NODE_ID = re.compile(r"[\x21-\x7e]+\Z")
MAX_NODE_ID_BYTES = 256  # bytes of a request body, which holds a node id


class Admin:
    """Handles the requests of operators."""

    max_body = max_buffered_body = MAX_NODE_ID_BYTES
    budget: BodyBudget | None = None

    def __init__(self, gateway: Gateway) -> None:
        self.gateway = gateway
        self.routes: dict[bytes, tuple[bytes, Callable[[Message], Response]]] = {
            b"/_ready": (b"GET", self._ready),
            b"/_vars": (b"GET", self._vars),
            b"/_storage-nodes/detach": (b"PUT", lambda request: self._set_detached(request, True)),
            b"/_storage-nodes/attach": (b"PUT", lambda request: self._set_detached(request, False)),
        }

    async def handle(self, request: Message, closing: Callable[[], bool]) -> Response:
        """Dispatches one request and returns its response."""
        method, respond = self.routes.get(request.target.partition(b"?")[0], (b"", None))
        if respond is None:
            return text_response(404, "no such call", True)
        if request.method != method and (request.method, method) != (b"HEAD", b"GET"):
            return text_response(405, "not by this method", True, [(b"allow", method)])
        return respond(request)

    def error_response(self, status: int, text: str, close: bool = True) -> Response:
        """Returns the response to a request that violates HTTP or a size limit."""
        return text_response(status, text, close)

    def finished(self, request: Message, status: int, whole: bool) -> None:
        """Does nothing: admin requests are not counted in the metrics."""

    def _ready(self, _: Message) -> Response:
        return text_response(200 if self.gateway.ready else 503, self.gateway.phase.value, True)

    def _vars(self, _: Message) -> Response:
        gateway = self.gateway
        text = gateway.metrics.write(
            {
                "pending": sum(server.pending for server in gateway.servers),
                "members": gateway.scheduler.nodes_listed,
                "members_unavailable": gateway.scheduler.nodes_unavailable,
                **{
                    name: value
                    for subsystem in gateway.subsystems
                    for name, value in subsystem.gauges().items()
                },
            }
        )
        return text_response(200, text, True)

    def _set_detached(self, request: Message, detached: bool) -> Response:
        """Detaches or attaches a node; the change is in effect once the 200 response is sent."""
        node = request.body.decode("latin-1").strip()
        if not NODE_ID.match(node):
            return text_response(400, "the body is not the id of a storage node", True)
        if not self.gateway.set_detached(node, detached):
            return text_response(404, "no such storage node", True)
        return text_response(200, "out" if detached else "back", True)


class AdminConnection(Connection):
    """A connection to the admin endpoint."""

    @property
    def can_be_closed(self) -> bool:
        """Whether it may be closed to free a connection slot.

        Clients that hold a connection without sending a complete request would otherwise block the endpoint.
        When slots run out, the oldest such connection is closed; complete requests never wait here.
        """
        return self.response_task is None and not self.channel.stale()

    def closes(self, request: Message) -> bool:
        """Always True: every response of the admin endpoint closes its connection."""
        return True


def open_admin(gateway: Gateway) -> Server | None:
    """Opens the admin server, or returns None if the configuration has no admin address; raises OSError."""
    if gateway.config.admin is None:
        return None
    # Not shared: a second process on this address would answer some requests meant for the first.
    server = Server(gateway.config.admin, Admin(gateway), ADMIN_SOCKETS, AdminConnection, shared=False)
    server.close_after_responses()  # one request per connection
    return server
