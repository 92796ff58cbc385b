"""The client-facing endpoint: each complete request gets exactly one answer."""

from __future__ import annotations

import asyncio
import time
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from math import inf

from mallowbeam.http.budget import BodyBudget
from mallowbeam.http.framing import Message
from mallowbeam.http.handler import Response
from mallowbeam.router.configuration.model import ClientLimits
from mallowbeam.router.data_plane.answers import gateway_answer
from mallowbeam.router.data_plane.client_request import BadRequestError, read_request
from mallowbeam.router.data_plane.deadlines import request_deadlines
from mallowbeam.router.data_plane.exchange import Exchange
from mallowbeam.router.data_plane.gateway import Gateway
from mallowbeam.router.data_plane.relay import Relay
from mallowbeam.router.data_plane.routing import choose_backend

MAX_BUFFERED_BYTES = 24 * 1024 * 1024  # limit for request bodies over all connections
MEMORY_FRACTION = 0.125  # share of the process's memory that request bodies may use
RETRY_AFTER_S = 0.5  # Retry-After of a 503 that is sent before the first configuration arrives
STOPPING_RETRY_AFTER_S = 0.01  # Retry-After of a 503 shortly before the exit: others can serve at once
CLIENT_TIMEOUT_MARGIN_S = 0.5  # network allowance added to the configured client timeouts
MEGABYTE = 1024 * 1024
UNLIMITED_BYTES = 1 << 62  # no body is larger


class ClientFrontend:
    """Runs an exchange for each client request and returns its answer."""

    reads_ahead = False  # a request that was read has to be answered, and the process may stop at any time
    max_buffered_body = UNLIMITED_BYTES  # a request is forwarded only after it has arrived completely

    def __init__(self, gateway: Gateway, memory_mb: float) -> None:
        self._gateway = gateway
        self.budget: BodyBudget | None = BodyBudget(
            int(min(MAX_BUFFERED_BYTES, memory_mb * MEGABYTE * MEMORY_FRACTION))
        )
        self.set_limits(ClientLimits())
        self._unbounded_until = inf  # monotonic time; a request taken later must end before the exit
        self._last_answer_at = inf  # monotonic time; the latest deadline of such a request
        self._waiting: set[asyncio.Timeout] = set()  # of requests whose response has not begun

    def stop(self, unbounded_until: float, last_answer_at: float) -> None:
        """Prepare for the exit of the process.

        Args:
            unbounded_until: Monotonic time from which requests that could still run at the exit are rejected.
            last_answer_at: Monotonic time by which answers to those taken later must be complete, and at
                which a request that still waits for the first byte of its answer gets a failure.
        """
        self._unbounded_until, self._last_answer_at = unbounded_until, last_answer_at
        ends_at = asyncio.get_running_loop().time() + last_answer_at - time.monotonic()
        for time_limit in self._waiting:
            time_limit.reschedule(ends_at)

    def set_limits(self, limits: ClientLimits) -> None:
        """Apply limits to requests that start from now on, also on open connections."""
        self.max_body = limits.max_body_bytes
        self.max_head = limits.max_header_bytes
        self.request_timeout_s = limits.header_timeout_ms / 1000 + CLIENT_TIMEOUT_MARGIN_S
        self.idle_timeout_s = limits.idle_timeout_ms / 1000 + CLIENT_TIMEOUT_MARGIN_S

    async def handle(self, request: Message, closing: Callable[[], bool]) -> Response:
        """Handle one request and return its answer."""
        try:
            client_request = read_request(request)
        except BadRequestError as error:
            return gateway_answer(400, b"", closing(), text=error.what.encode() + b"\n")
        view = self._gateway.view
        if view.configuration is None:
            return gateway_answer(503, client_request.request_id, closing(), RETRY_AFTER_S)
        route = view.find_route(client_request.host, client_request.target)
        if route is None:
            return gateway_answer(404, client_request.request_id, closing())
        started_at = request.completed_at or time.monotonic()
        deadlines = request_deadlines(started_at, client_request.deadline_ms, route.timeout_ms)
        if deadlines.ends_at > self._last_answer_at and time.monotonic() > self._unbounded_until:
            return gateway_answer(503, client_request.request_id, closing(), STOPPING_RETRY_AFTER_S)
        backend = choose_backend(route, client_request.request_id)
        self._gateway.budgets.of(backend).request(time.monotonic())
        return await self._answer(
            Exchange(self._gateway, client_request, route, backend, deadlines), request, closing
        )

    async def _answer(self, exchange: Exchange, request: Message, closing: Callable[[], bool]) -> Response:
        """Return the answer of an exchange, or a failure where the process ends before its first byte."""
        try:
            async with self._until_exit() as time_limit:
                response = await exchange.run(closing)
        except TimeoutError:
            if not time_limit.expired():
                raise
            return exchange.interrupted_answer(closing())
        if response is not None:
            return response
        return Relay(exchange, request, closing).response()

    @asynccontextmanager
    async def _until_exit(self) -> AsyncIterator[asyncio.Timeout]:
        """Limit the wait for a response's first byte to the exit, also if the process stops meanwhile."""
        async with asyncio.timeout(self._time_to_exit_s()) as time_limit:
            self._waiting.add(time_limit)
            try:
                yield time_limit
            finally:
                self._waiting.discard(time_limit)

    def _time_to_exit_s(self) -> float | None:
        """Return the seconds until the last answer before the exit; None while the process does not stop."""
        return None if self._last_answer_at == inf else self._last_answer_at - time.monotonic()

    def error_response(self, status: int, text: str, close: bool = True) -> Response:
        """Return the answer to a request that violates HTTP or a limit, or comes during a close."""
        return gateway_answer(status, b"", close, RETRY_AFTER_S, text.encode() + b"\n")

    def finished(self, request: Message, status: int, whole: bool) -> None:
        """Count an answer that was sent."""
        self._gateway.answers[status] += 1
