"""Planned maintenance of storage nodes and gateways: steps, order and constraints.

Owns the replicated `MaintenanceState` (requests, each machine's step, gateways' status reports) and, in each
gateway, the `MaintenanceCore` that follows it.  The coordination service calls `subsystem.py`; nobody else.
"""
