"""Machines out for work: the order, the steps, the constraints."""
