"""Pairing: chooses the instance that prefills a prompt, the one that decodes, and the size of each stage.

State: per gateway, the tracked instances (`InstanceTracker`); per leader, the balance of stages.
Callers: `admission.planner` for each request; `control_plane` for stage orders.
"""
