"""Lets the engine read snapshots of programs that had their class of members in another module.

The engine pickles its set of members into each snapshot, and a pickle names the module of a class.  Programs
up to commit 63262d5 wrote `mallowbeam.fleet.agreement.Member`; their snapshots lie on disk, and come from
members that are still to be upgraded.  What this program writes names a class of the engine's own.
"""

from __future__ import annotations

import sys
from types import ModuleType

from pysyncobj.node import TCPNode

EARLIER_MODULE = "mallowbeam.fleet.agreement"


def register_earlier_members() -> None:
    """Let a pickle find the class under its earlier name; a member read there is only compared by address."""
    module = ModuleType(EARLIER_MODULE, "Where earlier programs had the class of members.")
    module.Member = TCPNode  # type: ignore[attr-defined]
    sys.modules.setdefault(EARLIER_MODULE, module)
