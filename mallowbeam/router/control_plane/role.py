"""The control-plane role: one member, its parts wired together."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from contextlib import suppress

from mallowbeam.router.consensus.storage import StoreFailedError, StoreFullError
from mallowbeam.router.control_plane.member import ControlMember
from mallowbeam.router.control_plane.store_recovery import OpenedStore, discard_and_reopen, open_store
from mallowbeam.router.processes.logs import get_logger
from mallowbeam.router.processes.role import RoleContext, run_role
from mallowbeam.router.processes.settings import NodeSettings

RETRY_S = 0.5  # seconds between two attempts at a disk that refuses

log = get_logger("mallowbeam.member")


def main() -> int:
    """Run a member until it is told to stop; the process's exit code."""
    return run_role(serve)


async def serve(context: RoleContext) -> None:
    """Run a member until the word to stop comes; one whose store can't be used comes back as a new one."""
    how = open_store
    while (opened := await _open_store(context, how)) is not None:
        member = ControlMember(context.settings, opened)
        context.on_reload(member.reload)
        await _run(context, member)
        if not member.unusable.done():
            return
        if not member.disk_ended:
            raise member.unusable.result()  # a write is under way: not discarded beneath it
        opened.store.close()
        how = discard_and_reopen


async def _run(context: RoleContext, member: ControlMember) -> None:
    """Serve until the word to stop comes, or until the store can't be used; then stop in order."""
    await member.start()
    stopping = asyncio.create_task(context.stopping.wait())
    try:
        await asyncio.wait((stopping, member.unusable), return_when=asyncio.FIRST_COMPLETED)
    finally:
        stopping.cancel()
        await member.stop()


async def _open_store(context: RoleContext, how: Callable[[NodeSettings], OpenedStore]) -> OpenedStore | None:
    """Open the store, trying again as long as the disk refuses; None where the word to stop came first."""
    while not context.stopping.is_set():
        try:
            return await asyncio.to_thread(how, context.settings)
        except (StoreFullError, StoreFailedError) as error:
            log.error("the store can't be opened yet: %s", error.line)
        with suppress(TimeoutError):
            async with asyncio.timeout(RETRY_S):
                await context.stopping.wait()
    return None
