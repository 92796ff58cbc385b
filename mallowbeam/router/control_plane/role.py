"""The control-plane role: opens the store and runs a member until the process is told to stop."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from contextlib import suppress

from mallowbeam.router.consensus.storage import StoreFailedError, StoreFullError
from mallowbeam.router.control_plane.member import ControlMember
from mallowbeam.router.control_plane.member_builder import build_member
from mallowbeam.router.control_plane.store_recovery import OpenedStore, discard_and_reopen, open_store
from mallowbeam.router.processes.logs import get_logger
from mallowbeam.router.processes.role import RoleContext, run_role
from mallowbeam.router.processes.settings import NodeSettings

OPEN_RETRY_INTERVAL_S = 0.5  # between two attempts to open the store

log = get_logger("mallowbeam.member")


def main() -> int:
    """Run a member until it is told to stop; returns the process's exit code."""
    return run_role(serve)


async def serve(context: RoleContext) -> None:
    """Run a member until the stop; one with an unusable store is replaced by a new one on an empty store.

    Raises:
        UnsupportedFormatError: committed data needs a newer program version.
        MallowbeamError: the store is unusable, and a write to it is still in progress.
    """
    open_store_once = open_store
    while (opened := await _open_store(context, open_store_once)) is not None:
        member = build_member(context.settings, opened)
        context.on_reload(member.reload)
        await _run(context, member)
        if member.outdated.done():
            raise member.outdated.result()
        if not member.unusable.done():
            return
        if not member.storage_ended:
            raise member.unusable.result()  # a write is in progress: the store must not be discarded
        opened.store.close()
        open_store_once = discard_and_reopen


async def _run(context: RoleContext, member: ControlMember) -> None:
    """Run a member until the stop, or until its store is unusable or its program outdated; then stop it."""
    await member.start()
    stopping = asyncio.create_task(context.stopping.wait())
    try:
        await asyncio.wait((stopping, member.unusable, member.outdated), return_when=asyncio.FIRST_COMPLETED)
    finally:
        stopping.cancel()
        await member.stop()


async def _open_store(
    context: RoleContext, open_store_once: Callable[[NodeSettings], OpenedStore]
) -> OpenedStore | None:
    """Open the store, retrying while the disk is full or failing; None if the stop comes first."""
    while not context.stopping.is_set():
        try:
            return await asyncio.to_thread(open_store_once, context.settings)
        except (StoreFullError, StoreFailedError) as error:
            log.error("can't open the store, retrying: %s", error.line)
        with suppress(TimeoutError):
            async with asyncio.timeout(OPEN_RETRY_INTERVAL_S):
                await context.stopping.wait()
    return None
