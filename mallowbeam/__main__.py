"""Starts one process: a role of the router fleet, its command line, the storage gateway, or a sub-command.

Each branch imports only what it needs: a start uses processor time while requests wait.
"""

from __future__ import annotations

import sys

from mallowbeam.reload_signal import defer_sighup


def main() -> int:
    """Run the program that the first argument names; without arguments, the storage gateway."""
    name = sys.argv[1] if len(sys.argv) > 1 else ""
    if name == "data-plane":
        defer_sighup()  # before the imports, which take most of the start-up time
        from mallowbeam.router.data_plane.role import main as run_data_plane

        return run_data_plane()
    if name == "control-plane":
        defer_sighup()
        from mallowbeam.router.control_plane.role import main as run_control_plane

        return run_control_plane()
    if name == "fleet":
        from mallowbeam.cli.system import main as run_fleet_command

        return run_fleet_command(sys.argv[2:])
    if name:
        from mallowbeam.cli.app import app

        app()
    deferred_sighups = defer_sighup()
    from mallowbeam.storage_gateway.application import run

    return run(deferred_sighups=deferred_sighups)


if __name__ == "__main__":
    sys.exit(main())
