"""Forwards an answer chunk by chunk as it arrives; resumes a broken stream if allowed.

A truncated answer never looks complete: the writer returns False, and the connection is closed without the
end marker of the answer's framing.
"""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable
from contextlib import suppress

from mallowbeam.http.client import ConnectionBrokenError
from mallowbeam.http.framing import Channel, Message, use_chunked_encoding, write_head
from mallowbeam.http.handler import Response
from mallowbeam.router.admission.messages import Outcome
from mallowbeam.router.data_plane.answers import forwarded_headers
from mallowbeam.router.data_plane.exchange import Exchange, read_chunk
from mallowbeam.router.data_plane.outcomes import AttemptEnd
from mallowbeam.router.data_plane.resumption import Resumption
from mallowbeam.router.data_plane.truncation import AbandonReason, TruncationCause
from mallowbeam.router.processes.logs import get_logger
from mallowbeam.router.streams.timeouts import client_timeout_s, resume_timeout_s

LAST_CHUNK = b"0\r\n\r\n"
RESUME_RETRY_S = 0.5  # between two tries to continue a silent stream at another instance

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
                async with asyncio.timeout(self._exchange.deadlines.truncate_at - time.monotonic()):
                    await self._read_more(answer)
            except (ConnectionBrokenError, TimeoutError):
                return False
        if self._chunked:
            await channel.send(LAST_CHUNK)
        return not remaining

    async def _forward_stream(self, channel: Channel) -> bool:
        """Forward an event stream; False if it was truncated."""
        head = self._head(self._answer(), None)
        chunk = self._exchange.take_first_chunk()
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
        try:
            async with asyncio.timeout(self._stall_timeout_s()):
                return await self._read_chunk()
        except TimeoutError:
            return await self._next_chunk_of_stalled()
        except ConnectionBrokenError:
            return await self._resume_broken()

    async def _next_chunk_of_stalled(self) -> bytes | None:
        """Return the next chunk of a stream whose instance is silent; None if truncated."""
        attempt = self._exchange.attempt
        assert attempt is not None
        self._exchange.gateway.attempt_ended(attempt.instance, AttemptEnd.TIMED_OUT, time.monotonic())
        try:
            async with asyncio.timeout(self._exchange.deadlines.truncate_at - time.monotonic()):
                return await self._wait_or_resume()
        except TimeoutError:
            self._report_truncation(TruncationCause.DEADLINE)
            return None
        except ConnectionBrokenError:
            return await self._resume_broken()

    async def _wait_or_resume(self) -> bytes:
        """Return the next chunk of the silent instance, or of another one that continues the stream."""
        while self._may_move and self._client_waits:
            chunk = await Resumption(self._exchange).next_chunk()
            if chunk is not None:
                return chunk
            with suppress(TimeoutError):
                async with asyncio.timeout(RESUME_RETRY_S):
                    return await self._read_chunk()
        return await self._read_chunk()

    async def _resume_broken(self) -> bytes | None:
        """Return the next chunk of a stream that broke, from another instance; None if truncated."""
        exchange = self._exchange
        attempt = exchange.attempt
        assert attempt is not None
        exchange.gateway.attempt_ended(attempt.instance, AttemptEnd.BROKEN, time.monotonic())
        if not exchange.progress.may_resume:
            exchange.not_resumed = AbandonReason.NOT_RESUMABLE
        elif await exchange.resume():
            return exchange.take_first_chunk()
        self._report_truncation(TruncationCause.BROKEN, attempt.instance)
        return None

    async def _read_chunk(self) -> bytes:
        attempt = self._exchange.attempt
        assert attempt is not None
        return await read_chunk(attempt, self._exchange.progress)

    def _report_truncation(self, cause: TruncationCause, instance: str = "") -> None:
        """Log and count a stream that is truncated."""
        exchange, now = self._exchange, time.monotonic()
        exchange.gateway.streams_truncated[cause] += 1
        # picologging keeps the frames of its callers, and with this one the request's body.
        asyncio.get_running_loop().call_soon(
            log.info,
            "request %s: stream of instance %s is truncated (%s) after %.3f s of silence, "
            "%.3f s before its deadline; not resumed: %s",
            exchange.request.request_id.decode("latin-1"),
            instance or (exchange.attempt.instance if exchange.attempt is not None else "unknown"),
            cause.value,
            now - self._received_at,
            exchange.deadlines.ends_at - now,
            exchange.not_resumed.value if exchange.not_resumed is not None else "not tried",
        )

    @property
    def _may_move(self) -> bool:
        """Whether another instance could continue the stream."""
        return self._exchange.progress.may_resume and self._exchange.may_send_again

    @property
    def _client_waits(self) -> bool:
        """Whether the client has not given the stream up yet, by how long clients wait for an event."""
        route = self._exchange.route
        gives_up_s = client_timeout_s(route.target_latency_ms / 1000, route.gap_aim_ms / 1000)
        return time.monotonic() - self._received_at < gives_up_s

    def _stall_timeout_s(self) -> float:
        """Return the silence in seconds after which another instance is tried or the stream truncated.

        An instance's silence is no reason to end an answer sooner.
        """
        time_left_s = self._exchange.deadlines.truncate_at - time.monotonic()
        if not self._may_move:
            return time_left_s
        return min(resume_timeout_s(self._exchange.route.gap_aim_ms / 1000), time_left_s)

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
