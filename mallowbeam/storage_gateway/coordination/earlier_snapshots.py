"""Lets the engine read snapshots of earlier programs, whose member class was in another module.

The engine pickles its set of members into each snapshot, and a pickle names the module of a class.  Programs
up to commit 63262d5 wrote `mallowbeam.fleet.agreement.Member`; their snapshots are still on disk, and members
that are not upgraded yet send them.  Snapshots of this program name a class of the engine instead.
"""

from __future__ import annotations

import sys
from types import ModuleType

from pysyncobj.node import TCPNode

EARLIER_MODULE = "mallowbeam.fleet.agreement"


def register_earlier_members() -> None:
    """Register the class under its earlier name for unpickling; such members are only compared by address."""
    module = ModuleType(EARLIER_MODULE, "Where earlier programs had the class of members.")
    module.Member = TCPNode  # type: ignore[attr-defined]
    sys.modules.setdefault(EARLIER_MODULE, module)
