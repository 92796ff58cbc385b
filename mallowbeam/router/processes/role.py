"""Start, settings changes and stop of a role's process.

Exit codes: 0 after a planned stop, 1 after an unforeseen failure, 2 where the settings can't be used or
the role itself raises a :class:`MallowbeamError` (such as an address that is taken).
"""

from __future__ import annotations

import asyncio
import gc
import os
import signal
import sys
from collections.abc import Awaitable, Callable, Sequence
from typing import Any

import uvloop

from mallowbeam.errors import MallowbeamError
from mallowbeam.reload_signal import hold_hangups
from mallowbeam.router.processes.logs import get_logger, set_up_logging
from mallowbeam.router.processes.settings import NodeSettings, SettingsError, read_settings, settings_path

EXIT_STOPPED = 0
EXIT_FAILED = 1
EXIT_UNUSABLE = 2
SETTINGS_LOOK_S = 1.0  # between two looks at the settings file
GC_THRESHOLDS = (20_000, 20, 50)  # new objects before a collection, collections before an older

ReloadCallback = Callable[[NodeSettings], None]

log = get_logger("mallowbeam.role")


class RoleContext:
    """What a role is given: its settings, the word to stop, and word of changed settings."""

    def __init__(self, settings: NodeSettings, path: str) -> None:
        self._settings, self._path = settings, path
        self._callbacks: list[ReloadCallback] = []
        self._signature = file_signature(path)
        self.stopping = asyncio.Event()

    @property
    def settings(self) -> NodeSettings:
        """The settings in force: those of the last good file."""
        return self._settings

    def on_reload(self, callback: ReloadCallback) -> None:
        """Have ``callback`` called with the new settings each time they have changed."""
        self._callbacks.append(callback)

    def reload(self) -> None:
        """Read the file again. A file that can't be used changes nothing and is logged."""
        self._signature = file_signature(self._path)
        try:
            settings = read_settings(self._path)
        except SettingsError as error:
            log.error("settings not taken: %s", error.line)
            return
        if settings == self._settings:
            return
        self._settings = settings
        log.info("settings changed")
        for callback in self._callbacks:
            self._call(callback)

    def reload_if_changed(self) -> None:
        """Read the file again where its time of change, size or inode differ from the last look."""
        if file_signature(self._path) != self._signature:
            self.reload()

    def _call(self, callback: ReloadCallback) -> None:
        try:
            callback(self._settings)
        except Exception:
            log.exception("a reload callback failed")


def file_signature(path: str) -> tuple[int, int, int] | None:
    """What tells a file from its earlier state; None where it can't be looked at."""
    try:
        status = os.stat(path)
    except OSError:
        return None
    return status.st_mtime_ns, status.st_size, status.st_ino


def run_role(serve: Callable[[RoleContext], Awaitable[None]]) -> int:
    """Run a role until it is told to stop; the exit code of the process."""
    hangups = hold_hangups()  # SIGHUPs from before this line are covered by the read below
    path = settings_path()
    try:
        settings = read_settings(path)
    except SettingsError as error:
        print(f"mallowbeam: {error.line}", file=sys.stderr)
        return EXIT_UNUSABLE
    set_up_logging(settings.node_name)
    try:
        uvloop.run(_serve(serve, settings, path, hangups))
    except MallowbeamError as error:
        print(f"mallowbeam: {error.line}", file=sys.stderr)
        return EXIT_UNUSABLE
    except Exception:
        log.exception("the role failed")
        return EXIT_FAILED
    return EXIT_STOPPED


async def _serve(
    serve: Callable[[RoleContext], Awaitable[None]], settings: NodeSettings, path: str, hangups: Sequence[int]
) -> None:
    """Run the role inside its event loop."""
    loop = asyncio.get_running_loop()
    loop.set_exception_handler(_report)
    context = RoleContext(settings, path)
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, context.stopping.set)
    loop.add_signal_handler(signal.SIGHUP, context.reload)
    if hangups:
        loop.call_soon(context.reload)
    collect_less()
    watch = loop.create_task(_watch_settings(context))
    try:
        await serve(context)
    finally:
        watch.cancel()


def collect_less() -> None:
    """Take all that the start made out of garbage collection, and collect what comes less often."""
    gc.freeze()
    gc.set_threshold(*GC_THRESHOLDS)
    gc.enable()


async def _watch_settings(context: RoleContext) -> None:
    """Look at the settings file at intervals: it may change without a signal."""
    while True:
        await asyncio.sleep(SETTINGS_LOOK_S)
        context.reload_if_changed()


def _report(_: asyncio.AbstractEventLoop, details: dict[str, Any]) -> None:
    """Log what went wrong outside of any task's caller."""
    message, error = details.get("message", ""), details.get("exception")
    log.error("unhandled in the event loop: %s", message, exc_info=error)
