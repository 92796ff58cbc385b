"""Deterministic simulation of the router fleet: real members and feeds on simulated clock, network, disks.

It owns the state of a run: clock, random generator, machines, streams and the history that checkers verify.
Tests and `python -m mallowbeam.simulation.walk` call it; no role imports it. A run depends on its seed alone.
"""
