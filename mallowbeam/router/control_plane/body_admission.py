"""Admission of large configuration bodies: one at a time per member, processed outside the event loop.

A body of several MB takes a noticeable part of a small machine's memory and time: several copies of it exist
for a moment, and the event loop, if it parsed the body, would meanwhile not maintain the leadership. A second
large body is therefore rejected at once, so that its caller can turn to another member. Small bodies, such as
those of heartbeats, are not affected.
"""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import Protocol, TypeVar

from mallowbeam.http.budget import ANOTHER_LARGE_BODY
from mallowbeam.router.configuration.parsing import ConfigurationParser
from mallowbeam.router.configuration.patch import parse_patch
from mallowbeam.router.configuration.versions import patch_command, put_command
from mallowbeam.router.control_plane.api_errors import LargeBodyError
from mallowbeam.router.rpc.messages_pb2 import PutConfiguration

LARGE_BODY_BYTES = 256 * 1024  # a body above this size is large

Result = TypeVar("Result")


class JobRunner(Protocol):
    """Runs the processing of a large body."""

    def __call__(self, job: Callable[[], Result]) -> Awaitable[Result]:
        """Run a job and return its result, or raise its exception."""


async def run_inline(job: Callable[[], Result]) -> Result:
    """Run a job in the current step of the event loop, as the simulation does."""
    return job()


async def run_in_thread(job: Callable[[], Result]) -> Result:
    """Run a job in a thread, outside the event loop."""
    return await asyncio.to_thread(job)


@dataclass(frozen=True, slots=True)
class _Prepared:
    """The command built from a body, and for a full document the parser that parsed it."""

    command: PutConfiguration
    parser: ConfigurationParser | None = None


class LargeBodyAdmission:
    """Converts large bodies to commands, one at a time."""

    def __init__(self, parser: ConfigurationParser, run_job: JobRunner) -> None:
        """`parser` is the member's parser; it adopts what a job has parsed of a valid body."""
        self._parser = parser
        self._run_job = run_job
        self._busy = False

    async def command(self, body: bytearray, based_on: int) -> PutConfiguration:
        """Build the command for a full document, and empty `body`; raises as `_run` does."""
        return await self._run(self._document_job(body, based_on))

    async def patch(self, body: bytearray, based_on: int) -> PutConfiguration:
        """Build the command for a patch, and empty `body`; raises as `_run` does."""
        holder = _take(body)
        return await self._run(lambda: _Prepared(patch_command(parse_patch(holder.pop()), based_on)))

    async def _run(self, prepare: Callable[[], _Prepared]) -> PutConfiguration:
        """Run a job and return its command.

        Raises:
            LargeBodyError: another job is running.
            ConfigurationError: the body is invalid.
        """
        if self._busy:
            raise LargeBodyError(ANOTHER_LARGE_BODY, "body")
        self._busy = True
        job = asyncio.ensure_future(self._run_job(prepare))
        job.add_done_callback(self._job_done)
        # Cancelling the caller does not stop the thread, so the slot stays in use until the job has ended.
        prepared = await asyncio.shield(job)
        if prepared.parser is not None:
            self._parser.adopt(prepared.parser)
        return prepared.command

    def _document_job(self, body: bytearray, based_on: int) -> Callable[[], _Prepared]:
        """Return the job for a full document; it holds the only reference to the body's bytes."""
        parser = self._parser.fork()
        holder = _take(body)

        def prepare() -> _Prepared:
            parsed = parser.parse(holder.pop())
            return _Prepared(put_command(parsed, based_on), parser)

        return prepare

    def _job_done(self, job: asyncio.Future[_Prepared]) -> None:
        self._busy = False
        if not job.cancelled():
            job.exception()  # marks it as retrieved even if the caller was cancelled


def _take(body: bytearray) -> list[bytes]:
    """Move a body's bytes to a list, so that `pop` returns the only reference to them."""
    holder = [bytes(body)]
    body.clear()
    return holder
