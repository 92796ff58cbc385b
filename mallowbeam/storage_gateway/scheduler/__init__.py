"""The storage gateway's scheduler: every decision on requests, attempts and nodes, as a pure state machine.

It owns one host's requests, queues and volumes, and its measurements of the nodes; nothing is persisted.
`gateway_host` (the gateway's server) and `simulator_host` (the simulator's protocol) call it.
"""

from mallowbeam.storage_gateway.scheduler.scheduler import Scheduler as Scheduler
