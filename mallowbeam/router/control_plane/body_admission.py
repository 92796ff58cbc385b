"""Large configurations: one at a time for each member, parsed and compressed beside the event loop.

A body of some MB takes a noticeable part of a small machine's memory and time: several copies of it exist for
a moment, and the loop that would parse it also keeps the leadership. So a second one is refused at once, and
its caller turns to another member; small bodies, heartbeats among them, are not concerned.
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


class Work(Protocol):
    """How a large body's work is run."""

    def __call__(self, job: Callable[[], Result]) -> Awaitable[Result]:
        """Run a job to its result; its exception is raised."""


async def run_inline(job: Callable[[], Result]) -> Result:
    """Run a job in this step: where there are no threads, as in the simulation."""
    return job()


async def run_in_thread(job: Callable[[], Result]) -> Result:
    """Run a job in a thread, so that the event loop goes on meanwhile."""
    return await asyncio.to_thread(job)


@dataclass(frozen=True, slots=True)
class _Prepared:
    """What came of a body, and the parser that has read it, where it was a whole document."""

    command: PutConfiguration
    parser: ConfigurationParser | None = None


class LargeBodyAdmission:
    """Turns large bodies into commands, one at a time."""

    def __init__(self, parser: ConfigurationParser, work: Work) -> None:
        """`parser` is the member's: it takes over what is learned of each valid body."""
        self._parser, self._work = parser, work
        self._busy = False

    async def command(self, body: bytearray, based_on: int) -> PutConfiguration:
        """The command that a whole document asks for; empties `body`.  Raises as `_run` does."""
        return await self._run(self._whole_job(body, based_on))

    async def patch(self, body: bytearray, based_on: int) -> PutConfiguration:
        """The command that a patch asks for; empties `body`.  Raises as `_run` does."""
        held = _take(body)
        return await self._run(lambda: _Prepared(patch_command(parse_patch(held.pop()), based_on)))

    async def _run(self, work: Callable[[], _Prepared]) -> PutConfiguration:
        """The command that a body's work comes to.

        Raises `LargeBodyError` while another one is under way, and a `ConfigurationError` for a body that is
        not valid.
        """
        if self._busy:
            raise LargeBodyError(ANOTHER_LARGE_BODY, "body")
        self._busy = True
        job = asyncio.ensure_future(self._work(work))
        job.add_done_callback(self._ended)
        # A caller that leaves does not end a thread: the next body waits for its end all the same.
        prepared = await asyncio.shield(job)
        if prepared.parser is not None:
            self._parser.adopt(prepared.parser)
        return prepared.command

    def _whole_job(self, body: bytearray, based_on: int) -> Callable[[], _Prepared]:
        """What is done beside the loop; it alone holds the body's bytes."""
        parser = self._parser.fork()
        held = _take(body)

        def prepare() -> _Prepared:
            parsed = parser.parse(held.pop())
            return _Prepared(put_command(parsed, based_on), parser)

        return prepare

    def _ended(self, job: asyncio.Future[_Prepared]) -> None:
        self._busy = False
        if not job.cancelled():
            job.exception()  # counts as seen, also where the caller has left


def _take(body: bytearray) -> list[bytes]:
    """A body's bytes, which whoever empties the list holds alone."""
    held = [bytes(body)]
    body.clear()
    return held
