"""Planned maintenance of storage nodes and gateways: steps, order and constraints.

Owns the replicated `MaintenanceState` (requests, each machine's step, gateways' status reports) and, in each
gateway, the `MaintenanceCore` that follows it.  `subsystem.py` is the only module that the coordination
service uses.
"""
