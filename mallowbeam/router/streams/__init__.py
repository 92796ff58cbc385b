"""Event streams: parsing, progress, resumption and time-outs, without I/O.

State: the position in one answer across all instances that produce it (`StreamProgress`).
Callers: the exchanges and relays of `data_plane`.
"""
