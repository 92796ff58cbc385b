"""The router fleet: gateways before model servers, and the members that keep configuration and instances.

Roles: `control_plane` and `data_plane` join the cores and do the I/O; the others decide and open nothing.
State: each package's own; `docs/architecture.md` has the table of owners.
Callers: `mallowbeam.__main__` starts a role; `cli` and `simulation` use the packages directly.
"""
