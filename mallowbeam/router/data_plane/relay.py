"""Forwards an answer chunk by chunk as it arrives; resumes a broken stream if allowed.

A truncated answer never looks complete: the writer returns False, and the connection is closed without the
end marker of the answer's framing.
"""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable

from mallowbeam.http.client import ConnectionBrokenError
from mallowbeam.http.framing import Channel, Message, use_chunked_encoding, write_head
from mallowbeam.http.handler import Response
from mallowbeam.router.admission.messages import Outcome
from mallowbeam.router.data_plane.answers import forwarded_headers
from mallowbeam.router.data_plane.cut_streams import CutCause
from mallowbeam.router.data_plane.exchange import Exchange, read_chunk
from mallowbeam.router.data_plane.outcomes import AttemptEnd
from mallowbeam.router.processes.logs import get_logger
from mallowbeam.router.streams.timeouts import resume_timeout_s

LAST_CHUNK = b"0\r\n\r\n"
NOT_RESUMABLE = "the route or its events do not allow it"

log = get_logger("mallowbeam.data_plane")


class Relay:
    """Forwards the answer of one exchange."""

    def __init__(self, exchange: Exchange, request: Message, closing: Callable[[], bool]) -> None:
        self._exchange = exchange
        self._request = request
        self._closing = closing
        self._chunked = True
        self._end = Outcome.CANCELLED
        self._received_at = 0.0  # monotonic time of the last chunk received

    def response(self) -> Response:
        """Return the response that forwards the answer."""
        answer = self._answer()
        return Response(answer.status, write=self._write)

    async def _write(self, channel: Channel) -> bool:
        """Write head and body; False if the answer was truncated."""
        try:
            attempt = self._exchange.attempt
            complete = await (
                self._forward_stream(channel)
                if attempt is not None and attempt.streams
                else self._forward_body(channel)
            )
            self._end = Outcome.COMPLETED if complete else Outcome.FAILED
            return complete
        finally:
            self._exchange.close(self._end)

    async def _forward_body(self, channel: Channel) -> bool:
        """Forward a large answer; False if it was truncated."""
        answer = self._answer()
        await channel.send(self._head(answer, answer.length))
        remaining = answer.length
        while True:
            if answer.body:
                chunk = bytes(answer.take())
                remaining = remaining - len(chunk) if remaining is not None else None
                await channel.send(self._encode_chunk(chunk))
            if answer.complete:
                break
            try:
                async with asyncio.timeout(self._exchange.deadline - time.monotonic()):
                    await self._read_more(answer)
            except (ConnectionBrokenError, TimeoutError):
                return False
        if self._chunked:
            await channel.send(LAST_CHUNK)
        return not remaining

    async def _forward_stream(self, channel: Channel) -> bool:
        """Forward an event stream; False if it was truncated."""
        head = self._head(self._answer(), None)
        chunk, self._exchange.first_chunk = self._exchange.first_chunk, b""
        await channel.send(head + self._encode_chunk(chunk) if chunk else head)
        while chunk:
            self._received_at = time.monotonic()
            self._exchange.count_tokens()
            next_chunk = await self._next_chunk()
            if next_chunk is None:
                return False
            chunk = next_chunk
            if chunk:
                await channel.send(self._encode_chunk(chunk))
        if self._chunked:
            await channel.send(LAST_CHUNK)
        return True

    async def _next_chunk(self) -> bytes | None:
        """Return the next chunk, resuming elsewhere if needed; empty at the end, None if truncated."""
        exchange = self._exchange
        attempt = exchange.attempt
        assert attempt is not None
        try:
            async with asyncio.timeout(self._stall_timeout_s()):
                return await read_chunk(attempt, exchange.progress)
        except TimeoutError:
            end = AttemptEnd.TIMED_OUT
        except ConnectionBrokenError:
            end = AttemptEnd.BROKEN
        exchange.gateway.attempt_ended(attempt.instance, end, time.monotonic())
        resumable = exchange.progress.may_resume
        if not resumable or not await exchange.resume():
            self._report_cut(attempt.instance, end, resumable)
            return None
        chunk, exchange.first_chunk = exchange.first_chunk, b""
        return chunk

    def _report_cut(self, instance: str, end: AttemptEnd, resumable: bool) -> None:
        """Log and count a stream that is cut."""
        exchange, now = self._exchange, time.monotonic()
        cause = CutCause.BROKEN
        if end is AttemptEnd.TIMED_OUT:
            cause = CutCause.DEADLINE if now >= exchange.deadline else CutCause.SILENT
        exchange.gateway.streams_cut[cause] += 1
        reason = exchange.not_resumed.value if resumable and exchange.not_resumed else NOT_RESUMABLE
        # picologging keeps the frames of its callers, and with this one the request's body.
        asyncio.get_running_loop().call_soon(
            log.info,
            "request %s: stream of instance %s is cut (%s) after %.3f s of silence, "
            "%.3f s before its deadline; not resumed: %s",
            exchange.request.request_id.decode("latin-1"),
            instance,
            cause.value,
            now - self._received_at,
            exchange.deadline - now,
            reason,
        )

    def _stall_timeout_s(self) -> float:
        """Return the seconds without an event after which the stream is resumed or, at its deadline, cut.

        An instance's silence is no reason to end an answer sooner.
        """
        exchange = self._exchange
        time_left_s = exchange.deadline - time.monotonic()
        if not exchange.progress.resumable or not exchange.may_send_again:
            return time_left_s
        return min(resume_timeout_s(exchange.route.gap_aim_ms / 1000), time_left_s)

    def _head(self, answer: Message, length: int | None) -> bytes:
        self._chunked = use_chunked_encoding(self._request, length)
        return write_head(answer.status, forwarded_headers(answer), length, self._closing(), self._chunked)

    def _encode_chunk(self, chunk: bytes) -> bytes:
        return b"%x\r\n%b\r\n" % (len(chunk), chunk) if self._chunked else chunk

    async def _read_more(self, answer: Message) -> None:
        attempt = self._exchange.attempt
        assert attempt is not None
        assert attempt.link is not None
        attempt.link.channel.framer.release()
        await attempt.link.read_more(answer)

    def _answer(self) -> Message:
        attempt = self._exchange.attempt
        assert attempt is not None
        assert attempt.answer is not None
        return attempt.answer
