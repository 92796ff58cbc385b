"""Stand-ins for external systems, written from their published specifications, with scripted faults.

They own the simulated state of storage nodes, model servers, discovery and a disk.
Tests, the lab and `python -m mallowbeam.standins` call them; no role imports them.
"""
