"""Admission control: books a request into a cycle of its instance, or rejects it at once.

State: the bookings of one gateway and, per instance, its cycles and measured pace (`Planner`).
Callers: the exchanges of `data_plane`, through the protocol `data_plane.planner_interface.Planner`.
"""
