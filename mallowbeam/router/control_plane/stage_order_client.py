"""Sends stage orders to instances over HTTP, each under a fencing token (PROTOCOL.md: orders)."""

from __future__ import annotations

import asyncio
import json
import socket
import struct
import time
from contextlib import suppress

from mallowbeam.http.client import ConnectionBrokenError, Link, RequestNotSentError, connect
from mallowbeam.http.framing import write_request
from mallowbeam.router.control_plane.stage_lease import StageLease
from mallowbeam.router.pairing.stage_balancer import OrderResult, StageOrder
from mallowbeam.router.processes.logs import get_logger

ORDER_PATH = b"/mallowbeam/order"
CONNECT_TIMEOUT_S = 0.6
MAX_RESPONSE_BYTES = 64 * 1024
ACCEPTED_STATUSES = (200, 202)  # the instance is in that stage already, or changing to it
BUSY_STATUS = 409
STALE_TOKEN_STATUS = 412
RESET_ON_CLOSE = struct.pack("ii", 1, 0)  # SO_LINGER: close resets the connection and drops undelivered data

log = get_logger("mallowbeam.stages")


class StageOrderClient:
    """Sends each order once, over a connection of its own; an order is never retried."""

    def __init__(self, lease: StageLease) -> None:
        self.lease = lease

    async def send(self, order: StageOrder) -> OrderResult:
        """Send an order and read its result.

        The token is read in the event-loop step that writes the order, so that it is still valid then.
        """
        try:
            link = await connect(order.address, CONNECT_TIMEOUT_S, MAX_RESPONSE_BYTES)
        except RequestNotSentError:
            return OrderResult.NOT_SENT
        try:
            self._bound_delivery_time(link.channel.sock)
            token = self.lease.token(time.monotonic())
            if token is None:  # leadership may have been lost while connecting
                return OrderResult.NOT_SENT
            with suppress(TimeoutError, RequestNotSentError, ConnectionBrokenError):
                async with asyncio.timeout(self.lease.answer_timeout_s):
                    return self._result(await _post(link, order, self.lease.member_id, token))
            return OrderResult.UNKNOWN
        finally:
            link.close()

    def _bound_delivery_time(self, sock: socket.socket) -> None:
        """Have an order that can't be delivered in time dropped, rather than delivered late.

        `SO_LINGER` drops it when this process closes the socket, and `TCP_USER_TIMEOUT` makes the kernel drop
        it if the process is suspended meanwhile.
        """
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
        timeout_ms = int(self.lease.answer_timeout_s * 1000)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, timeout_ms)

    def _result(self, status: int) -> OrderResult:
        """Return the result for a response's status."""
        if status in ACCEPTED_STATUSES:
            return OrderResult.ACCEPTED
        if status == STALE_TOKEN_STATUS:
            self.lease.rejected()
        elif status == BUSY_STATUS:  # another order is in progress, perhaps this one
            return OrderResult.UNKNOWN
        log.warning("stage order was rejected with HTTP status %d", status)
        return OrderResult.REJECTED


async def _post(link: Link, order: StageOrder, member_id: int, token: int) -> int:
    """Write the order, read the complete response and return its status."""
    body = json.dumps(
        {"op": "stage", "stage": order.stage, "holder": f"{member_id:016x}", "fencing_token": token}
    ).encode()
    headers = [
        (b"host", order.address.encode()),
        (b"content-type", b"application/json"),
        (b"target-instance", order.id.encode()),
        (b"connection", b"close"),
    ]
    await link.request(write_request(b"POST", ORDER_PATH, headers, len(body)), body)
    response = await link.read_head()
    await link.read_body(response)
    return int(response.status)
