"""thornmount: the decisions of a storage gateway.  See `thornmount.interface` for its types."""

from thornmount.decide import Scheduler

__all__ = ["Scheduler"]
