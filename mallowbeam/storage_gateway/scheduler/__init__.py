"""The storage gateway's scheduler: every decision on requests, attempts and nodes, as a pure state machine.

It owns one host's requests, queues, volumes and what was measured of nodes; nothing is stored.
Called by `gateway_host` (the gateway's server) and `simulator_host` (the simulator's wire).
"""

from mallowbeam.storage_gateway.scheduler.scheduler import Scheduler as Scheduler
