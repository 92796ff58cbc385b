"""Passive health checks of instances: outlier ejection, and the outcomes of the fleet's attempts.

State: failures by instance at one gateway; sums of attempts by instance at a member.
Callers: `data_plane` for each attempt; `control_plane` for the sums over its gateways.
"""
