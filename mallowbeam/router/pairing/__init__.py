"""Pairing: which instance prefills a prompt and which one decodes, and how many instances each stage has.

State: per gateway, what it tracks of each instance (`InstanceTracker`); per leader, the balance of stages.
Callers: `admission.planner` for each request; `control_plane` for stage orders.
"""
