"""State shared by the parts of an open buffer: clock, wake-up event, and background tasks."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Coroutine
from dataclasses import dataclass, field
from typing import Any

from loguru import logger

from mallowbeam.storage_gateway.write_buffer.core import Core


@dataclass(slots=True)
class Runtime:
    """The state that `Intake` and `Flush` of one buffer share."""

    core: Core
    clock: Callable[[], float]  # seconds, through one boot of the machine
    boot: bytes  # the id of that boot
    wakeup: asyncio.Event = field(default_factory=asyncio.Event)  # set when `Core.plan` should be called
    tasks: set[asyncio.Task[None]] = field(default_factory=set)
    commits: set[asyncio.Task[None]] = field(default_factory=set)

    def spawn(self, work: Coroutine[Any, Any, None]) -> None:
        """Run a background task that is cancelled when the folder is closed."""
        self._start(work, self.tasks)

    def spawn_commit(self, work: Coroutine[Any, Any, None]) -> None:
        """Run a task that notifies a waiting call of its commit; it ends with the log and is never cancelled.

        If it were cancelled, the call would wait for ever.
        """
        self._start(work, self.commits)

    async def cancel_tasks(self) -> None:
        """Cancel the background tasks, but not those that notify waiting calls."""
        tasks = list(self.tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    async def commits_ended(self) -> None:
        """Wait until every waiting call is notified; the log must be closed or closing."""
        await asyncio.gather(*self.commits, return_exceptions=True)

    def _start(self, work: Coroutine[Any, Any, None], running: set[asyncio.Task[None]]) -> None:
        """Run a task; if it fails, no more writes are accepted."""
        task = asyncio.create_task(work)
        running.add(task)
        task.add_done_callback(running.discard)
        task.add_done_callback(self._ended)

    def _ended(self, task: asyncio.Task[None]) -> None:
        if not task.cancelled() and (error := task.exception()) is not None:
            self.core.unavailable = True
            logger.opt(exception=error).error("buffer: unexpected error; no more writes are accepted")
