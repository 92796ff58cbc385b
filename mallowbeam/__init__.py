"""mallowbeam: the decisions of a storage gateway.  See `mallowbeam.interface` for its types."""

from mallowbeam.control import Scheduler

__all__ = ["Scheduler"]
