"""Starts one real gateway, or a sub-command: `python -m mallowbeam`."""

from __future__ import annotations

import sys

from mallowbeam.hangups import hold_hangups


def main() -> int:
    """The gateway, or the sub-command that the arguments name."""
    if len(sys.argv) > 1:
        from mallowbeam.cli.app import app
        app()
    hangups = hold_hangups()                   # before the imports, the longest part of a start
    from mallowbeam.program import run
    return run(hangups=hangups)


if __name__ == "__main__":
    sys.exit(main())
