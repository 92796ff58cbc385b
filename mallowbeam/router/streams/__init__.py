"""Event streams: parsing, progress, resumption and time-outs, without I/O.

State: the position of one answer over all instances that produce it (`StreamProgress`).
Callers: the exchanges and relays of `data_plane`.
"""
