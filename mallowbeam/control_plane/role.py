"""The control-plane role: one member, its parts wired together."""

from __future__ import annotations

import asyncio
from contextlib import suppress

from mallowbeam.consensus.storage import StoreFailedError, StoreFullError
from mallowbeam.control_plane.member import ControlMember
from mallowbeam.control_plane.opening import OpenedStore, open_store
from mallowbeam.processes.logs import get_logger
from mallowbeam.processes.role import RoleContext, run_role

RETRY_S = 0.5                  # seconds between two attempts at a disk that refuses

log = get_logger("mallowbeam.member")


def main() -> int:
    """Run a member until it is told to stop; the process's exit code."""
    return run_role(serve)


async def serve(context: RoleContext) -> None:
    """Open the store, serve until the word to stop comes, then stop in order."""
    opened = await _open_store(context)
    if opened is None:
        return
    member = ControlMember(context.settings, opened)
    context.on_reload(member.reload)
    await member.start()
    try:
        await context.stopping.wait()
    finally:
        await member.stop()


async def _open_store(context: RoleContext) -> OpenedStore | None:
    """Open the store, trying again as long as the disk refuses; None where the word to stop came first."""
    while not context.stopping.is_set():
        try:
            return await asyncio.to_thread(open_store, context.settings)
        except (StoreFullError, StoreFailedError) as error:
            log.error("the store can't be opened yet: %s", error.line)
        with suppress(TimeoutError):
            async with asyncio.timeout(RETRY_S):
                await context.stopping.wait()
    return None
