"""All decisions of a host (docs/design.md); read: interface, requests, nodes, booking, sending, scheduler."""

from mallowbeam.storage_gateway.scheduler.scheduler import Scheduler as Scheduler
