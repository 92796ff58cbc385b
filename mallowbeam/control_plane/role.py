"""The control-plane role: one member, its parts wired together."""

from __future__ import annotations

from mallowbeam.control_plane.member import ControlMember
from mallowbeam.control_plane.opening import open_store
from mallowbeam.processes.role import RoleContext, run_role


def main() -> int:
    """Run a member until it is told to stop; the process's exit code."""
    return run_role(serve)


async def serve(context: RoleContext) -> None:
    """Open the store, serve until the word to stop comes, then stop in order."""
    opened = open_store(context.settings)
    member = ControlMember(context.settings, opened)
    await member.start()
    try:
        await context.stopping.wait()
    finally:
        await member.stop()
