"""The HTTP pages of the fleet on the policy's listener.

    GET  /policy          the policy in force here, and whether it is known to be the newest
    PUT  /policy          push a policy after the version that If-Match names
    GET  /fleet           members and subsystems
    GET  /fleet/metrics   metrics, in Prometheus's text exposition
    PUT  /fleet/maintenance/back?NAME   the work on this machine is done

All pages but the metrics are JSON.  The response to an error has its status and the fields of
`MallowbeamError`: what, where, and what an operator can do.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping
from typing import Any
from urllib.parse import unquote

import msgspec

from mallowbeam.errors import MallowbeamError
from mallowbeam.http.budget import BodyBudget
from mallowbeam.http.framing import Headers, Message, write_head
from mallowbeam.http.server import Response, Server
from mallowbeam.storage_gateway.coordination.errors import (
    CoordinationError,
    InvalidPolicyError,
    MethodNotAllowedError,
    MissingBaseVersionError,
    PageNotFoundError,
)
from mallowbeam.storage_gateway.coordination.metrics import CONTENT_TYPE, CoordinationMetrics
from mallowbeam.storage_gateway.coordination.policy_document import MAX_POLICY_BYTES
from mallowbeam.storage_gateway.coordination.service import CoordinationService
from mallowbeam.storage_gateway.operator_settings import PolicySection
from mallowbeam.storage_gateway.server.config import read_address
from mallowbeam.storage_gateway.server.gateway import Gateway

MAINTENANCE_DONE = "/fleet/maintenance/back"
MAX_VERSION_DIGITS = 12  # in If-Match
ALLOWED = {b"/policy": b"GET, PUT", b"/fleet": b"GET", b"/fleet/metrics": b"GET"}


class StatusPages:
    """Answers requests for the pages."""

    max_body = max_buffered_body = MAX_POLICY_BYTES  # a push may come in several segments
    budget: BodyBudget | None = None

    def __init__(self, service: CoordinationService) -> None:
        self.service = service
        self.metrics = CoordinationMetrics(service.gauges_by_subsystem)

    async def handle(self, request: Message, closing: Callable[[], bool]) -> Response:
        """The response to a request; `closing` says whether the connection closes after it."""
        try:
            return await self._respond(request, closing)
        except MallowbeamError as error:
            status = error.status if isinstance(error, CoordinationError) else 500
            headers: Headers = []
            if isinstance(error, MethodNotAllowedError):
                headers = [(b"allow", ALLOWED.get(request.target, b"PUT"))]
            return json_response(status, error.as_dict(), closing(), headers)

    async def _respond(self, request: Message, closing: Callable[[], bool]) -> Response:
        path, _, query = request.target.decode("latin-1").partition("?")
        maintenance = self.service.subsystems.get("maintenance")
        if path == MAINTENANCE_DONE and maintenance is not None:
            if request.method != b"PUT":
                raise MethodNotAllowedError("method not allowed", path)
            complete_work = getattr(maintenance, "complete_work")  # noqa: B009 (only this subsystem has it)
            return json_response(202, complete_work(unquote(query)), closing())
        if request.target not in ALLOWED:
            raise PageNotFoundError("no such page", request.target.decode("latin-1"))
        if request.target == b"/policy" and request.method == b"PUT":
            version = await self.service.push(read_base_version(request), bytes(request.body))
            return json_response(200, {"version": version}, closing())
        if request.method != b"GET":
            raise MethodNotAllowedError("method not allowed", request.target.decode())
        if request.target == b"/fleet/metrics":
            body = self.metrics.text()
            head = write_head(200, [(b"content-type", CONTENT_TYPE.encode())], len(body), closing())
            return Response(200, head + body)
        if request.target == b"/policy":
            return json_response(200, self.service.describe_policy(), closing())
        return json_response(200, self.service.describe_fleet(), closing())

    def error_response(self, status: int, text: str, close: bool = True) -> Response:
        """The response to a request that violates HTTP or a limit."""
        return json_response(status, UnreadableRequestError(text).as_dict(), close)

    def finished(self, request: Message, status: int, whole: bool) -> None:
        """Requests for the pages are not counted in the metrics."""


class UnreadableRequestError(InvalidPolicyError):
    """The request violates HTTP or a limit."""

    error_name = "Unreadable"
    remedy = f"send whole HTTP/1.1 calls, with {MAX_POLICY_BYTES} bytes of a policy at most"


def read_base_version(request: Message) -> int:
    """Read the version that a push follows from If-Match; raises `MissingBaseVersionError`."""
    base = dict(request.headers).get(b"if-match", b"").strip(b'"')
    if not base.isdigit() or len(base) > MAX_VERSION_DIGITS:
        raise MissingBaseVersionError("If-Match must name the version that this push follows", "If-Match")
    return int(base)


def json_response(status: int, content: object, close: bool, headers: Headers | None = None) -> Response:
    """A response of JSON; `close` says whether the connection closes after it."""
    body = msgspec.json.encode(content)
    head = write_head(status, [(b"content-type", b"application/json"), *(headers or [])], len(body), close)
    return Response(status, head + body)


def open_policy(
    gateway: Gateway, section: PolicySection, connections: int, sections: Mapping[str, Any] | None = None
) -> Server:
    """Open the gateway's coordination service and the listener of its pages; raises `GatewayConfigError`.

    `sections` are those of the subsystems that are on, by name.
    """
    assert section.listen is not None
    pages = StatusPages(CoordinationService(gateway, section, sections))
    return Server(read_address(section.listen), pages, connections, name="policy")
