"""Quota shares: tenants' rates at the storage nodes, weighted max-min fair over all gateways.

Owns the replicated demand and grants, and this gateway's allotments; loaded by the coordination service where
the section `shares` is on (`subsystem.open_subsystem`).
"""
