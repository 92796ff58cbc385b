"""The role of a gateway, on edge machines: routes, requests, attempts, budgets, forwarding.  I/O only.

State: per process, connections, exchanges in progress, budgets and the fleet as the feed delivers it.
Callers: `mallowbeam.__main__` starts `role.main`; `simulation` runs the same parts on simulated sockets.
"""
