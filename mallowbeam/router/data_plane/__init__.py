"""The gateway role on edge machines: routing, attempts, retry budgets and response forwarding.

State: per process, connections, exchanges in flight, budgets and the fleet as the feed delivers it.
Callers: `mallowbeam.__main__` starts `role.main`; `simulation` runs the same parts on simulated sockets.
"""
