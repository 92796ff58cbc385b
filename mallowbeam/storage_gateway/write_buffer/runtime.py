"""What the parts of an open buffer share: its clock, its wake-up, and the tasks that they start."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Coroutine
from dataclasses import dataclass, field
from typing import Any

from loguru import logger

from mallowbeam.storage_gateway.write_buffer.core import Core


@dataclass(slots=True)
class Runtime:
    """Shared by `Intake` and `Flush` of one buffer."""

    core: Core
    clock: Callable[[], float]  # seconds, through one boot of the machine
    boot: bytes  # the id of that boot
    wakeup: asyncio.Event = field(default_factory=asyncio.Event)  # `Core.plan` may find something to do
    tasks: set[asyncio.Task[None]] = field(default_factory=set)

    def spawn(self, work: Coroutine[Any, Any, None]) -> None:
        """Run a task of the buffer's own; with a fault in one nothing more is accepted."""
        task = asyncio.create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self._ended)

    def _ended(self, task: asyncio.Task[None]) -> None:
        self.tasks.discard(task)
        if not task.cancelled() and (error := task.exception()) is not None:
            self.core.unavailable = True
            logger.opt(exception=error).error("the buffer failed unforeseen; nothing more is taken in")
