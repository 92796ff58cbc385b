"""The router fleet: gateways in front of model servers, and members that store configuration and instances.

Roles: `control_plane` and `data_plane` connect the deciding cores to the network; the cores do no I/O.
State: each package owns its own; `docs/architecture.md` lists the owners.
Callers: `mallowbeam.__main__` starts a role; `cli` and `simulation` use the packages directly.
"""
