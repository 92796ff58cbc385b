"""All decisions of a host (docs/design.md); read: interface, requests, nodes, booking, sending, scheduler."""

from mallowbeam.control.scheduler import Scheduler as Scheduler
