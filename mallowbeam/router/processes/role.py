"""Starts and stops a role's process and reloads its settings.

Exit codes: 0 after a requested stop, 1 after an unexpected failure, 2 if the settings can't be used or the
role itself raises a :class:`MallowbeamError` (such as an address in use).
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
from mallowbeam.reload_signal import defer_sighup
from mallowbeam.router.processes.logs import get_logger, set_up_logging
from mallowbeam.router.processes.settings import NodeSettings, SettingsError, read_settings, settings_path

EXIT_STOPPED = 0
EXIT_FAILED = 1
EXIT_UNUSABLE = 2
HANDLED_SIGNALS = (signal.SIGTERM, signal.SIGINT, signal.SIGHUP)
SETTINGS_POLL_INTERVAL_S = 1.0  # between two polls of the settings file
# allocations before a collection of the youngest generation; collections before one of the next generation
GC_THRESHOLDS = (20_000, 20, 50)

ReloadCallback = Callable[[NodeSettings], None]

log = get_logger("mallowbeam.role")


class RoleContext:
    """A role's access to its process: the settings in force, changes of them, and the request to stop."""

    def __init__(self, settings: NodeSettings, path: str) -> None:
        self._settings = settings
        self._path = path
        self._callbacks: list[ReloadCallback] = []
        self._signature = file_signature(path)
        self.stopping = asyncio.Event()

    @property
    def settings(self) -> NodeSettings:
        """The settings in force: those of the last valid file."""
        return self._settings

    def on_reload(self, callback: ReloadCallback) -> None:
        """Call ``callback`` with the new settings after each change of them."""
        self._callbacks.append(callback)

    def reload(self) -> None:
        """Read the file again; an invalid one is logged and changes nothing."""
        self._signature = file_signature(self._path)
        try:
            settings = read_settings(self._path)
        except SettingsError as error:
            log.error("invalid settings, keeping the previous ones: %s", error.line)
            return
        if settings == self._settings:
            return
        self._settings = settings
        log.info("settings changed")
        for callback in self._callbacks:
            self._call(callback)

    def reload_if_changed(self) -> None:
        """Read the file again if its modification time, size or inode differ from the last reading."""
        if file_signature(self._path) != self._signature:
            self.reload()

    def _call(self, callback: ReloadCallback) -> None:
        try:
            callback(self._settings)
        except Exception:
            log.exception("a reload callback failed")


def file_signature(path: str) -> tuple[int, int, int] | None:
    """Modification time (ns), size and inode of a file; None if it can't be examined."""
    try:
        status = os.stat(path)
    except OSError:
        return None
    return status.st_mtime_ns, status.st_size, status.st_ino


def run_role(serve: Callable[[RoleContext], Awaitable[None]]) -> int:
    """Run a role until a signal stops it; returns the exit code of the process."""
    pending_sighups = defer_sighup()  # the settings are read below, so an earlier SIGHUP needs no reload
    path = settings_path()
    try:
        settings = read_settings(path)
    except SettingsError as error:
        print(f"mallowbeam: {error.line}", file=sys.stderr)
        return EXIT_UNUSABLE
    set_up_logging(settings.node_name)
    try:
        uvloop.run(_serve(serve, settings, path, pending_sighups))
    except MallowbeamError as error:
        print(f"mallowbeam: {error.line}", file=sys.stderr)
        return EXIT_UNUSABLE
    except Exception:
        log.exception("the role failed")
        return EXIT_FAILED
    finally:
        ignore_signals()
    return EXIT_STOPPED


def ignore_signals() -> None:
    """Ignore further signals: at its end the interpreter would restore the default action of handled ones."""
    for signal_number in HANDLED_SIGNALS:
        signal.signal(signal_number, signal.SIG_IGN)


async def _serve(
    serve: Callable[[RoleContext], Awaitable[None]],
    settings: NodeSettings,
    path: str,
    pending_sighups: Sequence[int],
) -> None:
    """Run the role inside its event loop, with its signal handlers."""
    loop = asyncio.get_running_loop()
    loop.set_exception_handler(_log_unhandled)
    context = RoleContext(settings, path)
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, context.stopping.set)
    loop.add_signal_handler(signal.SIGHUP, context.reload)
    if pending_sighups:
        loop.call_soon(context.reload)
    relax_garbage_collection()
    watcher = loop.create_task(_watch_settings(context))
    try:
        await serve(context)
    finally:
        watcher.cancel()


def relax_garbage_collection() -> None:
    """Exclude the objects created at start-up from garbage collection, and collect others less often."""
    gc.freeze()
    gc.set_threshold(*GC_THRESHOLDS)
    gc.enable()


async def _watch_settings(context: RoleContext) -> None:
    """Poll the settings file: it may change without a signal."""
    while True:
        await asyncio.sleep(SETTINGS_POLL_INTERVAL_S)
        context.reload_if_changed()


def _log_unhandled(_: asyncio.AbstractEventLoop, details: dict[str, Any]) -> None:
    """Log an error that reached the event loop unhandled."""
    message, error = details.get("message", ""), details.get("exception")
    log.error("unhandled error in the event loop: %s", message, exc_info=error)
