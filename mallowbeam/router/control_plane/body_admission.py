"""Admission of large configuration bodies: one at a time per member, processed beside the event loop.

A body of several MB takes a noticeable part of a small machine's memory and time: several copies of it exist
for a moment, and the loop that would parse it also maintains the leadership. So a second one is rejected at
once, and its caller turns to another member; small bodies, heartbeats among them, are not affected.
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

LARGE_BODY = 256 * 1024  # bytes above which a body is large

Result = TypeVar("Result")


class JobRunner(Protocol):
    """Runs the processing of a large body."""

    def __call__(self, job: Callable[[], Result]) -> Awaitable[Result]:
        """Run a job and return its result; its exception is raised."""


async def run_inline(job: Callable[[], Result]) -> Result:
    """Run a job in this step of the event loop, as the simulation does."""
    return job()


async def run_in_thread(job: Callable[[], Result]) -> Result:
    """Run a job in a thread beside the event loop."""
    return await asyncio.to_thread(job)


@dataclass(frozen=True, slots=True)
class _Prepared:
    """The command made of a body, and the parser that has read it, if it was a full document."""

    command: PutConfiguration
    parser: ConfigurationParser | None = None


class LargeBodyAdmission:
    """Converts large bodies to commands, one at a time."""

    def __init__(self, parser: ConfigurationParser, run_job: JobRunner) -> None:
        """`parser` is the member's: it adopts what a job has parsed of a valid body."""
        self._parser = parser
        self._run_job = run_job
        self._busy = False

    async def command(self, body: bytearray, based_on: int) -> PutConfiguration:
        """The command of a full document; empties `body`.  Raises as `_run` does."""
        return await self._run(self._document_job(body, based_on))

    async def patch(self, body: bytearray, based_on: int) -> PutConfiguration:
        """The command of a patch; empties `body`.  Raises as `_run` does."""
        content = _take(body)
        return await self._run(lambda: _Prepared(patch_command(parse_patch(content.pop()), based_on)))

    async def _run(self, prepare: Callable[[], _Prepared]) -> PutConfiguration:
        """Run a job and return its command.

        Raises `LargeBodyError` while another one runs, and a `ConfigurationError` for an invalid body.
        """
        if self._busy:
            raise LargeBodyError(ANOTHER_LARGE_BODY, "body")
        self._busy = True
        job = asyncio.ensure_future(self._run_job(prepare))
        job.add_done_callback(self._ended)
        # A cancelled caller does not end the thread: the slot stays in use until the job has ended.
        prepared = await asyncio.shield(job)
        if prepared.parser is not None:
            self._parser.adopt(prepared.parser)
        return prepared.command

    def _document_job(self, body: bytearray, based_on: int) -> Callable[[], _Prepared]:
        """The job of a full document; it has the only reference to the body's bytes."""
        parser = self._parser.fork()
        content = _take(body)

        def prepare() -> _Prepared:
            parsed = parser.parse(content.pop())
            return _Prepared(put_command(parsed, based_on), parser)

        return prepare

    def _ended(self, job: asyncio.Future[_Prepared]) -> None:
        self._busy = False
        if not job.cancelled():
            job.exception()  # retrieved also if the caller was cancelled


def _take(body: bytearray) -> list[bytes]:
    """Move a body's bytes to a list, whose `pop` then gives the only reference."""
    content = [bytes(body)]
    body.clear()
    return content
