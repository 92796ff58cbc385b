"""The fleet's pages on the policy listener: a thin front on the service.

    GET  /policy          what is in force here, and how sure that is
    PUT  /policy          push a policy after the version that If-Match names
    GET  /fleet           members and subsystems
    GET  /fleet/metrics   the figures, in Prometheus's text exposition
    PUT  /fleet/maintenance/back?NAME   the work at this machine is done

JSON but for the figures; an error is answered by its status and `MallowbeamError.told()`: what, where, and
what an operator can do.
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
    BadPolicy,
    FleetError,
    NoBase,
    NoSuchPage,
    NotByThisMethod,
)
from mallowbeam.storage_gateway.coordination.metrics import CONTENT_TYPE, FleetMetrics
from mallowbeam.storage_gateway.coordination.policy_document import MOST
from mallowbeam.storage_gateway.coordination.service import FleetService
from mallowbeam.storage_gateway.operator_settings import PolicySection
from mallowbeam.storage_gateway.server.config import read_address
from mallowbeam.storage_gateway.server.gateway import Gateway

BACK = "/fleet/maintenance/back"
MOST_DIGITS = 12  # of a version in If-Match
ALLOWED = {b"/policy": b"GET, PUT", b"/fleet": b"GET", b"/fleet/metrics": b"GET"}


class StatusPages:
    """The front."""

    max_body = max_buffered_body = MOST  # held whole: a push may come in pieces
    budget: BodyBudget | None = None

    def __init__(self, service: FleetService) -> None:
        self.service, self.metrics = service, FleetMetrics(service.figures)

    async def handle(self, request: Message, closing: Callable[[], bool]) -> Response:
        """One call to its answer."""
        try:
            return await self._answer(request, closing)
        except MallowbeamError as error:
            status = error.status if isinstance(error, FleetError) else 500
            allowed = ALLOWED.get(request.target, b"PUT")
            headers = [(b"allow", allowed)] if isinstance(error, NotByThisMethod) else []
            return page(status, error.told(), closing(), headers)

    async def _answer(self, request: Message, closing: Callable[[], bool]) -> Response:
        act, _, what = request.target.decode("latin-1").partition("?")
        if act == BACK and (part := self.service.subsystems.get("maintenance")) is not None:
            if request.method != b"PUT":
                raise NotByThisMethod("not by this method", act)
            return page(202, getattr(part, "asked")("back", unquote(what)), closing())  # noqa: B009
        if request.target not in ALLOWED:
            raise NoSuchPage("no such page", request.target.decode("latin-1"))
        if request.target == b"/policy" and request.method == b"PUT":
            version = await self.service.push(read_base(request), bytes(request.body))
            return page(200, {"version": version}, closing())
        if request.method != b"GET":
            raise NotByThisMethod("not by this method", request.target.decode())
        if request.target == b"/fleet/metrics":
            body = self.metrics.text()
            head = write_head(200, [(b"content-type", CONTENT_TYPE.encode())], len(body), closing())
            return Response(200, head + body)
        describe = self.service.describe() if request.target == b"/policy" else self.service.fleet()
        return page(200, describe, closing())

    def error_response(self, status: int, text: str) -> Response:
        """The answer to what breaks HTTP or a bound."""
        return page(status, Unreadable(text).told(), True)

    def finished(self, request: Message, status: int, whole: bool) -> None:
        """Its calls are not among the figures."""


class Unreadable(BadPolicy):
    """A call that breaks HTTP or a bound."""

    error_name = "Unreadable"
    remedy = f"send whole HTTP/1.1 calls, with {MOST} bytes of a policy at most"


def read_base(request: Message) -> int:
    """The version that a push follows; raises `NoBase`."""
    base = dict(request.headers).get(b"if-match", b"").strip(b'"')
    if not base.isdigit() or len(base) > MOST_DIGITS:
        raise NoBase("If-Match must name the version that this follows", "If-Match")
    return int(base)


def page(status: int, told: object, close: bool, headers: Headers | None = None) -> Response:
    """An answer in JSON."""
    body = msgspec.json.encode(told)
    head = write_head(status, [(b"content-type", b"application/json"), *(headers or [])], len(body), close)
    return Response(status, head + body)


def open_policy(
    gateway: Gateway, section: PolicySection, connections: int, sections: Mapping[str, Any] | None = None
) -> Server:
    """The part, and the listener of its pages; `sections` are those of subsystems on; raises `BadConfig`."""
    assert section.listen is not None
    pages = StatusPages(FleetService(gateway, section, sections))
    return Server(read_address(section.listen), pages, connections, name="policy")
